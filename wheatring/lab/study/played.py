"""The run that experiments play: a scenario with its settings, drawn from the seed, in the lab's world.

Only workers import this module, after they have applied their patches. The names of this module and of `play`
are sent to workers of other builds, so they must not change; nor must the fields of `Hello`, `RunSpec` and
`RunResult`.
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
    """Play a run with a trace, written to a file or only hashed; `of` restricts it to these requests."""
    return lab.play(draw(scenario_of(spec), spec.seed), spec.grain, Tracing(file, of))
