"""Features that operators turn on: drills, the audit, tokens, captures. None is imported while it is off.

The package may import the core and the layers below it; the entry points and protocols hook into it.
"""
