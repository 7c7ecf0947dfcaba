"""A sidecar with scripted peers, on real or on virtual sockets.

With `LoopbackSockets` the reactor runs in its own thread, and peers and callers are plain sockets that the
test reads and writes. With `VirtualSockets` everything runs in virtual time, which advances while the test
waits. All waits have the same limit, which is reached only if the test fails.
"""

from __future__ import annotations

import json
import selectors
import socket
import struct
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, TypeVar

import pytest
from twisted.internet import reactor as installed
from twisted.internet.threads import blockingCallFromThread

from tests.support.virtual_sockets import VirtualSockets
from wheatring.balancer import balancer
from wheatring.common import log
from wheatring.daemon.config.platform_file import PlatformConfig, read_settings
from wheatring.daemon.operator_properties import OperatorProperties
from wheatring.daemon.sidecar import Sidecar

reactor: Any = installed
T = TypeVar("T")
WAIT_LIMIT_SECONDS = 30.0
NO_OPERATORS = OperatorProperties()

CLASSES = [
    {"name": "menu", "slo": 2500000, "deadline": 6000000, "effect": "pure", "late_worth": 0.25},
    {"name": "order", "slo": 2500000, "deadline": 6000000, "effect": "token", "group": "all",
     "memory_span": 10000000, "late_worth": 0.5},
    {"name": "unsafe", "slo": 6000000, "deadline": 6000000, "effect": "side_effect"},
]  # fmt: skip
SETTINGS: dict[str, Any] = {
    "classes": CLASSES,
    "contract": {
        "grace_to_answer": 20000, "stop_sending_within": 2500000, "must_ask_in": 10000000, "cold_from": 0.13,
        "cold": 24000000, "fall_multiple": 2.5, "overload_for": 1000000,
    },
    "limits": {
        "dial_timeout": 20000000, "keepalive": 30000000, "retry_after": True, "max_retry_after": 200000,
    },
    "peers_total": 1, "slot_no": 0, "discovery": "on_request", "tiers": ["menu"],
}  # fmt: skip


class LoopbackSockets:
    """The installed reactor, and sockets of the operating system."""

    reactor = reactor
    unix = staticmethod(time.time)

    def __init__(self) -> None:
        self.changed = threading.Condition()  # notified when an awaited condition may have become true

    def run(self, call: Callable[[], T]) -> T:
        result: T = blockingCallFromThread(self.reactor, call)
        return result

    def until(self, condition: Callable[[], object]) -> None:
        with self.changed:
            assert self.changed.wait_for(condition, WAIT_LIMIT_SECONDS), "condition not met within the limit"

    def settle(self) -> None:
        self.run(lambda: None)
        self.run(lambda: None)

    def listen(self) -> Any:
        return socket.create_server(("127.0.0.1", 0))

    def refuse(self, listener: Any) -> Any:
        """Close a listener without connections, and reserve its port.

        A closed port may be assigned to a test that runs at the same time, whose peer would then accept the
        connections that have to be refused.
        """
        address = listener.getsockname()
        listener.close()
        reservation = socket.socket()
        reservation.bind(address)
        return reservation

    def connect(self, port: int) -> Any:
        return socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS)

    def ready(self, listeners: list[Any]) -> int:
        """Wait for a connection; return the index of the listener that has one."""
        with selectors.DefaultSelector() as selector:
            for listener in listeners:
                selector.register(listener, selectors.EVENT_READ)
            ((key, _), *_) = selector.select(WAIT_LIMIT_SECONDS)
        return listeners.index(key.fileobj)


