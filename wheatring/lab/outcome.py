"""Results of one run of a world: plain values, written as JSON, stored by experiments, plotted by reports."""

from __future__ import annotations

from msgspec import Struct, field


class Breach(Struct, frozen=True):
    """One breach of a rule."""

    rule: str  # answer, duplicate, drain, cold, served, bounds, leftover, fault
    at: float  # seconds from the start of the day
    what: str  # one sentence
    ident: str = ""  # of the request at fault
    sidecar: str = ""
    node: str = ""


class SecondFigures(Struct):
    """Figures of one second of the day. A first try belongs to the second in which it was asked."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0  # answers of failure, and those that ran out of time or left
    worth: float = 0.0  # asked for
    earned: float = 0.0
    tries: int = 0
    attempts: int = 0  # at all tiers, by the second in which they arrived
    turned_away: int = 0
    unconnected: int = 0  # connects of sidecars that failed
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
    earned: float = 0.0  # part of its worth
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class DiscoveryCallFigures(Struct):
    """Figures of the calls to discovery.

    Seconds are those of the day; calls before its start count in the first second.
    """

    calls: int = 0
    asks: int = 0  # of these, by sidecars that had no answer since their start or since a call failed
    brought: int = 0  # answers, whether or not they held anything new
    failed: int = 0  # ended by discovery without an answer, or not taken
    given_up: int = 0  # asks that the sidecar did not wait for any longer
    asked: list[int] = field(default_factory=list)  # asks by second
    failed_by_second: list[int] = field(default_factory=list)
    started: dict[str, float] = field(default_factory=dict)  # by sidecar: its last start, 0 before the day
    first: dict[str, float] = field(default_factory=dict)  # by sidecar: s from its last start to an answer


class Outcome(Struct):
    """All results of one run."""

    scenario: str
    seed: int
    grain: str  # wire or exchange
    requests: int  # first tries
    service: float  # worth earned over worth asked for
    g: float  # the goal's figure, prices taken off
    whole: float
    worst_window: float  # least service of ten seconds in a row
    worst_class: float
    waste: float  # work for no answer over work offered
    simulated_s: float
    wall_s: float
    breaches: list[Breach] = field(default_factory=list)
    breach_count: int = 0  # all of them; the list keeps the first hundred
    classes: list[ClassFigures] = field(default_factory=list)
    seconds: list[SecondFigures] = field(default_factory=list)
    attempts_by_tier: list[int] = field(default_factory=list)
    attempts_each: float = 0.0  # attempts at the first tier for each try taken there
    node_work: dict[str, float] = field(default_factory=dict)  # work done, by node
    latency: str = ""  # of the first tries that were served, in ms: an encoded HdrHistogram
    happened: list[tuple[float, str]] = field(default_factory=list)  # seconds from the start, and what
    counts: dict[str, float] = field(default_factory=dict)  # further counts by name
    lists: DiscoveryCallFigures = field(default_factory=DiscoveryCallFigures)
    trace_hash: str = ""  # of the whole trace, where one was kept
