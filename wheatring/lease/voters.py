"""Who votes, and how the voters are changed without two majorities that don't know of each other.

A change takes two steps, each told to all sidecars by reload. In the first the old and the new voters are
named, and a term takes a majority of both. In the second only the new ones are. Voters grant only to
claimants that go by the very same names, and a voter takes the second step only once it has seen a term in
force by the first: then a majority of the old voters has taken the first step, and none of these goes back.
"""

from __future__ import annotations

from collections.abc import Collection
from hashlib import blake2b
from typing import NamedTuple


def numbered_voter(number: int) -> str:
    """The name of a voter that is told by its number."""
    return f"#{number}"


def first_voters(count: int) -> tuple[str, ...]:
    """The names of so many voters of the lowest numbers."""
    return tuple(numbered_voter(number) for number in range(count))


class VoterSet(NamedTuple):
    """Names of voters: `now`, and where they are being changed also `then`."""

    current: tuple[str, ...]
    next: tuple[str, ...] = ()

    @property
    def names(self) -> list[str]:
        return sorted({*self.current, *self.next})

    @property
    def digest(self) -> int:
        """The same for the same names, in whatever order; never 0."""
        text = "\n".join([*sorted(self.current), "", *sorted(self.next)])
        return 1 + int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")

    def has_majority(self, names: Collection[str]) -> bool:
        """A majority of each."""
        return all(2 * len({*part} & {*names}) > len(part) for part in (self.current, self.next) if part)

    def objection_to(self, other: VoterSet, in_force: int) -> str:
        """Why one who goes by these may not go by others; "": it may."""
        if {*other.current} == {*self.current} and not self.next:
            return ""  # the first step
        if self.next and {*other.current} == {*self.current} and not other.next:
            return ""  # back from it: both took a majority of these
        if self.next and {*other.current} == {*self.next} and not other.next:
            if in_force == self.digest:
                return ""
            return "no term has been seen yet that both the old and the new voters granted"
        return "voters are changed in two steps: name the new ones as voters_next first"
