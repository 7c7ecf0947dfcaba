"""The set of voters, and how it changes without two majorities that don't know of each other.

A change takes two steps, each given to all sidecars by a reload. In the first the current and the next
voters are named, and a lease takes a majority of both. In the second only the next ones are. Acceptors grant
only to proposers that go by the very same names, and an acceptor takes the second step only once it has seen
a lease in force by the first: then a majority of the old voters has taken the first step, and none of these
goes back.
"""

from __future__ import annotations

from collections.abc import Collection
from hashlib import blake2b
from typing import NamedTuple


def numbered_voter(number: int) -> str:
    """Return the name of a voter that is configured by its sidecar's number."""
    return f"#{number}"


def first_voters(count: int) -> tuple[str, ...]:
    """Return the names of the `count` voters with the lowest numbers."""
    return tuple(numbered_voter(number) for number in range(count))


class VoterSet(NamedTuple):
    """Names of voters: the `current` ones, and while they are being changed also the `next` ones."""

    current: tuple[str, ...]
    next: tuple[str, ...] = ()

    @property
    def names(self) -> list[str]:
        """All names, current and next, sorted."""
        return sorted({*self.current, *self.next})

    @property
    def digest(self) -> int:
        """A digest that is the same for the same names in whatever order; never 0."""
        text = "\n".join([*sorted(self.current), "", *sorted(self.next)])
        return 1 + int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")

    def has_majority(self, names: Collection[str]) -> bool:
        """Return whether these are a majority of the current voters and, during a change, of the next."""
        return all(2 * len({*part} & {*names}) > len(part) for part in (self.current, self.next) if part)

    def objection_to(self, other: VoterSet, in_force: int) -> str:
        """Return why a member with these voters may not change to others.

        Parameters
        ----------
        other : VoterSet
            The voters to change to.
        in_force : int
            The digest of the voters by whom a lease is known to have been granted.

        Returns
        -------
        str
            A reason for the operator; "": it may.
        """
        if {*other.current} == {*self.current} and not self.next:
            return ""  # the first step
        if self.next and {*other.current} == {*self.current} and not other.next:
            return ""  # back from it: both took a majority of these
        if self.next and {*other.current} == {*self.next} and not other.next:
            if in_force == self.digest:
                return ""
            return "no term has been seen yet that both the old and the new voters granted"
        return "voters are changed in two steps: name the new ones as voters_next first"
