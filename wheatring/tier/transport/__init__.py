"""Framing, calls and connections between the processes of the serving tier."""
