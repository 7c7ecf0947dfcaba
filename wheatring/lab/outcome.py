"""Results of one run of a world, encoded as JSON, stored by experiments and plotted by reports."""

from __future__ import annotations

from msgspec import Struct, field


class Breach(Struct, frozen=True):
    """One breach of a rule."""

    rule: str  # answer, duplicate, drain, cold, served, bounds, leftover, fault
    at: float  # seconds from the start of the day
    what: str  # description in one sentence
    ident: str = ""  # correlation id of the request
    sidecar: str = ""
    node: str = ""


class SecondFigures(Struct):
    """Figures of one second of the day. A first try is counted in the second of its arrival."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0  # failure answers, time-outs and disconnects of clients
    worth: float = 0.0  # value of the first tries
    earned: float = 0.0  # value of the answers
    tries: int = 0
    attempts: int = 0  # attempts at all tiers, by the second of their arrival
    turned_away: int = 0  # attempts rejected by nodes
    unconnected: int = 0  # failed connects of sidecars
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class ClassFigures(Struct):
    """Figures of the first tries of one request class over the day."""

    name: str
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    earned: float = 0.0  # share of the value
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class DiscoveryCallFigures(Struct):
    """Figures of the calls to discovery.

    Calls before the start of the day are counted in its first second.
    """

    calls: int = 0
    asks: int = 0  # calls by sidecars without a reply since their start or since a failed call
    brought: int = 0  # complete replies, with or without news
    failed: int = 0  # calls that were refused, or ended by discovery without a reply
    given_up: int = 0  # calls counted in `asks` that the sidecar abandoned
    asked: list[int] = field(default_factory=list)  # number of `asks` by second
    failed_by_second: list[int] = field(default_factory=list)
    # By sidecar: instant of its last start (0 if before the day), and seconds from it to the first reply.
    started: dict[str, float] = field(default_factory=dict)
    first: dict[str, float] = field(default_factory=dict)


class Outcome(Struct):
    """All results of one run."""

    scenario: str
    seed: int
    grain: str  # wire or exchange
    requests: int  # number of first tries
    service: float  # earned value as a share of the value of all first tries
    g: float  # goal figure after deductions
    whole: float
    worst_window: float  # lowest service in ten consecutive seconds
    worst_class: float
    waste: float  # work without an answer as a share of the offered work
    simulated_s: float
    wall_s: float
    breaches: list[Breach] = field(default_factory=list)
    breach_count: int = 0  # number of all breaches; the list has the first hundred
    classes: list[ClassFigures] = field(default_factory=list)
    seconds: list[SecondFigures] = field(default_factory=list)
    attempts_by_tier: list[int] = field(default_factory=list)
    attempts_each: float = 0.0  # attempts at the first tier for each accepted try
    node_work: dict[str, float] = field(default_factory=dict)  # work done, by node
    latency: str = ""  # latency of served first tries in ms, as an encoded HdrHistogram
    happened: list[tuple[float, str]] = field(default_factory=list)  # (seconds from the start, event)
    counts: dict[str, float] = field(default_factory=dict)  # other counts by name
    lists: DiscoveryCallFigures = field(default_factory=DiscoveryCallFigures)
    trace_hash: str = ""  # hash of the trace if one was recorded
