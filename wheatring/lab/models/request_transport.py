"""Interface by which clients, and nodes that call the next tier, send requests to sidecars."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal, Protocol

# Seconds past a request's deadline for which its caller keeps the connection open. An answer is then too late
# for the caller, but the rules grant the sidecar a moment, and on a closed connection it could not be seen.
LATE_ANSWER_WAIT = 0.1

# unreached: no connection to the sidecar came up, or it ended before the request was taken; nothing is owed.
# lost: the request was taken, and no complete answer came.
RequestOutcome = Literal["served", "refused", "failed", "unreached", "lost"]
ResponseCallback = Callable[[RequestOutcome, float], None]  # (outcome, Retry-After in seconds or 0)


class PendingRequest(Protocol):
    """A request in flight. It ends once: its callback is called, or it is abandoned."""

    def abandon(self) -> None:
        """Close the connection; the callback is no longer called."""


class RequestTransport(Protocol):
    """Carries requests to sidecars, and records which are taken, answered, lost or abandoned."""

    def send(
        self,
        sidecar: str,
        ident: str,
        index: int,
        time_left: float,
        key: str,
        is_marked_retry: bool,
        on_response: ResponseCallback,
    ) -> PendingRequest:
        """Send a request to a sidecar.

        Parameters
        ----------
        sidecar
            The sidecar's name.
        ident
            The request's correlation id.
        index
            The index of the request's class in the plan.
        time_left
            Seconds that the caller will wait. The caller abandons the request itself once they are over: the
            transport has no time-out.
        key
            The idempotency key, "" for none.
        is_marked_retry
            Whether the request says that it is a retry.
        on_response
            Called with the outcome, never from within this method.
        """
