"""Invariants of connection ends, in random runs of callers, endpoints and a shutdown in virtual time."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from tests.daemon.http1.test_shutdown import begin_shutdown
from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import Wire, World
from wheatring.common.http_parser import Message, MessageParser
from wheatring.daemon.http1.caller_connection import CallerConnection
from wheatring.daemon.http1.endpoint_connection import EndpointConnection

Make = Callable[..., World]
FAULTS = {"unexpected", "answer-broken", "request-broken", "attempt-broken", "exchange-broken", "overdue"}


class RandomPeer:
    """One end of a connection that sends and receives what is possible, without waiting."""

    def __init__(self, wire: Wire, *, responses: bool) -> None:
        self.wire = wire
        self.socket = wire.sock.socket
        self.reader = MessageParser(responses=responses, max_body_bytes=1 << 30)
        self.read: list[Message] = []
        self.to_send = b""
        self.left_at: float | None = None

    def transfer(self, max_bytes: int = 1 << 30) -> None:
        with suppress(OSError):  # including BlockingIOError: nothing more at present
            while self.to_send and max_bytes and self.socket.writable():
                sent = self.socket.send(self.to_send[:max_bytes])
                self.to_send, max_bytes = self.to_send[sent:], max_bytes - sent
        with suppress(OSError):
            while self.socket.readable() and (data := self.socket.recv(1 << 20)):
                self.reader.feed(data)
                while (message := self.reader.next_message()) is not None:
                    self.read.append(message)

    def disconnect(self, how: str, now: float) -> None:
        self.left_at = now
        with suppress(OSError):
            if how == "half-close":
                self.wire.sock.shutdown(socket.SHUT_WR)
            else:
                {"reset": self.wire.reset, "close": self.wire.close}[how]()


class RandomScenario:
    def __init__(self, world: World, seed: int) -> None:
        self.world, self.rng = world, random.Random(seed)
        self.callers: list[RandomPeer] = []
        self.nodes: list[RandomPeer] = []
        self.owners: dict[str, RandomPeer] = {}

    def connect_caller(self) -> None:
        with suppress(OSError):  # the listening socket is closed
            self.callers.append(RandomPeer(Wire(self.world.sockets.connect(self.world.port)), responses=True))

    def send_requests(self, caller: RandomPeer) -> None:
        for _ in range(self.rng.choice([1, 1, 3, 8])):
            ident = f"c{len(self.owners)}"
            self.owners[ident] = caller
            path, size = self.rng.choice([("menu", 0), ("unsafe", 20), ("order", 70_000), ("order", 300_000)])
            method = "POST" if size else "GET"
            head = f"{method} /{path} HTTP/1.1\r\nX-Correlation-Id: {ident}\r\nX-Time-Left-Ms: "
            head += f"{self.rng.choice([300, 2000, 6000])}\r\nContent-Length: {size}\r\n"
            head += "Connection: close\r\n" * (self.rng.random() < 0.1)
            caller.to_send += head.encode() + b"\r\n" + b"y" * size
        caller.transfer(self.rng.choice([30, 100_000, 1 << 30]))

    def serve(self, completely: bool = False) -> None:
        for peer in self.world.nodes:
            while peer.listener.socket.queue:
                self.nodes.append(RandomPeer(peer.accept(), responses=False))
        for node in self.nodes:
            node.transfer()
            answers_early = node.reader.message is not None and not completely and self.rng.random() < 0.1
            if not node.read and not answers_early:
                continue
            if not completely and self.rng.random() < 0.3:
                if self.rng.random() < 0.4:
                    node.disconnect("reset", 0.0)
                continue
            node.read.clear()
            body = b"x" * self.rng.choice([0, 10, 50_000, 200_000])
            node.to_send += b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            node.transfer()


@pytest.mark.parametrize("make", ["virtual"], indirect=True)  # loopback sockets don't allow to set the order
@pytest.mark.parametrize("first", range(0, 200, 20))
def test_no_response_is_truncated_and_no_attempt_is_sent_after_a_disconnect(
    first: int, make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    sends: list[tuple[str, float]] = []
    dropped: list[bytes] = []
    send, close = EndpointConnection.send, CallerConnection.close
    handle, stream = CallerConnection.handle, CallerConnection.start_stream

    def record_send(self: EndpointConnection, attempt: Any) -> None:
        sends.append((attempt.request.correlation_id, self.pool.clock.now()))
        send(self, attempt)

    def record_handle(self: Any, message: Message) -> None:
        self.keeps_alive = message.keep_alive
        handle(self, message)

    def record_stream(self: Any, *arguments: Any) -> None:
        stream(self, *arguments)
        self.keeps_alive = self.keep_alive  # as stated in its head

    def record_close(self: Any, code: str) -> None:
        is_last = self.is_flooded or not getattr(self, "keeps_alive", True)
        if (
            self.is_connected
            and not self.close_code
            and code in ("stopping", "idle", "silent")
            and not is_last
        ):
            dropped.append(bytes(self.parser.buffer))
        close(self, code)

    monkeypatch.setattr(EndpointConnection, "send", record_send)
    monkeypatch.setattr(CallerConnection, "handle", record_handle)
    monkeypatch.setattr(CallerConnection, "start_stream", record_stream)
    monkeypatch.setattr(CallerConnection, "close", record_close)
    for seed in range(first, first + 20):
        sends.clear()
        world = make(2)
        assert isinstance(world.sockets, VirtualSockets)
        scenario, time, now = RandomScenario(world, seed), world.sockets.time, world.sidecar.clock.now
        if seed % 2:
            world.sidecar.server.body_memory.limit_bytes = 0
        for _ in range(scenario.rng.randint(10, 60)):
            connected = [caller for caller in scenario.callers if caller.left_at is None]
            draw = scenario.rng.random()
            if draw < 0.15 or not connected:
                scenario.connect_caller()
            elif draw < 0.5:
                caller = scenario.rng.choice(connected)
                caller.transfer() if caller.to_send else scenario.send_requests(caller)
            elif draw < 0.57:
                scenario.rng.choice(connected).disconnect(
                    scenario.rng.choice(["half-close", "reset", "close"]), now()
                )
            elif draw < 0.78:
                scenario.serve()
            elif draw < 0.96:
                time.run(time.now() + scenario.rng.choice([0.0, 0.001, 0.02, 0.3]))
            elif not world.sidecar.server.is_stopping:
                begin_shutdown(world)
        for _ in range(80):
            scenario.serve(completely=True)
            time.run(time.now() + 0.1)
            for caller in scenario.callers:
                if caller.left_at is None:
                    caller.transfer()
        left_times = [scenario.owners[ident].left_at for ident, _ in sends]
        late = [
            sent_at - left_at
            for (_, sent_at), left_at in zip(sends, left_times, strict=True)
            if left_at is not None
        ]
        assert max(late, default=0.0) <= 0.1, seed
        assert not FAULTS & {event for event, _ in world.lines}, seed
        assert not any(dropped), (seed, dropped)
        if "answer-cut" not in world.codes("caller-connection"):
            assert not [c for c in scenario.callers if c.left_at is None and c.reader.has_partial_message], (
                seed
            )
