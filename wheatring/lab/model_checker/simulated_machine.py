"""One controller of the model: a real replica, and a disk that keeps only synced records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from wheatring.tier.consensus.replica import Replica
from wheatring.tier.consensus.types import Message, Timing, Write
from wheatring.tier.transport.messages_pb2 import ConsensusRecord, Entry, HardState, Member

REPLY_NUMBERS_PER_INCARNATION = 1 << 20


class DeterministicRandom(Random):
    """A generator without randomness: the search itself chooses when a timer fires."""

    def __init__(self, incarnation: int) -> None:
        super().__init__(0)
        self._incarnation = incarnation

    def random(self) -> float:
        """Return 0, for the shortest time-out."""
        return 0.0

    def getrandbits(self, _k: int, /) -> int:
        """Return the first reply number of the incarnation."""
        return self._incarnation * REPLY_NUMBERS_PER_INCARNATION


@dataclass(slots=True)
class Disk:
    """The state that survives a power loss."""

    replica_id: str
    hard_state: HardState
    entry: Entry

    def store(self, record: ConsensusRecord) -> None:
        """Store a synced record."""
        if record.HasField("hard_state"):
            self.hard_state = record.hard_state
        if record.HasField("entry"):
            self.entry = record.entry


@dataclass(frozen=True, slots=True)
class InFlightMessage:
    """A message in flight; it may arrive late, twice, out of order or never."""

    source: str
    target: str  # name of the machine; its replica may have been replaced since
    message: Message
    data: bytes

    @property
    def kind(self) -> str:
        """The name of the message's type."""
        return type(self.message).__name__


ReplicaFactory = Callable[[Member, HardState, Entry, Random, float, Timing], Replica]


@dataclass(slots=True)
class SimulatedMachine:
    """One machine, whose address is its name."""

    name: str
    disk: Disk
    replica: Replica
    make_replica: ReplicaFactory
    incarnation: int = 1
    pending: list[Write] = field(default_factory=list)

    @classmethod
    def with_disk(
        cls, name: str, disk: Disk, make_replica: ReplicaFactory, incarnation: int, now: float
    ) -> SimulatedMachine:
        """Return a machine that starts from the state on its disk."""
        member = Member(replica_id=disk.replica_id, address=name, node=name)
        random = DeterministicRandom(incarnation)
        replica = make_replica(member, disk.hard_state, disk.entry, random, now, Timing())
        return cls(name, disk, replica, make_replica, incarnation)

    def restarted(self, now: float) -> SimulatedMachine:
        """Return the machine after a power loss and a restart."""
        return self.with_disk(self.name, replace(self.disk), self.make_replica, self.incarnation + 1, now)

    def wiped(self, replica_id: str, entry: Entry, now: float) -> SimulatedMachine:
        """Return the machine after a restart with a new disk that holds `entry`."""
        disk = Disk(replica_id, HardState(), entry)
        return self.with_disk(self.name, disk, self.make_replica, self.incarnation + 1, now)

    def clone(self) -> SimulatedMachine:
        """Return an independent copy."""
        return SimulatedMachine(
            self.name,
            replace(self.disk),
            self.replica.clone(),
            self.make_replica,
            self.incarnation,
            list(self.pending),
        )
