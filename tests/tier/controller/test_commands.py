"""Commands on the control state: validation, conflicts, retries and bounded state."""

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


def valid_configuration(generation: int = 7, **overrides: Any) -> dict[str, Any]:
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
        "routes": [route | overrides, route | {"name": "r2", "pathPrefix": "/y/"}],
        "services": [{"name": "s", "engine": {"stride": 9}}, {"name": "t"}],
        "limits": {"maxHeaderBytes": 16384},
    }


def body(values: object) -> bytes:
    return json.dumps(values).encode()


def test_valid_configuration_is_accepted() -> None:
    assert parse(body(valid_configuration())).generation == 7


INVALID: dict[str, bytes] = {
    "truncated": body(valid_configuration())[:-20],
    "unknown service": body(valid_configuration(trafficSplit=None, backend="nobody")),
    "unknown service in a split": body(
        valid_configuration(trafficSplit=[{"backend": "nobody", "weight": 1}])
    ),
    "same host and prefix": body(valid_configuration(pathPrefix="/y/")),
    "same host in upper case": body(valid_configuration(pathPrefix="/y/", hostname="A.example")),
    "weights sum to 0": body(valid_configuration(trafficSplit=[{"backend": "s", "weight": 0}])),
    "negative weight": body(
        valid_configuration(trafficSplit=[{"backend": "s", "weight": -1}, {"backend": "t", "weight": 2}])
    ),
    "time-out of 0": body(valid_configuration(timeoutMs=0)),
    "missing service": body(valid_configuration(trafficSplit=None)),
    "duplicate name": body(valid_configuration(name="r2")),
    "prefix without slash": body(valid_configuration(pathPrefix="/x")),
    "duplicate key": body(valid_configuration()).replace(
        b'"generation": 7', b'"generation": 7, "generation": 8'
    ),
    "not a number": body(valid_configuration()).replace(b"4000", b"NaN"),
    "string for a number": body(valid_configuration(timeoutMs="4000")),
    "boolean for a number": body(valid_configuration(timeoutMs=True)),
    "fractional generation": body(valid_configuration() | {"generation": 7.5}),
    "not an object": b"[]",
    "empty": b"",
    "unknown route type": body(valid_configuration(routeType="perhaps")),
    "invalid UTF-8": b'{"generation": 7, "x": "\xff"}',
    "nested too deeply": b"[" * 100_000,
}


@pytest.mark.parametrize("name", INVALID)
def test_invalid_configuration_is_rejected_and_leaves_the_state_unchanged(name: str) -> None:
    with pytest.raises(InvalidConfigurationError):
        parse(INVALID[name])
    state = ControlState()
    assert isinstance(ReplaceConfiguration(0, INVALID[name]).apply(state), Invalid)
    assert state == ControlState()


def test_state_size_is_bounded_after_two_thousand_changes() -> None:
    state = ControlState()
    sizes = {}
    for number in range(1, 2001):
        command = ReplaceConfiguration(state.generation, body(valid_configuration(1_000_000 + number)))
        assert command.apply(state) == Accepted()
        sizes[number] = state.ByteSize()
    assert sizes[2000] <= sizes[MAX_REMEMBERED_CONFIGURATIONS] + 8
    assert sizes[2000] - sizes[1] <= MAX_REMEMBERED_CONFIGURATIONS * 26


def test_retry_is_accepted_or_indeterminate_however_late() -> None:
    state = ControlState()
    commands = []
    for number in range(1, 3 * MAX_REMEMBERED_CONFIGURATIONS):
        commands.append(ReplaceConfiguration(state.generation, body(valid_configuration(number))))
        assert commands[-1].apply(state) == Accepted()
    outcomes = [command.apply(state) for command in commands]
    assert outcomes[-MAX_REMEMBERED_CONFIGURATIONS:] == [Accepted()] * MAX_REMEMBERED_CONFIGURATIONS
    assert all(isinstance(outcome, Indeterminate) for outcome in outcomes[:-MAX_REMEMBERED_CONFIGURATIONS])


def test_change_with_stale_base_conflicts_while_its_base_is_remembered() -> None:
    state = ControlState()
    assert ReplaceConfiguration(0, body(valid_configuration(1))).apply(state) == Accepted()
    for number in range(2, MAX_REMEMBERED_CONFIGURATIONS):
        assert ReplaceConfiguration(number - 1, body(valid_configuration(number))).apply(state) == Accepted()
    losing_command = ReplaceConfiguration(1, body(valid_configuration(2, name="r-other")))
    assert isinstance(losing_command.apply(state), Conflict)


def test_oldest_completed_retirements_are_removed() -> None:
    state = ControlState()
    for number in range(3 * MAX_COMPLETED_RETIREMENTS):
        member = state.placement.current.add(replica_id=f"r{number}", node=f"s{number}")
        assert StartRetirement(member.node, 0).apply(state) == Accepted()
        assert StartRetirement(member.node, 0).apply(state) == Accepted()  # a retry
        state.retirements[-1].completed = True
        del state.placement.current[:]
        assert StartRetirement(member.node, 0).apply(state) == Accepted()  # after the removal of the machine
    assert len(state.retirements) <= MAX_COMPLETED_RETIREMENTS + 1
    assert state.retirements[-1].node == f"s{3 * MAX_COMPLETED_RETIREMENTS - 1}"


class ConfigurationMachine(RuleBasedStateMachine):
    """Random sequences of commands, compared with a list of the accepted ones."""

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
    def increment_generation(self) -> None:
        self.replace(self.current, 2, "a")

    @invariant()
    def newest_accepted_configuration_is_current(self) -> None:
        assert self.state.generation == self.current
        if self.accepted:
            assert json.loads(self.state.configuration)["generation"] == self.current


TestConfigurationCommands = ConfigurationMachine.TestCase
TestConfigurationCommands.settings = settings(max_examples=40, stateful_step_count=25, deadline=None)
