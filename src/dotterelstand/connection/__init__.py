"""Connections to callers, targets, peer entry hosts and the control port."""