class Wire:
    """One end of a connection that the test reads and writes."""

    def __init__(self, sock: Any) -> None:
        sock.settimeout(WAIT_LIMIT_SECONDS)
        self.sock = sock
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> tuple[str, dict[str, str], bytes]:
        """Return the next message: first line, fields, body."""
        while b"\r\n\r\n" not in self.buffer:
            self._receive()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        length = int(fields.get("content-length", 0))
        while len(self.buffer) < length:
            self._receive()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return first, fields, body

    def _receive(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def at_end(self) -> bool:
        """Wait for the peer's close; return whether there was no unread data before it."""
        try:
            return not self.buffer and self.sock.recv(1) == b""
        except ConnectionResetError:
            return True

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def close(self) -> None:
        self.sock.close()

    def answer(self, status: int = 200, body: bytes = b"", more: str = "") -> None:
        self.send(f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body)


class Peer:
    """A listening peer: an endpoint or the discovery service."""

    def __init__(self, sockets: LoopbackSockets | VirtualSockets | None = None) -> None:
        self.sockets = sockets or LoopbackSockets()
        self.listener = self.sockets.listen()
        self.listener.settimeout(WAIT_LIMIT_SECONDS)
        self.port = self.listener.getsockname()[1]

    def accept(self) -> Wire:
        return Wire(self.listener.accept()[0])

    def serve(self, handle: Callable[[Wire], None]) -> None:
        """Call `handle` for each connection in a thread of its own, until this peer is closed."""

        def handle_and_close(wire: Wire) -> None:
            with suppress(OSError, EOFError):
                handle(wire)
            wire.close()

        def accept_all() -> None:
            with suppress(OSError):
                while True:
                    threading.Thread(target=handle_and_close, args=(self.accept(),), daemon=True).start()

        threading.Thread(target=accept_all, daemon=True).start()

    def refuse(self) -> None:
        """Refuse all connections from now on; there are none yet."""
        self.listener = self.sockets.refuse(self.listener)

    def close(self) -> None:
        self.listener.close()


def entry(name: str, peer: Peer, **more: Any) -> dict[str, Any]:
    host_port = f"127.0.0.1:{peer.port}"
    return {"instanceId": name, "hostPort": host_port, "lifecycle": "SERVING", "startedAtMs": 0, **more}


class World:
    """A sidecar with a number of endpoints, and a discovery service that the test may script."""

    def __init__(
        self,
        sockets: LoopbackSockets | VirtualSockets,
        nodes: int = 1,
        operators: OperatorProperties = NO_OPERATORS,
        capture: bool = False,
        control: tuple[str, int] | None = None,
        **more: Any,
    ) -> None:
        self.sockets = sockets
        self.reactor = sockets.reactor
        self.lines: list[tuple[str, dict[str, object]]] = []
        self.nodes = [Peer(sockets) for _ in range(nodes)]
        self.discovery = Peer(sockets)
        self.wires: list[Wire] = []
        self.asked = 0
        known = {"generation": 7, "instances": self.known()}
        self.config = PlatformConfig(
            name="test", listen=("127.0.0.1", 0), discovery=("127.0.0.1", self.discovery.port), seed=1,
            sockets=256, known=known, settings=read_settings(SETTINGS), given=SETTINGS,
            control=control,
        )  # fmt: skip

        def start() -> tuple[Sidecar, int]:
            sidecar = Sidecar(self.reactor, self.config, operators, capture, sockets.unix, **more)
            sidecar.start()
            return sidecar, sidecar.server.listener.getHost().port

        log.line = self._line
        self.sidecar, self.port = self.run(start)

    def known(self) -> list[dict[str, Any]]:
        return [entry(f"n{n}", p) for n, p in enumerate(self.nodes)]

    def _line(self, event: str, /, **values: object) -> None:
        if isinstance(self.sockets, VirtualSockets):
            self.lines.append((event, values))
        else:
            with self.sockets.changed:
                self.lines.append((event, values))
                self.sockets.changed.notify_all()

    def run(self, call: Callable[[], T]) -> T:
        """Run a call in the reactor and return its result."""
        return self.sockets.run(call)

    def codes(self, event: str) -> list[object]:
        return [values.get("code") for name, values in list(self.lines) if name == event]

    def logged(self, event: str, count: int = 1) -> list[object]:
        """Wait until the log has this many lines of an event, and return their codes."""
        self.sockets.until(lambda: sum(e == event for e, _ in self.lines) >= count)
        return self.codes(event)

    def caller(self) -> Wire:
        wire = Wire(self.sockets.connect(self.port))
        self.wires.append(wire)
        return wire

    def ask(self, name: str = "menu", wire: Wire | None = None, left: int = 6000, more: str = "") -> Wire:
        """Send one request: GET for the class `menu`, POST for others."""
        wire = wire or self.caller()
        method = "GET" if name == "menu" else "POST"
        self.asked += 1
        fields = f"X-Correlation-Id: c{self.asked}\r\nX-Service-Class: {name}\r\n"
        fields += f"X-Time-Left-Ms: {left}\r\n{more}"
        wire.send(f"{method} /{name} HTTP/1.1\r\nHost: b\r\n{fields}\r\n".encode())
        return wire

    def settle(self) -> None:
        """Let the reactor process all data that the sockets have received so far."""
        self.sockets.settle()

    def first(self) -> Wire:
        """Return the next connection to any endpoint."""
        return self.nodes[self.sockets.ready([peer.listener for peer in self.nodes])].accept()

    def end(self) -> None:
        def stop() -> None:
            self.sidecar.driver.feed = lambda event: None  # type: ignore[method-assign]  # noqa: ARG005 - the method's signature
            if self.sidecar.server.listener is not None:
                self.sidecar.server.listener.stopListening()
            self.sidecar.cleanup.close()
            self.sidecar.endpoint_list.on_view = lambda _view: None
            self.sidecar.endpoint_list.subscribe = lambda: None  # type: ignore[method-assign]
            self.sidecar.endpoint_list.unsubscribe()
            for connection in [*self.sidecar.server.connections, *self.sidecar.pool.connections]:
                connection.abort("test")

        self.run(stop)
        self.settle()  # so that their log lines are not mixed with the next world's
        for wire in self.wires:
            wire.close()
        for peer in [*self.nodes, self.discovery]:
            peer.close()


def keep_scripted_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep scripted peers from being given up, and restore the log at the end of the test.

    On a busy machine the balancer would soon give up a peer that has once answered quickly. Each world
    replaces `log.line`.
    """
    monkeypatch.setattr(balancer, "ATTEMPT_TIMEOUT_DEVIATIONS", 1e9)
    monkeypatch.setattr(log, "line", log.line)


def list_body(generation: int, *instances: object, reset: bool = False) -> bytes:
    return json.dumps({"generation": generation, "reset": reset, "instances": instances}).encode()
