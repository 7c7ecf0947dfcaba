"""The wire format of datagrams and body transfers, against frames recorded on 1 December."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from wheatring.daemon.core.clock import Clock
from wheatring.fleet.lease.messages import Heartbeat, Prepare, ProposalNumber
from wheatring.fleet.lease.payloads import digest
from wheatring.fleet.members.messages import SUSPECT, Fact, MemberInfo, MemberUpdate, Ping
from wheatring.fleet.peers.body_transfer import _REPLY_HEAD, _REQUEST_HEAD, BodyRequest, BodyTransfers
from wheatring.fleet.peers.datagram_codec import DatagramCodec

RECORDED = json.loads((Path(__file__).parent / "data" / "recorded_frames.json").read_text(encoding="utf-8"))
KEY = bytes(range(32))
START_MS = 1764600000000
BODY = b"a plan of the fleet"
MESSAGES = {
    "Ping": Ping(
        7,
        (MemberUpdate(MemberInfo("c", "10.0.0.3", 7003, 2, 1, "z1", 99), 4, SUSPECT, "a"),),
        (Fact("list/0", 12, "a"),),
    ),
    "Ask": Prepare("list/0", ProposalNumber(3, "a", START_MS), 2, 77),
    "Beat": Heartbeat("list", 12, 5, 901, ("n1", "n2"), 0.25, ("c", "d")),
}


def codec(name: str, *keys: bytes, messages: Any = None) -> DatagramCodec:
    if messages is None:
        return DatagramCodec("fleet-1", name, START_MS, keys)
    return DatagramCodec("fleet-1", name, START_MS, keys, messages)


@pytest.mark.parametrize("has_key", [True, False])
def test_a_datagram_matches_its_recorded_bytes(has_key: bool) -> None:
    keys = (KEY,) if has_key else ()
    sender, receiver = codec("a", *keys), codec("b", *keys)
    recorded = [each for each in RECORDED["datagrams"] if each["sealed_with_key"] == has_key]
    assert [each["kind"] for each in recorded] == list(MESSAGES)
    for each in recorded:
        data, message = bytes.fromhex(each["datagram"]), MESSAGES[each["kind"]]
        assert receiver.decode(0.0, data) == ("a", message)
        assert sender.encode(message) == data


def test_a_body_request_and_its_reply_match_the_recorded_bytes() -> None:
    request = bytes.fromhex(RECORDED["body_request"])
    encoded = codec("a", KEY, messages=BodyRequest).encode(BodyRequest(digest(BODY)))
    assert _REQUEST_HEAD.pack(len(encoded)) + encoded == request
    receiver = codec("b", KEY, messages=BodyRequest)
    transfers = BodyTransfers(
        None, Clock(_ReactorStub()), receiver, {digest(BODY): BODY}.get, lambda *_: None
    )
    sender = transfers.buildProtocol(None)
    sender.transport = _TransportStub()
    sender.connectionMade()
    sender.dataReceived(request)
    assert sender.transport.written == bytes.fromhex(RECORDED["body_reply"])


def test_a_recorded_body_reply_has_the_expected_head_and_body() -> None:
    reply = bytes.fromhex(RECORDED["body_reply"])
    assert _REPLY_HEAD.unpack_from(reply) == (1, len(BODY)) and reply[_REPLY_HEAD.size :] == BODY
    assert _REPLY_HEAD.pack(0, 0) == bytes.fromhex(RECORDED["no_body_reply"])


class _ReactorStub:
    def seconds(self) -> float:
        return 0.0

    def callLater(self, *_: object) -> object:  # noqa: N802 - Twisted's name
        return None


class _TransportStub:
    def __init__(self) -> None:
        self.written = b""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802 - Twisted's name
        assert enabled

    def write(self, data: bytes) -> None:
        self.written += data

    def loseConnection(self) -> None:  # noqa: N802 - Twisted's name
        return

    def abortConnection(self) -> None:  # noqa: N802 - Twisted's name
        raise AssertionError("the request was rejected")
