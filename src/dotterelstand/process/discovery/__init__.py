"""What the platform tells: document, targets and entry hosts."""
