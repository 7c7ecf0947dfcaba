"""`lab run`, `lab drawn`, `lab faults`: play one run, play days of the operators' simulator, plant faults.

Modules of the lab are imported when a command is called, as the program must start without the lab's
dependencies.
"""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from typing import TYPE_CHECKING

from wheatring.commands.lab_errors import reports_errors

if TYPE_CHECKING:
    from wheatring.lab.outcome import Outcome

    Commands = argparse._SubParsersAction[argparse.ArgumentParser]


def add(commands: Commands) -> None:
    """Add the commands `run`, `drawn` and `faults`."""
    what = "play one day in virtual time, and print its outcome"
    run = commands.add_parser("run", help=what, description=what)
    run.add_argument("scenario", metavar="NAME|FILE", help="a scenario of the library, or a TOML file")
    run.add_argument("--seed", type=int, default=1, metavar="N", help="seed of the draw (default: 1)")
    run.add_argument("--grain", choices=("wire", "exchange"), default="wire", help="default: %(default)s")
    run.add_argument("--trace", type=Path, metavar="FILE", help="write each event as a line to this file")
    run.add_argument(
        "--of", action="append", default=[], metavar="IDENT",
        help="trace only this request and the retries of the same first try",
    )  # fmt: skip
    run.add_argument("--json", type=Path, metavar="FILE", help="write the outcome to this file")
    run.add_argument(
        "--set", action="append", default=[], metavar="KEY=VALUE", help="override a scenario's key"
    )
    run.add_argument(
        "--patch", action="append", default=[], metavar="MODULE:NAME=VALUE",
        help="override a constant of the sidecar",
    )  # fmt: skip
    run.add_argument("--plant", default="", metavar="FAULT", help="plant a fault in the sidecar's own code")
    run.set_defaults(call=reports_errors(_run))

    what = "play days that the operators' simulator has drawn, and print the figures of each"
    drawn = commands.add_parser("drawn", help=what, description=what)
    drawn.add_argument("days", nargs="+", type=Path, metavar="DAY.json")
    drawn.add_argument("--grain", choices=("wire", "exchange"), default="exchange")
    drawn.add_argument("--workers", type=int, default=os.cpu_count() or 1, help="default: %(default)s")
    drawn.set_defaults(call=reports_errors(_drawn))

    what = "plant faults in the sidecar's own code, one at a time, and check that each is found"
    faults = commands.add_parser("faults", help=what, description=what)
    faults.add_argument("names", nargs="*", metavar="FAULT", help="default: all")
    faults.add_argument("--grain", choices=("wire", "exchange"), default="wire", help="default: %(default)s")
    faults.add_argument(
        "--seeds", default="1-12", help="seeds to try until one finds the fault (default: 1-12)"
    )
    faults.add_argument("--workers", type=int, default=os.cpu_count() or 1, help="default: %(default)s")
    faults.set_defaults(call=reports_errors(_faults))


def _run(args: argparse.Namespace) -> int:
    import msgspec

    from wheatring.lab.study import run_builder, settings
    from wheatring.lab.study.runs import build_at

    chosen = settings.with_fault(settings.single(args.set, args.patch), args.plant)
    (spec,) = run_builder.make_run_specs(args.scenario, [args.seed], [args.grain], chosen, build_at())
    settings.apply(chosen.patches)
    from wheatring.lab.study import played

    if args.trace is None:
        outcome = played.play(spec)
    else:
        with args.trace.open("w", encoding="utf-8") as file:
            outcome = played.play_traced(spec, file, args.of)
    if args.json is not None:
        args.json.write_bytes(msgspec.json.encode(outcome))
    _show(outcome, f"{chosen.text()} " if chosen.text() else "")
    return 1 if outcome.breach_count else 0


def _show(outcome: Outcome, settings: str) -> None:
    from wheatring.lab.rules.trace import replay_line

    print(f"{outcome.scenario}, seed {outcome.seed}, {outcome.grain}: {outcome.requests} first tries")
    print(
        f"g {outcome.g:.4f}   service {outcome.service:.4f}   worst 10 s {outcome.worst_window:.4f}"
        f"   worst class {outcome.worst_class:.4f}   waste {outcome.waste:.3f}"
        f"   held back {outcome.counts.get('held_back', 0.0):.4f}"
    )
    for each in outcome.classes:
        print(
            f"  {each.name}: {each.asked} asked, {each.in_time} in time, {each.late} late, "
            f"{each.refused} refused, {each.failed} failed, p50 {each.p50_ms:.0f}, p99 {each.p99_ms:.0f} ms"
        )
    for at, what in outcome.happened[:40]:
        print(f"  {at:8.3f} s  {what}")
    if len(outcome.happened) > 40:
        print(f"  and {len(outcome.happened) - 40} more events")
    speed = outcome.simulated_s / outcome.wall_s if outcome.wall_s else 0.0
    print(f"{outcome.simulated_s:.1f} s played in {outcome.wall_s:.1f} s, {speed:.1f} times real time")
    if not outcome.breach_count:
        print("rules kept")
        return
    print(f"{outcome.breach_count} breaches of the rules")
    for breach in outcome.breaches[:10]:
        print(f"  {breach.at:8.3f} s  {breach.rule}: {breach.what}")
    print(f"again, with a trace: {replay_line(outcome)} {settings}".rstrip())


def _drawn(args: argparse.Namespace) -> int:
    from concurrent.futures import ProcessPoolExecutor
    from functools import partial
    from multiprocessing import get_context
    from statistics import mean

    from wheatring.lab.simulator_day import play_file
    from wheatring.lab.study import StudyError

    if args.workers < 1:
        raise StudyError(f"--workers {args.workers}: must be 1 or more")
    figures = []
    with ProcessPoolExecutor(args.workers, mp_context=get_context("spawn")) as pool:
        for file, outcome in zip(args.days, pool.map(partial(play_file, args.grain), args.days), strict=True):
            figures.append(outcome.g)
            print(
                f"{file}: g {outcome.g:.4f}   whole {outcome.whole:.4f}   worst 10 s"
                f" {outcome.worst_window:.4f}  worst class {outcome.worst_class:.4f}  of {outcome.requests}"
                f"   {outcome.breach_count} breaches"
            )
    print(f"mean of {len(figures)}: g {mean(figures):.4f}")
    return 0


def _faults(args: argparse.Namespace) -> int:
    from wheatring.lab.mutation_testing import run_mutation_tests
    from wheatring.lab.study import StudyError
    from wheatring.lab.study.runs import seeds_of

    if args.workers < 1:
        raise StudyError(f"--workers {args.workers}: must be 1 or more")
    return run_mutation_tests(args.names, seeds_of(args.seeds), args.grain, args.workers, print)
