"""Tests of loading: each key is validated, and faults are reported with the path of the key."""

from __future__ import annotations

import copy
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from msgspec import inspect

from tests.lab.scenario.scenario_text import VALID_TEXT, set_at_path, toml
from wheatring.__main__ import main
from wheatring.lab.scenario.event_forms import EVENT_FORMS, SELECTORS
from wheatring.lab.scenario.load import LoadedScenario, ScenarioError, load, parse
from wheatring.lab.scenario.schema import Scenario

CHOKE = {"at": 4, "over": 1, "slower": 2, "rest": 1, "below": 0.5, "most": 5}
SLOW = {"kind": "slow", "tier": "far", "count": 1, "at": 5, "size": 2, "length": 1}


def valid_tables(*events: dict[str, Any]) -> dict[str, Any]:
    """Return the tables of the valid text, with a choke and events."""
    raw = tomllib.loads(VALID_TEXT)
    raw["tier"][0]["choke"] = dict(CHOKE)
    raw["event"] = copy.deepcopy(list(events)) or [dict(SLOW)]
    return raw


def faults(raw: dict[str, Any]) -> list[str]:
    try:
        parse(toml(raw), "bad", "bad.toml")
    except ScenarioError as error:
        return str(error).split("\n")
    return []


def tables(kind: inspect.Type, path: str, raw: Any) -> Iterator[tuple[str, inspect.StructType]]:
    """Yield each table of the schema with the path of an instance in the valid text."""
    if isinstance(kind, inspect.StructType):
        yield path, kind
        for field in kind.fields:
            yield from tables(field.type, f"{path}.{field.encode_name}" if path else field.encode_name, raw)
    elif isinstance(kind, inspect.UnionType):
        for member in kind.types:
            yield from tables(member, path, raw)
    elif isinstance(kind, inspect.VarTupleType):
        name = {"class": "ask", "tier": "near", "tier.near.kind": "any", "event": "slow"}.get(path)
        yield from tables(kind.item_type, f"{path}.{name}", raw)


def invalid_values(field: inspect.Field) -> Iterator[object]:
    """Yield invalid values of a key. `...` stands for a missing key."""
    if field.required:
        yield ...
    kinds = field.type.types if isinstance(field.type, inspect.UnionType) else (field.type,)
    yield "A word!" if any(isinstance(kind, inspect.StructType) for kind in kinds) else {"a": 1}
    for kind in kinds:
        if isinstance(kind, inspect.FloatType | inspect.IntType):
            minimum = kind.gt if kind.ge is None else kind.ge - 1
            assert kind.le is not None and minimum is not None
            yield from (minimum, kind.le + 1, True, "1", [kind.le], [kind.le, kind.le + 1])
            if len(kinds) > 1:
                yield [kind.le, kind.le - 0.5 if isinstance(kind, inspect.FloatType) else 64]
        elif isinstance(kind, inspect.LiteralType):
            yield from ("nonsense", [])
        elif isinstance(kind, inspect.BoolType):
            yield "yes"
        elif isinstance(kind, inspect.StrType) and kind.pattern:
            yield "A word!"


TABLES = list(tables(inspect.type_info(Scenario), "", valid_tables()))


