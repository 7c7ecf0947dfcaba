"""Clients of sidecars without bytes: requests and answers each take a link's delay."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import ceil
from typing import Protocol

from wheatring.daemon.core.exchange import Answer, AnswerKind, Request
from wheatring.lab.direct.links import Links
from wheatring.lab.event_recorder import EventRecorder, ResponseKind
from wheatring.lab.models.request_transport import ResponseCallback
from wheatring.lab.timers import PlayedTime

SERVED, REFUSED = AnswerKind.SERVED, AnswerKind.REFUSED  # looked up once: an enum takes its time


class ListeningSidecar(Protocol):
    """The process of a sidecar, as far as its callers meet it."""

    is_open: bool  # it takes requests

    def take(self, request: DirectRequest) -> None:
        """Accept a request that has arrived, or have it wait in the backlog."""

    def finish(self, request: DirectRequest) -> None:
        """Remove a request that has been answered."""

    def abandon(self, request: DirectRequest) -> None:
        """Withdraw a request whose caller has closed its connection."""


class DirectRequest:
    """One request in flight.

    It is the content of the exchange's request (`core_request`), and its `callback` gets the answer of that.
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
        "is_over",
        "key",
        "process",
        "repeat",
        "sidecar",
        "time_left",
    )  # fmt: skip

    def __init__(
        self, client: DirectSidecarClient, sidecar: str, ident: str, index: int, until: float, key: str,
        repeat: bool, done: ResponseCallback,
    ) -> None:  # fmt: skip
        self.client = client
        self.sidecar = sidecar
        self.ident = ident
        self.index = index
        self.caller_deadline = until
        self.key = key
        self.repeat = repeat
        self.done = done
        self.forward, self.backward = client.links[sidecar]
        self.is_over = False
        self.process: ListeningSidecar | None = None  # that has taken it
        self.core_request: Request | None = None

    def send(self) -> None:
        """Send the request."""
        now = self.client.time.instant
        self.time_left = max(1, int((self.caller_deadline - now) * 1000)) / 1000  # as the wire states it
        self.deadline = now + self.time_left
        self.arrival = self.forward.send(0.0, self.arrive)

    def arrive(self) -> None:
        """At the sidecar: have it take the request, where it listens."""
        if self.is_over:
            return
        client = self.client
        process = client.running.get(self.sidecar)
        if process is None or not process.is_open:
            self.backward.send(0.0, self.unreached)
            return
        self.process = process
        client.recorder.taken(self.sidecar, self.ident, self.index, self.key, self.deadline)
        process.take(self)

    def unreached(self) -> None:
        """End the request, as no sidecar listens."""
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
        if self.core_request is None:  # to a caller that has left: the server finds no connection then
            return
        self.core_request = None
        process = self.process
        assert process is not None
        process.finish(self)
        if not self.is_over:
            self.backward.send(0.0, self.answered, answer, self.client.time.instant)

    def answered(self, answer: Answer, written: float) -> None:
        """End the request with the sidecar's answer."""
        if self.is_over:
            return
        self.end()
        final = answer.kind
        kind: ResponseKind = "served" if final is SERVED else "refused" if final is REFUSED else "failed"
        stamp = str(answer.content) if final is SERVED else ""
        advice = ceil(answer.retry_after * 1000) / 1000 if answer.retry_after > 0 else 0.0
        self.client.recorder.answered(self.sidecar, self.ident, kind, stamp, advice, written)
        self.done(kind, advice)

    def cut_off(self) -> None:
        """At the sidecar: have the connection end without an answer."""
        if not self.is_over:
            self.backward.send(0.0, self.lost)

    def lost(self) -> None:
        """End the request as lost."""
        if not self.is_over:
            self.end()
            self.client.recorder.lost(self.sidecar, self.ident, "reset")
            self.done("lost", 0.0)

    def abandon(self) -> None:
        """Abandon the request; the sidecar learns of it a link's delay later."""
        if self.is_over:
            return
        self.end()
        process, client = self.process, self.client
        if process is None:  # it has not arrived, and will not
            return
        client.recorder.left(self.sidecar, self.ident)
        self.forward.send(self.arrival, process.abandon, self)


class DirectSidecarClient:
    """Carries requests to the sidecars that run; implements `models.request_transport.RequestTransport`.

    Parameters
    ----------
    hosts
        For each sidecar, its callers' host and its own.
    max_connections
        For some sidecars, the connections that their callers open at once at most.
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
            name: (links.link(here, there), links.link(there, here)) for name, (here, there) in hosts.items()
        }
        self.running: dict[str, ListeningSidecar] = {}
        self.max_connections = max_connections
        self.open_counts = dict.fromkeys(max_connections or (), 0)
        self.waiting: dict[str, deque[DirectRequest]] = {name: deque() for name in max_connections or ()}

    def send(
        self,
        sidecar: str,
        ident: str,
        index: int,
        time_left: float,
        key: str,
        is_marked_retry: bool,
        on_response: ResponseCallback,
    ) -> DirectRequest:
        """Send a request to a sidecar; see `models.request_transport.RequestTransport`."""
        request = DirectRequest(
            self, sidecar, ident, index, self.time.instant + time_left, key, is_marked_retry, on_response
        )
        if self.max_connections and sidecar in self.max_connections:
            self.waiting[sidecar].append(request)
            self.send_waiting(sidecar)
        else:
            request.send()
        return request

    def send_waiting(self, sidecar: str) -> None:
        """Send the requests that wait, while there are connections for them."""
        assert self.max_connections is not None
        waiting = self.waiting[sidecar]
        while waiting and self.open_counts[sidecar] < self.max_connections[sidecar]:
            request = waiting.popleft()
            self.open_counts[sidecar] += 1
            request.send()

    def release(self, request: DirectRequest) -> None:
        """Release a request's connection, or its position among those that wait for one."""
        waiting = self.waiting.get(request.sidecar)
        if waiting is None:
            return
        if request in waiting:
            waiting.remove(request)
        else:
            self.open_counts[request.sidecar] -= 1
            self.send_waiting(request.sidecar)
