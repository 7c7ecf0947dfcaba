"""Key placement: quorums of consecutive epochs overlap, and a membership change moves few keys."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.tier.placement.storage_members import members
from wheatring.tier.placement.key_placement import (
    has_replies_of_all_but,
    place_key,
    quorum_sizes,
    replicas_for,
)
from wheatring.tier.transport.messages_pb2 import Placement, StorageMember


@given(count=st.integers(1, 9), losses=st.integers(0, 2))
def test_read_quorums_overlap_with_write_quorums(count: int, losses: int) -> None:
    if count < losses + 1:
        return
    sizes = quorum_sizes(count, losses)
    assert sizes.write == losses + 1
    assert sizes.read + sizes.write > sizes.copies
    assert sizes.read <= sizes.copies
    if count >= 2 * losses + 1:
        assert sizes.write + losses <= sizes.copies  # A write succeeds even if that many are lost.
        assert sizes.read + losses <= sizes.copies


@given(key=st.text(max_size=12), count=st.integers(3, 9))
def test_copies_are_in_different_zones(key: str, count: int) -> None:
    chosen = replicas_for(key, members(*range(count)), 3)
    assert len({member.zone for member in chosen}) == min(3, len({m.zone for m in members(*range(count))}))
    assert len({member.replica_id for member in chosen}) == 3


@given(key=st.text(max_size=12), zones=st.integers(1, 7), copies=st.integers(1, 5))
def test_number_of_copies_does_not_depend_on_the_number_of_zones(key: str, zones: int, copies: int) -> None:
    all_members = [StorageMember(replica_id=f"r{n}", zone=f"z{n % zones}") for n in range(2 * 7)]
    chosen = replicas_for(key, all_members, copies)
    assert len({member.replica_id for member in chosen}) == len(chosen) == copies
    assert len({member.zone for member in chosen}) == min(zones, copies)


def test_empty_member_set_forms_no_group() -> None:
    placement = Placement(epoch=1, current=members(0, 1, 2))
    assert len(place_key("k", placement, 1).groups) == 1
    assert place_key("k", Placement(epoch=1), 1).members == ()


def test_new_member_takes_only_its_share_of_the_keys() -> None:
    before, after = members(*range(8)), members(*range(9))
    moved = 0
    for number in range(600):
        old = {m.replica_id for m in replicas_for(f"k{number}", before, 3)}
        new = {m.replica_id for m in replicas_for(f"k{number}", after, 3)}
        moved += len(new - old)
    assert moved < 600 * 3 * 0.25  # An even share would be one ninth.


def read_quorums(placement: Placement, key: str, losses: int) -> list[set[str]]:
    """Return all minimal sets of members that form a read quorum."""
    key_placement = place_key(key, placement, losses)
    return _minimal_sets([m.replica_id for m in key_placement.members], key_placement.has_read_quorum)


def write_quorums(placement: Placement, key: str, losses: int) -> list[set[str]]:
    """Return all minimal sets of members that form a write quorum."""
    key_placement = place_key(key, placement, losses)
    return _minimal_sets([m.replica_id for m in key_placement.members], key_placement.has_write_quorum)


def _minimal_sets(ids: list[str], is_quorum: Callable[[set[str]], bool]) -> list[set[str]]:
    minimal_sets: list[set[str]] = []
    for size in range(len(ids) + 1):
        for chosen in map(set, combinations(ids, size)):
            if is_quorum(chosen) and not any(smaller <= chosen for smaller in minimal_sets):
                minimal_sets.append(chosen)
    return minimal_sets


@given(
    old=st.sets(st.integers(0, 6), min_size=3, max_size=5),
    new=st.sets(st.integers(0, 6), min_size=3, max_size=5),
    key=st.text(max_size=6),
)
@settings(max_examples=80)
def test_quorums_of_adjacent_epochs_overlap(old: set[int], new: set[int], key: str) -> None:
    """Reader and writer may know different epochs of the same change, in either order."""
    before = Placement(epoch=1, current=members(*sorted(old)))
    joint = Placement(epoch=2, current=before.current, next=members(*sorted(new)))
    after = Placement(epoch=3, current=joint.next)
    for one, other in ((before, joint), (joint, joint), (joint, after), (joint, before), (after, joint)):
        for written in write_quorums(one, key, 1):
            assert all(written & read for read in read_quorums(other, key, 1))


@given(
    numbers=st.sets(st.integers(0, 8), min_size=3, max_size=6),
    losses=st.integers(1, 2),
    lost=st.sets(st.integers(0, 5), max_size=2),
    key=st.text(max_size=6),
)
@settings(max_examples=80)
def test_read_quorums_after_a_loss_overlap_with_earlier_write_quorums(
    numbers: set[int], losses: int, lost: set[int], key: str
) -> None:
    before = Placement(epoch=1, current=members(*sorted(numbers)))
    after = Placement(epoch=2, current=before.current)
    lost_members = [member for n, member in enumerate(after.current) if n in lost][:losses]
    for member in lost_members:
        member.lost = True
    lost_ids = {member.replica_id for member in lost_members}
    assert not any(lost_ids & {m.replica_id for m in place_key(key, after, losses).members} for _ in "x")
    for written in write_quorums(before, key, losses):
        assert all(written & read for read in read_quorums(after, key, losses))


@given(
    key=st.text(max_size=12),
    losses=st.integers(0, 2),
    current=st.sets(st.integers(0, 8), min_size=3),
    following=st.one_of(st.just(set()), st.sets(st.integers(0, 8), min_size=3)),
    replied=st.sets(st.integers(0, 8)),
)
def test_replies_of_all_but_the_tolerated_losses_contain_a_read_quorum_of_any_key(
    key: str, losses: int, current: set[int], following: set[int], replied: set[int]
) -> None:
    placement = Placement(epoch=2, current=members(*current), next=members(*following))
    replied_ids = {f"r{number}" for number in replied}
    if has_replies_of_all_but(losses, placement, replied_ids):
        assert place_key(key, placement, losses).has_read_quorum(replied_ids)


def test_lost_member_counts_as_one_that_has_not_replied() -> None:
    placement = Placement(epoch=2, current=members(0, 1, 2))
    assert has_replies_of_all_but(1, placement, {"r0", "r1"})
    placement.current[1].lost = True
    assert not has_replies_of_all_but(1, placement, {"r0", "r1"})
    assert has_replies_of_all_but(1, placement, {"r0", "r2"})
