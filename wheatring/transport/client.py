"""The calling side: one lasting connection to one process, made anew whenever it is needed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheatring.transport.connection import EnvelopeConnection
from wheatring.transport.messages_pb2 import Envelope

# For the attempts to connect, one after the other: an opening packet that was lost, as by a machine without
# power, is sent again by the system after a second only. The last one leaves time for a distant peer.
CONNECT_ATTEMPT_SECONDS = (0.1, 0.1, 0.3)
CONNECT_TIMEOUT_SECONDS = sum(CONNECT_ATTEMPT_SECONDS)
RECONNECT_DELAY_SECONDS = 0.1  # pause after a failed connect
SILENCE_TIMEOUT_SECONDS = 1.2  # a call waiting for so long with no byte received ends the connection


class PeerUnreachableError(Exception):
    """No reply came: the peer may or may not have done what was asked."""


class EnvelopeClient:
    """Sends envelopes to one address, with or without waiting for a reply."""

    def __init__(self, host: str, port: int, receive: Callable[[Envelope], None] | None = None) -> None:
        """`receive` gets envelopes that answer no call."""
        self.host = host
        self.port = port
        self._receive = receive
        self._connection: EnvelopeConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._unsent: list[Envelope] = []
        self._waiting: dict[int, asyncio.Future[Envelope]] = {}
        self._last_call = 0
        self._not_before = 0.0
        self._received_at = 0.0
        self._closed = False

    def send(self, envelope: Envelope) -> None:
        """Send without a reply. While there is no connection, only the newest few are kept."""
        if self._connection is not None and self._connection.is_open:
            self._connection.send(envelope)
            return
        if len(self._unsent) >= 16 and not self._waiting:
            del self._unsent[0]
        self._unsent.append(envelope)
        self._connect()

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        """Send and wait for the reply.

        Raises PeerUnreachableError after `timeout` seconds or a lost connection.
        """
        loop = asyncio.get_running_loop()
        self._last_call += 1
        number = self._last_call
        envelope.call = number
        future: asyncio.Future[Envelope] = loop.create_future()
        self._waiting[number] = future
        timer = loop.call_later(timeout, self._timed_out, number, loop.time())
        try:
            self.send(envelope)
            return await future
        finally:
            timer.cancel()
            self._waiting.pop(number, None)

    def is_reachable(self, since: float, now: float) -> bool:
        """Connected, or still within the time that the first connect may take since then."""
        return self._connection is not None or (
            self._connecting is not None and now - since < CONNECT_TIMEOUT_SECONDS
        )

    def close(self) -> None:
        """End the connection; calls under way fail."""
        self._closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._fail_all()

    def _timed_out(self, number: int, since: float) -> None:
        future = self._waiting.get(number)
        if future is not None and not future.done():
            future.set_exception(PeerUnreachableError(f"{self.host}:{self.port}: no reply in time"))
        waited = asyncio.get_running_loop().time() - since
        if waited >= SILENCE_TIMEOUT_SECONDS and self._received_at < since and self._connection is not None:
            self._connection.abort()

    def _connect(self) -> None:
        if self._connecting is None and not self._closed:
            self._connecting = asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            if (pause := self._not_before - loop.time()) > 0:
                await asyncio.sleep(pause)
            connection = await self._connected()
        except (OSError, TimeoutError):
            self._not_before = loop.time() + RECONNECT_DELAY_SECONDS
            self._unsent.clear()
            self._fail_all()
            return
        finally:
            self._connecting = None
        self._connection = connection
        self._received_at = loop.time()
        unsent, self._unsent = self._unsent, []
        for envelope in unsent:
            connection.send(envelope)

    async def _connected(self) -> EnvelopeConnection:
        """A connection that is up. Raises OSError or TimeoutError."""
        loop = asyncio.get_running_loop()
        for number, seconds in enumerate(CONNECT_ATTEMPT_SECONDS, 1):
            try:
                async with asyncio.timeout(seconds):
                    _, connection = await loop.create_connection(
                        lambda: EnvelopeConnection(self._on_envelope, self._lost), self.host, self.port
                    )
                return connection
            except TimeoutError:
                if number == len(CONNECT_ATTEMPT_SECONDS):
                    raise
        raise AssertionError("there is at least one attempt")

    def _on_envelope(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        self._received_at = asyncio.get_running_loop().time()
        if not envelope.reply:
            if self._receive is not None:
                self._receive(envelope)
            return
        future = self._waiting.get(envelope.call)
        if future is not None and not future.done():
            future.set_result(envelope)

    def _lost(self, connection: EnvelopeConnection) -> None:
        if connection is self._connection:
            self._connection = None
            self._fail_all()

    def _fail_all(self) -> None:
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(PeerUnreachableError(f"{self.host}:{self.port}: connection lost"))


class ClientTable:
    """One client for each address, kept for as long as the address is in use."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._clients: dict[str, EnvelopeClient] = {}

    def client_for(self, host: str) -> EnvelopeClient:
        """The client for an IP address, at the port that all processes of the role share."""
        client = self._clients.get(host)
        if client is None:
            client = self._clients[host] = EnvelopeClient(host, self._port)
        return client

    def retain_only(self, hosts: set[str]) -> None:
        """Close the clients for all other addresses."""
        for host in [host for host in self._clients if host not in hosts]:
            self._clients.pop(host).close()

    def close(self) -> None:
        """Close them all."""
        self.retain_only(set())
