"""The record table of a replica: retention, expiry and paged scans."""

from __future__ import annotations

from wheatring.tier.storage.record_table import (
    BUDGET_RETENTION_SECONDS,
    RETENTION_MARGIN_SECONDS,
    RecordTable,
)
from wheatring.tier.transport.messages_pb2 import BudgetEntry, StorageRecord, Turn

RETENTION_SECONDS = 60.0


def turn(turn_id: str, *ancestors: str) -> StorageRecord:
    retention_ms = int(RETENTION_SECONDS * 1000)
    return StorageRecord(turn=Turn(id=turn_id, ancestors=ancestors, retention_ms=retention_ms))


def budget(turn_id: str) -> StorageRecord:
    return StorageRecord(budget=BudgetEntry(program="p", turn=turn_id, tokens=5))


def test_applying_a_known_turn_only_extends_its_retention() -> None:
    table = RecordTable()
    assert table.apply(turn("t1"), 0.0)
    assert not table.apply(turn("t1"), 50.0)
    assert len(table.payloads()) == 1
    assert table.expire(50.0 + RETENTION_SECONDS + RETENTION_MARGIN_SECONDS - 0.1) == 0
    assert table.expire(50.0 + RETENTION_SECONDS + RETENTION_MARGIN_SECONDS) == 1
    assert not table.has_turn("t1")


def test_turn_extends_the_retention_of_its_ancestors() -> None:
    table = RecordTable()
    table.apply(turn("t1"), 0.0)
    table.apply(turn("t2", "t1"), 50.0)
    assert table.expire(100.0) == 0 and table.has_turn("t1")


def test_ancestor_stored_elsewhere_is_needed_for_as_long_as_its_descendant() -> None:
    lifetime_seconds = RETENTION_SECONDS + RETENTION_MARGIN_SECONDS
    table = RecordTable()
    table.apply(turn("t2", "t1"), 0.0)
    table.apply(turn("t3", "t1", "t2"), 50.0)
    assert table.remaining_seconds("t1", 60.0) == 50.0 + lifetime_seconds - 60.0
    assert table.remaining_seconds("t2", 60.0) == 50.0 + lifetime_seconds - 60.0
    assert table.remaining_seconds("t9", 60.0) == 0.0
    table.expire(50.0 + lifetime_seconds)
    assert table.remaining_seconds("t1", 60.0) == 0.0


def test_turn_that_is_stored_after_its_descendant_is_kept_as_long() -> None:
    table = RecordTable()
    table.apply(turn("t2", "t1"), 50.0)
    table.apply(turn("t1"), 0.0)
    assert table.expire(100.0) == 0 and table.has_turn("t1")


def test_expired_turns_in_use_elsewhere_are_not_removed() -> None:
    table = RecordTable()
    for turn_id in ("t1", "t2"):
        table.apply(turn(turn_id), 0.0)
    table.apply(budget("t1"), 0.0)
    now = BUDGET_RETENTION_SECONDS
    assert table.expired_turn_ids(0.0) == []
    assert table.expired_turn_ids(now) == ["t1", "t2"]
    assert table.expire(now, {"t2"}) == 2
    assert not table.has_turn("t1") and table.has_turn("t2")


def test_renew_extends_a_stored_turn_and_ignores_an_unknown_one() -> None:
    table = RecordTable()
    assert not table.renew_turn("t1", 0.0)
    table.apply(turn("t1"), 0.0)
    assert table.renew_turn("t1", 60.0)
    assert table.expire(100.0) == 0
    assert table.turn("t1") is not None and table.turn("t2") is None


def test_expired_turns_and_budget_entries_are_removed() -> None:
    table = RecordTable()
    table.apply(turn("t1"), 0.0)
    table.apply(budget("t1"), 0.0)
    table.apply(budget("t2"), 10.0)
    assert table.expire(RETENTION_SECONDS + RETENTION_MARGIN_SECONDS) == 1
    assert [entry.turn for entry in table.budget_entries("p")] == ["t1", "t2"]
    assert table.expire(BUDGET_RETENTION_SECONDS) == 1
    assert [entry.turn for entry in table.budget_entries("p")] == ["t2"]
    assert table.expire(BUDGET_RETENTION_SECONDS + 10.0) == 1
    assert table.budget_entries("p") == [] and table.payloads() == []


def test_scan_returns_matching_records_in_pages() -> None:
    table = RecordTable()
    for number in range(6):
        table.apply(turn(f"t{number}"), 0.0)
    size = len(table.payloads()[0])
    position, pages = 0, []
    while True:
        page = table.scan(position, 2 * size, lambda key: key.placement_key != "t1")
        pages.append([StorageRecord.FromString(payload).turn.id for payload in page.payloads])
        position = page.position
        if page.is_last:
            break
    assert pages == [["t0", "t2"], ["t3", "t4"], ["t5"]]
    assert table.scan(position, size, lambda _key: True) == ([], position, True)


def test_scan_from_a_position_of_another_numbering_begins_anew() -> None:
    earlier, restarted = RecordTable(numbering=1000), RecordTable(numbering=2000)
    for number in range(3):
        earlier.apply(turn(f"t{number}"), 0.0)
        restarted.apply(turn(f"t{number}"), 0.0)
    size = len(earlier.payloads()[0])
    position = earlier.scan(0, 2 * size, lambda _key: True).position
    assert [earlier.is_position(p) for p in (0, position, 1003, 1004)] == [False, True, True, False]
    for after in (0, 2, position, 2004, 2**63):
        assert len(restarted.scan(after, 10 * size, lambda _key: True).payloads) == 3
    assert len(restarted.scan(2001, 10 * size, lambda _key: True).payloads) == 2
