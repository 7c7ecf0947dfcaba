"""Settings of a balancer: request classes, limits and the deployment's rules.

All times and durations are seconds (float). Values are checked when a setting is made; a ValueError names the
field at fault (`wheatring.daemon.config` translates it).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf, isfinite

SHOWN_CHARACTERS = 40  # of a name in an error: the key has to stand in a line of a log


class Idempotency(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"  # nothing: it may be repeated anywhere
    KEYED = "keyed"  # nothing, inside the scope of endpoints and the window that drop repeats
    NOT_IDEMPOTENT = "unsafe"  # harm: it may be repeated only if it is known not to have run


class RepeatScope(Enum):
    """Which endpoints drop repeats of one keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(is_right: bool, name: str, rule: str) -> None:
    if not is_right:
        raise ValueError(f"{name}: {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, as the operator describes it.

    Attributes
    ----------
    latency_target : float
        Seconds within which an answer earns the full value.
    deadline : float
        Seconds that a client waits, over all its tries.
    late_value : float
        Part of the value that is earned by an answer after the target.
    latency_target_stretch : float
        The target grows by this multiple of the request's own work.
    repeat_scope, repeat_window : RepeatScope and float
        Of keyed requests: which endpoints drop a repeat, and for how many seconds from the first send that
        may have run.
    is_streaming : bool
        The answer comes as a stream.
    """

    name: str
    latency_target: float
    deadline: float
    value: float = 1.0
    late_value: float = 0.0
    latency_target_stretch: float = 0.0
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    repeat_scope: RepeatScope = RepeatScope.ALL
    repeat_window: float = 0.0
    is_streaming: bool = False

    def __post_init__(self) -> None:
        """Check the values; a ValueError names the field at fault."""
        name = f"class {self.name[:SHOWN_CHARACTERS]}"
        _require(self.latency_target > 0, f"{name}: latency_target", "must be above 0")
        _require(self.deadline >= self.latency_target, f"{name}: deadline", "must not be below the aim")
        _require(self.value >= 0, f"{name}: value", "must not be negative")
        _require(self.repeat_window >= 0, f"{name}: repeat_window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant: its share, and the requests a second within it, over all balancers together."""

    name: str
    quota_per_second: float = inf
    share: float = 1.0

    def __post_init__(self) -> None:
        """Check the values; a ValueError names the field at fault."""
        name = f"tenant {self.name[:SHOWN_CHARACTERS]}: quota_per_second"
        _require(self.quota_per_second >= 0, name, "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows a balancer to do.

    Attributes
    ----------
    max_attempts : int
        Attempts for one request, the first included.
    connect_timeout : float
        Seconds after which a connection that is not made counts as failed.
    idle_timeout : float
        Seconds after which idle connections close.
    streams_per_connection : int
        Attempts that share one connection.
    max_retry_after, sends_retry_after : float and bool
        The longest advice to stay away that clients follow, in seconds, and whether they are given any.
    may_cancel, may_hedge, may_check_health, may_message_peers : bool
        Whether attempts may be cancelled, requests be sent twice at once, endpoints be checked, and other
        balancers be sent messages.
    max_open_requests : float
        Requests that may be open here; more are rejected before they get here.
    cpu_per_second, cpu_per_request : float
        CPU seconds for decisions, and for one request with its outcomes; 0: no such limit.
    """

    max_attempts: int = 5
    connect_timeout: float = 1.0
    idle_timeout: float = inf
    streams_per_connection: int = 1
    max_retry_after: float = 0.0
    sends_retry_after: bool = False
    may_cancel: bool = False
    may_hedge: bool = False
    may_check_health: bool = False
    may_message_peers: bool = False
    max_open_requests: float = inf
    cpu_per_second: float = inf
    cpu_per_request: float = 0.0

    def __post_init__(self) -> None:
        """Check the values; a ValueError names the field at fault."""
        _require(self.max_attempts >= 1, "limits.max_attempts", "must be 1 or more")
        _require(self.streams_per_connection >= 1, "limits.streams_per_connection", "must be 1 or more")


@dataclass(frozen=True, slots=True)
class Contract:
    """The figures of the deployment's four rules.

    Attributes
    ----------
    answer_grace : float
        Seconds after the client's deadline in which a final answer still counts.
    drain_grace : float
        Seconds for which sends to a draining endpoint may go on.
    subscribe_within : float
        Seconds without a subscription after which a balancer counts as notified of whatever has changed.
    initial_capacity, warm_up : float
        Least part of its capacity that an endpoint starts with, and seconds until it has all of it.
    overload_multiple, overload_time : float
        An endpoint that warms up fails once it is sent more than this multiple of its present capacity for so
        many seconds.
    """

    answer_grace: float = 0.0
    drain_grace: float = 0.0
    subscribe_within: float = inf
    initial_capacity: float = 1.0
    warm_up: float = 0.0
    overload_multiple: float = inf
    overload_time: float = inf

    def __post_init__(self) -> None:
        """Check the values; a ValueError names the field at fault."""
        _require(0 < self.initial_capacity <= 1, "contract.cold_from", "must be above 0 and at most 1")
        _require(self.warm_up >= 0, "contract.cold", "must not be negative")
        _require(self.overload_multiple > 0, "contract.fall_multiple", "must be above 0")


@dataclass(frozen=True, slots=True)
class Goal:
    """How the operator weighs the parts of the result: all of it, and its worst window, class and tenant."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is given at its start.

    Attributes
    ----------
    balancer_count, balancer_index : int
        How many balancers send into this tier, and which of them this one is, from 0.
    tier, tiers : int and tuple of str
        The tier that this balancer sends into, from 0 at the front, and the names of all.
    over_quota_value : float
        Value of a request past its tenant's quota, as a part of its class's.
    value_per_work : bool
        The value is counted for each unit of work instead of each request.
    must_subscribe : bool
        Changes of the endpoint list come only to balancers that have subscribed.
    propagates_deadline : bool
        A call carries its caller's remaining time, not its class's whole deadline.
    key_affinity : bool
        An endpoint that lately served a key serves it again with less work.
    has_ratings : bool
        Endpoints' ratings say something about their size.
    report_fields, report_source : tuple of str and str
        What endpoints report of their load, and by what: `answers`, `probe` or `none`.
    tick : float
        Least seconds between two batches of events.
    clients_mark_retries : bool
        Clients mark their repeats.
    """

    classes: tuple[RequestClass, ...]
    balancer_count: int = 1
    balancer_index: int = 0
    tier: int = 0
    tiers: tuple[str, ...] = ("servers",)
    zone: str = ""
    zones: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_quota_value: float = 1.0
    value_per_work: bool = False
    must_subscribe: bool = False
    propagates_deadline: bool = True
    key_affinity: bool = False
    has_ratings: bool = False
    report_fields: tuple[str, ...] = ()
    report_source: str = "none"
    tick: float = 0.001
    clients_mark_retries: bool = False
    limits: Limits = field(default_factory=Limits)
    contract: Contract = field(default_factory=Contract)
    goal: Goal = field(default_factory=Goal)
    prices: Mapping[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Check the values; a ValueError names the field at fault."""
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        names = {each.name for each in self.classes}
        _require(len(names) == len(self.classes), "classes: name", "must not stand there twice")
        _require(self.balancer_count >= 1, "balancer_count", "must be 1 or more")
        _require(self.balancer_index >= 0, "balancer_index", "must not be negative")
        _require(self.tier >= 0, "tier", "must not be negative")
        _require(isfinite(self.tick) and self.tick >= 0, "tick", "must be a time")
