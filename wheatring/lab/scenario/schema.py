"""The schema of scenario files: types and bounds. `docs/operate/lab.md` gives each key's unit and meaning.

Times are seconds, amounts of work seconds on a standard core, shares fractions of 1. A number may be a range
`(low, high)` from which a value is drawn uniformly; a word or a switch may be a list of choices. A key that
the plan has under the same name has the plan's default. `checks.py` checks the constraints between keys.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, field

Name = Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,39}$")]
Text = Annotated[str, Meta(min_length=1, max_length=400)]

_NonNegative = Annotated[float, Meta(ge=0.0, le=1e9)]
_Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
_Share = Annotated[float, Meta(ge=0.0, le=1.0)]
_PositiveShare = Annotated[float, Meta(gt=0.0, le=1.0)]
_Instant = Annotated[float, Meta(ge=0.0, le=86_400.0)]
_Duration = Annotated[float, Meta(gt=0.0, le=86_400.0)]
_Factor = Annotated[float, Meta(ge=1.0, le=1e9)]
_Signed = Annotated[float, Meta(ge=-1e9, le=1e9)]
_NonNegativeInteger = Annotated[int, Meta(ge=0, le=1_000_000)]
_PositiveInteger = Annotated[int, Meta(ge=1, le=1_000_000)]
_Sockets = Annotated[int, Meta(ge=64, le=1_000_000)]
_Bytes = Annotated[int, Meta(ge=1, le=1 << 30)]

# msgspec 0.23 corrupts memory on a bounded number in a union with a tuple of fixed length, so a range is a
# tuple of variable length whose length is bounded to two.
_RANGE_LENGTH = Meta(min_length=2, max_length=2)

NonNegative = _NonNegative | Annotated[tuple[_NonNegative, ...], _RANGE_LENGTH]
Positive = _Positive | Annotated[tuple[_Positive, ...], _RANGE_LENGTH]
Share = _Share | Annotated[tuple[_Share, ...], _RANGE_LENGTH]
PositiveShare = _PositiveShare | Annotated[tuple[_PositiveShare, ...], _RANGE_LENGTH]
Instant = _Instant | Annotated[tuple[_Instant, ...], _RANGE_LENGTH]
Duration = _Duration | Annotated[tuple[_Duration, ...], _RANGE_LENGTH]
Factor = _Factor | Annotated[tuple[_Factor, ...], _RANGE_LENGTH]
Signed = _Signed | Annotated[tuple[_Signed, ...], _RANGE_LENGTH]
NonNegativeInteger = _NonNegativeInteger | Annotated[tuple[_NonNegativeInteger, ...], _RANGE_LENGTH]
PositiveInteger = _PositiveInteger | Annotated[tuple[_PositiveInteger, ...], _RANGE_LENGTH]
Sockets = _Sockets | Annotated[tuple[_Sockets, ...], _RANGE_LENGTH]
Bytes = _Bytes | Annotated[tuple[_Bytes, ...], _RANGE_LENGTH]
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
    # expanded to several events of the plan
    "release", "restart", "rolling_sidecars", "all_sidecars",
]  # fmt: skip


class Table(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all tables of a scenario: immutable; unknown keys are errors."""


class Class(Table, frozen=True, kw_only=True):
    """`[[class]]`: a class of requests."""

    name: Name
    share: Positive
    work: Positive
    dist: Dist = "lognormal"
    cv: NonNegative = 1.5
    attempt_noise: NonNegative = 0.0
    aim: Duration = 2.5
    deadline: Duration = 6.0
    worth: Positive = 1.0
    late_worth: Share = 0.0
    effect: Effect = "safe"
    window: Duration = 10.0


class Kind(Table, frozen=True, kw_only=True):
    """`[[tier.kind]]`: a kind of machine."""

    name: Name
    share: Positive = 1.0
    cores: PositiveInteger = 2
    speed: Positive = 1.0
    speed_cv: Share = 0.0
    slots_per_core: Positive = 16.0
    queue_per_core: NonNegative = 2.0
    thrash: NonNegative = 0.0
    knee_per_core: Positive = 1e9
    cold_from: PositiveShare = 1.0
    cold: Instant = 0.0
    pause_every: Instant = 0.0
    pause: Instant = 0.0
    pause_grow: NonNegative = 0.0
    error_rate: Share = 0.0


class Choke(Table, frozen=True, kw_only=True):
    """`[tier.choke]`: machines that become slow when they are overloaded."""

    share: Share = 1.0
    at: Positive
    over: Duration
    slower: Factor
    rest: Duration
    below: Share
    most: Duration
    price: Share = 0.0


class Tier(Table, frozen=True, kw_only=True):
    """`[[tier]]`: a tier of machines."""

    name: Name
    nodes: PositiveInteger | None = None
    times: Positive | None = None
    work: Positive
    calls: Positive = 1.0
    cell_size: PositiveInteger = 8
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)] = field(name="kind")
    choke: Choke | None = None
    handshake_rtts: NonNegative = 2.0
    handshake_work: NonNegative = 0.004
    conn_idle: Duration = 30.0
    connect_timeout: Duration = 0.25
    conn_cap: Positive = 600.0
    conn_tax: Share = 0.0


