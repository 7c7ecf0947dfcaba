"""The run that experiments play: a scenario with its settings, drawn by the seed, in the lab's world.

Only workers import it, once their patches are in place. Its name and that of `play` are sent to workers of
other builds, so they stay; so do the fields of `Hello`, `Job` and `Ended`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TextIO

from wheatring.lab import play as lab
from wheatring.lab.outcome import Outcome
from wheatring.lab.scenario.draw import draw
from wheatring.lab.study.job_builder import scenario_of
from wheatring.lab.study.jobs import Job
from wheatring.lab.world.world import Tracing


def play(job: Job) -> Outcome:
    """Play a run."""
    return lab.play(draw(scenario_of(job), job.seed), job.grain)


def play_traced(job: Job, file: TextIO | None, of: Sequence[str]) -> Outcome:
    """Play a run with a trace, into a file or only hashed; `of` names the requests that it is cut down to."""
    return lab.play(draw(scenario_of(job), job.seed), job.grain, Tracing(file, of))
