"""Reads of the next set find every acknowledged write, whichever members skip the copy."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import combinations

import pytest

from wheatring.tier.placement.key_placement import quorum_sizes
from wheatring.tier.storage.copy_rules import can_skip_copy, copy_sources_required
from wheatring.tier.transport.messages_pb2 import Placement, StorageMember

MAX_MEMBERS = 6


def members(count: int, lost: int = 0) -> list[StorageMember]:
    return [StorageMember(replica_id=f"r{number}", lost=number < lost) for number in range(count)]


def transitions(losses: int) -> Iterator[Placement]:
    """Yield every change of members of a current set up to `MAX_MEMBERS`, without renamed duplicates."""
    for size in range(losses + 1, MAX_MEMBERS + 1):
        current = members(size)
        added = [StorageMember(replica_id=f"n{number}") for number in range(size)]
        for kept in range(size + 1):
            for new in range(size + 1 - kept):
                if kept + new:
                    yield Placement(current=current, next=[*current[:kept], *added[:new]])


def members_without(write: set[str], placement: Placement, losses: int) -> list[str]:
    """Return the next members that may lack a write stored by the members `write`, after all copies.

    In the worst case, a copy is made only from members that do not have the write.
    """
    current = {member.replica_id for member in placement.current}
    can_sources_lack_write = len(current - write) >= copy_sources_required(placement, losses)
    lacking = []
    for member in placement.next:
        identity = member.replica_id
        if identity in write:
            continue
        if can_skip_copy(identity, placement, losses) or can_sources_lack_write:
            lacking.append(identity)
    return lacking


@pytest.mark.parametrize("losses", [1, 2])
def test_every_read_quorum_of_the_next_set_overlaps_with_every_acknowledged_write(losses: int) -> None:
    checked = 0
    for placement in transitions(losses):
        current = quorum_sizes(len(placement.current), losses)
        read = quorum_sizes(len(placement.next), losses).read
        for write in combinations([member.replica_id for member in placement.current], current.write):
            assert len(members_without({*write}, placement, losses)) < read, placement
            checked += 1
    assert checked > 100


@pytest.mark.parametrize(
    ("losses", "before", "after", "skips"),
    [(1, 3, 3, True), (1, 3, 2, False), (2, 5, 5, True), (2, 5, 4, False), (1, 2, 3, True), (1, 4, 4, False)],
)
def test_member_skips_copy_only_if_the_next_read_quorum_is_not_smaller(
    losses: int, before: int, after: int, skips: bool
) -> None:
    current = members(before)
    added = [StorageMember(replica_id=f"n{number}") for number in range(after - before)]
    placement = Placement(current=current, next=[*current[:after], *added])
    assert can_skip_copy("r0", placement, losses) is skips


def test_new_or_lost_member_never_skips_copy() -> None:
    placement = Placement(current=members(3, lost=1), next=[*members(3), StorageMember(replica_id="n0")])
    assert not can_skip_copy("r0", placement, 1)
    assert can_skip_copy("r1", placement, 1)
    assert not can_skip_copy("n0", placement, 1)


def test_copy_requires_at_least_one_source() -> None:
    assert copy_sources_required(Placement(current=members(1)), 2) == 1
    assert copy_sources_required(Placement(current=members(5)), 2) == 3
