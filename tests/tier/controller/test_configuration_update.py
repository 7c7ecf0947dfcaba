"""Updates of the configuration by named items: merging, validation, conflicts and retries."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from wheatring.tier.controller.commands import (
    MAX_REMEMBERED_CONFIGURATIONS,
    Accepted,
    Command,
    Conflict,
    Indeterminate,
    Invalid,
    Outcome,
    ReplaceConfiguration,
    UpdateConfiguration,
)
from wheatring.tier.transport.messages_pb2 import ControlState


def route(name: str, service: str = "s", **fields: Any) -> dict[str, Any]:
    defaults = {
        "hostname": "h",
        "pathPrefix": f"/{name}/",
        "routeType": "safe",
        "timeoutMs": 1000,
        "x": [1.0],
    }
    return {"name": name, "backend": service, **defaults, **fields}


def configuration(generation: int, *routes: dict[str, Any]) -> dict[str, Any]:
    services = [{"name": "s", "engine": {"stride": 9}}, {"name": "t"}]
    return {"generation": generation, "routes": list(routes), "services": services, "limits": {"n": 2.50}}


def body(values: object) -> bytes:
    return json.dumps(values).encode()


def state_with(*routes: dict[str, Any]) -> ControlState:
    state = ControlState()
    assert ReplaceConfiguration(0, body(configuration(3, *routes))).apply(state) == Accepted()
    return state


def update(base: int, generation: int, **parts: Any) -> UpdateConfiguration:
    return UpdateConfiguration(base, body({"generation": generation, **parts}))


def test_update_replaces_items_in_place_appends_new_ones_and_removes_others() -> None:
    state = state_with(route("a"), route("b"), route("c"))
    command = update(
        3, 9, upsert={"routes": [route("d"), route("b", "t", timeoutMs=5)]}, remove={"routes": ["a"]}
    )
    assert command.apply(state) == Accepted()
    expected = configuration(9, route("b", "t", timeoutMs=5), route("c"), route("d"))
    assert json.loads(state.configuration) == expected
    assert state.generation == 9


def test_routes_are_validated_against_the_updated_services() -> None:
    state = state_with(route("a"))
    command = update(3, 4, upsert={"services": [{"name": "u"}], "routes": [route("a", "u")]})
    assert command.apply(state) == Accepted()
    second_update = update(4, 5, remove={"services": ["u", "t"]}, upsert={"routes": [route("a")]})
    assert second_update.apply(state) == Accepted()
    assert [service["name"] for service in json.loads(state.configuration)["services"]] == ["s"]


def test_unknown_lists_are_merged() -> None:
    state = ControlState()
    tenants = configuration(3, route("a")) | {"tenants": [{"name": "k", "quota": 1}]}
    assert ReplaceConfiguration(0, body(tenants)).apply(state) == Accepted()
    assert update(3, 4, upsert={"tenants": [{"name": "k", "quota": 2}]}).apply(state) == Accepted()
    assert json.loads(state.configuration)["tenants"] == [{"name": "k", "quota": 2}]


def test_large_bodies_are_merged() -> None:
    state = state_with(route("a"))
    routes = [route(f"r{number}", note="x" * 13_000) for number in range(300)]
    assert update(3, 4, upsert={"routes": routes}).apply(state) == Accepted()
    assert len(state.configuration) > 3_900_000
    assert json.loads(state.configuration)["routes"][1:] == routes


INVALID: dict[str, bytes] = {
    "truncated": body({"generation": 9, "upsert": {"routes": [route("z")]}})[:-9],
    "not an object": b"[]",
    "missing generation": body({"upsert": {"routes": [route("z")]}}),
    "generation not above the current one": body({"generation": 3, "upsert": {"routes": [route("z")]}}),
    "fractional generation": body({"generation": 9.5}),
    "duplicate key": b'{"generation": 9, "generation": 10}',
    "removal of a service in use": body({"generation": 9, "remove": {"services": ["s"]}}),
    "route to an unknown service": body({"generation": 9, "upsert": {"routes": [route("z", "nobody")]}}),
    "name upserted twice": body({"generation": 9, "upsert": {"routes": [route("z"), route("z")]}}),
    "name removed twice": body({"generation": 9, "remove": {"routes": ["a", "a"]}}),
    "upserted and removed": body(
        {"generation": 9, "upsert": {"routes": [route("a")]}, "remove": {"routes": ["a"]}}
    ),
    "removal of an unknown name": body({"generation": 9, "remove": {"routes": ["nobody"]}}),
    "weights sum to 0": body(
        {"generation": 9, "upsert": {"routes": [route("a", trafficSplit=[{"backend": "s", "weight": 0}])]}}
    ),
    "same prefix as another route": body(
        {"generation": 9, "upsert": {"routes": [route("z", pathPrefix="/a/")]}}
    ),
    "time-out of 0": body({"generation": 9, "upsert": {"routes": [route("a", timeoutMs=0)]}}),
    "item without a name": body({"generation": 9, "upsert": {"routes": [{"hostname": "h"}]}}),
    "item is not an object": body({"generation": 9, "upsert": {"routes": ["a"]}}),
    "items are not a list": body({"generation": 9, "upsert": {"routes": {"a": {}}}}),
    "sections are not objects": body({"generation": 9, "upsert": [], "remove": []}),
    "key is not a list of items": body({"generation": 9, "upsert": {"limits": [{"name": "n"}]}}),
    "names are not strings": body({"generation": 9, "remove": {"routes": [1]}}),
}


@pytest.mark.parametrize("name", INVALID)
def test_invalid_update_is_rejected_and_leaves_the_state_unchanged(name: str) -> None:
    state = state_with(route("a"), route("b"))
    before = state.SerializeToString(deterministic=True)
    assert isinstance(UpdateConfiguration(3, INVALID[name]).apply(state), Invalid)
    assert state.SerializeToString(deterministic=True) == before


def test_replacement_and_update_with_the_same_body_are_different_commands() -> None:
    state = ControlState()
    shared_body = body(configuration(3) | {"upsert": {"routes": [route("u")]}})
    assert ReplaceConfiguration(0, shared_body).apply(state) == Accepted()
    assert isinstance(UpdateConfiguration(0, shared_body).apply(state), Conflict)
    assert ReplaceConfiguration(0, shared_body).apply(state) == Accepted()


def test_retry_is_accepted_but_applied_only_once() -> None:
    state = state_with(route("a"))
    command = update(3, 5, upsert={"routes": [route("b")]})
    assert command.apply(state) == Accepted()
    after = state.configuration
    assert command.apply(state) == Accepted()
    assert state.configuration == after
    assert isinstance(replace(command, base=4).apply(state), Conflict)


def test_unparseable_body_is_invalid_even_with_a_forgotten_base() -> None:
    state = state_with(route("a"))
    for number in range(4, 3 * MAX_REMEMBERED_CONFIGURATIONS):
        assert update(number - 1, number).apply(state) == Accepted()
    assert isinstance(UpdateConfiguration(1, b'{"generation').apply(state), Invalid)
    assert isinstance(ReplaceConfiguration(1, b'{"generation').apply(state), Invalid)
    assert isinstance(update(1, 2).apply(state), Indeterminate)


def test_state_size_is_bounded_after_two_thousand_updates() -> None:
    state = state_with(*(route(f"r{number}") for number in range(300)))
    sizes = []
    for number in range(2000):
        changed = {"routes": [route(f"r{number % 300}")]}
        assert update(number + 3, number + 4, upsert=changed).apply(state) == Accepted()
        sizes.append(state.ByteSize())
    assert sizes[-1] <= sizes[2 * MAX_REMEMBERED_CONFIGURATIONS] + 8


class Oracle:
    """A simple model of the configuration: routes by name, and the list of accepted commands."""

    def __init__(self, apply: Callable[[Command, ControlState], Outcome]) -> None:
        self.apply = apply
        self.state = ControlState()
        self.routes: dict[str, dict[str, Any]] = {}
        self.generation = 0
        self.accepted: list[Command] = []

    def command(self, command: ReplaceConfiguration | UpdateConfiguration) -> None:
        """Apply a command, and compare the outcome and the configuration with the model."""
        values = json.loads(command.body)
        outcome = self.apply(command, self.state)
        if command in self.accepted:
            assert outcome == Accepted()
        elif command.base != self.generation:
            assert isinstance(outcome, Conflict)
        elif not self._is_valid(command, values):
            assert isinstance(outcome, Invalid)
        else:
            assert outcome == Accepted()
            self._apply_to_model(command, values)
        if self.generation:
            read = json.loads(self.state.configuration)
            assert read["generation"] == self.state.generation == self.generation
            assert {r["name"]: r for r in read["routes"]} == self.routes

    def _is_valid(self, command: Command, values: dict[str, Any]) -> bool:
        if values["generation"] <= self.generation:
            return False
        if isinstance(command, ReplaceConfiguration):
            return True
        removed = values["remove"]["routes"]
        return set(removed) <= set(self.routes) and not set(removed) & {
            r["name"] for r in values["upsert"]["routes"]
        }

    def _apply_to_model(self, command: Command, values: dict[str, Any]) -> None:
        self.accepted.append(command)
        self.generation = values["generation"]
        if isinstance(command, ReplaceConfiguration):
            self.routes = {}
        else:
            for name in values["remove"]["routes"]:
                del self.routes[name]
        items = values["routes"] if isinstance(command, ReplaceConfiguration) else values["upsert"]["routes"]
        self.routes |= {item["name"]: item for item in items}


NAMES = ("a", "b", "c")


def random_command(
    base: int, step: int, kind: str, names: list[str], removed: list[str], marker: int
) -> ReplaceConfiguration | UpdateConfiguration:
    routes = [route(name, marker=marker) for name in dict.fromkeys(names)]
    if kind == "replace":
        return ReplaceConfiguration(base, body(configuration(base + step, *routes)))
    removals = {"routes": list(dict.fromkeys(removed))}
    return update(base, base + step, upsert={"routes": routes, "services": [{"name": "s"}]}, remove=removals)


class UpdateMachine(RuleBasedStateMachine):
    """Random sequences of commands, compared with the model."""

    def __init__(self) -> None:
        super().__init__()
        self.oracle = Oracle(lambda command, state: command.apply(state))
        self.sent: list[ReplaceConfiguration | UpdateConfiguration] = []

    @rule(
        generations_back=st.sampled_from((0, 0, 0, 1, 2)),
        step=st.sampled_from((0, 1, 1, 2, 3)),
        kind=st.sampled_from(("replace", "update", "update")),
        names=st.lists(st.sampled_from(NAMES), max_size=3),
        removed=st.lists(st.sampled_from(NAMES), max_size=2),
        marker=st.integers(0, 2),
    )
    def change(
        self, generations_back: int, step: int, kind: str, names: list[str], removed: list[str], marker: int
    ) -> None:
        base = max(0, self.oracle.generation - generations_back)
        self.sent.append(random_command(base, step, kind, names, removed, marker))
        self.oracle.command(self.sent[-1])

    @rule(number=st.integers(0, 5))
    def repeat(self, number: int) -> None:
        if number < len(self.sent):
            self.oracle.command(self.sent[-1 - number])


TestUpdates = UpdateMachine.TestCase
TestUpdates.settings = settings(max_examples=60, stateful_step_count=25, deadline=None)


def _without_history(command: Command, state: ControlState) -> Outcome:
    del state.accepted[:]
    return command.apply(state)


def _ignoring_base(command: Command, state: ControlState) -> Outcome:
    if isinstance(command, UpdateConfiguration):
        command = replace(command, base=state.generation)
    return command.apply(state)


def _counting_retries(command: Command, state: ControlState) -> Outcome:
    if isinstance(command, UpdateConfiguration) and any(t.digest == command.digest for t in state.accepted):
        state.generation += 1
    return command.apply(state)


@pytest.mark.parametrize("mutant", [_without_history, _ignoring_base, _counting_retries])
def test_faulty_implementations_are_detected(mutant: Callable[[Command, ControlState], Outcome]) -> None:
    random = Random(1)
    oracle = Oracle(mutant)
    sent = []
    with pytest.raises(AssertionError):
        for _ in range(300):
            names = random.sample(NAMES, random.randint(0, 2))
            base = max(0, oracle.generation - random.choice((0, 0, 1)))
            sent.append(random_command(base, 1, random.choice(("replace", "update")), names, [], 0))
            oracle.command(random.choice(sent) if random.random() < 0.3 else sent[-1])
