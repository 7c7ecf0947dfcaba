"""A model of storage replicas under changing placements, with clients that may know any of the placements.

The decisions are made by the real code: `next_placement`, `place_key`, `RecordTable`, `can_skip_copy` and
`copy_sources_required`. The steps in between (the fence, the sync before an acknowledgement, the copy) are
modelled after `storage/replica.py` and `storage/repair.py`. Agreement on a placement is checked by the
consensus model; here placements form a simple sequence.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from wheatring.lab.model_checker.exceptions import InvariantViolationError
from wheatring.lab.model_checker.search import SearchResult
from wheatring.tier.controller.commands import StartRetirement
from wheatring.tier.controller.storage_membership import StorageReport, complete_retirements, next_placement
from wheatring.tier.placement.key_placement import KeyPlacement, place_key, quorum_sizes, replicas_for
from wheatring.tier.storage.copy_rules import can_skip_copy, copy_sources_required
from wheatring.tier.storage.record_table import RecordTable
from wheatring.tier.transport.messages_pb2 import (
    ControlState,
    Placement,
    StorageMember,
    StorageRecord,
    Turn,
)

WALK_LENGTH = 260  # steps
OLD_REPORT_SECONDS = 5.0  # age of the last report of a member that is silent and may return
RETENTION_MS = 1_000_000_000
SPARE_MACHINES = 2


@dataclass(frozen=True, slots=True)
class StorageRules:
    """The options of a walk; a flag that is off is a mutant."""

    losses: int = 1
    absence_needs_quorum: bool = True
    fence_is_durable: bool = True
    change_needs_complete_members: bool = True
    acknowledged_after_sync: bool = True


@dataclass(slots=True)
class SimulatedStore:
    """One storage machine with its current disk."""

    name: str
    replica_id: str
    table: RecordTable = field(default_factory=RecordTable)
    synced: list[StorageRecord] = field(default_factory=list)
    unsynced: list[StorageRecord] = field(default_factory=list)
    fence: int = 0
    synced_fence: int = 0
    complete_epoch: int = 0
    placement: Placement = field(default_factory=Placement)  # the newest one that it knows
    copied_epoch: int = 0  # the epoch of the copy in progress
    copied_from: set[str] = field(default_factory=set)

    def member(self) -> StorageMember:
        """Return the store as a member of a placement."""
        return StorageMember(replica_id=self.replica_id, node=self.name, address=self.name, zone=self.name)

    def rejects(self, epoch: int) -> bool:
        """Return whether a request of this epoch is rejected as outdated."""
        return epoch < max(self.fence, self.placement.epoch)

    def append(self, record: StorageRecord) -> None:
        """Add a record; until it is synced, a power loss removes it."""
        if self.table.apply(record, 0.0):
            self.unsynced.append(record)

    def sync(self) -> None:
        """Make all records durable."""
        self.synced += self.unsynced
        self.unsynced = []


@dataclass(slots=True)
class Operation:
    """A write or a read of one turn under one placement."""

    turn: str
    placement: Placement
    is_write: bool
    key_placement: KeyPlacement
    replied: set[str] = field(default_factory=set)
    was_acknowledged: bool = False  # the turn was acknowledged before this operation started


class StorageModel:
    """One state of the modelled storage, and the steps that lead out of it."""

    def __init__(self, rules: StorageRules, random: Random) -> None:
        self.rules = rules
        self.random = random
        self.number = 0
        self.operations: list[Operation] = []
        self.acknowledged: set[str] = set()
        self.losses_seen = 0
        self.state = ControlState()
        self.reset(2 * rules.losses + 1 + random.randint(0, 1))

    def reset(self, machines: int) -> None:
        """Reset the model to this number of machines without records."""
        self.stores = {f"s{n}": SimulatedStore(f"s{n}", f"s{n}-1") for n in range(1, machines + 1)}
        self.spares = [f"s{machines + n}" for n in range(1, SPARE_MACHINES + 1)]
        first = Placement(epoch=1, current=[store.member() for store in self.stores.values()])
        self.placements = [first]
        self.state.placement.CopyFrom(first)
        self.reports = {
            store.replica_id: StorageReport(store.member(), 0, 0.1) for store in self.stores.values()
        }

    @property
    def newest_placement(self) -> Placement:
        """The newest placement, as an object that is never modified."""
        return self.placements[-1]

    @property
    def placement(self) -> Placement:
        """The newest placement, as the mutable part of the control state."""
        return self.state.placement

    # Steps, each looked up by its name

    def step(self) -> str:
        """Take one random step and return its name. Raises InvariantViolationError."""
        verb = self.random.choices(list(STEPS), list(STEPS.values()))[0]
        getattr(self, f"_{verb}")()
        return verb

    def _any_store(self) -> SimulatedStore:
        return self.random.choice(list(self.stores.values()))

    def _learn(self) -> None:
        """Send the newest placement, or the one before it, to a store."""
        store = self._any_store()
        learned = self.random.choice(self.placements[-2:])
        if learned.epoch > store.placement.epoch:
            store.placement = learned

    def _draw_client_placement(self) -> Placement:
        oldest = 3 if self.random.random() < 0.5 else 1
        return self.random.choice(self.placements[-oldest:])

    def _write(self) -> None:
        self.number += 1
        self._start_operation(f"t{self.number}", is_write=True)

    def _read(self) -> None:
        if self.acknowledged and self.random.random() < 0.8:
            turn = self.random.choice(sorted(self.acknowledged))
        else:
            turn = f"t{self.random.randint(1, self.number + 1)}"
        self._start_operation(turn, is_write=False)

    def _start_operation(self, turn: str, is_write: bool) -> None:
        placement = self._draw_client_placement()
        key_placement = place_key(turn, placement, self.rules.losses)
        operation = Operation(
            turn, placement, is_write, key_placement, was_acknowledged=turn in self.acknowledged
        )
        self.operations.append(operation)
        del self.operations[:-12]

    def _ask(self) -> None:
        """Deliver a request of an operation to a member, and the member's reply."""
        if not self.operations:
            return
        operation = self.random.choice(self.operations)
        member = self.random.choice(operation.key_placement.members)
        store = self.stores.get(member.address)
        if store is not None and store.replica_id == member.replica_id:
            self.deliver_request(operation, store)

    def deliver_request(self, operation: Operation, store: SimulatedStore) -> None:
        """Deliver a request to a store, which answers it or rejects its epoch."""
        if store.rejects(operation.placement.epoch):
            return
        if operation.is_write:
            self._deliver_write(operation, store)
        else:
            self._deliver_read(operation, store)

    def _deliver_write(self, operation: Operation, store: SimulatedStore) -> None:
        turn = Turn(id=operation.turn, retention_ms=RETENTION_MS)
        store.append(StorageRecord(turn=turn))
        if self.rules.acknowledged_after_sync:
            store.sync()
        operation.replied.add(store.replica_id)
        if operation.key_placement.has_write_quorum(operation.replied):
            self.acknowledged.add(operation.turn)
            self._remove_operation(operation)
            self._check_copies(operation)

    def _deliver_read(self, operation: Operation, store: SimulatedStore) -> None:
        if store.table.turn(operation.turn) is not None:
            self._remove_operation(operation)
            return
        operation.replied.add(store.replica_id)
        if self._is_absent(operation):
            self._remove_operation(operation)
            if operation.was_acknowledged:
                raise InvariantViolationError(
                    f"turn {operation.turn} was acknowledged and is said not to exist"
                )

    def _remove_operation(self, operation: Operation) -> None:
        self.operations = [other for other in self.operations if other is not operation]

    def _is_absent(self, operation: Operation) -> bool:
        replied = operation.replied
        if not self.rules.absence_needs_quorum:
            return bool(replied)
        return operation.key_placement.has_read_quorum(replied)

    def _check_copies(self, operation: Operation) -> None:
        """Check that every member that has acknowledged a turn has it on disk, unless it lost its disk."""
        for store in self.stores.values():
            has_acknowledged = store.replica_id in operation.replied
            if has_acknowledged and not any(record.turn.id == operation.turn for record in store.synced):
                raise InvariantViolationError(
                    f"{store.replica_id} has acknowledged {operation.turn} and has it not on disk"
                )

    # Repair

    def _follow(self) -> None:
        self.repair(self._any_store())

    def repair(self, store: SimulatedStore) -> None:
        """Take a store's next step towards the newest placement that it knows."""
        placement = store.placement
        is_member = any(member.replica_id == store.replica_id for member in placement.next)
        if not is_member or store.complete_epoch >= placement.epoch:
            return
        if store.fence < placement.epoch:
            self._fence(store, placement.epoch)
        if can_skip_copy(store.replica_id, placement, self.rules.losses):
            store.complete_epoch = placement.epoch
            return
        if store.copied_epoch != placement.epoch:
            store.copied_epoch, store.copied_from = placement.epoch, set()
        present = [member for member in placement.current if not member.lost]
        others = [member for member in present if member.replica_id != store.replica_id]
        needed = copy_sources_required(placement, self.rules.losses) - (len(present) - len(others))
        source = self.random.choice(others)
        if self._copy(store, source, placement):
            store.copied_from.add(source.replica_id)
        if len(store.copied_from) >= needed:
            store.sync()
            store.complete_epoch = placement.epoch

    def _fence(self, store: SimulatedStore, epoch: int) -> None:
        store.fence = epoch
        if self.rules.fence_is_durable:
            store.sync()
            store.synced_fence = epoch

    def _copy(self, store: SimulatedStore, source: StorageMember, placement: Placement) -> bool:
        """Copy this store's records from a source, which fences older epochs before it answers."""
        other = self.stores.get(source.address)
        if other is None or other.replica_id != source.replica_id or placement.epoch < other.placement.epoch:
            return False
        other.placement = placement
        if other.fence < placement.epoch:
            self._fence(other, placement.epoch)
        copies = quorum_sizes(len(placement.next), self.rules.losses).copies
        for payload in other.table.payloads():
            record = StorageRecord.FromString(payload)
            chosen = replicas_for(record.turn.id, placement.next, copies)
            if any(member.replica_id == store.replica_id for member in chosen):
                store.append(record)
        store.sync()
        return True

    # The controllers

    def _report(self) -> None:
        self.report(self._any_store())

    def report(self, store: SimulatedStore) -> None:
        """Deliver a store's report to the leader; it replaces that of an earlier replica at the address."""
        for replica_id in [i for i, r in self.reports.items() if r.member.address == store.name]:
            del self.reports[replica_id]
        self.reports[store.replica_id] = StorageReport(store.member(), store.complete_epoch, 0.1)

    def _age_reports(self) -> None:
        """Age some of the reports."""
        for replica_id, report in list(self.reports.items()):
            if self.random.random() < 0.3:
                self.reports[replica_id] = StorageReport(
                    report.member, report.complete_epoch, OLD_REPORT_SECONDS
                )

    def _decide(self) -> None:
        self.decide()

    def decide(self) -> None:
        """Let the leader change the placement if a change is due."""
        reported = self.reports
        if not self.rules.change_needs_complete_members and self.placement.next:
            reported = {
                i: StorageReport(r.member, max(r.complete_epoch, self.placement.epoch), r.age)
                for i, r in reported.items()
            }
        placement = next_placement(self.state, reported, self.rules.losses, 99.0, 99.0)
        if placement is None:
            return
        if not all(member.lost or self._is_present(member) for member in placement.next):
            return  # a new member was lost before this decision; the replica after it will report
        self.state.placement.CopyFrom(placement)
        self.placements.append(placement)

    def _is_present(self, member: StorageMember) -> bool:
        store = self.stores.get(member.address)
        return store is not None and store.replica_id == member.replica_id

    # Losses

    def _crash(self) -> None:
        self.crash(self._any_store())

    def crash(self, store: SimulatedStore) -> None:
        """Restart a store after a power loss, without its unsynced records."""
        restarted = SimulatedStore(
            store.name, store.replica_id, synced=store.synced, complete_epoch=store.complete_epoch
        )
        restarted.fence = restarted.synced_fence = store.synced_fence
        for record in restarted.synced:
            restarted.table.apply(record, 0.0)
        self.stores[store.name] = restarted

    def _wipe(self) -> None:
        """Replace a store's disk by an empty one, unless too many lost disks are still to be replaced."""
        if not self._may_lose_disk():
            return
        store = self._any_store()
        number = int(store.replica_id.partition("-")[2]) + 1
        self.stores[store.name] = SimulatedStore(store.name, f"{store.name}-{number}")
        self.losses_seen += 1

    def _may_lose_disk(self) -> bool:
        wiped = [store for store in self.stores.values() if not store.replica_id.endswith("-1")]
        return sum(not self._is_replaced(store) for store in wiped) < self.rules.losses

    def _is_replaced(self, store: SimulatedStore) -> bool:
        """Return whether a store with a new disk is a member of a set whose copies are complete."""
        placement = self.placement
        if not placement.next:
            return any(m.replica_id == store.replica_id and not m.lost for m in placement.current)
        is_complete = all(
            self._is_present(m) and self.stores[m.address].complete_epoch >= placement.epoch
            for m in placement.next
        )
        return is_complete and any(m.replica_id == store.replica_id for m in placement.next)

    def _add(self) -> None:
        """Add a machine."""
        if self.spares and not self.placement.next:
            name = self.spares.pop()
            self.stores[name] = SimulatedStore(name, f"{name}-1")

    def _retire(self) -> None:
        """Start the retirement of a machine."""
        store = self._any_store()
        StartRetirement(store.name, 2 * self.rules.losses + 1).apply(self.state)

    def _complete(self) -> None:
        """Mark drained machines as retired."""
        complete_retirements(self.state, ())

    def _decommission(self) -> None:
        """Remove a retired machine."""
        drained = [r.node for r in self.state.retirements if r.completed and r.node in self.stores]
        if drained:
            del self.stores[drained[0]]
            self.reports = {i: r for i, r in self.reports.items() if r.member.address != drained[0]}

    # Recovery

    def check_recovery(self) -> None:
        """Check that, without further faults, every store becomes a complete member and no turn is lost."""
        for _ in range(400):
            for verb in ("report", "decide", "learn", "follow", "follow", "ask", "complete", "decommission"):
                getattr(self, f"_{verb}")()
        placement = self.placement
        members = {member.replica_id for member in placement.current if not member.lost}
        if placement.next or members != {store.replica_id for store in self.stores.values()}:
            raise InvariantViolationError("the placement has not come to rest although nothing goes wrong")
        for turn in self.acknowledged:
            copies = [
                m
                for m in place_key(turn, placement, self.rules.losses).members
                if any(r.turn.id == turn for r in self.stores[m.address].synced)
            ]
            if len(copies) < self.rules.losses + 1:
                raise InvariantViolationError(
                    f"turn {turn} was acknowledged and is on {len(copies)} disks that count"
                )


STEPS = {
    "ask": 50,
    "write": 8,
    "read": 10,
    "learn": 6,
    "follow": 14,
    "report": 10,
    "decide": 6,
    "age_reports": 0.5,
    "crash": 1.5,
    "wipe": 1.5,
    "add": 0.4,
    "retire": 1.0,
    "complete": 2,
    "decommission": 0.6,
}


def random_walk(rules: StorageRules, seed: int) -> SearchResult:
    """Take one random walk, and check the recovery after it."""
    result = SearchResult()
    model = StorageModel(rules, Random(seed))
    try:
        for verb in _steps(model):
            result.states += 1
            result.steps[verb] += 1
        model.check_recovery()
    except InvariantViolationError as violation:
        result.violation, result.trace = (
            str(violation),
            [f"storage walk, seed {seed}, losses {rules.losses}"],
        )
    result.reached["disks lost"] += model.losses_seen
    result.reached["turns acknowledged"] += len(model.acknowledged)
    result.reached["placements"] += len(model.placements)
    return result


def _steps(model: StorageModel) -> Iterator[str]:
    for _ in range(WALK_LENGTH):
        yield model.step()
