"""Runs of whole worlds: they are deterministic, and both grains have nearly the same outcome."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from wheatring.common import log
from wheatring.lab.plan import Plan
from wheatring.lab.planted_faults import FAULTS, planted
from wheatring.lab.play import play
from wheatring.lab.scenario.load import load, names
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.world.world import Tracing

GRAINS = ("wire", "exchange")

# Every scenario with fewer sidecars and a lower rate, cut to its first seconds. Two scenarios keep their
# length, as all kinds of faults occur in them.
TRACE_SCRIPT = """
import sys
import msgspec
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.scenario.load import load
from wheatring.lab.play import play
from wheatring.lab.world.world import Tracing

for name in sys.argv[2:]:
    plan = draw(load(name), 3)
    rate = min(plan.traffic.rate, 40.0)
    plan = msgspec.structs.replace(
        plan, length=plan.length if name in ("small", "faults") else 3.0, tail=1.0,
        sidecars=plan.sidecars[:20], traffic=msgspec.structs.replace(plan.traffic, rate=rate),
    )
    print(name, play(plan, sys.argv[1], Tracing()).trace_hash)
"""


def traces(grain: str, hash_seed: int, scenarios: list[str]) -> str:
    return subprocess.run(
        [sys.executable, "-c", TRACE_SCRIPT, grain, *scenarios],
        env={**os.environ, "PYTHONHASHSEED": str(hash_seed)},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    ).stdout


@pytest.mark.parametrize("grain", GRAINS)
def test_traces_do_not_depend_on_the_hash_seed(grain: str) -> None:
    big = ["ten-times", "thousand"]  # in a separate process, as they take as long as all others together
    rest = [name for name in names() if name not in big]
    with ThreadPoolExecutor(4) as pool:
        first_runs, second_runs = (
            [pool.submit(traces, grain, seed, part) for part in (big, rest)] for seed in (1, 77_777)
        )
        for one, two in zip(first_runs, second_runs, strict=True):
            assert one.result() == two.result()


def small(seed: int, **changes: object) -> Plan:
    return msgspec.structs.replace(draw(load("small"), seed), **changes)


@pytest.mark.parametrize("grain", GRAINS)
def test_the_small_scenario_has_no_breaches(grain: str) -> None:
    for seed in range(1, 5):
        outcome = play(small(seed), grain)
        assert outcome.breaches == [], outcome.breaches[0]
        assert outcome.requests > 300
        assert sum(each.asked for each in outcome.classes) == outcome.requests
        for each in outcome.classes:
            assert each.asked == each.in_time + each.late + each.refused + each.failed


def test_both_grains_have_nearly_the_same_outcome() -> None:
    """Outcomes differ slightly, as only grain `wire` transfers bytes, but not in favour of either."""
    wire, exchange = ([play(small(seed), grain) for seed in range(1, 7)] for grain in GRAINS)
    for one, other in zip(wire, exchange, strict=True):
        assert one.requests == other.requests
        assert [each.asked for each in one.classes] == [each.asked for each in other.classes]
    mean = [sum(o.service for o in outcomes) / len(outcomes) for outcomes in (wire, exchange)]
    assert abs(mean[0] - mean[1]) < 0.04


def test_events_of_one_instant_may_come_in_any_order() -> None:
    for seed in (1, 2):
        plan = small(seed)
        shuffled = play(small(seed, net=msgspec.structs.replace(plan.net, shuffle=True)), "wire")
        assert shuffled.breaches == []


def test_a_trace_may_be_filtered_to_one_request_and_its_attempts() -> None:
    import io

    whole, filtered = io.StringIO(), io.StringIO()
    play(small(1), "exchange", Tracing(whole))
    lines = whole.getvalue().splitlines()
    ident = next(line for line in lines if " taken " in line).split("ident=")[1].split()[0]
    play(small(1), "exchange", Tracing(filtered, (ident,)))
    filtered_lines = filtered.getvalue().splitlines()
    assert 5 < len(filtered_lines) < 60
    assert set(filtered_lines) < set(lines)
    assert any(line.split(" ")[1] == "settled" for line in filtered_lines)


@pytest.mark.parametrize("fault", FAULTS, ids=[fault.name for fault in FAULTS])
def test_each_fault_can_be_planted_and_is_removed_afterwards(fault: object) -> None:
    assert fault in FAULTS
    before = play(small(1, length=1.0), "exchange", Tracing()).trace_hash
    with planted(fault):
        pass
    assert play(small(1, length=1.0), "exchange", Tracing()).trace_hash == before


@pytest.mark.parametrize(
    ("name", "grain", "rule"), [("kept-unclean", "wire", "served"), ("caller-kept", "exchange", "fault")]
)
def test_a_planted_fault_is_found(name: str, grain: str, rule: str) -> None:
    fault = next(fault for fault in FAULTS if fault.name == name)
    with planted(fault):
        outcome = play(draw(load(fault.scenario), 1), grain)
    assert rule in {breach.rule for breach in outcome.breaches}


@pytest.mark.parametrize("grain", GRAINS)
def test_a_sidecar_that_starts_late_serves_from_its_start(grain: str) -> None:
    plan = small(1, events=(), length=4.0)
    (front,) = plan.sidecars
    outcome = play(
        msgspec.structs.replace(plan, sidecars=(msgspec.structs.replace(front, start=2.0),)), grain
    )
    served = [second.in_time + second.late for second in outcome.seconds]
    assert served[0] == 0 and served[3] > 0 and outcome.breaches == []


def test_log_entries_of_other_threads_are_ignored() -> None:
    """A reactor with real sidecars may run in another thread, as it does in this test suite."""
    is_over = threading.Event()
    count = 0

    def log_faults() -> None:
        nonlocal count
        while not is_over.wait(0.001):
            log.line("overdue", job="another")
            count += 1

    thread = threading.Thread(target=log_faults)
    thread.start()
    try:
        outcome = play(small(1), "wire")
    finally:
        is_over.set()
        thread.join()
    assert count > 10 and outcome.breaches == []
