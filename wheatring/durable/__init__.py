"""Files that survive a loss of power."""
