"""Commands on the control state: what is accepted, what is rejected, and how a retry is answered."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from wheatring.tier.controller.commands import (
    MAX_COMPLETED_RETIREMENTS,
    MAX_REMEMBERED_CONFIGURATIONS,
    Accepted,
    Conflict,
    Indeterminate,
    Invalid,
    ReplaceConfiguration,
    StartRetirement,
)
from wheatring.tier.controller.configuration import parse
from wheatring.tier.controller.exceptions import InvalidConfigurationError
from wheatring.tier.transport.messages_pb2 import ControlState


def valid_configuration(generation: int = 7, **changed: Any) -> dict[str, Any]:
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


def test_a_valid_configuration_is_accepted() -> None:
    assert parse(body(valid_configuration())).generation == 7


BAD: dict[str, bytes] = {
    "cut short": body(valid_configuration())[:-20],
    "unknown service": body(valid_configuration(trafficSplit=None, backend="nobody")),
    "unknown service in a split": body(
        valid_configuration(trafficSplit=[{"backend": "nobody", "weight": 1}])
    ),
    "same place": body(valid_configuration(pathPrefix="/y/")),
    "same place in other letters": body(valid_configuration(pathPrefix="/y/", hostname="A.example")),
    "no weight": body(valid_configuration(trafficSplit=[{"backend": "s", "weight": 0}])),
    "negative weight": body(
        valid_configuration(trafficSplit=[{"backend": "s", "weight": -1}, {"backend": "t", "weight": 2}])
    ),
    "no time": body(valid_configuration(timeoutMs=0)),
    "no service": body(valid_configuration(trafficSplit=None)),
    "same name": body(valid_configuration(name="r2")),
    "prefix without slash": body(valid_configuration(pathPrefix="/x")),
    "a key twice": body(valid_configuration()).replace(
        b'"generation": 7', b'"generation": 7, "generation": 8'
    ),
    "not a number": body(valid_configuration()).replace(b"4000", b"NaN"),
    "a text for a number": body(valid_configuration(timeoutMs="4000")),
    "truth for a number": body(valid_configuration(timeoutMs=True)),
    "half a generation": body(valid_configuration() | {"generation": 7.5}),
    "not an object": b"[]",
    "empty": b"",
    "unknown type": body(valid_configuration(routeType="perhaps")),
    "broken text": b'{"generation": 7, "x": "\xff"}',
    "too deep": b"[" * 100_000,
}


@pytest.mark.parametrize("name", BAD)
def test_an_invalid_configuration_is_rejected_and_changes_nothing(name: str) -> None:
    with pytest.raises(InvalidConfigurationError):
        parse(BAD[name])
    state = ControlState()
    assert isinstance(ReplaceConfiguration(0, BAD[name]).apply(state), Invalid)
    assert state == ControlState()


def test_two_thousand_changes_leave_the_state_as_small_as_a_few_hundred() -> None:
    state = ControlState()
    sizes = {}
    for number in range(1, 2001):
        command = ReplaceConfiguration(state.generation, body(valid_configuration(1_000_000 + number)))
        assert command.apply(state) == Accepted()
        sizes[number] = state.ByteSize()
    assert sizes[2000] <= sizes[MAX_REMEMBERED_CONFIGURATIONS] + 8
    assert sizes[2000] - sizes[1] <= MAX_REMEMBERED_CONFIGURATIONS * 26


def test_a_retry_is_never_rejected_however_late_it_comes() -> None:
    state = ControlState()
    commands = []
    for number in range(1, 3 * MAX_REMEMBERED_CONFIGURATIONS):
        commands.append(ReplaceConfiguration(state.generation, body(valid_configuration(number))))
        assert commands[-1].apply(state) == Accepted()
    outcomes = [command.apply(state) for command in commands]
    assert outcomes[-MAX_REMEMBERED_CONFIGURATIONS:] == [Accepted()] * MAX_REMEMBERED_CONFIGURATIONS
    assert all(isinstance(outcome, Indeterminate) for outcome in outcomes[:-MAX_REMEMBERED_CONFIGURATIONS])


def test_a_change_that_lost_a_race_is_rejected_as_long_as_that_is_certain() -> None:
    state = ControlState()
    assert ReplaceConfiguration(0, body(valid_configuration(1))).apply(state) == Accepted()
    for number in range(2, MAX_REMEMBERED_CONFIGURATIONS):
        assert ReplaceConfiguration(number - 1, body(valid_configuration(number))).apply(state) == Accepted()
    loser = ReplaceConfiguration(1, body(valid_configuration(2, name="r-other")))
    assert isinstance(loser.apply(state), Conflict)


def test_the_oldest_completed_retirements_are_forgotten() -> None:
    state = ControlState()
    for number in range(3 * MAX_COMPLETED_RETIREMENTS):
        member = state.placement.current.add(replica_id=f"r{number}", node=f"s{number}")
        assert StartRetirement(member.node, 0).apply(state) == Accepted()
        assert StartRetirement(member.node, 0).apply(state) == Accepted()  # a retry
        state.retirements[-1].completed = True
        del state.placement.current[:]
        assert StartRetirement(member.node, 0).apply(state) == Accepted()  # once its machine has gone
    assert len(state.retirements) <= MAX_COMPLETED_RETIREMENTS + 1
    assert state.retirements[-1].node == f"s{3 * MAX_COMPLETED_RETIREMENTS - 1}"


class ConfigurationMachine(RuleBasedStateMachine):
    """Any sequence of commands beside a plain list of what was accepted."""

    def __init__(self) -> None:
        super().__init__()
        self.state = ControlState()
        self.accepted: list[tuple[int, int, str]] = []  # base, generation, operator

    @property
    def current(self) -> int:
        return self.accepted[-1][1] if self.accepted else 0

    @rule(base=st.integers(0, 30), step=st.integers(-2, 5), operator=st.sampled_from("ab"))
    def replace(self, base: int, step: int, operator: str) -> None:
        generation = base + step
        command = ReplaceConfiguration(base, body(valid_configuration(generation, name=f"r-{operator}")))
        outcome = command.apply(self.state)
        if (base, generation, operator) in self.accepted:
            assert outcome == Accepted()
        elif base != self.current:
            assert isinstance(outcome, Conflict) and outcome.status == 412
        elif generation <= self.current:
            assert isinstance(outcome, Invalid)
        else:
            assert outcome == Accepted()
            self.accepted.append((base, generation, operator))

    @rule()
    def on_top(self) -> None:
        self.replace(self.current, 2, "a")

    @invariant()
    def the_newest_is_in_force(self) -> None:
        assert self.state.generation == self.current
        if self.accepted:
            assert json.loads(self.state.configuration)["generation"] == self.current


TestConfigurationCommands = ConfigurationMachine.TestCase
TestConfigurationCommands.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
