"""The shared helper of the stories: a sidecar amid peers that follow a script, on one of two grounds.

On `Loopback` the reactor runs in a thread of its own, and peers and callers are plain sockets that the story
reads and writes. On `Virtual` all of it runs in virtual time, which goes on while the story waits. Every wait
has one far limit, which is met only if the story fails.
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

from twisted.internet import reactor as installed
from twisted.internet.threads import blockingCallFromThread

from tests.support.virtual_sockets import Virtual
from wheatring import log
from wheatring.config.platform_file import PlatformConfig, read_settings
from wheatring.daemon.sidecar import Sidecar
from wheatring.operator_properties import OperatorProperties

reactor: Any = installed
T = TypeVar("T")
FAR = 30.0
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


class Loopback:
    """The installed reactor, and sockets of the system."""

    reactor = reactor
    unix = staticmethod(time.time)

    def __init__(self) -> None:
        self.said = threading.Condition()  # something may be so now that was not

    def run(self, call: Callable[[], T]) -> T:
        done: T = blockingCallFromThread(self.reactor, call)
        return done

    def until(self, met: Callable[[], object]) -> None:
        with self.said:
            assert self.said.wait_for(met, FAR), "it never came"

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
        return socket.create_connection(("127.0.0.1", port), FAR)

    def ready(self, listeners: list[Any]) -> int:
        """Which of them somebody waits at, once somebody does."""
        with selectors.DefaultSelector() as ready:
            for listener in listeners:
                ready.register(listener, selectors.EVENT_READ)
            ((key, _), *_) = ready.select(FAR)
        return listeners.index(key.fileobj)


class Wire:
    """One end of a connection, in the hands of the story."""

    def __init__(self, sock: Any) -> None:
        sock.settimeout(FAR)
        self.sock = sock
        self.held = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def read(self) -> tuple[str, dict[str, str], bytes]:
        """The next message: first line, fields, body."""
        while b"\r\n\r\n" not in self.held:
            self._more()
        head, _, self.held = self.held.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        length = int(fields.get("content-length", 0))
        while len(self.held) < length:
            self._more()
        body, self.held = self.held[:length], self.held[length:]
        return first, fields, body

    def _more(self) -> None:
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.held += data

    def at_end(self) -> bool:
        """The other side has closed, with nothing more to say. Waits for it."""
        try:
            return not self.held and self.sock.recv(1) == b""
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
    """A listening party: an execute node or discovery."""

    def __init__(self, ground: Loopback | Virtual | None = None) -> None:
        self.ground = ground or Loopback()
        self.listener = self.ground.listen()
        self.listener.settimeout(FAR)
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
        self.listener = self.ground.refuse(self.listener)

    def close(self) -> None:
        self.listener.close()


def entry(name: str, peer: Peer, **more: Any) -> dict[str, Any]:
    where = f"127.0.0.1:{peer.port}"
    return {"instanceId": name, "hostPort": where, "lifecycle": "SERVING", "startedAtMs": 0, **more}


class World:
    """A sidecar with so many nodes, and a discovery that the story may answer for."""

    def __init__(
        self,
        ground: Loopback | Virtual,
        nodes: int = 1,
        operators: OperatorProperties = NO_OPERATORS,
        capture: bool = False,
        control: tuple[str, int] | None = None,
        **more: Any,
    ) -> None:
        self.ground = ground
        self.reactor = ground.reactor
        self.lines: list[tuple[str, dict[str, object]]] = []
        self.nodes = [Peer(ground) for _ in range(nodes)]
        self.discovery = Peer(ground)
        self.wires: list[Wire] = []
        self.asked = 0
        known = {"generation": 7, "instances": self.known()}
        self.config = PlatformConfig(
            name="test", listen=("127.0.0.1", 0), discovery=("127.0.0.1", self.discovery.port), seed=1,
            sockets=256, known=known, settings=read_settings(SETTINGS), given=SETTINGS,
            control=control,
        )  # fmt: skip

        def start() -> tuple[Sidecar, int]:
            sidecar = Sidecar(self.reactor, self.config, operators, capture, ground.unix, **more)
            sidecar.start()
            return sidecar, sidecar.server.listener.getHost().port

        log.line = self._line
        self.sidecar, self.port = self.run(start)

    def known(self) -> list[dict[str, Any]]:
        return [entry(f"n{n}", p) for n, p in enumerate(self.nodes)]

    def _line(self, event: str, /, **values: object) -> None:
        if isinstance(self.ground, Virtual):
            self.lines.append((event, values))
        else:
            with self.ground.said:
                self.lines.append((event, values))
                self.ground.said.notify_all()

    def run(self, call: Callable[[], T]) -> T:
        """Call something in the reactor and wait for what it returns."""
        return self.ground.run(call)

    def codes(self, event: str) -> list[object]:
        return [values.get("code") for name, values in list(self.lines) if name == event]

    def logged(self, event: str, count: int = 1) -> list[object]:
        """Wait until the log has so many lines of an event; their codes."""
        self.ground.until(lambda: sum(e == event for e, _ in self.lines) >= count)
        return self.codes(event)

    def caller(self) -> Wire:
        wire = Wire(self.ground.connect(self.port))
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
        self.ground.settle()

    def first(self) -> Wire:
        """The next connection to whichever node is tried."""
        return self.nodes[self.ground.ready([peer.listener for peer in self.nodes])].accept()

    def end(self) -> None:
        def stop() -> None:
            self.sidecar.driver.feed = lambda event: None  # type: ignore[method-assign]
            if self.sidecar.server.listener is not None:
                self.sidecar.server.listener.stopListening()
            self.sidecar.cleanup.close()
            self.sidecar.machine_list.on_view = lambda view: None
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


def list_body(generation: int, *instances: object, reset: bool = False) -> bytes:
    return json.dumps({"generation": generation, "reset": reset, "instances": instances}).encode()
