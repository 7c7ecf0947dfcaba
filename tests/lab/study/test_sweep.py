"""Sweeps keep finished runs when a worker or the sweep ends, and do not play them again."""

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

ESTIMATE_MODULE = "wheatring.balancer.latency_estimate"
POOL_MODULE = "wheatring.balancer.endpoint_pool"
ABSENT_MODULE = "wheatring.balancer.polcy"

QUIET = Console(file=io.StringIO(), width=200)

SWEEP = """
import sys
from pathlib import Path
from tests.lab.study.fake_runner import RUN, run_spec, settings_with
from wheatring.lab.study import pool, store
chosen = settings_with(log=sys.argv[2], hang=10, pid=sys.argv[3])
with store.open_store(Path(sys.argv[1])) as results:
    def on_result(spec, result):
        print(results.save(spec, result).seed, flush=True)
        return False
    pool.play([run_spec(seed, chosen) for seed in range(1, 21)], RUN, 2, 1e6, on_result)
"""


def play(file: Path, run_specs: list[RunSpec], **more: object) -> sweep.SweepResult:
    with store.open_store(file) as results:
        given = {"workers": 2, "limit": 60.0, "console": QUIET, **more}
        return sweep.play(run_specs, results, RUN, **given)  # type: ignore[arg-type]


