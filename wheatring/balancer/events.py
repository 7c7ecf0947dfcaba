"""Events that a balancer handles.

Durations are in seconds (float). Ids of requests and endpoints are opaque. The classes are not frozen: each
request creates one or more events, and frozen ones are slower to construct.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheatring.balancer.endpoint_list import View
from wheatring.balancer.outcomes import LoadReport, Outcome


@dataclass(slots=True)
class NewRequest:
    """A request has been received.

    Attributes
    ----------
    time_remaining : float
        Seconds until the client times out.
    work_hint : float or None
        Rough estimate of the work, in seconds on a standard core.
    is_client_retry : bool
        The client has marked the request as a retry.
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
    """A request can't be retried any more, for one of the two reasons in gRFC A6.

    The response has started to be forwarded, or part of the request body is no longer buffered.
    """

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes
    ----------
    attempt : int
        Index of the attempt within the request, from 0, in the order of the sends.
    latency : float
        Seconds since the send.
    is_request_over : bool
        The request needs no further answer from the balancer.
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
    """The client has disconnected or cancelled the request."""

    request: int


@dataclass(slots=True)
class TimerDue:
    """A timer has expired."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check has ended."""

    endpoint: str
    outcome: Outcome
    latency: float
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer has been received."""

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
