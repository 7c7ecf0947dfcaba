"""A run on loopback with real sidecars: its outcome, refused plans, and cleanup of processes."""

from __future__ import annotations

import argparse
import os
import select
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from wheatring.commands import lab_live
from wheatring.lab.live import scale
from wheatring.lab.live.play import LAB, LiveOutcome
from wheatring.lab.live.process import PROJECT_ROOT
from wheatring.lab.outcome import Outcome
from wheatring.lab.scenario.load import load, names
from wheatring.lab.scenario.plan_builder import draw

WAIT_LIMIT_SECONDS = 60.0
DAY = """
title = "A short bad day"
what = "For tests."
length = 2
tail = 1
sidecar_start = [0.2, 0.3]

[front]
sidecars = 1
notice = 0.5

[traffic]
rate = 40

[clients]
retries = 1

[discovery]
notice = 0.2
add = 0.2
period = 0.1
capacity = 10

[[class]]
name = "menu-view"
share = 0.6
work = 0.03
aim = 0.5
deadline = 1

[[class]]
name = "place-order"
share = 0.4
work = 0.06
aim = 0.5
deadline = 1
worth = 5
effect = "keyed"
window = 4

[[tier]]
name = "shop"
nodes = 3
work = 0.5

[[tier.kind]]
name = "shop-any"
cores = 1
cold_from = 0.2
cold = 2.5

[[tier]]
name = "store"
nodes = 4
work = 0.5
calls = 1.5

[[tier.kind]]
name = "store-any"
cores = 1
cold_from = 0.2
cold = 2.5

[[event]]
kind = "slow"
tier = "shop"
count = 1
at = 0.1
length = 0.3
size = 4

[[event]]
kind = "refuse"
tier = "store"
count = 1
at = 0.2
length = 0.3

[[event]]
kind = "kill"
tier = "store"
count = 1
at = 0.3
length = 0.2

[[event]]
kind = "discovery_down"
at = 0.4
length = 0.3

[[event]]
kind = "sidecar_kill"
tier = "shop"
count = 1
at = 0.6
length = 0.1

[[event]]
kind = "drain"
tier = "shop"
count = 1
at = 0.7
extra = 0.2

[[event]]
kind = "sidecar_restart"
count = 1
at = 0.8
extra = 2.7
length = 0.1

[[event]]
kind = "start"
tier = "shop"
count = 1
at = 0.9
"""
COMMAND = """
import argparse, sys
from wheatring.commands import lab_live
top = argparse.ArgumentParser()
lab_live.add(top.add_subparsers())
args = top.parse_args()
sys.exit(args.call(args))
"""
# Without events, some of which end sidecars; long enough not to finish before the signal on a busy machine.
LONG_CALM_DAY = DAY.partition("[[event]]")[0].replace("length = 2", "length = 60")


