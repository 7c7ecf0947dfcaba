"""A model of a few real acceptors and proposers: all their states, and all steps between them.

Time advances in whole ticks; each process's clock runs at its own rate. Within an instant, messages are
delivered in waves: all messages sent in one wave arrive in the next, at each acceptor in any order, and are
answered. Each of the following faults is charged against a budget:

- a message does not arrive in its wave: from then on it may arrive at any time, or never;
- a message arrives twice, the second time at any time, or never;
- a response is late, in the same way;
- a process is stopped: messages for it wait until it resumes, at some later instant;
- a process is killed and restarted. An acceptor may be stopped or killed between any two messages, a proposer
  between any two waves;
- an act is in flight while time advances;
- a lease is released.

A budget of 2 therefore covers all combinations of two of these faults. States that differ only by a
permutation of the acceptors are treated as one.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any, NamedTuple

from msgspec import structs

from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.fencing import FencingGuard
from wheatring.fleet.lease.proposer import Proposer
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet

LEASE = "duty/0"
UPTIME_TICKS = 100.0  # uptime of the voters at the start


class Bounds(NamedTuple):
    """The bounds of a search. A drift is the fraction by which a process's clock runs fast."""

    ticks: int = 14
    faults: int = 2
    proposers: int = 2
    acceptors: int = 3
    proposer_drift: float = 0.0
    acceptor_drift: float = 0.0
    starts_together: bool = False  # whether all first propose at the same instant, not a tick apart

    def describe(self) -> str:
        """Return the bounds in words, for the report."""
        return (
            f"{self.acceptors} voters, {self.proposers} proposers, {self.ticks} ticks, {self.faults} faults, "
            f"clocks {self.proposer_drift:+.0%} and {self.acceptor_drift:+.0%}"
        )


class NoRandomness:
    """Replaces the random generator: the model itself chooses which messages are late."""

    def random(self) -> float:
        """Return no delay."""
        return 0.0


class Implementation(NamedTuple):
    """The code under test: the real classes, or some with a planted fault."""

    timing: LeaseTiming = LeaseTiming(lease_seconds=6.0, max_clock_drift=0.1)
    acceptor: type[Acceptor] = Acceptor
    proposer: type[Proposer] = Proposer
    guard: type[FencingGuard] = FencingGuard


class InFlight(NamedTuple):
    """A message in flight, or an act: its epoch, and whether its sender held the lease."""

    source: str
    target: str
    content: Any
    is_late: bool = False


RESOURCE = "resource"
RANK_STEP = 5  # ranks between two proposers: about a tick, so that they seldom propose simultaneously


class State:
    """One state: the processes, the messages in flight, and the faults charged so far."""

    __slots__ = ("acceptors", "elected", "faults", "guard", "in_flight", "proposers", "stopped", "time")

    def __init__(self, implementation: Implementation, bounds: Bounds) -> None:
        self.time = 0
        self.faults = 0
        names = [f"v{number + 1}" for number in range(bounds.acceptors)]
        voters = VoterSet(tuple(names))
        self.acceptors = {
            name: implementation.acceptor(-UPTIME_TICKS, implementation.timing, voters, [LEASE])
            for name in names
        }
        random: Any = NoRandomness()
        self.proposers = {
            name: implementation.proposer(LEASE, name, 1, implementation.timing, voters, random)
            for name in "abc"[: bounds.proposers]
        }
        for number, proposer in enumerate(self.proposers.values()):
            proposer.set_rank(0.0, 0 if bounds.starts_together else number * RANK_STEP)
        self.in_flight: frozenset[InFlight] = frozenset()
        self.stopped: frozenset[str] = frozenset()
        self.guard = implementation.guard()
        self.elected = (0, "", 0)  # epoch, holder and holder's incarnation of the last lease

    def fork(self) -> State:
        """Return a copy that shares all processes; a step copies a process before it changes it."""
        other = copy.copy(self)
        other.acceptors = dict(self.acceptors)
        other.proposers = dict(self.proposers)
        return other

    def key(self) -> tuple[Any, ...]:
        """Return a value that is equal for states that are equal up to a permutation of the acceptors."""
        acts = []
        in_flight_of: dict[str, list[Any]] = {name: [] for name in self.acceptors}
        for item in self.in_flight:
            if item.target == RESOURCE:
                acts.append(item)
            elif item.target in in_flight_of:
                in_flight_of[item.target].append((item.source, item.content, item.is_late))
            else:
                in_flight_of[item.source].append((item.target, item.content, item.is_late))
        voters = []
        for name, acceptor in self.acceptors.items():
            lease = acceptor.leases[LEASE]
            answers = tuple(
                (p.granted_by.get(name, -1), p.rejected_by.get(name, -1)) for p in self.proposers.values()
            )
            voters.append((acceptor.abstains_until, lease.promised, lease.holder, lease.held_until,
                           lease.epoch, lease.round, name in self.stopped, answers,
                           hash(frozenset(in_flight_of[name]))))  # fmt: skip
        voters.sort()
        proposers = tuple(
            (p.incarnation, p.due, p.proposal, p.round, p.round_started, p.phase,
             p.is_renewing, p.highest_promised, p.epoch, p.highest_epoch, p.held_until, name in self.stopped)
            for name, p in self.proposers.items()
        )  # fmt: skip
        return (self.time, self.faults, frozenset(acts), self.elected,
                self.guard.highest_token, tuple(voters), proposers)  # fmt: skip


