"""Listening sockets: the callers', and what lets two processes of one sidecar listen at one address."""

from __future__ import annotations

import socket
import struct
from array import array
from typing import Any, Protocol

from twisted.internet.tcp import Port

from wheatring import log

SO_ATTACH_REUSEPORT_CBPF = 51  # Python has no name for it
BPF_RETURN = 0x06  # of the classic filter's instructions: give this back
NEWCOMER_INDEX = 1  # the place of the newcomer in the group, in the order in which they listened


class ListenerFactory(Protocol):
    """What makes the connections, as far as the door knows it."""

    @property
    def free_places(self) -> int: ...


class Listener(Port):
    """The callers' door. It takes no more callers in one go than there are places for."""

    def doRead(self) -> None:
        factory: Any = self.factory
        self.numberAccepts = max(1, min(self.numberAccepts, factory.free_places))
        super().doRead()  # type: ignore[no-untyped-call]


class SharedListener(Listener):
    """One of several at the same address, each in a process of its own."""

    def createInternetSocket(self) -> socket.socket:
        made: socket.socket = super().createInternetSocket()  # type: ignore[no-untyped-call]
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return made

    def direct_to_newcomer(self) -> bool:
        """Have all new connections come to the second of two doors, for which this one stands. The first
        one's queue runs dry then, and nobody is lost in it when it is closed; once one is alone, the answer
        names no door, and the kernel goes by its own rule. False: it won't be told, and goes by hash.
        """
        program = array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, NEWCOMER_INDEX))
        address, _ = program.buffer_info()
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, address))
        except OSError as bad:
            log.line("door-not-drawn", why=bad.strerror)
            return False
        return True


def open_listener(port: int, server: ListenerFactory, backlog: int, host: str, reactor: Any) -> Listener:
    return _listening(Listener, port, server, backlog, host, reactor)


def open_shared_listener(
    port: int, server: ListenerFactory, backlog: int, host: str, reactor: Any
) -> Listener:
    return _listening(SharedListener, port, server, backlog, host, reactor)


def _listening(
    kind: Any, port: int, server: ListenerFactory, backlog: int, host: str, reactor: Any
) -> Listener:
    door: Listener = kind(port, server, backlog, host, reactor)
    door.startListening()
    return door
