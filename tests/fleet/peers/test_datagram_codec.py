"""The datagram codec: authentication, replay protection, and causes of rejection."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.fleet.lease.messages import Prepare, ProposalNumber
from wheatring.fleet.members.messages import MemberInfo, MemberUpdate, Ping, SyncResponse
from wheatring.fleet.peers.datagram_codec import (
    CLOCK_SET_BACK_SECONDS,
    MAX_DATAGRAM_BYTES,
    MAX_REPLAY_WINDOWS,
    REPLAY_WINDOW,
    DatagramCodec,
)
from wheatring.fleet.peers.exceptions import DatagramRejectedError

KEY, OTHER_KEY = bytes(16), bytes([1]) * 16


def codec(name: str = "b", fleet: str = "f", start: int = 1, *keys: bytes) -> DatagramCodec:
    return DatagramCodec(fleet, name, start, keys)


def rejection_cause(receiver: DatagramCodec, data: bytes, now: float = 0.0) -> str:
    with pytest.raises(DatagramRejectedError) as raised:
        receiver.decode(now, data)
    return raised.value.cause


def test_a_datagram_is_decoded_to_its_message_and_sender() -> None:
    message = Prepare("duty/0", ProposalNumber(3, "a", 9), 2, 77)
    assert codec("b", "f", 1, KEY).decode(0.0, codec("a", "f", 9, KEY).encode(message)) == ("a", message)
    assert codec("b").decode(0.0, codec("a").encode(Ping(5))) == ("a", Ping(5))


def test_the_new_and_the_old_key_are_accepted_during_a_key_rotation() -> None:
    receiver = codec("b", "f", 1, OTHER_KEY, KEY)
    assert receiver.decode(0.0, codec("a", "f", 1, KEY).encode(Ping(1)))[0] == "a"
    assert receiver.decode(0.0, codec("c", "f", 1, OTHER_KEY).encode(Ping(1)))[0] == "c"
    assert rejection_cause(codec("d", "f", 1, KEY), receiver.encode(Ping(1))) == "key"


def test_each_failed_check_is_rejected_with_its_cause() -> None:
    receiver = codec("b", "f", 1, KEY)
    assert rejection_cause(receiver, codec("a", "f", 1, OTHER_KEY).encode(Ping(1))) == "key"
    assert rejection_cause(receiver, codec("a").encode(Ping(1))) == "key"
    assert rejection_cause(codec("b"), codec("a", "f", 1, KEY).encode(Ping(1))) == "key"
    assert rejection_cause(receiver, codec("a", "g", 1, KEY).encode(Ping(1))) == "fleet"
    assert rejection_cause(receiver, codec("b", "f", 2, KEY).encode(Ping(1))) == "name"
    assert rejection_cause(receiver, b"\x02" + codec("a", "f", 1, KEY).encode(Ping(1))[1:]) == "version"
    assert rejection_cause(receiver, bytes(MAX_DATAGRAM_BYTES + 1)) == "too-large"
    assert rejection_cause(codec("b"), b"\x01\x00\x93abc") == "form"


def test_a_replayed_datagram_is_rejected_and_a_reordered_one_is_accepted() -> None:
    receiver, sender = codec("b"), codec("a")
    sent = [sender.encode(Ping(number)) for number in range(REPLAY_WINDOW + 10)]
    assert receiver.decode(0.0, sent[5])[0] == "a"
    assert receiver.decode(0.0, sent[3])[0] == "a"
    assert rejection_cause(receiver, sent[5]) == rejection_cause(receiver, sent[3]) == "replayed"
    receiver.decode(0.0, sent[-1])
    assert rejection_cause(receiver, sent[4]) == "replayed"  # older than the replay window
    assert receiver.decode(0.0, sent[20])[0] == "a"


def test_datagrams_of_an_earlier_start_are_rejected_until_the_later_one_is_silent() -> None:
    receiver = codec("b")
    receiver.decode(0.0, codec("a", start=20).encode(Ping(1)))
    assert rejection_cause(receiver, codec("a", start=10).encode(Ping(1)), 1.0) == "old-start"
    sender = codec("a", start=10)
    sender.encode(Ping(1))
    assert receiver.decode(CLOCK_SET_BACK_SECONDS + 0.1, sender.encode(Ping(2)))[0] == "a"


def test_an_oversized_message_is_not_encoded_and_replay_windows_are_bounded() -> None:
    updates = tuple(MemberUpdate(MemberInfo(f"member-{number}", "127.0.0.1", 1), 1) for number in range(100))
    with pytest.raises(DatagramRejectedError, match="too-large"):
        codec("a").encode(SyncResponse(0, updates))
    receiver = codec("b")
    for number in range(MAX_REPLAY_WINDOWS + 5):
        receiver.decode(0.0, codec(f"a{number}").encode(Ping(1)))
    assert len(receiver.senders) == MAX_REPLAY_WINDOWS


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_random_bytes_are_rejected_without_other_exceptions(data: bytes, has_header: bool) -> None:
    receiver = codec("b")
    with pytest.raises(DatagramRejectedError):
        receiver.decode(0.0, b"\x01\x00" + data if has_header else data)


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 200), st.integers(1, 255))
def test_a_datagram_with_a_corrupted_byte_is_rejected(position: int, bit_mask: int) -> None:
    data = bytearray(codec("a", "f", 1, KEY).encode(Prepare("duty/0", ProposalNumber(1, "a", 1), 1, 1)))
    data[position % len(data)] ^= bit_mask
    with pytest.raises(DatagramRejectedError):
        codec("b", "f", 1, KEY).decode(0.0, bytes(data))
