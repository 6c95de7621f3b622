"""Adapter of the users' platform: translates its names, formats and calls."""
