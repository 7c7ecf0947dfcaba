"""Quorum reads and writes: the replies that are required, hedging, retries and stale placements."""

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
NO_REPLY = None
DONE = StorageReply(status=STORAGE_STATUS_DONE)
FAILED = StorageReply(status=STORAGE_STATUS_DISK_FAILED)
FOUND = StorageReply(status=STORAGE_STATUS_DONE, turns=[Turn(id="t0"), Turn(id="t1")])
RECORDS = [StorageRecord(turn=Turn(id="t1"))]


class Members:
    """Simulated members, each with a configured reply; also acts as their table of clients."""

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

    def run(self, operation: Callable[[], Awaitable[Any]]) -> Any:
        async def run_operation() -> Any:
            return await operation()

        return self.loop.run_until_complete(run_operation())

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


def test_write_calls_the_minimum_number_of_members_nearest_first() -> None:
    group = Members(DONE, DONE, DONE)
    group.run(write(group))
    assert group.called[0] == 0 and len(group.called) == 2
    _, request = group.calls[0]
    assert (request.replica_id, request.epoch) == ("r0", 3)


def test_write_is_hedged_to_another_member_if_one_is_slow() -> None:
    group = Members(NO_REPLY, DONE, DONE)
    group.run(write(group))
    assert sorted(group.called) == [0, 1, 2]
    assert HEDGE_DELAY_SECONDS <= group.loop.time() < 2 * HEDGE_DELAY_SECONDS
    group.calls.clear()
    group.run(write(group))
    assert sorted(group.called) == [1, 2]  # the slow member is suspected and called last


@pytest.mark.parametrize(
    "reply", [FAILED, StorageReply(status=STORAGE_STATUS_DISK_FAILED, turns=FOUND.turns)]
)
def test_write_calls_another_member_immediately_after_a_failure(reply: StorageReply) -> None:
    group = Members(reply, DONE, DONE)
    group.run(write(group))
    assert sorted(group.called) == [0, 1, 2]
    assert group.loop.time() < HEDGE_DELAY_SECONDS


@pytest.mark.parametrize("replies", [(DONE, NO_REPLY, NO_REPLY), (DONE, FAILED, FAILED), (NO_REPLY,) * 3])
def test_write_without_a_quorum_raises_at_the_deadline(
    replies: tuple[StorageReply | None, ...],
) -> None:
    group = Members(*replies)
    with pytest.raises(QuorumNotReachedError, match="t1"):
        group.run(write(group))
    assert TIMEOUT_SECONDS - 0.1 < group.loop.time() <= TIMEOUT_SECONDS + 0.01


def test_write_is_retried_on_a_member_that_recovers_before_the_deadline() -> None:
    group = Members(DONE, FAILED, FAILED)

    async def recover() -> None:
        task = asyncio.ensure_future(group.client.write("t1", RECORDS, TIMEOUT_SECONDS))
        await asyncio.sleep(TIMEOUT_SECONDS / 2)
        group.replies[1] = DONE
        await task

    group.run(recover)
    assert group.loop.time() < CALL_TIMEOUT_SECONDS


def test_no_member_is_called_without_a_placement() -> None:
    group = Members(DONE, DONE, DONE)
    group.placement = Placement()
    with pytest.raises(QuorumNotReachedError):
        group.run(write(group))
    assert group.calls == []


def test_write_is_retried_under_a_newer_placement_from_a_member() -> None:
    group = Members(DONE, DONE, DONE)
    newer = Placement(epoch=4, current=members(1, 2))
    group.replies[0] = StorageReply(status=STORAGE_STATUS_STALE_EPOCH, placement=newer)
    group.run(write(group))
    assert group.adopted == [newer]
    assert {number for number, request in group.calls if request.epoch == 4} == {1, 2}


def test_turn_is_read_from_a_single_member_that_has_it() -> None:
    group = Members(FOUND, NO_REPLY, NO_REPLY)
    found = group.run(read(group))
    assert [turn.id for turn in found] == ["t0", "t1"]
    assert group.called == [0]
    _, request = group.calls[0]
    assert (list(request.turn_ids), request.with_ancestors, list(request.known_turn_ids)) == (
        ["t1"],
        True,
        ["t9"],
    )


def test_turn_missing_on_one_member_is_read_from_another() -> None:
    missing = StorageReply(status=STORAGE_STATUS_DONE, turns=[Turn(id="t0")])
    group = Members(missing, FOUND, NO_REPLY)
    assert [turn.id for turn in group.run(read(group))] == ["t0", "t1"]
    assert group.called == [0, 1]


def test_absence_of_a_turn_requires_a_read_quorum() -> None:
    group = Members(DONE, DONE, NO_REPLY)
    assert group.run(read(group)) is None
    group = Members(DONE, NO_REPLY, NO_REPLY)
    with pytest.raises(QuorumNotReachedError):
        group.run(read(group))


def test_budget_write_returns_the_merged_entries() -> None:
    entries = [BudgetEntry(turn="t1", tokens=5), BudgetEntry(turn="t1", tokens=3, settled=True)]
    group = Members(
        *(StorageReply(status=STORAGE_STATUS_DONE, budget=[entry]) for entry in entries), NO_REPLY
    )
    entry = BudgetEntry(program="p", turn="t2", tokens=9)
    found = group.run(lambda: group.client.write_budget(entry, TIMEOUT_SECONDS))
    assert found == [entries[1]]
    assert all(request.program == "p" and len(request.records) == 1 for _, request in group.calls)


@pytest.mark.parametrize(("count", "expected_calls"), [(3, []), (4, [0, 1, 3])])
def test_retention_is_extended_if_members_hold_different_turns(count: int, expected_calls: list[int]) -> None:
    group = Members(*[DONE] * count)
    group.placement.current[2].lost = True
    group.client.extend_retention(["t1", "t2"], 1.5)
    assert [number for number, _ in group.sent] == expected_calls
    for number, request in group.sent:
        assert (request.replica_id, request.epoch, request.extension_ms) == (f"r{number}", 3, 1500)
        assert list(request.extended_turn_ids) == ["t1", "t2"]


def test_quorum_error_contains_the_key_or_the_given_message() -> None:
    assert "t7" in str(QuorumNotReachedError("t7"))
    assert str(QuorumNotReachedError("t7", "no time left")) == "no time left"
