"""How soon a peer is reached that was silent when the connection was begun."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.virtual_loop import CURRENT_INCARNATION, Incarnation, VirtualLoop
from wheatring.tier.transport.client import CONNECT_TIMEOUT_SECONDS, EnvelopeClient
from wheatring.tier.transport.connection import EnvelopeConnection
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import Envelope, StatusReply, StatusRequest
from wheatring.tier.transport.server import EnvelopeServer

PORT = 7000


def answer(connection: EnvelopeConnection, envelope: Envelope) -> None:
    connection.send(Envelope(call=envelope.call, reply=True, status_reply=StatusReply(json=b"{}")))


def asked(silent_seconds: float, timeout: float) -> float:
    """Ask a peer whose machine says nothing for so long; returns when the reply has come."""
    loop = VirtualLoop()

    async def play() -> float:
        CURRENT_INCARNATION.set(Incarnation("peer"))
        server = EnvelopeServer(answer)
        await server.listen("peer", PORT)
        CURRENT_INCARNATION.set(Incarnation("caller"))
        loop.network.cut("caller", "peer")
        loop.call_later(silent_seconds, loop.network.heal, "caller", "peer")
        client = EnvelopeClient("peer", PORT)
        try:
            await client.call(Envelope(status_request=StatusRequest()), timeout)
        finally:
            client.close()
        return loop.time()

    return loop.run_until_complete(play())


@pytest.mark.parametrize("silent", [0.01, 0.05, 0.09, 0.15])
def test_a_machine_that_gets_power_again_is_reached_within_a_tenth_of_a_second(silent: float) -> None:
    assert asked(silent, 2.0) < silent + 0.1 + 0.02


def test_a_machine_that_stays_silent_is_given_up() -> None:
    with pytest.raises(PeerUnreachableError):
        asked(60.0, 5.0)


def test_giving_up_takes_as_long_as_all_attempts() -> None:
    loop = VirtualLoop()

    async def play() -> float:
        CURRENT_INCARNATION.set(Incarnation("caller"))
        loop.network.cut("caller", "peer")
        client = EnvelopeClient("peer", PORT)
        with pytest.raises(PeerUnreachableError):
            await client.call(Envelope(status_request=StatusRequest()), 5.0)
        return loop.time()

    assert loop.run_until_complete(play()) == pytest.approx(CONNECT_TIMEOUT_SECONDS)


def test_an_attempt_ends_with_its_client() -> None:
    loop = VirtualLoop()

    async def play() -> None:
        CURRENT_INCARNATION.set(Incarnation("caller"))
        loop.network.cut("caller", "peer")
        client = EnvelopeClient("peer", PORT)
        call = asyncio.ensure_future(client.call(Envelope(status_request=StatusRequest()), 5.0))
        await asyncio.sleep(0.15)
        client.close()
        with pytest.raises(PeerUnreachableError):
            await call

    loop.run_until_complete(play())
