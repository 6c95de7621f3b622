"""Target selection: slots, dispatchers, target health and the budget for load measurement."""
