"""The voter set, and how it changes without ever allowing two disjoint majorities.

A change takes two steps (joint consensus), each rolled out to all sidecars by a reload. The first step names
the current and the next voters, and a lease requires a majority of both. The second step names only the next
ones. Acceptors grant only to proposers with exactly the same voter set. An acceptor takes the second step
only after it has seen a lease granted under the first: by then a majority of the old voters has taken the
first step, and none of them returns to the old set.
"""

from __future__ import annotations

from collections.abc import Collection
from hashlib import blake2b
from typing import NamedTuple


def numbered_voter(number: int) -> str:
    """Return the name of a voter that is configured by its sidecar number."""
    return f"#{number}"


def first_voters(count: int) -> tuple[str, ...]:
    """Return the names of the `count` voters with the lowest numbers."""
    return tuple(numbered_voter(number) for number in range(count))


class VoterSet(NamedTuple):
    """Voter names: the `current` ones and, during a change, the `next` ones."""

    current: tuple[str, ...]
    next: tuple[str, ...] = ()

    @property
    def names(self) -> list[str]:
        """All voter names, current and next, sorted."""
        return sorted({*self.current, *self.next})

    @property
    def digest(self) -> int:
        """A digest of the voter set that does not depend on the order of the names; never 0."""
        text = "\n".join([*sorted(self.current), "", *sorted(self.next)])
        return 1 + int.from_bytes(blake2b(text.encode(), digest_size=6).digest(), "big")

    def has_majority(self, names: Collection[str]) -> bool:
        """Return whether these are a majority of the current voters and, during a change, of the next."""
        return all(2 * len({*group} & {*names}) > len(group) for group in (self.current, self.next) if group)

    def objection_to(self, other: VoterSet, in_force: int) -> str:
        """Return why a member with this voter set may not change to another one.

        Parameters
        ----------
        other : VoterSet
            The new voter set.
        in_force : int
            The digest of the voter set under which a lease is known to have been granted.

        Returns
        -------
        str
            A reason for the operator, or "" if the change is allowed.
        """
        if {*other.current} == {*self.current} and not self.next:
            return ""  # the first step
        if self.next and {*other.current} == {*self.current} and not other.next:
            # Reverting the first step is safe because both sets require a majority of the current voters.
            return ""
        if self.next and {*other.current} == {*self.next} and not other.next:
            if in_force == self.digest:
                return ""
            return "no term has been seen yet that both the old and the new voters granted"
        return "voters are changed in two steps: name the new ones as voters_next first"
