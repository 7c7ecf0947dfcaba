"""Voter sets and changes of them."""

from __future__ import annotations

from tests.fleet.lease.builders import LEASE, TIMING
from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.messages import Prepare, ProposalNumber, Propose, Rejection
from wheatring.fleet.lease.voters import VoterSet


def test_second_step_of_a_voter_change_requires_a_lease_granted_under_the_first() -> None:
    old, both, new = (
        VoterSet(("a", "b", "c")),
        VoterSet(("a", "b", "c"), ("d", "e", "f")),
        VoterSet(("d", "e", "f")),
    )
    acceptor = Acceptor(-100, TIMING, old, [LEASE])
    assert "two steps" in acceptor.change_voters(0, new)
    assert acceptor.change_voters(0, both) == ""
    assert acceptor.change_voters(0, new) != "" and acceptor.voters == both
    late = Acceptor(-100, TIMING, both, [LEASE])
    assert late.change_voters(0, new, adopted_elsewhere=True) == "" and late.voters == new
    assert Acceptor(-100, TIMING, old, [LEASE]).change_voters(0, new, adopted_elsewhere=True) != ""
    response = acceptor.receive(0.1, 0, Prepare(LEASE, ProposalNumber(1, "x", 1), 1, old.digest))
    assert isinstance(response, Rejection) and response.reason == "voters"
    acceptor.receive(
        10, 0, Propose(LEASE, ProposalNumber(1, "x", 1), 1, both.digest, 5, 3.0, is_renewal=True)
    )
    assert acceptor.change_voters(11, new) == ""
    response = acceptor.receive(11.1, 0, Prepare(LEASE, ProposalNumber(1, "x", 1), 1, new.digest))
    assert isinstance(response, Rejection) and response.reason == "starting"


def test_voter_change_requires_a_majority_of_both_sets() -> None:
    both = VoterSet(("a", "b", "c"), ("c", "d", "e"))
    assert both.has_majority(["a", "c", "d"]) and not both.has_majority(["a", "b", "c"])
    assert (
        both.digest == VoterSet(("c", "b", "a"), ("e", "d", "c")).digest != VoterSet(("a", "b", "c")).digest
    )
