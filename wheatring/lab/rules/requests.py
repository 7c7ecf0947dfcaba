"""State of a request and its attempts, kept until it is over and nothing of it is in flight."""

from __future__ import annotations

from typing import Literal

# How a request ended, "" while it is open. unknown: its caller withdrew it, or it was never seen to be taken.
RequestEnd = Literal["", "served", "refused", "failed", "lost", "left", "unknown"]


class Attempt:
    """One attempt that has arrived completely at a node."""

    __slots__ = (
        "arrived_at",
        "ended_at",
        "in_flight",
        "node",
        "parent",
        "rejected",
        "sent_at",
        "stamp",
        "work",
        "work_recorded",
    )

    def __init__(self, node: str, sent_at: float, arrived_at: float) -> None:
        self.node = node
        self.sent_at = sent_at
        self.arrived_at = arrived_at
        self.in_flight = True
        self.ended_at = 0.0
        self.rejected = False  # it never ran
        self.stamp = ""  # of the answer that it made
        self.work_recorded = False  # the work done for itself
        self.work = 0.0  # done for it, with that of the calls that served it
        self.parent: Attempt | None = None  # the attempt at the tier above whose answer needed this one


class Request:
    """One request that a sidecar has taken: an attempt of a client or a call of a node."""

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "class_index",
        "deadline",
        "end",
        "ended_at",
        "ident",
        "is_excused",
        "is_expired",
        "sidecar",
        "taken_at",
    )

    def __init__(self, ident: str, sidecar: str, class_index: int, taken_at: float, deadline: float) -> None:
        self.ident = ident
        self.sidecar = sidecar
        self.class_index = class_index
        self.taken_at = taken_at
        self.deadline = deadline
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.end: RequestEnd = ""
        self.ended_at = 0.0  # for its sidecar, as early as that is known
        self.is_excused = False  # its sidecar was killed: nothing is owed
        self.is_expired = False  # over for so long that it is forgotten once nothing is in flight

    def may_have_run(self) -> bool:
        """Whether an attempt may have run."""
        return any(not attempt.rejected for attempt in self.attempts)
