"""`lab sweep`, `lab compare`, `lab report`: plays many runs, stores, compares and reports their results.

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
    from rich.console import Console

    from wheatring.lab.study.runs import Build, RunSpec
    from wheatring.lab.study.settings import Settings

    Commands = argparse._SubParsersAction[argparse.ArgumentParser]

DEFAULT_STORE = Path("found/lab.sqlite")
DEFAULT_RUN_LIMIT_SECONDS = 600.0
RUN_FUNCTION = "wheatring.lab.study.played:play"


def add(groups: Commands) -> None:
    """Add the commands. The namespace's `run` names the function that plays a run, as module:function."""
    runs = _run_arguments()
    _add_sweep(groups, runs)
    _add_compare(groups, runs)
    _add_report(groups)


def _run_arguments() -> argparse.ArgumentParser:
    """Return the arguments that all commands which play runs share."""
    runs = argparse.ArgumentParser(add_help=False)
    runs.add_argument("scenarios", nargs="+", metavar="SCENARIO", help="a scenario of the library, or a file")
    runs.add_argument(
        "--seeds", default="1-20", help="seeds, such as 1-100 or 1,2,9-12 (default: %(default)s)"
    )
    runs.add_argument(
        "--grain", choices=("wire", "exchange"), action="append", help="may be repeated (default: wire)"
    )
    runs.add_argument(
        "--set", action="append", default=[], metavar="KEY=VALUE", help="override a scenario's key"
    )
    runs.add_argument(
        "--patch", action="append", default=[], metavar="MODULE:NAME=VALUE",
        help="override a constant of the sidecar",
    )  # fmt: skip
    runs.add_argument("--plant", default="", metavar="FAULT", help="plant a fault in the sidecar's own code")
    runs.add_argument(
        "--store",
        type=Path,
        default=DEFAULT_STORE,
        metavar="FILE",
        help="file of the results (default: %(default)s)",
    )
    runs.add_argument(
        "--workers", type=int, default=os.cpu_count() or 1, help="number of processes (default: %(default)s)"
    )
    runs.add_argument(
        "--limit", type=float, default=DEFAULT_RUN_LIMIT_SECONDS, metavar="S",
        help="wall time after which a run is aborted (default: %(default)g)",
    )  # fmt: skip
    runs.add_argument("--json", action="store_true", help="print JSON instead of the table")
    runs.set_defaults(run=RUN_FUNCTION)
    return runs


def _add_sweep(groups: Commands, runs: argparse.ArgumentParser) -> None:
    sweep = groups.add_parser("sweep", parents=[runs], help="play many runs and store their results")
    sweep.add_argument("--fail-fast", action="store_true", help="end at the first breach of a rule")
    sweep.set_defaults(call=reports_errors(_sweep))


def _add_compare(groups: Commands, runs: argparse.ArgumentParser) -> None:
    compare = groups.add_parser("compare", parents=[runs], help="compare two sides, paired by seed")
    for side in ("a", "b"):
        compare.add_argument(f"--set-{side}", action="append", default=[], metavar="KEY=VALUE")
        compare.add_argument(f"--patch-{side}", action="append", default=[], metavar="MODULE:NAME=VALUE")
        compare.add_argument(
            f"--build-{side}", type=Path, metavar="DIR", help="another checkout of the project"
        )
    compare.add_argument(
        "--figure", action="append", default=[], metavar="NAME",
        help="a further figure besides g and service, such as waste, latency.99 or counts.NAME",
    )  # fmt: skip
    compare.set_defaults(call=reports_errors(_compare))


def _add_report(groups: Commands) -> None:
    report = groups.add_parser("report", help="generate a page on one run or on several")
    report.add_argument("file", type=Path, help="a store of results, or the outcome of one run as JSON")
    report.add_argument("-o", "--output", type=Path, required=True, metavar="FILE", help="the page to write")
    report.add_argument("--scenario", default="", help="of a store, only this scenario's runs")
    report.add_argument("--seed", type=int)
    report.add_argument("--grain", choices=("wire", "exchange"), default="")
    report.add_argument("--build", default="", help="the build's name in the store")
    report.add_argument("--set", action="append", default=[], metavar="KEY=VALUE")
    report.add_argument("--patch", action="append", default=[], metavar="MODULE:NAME=VALUE")
    report.set_defaults(call=reports_errors(_report))


