"""Spread of accepted versions between the store and the entry hosts."""
