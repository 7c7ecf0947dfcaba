"""How attempts end, and what endpoints report of their load."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How one attempt ended."""

    SERVED = "served"
    ERROR = "error"  # the endpoint answered with an error; it might have run
    REJECTED = "rejected"  # rejected unprocessed (queue full, or draining): it never ran
    TIMED_OUT = "timed_out"  # no answer in time; it might have run, or be running still
    CONNECT_FAILED = "connect_failed"  # no connection could be made in time: it never ran
    RESET = "reset"  # the connection broke during the attempt; it might have run
    CANCELLED = "cancelled"  # cancelled by this balancer; it might have run
    NOT_SENT = "not_sent"  # the request was over, or out of time or attempts: it never ran

    @property
    def has_not_run(self) -> bool:
        """Whether the outcome proves that the request had no effect."""
        return self in _NOT_RUN


_NOT_RUN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(slots=True)
class LoadReport:
    """What an endpoint says of its load; a value that it does not report is None.

    Attributes
    ----------
    in_flight, queue : float or None
        Requests that it works on or has queued, and those that are queued.
    utilization : float or None
        Part of its CPU in use.
    latency : float or None
        Recent service time without waiting, in seconds.
    rate, error_rate : float or None
        Requests served, and errors, a second.
    """

    in_flight: float | None = None
    queue: float | None = None
    utilization: float | None = None
    latency: float | None = None
    rate: float | None = None
    error_rate: float | None = None
