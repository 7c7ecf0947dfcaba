"""A model checker for the control side of the tier.

It drives the real deciders of consensus, commands, voters and storage membership through every order of
events up to a depth, and along long random walks, and checks the invariants of docs/design/control-safety.md
after each step.
"""
