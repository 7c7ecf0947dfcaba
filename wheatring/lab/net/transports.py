"""Twisted's own TCP transports and ports, on simulated sockets.

Only the code that touches a reactor's descriptors, a real socket or Twisted's log is replaced. Producers,
closing and the order of callbacks are Twisted's.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet import error, tcp
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.python import log

from wheatring.lab.net.sockets import Socket

cannot_listen: Any = error.CannotListenError  # Twisted's annotations lack its arguments
log_failure: Any = log.err
DisconnectReason = Any  # None, or the exception that ends the transport


class SocketWatcher:
    """Base of transports and ports: waits for its socket to be readable or writable."""

    reactor: Any
    socket: Any
    reading = False
    writing = False
    queued = False  # whether it is served in the next iteration of the reactor

    def startReading(self) -> None:  # noqa: N802 - Twisted's name
        """Start waiting for the socket to be readable."""
        if not self.reading:
            socket = self.socket
            socket.watcher = self
            self.reading = True
            if socket.readable():
                self.reactor.queue(self)

    def stopReading(self) -> None:  # noqa: N802 - Twisted's name
        """Stop waiting for the socket to be readable."""
        self.reading = False

    def startWriting(self) -> None:  # noqa: N802 - Twisted's name
        """Start waiting for the socket to be writable."""
        if not self.writing:
            self.socket.watcher = self
            self.writing = True
            self.reactor.serve_when_writable(self)

    def stopWriting(self) -> None:  # noqa: N802 - Twisted's name
        """Stop waiting for the socket to be writable."""
        self.writing = False


class Transport(SocketWatcher):
    """Base of the transports of both ends of a connection."""

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
        """The instant at which the peer sent the first byte of the last `dataReceived`."""
        sent: float = self.socket.sent_at
        return sent

    @property
    def peer_read(self) -> Callable[[], int]:
        """A callable that returns how many bytes the peer has read, also after the connection has ended."""
        return partial(getattr, self.socket.outgoing, "read")

    def write(self, data: bytes) -> None:
        """Send data as soon as the socket accepts it."""
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

    def doRead(self) -> DisconnectReason:  # noqa: N802 - Twisted's name
        """Read as Twisted's `doRead` does, with one call less."""
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

    def doWrite(self) -> DisconnectReason:  # noqa: N802 - Twisted's name
        """Write as Twisted's `doWrite` does, with a fast path if nothing is left over or closing."""
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
        """Write data to the socket, and return how many bytes it accepted."""
        if len(data) > self.SEND_LIMIT:
            data = data[: self.SEND_LIMIT]
        try:
            return self.socket.send(data if data.__class__ is bytes else bytes(data))
        except BlockingIOError:
            return 0
        except OSError:
            return CONNECTION_LOST


class Server(Transport, tcp.Server):
    """The accepting end of a connection."""


class Client(Transport, tcp.Client):
    """The connecting end of a connection."""

    connector: Any

    def createInternetSocket(self) -> Any:  # noqa: N802 - Twisted's name
        """Return a new socket of the process."""
        process = self.connector.reactor
        socket = Socket(process)
        process.add_descriptor(socket)
        return socket


make_client: Any = Client


class Connector(tcp.Connector):
    """Connects with the transports of this package."""

    def _makeTransport(self) -> Any:  # noqa: N802 - Twisted's name
        return make_client(self.host, self.port, self.bindAddress, self, self.reactor)


class Port(SocketWatcher, tcp.Port):
    """A listening port."""

    transport: Any = Server
    factory: Any
    interface: str

    def startListening(self) -> None:  # noqa: N802 - Twisted's name
        """Start listening on the port."""
        socket = Socket(self.reactor)
        try:
            socket.bind((self.interface, self.port or 0))
        except OSError as bad:
            raise cannot_listen(self.interface, self.port, bad) from bad
        self.reactor.add_descriptor(socket)
        socket.listen(self.backlog)
        self._realPortNumber = socket.local[1]
        self.factory.doStart()
        self.connected = True
        self.socket = socket
        self.fileno = socket.fileno  # type: ignore[method-assign]
        self.numberAccepts = 100
        self.startReading()

    def doRead(self) -> DisconnectReason:  # noqa: N802 - Twisted's name
        """Accept the waiting connections, as Twisted's port does."""
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
        """Log nothing: simulated ports open and close too often for a line each."""


class LimitedPort(Port):
    """A port that accepts no more connections at once than its factory has free slots."""

    def doRead(self) -> DisconnectReason:  # noqa: N802 - Twisted's name
        """Accept at most as many connections as the factory has free slots."""
        self.numberAccepts = max(1, min(self.numberAccepts, self.factory.free_slots))
        super().doRead()
