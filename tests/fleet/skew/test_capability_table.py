"""The leader's table of processes' capabilities."""

from __future__ import annotations

from tests.fleet.skew.generated_plans import ALL
from wheatring.fleet.members.messages import MemberInfo
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.skew.capabilities import LEGACY_CAPABILITIES
from wheatring.fleet.skew.capability_table import LEGACY_AFTER_SECONDS, MAX_PROCESSES, CapabilityTable


def test_the_table_is_bounded_and_keyed_by_incarnation() -> None:
    table = CapabilityTable()
    member = ViewMember(MemberInfo("n1", "127.0.0.1", 1), 5)
    assert (
        table.capabilities_of(0.0, member) is None
        and table.requests_due(0.0) == [member]
        and table.requests_due(0.1) == []
    )
    assert table.capabilities_of(LEGACY_AFTER_SECONDS - 0.1, member) is None and table.requests_due(
        LEGACY_AFTER_SECONDS - 0.1
    ) == [member]
    # The process keeps trying to join and does not answer.
    assert table.capabilities_of(LEGACY_AFTER_SECONDS, member) == LEGACY_CAPABILITIES
    table.record("n1", 5, ALL)
    assert (
        table.capabilities_of(LEGACY_AFTER_SECONDS, member) == ALL
        and table.capabilities_of(LEGACY_AFTER_SECONDS, member._replace(incarnation=6)) is None
    )
    # The process has stopped trying to join.
    assert table.requests_due(3 * LEGACY_AFTER_SECONDS) == [] and not table.pending
    for number in range(MAX_PROCESSES + 10):
        table.record(f"m{number}", 1, ALL)
    assert len(table.known) == MAX_PROCESSES and ("n1", 5) not in table.known
