"""One request for the endpoint list at discovery, and the reply to it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from wheatring.lab.models.endpoint_list_history import EndpointEntry, EndpointListHistory
from wheatring.lab.timers import Timer


class ListReply(NamedTuple):
    """A reply of discovery: the complete list without nodes that are gone (`reset`), or what has changed."""

    generation: int
    reset: bool
    entries: tuple[EndpointEntry, ...]


ListReplyCallback = Callable[[ListReply | None], None]  # None: the request has failed


class RequestStage(Enum):
    """How far a list request has come."""

    WAITING = "waiting"  # for something newer than what the sidecar knows
    QUEUED = "queued"
    SERVED = "served"  # its reply, or its entry into the queue, is being worked on
    UNANSWERED = "unanswered"  # discovery is down or silent: no reply will come


class ListRequest:
    """A sidecar's request for the endpoint list. It ends once: its callback is called, or it is cancelled.

    Parameters
    ----------
    sidecar
        The sidecar's name.
    history
        The endpoint list that is asked for.
    known_version
        The version that the sidecar has; None if it wants the complete list.
    deadline
        The instant until which the request may wait for a newer version.
    on_reply
        Called with the reply, or with None if the request fails.
    on_cancel
        Called with the request when the sidecar cancels it.
    """

    __slots__ = (
        "deadline", "has_entered", "history", "is_broken_off", "is_over", "known_version", "on_cancel",
        "on_reply", "propagation_lag", "reached_version", "sidecar", "stage", "timer",
    )  # fmt: skip

    def __init__(
        self,
        sidecar: str,
        history: EndpointListHistory,
        known_version: int | None,
        deadline: float,
        on_reply: ListReplyCallback,
        on_cancel: Callable[[ListRequest], None],
    ) -> None:
        self.sidecar = sidecar
        self.history = history
        self.known_version = known_version
        self.deadline = deadline
        self.on_reply = on_reply
        self.on_cancel = on_cancel
        self.propagation_lag = 0.0  # seconds by which what discovery knows reaches this request later
        self.reached_version = 0  # the newest version that has reached the request
        self.stage = RequestStage.WAITING
        self.timer: Timer | None = None
        self.is_over = False
        self.has_entered = True  # false while it waits for the turn that a watch takes to come in
        self.is_broken_off = False  # its reply has begun, and ends in a reset

    def cancel(self) -> None:
        """Cancel the request, as the sidecar has closed the connection.

        A turn that has begun is not given back.
        """
        if not self.is_over:
            self.on_cancel(self)

    def set_timer(self, timer: Timer | None) -> None:
        """Replace the request's timer, and cancel the one before."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = timer

    def has_news(self, now: float) -> bool:
        """Return whether the request gets a reply now: there is something newer, or its wait is over."""
        known, history = self.known_version, self.history
        return (
            known is None
            or not history.has_changes_since(known)
            or known < history.visible_version(self.reached_version)
            or now >= self.deadline
        )
