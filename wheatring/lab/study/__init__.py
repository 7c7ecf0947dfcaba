"""Experiments: many runs of the lab, kept, compared and drawn.

A run is a function of its spec (scenario, seed, grain, settings, build) that gives an outcome; it is named as
`module:function` and handed in, and played in processes of its own. May import the lab's outcome and
scenarios, and, through the name of the run alone, its world; nothing of the sidecar.
"""

from __future__ import annotations


class StudyError(ValueError):
    """An experiment that can't be made; the text is one line that names what is at fault."""
