"""The vocabulary of the decision module: settings, events, actions and outcomes.

All times and durations are seconds (float), on one clock that only moves forward and starts anywhere.
Ids (of requests, endpoints, cells) are opaque. Nothing here decides anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import inf, isfinite
from typing import NamedTuple


class Idempotency(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"  # nothing: it may be repeated anywhere
    KEYED = "keyed"  # nothing, inside the group of endpoints and the window that drop repeats
    NOT_IDEMPOTENT = "unsafe"  # harm: it may be repeated only if it is known not to have run


class RepeatScope(Enum):
    """Which endpoints drop repeats of one keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How one attempt ended."""

    SERVED = "served"
    ERROR = "error"  # the endpoint answered with an error; it might have run
    REJECTED = "rejected"  # turned away unseen (queue full, or draining): it never ran
    TIMED_OUT = "timed_out"  # no answer in time; it might have run, or be running still
    CONNECT_FAILED = "connect_failed"  # no connection could be made in time: it never ran
    RESET = "reset"  # the connection broke while the attempt was out; it might have run
    CANCELLED = "cancelled"  # called off by this copy; it might have run
    NOT_SENT = "not_sent"  # the request was over, or out of time or attempts: it never ran

    @property
    def has_not_run(self) -> bool:
        """True where the outcome proves that the request had no effect."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class EndpointState(Enum):
    READY = "ready"
    DRAINING = "draining"  # finishing its work: send it nothing new
    GONE = "gone"


class ViewKind(Enum):
    """What a message of discovery holds."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list: who is missing is gone
    CACHED = "cached"  # the complete list as this copy last held it, possibly outdated
    FAILED = "failed"  # a call to discovery failed or the subscription broke; the old list stands


def _require(ok: bool, name: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"{name}: {rule}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request, as the operator describes it."""

    name: str
    latency_target: float  # an answer within this time earns the full worth
    deadline: float  # the time that a client waits, over all its tries
    value: float = 1.0
    late_value: float = 0.0  # part of the worth paid for an answer after the aim
    latency_target_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    repeat_scope: RepeatScope = RepeatScope.ALL  # keyed only
    repeat_window: float = (
        0.0  # keyed only: how long a repeat is dropped, from the first send that may have run
    )
    is_streaming: bool = False  # the answer comes as a stream

    def __post_init__(self) -> None:
        name = f"class {self.name[:40]}"  # the key has to stand in a line of a log
        _require(self.latency_target > 0, f"{name}: latency_target", "must be above 0")
        _require(self.deadline >= self.latency_target, f"{name}: deadline", "must not be below the aim")
        _require(self.value >= 0, f"{name}: value", "must not be negative")
        _require(self.repeat_window >= 0, f"{name}: repeat_window", "must not be negative")


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant, and what is its own."""

    name: str
    quota_per_second: float = inf  # requests per second within its share, over all copies together
    share: float = 1.0

    def __post_init__(self) -> None:
        _require(
            self.quota_per_second >= 0, f"tenant {self.name[:40]}: quota_per_second", "must not be negative"
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment allows a copy to do."""

    max_attempts: int = 5  # attempts for one request, the first included
    connect_timeout: float = 1.0  # a connection not made in this time is CONNECT_FAILED
    idle_timeout: float = inf  # idle connections close after this time
    streams_per_connection: int = 1  # attempts that share one connection
    max_retry_after: float = 0.0  # the longest advice to stay away that clients follow
    sends_retry_after: bool = False  # clients are told that advice
    may_cancel: bool = False
    may_hedge: bool = False
    may_check_health: bool = False
    may_message_peers: bool = False
    max_open_requests: float = inf  # requests that a copy may hold; more are turned away before it
    cpu_per_second: float = inf  # CPU seconds per second for decisions
    cpu_per_request: float = 0.0  # CPU seconds for one request and its outcomes; 0: no such limit

    def __post_init__(self) -> None:
        _require(self.max_attempts >= 1, "limits.max_attempts", "must be 1 or more")
        _require(self.streams_per_connection >= 1, "limits.streams_per_connection", "must be 1 or more")


@dataclass(frozen=True, slots=True)
class Contract:
    """The figures of the four rules."""

    answer_grace: float = 0.0  # how long after the client's deadline a final answer still counts
    drain_grace: float = 0.0  # how long sends to a draining endpoint may go on
    subscribe_within: float = inf  # unsubscribed and silent for longer, a copy counts as told
    initial_capacity: float = 1.0  # an endpoint starts at this part of its capacity, or above
    warm_up: float = 0.0  # and is warm after this time at the latest
    overload_multiple: float = inf  # sent more than this multiple of its present capacity
    overload_time: float = inf  # for this time, a cold endpoint falls over

    def __post_init__(self) -> None:
        _require(0 < self.initial_capacity <= 1, "contract.cold_from", "must be above 0 and at most 1")
        _require(self.warm_up >= 0, "contract.cold", "must not be negative")
        _require(self.overload_multiple > 0, "contract.fall_multiple", "must be above 0")


