"""Settings of a balancer: request classes, limits and the deployment's contract.

All times and durations are in seconds (float). Values are validated on construction; a ValueError names the
invalid field (`wheatring.daemon.config` translates field names to settings keys).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf, isfinite

MAX_SHOWN_NAME_CHARACTERS = 40  # Leaves room for the key after the name in a log line.


class Idempotency(Enum):
    """Effect of executing a request twice."""

    IDEMPOTENT = "safe"  # none: it may be repeated at any endpoint
    KEYED = "keyed"  # none, at endpoints in the repeat scope and within the repeat window
    NOT_IDEMPOTENT = "unsafe"  # harmful: it may be repeated only if it was certainly not executed


class RepeatScope(Enum):
    """Endpoints that drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _require(is_valid: bool, name: str, rule: str) -> None:
    if not is_valid:
        raise ValueError(f"{name}: {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests, as configured by the operator.

    Attributes
    ----------
    latency_target : float
        Seconds within which an answer has its full value.
    deadline : float
        Seconds that a client waits, including its retries.
    late_value : float
        Fraction of the value that an answer has after the target.
    latency_target_stretch : float
        The target is extended by this multiple of the request's own work.
    repeat_scope, repeat_window : RepeatScope and float
        For keyed requests: the endpoints that drop repeats, and for how many seconds since the send of the
        first attempt that may have been executed.
    is_streaming : bool
        The response is streamed.
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
        """Validate the values. Raises ValueError, which names the invalid field."""
        name = f"class {self.name[:MAX_SHOWN_NAME_CHARACTERS]}"
        _require(self.latency_target > 0, f"{name}: latency_target", "must be above 0")
        _require(
            self.deadline >= self.latency_target, f"{name}: deadline", "must not be below the latency target"
        )
        _require(self.value >= 0, f"{name}: value", "must not be negative")
        _require(self.repeat_window >= 0, f"{name}: repeat_window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant: its share, and its quota in requests per second over all balancers."""

    name: str
    quota_per_second: float = inf
    share: float = 1.0

    def __post_init__(self) -> None:
        """Validate the values. Raises ValueError, which names the invalid field."""
        name = f"tenant {self.name[:MAX_SHOWN_NAME_CHARACTERS]}: quota_per_second"
        _require(self.quota_per_second >= 0, name, "must not be negative")


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the deployment on what a balancer may do.

    Attributes
    ----------
    max_attempts : int
        Attempts per request, including the first one.
    connect_timeout : float
        Seconds after which an attempt to connect fails.
    idle_timeout : float
        Seconds after which idle connections close.
    streams_per_connection : int
        Concurrent attempts on one connection.
    max_retry_after, sends_retry_after : float and bool
        Longest retry delay that clients follow, in seconds, and whether rejections specify a delay.
    may_cancel, may_hedge, may_check_health, may_message_peers : bool
        Whether a balancer may cancel attempts, hedge requests, send health checks, and send messages to other
        balancers.
    max_open_requests : float
        Requests that may be open at this balancer; excess ones are rejected before they reach it.
    cpu_per_second, cpu_per_request : float
        CPU seconds per second for all decisions, and per request including its outcomes. The defaults mean no
        limit.
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
        """Validate the values. Raises ValueError, which names the invalid field."""
        _require(self.max_attempts >= 1, "limits.max_attempts", "must be 1 or more")
        _require(self.streams_per_connection >= 1, "limits.streams_per_connection", "must be 1 or more")


@dataclass(frozen=True, slots=True)
class Contract:
    """Parameters of the deployment's four rules for balancers.

    Attributes
    ----------
    answer_grace : float
        Seconds after the client's deadline within which a final answer still counts.
    drain_grace : float
        Seconds for which attempts may still be sent to a draining endpoint.
    subscribe_within : float
        Seconds without a subscription after which a balancer counts as notified of all changes.
    initial_capacity, warm_up : float
        Minimum fraction of its capacity that an endpoint starts with, and seconds until it has all of it.
    overload_multiple, overload_time : float
        An endpoint that warms up fails once it is sent more than this multiple of its current capacity for
        this many seconds.
    """

    answer_grace: float = 0.0
    drain_grace: float = 0.0
    subscribe_within: float = inf
    initial_capacity: float = 1.0
    warm_up: float = 0.0
    overload_multiple: float = inf
    overload_time: float = inf

    def __post_init__(self) -> None:
        """Validate the values. Raises ValueError, which names the invalid field."""
        _require(0 < self.initial_capacity <= 1, "contract.cold_from", "must be above 0 and at most 1")
        _require(self.warm_up >= 0, "contract.cold", "must not be negative")
        _require(self.overload_multiple > 0, "contract.fall_multiple", "must be above 0")


@dataclass(frozen=True, slots=True)
class Goal:
    """Weights of the parts of the overall result: all requests, and the worst window, class and tenant."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one balancer.

    Attributes
    ----------
    balancer_count, balancer_index : int
        Number of balancers that send to this tier, and the index of this one, from 0.
    tier, tiers : int and tuple of str
        Index of the tier that this balancer sends to, from 0 at the front, and the names of all tiers.
    over_quota_value : float
        Value of a request above its tenant's quota, as a fraction of its class's value.
    value_per_work : bool
        The value of a class is per unit of work instead of per request.
    must_subscribe : bool
        Only balancers that have subscribed are notified of changes to the endpoint list.
    propagates_deadline : bool
        A request carries the remaining time of the request that caused it, not its class's whole deadline.
    key_affinity : bool
        An endpoint that recently served a key serves it again with less work.
    has_ratings : bool
        Endpoints are rated by their capacity.
    report_fields, report_source : tuple of str and str
        Fields of the endpoints' load reports, and where these are sent: `answers`, `probe` or `none`.
    tick : float
        Minimum seconds between two batches of events.
    clients_mark_retries : bool
        Clients mark their retries.
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
        """Validate the values. Raises ValueError, which names the invalid field."""
        _require(len(self.classes) > 0, "classes", "must not be empty")
        names = {each.name for each in self.classes}
        _require(len(names) == len(self.classes), "classes: name", "must be unique")
        _require(self.balancer_count >= 1, "balancer_count", "must be 1 or more")
        _require(self.balancer_index >= 0, "balancer_index", "must not be negative")
        _require(self.tier >= 0, "tier", "must not be negative")
        _require(isfinite(self.tick) and self.tick >= 0, "tick", "must be finite and not negative")
