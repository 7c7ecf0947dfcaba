"""Which controllers vote: decides on the next set of voters, all changes at once.

Any change is safe, because consensus makes it through an entry that needs a majority of the old set and of
the new one. What is decided here is only who is useful as a voter:

- A voter whose disk was lost comes back at its address as another replica, and takes the lost one's place.
- A voter on a machine that is being retired, or that does not answer, goes where another replica waits to
  take its place.
- Missing voters are added, and those beyond the number that is wanted go if they are of no use.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from wheatring.transport.messages_pb2 import Member

UNREACHABLE_AFTER_SECONDS = 1.5


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
    retired. The leader itself goes only with its machine.
    """
    known = {voter.replica_id for voter in voters}
    waiting = [
        candidate.member
        for candidate in sorted(candidates, key=lambda candidate: candidate.member.replica_id)
        if candidate.caught_up
        and candidate.member.replica_id not in known
        and candidate.member.node not in leaving
    ]

    def is_useful(voter: Member) -> bool:
        if voter.node in leaving:
            return False
        return voter.replica_id == me or unheard.get(voter.replica_id, 0.0) <= UNREACHABLE_AFTER_SECONDS

    wanted = _with_successors(voters, waiting)
    wanted = _with_replacements(wanted, waiting, target, is_useful)
    for voter in [voter for voter in wanted if not is_useful(voter)]:
        if len(wanted) > target:
            wanted.remove(voter)
    changed = {voter.replica_id for voter in wanted} != known
    return wanted if changed else None


def _with_successors(voters: Sequence[Member], waiting: list[Member]) -> list[Member]:
    """Each lost voter's place is taken by the replica that has come at its address; that one then waits no
    more.
    """
    wanted = []
    for voter in voters:
        successor = next((member for member in waiting if member.address == voter.address), None)
        if successor is not None:
            waiting.remove(successor)
        wanted.append(successor or voter)
    return wanted


def _with_replacements(
    voters: list[Member], waiting: list[Member], target: int, is_useful: Callable[[Member], bool]
) -> list[Member]:
    """Missing and useless voters are made up for by those that still wait."""
    useful = sum(is_useful(voter) for voter in voters)
    return [*voters, *waiting[: max(0, target - useful)]]
