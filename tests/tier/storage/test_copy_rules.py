"""No acknowledged write is missed by a read of the next set, whichever members skip the copy."""

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
    """Yield each change from one set to another, up to names; kept members are any of the present ones."""
    for size in range(losses + 1, MAX_MEMBERS + 1):
        current = members(size)
        added = [StorageMember(replica_id=f"n{number}") for number in range(size)]
        for kept in range(size + 1):
            for new in range(size + 1 - kept):
                if kept + new:
                    yield Placement(current=current, next=[*current[:kept], *added[:new]])


def members_without(write: set[str], placement: Placement, losses: int) -> list[str]:
    """Return the next members that may lack a write of these members, once all are complete.

    A copy is taken from as many members as are required, of which none has the write if that can be.
    """
    current = {member.replica_id for member in placement.current}
    may_copy_nothing = len(current - write) >= copy_sources_required(placement, losses)
    lacking = []
    for member in placement.next:
        identity = member.replica_id
        if identity in write:
            continue
        if can_skip_copy(identity, placement, losses) or may_copy_nothing:
            lacking.append(identity)
    return lacking


@pytest.mark.parametrize("losses", [1, 2])
def test_each_read_of_the_next_set_meets_each_acknowledged_write(losses: int) -> None:
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
def test_a_member_skips_its_copy_only_where_reads_of_the_next_set_are_no_smaller(
    losses: int, before: int, after: int, skips: bool
) -> None:
    current = members(before)
    added = [StorageMember(replica_id=f"n{number}") for number in range(after - before)]
    placement = Placement(current=current, next=[*current[:after], *added])
    assert can_skip_copy("r0", placement, losses) is skips


def test_a_member_that_is_new_or_was_lost_never_skips_its_copy() -> None:
    placement = Placement(current=members(3, lost=1), next=[*members(3), StorageMember(replica_id="n0")])
    assert not can_skip_copy("r0", placement, 1)
    assert can_skip_copy("r1", placement, 1)
    assert not can_skip_copy("n0", placement, 1)


def test_a_copy_needs_one_source_at_least() -> None:
    assert copy_sources_required(Placement(current=members(1)), 2) == 1
    assert copy_sources_required(Placement(current=members(5)), 2) == 3