@pytest.mark.parametrize(("at", "table"), TABLES, ids=[path for path, _ in TABLES])
def test_each_invalid_value_is_reported_with_its_path(at: str, table: inspect.StructType) -> None:
    """Each invalid value of each key gives one fault, with the path of the key and the value."""
    prefix = f"{at}." if at else ""
    cases: list[tuple[str, object]] = [(f"{prefix}zzz", value) for value in (1, {"a": 1})]
    for field in table.fields:
        path = prefix + field.encode_name
        cases += [(path, value) for value in invalid_values(field)]
    unexpected = []
    for path, value in cases:
        raw = valid_tables()
        set_at_path(raw, path, value)
        named = re.sub(r"^event\.slow\.", r"event.[\\w-]+.", path)  # an invalid kind is not used as the label
        if path.endswith(".name"):
            named = r"[\w.]+\.[^.]+\.name"
        reported = faults(raw)
        tail = "missing" if value is ... else r".*, is .+"
        if len(reported) != 1 or not re.fullmatch(rf"bad\.toml: {named}: {tail}", reported[0]):
            unexpected.append((path, value, reported))
    assert unexpected == []


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("class.ask.aim", 7, ""),
        ("class.ask.deadline", [5, 9], ""),
        ("tail", 4, "class.ask.deadline"),
        ("tier.near.calls", 2, ""),
        ("tier.near.name", "front", "tier.front.name"),
        ("tier.near.nodes", 15_000, "tier.far.nodes"),
        ("tier.far.nodes", 3, ""),
        ("tier.far.times", 10_000, "tier.far.nodes"),
        ("tier.far.times", ..., "tier.far.nodes"),
        ("tier.far.name", "near", "tier.near"),
        ("tier.far.kind.late.name", "fast", "tier.far.kind.fast"),
        ("tier.near.choke.below", 4, ""),
        ("tier.near.kind.any.cold", 30, ""),
        ("tier.near.kind.any.cold_from", 0.5, ""),
        ("tier.near.kind.any.pause", 1, "tier.near.kind.any.pause_every"),
        ("rules.cold_from", 0.7, "tier.far.kind.fast.cold_from"),
        ("net.segment", 1_000_000, ""),
        ("traffic.load", 0.5, "traffic.rate"),
        ("traffic.rate", ..., ""),
        ("traffic.points", [[0.1, 1]], ""),
        ("traffic.points", [[0, 1], [0.5, 1], [0.5, 2]], ""),
        ("traffic.points", [[0, 0], [1, 0]], ""),
        ("goal.whole", 0.7, ""),
        ("goal.whole", [0.5, 0.7], ""),
        ("zones", ["a", "a"], ""),
        ("front.sidecars", 30_000, ""),
        ("extends", "nobody", ""),
        ("without", ["tier.x"], ""),
        ("epoch", float("nan"), ""),
        ("tier.near.work", [0.1, float("inf")], ""),
    ],
)
def test_contradictory_keys_are_reported(path: str, value: object, named: str) -> None:
    raw = valid_tables()
    set_at_path(raw, "tier.far.kind.fast.cold", 5)
    set_at_path(raw, "tier.far.kind.fast.cold_from", 0.5)
    assert faults(raw) == []
    set_at_path(raw, path, value)
    reported = faults(raw)
    assert [line.split(": ")[1] for line in reported] == [named or path]


@pytest.mark.parametrize(
    ("event", "key"),
    [
        ({**SLOW, "size": 0.5}, "size"),
        ({**SLOW, "size": [2, 2000]}, "size"),
        ({**SLOW, "lead": 1}, "lead"),
        ({**SLOW, "tier": "farther"}, "tier"),
        ({**SLOW, "part": 0.5}, "count"),
        ({**SLOW, "count": 7}, "count"),
        ({**SLOW, "at": 66}, "at"),
        ({**SLOW, "every": 2}, "every"),
        ({**SLOW, "times": 2}, "every"),
        ({**SLOW, "every": 10, "times": 8}, "times"),
        ({**SLOW, "every": [0.5, 3], "times": 2}, "every"),
        ({**SLOW, "anew": True}, "anew"),
        ({"kind": "slow", "tier": "far", "at": 1, "size": 2}, "part"),
        ({"kind": "slow", "count": 1, "at": 1, "size": 2}, "tier"),
        ({"kind": "slow", "nodes": ["far-1"], "tier": "far", "at": 1, "size": 2}, "tier"),
        ({"kind": "slow", "nodes": ["far-7"], "at": 1, "size": 2}, "nodes"),
        ({"kind": "slow", "nodes": ["far-01"], "at": 1, "size": 2}, "nodes"),
        ({"kind": "slow", "nodes": ["far-1", "far-1"], "at": 1, "size": 2}, "nodes"),
        ({"kind": "partition", "nodes": ["far-1", "near-1"], "at": 1}, "nodes"),
        ({"kind": "sidecar_kill", "tier": "far", "count": 1, "at": 1, "length": 1}, "tier"),
        ({"kind": "sidecar_kill", "sidecars": ["far-1"], "at": 1, "length": 1}, "sidecars"),
        ({"kind": "sidecar_kill", "sidecars": ["front-2"], "at": 1, "length": 1}, "sidecars"),
        ({"kind": "sidecar_kill", "count": 2, "at": 1, "length": 1}, "count"),
        ({"kind": "discovery_down", "at": 1, "length": 0}, "length"),
        ({"kind": "kill", "tier": "far", "count": 1, "at": 1, "replaced": True}, "length"),
        (
            {"kind": "kill", "tier": "far", "count": 1, "at": 1, "length": 1, "same_address": 1},
            "same_address",
        ),
        ({"kind": "release", "tier": "far", "at": 1, "gap": 0}, "gap"),
        ({"kind": "restart", "tier": "far", "at": 1, "step": [0, 1]}, "step"),
        ({"kind": "clock_step", "tier": "far", "at": 1, "size": 1}, "tier"),
    ],
)
def test_invalid_combinations_of_keys_of_an_event_are_reported(event: dict[str, Any], key: str) -> None:
    reported = faults(valid_tables(event))
    assert [line.split(": ")[1] for line in reported] == [f"event.{event['kind']}.{key}"]


