"""A small fleet of real processes that starts without a list, and each thing that may go wrong meanwhile.

All days are played first, side by side. What is judged are counts and that an end is reached: how fast this
machine is does not decide.
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
AT_ONCE = 6  # days played side by side
OUTAGE = 15  # seconds, from the begin: on a busy machine a process takes several of them to start
# One call a second, so that eight sidecars are as many for the service as some forty are for five.
SMALL = ("discovery.lines_per_s=50", "traffic.rate=4")
# The day of each hard case in small: what is overridden, in the library's scenario of that name.
DAYS: dict[str, tuple[str, ...]] = {
    "start": (),
    "second": (),
    "three-serve": ("length=24", "event.sidecar_kill.at=8"),
    "outage": (f"length={OUTAGE + 26}", f"event.discovery_down.length={OUTAGE}",
               f"event.discovery_slow.at={OUTAGE}", "event.discovery_slow.length=20"),
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
def days(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[LiveOutcome, str]]:
    """Play each day; return its outcome, and what the command printed."""
    folder = tmp_path_factory.mktemp("days")

    def play(name: str) -> tuple[LiveOutcome, str]:
        file = folder / f"{name}.json"
        words = ["lab", "fleet", f"cold-{name}", "--json", str(file)]
        words += ["--sidecars", "1" if name == "alone" else str(SIDECARS)]
        asked = dict(pair.split("=", 1) for pair in ("length=20", *SMALL, *DAYS[name]))
        words += [word for key, value in asked.items() for word in ("--set", f"{key}={value}")]
        done = subprocess.run(
            [sys.executable, "-m", "wheatring", *words],
            capture_output=True,
            text=True,
            timeout=WAIT_LIMIT_SECONDS,
        )
        assert done.returncode in (0, 1), done.stderr  # 1: the checks are for hundreds, on an idle machine
        return msgspec.json.decode(file.read_bytes(), type=LiveOutcome), done.stdout + done.stderr

    with ThreadPoolExecutor(AT_ONCE) as pool:
        return dict(zip(DAYS, pool.map(play, DAYS), strict=True))


@pytest.mark.parametrize("name", DAYS)
def test_all_get_their_list_with_few_calls_whatever_goes_wrong(
    name: str, days: dict[str, tuple[LiveOutcome, str]]
) -> None:
    outcome, said = days[name]
    sidecars = 1 if name == "alone" else SIDECARS
    assert len(outcome.lists.first) == sidecars, said
    # While nobody answers at all, each asks once a round, and rounds grow: two more in 15 s than else.
    assert outcome.lists.failed <= (8 if name == "outage" else 6) * sidecars
    assert outcome.lists.asks <= 10 * sidecars
    assert [breach.what for breach in outcome.breaches if breach.rule in ("drain", "fault")] == []


def test_who_was_killed_asks_anew_and_who_serves_goes_on(days: dict[str, tuple[LiveOutcome, str]]) -> None:
    outcome, _ = days["three-serve"]
    killed = [what for _, what in outcome.happened if "is killed" in what]
    assert len(killed) == round(0.7 * SIDECARS)
    assert outcome.lists.brought > SIDECARS


def test_while_the_service_is_down_calls_are_refused_and_nobody_storms_it_after(
    days: dict[str, tuple[LiveOutcome, str]],
) -> None:
    lists = days["outage"][0].lists
    assert lists.failed >= SIDECARS  # each was refused at least once
    assert max(lists.asked[OUTAGE + 2 :], default=0) <= SIDECARS
    assert min(lists.first.values()) > 1.0


def test_who_is_cut_off_hears_nothing_until_it_is_over(days: dict[str, tuple[LiveOutcome, str]]) -> None:
    outcome, said = days["cut"]
    assert "partition ends" in " ".join(what for _, what in outcome.happened), said
    assert outcome.lists.asks >= SIDECARS


def test_a_stalled_sidecar_is_stopped_and_goes_on(days: dict[str, tuple[LiveOutcome, str]]) -> None:
    happened = [what for _, what in days["stall"][0].happened]
    assert any(what.startswith("stall at ") for what in happened) and "stall ends" in happened
    assert not any("ended by itself" in breach.what for breach in days["stall"][0].breaches)


def test_all_are_notified_of_a_move_of_discovery_and_ask_there(
    days: dict[str, tuple[LiveOutcome, str]],
) -> None:
    outcome, _ = days["move"]
    assert "discovery_move" in [what for _, what in outcome.happened]
    assert outcome.lists.brought >= SIDECARS


def test_the_command_says_first_what_it_needs(days: dict[str, tuple[LiveOutcome, str]]) -> None:
    assert f"needs {SIDECARS + 1} processes and " in days["start"][1]
    assert "hold a list after" in days["start"][1]


@pytest.mark.parametrize("name", fleet_names())
def test_each_scenario_of_the_library_can_be_drawn(name: str) -> None:
    plan = draw(load(name), 3)
    assert plan.sidecars and plan.nodes


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["cold-start", "--sidecars", "20000"], "MB are free"),
        (["cold-start", "--set", "front.nothing=1"], "front.nothing"),
        (["clock-steps"], "can't be played on loopback: clock_step"),
        (["cold-stall", "--virtual"], "can't be played in virtual time: stall"),
    ],
)
def test_what_can_not_be_played_is_one_line_and_nothing_starts(
    words: list[str], said: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["lab", "fleet", *words]) == 2
    _, err = capsys.readouterr()
    last = err.strip().splitlines()[-1]
    assert said in last and "Traceback" not in err


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_hundred_that_hold_a_wrong_list_learn_of_it_with_few_calls_in_vain(seed: int) -> None:
    plan = draw(load("cold-release"), seed)
    assert [what for kept, what in check_bounds(plan, play(plan, "exchange")) if not kept] == []


@pytest.mark.parametrize("held", ["none", "now"])
def test_watches_that_take_turns_keep_no_storm_alive(held: str) -> None:
    """Two hundred in virtual time: nothing fails any more once the start is over."""
    sets = settings.single([f"front.held={held}"], [])
    outcome = play(draw(run_builder.load_scenario("cold-turns", sets), 2), "exchange")
    assert sum(outcome.lists.failed_by_second[:60]) > 0  # it was more than the service could take
    assert sum(outcome.lists.failed_by_second[120:]) <= 5
