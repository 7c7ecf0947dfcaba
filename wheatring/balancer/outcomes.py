"""Outcomes of attempts, and load reports of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Outcome of one attempt."""

    SERVED = "served"
    ERROR = "error"  # the endpoint answered with an error; may have been executed
    REJECTED = "rejected"  # rejected unprocessed (queue full, or draining); not executed
    TIMED_OUT = "timed_out"  # no answer in time; may have been executed, or still be executing
    CONNECT_FAILED = "connect_failed"  # no connection was established in time; not executed
    RESET = "reset"  # the connection was lost during the attempt; may have been executed
    CANCELLED = "cancelled"  # cancelled by this balancer; may have been executed
    NOT_SENT = "not_sent"  # the request was over, or out of time or attempts; not executed

    @property
    def has_not_run(self) -> bool:
        """Whether the outcome proves that the attempt was not executed."""
        return self in _NOT_RUN


_NOT_RUN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(slots=True)
class LoadReport:
    """Load report of an endpoint; values that it does not report are None.

    Attributes
    ----------
    in_flight, queue : float or None
        Requests that it processes or has queued, and requests that it has queued.
    utilization : float or None
        Fraction of its CPU in use.
    latency : float or None
        Recent service time without queueing, in seconds.
    rate, error_rate : float or None
        Requests served, and errors, per second.
    """

    in_flight: float | None = None
    queue: float | None = None
    utilization: float | None = None
    latency: float | None = None
    rate: float | None = None
    error_rate: float | None = None