def start_run(tmp_path: Path, *words: str, day: str = DAY) -> subprocess.Popen[str]:
    (tmp_path / "day.toml").write_text(day, encoding="utf-8")
    return subprocess.Popen(
        [sys.executable, "-c", COMMAND, "live", str(tmp_path / "day.toml"), *words],
        env={**os.environ, "PYTHONPATH": PROJECT_ROOT, "TMPDIR": str(tmp_path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def sidecars(tmp_path: Path) -> list[int]:
    """Return the process ids of sidecars that were started with a file in a folder."""
    found = []
    for entry in Path("/proc").iterdir():
        try:
            words = (entry / "cmdline").read_bytes().split(b"\0") if entry.name.isdigit() else []
        except OSError:  # the process has exited in the meantime
            continue
        if b"--operators" in words and any(word.startswith(bytes(tmp_path)) for word in words):
            found.append(int(entry.name))
    return found


def test_a_run_with_faults_has_an_outcome_as_in_virtual_time_and_leaves_no_processes(tmp_path: Path) -> None:
    with start_run(tmp_path, "--json", str(tmp_path / "outcome")) as process:
        out, err = process.communicate(timeout=WAIT_LIMIT_SECONDS)
        assert process.returncode in (0, 1), err  # on a busy machine delays may be reported as breaches
    assert not sidecars(tmp_path)
    outcome_json = (tmp_path / "outcome").read_bytes()
    outcome = msgspec.json.decode(outcome_json, type=LiveOutcome)
    assert msgspec.json.decode(outcome_json, type=Outcome).requests == outcome.requests
    assert outcome.grain == "live" and outcome.requests > 20
    ends = [each.in_time + each.late + each.refused + each.failed for each in outcome.classes]
    assert sum(ends) == outcome.requests == sum(second.asked for second in outcome.seconds)
    assert sum(each.in_time + each.late for each in outcome.classes) > 0
    assert [breach.what for breach in outcome.breaches if breach.rule == "fault"] == []
    happened = " ".join(what for _, what in outcome.happened)
    for what in ("slow at ", "refuse at ", " ends", "discovery_down", "sidecar_kill at ", "drain at "):
        assert what in happened
    assert "sidecar front-1 ends" in happened and "sidecar front-1 is told to stop" in happened
    rows = {row.name: row for row in outcome.watched}
    assert {LAB, "front-1", "shop-1", "shop-2", "shop-3"} <= set(rows)
    assert rows[LAB].looks and rows[LAB].peak_descriptors > 10
    assert "served" not in out and "place-order" in out


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGKILL])
def test_all_sidecars_end_when_a_run_is_interrupted(number: signal.Signals, tmp_path: Path) -> None:
    with start_run(tmp_path, day=LONG_CALM_DAY) as process:
        assert process.stderr is not None
        for line in process.stderr:
            if line.startswith("the day begins"):
                break
        started = [os.pidfd_open(pid) for pid in sidecars(tmp_path)]
        assert len(started) == 4
        process.send_signal(number)
        process.communicate(timeout=WAIT_LIMIT_SECONDS)
        assert process.returncode == (130 if number == signal.SIGINT else -number)
    for descriptor in started:
        # The descriptor becomes readable when its process has exited.
        assert select.select([descriptor], [], [], WAIT_LIMIT_SECONDS)[0]
        os.close(descriptor)


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (["clock-steps"], "clock-steps.toml: can't be played on loopback: clock_step"),
        (["calm", "--scale", "0"], "scale: must be above 0"),
    ],
)
def test_an_unplayable_scenario_is_refused_before_any_process_starts(
    words: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    top = argparse.ArgumentParser()
    lab_live.add(top.add_subparsers())
    args = top.parse_args(["live", *words])
    assert args.call(args) == 2
    out, err = capsys.readouterr()
    assert out == "" and err.count("\n") == 1 and message in err


@pytest.mark.parametrize("scale_factor", [0.1, 0.34, 0.8])
@pytest.mark.parametrize("name", names())
def test_a_scaled_plan_is_consistent_and_keeps_the_load_per_capacity(name: str, scale_factor: float) -> None:
    for seed in range(1, 6):
        plan = draw(load(name), seed)
        small = scale.scaled(plan, scale_factor)
        remaining = {node.name: node for node in small.nodes}
        front = {sidecar.name for sidecar in small.sidecars}
        assert front and len(front) <= len(plan.sidecars)
        capacity_ratios = []
        for tier in range(len(plan.tiers)):
            cores = [0.0, 0.0]
            for index, each_plan in enumerate((plan, small)):
                nodes = [node for node in each_plan.nodes if node.tier == tier and node.up]
                assert nodes
                cores[index] = sum(n.speed * plan.tiers[tier].kinds[n.kind].cores for n in nodes)
            capacity_ratios.append(cores[1] / cores[0])
        assert small.traffic.rate == pytest.approx(plan.traffic.rate * min(capacity_ratios))
        for event in small.events:
            assert set(event.nodes) <= set(remaining)
            assert set(event.sidecars) <= front | set(remaining)
            assert not event.replaced_by or event.replaced_by in remaining
        for before in plan.events:
            if before.kind in ("slow", "hang", "fast_errors") and before.nodes:
                after = next(e for e in small.events if (e.kind, e.at) == (before.kind, before.at))
                assert 1 <= len(after.nodes) <= max(1, round(scale_factor * len(before.nodes)))
