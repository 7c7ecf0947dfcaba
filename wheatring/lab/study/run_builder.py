"""Builds the specs of runs from scenarios and settings, and loads a spec's scenario again."""

from __future__ import annotations

from pathlib import Path

import msgspec

from wheatring.lab.scenario.fault_messages import Fault
from wheatring.lab.scenario.load import (
    LoadedScenario,
    Raw,
    ScenarioError,
    check_tables,
    load_tables,
    with_override,
)
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.study.runs import Build, RunSpec, short_hash
from wheatring.lab.study.settings import Settings, value_of


def make_run_specs(
    scenario: str, seeds: list[int], grains: list[str], settings: Settings, build: Build
) -> list[RunSpec]:
    """Return the runs of one scenario, given by name or file, ordered by seed.

    Raises ScenarioError if the scenario or a setting is invalid, which is checked by drawing the first seed.
    """
    raw, name, where = load_tables(scenario)
    text_hash = short_hash(_text(raw))
    raw = _with_settings(raw, where, settings)
    for seed in seeds[:1]:
        draw(check_tables(raw, name, where), seed)
    source = _text(raw)
    return [
        RunSpec(scenario, text_hash, source, seed, grain, settings, build)
        for seed in seeds
        for grain in grains
    ]


def load_scenario(scenario: str, settings: Settings) -> LoadedScenario:
    """Return a scenario, given by name or file, with the settings applied.

    Raises ScenarioError if the scenario or a setting is invalid.
    """
    raw, name, where = load_tables(scenario)
    return check_tables(_with_settings(raw, where, settings), name, where)


def _with_settings(raw: Raw, where: str, settings: Settings) -> Raw:
    for key, value in settings.sets:
        try:
            raw = with_override(raw, key, value_of(value))
        except KeyError as error:
            raise ScenarioError(where, [Fault(f"--set {key}", f"there is no {error.args[0]}")]) from None
    return raw


def _text(raw: Raw) -> str:
    return msgspec.json.encode(raw, order="sorted").decode()


def scenario_of(spec: RunSpec) -> LoadedScenario:
    """Return the scenario of a run."""
    raw: Raw = msgspec.json.decode(spec.source)
    return check_tables(raw, Path(spec.scenario).stem, spec.scenario)
