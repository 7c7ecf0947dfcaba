"""Datagrams: each is accepted once, and whatever else arrives is rejected with its cause."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.fleet.lease.messages import Prepare, ProposalNumber
from wheatring.fleet.members.messages import MemberInfo, MemberUpdate, Ping, SyncResponse
from wheatring.fleet.peers.datagram_codec import (
    CLOCK_SET_BACK_SECONDS,
    MAX_DATAGRAM_BYTES,
    MAX_SENDERS,
    REPLAY_WINDOW,
    DatagramCodec,
)
from wheatring.fleet.peers.exceptions import DatagramRejectedError

KEY, OTHER = bytes(16), bytes([1]) * 16


def codec(name: str = "b", fleet: str = "f", start: int = 1, *keys: bytes) -> DatagramCodec:
    return DatagramCodec(fleet, name, start, keys)


def cause(receiver: DatagramCodec, data: bytes, now: float = 0.0) -> str:
    with pytest.raises(DatagramRejectedError) as bad:
        receiver.decode(now, data)
    return bad.value.cause


def test_a_datagram_is_decoded_with_its_sender() -> None:
    message = Prepare("duty/0", ProposalNumber(3, "a", 9), 2, 77)
    assert codec("b", "f", 1, KEY).decode(0.0, codec("a", "f", 9, KEY).encode(message)) == ("a", message)
    assert codec("b").decode(0.0, codec("a").encode(Ping(5))) == ("a", Ping(5))


def test_a_new_key_is_accepted_beside_the_old_one() -> None:
    both = codec("b", "f", 1, OTHER, KEY)
    assert both.decode(0.0, codec("a", "f", 1, KEY).encode(Ping(1)))[0] == "a"
    assert both.decode(0.0, codec("c", "f", 1, OTHER).encode(Ping(1)))[0] == "c"
    assert cause(codec("d", "f", 1, KEY), both.encode(Ping(1))) == "key"


def test_each_failed_check_is_rejected_with_its_cause() -> None:
    own = codec("b", "f", 1, KEY)
    assert cause(own, codec("a", "f", 1, OTHER).encode(Ping(1))) == "key"
    assert cause(own, codec("a").encode(Ping(1))) == "key"
    assert cause(codec("b"), codec("a", "f", 1, KEY).encode(Ping(1))) == "key"
    assert cause(own, codec("a", "g", 1, KEY).encode(Ping(1))) == "fleet"
    assert cause(own, codec("b", "f", 2, KEY).encode(Ping(1))) == "name"
    assert cause(own, b"\x02" + codec("a", "f", 1, KEY).encode(Ping(1))[1:]) == "version"
    assert cause(own, bytes(MAX_DATAGRAM_BYTES + 1)) == "too-large"
    assert cause(codec("b"), b"\x01\x00\x93abc") == "form"


def test_a_replayed_datagram_is_rejected_and_a_reordered_one_is_accepted() -> None:
    own, other = codec("b"), codec("a")
    sent = [other.encode(Ping(number)) for number in range(REPLAY_WINDOW + 10)]
    assert own.decode(0.0, sent[5])[0] == "a"
    assert own.decode(0.0, sent[3])[0] == "a"
    assert cause(own, sent[5]) == cause(own, sent[3]) == "replayed"
    own.decode(0.0, sent[-1])
    assert cause(own, sent[4]) == "replayed"  # too old to be told from one that came
    assert own.decode(0.0, sent[20])[0] == "a"


def test_an_earlier_start_is_rejected_until_the_later_one_has_been_silent() -> None:
    own = codec("b")
    own.decode(0.0, codec("a", start=20).encode(Ping(1)))
    assert cause(own, codec("a", start=10).encode(Ping(1)), 1.0) == "old-start"
    set_back = codec("a", start=10)
    set_back.encode(Ping(1))
    assert own.decode(CLOCK_SET_BACK_SECONDS + 0.1, set_back.encode(Ping(2)))[0] == "a"


def test_an_oversized_message_is_not_encoded_and_senders_are_bounded() -> None:
    many = tuple(MemberUpdate(MemberInfo(f"member-{number}", "127.0.0.1", 1), 1) for number in range(100))
    with pytest.raises(DatagramRejectedError, match="too-large"):
        codec("a").encode(SyncResponse(0, many))
    own = codec("b")
    for number in range(MAX_SENDERS + 5):
        own.decode(0.0, codec(f"a{number}").encode(Ping(1)))
    assert len(own.senders) == MAX_SENDERS


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_noise_is_rejected_and_raises_nothing_else(noise: bytes, framed: bool) -> None:
    own = codec("b")
    with pytest.raises(DatagramRejectedError):
        own.decode(0.0, b"\x01\x00" + noise if framed else noise)


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 200), st.integers(1, 255))
def test_a_changed_byte_is_never_accepted(place: int, change: int) -> None:
    data = bytearray(codec("a", "f", 1, KEY).encode(Prepare("duty/0", ProposalNumber(1, "a", 1), 1, 1)))
    data[place % len(data)] ^= change
    with pytest.raises(DatagramRejectedError):
        codec("b", "f", 1, KEY).decode(0.0, bytes(data))
