"""The run that experiments play: a scenario with its settings, drawn by the seed, in the lab's world.

Only workers import it, once their patches stand.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TextIO

from wheatring.lab import play as lab
from wheatring.lab.outcome import Outcome
from wheatring.lab.scenario.draw import draw
from wheatring.lab.study.asked import found
from wheatring.lab.study.jobs import Job
from wheatring.lab.world.world import Tracing


def play(job: Job) -> Outcome:
    return lab.play(draw(found(job), job.seed), job.grain)


def play_traced(job: Job, file: TextIO | None, of: Sequence[str]) -> Outcome:
    """The same with a trace, into a file or only hashed; `of` names the requests that it is cut down to."""
    return lab.play(draw(found(job), job.seed), job.grain, Tracing(file, of))
