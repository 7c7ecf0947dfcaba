"""The command line of the serving tier, and the start of its three roles."""
