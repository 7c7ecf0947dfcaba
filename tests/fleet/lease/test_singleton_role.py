"""Singleton roles: idle holders."""

from __future__ import annotations

from random import Random

from tests.fleet.lease.builders import LEASE, TIMING, VOTERS
from wheatring.fleet.lease.messages import Accepted, Promise, Release
from wheatring.fleet.lease.singleton_role import SingletonRole


def test_idle_holder_steps_down_and_is_excluded_for_ten_leases() -> None:
    role = SingletonRole("duty", 1, "a", 1, TIMING, VOTERS, Random(1), idle_seconds=1.0)
    role.set_rank(0, 0)
    proposer = role.proposers[0]
    role.tick(0)
    for name in ("v1", "v2"):
        role.receive(0, name, Promise(LEASE, proposer.proposal, proposer.round, 1))
    for name in ("v1", "v2"):
        role.receive(0, name, Accepted(LEASE, proposer.proposal, proposer.round))
    assert role.epoch_to_act(0.1) is not None
    role.record_activity(1.0)
    assert not [message for _, message in role.tick(1.9) if isinstance(message, Release)]
    assert [message for _, message in role.tick(2.0) if isinstance(message, Release)]
    assert role.epoch_to_act(2.0) is None
    role.set_rank(31.9, 0)
    assert role.rank is None
    role.set_rank(32.0, 0)
    assert role.rank == 0
