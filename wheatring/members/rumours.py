"""Rumours that a member still passes on: the least told first, each a limited number of times."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from itertools import chain, islice

from wheatring.members.words import Rumour

ROOM = 900  # bytes of rumours in one datagram
AT_ONCE = 40  # rumours looked at for one word
MOST = 500  # rumours kept at once: of more, those told most often are dropped


def packed(rumours: Iterable[Rumour]) -> Iterator[tuple[Rumour, ...]]:
    """In parts, each with room in one datagram; one part at least."""
    part: list[Rumour] = []
    room = ROOM
    for rumour in rumours:
        if rumour.size > room:
            yield tuple(part)
            part, room = [], ROOM
        part.append(rumour)
        room -= rumour.size
    yield tuple(part)


class Rumours:
    """`levels[n]` holds those that were told n times, who came there first first: so that what goes along
    with a word is found without a look at all of them.
    """

    def __init__(self) -> None:
        self.told: dict[str, int] = {}  # of whom: how often it was told
        self.levels: list[dict[str, Rumour]] = [{}]

    @property
    def of(self) -> dict[str, Rumour]:
        return {name: self.levels[told][name] for name, told in self.told.items()}

    def add(self, rumour: Rumour) -> None:
        name = rumour.who.name
        self._drop(name)
        self.told[name] = 0
        self.levels[0][name] = rumour
        if len(self.told) > MOST:
            self._drop(next(name for level in reversed(self.levels) for name in level))

    def _drop(self, name: str) -> None:
        if name in self.told:
            del self.levels[self.told.pop(name)][name]

    def _count(self, name: str, times: int) -> None:
        """It has been told once more."""
        told = self.told[name] + 1
        rumour = self.levels[told - 1].pop(name)
        if told >= times:
            del self.told[name]
            return
        if told == len(self.levels):
            self.levels.append({})
        self.told[name] = told
        self.levels[told][name] = rumour

    def heard(self, rumour: Rumour, times: int) -> None:
        """Somebody else tells it too: that is as good as having told it. With rumours that all know by now
        nobody goes on for long (feedback and counter, of Demers et al., "Epidemic Algorithms for Replicated
        Database Maintenance", 1987).
        """
        name = rumour.who.name
        if name not in self.told:
            return
        own = self.levels[self.told[name]][name]
        if (own.incarnation, own.state) == (rumour.incarnation, rumour.state):
            self._count(name, times)

    def take(self, times: int, first: Collection[Rumour] = ()) -> tuple[Rumour, ...]:
        """Those to go along with one word; `first` go in any case."""
        room = ROOM - sum(rumour.size for rumour in first)
        taken = list(first)
        for rumour in islice(chain.from_iterable(level.values() for level in self.levels), AT_ONCE):
            if rumour in first:
                continue
            room -= rumour.size
            if room < 0:
                break
            taken.append(rumour)
        for rumour in taken[len(first) :]:
            self._count(rumour.who.name, times)
        return tuple(taken)
