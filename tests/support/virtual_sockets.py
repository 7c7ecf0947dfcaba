"""The lab's sockets in virtual time, with blocking calls that advance the time until they can return."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from random import Random
from typing import Any, TypeVar

from wheatring.lab.net import Network, VirtualTime
from wheatring.lab.net.sockets import Socket
from wheatring.lab.plan import NetPlan

T = TypeVar("T")
WAIT_LIMIT_SECONDS = 30.0
HOST = "127.0.0.1"


class BlockingSocket:
    """The part of `socket.socket` that the tests use, with the same errors."""

    def __init__(self, sockets: VirtualSockets, socket: Socket) -> None:
        self.sockets = sockets
        self.socket = socket
        self.setsockopt = socket.setsockopt
        self.getsockname = socket.getsockname
        self.shutdown = socket.shutdown
        self.close = socket.close

    def settimeout(self, seconds: float) -> None:
        """Do nothing: all calls have the same limit."""

    def recv(self, size: int) -> bytes:
        self.sockets.until(self.socket.readable)
        return self.socket.recv(size)

    def sendall(self, data: bytes) -> None:
        while data:
            self.sockets.until(self.socket.writable)
            data = data[self.socket.send(data) :]

    def accept(self) -> tuple[BlockingSocket, Any]:
        self.sockets.until(self.socket.readable)
        accepted, address = self.socket.accept()
        return BlockingSocket(self.sockets, accepted), address


class VirtualSockets:
    """A sidecar and its peers, two processes on one host. Simultaneous events come in a random order."""

    def __init__(self) -> None:
        self.time = VirtualTime(ties=Random(1))
        self.net = Network(self.time, NetPlan(), Random(1), epoch=time.time())
        self.reactor = self.net.process("sidecar", HOST)
        self.test_process = self.net.process("story", HOST)
        self.unix = self.reactor.unix

    def run(self, call: Callable[[], T]) -> T:
        result: T = self.reactor.run(call)
        return result

    def until(self, condition: Callable[[], object]) -> None:
        limit = self.time.now() + WAIT_LIMIT_SECONDS
        while not condition():
            assert self.time.step(limit), "condition not met within the limit"

    def settle(self) -> None:
        self.time.run(self.time.now() + 0.01)

    def listen(self) -> Any:
        socket = self._socket()
        socket.bind((HOST, 0))
        socket.listen(128)
        return BlockingSocket(self, socket)

    def refuse(self, listener: Any) -> Any:
        """Close a listener; this network never assigns a closed port again."""
        listener.close()
        return listener

    def connect(self, port: int) -> Any:
        socket = self._socket()
        socket.connect_ex((HOST, port))
        self.until(lambda: socket.broken or socket.writable())
        if socket.error:
            raise OSError(socket.error, os.strerror(socket.error))
        return BlockingSocket(self, socket)

    def ready(self, listeners: list[Any]) -> int:
        """Wait for a connection; return the index of the listener that has one."""
        self.until(lambda: any(listener.socket.queue for listener in listeners))
        return [bool(listener.socket.queue) for listener in listeners].index(True)

    def _socket(self) -> Socket:
        socket = Socket(self.test_process)
        self.test_process.add_descriptor(socket)
        return socket
