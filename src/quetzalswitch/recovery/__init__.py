"""Leader election, and the state that must survive a restart."""
