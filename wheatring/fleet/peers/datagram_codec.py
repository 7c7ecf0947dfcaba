"""Encodes and authenticates the datagrams between sidecars, and rejects those that fail any check.

    1 byte    version of the format
    1 byte    length of the MAC: 16, or 0 where no key is configured
    16 bytes  keyed BLAKE2b (RFC 7693) over all that follows
    rest      MessagePack: fleet, sender, the sender's start, sequence number, message

Each process numbers its datagrams from its start on, so that a replayed one is detected. After a restart of
the receiver an old datagram may be accepted once more. This is harmless: it only repeats a genuine message,
and leases and membership tolerate delayed and duplicate messages.
"""

from __future__ import annotations

import hmac
from collections import OrderedDict
from collections.abc import Sequence
from hashlib import blake2b
from typing import Any, Generic, NamedTuple, TypeVar, get_args

import msgspec
from msgspec import Struct

from wheatring.fleet.lease.fleet import FleetMessage
from wheatring.fleet.peers.exceptions import DatagramRejectedError

FORMAT_VERSION = 1
MAC_BYTES = 16
MAX_DATAGRAM_BYTES = 1400  # one packet on any common link
REPLAY_WINDOW = 256  # sequence numbers; a datagram reordered by more is rejected
MAX_REPLAY_WINDOWS = 4000  # one window per sender; the least recently used one is evicted first
# After this much silence of a sender an earlier start is accepted: its clock was probably set back.
CLOCK_SET_BACK_SECONDS = 5.0


Messages = TypeVar("Messages")


class Frame(Struct, Generic[Messages], array_like=True, frozen=True):
    """The authenticated part of a datagram.

    It is encoded as an array, so the order of the fields is the wire format.
    """

    fleet: str
    sender: str
    start: int
    seq: int
    message: Messages


class TaggedMessage(Struct, array_like=True, frozen=True):
    """Decodes only the tag of a message, also of an unknown type."""

    tag: str


class _ReplayWindow:
    """The sequence numbers received from one process of a sender.

    `bits` has one bit for each number up to `highest`; `received_at` is in monotonic seconds.
    """

    __slots__ = ("bits", "highest", "received_at", "start")

    def __init__(self, start: int) -> None:
        self.start = start
        self.highest = -1
        self.bits = 0
        self.received_at = 0.0


class ReceivedMessage(NamedTuple):
    """The message of an authenticated datagram, and its sender's name."""

    sender: str
    message: Any


class DatagramCodec:
    """Encodes the datagrams of one process of a fleet, and decodes those of other processes.

    Parameters
    ----------
    fleet, name : str
        The fleet, and this sidecar's name in it.
    start : int
        The incarnation of this process: Unix time of its start in ms.
    keys : Sequence[bytes]
        Sent datagrams are authenticated with the first key, received ones with any of them. If empty,
        datagrams carry no MAC, and those that carry one are rejected.
    messages : Any
        The union of message types that this program knows.
    """

    def __init__(
        self, fleet: str, name: str, start: int, keys: Sequence[bytes], messages: Any = FleetMessage
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.start = start
        self.keys = keys
        self.seq = 0
        self.senders: OrderedDict[str, _ReplayWindow] = OrderedDict()  # least recently used first
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder: Any = msgspec.msgpack.Decoder(Frame[messages])
        self.tag_decoder: Any = msgspec.msgpack.Decoder(Frame[TaggedMessage])
        self.tags = _tags(messages)

    def encode(self, message: Any) -> bytes:
        """Encode and authenticate a message as a datagram.

        Raises
        ------
        DatagramRejectedError
            It would be larger than `MAX_DATAGRAM_BYTES`. The sequence number is consumed nevertheless.
        """
        self.seq += 1
        body = self.encoder.encode(Frame(self.fleet, self.name, self.start, self.seq, message))
        mac = self._mac(self.keys[0], body) if self.keys else b""
        if 2 + len(mac) + len(body) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("too-large")
        return bytes((FORMAT_VERSION, len(mac))) + mac + body

    def decode(self, now: float, data: bytes) -> ReceivedMessage:
        """Verify a datagram received at monotonic `now`, in seconds, and return its message.

        Raises
        ------
        DatagramRejectedError
            The datagram fails a check.
        """
        body = self._authenticated_body(data)
        try:
            frame: Frame[Any] = self.decoder.decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise DatagramRejectedError(self._decode_failure(body)) from None
        if frame.fleet != self.fleet:
            raise DatagramRejectedError("fleet")
        if frame.sender == self.name or not frame.sender:
            raise DatagramRejectedError("name")  # another process uses this one's name
        self._check_replay(now, frame)
        return ReceivedMessage(frame.sender, frame.message)

    def _authenticated_body(self, data: bytes) -> bytes:
        if len(data) > MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("too-large")
        if len(data) < 3 or data[0] != FORMAT_VERSION:
            raise DatagramRejectedError("version")
        mac_length = data[1]
        if mac_length != (MAC_BYTES if self.keys else 0):
            raise DatagramRejectedError("key")
        mac, body = data[2 : 2 + mac_length], data[2 + mac_length :]
        if self.keys and not any(hmac.compare_digest(mac, self._mac(key, body)) for key in self.keys):
            raise DatagramRejectedError("key")
        return body

    def _decode_failure(self, body: bytes) -> str:
        """Return the cause: an unknown message type, as a newer program may send it, or a malformed frame."""
        try:
            tag = self.tag_decoder.decode(body).message.tag
        except (msgspec.DecodeError, RecursionError):
            return "form"
        return "form" if tag in self.tags else "unknown-word"

    def _mac(self, key: bytes, body: bytes) -> bytes:
        return blake2b(body, digest_size=MAC_BYTES, key=key, person=b"wheatring").digest()

    def _check_replay(self, now: float, frame: Frame[Any]) -> None:
        """Record the frame's sequence number; raise DatagramRejectedError if it was received before."""
        window = self.senders.get(frame.sender)
        if window is None or (window.start != frame.start and self._supersedes(now, window, frame.start)):
            if window is None and len(self.senders) >= MAX_REPLAY_WINDOWS:
                self.senders.popitem(last=False)
            window = self.senders[frame.sender] = _ReplayWindow(frame.start)
        elif window.start != frame.start:
            raise DatagramRejectedError("old-start")
        ahead = frame.seq - window.highest
        if ahead > 0:
            window.bits = ((window.bits << min(ahead, REPLAY_WINDOW)) | 1) & ((1 << REPLAY_WINDOW) - 1)
            window.highest = frame.seq
        elif -ahead >= REPLAY_WINDOW or window.bits >> -ahead & 1:
            raise DatagramRejectedError("replayed")
        else:
            window.bits |= 1 << -ahead
        window.received_at = now
        self.senders.move_to_end(frame.sender)

    def _supersedes(self, now: float, window: _ReplayWindow, start: int) -> bool:
        return start > window.start or now - window.received_at > CLOCK_SET_BACK_SECONDS


def _tags(messages: Any) -> frozenset[str]:
    """Collect the tags of a union of message types."""
    return frozenset(str(kind.__struct_config__.tag) for kind in get_args(messages) or (messages,))
