"""A storage replica: its on-disk format, which an earlier version must be able to read, and its requests."""

from __future__ import annotations

import asyncio
import secrets
import shutil
from pathlib import Path
from typing import Any

import pytest

from wheatring.tier.storage import replica as replica_module
from wheatring.tier.storage.replica import Replica
from wheatring.tier.transport.messages_pb2 import (
    STORAGE_STATUS_DONE,
    STORAGE_STATUS_STALE_EPOCH,
    STORAGE_STATUS_WRONG_REPLICA,
    BudgetEntry,
    Placement,
    ScanRequest,
    StorageRecord,
    StorageReply,
    StorageRequest,
    StorageStatus,
    Turn,
)

FILE_OF_EARLIER_VERSION = Path(__file__).parent / "data" / "records"  # written by revision c345874
IDENTITY = "0f1e2d3c4b5a6978"


def turn(number: int, *ancestors: str) -> StorageRecord:
    return StorageRecord(
        turn=Turn(
            id=f"t{number}",
            ancestors=ancestors,
            input=b"[input %d]" % number,
            output=b"event %d\n" % number,
            program="program-a",
            retention_ms=60_000,
        )
    )


def budget(turn_id: str, tokens: int, settled: bool = False) -> StorageRecord:
    return StorageRecord(
        budget=BudgetEntry(program="program-a", turn=turn_id, tokens=tokens, settled=settled)
    )


def open_replica(folder: Path) -> Replica:
    replica = Replica(folder, 1, lambda: 100.0)
    replica.open()
    return replica


def test_file_of_an_earlier_version_is_read_completely(tmp_path: Path) -> None:
    shutil.copy(FILE_OF_EARLIER_VERSION, tmp_path)
    replica = open_replica(tmp_path)
    assert replica.identity == IDENTITY
    assert (replica.fence_epoch, replica.complete_epoch) == (7, 6)
    for record in (turn(1), turn(2, "t1"), turn(3, "t1", "t2")):
        assert replica.table.turn(record.turn.id) == record.turn
    entries = {e.turn: (e.tokens, e.settled) for e in replica.table.budget_entries("program-a")}
    assert entries == {"t1": (20, True), "t2": (30, False)}
    assert len(replica.table) == 5


def test_file_is_identical_to_that_of_an_earlier_version(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Identical files guarantee that the earlier version can read them after a rollback."""
    monkeypatch.setattr(secrets, "token_hex", lambda size: IDENTITY if size == 8 else "")

    async def write() -> None:
        replica = open_replica(tmp_path)
        await replica.store([turn(1), turn(2, "t1")])
        await replica.store([budget("t1", 50)])
        await replica.raise_fence(7)
        await replica.record_complete_epoch(6)
        await replica.store([budget("t1", 20, settled=True), budget("t2", 30), turn(3, "t1", "t2")])

    asyncio.run(write())
    assert (tmp_path / "records").read_bytes() == FILE_OF_EARLIER_VERSION.read_bytes()


def test_request_below_the_fence_epoch_is_rejected_after_a_restart(tmp_path: Path) -> None:
    async def fence() -> None:
        await open_replica(tmp_path).raise_fence(7)

    async def write_under_epoch(epoch: int) -> StorageReply:
        replica = open_replica(tmp_path)
        request = StorageRequest(replica_id=replica.identity, epoch=epoch, records=[turn(1)])
        return await replica.handle_request(request)

    asyncio.run(fence())
    assert asyncio.run(write_under_epoch(6)).status == STORAGE_STATUS_STALE_EPOCH
    assert asyncio.run(write_under_epoch(7)).status == STORAGE_STATUS_DONE


def send_request(replica: Replica, **fields: Any) -> StorageReply:
    request = StorageRequest(**{"replica_id": replica.identity, "epoch": 1, **fields})
    return asyncio.run(replica.handle_request(request))


def test_request_for_another_replica_is_rejected_and_stores_nothing(tmp_path: Path) -> None:
    replica = open_replica(tmp_path)
    reply = send_request(replica, replica_id="other", records=[turn(1)])
    assert reply.status == STORAGE_STATUS_WRONG_REPLICA
    assert len(replica.table) == 0


def test_request_under_an_older_placement_is_rejected_with_the_newer_one(tmp_path: Path) -> None:
    replica = open_replica(tmp_path)
    newer, older = Placement(epoch=4), Placement(epoch=3)
    replica.adopt_placement(newer)
    replica.adopt_placement(older)
    reply = send_request(replica, epoch=3, records=[turn(1)])
    assert (reply.status, reply.placement) == (STORAGE_STATUS_STALE_EPOCH, newer)
    assert send_request(replica, epoch=4).status == STORAGE_STATUS_DONE


def test_read_returns_stored_ancestors_that_the_reader_does_not_have(tmp_path: Path) -> None:
    replica = open_replica(tmp_path)
    asyncio.run(replica.store([turn(1), turn(2, "t1"), turn(4, "t1", "t2", "t3")]))
    without_ancestors = send_request(replica, turn_ids=["t4", "t9"])
    assert [found.id for found in without_ancestors.turns] == ["t4"]
    with_ancestors = send_request(replica, turn_ids=["t4"], with_ancestors=True)
    assert sorted(found.id for found in with_ancestors.turns) == ["t1", "t2", "t4"]  # t3 is not stored here
    without_known = send_request(replica, turn_ids=["t4"], with_ancestors=True, known_turn_ids=["t2"])
    assert sorted(found.id for found in without_known.turns) == ["t1", "t4"]


def test_oldest_ancestors_are_left_out_above_the_size_limit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    replica = open_replica(tmp_path)
    first, second = turn(1), turn(2, "t1")
    monkeypatch.setattr(replica_module, "MAX_ANCESTORS_BYTES", len(second.turn.input + second.turn.output))
    asyncio.run(replica.store([first, second, turn(3, "t1", "t2")]))
    found = send_request(replica, turn_ids=["t3"], with_ancestors=True)
    assert sorted(each.id for each in found.turns) == ["t2", "t3"]


@pytest.mark.parametrize(
    ("identity", "epoch", "status"),
    [
        ("other", 5, STORAGE_STATUS_WRONG_REPLICA),
        (None, 3, STORAGE_STATUS_STALE_EPOCH),
        (None, 4, STORAGE_STATUS_DONE),
    ],
)
def test_scan_is_rejected_for_another_replica_or_an_older_placement(
    tmp_path: Path, identity: str | None, epoch: int, status: StorageStatus
) -> None:
    replica = open_replica(tmp_path)
    replica.adopt_placement(Placement(epoch=4))
    request = ScanRequest(
        replica_id=identity or replica.identity, placement=Placement(epoch=epoch), limit_bytes=1
    )
    assert asyncio.run(replica.handle_scan(request)).status == status
    assert replica.fence_epoch == (epoch if status == STORAGE_STATUS_DONE else 0)
