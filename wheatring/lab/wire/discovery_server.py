"""Discovery's HTTP/1.1 server, which responds in JSON."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from twisted.internet import protocol
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.endpoint_list_history import RegisteredNode
from wheatring.lab.models.endpoint_list_json import list_reply_json, registered_address
from wheatring.lab.models.list_request import ListReply, ListRequest
from wheatring.lab.wire.http import MalformedMessageError, Message, MessageParser

UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
BREAK_OFF_SECONDS = 0.01  # from the head of a truncated response to the reset of its connection
BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class BadListRequestError(ValueError):
    """A list request that is not valid; the text gives the reason."""


class ListQuery(NamedTuple):
    """The parameters of a request for the endpoint list."""

    known_version: int | None  # the version that the caller has; None requests the complete list
    wait: float  # seconds that the request may wait for a newer version


def parse_list_request(target: bytes) -> ListQuery:
    """Parse the target of a request for the endpoint list.

    Raises
    ------
    BadListRequestError
        The path or the query is not one of discovery's API.
    """
    path, _, query = target.partition(b"?")
    if path != b"/v1/servers":
        raise BadListRequestError("unknown path")
    values: dict[bytes, int] = {}
    for parameter in query.split(b"&") if query else []:
        name, _, value = parameter.partition(b"=")
        if name not in (b"index", b"wait") or name in values or not value.isdigit() or len(value) > 15:
            raise BadListRequestError(f"bad query parameter: {parameter.decode('latin-1')}")
        values[name] = int(value)
    if b"wait" in values and b"index" not in values:
        raise BadListRequestError("wait without index")
    return ListQuery(values.get(b"index"), values.get(b"wait", 0) / 1000)


def encode_list(reply: ListReply, address: Callable[[RegisteredNode], str] = registered_address) -> bytes:
    """Encode a reply as the body of a response."""
    return msgspec.json.encode(list_reply_json(reply, address))


class _Connection(protocol.Protocol):
    """A persistent connection of a sidecar."""

    transport: Any

    def __init__(self, server: DiscoveryServer, sidecar: str) -> None:
        self.server = server
        self.sidecar = sidecar
        self.parser = MessageParser(responses=False)
        self.request: ListRequest | None = None
        self.keep_alive = True
        self.is_over = False

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Register the connection."""
        self.server.connections[self] = None
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Parse bytes received, and pass a complete request to the registry."""
        if self.is_over:
            return
        try:
            message = self.parser.feed(data)
            if message is not None and (self.request is not None or self.parser.is_mid_message):
                raise MalformedMessageError("request received before the previous one was answered")
            if message is not None:
                self._handle(message)
        except (MalformedMessageError, BadListRequestError) as error:
            self.server.recorder.note("bad-call", sidecar=self.sidecar, why=str(error))
            self._cancel_request()
            self._write(BAD_REQUEST, False)

    def _handle(self, message: Message) -> None:
        if message.method != b"GET" or not message.target.startswith(b"/v1/servers"):
            self._write(NOT_FOUND, message.keep_alive)
            return
        index, wait = parse_list_request(message.target)
        self.keep_alive = message.keep_alive
        self.request = self.server.registry.request_list(self.sidecar, index, wait, self._send_reply)

    def _send_reply(self, reply: ListReply | None) -> None:
        request, self.request = self.request, None
        if reply is not None:
            data = encode_list(reply, self.server.address)
            self._write(RESPONSE_HEAD % len(data) + data, self.keep_alive)
        elif request is not None and request.is_broken_off and not self.is_over:
            self.is_over = True
            self.transport.write(RESPONSE_HEAD % 1000)
            # An immediate reset would discard the head before it is sent.
            timers = self.server.registry.timers
            timers.at(timers.now() + BREAK_OFF_SECONDS, self.transport.abortConnection)
        else:
            self._write(UNAVAILABLE, self.keep_alive)

    def _write(self, data: bytes, keep_alive: bool) -> None:
        if self.is_over:
            return
        self.transport.write(data)
        if not keep_alive:
            self.is_over = True
            self.transport.loseConnection()

    def _cancel_request(self) -> None:
        request, self.request = self.request, None
        if request is not None:
            request.cancel()

    def reset(self) -> None:
        """Reset the connection because discovery is down."""
        self.is_over = True
        self._cancel_request()
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802, ARG002 - Twisted's name and signature
        """Cancel the pending request, and remove the connection."""
        self.is_over = True
        self.server.connections.pop(self, None)
        self._cancel_request()


class DiscoveryServer(ServerFactory):
    """The server of the registry. While the registry is down, its port is closed.

    Parameters
    ----------
    sidecar_of
        Returns the sidecar that connects from a host.
    listen
        Opens the listening port for a factory.
    address
        Returns the address at which sidecars reach a node, if it differs from the registered one.
    """

    noisy = False

    def __init__(
        self,
        registry: Registry,
        recorder: EventRecorder,
        sidecar_of: Callable[[str], str],
        listen: Callable[[ServerFactory], Any],
        address: Callable[[RegisteredNode], str] = registered_address,
    ) -> None:
        self.registry = registry
        self.recorder = recorder
        self.sidecar_of = sidecar_of
        self.listen = listen
        self.address = address
        self.connections: dict[_Connection, None] = {}
        self.port: Any = None
        registry.on_down.append(self._set_down)
        self._set_down(registry.is_down)

    def buildProtocol(self, addr: Any) -> _Connection:  # noqa: N802 - Twisted's name
        """Return a connection for the sidecar at that address."""
        return _Connection(self, self.sidecar_of(addr.host))

    def close(self) -> None:
        """Close the port and all connections permanently."""
        self.registry.on_down.remove(self._set_down)
        self._set_down(True)

    def _set_down(self, down: bool) -> None:
        if not down:
            self.port = self.listen(self)
            return
        port, self.port = self.port, None
        if port is not None:
            port.stopListening()
        for connection in list(self.connections):
            connection.reset()
