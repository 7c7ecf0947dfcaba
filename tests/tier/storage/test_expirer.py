"""The expirer of a replica: which turns it removes and keeps, by the replies of the other members."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.support.virtual_loop import VirtualLoop
from tests.tier.placement.storage_members import members
from wheatring.tier.storage.expirer import MAX_TURNS_PER_CALL, Expirer
from wheatring.tier.storage.record_table import RETENTION_MARGIN_SECONDS
from wheatring.tier.storage.replica import Replica
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import (
    STORAGE_STATUS_DONE,
    STORAGE_STATUS_STALE_EPOCH,
    Envelope,
    Placement,
    StorageMember,
    StorageRecord,
    StorageReply,
    StorageRequest,
    Turn,
)

RETENTION_SECONDS = 60.0
EXPIRED_AT = RETENTION_SECONDS + RETENTION_MARGIN_SECONDS
EPOCH = 3
SILENT = None
OF_EARLIER_VERSION = StorageReply(status=STORAGE_STATUS_DONE)  # without the field that answers the question
STALE = StorageReply(status=STORAGE_STATUS_STALE_EPOCH, placement=Placement(epoch=EPOCH + 1))


def needs(*remaining_ms: int) -> StorageReply:
    return StorageReply(status=STORAGE_STATUS_DONE, remaining_retention_ms=remaining_ms)


def record(turn_id: str, *ancestors: str) -> StorageRecord:
    return StorageRecord(
        turn=Turn(id=turn_id, ancestors=ancestors, retention_ms=int(RETENTION_SECONDS * 1000))
    )


class Member:
    """Another member, which replies as told."""

    def __init__(self, reply: StorageReply | None) -> None:
        self.reply = reply
        self.requests: list[StorageRequest] = []

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:
        self.requests.append(envelope.storage_request)
        await asyncio.sleep(timeout if self.reply is None else 0.001)
        if self.reply is None:
            raise PeerUnreachableError("member", "silent")
        return Envelope(storage_reply=self.reply)


class Expiry:
    """A replica with the turns t1 and t2, which have expired, its expirer and the other members."""

    def __init__(self, folder: Path, *replies: StorageReply | None, losses: int = 1) -> None:
        self.now = 0.0
        self.replica = Replica(folder, losses, lambda: self.now)
        self.replica.open()
        for turn_id in ("t1", "t2"):
            self.replica.table.apply(record(turn_id), self.now)
        self.others = {f"a{number}": Member(reply) for number, reply in enumerate(replies, 1)}
        self.members = [
            StorageMember(replica_id=self.replica.identity, address="a0"),
            *members(*range(1, len(replies) + 1)),
        ]
        self.replica.adopt_placement(Placement(epoch=EPOCH, current=self.members))
        clients: Any = self
        self.expirer = Expirer(self.replica, clients, losses, lambda: self.now)
        self.now = EXPIRED_AT

    def client_for(self, address: str) -> Member:
        return self.others[address]

    def run(self) -> list[str]:
        """Remove what has expired; return the turns that are left."""

        async def remove() -> None:
            await self.expirer.remove_expired()

        VirtualLoop().run_until_complete(remove())
        return [turn_id for turn_id in ("t1", "t2") if self.replica.table.has_turn(turn_id)]


def test_turns_that_no_member_needs_are_removed(tmp_path: Path) -> None:
    expiry = Expiry(tmp_path, needs(0, 0), needs(0, 0))
    assert expiry.run() == []
    (request,) = expiry.others["a1"].requests
    assert (request.replica_id, request.epoch) == ("r1", EPOCH)
    assert list(request.needed_turn_ids) == ["t1", "t2"]


def test_turn_is_kept_for_as_long_as_another_member_needs_it(tmp_path: Path) -> None:
    expiry = Expiry(tmp_path, needs(0, 5000), needs(0, 9000))
    assert expiry.run() == ["t2"]
    expiry.others["a1"].reply = expiry.others["a2"].reply = needs(0)
    expiry.now = EXPIRED_AT + 8.9
    assert expiry.run() == ["t2"]
    expiry.now = EXPIRED_AT + 9.0
    assert expiry.run() == []


@pytest.mark.parametrize(
    ("replies", "losses", "left"),
    [
        ((needs(0, 0), SILENT), 1, []),  # a descendant is on two disks, so one of them has replied
        ((SILENT, SILENT), 1, ["t1", "t2"]),
        ((needs(0, 0), needs(0, 0), SILENT, SILENT), 2, []),
        ((needs(0, 0), SILENT, SILENT, SILENT), 2, ["t1", "t2"]),
        ((needs(0, 0), needs(0, 0), SILENT, SILENT), 1, ["t1", "t2"]),
        ((STALE, STALE), 1, ["t1", "t2"]),
        ((OF_EARLIER_VERSION, needs(0, 7)), 1, ["t2"]),
        ((OF_EARLIER_VERSION, OF_EARLIER_VERSION), 1, []),
    ],
)
def test_turns_are_removed_only_after_enough_replies(
    tmp_path: Path, replies: tuple[StorageReply | None, ...], losses: int, left: list[str]
) -> None:
    assert Expiry(tmp_path, *replies, losses=losses).run() == left


def test_turns_are_kept_during_a_change_until_enough_next_members_have_replied(tmp_path: Path) -> None:
    expiry = Expiry(tmp_path, needs(0, 0), needs(0, 0), SILENT, SILENT)
    current, following = expiry.members[:3], expiry.members[2:]
    expiry.replica.adopt_placement(Placement(epoch=EPOCH + 1, current=current, next=following))
    assert expiry.run() == ["t1", "t2"]
    expiry.others["a3"].reply = needs(0, 0)
    assert expiry.run() == []


def test_turns_are_kept_without_a_current_placement(tmp_path: Path) -> None:
    expiry = Expiry(tmp_path, needs(0, 0), needs(0, 0))
    expiry.replica.fence_epoch = EPOCH + 1
    assert expiry.run() == ["t1", "t2"]
    assert expiry.others["a1"].requests == []
    expiry.replica.fence_epoch = EPOCH
    assert expiry.run() == []


def test_many_turns_are_asked_for_in_several_calls(tmp_path: Path) -> None:
    expiry = Expiry(tmp_path, needs(), needs())
    for number in range(MAX_TURNS_PER_CALL):
        expiry.replica.table.apply(record(f"u{number}"), 0.0)
    assert expiry.run() == []
    assert [len(r.needed_turn_ids) for r in expiry.others["a1"].requests] == [MAX_TURNS_PER_CALL, 2]


def test_replica_replies_for_how_long_it_needs_turns(tmp_path: Path) -> None:
    """Turns that it stores, ancestors that it does not store, and turns that it does not know."""
    replica = Replica(tmp_path, 1, lambda: 10.0)
    replica.open()
    replica.table.apply(record("t3", "t1"), 0.0)
    request = StorageRequest(replica_id=replica.identity, epoch=1, needed_turn_ids=["t1", "t2", "t3"])
    reply = asyncio.run(replica.handle_request(request))
    expected_ms = int((EXPIRED_AT - 10.0) * 1000)
    assert list(reply.remaining_retention_ms) == [expected_ms, 0, expected_ms]
    assert not reply.turns and not reply.budget
