"""A small fleet of real processes that starts without an endpoint list, with a fault in each case.

All cases are run first, in parallel. The tests check counts and completion, which do not depend on the speed
of the machine.
"""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest

from wheatring.__main__ import main
from wheatring.lab.live.list_acquisition import check_bounds
from wheatring.lab.live.play import LiveOutcome
from wheatring.lab.play import play
from wheatring.lab.scenario.load import fleet_names, load
from wheatring.lab.scenario.plan_builder import draw
from wheatring.lab.study import run_builder, settings

WAIT_LIMIT_SECONDS = 240.0
SIDECARS = 8
PARALLEL_RUNS = 6
# From the start of the run; on a busy machine a process takes several seconds to start.
OUTAGE_SECONDS = 15
# The service answers one call per second: its load from eight sidecars is that of 40 at five per second.
SMALL = ("discovery.lines_per_s=50", "traffic.rate=4")
# The overrides that scale down the library's scenario of each name.
CASES: dict[str, tuple[str, ...]] = {
    "start": (),
    "second": (),
    "three-serve": ("length=24", "event.sidecar_kill.at=8"),
    "outage": (f"length={OUTAGE_SECONDS + 26}", f"event.discovery_down.length={OUTAGE_SECONDS}",
               f"event.discovery_slow.at={OUTAGE_SECONDS}", "event.discovery_slow.length=20"),
    "slow": ("event.discovery_slow.length=6", "event.discovery_slow.size=4"),
    "breaks": ("length=40", "event.discovery_breaks.length=30"),
    "cut": ("event.discovery_cut.length=5",),
    "release": ("front.starts=[3,3.1]", "event.drain.at=0.5"),
    "stall": ("event.stall.length=4", "event.stall.part=0.4"),
    "move": (),
    "miscounted": (),
    "alone": (),
}  # fmt: skip


@pytest.fixture(scope="module")
def case_results(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[LiveOutcome, str]]:
    """Run each case; return its outcome and the output of the command."""
    folder = tmp_path_factory.mktemp("days")

    def play(name: str) -> tuple[LiveOutcome, str]:
        file = folder / f"{name}.json"
        words = ["lab", "fleet", f"cold-{name}", "--json", str(file)]
        words += ["--sidecars", "1" if name == "alone" else str(SIDECARS)]
        overrides = dict(pair.split("=", 1) for pair in ("length=20", *SMALL, *CASES[name]))
        words += [word for key, value in overrides.items() for word in ("--set", f"{key}={value}")]
        process = subprocess.run(
            [sys.executable, "-m", "wheatring", *words],
            capture_output=True,
            text=True,
            timeout=WAIT_LIMIT_SECONDS,
        )
        # Status 1 is accepted: the bounds are for hundreds of sidecars on an idle machine.
        assert process.returncode in (0, 1), process.stderr
        return msgspec.json.decode(file.read_bytes(), type=LiveOutcome), process.stdout + process.stderr

    with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
        return dict(zip(CASES, pool.map(play, CASES), strict=True))


@pytest.mark.parametrize("name", CASES)
def test_all_sidecars_get_their_list_with_a_bounded_number_of_calls(
    name: str, case_results: dict[str, tuple[LiveOutcome, str]]
) -> None:
    outcome, output = case_results[name]
    sidecars = 1 if name == "alone" else SIDECARS
    assert len(outcome.lists.first) == sidecars, output
    # During an outage each sidecar asks once per round with growing intervals: two more calls in 15 s.
    assert outcome.lists.failed <= (8 if name == "outage" else 6) * sidecars
    assert outcome.lists.asks <= 10 * sidecars
    assert [breach.what for breach in outcome.breaches if breach.rule in ("drain", "fault")] == []


def test_restarted_sidecars_fetch_the_list_again(case_results: dict[str, tuple[LiveOutcome, str]]) -> None:
    outcome, _ = case_results["three-serve"]
    killed = [what for _, what in outcome.happened if "is killed" in what]
    assert len(killed) == round(0.7 * SIDECARS)
    assert outcome.lists.brought > SIDECARS


def test_an_outage_of_the_service_is_not_followed_by_a_burst_of_calls(
    case_results: dict[str, tuple[LiveOutcome, str]],
) -> None:
    lists = case_results["outage"][0].lists
    assert lists.failed >= SIDECARS  # each sidecar was refused at least once
    assert max(lists.asked[OUTAGE_SECONDS + 2 :], default=0) <= SIDECARS
    assert min(lists.first.values()) > 1.0


def test_all_sidecars_get_their_list_after_a_partition_ends(
    case_results: dict[str, tuple[LiveOutcome, str]],
) -> None:
    outcome, output = case_results["cut"]
    assert "partition ends" in " ".join(what for _, what in outcome.happened), output
    assert outcome.lists.asks >= SIDECARS


def test_a_stalled_sidecar_is_paused_and_resumed(case_results: dict[str, tuple[LiveOutcome, str]]) -> None:
    happened = [what for _, what in case_results["stall"][0].happened]
    assert any(what.startswith("stall at ") for what in happened) and "stall ends" in happened
    assert not any("ended by itself" in breach.what for breach in case_results["stall"][0].breaches)


def test_all_sidecars_are_notified_of_a_move_of_discovery_and_call_the_new_address(
    case_results: dict[str, tuple[LiveOutcome, str]],
) -> None:
    outcome, _ = case_results["move"]
    assert "discovery_move" in [what for _, what in outcome.happened]
    assert outcome.lists.brought >= SIDECARS


def test_the_command_prints_the_required_resources(case_results: dict[str, tuple[LiveOutcome, str]]) -> None:
    assert f"needs {SIDECARS + 1} processes and " in case_results["start"][1]
    assert "hold a list after" in case_results["start"][1]


@pytest.mark.parametrize("name", fleet_names())
def test_each_scenario_of_the_library_can_be_drawn(name: str) -> None:
    plan = draw(load(name), 3)
    assert plan.sidecars and plan.nodes


@pytest.mark.parametrize(
    ("words", "output"),
    [
        (["cold-start", "--sidecars", "20000"], "MB are free"),
        (["cold-start", "--set", "front.nothing=1"], "front.nothing"),
        (["clock-steps"], "can't be played on loopback: clock_step"),
        (["cold-stall", "--virtual"], "can't be played in virtual time: stall"),
    ],
)
def test_an_unplayable_run_is_refused_with_a_one_line_message(
    words: list[str], output: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["lab", "fleet", *words]) == 2
    _, err = capsys.readouterr()
    last = err.strip().splitlines()[-1]
    assert output in last and "Traceback" not in err


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_hundred_sidecars_with_a_wrong_list_replace_it_within_the_bounds(seed: int) -> None:
    plan = draw(load("cold-release"), seed)
    assert [what for kept, what in check_bounds(plan, play(plan, "exchange")) if not kept] == []


@pytest.mark.parametrize("held", ["none", "now"])
def test_watches_that_take_turns_do_not_sustain_an_overload(held: str) -> None:
    """Two hundred sidecars in virtual time: no more calls fail once the start is over."""
    sets = settings.single([f"front.held={held}"], [])
    outcome = play(draw(run_builder.load_scenario("cold-turns", sets), 2), "exchange")
    assert sum(outcome.lists.failed_by_second[:60]) > 0  # the start has overloaded the service
    assert sum(outcome.lists.failed_by_second[120:]) <= 5
