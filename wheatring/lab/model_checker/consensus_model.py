"""A model of controllers whose events occur in any order, and of operators that change and read the state.

Machines may be delayed, crashed, wiped and partitioned; operators retry their commands. An action is one line
of text (`tick A`, `deliver A B VoteReply`, `wipe C`), so a trace can be stored and replayed (`trace`).
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from wheatring.lab.model_checker.exceptions import InvariantViolationError
from wheatring.lab.model_checker.invariants import Acknowledged, History, generation_of
from wheatring.lab.model_checker.simulated_machine import (
    Disk,
    InFlightMessage,
    ReplicaFactory,
    SimulatedMachine,
)
from wheatring.tier.consensus.replica import Replica
from wheatring.tier.consensus.types import Effects, Position, State, entry_position
from wheatring.tier.controller.commands import (
    Accepted,
    Conflict,
    Indeterminate,
    ReplaceConfiguration,
    UpdateConfiguration,
    apply_batch,
)
from wheatring.tier.controller.consensus_store import first_entry, seed_member
from wheatring.tier.controller.voter_selection import Candidate, next_voters
from wheatring.tier.transport.messages_pb2 import Entry, HardState

MAX_IN_FLIGHT = 24  # messages; above this number the oldest ones are lost
SILENT_VOTER_SECONDS = 9.0  # silence reported for a voter that should be replaced
MAX_CLAIM_STALENESS_SECONDS = 1.0  # below this staleness a controller treats its configuration as current


@dataclass(frozen=True, slots=True)
class PendingCommand:
    """A command that a leader has received and not yet answered."""

    machine: str
    incarnation: int
    term: int
    position: Position | None  # the entry that must be committed; None if the command changes nothing
    round: int  # the round that a quorum must answer if the command changes nothing
    change: Acknowledged | None
    read: int | None = None  # the generation that a read returns; -1 for a rejected retry
    min_generation: int = 0  # the newest generation acknowledged before the read started


@dataclass(frozen=True, slots=True)
class Rules:
    """The options of a search and the code under test; a flag that differs from its default is a mutant."""

    names: tuple[str, ...] = ("A", "B", "C")
    make_replica: ReplicaFactory = Replica
    losses: int = 1
    wipe_keeps_identity: bool = False
    reads_need_round: bool = True
    history_is_replicated: bool = True


def body_of(generation: int, operator: int = 0) -> bytes:
    """Return a small configuration."""
    return b'{"generation":%d,"routes":[],"services":[],"by":%d}' % (generation, operator)


def commands_on(base: int, operator: int) -> list[ReplaceConfiguration | UpdateConfiguration]:
    """Return a replacement and an update by two operators, both based on the same version.

    Which of them comes first alternates with the version.
    """
    replacement = ReplaceConfiguration(base, body_of(base + 1, operator))
    update = UpdateConfiguration(
        base, b'{"generation":%d,"upsert":{"services":[{"name":"s","by":%d}]}}' % (base + 1, operator)
    )
    return [update, replacement] if base % 2 else [replacement, update]


class Model:
    """One state of the modelled system, and the steps that lead out of it."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.now = 1.0
        self.history = History()
        self.in_flight: list[InFlightMessage] = []
        self.pending_commands: list[PendingCommand] = []
        self.machines: dict[str, SimulatedMachine] = {}
        first = first_entry(rules.names)
        for name in rules.names:
            disk = Disk(seed_member(name).replica_id, HardState(), first)
            self.machines[name] = SimulatedMachine.with_disk(name, disk, rules.make_replica, 1, self.now)

    def clone(self) -> Model:
        """Return an independent copy."""
        copied = object.__new__(Model)
        copied.rules, copied.now = self.rules, self.now
        copied.history = self.history.clone()
        copied.in_flight, copied.pending_commands = list(self.in_flight), list(self.pending_commands)
        copied.machines = {name: machine.clone() for name, machine in self.machines.items()}
        return copied

    def key(self) -> int:
        """Return a key for this state; round and reply numbers do not affect it."""
        machines = tuple(self._machine_key(machine) for machine in self.machines.values())
        in_flight = tuple(sorted((f.source, f.target, f.kind, f.data) for f in self.in_flight))
        acknowledged = tuple(change.digest for change in self.history.acknowledged)
        return hash((machines, in_flight, acknowledged, len(self.pending_commands)))

    def _machine_key(self, machine: SimulatedMachine) -> tuple[object, ...]:
        replica, disk = machine.replica, machine.disk
        progress = tuple(
            (i, p.synced_position, p.sent_position, replica.round - p.round)
            for i, p in sorted(replica.progress.items())
        )
        contact_age = round(min(self.now - replica.leader_contact_at, replica.timing.election_seconds), 2)
        due = round(replica.next_deadline() - self.now, 2)
        committed = entry_position(replica.committed) if replica.committed is not None else None
        disk_key = (disk.replica_id, disk.hard_state.term, disk.hard_state.voted_for, _entry_key(disk.entry))
        pending = tuple(write.record.SerializeToString() for write in machine.pending)
        votes = tuple(sorted(replica._votes)) if replica.state is not State.FOLLOWER else ()
        return (
            (replica.state, replica.term, replica.voted_for, _entry_key(replica.entry), committed),
            (replica.synced_position, votes, progress, contact_age, due, tuple(replica.learners)),
            disk_key,
            pending,
        )

    # Steps

    def apply(self, action: str) -> bool:
        """Take a step.

        Returns
        -------
        False if the step is not possible in this state.

        Raises
        ------
        InvariantViolationError
            The state after the step violates an invariant.
        """
        verb, *arguments = action.split()
        step = getattr(self, f"_do_{verb}")
        if not step(*arguments):
            return False
        self._check()
        return True

    def actions(self) -> Iterator[str]:
        """Yield all steps that may be possible in this state."""
        counts: dict[tuple[str, str, str], int] = {}
        for message in self.in_flight:
            connection = (message.source, message.target, message.kind)
            number = counts[connection] = counts.get(connection, 0) + 1
            arguments = f"{message.source} {message.target} {message.kind} {number}"
            yield f"deliver {arguments}"
            yield f"drop {arguments}"
            yield f"duplicate {arguments}"
        for name, machine in self.machines.items():
            yield f"tick {name}"
            yield f"crash {name}"
            if machine.pending:
                yield f"sync {name}"
                yield f"fail {name}"
            if self.may_wipe():
                yield f"wipe {name}"
            if machine.replica.state is State.LEADER:
                yield from self._commands_at(name)

    def _commands_at(self, name: str) -> Iterator[str]:
        for verb in ("change", "repeat", "read", "members", "transfer"):
            yield f"{verb} {name}"
        for other in self.machines:
            if other != name:
                yield f"members {name} {other}"

    def leader(self) -> SimulatedMachine | None:
        """Return the leader of the newest term, or None."""
        leading = [m for m in self.machines.values() if m.replica.state is State.LEADER]
        return max(leading, key=lambda machine: machine.replica.term, default=None)

    def may_wipe(self) -> bool:
        """Return whether the fault tolerance covers another lost disk, as all earlier ones are replaced."""
        leader = self.leader()
        if leader is None or not leader.replica.can_propose or len(leader.replica.voters) < 3:
            return False
        alive = {machine.disk.replica_id for machine in self.machines.values()}
        voters = {voter.replica_id for voter in leader.replica.voters}
        newest = entry_position(leader.replica.entry)
        synced = [m for m in self.machines.values() if entry_position(m.disk.entry) == newest]
        return voters <= alive and {machine.disk.replica_id for machine in synced} >= voters

    def _apply_effects(self, machine: SimulatedMachine, effects: Effects) -> bool:
        for outgoing in effects.messages:
            data = outgoing.message.SerializeToString()
            self.in_flight.append(InFlightMessage(machine.name, outgoing.to.address, outgoing.message, data))
        machine.pending.extend(effects.writes)
        del self.in_flight[: max(0, len(self.in_flight) - MAX_IN_FLIGHT)]
        return True

    def _do_tick(self, name: str) -> bool:
        """Fire the timer of a machine; the time of all machines advances to its deadline."""
        machine = self.machines[name]
        self.now = max(self.now, machine.replica.next_deadline())
        return self._apply_effects(machine, machine.replica.tick(self.now))

    def _do_elapse(self, seconds: str) -> bool:
        """Advance the time without firing a timer."""
        self.now += float(seconds)
        return True

    def _find_message(self, arguments: Sequence[str]) -> InFlightMessage | None:
        source, target, kind = arguments[:3]
        number = int(arguments[3]) if len(arguments) > 3 else 1
        matching = [f for f in self.in_flight if f.source == source and f.target == target and f.kind == kind]
        return matching[number - 1] if number <= len(matching) else None

    def _do_deliver(self, *arguments: str) -> bool:
        message = self._find_message(arguments)
        if message is None:
            return False
        self.in_flight.remove(message)
        return self._receive(message)

    def _do_duplicate(self, *arguments: str) -> bool:
        """Deliver a message and keep it in flight, so that it may arrive again."""
        message = self._find_message(arguments)
        return message is not None and self._receive(message)

    def _receive(self, message: InFlightMessage) -> bool:
        machine = self.machines.get(message.target)
        if machine is None:
            return True
        return self._apply_effects(machine, machine.replica.receive(self.now, message.message))

    def _do_drop(self, *arguments: str) -> bool:
        message = self._find_message(arguments)
        if message is not None:
            self.in_flight.remove(message)
        return message is not None

    def _do_hush(self) -> bool:
        """Drop all messages in flight."""
        self.in_flight.clear()
        return True

    def _do_sync(self, name: str) -> bool:
        """Complete the oldest pending write."""
        machine = self.machines[name]
        if not machine.pending:
            return False
        write = machine.pending.pop(0)
        machine.disk.store(write.record)
        return self._apply_effects(machine, machine.replica.write_completed(self.now, write))

    def _do_fail(self, name: str) -> bool:
        """Fail the oldest pending write."""
        machine = self.machines[name]
        if not machine.pending:
            return False
        machine.replica.write_failed(machine.pending.pop(0))
        return True

    def _do_crash(self, name: str) -> bool:
        """Restart a machine after a power loss; messages in flight to it may still arrive."""
        self.machines[name] = self.machines[name].restarted(self.now)
        return True

    def _do_wipe(self, name: str) -> bool:
        """Restart a machine after a power loss, with a new disk."""
        if not self.may_wipe():
            return False
        machine = self.machines[name]
        if self.rules.wipe_keeps_identity:
            wiped = machine.wiped(machine.disk.replica_id, first_entry(self.rules.names), self.now)
        else:
            wiped = machine.wiped(f"{name}{machine.incarnation + 1}", Entry(), self.now)
        self.machines[name] = wiped
        return True

    # Operator commands and the controllers' own maintenance

    def _do_change(self, name: str) -> bool:
        """Submit concurrent changes of the newest version by two operators; one of them is accepted."""
        machine = self.machines[name]
        replica = machine.replica
        if not replica.can_propose or replica.committed is None:
            return False
        base = generation_of(replica.committed.data)
        commands = commands_on(base, replica.term)
        applied = apply_batch(replica.committed.data, commands)
        if [type(outcome) for outcome in applied.outcomes] != [
            Accepted,
            Conflict,
        ] or applied.new_state is None:
            raise InvariantViolationError(f"two orders on generation {base} were told {applied.outcomes}")
        data = applied.new_state if self.rules.history_is_replicated else _without_history(applied.new_state)
        position, effects = replica.propose(self.now, data)
        change = Acknowledged(position, commands[0], base + 1, commands[0].digest, at=self.now)
        self.pending_commands.append(
            PendingCommand(name, machine.incarnation, replica.term, position, 0, change)
        )
        return self._apply_effects(machine, effects)

    def _do_repeat(self, name: str) -> bool:
        """Retry the newest acknowledged command."""
        machine = self.machines[name]
        replica = machine.replica
        if not replica.can_propose or replica.committed is None or not self.history.acknowledged:
            return False
        command = self.history.acknowledged[-1].command
        applied = apply_batch(replica.committed.data, [command])
        if applied.new_state is not None:
            return False  # only a leader that can no longer commit accepts the command again
        if not isinstance(applied.outcomes[0], Accepted | Indeterminate):
            number, effects = replica.confirm_leadership(self.now)
            pending = PendingCommand(name, machine.incarnation, replica.term, None, number, None, -1, 0)
            self.pending_commands.append(pending)
            return self._apply_effects(machine, effects)
        return True

    def _do_read(self, name: str) -> bool:
        machine = self.machines[name]
        replica = machine.replica
        if not replica.can_propose or replica.committed is None:
            return False
        generation = generation_of(replica.committed.data)
        min_generation = self.history.newest_acknowledged
        if not self.rules.reads_need_round:
            self.history.record_read(generation, min_generation)
            return True
        number, effects = replica.confirm_leadership(self.now)
        pending = PendingCommand(
            name, machine.incarnation, replica.term, None, number, None, generation, min_generation
        )
        self.pending_commands.append(pending)
        return self._apply_effects(machine, effects)

    def _do_members(self, name: str, silent: str = "") -> bool:
        """Run a leader's voter maintenance; `silent` names a machine that has long been unreachable."""
        machine = self.machines[name]
        replica = machine.replica
        if replica.state is not State.LEADER:
            return False
        present = {m.disk.replica_id: m.replica.me for m in self.machines.values()}
        voting = {member.replica_id for member in replica.members}
        learners = {i: member for i, member in present.items() if i not in voting}
        if learners.keys() != replica.learners.keys():
            replica.set_learners(learners)
            return True
        if not replica.can_propose:
            return False
        newest = entry_position(replica.entry)
        candidates = [
            Candidate(member, replica.progress[i].synced_position == newest)
            for i, member in learners.items()
            if i in replica.progress
        ]
        silences = {
            voter.replica_id: SILENT_VOTER_SECONDS for voter in replica.voters if voter.address == silent
        }
        wanted = next_voters(
            replica.me.replica_id, replica.voters, candidates, silences, 2 * self.rules.losses + 1
        )
        if wanted is None or all(voter.replica_id != replica.me.replica_id for voter in wanted):
            return False
        _, effects = replica.propose(self.now, replica.entry.data, wanted)
        return self._apply_effects(machine, effects)

    def _do_transfer(self, name: str) -> bool:
        machine = self.machines[name]
        effects = machine.replica.transfer()
        return bool(effects.messages) and self._apply_effects(machine, effects)

    # Checks

    def _check(self) -> None:
        for name, machine in self.machines.items():
            replica = machine.replica
            if replica.state is State.LEADER:
                self.history.record_leader(replica.term, replica.me.replica_id)
            if replica.committed is not None:
                self.history.record_committed(replica.committed)
                self._check_freshness(name, replica)
        self._answer_operators()

    def _check_freshness(self, name: str, replica: Replica) -> None:
        staleness = replica.staleness(self.now)
        if replica.committed is not None and staleness < MAX_CLAIM_STALENESS_SECONDS:
            self.history.record_freshness_claim(
                name, generation_of(replica.committed.data), self.now - staleness
            )

    def _answer_operators(self) -> None:
        """Answer the commands whose outcome is decided; drop those whose leader restarted or was deposed."""
        undecided = []
        for pending in self.pending_commands:
            machine = self.machines[pending.machine]
            replica = machine.replica
            is_leader = replica.state is State.LEADER and replica.term == pending.term
            if machine.incarnation != pending.incarnation or not is_leader:
                continue
            if not self._is_decided(pending, replica):
                undecided.append(pending)
            elif pending.change is not None:
                self.history.record_acknowledged(replace(pending.change, at=self.now))
            elif pending.read is not None and pending.read < 0:
                raise InvariantViolationError("a repeat of an acknowledged order is refused")
            elif pending.read is not None:
                self.history.record_read(pending.read, pending.min_generation)
        self.pending_commands = undecided

    @staticmethod
    def _is_decided(pending: PendingCommand, replica: Replica) -> bool:
        if pending.position is None:
            return replica.confirmed_round >= pending.round
        return replica.committed is not None and entry_position(replica.committed) >= pending.position


def _entry_key(entry: Entry) -> tuple[object, ...]:
    voters = tuple(voter.replica_id for voter in entry.voters)
    return entry.term, entry.index, voters, bool(entry.old_voters), hash(entry.data)


def _without_history(data: bytes) -> bytes:
    """Return a state without its accepted changes, for the mutant that does not replicate them."""
    from wheatring.tier.transport.messages_pb2 import ControlState

    state = ControlState.FromString(data)
    del state.accepted[:]
    return state.SerializeToString()
