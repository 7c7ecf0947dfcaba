"""Proposers: from when a lease runs, and which answers count."""

from __future__ import annotations

from random import Random

from tests.fleet.lease.builders import LEASE, THREE, TIMING, acceptor, elected
from wheatring.fleet.lease.messages import Accepted, Promise, Propose
from wheatring.fleet.lease.proposer import AddressedRequest, Proposer


def test_a_renewal_that_nobody_answers_stays_one_round_and_then_others_may_propose() -> None:
    proposer = elected(0.0)
    proposer.tick(proposer.due)
    number, said = proposer.round, 0
    while proposer.owns_lease(proposer.due):
        said += len(proposer.tick(proposer.due))
        assert proposer.round == number
    assert said > 30
    over = proposer.due
    assert proposer.tick(over) == [] and proposer.due >= over + TIMING.lease_seconds / 2


def test_epochs_grow_though_all_have_forgotten_and_one_clock_is_behind() -> None:
    """A proposer takes the highest of what a majority says."""
    proposer = Proposer(LEASE, "a", 1, TIMING, THREE, Random(1))
    proposer.set_rank(0, 0)
    asked = proposer.tick(0)
    walls = {"v1": 1_000, "v2": 5_000_000}
    proposals: list[AddressedRequest] = []
    for name, message in asked:
        if name in walls:
            answer = acceptor().receive(0, walls[name], message)
            assert answer is not None
            proposals = proposer.receive(0, name, answer) or proposals
    assert {message.epoch for _, message in proposals if isinstance(message, Propose)} == {5_000_001}


def test_a_lease_runs_from_before_it_was_requested() -> None:
    proposer = elected(10.0)
    assert proposer.epoch_to_act(10.0 + TIMING.owner_seconds - 0.01) == 8
    assert proposer.epoch_to_act(10.0 + TIMING.owner_seconds) is None


def test_a_holder_that_was_stopped_gets_no_further_lease_by_its_late_renewal() -> None:
    proposer = elected(0.0)
    proposer.tick(TIMING.renew_seconds)
    ballot, number = proposer.proposal, proposer.round
    later = (
        TIMING.renew_seconds + TIMING.owner_seconds - 0.1
    )  # the renewal would still count, the term is over
    for name in ("v1", "v2", "v3"):
        proposer.receive(later, name, Accepted(LEASE, ballot, number))
    assert proposer.epoch_to_act(later) is None
    proposer.tick(later)
    for name in ("v1", "v2"):
        proposer.receive(later, name, Promise(LEASE, proposer.proposal, proposer.round, 8))
    assert proposer.epoch == 9


def test_answers_to_another_round_or_from_a_stranger_do_not_count() -> None:
    proposer = Proposer(LEASE, "a", 1, TIMING, THREE, Random(1))
    proposer.set_rank(0, 0)
    proposer.tick(0)
    for name in ("v1", "v2"):
        assert not proposer.receive(0, name, Promise(LEASE, proposer.proposal, proposer.round - 1, 7))
        assert not proposer.receive(0, f"not-{name}", Promise(LEASE, proposer.proposal, proposer.round, 7))
    assert proposer.receive(0, "v1", Promise(LEASE, proposer.proposal, proposer.round, 7)) == []
    assert proposer.receive(0, "v2", Promise(LEASE, proposer.proposal, proposer.round, 7))
