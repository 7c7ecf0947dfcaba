"""Rumours that a member still passes on: the least told first, each a limited number of times."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from itertools import chain, islice

from wheatring.members.messages import MemberUpdate

PIGGYBACK_BYTES = 900  # bytes of rumours in one datagram
MAX_SCANNED_UPDATES = 40  # rumours looked at for one word
MAX_UPDATES = 500  # rumours kept at once: of more, those told most often are dropped


def batches(updates: Iterable[MemberUpdate]) -> Iterator[tuple[MemberUpdate, ...]]:
    """In parts, each with room in one datagram; one part at least."""
    part: list[MemberUpdate] = []
    room = PIGGYBACK_BYTES
    for rumour in updates:
        if rumour.encoded_bytes > room:
            yield tuple(part)
            part, room = [], PIGGYBACK_BYTES
        part.append(rumour)
        room -= rumour.encoded_bytes
    yield tuple(part)


class UpdateQueue:
    """`levels[n]` holds those that were told n times, who came there first first: so that what goes along
    with a word is found without a look at all of them.
    """

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}  # of whom: how often it was told
        self.by_transmissions: list[dict[str, MemberUpdate]] = [{}]

    @property
    def pending(self) -> dict[str, MemberUpdate]:
        return {name: self.by_transmissions[told][name] for name, told in self.transmissions.items()}

    def add(self, update: MemberUpdate) -> None:
        name = update.member.name
        self._drop(name)
        self.transmissions[name] = 0
        self.by_transmissions[0][name] = update
        if len(self.transmissions) > MAX_UPDATES:
            self._drop(next(name for level in reversed(self.by_transmissions) for name in level))

    def _drop(self, name: str) -> None:
        if name in self.transmissions:
            del self.by_transmissions[self.transmissions.pop(name)][name]

    def _note_transmission(self, name: str, transmit_limit: int) -> None:
        """It has been told once more."""
        told = self.transmissions[name] + 1
        rumour = self.by_transmissions[told - 1].pop(name)
        if told >= transmit_limit:
            del self.transmissions[name]
            return
        if told == len(self.by_transmissions):
            self.by_transmissions.append({})
        self.transmissions[name] = told
        self.by_transmissions[told][name] = rumour

    def note_duplicate(self, update: MemberUpdate, transmit_limit: int) -> None:
        """Somebody else tells it too: that is as good as having told it. With rumours that all know by now
        nobody goes on for long (feedback and counter, of Demers et al., "Epidemic Algorithms for Replicated
        Database Maintenance", 1987).
        """
        name = update.member.name
        if name not in self.transmissions:
            return
        own = self.by_transmissions[self.transmissions[name]][name]
        if (own.incarnation, own.state) == (update.incarnation, update.state):
            self._note_transmission(name, transmit_limit)

    def next_batch(
        self, transmit_limit: int, first: Collection[MemberUpdate] = ()
    ) -> tuple[MemberUpdate, ...]:
        """Those to go along with one word; `first` go in any case."""
        room = PIGGYBACK_BYTES - sum(rumour.encoded_bytes for rumour in first)
        taken = list(first)
        for rumour in islice(
            chain.from_iterable(level.values() for level in self.by_transmissions), MAX_SCANNED_UPDATES
        ):
            if rumour in first:
                continue
            room -= rumour.encoded_bytes
            if room < 0:
                break
            taken.append(rumour)
        for rumour in taken[len(first) :]:
            self._note_transmission(rumour.member.name, transmit_limit)
        return tuple(taken)
