"""When an exchange with the storage members is enough, and what it does until then."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from tests.support.virtual_loop import VirtualLoop
from tests.tier.placement.storage_members import members
from wheatring.tier.storage.exceptions import QuorumNotReachedError
from wheatring.tier.storage.quorum_client import QuorumClient
from wheatring.tier.storage.quorum_exchange import CALL_TIMEOUT_SECONDS, HEDGE_DELAY_SECONDS
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import (
    STORAGE_STATUS_DISK_FAILED,
    STORAGE_STATUS_DONE,
    STORAGE_STATUS_STALE_EPOCH,
    BudgetEntry,
    Envelope,
    Placement,
    StorageRecord,
    StorageReply,
    StorageRequest,
    Turn,
)

REPLY_SECONDS = 0.001
TIMEOUT_SECONDS = 0.5
SILENT = None
DONE = StorageReply(status=STORAGE_STATUS_DONE)
FAILED = StorageReply(status=STORAGE_STATUS_DISK_FAILED)
FOUND = StorageReply(status=STORAGE_STATUS_DONE, turns=[Turn(id="t0"), Turn(id="t1")])
RECORDS = [StorageRecord(turn=Turn(id="t1"))]


class Members:
    """Three members and what each replies, by number; a client is made for each address."""

    def __init__(self, *replies: StorageReply | None, losses: int = 1) -> None:
        self.loop = VirtualLoop()
        self.replies = dict(enumerate(replies))
        self.calls: list[tuple[int, StorageRequest]] = []
        self.sent: list[tuple[int, StorageRequest]] = []
        self.placement = Placement(epoch=3, current=members(*range(len(replies))))
        self.adopted: list[Placement] = []
        clients: Any = self
        self.client = QuorumClient(clients, losses, "z0", lambda: self.placement, self.adopt)

    def adopt(self, placement: Placement) -> None:
        self.adopted.append(placement)
        self.placement = placement

    def client_for(self, address: str) -> MemberClient:
        return MemberClient(self, int(address[1:]))

    def run(self, work: Callable[[], Awaitable[Any]]) -> Any:
        async def play() -> Any:
            return await work()

        return self.loop.run_until_complete(play())

    @property
    def called(self) -> list[int]:
        return [number for number, _ in self.calls]


class MemberClient:
    def __init__(self, group: Members, number: int) -> None:
        self.group = group
        self.number = number

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        self.group.calls.append((self.number, envelope.storage_request))
        reply = self.group.replies[self.number]
        await asyncio.sleep(timeout if reply is None else REPLY_SECONDS)
        if reply is None:
            raise PeerUnreachableError("member", "silent")
        return Envelope(storage_reply=reply)

    def send(self, envelope: Envelope) -> None:
        self.group.sent.append((self.number, envelope.storage_request))


def write(group: Members) -> Callable[[], Awaitable[None]]:
    return lambda: group.client.write("t1", RECORDS, TIMEOUT_SECONDS)


def read(group: Members) -> Callable[[], Awaitable[list[Turn] | None]]:
    return lambda: group.client.read_conversation("t1", ["t9"], TIMEOUT_SECONDS)


def test_a_write_asks_as_many_members_as_are_enough_the_nearest_first() -> None:
    group = Members(DONE, DONE, DONE)
    group.run(write(group))
    assert group.called[0] == 0 and len(group.called) == 2
    _, request = group.calls[0]
    assert (request.replica_id, request.epoch) == ("r0", 3)


def test_a_write_goes_to_a_further_member_where_one_is_slow() -> None:
    group = Members(SILENT, DONE, DONE)
    group.run(write(group))
    assert sorted(group.called) == [0, 1, 2]
    assert HEDGE_DELAY_SECONDS <= group.loop.time() < 2 * HEDGE_DELAY_SECONDS
    group.calls.clear()
    group.run(write(group))
    assert sorted(group.called) == [1, 2]  # the slow one is called last for a while


@pytest.mark.parametrize(
    "reply", [FAILED, StorageReply(status=STORAGE_STATUS_DISK_FAILED, turns=FOUND.turns)]
)
def test_a_write_goes_to_a_further_member_at_once_where_one_fails(reply: StorageReply) -> None:
    group = Members(reply, DONE, DONE)
    group.run(write(group))
    assert sorted(group.called) == [0, 1, 2]
    assert group.loop.time() < HEDGE_DELAY_SECONDS


@pytest.mark.parametrize("replies", [(DONE, SILENT, SILENT), (DONE, FAILED, FAILED), (SILENT,) * 3])
def test_a_write_that_too_few_members_acknowledge_is_no_write(
    replies: tuple[StorageReply | None, ...],
) -> None:
    group = Members(*replies)
    with pytest.raises(QuorumNotReachedError, match="t1"):
        group.run(write(group))
    assert TIMEOUT_SECONDS - 0.1 < group.loop.time() <= TIMEOUT_SECONDS + 0.01


def test_a_member_that_recovers_within_the_time_is_asked_again() -> None:
    group = Members(DONE, FAILED, FAILED)

    async def recover() -> None:
        task = asyncio.ensure_future(group.client.write("t1", RECORDS, TIMEOUT_SECONDS))
        await asyncio.sleep(TIMEOUT_SECONDS / 2)
        group.replies[1] = DONE
        await task

    group.run(recover)
    assert group.loop.time() < CALL_TIMEOUT_SECONDS


def test_without_a_placement_nobody_is_asked() -> None:
    group = Members(DONE, DONE, DONE)
    group.placement = Placement()
    with pytest.raises(QuorumNotReachedError):
        group.run(write(group))
    assert group.calls == []


def test_an_exchange_starts_anew_under_the_placement_of_a_member_that_knows_a_newer_one() -> None:
    group = Members(DONE, DONE, DONE)
    newer = Placement(epoch=4, current=members(1, 2))
    group.replies[0] = StorageReply(status=STORAGE_STATUS_STALE_EPOCH, placement=newer)
    group.run(write(group))
    assert group.adopted == [newer]
    assert {number for number, request in group.calls if request.epoch == 4} == {1, 2}


def test_a_turn_is_read_from_one_member_that_has_it() -> None:
    group = Members(FOUND, SILENT, SILENT)
    found = group.run(read(group))
    assert [turn.id for turn in found] == ["t0", "t1"]
    assert group.called == [0]
    _, request = group.calls[0]
    assert (list(request.turn_ids), request.with_ancestors, list(request.known_turn_ids)) == (
        ["t1"],
        True,
        ["t9"],
    )


def test_a_turn_that_one_member_lacks_is_read_from_another() -> None:
    lacks = StorageReply(status=STORAGE_STATUS_DONE, turns=[Turn(id="t0")])
    group = Members(lacks, FOUND, SILENT)
    assert [turn.id for turn in group.run(read(group))] == ["t0", "t1"]
    assert group.called == [0, 1]


def test_only_a_read_quorum_says_that_there_is_no_such_turn() -> None:
    group = Members(DONE, DONE, SILENT)
    assert group.run(read(group)) is None
    group = Members(DONE, SILENT, SILENT)
    with pytest.raises(QuorumNotReachedError):
        group.run(read(group))


def test_a_budget_entry_is_written_and_all_entries_are_merged() -> None:
    entries = [BudgetEntry(turn="t1", tokens=5), BudgetEntry(turn="t1", tokens=3, settled=True)]
    group = Members(*(StorageReply(status=STORAGE_STATUS_DONE, budget=[entry]) for entry in entries), SILENT)
    entry = BudgetEntry(program="p", turn="t2", tokens=9)
    found = group.run(lambda: group.client.write_budget(entry, TIMEOUT_SECONDS))
    assert found == [entries[1]]
    assert all(request.program == "p" and len(request.records) == 1 for _, request in group.calls)


@pytest.mark.parametrize(("count", "told"), [(3, []), (4, [0, 1, 3])])
def test_retention_is_extended_where_members_hold_different_turns(count: int, told: list[int]) -> None:
    group = Members(*[DONE] * count)
    group.placement.current[2].lost = True
    group.client.extend_retention(["t1", "t2"], 1.5)
    assert [number for number, _ in group.sent] == told
    for number, request in group.sent:
        assert (request.replica_id, request.epoch, request.extension_ms) == (f"r{number}", 3, 1500)
        assert list(request.extended_turn_ids) == ["t1", "t2"]


def test_the_error_names_the_key_or_says_what_it_was_given() -> None:
    assert "t7" in str(QuorumNotReachedError("t7"))
    assert str(QuorumNotReachedError("t7", "no time left")) == "no time left"
