"""What a balancer keeps of one endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from wheatring.balancer.endpoint_list import EndpointEntry


@dataclass(slots=True, eq=False)
class Endpoint:
    """One endpoint as this balancer has seen it since the endpoint's last start.

    Instants and durations are seconds of the clock that events come with.

    Attributes
    ----------
    entry : EndpointEntry
        Its line of discovery's list.
    next_turn : float
        While it warms up: the turn of the slow start before which nothing is sent to it.
    in_flight : int
        This balancer's own attempts at it.
    outcomes, excess_latency, failures : float
        Outcomes remembered, each with less weight the older it is, and of these: the sum of latencies in
        multiples of the class's unloaded latency, less 1 each, and the number of failures.
    updated_at : float
        When these three were last updated.
    evidence : float
        Evidence of a fault since it last served; 1 has it ejected.
    ejections : int
        How often it has been ejected since it was last healthy; 0: it is healthy.
    probation_limit : int
        Attempts that it may have in flight while it is not healthy.
    ejected_at_turn, ejected_until_turn, ejected_until : float
        The last ejection: from which even-share turn to which, and until when at the latest.
    progressed_at : float
        When it last answered or, if it was idle then, got an attempt.
    reported_in_flight, reported_at : float
        Requests in flight by its own last report, and when that came; 0: there is none.
    """

    entry: EndpointEntry
    next_turn: float = inf
    in_flight: int = 0
    outcomes: float = 0.0
    excess_latency: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    evidence: float = 0.0
    ejections: int = 0
    probation_limit: int = 1
    ejected_at_turn: float = -inf
    ejected_until_turn: float = -inf
    ejected_until: float = -inf
    progressed_at: float = 0.0
    reported_in_flight: float = 0.0
    reported_at: float = 0.0
