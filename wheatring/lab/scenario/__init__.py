"""Scenarios: TOML to checked ranges (`load`), ranges and a seed to a plan (`draw`), and a library of them.

It may import `plan` of the lab, and nothing else of the project.
"""
