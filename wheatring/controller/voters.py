"""Which controllers vote: decides on the next change of the voters, one at a time.

A voter whose disk was lost comes back at its address as another replica, and takes the lost one's place at
once. A voter that does not answer is removed only when another replica waits to take its place, and that one
is added by a change of its own, so that any two majorities overlap. A voter on a machine that is being
retired is removed once another one has been added for it."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from wheatring.transport.messages_pb2 import Member

UNREACHABLE_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Candidate:
    """A replica without a vote."""

    member: Member
    caught_up: bool


def next_voters(
    me: str,
    voters: Sequence[Member],
    candidates: Sequence[Candidate],
    unheard: Mapping[str, float],
    target: int,
    leaving: Collection[str] = (),
) -> list[Member] | None:
    """The voters to change to, or None. `unheard` tells for how many seconds the leader `me` has not heard
    from each other voter; `target` is the number of voters wanted; `leaving` are nodes that are being
    retired."""
    known = {voter.replica_id for voter in voters}
    ready = sorted(
        (
            candidate.member
            for candidate in candidates
            if candidate.caught_up
            and candidate.member.replica_id not in known
            and candidate.member.node not in leaving
        ),
        key=lambda member: member.replica_id,
    )
    staying = [voter for voter in voters if voter.node not in leaving]
    if target <= len(staying) < len(voters):
        goes = next(voter for voter in voters if voter.node in leaving)
        return [voter for voter in voters if voter.replica_id != goes.replica_id]
    for member in ready:
        lost = [voter for voter in voters if voter.address == member.address]
        if lost:
            return [voter for voter in voters if voter.replica_id != lost[0].replica_id] + [member]
    if not ready:
        return None
    if len(staying) < target:
        return [*voters, ready[0]]
    gone = [
        voter
        for voter in voters
        if voter.replica_id != me and unheard.get(voter.replica_id, 0.0) > UNREACHABLE_SECONDS
    ]
    if gone:
        worst = max(gone, key=lambda voter: unheard[voter.replica_id])
        return [voter for voter in voters if voter.replica_id != worst.replica_id]
    return None
