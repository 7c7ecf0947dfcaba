"""State of a request and its attempts, kept until it is over and nothing of it is in flight."""

from __future__ import annotations

from typing import Literal

Over = Literal["", "served", "refused", "failed", "lost", "left", "unknown"]


class Attempt:
    """One attempt that has arrived whole at a node."""

    __slots__ = ("arrived", "away", "done", "ended", "into", "node", "out", "sent", "stamp", "work")

    def __init__(self, node: str, sent: float, arrived: float) -> None:
        self.node = node
        self.sent = sent
        self.arrived = arrived
        self.out = True
        self.ended = 0.0
        self.away = False  # it never ran
        self.stamp = ""
        self.done = False  # its own work has been told
        self.work = 0.0  # done for it, with that of the calls that served it
        self.into: Attempt | None = None  # the visit above that it served


class Request:
    """One request that a sidecar has taken: a try of a client or a call of a node."""

    __slots__ = (
        "attempts",
        "deadline",
        "forgiven",
        "ident",
        "index",
        "out",
        "over",
        "over_at",
        "sidecar",
        "stale",
        "taken",
    )

    def __init__(self, ident: str, sidecar: str, index: int, taken: float, deadline: float) -> None:
        self.ident = ident
        self.sidecar = sidecar
        self.index = index
        self.taken = taken
        self.deadline = deadline
        self.attempts: list[Attempt] = []
        self.out = 0  # attempts of which something is out
        self.over: Over = ""
        self.over_at = 0.0  # for its sidecar, as early as that is known
        self.forgiven = False  # its sidecar was killed: nothing is owed
        self.stale = False  # over for so long that it is forgotten once nothing is out

    def ran(self) -> bool:
        """Whether an attempt may have run."""
        return any(not attempt.away for attempt in self.attempts)
