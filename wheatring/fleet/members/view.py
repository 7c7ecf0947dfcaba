"""A view: the numbered set of members that all agree on, how it changes, and who observes whom in it.

Rings: on each of `RING_COUNT` all members stand in the order of a hash of the ring and their names, and each
observes the one behind it. So everybody knows all edges, and a change moves only the edges beside those
admitted or removed. After Rapid (Suresh et al., 2018).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property, lru_cache
from hashlib import blake2b

import msgspec

from wheatring.fleet.members.view_messages import ViewMember

RING_COUNT = 6


class ViewChange(msgspec.Struct, frozen=True, array_like=True):
    """What makes a view of the one before: the payload of an entry of the register `view`.

    `before` and `after` are the digests of the encoded members. The order of the fields is the wire format.
    """

    before: bytes
    after: bytes
    added: tuple[ViewMember, ...] = ()
    removed: tuple[str, ...] = ()
    reason: str = ""


_encoder = msgspec.msgpack.Encoder()
_change: msgspec.msgpack.Decoder[ViewChange] = msgspec.msgpack.Decoder(ViewChange)
_members: msgspec.msgpack.Decoder[tuple[ViewMember, ...]] = msgspec.msgpack.Decoder(tuple[ViewMember, ...])


@dataclass(frozen=True)
class View:
    """A membership view. `members` are in the order of their names; `epoch` is that of the last leader."""

    number: int = 0
    epoch: int = 0
    members: tuple[ViewMember, ...] = ()

    @cached_property
    def payload(self) -> bytes:
        """The encoded members, of which a change has the digests."""
        return _encoder.encode(self.members)

    @cached_property
    def _by_name(self) -> dict[str, ViewMember]:
        return {placed.member.name: placed for placed in self.members}

    @cached_property
    def names(self) -> frozenset[str]:
        """The names of all members."""
        return frozenset(self._by_name)

    def member(self, name: str) -> ViewMember | None:
        """Return a member by its name."""
        return self._by_name.get(name)

    def with_changes(
        self, number: int, epoch: int, added: Iterable[ViewMember], removed: Iterable[str]
    ) -> View:
        """Return the view with this number that a change makes of this one."""
        removed_names = {*removed}
        members = {name: placed for name, placed in self._by_name.items() if name not in removed_names}
        members.update((placed.member.name, placed) for placed in added)
        return View(number, epoch, tuple(members[name] for name in sorted(members)))


def encode_change(change: ViewChange) -> bytes:
    """Encode a change as an entry's payload."""
    return _encoder.encode(change)


def decode_change(payload: bytes) -> ViewChange | None:
    """Decode an entry's payload; None: it is no change."""
    try:
        return _change.decode(payload)
    except msgspec.DecodeError:
        return None


def decode_members(payload: bytes) -> tuple[ViewMember, ...] | None:
    """Decode the payload of a complete view; None: it is none."""
    try:
        return _members.decode(payload)
    except msgspec.DecodeError:
        return None


@lru_cache(maxsize=RING_COUNT * 8192)
def _ring_position(ring: int, name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, salt=bytes([ring])).digest()


class Rings:
    """Who observes whom in one view."""

    def __init__(self, names: Iterable[str]) -> None:
        self.subjects_by_observer: dict[str, list[str]] = {}
        self.observers_by_subject: dict[str, list[str]] = {}
        ordered = sorted(names)
        for ring in range(RING_COUNT):
            order = sorted(ordered, key=lambda name: _ring_position(ring, name))
            for name, other in zip(order, order[1:] + order[:1], strict=True):
                if name != other and other not in self.subjects_by_observer.setdefault(name, []):
                    self.subjects_by_observer[name].append(other)
                    self.observers_by_subject.setdefault(other, []).append(name)

    def subjects(self, name: str) -> list[str]:
        """Return those that a member observes."""
        return self.subjects_by_observer.get(name, [])

    def observers(self, name: str) -> list[str]:
        """Return those that observe a member."""
        return self.observers_by_subject.get(name, [])
