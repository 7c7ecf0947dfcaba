"""The invariants of the control plane, checked after every step (docs/design/control-safety.md)."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from functools import lru_cache
from itertools import combinations

from wheatring.lab.model_checker.exceptions import InvariantViolationError
from wheatring.tier.consensus.electorate import has_quorum
from wheatring.tier.consensus.types import Position, entry_position
from wheatring.tier.controller.commands import ReplaceConfiguration, UpdateConfiguration
from wheatring.tier.transport.messages_pb2 import ControlState, Entry, Member

MAX_STATE_BYTES = 8192  # far above the size of the small configurations that the models use


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A configuration change that was acknowledged to its operator at `at` (seconds)."""

    position: Position
    command: ReplaceConfiguration | UpdateConfiguration
    generation: int
    digest: bytes
    at: float


@dataclass(slots=True)
class History:
    """The leaders, commits and acknowledgements recorded so far.

    The `record_` methods raise InvariantViolationError if the new event contradicts the earlier ones.
    """

    leaders: dict[int, str] = field(default_factory=dict)
    positions: list[Position] = field(default_factory=list)  # of committed entries, in order
    committed: dict[Position, Entry] = field(default_factory=dict)
    acknowledged: list[Acknowledged] = field(default_factory=list)

    def clone(self) -> History:
        """Return an independent copy."""
        return History(
            dict(self.leaders), list(self.positions), dict(self.committed), list(self.acknowledged)
        )

    @property
    def newest_acknowledged(self) -> int:
        """The newest acknowledged generation; 0 if there is none."""
        return self.acknowledged[-1].generation if self.acknowledged else 0

    def record_leader(self, term: int, replica_id: str) -> None:
        """Record the leader of a term."""
        other = self.leaders.setdefault(term, replica_id)
        if other != replica_id:
            raise InvariantViolationError(f"{other} and {replica_id} both lead term {term}")

    def record_committed(self, entry: Entry) -> None:
        """Record an entry that a replica treats as committed."""
        position = entry_position(entry)
        known = self.committed.get(position)
        if known is not None:
            if known.data != entry.data:
                raise InvariantViolationError(f"two entries are committed at {position}")
            return
        index = bisect_left(self.positions, position)
        self._check_neighbours(index, entry)
        self._check_acknowledged(entry, position)
        if entry.ByteSize() > MAX_STATE_BYTES:
            raise InvariantViolationError(f"the state has grown to {entry.ByteSize()} bytes")
        self.positions.insert(index, position)
        self.committed[position] = entry

    def _check_neighbours(self, index: int, entry: Entry) -> None:
        generation = generation_of(entry.data)
        before = self.committed[self.positions[index - 1]] if index else None
        after = self.committed[self.positions[index]] if index < len(self.positions) else None
        if before is not None and generation_of(before.data) > generation:
            raise InvariantViolationError(
                f"generation {generation} is committed behind {generation_of(before.data)}"
            )
        if after is not None and generation_of(after.data) < generation:
            raise InvariantViolationError(
                f"generation {generation} is committed before {generation_of(after.data)}"
            )
        if before is not None and before.index + 1 == entry.index and not overlap(before, entry):
            raise InvariantViolationError("majorities of entries in sequence need not overlap")

    def _check_acknowledged(self, entry: Entry, position: Position) -> None:
        """Check that a committed entry contains the changes acknowledged up to its position."""
        earlier = [change for change in self.acknowledged if change.position <= position]
        if earlier and not has_change(entry.data, earlier[-1].digest):
            raise InvariantViolationError(
                f"the acknowledged generation {earlier[-1].generation} is lost at {position}"
            )

    def record_acknowledged(self, change: Acknowledged) -> None:
        """Record a change that is acknowledged to its operator."""
        for other in self.acknowledged:
            if other.digest == change.digest:
                return
            if other.command.base == change.command.base:
                raise InvariantViolationError(
                    f"two changes of generation {change.command.base} are acknowledged"
                )
        for position in self.positions:
            entry = self.committed[position]
            if position >= change.position and not has_change(entry.data, change.digest):
                raise InvariantViolationError(
                    f"generation {change.generation} is acknowledged and not in {position}"
                )
        self.acknowledged.append(change)
        self.acknowledged.sort(key=lambda change: change.position)

    def record_read(self, generation: int, min_generation: int) -> None:
        """Record the generation that an operator reads; `min_generation` was acknowledged before the read."""
        if generation < min_generation:
            raise InvariantViolationError(
                f"generation {generation} is read, {min_generation} was acknowledged before"
            )

    def record_freshness_claim(self, name: str, generation: int, since: float) -> None:
        """Record a replica's claim to know every change acknowledged before `since` (seconds)."""
        min_generation = max(
            (change.generation for change in self.acknowledged if change.at < since), default=0
        )
        if generation < min_generation:
            raise InvariantViolationError(
                f"{name} vouches for generation {generation}, {min_generation} was acknowledged before"
            )


@lru_cache(maxsize=4096)
def _state(data: bytes) -> tuple[int, frozenset[bytes]]:
    state = ControlState.FromString(data)
    return state.generation, frozenset(accepted.digest for accepted in state.accepted)


def generation_of(data: bytes) -> int:
    """Return the generation of a serialized control state."""
    return _state(data)[0]


def has_change(data: bytes, digest: bytes) -> bool:
    """Return whether a change is in the history of a serialized control state."""
    return digest in _state(data)[1]


def overlap(before: Entry, after: Entry) -> bool:
    """Return whether every quorum of one entry shares a replica with every quorum of the other."""
    return _overlap(_voter_ids(before), _voter_ids(after))


VoterSets = tuple[tuple[str, ...], tuple[str, ...]]  # replica IDs of the voters and of the old voters


def _voter_ids(entry: Entry) -> VoterSets:
    new = tuple(sorted(voter.replica_id for voter in entry.voters))
    old = tuple(sorted(voter.replica_id for voter in entry.old_voters))
    return new, old


@lru_cache(maxsize=1024)
def _overlap(before: VoterSets, after: VoterSets) -> bool:
    return all(quorum & other for quorum in _quorums(before) for other in _quorums(after))


@lru_cache(maxsize=1024)
def _quorums(sets: VoterSets) -> tuple[frozenset[str], ...]:
    entry = Entry(
        voters=[Member(replica_id=replica_id) for replica_id in sets[0]],
        old_voters=[Member(replica_id=replica_id) for replica_id in sets[1]],
    )
    replica_ids = sorted({*sets[0], *sets[1]})
    quorums = []
    for size in range(1, len(replica_ids) + 1):
        quorums += [
            frozenset(chosen) for chosen in combinations(replica_ids, size) if has_quorum(entry, chosen)
        ]
    return tuple(quorums)
