"""Lease acceptors: promises, grants, rejections and their durations."""

from __future__ import annotations

import pytest

from tests.fleet.lease.builders import LEASE, TIMING, VOTERS, make_acceptor, prepare, propose
from wheatring.fleet.lease.messages import Accepted, Promise, ProposalNumber, Propose, Rejection, Release


def test_started_acceptor_abstains_for_a_full_lease() -> None:
    acceptor = make_acceptor(now=10.0)
    response = acceptor.receive(10.0 + TIMING.lease_seconds - 0.01, 0, prepare("a"))
    assert (
        isinstance(response, Rejection)
        and response.reason == "starting"
        and 0 < response.retry_after_seconds <= 0.011
    )
    assert isinstance(acceptor.receive(10.0 + TIMING.lease_seconds, 0, prepare("a")), Promise)


def test_grant_rejects_other_proposers_and_restarted_holder() -> None:
    acceptor = make_acceptor()
    assert isinstance(acceptor.receive(0, 0, propose("a")), Accepted)
    for other in (prepare("b", 9), prepare("a", 9, incarnation=2)):
        response = acceptor.receive(2.9, 0, other)
        assert isinstance(response, Rejection) and response.reason == "held" and response.epoch == 5
    assert isinstance(acceptor.receive(2.9, 0, prepare("a", 2)), Promise)
    assert isinstance(acceptor.receive(3.0, 0, prepare("b", 9)), Promise)


def test_delayed_release_of_an_earlier_lease_does_not_end_the_current_one() -> None:
    acceptor = make_acceptor()
    acceptor.receive(0, 0, propose("a", 1))
    acceptor.receive(1, 0, propose("a", 2))
    acceptor.receive(1.1, 0, Release(LEASE, ProposalNumber(1, "a", 1), 9, VOTERS.digest))
    assert acceptor.current_grant(1.2, LEASE) is not None
    acceptor.receive(1.3, 0, Release(LEASE, ProposalNumber(2, "a", 1), 9, VOTERS.digest))
    assert acceptor.current_grant(1.4, LEASE) is None


def test_new_round_extends_the_grant_but_a_retransmission_does_not() -> None:
    acceptor = make_acceptor()
    acceptor.receive(0, 0, propose("a"))
    assert isinstance(acceptor.receive(2.0, 0, propose("a")), Accepted)
    grant = acceptor.current_grant(2.0, LEASE)
    assert grant is not None and grant[2] == pytest.approx(1.0)
    acceptor.receive(2.0, 0, Propose(LEASE, ProposalNumber(1, "a", 1), 2, VOTERS.digest, 5, 3.0, True))
    grant = acceptor.current_grant(2.0, LEASE)
    assert grant is not None and grant[2] == pytest.approx(3.0)


def test_proposal_for_a_longer_lease_than_the_acceptor_abstains_is_rejected() -> None:
    assert isinstance(make_acceptor().receive(0, 0, propose("a", lease_seconds=3.1)), Rejection)
