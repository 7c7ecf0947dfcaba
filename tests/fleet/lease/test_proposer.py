"""Lease proposers: when a lease begins and expires, and which responses count."""

from __future__ import annotations

from random import Random

from tests.fleet.lease.builders import LEASE, TIMING, VOTERS, make_acceptor, make_elected_proposer
from wheatring.fleet.lease.messages import Accepted, Promise, Propose
from wheatring.fleet.lease.proposer import AddressedRequest, Proposer


def test_unanswered_renewal_stays_one_round_until_expiry_and_then_backs_off() -> None:
    proposer = make_elected_proposer(0.0)
    proposer.tick(proposer.due)
    round_number, requests_sent = proposer.round, 0
    while proposer.holds_lease(proposer.due):
        requests_sent += len(proposer.tick(proposer.due))
        assert proposer.round == round_number
    assert requests_sent > 30
    expired = proposer.due
    assert proposer.tick(expired) == [] and proposer.due >= expired + TIMING.lease_seconds / 2


def test_epoch_exceeds_the_highest_wall_clock_of_a_majority_of_restarted_acceptors() -> None:
    """Epochs must still increase when all acceptors have lost their state and one clock is behind."""
    proposer = Proposer(LEASE, "a", 1, TIMING, VOTERS, Random(1))
    proposer.set_rank(0, 0)
    requests = proposer.tick(0)
    wall_clocks = {"v1": 1_000, "v2": 5_000_000}
    proposals: list[AddressedRequest] = []
    for name, message in requests:
        if name in wall_clocks:
            response = make_acceptor().receive(0, wall_clocks[name], message)
            assert response is not None
            proposals = proposer.receive(0, name, response) or proposals
    assert {message.epoch for _, message in proposals if isinstance(message, Propose)} == {5_000_001}


def test_lease_is_measured_from_before_the_request() -> None:
    proposer = make_elected_proposer(10.0)
    assert proposer.epoch_to_act(10.0 + TIMING.holder_seconds - 0.01) == 8
    assert proposer.epoch_to_act(10.0 + TIMING.holder_seconds) is None


def test_renewal_accepted_after_the_lease_expired_does_not_extend_it() -> None:
    proposer = make_elected_proposer(0.0)
    proposer.tick(TIMING.renew_seconds)
    proposal, round_number = proposer.proposal, proposer.round
    # The renewal round has not timed out yet, but the lease has expired.
    later = TIMING.renew_seconds + TIMING.holder_seconds - 0.1
    for name in ("v1", "v2", "v3"):
        proposer.receive(later, name, Accepted(LEASE, proposal, round_number))
    assert proposer.epoch_to_act(later) is None
    proposer.tick(later)
    for name in ("v1", "v2"):
        proposer.receive(later, name, Promise(LEASE, proposer.proposal, proposer.round, 8))
    assert proposer.epoch == 9


def test_responses_to_another_round_or_from_non_voters_are_ignored() -> None:
    proposer = Proposer(LEASE, "a", 1, TIMING, VOTERS, Random(1))
    proposer.set_rank(0, 0)
    proposer.tick(0)
    for name in ("v1", "v2"):
        assert not proposer.receive(0, name, Promise(LEASE, proposer.proposal, proposer.round - 1, 7))
        assert not proposer.receive(0, f"not-{name}", Promise(LEASE, proposer.proposal, proposer.round, 7))
    assert proposer.receive(0, "v1", Promise(LEASE, proposer.proposal, proposer.round, 7)) == []
    assert proposer.receive(0, "v2", Promise(LEASE, proposer.proposal, proposer.round, 7))
