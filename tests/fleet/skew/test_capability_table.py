"""What the leader knows of the capabilities of processes."""

from __future__ import annotations

from tests.fleet.skew.generated_plans import ALL
from wheatring.fleet.members.messages import MemberInfo
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.skew.capabilities import LEGACY_CAPABILITIES
from wheatring.fleet.skew.capability_table import LEGACY_AFTER_SECONDS, MAX_PROCESSES, CapabilityTable


def test_what_is_known_of_processes_is_bounded_and_of_one_start_only() -> None:
    book = CapabilityTable()
    one = ViewMember(MemberInfo("n1", "127.0.0.1", 1), 5)
    assert (
        book.capabilities_of(0.0, one) is None
        and book.requests_due(0.0) == [one]
        and book.requests_due(0.1) == []
    )
    assert book.capabilities_of(LEGACY_AFTER_SECONDS - 0.1, one) is None and book.requests_due(
        LEGACY_AFTER_SECONDS - 0.1
    ) == [one]
    assert (
        book.capabilities_of(LEGACY_AFTER_SECONDS, one) == LEGACY_CAPABILITIES
    )  # it goes on knocking, and has not these words
    book.record("n1", 5, ALL)
    assert (
        book.capabilities_of(LEGACY_AFTER_SECONDS, one) == ALL
        and book.capabilities_of(LEGACY_AFTER_SECONDS, one._replace(incarnation=6)) is None
    )
    assert book.requests_due(3 * LEGACY_AFTER_SECONDS) == [] and not book.pending  # it knocks no more
    for number in range(MAX_PROCESSES + 10):
        book.record(f"m{number}", 1, ALL)
    assert len(book.known) == MAX_PROCESSES and ("n1", 5) not in book.known
