"""A few voters and claimants, the very deciders, and one step at a time of all that can befall them.

Time goes in whole ticks; each process's clock runs at a rate of its own. Within an instant words go in waves:
all that was said in one wave arrives in the next, at each voter in any order, and is answered. Faults are
charged against a budget, one for each

- word that does not arrive in its wave: from then on it may arrive at any time, or never;
- word that arrives twice, the second time at any time, or never;
- answer that is late, in the same way;
- process that is stopped: until it goes on, some instant later, words for it lie waiting;
- process that is killed and starts anew. A voter may be stopped or killed between any two words, a claimant
  between any two waves;
- act that is under way while time goes on;
- term that is given back.

So a budget of 2 stands for all combinations of two of these. States that differ only by which voter is which
are one.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from typing import Any, NamedTuple

from msgspec import structs

from wheatring.lease.acceptor import Acceptor
from wheatring.lease.fencing import FencingGuard
from wheatring.lease.proposer import Proposer
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet

LEASE = "duty/0"
OLD = 100.0  # ticks that the voters have been up for at the start


class Bounds(NamedTuple):
    """What is looked through. Rates are parts of 1, by which a process's clock runs fast."""

    ticks: int = 14
    faults: int = 2
    claimants: int = 2
    voters: int = 3
    claimants_fast: float = 0.0
    voters_fast: float = 0.0
    together: bool = False  # all ask at the same instant at first; else one about a tick after the other

    def shown(self) -> str:
        return (
            f"{self.voters} voters, {self.claimants} claimants, {self.ticks} ticks, {self.faults} faults, "
            f"clocks {self.claimants_fast:+.0%} and {self.voters_fast:+.0%}"
        )


class Still:
    """Instead of chance: the model chooses for itself who is late."""

    def random(self) -> float:
        return 0.0


class Makes(NamedTuple):
    """The deciders that are looked at: the real ones, or some with a fault planted."""

    terms: LeaseTiming = LeaseTiming(lease_seconds=6.0, max_clock_drift=0.1)
    voter: type[Acceptor] = Acceptor
    claimant: type[Proposer] = Proposer
    fence: type[FencingGuard] = FencingGuard


class Word(NamedTuple):
    """Something on its way. `word` is what is said, or the epoch of an act and whether it was in office."""

    source: str
    target: str
    word: Any
    late: bool = False


RESOURCE = "resource"
LATER = 5  # ranks between one claimant and the next: about a tick, so that they seldom ask at once


class State:
    __slots__ = ("claimants", "elected", "faults", "fence", "stopped", "time", "voters", "words")

    def __init__(self, makes: Makes, bounds: Bounds) -> None:
        self.time = 0
        self.faults = 0
        names = [f"v{number + 1}" for number in range(bounds.voters)]
        voters = VoterSet(tuple(names))
        self.voters = {name: makes.voter(-OLD, makes.terms, voters, [LEASE]) for name in names}
        still: Any = Still()
        self.claimants = {
            name: makes.claimant(LEASE, name, 1, makes.terms, voters, still)
            for name in "abc"[: bounds.claimants]
        }
        for number, claimant in enumerate(self.claimants.values()):
            claimant.set_rank(0.0, 0 if bounds.together else number * LATER)
        self.words: frozenset[Word] = frozenset()
        self.stopped: frozenset[str] = frozenset()
        self.fence = makes.fence()
        self.elected = (0, "", 0)  # the last term's epoch, whose it was, and of which start

    def fork(self) -> State:
        other = copy.copy(self)
        other.voters = dict(self.voters)
        other.claimants = dict(self.claimants)
        return other

    def key(self) -> tuple[Any, ...]:
        """The same for states from which the same can follow, whichever voter is which."""
        acts = []
        of: dict[str, list[Any]] = {name: [] for name in self.voters}
        for word in self.words:
            if word.target == RESOURCE:
                acts.append(word)
            elif word.target in of:
                of[word.target].append((word.source, word.word, word.late))
            else:
                of[word.source].append((word.target, word.word, word.late))
        voters = []
        for name, v in self.voters.items():
            place = v.leases[LEASE]
            answers = tuple(
                (c.granted_by.get(name, -1), c.rejected_by.get(name, -1)) for c in self.claimants.values()
            )
            voters.append((v.abstains_until, place.promised, place.holder, place.held_until, place.epoch,
                           place.round, name in self.stopped, answers,
                           hash(frozenset(of[name]))))  # fmt: skip
        voters.sort()
        claimants = tuple(
            (c.incarnation, c.due, c.proposal, c.round, c.round_started, c.is_preparing, c.is_proposing,
             c.is_renewing, c.highest_promised, c.epoch, c.highest_epoch, c.held_until, name in self.stopped)
            for name, c in self.claimants.items()
        )  # fmt: skip
        return (self.time, self.faults, frozenset(acts), self.elected,
                self.fence.highest_token, tuple(voters), claimants)  # fmt: skip


