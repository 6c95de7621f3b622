"""Adapter of the users' platform: translates the platform's names, formats and calls."""
