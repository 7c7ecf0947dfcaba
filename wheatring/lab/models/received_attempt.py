"""An attempt as a node receives it, and its outcome: the interface of a node's server and its model."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class AttemptOutcome(Enum):
    """The outcome of an attempt at a node. A node that hangs produces no outcome."""

    SERVED = "served"
    ERROR = "error"  # it may have run
    REJECTED = "rejected"  # it has not run: the node is full or draining, or the request is over already
    RESET = "reset"  # the connection is reset; it may have run
    MALFORMED = "malformed"  # it has run; the response can't be parsed


class ReceivedAttempt:
    """One attempt at a node, created at the arrival of its last byte.

    Parameters
    ----------
    ident
        The request's correlation id.
    sidecar
        The sidecar that sent the attempt.
    time_left
        Seconds for which the caller waits, according to the request; 0 if it does not say.
    arrived_at
        The instant of arrival.
    reply
        Called at most once, with the outcome and the stamp in the body of a served response.
    """

    __slots__ = ("arrived_at", "ident", "is_abandoned", "reply", "sidecar", "time_left")

    def __init__(
        self,
        ident: str,
        sidecar: str,
        time_left: float,
        arrived_at: float,
        reply: Callable[[AttemptOutcome, str], None],
    ) -> None:
        self.ident = ident
        self.sidecar = sidecar
        self.time_left = time_left
        self.arrived_at = arrived_at
        self.reply = reply
        self.is_abandoned = False  # the caller has disconnected, and gets no reply


# Makes a node's call to the next tier for an attempt: (attempt, seconds left, callback). The callback is
# called once, with whether the call was served.
NextTierCall = Callable[[ReceivedAttempt, float, Callable[[bool], None]], None]
