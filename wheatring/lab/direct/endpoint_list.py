"""The service's own endpoint list, with a discovery client that calls the registry's model directly."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from wheatring.balancer.interface import View
from wheatring.daemon.core.clock import Timer
from wheatring.daemon.http1.discovery_client import (
    CONNECT_TIMEOUT_SECONDS,
    WATCH_WAIT_SECONDS,
    AnswerCallback,
    DiscoveryClient,
)
from wheatring.daemon.http1.endpoint_list import EndpointList
from wheatring.daemon.lifecycle.freshness import Freshness
from wheatring.daemon.lifecycle.list_request_schedule import ListRequestSchedule
from wheatring.lab.direct.clock import DirectClock
from wheatring.lab.direct.links import SidecarLinks
from wheatring.lab.models.endpoint_list_json import list_reply_json


class Pending(Protocol):
    """A list request that discovery has received."""

    is_broken_off: bool  # it failed after the start of its response

    def cancel(self) -> None:
        """Cancel the request because its connection was closed; does nothing if it has ended."""


class Registry(Protocol):
    """The part of discovery's model that its clients use."""

    def request_list(
        self, sidecar: str, known_version: int | None, wait: float, on_reply: Callable[[Any], None]
    ) -> Pending:
        """Handle a request that has arrived.

        Parameters
        ----------
        known_version
            The version that the caller has; None for the complete list.
        wait
            The seconds that the request may wait for a newer version.
        on_reply
            Called with the reply, or None if the request fails; never from within this method.
        """


class _Call:
    """One call in flight."""

    __slots__ = ("deadline", "index", "is_over", "pending")

    def __init__(self, index: int | None, deadline: float) -> None:
        self.index = index
        self.deadline = deadline
        self.pending: Pending | None = None  # set when discovery has received it
        self.is_over = False  # at the sidecar's end


class DirectDiscoveryClient:
    """A connection to discovery, with one call at a time."""

    def __init__(self, owner: DirectEndpointList) -> None:
        self.owner = owner
        self.discovery_host = owner.address[0]
        self.on_answer: AnswerCallback | None = None
        self.on_connected: Callable[[], None] | None = None
        self.pending_call: _Call | None = None
        self.is_up = False
        self.answer_began_at: float | None = None
        self.is_sent = False
        self.timer: Timer | None = None

    def call(self, version: int | None, deadline: float, on_answer: AnswerCallback) -> None:
        """Send a call, after connecting if the connection is not up."""
        self.on_answer, self.answer_began_at, self.is_sent = on_answer, None, self.is_up
        clock = self.owner.clock
        call = self.pending_call = _Call(version, deadline)
        if self.is_up:
            self.set_deadline(deadline)
            self.send_to_discovery(self.receive_call, call)
        else:
            self.set_deadline(min(deadline, clock.now() + CONNECT_TIMEOUT_SECONDS))
            self.send_to_discovery(self.accept_connect, call)

    def set_deadline(self, instant: float) -> None:
        """Set the instant at which the call times out."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.owner.clock.at(instant, self.stop, "late")

    def send_to_discovery(self, step: Callable[[_Call], None], call: _Call) -> None:
        """Run a step of the call at discovery, a link delay later."""
        self.owner.links.link(self.owner.host, self.discovery_host).send(0.0, step, call)

    def send_to_sidecar(self, step: Callable[..., None], *args: object) -> None:
        """Run a step of the call at the sidecar, a link delay later."""
        self.owner.links.link(self.discovery_host, self.owner.host).send(0.0, step, *args)

    # Steps of a call, at discovery and at the sidecar

    def accept_connect(self, call: _Call) -> None:
        """At discovery: accept the connect."""
        self.send_to_sidecar(self.handle_connected, call)

    def handle_connected(self, call: _Call) -> None:
        """At the sidecar: send the call on the established connection."""
        if not call.is_over:
            self.is_up = self.is_sent = True
            self.set_deadline(call.deadline)
            self.send_to_discovery(self.receive_call, call)
            if self.on_connected is not None:
                self.on_connected()

    def receive_call(self, call: _Call) -> None:
        """At discovery: pass the call to the registry."""
        if not call.is_over:
            wait = 0.0 if call.index is None else WATCH_WAIT_SECONDS
            registry, name = self.owner.registry, self.owner.name
            call.pending = registry.request_list(
                name, call.index, wait, partial(self.send_to_sidecar, self.handle_answer, call)
            )

    def handle_answer(self, call: _Call, answer: Any) -> None:
        """At the sidecar: end the call with the answer."""
        if not call.is_over:
            self.is_up = answer is not None
            if call.pending is not None and call.pending.is_broken_off:
                self.answer_began_at = self.owner.clock.now()
            self.end(answer)

    # Closing

    def stop(self, code: str) -> None:  # noqa: ARG002 - DiscoveryClient's signature
        """Close the connection, and end the call without an answer."""
        self.hang_up()
        self.end(None)

    def close(self, code: str) -> None:  # noqa: ARG002 - DiscoveryClient's signature
        """Close the idle connection."""
        self.is_up = False

    def hang_up(self) -> None:
        """Close the connection; discovery cancels the request a link delay later."""
        self.is_up = False
        call = self.pending_call
        if call is not None and not call.is_over:
            call.is_over = True
            if call.pending is not None:
                self.owner.links.link(self.owner.host, self.discovery_host).send(0.0, call.pending.cancel)

    def end(self, answer: Any) -> None:
        """End the call with an answer, or None."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None
        if self.pending_call is not None:
            self.pending_call.is_over = True
            self.pending_call = None
        on_answer, self.on_answer = self.on_answer, None
        if on_answer is not None:
            on_answer(answer)


class DirectEndpointList(EndpointList):
    """The endpoint list of a sidecar: the service's own, except for the client of discovery."""

    def __init__(
        self,
        sidecar_links: SidecarLinks,
        clock: DirectClock,
        discovery: tuple[str, int],
        registry: Registry,
        addresses: dict[str, str],
        on_view: Callable[[View], None],
        freshness: Freshness,
        request_schedule: ListRequestSchedule,
        pushed: bool,
    ) -> None:
        self.clock: DirectClock
        self.name, self.host, self.links = sidecar_links
        self.registry = registry
        super().__init__(None, clock, discovery, addresses, on_view, freshness, request_schedule, pushed)

    def create_client(self) -> DiscoveryClient:
        """Return a new client of discovery."""
        return DirectDiscoveryClient(self)

    def decode(self, answer: Any) -> object:
        """Return the answer in the form of its decoded JSON."""
        return list_reply_json(answer)

    def kill(self) -> None:
        """Close all calls in flight without callbacks because the process has ended."""
        for caller in (self.client, self.replacement, *self.superseded.clients):
            if isinstance(caller, DirectDiscoveryClient):
                caller.hang_up()
