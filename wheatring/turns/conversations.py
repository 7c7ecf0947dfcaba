"""Conversations: the chain of turns behind a turn, and the body that an endpoint is to get for it."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

from wheatring.storage.exceptions import QuorumNotReachedError
from wheatring.storage.quorum_client import QuorumClient
from wheatring.transport.messages_pb2 import StorageRecord, Turn

CACHE_BYTES = 24 * 1024 * 1024  # of turns kept in a sidecar


class TurnNotFoundError(Exception):
    """There certainly is no turn of that id."""


class TurnCache:
    """Turns that were read or written lately. They never change, so what is here is always right."""

    def __init__(self, limit: int = CACHE_BYTES) -> None:
        self._limit = limit
        self._turns: OrderedDict[str, Turn] = OrderedDict()
        self._size = 0

    def get(self, turn_id: str) -> Turn | None:
        """A turn by its id."""
        turn = self._turns.get(turn_id)
        if turn is not None:
            self._turns.move_to_end(turn_id)
        return turn

    def put(self, turn: Turn) -> None:
        """Keep a turn, and let those go that were not used for longest."""
        if turn.id in self._turns:
            return
        self._turns[turn.id] = turn
        self._size += _size(turn)
        while self._size > self._limit:
            _, oldest = self._turns.popitem(last=False)
            self._size -= _size(oldest)


def _size(turn: Turn) -> int:
    return len(turn.input) + len(turn.output) + 40 * len(turn.ancestors) + 200


class Conversations:
    """Reads and records turns."""

    def __init__(self, store: QuorumClient) -> None:
        self._store = store
        self.cache = TurnCache()

    async def read_chain(self, turn_id: str, timeout_seconds: float) -> list[Turn]:
        """A turn and all before it, oldest first. Raises TurnNotFoundError or QuorumNotReachedError."""
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

    async def _read(self, turn_id: str, seconds: float) -> Turn:
        found = await self._store.read_conversation(turn_id, (), seconds)
        if found is None:
            raise TurnNotFoundError(turn_id)
        for turn in found:
            self.cache.put(turn)
        return next(turn for turn in found if turn.id == turn_id)

    async def _read_ancestor(self, turn_id: str, seconds: float) -> Turn:
        """An ancestor of a turn that exists: that it is not found says nothing of that turn."""
        try:
            return await self._read(turn_id, seconds)
        except TurnNotFoundError as error:
            raise QuorumNotReachedError(turn_id, f"ancestor {turn_id} was not found") from error

    async def record(self, turn: Turn, timeout_seconds: float) -> None:
        """Have a turn on enough disks; it may be named as `Previous` from then on.

        Raises QuorumNotReachedError.
        """
        await self._store.write(turn.id, [StorageRecord(turn=turn)], timeout_seconds)
        self.cache.put(turn)
        if turn.ancestors:
            self._store.extend_retention(list(turn.ancestors), turn.retention_ms / 1000)


def build_prompt_body(chain: Sequence[Turn], new_input: bytes) -> bytes:
    """What an endpoint gets: for each turn its input and its events' data, and the new input last."""
    parts: list[bytes] = []
    for turn in chain:
        parts += (turn.input, turn.output)
    return b"".join([*parts, new_input])
