"""The command line of the serving tier."""
