"""Sweeps: what is there is kept, whatever ends a worker or the sweep, and is not played again."""

from __future__ import annotations

import io
import os
import select
import signal
import sqlite3
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec
import pytest
from rich.console import Console

from tests.lab.net.environments import WAIT_LIMIT_SECONDS
from tests.lab.study.fake_runner import RUN, run_spec, settings_with
from wheatring.lab.study import StudyError, settings, store, sweep
from wheatring.lab.study.runs import RunResult, RunSpec, build_at, seeds_of
from wheatring.lab.study.settings import Settings

POLICY = "wheatring.balancer.latency_estimate"
POOL = "wheatring.balancer.endpoint_pool"
ABSENT = "wheatring.balancer.polcy"

QUIET = Console(file=io.StringIO(), width=200)

SWEEP = """
import sys
from pathlib import Path
from tests.lab.study.fake_runner import RUN, run_spec, settings_with
from wheatring.lab.study import pool, store
chosen = settings_with(log=sys.argv[2], hang=10, pid=sys.argv[3])
with store.opened(Path(sys.argv[1])) as kept:
    def ended(spec, how):
        print(kept.keep(spec, how).seed, flush=True)
        return False
    pool.play([run_spec(seed, chosen) for seed in range(1, 21)], RUN, 2, 1e6, ended)
"""


def play(file: Path, run_specs: list[RunSpec], **more: object) -> sweep.Swept:
    with store.opened(file) as kept:
        given = {"workers": 2, "limit": 60.0, "console": QUIET, **more}
        return sweep.play(run_specs, kept, RUN, **given)  # type: ignore[arg-type]


def test_a_killed_sweep_goes_on_where_it_was(tmp_path: Path) -> None:
    """Half way, one worker in a run that never ends: nothing is lost or played again, no worker stays."""
    file, log, pid = tmp_path / "runs.sqlite", tmp_path / "log", tmp_path / "pid"
    going = subprocess.Popen(
        [sys.executable, "-c", SWEEP, str(file), str(log), str(pid)], stdout=subprocess.PIPE, text=True
    )
    assert going.stdout is not None
    seen: list[int] = []
    while len(seen) < 12:  # past the tenth: the run that hangs is on
        seen.append(int(going.stdout.readline()))
    give_up = (
        time.monotonic() + WAIT_LIMIT_SECONDS
    )  # its worker has been handed the run, and may yet have to begin it
    while not (pid.exists() and pid.read_text()):
        assert time.monotonic() < give_up, "the run that hangs never began"
        time.sleep(0.01)
    left_over = os.pidfd_open(int(pid.read_text()))
    going.kill()
    going.communicate()
    assert select.select([left_over], [], [], 30.0)[0], "a worker outlived its pool"
    os.close(left_over)
    with store.opened(file) as kept:
        before = {row.seed for row in kept.rows()}
    assert set(seen) <= before and 10 not in before

    chosen = settings_with(log=str(log), hang=10, pid=str(pid))
    log.write_text("")
    swept = play(file, [run_spec(seed, chosen) for seed in range(1, 21) if seed != 10])
    assert [row.seed for row in swept.rows] == [seed for seed in range(1, 21) if seed != 10]
    again = Counter(map(int, log.read_text().split()))
    assert again == Counter({*range(1, 21)} - {10} - before)
    assert swept.status == 0 and all(row.state == "done" for row in swept.rows)


def test_what_dies_hangs_or_raises_costs_that_run_alone(tmp_path: Path) -> None:
    chosen = settings_with(die=2, hang=4, odd=7, **{"raise": 5})
    run_specs = {seed: run_spec(seed, chosen) for seed in range(1, 9)}
    hung = play(tmp_path / "runs.sqlite", [run_specs.pop(4)], limit=0.2)
    assert [(row.state, row.why) for row in hung.rows] == [("hung", "not over after 0.2 s")]
    swept = play(tmp_path / "runs.sqlite", [*run_specs.values()])
    states = {row.seed: (row.state, row.why.partition(" ")[2]) for row in swept.rows if row.state != "done"}
    assert states == {
        2: ("died", "with status 7"),
        5: ("broken", "ZeroDivisionError: planted"),
        7: ("broken", "outcome: Expected `float`, got `null` - at `$.service`"),
    }
    assert swept.status == 1 and swept.played == 7
    out = Console(file=io.StringIO(), width=200)
    sweep.show(swept, out)
    text = out.file.getvalue()  # type: ignore[attr-defined]
    assert (
        "wheatring lab run calm --seed 5 --grain wire --set die=2 --set hang=4 --set odd=7 --set raise=5"
        in text
    )
    # What did not come to its end is played again, and only that.
    assert play(tmp_path / "runs.sqlite", [*run_specs.values()]).played == 3


