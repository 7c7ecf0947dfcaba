"""Rules for when a replica may skip its copy, and for how many sources a copy needs."""

from __future__ import annotations

from wheatring.tier.placement.key_placement import quorum_sizes
from wheatring.tier.transport.messages_pb2 import Placement


def can_skip_copy(identity: str, placement: Placement, losses: int) -> bool:
    """Whether a replica may become a member of the next set without copying from the others.

    If every current member is a replica of every key, the members that lack an acknowledged write are fewer
    than a read quorum of the current set. They are also fewer than a read quorum of the next set unless that
    quorum is smaller. With a smaller one, members that lack a write could form a read quorum and report that
    the record does not exist.
    """
    is_current = any(member.replica_id == identity and not member.lost for member in placement.current)
    current_sizes = quorum_sizes(len(placement.current), losses)
    next_sizes = quorum_sizes(len(placement.next), losses)
    return (
        is_current
        and len(placement.current) <= current_sizes.copies
        and next_sizes.read >= current_sizes.read
    )


def copy_sources_required(placement: Placement, losses: int) -> int:
    """Return the number of current members to copy from to get every acknowledged write."""
    return max(1, len(placement.current) - losses)
