"""A few acceptors and proposers, the real deciders, and one step at a time of all that can happen to them.

Time goes in integral ticks; each process's clock runs at a rate of its own. Within an instant messages go in
waves: all that was sent in one wave arrives in the next, at each acceptor in any order, and is answered.
Faults are charged against a budget, one for each

- message that does not arrive in its wave: from then on it may arrive at any time, or never;
- message that arrives twice, the second time at any time, or never;
- answer that is late, in the same way;
- process that is stopped: until it goes on, some instant later, messages for it lie waiting;
- process that is killed and starts anew. An acceptor may be stopped or killed between any two messages, a
  proposer between any two waves;
- act that is under way while time goes on;
- lease that is given back.

So a budget of 2 stands for all combinations of two of these. States that differ only by which acceptor is
which are one.
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
UPTIME_TICKS = 100.0  # ticks that the voters have been up for at the start


class Bounds(NamedTuple):
    """What is searched. Drifts are parts of 1 by which a process's clock runs fast."""

    ticks: int = 14
    faults: int = 2
    proposers: int = 2
    acceptors: int = 3
    proposer_drift: float = 0.0
    acceptor_drift: float = 0.0
    starts_together: bool = (
        False  # all ask at the same instant at first; else one about a tick after the other
    )

    def describe(self) -> str:
        """Return the bounds in words, for the report."""
        return (
            f"{self.acceptors} voters, {self.proposers} proposers, {self.ticks} ticks, {self.faults} faults, "
            f"clocks {self.proposer_drift:+.0%} and {self.acceptor_drift:+.0%}"
        )


class NoChance:
    """Stands in for chance: the model itself chooses who is late."""

    def random(self) -> float:
        """Return no delay."""
        return 0.0


class Deciders(NamedTuple):
    """The deciders that are checked: the real ones, or some with a fault planted."""

    timing: LeaseTiming = LeaseTiming(lease_seconds=6.0, max_clock_drift=0.1)
    acceptor: type[Acceptor] = Acceptor
    proposer: type[Proposer] = Proposer
    guard: type[FencingGuard] = FencingGuard


class InFlight(NamedTuple):
    """Something on its way: a message, or an act with its epoch and whether its sender held the lease."""

    source: str
    target: str
    content: Any
    is_late: bool = False


RESOURCE = "resource"
RANK_STEP = 5  # ranks between one proposer and the next: about a tick, so that they seldom ask at once


class State:
    """One state of all processes, of what is on its way, and of the faults charged so far."""

    __slots__ = ("acceptors", "elected", "faults", "guard", "in_flight", "proposers", "stopped", "time")

    def __init__(self, makes: Deciders, bounds: Bounds) -> None:
        self.time = 0
        self.faults = 0
        names = [f"v{number + 1}" for number in range(bounds.acceptors)]
        voters = VoterSet(tuple(names))
        self.acceptors = {
            name: makes.acceptor(-UPTIME_TICKS, makes.timing, voters, [LEASE]) for name in names
        }
        still: Any = NoChance()
        self.proposers = {
            name: makes.proposer(LEASE, name, 1, makes.timing, voters, still)
            for name in "abc"[: bounds.proposers]
        }
        for number, proposer in enumerate(self.proposers.values()):
            proposer.set_rank(0.0, 0 if bounds.starts_together else number * RANK_STEP)
        self.in_flight: frozenset[InFlight] = frozenset()
        self.stopped: frozenset[str] = frozenset()
        self.guard = makes.guard()
        self.elected = (0, "", 0)  # the last term's epoch, whose it was, and of which start

    def fork(self) -> State:
        """Return a copy that shares all deciders: whoever changes one copies it first."""
        other = copy.copy(self)
        other.acceptors = dict(self.acceptors)
        other.proposers = dict(self.proposers)
        return other

    def key(self) -> tuple[Any, ...]:
        """Return a value that is the same for states from which the same can follow.

        Which acceptor is which makes no difference.
        """
        acts = []
        of: dict[str, list[Any]] = {name: [] for name in self.acceptors}
        for item in self.in_flight:
            if item.target == RESOURCE:
                acts.append(item)
            elif item.target in of:
                of[item.target].append((item.source, item.content, item.is_late))
            else:
                of[item.source].append((item.target, item.content, item.is_late))
        voters = []
        for name, v in self.acceptors.items():
            place = v.leases[LEASE]
            answers = tuple(
                (c.granted_by.get(name, -1), c.rejected_by.get(name, -1)) for c in self.proposers.values()
            )
            voters.append((v.abstains_until, place.promised, place.holder, place.held_until, place.epoch,
                           place.round, name in self.stopped, answers,
                           hash(frozenset(of[name]))))  # fmt: skip
        voters.sort()
        proposers = tuple(
            (c.incarnation, c.due, c.proposal, c.round, c.round_started, c.phase,
             c.is_renewing, c.highest_promised, c.epoch, c.highest_epoch, c.held_until, name in self.stopped)
            for name, c in self.proposers.items()
        )  # fmt: skip
        return (self.time, self.faults, frozenset(acts), self.elected,
                self.guard.highest_token, tuple(voters), proposers)  # fmt: skip


