"""When a replica may skip a copy, and of how many sources a copy has to be complete."""

from __future__ import annotations

from wheatring.tier.placement.key_placement import quorum_sizes
from wheatring.tier.transport.messages_pb2 import Placement


def can_skip_copy(identity: str, placement: Placement, losses: int) -> bool:
    """Whether a replica may stay as it is in the next set.

    Where every current member is a replica of every key, those that lack an acknowledged write are fewer than
    a read quorum of the current set. They stay fewer than one of the next set if that is no smaller; else a
    member that lacks a write could answer alone that it does not exist.
    """
    is_current = any(member.replica_id == identity and not member.lost for member in placement.current)
    current = quorum_sizes(len(placement.current), losses)
    following = quorum_sizes(len(placement.next), losses)
    return is_current and len(placement.current) <= current.copies and following.read >= current.read


def copy_sources_required(placement: Placement, losses: int) -> int:
    """Return of how many current members a copy is needed: every acknowledged write is on one of them."""
    return max(1, len(placement.current) - losses)
