"""Soak test of real daemon processes on loopback with faults injected from outside."""
