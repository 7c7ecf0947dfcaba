"""The mapping of members to voter names."""

from __future__ import annotations

from random import Random

from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.electorate import Electorate
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.membership import Membership
from wheatring.fleet.members.messages import MemberInfo
from wheatring.fleet.members.timing import SwimTiming

ME = MemberInfo("me", "127.0.0.1", 7001, 2)


def make_electorate(*voters: str) -> Electorate:
    members = Membership(0.0, ME, 1, [], SwimTiming(), Random(1), [])
    return Electorate(members, Acceptor(0.0, LeaseTiming(), VoterSet(voters), []))


def test_member_is_a_voter_by_its_address_or_its_number() -> None:
    assert make_electorate("127.0.0.1:7001").is_voter()
    assert make_electorate("#2").is_voter()
    assert not make_electorate("127.0.0.1:7002", "#3").is_voter()


def test_member_that_has_left_is_not_a_voter() -> None:
    electorate = make_electorate("#2")
    electorate.members.leave(1.0)
    assert not electorate.is_voter()
