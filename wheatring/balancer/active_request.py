"""A request that has no final answer yet, or has attempts in flight."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.latency_estimate import LatencyEstimate
from wheatring.balancer.settings import Idempotency, RequestClass

IDEMPOTENT, KEYED = Idempotency.IDEMPOTENT, Idempotency.KEYED  # bound once: enum attribute access is slow


@dataclass(slots=True)
class ActiveRequest:
    """The state of one request and its attempts.

    Attributes
    ----------
    request_id : int
        Id of the request in events and actions.
    latency : LatencyEstimate
        Latency estimate of the request's class.
    deadline : float
        Time after which an answer has no value.
    attempts : list of Endpoint
        Endpoint of each attempt, in the order of the sends.
    sent_at : float
        When the last attempt was sent.
    first_run_at, first_run_endpoint : float and Endpoint, or None
        When and to which endpoint the first attempt that may have been executed was sent; None if there is no
        such attempt.
    outstanding : int
        Attempts that have not ended.
    retries : int
        Retries after a backoff.
    is_over : bool
        The request has its final answer, or its client has disconnected.
    was_rejected : bool
        An attempt was rejected before it was processed.
    is_committed : bool
        The response has started, or the request body is no longer buffered: gRFC A6 allows no more retries.
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
        """Return the time until which the request may be sent again without a duplicate effect."""
        if self.first_run_at is None:
            return inf
        idempotency = self.request_class.idempotency
        if idempotency is IDEMPOTENT:
            return inf
        return self.first_run_at + self.request_class.repeat_window if idempotency is KEYED else -inf

    def is_safe_to_retry(self) -> bool:
        """Whether the client may retry the request at any endpoint without a duplicate effect."""
        return self.first_run_at is None or self.request_class.idempotency is IDEMPOTENT
