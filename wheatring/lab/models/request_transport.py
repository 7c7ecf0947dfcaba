"""Interface for requests to sidecars, from clients and from nodes that call the next tier."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal, Protocol

# Seconds past a request's deadline for which its caller keeps the connection open. An answer is then too late
# for the caller, but the rules grant the sidecar a grace period, and need the connection to see the answer.
LATE_ANSWER_WAIT = 0.1

# unreached: the connection to the sidecar failed, or ended before the request was accepted; the rules expect
# no answer. lost: the request was accepted, and no complete answer arrived.
RequestOutcome = Literal["served", "refused", "failed", "unreached", "lost"]
ResponseCallback = Callable[[RequestOutcome, float], None]  # (outcome, Retry-After in seconds or 0)


@dataclass(frozen=True, slots=True)
class SidecarRequest:
    """A request to a sidecar.

    Attributes
    ----------
    sidecar
        The sidecar's name.
    ident
        The request's correlation id.
    index
        The index of the request's class in the plan.
    time_left
        Seconds that the caller will wait. The transport has no time-out: the caller abandons the request
        after this time.
    key
        The idempotency key, "" for none.
    is_marked_retry
        Whether the request is marked as a retry.
    """

    sidecar: str
    ident: str
    index: int
    time_left: float
    key: str
    is_marked_retry: bool


class PendingRequest(Protocol):
    """A request in flight. It ends either with a call of its callback or by `abandon`."""

    def abandon(self) -> None:
        """Close the connection; the callback is no longer called."""


class RequestTransport(Protocol):
    """Sends requests to sidecars, and records which are accepted, answered, lost or abandoned."""

    def send(self, request: SidecarRequest, on_response: ResponseCallback) -> PendingRequest:
        """Send a request; `on_response` is called with its outcome, never synchronously."""
