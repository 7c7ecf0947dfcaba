"""Controllers that may be delayed, crashed, wiped and cut off in any order of events, with operators who
order changes, repeat them and read them back.

An action is a line of words (`tick A`, `deliver A B VoteReply`, `wipe C`), so a way through the states is a
text that can be played again (`trace.py`).
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace

from wheatring.consensus.replica import Replica
from wheatring.consensus.types import Effects, Position, State, entry_position
from wheatring.controller.commands import (
    Accepted,
    Conflict,
    Indeterminate,
    ReplaceConfiguration,
    UpdateConfiguration,
    apply_batch,
)
from wheatring.controller.consensus_store import first_entry, seed_member
from wheatring.controller.voter_selection import Candidate, next_voters
from wheatring.lab.control.invariants import Acknowledged, Broken, History, generation_of
from wheatring.lab.control.machine import Disk, Flight, Machine, MakeReplica
from wheatring.transport.messages_pb2 import Entry, HardState

MAX_FLIGHTS = 24  # the oldest message is lost beyond them
SILENT = 9.0  # seconds for which a voter that is given up has not been heard
VOUCHED_SECONDS = 1.0  # of silence up to which a controller's word on the configuration is taken


@dataclass(frozen=True, slots=True)
class WaitingOrder:
    """An operator waits at a leader for an order to be certain."""

    at: str
    life: int
    term: int
    position: Position | None  # of the entry that has to be committed, or None where nothing has changed
    round: int  # that a quorum has to answer, where nothing has changed
    change: Acknowledged | None
    read: int | None = None  # the generation that a read will be answered with
    least: int = 0  # acknowledged before a read has begun


@dataclass(frozen=True, slots=True)
class Rules:
    """What a search may do, and which code it drives."""

    names: tuple[str, ...] = ("A", "B", "C")
    make: MakeReplica = Replica
    losses: int = 1
    name_kept_by_wipe: bool = False  # a planted fault
    reads_need_a_round: bool = True
    history_is_known: bool = True


def body_of(generation: int, operator: int = 0) -> bytes:
    """A small configuration."""
    return b'{"generation":%d,"routes":[],"services":[],"by":%d}' % (generation, operator)


def orders_on(base: int, operator: int) -> list[ReplaceConfiguration | UpdateConfiguration]:
    """A replacement by one operator and an update by another one, on the same version; each kind is first in
    turn.
    """
    replacement = ReplaceConfiguration(base, body_of(base + 1, operator))
    update = UpdateConfiguration(
        base, b'{"generation":%d,"upsert":{"services":[{"name":"s","by":%d}]}}' % (base + 1, operator)
    )
    return [update, replacement] if base % 2 else [replacement, update]


class Model:
    """One state of the whole, and the steps out of it."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.now = 1.0
        self.history = History()
        self.flights: list[Flight] = []
        self.waiting: list[WaitingOrder] = []
        self.machines: dict[str, Machine] = {}
        first = first_entry(rules.names)
        for name in rules.names:
            disk = Disk(seed_member(name).replica_id, HardState(), first)
            self.machines[name] = Machine.with_disk(name, disk, rules.make, 1, self.now)

    def clone(self) -> Model:
        """An independent copy."""
        twin = object.__new__(Model)
        twin.rules, twin.now = self.rules, self.now
        twin.history = self.history.clone()
        twin.flights, twin.waiting = list(self.flights), list(self.waiting)
        twin.machines = {name: machine.clone() for name, machine in self.machines.items()}
        return twin

    def key(self) -> int:
        """Tells states apart, but for the numbers of rounds and replies that no message carries any more."""
        machines = tuple(self._machine_key(machine) for machine in self.machines.values())
        flights = tuple(sorted((f.source, f.target, f.kind, f.data) for f in self.flights))
        acknowledged = tuple(change.digest for change in self.history.acknowledged)
        return hash((machines, flights, acknowledged, len(self.waiting)))

    def _machine_key(self, machine: Machine) -> tuple[object, ...]:
        replica, disk = machine.replica, machine.disk
        progress = tuple(
            (i, p.on_disk, p.sent, replica.round - p.round) for i, p in sorted(replica.progress.items())
        )
        led = round(min(self.now - replica.leader_contact_at, replica.timing.election_seconds), 2)
        due = round(replica.next_deadline() - self.now, 2)
        committed = entry_position(replica.committed) if replica.committed is not None else None
        disk_key = (disk.replica_id, disk.hard_state.term, disk.hard_state.voted_for, _entry_key(disk.entry))
        pending = tuple(write.record.SerializeToString() for write in machine.pending)
        votes = tuple(sorted(replica._votes)) if replica.state is not State.FOLLOWER else ()
        return (
            (replica.state, replica.term, replica.voted_for, _entry_key(replica.entry), committed),
            (replica.on_disk, votes, progress, led, due, tuple(replica.learners)),
            disk_key,
            pending,
        )

    # Steps

    def apply(self, action: str) -> bool:
        """Take a step. Returns False where it is not possible in this state. Raises Broken."""
        verb, *words = action.split()
        step = getattr(self, f"_do_{verb}")
        if not step(*words):
            return False
        self._check()
        return True

    def actions(self) -> Iterator[str]:
        """All steps out of this state."""
        seen: dict[tuple[str, str, str], int] = {}
        for flight in self.flights:
            place = (flight.source, flight.target, flight.kind)
            number = seen[place] = seen.get(place, 0) + 1
            words = f"{flight.source} {flight.target} {flight.kind} {number}"
            yield f"deliver {words}"
            yield f"drop {words}"
            yield f"duplicate {words}"
        for name, machine in self.machines.items():
            yield f"tick {name}"
            yield f"crash {name}"
            if machine.pending:
                yield f"sync {name}"
                yield f"fail {name}"
            if self.may_wipe(name):
                yield f"wipe {name}"
            if machine.replica.state is State.LEADER:
                yield from self._orders_at(name)

    def _orders_at(self, name: str) -> Iterator[str]:
        for verb in ("change", "repeat", "read", "members", "transfer"):
            yield f"{verb} {name}"
        for other in self.machines:
            if other != name:
                yield f"members {name} {other}"

    def leader(self) -> Machine | None:
        """The leader with the newest term."""
        leading = [m for m in self.machines.values() if m.replica.state is State.LEADER]
        return max(leading, key=lambda machine: machine.replica.term, default=None)

    def may_wipe(self, name: str) -> bool:
        """Whether the tolerance covers another lost disk: the losses before it have been made good."""
        leader = self.leader()
        if leader is None or not leader.replica.can_propose or len(leader.replica.voters) < 3:
            return False
        alive = {machine.disk.replica_id for machine in self.machines.values()}
        voters = {voter.replica_id for voter in leader.replica.voters}
        newest = entry_position(leader.replica.entry)
        holding = [m for m in self.machines.values() if entry_position(m.disk.entry) == newest]
        return voters <= alive and {machine.disk.replica_id for machine in holding} >= voters

    def _carry_out(self, machine: Machine, effects: Effects) -> bool:
        for outgoing in effects.messages:
            data = outgoing.message.SerializeToString()
            self.flights.append(Flight(machine.name, outgoing.to.address, outgoing.message, data))
        machine.pending.extend(effects.writes)
        del self.flights[: max(0, len(self.flights) - MAX_FLIGHTS)]
        return True

    def _do_tick(self, name: str) -> bool:
        """A timer fires; time is as late as that for all."""
        machine = self.machines[name]
        self.now = max(self.now, machine.replica.next_deadline())
        return self._carry_out(machine, machine.replica.tick(self.now))

    def _do_elapse(self, seconds: str) -> bool:
        """Time passes, and no timer fires."""
        self.now += float(seconds)
        return True

    def _flight(self, words: Sequence[str]) -> Flight | None:
        source, target, kind = words[:3]
        number = int(words[3]) if len(words) > 3 else 1
        matching = [f for f in self.flights if f.source == source and f.target == target and f.kind == kind]
        return matching[number - 1] if number <= len(matching) else None

    def _do_deliver(self, *words: str) -> bool:
        flight = self._flight(words)
        if flight is None:
            return False
        self.flights.remove(flight)
        return self._arrive(flight)

    def _do_duplicate(self, *words: str) -> bool:
        """A message arrives, and will once more."""
        flight = self._flight(words)
        return flight is not None and self._arrive(flight)

    def _arrive(self, flight: Flight) -> bool:
        machine = self.machines.get(flight.target)
        if machine is None:
            return True
        return self._carry_out(machine, machine.replica.receive(self.now, flight.message))

    def _do_drop(self, *words: str) -> bool:
        flight = self._flight(words)
        if flight is not None:
            self.flights.remove(flight)
        return flight is not None

    def _do_hush(self) -> bool:
        """All messages on their way are lost."""
        self.flights.clear()
        return True

    def _do_sync(self, name: str) -> bool:
        """The oldest write reaches the disk."""
        machine = self.machines[name]
        if not machine.pending:
            return False
        write = machine.pending.pop(0)
        machine.disk.keep(write.record)
        return self._carry_out(machine, machine.replica.written(self.now, write))

    def _do_fail(self, name: str) -> bool:
        """The oldest write does not."""
        machine = self.machines[name]
        if not machine.pending:
            return False
        machine.replica.write_failed(machine.pending.pop(0))
        return True

    def _do_crash(self, name: str) -> bool:
        """Power is lost and comes back at once; what was on its way to the machine may still arrive."""
        self.machines[name] = self.machines[name].restarted(self.now)
        return True

    def _do_wipe(self, name: str) -> bool:
        """The same with the disk."""
        if not self.may_wipe(name):
            return False
        machine = self.machines[name]
        if self.rules.name_kept_by_wipe:
            wiped = machine.wiped(machine.disk.replica_id, first_entry(self.rules.names), self.now)
        else:
            wiped = machine.wiped(f"{name}{machine.life + 1}", Entry(), self.now)
        self.machines[name] = wiped
        return True

    # What operators and the controllers' own maintenance order

    def _do_change(self, name: str) -> bool:
        """Two operators change the newest version at once; one of them wins."""
        machine = self.machines[name]
        replica = machine.replica
        if not replica.can_propose or replica.committed is None:
            return False
        base = generation_of(replica.committed.data)
        orders = orders_on(base, replica.term)
        applied = apply_batch(replica.committed.data, orders)
        if [type(outcome) for outcome in applied.outcomes] != [
            Accepted,
            Conflict,
        ] or applied.new_state is None:
            raise Broken(f"two orders on generation {base} were told {applied.outcomes}")
        data = applied.new_state if self.rules.history_is_known else _forgetful(applied.new_state)
        position, effects = replica.propose(self.now, data)
        change = Acknowledged(position, orders[0], base + 1, orders[0].digest, at=self.now)
        self.waiting.append(WaitingOrder(name, machine.life, replica.term, position, 0, change))
        return self._carry_out(machine, effects)

    def _do_repeat(self, name: str) -> bool:
        """The newest acknowledged order comes again."""
        machine = self.machines[name]
        replica = machine.replica
        if not replica.can_propose or replica.committed is None or not self.history.acknowledged:
            return False
        order = self.history.acknowledged[-1].order
        applied = apply_batch(replica.committed.data, [order])
        if applied.new_state is not None:
            return False  # taken anew by a leader that cannot commit it any more
        if not isinstance(applied.outcomes[0], Accepted | Indeterminate):
            number, effects = replica.confirm(self.now)
            waiting = WaitingOrder(name, machine.life, replica.term, None, number, None, -1, 0)
            self.waiting.append(waiting)
            return self._carry_out(machine, effects)
        return True

    def _do_read(self, name: str) -> bool:
        machine = self.machines[name]
        replica = machine.replica
        if not replica.can_propose or replica.committed is None:
            return False
        generation = generation_of(replica.committed.data)
        least = self.history.newest_acknowledged
        if not self.rules.reads_need_a_round:
            self.history.saw_read(generation, least)
            return True
        number, effects = replica.confirm(self.now)
        waiting = WaitingOrder(name, machine.life, replica.term, None, number, None, generation, least)
        self.waiting.append(waiting)
        return self._carry_out(machine, effects)

    def _do_members(self, name: str, silent: str = "") -> bool:
        """The leader looks after voters; one machine may have been silent for long."""
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
            Candidate(member, replica.progress[i].on_disk == newest)
            for i, member in learners.items()
            if i in replica.progress
        ]
        unheard = {voter.replica_id: SILENT for voter in replica.voters if voter.address == silent}
        wanted = next_voters(
            replica.me.replica_id, replica.voters, candidates, unheard, 2 * self.rules.losses + 1
        )
        if wanted is None or all(voter.replica_id != replica.me.replica_id for voter in wanted):
            return False
        _, effects = replica.propose(self.now, replica.entry.data, wanted)
        return self._carry_out(machine, effects)

    def _do_transfer(self, name: str) -> bool:
        machine = self.machines[name]
        effects = machine.replica.transfer()
        return bool(effects.messages) and self._carry_out(machine, effects)

    # Checks

    def _check(self) -> None:
        for name, machine in self.machines.items():
            replica = machine.replica
            if replica.state is State.LEADER:
                self.history.led(replica.term, replica.me.replica_id)
            if replica.committed is not None:
                self.history.saw_committed(replica.committed)
                self._check_claim(name, replica)
        self._answer_operators()

    def _check_claim(self, name: str, replica: Replica) -> None:
        silence = replica.staleness(self.now)
        if replica.committed is not None and silence < VOUCHED_SECONDS:
            self.history.saw_claim(name, generation_of(replica.committed.data), self.now - silence)

    def _answer_operators(self) -> None:
        """Orders that have become certain are answered, those that cannot any more are not."""
        still = []
        for order in self.waiting:
            machine = self.machines[order.at]
            replica = machine.replica
            leads = replica.state is State.LEADER and replica.term == order.term
            if machine.life != order.life or not leads:
                continue
            if not self._is_certain(order, replica):
                still.append(order)
            elif order.change is not None:
                self.history.saw_acknowledged(replace(order.change, at=self.now))
            elif order.read is not None and order.read < 0:
                raise Broken("a repeat of an acknowledged order is refused")
            elif order.read is not None:
                self.history.saw_read(order.read, order.least)
        self.waiting = still

    @staticmethod
    def _is_certain(order: WaitingOrder, replica: Replica) -> bool:
        if order.position is None:
            return replica.confirmed_round >= order.round
        return replica.committed is not None and entry_position(replica.committed) >= order.position


def _entry_key(entry: Entry) -> tuple[object, ...]:
    voters = tuple(voter.replica_id for voter in entry.voters)
    return entry.term, entry.index, voters, bool(entry.old_voters), hash(entry.data)


def _forgetful(data: bytes) -> bytes:
    """A planted fault: what was taken is not part of the replicated state."""
    from wheatring.transport.messages_pb2 import ControlState

    state = ControlState.FromString(data)
    del state.accepted[:]
    return state.SerializeToString()
