"""Choice of targets: slots, dispatchers, health and the cost of measuring."""
