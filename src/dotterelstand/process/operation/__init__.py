"""The control port and its pages."""
