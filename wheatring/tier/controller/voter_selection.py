"""Which controllers vote: decides on the next voter set, all changes at once.

Any change is safe, because consensus makes it through an entry that needs a majority of the old set and of
the new one. What is decided here is only who is useful as a voter:

- A voter whose disk was lost comes back at its address as another replica, and takes the lost one's place.
- A voter on a machine that is being retired, or that does not answer, is removed where another replica waits
  to take its place.
- Missing voters are added, and those beyond the number that is wanted are removed if they are of no use.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from wheatring.tier.consensus.electorate import member_ids
from wheatring.tier.transport.messages_pb2 import Member

UNREACHABLE_AFTER_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica without a vote, and whether it has the newest entry on disk."""

    member: Member
    caught_up: bool


def next_voters(
    me: str,
    voters: Sequence[Member],
    candidates: Sequence[Candidate],
    unheard_seconds: Mapping[str, float],
    target: int,
    leaving: Collection[str] = (),
) -> list[Member] | None:
    """Decide on the next voter set.

    Parameters
    ----------
    me
        The identity of the leader, which itself is removed only with its machine.
    voters
        The present voters.
    candidates
        The replicas without a vote.
    unheard_seconds
        For each other voter, how long the leader has not heard from it.
    target
        The number of voters wanted.
    leaving
        The nodes that are being retired or shut down.

    Returns
    -------
    The voters to change to, or None where the present ones stay.
    """

    def is_useful(voter: Member) -> bool:
        """Tell whether a voter stays on its machine and answers."""
        if voter.node in leaving:
            return False
        silent_seconds = unheard_seconds.get(voter.replica_id, 0.0)
        return voter.replica_id == me or silent_seconds <= UNREACHABLE_AFTER_SECONDS

    available = _available_members(voters, candidates, leaving)
    wanted = _with_successors(voters, available)
    wanted = _with_replacements(wanted, available, target, is_useful)
    for voter in [voter for voter in wanted if not is_useful(voter)]:
        if len(wanted) > target:
            wanted.remove(voter)
    return wanted if member_ids(wanted) != member_ids(voters) else None


def _available_members(
    voters: Sequence[Member], candidates: Sequence[Candidate], leaving: Collection[str]
) -> list[Member]:
    """Return the candidates that may be given a vote, in the order of their identities."""
    voter_ids = member_ids(voters)
    return [
        candidate.member
        for candidate in sorted(candidates, key=lambda candidate: candidate.member.replica_id)
        if candidate.caught_up
        and candidate.member.replica_id not in voter_ids
        and candidate.member.node not in leaving
    ]


def _with_successors(voters: Sequence[Member], available: list[Member]) -> list[Member]:
    """Replace each voter whose disk was lost by the replica that has come at its address.

    The replicas that are used up are removed from `available`.
    """
    wanted = []
    for voter in voters:
        successor = next((member for member in available if member.address == voter.address), None)
        if successor is not None:
            available.remove(successor)
        wanted.append(successor or voter)
    return wanted


def _with_replacements(
    voters: list[Member], available: list[Member], target: int, is_useful: Callable[[Member], bool]
) -> list[Member]:
    """Add replicas for the voters that are missing or useless."""
    useful = sum(is_useful(voter) for voter in voters)
    return [*voters, *available[: max(0, target - useful)]]
