"""Bodies that digests stand for: what a sidecar holds and can give to others. Bounded. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

LARGEST = 256 * 1024  # bytes of one
ROOM = 2 * 1024 * 1024  # bytes of all


def digest(body: bytes) -> bytes:
    """What a body is known by: BLAKE2b (RFC 7693), 16 bytes."""
    return blake2b(body, digest_size=16, person=b"wheatring-body").digest()


class Fetch(NamedTuple):
    """A body that is wanted, and whom to ask for it. It is answered by `Fleet.body`, whole or with None."""

    address: tuple[str, int]
    digest: bytes


class Bodies:
    """The oldest go first where there is no room; `keep` those that must not."""

    def __init__(self) -> None:
        self.held: OrderedDict[bytes, bytes] = OrderedDict()
        self.kept: dict[str, bytes] = {}  # digests that stay, by what needs them
        self.size = 0

    def put(self, body: bytes) -> bytes:
        """Its digest. ValueError for one that is too large."""
        if len(body) > LARGEST:
            raise ValueError(f"a body of {len(body)} bytes, {LARGEST} at most")
        key = digest(body)
        if key in self.held:
            self.held.move_to_end(key)
            return key
        self.held[key] = body
        self.size += len(body)
        kept = set(self.kept.values())
        for old in list(self.held):
            if self.size <= ROOM:
                break
            if old != key and old not in kept:
                self.size -= len(self.held.pop(old))
        return key

    def get(self, key: bytes) -> bytes | None:
        return self.held.get(key)

    def keep(self, what: str, key: bytes) -> None:
        """This one stays, in the place of the one that was kept for the same."""
        self.kept[what] = key