def test_the_first_breach_of_each_rule_is_reported_and_may_end_the_sweep(tmp_path: Path) -> None:
    run_specs = [run_spec(seed, settings_with(broken=3)) for seed in range(1, 9)]
    swept = play(tmp_path / "all.sqlite", run_specs)
    assert swept.status == 1 and swept.breaches == 1 and len(swept.rows) == 8
    assert {rule: row.seed for rule, row in sweep.first_breaches(swept.rows).items()} == {"drain": 3}
    fast = play(tmp_path / "fast.sqlite", run_specs, fail_fast=True, workers=1)
    assert [row.seed for row in fast.rows] == [1, 2, 3] and fast.status == 1
    assert play(tmp_path / "fast.sqlite", run_specs, fail_fast=True).played == 0


def test_ctrl_c_keeps_what_has_ended(tmp_path: Path) -> None:
    run_specs = [run_spec(seed, settings_with(hang=3, pid=tmp_path / "pid")) for seed in (1, 2, 3)]
    with store.opened(tmp_path / "runs.sqlite") as kept:
        real = kept.keep

        def keep(spec: RunSpec, ended: RunResult) -> store.Row:
            row = real(spec, ended)
            if spec.seed == 2:
                signal.raise_signal(signal.SIGINT)
            return row

        kept.keep = keep  # type: ignore[method-assign]
        swept = sweep.play(run_specs, kept, RUN, workers=1, limit=60.0, console=QUIET)
    assert swept.stopped and swept.status == 130
    assert [row.seed for row in swept.rows] == [1, 2]


def test_patches_reach_the_sidecar_and_no_other_run(tmp_path: Path) -> None:
    patched = Settings(patches=(("wheatring.balancer.latency_estimate:LEARNING_RATE", "0.3"),))
    swept = play(
        tmp_path / "runs.sqlite",
        [run_spec(1), run_spec(1, patched), run_spec(2), run_spec(2, patched)],
        workers=1,
    )
    plain, more, *_ = [row.g for row in swept.rows]
    assert plain is not None and more is not None and more - plain == pytest.approx(0.1)
    assert len({row.settings for row in swept.rows}) == 2


@pytest.mark.parametrize(
    ("patch", "why"),
    [
        (f"{POLICY}:LERN=0.3", f"--patch {POLICY}:LERN: {POLICY} has no LERN"),
        (f"{ABSENT}:LEARN=0.3", f"--patch {ABSENT}:LEARN: there is no module {ABSENT}"),
        (f"{POOL}:MIN_SUBSET_SIZE=2.5", f"--patch {POOL}:MIN_SUBSET_SIZE: must be int like 5, not 2.5"),
        ("os:name=x", "--patch os:name: os is no module of wheatring"),
        ("LEARN=1", "--patch LEARN: not MODULE:NAME"),
    ],
)
def test_a_patch_that_names_nothing_is_reported_before_a_run(tmp_path: Path, patch: str, why: str) -> None:
    with pytest.raises(StudyError) as bad:
        play(tmp_path / "runs.sqlite", [run_spec(1, settings.single([], [patch]))])
    assert str(bad.value) == why


def test_names_given_several_times_are_varied() -> None:
    found = settings.varied(["a=1", "a=2", "b=x y"], ["m:N=3"])
    assert [one.label() for one in found] == ["a=1, b=x y, m:N=3", "a=2, b=x y, m:N=3"]
    assert found[0].text() == "--set a=1 --set 'b=x y' --patch m:N=3"
    assert seeds_of("3,1-2,2") == [3, 1, 2]
    with pytest.raises(StudyError, match="--seeds 5-1"):
        seeds_of("5-1")


def test_a_file_that_is_no_store_of_this_version_is_refused(tmp_path: Path) -> None:
    text, newer = tmp_path / "text", tmp_path / "newer.sqlite"
    text.write_text("not a data base, and long enough to tell" * 10)
    with sqlite3.connect(newer) as link:
        link.execute("PRAGMA user_version = 99")
    for file, why in (
        (text, "not a database"),
        (newer, "of version 99"),
        (tmp_path / "no" / "dir", "unable"),
    ):
        with pytest.raises(StudyError, match=why), store.opened(file):
            pass


def test_a_build_is_known_by_what_runs_depend_on(tmp_path: Path) -> None:
    for name in ("wheatring/lab/study", "wheatring/balancer"):
        (tmp_path / name).mkdir(parents=True)
    first = build_at(tmp_path).ident
    (tmp_path / "wheatring/lab/study/a.py").write_text("1")
    assert build_at(tmp_path).ident == first
    (tmp_path / "wheatring/balancer/balancer.py").write_text("1")
    assert build_at(tmp_path).ident != first
    assert msgspec.json.decode(msgspec.json.encode(build_at(tmp_path)))["folder"] == str(tmp_path)
