"""What is known of a request that did not get its whole answer from an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from wheatring.balancer.interface import Outcome


class Verdict(Enum):
    """Whether a request may have run."""

    NOT_RUN = "not run"  # it never reached an endpoint's work, and never will
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


@dataclass(slots=True)
class AttemptFailed(Exception):
    """One attempt at an endpoint has ended without a whole answer."""

    verdict: Verdict
    outcome: Outcome  # in the words of the decision module
    reason: str


@dataclass(slots=True)
class Rejected(Exception):
    """The request ends here with an answer of the sidecar's own."""

    status: int
    reason: str
    retry_after: float = 0.0  # seconds; 0: none is told
