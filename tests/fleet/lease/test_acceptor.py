"""Acceptors: what they promise and grant, to whom, and for how long."""

from __future__ import annotations

import pytest

from tests.fleet.lease.builders import LEASE, THREE, TIMING, acceptor, prepare, propose
from wheatring.fleet.lease.messages import Accepted, Promise, ProposalNumber, Propose, Rejection, Release


def test_an_acceptor_that_has_started_abstains_for_a_complete_lease() -> None:
    fresh = acceptor(now=10.0)
    answer = fresh.receive(10.0 + TIMING.lease_seconds - 0.01, 0, prepare("a"))
    assert (
        isinstance(answer, Rejection)
        and answer.reason == "starting"
        and 0 < answer.retry_after_seconds <= 0.011
    )
    assert isinstance(fresh.receive(10.0 + TIMING.lease_seconds, 0, prepare("a")), Promise)


def test_a_grant_keeps_others_out_and_a_restarted_proposer_is_another() -> None:
    granting = acceptor()
    assert isinstance(granting.receive(0, 0, propose("a")), Accepted)
    for other in (prepare("b", 9), prepare("a", 9, incarnation=2)):
        answer = granting.receive(2.9, 0, other)
        assert isinstance(answer, Rejection) and answer.reason == "held" and answer.epoch == 5
    assert isinstance(granting.receive(2.9, 0, prepare("a", 2)), Promise)
    assert isinstance(granting.receive(3.0, 0, prepare("b", 9)), Promise)


def test_a_late_release_of_an_earlier_lease_does_not_end_this_one() -> None:
    granting = acceptor()
    granting.receive(0, 0, propose("a", 1))
    granting.receive(1, 0, propose("a", 2))
    granting.receive(1.1, 0, Release(LEASE, ProposalNumber(1, "a", 1), 9, THREE.digest))
    assert granting.owner_of(1.2, LEASE) is not None
    granting.receive(1.3, 0, Release(LEASE, ProposalNumber(2, "a", 1), 9, THREE.digest))
    assert granting.owner_of(1.4, LEASE) is None


def test_a_retransmitted_proposal_lasts_no_longer_and_a_new_round_does() -> None:
    granting = acceptor()
    granting.receive(0, 0, propose("a"))
    assert isinstance(granting.receive(2.0, 0, propose("a")), Accepted)
    found = granting.owner_of(2.0, LEASE)
    assert found is not None and found[2] == pytest.approx(1.0)
    granting.receive(2.0, 0, Propose(LEASE, ProposalNumber(1, "a", 1), 2, THREE.digest, 5, 3.0, True))
    found = granting.owner_of(2.0, LEASE)
    assert found is not None and found[2] == pytest.approx(3.0)


def test_a_proposal_for_longer_than_the_acceptor_abstains_is_rejected() -> None:
    assert isinstance(acceptor().receive(0, 0, propose("a", lease_seconds=3.1)), Rejection)
