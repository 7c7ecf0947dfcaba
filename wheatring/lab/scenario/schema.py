"""What a scenario may say: typed, with bounds. `docs/operate/lab.md` tells each key's unit and meaning.

Times are seconds, sizes of work seconds on a standard core, shares parts of 1. A number may be a range
`(low, high)`, drawn evenly; a word or a switch may be a choice among several. Where a key stands in the plan
under the same name, the default is the plan's. How the parts must agree with each other: `checks.py`.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,39}$")]
Text = Annotated[str, Meta(min_length=1, max_length=400)]

_Amount = Annotated[float, Meta(ge=0.0, le=1e9)]
_Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
_Part = Annotated[float, Meta(ge=0.0, le=1.0)]
_Some = Annotated[float, Meta(gt=0.0, le=1.0)]
_Instant = Annotated[float, Meta(ge=0.0, le=86_400.0)]
_Span = Annotated[float, Meta(gt=0.0, le=86_400.0)]
_Factor = Annotated[float, Meta(ge=1.0, le=1e9)]
_Signed = Annotated[float, Meta(ge=-1e9, le=1e9)]
_Count = Annotated[int, Meta(ge=0, le=1_000_000)]
_Several = Annotated[int, Meta(ge=1, le=1_000_000)]
_Sockets = Annotated[int, Meta(ge=64, le=1_000_000)]
_Bytes = Annotated[int, Meta(ge=1, le=1 << 30)]

# msgspec 0.23 corrupts memory on a bounded number in a union with a tuple of fixed length, so ranges are
# tuples of any length that is bounded to two.
_PAIR = Meta(min_length=2, max_length=2)

Amount = _Amount | Annotated[tuple[_Amount, ...], _PAIR]
Positive = _Positive | Annotated[tuple[_Positive, ...], _PAIR]
Part = _Part | Annotated[tuple[_Part, ...], _PAIR]
Some = _Some | Annotated[tuple[_Some, ...], _PAIR]  # a part that is not none
Instant = _Instant | Annotated[tuple[_Instant, ...], _PAIR]  # or a time that may be none
Span = _Span | Annotated[tuple[_Span, ...], _PAIR]  # a time that is not none
Factor = _Factor | Annotated[tuple[_Factor, ...], _PAIR]
Signed = _Signed | Annotated[tuple[_Signed, ...], _PAIR]
Count = _Count | Annotated[tuple[_Count, ...], _PAIR]
Several = _Several | Annotated[tuple[_Several, ...], _PAIR]
Sockets = _Sockets | Annotated[tuple[_Sockets, ...], _PAIR]
Bytes = _Bytes | Annotated[tuple[_Bytes, ...], _PAIR]
Switch = bool | Annotated[tuple[bool, ...], Meta(min_length=1)]

_Dist = Literal["lognormal", "pareto", "fixed"]
_Effect = Literal["safe", "keyed", "unsafe"]
_Backoff = Literal["none", "fixed", "exp"]
_Held = Literal["now", "old", "none"]
_Shape = Literal["steady", "bursty", "ramp"]
Dist = _Dist | Annotated[tuple[_Dist, ...], Meta(min_length=1)]
Effect = _Effect | Annotated[tuple[_Effect, ...], Meta(min_length=1)]
Backoff = _Backoff | Annotated[tuple[_Backoff, ...], Meta(min_length=1)]
Held = _Held | Annotated[tuple[_Held, ...], Meta(min_length=1)]
Shape = _Shape | Annotated[tuple[_Shape, ...], Meta(min_length=1)]

EventKind = Literal[
    "slow", "hang", "fast_errors", "neighbour", "refuse", "conn_cap", "late_connects", "spoilt", "resets",
    "vanish", "drain", "kill", "start", "sidecar_kill", "sidecar_restart", "discovery_down",
    "discovery_silent", "discovery_slow", "discovery_stale", "discovery_lies", "discovery_breaks",
    "discovery_move", "discovery_cut", "stall", "partition", "latency",
    "clock_step", "load",
    # of several steps each
    "release", "restart", "rolling_sidecars", "all_sidecars",
]  # fmt: skip


class Table(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The base of all tables of a scenario: read strictly, and not changed."""


class Class(Table, frozen=True, kw_only=True):
    """`[[class]]`: a class of requests."""

    name: Name
    share: Positive
    work: Positive
    dist: Dist = "lognormal"
    cv: Amount = 1.5
    attempt_noise: Amount = 0.0
    aim: Span = 2.5
    deadline: Span = 6.0
    worth: Positive = 1.0
    late_worth: Part = 0.0
    effect: Effect = "safe"
    window: Span = 10.0


class Kind(Table, frozen=True, kw_only=True):
    """`[[tier.kind]]`: a kind of machine."""

    name: Name
    share: Positive = 1.0
    cores: Several = 2
    speed: Positive = 1.0
    speed_cv: Part = 0.0
    slots_per_core: Positive = 16.0
    queue_per_core: Amount = 2.0
    thrash: Amount = 0.0
    knee_per_core: Positive = 1e9
    cold_from: Some = 1.0
    cold: Instant = 0.0
    pause_every: Instant = 0.0
    pause: Instant = 0.0
    pause_grow: Amount = 0.0
    error_rate: Part = 0.0


class Choke(Table, frozen=True, kw_only=True):
    """`[tier.choke]`: machines that slow down under too much work."""

    share: Part = 1.0
    at: Positive
    over: Span
    slower: Factor
    rest: Span
    below: Part
    most: Span
    price: Part = 0.0


