"""Conversations: reads and records turns, and builds the prompt that is sent to an endpoint."""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.tier.storage.exceptions import QuorumNotReachedError
from wheatring.tier.storage.quorum_client import QuorumClient
from wheatring.tier.transport.messages_pb2 import StorageRecord, Turn
from wheatring.tier.turns.exceptions import TurnNotFoundError
from wheatring.tier.turns.turn_cache import TurnCache


class Conversations:
    """Reads and records turns on behalf of a sidecar. Time-outs are in seconds."""

    def __init__(self, store: QuorumClient) -> None:
        self._store = store
        self.cache = TurnCache()

    async def read_chain(self, turn_id: str, timeout_seconds: float) -> list[Turn]:
        """Return a turn and all its ancestors, oldest first.

        Raises
        ------
        TurnNotFoundError
            The turn does not exist.
        QuorumNotReachedError
            It is unknown whether the turn exists, or its ancestors could not be read.
        """
        last = self.cache.get(turn_id)
        if last is None:
            last = await self._read(turn_id, timeout_seconds)
        turns: list[Turn] = []
        for ancestor_id in last.ancestors:
            ancestor = self.cache.get(ancestor_id)
            if ancestor is None:
                ancestor = await self._read_ancestor(ancestor_id, timeout_seconds)
            turns.append(ancestor)
        turns.append(last)
        return turns

    async def _read(self, turn_id: str, timeout_seconds: float) -> Turn:
        turns = await self._store.read_conversation(turn_id, (), timeout_seconds)
        if turns is None:
            raise TurnNotFoundError(turn_id)
        for turn in turns:
            self.cache.put(turn)
        return next(turn for turn in turns if turn.id == turn_id)

    async def _read_ancestor(self, turn_id: str, timeout_seconds: float) -> Turn:
        """Return an ancestor of an existing turn; if it is not found, the read counts as inconclusive."""
        try:
            return await self._read(turn_id, timeout_seconds)
        except TurnNotFoundError as error:
            raise QuorumNotReachedError(turn_id, f"ancestor {turn_id} was not found") from error

    async def record(self, turn: Turn, timeout_seconds: float) -> None:
        """Store a turn at a write quorum, after which requests may name it as `Previous`.

        Raises QuorumNotReachedError; the turn may have been stored nevertheless.
        """
        await self._store.write(turn.id, [StorageRecord(turn=turn)], timeout_seconds)
        self.cache.put(turn)
        if turn.ancestors:
            self._store.extend_retention(list(turn.ancestors), turn.retention_ms / 1000)


def build_prompt_body(chain: Sequence[Turn], new_input: bytes) -> bytes:
    """Return the request body for an endpoint: input and output of each turn, followed by the new input."""
    parts: list[bytes] = []
    for turn in chain:
        parts += (turn.input, turn.output)
    return b"".join([*parts, new_input])
