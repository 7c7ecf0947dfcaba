"""Member updates that are still passed on: those sent least often first, each a limited number of times."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from itertools import chain, islice

from wheatring.fleet.members.messages import MemberUpdate

PIGGYBACK_BYTES = 900  # of updates in one datagram
MAX_SCANNED_UPDATES = 40  # updates considered for one message
MAX_UPDATES = 500  # kept at once: of more, those sent most often are dropped


def batches(updates: Iterable[MemberUpdate]) -> Iterator[tuple[MemberUpdate, ...]]:
    """Split updates into batches that each fit one datagram; there is one at least."""
    batch: list[MemberUpdate] = []
    room = PIGGYBACK_BYTES
    for update in updates:
        if update.encoded_bytes > room:
            yield tuple(batch)
            batch, room = [], PIGGYBACK_BYTES
        batch.append(update)
        room -= update.encoded_bytes
    yield tuple(batch)


class UpdateQueue:
    """The updates that one member passes on, the newest of each member.

    `by_transmissions[n]` holds those that were sent n times, in the order in which they got there: so what
    goes along with a message is found without considering all of them.
    """

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}  # by the member's name
        self.by_transmissions: list[dict[str, MemberUpdate]] = [{}]

    @property
    def pending(self) -> dict[str, MemberUpdate]:
        """All updates, by the name of their member."""
        return {name: self.by_transmissions[count][name] for name, count in self.transmissions.items()}

    def add(self, update: MemberUpdate) -> None:
        """Add an update, in place of an earlier one on the same member."""
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
        """Count one more transmission, and drop the update when it has had its limit."""
        count = self.transmissions[name] + 1
        update = self.by_transmissions[count - 1].pop(name)
        if count >= transmit_limit:
            del self.transmissions[name]
            return
        if count == len(self.by_transmissions):
            self.by_transmissions.append({})
        self.transmissions[name] = count
        self.by_transmissions[count][name] = update

    def note_duplicate(self, update: MemberUpdate, transmit_limit: int) -> None:
        """Count an update that somebody else sent too as transmitted once more.

        So updates that all know by now aren't passed on for long ("feedback" and "counter" of Demers et al.,
        "Epidemic Algorithms for Replicated Database Maintenance", 1987).
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
        """Return the updates that go along with one message; `first` go in any case."""
        room = PIGGYBACK_BYTES - sum(update.encoded_bytes for update in first)
        batch = list(first)
        queued = chain.from_iterable(level.values() for level in self.by_transmissions)
        for update in islice(queued, MAX_SCANNED_UPDATES):
            if update in first:
                continue
            room -= update.encoded_bytes
            if room < 0:
                break
            batch.append(update)
        for update in batch[len(first) :]:
            self._note_transmission(update.member.name, transmit_limit)
        return tuple(batch)
