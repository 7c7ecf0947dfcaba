"""Second looks for a leader: at whom, how often, and whom to tell who was reached. No I/O."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

LOOKS = 3  # how often one looks at each that is to go,
APART = 0.3  # seconds between these,
LATE = 2.0  # and after the last, for which an answer is still told
MOST = 8  # under way at once

Address = tuple[str, int]


class _Errand(NamedTuple):
    leader: Address
    seq: int
    names: tuple[str, ...]
    left: int
    due: float


class Errands:
    def __init__(self) -> None:
        self.under_way: list[_Errand] = []

    @property
    def due(self) -> float:
        """When `looks` has something to do, or one is over."""
        return min((errand.due for errand in self.under_way), default=inf)

    def take(self, now: float, leader: Address, seq: int, names: tuple[str, ...]) -> None:
        """One more; too many are not taken, as others look too."""
        if len(self.under_way) < MOST:
            self.under_way.append(_Errand(leader, seq, names, LOOKS, now))

    def looks(self, now: float) -> list[str]:
        """Whom to look at now."""
        self.under_way = [errand for errand in self.under_way if errand.left > 0 or now < errand.due]
        names: list[str] = []
        for number, errand in enumerate(self.under_way):
            if now >= errand.due:
                names += errand.names
                left = errand.left - 1
                due = now + (APART if left else LATE)
                self.under_way[number] = errand._replace(left=left, due=due)
        return names

    def reached(self, name: str) -> list[tuple[Address, int]]:
        """It has answered: which leaders are to hear so, by which number. Each hears it once."""
        tell = []
        for number, errand in enumerate(self.under_way):
            if name in errand.names:
                tell.append((errand.leader, errand.seq))
                rest = tuple(other for other in errand.names if other != name)
                self.under_way[number] = errand._replace(names=rest)
        return tell
