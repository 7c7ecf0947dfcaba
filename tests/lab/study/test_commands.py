"""The commands, from the command line to the store, with a fake run."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest

from tests.lab.study.fake_runner import BUILD, RUN
from wheatring import commands
from wheatring.lab.scenario.load import ScenarioError, check_tables, load, load_tables, with_override
from wheatring.lab.study import store
from wheatring.lab.study.run_builder import make_run_specs, scenario_of
from wheatring.lab.study.settings import Settings

ESTIMATE_MODULE = "wheatring.balancer.latency_estimate"


@pytest.fixture(autouse=True)
def working_directory(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)


def lab(*words: str) -> int:
    args = commands.build_parser().parse_args(["lab", *words])
    if hasattr(args, "run"):
        args.run, args.workers = RUN, 2
    return commands.run(args)


def test_a_sweep_is_stored_resumed_listed_and_plotted(capsys: pytest.CaptureFixture[str]) -> None:
    sweep = ("sweep", "calm", "--seeds", "1-3", "--set", "clients.retries=0", "--set", "clients.retries=2")
    assert lab(*sweep, "--json") == 0
    first, second = json.loads(capsys.readouterr().out)
    assert (first["runs"], second["settings"]) == (3, "--set clients.retries=2")
    with store.open_store(Path("found/lab.sqlite")) as results:
        before = results.rows()
        assert [(row.seed, row.settings[-1]) for row in before] == [(n, k) for k in "02" for n in (1, 2, 3)]
    assert lab(*sweep) == 0
    assert "clients.retries=2" in capsys.readouterr().out
    assert lab("report", "found/lab.sqlite", "-o", "all.html") == 0
    assert (
        lab("report", "found/lab.sqlite", "-o", "one.html", "--seed", "2", "--set", "clients.retries=2") == 0
    )
    assert "6 runs of calm" in Path("all.html").read_text()
    assert "calm, seed 2, wire grain" in Path("one.html").read_text()
    assert lab("report", "found/lab.sqlite", "-o", "no.html", "--seed", "9") == 2


@pytest.mark.parametrize(
    ("words", "why"),
    [
        (
            ["--patch", f"{ESTIMATE_MODULE}:LERN=1"],
            f"--patch {ESTIMATE_MODULE}:LERN: {ESTIMATE_MODULE} has no LERN",
        ),
        (["--set", "clients.retry=1"], "calm.toml: clients.retry: "),
        (["--set", "clients.retries=many"], "calm.toml: clients.retries: "),
        (["--set", "tier.nave.calls=2"], "calm.toml: --set tier.nave.calls: there is no nave"),
        (["--set", "clients"], "--set clients: not NAME=VALUE"),
        (["--seeds", "x"], "--seeds x: not a range"),
        (["--workers", "0"], "--workers 0: must be"),
    ],
)
def test_an_invalid_argument_is_reported_on_one_line(
    words: list[str], why: str, capsys: pytest.CaptureFixture[str]
) -> None:
    args = commands.build_parser().parse_args(["lab", "sweep", "calm", *words])
    assert commands.run(args) == 2
    out, err = capsys.readouterr()
    assert out == "" and why in err and err.count("\n") == 1


def test_each_of_two_compared_builds_runs_its_own_code(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The fake run's g contains a constant of the balancer, which is 0.05 higher in the other checkout."""
    root = Path(BUILD.folder)
    other = tmp_path / "other"
    shutil.copytree(root / "wheatring", other / "wheatring", ignore=shutil.ignore_patterns("__pycache__"))
    module = other / "wheatring" / "balancer" / "latency_estimate.py"
    module.write_text(module.read_text().replace("\nLEARNING_RATE = 0.2 ", "\nLEARNING_RATE = 0.25 "))
    monkeypatch.chdir(root)  # this checkout must not shadow the other one in its workers
    store = str(tmp_path / "runs.sqlite")
    words = ("compare", "calm", "--seeds", "1-4", "--figure", "latency.99", "--store", store)
    assert lab(*words, "--build-b", str(other), "--json") == 0
    printed = json.loads(capsys.readouterr().out)
    g = printed["differences"][0]
    assert g["figure"] == "g" and g["mean"] == pytest.approx(0.05) and g["verdict"] == "B is better"
    assert [line["figure"] for line in printed["differences"]] == ["g", "service", "latency.99"]
    assert lab(*words, "--set-b", "clients.retries=1") == 0
    assert "B: clients.retries=1" in capsys.readouterr().out
    assert lab(*words) == 2
    assert "A and B are the same" in capsys.readouterr().err
    assert lab(*words, "--build-b", str(tmp_path)) == 2
    assert "no checkout of the project" in capsys.readouterr().err


def test_settings_override_the_scenario_but_not_its_hash() -> None:
    (spec,) = make_run_specs("three-tiers", [1], ["wire"], Settings((("clients.retries", "2"),)), BUILD)
    (plain,) = make_run_specs("three-tiers", [1], ["wire"], Settings(), BUILD)
    assert spec.text_hash == plain.text_hash and scenario_of(plain).scenario == load("three-tiers").scenario
    assert scenario_of(spec).scenario.clients.retries == 2

    raw, name, where = load_tables("three-tiers")
    last = raw["tier"][-1]["name"]
    changed = check_tables(with_override(raw, f"tier.{last}.nodes", 7), name, where).scenario
    assert changed.tiers[-1].nodes == 7 and changed.tiers[-1].times is None
    with_rate = check_tables(with_override(raw, "traffic.rate", 50), name, where).scenario
    assert (with_rate.traffic.rate, with_rate.traffic.load) == (50, None)
    with pytest.raises(ScenarioError):
        check_tables(with_override(raw, "trafic.rate", 50), name, where)


def test_the_pace_command_reports_the_cost_of_a_day(capsys: pytest.CaptureFixture[str]) -> None:
    assert lab("pace", "small", "--grain", "exchange", "--seconds", "0.5") == 0
    first, *_, last = capsys.readouterr().out.splitlines()
    assert first.startswith("small, seed 1, exchange: ") and " us of CPU a call, " in last
    assert lab("pace", "small", "--seconds", "0") == 2
    assert capsys.readouterr().err == "wheatring: --seconds 0: must be above 0\n"
