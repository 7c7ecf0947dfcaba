"""What must hold on the control side after every step, whoever looks (docs/design/control-safety.md)."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import combinations

from wheatring.consensus.electorate import has_quorum
from wheatring.consensus.types import Position, entry_position
from wheatring.controller.commands import ReplaceConfiguration, UpdateConfiguration
from wheatring.transport.messages_pb2 import ControlState, Entry, Member

MAX_STATE_BYTES = 8192  # of the small configurations that are ordered here


class Broken(Exception):
    """An invariant does not hold."""


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A change of the configuration whose operator has been told that it was accepted."""

    position: Position
    order: ReplaceConfiguration | UpdateConfiguration
    generation: int
    digest: bytes
    at: float


@dataclass(slots=True)
class History:
    """All that has been seen to be committed, acknowledged and led. Raises Broken where that cannot be."""

    leaders: dict[int, str] = field(default_factory=dict)
    positions: list[Position] = field(default_factory=list)  # of committed entries, in order
    committed: dict[Position, Entry] = field(default_factory=dict)
    acknowledged: list[Acknowledged] = field(default_factory=list)

    def clone(self) -> History:
        """An independent copy."""
        return History(
            dict(self.leaders), list(self.positions), dict(self.committed), list(self.acknowledged)
        )

    @property
    def newest_acknowledged(self) -> int:
        """Generation; 0 where there is none."""
        return self.acknowledged[-1].generation if self.acknowledged else 0

    def led(self, term: int, replica_id: str) -> None:
        """A replica leads a term."""
        other = self.leaders.setdefault(term, replica_id)
        if other != replica_id:
            raise Broken(f"{other} and {replica_id} both lead term {term}")

    def saw_committed(self, entry: Entry) -> None:
        """A replica takes an entry for committed."""
        position = entry_position(entry)
        known = self.committed.get(position)
        if known is not None:
            if known.data != entry.data:
                raise Broken(f"two entries are committed at {position}")
            return
        place = bisect_left(self.positions, position)
        self._check_neighbours(place, entry)
        self._check_acknowledged(entry, position)
        if entry.ByteSize() > MAX_STATE_BYTES:
            raise Broken(f"the state has grown to {entry.ByteSize()} bytes")
        self.positions.insert(place, position)
        self.committed[position] = entry

    def _check_neighbours(self, place: int, entry: Entry) -> None:
        generation = generation_of(entry.data)
        before = self.committed[self.positions[place - 1]] if place else None
        after = self.committed[self.positions[place]] if place < len(self.positions) else None
        if before is not None and generation_of(before.data) > generation:
            raise Broken(f"generation {generation} is committed behind {generation_of(before.data)}")
        if after is not None and generation_of(after.data) < generation:
            raise Broken(f"generation {generation} is committed before {generation_of(after.data)}")
        if before is not None and before.index + 1 == entry.index and not overlap(before, entry):
            raise Broken("majorities of entries in sequence need not overlap")

    def _check_acknowledged(self, entry: Entry, position: Position) -> None:
        """A committed entry holds every change that was acknowledged at an earlier position."""
        earlier = [change for change in self.acknowledged if change.position <= position]
        if earlier and not knows(entry.data, earlier[-1].digest):
            raise Broken(f"the acknowledged generation {earlier[-1].generation} is lost at {position}")

    def saw_acknowledged(self, change: Acknowledged) -> None:
        """An operator is told that a change was accepted."""
        for other in self.acknowledged:
            if other.digest == change.digest:
                return
            if other.order.base == change.order.base:
                raise Broken(f"two changes of generation {change.order.base} are acknowledged")
        for position in self.positions:
            entry = self.committed[position]
            if position >= change.position and not knows(entry.data, change.digest):
                raise Broken(f"generation {change.generation} is acknowledged and not in {position}")
        self.acknowledged.append(change)
        self.acknowledged.sort(key=lambda change: change.position)

    def saw_read(self, generation: int, least: int) -> None:
        """An operator has been told the newest generation; `least` was acknowledged before it asked."""
        if generation < least:
            raise Broken(f"generation {generation} is read, {least} was acknowledged before")

    def saw_claim(self, name: str, generation: int, since: float) -> None:
        """A replica says that it knows all that was acknowledged up to a moment."""
        least = max((change.generation for change in self.acknowledged if change.at < since), default=0)
        if generation < least:
            raise Broken(f"{name} vouches for generation {generation}, {least} was acknowledged before")


@lru_cache(maxsize=4096)
def _state(data: bytes) -> tuple[int, frozenset[bytes]]:
    state = ControlState.FromString(data)
    return state.generation, frozenset(accepted.digest for accepted in state.accepted)


def generation_of(data: bytes) -> int:
    """The generation of a serialized control state."""
    return _state(data)[0]


def knows(data: bytes, digest: bytes) -> bool:
    """Whether a change is part of the history of a serialized control state."""
    return digest in _state(data)[1]


def overlap(before: Entry, after: Entry) -> bool:
    """Whether every quorum of one entry shares a replica with every quorum of the other."""
    return _overlap(_sets(before), _sets(after))


VoterSets = tuple[tuple[str, ...], tuple[str, ...]]


def _sets(entry: Entry) -> VoterSets:
    new = tuple(sorted(voter.replica_id for voter in entry.voters))
    old = tuple(sorted(voter.replica_id for voter in entry.old_voters))
    return new, old


@lru_cache(maxsize=1024)
def _overlap(before: VoterSets, after: VoterSets) -> bool:
    return all(one & other for one in _quorums(before) for other in _quorums(after))


@lru_cache(maxsize=1024)
def _quorums(sets: VoterSets) -> tuple[frozenset[str], ...]:
    entry = Entry(
        voters=[Member(replica_id=replica_id) for replica_id in sets[0]],
        old_voters=[Member(replica_id=replica_id) for replica_id in sets[1]],
    )
    everyone = sorted({*sets[0], *sets[1]})
    found = []
    for size in range(1, len(everyone) + 1):
        found += [frozenset(chosen) for chosen in combinations(everyone, size) if has_quorum(entry, chosen)]
    return tuple(found)
