"""Which member is which voter."""

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


def electorate(*voters: str) -> Electorate:
    members = Membership(0.0, ME, 1, [], SwimTiming(), Random(1), [])
    return Electorate(members, Acceptor(0.0, LeaseTiming(), VoterSet(voters), []))


def test_a_member_votes_under_its_address_or_its_number() -> None:
    assert electorate("127.0.0.1:7001").is_voter()
    assert electorate("#2").is_voter()
    assert not electorate("127.0.0.1:7002", "#3").is_voter()


def test_one_that_has_left_votes_no_longer() -> None:
    leaving = electorate("#2")
    leaving.members.leave(1.0)
    assert not leaving.is_voter()
