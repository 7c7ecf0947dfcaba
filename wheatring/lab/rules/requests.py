"""State of a request and its attempts, kept until it has ended and no attempt is in flight."""

from __future__ import annotations

from typing import Literal

# How a request ended, "" while it is open. unknown: the caller withdrew it, or no event reported it as taken.
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
        self.rejected = False  # turned away before it ran
        self.stamp = ""  # identifies the answer that it made
        self.work_recorded = False  # whether its own work has been reported
        self.work = 0.0  # its own work and that of the calls whose answers it used
        self.parent: Attempt | None = None  # the attempt at the tier above that used this answer


class Request:
    """One request that a sidecar has taken: a try of a client or a call of a node."""

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
        self.ended_at = 0.0  # earliest known time of its end, seen from its sidecar
        self.is_excused = False  # its sidecar was killed, so that no answer is required
        self.is_expired = False  # to be removed as soon as no attempt is in flight

    def may_have_run(self) -> bool:
        """Return whether any attempt may have run."""
        return any(not attempt.rejected for attempt in self.attempts)
