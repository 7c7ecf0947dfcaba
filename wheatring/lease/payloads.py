"""Bodies that digests stand for: what a sidecar holds and can give to others. Bounded. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

MAX_PAYLOAD_BYTES = 256 * 1024  # bytes of one
MAX_STORE_BYTES = 2 * 1024 * 1024  # bytes of all


def digest(payload: bytes) -> bytes:
    """What a body is known by: BLAKE2b (RFC 7693), 16 bytes."""
    return blake2b(payload, digest_size=16, person=b"wheatring-body").digest()


class FetchRequest(NamedTuple):
    """A body that is wanted, and whom to ask for it. It is answered by `Fleet.body`, whole or with None."""

    address: tuple[str, int]
    digest: bytes


class PayloadStore:
    """The oldest go first where there is no room; `keep` those that must not."""

    def __init__(self) -> None:
        self.payloads: OrderedDict[bytes, bytes] = OrderedDict()
        self.pinned: dict[str, bytes] = {}  # digests that stay, by what needs them
        self.stored_bytes = 0

    def put(self, payload: bytes) -> bytes:
        """Its digest. ValueError for one that is too large."""
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"a body of {len(payload)} bytes, {MAX_PAYLOAD_BYTES} at most")
        key = digest(payload)
        if key in self.payloads:
            self.payloads.move_to_end(key)
            return key
        self.payloads[key] = payload
        self.stored_bytes += len(payload)
        kept = set(self.pinned.values())
        for old in list(self.payloads):
            if self.stored_bytes <= MAX_STORE_BYTES:
                break
            if old != key and old not in kept:
                self.stored_bytes -= len(self.payloads.pop(old))
        return key

    def get(self, key: bytes) -> bytes | None:
        return self.payloads.get(key)

    def pin(self, purpose: str, key: bytes) -> None:
        """This one stays, in the place of the one that was kept for the same."""
        self.pinned[purpose] = key
