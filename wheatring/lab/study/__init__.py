"""Experiments: plays many runs of the lab, stores and compares their outcomes, and makes reports.

A run is a function that maps a spec (scenario, seed, grain, settings, build) to an outcome. Callers pass it
by name as `module:function`, and worker processes play it. This package may import the lab's outcome and
scenarios, but the lab's world only through the name of the run, and nothing of the sidecar.
"""

from __future__ import annotations


class StudyError(ValueError):
    """An experiment that can't be run; the text is one line that names the cause."""