def _runs_in_order(args: argparse.Namespace, settings_list: list[Settings], build: Build) -> list[RunSpec]:
    """Return the runs ordered by seed, so that a stopped sweep has covered all scenarios and settings."""
    from wheatring.lab.study import StudyError, run_builder
    from wheatring.lab.study.runs import seeds_of

    if args.workers < 1:
        raise StudyError(f"--workers {args.workers}: must be 1 or more")
    if not args.limit > 0:
        raise StudyError(f"--limit {args.limit:g}: must be more than 0")
    seeds = seeds_of(args.seeds)
    grains = [*dict.fromkeys(args.grain or ["wire"])]
    lists = [
        run_builder.make_run_specs(name, seeds, grains, settings, build)
        for name in dict.fromkeys(args.scenarios)
        for settings in settings_list
    ]
    return [
        spec
        for begin in range(0, len(seeds) * len(grains), len(grains))
        for specs in lists
        for spec in specs[begin : begin + len(grains)]
    ]


def _console() -> Console:
    """Return a console on standard output; if that is no terminal, it is as wide as a table needs."""
    from rich.console import Console

    console = Console()
    return console if console.is_terminal else Console(width=130)


def _sweep(args: argparse.Namespace) -> int:
    import msgspec

    from wheatring.lab.study import settings, store, sweep
    from wheatring.lab.study.runs import build_at

    settings_list = [
        settings.with_fault(each, args.plant) for each in settings.combinations(args.set, args.patch)
    ]
    specs = _runs_in_order(args, settings_list, build_at())
    args.store.parent.mkdir(parents=True, exist_ok=True)
    with store.open_store(args.store) as results:
        sweep_result = sweep.play(
            specs, results, args.run, workers=args.workers, limit=args.limit, fail_fast=args.fail_fast
        )
    if args.json:
        print(msgspec.json.encode(sweep.summary(sweep_result)).decode())
    else:
        sweep.show(sweep_result, _console())
    return sweep_result.status


def _compare(args: argparse.Namespace) -> int:
    import msgspec

    from wheatring.lab.study import compare, settings, store, sweep
    from wheatring.lab.study.runs import CHECKOUT, build_at

    sides, labels = [], []
    for side in ("a", "b"):
        options = vars(args)
        overrides = settings.single(args.set + options[f"set_{side}"], args.patch + options[f"patch_{side}"])
        chosen = settings.with_fault(overrides, args.plant)
        folder = options[f"build_{side}"]
        sides.append(_runs_in_order(args, [chosen], build_at(folder or CHECKOUT)))
        labels.append(chosen.label() + (f", build {folder}" if folder else ""))
    names = list(dict.fromkeys(["g", "service", *args.figure]))
    args.store.parent.mkdir(parents=True, exist_ok=True)
    with store.open_store(args.store) as results:
        both = [spec for pair in zip(*sides, strict=True) for spec in pair]
        sweep_result = sweep.play(both, results, args.run, workers=args.workers, limit=args.limit)
        comparison = compare.compare_runs(results, sides[0], sides[1], names, (labels[0], labels[1]))
    if args.json:
        print(msgspec.json.encode(comparison).decode())
    else:
        console = _console()
        compare.show(comparison, console)
        sweep.show_lost(sweep_result, console)
    return 130 if sweep_result.stopped else 0


def _report(args: argparse.Namespace) -> int:
    import msgspec

    from wheatring.lab.outcome import Outcome
    from wheatring.lab.study import StudyError, settings, store
    from wheatring.lab.study.report import day, several
    from wheatring.lab.study.sweep import replay_of

    with args.file.open("rb") as file:
        first = file.read(16)
    if not first.startswith(b"SQLite format 3"):
        try:
            outcome = msgspec.json.decode(args.file.read_bytes(), type=Outcome)
        except msgspec.DecodeError as error:
            raise StudyError(f"{args.file}: neither a store nor an outcome: {error}") from error
        text = day.run_page(outcome, "")
    else:
        chosen = settings.single(args.set, args.patch).text() if args.set or args.patch else None
        with store.open_store(args.file, new=False) as results:
            rows = results.rows(args.scenario, args.grain, chosen, args.build, args.seed)
            if not rows:
                raise StudyError(f"{args.file}: no such run is there")
            if len(rows) == 1 and rows[0].state == "done":
                text = day.run_page(results.outcome(rows[0]), replay_of(rows[0]))
            else:
                names = dict.fromkeys(row.scenario for row in rows)
                text = several.run_set_page(rows, f"{len(rows)} runs of {', '.join(names)}")
    args.output.write_text(text, encoding="utf-8")
    return 0
