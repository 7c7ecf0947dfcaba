"""Datagrams: what is sealed is opened once, and whatever else arrives is dropped by its cause."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatring.lease.words import Ask, Ballot
from wheatring.members.words import Known, Ping, Rumour, Who
from wheatring.peers.datagram_codec import (
    CLOCK_SET_BACK_SECONDS,
    MAX_DATAGRAM_BYTES,
    MAX_SENDERS,
    REPLAY_WINDOW,
    DatagramCodec,
    DatagramRejectedError,
)

KEY, OTHER = bytes(16), bytes([1]) * 16


def seal(name: str = "b", fleet: str = "f", start: int = 1, *keys: bytes) -> DatagramCodec:
    return DatagramCodec(fleet, name, start, keys)


def cause(opener: DatagramCodec, data: bytes, now: float = 0.0) -> str:
    with pytest.raises(DatagramRejectedError) as bad:
        opener.decode(now, data)
    return bad.value.cause


def test_what_is_sealed_is_opened_with_its_sender() -> None:
    word = Ask("duty/0", Ballot(3, "a", 9), 2, 77)
    assert seal("b", "f", 1, KEY).decode(0.0, seal("a", "f", 9, KEY).encode(word)) == ("a", word)
    assert seal("b").decode(0.0, seal("a").encode(Ping(5))) == ("a", Ping(5))


def test_a_new_key_is_taken_beside_the_old_one() -> None:
    both = seal("b", "f", 1, OTHER, KEY)
    assert both.decode(0.0, seal("a", "f", 1, KEY).encode(Ping(1)))[0] == "a"
    assert both.decode(0.0, seal("c", "f", 1, OTHER).encode(Ping(1)))[0] == "c"
    assert cause(seal("d", "f", 1, KEY), both.encode(Ping(1))) == "key"


def test_each_stranger_is_dropped_by_its_cause() -> None:
    mine = seal("b", "f", 1, KEY)
    assert cause(mine, seal("a", "f", 1, OTHER).encode(Ping(1))) == "key"
    assert cause(mine, seal("a").encode(Ping(1))) == "key"
    assert cause(seal("b"), seal("a", "f", 1, KEY).encode(Ping(1))) == "key"
    assert cause(mine, seal("a", "g", 1, KEY).encode(Ping(1))) == "fleet"
    assert cause(mine, seal("b", "f", 2, KEY).encode(Ping(1))) == "name"
    assert cause(mine, b"\x02" + seal("a", "f", 1, KEY).encode(Ping(1))[1:]) == "version"
    assert cause(mine, bytes(MAX_DATAGRAM_BYTES + 1)) == "too-large"
    assert cause(seal("b"), b"\x01\x00\x93abc") == "form"


def test_one_that_comes_again_is_dropped_and_one_that_was_overtaken_is_not() -> None:
    mine, other = seal("b"), seal("a")
    sent = [other.encode(Ping(number)) for number in range(REPLAY_WINDOW + 10)]
    assert mine.decode(0.0, sent[5])[0] == "a"
    assert mine.decode(0.0, sent[3])[0] == "a"
    assert cause(mine, sent[5]) == cause(mine, sent[3]) == "replayed"
    mine.decode(0.0, sent[-1])
    assert cause(mine, sent[4]) == "replayed"  # too old to be told from one that came
    assert mine.decode(0.0, sent[20])[0] == "a"


def test_an_earlier_start_is_dropped_until_the_later_one_has_been_silent() -> None:
    mine = seal("b")
    mine.decode(0.0, seal("a", start=20).encode(Ping(1)))
    assert cause(mine, seal("a", start=10).encode(Ping(1)), 1.0) == "old-start"
    set_back = seal("a", start=10)
    set_back.encode(Ping(1))
    assert mine.decode(CLOCK_SET_BACK_SECONDS + 0.1, set_back.encode(Ping(2)))[0] == "a"


def test_what_does_not_fit_is_not_sent_and_senders_are_bounded() -> None:
    many = tuple(Rumour(Who(f"member-{number}", "127.0.0.1", 1), 1) for number in range(100))
    with pytest.raises(DatagramRejectedError, match="too-large"):
        seal("a").encode(Known(0, many))
    mine = seal("b")
    for number in range(MAX_SENDERS + 5):
        mine.decode(0.0, seal(f"a{number}").encode(Ping(1)))
    assert len(mine.heard) == MAX_SENDERS


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=200), st.booleans())
def test_noise_is_dropped_and_raises_nothing_else(noise: bytes, framed: bool) -> None:
    mine = seal("b")
    with pytest.raises(DatagramRejectedError):
        mine.decode(0.0, b"\x01\x00" + noise if framed else noise)


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 200), st.integers(1, 255))
def test_a_changed_byte_is_never_taken(place: int, change: int) -> None:
    data = bytearray(seal("a", "f", 1, KEY).encode(Ask("duty/0", Ballot(1, "a", 1), 1, 1)))
    data[place % len(data)] ^= change
    with pytest.raises(DatagramRejectedError):
        seal("b", "f", 1, KEY).decode(0.0, bytes(data))
