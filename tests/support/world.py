"""A sidecar amid peers that follow a script, on real sockets or on virtual ones.

On `LoopbackSockets` the reactor runs in a thread of its own, and peers and callers are plain sockets that the
test reads and writes. On `VirtualSockets` all of it runs in virtual time, which goes on while the test waits.
Every wait has one limit, which is met only if the test fails.
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
    """The installed reactor, and sockets of the system."""

    reactor = reactor
    unix = staticmethod(time.time)

    def __init__(self) -> None:
        self.changed = threading.Condition()  # something may be so now that was not

    def run(self, call: Callable[[], T]) -> T:
        done: T = blockingCallFromThread(self.reactor, call)
        return done

    def until(self, met: Callable[[], object]) -> None:
        with self.changed:
            assert self.changed.wait_for(met, WAIT_LIMIT_SECONDS), "it never came"

    def settle(self) -> None:
        self.run(lambda: None)
        self.run(lambda: None)

    def listen(self) -> Any:
        return socket.create_server(("127.0.0.1", 0))

    def refuse(self, listener: Any) -> Any:
        """Close a listener that nobody has connected to, and keep its port from being given to anybody else.

        A closed port is free for any test that runs at the same time and binds the next one: connections that
        are to be refused would then be taken by that test's peer.
        """
        address = listener.getsockname()
        listener.close()
        reservation = socket.socket()
        reservation.bind(address)
        return reservation

    def connect(self, port: int) -> Any:
        return socket.create_connection(("127.0.0.1", port), WAIT_LIMIT_SECONDS)

    def ready(self, listeners: list[Any]) -> int:
        """Which of them somebody waits at, once somebody does."""
        with selectors.DefaultSelector() as ready:
            for listener in listeners:
                ready.register(listener, selectors.EVENT_READ)
            ((key, _), *_) = ready.select(WAIT_LIMIT_SECONDS)
        return listeners.index(key.fileobj)


class Wire:
    """One end of a connection, which the test reads and writes."""

    def __init__(self, sock: Any) -> None:
        sock.settimeout(WAIT_LIMIT_SECONDS)
        self.sock = sock
        self.buffer = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> tuple[str, dict[str, str], bytes]:
        """Return the next message: first line, fields, body."""
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        length = int(fields.get("content-length", 0))
        while len(self.buffer) < length:
            self._more()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return first, fields, body

    def _more(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def at_end(self) -> bool:
        """Wait for the end; return whether the other side has closed with nothing left to read."""
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
    """A listening peer: an endpoint or discovery."""

    def __init__(self, sockets: LoopbackSockets | VirtualSockets | None = None) -> None:
        self.sockets = sockets or LoopbackSockets()
        self.listener = self.sockets.listen()
        self.listener.settimeout(WAIT_LIMIT_SECONDS)
        self.port = self.listener.getsockname()[1]

    def accept(self) -> Wire:
        return Wire(self.listener.accept()[0])

    def serve(self, one: Callable[[Wire], None]) -> None:
        """Give each connection a thread of its own, until this is closed; `one` ends with its peer."""

        def each(wire: Wire) -> None:
            with suppress(OSError, EOFError):
                one(wire)
            wire.close()

        def all_of_them() -> None:
            with suppress(OSError):
                while True:
                    threading.Thread(target=each, args=(self.accept(),), daemon=True).start()

        threading.Thread(target=all_of_them, daemon=True).start()

    def refuse(self) -> None:
        """Refuse all connections from now on; nobody has connected so far."""
        self.listener = self.sockets.refuse(self.listener)

    def close(self) -> None:
        self.listener.close()


def entry(name: str, peer: Peer, **more: Any) -> dict[str, Any]:
    where = f"127.0.0.1:{peer.port}"
    return {"instanceId": name, "hostPort": where, "lifecycle": "SERVING", "startedAtMs": 0, **more}


class World:
    """A sidecar with so many endpoints, and a discovery that the test may answer for."""

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
        """Call something in the reactor and wait for what it returns."""
        return self.sockets.run(call)

    def codes(self, event: str) -> list[object]:
        return [values.get("code") for name, values in list(self.lines) if name == event]

    def logged(self, event: str, count: int = 1) -> list[object]:
        """Wait until the log has so many lines of an event; their codes."""
        self.sockets.until(lambda: sum(e == event for e, _ in self.lines) >= count)
        return self.codes(event)

    def caller(self) -> Wire:
        wire = Wire(self.sockets.connect(self.port))
        self.wires.append(wire)
        return wire

    def ask(self, name: str = "menu", wire: Wire | None = None, left: int = 6000, more: str = "") -> Wire:
        """Send one request; GET for menu, POST for the others."""
        wire = wire or self.caller()
        method = "GET" if name == "menu" else "POST"
        self.asked += 1
        fields = f"X-Correlation-Id: c{self.asked}\r\nX-Service-Class: {name}\r\n"
        fields += f"X-Time-Left-Ms: {left}\r\n{more}"
        wire.send(f"{method} /{name} HTTP/1.1\r\nHost: b\r\n{fields}\r\n".encode())
        return wire

    def settle(self) -> None:
        """Let the reactor take what the sockets hold by now: that comes between any two calls into it."""
        self.sockets.settle()

    def first(self) -> Wire:
        """Return the next connection to whichever endpoint is tried."""
        return self.nodes[self.sockets.ready([peer.listener for peer in self.nodes])].accept()

    def end(self) -> None:
        def stop() -> None:
            self.sidecar.driver.feed = lambda event: None  # type: ignore[method-assign]  # noqa: ARG005 - the method's signature
            if self.sidecar.server.listener is not None:
                self.sidecar.server.listener.stopListening()
            self.sidecar.cleanup.close()
            self.sidecar.machine_list.on_view = lambda _view: None
            self.sidecar.machine_list.subscribe = lambda: None  # type: ignore[method-assign]
            self.sidecar.machine_list.unsubscribe()
            for connection in [*self.sidecar.server.connections, *self.sidecar.pool.connections]:
                connection.abort("test")

        self.run(stop)
        self.settle()  # their log lines come before the next world's
        for wire in self.wires:
            wire.close()
        for peer in [*self.nodes, self.discovery]:
            peer.close()


def keep_scripted_peers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prepare for worlds: no scripted peer is given up, and the log is put back at the end of the test.

    On a busy machine a peer that has answered quickly once would soon be given up. Each world sets a log line
    of its own.
    """
    monkeypatch.setattr(balancer, "ATTEMPT_TIMEOUT_DEVIATIONS", 1e9)
    monkeypatch.setattr(log, "line", log.line)


def list_body(generation: int, *instances: object, reset: bool = False) -> bytes:
    return json.dumps({"generation": generation, "reset": reset, "instances": instances}).encode()
