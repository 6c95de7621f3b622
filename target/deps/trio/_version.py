# This file is imported from __init__.py and parsed by setuptools

__version__ = "0.35.0"
