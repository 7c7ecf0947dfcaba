"""Events: what a balancer is notified of. Plain, not frozen: one or more is made for each request.

Durations are seconds (float). Ids of requests and endpoints are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheatring.balancer.endpoint_list import View
from wheatring.balancer.outcomes import LoadReport, Outcome


@dataclass(slots=True)
class NewRequest:
    """A request has come.

    Attributes
    ----------
    time_remaining : float
        Seconds until the client gives this try up.
    work_hint : float or None
        Expected work in seconds on a standard core, rough.
    is_client_retry : bool
        The client has marked it as a repeat.
    """

    request: int
    class_name: str
    time_remaining: float
    tenant: str | None = None
    key: int | None = None
    work_hint: float | None = None
    is_client_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class Committed:
    """A request can't be sent again, for one of A6's two reasons.

    Its answer has begun to pass on, or a part of its body is no longer kept.
    """

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes
    ----------
    attempt : int
        Its number in its request, from 0, in the order of the sends.
    latency : float
        Seconds since the send.
    is_request_over : bool
        The balancer owes no answer to the request any more.
    """

    request: int
    attempt: int
    outcome: Outcome
    endpoint: str
    latency: float
    is_request_over: bool = False
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
    """A health check has ended; its latency is in seconds."""

    endpoint: str
    outcome: Outcome
    latency: float
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """Another balancer has sent this one a message."""

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
