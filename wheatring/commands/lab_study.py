"""`lab sweep`, `lab compare`, `lab report`: many runs, kept, compared and drawn.

Nothing of the lab is imported before a command is called: the program starts without the lab's packages.
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
    """Add the commands. What plays a run is the namespace's `run`, as module:function."""
    runs = _run_arguments()
    _add_sweep(groups, runs)
    _add_compare(groups, runs)
    _add_report(groups)


def _run_arguments() -> argparse.ArgumentParser:
    """Return the arguments of all commands that play runs."""
    runs = argparse.ArgumentParser(add_help=False)
    runs.add_argument("scenarios", nargs="+", metavar="SCENARIO", help="a name of the library, or a file")
    runs.add_argument("--seeds", default="1-20", help="such as 1-100 or 1,2,9-12 (default: %(default)s)")
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
        "--store", type=Path, default=DEFAULT_STORE, metavar="FILE", help="results (default: %(default)s)"
    )
    runs.add_argument(
        "--workers", type=int, default=os.cpu_count() or 1, help="processes (default: %(default)s)"
    )
    runs.add_argument(
        "--limit", type=float, default=DEFAULT_RUN_LIMIT_SECONDS, metavar="S",
        help="wall time of one run, past which it is given up (default: %(default)g)",
    )  # fmt: skip
    runs.add_argument("--json", action="store_true", help="print JSON in place of the table")
    runs.set_defaults(run=RUN_FUNCTION)
    return runs


def _add_sweep(groups: Commands, runs: argparse.ArgumentParser) -> None:
    sweep = groups.add_parser("sweep", parents=[runs], help="play many runs and keep what they gave")
    sweep.add_argument("--fail-fast", action="store_true", help="end at the first breach of a rule")
    sweep.set_defaults(call=reports_errors(_sweep))


def _add_compare(groups: Commands, runs: argparse.ArgumentParser) -> None:
    compare = groups.add_parser("compare", parents=[runs], help="tell two sides apart, paired by seed")
    for side in ("a", "b"):
        compare.add_argument(f"--set-{side}", action="append", default=[], metavar="KEY=VALUE")
        compare.add_argument(f"--patch-{side}", action="append", default=[], metavar="MODULE:NAME=VALUE")
        compare.add_argument(
            f"--build-{side}", type=Path, metavar="DIR", help="another checkout of the project"
        )
    compare.add_argument(
        "--figure", action="append", default=[], metavar="NAME",
        help="beside g and service, such as waste, latency.99 or counts.NAME",
    )  # fmt: skip
    compare.set_defaults(call=reports_errors(_compare))


def _add_report(groups: Commands) -> None:
    report = groups.add_parser("report", help="make a page of one run or of many")
    report.add_argument("file", type=Path, help="a store, or the outcome of one run as JSON")
    report.add_argument("-o", "--output", type=Path, required=True, metavar="FILE", help="the page")
    report.add_argument("--scenario", default="", help="only this one's runs, of a store")
    report.add_argument("--seed", type=int)
    report.add_argument("--grain", choices=("wire", "exchange"), default="")
    report.add_argument("--build", default="", help="as the store names it")
    report.add_argument("--set", action="append", default=[], metavar="KEY=VALUE")
    report.add_argument("--patch", action="append", default=[], metavar="MODULE:NAME=VALUE")
    report.set_defaults(call=reports_errors(_report))


def _runs_in_order(args: argparse.Namespace, choices: list[Settings], build: Build) -> list[RunSpec]:
    """Return the runs seed by seed: what is done when a sweep is stopped covers all that is asked for."""
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
        for settings in choices
    ]
    return [
        spec
        for begin in range(0, len(seeds) * len(grains), len(grains))
        for specs in lists
        for spec in specs[begin : begin + len(grains)]
    ]


def _console() -> Console:
    """Return standard output; where it is no terminal, as wide as a table needs."""
    from rich.console import Console

    console = Console()
    return console if console.is_terminal else Console(width=130)


def _sweep(args: argparse.Namespace) -> int:
    import msgspec

    from wheatring.lab.study import settings, store, sweep
    from wheatring.lab.study.runs import build_at

    choices = [settings.with_fault(each, args.plant) for each in settings.combinations(args.set, args.patch)]
    specs = _runs_in_order(args, choices, build_at())
    args.store.parent.mkdir(parents=True, exist_ok=True)
    with store.open_store(args.store) as kept:
        swept = sweep.play(
            specs, kept, args.run, workers=args.workers, limit=args.limit, fail_fast=args.fail_fast
        )
    if args.json:
        print(msgspec.json.encode(sweep.summary(swept)).decode())
    else:
        sweep.show(swept, _console())
    return swept.status


def _compare(args: argparse.Namespace) -> int:
    import msgspec

    from wheatring.lab.study import compare, settings, store, sweep
    from wheatring.lab.study.runs import CHECKOUT, build_at

    sides, labels = [], []
    for side in ("a", "b"):
        own = vars(args)
        plain = settings.single(args.set + own[f"set_{side}"], args.patch + own[f"patch_{side}"])
        chosen = settings.with_fault(plain, args.plant)
        folder = own[f"build_{side}"]
        sides.append(_runs_in_order(args, [chosen], build_at(folder or CHECKOUT)))
        labels.append(chosen.label() + (f", build {folder}" if folder else ""))
    names = list(dict.fromkeys(["g", "service", *args.figure]))
    args.store.parent.mkdir(parents=True, exist_ok=True)
    with store.open_store(args.store) as kept:
        both = [spec for pair in zip(*sides, strict=True) for spec in pair]
        swept = sweep.play(both, kept, args.run, workers=args.workers, limit=args.limit)
        found = compare.compare_runs(kept, sides[0], sides[1], names, (labels[0], labels[1]))
    if args.json:
        print(msgspec.json.encode(found).decode())
    else:
        console = _console()
        compare.show(found, console)
        sweep.show_lost(swept, console)
    return 130 if swept.stopped else 0


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
        with store.open_store(args.file, new=False) as kept:
            rows = kept.rows(args.scenario, args.grain, chosen, args.build, args.seed)
            if not rows:
                raise StudyError(f"{args.file}: no such run is there")
            if len(rows) == 1 and rows[0].state == "done":
                text = day.run_page(kept.outcome(rows[0]), replay_of(rows[0]))
            else:
                names = dict.fromkeys(row.scenario for row in rows)
                text = several.run_set_page(rows, f"{len(rows)} runs of {', '.join(names)}")
    args.output.write_text(text, encoding="utf-8")
    return 0
