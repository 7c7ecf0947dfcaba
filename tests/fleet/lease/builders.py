"""Acceptors, proposers and messages of one lease with three voters, for the tests of this package."""

from __future__ import annotations

from random import Random

from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.messages import Accepted, Prepare, Promise, ProposalNumber, Propose
from wheatring.fleet.lease.proposer import Proposer
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet

TIMING = LeaseTiming()
VOTERS = VoterSet(("v1", "v2", "v3"))
LEASE = "duty/0"


def make_acceptor(now: float = -100.0) -> Acceptor:
    return Acceptor(now, TIMING, VOTERS, [LEASE])


def prepare(name: str, number: int = 1, incarnation: int = 1) -> Prepare:
    return Prepare(LEASE, ProposalNumber(number, name, incarnation), 1, VOTERS.digest)


def propose(
    name: str, number: int = 1, epoch: int = 5, lease_seconds: float = 3.0, incarnation: int = 1
) -> Propose:
    return Propose(LEASE, ProposalNumber(number, name, incarnation), 1, VOTERS.digest, epoch, lease_seconds)


def make_elected_proposer(now: float = 0.0) -> Proposer:
    proposer = Proposer(LEASE, "a", 1, TIMING, VOTERS, Random(1))
    proposer.set_rank(now, 0)
    proposer.tick(now)
    for name in ("v1", "v2"):
        proposer.receive(now, name, Promise(LEASE, proposer.proposal, proposer.round, 7))
    for name in ("v1", "v2"):
        proposer.receive(now + 0.5, name, Accepted(LEASE, proposer.proposal, proposer.round))
    return proposer
