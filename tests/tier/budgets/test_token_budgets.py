"""Token budgets: replicas return the program's entries for a reservation, and none for a settlement."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.support.virtual_loop import VirtualLoop
from wheatring.tier.budgets.exceptions import BudgetExceededError
from wheatring.tier.budgets.token_budgets import TokenBudgets
from wheatring.tier.storage.quorum_client import QuorumClient
from wheatring.tier.storage.replica import Replica
from wheatring.tier.transport.messages_pb2 import Envelope, Placement, StorageMember, StorageReply


class SingleReplicaClients:
    """A stand-in for ClientTable that directs every address to the same replica."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self.replies: list[StorageReply] = []

    def client_for(self, address: str) -> SingleReplicaClients:  # noqa: ARG002 - the client's signature
        return self

    async def call(self, envelope: Envelope, timeout: float) -> Envelope:  # noqa: ARG002 - the client's signature
        reply = await self._replica.handle_request(envelope.storage_request)
        self.replies.append(reply)
        return Envelope(storage_reply=reply)


def test_settlement_returns_no_entries_and_counts_in_the_next_reservation(tmp_path: Path) -> None:
    loop = VirtualLoop()

    async def run_scenario() -> list[StorageReply]:
        replica = Replica(tmp_path, 0, loop.time)
        replica.open()
        member = StorageMember(replica_id=replica.identity, node="s1", address="s1")
        placement = Placement(epoch=1, current=[member])
        clients = SingleReplicaClients(replica)
        store = QuorumClient(clients, 0, "z", lambda: placement, lambda _newer: None)  # type: ignore[arg-type]
        budgets = TokenBudgets(store)
        await budgets.reserve("program", "t1", 60, 100, 1.0)
        budgets.settle("program", "t1", 10)
        await asyncio.sleep(0.1)
        await budgets.reserve("program", "t2", 90, 100, 1.0)  # 10 + 90 tokens fit, 60 + 90 would not.
        return clients.replies

    reserved, settled, reserved_again = loop.run_until_complete(run_scenario())
    assert [entry.turn for entry in reserved.budget] == ["t1"]
    assert not settled.budget
    assert {entry.turn: entry.tokens for entry in reserved_again.budget} == {"t1": 10, "t2": 90}
    assert not any(entry.program for entry in (*reserved.budget, *reserved_again.budget))


@pytest.mark.parametrize(("tokens", "is_rejected"), [(40, False), (41, True)])
def test_turn_may_reserve_no_more_than_the_other_turns_leave(
    tmp_path: Path, tokens: int, is_rejected: bool
) -> None:
    loop = VirtualLoop()

    async def run_scenario() -> bool:
        replica = Replica(tmp_path, 0, loop.time)
        replica.open()
        placement = Placement(epoch=1, current=[StorageMember(replica_id=replica.identity, address="s1")])
        clients = SingleReplicaClients(replica)
        store = QuorumClient(clients, 0, "z", lambda: placement, lambda _newer: None)  # type: ignore[arg-type]
        budgets = TokenBudgets(store)
        await budgets.reserve("program", "t1", 60, 100, 1.0)
        await budgets.reserve("program", "t1", 60, 100, 1.0)  # A repeated reservation does not count twice.
        try:
            await budgets.reserve("program", "t2", tokens, 100, 1.0)
        except BudgetExceededError:
            return True
        return False

    assert loop.run_until_complete(run_scenario()) is is_rejected
