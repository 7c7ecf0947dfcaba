"""Connection attempts to a peer that is unreachable at first."""

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


def reply_time(cut_seconds: float, timeout: float) -> float:
    """Call a peer that is unreachable for the first seconds; return the time of the reply."""
    loop = VirtualLoop()

    async def run() -> float:
        CURRENT_INCARNATION.set(Incarnation("peer"))
        server = EnvelopeServer(answer)
        await server.listen("peer", PORT)
        CURRENT_INCARNATION.set(Incarnation("caller"))
        loop.network.cut("caller", "peer")
        loop.call_later(cut_seconds, loop.network.heal, "caller", "peer")
        client = EnvelopeClient("peer", PORT)
        try:
            await client.call(Envelope(status_request=StatusRequest()), timeout)
        finally:
            client.close()
        return loop.time()

    return loop.run_until_complete(run())


@pytest.mark.parametrize("cut_seconds", [0.01, 0.05, 0.09, 0.15])
def test_machine_that_becomes_reachable_replies_within_100_ms(cut_seconds: float) -> None:
    assert reply_time(cut_seconds, 2.0) < cut_seconds + 0.1 + 0.02


def test_call_to_unreachable_machine_fails() -> None:
    with pytest.raises(PeerUnreachableError):
        reply_time(60.0, 5.0)


def test_connect_fails_after_the_time_outs_of_all_attempts() -> None:
    loop = VirtualLoop()

    async def run() -> float:
        CURRENT_INCARNATION.set(Incarnation("caller"))
        loop.network.cut("caller", "peer")
        client = EnvelopeClient("peer", PORT)
        with pytest.raises(PeerUnreachableError):
            await client.call(Envelope(status_request=StatusRequest()), 5.0)
        return loop.time()

    assert loop.run_until_complete(run()) == pytest.approx(CONNECT_TIMEOUT_SECONDS)


def test_closing_the_client_cancels_its_connect_attempt() -> None:
    loop = VirtualLoop()

    async def run() -> None:
        CURRENT_INCARNATION.set(Incarnation("caller"))
        loop.network.cut("caller", "peer")
        client = EnvelopeClient("peer", PORT)
        call = asyncio.ensure_future(client.call(Envelope(status_request=StatusRequest()), 5.0))
        await asyncio.sleep(0.15)
        client.close()
        with pytest.raises(PeerUnreachableError):
            await call

    loop.run_until_complete(run())
