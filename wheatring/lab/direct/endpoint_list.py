"""Discovery's client without bytes: the service's own watch, on the registry's model."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol

from wheatring.balancer.interface import View
from wheatring.core.clock import Timer
from wheatring.http1.discovery_client import (
    CONNECT_TIMEOUT_SECONDS,
    WATCH_WAIT_SECONDS,
    AnswerCallback,
    DiscoveryClient,
)
from wheatring.http1.endpoint_list import EndpointList
from wheatring.lab.direct.clock import DirectClock
from wheatring.lab.direct.links import Links
from wheatring.lab.models.form import as_json
from wheatring.lifecycle.freshness import Freshness
from wheatring.lifecycle.list_request_schedule import ListRequestSchedule


class Pending(Protocol):
    broken: bool  # its answer had begun when it failed

    def cancel(self) -> None:
        """The call's connection has been closed. Nothing happens to one that has ended."""


class Registry(Protocol):
    """What is needed of discovery's model."""

    def call(self, sidecar: str, index: int | None, wait: float, done: Callable[[Any], None]) -> Pending:
        """A call has arrived: for the whole list, or for what is newer than a version, which waits up to so
        many seconds. `done`, never called from within, gets the answer, or None where the call fails.
        """


class _Out:
    """One call that is out."""

    __slots__ = ("deadline", "index", "over", "pending")

    def __init__(self, index: int | None, deadline: float) -> None:
        self.index = index
        self.deadline = deadline
        self.pending: Pending | None = None  # once discovery has it
        self.over = False  # for the sidecar


class DirectDiscoveryClient:
    """One connection to discovery, and the calls on it, one after another."""

    def __init__(self, owner: DirectEndpointList) -> None:
        self.owner = owner
        self.there = owner.address[0]
        self.on_answer: AnswerCallback | None = None
        self.on_connected: Callable[[], None] | None = None
        self.out: _Out | None = None
        self.up = False
        self.answer_began_at: float | None = None
        self.is_sent = False
        self.late: Timer | None = None

    def call(self, version: int | None, deadline: float, on_answer: AnswerCallback) -> None:
        self.on_answer, self.answer_began_at, self.is_sent = on_answer, None, self.up
        clock = self.owner.clock
        out = self.out = _Out(version, deadline)
        if self.up:
            self.set_deadline(deadline)
            self.to_there(self.arrive, out)
        else:
            self.set_deadline(min(deadline, clock.now() + CONNECT_TIMEOUT_SECONDS))
            self.to_there(self.knock, out)

    def set_deadline(self, instant: float) -> None:
        if self.late is not None and self.late.active():
            self.late.cancel()
        self.late = self.owner.clock.at(instant, self.stop, "late")

    def to_there(self, call: Callable[[_Out], None], out: _Out) -> None:
        self.owner.links.link(self.owner.host, self.there).send(0.0, call, out)

    def to_here(self, call: Callable[..., None], *args: object) -> None:
        self.owner.links.link(self.there, self.owner.host).send(0.0, call, *args)

    # The steps of a call, at discovery and back here

    def knock(self, out: _Out) -> None:
        self.to_here(self.connected, out)

    def connected(self, out: _Out) -> None:
        if not out.over:
            self.up = self.is_sent = True
            self.set_deadline(out.deadline)
            self.to_there(self.arrive, out)
            if self.on_connected is not None:
                self.on_connected()

    def arrive(self, out: _Out) -> None:
        if not out.over:
            wait = 0.0 if out.index is None else WATCH_WAIT_SECONDS
            registry, name = self.owner.registry, self.owner.name
            out.pending = registry.call(name, out.index, wait, partial(self.to_here, self.answered, out))

    def answered(self, out: _Out, answer: Any) -> None:
        if not out.over:
            self.up = answer is not None
            if out.pending is not None and out.pending.broken:
                self.answer_began_at = self.owner.clock.now()
            self.end(answer)

    # Ends

    def stop(self, code: str) -> None:
        self.hang_up()
        self.end(None)

    def close(self, code: str) -> None:
        self.up = False

    def hang_up(self) -> None:
        """Close the connection, of which discovery hears some time later."""
        self.up = False
        out = self.out
        if out is not None and not out.over:
            out.over = True
            if out.pending is not None:
                self.owner.links.link(self.owner.host, self.there).send(0.0, out.pending.cancel)

    def end(self, answer: Any) -> None:
        if self.late is not None and self.late.active():
            self.late.cancel()
        self.late = None
        if self.out is not None:
            self.out.over = True
            self.out = None
        done, self.on_answer = self.on_answer, None
        if done is not None:
            done(answer)


class DirectEndpointList(EndpointList):
    """The machine list of one sidecar. All but the calls themselves is the service's own."""

    def __init__(
        self,
        clock: DirectClock,
        name: str,
        host: str,
        discovery: tuple[str, int],
        registry: Registry,
        links: Links,
        addresses: dict[str, str],
        on_view: Callable[[View], None],
        freshness: Freshness,
        asking: ListRequestSchedule,
        pushed: bool,
    ) -> None:
        self.clock: DirectClock
        self.name = name
        self.host = host
        self.registry = registry
        self.links = links
        super().__init__(None, clock, discovery, addresses, on_view, freshness, asking, pushed)

    def create_client(self) -> DiscoveryClient:
        return DirectDiscoveryClient(self)

    def decode(self, answer: Any) -> object:
        """As the answer's JSON is read."""
        return as_json(answer)

    def die(self) -> None:
        """Its process has ended: what is out is closed, and nobody hears of it."""
        for caller in (self.client, self.replacement, *self.superseded):
            if isinstance(caller, DirectDiscoveryClient):
                caller.hang_up()
