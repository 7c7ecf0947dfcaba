"""Files of records that survive a loss of power: the file itself, and its owner inside an event loop."""
