"""`lab pace`: measures the time and memory needed to play a scenario."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

from wheatring.commands.lab_errors import reports_errors

if TYPE_CHECKING:
    Commands = argparse._SubParsersAction[argparse.ArgumentParser]


def add(commands: Commands) -> None:
    """Add the command `pace`."""
    description = "play one day without a trace, and print its speed and memory"
    pace = commands.add_parser("pace", help=description, description=description)
    pace.add_argument(
        "scenario", nargs="?", default="three-tiers", metavar="NAME|FILE",
        help="a scenario of the library, or a TOML file (default: %(default)s)",
    )  # fmt: skip
    pace.add_argument("--seed", type=int, default=1, metavar="N", help="seed of the draw (default: 1)")
    pace.add_argument("--grain", choices=("wire", "exchange"), default="wire", help="default: %(default)s")
    pace.add_argument(
        "--seconds", type=float, metavar="S", help="play at most this part of the day (default: all of it)"
    )
    pace.set_defaults(call=reports_errors(_pace))


def _pace(args: argparse.Namespace) -> int:
    import resource
    import sys
    from time import perf_counter, process_time

    import msgspec

    from wheatring.lab.play import make_world
    from wheatring.lab.scenario.load import load
    from wheatring.lab.scenario.plan_builder import draw
    from wheatring.lab.study import StudyError

    if args.seconds is not None and not args.seconds > 0:
        raise StudyError(f"--seconds {args.seconds:g}: must be above 0")
    plan = draw(load(args.scenario), args.seed)
    if args.seconds is not None and args.seconds < plan.length:
        plan = msgspec.structs.replace(plan, length=args.seconds)
    started_at, cpu_before = perf_counter(), process_time()
    outcome = make_world(plan, args.grain).play()
    wall, cpu = perf_counter() - started_at, process_time() - cpu_before
    calls = int(outcome.counts["attempts"])
    unit_bytes = 1 if sys.platform == "darwin" else 1024  # of `ru_maxrss`
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * unit_bytes / 2**20
    day = f"{outcome.scenario}, seed {outcome.seed}, {outcome.grain}"
    print(f"{day}: {outcome.requests} first tries, {calls} calls")
    print(
        f"{plan.length:.1f} s of day and {outcome.simulated_s - plan.length:.1f} s about it"
        f" in {wall:.2f} s, {cpu:.2f} s of CPU"
    )
    print(
        f"the day alone over all CPU: {plan.length / cpu:.1f} times real time;"
        f" all that was played over the wall's time: {outcome.simulated_s / wall:.1f}"
    )
    print(f"{1e6 * cpu / max(calls, 1):.0f} us of CPU a call, {peak:.0f} MiB at the peak")
    return 0
