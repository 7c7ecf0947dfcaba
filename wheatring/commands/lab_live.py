"""`wheatring lab live`, `lab fleet`, `lab bench` and `lab load`: real processes on loopback."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from wheatring.common import address

if TYPE_CHECKING:
    from wheatring.lab.outcome import Outcome

    Commands = argparse._SubParsersAction[argparse.ArgumentParser]


def add(commands: Commands) -> None:
    """Add the commands `live`, `fleet`, `bench` and `load`."""
    _add_live(commands)
    _add_fleet(commands)
    _add_bench(commands)
    _add_load(commands)


def _add_live(commands: Commands) -> None:
    live = _command(commands, "live", _live, "play a day in real time, with real sidecars on loopback")
    live.add_argument("scenario", metavar="NAME|FILE", help="a scenario of the library, or a TOML file")
    live.add_argument("--seed", type=int, default=1, metavar="N", help="seed of the draw (default: 1)")
    live.add_argument(
        "--scale", type=float, default=1.0, metavar="S",
        help="the fraction of machines, sidecars and requests that is played (default: 1)",
    )  # fmt: skip
    live.add_argument(
        "--leave-out",
        action="store_true",
        help="leave out events that can't be played on loopback, and play the rest",
    )
    live.add_argument("--json", type=Path, metavar="FILE", help="write the whole outcome to this file")


def _add_fleet(commands: Commands) -> None:
    fleet = _command(commands, "fleet", _fleet, "play a day of hundreds of sidecars, and run its checks")
    fleet.add_argument("scenario", metavar="NAME|FILE", help="a scenario of the library, or a TOML file")
    fleet.add_argument(
        "--sidecars",
        type=int,
        metavar="N",
        help="number of sidecars of the front tier (default: the scenario's)",
    )
    fleet.add_argument("--seed", type=int, default=1, metavar="N", help="seed of the draw (default: 1)")
    fleet.add_argument("--virtual", action="store_true", help="in virtual time, without processes")
    fleet.add_argument(
        "--set", action="append", default=[], metavar="KEY=VALUE", help="override a scenario's key"
    )
    fleet.add_argument("--json", type=Path, metavar="FILE", help="write the whole outcome to this file")


def _add_bench(commands: Commands) -> None:
    bench = _command(
        commands, "bench", _bench, "compare the sidecar with a relay and a reverse proxy, as ratios"
    )
    bench.add_argument(
        "--rounds", type=int, default=5, metavar="N", help="number of interleaved rounds (default: 5)"
    )
    bench.add_argument(
        "--scale",
        type=float,
        default=1.0,
        metavar="S",
        help="factor on the length of each measurement (default: 1)",
    )
    bench.add_argument(
        "--cores",
        metavar="A,B,C",
        help="cores of the measured process, the load and the upstream (default: the idlest)",
    )
    bench.add_argument(
        "--body", type=int, default=128, metavar="BYTES", help="size of a response's body (default: 128)"
    )
    bench.add_argument("--json", type=Path, metavar="FILE", help="write the whole report to this file")


def _add_load(commands: Commands) -> None:
    load = _command(commands, "load", _load, "generate load on a server, and report its responses")
    load.add_argument("server", metavar="HOST:PORT")
    load.add_argument(
        "--rate", type=float, metavar="N", help="requests per second, independent of the responses"
    )
    load.add_argument(
        "--even", action="store_true", help="constant intervals between requests instead of random ones"
    )
    load.add_argument(
        "--connections", type=int, default=64, metavar="N",
        help="maximum number; without --rate, each sends its next request on a response (default: 64)",
    )  # fmt: skip
    load.add_argument(
        "--seconds", type=float, default=5.0, metavar="S", help="length of the measurement (default: 5)"
    )
    load.add_argument(
        "--warm", type=float, default=0.5, metavar="S", help="warm-up before the measurement (default: 0.5)"
    )
    load.add_argument(
        "--patience", type=float, default=6.0, metavar="S", help="time-out of a request (default: 6)"
    )
    load.add_argument("--seed", type=int, default=1, metavar="N", help="seed of the arrivals (default: 1)")
    load.add_argument(
        "--ask",
        action="append",
        metavar="CLASS[=SHARE]",
        help="send GET requests of this class; may be repeated",
    )
    load.add_argument("--json", type=Path, metavar="FILE", help="write the whole result to this file")


# Checks the arguments, which may raise ValueError, and returns the function to run, which returns the status.
Prepare = Callable[[argparse.Namespace], Callable[[], int]]


def _command(commands: Commands, name: str, prepare: Prepare, description: str) -> argparse.ArgumentParser:
    parser = commands.add_parser(name, help=description, description=description)
    parser.set_defaults(call=lambda args: _run_guarded(prepare, args))
    return parser


def _run_guarded(prepare: Prepare, args: argparse.Namespace) -> int:
    try:
        from wheatring.lab.live.process import ProcessError

        run = prepare(args)
    except ModuleNotFoundError as error:
        print(f"wheatring: lab: needs what `pip install wheatring[lab]` installs: {error}", file=sys.stderr)
        return 2
    except ValueError as error:
        print(f"wheatring: lab: {error}", file=sys.stderr)
        return 2
    try:
        return run()
    except ProcessError as error:
        print(f"wheatring: lab: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 130  # the status that shells use for an interrupted process


def _progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _write_result(result: Any, lines: Iterable[str], file: Path | None) -> None:
    """Write a result to the file, if one is given, and print its summary."""
    import msgspec

    if file is not None:
        file.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    print("\n".join(lines))


def _live(args: argparse.Namespace) -> Callable[[], int]:
    from wheatring.lab.live import scale
    from wheatring.lab.scenario.load import load
    from wheatring.lab.scenario.plan_builder import draw

    found = load(args.scenario)
    plan = draw(found, args.seed)
    unplayable = scale.unplayable_kinds(plan)
    if unplayable and not args.leave_out:
        raise ValueError(f"{found.where}: can't be played on loopback: {', '.join(unplayable)} (--leave-out)")
    plan = scale.scaled(scale.without_kinds(plan, unplayable), args.scale)

    def run() -> int:
        """Play the plan and print its outcome."""
        from wheatring.lab.live.play import play, summary_lines

        outcome = play(plan, _progress)
        outcome.left_out = list(unplayable)
        _write_result(outcome, summary_lines(outcome), args.json)
        return 1 if outcome.breach_count else 0

    return run


def _fleet(args: argparse.Namespace) -> Callable[[], int]:
    from wheatring.lab.live import list_acquisition, scale
    from wheatring.lab.plan import LIVE_ONLY
    from wheatring.lab.scenario.plan_builder import draw
    from wheatring.lab.study import run_builder, settings

    sets = [*args.set, *([f"front.sidecars={args.sidecars}"] if args.sidecars is not None else [])]
    plan = draw(run_builder.load_scenario(args.scenario, settings.single(sets, [])), args.seed)
    unplayable = scale.unplayable_kinds(plan)
    if unplayable:
        raise ValueError(f"{args.scenario}: can't be played on loopback: {', '.join(unplayable)}")
    live_only = dict.fromkeys(event.kind for event in plan.events if event.kind in LIVE_ONLY)
    if args.virtual and live_only:
        raise ValueError(f"{args.scenario}: can't be played in virtual time: {', '.join(live_only)}")

    def run() -> int:
        """Play the plan in virtual time or with real processes, and print the outcome."""
        if args.virtual:
            from wheatring.lab.play import play as play_virtual

            outcome: Outcome = play_virtual(plan, "exchange")
            lines = [f"{outcome.scenario}, seed {outcome.seed}, in virtual time"]
        else:
            from wheatring.lab.live.play import play, relay_count, summary_lines

            needed = list_acquisition.requirements(plan, relay_count(plan))
            _progress(needed.summary())
            list_acquisition.check_resources(needed)
            live = play(plan, _progress, with_links=True)
            outcome, lines = live, list(summary_lines(live))
        _write_result(outcome, [*lines, *list_acquisition.summary_lines(plan, outcome)], args.json)
        is_passed = all(is_passed for is_passed, _ in list_acquisition.check_bounds(plan, outcome))
        return 0 if is_passed and not outcome.breach_count else 1

    return run


def _bench(args: argparse.Namespace) -> Callable[[], int]:
    from wheatring.lab.live import cores
    from wheatring.lab.live.bench import run as bench
    from wheatring.lab.live.bench import table

    for name in ("rounds", "scale", "body"):
        _positive(f"--{name}", getattr(args, name))
    chosen_cores = cores.parse_cores(args.cores) if args.cores else None
    defaults = bench.Sizes()
    sizes = bench.Sizes(
        rounds=args.rounds,
        many=defaults.many * args.scale,
        one=defaults.one * args.scale,
        open=defaults.open * args.scale,
        body=args.body,
    )

    def run() -> int:
        """Run the benchmark and print its table."""
        report = bench.run(chosen_cores or cores.least_busy_cores(), sizes, _progress)
        _write_result(report, table.summary_lines(report), args.json)
        return 0

    return run


def _load(args: argparse.Namespace) -> Callable[[], int]:
    from wheatring.lab.live.load import Ask, Load, play, summary_lines
    from wheatring.lab.live.process import Process, module

    for name in ("rate", "connections", "seconds", "patience"):
        _positive(f"--{name}", getattr(args, name))
    if args.warm < 0:
        raise ValueError("--warm: must be 0 or more")
    try:
        host, port = address.parse(args.server)
    except ValueError as error:
        raise ValueError(f"server: {error}") from None
    load = Load(
        host=host,
        port=port,
        mode="closed" if args.rate is None else "open",
        rate=args.rate or 0.0,
        arrivals="constant" if args.even else "poisson",
        connections=args.connections,
        length=args.seconds,
        warm=args.warm,
        patience=args.patience,
        seed=args.seed,
        asks=tuple(Ask(name=name, share=share) for name, share in map(_share, args.ask or ["menu-view"])),
    )

    def run() -> int:
        """Generate the load and print its result."""
        with Process("load", module("wheatring.lab.live.generator_process")) as process:
            result = play(process, load)
        _write_result(result, summary_lines(result), args.json)
        return 0 if result.valid else 1

    return run


def _share(text: str) -> tuple[str, float]:
    name, equals, share = text.partition("=")
    try:
        value = float(share) if equals else 1.0
    except ValueError:
        raise ValueError(f"--ask {name}: not a number: {share!r}") from None
    _positive(f"--ask {name}", value)
    return name, value


def _positive(name: str, value: float | None) -> None:
    if value is not None and not value > 0:
        raise ValueError(f"{name}: must be more than 0")