def test_a_killed_sweep_is_resumed_without_losing_or_repeating_runs(tmp_path: Path) -> None:
    """The sweep is killed half way while one worker hangs; its workers must end as well."""
    file, log, pid = tmp_path / "runs.sqlite", tmp_path / "log", tmp_path / "pid"
    process = subprocess.Popen(
        [sys.executable, "-c", SWEEP, str(file), str(log), str(pid)], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    seen: list[int] = []
    while len(seen) < 12:  # more than 10: the run that hangs has been handed out
        seen.append(int(process.stdout.readline()))
    give_up_at = time.monotonic() + WAIT_LIMIT_SECONDS  # the worker may not have started the run yet
    while not (pid.exists() and pid.read_text()):
        assert time.monotonic() < give_up_at, "the run that hangs did not start"
        time.sleep(0.01)
    worker = os.pidfd_open(int(pid.read_text()))
    process.kill()
    process.communicate()
    assert select.select([worker], [], [], 30.0)[0], "a worker outlived its pool"
    os.close(worker)
    with store.open_store(file) as results:
        before = {row.seed for row in results.rows()}
    assert set(seen) <= before and 10 not in before

    chosen = settings_with(log=str(log), hang=10, pid=str(pid))
    log.write_text("")
    swept = play(file, [run_spec(seed, chosen) for seed in range(1, 21) if seed != 10])
    assert [row.seed for row in swept.rows] == [seed for seed in range(1, 21) if seed != 10]
    replayed = Counter(map(int, log.read_text().split()))
    assert replayed == Counter({*range(1, 21)} - {10} - before)
    assert swept.status == 0 and all(row.state == "done" for row in swept.rows)


def test_a_run_that_dies_hangs_or_raises_does_not_affect_others(tmp_path: Path) -> None:
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
    # Only the runs that are not done are played again.
    assert play(tmp_path / "runs.sqlite", [*run_specs.values()]).played == 3


def test_the_first_breach_of_each_rule_is_reported_and_fail_fast_stops(tmp_path: Path) -> None:
    run_specs = [run_spec(seed, settings_with(broken=3)) for seed in range(1, 9)]
    swept = play(tmp_path / "all.sqlite", run_specs)
    assert swept.status == 1 and swept.breaches == 1 and len(swept.rows) == 8
    assert {rule: row.seed for rule, row in sweep.first_breaches(swept.rows).items()} == {"drain": 3}
    fast = play(tmp_path / "fast.sqlite", run_specs, fail_fast=True, workers=1)
    assert [row.seed for row in fast.rows] == [1, 2, 3] and fast.status == 1
    assert play(tmp_path / "fast.sqlite", run_specs, fail_fast=True).played == 0


def test_ctrl_c_keeps_the_finished_runs(tmp_path: Path) -> None:
    run_specs = [run_spec(seed, settings_with(hang=3, pid=tmp_path / "pid")) for seed in (1, 2, 3)]
    with store.open_store(tmp_path / "runs.sqlite") as results:
        real = results.save

        def save(spec: RunSpec, result: RunResult) -> store.Row:
            row = real(spec, result)
            if spec.seed == 2:
                signal.raise_signal(signal.SIGINT)
            return row

        results.save = save  # type: ignore[method-assign]
        swept = sweep.play(run_specs, results, RUN, workers=1, limit=60.0, console=QUIET)
    assert swept.stopped and swept.status == 130
    assert [row.seed for row in swept.rows] == [1, 2]


def test_patches_apply_to_their_run_only(tmp_path: Path) -> None:
    patched = Settings(patches=(("wheatring.balancer.latency_estimate:LEARNING_RATE", "0.3"),))
    swept = play(
        tmp_path / "runs.sqlite",
        [run_spec(1), run_spec(1, patched), run_spec(2), run_spec(2, patched)],
        workers=1,
    )
    plain, changed, *_ = [row.g for row in swept.rows]
    assert plain is not None and changed is not None and changed - plain == pytest.approx(0.1)
    assert len({row.settings for row in swept.rows}) == 2


@pytest.mark.parametrize(
    ("patch", "why"),
    [
        (f"{ESTIMATE_MODULE}:LERN=0.3", f"--patch {ESTIMATE_MODULE}:LERN: {ESTIMATE_MODULE} has no LERN"),
        (f"{ABSENT_MODULE}:LEARN=0.3", f"--patch {ABSENT_MODULE}:LEARN: there is no module {ABSENT_MODULE}"),
        (
            f"{POOL_MODULE}:MIN_SUBSET_SIZE=2.5",
            f"--patch {POOL_MODULE}:MIN_SUBSET_SIZE: must be int like 5, not 2.5",
        ),
        ("os:name=x", "--patch os:name: os is no module of wheatring"),
        ("LEARN=1", "--patch LEARN: not MODULE:NAME"),
    ],
)
def test_an_invalid_patch_is_reported_before_any_run(tmp_path: Path, patch: str, why: str) -> None:
    with pytest.raises(StudyError) as bad:
        play(tmp_path / "runs.sqlite", [run_spec(1, settings.single([], [patch]))])
    assert str(bad.value) == why


def test_names_given_several_times_give_all_combinations() -> None:
    found = settings.combinations(["a=1", "a=2", "b=x y"], ["m:N=3"])
    assert [one.label() for one in found] == ["a=1, b=x y, m:N=3", "a=2, b=x y, m:N=3"]
    assert found[0].text() == "--set a=1 --set 'b=x y' --patch m:N=3"
    assert seeds_of("3,1-2,2") == [3, 1, 2]
    with pytest.raises(StudyError, match="--seeds 5-1"):
        seeds_of("5-1")


def test_a_file_that_is_no_store_of_this_version_is_rejected(tmp_path: Path) -> None:
    text, newer = tmp_path / "text", tmp_path / "newer.sqlite"
    text.write_text("not a data base, and long enough to tell" * 10)
    with sqlite3.connect(newer) as connection:
        connection.execute("PRAGMA user_version = 99")
    for file, why in (
        (text, "not a database"),
        (newer, "of version 99"),
        (tmp_path / "no" / "dir", "unable"),
    ):
        with pytest.raises(StudyError, match=why), store.open_store(file):
            pass


def test_the_ident_of_a_build_covers_only_sources_that_runs_use(tmp_path: Path) -> None:
    for name in ("wheatring/lab/study", "wheatring/balancer"):
        (tmp_path / name).mkdir(parents=True)
    first = build_at(tmp_path).ident
    (tmp_path / "wheatring/lab/study/a.py").write_text("1")
    assert build_at(tmp_path).ident == first
    (tmp_path / "wheatring/balancer/balancer.py").write_text("1")
    assert build_at(tmp_path).ident != first
    assert msgspec.json.decode(msgspec.json.encode(build_at(tmp_path)))["folder"] == str(tmp_path)
