"""The users' platform: its names, formats and calls, translated into the product's own types."""