@dataclass(frozen=True, slots=True)
class Goal:
    """How the operator weighs the parts of the result."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a copy is told at its start."""

    classes: tuple[RequestClass, ...]
    balancer_count: int = 1  # how many copies of the balancer send into this tier
    balancer_index: int = 0  # which of them this one is, from 0
    tier: int = 0  # the tier that this copy sends into, from 0 at the front
    tiers: tuple[str, ...] = ("servers",)
    zone: str = ""
    zones: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    over_quota_value: float = 1.0  # worth of a request past its tenant's quota, as a part of its class's
    value_per_work: bool = False  # worth is reckoned for each unit of work instead of each request
    must_subscribe: bool = False  # changes of the list come only to copies that have asked
    propagates_deadline: bool = True  # a call carries its caller's time left, not its class's whole deadline
    key_affinity: bool = False  # an endpoint that lately served a key serves it with less work
    has_ratings: bool = False  # endpoint ratings say something about their size
    report_fields: tuple[str, ...] = ()
    report_source: str = "none"  # "answers", "probe" or "none"
    tick: float = 0.001  # the least time between two batches of events
    clients_mark_retries: bool = False  # clients mark their repeats
    limits: Limits = field(default_factory=Limits)
    contract: Contract = field(default_factory=Contract)
    goal: Goal = field(default_factory=Goal)
    prices: Mapping[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one is needed")
        names = {cls.name for cls in self.classes}
        _require(len(names) == len(self.classes), "classes: name", "must not stand there twice")
        _require(self.balancer_count >= 1, "balancer_count", "must be 1 or more")
        _require(self.balancer_index >= 0, "balancer_index", "must not be negative")
        _require(self.tier >= 0, "tier", "must not be negative")
        _require(isfinite(self.tick) and self.tick >= 0, "tick", "must be a time")


@dataclass(slots=True)
class EndpointEntry:
    """One line of discovery's list."""

    endpoint: str
    state: EndpointState = EndpointState.READY
    zone: str = ""
    machine_type: str = ""
    cell: int = 0  # endpoints of one cell share what they know of keys
    rating: float = 1.0  # relative size, where the deployment rates its endpoints
    started_at: float = 0.0  # when it last started; 0 or less: long ago
    is_reinstated: bool = False  # its operators have put it back, and look for calls to it


@dataclass(slots=True)
class LoadReport:
    """What an endpoint says of its load; a value that it does not report is None."""

    in_flight: float | None = None  # requests that it holds
    queue: float | None = None  # requests that wait
    utilization: float | None = None  # part of its CPU in use
    latency: float | None = None  # recent service time without waiting
    rate: float | None = None  # requests served per second
    error_rate: float | None = None  # errors per second


# Events (plain, not frozen: one or more is made for each request)


@dataclass(slots=True)
class View:
    """News of discovery."""

    kind: ViewKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0


@dataclass(slots=True)
class NewRequest:
    """A request has come."""

    request: int
    class_name: str
    time_remaining: float  # until the client gives this try up
    tenant: str | None = None
    key: int | None = None
    work_hint: float | None = None  # expected work on a standard core, rough
    is_client_retry: bool = False  # marked by the client as a repeat
    is_write: bool = False


@dataclass(slots=True)
class Committed:
    """A request can't be sent again, for one of A6's two reasons: its answer has begun to pass on, or a part
    of its body is held no more.
    """

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request: int
    attempt: int  # from 0, in the order of their sends
    outcome: Outcome
    endpoint: str
    latency: float  # since the send
    is_request_over: bool = False  # the request is over: the copy owes no answer any more
    report: LoadReport | None = None


@dataclass(slots=True)
class RequestAbandoned:
    """A client waits no longer."""

    request: int


@dataclass(slots=True)
class TimerDue:
    """A timer that was set has come due."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """What came of a probe."""

    endpoint: str
    outcome: Outcome
    latency: float
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """Another copy has sent this one a message."""

    sender: int
    data: bytes


Event = (
    View
    | NewRequest
    | Committed
    | AttemptEnded
    | RequestAbandoned
    | TimerDue
    | HealthCheckEnded
    | PeerMessage
)


# Actions


class Candidate(NamedTuple):
    """One that was drawn for a pick, as the copy saw it then."""

    endpoint: str
    in_flight: int  # this copy's own calls
    reported: float | None  # requests that it last said it held


@dataclass(slots=True)
class Send:
    """Start an attempt."""

    request: int
    endpoint: str
    timeout: float
    candidates: tuple[Candidate, ...] = ()  # for records: nothing is to be done with it
    start_within: float = inf  # past that it must not be begun, whatever it still waits for: CONNECT_FAILED


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: not done, trying again is harmless."""

    request: int
    retry_after: float = 0.0  # advice to stay away for so long; 0: none


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing is promised about its effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerDue."""

    token: int
    delay: float


@dataclass(slots=True)
class Subscribe:
    """Ask discovery for changes from now on, or stop asking."""

    on: bool = True


@dataclass(slots=True)
class FetchEndpointList:
    """Ask discovery once for the complete list."""


@dataclass(slots=True)
class CheckHealth:
    """Look how an endpoint does."""

    endpoint: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one copy or all."""

    peer: int | None  # None: every peer
    data: bytes


@dataclass(slots=True)
class Log:
    """Leave a line in the log."""

    text: str


Action = (
    Send
    | Cancel
    | Reject
    | Fail
    | SetTimer
    | Subscribe
    | FetchEndpointList
    | CheckHealth
    | CloseIdle
    | SendPeerMessage
    | Log
)
