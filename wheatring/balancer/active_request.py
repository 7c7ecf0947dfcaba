"""A request that a balancer has taken and not yet answered for good."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.latency_estimate import LatencyEstimate
from wheatring.balancer.settings import Idempotency, RequestClass

IDEMPOTENT, KEYED = Idempotency.IDEMPOTENT, Idempotency.KEYED  # looked up once: an enum takes its time


@dataclass(slots=True)
class ActiveRequest:
    """One request and its attempts.

    Attributes
    ----------
    request_id : int
        Its number in events and actions.
    latency : LatencyEstimate
        That of its class.
    deadline : float
        The instant of its last useful answer.
    attempts : list of Endpoint
        Where each attempt was sent, in their order.
    sent_at : float
        When the last attempt was sent.
    first_run_at, first_run_endpoint : float and Endpoint, or None
        When and where the first attempt was sent that may have run; None while none may have.
    outstanding : int
        Attempts that have not ended.
    retries : int
        Retries after a backoff.
    is_over : bool
        It has had its final answer, or its client has gone.
    was_rejected : bool
        An attempt was rejected before it was processed.
    is_committed : bool
        Its answer has begun, or its body is no longer kept: A6 retries it no more.
    """

    request_id: int
    request_class: RequestClass
    latency: LatencyEstimate
    deadline: float
    attempts: list[Endpoint] = field(default_factory=list)
    sent_at: float = 0.0
    first_run_at: float | None = None
    first_run_endpoint: Endpoint | None = None
    outstanding: int = 0
    retries: int = 0
    is_over: bool = False
    was_rejected: bool = False
    is_committed: bool = False

    def repeatable_until(self) -> float:
        """Return the instant before which it may be sent again: what may have run has its effect once."""
        if self.first_run_at is None:
            return inf
        idempotency = self.request_class.idempotency
        if idempotency is IDEMPOTENT:
            return inf
        return self.first_run_at + self.request_class.repeat_window if idempotency is KEYED else -inf

    def is_harmless_to_repeat(self) -> bool:
        """Whether its client may repeat it anywhere without a second effect."""
        return self.first_run_at is None or self.request_class.idempotency is IDEMPOTENT
