"""Soak of real daemon processes on loopback, with faults from outside them."""
