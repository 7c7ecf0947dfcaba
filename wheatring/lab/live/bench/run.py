"""Starts the targets of the benchmark, measures them in turn, and compares the results."""

from __future__ import annotations

import os
import platform
import statistics
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from msgspec import Struct, field
from twisted import __version__ as twisted_version

import wheatring
from wheatring.lab.live.bench import upstream
from wheatring.lab.live.cores import Cores
from wheatring.lab.live.load import Ask, Load, Result, play
from wheatring.lab.live.process import Process, module
from wheatring.lab.live.sidecar import Sidecar, configuration, settings

HOST = "127.0.0.1"
START_TIMEOUT_SECONDS = 20.0
BENCH_PACKAGE = "wheatring.lab.live.bench"
CLASS = {"name": "menu-view", "slo": 2_500_000, "deadline": 6_000_000, "effect": "pure", "late_worth": 0.25}
ASK = Ask(name="menu-view", path="/menu-view/soups")
SUBJECT = "sidecar"
# In the order of measurement, with a description for the report.
TARGETS = {
    "relay": "bare TCP relay: the floor of this runtime",
    "web": "reverse proxy on twisted.web: kept connections, no access log",
    "sidecar": "the sidecar",
}
MANY_CONNECTIONS = 16
# A result is doubtful if other programs use more than this share of the measured core.
MAX_FOREIGN_SHARE = 0.05


class Sizes(Struct, frozen=True, kw_only=True):
    """The durations of the loads in seconds, and the number of rounds."""

    rounds: int = 5
    many: float = 2.0
    one: float = 1.5
    open: float = 2.5
    warm: float = 0.5
    body: int = 128  # size of each response in bytes
    late_ms: float = 0.5  # limit of the generator's own p99 lateness


class Measure(Struct):
    """Results of one target in one round.

    Latencies are in ms; `one` is with one connection, `open` with an open loop at half the sidecar's rate.
    """

    per_s: float  # requests per second with 16 connections
    cpu_us: float  # CPU time of the target per request, with 16 connections
    one_p50: float
    one_p99: float
    open_p50: float
    open_p99: float
    open_per_s: float  # requests per second served in the open loop
    rss_mb: float
    wrong: list[str] = field(default_factory=list)  # reasons why results of this round are not valid


class Figure(Struct):
    """Statistics of a result over all rounds."""

    median: float
    low: float
    high: float


class Report(Struct):
    """The report of a benchmark, as it is written to a file."""

    about: dict[str, str]
    sizes: Sizes
    cores: tuple[int, int, int]  # measured, load, upstream
    open_rate: float  # requests per second of the open loop
    direct_per_s: float  # the upstream without a target, with 16 connections
    direct_cpu: float  # share of its core that the upstream used for that
    direct_limit: str  # the bottleneck in that measurement
    rounds: list[dict[str, Measure]]
    figures: dict[str, dict[str, Figure]]  # by target, by field of Measure
    ratios: dict[str, dict[str, Figure]]  # ratio of the sidecar's result to another target's, per round
    wrong: list[str]


FIELDS = tuple(name for name in Measure.__struct_fields__ if name != "wrong")


