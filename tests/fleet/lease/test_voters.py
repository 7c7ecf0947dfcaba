"""Voters, and how they are changed."""

from __future__ import annotations

from tests.fleet.lease.builders import LEASE, TIMING
from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.messages import Prepare, ProposalNumber, Propose, Rejection
from wheatring.fleet.lease.voters import VoterSet


def test_voters_are_changed_in_two_steps_and_the_second_waits_for_the_first() -> None:
    old, both, new = (
        VoterSet(("a", "b", "c")),
        VoterSet(("a", "b", "c"), ("d", "e", "f")),
        VoterSet(("d", "e", "f")),
    )
    granting = Acceptor(-100, TIMING, old, [LEASE])
    assert "two steps" in granting.change_voters(0, new)
    assert granting.change_voters(0, both) == ""
    assert granting.change_voters(0, new) != "" and granting.voters == both
    late = Acceptor(-100, TIMING, both, [LEASE])
    assert late.change_voters(0, new, adopted_elsewhere=True) == "" and late.voters == new
    assert Acceptor(-100, TIMING, old, [LEASE]).change_voters(0, new, adopted_elsewhere=True) != ""
    refused = granting.receive(0.1, 0, Prepare(LEASE, ProposalNumber(1, "x", 1), 1, old.digest))
    assert isinstance(refused, Rejection) and refused.reason == "voters"
    granting.receive(
        10, 0, Propose(LEASE, ProposalNumber(1, "x", 1), 1, both.digest, 5, 3.0, is_renewal=True)
    )
    assert granting.change_voters(11, new) == ""
    answer = granting.receive(11.1, 0, Prepare(LEASE, ProposalNumber(1, "x", 1), 1, new.digest))
    assert isinstance(answer, Rejection) and answer.reason == "starting"


def test_a_majority_of_both_is_needed_while_voters_change() -> None:
    both = VoterSet(("a", "b", "c"), ("c", "d", "e"))
    assert both.has_majority(["a", "c", "d"]) and not both.has_majority(["a", "b", "c"])
    assert (
        both.digest == VoterSet(("c", "b", "a"), ("e", "d", "c")).digest != VoterSet(("a", "b", "c")).digest
    )
