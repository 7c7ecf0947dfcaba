"""The queue of list requests at discovery, which processes one of them at a time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import prod
from random import Random

from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.endpoint_list_history import EndpointEntry
from wheatring.lab.models.list_request import ListReply, ListRequest, RequestStage
from wheatring.lab.plan import DiscoveryPlan
from wheatring.lab.timers import Timer, Timers


class ReplyQueue:
    """Replies to list requests in FIFO order.

    A request fails if it is in the queue for longer than the plan's time-out.

    Parameters
    ----------
    plan
        The speed and the time-out of discovery.
    timers
        The clock.
    random
        Draws the replies that are reset.
    recorder
        Records the reported entries.
    on_accepted
        Called with a watch that has been accepted and now waits for news.
    on_end
        Called with a request and its reply, or None if it has failed; the request may be over already.

    Attributes
    ----------
    slow_factors
        Factors on the time that each request takes.
    break_off_shares
        Shares of the replies that end in a reset after the head.
    """

    def __init__(
        self,
        plan: DiscoveryPlan,
        timers: Timers,
        random: Random,
        recorder: EventRecorder,
        on_accepted: Callable[[ListRequest], None],
        on_end: Callable[[ListRequest, ListReply | None], None],
    ) -> None:
        self.plan = plan
        self.timers = timers
        self.random = random
        self.recorder = recorder
        self.on_accepted = on_accepted
        self.on_end = on_end
        self.slow_factors: list[float] = []
        self.break_off_shares: list[float] = []
        self._queue: deque[ListRequest] = deque()
        self._work_timer: Timer | None = None  # for the end of the work on the request that is being served

    def enqueue(self, request: ListRequest) -> None:
        """Add a request."""
        request.stage = RequestStage.QUEUED
        self._queue.append(request)
        request.set_timer(self.timers.at(self.timers.now() + self.plan.timeout, self.on_end, request, None))
        self._start_next()

    def remove(self, request: ListRequest) -> None:
        """Remove a request that is queued."""
        self._queue.remove(request)

    def clear(self) -> None:
        """Remove all requests, including the one that is being served."""
        if self._work_timer is not None:
            self._work_timer.cancel()
            self._work_timer = None
        self._queue.clear()

    def _start_next(self) -> None:
        """Start to serve the request at the head of the queue, unless one is being served."""
        if not self._queue or self._work_timer is not None:
            return
        request = self._queue.popleft()
        request.stage = RequestStage.SERVED
        request.set_timer(None)
        if not request.has_been_accepted:
            self._work_timer = self._after_work(0, self._accept_watch, request)
            return
        reply, reported = _reply_to(request)
        self.recorder.note("list_turn", sidecar=request.sidecar, lines=len(reply.entries))
        self._work_timer = self._after_work(len(reply.entries), self._finish, request, reply, reported)

    def _after_work(self, entries: int, call: Callable[..., None], *args: object) -> Timer:
        """Schedule a call after the time that a reply with this number of entries takes."""
        seconds = (self.plan.call_lines + entries) / self.plan.lines_per_s * prod(self.slow_factors)
        return self.timers.at(self.timers.now() + seconds, call, *args)

    def _accept_watch(self, request: ListRequest) -> None:
        """Accept a watch, which now waits for news."""
        self._work_timer = None
        if not request.is_over:
            request.has_been_accepted = True
            request.stage = RequestStage.WAITING
            self.on_accepted(request)
        self._start_next()

    def _finish(self, request: ListRequest, reply: ListReply, reported: list[EndpointEntry]) -> None:
        """End a request with its reply, or reset the reply, and start the next request."""
        self._work_timer = None
        if not request.is_over:
            if any(self.random.random() < share for share in self.break_off_shares):
                request.is_broken_off = True
                self.on_end(request, None)
            else:
                for entry in reported:
                    self.recorder.told(request.sidecar, entry.node.name, entry.state, entry.started)
                self.on_end(request, reply)
        self._start_next()


def complete_reply(version: int, entries: list[EndpointEntry]) -> ListReply:
    """Return the reply with the complete list, without nodes that are gone."""
    return ListReply(version, True, tuple([entry for entry in entries if entry.state != "gone"]))


def _reply_to(request: ListRequest) -> tuple[ListReply, list[EndpointEntry]]:
    """Return the reply to a request, and the entries that it reports.

    The reply with the complete list reports its missing nodes as gone.
    """
    history, known = request.history, request.known_version
    version = history.visible_version(request.reached_version)
    if known is None or not history.has_changes_since(known):
        entries = history.entries(version)
        return complete_reply(version, entries), entries
    if known >= version:
        return ListReply(known, False, ()), []
    changes = history.changes(known, version)
    return ListReply(version, False, tuple(changes)), changes
