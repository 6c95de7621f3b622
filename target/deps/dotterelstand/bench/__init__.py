"""Measurements of the policies and randomised runs."""
