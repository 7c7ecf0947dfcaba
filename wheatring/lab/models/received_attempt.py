"""An attempt as a node receives it, and its outcome: what passes between a node's server and its model."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class AttemptOutcome(Enum):
    """What a node does with an attempt. A node that hangs gives no outcome."""

    SERVED = "served"
    ERROR = "error"  # it may have run
    REJECTED = "rejected"  # never ran: the node is full or draining, or the request is over already
    RESET = "reset"  # the connection is reset; it may have run
    MALFORMED = "malformed"  # the response can't be parsed; it has run


class ReceivedAttempt:
    """One attempt at a node, from the arrival of its last byte on.

    Parameters
    ----------
    ident
        The request's correlation id.
    sidecar
        The sidecar that sent it.
    time_left
        Seconds that the caller said it will wait, 0 where it did not say.
    arrived_at
        The instant of its arrival.
    reply
        Called at most once, with the outcome and the stamp that the body of a served response bears.
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
        self.is_abandoned = False  # the caller has closed the connection: nobody receives a reply


# A node's call to the next tier, made for an attempt: (attempt, seconds left, callback). The callback is
# called once, with whether the call was served.
NextTierCall = Callable[[ReceivedAttempt, float, Callable[[bool], None]], None]
