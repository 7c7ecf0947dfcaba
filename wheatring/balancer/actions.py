"""Actions that a balancer returns to its host. Durations are in seconds (float)."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import NamedTuple


class Candidate(NamedTuple):
    """An endpoint that was considered for an attempt, with its load at that time.

    `in_flight` counts this balancer's own attempts; `reported` is the endpoint's last report of its requests
    in flight.
    """

    endpoint: str
    in_flight: int
    reported: float | None


@dataclass(slots=True)
class Send:
    """Start an attempt.

    Attributes
    ----------
    timeout : float
        Seconds from now after which the attempt times out.
    candidates : tuple of Candidate
        The endpoints that were considered. For records only; the host ignores it.
    start_within : float
        Seconds from now after which the attempt must not be started, for example if it had to wait for a
        connection; it ends as CONNECT_FAILED then.
    """

    request: int
    endpoint: str
    timeout: float
    candidates: tuple[Candidate, ...] = ()
    start_within: float = inf


@dataclass(slots=True)
class Cancel:
    """Cancel one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: the request was rejected, and the client may retry it safely.

    `retry_after` is the number of seconds that the client should wait before a retry; 0 if unspecified.
    """

    request: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed, and may or may not have been executed."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Request a TimerDue event after `delay` seconds."""

    token: int
    delay: float


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list, or unsubscribe."""

    on: bool = True


@dataclass(slots=True)
class FetchEndpointList:
    """Fetch the complete endpoint list once from discovery."""


@dataclass(slots=True)
class CheckHealth:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one balancer, or to all if `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

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
