"""The load generator's messages: what it is to do, and the result. Its process is `generator_process`."""

from __future__ import annotations

import time
from collections.abc import Iterator
from random import Random
from typing import Literal

import msgspec
from msgspec import Struct, field

from wheatring.lab.live.process import Process
from wheatring.lab.live.watch import Watched

REPORT_TIMEOUT_SECONDS = 20.0  # for the generator's process to start and to report, on a machine that is busy


class Ask(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of request."""

    name: str  # its class
    share: float = 1.0  # of the requests, by weight
    method: str = "GET"
    path: str = ""  # /NAME where none is given
    keyed: bool = False  # bears an Idempotency-Key
    body: int = 0  # bytes


class Load(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A stretch of load on one server. Times are seconds."""

    host: str
    port: int
    mode: Literal["open", "closed"] = "open"
    rate: float = 0.0  # open: planned requests a second
    arrivals: Literal["poisson", "constant"] = "poisson"
    connections: int = 64  # open: at most so many at once; closed: so many, each asks again once answered
    warm: float = 0.5  # what is asked in this time first does not count
    length: float = 5.0  # and what is asked in this time after it does
    patience: float = 6.0  # from a request's intended instant, until it is given up
    late_ms: float = 1.0  # the generator was the limit if it was itself later than this for 1 in 100
    busy: float = 0.95  # closed: or if it needed more of its core than this
    seed: int = 1
    asks: tuple[Ask, ...] = (Ask(name="menu-view"),)
    watch: dict[str, int] = field(default_factory=dict)  # processes to watch, by name
    cores: tuple[int, ...] = ()  # cores whose busy time to measure


class Counts(Struct):
    """How requests ended; they add up to those asked."""

    served: int = 0  # 200
    refused: int = 0  # 429, 503
    failed: int = 0  # any other status
    lost: int = 0  # written, and no whole answer came while it was waited for
    unreached: int = 0  # no connection was to be had for it while it was waited for

    @property
    def total(self) -> int:
        """Count the requests, however they ended."""
        return self.served + self.refused + self.failed + self.lost + self.unreached


class Row(Struct):
    """One second, by the instants at which its requests were meant to be sent."""

    second: int
    asked: int
    counts: Counts
    p50_ms: float  # of the served, from the intended instant; 0 where there is none
    p99_ms: float
    late_ms: float  # the most that the generator itself was late
    connections: int  # open at the second's end


class Result(Struct):
    """Latency is that of the served, in ms, from the instant at which a request was meant to be sent."""

    mode: str
    asked: int  # after the warm-up
    counts: Counts
    mean_ms: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    most_ms: float
    late_p50_ms: float  # the generator's own lateness
    late_p99_ms: float
    late_most_ms: float
    cpu: float  # of one core, that the generator needed
    valid: bool  # False: the generator was the limit, and the figures say nothing of the server
    why: str  # what was wrong then
    latency: str  # an encoded HdrHistogram, in microseconds
    per_s: float = 0.0  # served within the time that counts, a second of it
    warmed: int = 0  # asked before, not counted
    timed_out: int = 0  # of all that were lost or unreached: those that were given up
    resent: int = 0  # written again, as a kept connection ended under them
    rows: list[Row] = field(default_factory=list)
    watched: list[Watched] = field(default_factory=list)
    cores_busy: dict[int, float] = field(default_factory=dict)  # seconds, by core


def arrivals(load: Load, random: Random) -> list[float]:
    """Draw the planned instants of an open load, in seconds from its start, warm-up included."""
    end = load.warm + load.length
    if load.arrivals == "constant":
        return [n / load.rate for n in range(int(end * load.rate))]
    planned = []
    at = random.expovariate(load.rate)
    while at < end:
        planned.append(at)
        at += random.expovariate(load.rate)
    return planned


def play(process: Process, load: Load) -> Result:
    """Have the generator's process play one load. ProcessError if it gives no result."""
    after = len(process.lines)
    process.write_line(msgspec.json.encode(load).decode())
    by = time.monotonic() + load.warm + load.length + load.patience + REPORT_TIMEOUT_SECONDS
    return msgspec.json.decode(process.wait_for_line("{", by, after), type=Result)


def shown(result: Result) -> Iterator[str]:
    """Describe a result in a few lines."""
    counts = result.counts
    yield (
        f"{result.asked} asked: {counts.served} served, {counts.refused} refused, {counts.failed} failed, "
        f"{counts.lost} lost, {counts.unreached} unreached ({result.timed_out} given up)"
    )
    yield (
        f"{result.per_s:,.1f} served a second; ms from the instant planned: p50 {result.p50_ms:.2f}, "
        f"p90 {result.p90_ms:.2f}, p99 {result.p99_ms:.2f}, p99.9 {result.p999_ms:.2f}, "
        f"most {result.most_ms:.2f}"
    )
    yield f"the generator: {result.late_p99_ms:.2f} ms late at p99, {result.cpu:.2f} of its core"
    if not result.valid:
        yield f"NOT VALID: {result.why}"
