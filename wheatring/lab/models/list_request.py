"""A request for the endpoint list to the discovery service, and its reply."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from wheatring.lab.models.endpoint_list_history import EndpointEntry, EndpointListHistory
from wheatring.lab.timers import Timer


class ListReply(NamedTuple):
    """A reply: the complete list without nodes that are gone (`reset`), or the changed entries."""

    generation: int
    reset: bool
    entries: tuple[EndpointEntry, ...]


ListReplyCallback = Callable[[ListReply | None], None]  # None if the request has failed


class RequestStage(Enum):
    """The stage of processing of a list request."""

    WAITING = "waiting"  # waits for a version newer than the sidecar's
    QUEUED = "queued"
    SERVED = "served"  # its reply, or the start of its wait, is being processed
    UNANSWERED = "unanswered"  # discovery is down or silent and will not reply


class ListRequest:
    """A sidecar's request for the endpoint list. It ends by a call of its callback or by `cancel`.

    Parameters
    ----------
    sidecar
        The sidecar's name.
    history
        The requested endpoint list.
    known_version
        The version that the sidecar has; None if it requests the complete list.
    deadline
        The instant until which the request may wait for a newer version.
    on_reply
        Called with the reply, or with None if the request fails.
    on_cancel
        Called with the request when the sidecar cancels it.
    """

    __slots__ = (
        "deadline", "has_been_accepted", "history", "is_broken_off", "is_over", "known_version", "on_cancel",
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
        self.propagation_lag = 0.0  # seconds from the publication of a version until it reaches the request
        self.reached_version = 0  # the newest version that has reached the request
        self.stage = RequestStage.WAITING
        self.timer: Timer | None = None
        self.is_over = False
        self.has_been_accepted = True  # false while a watch is in the queue for its acceptance
        self.is_broken_off = False  # its reply was reset after the head

    def cancel(self) -> None:
        """Cancel the request after the sidecar has closed the connection.

        Discovery still completes the work on a request that is being served.
        """
        if not self.is_over:
            self.on_cancel(self)

    def set_timer(self, timer: Timer | None) -> None:
        """Replace the request's timer, and cancel the previous one."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = timer

    def has_news(self, now: float) -> bool:
        """Return whether the request gets a reply now: there is a newer version, or its wait has ended."""
        known, history = self.known_version, self.history
        return (
            known is None
            or not history.has_changes_since(known)
            or known < history.visible_version(self.reached_version)
            or now >= self.deadline
        )
