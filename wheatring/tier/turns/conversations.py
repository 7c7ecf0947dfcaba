"""Conversations: the turns before a turn, and the prompt that an endpoint is to get for it."""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.tier.storage.exceptions import QuorumNotReachedError
from wheatring.tier.storage.quorum_client import QuorumClient
from wheatring.tier.transport.messages_pb2 import StorageRecord, Turn
from wheatring.tier.turns.exceptions import TurnNotFoundError
from wheatring.tier.turns.turn_cache import TurnCache


class Conversations:
    """Reads and records turns, from a sidecar. Time-outs are seconds."""

    def __init__(self, store: QuorumClient) -> None:
        self._store = store
        self.cache = TurnCache()

    async def read_chain(self, turn_id: str, timeout_seconds: float) -> list[Turn]:
        """Return a turn and all before it, oldest first.

        Raises
        ------
        TurnNotFoundError
            There is no such turn.
        QuorumNotReachedError
            Whether there is one, or what was before it, is unknown.
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
        found = await self._store.read_conversation(turn_id, (), timeout_seconds)
        if found is None:
            raise TurnNotFoundError(turn_id)
        for turn in found:
            self.cache.put(turn)
        return next(turn for turn in found if turn.id == turn_id)

    async def _read_ancestor(self, turn_id: str, timeout_seconds: float) -> Turn:
        """Return an ancestor of a turn that exists: that it is not found says nothing of that turn."""
        try:
            return await self._read(turn_id, timeout_seconds)
        except TurnNotFoundError as error:
            raise QuorumNotReachedError(turn_id, f"ancestor {turn_id} was not found") from error

    async def record(self, turn: Turn, timeout_seconds: float) -> None:
        """Have a turn on enough disks; it may be named as `Previous` from then on.

        Raises QuorumNotReachedError: the turn may be found all the same.
        """
        await self._store.write(turn.id, [StorageRecord(turn=turn)], timeout_seconds)
        self.cache.put(turn)
        if turn.ancestors:
            self._store.extend_retention(list(turn.ancestors), turn.retention_ms / 1000)


def build_prompt_body(chain: Sequence[Turn], new_input: bytes) -> bytes:
    """Return what an endpoint gets: of each turn its input and its events' data, and the new input last."""
    parts: list[bytes] = []
    for turn in chain:
        parts += (turn.input, turn.output)
    return b"".join([*parts, new_input])
