"""Calls of a node to the next tier, through the node's sidecar."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.models.received_attempt import ReceivedAttempt
from wheatring.lab.models.request_transport import (
    LATE_ANSWER_WAIT,
    PendingRequest,
    RequestOutcome,
    RequestTransport,
    SidecarRequest,
)
from wheatring.lab.models.traffic import Sampler
from wheatring.lab.timers import Timer, Timers


class NextTierClient:
    """Makes the calls of one node; an instance is a `received_attempt.NextTierCall`.

    A call is a separate request: it has the first try, the class and the key of its attempt, and its own draw
    of the work. A call that times out fails for the node, which keeps the connection open for
    LATE_ANSWER_WAIT, so that the rules observe a late answer.

    Parameters
    ----------
    name
        The name of the node and of its sidecar.
    find_transport
        Returns the transport to the sidecar of the node's present process, None if there is none.
    correlation_table
        Records the origin of each call.
    work_samplers
        By class, draws the work of a call.
    timers
        The clock.
    """

    def __init__(
        self,
        name: str,
        find_transport: Callable[[], RequestTransport | None],
        correlation_table: CorrelationTable,
        work_samplers: Sequence[Sampler],
        timers: Timers,
    ) -> None:
        self.name = name
        self.find_transport = find_transport
        self.correlation_table = correlation_table
        self.work_samplers = work_samplers
        self.timers = timers

    def __call__(self, attempt: ReceivedAttempt, time_left: float, on_end: Callable[[bool], None]) -> None:
        """Make a call for an attempt; see `received_attempt.NextTierCall`."""
        transport, timers = self.find_transport(), self.timers
        origin = self.correlation_table.by_id.get(attempt.ident)
        if transport is None or origin is None:
            timers.at(timers.now(), on_end, False)
            return
        call = _NextTierRequest(timers, on_end)
        call.timer = timers.at(timers.now() + time_left, call.on_timeout)
        index = origin.class_index
        work = self.work_samplers[index]()
        ident = self.correlation_table.new(OriginalRequest(origin.first, index, work, origin.key))
        request = SidecarRequest(
            sidecar=self.name,
            ident=ident,
            index=index,
            time_left=time_left,
            key=origin.key,
            is_marked_retry=False,
        )
        call.pending = transport.send(request, call.on_response)


class _NextTierRequest:
    """One call in flight."""

    __slots__ = ("on_end", "pending", "timer", "timers")

    def __init__(self, timers: Timers, on_end: Callable[[bool], None]) -> None:
        self.timers = timers
        self.on_end: Callable[[bool], None] | None = on_end
        self.pending: PendingRequest | None = None
        self.timer: Timer | None = None  # for the deadline, then for the wait for a late answer

    def on_response(self, outcome: RequestOutcome, _retry_after: float) -> None:
        """End the call with its outcome."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        self._end(outcome == "served")

    def on_timeout(self) -> None:
        """Fail the call, and keep its connection open for a late answer."""
        assert self.pending is not None
        self.timer = self.timers.at(self.timers.now() + LATE_ANSWER_WAIT, self.pending.abandon)
        self._end(False)

    def _end(self, is_served: bool) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(is_served)
