"""Target selection: slots, dispatchers, health and the measuring budget."""
