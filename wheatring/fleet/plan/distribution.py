"""Distribution of a plan's body to all members without the leader sending every copy.

The first members fetch the body from the leader; each later one is directed to a random member that has
already stored it.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import ceil

from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.messages import StorePlan
from wheatring.fleet.plan.rollout import Rollout, process_key

DISTRIBUTION_STEPS = 10  # number of leader steps over which the first requests are spread
RETRY_SECONDS = 1.0  # interval of requests to a member that has not confirmed


def request_storage(
    fleet: Fleet, rollout: Rollout, missing: Sequence[ViewMember], epoch: int, now: float
) -> list[Outgoing]:
    """Ask members that have not stored the body to fetch it, at a limited rate and with retries.

    A retry directs the member to the leader itself, because the peer named first may have failed.
    """
    out: list[Outgoing] = []
    first_requests_left = ceil(len(rollout.view.members) / DISTRIBUTION_STEPS)
    own_address = (fleet.me.host, fleet.me.port)
    sources = [
        (view_member.member.host, view_member.member.port)
        for view_member in rollout.view.members
        if process_key(view_member) in rollout.stored_by
    ] or [own_address]
    for view_member in missing:
        last_request_at = rollout.requested_at.get(process_key(view_member))
        if last_request_at is None:
            if not first_requests_left:
                continue
            first_requests_left -= 1
        elif now < last_request_at + RETRY_SECONDS:
            continue
        rollout.requested_at[process_key(view_member)] = now
        source = fleet.random.choice(sources) if last_request_at is None else own_address
        out.append(
            ((view_member.member.host, view_member.member.port), StorePlan(rollout.digest, epoch, source))
        )
    return out
