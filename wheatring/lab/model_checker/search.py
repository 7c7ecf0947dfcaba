"""Searches for violated invariants: in every order of events up to a depth, and along random walks."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from functools import lru_cache
from random import Random

from wheatring.lab.model_checker.consensus_model import Model, Rules
from wheatring.lab.model_checker.exceptions import InvariantViolationError
from wheatring.lab.model_checker.trace import minimize, play
from wheatring.tier.consensus.types import State, entry_position

SETTLE_SECONDS = 8.0  # simulated time within which the system must recover once faults have ended
MAX_STEPS_PER_TIMER = 400


@dataclass(slots=True)
class SearchResult:
    """The result of a search."""

    states: int = 0
    seconds: float = 0.0
    violation: str = ""
    trace: list[str] = field(default_factory=list)
    steps: Counter[str] = field(default_factory=Counter)  # by verb
    reached: Counter[str] = field(
        default_factory=Counter
    )  # steps that ended in a rare situation, by its name

    def add(self, other: SearchResult) -> None:
        """Add the result of another search; the first violation is kept."""
        self.states += other.states
        self.seconds += other.seconds
        self.steps += other.steps
        self.reached += other.reached
        if other.violation and not self.violation:
            self.violation, self.trace = other.violation, other.trace


# Start states of exhaustive searches: the actions that lead to each from a settled system whose leader is A.
START_STATES: dict[str, tuple[str, ...]] = {
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
    """Return a system with a leader, a change that all replicas have stored, and nothing in flight."""
    model = Model(rules)
    settle(model)
    leader = model.leader()
    assert leader is not None
    model.apply(f"change {leader.name}")
    settle(model)
    model.in_flight.clear()
    return model


def start_state(rules: Rules, start: str) -> Model:
    """Return one of the START_STATES."""
    return _cached_start_state(rules, start).clone()


@lru_cache(maxsize=32)
def _cached_start_state(rules: Rules, start: str) -> Model:
    model = settled_model(rules)
    for action in START_STATES[start]:
        model.apply(action)
    return model


Layer = list[tuple[Model, tuple[str, ...]]]  # states of one depth, each with the trace that leads to it


def search_exhaustively(rules: Rules, start: str, depth: int, max_states: int) -> SearchResult:
    """Try every sequence of `depth` steps from a start state.

    Parameters
    ----------
    rules
        The options of the search and the code under test.
    start
        The name of one of the START_STATES.
    depth
        The number of steps.
    max_states
        The number of states after which the search is cut short.

    Returns
    -------
    The result; the trace of a violation begins at the start state.
    """
    started_at = time.monotonic()
    result = SearchResult()
    model = start_state(rules, start)
    seen = {model.key()}
    layer: Layer = [(model, ())]
    for _ in range(depth):
        following: Layer = []
        for model, trace in layer:
            following += _expand(model, trace, seen, result)
            if result.violation:
                result.states = len(seen)
                return result
            if len(seen) >= max_states:
                break
        layer = following
    result.states = len(seen)
    result.seconds = time.monotonic() - started_at
    return result


def _expand(model: Model, trace: tuple[str, ...], seen: set[int], result: SearchResult) -> Layer:
    """Take every step out of a state; return the states that were not seen before."""
    following: Layer = []
    for action in list(model.actions()):
        successor = model.clone()
        try:
            if not successor.apply(action):
                continue
        except InvariantViolationError as violation:
            result.violation, result.trace = str(violation), [*trace, action]
            break
        result.steps[action.partition(" ")[0]] += 1
        key = successor.key()
        if key not in seen:
            seen.add(key)
            following.append((successor, (*trace, action)))
    return following


ACTION_WEIGHTS = {
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
CONTESTED_WEIGHTS = ACTION_WEIGHTS | {"tick": 40, "crash": 12, "sync": 60, "drop": 1}


def random_walk(rules: Rules, seed: int, length: int, start: str = "") -> SearchResult:
    """Take one random walk.

    Parameters
    ----------
    rules
        The options of the walk and the code under test.
    seed
        The seed of the random generator.
    length
        The number of steps.
    start
        The name of one of the START_STATES, or "" for an empty system. Only a walk from an empty system also
        checks that the system recovers once all faults have ended.
    """
    random = Random(seed)
    model = start_state(rules, start) if start else Model(rules)
    result = SearchResult()
    started_at = time.monotonic()
    trace: list[str] = []
    conditions = Conditions()
    try:
        for number in range(length):
            if number % STEPS_PER_CONDITIONS == 0:
                conditions = _draw_conditions(random, list(model.machines))
            action = _draw_action(model, random, conditions)
            trace.append(action)
            if model.apply(action):
                result.states += 1
                result.steps[action.partition(" ")[0]] += 1
                _count_situations(model, result)
        if not start:
            _check_recovery(model)
    except InvariantViolationError as violation:
        result.violation, result.trace = str(violation), trace
    result.seconds = time.monotonic() - started_at
    return result


@dataclass(frozen=True, slots=True)
class Conditions:
    """Faults that last for several steps.

    Attributes
    ----------
    partitioned
        Machines that are partitioned from the others.
    frozen
        Machines that are suspended.
    in_order
        The probability that the next step is the one that a run without faults would take.
    is_contested
        Whether time-outs and restarts are about as frequent as messages.
    """

    partitioned: frozenset[str] = frozenset()
    frozen: frozenset[str] = frozenset()
    in_order: float = 0.9
    is_contested: bool = False

    def blocks(self, action: str) -> bool:
        """Return whether these faults prevent an action."""
        verb, *arguments = action.split()
        if verb in ("deliver", "duplicate"):
            source, target = arguments[:2]
            return target in self.frozen or (source in self.partitioned) != (target in self.partitioned)
        return verb != "drop" and arguments[0] in self.frozen


NO_FAULTS = Conditions()
STEPS_PER_CONDITIONS = 50


def _draw_conditions(random: Random, names: list[str]) -> Conditions:
    in_order = random.choice((0.0, 0.6, 0.9, 0.97))
    machines = frozenset(random.sample(names, random.randint(1, len(names) // 2)))
    kind = random.random()
    if kind < 0.2:
        return Conditions(in_order=0.0, is_contested=True)
    if kind < 0.5:
        return Conditions(in_order=in_order)
    if kind < 0.75:
        return Conditions(partitioned=machines, in_order=in_order)
    return Conditions(frozen=machines, in_order=in_order)


def _draw_action(model: Model, random: Random, conditions: Conditions) -> str:
    if random.random() < conditions.in_order:
        action = _next_fault_free_action(model, conditions)
        if action:
            return action
    actions = [action for action in model.actions() if not conditions.blocks(action)]
    table = CONTESTED_WEIGHTS if conditions.is_contested else ACTION_WEIGHTS
    weights = [table[action.partition(" ")[0]] for action in actions]
    if not actions:
        return "elapse 0.1"
    return random.choices(actions, weights)[0]


def _count_situations(model: Model, result: SearchResult) -> None:
    """Count rare situations, so that the report shows whether the walks reach them."""
    leaders = [m for m in model.machines.values() if m.replica.state is State.LEADER]
    if len(leaders) > 1:
        result.reached["two leaders of different terms"] += 1
    if leaders and leaders[0].replica.entry.old_voters:
        result.reached["a change of voters under way"] += 1
    if any(not machine.replica.is_voter for machine in model.machines.values()):
        result.reached["a replica without a vote"] += 1
    if model.pending_commands:
        result.reached["an operator waits"] += 1


def settle(model: Model, seconds: float = SETTLE_SECONDS) -> None:
    """Run without faults for a time: every message arrives at once, every write succeeds.

    Raises
    ------
    InvariantViolationError
        A step violates an invariant.
    """
    end = model.now + seconds
    while model.now < end:
        for _ in range(MAX_STEPS_PER_TIMER):
            action = _next_fault_free_action(model)
            if not action:
                break
            model.apply(action)
        leader = model.leader()
        if leader is not None:
            model.apply(f"members {leader.name}")
        if not _next_fault_free_action(model):
            earliest = min(model.machines.values(), key=lambda machine: machine.replica.next_deadline())
            model.apply(f"tick {earliest.name}")


def _next_fault_free_action(model: Model, conditions: Conditions = NO_FAULTS) -> str:
    """Return the next delivery or sync of a run without faults; "" if all machines wait for a timer."""
    for message in model.in_flight:
        action = f"deliver {message.source} {message.target} {message.kind} 1"
        if not conditions.blocks(action):
            return action
    for name, machine in model.machines.items():
        if machine.pending and name not in conditions.frozen:
            return f"sync {name}"
    return ""


def _check_recovery(model: Model) -> None:
    """Check that the system recovers without faults.

    There must be a leader, every replica must be an up-to-date voter, and a change must be committed.
    """
    settle(model)
    leader = model.leader()
    if leader is None or not leader.replica.can_propose:
        raise InvariantViolationError("no leader although nothing has gone wrong for long")
    newest = entry_position(leader.replica.entry)
    for machine in model.machines.values():
        if entry_position(machine.disk.entry) != newest or not machine.replica.is_voter:
            raise InvariantViolationError(
                f"{machine.name} has not come back although nothing has gone wrong for long"
            )
    model.apply(f"change {leader.name}")
    settle(model, 1.0)
    if leader.replica.committed is None or entry_position(leader.replica.committed) <= newest:
        raise InvariantViolationError("a change is not committed although nothing goes wrong")


def shortest_trace(result: SearchResult, rules: Rules) -> list[str]:
    """Return the trace of a violation, without the steps that it does not need.

    A violation found by the recovery check cannot be replayed; its trace is returned unchanged.
    """
    return minimize(result.trace, rules) if play(result.trace, rules)[1] else result.trace
