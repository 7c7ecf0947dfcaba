"""What a replica keeps on its disk, as the version before the clean-up of names wrote it."""

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

WRITTEN_BY_C345874 = Path(__file__).parent / "data" / "records"
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


def opened(folder: Path) -> Replica:
    replica = Replica(folder, 1, lambda: 100.0)
    replica.open()
    return replica


def test_a_file_of_the_previous_version_is_read_completely(tmp_path: Path) -> None:
    shutil.copy(WRITTEN_BY_C345874, tmp_path)
    replica = opened(tmp_path)
    assert replica.identity == IDENTITY
    assert (replica.fence_epoch, replica.complete_epoch) == (7, 6)
    for record in (turn(1), turn(2, "t1"), turn(3, "t1", "t2")):
        assert replica.table.turn(record.turn.id) == record.turn
    entries = {e.turn: (e.tokens, e.settled) for e in replica.table.budget_entries("program-a")}
    assert entries == {"t1": (20, True), "t2": (30, False)}
    assert len(replica.table) == 5


def test_the_same_records_make_the_same_file_as_by_the_previous_version(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """So the previous version reads what this one writes, too."""
    monkeypatch.setattr(secrets, "token_hex", lambda size: IDENTITY if size == 8 else "")

    async def write() -> None:
        replica = opened(tmp_path)
        await replica.store([turn(1), turn(2, "t1")])
        await replica.store([budget("t1", 50)])
        await replica.raise_fence(7)
        await replica.record_complete_epoch(6)
        await replica.store([budget("t1", 20, settled=True), budget("t2", 30), turn(3, "t1", "t2")])

    asyncio.run(write())
    assert (tmp_path / "records").read_bytes() == WRITTEN_BY_C345874.read_bytes()


def test_a_request_under_an_epoch_before_the_fence_is_refused_after_a_restart_too(tmp_path: Path) -> None:
    async def fence() -> None:
        await opened(tmp_path).raise_fence(7)

    async def ask(epoch: int) -> StorageReply:
        replica = opened(tmp_path)
        request = StorageRequest(replica_id=replica.identity, epoch=epoch, records=[turn(1)])
        return await replica.handle_request(request)

    asyncio.run(fence())
    assert asyncio.run(ask(6)).status == STORAGE_STATUS_STALE_EPOCH
    assert asyncio.run(ask(7)).status == STORAGE_STATUS_DONE


def answer(replica: Replica, **fields: Any) -> StorageReply:
    request = StorageRequest(**{"replica_id": replica.identity, "epoch": 1, **fields})
    return asyncio.run(replica.handle_request(request))


def test_a_request_for_another_replica_is_refused_and_stores_nothing(tmp_path: Path) -> None:
    replica = opened(tmp_path)
    reply = answer(replica, replica_id="other", records=[turn(1)])
    assert reply.status == STORAGE_STATUS_WRONG_REPLICA
    assert len(replica.table) == 0


def test_a_request_under_an_older_placement_learns_the_newer_one(tmp_path: Path) -> None:
    replica = opened(tmp_path)
    newer, older = Placement(epoch=4), Placement(epoch=3)
    replica.adopt_placement(newer)
    replica.adopt_placement(older)
    reply = answer(replica, epoch=3, records=[turn(1)])
    assert (reply.status, reply.placement) == (STORAGE_STATUS_STALE_EPOCH, newer)
    assert answer(replica, epoch=4).status == STORAGE_STATUS_DONE


def test_a_conversation_is_answered_with_the_ancestors_that_are_here_and_not_known(tmp_path: Path) -> None:
    replica = opened(tmp_path)
    asyncio.run(replica.store([turn(1), turn(2, "t1"), turn(4, "t1", "t2", "t3")]))
    alone = answer(replica, turn_ids=["t4", "t9"])
    assert [found.id for found in alone.turns] == ["t4"]
    whole = answer(replica, turn_ids=["t4"], with_ancestors=True)
    assert sorted(found.id for found in whole.turns) == ["t1", "t2", "t4"]  # t3 is not here
    rest = answer(replica, turn_ids=["t4"], with_ancestors=True, known_turn_ids=["t2"])
    assert sorted(found.id for found in rest.turns) == ["t1", "t4"]


def test_only_the_newest_ancestors_are_sent_where_all_would_be_too_many_bytes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    replica = opened(tmp_path)
    first, second = turn(1), turn(2, "t1")
    monkeypatch.setattr(replica_module, "MAX_ANCESTORS_BYTES", len(second.turn.input + second.turn.output))
    asyncio.run(replica.store([first, second, turn(3, "t1", "t2")]))
    found = answer(replica, turn_ids=["t3"], with_ancestors=True)
    assert sorted(each.id for each in found.turns) == ["t2", "t3"]


@pytest.mark.parametrize(
    ("identity", "epoch", "status"),
    [
        ("other", 5, STORAGE_STATUS_WRONG_REPLICA),
        (None, 3, STORAGE_STATUS_STALE_EPOCH),
        (None, 4, STORAGE_STATUS_DONE),
    ],
)
def test_a_scan_is_answered_for_this_replica_under_no_older_placement(
    tmp_path: Path, identity: str | None, epoch: int, status: StorageStatus
) -> None:
    replica = opened(tmp_path)
    replica.adopt_placement(Placement(epoch=4))
    request = ScanRequest(
        replica_id=identity or replica.identity, placement=Placement(epoch=epoch), limit_bytes=1
    )
    assert asyncio.run(replica.handle_scan(request)).status == status
    assert replica.fence_epoch == (epoch if status == STORAGE_STATUS_DONE else 0)
