"""The control port, its pages and the readiness port."""
