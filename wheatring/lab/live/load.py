"""Messages to and from the load generator: the load and its result. Its process is `generator_process`."""

from __future__ import annotations

import time
from collections.abc import Iterator
from random import Random
from typing import Literal

import msgspec
from msgspec import Struct, field

from wheatring.lab.live.process import Process
from wheatring.lab.live.watch import Watched

REPORT_TIMEOUT_SECONDS = 20.0  # for the generator's process to start and report, on a busy machine


class Ask(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of request."""

    name: str  # service class
    share: float = 1.0  # relative weight among the kinds of requests
    method: str = "GET"
    path: str = ""  # default: /NAME
    keyed: bool = False  # sends an Idempotency-Key
    body: int = 0  # size in bytes


class Load(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A load to put on one server. Times are in seconds."""

    host: str
    port: int
    mode: Literal["open", "closed"] = "open"
    rate: float = 0.0  # open loop: planned requests per second
    arrivals: Literal["poisson", "constant"] = "poisson"
    connections: int = 64  # open loop: the maximum; closed loop: the number of clients
    warm: float = 0.5  # requests of this initial period are not counted
    length: float = 5.0  # the measured period, after the warm-up
    patience: float = 6.0  # time-out of a request, from its scheduled time
    late_ms: float = 1.0  # the result is invalid if the generator's own p99 lateness exceeds this
    busy: float = 0.95  # closed loop: or if its CPU use exceeds this share of a core
    seed: int = 1
    asks: tuple[Ask, ...] = (Ask(name="menu-view"),)
    watch: dict[str, int] = field(default_factory=dict)  # PIDs of the processes to watch, by name
    cores: tuple[int, ...] = ()  # cores of which to measure the busy time


class Counts(Struct):
    """Requests by how they ended; the total is the number of requests sent."""

    served: int = 0  # 200
    refused: int = 0  # 429, 503
    failed: int = 0  # any other status
    lost: int = 0  # sent, but no complete response arrived before the time-out
    unreached: int = 0  # no connection was available before the time-out

    @property
    def total(self) -> int:
        """The number of requests, however they ended."""
        return self.served + self.refused + self.failed + self.lost + self.unreached


class Row(Struct):
    """The requests that were scheduled for one second."""

    second: int
    asked: int
    counts: Counts
    p50_ms: float  # latency of served requests from their scheduled time; 0 if none was served
    p99_ms: float
    late_ms: float  # the generator's own maximum lateness
    connections: int  # open at the end of the second


class Result(Struct):
    """The result of a load. Latencies are in ms, of served requests, from their scheduled time."""

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
    cpu: float  # share of a core that the generator used
    valid: bool  # False: the generator was the bottleneck, so the figures do not describe the server
    why: str  # the reason, if not valid
    latency: str  # an encoded HdrHistogram, in microseconds
    per_s: float = 0.0  # rate of requests served in the measured period
    warmed: int = 0  # requests of the warm-up, not counted
    timed_out: int = 0  # requests among the lost and unreached that timed out
    resent: int = 0  # sent again because an idle connection was closed by the server
    rows: list[Row] = field(default_factory=list)
    watched: list[Watched] = field(default_factory=list)
    cores_busy: dict[int, float] = field(default_factory=dict)  # seconds, by core


def arrivals(load: Load, random: Random) -> list[float]:
    """Draw the scheduled times of an open-loop load, in seconds from its start, warm-up included."""
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
    """Have the generator's process play one load. ProcessError if it reports no result in time."""
    after = len(process.lines)
    process.write_line(msgspec.json.encode(load).decode())
    deadline = time.monotonic() + load.warm + load.length + load.patience + REPORT_TIMEOUT_SECONDS
    return msgspec.json.decode(process.wait_for_line("{", deadline, after), type=Result)


def summary_lines(result: Result) -> Iterator[str]:
    """Describe a result in a few lines of text."""
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
