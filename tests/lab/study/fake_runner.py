"""A fake run: computes outcomes by a formula from the seed, and fails on demand."""

from __future__ import annotations

import os
import threading
from pathlib import Path
from random import Random

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from wheatring.balancer import latency_estimate
from wheatring.lab.outcome import Breach, ClassFigures, Outcome, SecondFigures
from wheatring.lab.study.runs import Build, RunSpec, build_at, short_hash
from wheatring.lab.study.settings import Settings, value_of

BUILD = build_at()
RUN = "tests.lab.study.fake_runner:play"


def run_spec(
    seed: int, settings: Settings | None = None, scenario: str = "calm", build: Build | None = None
) -> RunSpec:
    return RunSpec(scenario, short_hash(scenario), "", seed, "wire", settings or Settings(), build or BUILD)


def settings_with(**sets: object) -> Settings:
    return Settings(sets=tuple((name, str(value)) for name, value in sorted(sets.items())))


def play(spec: RunSpec) -> Outcome:
    """Return an outcome by a formula from the seed and the settings.

    Settings: `gain` is added to g; `noise` is the standard deviation of the part of g that differs between
    the sides of a pair. `die`, `hang`, `raise`, `broken` (a breach) and `odd` (NaN figures) each name the
    seed of the run with this fault. `log` is a file to which each run appends its seed, `pid` a file for the
    process id of the run that hangs.
    """
    sets = {name: value_of(value) for name, value in spec.settings.sets}
    if "log" in sets:
        with Path(str(sets["log"])).open("a") as file:
            file.write(f"{spec.seed}\n")
    if sets.get("die") == spec.seed:
        os._exit(7)
    if sets.get("hang") == spec.seed:
        Path(str(sets.get("pid", os.devnull))).write_text(str(os.getpid()))
        threading.Event().wait()
    if sets.get("raise") == spec.seed:
        raise ZeroDivisionError("planted")
    print("noise on standard output")
    return outcome(spec, sets)


def outcome(spec: RunSpec, sets: dict[str, object]) -> Outcome:
    shared, individual = Random(f"{spec.scenario}:{spec.seed}"), Random(f"{spec.seed}:{spec.settings.text()}")
    noise, gain = float(str(sets.get("noise", 0.0))), float(str(sets.get("gain", 0.0)))
    if sets.get("odd") == spec.seed:
        gain = float("nan")
    g = (
        0.7
        + shared.gauss(0.0, 0.1)
        + individual.gauss(0.0, noise)
        + gain
        + (latency_estimate.LEARNING_RATE - 0.2)
    )
    seconds = [_second(shared, 20 <= at < 30) for at in range(60)]
    histogram = HdrHistogram(1, 60_000, 3)
    for _ in range(200):
        histogram.record_value(max(1, round(shared.lognormvariate(6.0, 0.6))))
    breaches = [Breach("drain", 21.5, "a claim <went> to n1 late", "x1", "s1", "n1")]
    reported = breaches if sets.get("broken") == spec.seed else []
    return Outcome(
        scenario=spec.scenario, seed=spec.seed, grain=spec.grain, requests=sum(s.asked for s in seconds),
        service=g + 0.01, g=g, whole=g, worst_window=g - 0.2, worst_class=g - 0.1, waste=0.05,
        simulated_s=66.0, wall_s=0.01, breaches=reported, breach_count=len(reported),
        classes=[ClassFigures("menu-view", 100, 90, 5, 3, 2, 0.9, 300.0, 1900.0)], seconds=seconds,
        attempts_by_tier=[13_000, 20_000, 40_000], attempts_each=1.08,
        node_work={f"{tier}-{n}": shared.uniform(8, 20) for tier in ("front", "stock") for n in range(12)},
        latency=histogram.encode().decode(), happened=[(20.0, "slow <n3> by 4"), (30.0, "n3 is well again")],
        counts={"choked": float(spec.seed % 3)},
    )  # fmt: skip


def _second(random: Random, degraded: bool) -> SecondFigures:
    asked = random.randint(180, 230)
    late, refused, failed = (random.randint(0, 40 if degraded else 3) for _ in range(3))
    return SecondFigures(
        asked, asked - late - refused - failed, late, refused, failed, asked * 2.0, asked * 1.8,
        asked + refused, asked * 6 + 40 * degraded, 9 * degraded, int(degraded),
        380.0, 4000.0 if degraded else 1900.0,
    )  # fmt: skip
