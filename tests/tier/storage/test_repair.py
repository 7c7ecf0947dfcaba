"""Repair of a replica: every turn is fetched once, and failing sources do not delay the copy."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.support.virtual_loop import VirtualLoop
from wheatring.tier.durable.record_file import RecordFile
from wheatring.tier.storage import copier
from wheatring.tier.storage.copier import FETCH_TIMEOUT_SECONDS
from wheatring.tier.storage.record_table import RecordTable
from wheatring.tier.storage.repair import Repair
from wheatring.tier.storage.replica import Replica
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import (
    STORAGE_STATUS_DISK_FAILED,
    STORAGE_STATUS_STALE_EPOCH,
    BudgetEntry,
    Envelope,
    Placement,
    ScanReply,
    StorageMember,
    StorageRecord,
    StorageStatus,
    Turn,
)

TURNS = [f"t{number}" for number in range(40)]


class Source:
    """A client of one source replica, which counts the turns that the source sends."""

    def __init__(self, replica: Replica, sent: Counter[str], fails: Callable[[Envelope], bool]) -> None:
        self.replica = replica
        self._sent = sent
        self._fails = fails

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        await asyncio.sleep(0.001)
        if self._fails(envelope):
            await asyncio.sleep(timeout)
            raise PeerUnreachableError("source", "silent")
        reply = await self.replica.handle_scan(envelope.scan_request)
        self._sent.update(record.turn.id for record in reply.records if record.HasField("turn"))
        return Envelope(scan_reply=reply)


class Sources:
    """A fake of the table of clients."""

    def __init__(self) -> None:
        self.by_address: dict[str, Source] = {}

    def client_for(self, address: str) -> Source:
        return self.by_address[address]


def open_replica(folder: Path, clock: Callable[[], float] = lambda: 0.0) -> Replica:
    folder.mkdir()
    replica = Replica(folder, 1, clock)
    replica.open()
    return replica


def records() -> list[StorageRecord]:
    turns = [StorageRecord(turn=Turn(id=turn, input=b"x" * 100, retention_ms=60_000)) for turn in TURNS]
    entry = BudgetEntry(program="p", turn="t1", tokens=5, settled=True)
    return [*turns, StorageRecord(budget=entry)]


def repair_from_sources(
    folder: Path, fails: Callable[[str, Envelope], bool]
) -> tuple[Counter[str], Replica, float]:
    """Copy from three sources that hold all records; `fails` selects the calls that time out."""
    loop = VirtualLoop()
    sent: Counter[str] = Counter()

    async def scenario() -> tuple[Replica, float]:
        sources = Sources()
        members = []
        for name in ("a", "b", "c"):
            replica = open_replica(folder / name)
            await replica.store(records())
            sources.by_address[name] = Source(replica, sent, lambda e, name=name: fails(name, e))  # type: ignore[misc]
            members.append(StorageMember(replica_id=replica.identity, node=name, address=name))
        new = open_replica(folder / "new")
        next_members = [*members[:2], StorageMember(replica_id=new.identity, node="new", address="new")]
        repair = Repair(new, sources, 1)  # type: ignore[arg-type]
        started_at = loop.time()
        repair.on_placement(Placement(epoch=2, current=members, next=next_members))
        async with asyncio.timeout(30):
            while repair.complete_epoch < 2:
                await asyncio.sleep(0.001)
        return new, loop.time() - started_at

    replica, seconds = run(loop, scenario)
    return sent, replica, seconds


def run(loop: VirtualLoop, scenario: Callable[[], Any]) -> Any:
    return loop.run_until_complete(scenario())


def test_each_turn_is_sent_by_one_source_only(tmp_path: Path) -> None:
    sent, replica, seconds = repair_from_sources(tmp_path, lambda _name, _envelope: False)
    assert all(replica.table.has_turn(turn) for turn in TURNS)
    assert replica.table.budget_entries("p")[0].tokens == 5
    assert set(sent.values()) == {1}
    assert seconds < 0.1


@pytest.mark.parametrize("name", ["a", "b", "c"])
def test_source_that_stops_responding_to_fetches_delays_the_copy_by_one_timeout_at_most(
    tmp_path: Path, name: str
) -> None:
    def fails(source: str, envelope: Envelope) -> bool:
        return source == name and bool(envelope.scan_request.turn_ids)

    _, replica, seconds = repair_from_sources(tmp_path, fails)
    assert all(replica.table.has_turn(turn) for turn in TURNS)
    assert seconds < FETCH_TIMEOUT_SECONDS + 0.1


def test_retention_of_a_turn_already_held_is_renewed_by_the_copy(tmp_path: Path) -> None:
    """The member was partitioned while the retention was extended on the other members."""
    loop = VirtualLoop()

    async def scenario() -> Replica:
        first = StorageRecord(turn=Turn(id="t1", retention_ms=60_000))
        clock = [0.0]
        sources = Sources()
        members = []
        for name in ("a", "b", "new"):
            replica = open_replica(tmp_path / name, lambda: clock[0])
            await replica.store([first])
            sources.by_address[name] = Source(replica, Counter(), lambda _envelope: False)
            members.append(StorageMember(replica_id=replica.identity, node=name, address=name))
        replica = sources.by_address["new"].replica
        clock[0] = 50.0
        for name in ("a", "b"):
            sources.by_address[name].replica.table.extend_expiry("t1", 120.0)
        clock[0] = 60.0
        lost_members = [
            StorageMember(replica_id=f"x{n}", node=f"x{n}", address=f"x{n}", lost=True) for n in range(2)
        ]
        repair = Repair(replica, sources, 1)  # type: ignore[arg-type]
        repair.on_placement(Placement(epoch=2, current=[*members, *lost_members], next=members))
        async with asyncio.timeout(30):
            while repair.complete_epoch < 2:
                await asyncio.sleep(0.001)
        clock[0] = 100.0
        replica.table.expire(clock[0])
        return replica

    replica = run(loop, scenario)
    assert replica.table.has_turn("t1")


def test_scan_without_list_turns_returns_full_records(tmp_path: Path) -> None:
    loop = VirtualLoop()

    async def scenario() -> ScanReply:
        from wheatring.tier.transport.messages_pb2 import ScanRequest

        replica = open_replica(tmp_path / "a")
        await replica.store(records())
        member = StorageMember(replica_id="new", node="new", address="new")
        request = ScanRequest(
            replica_id=replica.identity,
            placement=Placement(epoch=2, next=[member]),
            limit_bytes=1 << 20,
            requester="new",
        )
        return await replica.handle_scan(request)

    reply = run(loop, scenario)
    assert [record.turn.id for record in reply.records if record.HasField("turn")] == TURNS
    assert not reply.turn_ids


class RestartingSource(Source):
    """A source that restarts from a compacted file behind its third page.

    An earlier version numbers its changes from 1 on and does not name its numbering.
    """

    def __init__(self, folder: Path, was_earlier: bool, is_earlier: bool) -> None:
        self._folder = folder
        self._is_earlier = is_earlier
        self._pages = 0
        replica = open_replica(folder)
        super().__init__(replica, Counter(), lambda _envelope: False)
        self._names_numbering = not was_earlier
        if was_earlier:
            replica.table = RecordTable()

    async def restart(self) -> None:
        """Restart from a file with the newest records only."""
        file = RecordFile(self._folder / "records")
        file.open()
        file.rewrite(self.replica._live_records())
        file.close()
        replica = Replica(self._folder, 1, lambda: 0.0)
        if self._is_earlier:
            replica.table = RecordTable()
        replica.open()
        self.replica = replica
        self._names_numbering = not self._is_earlier

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        if envelope.scan_request.list_turns:
            self._pages += 1
            if self._pages == 4:
                await self.restart()
                raise PeerUnreachableError("source", "connection lost")
        reply = await super().call(envelope, timeout)
        if not self._names_numbering:
            reply.scan_reply.ClearField("numbering")
        return reply


@pytest.mark.parametrize("was_earlier", [False, True])
@pytest.mark.parametrize("is_earlier", [False, True])
def test_copy_lacks_nothing_of_a_source_that_restarts_from_a_compacted_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, was_earlier: bool, is_earlier: bool
) -> None:
    """The source numbered its changes anew, lower than the position from which the copy went on."""
    monkeypatch.setattr(copier, "PAGE_BYTES", 500)
    loop = VirtualLoop()

    async def scenario() -> Replica:
        source = RestartingSource(tmp_path / "a", was_earlier, is_earlier)
        for tokens in range(1, 60):  # superseded changes, which the compacted file no longer has
            entry = BudgetEntry(program="p", turn="t0", tokens=tokens)
            await source.replica.store([StorageRecord(budget=entry)])
        await source.replica.store(records())
        sources = Sources()
        sources.by_address["a"] = source
        new = open_replica(tmp_path / "new")
        member = StorageMember(replica_id=source.replica.identity, node="a", address="a")
        other = StorageMember(replica_id=new.identity, node="n", address="n")
        repair = Repair(new, sources, 1)  # type: ignore[arg-type]
        repair.on_placement(Placement(epoch=2, current=[member], next=[member, other]))
        async with asyncio.timeout(30):
            while repair.complete_epoch < 2:
                await asyncio.sleep(0.001)
        assert source._pages > 4
        return new

    replica = run(loop, scenario)
    assert [turn for turn in TURNS if not replica.table.has_turn(turn)] == []
    assert {entry.turn: entry.tokens for entry in replica.table.budget_entries("p")} == {"t0": 59, "t1": 5}


class StatusSource(Source):
    """A source that rejects its first calls with a given status."""

    def __init__(self, replica: Replica, status: StorageStatus, refusals: int) -> None:
        super().__init__(replica, Counter(), lambda _envelope: False)
        self.status = status
        self.refusals = refusals

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        if self.refusals:
            self.refusals -= 1
            await asyncio.sleep(0.001)
            return Envelope(scan_reply=ScanReply(status=self.status, done=True))
        return await super().call(envelope, timeout)


@pytest.mark.parametrize("status", [STORAGE_STATUS_STALE_EPOCH, STORAGE_STATUS_DISK_FAILED])
def test_rejected_scan_is_retried_and_not_taken_for_an_empty_source(
    tmp_path: Path, status: StorageStatus
) -> None:
    loop = VirtualLoop()

    async def scenario() -> Replica:
        sources = Sources()
        source = open_replica(tmp_path / "a")
        await source.store(records())
        sources.by_address["a"] = StatusSource(source, status, refusals=3)
        new = open_replica(tmp_path / "new")
        member, other = (
            StorageMember(replica_id=r.identity, address=name) for r, name in ((source, "a"), (new, "n"))
        )
        repair = Repair(new, sources, 1)  # type: ignore[arg-type]
        repair.on_placement(Placement(epoch=2, current=[member], next=[member, other]))
        async with asyncio.timeout(10):
            while repair.complete_epoch < 2:
                await asyncio.sleep(0.001)
        return new

    replica = run(loop, scenario)
    assert all(replica.table.has_turn(turn) for turn in TURNS)


def test_old_placements_and_those_without_the_replica_start_no_repair(tmp_path: Path) -> None:
    loop = VirtualLoop()

    async def scenario() -> tuple[Replica, list[int]]:
        sources = Sources()
        replica = open_replica(tmp_path / "a")
        me = StorageMember(replica_id=replica.identity, address="a")
        other = StorageMember(replica_id="other", address="b")
        repair = Repair(replica, sources, 1)  # type: ignore[arg-type]
        seen = []
        for placement in (
            Placement(epoch=2, current=[me], next=[me]),
            Placement(epoch=1, current=[other], next=[other, me]),  # an unknown source: a call would fail
            Placement(epoch=3, current=[me], next=[other]),
            Placement(epoch=3, current=[other], next=[other, me]),
        ):
            repair.on_placement(placement)
            await asyncio.sleep(1.0)
            seen.append(repair.complete_epoch)
        return replica, seen

    replica, seen = run(loop, scenario)
    assert seen == [2, 2, 2, 2]
    assert replica.placement.epoch == 3 and replica.fence_epoch == 2


def raise_program_fault(_envelope: Envelope) -> bool:
    raise ValueError("a fault of the program")


def test_copy_that_fails_by_a_fault_of_the_program_is_not_recorded_as_complete(tmp_path: Path) -> None:
    """A copy that ended with an exception counted as one of the completed ones."""
    loop = VirtualLoop()

    async def scenario() -> int:
        sources = Sources()
        source = open_replica(tmp_path / "a")
        await source.store(records())
        sources.by_address["a"] = Source(source, Counter(), raise_program_fault)
        new = open_replica(tmp_path / "new")
        member = StorageMember(replica_id=source.identity, node="a", address="a")
        other = StorageMember(replica_id=new.identity, node="n", address="n")
        repair = Repair(new, sources, 1)  # type: ignore[arg-type]
        repair.on_placement(Placement(epoch=2, current=[member], next=[member, other]))
        await asyncio.sleep(5.0)
        return repair.complete_epoch

    assert run(loop, scenario) == 0


def test_copy_completed_before_a_restart_is_not_repeated(tmp_path: Path) -> None:
    loop = VirtualLoop()

    async def scenario() -> int:
        replica = open_replica(tmp_path / "a")
        await replica.record_complete_epoch(5)
        other = StorageMember(replica_id="other", address="b")
        me = StorageMember(replica_id=replica.identity, address="a")
        repair = Repair(replica, Sources(), 1)  # type: ignore[arg-type]
        repair.on_placement(Placement(epoch=5, current=[other], next=[other, me]))
        await asyncio.sleep(1.0)
        return replica.fence_epoch

    assert run(loop, scenario) == 0
