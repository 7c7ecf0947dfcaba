"""The placement of keys: quorums overlap under every pair of epochs, and few keys move with the members."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.tier.placement.storage_members import members
from wheatring.tier.placement.key_placement import place_key, quorum_sizes, replicas_for
from wheatring.tier.transport.messages_pb2 import Placement, StorageMember


@given(count=st.integers(1, 9), losses=st.integers(0, 2))
def test_reads_overlap_with_writes(count: int, losses: int) -> None:
    if count < losses + 1:
        return
    figures = quorum_sizes(count, losses)
    assert figures.write == losses + 1
    assert figures.read + figures.write > figures.copies
    assert figures.read <= figures.copies
    if count >= 2 * losses + 1:
        assert figures.write + losses <= figures.copies  # a write goes through with that many lost
        assert figures.read + losses <= figures.copies


@given(key=st.text(max_size=12), count=st.integers(3, 9))
def test_copies_stand_in_different_zones(key: str, count: int) -> None:
    chosen = replicas_for(key, members(*range(count)), 3)
    assert len({member.zone for member in chosen}) == min(3, len({m.zone for m in members(*range(count))}))
    assert len({member.replica_id for member in chosen}) == 3


@given(key=st.text(max_size=12), zones=st.integers(1, 7), copies=st.integers(1, 5))
def test_no_key_has_more_copies_than_wanted_however_many_zones_there_are(
    key: str, zones: int, copies: int
) -> None:
    many = [StorageMember(replica_id=f"r{n}", zone=f"z{n % zones}") for n in range(2 * 7)]
    chosen = replicas_for(key, many, copies)
    assert len({member.replica_id for member in chosen}) == len(chosen) == copies
    assert len({member.zone for member in chosen}) == min(zones, copies)


def test_a_set_that_is_empty_has_no_say() -> None:
    placement = Placement(epoch=1, current=members(0, 1, 2))
    assert len(place_key("k", placement, 1).groups) == 1
    assert place_key("k", Placement(epoch=1), 1).members == ()


def test_a_member_that_comes_takes_only_its_share() -> None:
    before, after = members(*range(8)), members(*range(9))
    moved = 0
    for number in range(600):
        old = {m.replica_id for m in replicas_for(f"k{number}", before, 3)}
        new = {m.replica_id for m in replicas_for(f"k{number}", after, 3)}
        moved += len(new - old)
    assert moved < 600 * 3 * 0.25  # a ninth would be its even share


def read_quorums(placement: Placement, key: str, losses: int) -> list[set[str]]:
    """Return all minimal sets of members whose replies say that nothing was acknowledged."""
    at = place_key(key, placement, losses)
    return _minimal_sets([m.replica_id for m in at.members], at.has_read_quorum)


def write_quorums(placement: Placement, key: str, losses: int) -> list[set[str]]:
    """Return all minimal sets of members whose replies acknowledge a write."""
    at = place_key(key, placement, losses)
    return _minimal_sets([m.replica_id for m in at.members], at.has_write_quorum)


def _minimal_sets(ids: list[str], is_enough: Callable[[set[str]], bool]) -> list[set[str]]:
    found: list[set[str]] = []
    for size in range(len(ids) + 1):
        for chosen in map(set, combinations(ids, size)):
            if is_enough(chosen) and not any(smaller <= chosen for smaller in found):
                found.append(chosen)
    return found


@given(
    old=st.sets(st.integers(0, 6), min_size=3, max_size=5),
    new=st.sets(st.integers(0, 6), min_size=3, max_size=5),
    key=st.text(max_size=6),
)
@settings(max_examples=80)
def test_what_is_written_is_seen_under_the_epochs_beside(old: set[int], new: set[int], key: str) -> None:
    """Reads and writes of two epochs in sequence overlap both ways, whoever has heard of the newer one."""
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
def test_what_was_written_before_a_member_was_lost_is_seen_after(
    numbers: set[int], losses: int, lost: set[int], key: str
) -> None:
    whole = Placement(epoch=1, current=members(*sorted(numbers)))
    lacking = Placement(epoch=2, current=whole.current)
    gone = [member for n, member in enumerate(lacking.current) if n in lost][:losses]
    for member in gone:
        member.lost = True
    names = {member.replica_id for member in gone}
    assert not any(names & {m.replica_id for m in place_key(key, lacking, losses).members} for _ in "x")
    for written in write_quorums(whole, key, losses):
        assert all(written & read for read in read_quorums(lacking, key, losses))
