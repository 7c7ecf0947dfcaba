"""Listening sockets for callers, which two processes of a sidecar may share during a handover."""

from __future__ import annotations

import socket
import struct
from array import array
from typing import Any, Protocol

from twisted.internet.tcp import Port

from wheatring.common import log

SO_ATTACH_REUSEPORT_CBPF = 51  # from asm-generic/socket.h; not in Python's socket module
BPF_RETURN = 0x06  # BPF_RET | BPF_K, the classic BPF instruction that returns a constant
NEW_PROCESS_INDEX = 1  # index in the reuseport group, which is ordered by the start of listening


class ListenerFactory(Protocol):
    """The part of a server factory that a listener uses."""

    @property
    def free_slots(self) -> int:
        """Number of further connections that can be accepted."""


class Listener(Port):
    """The listening socket for callers. It never accepts more connections than there are free slots."""

    def doRead(self) -> None:  # noqa: N802 - Twisted's name
        """Accept queued connections."""
        factory: Any = self.factory
        self.numberAccepts = max(1, min(self.numberAccepts, factory.free_slots))
        super().doRead()  # type: ignore[no-untyped-call]


class SharedListener(Listener):
    """One of several listening sockets at the same address, each in a separate process."""

    def createInternetSocket(self) -> socket.socket:  # noqa: N802 - Twisted's name
        """Create a socket with SO_REUSEPORT."""
        new_socket: socket.socket = super().createInternetSocket()  # type: ignore[no-untyped-call]
        new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return new_socket

    def direct_to_new_process(self) -> bool:
        """Direct all new connections to this process, the second one of two in the reuseport group.

        The accept queue of the first process can then drain, so that no queued connection is lost when it
        closes its socket. Once only one process is left, the filter's result is out of range, and the kernel
        falls back to its default selection. Returns False if the kernel rejects the filter, and keeps
        selecting by hash.
        """
        program = array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, NEW_PROCESS_INDEX))
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
    """Listen for callers at an address that another process may share."""
    return _open(SharedListener, port, server, backlog, host, reactor)


def _open(kind: Any, port: int, server: ListenerFactory, backlog: int, host: str, reactor: Any) -> Listener:
    listener: Listener = kind(port, server, backlog, host, reactor)
    listener.startListening()
    return listener
