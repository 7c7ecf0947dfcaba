"""The run that experiments play: a scenario with its settings, drawn by the seed, in the lab's world.

Only workers import it, once their patches are in place. Its name and that of `play` are sent to workers of
other builds, so they stay; so do the fields of `Hello`, `RunSpec` and `RunResult`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TextIO

from wheatring.lab import play as lab
from wheatring.lab.outcome import Outcome
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.study.run_builder import scenario_of
from wheatring.lab.study.runs import RunSpec
from wheatring.lab.world.world import Tracing


def play(spec: RunSpec) -> Outcome:
    """Play a run."""
    return lab.play(draw(scenario_of(spec), spec.seed), spec.grain)


def play_traced(spec: RunSpec, file: TextIO | None, of: Sequence[str]) -> Outcome:
    """Play a run with a trace, into a file or only hashed; `of` names the requests that it is cut down to."""
    return lab.play(draw(scenario_of(spec), spec.seed), spec.grain, Tracing(file, of))
