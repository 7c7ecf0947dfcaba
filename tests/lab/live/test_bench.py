"""Process measurements, processes that end with their parent, and the structure of the benchmark's report."""

from __future__ import annotations

import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest

from wheatring.lab.live import cores
from wheatring.lab.live.bench import run, table
from wheatring.lab.live.process import PROJECT_ROOT, Process, ProcessError, module
from wheatring.lab.live.sidecar import Sidecar, configuration, settings
from wheatring.lab.live.watch import Watch

WAIT_LIMIT_SECONDS = 30.0


def test_a_watch_measures_cpu_time_memory_and_descriptors() -> None:
    watch = Watch(time.monotonic())
    watch.add("me", os.getpid(), time.monotonic())
    watch.sample(time.monotonic())
    deadline = time.process_time() + 0.2
    while time.process_time() < deadline:
        pass
    with Path(os.devnull).open() as _:
        watch.sample(time.monotonic())
    own = watch.watched["me"]
    before, after = own.looks
    assert after.descriptors == before.descriptors + 1
    assert own.cpu_s >= 0.15 and after.cpu > 0
    assert own.peak_mb > 5


def test_an_ended_process_is_not_sampled_and_its_measurements_continue_after_a_restart() -> None:
    watch = Watch(0.0)
    for at in (1.0, 3.0):
        with Process("upstream", module(f"{run.BENCH_PACKAGE}.upstream", run.HOST, "1")) as process:
            process.wait_for_line("listening ", time.monotonic() + WAIT_LIMIT_SECONDS)
            watch.add("upstream", process.pid, at - 1.0)
            watch.sample(at)
        watch.sample(at + 0.5)
    assert [look.at for look in watch.watched["upstream"].looks] == [1.0, 3.0]


VICTIM = """
import os, signal, sys, time
from pathlib import Path
from wheatring.lab.live.bench import run
from wheatring.lab.live.cores import least_busy_cores
with run.running_bench(least_busy_cores(), run.Sizes()) as bench:
    processes = [bench.upstream, bench.generator, *bench.targets.values()]
    print(*(process.pid for process in processes), flush=True)
    if sys.argv[1] == "crash":
        raise RuntimeError("in the middle")
    time.sleep(60)
"""


@pytest.mark.parametrize("end", ["crash", "SIGINT", "SIGKILL"])
def test_child_processes_end_with_their_parent(end: str, tmp_path: Path) -> None:
    with subprocess.Popen(
        [sys.executable, "-c", VICTIM, end],
        env={**os.environ, "PYTHONPATH": PROJECT_ROOT, "TMPDIR": str(tmp_path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    ) as victim:
        assert victim.stdout is not None
        pidfds = []
        for pid in map(int, victim.stdout.readline().split()):
            try:
                pidfds.append(os.pidfd_open(pid))
            except ProcessLookupError:  # it has already exited
                assert end == "crash"
        assert pidfds or end == "crash"
        if end != "crash":
            victim.send_signal(signal.Signals[end])
        assert victim.wait(WAIT_LIMIT_SECONDS) != 0
    for descriptor in pidfds:
        # The descriptor becomes readable when its process has exited.
        assert select.select([descriptor], [], [], WAIT_LIMIT_SECONDS)[0]
        os.close(descriptor)


def test_a_sidecar_is_started_reloaded_and_stopped(tmp_path: Path) -> None:
    config = configuration("s1", "127.0.0.1:0", "127.0.0.1:9", settings([run.CLASS]), 1)
    with Sidecar(tmp_path, config) as sidecar:
        assert sidecar.port() > 0
        sidecar.write({**config, "settings": None})
        sidecar.send(signal.SIGHUP)
        assert "settings: missing" in sidecar.wait_for_line(
            "not-reloaded", time.monotonic() + WAIT_LIMIT_SECONDS
        )
        sidecar.send(signal.SIGTERM)
        assert sidecar.wait(time.monotonic() + WAIT_LIMIT_SECONDS) == 0
        with pytest.raises(ProcessError, match="s1: ended before it said 'reloaded'"):
            sidecar.wait_for_line("reloaded", time.monotonic() + WAIT_LIMIT_SECONDS)


def test_the_benchmark_measures_all_targets_in_each_round_and_reports_ratios() -> None:
    sizes = run.Sizes(rounds=2, many=0.06, one=0.04, open=0.06, warm=0.02, late_ms=1e6)
    progress: list[str] = []
    report = run.run(cores.least_busy_cores(), sizes, progress.append)
    decoded = msgspec.json.decode(msgspec.json.encode(report), type=run.Report)
    assert decoded == report and len(progress) == 2
    for bench_round in report.rounds:
        assert list(bench_round) == list(run.TARGETS)
        for measure in bench_round.values():
            assert measure.one_p50 <= measure.one_p99 and measure.open_p50 <= measure.open_p99
            assert measure.rss_mb > 5
    assert report.open_rate >= 1 and report.direct_limit in ("the generator", "neither", "it")
    for name in run.TARGETS:
        values = [bench_round[name].per_s for bench_round in report.rounds]
        figure = report.figures[name]["per_s"]
        assert (figure.low, figure.high) == (min(values), max(values))
        assert figure.median == pytest.approx(sum(values) / 2)
        if name != run.SUBJECT:
            ratios = [
                bench_round[run.SUBJECT].rss_mb / bench_round[name].rss_mb for bench_round in report.rounds
            ]
            assert report.ratios[name]["rss_mb"].median == pytest.approx(sum(ratios) / 2)
    text = "\n".join(table.summary_lines(report))
    assert all(title in text for _, title, _ in table.ROWS)
