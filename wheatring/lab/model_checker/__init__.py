"""A model checker for the control plane of the tier.

It runs the real code of consensus, commands, voter selection and storage membership through every order of
events up to a depth and along long random walks, and checks the invariants of docs/design/control-safety.md
after each step.
"""
