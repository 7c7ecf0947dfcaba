"""The order in which storage members are called."""

from __future__ import annotations

from tests.tier.placement.storage_members import members
from wheatring.tier.storage.suspects import SUSPICION_SECONDS, SuspectedMembers


def test_members_of_the_same_zone_are_called_first_and_suspected_ones_last() -> None:
    suspects = SuspectedMembers("z1")
    three = members(0, 1, 2)
    assert [m.replica_id for m in suspects.in_call_order(three, 0.0)] == ["r1", "r0", "r2"]
    suspects.suspect([three[1]], 0.0)
    assert [m.replica_id for m in suspects.in_call_order(three, 0.0)] == ["r0", "r2", "r1"]
    later = SUSPICION_SECONDS
    assert [m.replica_id for m in suspects.in_call_order(three, later)] == ["r1", "r0", "r2"]
    suspects.suspect([three[1]], later)
    suspects.clear(three[1])
    assert [m.replica_id for m in suspects.in_call_order(three, later)] == ["r1", "r0", "r2"]
