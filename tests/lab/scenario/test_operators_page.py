"""The operators' page must list exactly the keys of the schema, with the same defaults."""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest
from msgspec import inspect, structs

from wheatring.__main__ import main
from wheatring.lab import plan
from wheatring.lab.scenario import schema
from wheatring.lab.scenario.event_forms import EVENT_FORMS
from wheatring.lab.scenario.load import names, parse

PAGE = (Path(__file__).parents[3] / "docs" / "operate" / "lab.md").read_text(encoding="utf-8")
TABLES: dict[str, type[msgspec.Struct]] = {
    "At the top": schema.Scenario, "`[[class]]`": schema.Class, "`[[tier]]`": schema.Tier,
    "`[[tier.kind]]`": schema.Kind, "`[tier.choke]`": schema.Choke, "`[front]`": schema.Front,
    "`[net]`": schema.Net, "`[traffic]`": schema.Traffic, "`[clients]`": schema.Clients,
    "`[discovery]`": schema.Discovery, "`[rules]`": schema.Rules, "`[limits]`": schema.Limits,
    "`[goal]`": schema.Goal, "`[check]`": schema.Check, "`[[event]]`": schema.Event,
}  # fmt: skip


def rows(heading: str, first: str = "key") -> Iterator[list[str]]:
    """Yield the rows of the table under a heading whose first column has this name."""
    part = PAGE.split(f"\n### {heading}\n")[1].split("\n### ")[0]
    table = part.split(f"\n| {first} |")[1].split("\n\n")[0]
    for line in table.split("\n")[2:]:
        if line:
            yield [cell.strip() for cell in line.split("|")[1:-1]]


def expected_default(field: structs.FieldInfo) -> str:
    if field.required:
        return "needed"
    value = field.default
    if value is None:
        return "none"
    if isinstance(value, msgspec.Struct):
        return "as below"
    if isinstance(value, float):
        return f"`{value:.10g}`".replace("`1000000000`", "`1e9`")
    if isinstance(value, str):
        return f"`{value}`"
    return f"`{msgspec.json.encode(value).decode().replace(',', ', ')}`"


@pytest.mark.parametrize("heading", TABLES)
def test_each_table_lists_each_key_with_its_default(heading: str) -> None:
    documented = [(cells[0].strip("`"), cells[2]) for cells in rows(heading)]
    fields = structs.fields(TABLES[heading])
    assert sorted(documented) == sorted((field.encode_name, expected_default(field)) for field in fields)


def test_each_kind_of_event_is_listed_with_its_keys() -> None:
    def key_values(may: str) -> dict[str, float | bool]:
        pairs = re.findall(r"`(\w+)` = (\S+?)(?:,|$)", may)
        return {key: tomllib.loads(f"v = {value}")["v"] for key, value in pairs}

    documented = {}
    for kind, needs, may, _ in rows("`[[event]]`", "kind"):
        documented[kind.strip("`")] = (tuple(re.findall(r"`(\w+)`", needs)), key_values(may))
    assert documented == {kind: (form.required, dict(form.optional)) for kind, form in EVENT_FORMS.items()}


def test_defaults_of_the_schema_and_of_the_plan_are_equal() -> None:
    pairs: dict[type[msgspec.Struct], type[msgspec.Struct]] = {
        schema.Class: plan.ClassPlan, schema.Kind: plan.KindPlan, schema.Choke: plan.ChokePlan,
        schema.Tier: plan.TierPlan, schema.Net: plan.NetPlan, schema.Traffic: plan.TrafficPlan,
        schema.Clients: plan.ClientPlan, schema.Discovery: plan.DiscoveryPlan, schema.Rules: plan.RulesPlan,
        schema.Limits: plan.LimitsPlan, schema.Goal: plan.GoalPlan, schema.Scenario: plan.Plan,
    }  # fmt: skip
    for schema_type, plan_type in pairs.items():
        defaults = {field.name: field.default for field in structs.fields(plan_type) if not field.required}
        for field in structs.fields(schema_type):
            if isinstance(field.default, int | float | str) and field.name in defaults and not field.required:
                differs = (schema_type, field.name) == (schema.Traffic, "shape")  # a name, or points
                assert differs or field.default == defaults[field.name], (
                    f"{schema_type.__name__}.{field.name}"
                )


def test_each_kind_of_event_of_the_plan_is_available_in_scenarios() -> None:
    (kinds,) = (field.type for field in structs.fields(plan.EventPlan) if field.name == "kind")
    planned = inspect.type_info(kinds)
    assert isinstance(planned, inspect.LiteralType)
    expanded_kinds = {"discovery_cut", "release", "restart", "rolling_sidecars", "all_sidecars"}
    assert set(planned.values) == set(EVENT_FORMS) - expanded_kinds


def test_the_example_of_the_page_is_valid() -> None:
    (text,) = re.findall(r"```toml\n(.*?)```", PAGE, re.DOTALL)
    assert parse(text, "example", "lab.md").scenario.tiers[2].calls == 2


def test_the_library_is_listed_and_has_the_expected_scenarios(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["lab", "list"]) == 0
    out = capsys.readouterr().out
    assert re.findall(r"^([\w-]+): ", out, re.MULTILINE) == names()
    wanted = """calm release slow-release restart-all refused grey choke discovery-out pile-on two-troubles
        three-tiers thousand ten-times kills flap partition clock-steps stale-list small faults"""
    assert set(wanted.split()) < set(names())
