"""Discovery of configuration, targets and entry hosts through the platform."""