class Front(Table, frozen=True, kw_only=True):
    """`[front]`: the front's sidecars, to which clients send requests."""

    sidecars: PositiveInteger = 1
    starts: Instant = 0.0
    notice: Instant = 2.0
    held: Held = "now"
    counted: Positive = 1.0


class Net(Table, frozen=True, kw_only=True):
    """`[net]`: the network."""

    same: Instant = 0.0002
    cross: Instant = 0.001
    client: Instant = 0.0007
    jitter: Share = 0.1
    window: Bytes = 262_144
    segment: Bytes = 65_536
    shuffle: Switch = False


class Traffic(Table, frozen=True, kw_only=True):
    """`[traffic]`: the rate of arrivals over the day."""

    rate: Positive | None = None
    load: Positive | None = None
    shape: Shape = "steady"
    swing: Share = 0.3
    humps: PositiveInteger = 3
    points: Annotated[tuple[tuple[_Share, _NonNegative], ...], Meta(min_length=1)] | None = None
    burst_cv: NonNegative = 0.0
    burst: Duration = 0.1


class Clients(Table, frozen=True, kw_only=True):
    """`[clients]`: how clients retry, back off and give up."""

    retries: NonNegativeInteger = 0
    try_share: PositiveShare = 1.0
    backoff: Backoff = "none"
    backoff_base: Instant = 0.1
    honour: Share = 1.0
    max_retry_after: Instant = 2.0
    impatient: Share = 0.0
    marks_retry: Switch = False
    connections: NonNegativeInteger = 0


class Discovery(Table, frozen=True, kw_only=True):
    """`[discovery]`: the discovery service."""

    must_ask: Switch = True
    notice: Instant = 1.0
    silent_notice: Instant = 8.0
    add: Instant = 1.0
    period: Duration = 0.5
    spread: Instant = 0.2
    lines_per_s: Positive | None = None
    capacity: Positive | None = None
    call_lines: NonNegative = 30.0
    timeout: Duration = 2.0
    watch_turns: Switch = False


class Rules(Table, frozen=True, kw_only=True):
    """`[rules]`: the platform's contract with sidecars."""

    grace: Instant = 0.02
    drain_grace: Instant = 2.5
    ask_within: Duration = 10.0
    told_within: Duration = 6.0
    cold_from: PositiveShare = 0.13
    cold: Duration = 24.0
    fall_multiple: Positive = 2.5
    fall_for: Duration = 1.0


class Limits(Table, frozen=True, kw_only=True):
    """`[limits]`: the limits of one sidecar."""

    max_attempts: PositiveInteger = 5
    max_retry_after: Instant = 2.0
    retry_after: Switch = True
    cancel: Switch = True
    second_copies: Switch = True
    max_open: PositiveInteger = 20_000
    sockets: Sockets = 1024
    memory_mb: PositiveInteger = 192


class Goal(Table, frozen=True, kw_only=True):
    """`[goal]`: the weights of the goal figure of a run."""

    whole: Share = 0.6
    worst_window: Share = 0.2
    worst_class: Share = 0.2
    waste: Share = 0.04
    late_fail: Share = 0.031


class Check(Table, frozen=True, kw_only=True):
    """`[check]`: the conditions that a live run must meet."""

    held_half: _Factor | None = None
    held_most: _Factor | None = None
    held_all: _Factor | None = None
    failed_each: _NonNegative | None = None
    asked_most: _Positive | None = None
    after: _Instant = 0.0
    service: _Share | None = None


class Event(Table, frozen=True, kw_only=True):
    """`[[event]]`: a fault or another event. `event_forms` lists the keys of each kind.

    Keys that the scenario does not give are None.
    """

    kind: EventKind
    name: Name | None = None
    at: Instant
    length: Instant | None = None
    size: Signed | None = None
    extra: Instant | None = None
    tier: Name | None = None
    part: PositiveShare | None = None
    count: PositiveInteger | None = None
    nodes: Annotated[tuple[str, ...], Meta(min_length=1)] | None = None
    sidecars: Annotated[tuple[str, ...], Meta(min_length=1)] | None = None
    callers: NonNegativeInteger | None = None
    one_way: Switch | None = None
    replaced: Switch | None = None
    same_address: Share | None = None
    lead: Instant | None = None
    gap: Instant | None = None
    step: Instant | None = None
    spread: Instant | None = None
    every: Duration | None = None
    times: PositiveInteger | None = None
    anew: Switch | None = None


class Scenario(Table, frozen=True, kw_only=True):
    """All tables of a scenario."""

    title: Text
    what: Text
    extends: Name | None = None
    without: tuple[str, ...] = ()
    length: Duration = 60.0
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
