"""The client side: one persistent connection per peer, reopened on demand."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheatring.tier.transport.connection import EnvelopeConnection
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import Envelope

# The time-outs of consecutive attempts to connect. The kernel retransmits a lost SYN only after a second, so
# a machine that has just regained power is reached sooner by a new attempt. The last time-out allows for a
# long round trip.
CONNECT_ATTEMPT_SECONDS = (0.1, 0.1, 0.3)
CONNECT_TIMEOUT_SECONDS = sum(CONNECT_ATTEMPT_SECONDS)
RECONNECT_DELAY_SECONDS = 0.1
# A call that times out after at least this time closes the connection if no envelope was received meanwhile.
INACTIVITY_TIMEOUT_SECONDS = 1.2
MAX_UNSENT_ENVELOPES = 16  # queued while there is neither a connection nor a pending call


class EnvelopeClient:
    """Sends envelopes to one address, with or without waiting for a reply."""

    def __init__(self, host: str, port: int, receive: Callable[[Envelope], None] | None = None) -> None:
        """Initialize a client; it connects when the first envelope is sent.

        Parameters
        ----------
        host, port
            The address of the peer.
        receive
            Called with each envelope that is not a reply to a call.
        """
        self.host = host
        self.port = port
        self._receive = receive
        self._connection: EnvelopeConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._unsent: list[Envelope] = []
        self._pending_calls: dict[int, asyncio.Future[Envelope]] = {}
        self._last_call_number = 0
        self._next_connect_at = 0.0
        self._last_received_at = 0.0
        self._is_closed = False

    def send(self, envelope: Envelope) -> None:
        """Send without waiting for a reply. Without a connection, only the newest envelopes are queued."""
        if self._connection is not None and self._connection.is_open:
            self._connection.send(envelope)
            return
        if len(self._unsent) >= MAX_UNSENT_ENVELOPES and not self._pending_calls:
            del self._unsent[0]
        self._unsent.append(envelope)
        self._start_connecting()

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        """Send and wait for the reply.

        The time-out is a parameter rather than left to the caller's `asyncio.timeout`, because it may also
        close the connection (see `INACTIVITY_TIMEOUT_SECONDS`).

        Parameters
        ----------
        envelope
            The call; its number is set here.
        timeout
            Seconds to wait.

        Raises
        ------
        PeerUnreachableError
            No reply was received in time, or the connection was lost.
        """
        loop = asyncio.get_running_loop()
        self._last_call_number += 1
        number = self._last_call_number
        envelope.call = number
        reply: asyncio.Future[Envelope] = loop.create_future()
        self._pending_calls[number] = reply
        timer = loop.call_later(timeout, self._on_timeout, number, loop.time())
        try:
            self.send(envelope)
            return await reply
        finally:
            timer.cancel()
            self._pending_calls.pop(number, None)

    def is_reachable(self, since: float, now: float) -> bool:
        """Return whether the client is connected, or still connecting within the time-out from `since`."""
        return self._connection is not None or (
            self._connecting is not None and now - since < CONNECT_TIMEOUT_SECONDS
        )

    def close(self) -> None:
        """Close the connection; pending calls fail."""
        self._is_closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._fail_pending_calls()

    def _on_timeout(self, number: int, called_at: float) -> None:
        reply = self._pending_calls.get(number)
        if reply is not None and not reply.done():
            reply.set_exception(self._unreachable_error("no reply in time"))
        waited = asyncio.get_running_loop().time() - called_at
        is_peer_silent = waited >= INACTIVITY_TIMEOUT_SECONDS and self._last_received_at < called_at
        if is_peer_silent and self._connection is not None:
            self._connection.abort()

    def _unreachable_error(self, reason: str) -> PeerUnreachableError:
        return PeerUnreachableError(f"{self.host}:{self.port}", reason)

    def _start_connecting(self) -> None:
        if self._connecting is None and not self._is_closed:
            self._connecting = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            if (delay := self._next_connect_at - loop.time()) > 0:
                await asyncio.sleep(delay)
            connection = await self._open_connection()
        except (OSError, TimeoutError):
            self._next_connect_at = loop.time() + RECONNECT_DELAY_SECONDS
            self._unsent.clear()
            self._fail_pending_calls()
            return
        finally:
            self._connecting = None
        self._connection = connection
        self._last_received_at = loop.time()
        unsent, self._unsent = self._unsent, []
        for envelope in unsent:
            connection.send(envelope)

    async def _open_connection(self) -> EnvelopeConnection:
        """Connect, with several attempts if necessary. Raises OSError or TimeoutError."""
        loop = asyncio.get_running_loop()
        for number, seconds in enumerate(CONNECT_ATTEMPT_SECONDS, 1):
            try:
                async with asyncio.timeout(seconds):
                    _, connection = await loop.create_connection(
                        lambda: EnvelopeConnection(self._on_envelope, self._on_connection_lost),
                        self.host,
                        self.port,
                    )
                return connection
            except TimeoutError:
                if number == len(CONNECT_ATTEMPT_SECONDS):
                    raise
        raise AssertionError("there is at least one attempt")

    def _on_envelope(self, _connection: EnvelopeConnection, envelope: Envelope) -> None:
        self._last_received_at = asyncio.get_running_loop().time()
        if not envelope.reply:
            if self._receive is not None:
                self._receive(envelope)
            return
        reply = self._pending_calls.get(envelope.call)
        if reply is not None and not reply.done():
            reply.set_result(envelope)

    def _on_connection_lost(self, connection: EnvelopeConnection) -> None:
        # The loss of a replaced connection must not fail the calls on the current one.
        if connection is self._connection:
            self._connection = None
            self._fail_pending_calls()

    def _fail_pending_calls(self) -> None:
        for reply in self._pending_calls.values():
            if not reply.done():
                reply.set_exception(self._unreachable_error("connection lost"))


class ClientTable:
    """One client per address, kept while the address is in use."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._clients: dict[str, EnvelopeClient] = {}

    def client_for(self, host: str) -> EnvelopeClient:
        """Return the client for an IP address and the port that all processes of the role use."""
        client = self._clients.get(host)
        if client is None:
            client = self._clients[host] = EnvelopeClient(host, self._port)
        return client

    def retain_only(self, hosts: set[str]) -> None:
        """Close the clients for all addresses but these."""
        for host in [host for host in self._clients if host not in hosts]:
            self._clients.pop(host).close()

    def close(self) -> None:
        """Close all clients."""
        self.retain_only(set())
