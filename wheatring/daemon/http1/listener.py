"""Listening sockets for callers, and for two processes of one sidecar at the same address."""

from __future__ import annotations

import socket
import struct
from array import array
from typing import Any, Protocol

from twisted.internet.tcp import Port

from wheatring.common import log

SO_ATTACH_REUSEPORT_CBPF = 51  # of asm-generic/socket.h; Python has no name for it
BPF_RETURN = 0x06  # BPF_RET | BPF_K, the classic filter's instruction that returns a constant
NEWCOMER_INDEX = 1  # of the second process in the group, in the order in which they listened


class ListenerFactory(Protocol):
    """What makes the connections, as far as a listener uses it."""

    @property
    def free_places(self) -> int:
        """How many more connections it can take."""


class Listener(Port):
    """The callers' listening socket. It accepts no more at once than there are places."""

    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Accept the connections that wait."""
        factory: Any = self.factory
        self.numberAccepts = max(1, min(self.numberAccepts, factory.free_places))
        super().doRead()  # type: ignore[no-untyped-call]


class SharedListener(Listener):
    """One of several listening sockets at the same address, each in a process of its own."""

    def createInternetSocket(self) -> socket.socket:  # noqa: N802 - Twisted's name
        """Create a socket that may share its address."""
        made: socket.socket = super().createInternetSocket()  # type: ignore[no-untyped-call]
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return made

    def direct_to_newcomer(self) -> bool:
        """Have the kernel give all new connections to the second process of two, which is this one.

        The queue of the first runs dry then, so that no connection is lost in it when that process closes its
        socket. Once a single process is left, the filter's answer names no socket, and the kernel goes by its
        own rule. Returns False if the kernel does not take the filter: it goes on by hash.
        """
        program = array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, NEWCOMER_INDEX))
        address, _ = program.buffer_info()
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, struct.pack("HP", 1, address))
        except OSError as error:
            log.line("door-not-drawn", why=error.strerror)
            return False
        return True


def open_listener(port: int, server: ListenerFactory, backlog: int, host: str, reactor: Any) -> Listener:
    """Listen for callers."""
    return _open(Listener, port, server, backlog, host, reactor)


def open_shared_listener(
    port: int, server: ListenerFactory, backlog: int, host: str, reactor: Any
) -> Listener:
    """Listen for callers beside another process at the same address."""
    return _open(SharedListener, port, server, backlog, host, reactor)


def _open(kind: Any, port: int, server: ListenerFactory, backlog: int, host: str, reactor: Any) -> Listener:
    listener: Listener = kind(port, server, backlog, host, reactor)
    listener.startListening()
    return listener
