"""What passes between a node's model and what attaches it: one attempt, and how it ends."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class AttemptOutcome(Enum):
    """What the node's caller is to get. A node that hangs gives none."""

    SERVED = "served"
    ERROR = "error"  # it may have run
    REJECTED = "away"  # never ran: full, draining, or already over
    RESET = "reset"  # the connection breaks; it may have run
    MALFORMED = "spoilt"  # an answer that can't be read; it has run


class ReceivedAttempt:
    """One attempt at a node, from its last byte's arrival on.

    `left`: seconds that the caller said it will wait, 0 where it did not. `reply` is called once at most,
    with the verdict and the stamp that the body of a served answer bears.
    """

    __slots__ = ("gone", "ident", "left", "reply", "sidecar", "since")

    def __init__(
        self,
        ident: str,
        sidecar: str,
        left: float,
        since: float,
        reply: Callable[[AttemptOutcome, str], None],
    ) -> None:
        self.ident = ident
        self.sidecar = sidecar
        self.left = left
        self.since = since
        self.reply = reply
        self.gone = False  # its caller has closed the connection: nobody is there for a reply


# A node's call to the next tier: made for a visit, it ends once, served or not.
NextTierCall = Callable[[ReceivedAttempt, float, Callable[[bool], None]], None]  # (visit, seconds left, done)