class Tier(Table, frozen=True, kw_only=True):
    """`[[tier]]`: a tier of machines that serve together."""

    name: Name
    nodes: Several | None = None
    times: Positive | None = None
    work: Positive
    calls: Positive = 1.0
    cell_size: Several = 8
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)] = field(name="kind")
    choke: Choke | None = None
    handshake_rtts: Amount = 2.0
    handshake_work: Amount = 0.004
    conn_idle: Span = 30.0
    connect_timeout: Span = 0.25
    conn_cap: Positive = 600.0
    conn_tax: Part = 0.0


class Front(Table, frozen=True, kw_only=True):
    """`[front]`: the sidecars that clients call."""

    sidecars: Several = 1
    starts: Instant = 0.0
    notice: Instant = 2.0
    held: Held = "now"
    counted: Positive = 1.0


class Net(Table, frozen=True, kw_only=True):
    """`[net]`: the network."""

    same: Instant = 0.0002
    cross: Instant = 0.001
    client: Instant = 0.0007
    jitter: Part = 0.1
    window: Bytes = 262_144
    segment: Bytes = 65_536
    shuffle: Switch = False


class Traffic(Table, frozen=True, kw_only=True):
    """`[traffic]`: how many requests come, and when."""

    rate: Positive | None = None
    load: Positive | None = None
    shape: Shape = "steady"
    swing: Part = 0.3
    humps: Several = 3
    points: Annotated[tuple[tuple[_Part, _Amount], ...], Meta(min_length=1)] | None = None
    burst_cv: Amount = 0.0
    burst: Span = 0.1


class Clients(Table, frozen=True, kw_only=True):
    """`[clients]`: what clients do with what they are answered."""

    retries: Count = 0
    try_share: Some = 1.0
    backoff: Backoff = "none"
    backoff_base: Instant = 0.1
    honour: Part = 1.0
    max_retry_after: Instant = 2.0
    impatient: Part = 0.0
    marks_retry: Switch = False
    connections: Count = 0


class Discovery(Table, frozen=True, kw_only=True):
    """`[discovery]`: the service that lists machines."""

    must_ask: Switch = True
    notice: Instant = 1.0
    silent_notice: Instant = 8.0
    add: Instant = 1.0
    period: Span = 0.5
    spread: Instant = 0.2
    lines_per_s: Positive | None = None
    capacity: Positive | None = None
    call_lines: Amount = 30.0
    timeout: Span = 2.0
    watch_turns: Switch = False


class Rules(Table, frozen=True, kw_only=True):
    """`[rules]`: the platform's contract with sidecars."""

    grace: Instant = 0.02
    drain_grace: Instant = 2.5
    ask_within: Span = 10.0
    told_within: Span = 6.0
    cold_from: Some = 0.13
    cold: Span = 24.0
    fall_multiple: Positive = 2.5
    fall_for: Span = 1.0


class Limits(Table, frozen=True, kw_only=True):
    """`[limits]`: the bounds of one sidecar."""

    max_attempts: Several = 5
    max_retry_after: Instant = 2.0
    retry_after: Switch = True
    cancel: Switch = True
    second_copies: Switch = True
    max_open: Several = 20_000
    sockets: Sockets = 1024
    memory_mb: Several = 192


class Goal(Table, frozen=True, kw_only=True):
    """`[goal]`: how the figure of a run is made."""

    whole: Part = 0.6
    worst_window: Part = 0.2
    worst_class: Part = 0.2
    waste: Part = 0.04
    late_fail: Part = 0.031


class Check(Table, frozen=True, kw_only=True):
    """`[check]`: what a live run is held to."""

    held_half: _Factor | None = None
    held_most: _Factor | None = None
    held_all: _Factor | None = None
    failed_each: _Amount | None = None
    asked_most: _Positive | None = None
    after: _Instant = 0.0
    service: _Part | None = None


class Event(Table, frozen=True, kw_only=True):
    """`[[event]]`: a fault or a change; `event_forms` tells which keys go with which kind.

    What is None was not given.
    """

    kind: EventKind
    name: Name | None = None
    at: Instant
    length: Instant | None = None
    size: Signed | None = None
    extra: Instant | None = None
    tier: Name | None = None
    part: Some | None = None
    count: Several | None = None
    nodes: Annotated[tuple[str, ...], Meta(min_length=1)] | None = None
    sidecars: Annotated[tuple[str, ...], Meta(min_length=1)] | None = None
    callers: Count | None = None
    one_way: Switch | None = None
    replaced: Switch | None = None
    same_address: Part | None = None
    lead: Instant | None = None
    gap: Instant | None = None
    step: Instant | None = None
    spread: Instant | None = None
    every: Span | None = None
    times: Several | None = None
    anew: Switch | None = None


class Scenario(Table, frozen=True, kw_only=True):
    """All tables of a scenario."""

    title: Text
    what: Text
    extends: Name | None = None
    without: tuple[str, ...] = ()
    length: Span = 60.0
    tail: Instant = 6.0
    epoch: Annotated[float, Meta(ge=0.0, le=1e10)] = 1_733_900_000.0
    passes_deadline: Switch = True
    sidecar_start: Instant = (0.35, 0.6)
    zones: Annotated[tuple[Name, ...], Meta(min_length=1)] = ("room",)
    classes: Annotated[tuple[Class, ...], Meta(min_length=1)] = field(name="class")
    tiers: Annotated[tuple[Tier, ...], Meta(min_length=1)] = field(name="tier")
    front: Front = Front()
    net: Net = Net()
    traffic: Traffic
    clients: Clients = Clients()
    discovery: Discovery = Discovery()
    rules: Rules = Rules()
    limits: Limits = Limits()
    goal: Goal = Goal()
    check: Check = Check()
    events: tuple[Event, ...] = field(name="event", default=())
