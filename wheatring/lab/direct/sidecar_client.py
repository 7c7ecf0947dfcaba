"""The client of sidecars without bytes: each request and each answer takes the delay of a link."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import ceil
from typing import Protocol

from wheatring.daemon.core.exchange import Answer, AnswerKind, Request
from wheatring.lab.direct.links import Links
from wheatring.lab.event_recorder import EventRecorder, ResponseKind
from wheatring.lab.models.request_transport import ResponseCallback, SidecarRequest
from wheatring.lab.timers import PlayedTime

# Bound as globals because looking up enum members is slow.
SERVED, REFUSED = AnswerKind.SERVED, AnswerKind.REFUSED


class ListeningSidecar(Protocol):
    """The process of a sidecar, as far as its callers use it."""

    is_open: bool  # it accepts requests

    def accept(self, request: DirectRequest) -> None:
        """Accept a request, or queue it in the backlog if the limit of requests is reached."""

    def finish(self, request: DirectRequest) -> None:
        """Remove a request that has been answered."""

    def abandon(self, request: DirectRequest) -> None:
        """Withdraw a request whose caller has closed its connection."""


class DirectRequest:
    """A request in flight.

    It is the content of the core's request (`core_request`), whose answer is passed to `callback`.
    """

    __slots__ = (
        "arrival",
        "backward",
        "caller_deadline",
        "client",
        "core_request",
        "deadline",
        "done",
        "forward",
        "ident",
        "index",
        "is_marked_retry",
        "is_over",
        "key",
        "process",
        "sidecar",
        "time_left",
    )  # fmt: skip

    def __init__(
        self,
        client: DirectSidecarClient,
        request: SidecarRequest,
        caller_deadline: float,
        done: ResponseCallback,
    ) -> None:
        self.client = client
        self.sidecar = request.sidecar
        self.ident = request.ident
        self.index = request.index
        self.caller_deadline = caller_deadline
        self.key = request.key
        self.is_marked_retry = request.is_marked_retry
        self.done = done
        self.forward, self.backward = client.links[request.sidecar]
        self.is_over = False
        self.process: ListeningSidecar | None = None  # the process that has accepted it
        self.core_request: Request | None = None

    def send(self) -> None:
        """Send the request."""
        now = self.client.time.instant
        # Truncated to milliseconds, as in the HTTP header.
        self.time_left = max(1, int((self.caller_deadline - now) * 1000)) / 1000
        self.deadline = now + self.time_left
        self.arrival = self.forward.send(0.0, self.handle_arrival)

    def handle_arrival(self) -> None:
        """At the sidecar: accept the request if the process is listening."""
        if self.is_over:
            return
        client = self.client
        process = client.running.get(self.sidecar)
        if process is None or not process.is_open:
            self.backward.send(0.0, self.handle_unreached)
            return
        self.process = process
        client.recorder.taken(self.sidecar, self.ident, self.index, self.key, self.deadline)
        process.accept(self)

    def handle_unreached(self) -> None:
        """End the request because no sidecar is listening."""
        if not self.is_over:
            self.end()
            self.done("unreached", 0.0)

    def end(self) -> None:
        """Release the request's connection."""
        self.is_over = True
        if self.client.max_connections:
            self.client.release(self)

    def callback(self, answer: Answer) -> None:
        """At the sidecar: send the answer."""
        if self.core_request is None:  # the caller has abandoned it
            return
        self.core_request = None
        process = self.process
        assert process is not None
        process.finish(self)
        if not self.is_over:
            self.backward.send(0.0, self.handle_answer, answer, self.client.time.instant)

    def handle_answer(self, answer: Answer, sent_at: float) -> None:
        """End the request with the sidecar's answer."""
        if self.is_over:
            return
        self.end()
        answer_kind = answer.kind
        kind: ResponseKind = (
            "served" if answer_kind is SERVED else "refused" if answer_kind is REFUSED else "failed"
        )
        stamp = str(answer.content) if answer_kind is SERVED else ""
        retry_after = ceil(answer.retry_after * 1000) / 1000 if answer.retry_after > 0 else 0.0
        self.client.recorder.answered(self.sidecar, self.ident, kind, stamp, retry_after, sent_at)
        self.done(kind, retry_after)

    def reset_connection(self) -> None:
        """At the sidecar: reset the connection without an answer."""
        if not self.is_over:
            self.backward.send(0.0, self.handle_reset)

    def handle_reset(self) -> None:
        """End the request as lost."""
        if not self.is_over:
            self.end()
            self.client.recorder.lost(self.sidecar, self.ident, "reset")
            self.done("lost", 0.0)

    def abandon(self) -> None:
        """Abandon the request; the sidecar withdraws it a link delay later."""
        if self.is_over:
            return
        self.end()
        process, client = self.process, self.client
        if process is None:  # it has not arrived, and is dropped on arrival
            return
        client.recorder.left(self.sidecar, self.ident)
        self.forward.send(self.arrival, process.abandon, self)


class DirectSidecarClient:
    """Carries requests to the sidecars that run; implements `models.request_transport.RequestTransport`.

    Parameters
    ----------
    hosts
        By sidecar, its callers' host and its own.
    max_connections
        Limits of open connections to sidecars, by sidecar; others have none.
    """

    def __init__(
        self,
        time: PlayedTime,
        links: Links,
        recorder: EventRecorder,
        hosts: Mapping[str, tuple[str, str]],
        max_connections: Mapping[str, int] | None = None,
    ) -> None:
        self.time = time
        self.recorder = recorder
        self.links = {
            name: (links.link(caller_host, sidecar_host), links.link(sidecar_host, caller_host))
            for name, (caller_host, sidecar_host) in hosts.items()
        }
        self.running: dict[str, ListeningSidecar] = {}
        self.max_connections = max_connections
        self.open_counts = dict.fromkeys(max_connections or (), 0)
        self.waiting: dict[str, deque[DirectRequest]] = {name: deque() for name in max_connections or ()}

    def send(self, request: SidecarRequest, on_response: ResponseCallback) -> DirectRequest:
        """Send a request to a sidecar; see `models.request_transport.RequestTransport`."""
        pending = DirectRequest(self, request, self.time.instant + request.time_left, on_response)
        if self.max_connections and request.sidecar in self.max_connections:
            self.waiting[request.sidecar].append(pending)
            self.send_waiting(request.sidecar)
        else:
            pending.send()
        return pending

    def send_waiting(self, sidecar: str) -> None:
        """Send waiting requests while connections are available."""
        assert self.max_connections is not None
        waiting = self.waiting[sidecar]
        while waiting and self.open_counts[sidecar] < self.max_connections[sidecar]:
            request = waiting.popleft()
            self.open_counts[sidecar] += 1
            request.send()

    def release(self, request: DirectRequest) -> None:
        """Release a request's connection, or remove the request from those waiting for one."""
        waiting = self.waiting.get(request.sidecar)
        if waiting is None:
            return
        if request in waiting:
            waiting.remove(request)
        else:
            self.open_counts[request.sidecar] -= 1
            self.send_waiting(request.sidecar)
