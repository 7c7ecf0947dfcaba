"""A node's calls to the next tier, through the node's own sidecar."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.models.received_attempt import ReceivedAttempt
from wheatring.lab.models.request_transport import (
    LATE_ANSWER_WAIT,
    PendingRequest,
    RequestOutcome,
    RequestTransport,
)
from wheatring.lab.models.traffic import Sampler
from wheatring.lab.timers import Timer, Timers


class NextTierClient:
    """Makes one node's calls; an instance is a `received_attempt.NextTierCall`.

    A call is a request of its own: it has the first try, the class and the key of the attempt that it is made
    for, and an amount of work that is drawn anew. A call that is out of time has failed for the node, which
    keeps the connection for LATE_ANSWER_WAIT more, so that the rules see a late answer.

    Parameters
    ----------
    name
        The node's name, which its sidecar bears too.
    find_transport
        Gives the transport to the sidecar of the node's present process, None while it has none.
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
        call.pending = transport.send(self.name, ident, index, time_left, origin.key, False, call.on_response)


class _NextTierRequest:
    """One call in flight."""

    __slots__ = ("on_end", "pending", "timer", "timers")

    def __init__(self, timers: Timers, on_end: Callable[[bool], None]) -> None:
        self.timers = timers
        self.on_end: Callable[[bool], None] | None = on_end
        self.pending: PendingRequest | None = None
        self.timer: Timer | None = None  # of the deadline, then of the wait for a late answer

    def on_response(self, outcome: RequestOutcome, _retry_after: float) -> None:
        """End the call with its outcome."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        self._end(outcome == "served")

    def on_timeout(self) -> None:
        """Fail the call, and keep its connection for a late answer."""
        assert self.pending is not None
        self.timer = self.timers.at(self.timers.now() + LATE_ANSWER_WAIT, self.pending.abandon)
        self._end(False)

    def _end(self, is_served: bool) -> None:
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(is_served)
