"""Tests of random draws (in range, independent of each other, reproducible) and of expanded events."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Iterator
from itertools import pairwise
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lab.scenario.scenario_text import VALID_TEXT, plan_faults, toml
from wheatring.__main__ import main
from wheatring.lab.plan import Plan
from wheatring.lab.scenario.capacity import summary
from wheatring.lab.scenario.fault_messages import labels
from wheatring.lab.scenario.load import ScenarioError, load, names, parse
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.scenario.sampler import PlanSampler, apportion

BASE = msgspec.to_builtins(load("base").scenario)


def draw_plan(*events: dict[str, Any], seed: int = 1, near: int = 3, **top_level: object) -> Plan:
    good = VALID_TEXT.replace("nodes = 3", f"nodes = {near}")
    text = f"{toml(top_level)}\n{good}" + "".join(f"\n[[event]]\n{toml(event)}\n" for event in events)
    return draw(parse(text, "good", "good.toml"), seed)


def leaves(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    """Yield each scalar value with its path."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from leaves(inner, f"{path}.{key}")
    elif isinstance(value, list | tuple):
        for place, inner in enumerate(value):
            yield from leaves(inner, f"{path}.{place}")
    else:
        yield path, value


def ranges(value: Any, path: str = "") -> Iterator[tuple[str, list[Any]]]:
    """Yield the paths of drawn keys with their ranges or choices."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from ranges(inner, f"{path}.{key}" if path else key)
    elif isinstance(value, list | tuple) and value and isinstance(value[0], dict):
        for label, inner in zip(labels(value), value, strict=True):
            yield from ranges(inner, f"{path}.{label}")
    elif isinstance(value, list | tuple) and len(value) > 1 and path != "sidecar_start":
        yield path, list(value)


DRAWN_KEYS = list(ranges(BASE))
# Fields of the plan that a key affects, where their name differs from the key's; no others may change.
AFFECTED_FIELDS = {
    "sidecars": r"sidecars", "notice": r"front_notice|discovery\.notice", "swing": r"traffic\.shape",
    "humps": r"traffic\.shape", "shape": r"traffic\.shape", "cell_size": r"nodes\.\d+\.cell",
    "speed": r"nodes\.\d+\.speed", "speed_cv": r"nodes\.\d+\.speed", "nodes": r"nodes", "times": r"nodes",
    "slots_per_core": r"tiers.*slots", "queue_per_core": r"tiers.*queue", "knee_per_core": r"tiers.*knee",
}  # fmt: skip


def leaves_with(path: str, value: object) -> dict[str, object]:
    """Return the leaves of a plan of the scenario `base` with one key set.

    Traffic and the speed of discovery have fixed values, as their defaults depend on many keys.
    """
    raw: dict[str, Any] = {"title": "t", "what": "w", "extends": "base"}
    raw |= {"traffic": {"rate": 100, "shape": "bursty"}, "discovery": {"lines_per_s": 300}}
    inner = raw
    steps = iter(path.split("."))
    for step in steps:
        if step in ("class", "tier", "kind"):
            entry: dict[str, Any] = {"name": next(steps)}
            inner[step] = [entry]
            inner = entry
        elif f".{path}".endswith(f".{step}"):
            inner[step] = value
        else:
            inner = inner.setdefault(step, {})
    return dict(leaves(msgspec.to_builtins(draw(parse(toml(raw), "day", "day.toml"), 3))))


def test_changing_a_key_changes_no_other_draw() -> None:
    before = leaves_with("title", "t")
    changed_keys = 0
    for path, choices in DRAWN_KEYS:
        if path in ("traffic.load", "traffic.shape", "discovery.capacity"):
            continue
        after = leaves_with(path, choices[0])
        key = path.rpartition(".")[2]
        affected = re.compile(rf"\.({AFFECTED_FIELDS.get(key, rf'.*{key}')})\b")
        changed = [leaf for leaf in before.keys() | after.keys() if before.get(leaf) != after.get(leaf)]
        assert [leaf for leaf in sorted(changed) if not affected.match(leaf)] == [], path
        changed_keys += bool(changed)
    assert changed_keys > 80


def test_an_additional_event_changes_no_other_event() -> None:
    flap = {
        "kind": "hang",
        "tier": "far",
        "part": 0.4,
        "at": [2, 9],
        "length": [1, 2],
        "every": 5,
        "times": 3,
    }
    kill = {"kind": "kill", "tier": "near", "count": 1, "at": [20, 25], "length": [1, 2]}
    load = {"kind": "load", "at": [1, 20], "size": [1, 2]}
    alone = draw_plan(flap, kill)
    both = draw_plan(load, flap, kill)
    assert [event for event in both.events if event.kind != "load"] == list(alone.events)


@settings(derandomize=True)
@given(st.floats(-1e6, 1e6), st.floats(-1e6, 1e6), st.integers(), st.text(max_size=20))
def test_a_drawn_number_is_in_its_range(one: float, other: float, seed: int, path: str) -> None:
    low, high = sorted((one, other))
    assert low <= PlanSampler(seed).number(path, (low, high)) <= high


@settings(derandomize=True)
@given(st.integers(0, 3000), st.lists(st.floats(0.01, 10), min_size=1, max_size=6))
def test_apportioned_parts_add_up_and_differ_from_their_share_by_less_than_one(
    total: int, shares: list[float]
) -> None:
    parts = apportion(total, shares)
    assert sum(parts) == total
    assert all(abs(part - total * s / sum(shares)) < 1 for part, s in zip(parts, shares, strict=True))


def test_plans_of_different_seeds_cover_the_ranges_of_the_scenario() -> None:
    plans = [draw(load("base"), seed) for seed in range(60)]
    nodes = [sum(node.tier == 0 for node in plan.nodes) for plan in plans]
    assert set(nodes) == {10, 11, 12, 13, 14}
    assert {len(plan.sidecars) for plan in plans} == {1, 2}
    assert {plan.clients.backoff for plan in plans} == {"none", "fixed", "exp"}
    assert {plan.passes_deadline for plan in plans} == {True, False}
    assert 20 <= sum(plan.tiers[0].choke is not None for plan in plans) <= 50  # the share is 0.6
    calls = sorted(plan.tiers[2].calls for plan in plans)
    assert 1.5 <= calls[0] < 1.6 and 2.4 < calls[-1] <= 2.5
    assert all(len({tier.conn_cap for tier in plan.tiers}) == 3 for plan in plans)  # separate draws by path
    for plan in plans:
        visits = plan.tiers[1].calls * plan.tiers[2].calls
        assert summary(plan).tiers[2].calls == pytest.approx(plan.traffic.rate * visits)
        least = min(tier.capacity / tier.offered for tier in summary(plan).tiers)
        assert 0.55 <= 1 / least <= 0.7001
        fast = [node for node in plan.nodes if node.tier == 1 and node.kind == 0]
        assert len(fast) == round(0.32 * sum(node.tier == 1 for node in plan.nodes))


@pytest.mark.parametrize("points", [None, [[0, 3], [0.5, 0], [0.75, 1]]])
def test_the_shape_of_the_traffic_has_a_mean_of_one(points: list[list[float]] | None) -> None:
    traffic = f"points = {points}" if points else 'shape = "bursty"\nswing = 0.9'
    scenario = parse(VALID_TEXT.replace("rate = 20", f"rate = 20\n{traffic}"), "good", "good.toml")
    for seed in range(5):
        plan = draw(scenario, seed)
        shape = [*plan.traffic.shape, (plan.length, plan.traffic.shape[-1][1])]
        area = sum((one + other) / 2 * (to - at) for (at, one), (to, other) in pairwise(shape))
        assert area / plan.length == pytest.approx(1)


def test_a_plan_is_byte_identical_across_processes_and_hash_seeds(tmp_path: Path) -> None:
    assert main(["lab", "plan", "faults", "--seed", "7", "--json", str(tmp_path / "here")]) == 0
    expected = (tmp_path / "here").read_bytes()
    assert msgspec.json.decode(expected, type=Plan) == draw(load("faults"), 7)
    for hashing in ("1", "2"):
        result = subprocess.run(
            [sys.executable, "-m", "wheatring", "lab", "plan", "faults", "--seed", "7", "--json", "-"],
            env=os.environ | {"PYTHONHASHSEED": hashing}, capture_output=True, check=True,
        )  # fmt: skip
        assert result.stdout == expected


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 10**6),
    lead=st.floats(0, 8),
    gap=st.floats(0.01, 5),
    step=st.floats(0.01, 9),
    same=st.sampled_from([0, 0.5, 1]),
    kill=st.floats(0, 40),
    times=st.integers(1, 4),
)
def test_overlapping_releases_and_kills_give_consistent_plans(
    seed: int, lead: float, gap: float, step: float, same: float, kill: float, times: int
) -> None:
    release = {"kind": "release", "tier": "far", "at": 1, "lead": lead, "gap": gap, "step": step}
    restart = {"kind": "restart", "tier": "near", "count": 2, "at": 2, "lead": lead, "gap": gap, "step": step}
    kill_replaced = {"kind": "kill", "tier": "far", "count": 2, "at": kill, "length": 1, "replaced": True}
    again = {"every": 5, "times": times}
    vanish = {"kind": "vanish", "tier": "far", "count": 1, "at": kill / 2, "length": gap} | again
    flap = {"kind": "hang", "tier": "far", "count": 2, "at": 0, "length": 1} | again
    crash = {"kind": "sidecar_kill", "tier": "near", "part": 0.3, "at": kill, "length": 1, "anew": True}
    sidecars = {"kind": "rolling_sidecars", "tier": "near", "at": 3, "lead": lead, "gap": gap, "step": step}
    try:
        plan = draw_plan(
            release | {"same_address": same}, restart,
            kill_replaced | again | {"anew": True, "same_address": same}, flap, vanish | {"every": gap + 5},
            sidecars, sidecars | {"at": 6, "name": "more"}, crash | again, seed=seed, length=110, near=12,
        )  # fmt: skip
    except ScenarioError as error:
        assert "no possible target runs at that time" in str(error)
        return
    assert plan_faults(plan) == []
    nodes = {node.name: node for node in plan.nodes}
    new = [event.replaced_by for event in plan.events if event.replaced_by]
    assert len(new) == len(set(new))
    for event in plan.events:
        if event.replaced_by:
            old = nodes[event.nodes[0]]
            replacement = nodes[event.replaced_by]
            assert (replacement.kind, replacement.cell, replacement.zone) == (old.kind, old.cell, old.zone)
            assert same == 0.5 or (replacement.host == old.host) == bool(same)


def test_a_release_replaces_each_machine_once_in_sequence() -> None:
    plan = draw_plan({"kind": "release", "tier": "far", "at": 2, "lead": 3, "gap": 0.5, "step": 4})
    assert [(event.at, event.extra, event.length) for event in plan.events] == [
        (2 + 4 * place, 3, 0.5) for place in range(6)
    ]
    assert sorted(event.nodes for event in plan.events) == [(f"far-{number}",) for number in range(1, 7)]
    assert [event.replaced_by for event in plan.events] == [f"{e.nodes[0]}.2" for e in plan.events]


def test_repetitions_affect_the_same_nodes_unless_the_event_has_anew() -> None:
    flap = {"kind": "hang", "tier": "far", "count": 1, "at": 1, "length": 1, "every": 3, "times": 15}
    assert len({event.nodes for event in draw_plan(flap).events}) == 1
    assert len({event.nodes for event in draw_plan(flap | {"anew": True}).events}) > 3


def test_an_event_does_not_affect_a_node_that_has_ended() -> None:
    kill = {"kind": "kill", "nodes": ["near-1"], "at": 1}
    with pytest.raises(ScenarioError, match=r"^good.toml: event.slow.nodes: near-1 does not run at 2 s, is "):
        draw_plan(kill, {"kind": "slow", "nodes": ["near-1", "near-2"], "at": 2, "size": 2})
    part = {"kind": "slow", "tier": "near", "part": 1, "at": 2, "size": 2}
    assert set(draw_plan(kill, part).events[1].nodes) == {"near-2", "near-3"}


def test_link_and_clock_events_have_the_hosts_of_their_targets() -> None:
    plan = draw_plan(
        {"kind": "partition", "nodes": ["far-2"], "at": 1, "callers": 2, "one_way": True},
        {"kind": "latency", "tier": "near", "part": 1, "at": 2, "size": 3},
        {"kind": "clock_step", "at": 3, "size": -1},
        {"kind": "clock_step", "sidecars": ["front-1", "near-3"], "at": 4, "size": 1},
        front={"sidecars": 2},
    )
    near = {node.name: (node.host, node.side_host) for node in plan.nodes if node.tier == 0}
    (far,) = [node.host for node in plan.nodes if node.name == "far-2"]  # the last tier has no sidecars
    front = {one.name: one.host for one in plan.sidecars}
    cut, slow, all_clocks, some = plan.events
    assert cut.one_way and cut.others == (far,)
    assert {cut.hosts[:2], cut.hosts[2:]} < set(near.values())
    assert set(slow.hosts) == set(front.values())
    assert set(slow.others) == {host for each in near.values() for host in each}
    assert all_clocks.hosts == () and some.hosts == (front["front-1"], *near["near-3"])


@pytest.mark.parametrize("name", names())
def test_each_scenario_of_the_library_draws_consistent_plans(name: str) -> None:
    scenario = load(name)
    large = name in ("thousand", "ten-times")
    for seed in range(2 if large else 50):
        assert plan_faults(draw(scenario, seed)) == []
