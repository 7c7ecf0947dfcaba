"""The calling side: one lasting connection to one process, made anew whenever it is needed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheatring.tier.transport.connection import EnvelopeConnection
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import Envelope

# For the attempts to connect, one after the other: an opening packet that was lost, as by a machine without
# power, is sent again by the system after a second only. The last one leaves time for a distant peer.
CONNECT_ATTEMPT_SECONDS = (0.1, 0.1, 0.3)
CONNECT_TIMEOUT_SECONDS = sum(CONNECT_ATTEMPT_SECONDS)
RECONNECT_DELAY_SECONDS = 0.1  # after a failed connect
INACTIVITY_TIMEOUT_SECONDS = 1.2  # a call waiting for so long with no byte received ends the connection
MAX_UNSENT_ENVELOPES = 16  # kept while there is no connection and no call waits


class EnvelopeClient:
    """Sends envelopes to one address, with or without waiting for a reply."""

    def __init__(self, host: str, port: int, receive: Callable[[Envelope], None] | None = None) -> None:
        """Prepare a client; it connects with the first envelope.

        Parameters
        ----------
        host, port
            The peer.
        receive
            Called with each envelope that answers no call.
        """
        self.host = host
        self.port = port
        self._receive = receive
        self._connection: EnvelopeConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._unsent: list[Envelope] = []
        self._pending_calls: dict[int, asyncio.Future[Envelope]] = {}
        self._last_call = 0
        self._next_connect_at = 0.0
        self._last_received_at = 0.0
        self._is_closed = False

    def send(self, envelope: Envelope) -> None:
        """Send without a reply. While there is no connection, only the newest few are kept."""
        if self._connection is not None and self._connection.is_open:
            self._connection.send(envelope)
            return
        if len(self._unsent) >= MAX_UNSENT_ENVELOPES and not self._pending_calls:
            del self._unsent[0]
        self._unsent.append(envelope)
        self._start_connecting()

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        """Send and wait for the reply.

        The time-out also shows how long the peer has been silent, so it is not left to the caller's
        `asyncio.timeout`: a connection on which nothing arrives is ended by it.

        Parameters
        ----------
        envelope
            The call; its number is set here.
        timeout
            Seconds to wait.

        Raises
        ------
        PeerUnreachableError
            No reply came in time, or the connection was lost.
        """
        loop = asyncio.get_running_loop()
        self._last_call += 1
        number = self._last_call
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
        """Whether the client is connected, or within the time that a connect begun at `since` may take."""
        return self._connection is not None or (
            self._connecting is not None and now - since < CONNECT_TIMEOUT_SECONDS
        )

    def close(self) -> None:
        """End the connection; calls in flight fail."""
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
        is_silent = waited >= INACTIVITY_TIMEOUT_SECONDS and self._last_received_at < called_at
        if is_silent and self._connection is not None:
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
        """Connect, in as many attempts as may be needed. Raises OSError or TimeoutError."""
        loop = asyncio.get_running_loop()
        for number, seconds in enumerate(CONNECT_ATTEMPT_SECONDS, 1):
            try:
                async with asyncio.timeout(seconds):
                    _, connection = await loop.create_connection(
                        lambda: EnvelopeConnection(self._on_envelope, self._on_lost), self.host, self.port
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

    def _on_lost(self, connection: EnvelopeConnection) -> None:
        # The end of a connection that was replaced must not fail the calls on the one after it.
        if connection is self._connection:
            self._connection = None
            self._fail_pending_calls()

    def _fail_pending_calls(self) -> None:
        for reply in self._pending_calls.values():
            if not reply.done():
                reply.set_exception(self._unreachable_error("connection lost"))


class ClientTable:
    """One client for each address, kept for as long as the address is in use."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._clients: dict[str, EnvelopeClient] = {}

    def client_for(self, host: str) -> EnvelopeClient:
        """Return the client for an IP address, at the port that all processes of the role share."""
        client = self._clients.get(host)
        if client is None:
            client = self._clients[host] = EnvelopeClient(host, self._port)
        return client

    def retain_only(self, hosts: set[str]) -> None:
        """Close the clients for all other addresses."""
        for host in [host for host in self._clients if host not in hosts]:
            self._clients.pop(host).close()

    def close(self) -> None:
        """Close all clients."""
        self.retain_only(set())
