"""Checks of what a fleet agrees on (views, registers, plans), in virtual time.

Faults are injected into fleets of the real deciders, invariants are checked after every event, and planted
faults show that a broken rule is found.
"""