def test_each_missing_required_key_of_an_event_is_reported() -> None:
    for kind, form in EVENT_FORMS.items():
        minimum = {"kind": kind, "at": 1} | ({} if form.target == "none" else {"tier": "near"})
        if SELECTORS[form.target] and not form.selects_all:
            minimum["count"] = 1
        complete = minimum | {
            key: max(1.0, form.size[0]) if form.size[1] > 1 else 0.5 for key in form.required
        }
        assert faults(valid_tables(complete)) == []
        for key in form.required:
            incomplete = {name: value for name, value in complete.items() if name != key}
            assert faults(valid_tables(incomplete)) == [
                f"bad.toml: event.{kind}.{key}: missing: {kind} needs it"
            ]


def test_overlapping_discovery_events_are_reported_together_with_other_faults() -> None:
    down = {"kind": "discovery_down", "at": [5, 8], "length": 4}
    silent = {"kind": "discovery_silent", "at": 11, "length": 4}
    late = {"kind": "discovery_down", "name": "late", "at": 15, "length": 4}
    raw = valid_tables(down, silent, late)
    assert faults(raw) == ["bad.toml: event.discovery_silent.at: overlaps event.discovery_down, is 11.0"]
    raw["goal"] = {"whole": 1}
    assert len(faults(raw)) == 2


def test_a_scenario_overrides_the_one_that_it_extends() -> None:
    text = """
        title = "Mine"
        what = "Mine."
        extends = "three-tiers"
        without = ["event.slow-stock", "tier.basket"]
        front = { sidecars = 5 }
        traffic = { load = 0.5 }
        tier = [{ name = "stock", times = 2 }, { name = "last", nodes = 2, work = 1, kind = [{name = "a"}] }]
        event = [{ name = "slow-basket", tier = "stock" }, { kind = "load", at = 3, size = 2 }]
    """
    base, mine = load("three-tiers").scenario, parse(text, "mine", "mine.toml").scenario
    assert [tier.name for tier in mine.tiers] == ["storefront", "stock", "last"]
    assert mine.tiers[0] == base.tiers[0]
    assert mine.tiers[1] == msgspec.structs.replace(base.tiers[2], nodes=None, times=2.0)
    assert (mine.front.sidecars, mine.front.notice) == (5, base.front.notice)
    assert (mine.traffic.rate, mine.traffic.load, mine.traffic.swing) == (None, 0.5, base.traffic.swing)
    assert [(e.name, e.kind, e.tier) for e in mine.events] == [
        ("slow-basket", "slow", "stock"), (None, "load", None),
    ]  # fmt: skip
    assert mine.events[0].at == base.events[0].at


@pytest.mark.parametrize("content", [b"title = ", b"\xff", None, b'extends = "self"'])
def test_an_unreadable_file_is_reported_on_one_line_with_status_2(
    content: bytes | None, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "mine.toml"
    if content is not None:
        path.write_bytes(content)
    assert main(["lab", "plan", str(path)]) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.startswith(f"{path}: ") and err.count("\n") == 1


def test_check_reports_each_file_and_faults_that_depend_on_the_draw(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    raw = valid_tables(
        {"kind": "kill", "tier": "near", "count": [1, 3], "at": 1}, {**SLOW, "tier": "near", "count": 3}
    )
    (tmp_path / "some.toml").write_text(toml(raw), encoding="utf-8")
    found = load(tmp_path / "some.toml")
    assert isinstance(found, LoadedScenario) and found.name == "some"
    assert main(["lab", "check", "calm", str(tmp_path / "some.toml"), "nobody"]) == 2
    out, err = capsys.readouterr()
    assert out == "calm: ok\n"
    first, second = err.splitlines()
    assert re.fullmatch(r".*some\.toml: seed \d+: event\.slow\.at: no possible target .*, is 5\.0", first)
    assert second.startswith("nobody: no scenario of the library")
