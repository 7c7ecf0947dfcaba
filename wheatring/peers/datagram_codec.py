"""Datagrams between sidecars: sealed, opened, and dropped where there is any doubt.

    1 byte    version of the form
    1 byte    length of the mac: 16, or 0 where no key is told
    16 bytes  keyed BLAKE2b (RFC 7693) over all that follows
    rest      MessagePack: fleet, sender, the sender's start, sequence, word

Each start of a process numbers its datagrams anew, so one that comes again is known. After a restart of the
receiver an old one may be taken once more: it can only say what its sender once said, and terms and
membership are made for words that come late or twice.
"""

from __future__ import annotations

import hmac
from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b
from typing import Any, Generic, TypeVar, get_args

import msgspec
from msgspec import Struct

from wheatring.lease.fleet import AnyWord

VERSION = 1
MAC = 16
MAX_DATAGRAM_BYTES = 1400  # bytes of a datagram: one packet on any common link
REPLAY_WINDOW = 256  # datagrams of a sender that may overtake one another
MAX_SENDERS = 4000
CLOCK_SET_BACK_SECONDS = (
    5.0  # seconds after which a sender's earlier start may come back: its clock was set back
)


Words = TypeVar("Words")


class Frame(Struct, Generic[Words], array_like=True, frozen=True):
    fleet: str
    sender: str
    start: int
    seq: int
    message: Words


class Tagged(Struct, array_like=True, frozen=True):
    """Of any word: which it is."""

    tag: str


class DatagramRejectedError(ValueError):
    """A datagram that is not taken; `cause` is one of a few words."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class _Heard:
    __slots__ = ("at", "bits", "highest", "start")

    def __init__(self, start: int) -> None:
        self.start = start
        self.highest = -1
        self.bits = 0
        self.at = 0.0


class DatagramCodec:
    """For one process of one fleet. The first key seals, any of them opens; none: datagrams are not sealed,
    and sealed ones not taken. `words` are the types of words that are known.
    """

    def __init__(
        self, fleet: str, name: str, start: int, keys: Sequence[bytes], words: Any = AnyWord
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.start = start
        self.keys = keys
        self.seq = 0
        self.heard: OrderedDict[str, _Heard] = OrderedDict()
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: Any = msgspec.msgpack.Decoder(Frame[words])
        self.loose: Any = msgspec.msgpack.Decoder(Frame[Tagged])
        self.tags = _tags(words)

    def encode(self, word: Any) -> bytes:
        """A datagram. Dropped where it would be too large."""
        self.seq += 1
        body = self.encoder.encode(Frame(self.fleet, self.name, self.start, self.seq, word))
        mac = self._mac(self.keys[0], body) if self.keys else b""
        if 2 + len(mac) + len(body) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("too-large")
        return bytes((VERSION, len(mac))) + mac + body

    def decode(self, now: float, data: bytes) -> tuple[str, Any]:
        """The sender's name, and its word. Dropped where it is not to be taken."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("too-large")
        if len(data) < 3 or data[0] != VERSION:
            raise DatagramRejectedError("version")
        length = data[1]
        if length != (MAC if self.keys else 0):
            raise DatagramRejectedError("key")
        mac, body = data[2 : 2 + length], data[2 + length :]
        if self.keys and not any(hmac.compare_digest(mac, self._mac(key, body)) for key in self.keys):
            raise DatagramRejectedError("key")
        try:
            frame: Frame[Any] = self.decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise DatagramRejectedError(self._strange(body)) from None
        if frame.fleet != self.fleet:
            raise DatagramRejectedError("fleet")
        if frame.sender == self.name or not frame.sender:
            raise DatagramRejectedError("name")  # somebody else goes by the name of this one
        self._once(now, frame)
        return frame.sender, frame.message

    def _strange(self, body: bytes) -> str:
        """Why a frame can't be read: a newer program's word is no fault of anybody."""
        try:
            tag = self.loose.decode(body).word.tag
        except (msgspec.DecodeError, RecursionError):
            return "form"
        return "form" if tag in self.tags else "unknown-word"

    def _mac(self, key: bytes, body: bytes) -> bytes:
        return blake2b(body, digest_size=MAC, key=key, person=b"wheatring").digest()

    def _once(self, now: float, frame: Frame[Any]) -> None:
        heard = self.heard.get(frame.sender)
        if heard is None or (heard.start != frame.start and self._newer(now, heard, frame.start)):
            if heard is None and len(self.heard) >= MAX_SENDERS:
                self.heard.popitem(last=False)
            heard = self.heard[frame.sender] = _Heard(frame.start)
        elif heard.start != frame.start:
            raise DatagramRejectedError("old-start")
        ahead = frame.seq - heard.highest
        if ahead > 0:
            heard.bits = ((heard.bits << min(ahead, REPLAY_WINDOW)) | 1) & ((1 << REPLAY_WINDOW) - 1)
            heard.highest = frame.seq
        elif -ahead >= REPLAY_WINDOW or heard.bits >> -ahead & 1:
            raise DatagramRejectedError("replayed")
        else:
            heard.bits |= 1 << -ahead
        heard.at = now
        self.heard.move_to_end(frame.sender)

    def _newer(self, now: float, heard: _Heard, start: int) -> bool:
        return start > heard.start or now - heard.at > CLOCK_SET_BACK_SECONDS


def _tags(words: Any) -> frozenset[str]:
    """The tags of a union of words."""
    return frozenset(str(kind.__struct_config__.tag) for kind in get_args(words) or (words,))
