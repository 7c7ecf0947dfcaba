"""The operators' calls: a door of their own and a table of calls. What they ask is decided elsewhere.

Imported only where the configuration names a `control` address.
"""
