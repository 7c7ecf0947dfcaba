"""Callers, endpoints and a stop in drawn orders, in virtual time, and what must hold of all their ends."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from tests.daemon.http1.test_shutdown import leave
from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import Wire, World
from wheatring.common.http_parser import Message, MessageParser
from wheatring.daemon.http1.caller_connection import CallerConnection
from wheatring.daemon.http1.endpoint_connection import EndpointConnection

Make = Callable[..., World]
FAULTS = {"unexpected", "answer-broken", "request-broken", "attempt-broken", "exchange-broken", "overdue"}


class Party:
    """One end of a connection that takes and gives what there is, and waits for nothing."""

    def __init__(self, wire: Wire, *, responses: bool) -> None:
        self.wire = wire
        self.socket = wire.sock.socket
        self.reader = MessageParser(responses=responses, max_body_bytes=1 << 30)
        self.read: list[Message] = []
        self.to_send = b""
        self.left: float | None = None

    def turn(self, max_bytes: int = 1 << 30) -> None:
        with suppress(OSError):  # BlockingIOError too: nothing more for now
            while self.to_send and max_bytes and self.socket.writable():
                sent = self.socket.send(self.to_send[:max_bytes])
                self.to_send, max_bytes = self.to_send[sent:], max_bytes - sent
        with suppress(OSError):
            while self.socket.readable() and (data := self.socket.recv(1 << 20)):
                self.reader.feed(data)
                while (message := self.reader.next_message()) is not None:
                    self.read.append(message)

    def leave(self, how: str, now: float) -> None:
        self.left = now
        with suppress(OSError):
            if how == "shut":
                self.wire.sock.shutdown(socket.SHUT_WR)
            else:
                {"reset": self.wire.reset, "close": self.wire.close}[how]()


class Play:
    def __init__(self, world: World, seed: int) -> None:
        self.world, self.draw = world, random.Random(seed)
        self.callers: list[Party] = []
        self.nodes: list[Party] = []
        self.owners: dict[str, Party] = {}

    def come(self) -> None:
        with suppress(OSError):  # the door is shut
            self.callers.append(Party(Wire(self.world.sockets.connect(self.world.port)), responses=True))

    def ask(self, caller: Party) -> None:
        for _ in range(self.draw.choice([1, 1, 3, 8])):
            ident = f"c{len(self.owners)}"
            self.owners[ident] = caller
            path, size = self.draw.choice(
                [("menu", 0), ("unsafe", 20), ("order", 70_000), ("order", 300_000)]
            )
            method = "POST" if size else "GET"
            head = f"{method} /{path} HTTP/1.1\r\nX-Correlation-Id: {ident}\r\nX-Time-Left-Ms: "
            head += f"{self.draw.choice([300, 2000, 6000])}\r\nContent-Length: {size}\r\n"
            head += "Connection: close\r\n" * (self.draw.random() < 0.1)
            caller.to_send += head.encode() + b"\r\n" + b"y" * size
        caller.turn(self.draw.choice([30, 100_000, 1 << 30]))

    def serve(self, completely: bool = False) -> None:
        for peer in self.world.nodes:
            while peer.listener.socket.queue:
                self.nodes.append(Party(peer.accept(), responses=False))
        for node in self.nodes:
            node.turn()
            early = node.reader.message is not None and not completely and self.draw.random() < 0.1
            if not node.read and not early:
                continue
            if not completely and self.draw.random() < 0.3:
                if self.draw.random() < 0.4:
                    node.leave("reset", 0.0)
                continue
            node.read.clear()
            body = b"x" * self.draw.choice([0, 10, 50_000, 200_000])
            node.to_send += b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            node.turn()


@pytest.mark.parametrize("make", ["virtual"], indirect=True)  # over loopback no order can be drawn
@pytest.mark.parametrize("first", range(0, 200, 20))
def test_whatever_ends_when_no_answer_is_cut_and_nothing_begins_for_who_has_left(
    first: int, make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    sends: list[tuple[str, float]] = []
    dropped: list[bytes] = []
    carry, close = EndpointConnection.send, CallerConnection.close
    handle, stream = CallerConnection.handle, CallerConnection.start_stream

    def seen_carry(self: EndpointConnection, attempt: Any) -> None:
        sends.append((attempt.request.correlation_id, self.pool.clock.now()))
        carry(self, attempt)

    def seen_handle(self: Any, message: Message) -> None:
        self.stays = message.keep_alive
        handle(self, message)

    def seen_stream(self: Any, *large: Any) -> None:
        stream(self, *large)
        self.stays = self.keep_alive  # as its head has said

    def seen_close(self: Any, code: str) -> None:
        told = self.is_flooded or not getattr(self, "stays", True)
        if self.is_connected and not self.close_code and code in ("stopping", "idle", "silent") and not told:
            dropped.append(bytes(self.parser.buffer))
        close(self, code)

    monkeypatch.setattr(EndpointConnection, "send", seen_carry)
    monkeypatch.setattr(CallerConnection, "handle", seen_handle)
    monkeypatch.setattr(CallerConnection, "start_stream", seen_stream)
    monkeypatch.setattr(CallerConnection, "close", seen_close)
    for seed in range(first, first + 20):
        sends.clear()
        world = make(2)
        assert isinstance(world.sockets, VirtualSockets)
        play, time, now = Play(world, seed), world.sockets.time, world.sidecar.clock.now
        if seed % 2:
            world.sidecar.server.body_memory.limit_bytes = 0
        for _ in range(play.draw.randint(10, 60)):
            here = [caller for caller in play.callers if caller.left is None]
            what = play.draw.random()
            if what < 0.15 or not here:
                play.come()
            elif what < 0.5:
                caller = play.draw.choice(here)
                caller.turn() if caller.to_send else play.ask(caller)
            elif what < 0.57:
                play.draw.choice(here).leave(play.draw.choice(["shut", "reset", "close"]), now())
            elif what < 0.78:
                play.serve()
            elif what < 0.96:
                time.run(time.now() + play.draw.choice([0.0, 0.001, 0.02, 0.3]))
            elif not world.sidecar.server.is_stopping:
                leave(world)
        for _ in range(80):
            play.serve(completely=True)
            time.run(time.now() + 0.1)
            for caller in play.callers:
                if caller.left is None:
                    caller.turn()
        ends = [play.owners[ident].left for ident, _ in sends]
        late = [at - end for (_, at), end in zip(sends, ends, strict=True) if end is not None]
        assert max(late, default=0.0) <= 0.1, seed
        assert not FAULTS & {event for event, _ in world.lines}, seed
        assert not any(dropped), (seed, dropped)
        if "answer-cut" not in world.codes("caller-connection"):
            assert not [c for c in play.callers if c.left is None and c.reader.has_partial_message], seed
