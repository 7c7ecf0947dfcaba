"""Decides on the next voter set of the controllers; one change may replace several voters.

Any change is safe, because the entry that makes it needs a majority of the old set and of the new one. These
rules select the voters for availability:

- A voter whose disk was lost restarts at its address as another replica, and is replaced by that replica.
- A voter that is unreachable, or on a machine that is being retired, is replaced if there is another replica.
- Missing voters are added, and unusable voters beyond the target number are removed.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from wheatring.tier.consensus.electorate import member_ids
from wheatring.tier.transport.messages_pb2 import Member

UNREACHABLE_AFTER_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica without a vote, and whether it has synced the newest entry to disk."""

    member: Member
    caught_up: bool


def next_voters(
    leader_id: str,
    voters: Sequence[Member],
    candidates: Sequence[Candidate],
    seconds_since_contact: Mapping[str, float],
    target: int,
    leaving: Collection[str] = (),
) -> list[Member] | None:
    """Decide on the next voter set.

    Parameters
    ----------
    leader_id
        The identity of the leader, which is removed only if its node is leaving.
    voters
        The current voters.
    candidates
        The replicas without a vote.
    seconds_since_contact
        Seconds since the leader's last contact with each other voter.
    target
        The target number of voters.
    leaving
        The nodes that are being retired or shutting down.

    Returns
    -------
    The voters to change to, or None if the current ones stay.
    """

    def is_usable(voter: Member) -> bool:
        """Return whether a voter is reachable and not leaving."""
        if voter.node in leaving:
            return False
        silence_seconds = seconds_since_contact.get(voter.replica_id, 0.0)
        return voter.replica_id == leader_id or silence_seconds <= UNREACHABLE_AFTER_SECONDS

    available = _available_members(voters, candidates, leaving)
    selected = _with_successors(voters, available)
    selected = _with_replacements(selected, available, target, is_usable)
    for voter in [voter for voter in selected if not is_usable(voter)]:
        if len(selected) > target:
            selected.remove(voter)
    return selected if member_ids(selected) != member_ids(voters) else None


def _available_members(
    voters: Sequence[Member], candidates: Sequence[Candidate], leaving: Collection[str]
) -> list[Member]:
    """Return the candidates that may become voters, ordered by identity."""
    voter_ids = member_ids(voters)
    return [
        candidate.member
        for candidate in sorted(candidates, key=lambda candidate: candidate.member.replica_id)
        if candidate.caught_up
        and candidate.member.replica_id not in voter_ids
        and candidate.member.node not in leaving
    ]


def _with_successors(voters: Sequence[Member], available: list[Member]) -> list[Member]:
    """Replace each voter whose disk was lost by the new replica at its address.

    The selected replicas are removed from `available`.
    """
    selected = []
    for voter in voters:
        successor = next((member for member in available if member.address == voter.address), None)
        if successor is not None:
            available.remove(successor)
        selected.append(successor or voter)
    return selected


def _with_replacements(
    voters: list[Member], available: list[Member], target: int, is_usable: Callable[[Member], bool]
) -> list[Member]:
    """Add replicas for voters that are missing or unusable."""
    usable_count = sum(is_usable(voter) for voter in voters)
    return [*voters, *available[: max(0, target - usable_count)]]