class Bench:
    """The running processes of the benchmark."""

    def __init__(self, stack: ExitStack, folder: Path, cores: Cores, sizes: Sizes) -> None:
        self.cores = cores
        self.sizes = sizes

        def start(name: str, core: int, *arguments: str) -> Process:
            """Start a process on one core."""
            return stack.enter_context(Process(name, module(*arguments), cpus=(core,)))

        def port(line: str, name: str = "port") -> int:
            """Return a port from a line, by its name."""
            return int(dict(pair.split("=") for pair in line.split()[1:])[name])

        def listening_line(process: Process) -> str:
            """Wait for the line with the ports of a process."""
            return process.wait_for_line("listening ", time.monotonic() + START_TIMEOUT_SECONDS)

        self.upstream = start("upstream", cores.upstream, f"{BENCH_PACKAGE}.upstream", HOST, str(sizes.body))
        listening = listening_line(self.upstream)
        self.node, discovery = port(listening, "node"), port(listening, "discovery")
        self.targets: dict[str, Process] = {
            name: start(name, cores.measured, f"{BENCH_PACKAGE}.{name}", HOST, HOST, str(self.node))
            for name in TARGETS
            if name != SUBJECT
        }
        entry = {"instanceId": upstream.NODE, "hostPort": f"{HOST}:{self.node}", "lifecycle": "SERVING"}
        sidecar_configuration = configuration(
            SUBJECT, f"{HOST}:0", f"{HOST}:{discovery}", settings([CLASS]), 1,
            known={"generation": 0, "instances": [{**entry, "startedAtMs": 0}]},
        )  # fmt: skip
        self.targets[SUBJECT] = stack.enter_context(Sidecar(folder, sidecar_configuration, (cores.measured,)))
        self.ports = {name: port(listening_line(process)) for name, process in self.targets.items()}
        self.generator = start("load", cores.load, "wheatring.lab.live.generator_process")

    def load(self, target: Process, port: int, length: float, **more: object) -> Result:
        """Put load on a process for `length` seconds; `more` are further fields of `Load`."""
        fields = {
            "host": HOST, "port": port, "length": length, "warm": self.sizes.warm, "asks": (ASK,),
            "late_ms": self.sizes.late_ms, "watch": {target.name: target.pid},
            "cores": (self.cores.measured,),
        }  # fmt: skip
        return play(self.generator, msgspec.convert({**fields, **more}, Load))

    def closed(self, name: str, connections: int, length: float) -> Result:
        """Put a closed-loop load on a target for `length` seconds."""
        return self.load(self.targets[name], self.ports[name], length, mode="closed", connections=connections)

    def direct(self) -> Result:
        """Measure the upstream without a target in front of it."""
        return self.load(
            self.upstream, self.node, self.sizes.one, mode="closed", connections=MANY_CONNECTIONS
        )

    def measure(self, name: str, rate: float) -> Measure:
        """Measure a target for one round, with `rate` requests per second in the open loop."""
        sizes, target = self.sizes, self.targets[name]
        many = self.closed(name, MANY_CONNECTIONS, sizes.many)
        one = self.closed(name, 1, sizes.one)
        opened = self.load(target, self.ports[name], sizes.open, mode="open", rate=rate)
        wrong = []
        for load_name, result in (("16 connections", many), ("1 connection", one), ("open", opened)):
            wrong += [f"{name}, {load_name}: {doubt}" for doubt in self.doubts(result)]
        (watched_target,) = many.watched
        request_count = many.per_s * sizes.many
        return Measure(
            per_s=many.per_s,
            cpu_us=watched_target.cpu_s / request_count * 1e6 if request_count else 0.0,
            one_p50=one.p50_ms, one_p99=one.p99_ms,
            open_p50=opened.p50_ms, open_p99=opened.p99_ms, open_per_s=opened.per_s,
            rss_mb=watched_target.peak_mb,
            wrong=wrong,
        )  # fmt: skip

    def doubts(self, result: Result) -> Iterator[str]:
        """Yield the reasons why the results of a load are doubtful."""
        if not result.valid:
            yield result.why
        counts = result.counts
        if counts.served < counts.total:
            yield (
                f"{counts.total - counts.served} of {counts.total} not served (refused {counts.refused}, "
                f"failed {counts.failed}, lost {counts.lost}, unreached {counts.unreached})"
            )
        (watched_target,) = result.watched
        foreign_seconds = sum(result.cores_busy.values()) - watched_target.cpu_s
        measured_seconds = watched_target.looks[-1].at if watched_target.looks else 0.0
        if measured_seconds and foreign_seconds > max(MAX_FOREIGN_SHARE * measured_seconds, 0.05):
            yield f"other programs took {foreign_seconds / measured_seconds:.2f} of the measured core"


@contextmanager
def running_bench(cores: Cores, sizes: Sizes) -> Iterator[Bench]:
    """Start the processes of the benchmark, and end them when the block is left.

    Raises
    ------
    ProcessError
        A process fails.
    """
    with TemporaryDirectory() as folder, ExitStack() as stack:
        yield Bench(stack, Path(folder), cores, sizes)


def run(cores: Cores, sizes: Sizes, report_progress: Callable[[str], None]) -> Report:
    """Run the complete benchmark, and call `report_progress` after each round.

    Raises
    ------
    ProcessError
        A process fails.
    """
    wrong = ["too few cores: the measured process shares its own"] if cores.shared else []
    with running_bench(cores, sizes) as bench:
        direct = bench.direct()
        rate = max(1.0, bench.closed(SUBJECT, MANY_CONNECTIONS, sizes.many).per_s / 2)
        rounds = []
        for number in range(sizes.rounds):
            rounds.append({name: bench.measure(name, rate) for name in TARGETS})
            rates = ", ".join(f"{name} {measure.per_s:,.0f}" for name, measure in rounds[-1].items())
            report_progress(
                f"round {number + 1} of {sizes.rounds}: requests a second at {MANY_CONNECTIONS} connections: "
                f"{rates}"
            )
            wrong += [
                f"round {number + 1}, {text}" for measure in rounds[-1].values() for text in measure.wrong
            ]
    upstream_cpu = direct.watched[0].cpu_s / sizes.one
    return Report(
        about=about(),
        sizes=sizes,
        cores=(cores.measured, cores.load, cores.upstream),
        open_rate=rate,
        direct_per_s=direct.per_s,
        direct_cpu=upstream_cpu,
        direct_limit="the generator" if not direct.valid else "neither" if upstream_cpu < 0.9 else "it",
        rounds=rounds,
        figures={
            name: {key: _figure([getattr(r[name], key) for r in rounds]) for key in FIELDS}
            for name in TARGETS
        },
        ratios={
            name: {
                key: _figure([_ratio(getattr(r[SUBJECT], key), getattr(r[name], key)) for r in rounds])
                for key in FIELDS
            }
            for name in TARGETS
            if name != SUBJECT
        },
        wrong=wrong,
    )


def _ratio(mine: float, other: float) -> float:
    return mine / other if other else 0.0


def _figure(values: list[float]) -> Figure:
    return Figure(statistics.median(values), min(values), max(values))


def about() -> dict[str, str]:
    """Return the versions and the properties of the machine that affect the results."""
    model = ""
    with Path("/proc/cpuinfo").open(encoding="utf-8", errors="replace") as file:
        for line in file:
            if line.startswith("model name"):
                model = line.partition(":")[2].strip()
                break
    return {
        "version": wheatring.__version__,
        "python": platform.python_version(),
        "twisted": twisted_version,
        "kernel": platform.release(),
        "cpu": model,
        "cores": str(len(os.sched_getaffinity(0))),
        "load": f"{os.getloadavg()[0]:.2f}",
    }
