"""What one storage replica holds, in memory: turns by their id, budget entries by program.

Turns never change. Of the entries for one turn of a program a settled one replaces a reserved one, and of two
equal kinds the larger counts. Times are seconds on a steady clock; a replica that has restarted keeps
everything for its full time again, because it cannot know how long it was down.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from wheatring.transport.messages_pb2 import BudgetEntry, StorageRecord, Turn

RETENTION_MARGIN_SECONDS = 10.0  # seconds beyond the retention that the route tells
BUDGET_RETENTION_SECONDS = 600.0  # after the last entry of a program

RecordKey = tuple[str, str, str]  # kind, turn id or program, turn of the program


@dataclass(slots=True)
class StoredRecord:
    """One record, its place in the order of changes and when it may go."""

    sequence: int
    payload: bytes
    expires_at: float


def key_of(record: StorageRecord) -> RecordKey | None:
    """What identifies a record; None for those that speak of the replica itself."""
    kind = record.WhichOneof("kind")
    if kind == "turn":
        return "turn", record.turn.id, ""
    if kind == "budget":
        return "budget", record.budget.program, record.budget.turn
    return None


def placement_key(key: RecordKey) -> str:
    """The name by which a record is placed on members."""
    return key[1]


class RecordTable:
    """The records of one replica."""

    def __init__(self) -> None:
        self._held: dict[RecordKey, StoredRecord] = {}
        self._order: dict[int, RecordKey] = {}
        self._programs: dict[str, dict[str, BudgetEntry]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._held)

    def apply(self, record: StorageRecord, now: float) -> bool:
        """Take a record in. Returns whether it has changed anything, and so has to be written."""
        key = key_of(record)
        if key is None:
            return False
        if key[0] == "turn":
            return self._apply_turn(key, record, now)
        return self._apply_budget(key, record, now)

    def _apply_turn(self, key: RecordKey, record: StorageRecord, now: float) -> bool:
        turn = record.turn
        expires = now + turn.retention_ms / 1000 + RETENTION_MARGIN_SECONDS
        for ancestor in turn.ancestors:
            self.extend_expiry(ancestor, expires)
        if key in self._held:
            self.extend_expiry(turn.id, expires)
            return False
        self._hold(key, record, expires)
        return True

    def _apply_budget(self, key: RecordKey, record: StorageRecord, now: float) -> bool:
        entry = record.budget
        entries = self._programs.setdefault(entry.program, {})
        known = entries.get(entry.turn)
        if known is not None and (known.settled, known.tokens) >= (entry.settled, entry.tokens):
            return False
        entries[entry.turn] = BudgetEntry(turn=entry.turn, tokens=entry.tokens, settled=entry.settled)
        self._hold(key, record, now + BUDGET_RETENTION_SECONDS)
        return True

    def _hold(self, key: RecordKey, record: StorageRecord, expires: float) -> None:
        known = self._held.pop(key, None)
        if known is not None:
            del self._order[known.sequence]
        self._sequence += 1
        self._held[key] = StoredRecord(self._sequence, record.SerializeToString(), expires)
        self._order[self._sequence] = key

    def extend_expiry(self, turn_id: str, expires_at: float) -> None:
        """Keep a turn at least until then."""
        held = self._held.get(("turn", turn_id, ""))
        if held is not None:
            held.expires_at = max(held.expires_at, expires_at)

    def has_turn(self, turn_id: str) -> bool:
        """Whether a turn is here."""
        return ("turn", turn_id, "") in self._held

    def renew_turn(self, turn_id: str, now: float) -> bool:
        """Keep a turn and its ancestors for their full time from now on. Returns whether it is here."""
        key = ("turn", turn_id, "")
        held = self._held.get(key)
        if held is None:
            return False
        self._apply_turn(key, StorageRecord.FromString(held.payload), now)
        return True

    def turn(self, turn_id: str) -> Turn | None:
        """A turn by its id."""
        held = self._held.get(("turn", turn_id, ""))
        if held is None:
            return None
        return StorageRecord.FromString(held.payload).turn

    def budget_entries(self, program: str) -> list[BudgetEntry]:
        """All entries of a program, which they do not name again: every turn is sent this list."""
        return list(self._programs.get(program, {}).values())

    def expire(self, now: float) -> int:
        """Drop what may go; returns how many records went."""
        gone = [key for key, held in self._held.items() if held.expires_at <= now]
        for key in gone:
            held = self._held.pop(key)
            del self._order[held.sequence]
            if key[0] == "budget":
                entries = self._programs[key[1]]
                entries.pop(key[2], None)
                if not entries:
                    del self._programs[key[1]]
        return len(gone)

    def payloads(self) -> list[bytes]:
        """All records, serialized, oldest first."""
        return [self._held[key].payload for key in self._order.values()]

    def scan(
        self, after: int, limit_bytes: int, wanted: Callable[[RecordKey], bool]
    ) -> tuple[list[bytes], int, bool]:
        """Records changed after a place in the order: the records, the place reached, whether that was
        all.
        """
        found: list[bytes] = []
        size = 0
        position = after
        for sequence, key in self._from(after):
            position = sequence
            if not wanted(key):
                continue
            payload = self._held[key].payload
            found.append(payload)
            size += len(payload)
            if size >= limit_bytes:
                return found, position, False
        return found, max(position, self._sequence), True

    def _from(self, after: int) -> Iterator[tuple[int, RecordKey]]:
        return ((sequence, key) for sequence, key in list(self._order.items()) if sequence > after)
