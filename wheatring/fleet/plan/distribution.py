"""How a leader gets the body of a plan to all members without sending every copy itself.

The leader gives the body to the first members, and these to the others: each member is told to fetch it from
one that has already stored it.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil

from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.messages import StorePlan
from wheatring.fleet.plan.rollout import Rollout, process_key

DISTRIBUTION_STEPS = 10  # leader steps in which all members of a large fleet are first asked
RETRY_SECONDS = 1.0  # until a member that has not stored the body is asked again


def request_storage(
    fleet: Fleet, rollout: Rollout, missing: Sequence[ViewMember], epoch: int, now: float
) -> list[Outgoing]:
    """Ask members that have not stored the body to fetch it, so many a step, and again after a while.

    A member asked again is sent to the leader itself, as the peer it was first sent to may have failed.
    """
    out: list[Outgoing] = []
    first_requests_left = ceil(len(rollout.view.members) / DISTRIBUTION_STEPS)
    own_address = (fleet.me.host, fleet.me.port)
    sources = [
        (placed.member.host, placed.member.port)
        for placed in rollout.view.members
        if process_key(placed) in rollout.stored_by
    ] or [own_address]
    for placed in missing:
        last = rollout.requested_at.get(process_key(placed))
        if last is None:
            if not first_requests_left:
                continue
            first_requests_left -= 1
        elif now < last + RETRY_SECONDS:
            continue
        rollout.requested_at[process_key(placed)] = now
        source = fleet.random.choice(sources) if last is None else own_address
        out.append(((placed.member.host, placed.member.port), StorePlan(rollout.digest, epoch, source)))
    return out
