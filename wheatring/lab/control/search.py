"""Looks for broken invariants: through every order of events up to a depth, and along random ways."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random

from wheatring.consensus.types import State, entry_position
from wheatring.lab.control.invariants import Broken
from wheatring.lab.control.model import Model, Rules
from wheatring.lab.control.trace import minimize, play

SETTLE_SECONDS = 8.0  # of simulated time, in which all must be well once nothing goes wrong any more
SETTLE_DELIVERIES = 400  # messages in a row without a timer, at most


@dataclass(slots=True)
class Found:
    """What a search has come to."""

    states: int = 0
    seconds: float = 0.0
    broken: str = ""
    way: list[str] = field(default_factory=list)
    steps: Counter[str] = field(default_factory=Counter)  # taken, by their verb
    reached: Counter[str] = field(default_factory=Counter)  # situations worth reaching

    def add(self, other: Found) -> None:
        """Take in what another search has found."""
        self.states += other.states
        self.seconds += other.seconds
        self.steps += other.steps
        self.reached += other.reached
        if other.broken and not self.broken:
            self.broken, self.way = other.broken, other.way


# Situations that exhaustive searches begin with, by what has happened to a system at rest, whose leader is A.
BEGINNINGS: dict[str, tuple[str, ...]] = {
    "at rest": (),
    "a change under way": ("change A",),
    "two candidates": (
        "crash A",
        "elapse 0.6",
        "tick B",
        "tick C",
        "deliver B A VoteRequest",
        "deliver C A VoteRequest",
        "deliver A B VoteReply",
        "deliver A C VoteReply",
        "sync B",
        "sync C",
        "drop B C VoteRequest",
        "drop B C VoteRequest",
        "drop C B VoteRequest",
        "drop C B VoteRequest",
    ),
    "a leader cut off": (
        "elapse 0.6",
        "tick B",
        "deliver B C VoteRequest",
        "deliver C B VoteReply",
        "sync B",
        "deliver B C VoteRequest",
        "sync C",
        "deliver C B VoteReply",
        "hush",
        "change A",
    ),
    "a lost voter": ("wipe C", "members A", "tick A", "deliver A C AppendRequest"),
    "a change of voters under way": (
        "wipe C",
        "members A",
        "tick A",
        "deliver A C AppendRequest 2",
        "deliver A C AppendRequest",
        "sync C",
        "sync C",
        "hush",
        "tick A",
        "deliver A C AppendRequest",
        "deliver C A AppendReply",
        "members A",
    ),
}


def settled_model(rules: Rules) -> Model:
    """A system at rest with a leader, and a change that all hold."""
    model = Model(rules)
    settle(model)
    leader = model.leader()
    assert leader is not None
    model.apply(f"change {leader.name}")
    settle(model)
    model.flights.clear()
    return model


def begin(rules: Rules, beginning: str) -> Model:
    """One of the BEGINNINGS."""
    return _begun(rules, beginning).clone()


@lru_cache(maxsize=32)
def _begun(rules: Rules, beginning: str) -> Model:
    model = settled_model(rules)
    for action in BEGINNINGS[beginning]:
        model.apply(action)
    return model


def exhaustive(rules: Rules, beginning: str, depth: int, most: int) -> Found:
    """Every way of so many steps from one of the BEGINNINGS, up to a number of states. A broken way is told
    from the beginning on.
    """
    began = time.monotonic()
    found = Found()
    start = begin(rules, beginning)
    seen = {start.key()}
    layer: list[tuple[Model, tuple[str, ...]]] = [(start, ())]
    for _ in range(depth):
        following: list[tuple[Model, tuple[str, ...]]] = []
        for model, way in layer:
            for action in list(model.actions()):
                twin = model.clone()
                try:
                    if not twin.apply(action):
                        continue
                except Broken as broken:
                    found.broken, found.way, found.states = str(broken), [*way, action], len(seen)
                    return found
                found.steps[action.partition(" ")[0]] += 1
                key = twin.key()
                if key not in seen:
                    seen.add(key)
                    following.append((twin, (*way, action)))
            if len(seen) >= most:
                break
        layer = following
    found.states = len(seen)
    found.seconds = time.monotonic() - began
    return found


WEIGHTS = {
    "deliver": 60,
    "sync": 30,
    "tick": 12,
    "drop": 3,
    "duplicate": 2,
    "crash": 1.5,
    "fail": 1,
    "wipe": 3,
    "change": 6,
    "repeat": 2,
    "read": 4,
    "members": 5,
    "transfer": 0.6,
}
CONTESTED = WEIGHTS | {"tick": 40, "crash": 12, "sync": 60, "drop": 1}


def walk(rules: Rules, seed: int, length: int, beginning: str = "") -> Found:
    """One random way. From an empty system, everything works again after it and has to come to rest; from
    one of the BEGINNINGS, it only tries many short orders of events.
    """
    random = Random(seed)
    model = begin(rules, beginning) if beginning else Model(rules)
    found = Found()
    began = time.monotonic()
    way: list[str] = []
    weather = Weather()
    try:
        for number in range(length):
            if number % WEATHER_STEPS == 0:
                weather = _new_weather(random, list(model.machines))
            action = _draw(model, random, weather)
            way.append(action)
            if model.apply(action):
                found.states += 1
                found.steps[action.partition(" ")[0]] += 1
                _note(model, found)
        if not beginning:
            _check_rest(model)
    except Broken as broken:
        found.broken, found.way = str(broken), way
    found.seconds = time.monotonic() - began
    return found


@dataclass(frozen=True, slots=True)
class Weather:
    """What goes wrong for a while: machines that are cut off from the others, machines that stand still, and
    how often things happen in their order.
    """

    cut: frozenset[str] = frozenset()
    still: frozenset[str] = frozenset()
    order: float = 0.9
    contested: bool = False  # time-outs and restarts come as often as messages

    def holds(self, action: str) -> bool:
        """Whether an action has to wait."""
        verb, *words = action.split()
        if verb in ("deliver", "duplicate"):
            return words[1] in self.still or (words[0] in self.cut) != (words[1] in self.cut)
        return verb != "drop" and words[0] in self.still


CALM = Weather()
WEATHER_STEPS = 50


def _new_weather(random: Random, names: list[str]) -> Weather:
    order = random.choice((0.0, 0.6, 0.9, 0.97))
    some = frozenset(random.sample(names, random.randint(1, len(names) // 2)))
    kind = random.random()
    if kind < 0.2:
        return Weather(order=0.0, contested=True)
    if kind < 0.5:
        return Weather(order=order)
    return Weather(cut=some, order=order) if kind < 0.75 else Weather(still=some, order=order)


def _draw(model: Model, random: Random, weather: Weather) -> str:
    if random.random() < weather.order:
        action = _orderly(model, weather)
        if action:
            return action
    actions = [action for action in model.actions() if not weather.holds(action)]
    table = CONTESTED if weather.contested else WEIGHTS
    weights = [table[action.partition(" ")[0]] for action in actions]
    if not actions:
        return "elapse 0.1"
    return random.choices(actions, weights)[0]


def _note(model: Model, found: Found) -> None:
    leaders = [m for m in model.machines.values() if m.replica.state is State.LEADER]
    if len(leaders) > 1:
        found.reached["two leaders of different terms"] += 1
    if leaders and leaders[0].replica.entry.old_voters:
        found.reached["a change of voters under way"] += 1
    if any(not machine.replica.is_voter for machine in model.machines.values()):
        found.reached["a replica without a vote"] += 1
    if model.waiting:
        found.reached["an operator waits"] += 1


def settle(model: Model, seconds: float = SETTLE_SECONDS) -> None:
    """Nothing goes wrong any more: every message arrives at once, every write succeeds. Raises Broken."""
    end = model.now + seconds
    while model.now < end:
        for _ in range(SETTLE_DELIVERIES):
            action = _orderly(model)
            if not action:
                break
            model.apply(action)
        leader = model.leader()
        if leader is not None:
            model.apply(f"members {leader.name}")
        if not _orderly(model):
            due = min(model.machines.values(), key=lambda machine: machine.replica.next_deadline())
            model.apply(f"tick {due.name}")


def _orderly(model: Model, weather: Weather = CALM) -> str:
    """The next thing that happens by itself; "" where all wait for a timer."""
    for flight in model.flights:
        action = f"deliver {flight.source} {flight.target} {flight.kind} 1"
        if not weather.holds(action):
            return action
    for name, machine in model.machines.items():
        if machine.pending and name not in weather.still:
            return f"sync {name}"
    return ""


def _check_rest(model: Model) -> None:
    """A leader that all follow, every replica whole and voting, and a change that goes through."""
    settle(model)
    leader = model.leader()
    if leader is None or not leader.replica.can_propose:
        raise Broken("no leader although nothing has gone wrong for long")
    newest = entry_position(leader.replica.entry)
    for machine in model.machines.values():
        if entry_position(machine.disk.entry) != newest or not machine.replica.is_voter:
            raise Broken(f"{machine.name} has not come back although nothing has gone wrong for long")
    model.apply(f"change {leader.name}")
    settle(model, 1.0)
    if leader.replica.committed is None or entry_position(leader.replica.committed) <= newest:
        raise Broken("a change is not committed although nothing goes wrong")


def shortest_way(found: Found, rules: Rules) -> list[str]:
    """A broken way without the steps that it does not need; the way itself where it breaks only at rest."""
    return minimize(found.way, rules) if play(found.way, rules)[1] else found.way
