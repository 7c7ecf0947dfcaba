"""Membership views: the numbered, agreed set of members, its changes, and its monitoring topology.

On each of `RING_COUNT` rings the members are sorted by a hash of the ring and their names, and each member
observes its successor. So all members can compute all edges, and a change of the view affects only the edges
next to the members admitted or removed. Based on Rapid (Suresh et al., 2018).
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
    """The difference between a view and the previous one: the payload of an entry of the register `view`.

    `before` and `after` are the digests of the encoded members of both. The order of the fields is the wire
    format.
    """

    before: bytes
    after: bytes
    added: tuple[ViewMember, ...] = ()
    removed: tuple[str, ...] = ()
    reason: str = ""


_encoder = msgspec.msgpack.Encoder()
_change_decoder: msgspec.msgpack.Decoder[ViewChange] = msgspec.msgpack.Decoder(ViewChange)
_members_decoder: msgspec.msgpack.Decoder[tuple[ViewMember, ...]] = msgspec.msgpack.Decoder(
    tuple[ViewMember, ...]
)


@dataclass(frozen=True)
class View:
    """A membership view. `members` are sorted by name; `epoch` is that of the leader that changed it last."""

    number: int = 0
    epoch: int = 0
    members: tuple[ViewMember, ...] = ()

    @cached_property
    def payload(self) -> bytes:
        """The encoded members; `ViewChange` has digests of them."""
        return _encoder.encode(self.members)

    @cached_property
    def _by_name(self) -> dict[str, ViewMember]:
        return {view_member.member.name: view_member for view_member in self.members}

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
        """Return a new view with these changes applied."""
        removed_names = {*removed}
        members = {
            name: view_member for name, view_member in self._by_name.items() if name not in removed_names
        }
        members.update((view_member.member.name, view_member) for view_member in added)
        return View(number, epoch, tuple(members[name] for name in sorted(members)))


def encode_change(change: ViewChange) -> bytes:
    """Encode a change as an entry's payload."""
    return _encoder.encode(change)


def decode_change(payload: bytes) -> ViewChange | None:
    """Decode an entry's payload; None if it isn't a valid change."""
    try:
        return _change_decoder.decode(payload)
    except msgspec.DecodeError:
        return None


def decode_members(payload: bytes) -> tuple[ViewMember, ...] | None:
    """Decode the payload of a complete view; None if it isn't valid."""
    try:
        return _members_decoder.decode(payload)
    except msgspec.DecodeError:
        return None


@lru_cache(maxsize=RING_COUNT * 8192)
def _ring_position(ring: int, name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, salt=bytes([ring])).digest()


class Rings:
    """The observers and subjects of all members of one view."""

    def __init__(self, names: Iterable[str]) -> None:
        self.subjects_by_observer: dict[str, list[str]] = {}
        self.observers_by_subject: dict[str, list[str]] = {}
        ordered = sorted(names)
        for ring in range(RING_COUNT):
            order = sorted(ordered, key=lambda name: _ring_position(ring, name))
            for name, successor in zip(order, order[1:] + order[:1], strict=True):
                if name != successor and successor not in self.subjects_by_observer.setdefault(name, []):
                    self.subjects_by_observer[name].append(successor)
                    self.observers_by_subject.setdefault(successor, []).append(name)

    def subjects(self, name: str) -> list[str]:
        """Return the members that a member observes."""
        return self.subjects_by_observer.get(name, [])

    def observers(self, name: str) -> list[str]:
        """Return the members that observe a member."""
        return self.observers_by_subject.get(name, [])
