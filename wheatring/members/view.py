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

from wheatring.members.words import Placed

RINGS = 6


class Change(msgspec.Struct, frozen=True, array_like=True):
    """What makes a view of the one before: the body of an entry of the register `view`. `before` and `after`
    are the digests of the members' lists.
    """

    before: bytes
    after: bytes
    came: tuple[Placed, ...] = ()
    went: tuple[str, ...] = ()
    why: str = ""


_encoder = msgspec.msgpack.Encoder()
_change: msgspec.msgpack.Decoder[Change] = msgspec.msgpack.Decoder(Change)
_members: msgspec.msgpack.Decoder[tuple[Placed, ...]] = msgspec.msgpack.Decoder(tuple[Placed, ...])


@dataclass(frozen=True)
class View:
    """`members` in the order of their names. `epoch` is that of the leader that told it last."""

    number: int = 0
    epoch: int = 0
    members: tuple[Placed, ...] = ()

    @cached_property
    def body(self) -> bytes:
        """The members, as the body that a change's digests are of."""
        return _encoder.encode(self.members)

    @cached_property
    def _by_name(self) -> dict[str, Placed]:
        return {placed.who.name: placed for placed in self.members}

    @cached_property
    def names(self) -> frozenset[str]:
        return frozenset(self._by_name)

    def of(self, name: str) -> Placed | None:
        return self._by_name.get(name)

    def after(self, number: int, epoch: int, came: Iterable[Placed], went: Iterable[str]) -> View:
        gone = {*went}
        left = {name: placed for name, placed in self._by_name.items() if name not in gone}
        left.update((placed.who.name, placed) for placed in came)
        return View(number, epoch, tuple(left[name] for name in sorted(left)))


def change_body(change: Change) -> bytes:
    return _encoder.encode(change)


def change_of(body: bytes) -> Change | None:
    """None: it is none."""
    try:
        return _change.decode(body)
    except msgspec.DecodeError:
        return None


def members_of(body: bytes) -> tuple[Placed, ...] | None:
    try:
        return _members.decode(body)
    except msgspec.DecodeError:
        return None


@lru_cache(maxsize=RINGS * 8192)
def _place(ring: int, name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, salt=bytes([ring])).digest()


class Rings:
    """Who watches whom in one view."""

    def __init__(self, names: Iterable[str]) -> None:
        self.watched: dict[str, list[str]] = {}  # by whom: its subjects,
        self.watching: dict[str, list[str]] = {}  # and of whom: its observers
        all_ = sorted(names)
        for ring in range(RINGS):
            order = sorted(all_, key=lambda name: _place(ring, name))
            for name, other in zip(order, order[1:] + order[:1], strict=True):
                if name != other and other not in self.watched.setdefault(name, []):
                    self.watched[name].append(other)
                    self.watching.setdefault(other, []).append(name)

    def subjects(self, name: str) -> list[str]:
        return self.watched.get(name, [])

    def observers(self, name: str) -> list[str]:
        return self.watching.get(name, [])
