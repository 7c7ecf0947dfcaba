"""Payloads that digests stand for: a bounded, content-addressed store in memory. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

from wheatring.fleet.lease.exceptions import PayloadTooLargeError

MAX_PAYLOAD_BYTES = 256 * 1024  # of one payload
MAX_STORE_BYTES = 2 * 1024 * 1024  # of all payloads together


def digest(payload: bytes) -> bytes:
    """Return the key of a payload: BLAKE2b (RFC 7693), 16 bytes."""
    return blake2b(payload, digest_size=16, person=b"wheatring-body").digest()


class FetchRequest(NamedTuple):
    """A payload that is wanted, and the member to ask for it.

    `Fleet.receive_payload` gets the answer: the complete payload, or None.
    """

    address: tuple[str, int]
    digest: bytes


class PayloadStore:
    """Payloads by their digests. Where there is no room the oldest that isn't pinned goes first."""

    def __init__(self) -> None:
        self.payloads: OrderedDict[bytes, bytes] = OrderedDict()
        self.pinned: dict[str, bytes] = {}  # digests that stay, by the purpose that needs them
        self.stored_bytes = 0

    def put(self, payload: bytes) -> bytes:
        """Store a payload and return its digest.

        Raises
        ------
        PayloadTooLargeError
            It is larger than `MAX_PAYLOAD_BYTES`.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise PayloadTooLargeError(len(payload), MAX_PAYLOAD_BYTES)
        key = digest(payload)
        if key in self.payloads:
            self.payloads.move_to_end(key)
            return key
        self.payloads[key] = payload
        self.stored_bytes += len(payload)
        self._evict(key)
        return key

    def _evict(self, newest: bytes) -> None:
        """Drop the oldest payloads until there is room; pinned ones and `newest` stay."""
        pinned = set(self.pinned.values())
        for old in list(self.payloads):
            if self.stored_bytes <= MAX_STORE_BYTES:
                break
            if old != newest and old not in pinned:
                self.stored_bytes -= len(self.payloads.pop(old))

    def get(self, key: bytes) -> bytes | None:
        """Return the payload of a digest; None: it isn't stored here."""
        return self.payloads.get(key)

    def pin(self, purpose: str, key: bytes) -> None:
        """Keep this payload from eviction, in place of the one pinned for the same purpose before."""
        self.pinned[purpose] = key
