"""Checks of what a fleet agrees on (views, registers, plans), in virtual time.

Faults are injected into fleets that run the real protocol code, invariants are checked after every event, and
planted faults show that a broken invariant is detected.
"""
