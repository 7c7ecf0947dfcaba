"""What a repair asks its sources for: each turn once, whatever becomes of a source meanwhile."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.support.virtual_loop import VirtualLoop
from wheatring.tier.storage.copier import FETCH_TIMEOUT_SECONDS
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
    """A client of one replica, which counts the turns that it sends."""

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
    """Stands in for the table of clients."""

    def __init__(self) -> None:
        self.by_address: dict[str, Source] = {}

    def client_for(self, address: str) -> Source:
        return self.by_address[address]


def opened(folder: Path, clock: Callable[[], float] = lambda: 0.0) -> Replica:
    folder.mkdir()
    replica = Replica(folder, 1, clock)
    replica.open()
    return replica


def records() -> list[StorageRecord]:
    turns = [StorageRecord(turn=Turn(id=turn, input=b"x" * 100, retention_ms=60_000)) for turn in TURNS]
    entry = BudgetEntry(program="p", turn="t1", tokens=5, settled=True)
    return [*turns, StorageRecord(budget=entry)]


def repaired(folder: Path, fails: Callable[[str, Envelope], bool]) -> tuple[Counter[str], Replica, float]:
    """Copy from three sources that all hold everything; `fails` says which calls stay without a reply."""
    loop = VirtualLoop()
    sent: Counter[str] = Counter()

    async def play() -> tuple[Replica, float]:
        sources = Sources()
        members = []
        for name in ("a", "b", "c"):
            replica = opened(folder / name)
            await replica.store(records())
            sources.by_address[name] = Source(replica, sent, lambda e, name=name: fails(name, e))  # type: ignore[misc]
            members.append(StorageMember(replica_id=replica.identity, node=name, address=name))
        new = opened(folder / "new")
        following = [*members[:2], StorageMember(replica_id=new.identity, node="new", address="new")]
        repair = Repair(new, sources, 1)  # type: ignore[arg-type]
        began = loop.time()
        repair.on_placement(Placement(epoch=2, current=members, next=following))
        async with asyncio.timeout(30):
            while repair.complete_epoch < 2:
                await asyncio.sleep(0.001)
        return new, loop.time() - began

    replica, seconds = run(loop, play)
    return sent, replica, seconds


def run(loop: VirtualLoop, play: Callable[[], Any]) -> Any:
    return loop.run_until_complete(play())


def test_each_turn_is_sent_once(tmp_path: Path) -> None:
    sent, replica, seconds = repaired(tmp_path, lambda _name, _envelope: False)
    assert all(replica.table.has_turn(turn) for turn in TURNS)
    assert replica.table.budget_entries("p")[0].tokens == 5
    assert set(sent.values()) == {1}
    assert seconds < 0.1


@pytest.mark.parametrize("name", ["a", "b", "c"])
def test_a_source_that_falls_silent_when_asked_holds_nothing_up(tmp_path: Path, name: str) -> None:
    def fails(source: str, envelope: Envelope) -> bool:
        return source == name and bool(envelope.scan_request.turn_ids)

    _, replica, seconds = repaired(tmp_path, fails)
    assert all(replica.table.has_turn(turn) for turn in TURNS)
    assert seconds < FETCH_TIMEOUT_SECONDS + 0.1


def test_a_turn_that_is_here_already_is_kept_as_long_as_at_its_sources(tmp_path: Path) -> None:
    """The member was cut off while the others were told to keep the conversation."""
    loop = VirtualLoop()

    async def play() -> Replica:
        first = StorageRecord(turn=Turn(id="t1", retention_ms=60_000))
        clock = [0.0]
        sources = Sources()
        members = []
        for name in ("a", "b", "new"):
            replica = opened(tmp_path / name, lambda: clock[0])
            await replica.store([first])
            sources.by_address[name] = Source(replica, Counter(), lambda _envelope: False)
            members.append(StorageMember(replica_id=replica.identity, node=name, address=name))
        replica = sources.by_address["new"].replica
        clock[0] = 50.0
        for name in ("a", "b"):
            sources.by_address[name].replica.table.extend_expiry("t1", 120.0)
        clock[0] = 60.0
        extra = [
            StorageMember(replica_id=f"x{n}", node=f"x{n}", address=f"x{n}", lost=True) for n in range(2)
        ]
        repair = Repair(replica, sources, 1)  # type: ignore[arg-type]
        repair.on_placement(Placement(epoch=2, current=[*members, *extra], next=members))
        async with asyncio.timeout(30):
            while repair.complete_epoch < 2:
                await asyncio.sleep(0.001)
        clock[0] = 100.0
        replica.table.expire(clock[0])
        return replica

    replica = run(loop, play)
    assert replica.table.has_turn("t1")


def test_a_requester_that_does_not_list_turns_gets_their_records(tmp_path: Path) -> None:
    loop = VirtualLoop()

    async def play() -> ScanReply:
        from wheatring.tier.transport.messages_pb2 import ScanRequest

        replica = opened(tmp_path / "a")
        await replica.store(records())
        member = StorageMember(replica_id="new", node="new", address="new")
        request = ScanRequest(
            replica_id=replica.identity,
            placement=Placement(epoch=2, next=[member]),
            limit_bytes=1 << 20,
            requester="new",
        )
        return await replica.handle_scan(request)

    reply = run(loop, play)
    assert [record.turn.id for record in reply.records if record.HasField("turn")] == TURNS
    assert not reply.turn_ids


class StatusSource(Source):
    """A source that refuses its first calls with a status of its own."""

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
def test_a_source_that_refuses_is_no_source_that_has_nothing(tmp_path: Path, status: StorageStatus) -> None:
    loop = VirtualLoop()

    async def play() -> Replica:
        sources = Sources()
        source = opened(tmp_path / "a")
        await source.store(records())
        sources.by_address["a"] = StatusSource(source, status, refusals=3)
        new = opened(tmp_path / "new")
        member, other = (
            StorageMember(replica_id=r.identity, address=name) for r, name in ((source, "a"), (new, "n"))
        )
        repair = Repair(new, sources, 1)  # type: ignore[arg-type]
        repair.on_placement(Placement(epoch=2, current=[member], next=[member, other]))
        async with asyncio.timeout(10):
            while repair.complete_epoch < 2:
                await asyncio.sleep(0.001)
        return new

    replica = run(loop, play)
    assert all(replica.table.has_turn(turn) for turn in TURNS)


def test_a_placement_that_is_old_or_names_others_asks_nothing_of_a_replica(tmp_path: Path) -> None:
    loop = VirtualLoop()

    async def play() -> tuple[Replica, list[int]]:
        sources = Sources()
        replica = opened(tmp_path / "a")
        me = StorageMember(replica_id=replica.identity, address="a")
        other = StorageMember(replica_id="other", address="b")
        repair = Repair(replica, sources, 1)  # type: ignore[arg-type]
        seen = []
        for placement in (
            Placement(epoch=2, current=[me], next=[me]),
            Placement(epoch=1, current=[other], next=[other, me]),  # a source that nobody could ask
            Placement(epoch=3, current=[me], next=[other]),
            Placement(epoch=3, current=[other], next=[other, me]),
        ):
            repair.on_placement(placement)
            await asyncio.sleep(1.0)
            seen.append(repair.complete_epoch)
        return replica, seen

    replica, seen = run(loop, play)
    assert seen == [2, 2, 2, 2]
    assert replica.placement.epoch == 3 and replica.fence_epoch == 2


def test_a_copy_that_was_complete_before_a_restart_is_not_made_again(tmp_path: Path) -> None:
    loop = VirtualLoop()

    async def play() -> int:
        replica = opened(tmp_path / "a")
        await replica.record_complete_epoch(5)
        other = StorageMember(replica_id="other", address="b")
        me = StorageMember(replica_id=replica.identity, address="a")
        repair = Repair(replica, Sources(), 1)  # type: ignore[arg-type]
        repair.on_placement(Placement(epoch=5, current=[other], next=[other, me]))
        await asyncio.sleep(1.0)
        return replica.fence_epoch

    assert run(loop, play) == 0
