"""Actions: what a balancer asks of whoever hosts it. Durations are seconds (float)."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import NamedTuple


class Candidate(NamedTuple):
    """An endpoint that was drawn for an attempt, as the balancer saw it then.

    `in_flight` counts the balancer's own attempts; `reported` is what the endpoint last reported.
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
        Seconds from now after which the attempt is given up.
    candidates : tuple of Candidate
        What the endpoint was chosen from, for records: nothing is to be done with it.
    start_within : float
        Seconds from now after which the attempt must not be started, whatever it still waits for: it counts
        as CONNECT_FAILED then.
    """

    request: int
    endpoint: str
    timeout: float
    candidates: tuple[Candidate, ...] = ()
    start_within: float = inf


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Reject:
    """Final answer: not done, trying again is harmless.

    `retry_after` is the advice to stay away for so many seconds; 0: none.
    """

    request: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing is promised about its effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerDue after so many seconds."""

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
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one balancer or, with None, to all."""

    peer: int | None
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
