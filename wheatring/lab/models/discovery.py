"""Model of the discovery service of all sidecars.

It learns of changes with a delay, replies to one request at a time, and has its own faults.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Literal

from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.endpoint_list_history import (
    KEPT_VERSIONS,
    EndpointListHistory,
    RegisteredNode,
)
from wheatring.lab.models.list_request import ListReply, ListReplyCallback, ListRequest, RequestStage
from wheatring.lab.models.node_status_table import FalseReports, NodeStatusTable
from wheatring.lab.models.reply_queue import ReplyQueue, complete_reply
from wheatring.lab.plan import DiscoveryPlan, Held
from wheatring.lab.timers import Timers

MAX_WAIT = 60.0  # seconds that a list request may wait for a newer version

DiscoveryFault = Literal["down", "silent", "slow", "stale", "lies", "breaks"]


class Registry:
    """The model of the discovery service. Changes of nodes are passed in at the instant they happen.

    Parameters
    ----------
    plan
        The delays and the speed of the service.
    timers
        The clock.
    unix
        Returns the present Unix time in seconds.
    random
        Draws delays and the effects of faults.
    recorder
        Records the known states of nodes and the replies.
    kept_versions
        Number of past versions since which changes are available.

    Attributes
    ----------
    on_down
        Called with True when the service goes down, before the open requests fail, and with False when it is
        back.
    statuses
        The states of the nodes as the service knows them.
    open_requests
        The requests that have not ended, in the order of arrival.
    """

    def __init__(
        self,
        plan: DiscoveryPlan,
        timers: Timers,
        unix: Callable[[], float],
        random: Random,
        recorder: EventRecorder,
        kept_versions: int = KEPT_VERSIONS,
    ) -> None:
        self.plan = plan
        self.timers = timers
        self.random = random
        self.recorder = recorder
        self.statuses = NodeStatusTable(
            plan, timers, unix, random, recorder, self._handle_publication, kept_versions
        )
        self.on_down: list[Callable[[bool], None]] = []
        self.open_requests: dict[ListRequest, None] = {}
        self._tiers: dict[str, int] = {}  # by sidecar
        self._queue = ReplyQueue(plan, timers, random, recorder, self._queue_if_news, self._end)
        self._down_count = 0  # number of present faults of this kind
        self._silent_count = 0

    # Changes of nodes

    def assign_tier(self, sidecar: str, tier: int) -> None:
        """Set the tier whose list a sidecar receives; the default is the first tier."""
        self._tiers[sidecar] = tier

    def register(self, node: RegisteredNode, is_up: bool = True) -> None:
        """Add a node at the start of the day. A node that is not up is listed after it is started."""
        self.statuses.register(node, is_up)

    def node_started(self, name: str, started: float) -> None:
        """Handle the start of a node's process, or its machine's becoming reachable again.

        In both cases `started` is the instant of the process's start.
        """
        self.statuses.node_started(name, started)

    def node_draining(self, name: str) -> None:
        """Handle the start of a node's drain."""
        self.statuses.node_draining(name)

    def node_ended(self, name: str) -> None:
        """Handle the end of a node's process."""
        self.statuses.node_ended(name)

    def node_vanished(self, name: str) -> None:
        """Handle that a node's machine has become unreachable."""
        self.statuses.node_vanished(name)

    def initial_list(self, tier: int, which: Held) -> ListReply:
        """Return a sidecar's list at its start: the present one, the first one, or an empty one."""
        if which == "none":
            return ListReply(0, True, ())
        history = self.statuses.history(tier)
        version = history.visible_version(1 if which == "old" else history.version)
        return complete_reply(version, history.entries(version))

    # Requests

    @property
    def is_down(self) -> bool:
        """Whether the service is down: its server refuses connections, and resets those that are open."""
        return self._down_count > 0

    def request_list(
        self, sidecar: str, known_version: int | None, wait: float, on_reply: ListReplyCallback
    ) -> ListRequest:
        """Handle a request for the endpoint list.

        Parameters
        ----------
        sidecar
            The sidecar that makes the request.
        known_version
            The version since which it requests the changes; None for the complete list.
        wait
            Seconds that the request may wait for a newer version, MAX_WAIT at most.
        on_reply
            Called with the reply, never synchronously.
        """
        now = self.timers.now()
        wait = min(max(0.0, wait), MAX_WAIT)
        history = self.statuses.history(self._tiers.get(sidecar, 0))
        request = ListRequest(sidecar, history, known_version, now + wait, on_reply, self._close)
        self.open_requests[request] = None
        self.recorder.asking(sidecar, wait)
        if self._down_count:
            request.stage = RequestStage.UNANSWERED
            request.set_timer(self.timers.at(now, self._end, request, None))
        elif self._silent_count:
            request.stage = RequestStage.UNANSWERED
        else:
            self._open(request, now)
        return request

    def connection_refused(self, sidecar: str) -> None:
        """Record a refused or immediately closed connection of a sidecar as a failed request."""
        self.recorder.asking(sidecar, 0.0)
        self.recorder.unheard(sidecar, True)

    def _open(self, request: ListRequest, now: float) -> None:
        history = request.history
        request.propagation_lag = self.random.uniform(0, self.plan.spread)
        request.reached_version = history.version_at(now - request.propagation_lag)
        for version in range(request.reached_version + 1, history.version + 1):
            self._propagate(request, version)
        if self.plan.watch_turns and request.known_version is not None:
            request.has_been_accepted = False
            self._queue.enqueue(request)
        else:
            self._queue_if_news(request)

    def _close(self, request: ListRequest, failed: bool = False) -> None:
        """End a request and record its end, without a notification of the sidecar."""
        request.is_over = True
        request.set_timer(None)
        del self.open_requests[request]
        if request.stage is RequestStage.QUEUED:
            self._queue.remove(request)
        self.recorder.unheard(request.sidecar, failed)

    def _end(self, request: ListRequest, reply: ListReply | None) -> None:
        """End a request, unless it is over, with a reply or with None if it has failed."""
        if not request.is_over:
            if reply is not None:
                self.recorder.brought(request.sidecar)
            self._close(request, reply is None)
            request.on_reply(reply)

    # Propagation of new versions to waiting requests

    def _handle_publication(self, history: EndpointListHistory) -> None:
        for request in list(self.open_requests):
            if request.history is history:
                self._propagate(request, history.version)

    def _propagate(self, request: ListRequest, version: int) -> None:
        """Propagate a version to a request, after the request's lag."""
        if request.propagation_lag:
            at = request.history.published_at(version) + request.propagation_lag
            self.timers.at(at, self._apply_version, request, version)
        else:
            self._apply_version(request, version)

    def _apply_version(self, request: ListRequest, version: int) -> None:
        if not request.is_over:
            request.reached_version = max(request.reached_version, version)
            self._queue_if_news(request)

    def _queue_if_news(self, request: ListRequest) -> None:
        """Queue a waiting request for a reply if there is news for it."""
        if request.stage is not RequestStage.WAITING:
            return
        if request.has_news(self.timers.now()):
            self._queue.enqueue(request)
        elif request.timer is None:
            request.set_timer(self.timers.at(request.deadline, self._queue.enqueue, request))

    # Faults

    def begin_fault(self, fault: DiscoveryFault, size: float = 1.0) -> Callable[[], None]:
        """Inject a fault; several may be present at once, of one kind too.

        Parameters
        ----------
        fault
            down: requests fail, connections are refused. silent: requests that are open or arrive during the
            fault are never answered. slow: each request takes `size` times as long. stale: replies have only
            the present versions. lies: the share `size` of the running nodes is reported as gone, different
            nodes in each period. breaks: the share `size` of the replies ends in a reset after its head.
        size
            The figure of the fault.

        Returns
        -------
        Callable[[], None]
            Ends the fault.
        """
        if fault == "down":
            return self._begin_down()
        if fault == "silent":
            return self._begin_silent()
        if fault == "slow":
            self._queue.slow_factors.append(size)
            return lambda: self._queue.slow_factors.remove(size)
        if fault == "stale":
            self.statuses.freeze()
            return self._end_stale
        if fault == "breaks":
            self._queue.break_off_shares.append(size)
            return lambda: self._queue.break_off_shares.remove(size)
        return FalseReports(self.statuses, size).end

    def _stop_replies(self) -> list[ListRequest]:
        """Leave all open requests unanswered, and return them."""
        self._queue.clear()
        requests = list(self.open_requests)
        for request in requests:
            request.stage = RequestStage.UNANSWERED
            if not self._down_count:  # otherwise its end is already scheduled
                request.set_timer(None)
        return requests

    def _begin_down(self) -> Callable[[], None]:
        if not self._down_count:
            requests = self._stop_replies()
            self._down_count = 1
            for listener in self.on_down:
                listener(True)
            for request in requests:
                self._end(request, None)
        else:
            self._down_count += 1
        return self._end_down

    def _end_down(self) -> None:
        self._down_count -= 1
        if not self._down_count:
            for listener in self.on_down:
                listener(False)

    def _begin_silent(self) -> Callable[[], None]:
        self._silent_count += 1
        self._stop_replies()
        return self._end_silent

    def _end_silent(self) -> None:
        self._silent_count -= 1

    def _end_stale(self) -> None:
        self.statuses.unfreeze()
        for request in list(self.open_requests):
            self._queue_if_news(request)
