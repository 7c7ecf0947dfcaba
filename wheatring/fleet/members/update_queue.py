"""Queue of member updates to gossip: those sent least often first, each a limited number of times."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from itertools import chain, islice

from wheatring.fleet.members.messages import MemberUpdate

PIGGYBACK_BYTES = 900  # the limit for the updates in one datagram
MAX_SCANNED_UPDATES = 40  # updates considered for one message
MAX_UPDATES = 500  # the limit of the queue; beyond it, the update sent most often is dropped


def batches(updates: Iterable[MemberUpdate]) -> Iterator[tuple[MemberUpdate, ...]]:
    """Split updates into batches that each fit one datagram; there is at least one."""
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
    """The updates that one member gossips, the newest about each member.

    `by_transmissions[n]` holds the updates that were sent n times, oldest first, so that a batch is found
    without scanning or sorting all updates.
    """

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}  # by name of the member
        self.by_transmissions: list[dict[str, MemberUpdate]] = [{}]

    @property
    def pending(self) -> dict[str, MemberUpdate]:
        """All queued updates, by name of the member."""
        return {name: self.by_transmissions[count][name] for name, count in self.transmissions.items()}

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces an earlier one about the same member."""
        name = update.member.name
        self._drop(name)
        self.transmissions[name] = 0
        self.by_transmissions[0][name] = update
        if len(self.transmissions) > MAX_UPDATES:
            self._drop(next(name for level in reversed(self.by_transmissions) for name in level))

    def _drop(self, name: str) -> None:
        if name in self.transmissions:
            del self.by_transmissions[self.transmissions.pop(name)][name]

    def _count_transmission(self, name: str, transmit_limit: int) -> None:
        """Count a transmission; drop the update once it has reached the limit."""
        count = self.transmissions[name] + 1
        update = self.by_transmissions[count - 1].pop(name)
        if count >= transmit_limit:
            del self.transmissions[name]
            return
        if count == len(self.by_transmissions):
            self.by_transmissions.append({})
        self.transmissions[name] = count
        self.by_transmissions[count][name] = update

    def count_duplicate(self, update: MemberUpdate, transmit_limit: int) -> None:
        """Count an update that was also received from another member as one more transmission.

        This ends the gossip of widely known updates sooner ("feedback" and "counter" of Demers et al.,
        "Epidemic Algorithms for Replicated Database Maintenance", 1987).
        """
        name = update.member.name
        if name not in self.transmissions:
            return
        own = self.by_transmissions[self.transmissions[name]][name]
        if (own.incarnation, own.state) == (update.incarnation, update.state):
            self._count_transmission(name, transmit_limit)

    def next_batch(
        self, transmit_limit: int, first: Collection[MemberUpdate] = ()
    ) -> tuple[MemberUpdate, ...]:
        """Return the updates to piggyback on one message, starting with all of `first`."""
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
            self._count_transmission(update.member.name, transmit_limit)
        return tuple(batch)
