"""Scenarios: `load` reads and validates TOML, and `plan_builder` draws a plan from it.

The package may import the lab's `plan`, and nothing else of the project.
"""
