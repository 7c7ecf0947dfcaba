"""Twisted's own TCP transports and ports on sockets of ours.

Only what touches a reactor's descriptors, a real socket or Twisted's log is replaced. Producers, closing and
the order of callbacks are Twisted's.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet import error, tcp
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.python import log

from wheatring.lab.net.sockets import Socket

cannot_listen: Any = error.CannotListenError  # Twisted's own type says nothing of its arguments
log_failure: Any = log.err
Why = Any  # None, or the exception for which a transport ends


class SocketWatcher:
    """What waits for its socket to be readable or writable, as its process serves it."""

    reactor: Any
    socket: Any
    reading = False
    writing = False
    queued = False  # for the next turn

    def startReading(self) -> None:  # noqa: N802 - Twisted's name
        """Wait for the socket to be readable."""
        if not self.reading:
            socket = self.socket
            socket.watcher = self
            self.reading = True
            if socket.readable():
                self.reactor.queue(self)

    def stopReading(self) -> None:  # noqa: N802 - Twisted's name
        """Wait for that no longer."""
        self.reading = False

    def startWriting(self) -> None:  # noqa: N802 - Twisted's name
        """Wait for the socket to be writable."""
        if not self.writing:
            self.socket.watcher = self
            self.writing = True
            self.reactor.want(self)

    def stopWriting(self) -> None:  # noqa: N802 - Twisted's name
        """Wait for that no longer."""
        self.writing = False


class Transport(SocketWatcher):
    """What both ends of a connection share."""

    connected: Any
    dataBuffer: bytes  # noqa: N815 - Twisted's name
    disconnecting: Any
    offset: int
    producerPaused: bool  # noqa: N815 - Twisted's name
    protocol: Any
    producer: Any
    streamingProducer: bool  # noqa: N815 - Twisted's name
    bufferSize: int  # noqa: N815 - Twisted's name
    SEND_LIMIT: int
    _tempDataBuffer: list[bytes]  # noqa: N815 - Twisted's name
    _tempDataLen: int  # noqa: N815 - Twisted's name
    _writeDisconnected: bool  # noqa: N815 - Twisted's name
    _writeDisconnecting: bool  # noqa: N815 - Twisted's name

    @property
    def sent_at(self) -> float:
        """When the peer sent the first of the bytes that `dataReceived` has got last."""
        sent: float = self.socket.sent_at
        return sent

    @property
    def peer_read(self) -> Callable[[], int]:
        """Tells how many bytes the peer's program has read by then, also once the connection has ended."""
        return partial(getattr, self.socket.out, "read")

    def write(self, data: bytes) -> None:
        """Send data, as soon as the socket takes it."""
        if data.__class__ is not bytes and not isinstance(data, bytes):
            raise TypeError("Data must be bytes")
        if data and self.connected and not self._writeDisconnected:
            self._tempDataBuffer.append(data)
            self._tempDataLen += len(data)
            if self.producer is not None and self.streamingProducer:
                self._maybePauseProducer()
            if not self.writing:
                self.startWriting()

    def _maybePauseProducer(self) -> None:  # noqa: N802 - Twisted's name
        super()._maybePauseProducer()  # type: ignore[misc]

    def doRead(self) -> Why:  # noqa: N802 - Twisted's name
        """As Twisted's, in one call less."""
        try:
            data = self.socket.recv(self.bufferSize)
        except BlockingIOError:
            return None
        except OSError:
            return CONNECTION_LOST
        if not data:
            return CONNECTION_DONE
        self.protocol.dataReceived(data)
        return None

    def doWrite(self) -> Why:  # noqa: N802 - Twisted's name
        """As Twisted's, but for the detours of what is left over from an earlier write or is to end."""
        waiting = self._tempDataBuffer
        ending = self.disconnecting or self._writeDisconnecting
        if ending or self.dataBuffer or self._tempDataLen > self.SEND_LIMIT:
            return super().doWrite()  # type: ignore[misc]
        data = waiting[0] if len(waiting) == 1 else b"".join(waiting)
        self._tempDataBuffer = []
        self._tempDataLen = 0
        sent = self.writeSomeData(data)
        if sent.__class__ is not int:
            return sent
        if sent < len(data):
            self.dataBuffer, self.offset = data, sent
            return None
        self.writing = False
        producer = self.producer
        if producer is not None and (not self.streamingProducer or self.producerPaused):
            self.producerPaused = False
            producer.resumeProducing()
        return None

    def writeSomeData(self, data: Any) -> Any:  # noqa: N802 - Twisted's name
        """Hand data to the socket, and return how many bytes it took."""
        if len(data) > self.SEND_LIMIT:
            data = data[: self.SEND_LIMIT]
        try:
            return self.socket.send(data if data.__class__ is bytes else bytes(data))
        except BlockingIOError:
            return 0
        except OSError:
            return CONNECTION_LOST


class Server(Transport, tcp.Server):
    """The end of a connection that was accepted."""


class Client(Transport, tcp.Client):
    """The end of a connection that was asked for."""

    connector: Any

    def createInternetSocket(self) -> Any:  # noqa: N802 - Twisted's name
        """Return a new socket of the process."""
        process = self.connector.reactor
        socket = Socket(process)
        process.opened(socket)
        return socket


make_client: Any = Client


class Connector(tcp.Connector):
    """Connects by transports of this package."""

    def _makeTransport(self) -> Any:  # noqa: N802 - Twisted's name
        return make_client(self.host, self.port, self.bindAddress, self, self.reactor)


class Port(SocketWatcher, tcp.Port):
    """A listening port."""

    transport: Any = Server
    factory: Any
    interface: str

    def startListening(self) -> None:  # noqa: N802 - Twisted's name
        """Listen at the port."""
        socket = Socket(self.reactor)
        try:
            socket.bind((self.interface, self.port or 0))
        except OSError as bad:
            raise cannot_listen(self.interface, self.port, bad) from bad
        self.reactor.opened(socket)
        socket.listen(self.backlog)
        self._realPortNumber = socket.local[1]
        self.factory.doStart()
        self.connected = True
        self.socket = socket
        self.fileno = socket.fileno  # type: ignore[method-assign]
        self.numberAccepts = 100
        self.startReading()

    def doRead(self) -> Why:  # noqa: N802 - Twisted's name
        """Accept the connections that wait, as Twisted's port does."""
        try:
            accepted = 0
            while accepted < self.numberAccepts:
                try:
                    socket, address = self.socket.accept()
                except BlockingIOError:
                    break
                accepted += 1
                protocol = self.factory.buildProtocol(self._buildAddr(address))  # type: ignore[no-untyped-call]
                if protocol is None:
                    socket.close()
                    continue
                number = self.sessionno
                self.sessionno = number + 1
                transport = self.transport(socket, protocol, address, self, number, self.reactor)
                protocol.makeConnection(transport)
            if accepted == self.numberAccepts:
                self.numberAccepts += 20
            else:
                self.numberAccepts = max(1, accepted)
        except Exception:
            log_failure()

    def _logConnectionLostMsg(self) -> None:  # noqa: N802 - Twisted's name
        """Ports come and go too often here for a line each."""


class LimitedPort(Port):
    """Accepts no more in one go than its factory has room for."""

    def doRead(self) -> Why:  # noqa: N802 - Twisted's name
        """Accept no more than the factory has places for."""
        self.numberAccepts = max(1, min(self.numberAccepts, self.factory.free_slots))
        super().doRead()