class Broken(Exception):
    """A rule does not hold in a state; the text says which."""


class Model:
    def __init__(self, bounds: Bounds, makes: Makes | None = None) -> None:
        self.bounds = bounds
        self.makes = makes or Makes()

    def start(self) -> State:
        return State(self.makes, self.bounds)

    # Clocks

    def of_claimant(self, state: State) -> float:
        return state.time * (1 + self.bounds.claimants_fast)

    def of_voter(self, state: State) -> float:
        return state.time * (1 + self.bounds.voters_fast)

    # Steps

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        """All that can happen next, in words, and what comes of it. Broken where a rule is."""
        now, left = self.of_claimant(state), self.bounds.faults - state.faults
        for word in sorted((w for w in state.words if w.late and w.target not in state.stopped), key=_order):
            yield self._late(state, word)
        due = [n for n, c in state.claimants.items() if c.due <= now and n not in state.stopped]
        if due:
            yield from self._befalls(self._ticks(state, due))
            return
        fresh = [word for word in state.words if not word.late and word.target not in state.stopped]
        if fresh:
            for step in self._wave(state, fresh):
                yield from self._befalls(step)
            return
        for name, claimant in state.claimants.items():
            epoch = claimant.epoch_to_act(now)
            if epoch is None or name in state.stopped:
                continue
            if left and not any(word.target == RESOURCE for word in state.words):
                yield self._acts(state, name, late=True)
            if left:
                yield self._releases(state, name)
            if epoch != state.fence.highest_token:
                yield self._acts(state, name)
                return
        if state.time < self.bounds.ticks:
            after = state.fork()
            after.time += 1
            yield from self._begins((f"--- {after.time}", after))

    def _befalls(self, step: tuple[str, State]) -> Iterator[tuple[str, State]]:
        """A step, and the same if one of the claimants is stopped or killed right after it."""
        yield step
        text, state = step
        if state.faults < self.bounds.faults:
            for name in sorted(state.claimants.keys() - state.stopped):
                for again, after in (self._stops(state, name), self._starts(state, name)):
                    yield f"{text}; {again}", after

    def _begins(self, step: tuple[str, State], after: str = "") -> Iterator[tuple[str, State]]:
        """An instant begins: any may be stopped or killed, and those that are stopped may go on."""
        yield step
        text, state = step
        for name in sorted([*state.voters, *state.claimants]):
            if name <= after:
                continue  # each set of them once
            if name in state.stopped:
                again, other = self._goes_on(state, name)
                yield from self._begins((f"{text}; {again}", other), name)
            elif state.faults < self.bounds.faults:
                for again, other in (self._stops(state, name), self._starts(state, name)):
                    yield from self._begins((f"{text}; {again}", other), name)

    def _stops(self, state: State, name: str) -> tuple[str, State]:
        after = state.fork()
        after.faults += 1
        after.stopped |= {name}
        return f"{name} is stopped", after

    def _goes_on(self, state: State, name: str) -> tuple[str, State]:
        after = state.fork()
        after.stopped -= {name}
        return f"{name} goes on", after

    def _starts(self, state: State, name: str) -> tuple[str, State]:
        after = state.fork()
        after.faults += 1
        after.stopped -= {name}
        if name in state.voters:
            after.voters[name] = self._new_voter(state, name)
        else:
            was = state.claimants[name]
            new = after.claimants[name] = self.makes.claimant(
                LEASE, name, was.incarnation + 1, self.makes.terms, was.voters, was.random
            )
            new.set_rank(self.of_claimant(state), 0)
        return f"{name} is killed and starts anew", after

    def _new_voter(self, state: State, name: str) -> Acceptor:
        voters = state.voters[name].voters
        return self.makes.voter(self.of_voter(state), self.makes.terms, voters, [LEASE])

    def _ticks(self, state: State, names: list[str]) -> tuple[str, State]:
        after = state.fork()
        said = []
        for name in names:
            claimant = after.claimants[name] = forked(state.claimants[name])
            told = claimant.tick(self.of_claimant(state))
            after.words |= {Word(name, voter, word) for voter, word in told}
            said.append(f"{name}: {_said(told[0][1]) if told else 'waits'}")
        text = ", ".join(said)
        return text, self._held(after, text)

    def _acts(self, state: State, name: str, late: bool = False) -> tuple[str, State]:
        now, claimant = self.of_claimant(state), state.claimants[name]
        word = Word(name, RESOURCE, (claimant.epoch_to_act(now), claimant.held_until > now), late)
        after = state.fork()
        if late:
            after.faults += 1
            after.words |= {word}
            return f"{name} begins an act of term {claimant.epoch}", after
        return self._lands(after, word)

    def _releases(self, state: State, name: str) -> tuple[str, State]:
        after = state.fork()
        after.faults += 1
        claimant = after.claimants[name] = forked(state.claimants[name])
        told = claimant.release(self.of_claimant(state))
        after.words |= {Word(name, voter, word) for voter, word in told}
        return f"{name} gives it back", after

    def _late(self, state: State, word: Word) -> tuple[str, State]:
        """Something arrives that was late. What it brings about is said in the next wave."""
        after = state.fork()
        after.words -= {word}
        if word.target == RESOURCE:
            return self._lands(after, word)
        text = f"late: {word.target} hears {word.source}: {_said(word.word)}"
        if word.target in state.voters:
            voter = after.voters[word.target] = forked(state.voters[word.target])
            answer = voter.receive(self.of_voter(state), state.time, word.word)
            if answer is not None:
                after.words |= {Word(word.target, word.source, answer)}
            return text, after
        return self._heard(after, [word], text)

    def _wave(self, state: State, fresh: list[Word]) -> Iterator[tuple[str, State]]:
        """All that has been said arrives, in any order, and is answered; less what is charged."""
        base = state.fork()
        base.words = state.words.difference(fresh)
        answers = [word for word in fresh if word.target in state.claimants]
        runs: list[tuple[State, list[str], list[Word]]] = [(base, [], answers)]
        for name in state.voters:
            words = sorted((word for word in fresh if word.target == name), key=_order)
            if words:
                runs = [
                    (after, text + more, heard + further)
                    for before, text, heard in runs
                    for after, more, further in self._voter(before, name, words)
                ]
        for after, text, heard in runs:
            yield self._heard(after, sorted(heard, key=_order), "; ".join(text))

    def _voter(
        self, state: State, name: str, words: list[Word]
    ) -> Iterator[tuple[State, list[str], list[Word]]]:
        """What one voter may make of the words of a wave: its state, what to tell, its answers."""
        if not words:
            yield state, [], []
            return
        left = self.bounds.faults - state.faults
        if name in state.stopped:
            after = state.fork()
            after.words |= set(words)
            yield after, [], []
            return
        if len(words) <= left:  # the rest is late
            after = state.fork()
            after.faults += len(words)
            after.words |= {word._replace(late=True) for word in words}
            yield after, [f"{name} does not hear {w.source}: {_said(w.word)}" for w in words], []
        for word in words:
            rest = [other for other in words if other is not word]
            after = state.fork()
            voter = after.voters[name] = forked(state.voters[name])
            answer = voter.receive(self.of_voter(state), state.time, word.word)
            text = f"{name} hears {word.source}: {_said(word.word)}"
            back = [Word(name, word.source, answer)] if answer is not None else []
            if answer is not None:
                text += f", answers {_said(answer)}"
            ways = [(after, text, back)]
            if left:
                twice, late = after.fork(), after.fork()
                twice.faults += 1
                twice.words |= {word._replace(late=True)}
                ways.append((twice, f"{text} (and will again)", back))
                late.faults += 1
                late.words |= {one._replace(late=True) for one in back}
                if back:
                    ways.append((late, f"{text}, which is late", []))
                for again, other in (self._stops(after, name), self._starts(after, name)):
                    ways.append((other, f"{text}; {again}", back))
            for way, said, heard in ways:
                for last, more, further in self._voter(way, name, rest):
                    yield last, [said, *more], heard + further

    def _heard(self, after: State, words: list[Word], text: str) -> tuple[str, State]:
        """Claimants hear answers; one that is stopped finds them when it goes on."""
        now = self.of_claimant(after)
        for word in words:
            if word.target in after.stopped:
                after.words |= {word}
                continue
            claimant = after.claimants[word.target] = forked(after.claimants[word.target])
            before = claimant.is_holder(now)
            told = claimant.receive(now, word.source, word.word)
            after.words |= {Word(word.target, voter, one) for voter, one in told}
            if claimant.is_holder(now) and not before:
                text = f"{text}; {word.target} holds term {claimant.epoch}"
            self._held(after, text)
        return text, after

    def _lands(self, after: State, word: Word) -> tuple[str, State]:
        epoch, in_office = word.word
        before = after.fence.highest_token
        after.fence = copy.copy(after.fence)
        text = f"the act of {word.source} in term {epoch} arrives"
        if after.fence.admit(epoch):
            if not in_office:
                raise Broken(f"{text}: it was begun out of office, and is let in")
            if epoch < before:
                raise Broken(f"{text} after one of term {before}, and is let in")
        return text, after

    def _held(self, state: State, text: str) -> State:
        """The rules, after a step of a claimant."""
        now = self.of_claimant(state)
        holders = [name for name, claimant in state.claimants.items() if claimant.is_holder(now)]
        if len(holders) > 1:
            raise Broken(f"{text}: {' and '.join(holders)} hold it at the same time")
        for name in holders:
            claimant = state.claimants[name]
            term = (claimant.epoch, name, claimant.incarnation)
            if term == state.elected:
                continue
            if claimant.epoch <= state.elected[0]:
                raise Broken(f"{text}: term {claimant.epoch} after term {state.elected[0]}")
            state.elected = term
        return state


def forked(decider: Any) -> Any:
    """A copy that shares nothing which either of the two changes."""
    other = copy.copy(decider)
    if isinstance(decider, Acceptor):
        other.leases = {lease: copy.copy(state) for lease, state in decider.leases.items()}
    else:
        other.granted_by = dict(decider.granted_by)
        other.rejected_by = dict(decider.rejected_by)
    return other


def _said(word: Any) -> str:
    values = structs.asdict(word)
    shown = f"{type(word).__name__.lower()} {word.proposal.proposer}{word.proposal.number}"
    if "epoch" in values and word.epoch:
        shown += f" term {word.epoch}"
    return f"{shown} {values['reason']}" if "reason" in values else shown


def _order(word: Word) -> tuple[Any, ...]:
    """The same order in every run."""
    if word.target == RESOURCE:
        return word.source, word.target, "", word.word, 0, word.late
    return word.source, word.target, type(word.word).__name__, word.word.proposal, word.word.round, word.late
