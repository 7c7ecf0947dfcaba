"""A view: the numbered set of members that all agree on, how it changes, and who watches whom in it.

Rings: on each of `RINGS` all members stand in the order of a hash of the ring and their names, and each
watches the one behind it. So everybody knows all edges, and a change moves only the edges beside whoever came
or went. After Rapid (Suresh et al., 2018).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import cached_property, lru_cache
from hashlib import blake2b

import msgspec

from wheatring.members.messages import ViewMember

RING_COUNT = 6


class ViewChange(msgspec.Struct, frozen=True, array_like=True):
    """What makes a view of the one before: the body of an entry of the register `view`. `before` and `after`
    are the digests of the members' lists.
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
    """`members` in the order of their names. `epoch` is that of the leader that told it last."""

    number: int = 0
    epoch: int = 0
    members: tuple[ViewMember, ...] = ()

    @cached_property
    def payload(self) -> bytes:
        """The members, as the body that a change's digests are of."""
        return _encoder.encode(self.members)

    @cached_property
    def _by_name(self) -> dict[str, ViewMember]:
        return {placed.member.name: placed for placed in self.members}

    @cached_property
    def names(self) -> frozenset[str]:
        return frozenset(self._by_name)

    def member(self, name: str) -> ViewMember | None:
        return self._by_name.get(name)

    def with_changes(
        self, number: int, epoch: int, added: Iterable[ViewMember], removed: Iterable[str]
    ) -> View:
        gone = {*removed}
        left = {name: placed for name, placed in self._by_name.items() if name not in gone}
        left.update((placed.member.name, placed) for placed in added)
        return View(number, epoch, tuple(left[name] for name in sorted(left)))


def encode_change(change: ViewChange) -> bytes:
    return _encoder.encode(change)


def decode_change(payload: bytes) -> ViewChange | None:
    """None: it is none."""
    try:
        return _change.decode(payload)
    except msgspec.DecodeError:
        return None


def decode_members(payload: bytes) -> tuple[ViewMember, ...] | None:
    try:
        return _members.decode(payload)
    except msgspec.DecodeError:
        return None


@lru_cache(maxsize=RING_COUNT * 8192)
def _ring_position(ring: int, name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, salt=bytes([ring])).digest()


class Rings:
    """Who watches whom in one view."""

    def __init__(self, names: Iterable[str]) -> None:
        self.subjects_by_observer: dict[str, list[str]] = {}  # by whom: its subjects,
        self.observers_by_subject: dict[str, list[str]] = {}  # and of whom: its observers
        all_ = sorted(names)
        for ring in range(RING_COUNT):
            order = sorted(all_, key=lambda name: _ring_position(ring, name))
            for name, other in zip(order, order[1:] + order[:1], strict=True):
                if name != other and other not in self.subjects_by_observer.setdefault(name, []):
                    self.subjects_by_observer[name].append(other)
                    self.observers_by_subject.setdefault(other, []).append(name)

    def subjects(self, name: str) -> list[str]:
        return self.subjects_by_observer.get(name, [])

    def observers(self, name: str) -> list[str]:
        return self.observers_by_subject.get(name, [])
