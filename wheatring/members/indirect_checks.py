"""Second looks for a leader: at whom, how often, and whom to tell who was reached. No I/O."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

ATTEMPTS = 3  # how often one looks at each that is to go,
ATTEMPT_INTERVAL_SECONDS = 0.3  # seconds between these,
ANSWER_WAIT_SECONDS = 2.0  # and after the last, for which an answer is still told
MAX_CHECKS = 8  # under way at once

Address = tuple[str, int]


class _IndirectCheck(NamedTuple):
    leader: Address
    sequence: int
    names: tuple[str, ...]
    attempts_left: int
    due: float


class IndirectChecks:
    def __init__(self) -> None:
        self.active: list[_IndirectCheck] = []

    @property
    def due(self) -> float:
        """When `looks` has something to do, or one is over."""
        return min((errand.due for errand in self.active), default=inf)

    def start(self, now: float, leader: Address, sequence: int, names: tuple[str, ...]) -> None:
        """One more; too many are not taken, as others look too."""
        if len(self.active) < MAX_CHECKS:
            self.active.append(_IndirectCheck(leader, sequence, names, ATTEMPTS, now))

    def due_checks(self, now: float) -> list[str]:
        """Whom to look at now."""
        self.active = [errand for errand in self.active if errand.attempts_left > 0 or now < errand.due]
        names: list[str] = []
        for number, errand in enumerate(self.active):
            if now >= errand.due:
                names += errand.names
                left = errand.attempts_left - 1
                due = now + (ATTEMPT_INTERVAL_SECONDS if left else ANSWER_WAIT_SECONDS)
                self.active[number] = errand._replace(attempts_left=left, due=due)
        return names

    def note_reached(self, name: str) -> list[tuple[Address, int]]:
        """It has answered: which leaders are to hear so, by which number. Each hears it once."""
        tell = []
        for number, errand in enumerate(self.active):
            if name in errand.names:
                tell.append((errand.leader, errand.sequence))
                rest = tuple(other for other in errand.names if other != name)
                self.active[number] = errand._replace(names=rest)
        return tell