class RuleBrokenError(Exception):
    """A rule does not hold in a state; the text says which."""


class Model:
    """All steps from one state to the next, within bounds."""

    def __init__(self, bounds: Bounds, deciders: Deciders | None = None) -> None:
        self.bounds = bounds
        self.deciders = deciders or Deciders()

    def start(self) -> State:
        """Return the first state."""
        return State(self.deciders, self.bounds)

    # Clocks

    def proposer_clock(self, state: State) -> float:
        """Return the time on the proposers' clocks."""
        return state.time * (1 + self.bounds.proposer_drift)

    def acceptor_clock(self, state: State) -> float:
        """Return the time on the acceptors' clocks."""
        return state.time * (1 + self.bounds.acceptor_drift)

    # Steps

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """Return all that can happen next: in words, and the state after it.

        Raises
        ------
        RuleBrokenError
            A step breaks a rule.
        """
        now, left = self.proposer_clock(state), self.bounds.faults - state.faults
        for item in sorted(
            (w for w in state.in_flight if w.is_late and w.target not in state.stopped), key=_sort_key
        ):
            yield self._deliver_late(state, item)
        due = [n for n, c in state.proposers.items() if c.due <= now and n not in state.stopped]
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
            if left and not any(item.target == RESOURCE for item in state.in_flight):
                yield self._act(state, name, late=True)
            if left:
                yield self._release(state, name)
            if epoch != state.guard.highest_token:
                yield self._act(state, name)
                return
        if state.time < self.bounds.ticks:
            after = state.fork()
            after.time += 1
            yield from self._start_instant((f"--- {after.time}", after))

    def _with_process_faults(self, step: tuple[str, State]) -> Iterator[tuple[str, State]]:
        """Return a step, and the same where a proposer is stopped or killed right after it."""
        yield step
        text, state = step
        if state.faults < self.bounds.faults:
            for name in sorted(state.proposers.keys() - state.stopped):
                for again, after in (self._stop(state, name), self._restart(state, name)):
                    yield f"{text}; {again}", after

    def _start_instant(self, step: tuple[str, State], after: str = "") -> Iterator[tuple[str, State]]:
        """Return an instant's start: any process may be stopped or killed, and stopped ones may go on."""
        yield step
        text, state = step
        for name in sorted([*state.acceptors, *state.proposers]):
            if name <= after:
                continue  # each set of them once
            if name in state.stopped:
                again, other = self._resume(state, name)
                yield from self._start_instant((f"{text}; {again}", other), name)
            elif state.faults < self.bounds.faults:
                for again, other in (self._stop(state, name), self._restart(state, name)):
                    yield from self._start_instant((f"{text}; {again}", other), name)

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
            was = state.proposers[name]
            new = after.proposers[name] = self.deciders.proposer(
                LEASE, name, was.incarnation + 1, self.deciders.timing, was.voters, was.random
            )
            new.set_rank(self.proposer_clock(state), 0)
        return f"{name} is killed and starts anew", after

    def _new_acceptor(self, state: State, name: str) -> Acceptor:
        voters = state.acceptors[name].voters
        return self.deciders.acceptor(self.acceptor_clock(state), self.deciders.timing, voters, [LEASE])

    def _tick(self, state: State, names: list[str]) -> tuple[str, State]:
        after = state.fork()
        said = []
        for name in names:
            proposer = after.proposers[name] = copy_decider(state.proposers[name])
            told = proposer.tick(self.proposer_clock(state))
            after.in_flight |= {InFlight(name, voter, item) for voter, item in told}
            said.append(f"{name}: {_describe(told[0][1]) if told else 'waits'}")
        text = ", ".join(said)
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
        proposer = after.proposers[name] = copy_decider(state.proposers[name])
        told = proposer.release(self.proposer_clock(state))
        after.in_flight |= {InFlight(name, voter, item) for voter, item in told}
        return f"{name} gives it back", after

    def _deliver_late(self, state: State, item: InFlight) -> tuple[str, State]:
        """Deliver something that was late. What it brings about is sent in the next wave."""
        after = state.fork()
        after.in_flight -= {item}
        if item.target == RESOURCE:
            return self._admit_act(after, item)
        text = f"late: {item.target} hears {item.source}: {_describe(item.content)}"
        if item.target in state.acceptors:
            voter = after.acceptors[item.target] = copy_decider(state.acceptors[item.target])
            answer = voter.receive(self.acceptor_clock(state), state.time, item.content)
            if answer is not None:
                after.in_flight |= {InFlight(item.target, item.source, answer)}
            return text, after
        return self._deliver_to_proposers(after, [item], text)

    def _deliver_wave(self, state: State, fresh: list[InFlight]) -> Iterator[tuple[str, State]]:
        """Deliver all that has been sent, in any order, with the answers; less what is charged as a fault."""
        base = state.fork()
        base.in_flight = state.in_flight.difference(fresh)
        answers = [item for item in fresh if item.target in state.proposers]
        runs: list[tuple[State, list[str], list[InFlight]]] = [(base, [], answers)]
        for name in state.acceptors:
            items = sorted((item for item in fresh if item.target == name), key=_sort_key)
            if items:
                runs = [
                    (after, text + more, heard + further)
                    for before, text, heard in runs
                    for after, more, further in self._deliver_to_acceptor(before, name, items)
                ]
        for after, text, heard in runs:
            yield self._deliver_to_proposers(after, sorted(heard, key=_sort_key), "; ".join(text))

    def _deliver_to_acceptor(
        self, state: State, name: str, items: list[InFlight]
    ) -> Iterator[tuple[State, list[str], list[InFlight]]]:
        """Return what one acceptor may make of a wave's messages: state, trace and answers."""
        if not items:
            yield state, [], []
            return
        left = self.bounds.faults - state.faults
        if name in state.stopped:
            after = state.fork()
            after.in_flight |= set(items)
            yield after, [], []
            return
        if len(items) <= left:  # the rest is late
            after = state.fork()
            after.faults += len(items)
            after.in_flight |= {item._replace(is_late=True) for item in items}
            yield after, [f"{name} does not hear {w.source}: {_describe(w.content)}" for w in items], []
        for item in items:
            rest = [other for other in items if other is not item]
            after = state.fork()
            voter = after.acceptors[name] = copy_decider(state.acceptors[name])
            answer = voter.receive(self.acceptor_clock(state), state.time, item.content)
            text = f"{name} hears {item.source}: {_describe(item.content)}"
            back = [InFlight(name, item.source, answer)] if answer is not None else []
            if answer is not None:
                text += f", answers {_describe(answer)}"
            ways = [(after, text, back)]
            if left:
                twice, late = after.fork(), after.fork()
                twice.faults += 1
                twice.in_flight |= {item._replace(is_late=True)}
                ways.append((twice, f"{text} (and will again)", back))
                late.faults += 1
                late.in_flight |= {one._replace(is_late=True) for one in back}
                if back:
                    ways.append((late, f"{text}, which is late", []))
                for again, other in (self._stop(after, name), self._restart(after, name)):
                    ways.append((other, f"{text}; {again}", back))
            for way, said, heard in ways:
                for last, more, further in self._deliver_to_acceptor(way, name, rest):
                    yield last, [said, *more], heard + further

    def _deliver_to_proposers(self, after: State, items: list[InFlight], text: str) -> tuple[str, State]:
        """Deliver answers to proposers; one that is stopped finds them when it goes on."""
        now = self.proposer_clock(after)
        for item in items:
            if item.target in after.stopped:
                after.in_flight |= {item}
                continue
            proposer = after.proposers[item.target] = copy_decider(after.proposers[item.target])
            before = proposer.holds_lease(now)
            told = proposer.receive(now, item.source, item.content)
            after.in_flight |= {InFlight(item.target, voter, one) for voter, one in told}
            if proposer.holds_lease(now) and not before:
                text = f"{text}; {item.target} holds term {proposer.epoch}"
            self._check_rules(after, text)
        return text, after

    def _admit_act(self, after: State, item: InFlight) -> tuple[str, State]:
        epoch, in_office = item.content
        before = after.guard.highest_token
        after.guard = copy.copy(after.guard)
        text = f"the act of {item.source} in term {epoch} arrives"
        if after.guard.admit(epoch):
            if not in_office:
                raise RuleBrokenError(f"{text}: it was begun out of office, and is let in")
            if epoch < before:
                raise RuleBrokenError(f"{text} after one of term {before}, and is let in")
        return text, after

    def _check_rules(self, state: State, text: str) -> State:
        """Check the rules, after a step of a proposer."""
        now = self.proposer_clock(state)
        holders = [name for name, proposer in state.proposers.items() if proposer.holds_lease(now)]
        if len(holders) > 1:
            raise RuleBrokenError(f"{text}: {' and '.join(holders)} hold it at the same time")
        for name in holders:
            proposer = state.proposers[name]
            term = (proposer.epoch, name, proposer.incarnation)
            if term == state.elected:
                continue
            if proposer.epoch <= state.elected[0]:
                raise RuleBrokenError(f"{text}: term {proposer.epoch} after term {state.elected[0]}")
            state.elected = term
        return state


def copy_decider(decider: Any) -> Any:
    """Return a copy that shares nothing which either of the two changes."""
    other = copy.copy(decider)
    if isinstance(decider, Acceptor):
        other.leases = {lease: copy.copy(state) for lease, state in decider.leases.items()}
    else:
        other.granted_by = dict(decider.granted_by)
        other.rejected_by = dict(decider.rejected_by)
    return other


def _describe(item: Any) -> str:
    values = structs.asdict(item)
    shown = f"{type(item).__name__.lower()} {item.proposal.proposer}{item.proposal.number}"
    if "epoch" in values and item.epoch:
        shown += f" term {item.epoch}"
    return f"{shown} {values['reason']}" if "reason" in values else shown


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
