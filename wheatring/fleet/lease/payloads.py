"""A bounded, content-addressed store of payloads in memory. Performs no I/O."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

from wheatring.fleet.lease.exceptions import PayloadTooLargeError

MAX_PAYLOAD_BYTES = 256 * 1024  # the limit for one payload
MAX_STORE_BYTES = 2 * 1024 * 1024  # the limit for all stored payloads together


def digest(payload: bytes) -> bytes:
    """Return the key of a payload: its BLAKE2b digest (RFC 7693) of 16 bytes."""
    return blake2b(payload, digest_size=16, person=b"wheatring-body").digest()


class FetchRequest(NamedTuple):
    """A payload to fetch, and the member to fetch it from.

    The caller passes the result to `Fleet.receive_payload`: the complete payload, or None.
    """

    address: tuple[str, int]
    digest: bytes


class PayloadStore:
    """Payloads by digest. When the store is full, the oldest payloads that are not pinned are evicted."""

    def __init__(self) -> None:
        self.payloads: OrderedDict[bytes, bytes] = OrderedDict()
        self.pinned: dict[str, bytes] = {}  # digests that are not evicted, by purpose
        self.stored_bytes = 0

    def put(self, payload: bytes) -> bytes:
        """Store a payload and return its digest.

        Raises
        ------
        PayloadTooLargeError
            If it is larger than `MAX_PAYLOAD_BYTES`.
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
        """Evict the oldest payloads until the store fits its limit; pinned ones and `newest` stay."""
        pinned = set(self.pinned.values())
        for stored in list(self.payloads):
            if self.stored_bytes <= MAX_STORE_BYTES:
                break
            if stored != newest and stored not in pinned:
                self.stored_bytes -= len(self.payloads.pop(stored))

    def get(self, key: bytes) -> bytes | None:
        """Return the payload of a digest, or None if it is not stored here."""
        return self.payloads.get(key)

    def pin(self, purpose: str, key: bytes) -> None:
        """Protect a payload from eviction, replacing the one pinned for the same purpose before."""
        self.pinned[purpose] = key
