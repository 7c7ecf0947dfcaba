"""The errors of a sidecar, typed by what is known of the request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wheatring.balancer.interface import Outcome


class ExecutionState(Enum):
    """Whether an endpoint may have run a request, which decides whether it may be sent again."""

    NOT_RUN = "not run"  # it never reached an endpoint's work, and never will
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


@dataclass(slots=True)
class AttemptFailedError(Exception):
    """One attempt at an endpoint has ended without a complete response."""

    execution: ExecutionState
    outcome: Outcome  # as the balancer counts it
    reason: str


@dataclass(slots=True)
class RequestRejectedError(Exception):
    """The request ends with a response of the sidecar's own."""

    status: int
    reason: str
    retry_after_seconds: float = 0.0  # 0: the response has no Retry-After


class ConnectionReturnedError(RuntimeError):
    """A connection was used or released by a request that had returned it before: a fault of the program."""


class ResponseStartedError(RuntimeError):
    """A second head was to be written into a response: a fault of the program."""


class PolicyError(Exception):
    """A policy file that cannot be used; the text names the file and the key."""