class RuleBrokenError(Exception):
    """A rule does not hold in a state; the message names it."""


class Model:
    """The steps from each state to the next, within bounds."""

    def __init__(self, bounds: Bounds, implementation: Implementation | None = None) -> None:
        self.bounds = bounds
        self.implementation = implementation or Implementation()

    def start(self) -> State:
        """Return the first state."""
        return State(self.implementation, self.bounds)

    # Clocks

    def proposer_clock(self, state: State) -> float:
        """Return the time on the proposers' clocks."""
        return state.time * (1 + self.bounds.proposer_drift)

    def acceptor_clock(self, state: State) -> float:
        """Return the time on the acceptors' clocks."""
        return state.time * (1 + self.bounds.acceptor_drift)

    # Steps

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield each step that is possible next, as its description and the state after it.

        Raises
        ------
        RuleBrokenError
            A step breaks a rule.
        """
        now, faults_left = self.proposer_clock(state), self.bounds.faults - state.faults
        for item in sorted(
            (item for item in state.in_flight if item.is_late and item.target not in state.stopped),
            key=_sort_key,
        ):
            yield self._deliver_late(state, item)
        due = [n for n, p in state.proposers.items() if p.due <= now and n not in state.stopped]
        if due:
            yield from self._with_process_faults(self._tick(state, due))
            return
        fresh = [item for item in state.in_flight if not item.is_late and item.target not in state.stopped]
        if fresh:
            for step in self._deliver_wave(state, fresh):
                yield from self._with_process_faults(step)
            return
        for name, proposer in state.proposers.items():
            epoch = proposer.epoch_to_act(now)
            if epoch is None or name in state.stopped:
                continue
            if faults_left and not any(item.target == RESOURCE for item in state.in_flight):
                yield self._act(state, name, late=True)
            if faults_left:
                yield self._release(state, name)
            if epoch != state.guard.highest_token:
                yield self._act(state, name)
                return
        if state.time < self.bounds.ticks:
            after = state.fork()
            after.time += 1
            yield from self._start_instant((f"--- {after.time}", after))

    def _with_process_faults(self, step: tuple[str, State]) -> Iterator[tuple[str, State]]:
        """Yield a step, and its variants in which a proposer is stopped or killed right after it."""
        yield step
        text, state = step
        if state.faults < self.bounds.faults:
            for name in sorted(state.proposers.keys() - state.stopped):
                for fault, after in (self._stop(state, name), self._restart(state, name)):
                    yield f"{text}; {fault}", after

    def _start_instant(self, step: tuple[str, State], after: str = "") -> Iterator[tuple[str, State]]:
        """Yield the start of an instant: processes may be stopped or killed, and stopped ones may resume."""
        yield step
        text, state = step
        for name in sorted([*state.acceptors, *state.proposers]):
            if name <= after:
                continue  # yields each combination once
            if name in state.stopped:
                change, other = self._resume(state, name)
                yield from self._start_instant((f"{text}; {change}", other), name)
            elif state.faults < self.bounds.faults:
                for change, other in (self._stop(state, name), self._restart(state, name)):
                    yield from self._start_instant((f"{text}; {change}", other), name)

    def _stop(self, state: State, name: str) -> tuple[str, State]:
        after = state.fork()
        after.faults += 1
        after.stopped |= {name}
        return f"{name} is stopped", after

    def _resume(self, state: State, name: str) -> tuple[str, State]:
        after = state.fork()
        after.stopped -= {name}
        return f"{name} goes on", after

    def _restart(self, state: State, name: str) -> tuple[str, State]:
        after = state.fork()
        after.faults += 1
        after.stopped -= {name}
        if name in state.acceptors:
            after.acceptors[name] = self._new_acceptor(state, name)
        else:
            old = state.proposers[name]
            new = after.proposers[name] = self.implementation.proposer(
                LEASE, name, old.incarnation + 1, self.implementation.timing, old.voters, old.random
            )
            new.set_rank(self.proposer_clock(state), 0)
        return f"{name} is killed and starts anew", after

    def _new_acceptor(self, state: State, name: str) -> Acceptor:
        voters = state.acceptors[name].voters
        return self.implementation.acceptor(
            self.acceptor_clock(state), self.implementation.timing, voters, [LEASE]
        )

    def _tick(self, state: State, names: list[str]) -> tuple[str, State]:
        after = state.fork()
        descriptions = []
        for name in names:
            proposer = after.proposers[name] = copy_process(state.proposers[name])
            requests = proposer.tick(self.proposer_clock(state))
            after.in_flight |= {InFlight(name, voter, item) for voter, item in requests}
            descriptions.append(f"{name}: {_describe(requests[0][1]) if requests else 'waits'}")
        text = ", ".join(descriptions)
        return text, self._check_rules(after, text)

    def _act(self, state: State, name: str, late: bool = False) -> tuple[str, State]:
        now, proposer = self.proposer_clock(state), state.proposers[name]
        item = InFlight(name, RESOURCE, (proposer.epoch_to_act(now), proposer.held_until > now), late)
        after = state.fork()
        if late:
            after.faults += 1
            after.in_flight |= {item}
            return f"{name} begins an act of term {proposer.epoch}", after
        return self._admit_act(after, item)

    def _release(self, state: State, name: str) -> tuple[str, State]:
        after = state.fork()
        after.faults += 1
        proposer = after.proposers[name] = copy_process(state.proposers[name])
        requests = proposer.release(self.proposer_clock(state))
        after.in_flight |= {InFlight(name, voter, item) for voter, item in requests}
        return f"{name} gives it back", after

    def _deliver_late(self, state: State, item: InFlight) -> tuple[str, State]:
        """Deliver a late message or act; the messages that it causes are sent in the next wave."""
        after = state.fork()
        after.in_flight -= {item}
        if item.target == RESOURCE:
            return self._admit_act(after, item)
        text = f"late: {item.target} hears {item.source}: {_describe(item.content)}"
        if item.target in state.acceptors:
            voter = after.acceptors[item.target] = copy_process(state.acceptors[item.target])
            answer = voter.receive(self.acceptor_clock(state), state.time, item.content)
            if answer is not None:
                after.in_flight |= {InFlight(item.target, item.source, answer)}
            return text, after
        return self._deliver_to_proposers(after, [item], text)

    def _deliver_wave(self, state: State, fresh: list[InFlight]) -> Iterator[tuple[str, State]]:
        """Deliver a wave of messages in any order, with their answers, except for messages hit by a fault."""
        base = state.fork()
        base.in_flight = state.in_flight.difference(fresh)
        answers = [item for item in fresh if item.target in state.proposers]
        outcomes: list[tuple[State, list[str], list[InFlight]]] = [(base, [], answers)]
        for name in state.acceptors:
            items = sorted((item for item in fresh if item.target == name), key=_sort_key)
            if items:
                outcomes = [
                    (after, trace + more_trace, answers + more_answers)
                    for before, trace, answers in outcomes
                    for after, more_trace, more_answers in self._deliver_to_acceptor(before, name, items)
                ]
        for after, trace, answers in outcomes:
            yield self._deliver_to_proposers(after, sorted(answers, key=_sort_key), "; ".join(trace))

    def _deliver_to_acceptor(
        self, state: State, name: str, items: list[InFlight]
    ) -> Iterator[tuple[State, list[str], list[InFlight]]]:
        """Yield the possible outcomes of a wave's messages at one acceptor: state, trace and answers."""
        if not items:
            yield state, [], []
            return
        faults_left = self.bounds.faults - state.faults
        if name in state.stopped:
            after = state.fork()
            after.in_flight |= set(items)
            yield after, [], []
            return
        if len(items) <= faults_left:  # all of these messages are late
            after = state.fork()
            after.faults += len(items)
            after.in_flight |= {item._replace(is_late=True) for item in items}
            yield (
                after,
                [f"{name} does not hear {item.source}: {_describe(item.content)}" for item in items],
                [],
            )
        for item in items:
            rest = [other for other in items if other is not item]
            after = state.fork()
            voter = after.acceptors[name] = copy_process(state.acceptors[name])
            answer = voter.receive(self.acceptor_clock(state), state.time, item.content)
            text = f"{name} hears {item.source}: {_describe(item.content)}"
            answers = [InFlight(name, item.source, answer)] if answer is not None else []
            if answer is not None:
                text += f", answers {_describe(answer)}"
            outcomes = [(after, text, answers)]
            if faults_left:
                duplicated, late = after.fork(), after.fork()
                duplicated.faults += 1
                duplicated.in_flight |= {item._replace(is_late=True)}
                outcomes.append((duplicated, f"{text} (and will again)", answers))
                late.faults += 1
                late.in_flight |= {one._replace(is_late=True) for one in answers}
                if answers:
                    outcomes.append((late, f"{text}, which is late", []))
                for fault, other in (self._stop(after, name), self._restart(after, name)):
                    outcomes.append((other, f"{text}; {fault}", answers))
            for outcome, step, step_answers in outcomes:
                for last, more_trace, more_answers in self._deliver_to_acceptor(outcome, name, rest):
                    yield last, [step, *more_trace], step_answers + more_answers

    def _deliver_to_proposers(self, after: State, items: list[InFlight], text: str) -> tuple[str, State]:
        """Deliver answers to proposers; a stopped one receives them when it resumes."""
        now = self.proposer_clock(after)
        for item in items:
            if item.target in after.stopped:
                after.in_flight |= {item}
                continue
            proposer = after.proposers[item.target] = copy_process(after.proposers[item.target])
            held_before = proposer.holds_lease(now)
            requests = proposer.receive(now, item.source, item.content)
            after.in_flight |= {InFlight(item.target, voter, one) for voter, one in requests}
            if proposer.holds_lease(now) and not held_before:
                text = f"{text}; {item.target} holds term {proposer.epoch}"
            self._check_rules(after, text)
        return text, after

    def _admit_act(self, after: State, item: InFlight) -> tuple[str, State]:
        epoch, was_held = item.content
        before = after.guard.highest_token
        after.guard = copy.copy(after.guard)
        text = f"the act of {item.source} in term {epoch} arrives"
        if after.guard.admit(epoch):
            if not was_held:
                raise RuleBrokenError(f"{text}: it was begun out of office, and is let in")
            if epoch < before:
                raise RuleBrokenError(f"{text} after one of term {before}, and is let in")
        return text, after

    def _check_rules(self, state: State, text: str) -> State:
        """Check the rules after a step of a proposer."""
        now = self.proposer_clock(state)
        holders = [name for name, proposer in state.proposers.items() if proposer.holds_lease(now)]
        if len(holders) > 1:
            raise RuleBrokenError(f"{text}: {' and '.join(holders)} hold it at the same time")
        for name in holders:
            proposer = state.proposers[name]
            lease = (proposer.epoch, name, proposer.incarnation)
            if lease == state.elected:
                continue
            if proposer.epoch <= state.elected[0]:
                raise RuleBrokenError(f"{text}: term {proposer.epoch} after term {state.elected[0]}")
            state.elected = lease
        return state


def copy_process(process: Any) -> Any:
    """Return a copy of an acceptor or a proposer that shares no mutable state with it."""
    other = copy.copy(process)
    if isinstance(process, Acceptor):
        other.leases = {lease: copy.copy(state) for lease, state in process.leases.items()}
    else:
        other.granted_by = dict(process.granted_by)
        other.rejected_by = dict(process.rejected_by)
    return other


def _describe(item: Any) -> str:
    values = structs.asdict(item)
    text = f"{type(item).__name__.lower()} {item.proposal.proposer}{item.proposal.number}"
    if "epoch" in values and item.epoch:
        text += f" term {item.epoch}"
    return f"{text} {values['reason']}" if "reason" in values else text


def _sort_key(item: InFlight) -> tuple[Any, ...]:
    """Return a key that gives the same order in every run."""
    if item.target == RESOURCE:
        return item.source, item.target, "", item.content, 0, item.is_late
    return (
        item.source,
        item.target,
        type(item.content).__name__,
        item.content.proposal,
        item.content.round,
        item.is_late,
    )
