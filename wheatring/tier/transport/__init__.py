"""Connections, framing and remote calls between the processes of the serving tier."""
