"""Exceptions of the sidecar."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wheatring.balancer.interface import Outcome


class ExecutionState(Enum):
    """Whether an endpoint has run a request, which decides whether the request may be retried."""

    NOT_RUN = "not run"  # The endpoint did not start it and never will.
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


@dataclass(slots=True)
class AttemptFailedError(Exception):
    """An attempt ended without a response that can be used."""

    execution: ExecutionState
    outcome: Outcome  # The outcome that is reported to the balancer.
    reason: str


@dataclass(slots=True)
class RequestRejectedError(Exception):
    """The request is answered with an error response of the sidecar itself."""

    status: int
    reason: str
    retry_after_seconds: float = 0.0  # The response has no Retry-After header if this is 0.


class ConnectionReturnedError(RuntimeError):
    """A request used or released a connection that it had already returned, which is a bug."""


class ResponseStartedError(RuntimeError):
    """A handler tried to write a second head into a response, which is a bug."""


class PolicyError(Exception):
    """A policy file is unusable; the message names the file and, where possible, the key."""
