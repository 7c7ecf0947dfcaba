"""What is known of a request that did not get its whole answer from an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wheatring.balancer.interface import Outcome


class ExecutionState(Enum):
    """Whether a request may have run."""

    NOT_RUN = "not run"  # it never reached an endpoint's work, and never will
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


@dataclass(slots=True)
class AttemptFailedError(Exception):
    """One attempt at an endpoint has ended without a whole answer."""

    execution: ExecutionState
    outcome: Outcome  # in the words of the decision module
    reason: str


@dataclass(slots=True)
class RequestRejectedError(Exception):
    """The request ends here with an answer of the sidecar's own."""

    status: int
    reason: str
    retry_after_seconds: float = 0.0  # seconds; 0: none is told
