"""A balancer's state of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from wheatring.balancer.endpoint_list import EndpointEntry


@dataclass(slots=True, eq=False)
class Endpoint:
    """State of one endpoint since its last start, from this balancer's own attempts and its load reports.

    Times are in seconds on the clock of the events.

    Attributes
    ----------
    entry : EndpointEntry
        The endpoint's entry in discovery's list.
    next_slot : float
        While it warms up: the slot of the slow start before which nothing is sent to it.
    in_flight : int
        This balancer's own attempts in flight.
    outcomes, excess_latency, failures : float
        Exponentially decaying sums over the endpoint's outcomes: their number, the excess of their latencies
        over the class's unloaded latency as multiples of it, and the number of failures.
    updated_at : float
        When these three sums were last updated.
    ejection_score : float
        Sum of the `EJECTION_SCORES` of its outcomes since it last served a request; it is ejected at 1.
    ejections : int
        Ejections since it was last healthy, 4 at most; 0 while it is healthy.
    probation_limit : int
        Attempts that may be in flight while it is unhealthy.
    ejected_at_round, ejected_until_round, ejected_until : float
        First and last round (see `OutlierEjector`) of the last ejection, and the time when it ends at the
        latest.
    progressed_at : float
        When it last responded or, if it was idle, was last sent an attempt.
    reported_in_flight, reported_at : float
        Requests in flight by the last load report, and when that was received; 0 if there is none.
    """

    entry: EndpointEntry
    next_slot: float = inf
    in_flight: int = 0
    outcomes: float = 0.0
    excess_latency: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    ejection_score: float = 0.0
    ejections: int = 0
    probation_limit: int = 1
    ejected_at_round: float = -inf
    ejected_until_round: float = -inf
    ejected_until: float = -inf
    progressed_at: float = 0.0
    reported_in_flight: float = 0.0
    reported_at: float = 0.0
