"""Orders on the control state: what is taken, what is refused, and what a repeat is answered."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wheatring.controller.commands import (
    MAX_COMPLETED_RETIREMENTS,
    MAX_REMEMBERED_CONFIGURATIONS,
    Accepted,
    Conflict,
    Indeterminate,
    Invalid,
    ReplaceConfiguration,
    StartRetirement,
)
from wheatring.controller.configuration import parse
from wheatring.controller.exceptions import InvalidConfigurationError
from wheatring.transport.messages_pb2 import ControlState


def sound(generation: int = 7, **changed: Any) -> dict[str, Any]:
    route = {
        "name": "r1",
        "hostname": "a.example",
        "pathPrefix": "/x/",
        "routeType": "streaming",
        "timeoutMs": 4000,
        "targetLatencyMs": 200,
        "priority": 0,
        "trafficSplit": [{"backend": "s", "weight": 90}, {"backend": "t", "weight": 10}],
        "maxAttempts": 2,
        "retained": True,
        "retentionS": 60.0,
        "unknownField": {"a": 1},
    }
    return {
        "generation": generation,
        "routes": [route | changed, route | {"name": "r2", "pathPrefix": "/y/"}],
        "services": [{"name": "s", "engine": {"stride": 9}}, {"name": "t"}],
        "limits": {"maxHeaderBytes": 16384},
    }


def body(values: object) -> bytes:
    return json.dumps(values).encode()


def test_a_sound_configuration_is_taken() -> None:
    assert parse(body(sound())).generation == 7


BAD: dict[str, bytes] = {
    "cut short": body(sound())[:-20],
    "unknown service": body(sound(trafficSplit=None, backend="nobody")),
    "unknown service in a split": body(sound(trafficSplit=[{"backend": "nobody", "weight": 1}])),
    "same place": body(sound(pathPrefix="/y/")),
    "same place in other letters": body(sound(pathPrefix="/y/", hostname="A.example")),
    "no weight": body(sound(trafficSplit=[{"backend": "s", "weight": 0}])),
    "negative weight": body(
        sound(trafficSplit=[{"backend": "s", "weight": -1}, {"backend": "t", "weight": 2}])
    ),
    "no time": body(sound(timeoutMs=0)),
    "no service": body(sound(trafficSplit=None)),
    "same name": body(sound(name="r2")),
    "prefix without slash": body(sound(pathPrefix="/x")),
    "a key twice": body(sound()).replace(b'"generation": 7', b'"generation": 7, "generation": 8'),
    "not a number": body(sound()).replace(b"4000", b"NaN"),
    "a text for a number": body(sound(timeoutMs="4000")),
    "truth for a number": body(sound(timeoutMs=True)),
    "half a generation": body(sound() | {"generation": 7.5}),
    "not an object": b"[]",
    "empty": b"",
    "unknown type": body(sound(routeType="perhaps")),
    "broken text": b'{"generation": 7, "x": "\xff"}',
    "too deep": b"[" * 100_000,
}


@pytest.mark.parametrize("name", BAD)
def test_an_invalid_configuration_is_refused_and_changes_nothing(name: str) -> None:
    with pytest.raises(InvalidConfigurationError):
        parse(BAD[name])
    state = ControlState()
    assert isinstance(ReplaceConfiguration(0, BAD[name]).apply(state), Invalid)
    assert state == ControlState()


def test_two_thousand_changes_leave_the_state_as_small_as_a_few_hundred() -> None:
    state = ControlState()
    sizes = {}
    for number in range(1, 2001):
        order = ReplaceConfiguration(state.generation, body(sound(1_000_000 + number)))
        assert order.apply(state) == Accepted()
        sizes[number] = state.ByteSize()
    assert sizes[2000] <= sizes[MAX_REMEMBERED_CONFIGURATIONS] + 8
    assert sizes[2000] - sizes[1] <= MAX_REMEMBERED_CONFIGURATIONS * 26


def test_a_repeat_is_never_refused_however_late_it_comes() -> None:
    state = ControlState()
    orders = []
    for number in range(1, 3 * MAX_REMEMBERED_CONFIGURATIONS):
        orders.append(ReplaceConfiguration(state.generation, body(sound(number))))
        assert orders[-1].apply(state) == Accepted()
    outcomes = [order.apply(state) for order in orders]
    assert outcomes[-MAX_REMEMBERED_CONFIGURATIONS:] == [Accepted()] * MAX_REMEMBERED_CONFIGURATIONS
    assert all(isinstance(outcome, Indeterminate) for outcome in outcomes[:-MAX_REMEMBERED_CONFIGURATIONS])


def test_what_lost_a_race_a_while_ago_is_refused_as_long_as_that_is_certain() -> None:
    state = ControlState()
    assert ReplaceConfiguration(0, body(sound(1))).apply(state) == Accepted()
    for number in range(2, MAX_REMEMBERED_CONFIGURATIONS):
        assert ReplaceConfiguration(number - 1, body(sound(number))).apply(state) == Accepted()
    loser = ReplaceConfiguration(1, body(sound(2, name="r-other")))
    assert isinstance(loser.apply(state), Conflict)


def test_retirements_that_are_over_are_forgotten_one_day() -> None:
    state = ControlState()
    for number in range(3 * MAX_COMPLETED_RETIREMENTS):
        member = state.placement.current.add(replica_id=f"r{number}", node=f"s{number}")
        assert StartRetirement(member.node, 0).apply(state) == Accepted()
        assert StartRetirement(member.node, 0).apply(state) == Accepted()  # a repeat
        state.retirements[-1].completed = True
        del state.placement.current[:]
        assert StartRetirement(member.node, 0).apply(state) == Accepted()  # once its machine has gone
    assert len(state.retirements) <= MAX_COMPLETED_RETIREMENTS + 1
    assert state.retirements[-1].node == f"s{3 * MAX_COMPLETED_RETIREMENTS - 1}"


class OrdersMachine(RuleBasedStateMachine):
    """Any sequence of orders beside a plain list of what was taken."""

    def __init__(self) -> None:
        super().__init__()
        self.state = ControlState()
        self.taken: list[tuple[int, int, str]] = []  # base, generation, operator

    @property
    def current(self) -> int:
        return self.taken[-1][1] if self.taken else 0

    @rule(base=st.integers(0, 30), step=st.integers(-2, 5), operator=st.sampled_from("ab"))
    def replace(self, base: int, step: int, operator: str) -> None:
        generation = base + step
        order = ReplaceConfiguration(base, body(sound(generation, name=f"r-{operator}")))
        outcome = order.apply(self.state)
        if (base, generation, operator) in self.taken:
            assert outcome == Accepted()
        elif base != self.current:
            assert isinstance(outcome, Conflict) and outcome.status == 412
        elif generation <= self.current:
            assert isinstance(outcome, Invalid)
        else:
            assert outcome == Accepted()
            self.taken.append((base, generation, operator))

    @rule()
    def on_top(self) -> None:
        self.replace(self.current, 2, "a")

    @invariant()
    def the_newest_is_in_force(self) -> None:
        assert self.state.generation == self.current
        if self.taken:
            assert json.loads(self.state.configuration)["generation"] == self.current


TestOrders = OrdersMachine.TestCase
TestOrders.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
