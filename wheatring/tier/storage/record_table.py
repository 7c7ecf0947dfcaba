"""What one storage replica holds, in memory: turns by their id, budget entries by program.

Turns never change. Of the entries for one turn of a program a settled one replaces a reserved one, and of two
equal kinds the larger counts. Times are seconds on a monotonic clock; a replica that has restarted keeps
everything for its full time again, because it cannot know how long it was down.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Literal, NamedTuple

from wheatring.tier.storage.budget_entries import budget_entry_rank
from wheatring.tier.transport.messages_pb2 import BudgetEntry, StorageRecord, Turn

RETENTION_MARGIN_SECONDS = 10.0  # beyond the retention that the route states
BUDGET_RETENTION_SECONDS = 600.0  # after the last entry of a program


class RecordKey(NamedTuple):
    """What identifies a record. All records of one placement key are held by the same members."""

    kind: Literal["turn", "budget"]
    placement_key: str  # the turn's id, or the program
    turn: str  # of a budget entry: which turn of the program; else empty


@dataclass(slots=True)
class StoredRecord:
    """One record, its position in the order of changes and when it expires."""

    sequence: int
    payload: bytes
    expires_at: float


class ScanPage(NamedTuple):
    """Some of the records that have changed since a position."""

    payloads: list[bytes]
    position: int  # where the next page begins
    is_last: bool


def key_of(record: StorageRecord) -> RecordKey | None:
    """Return what identifies a record; None for those that describe the replica itself."""
    kind = record.WhichOneof("kind")
    if kind == "turn":
        return _turn_key(record.turn.id)
    if kind == "budget":
        return RecordKey("budget", record.budget.program, record.budget.turn)
    return None


def _turn_key(turn_id: str) -> RecordKey:
    return RecordKey("turn", turn_id, "")


class RecordTable:
    """The records of one replica."""

    def __init__(self) -> None:
        self._records: dict[RecordKey, StoredRecord] = {}
        self._keys_by_sequence: dict[int, RecordKey] = {}
        self._budgets: dict[str, dict[str, BudgetEntry]] = {}  # by program, then by turn
        self._last_sequence = 0

    def __len__(self) -> int:
        """Return how many records there are."""
        return len(self._records)

    def apply(self, record: StorageRecord, now: float) -> bool:
        """Take a record in; return whether it has changed anything, and so has to be written."""
        key = key_of(record)
        if key is None:
            return False
        if key.kind == "turn":
            return self._apply_turn(key, record, now)
        return self._apply_budget(key, record, now)

    def _apply_turn(self, key: RecordKey, record: StorageRecord, now: float) -> bool:
        turn = record.turn
        expires_at = now + turn.retention_ms / 1000 + RETENTION_MARGIN_SECONDS
        for ancestor in turn.ancestors:
            self.extend_expiry(ancestor, expires_at)
        if key in self._records:
            self.extend_expiry(turn.id, expires_at)
            return False
        self._store(key, record, expires_at)
        return True

    def _apply_budget(self, key: RecordKey, record: StorageRecord, now: float) -> bool:
        entry = record.budget
        entries = self._budgets.setdefault(entry.program, {})
        known = entries.get(entry.turn)
        if known is not None and budget_entry_rank(known) >= budget_entry_rank(entry):
            return False
        entries[entry.turn] = BudgetEntry(turn=entry.turn, tokens=entry.tokens, settled=entry.settled)
        self._store(key, record, now + BUDGET_RETENTION_SECONDS)
        return True

    def _store(self, key: RecordKey, record: StorageRecord, expires_at: float) -> None:
        known = self._records.pop(key, None)
        if known is not None:
            del self._keys_by_sequence[known.sequence]
        self._last_sequence += 1
        self._records[key] = StoredRecord(self._last_sequence, record.SerializeToString(), expires_at)
        self._keys_by_sequence[self._last_sequence] = key

    def extend_expiry(self, turn_id: str, expires_at: float) -> None:
        """Keep a turn at least until then."""
        stored = self._records.get(_turn_key(turn_id))
        if stored is not None:
            stored.expires_at = max(stored.expires_at, expires_at)

    def has_turn(self, turn_id: str) -> bool:
        """Whether a turn is in the table."""
        return _turn_key(turn_id) in self._records

    def renew_turn(self, turn_id: str, now: float) -> bool:
        """Keep a turn and its ancestors for their full time from now on; return whether it is here."""
        key = _turn_key(turn_id)
        stored = self._records.get(key)
        if stored is None:
            return False
        self._apply_turn(key, StorageRecord.FromString(stored.payload), now)
        return True

    def turn(self, turn_id: str) -> Turn | None:
        """Return a turn by its id; None where it is not in the table."""
        stored = self._records.get(_turn_key(turn_id))
        if stored is None:
            return None
        return StorageRecord.FromString(stored.payload).turn

    def budget_entries(self, program: str) -> list[BudgetEntry]:
        """Return all entries of a program.

        They do not repeat the program's name, because the list is sent to each turn of it.
        """
        return list(self._budgets.get(program, {}).values())

    def expire(self, now: float) -> int:
        """Drop the records whose time is over; return how many there were."""
        expired = [key for key, stored in self._records.items() if stored.expires_at <= now]
        for key in expired:
            stored = self._records.pop(key)
            del self._keys_by_sequence[stored.sequence]
            if key.kind == "budget":
                entries = self._budgets[key.placement_key]
                entries.pop(key.turn, None)
                if not entries:
                    del self._budgets[key.placement_key]
        return len(expired)

    def payloads(self) -> list[bytes]:
        """Return all records, serialized, in the order of their last change."""
        return [self._records[key].payload for key in self._keys_by_sequence.values()]

    def scan(self, after: int, limit_bytes: int, is_wanted: Callable[[RecordKey], bool]) -> ScanPage:
        """Return a page of the wanted records that have changed after a position.

        Parameters
        ----------
        after
            The position that the page before has reached; 0 for the first one.
        limit_bytes
            The page ends with the record that reaches this size.
        is_wanted
            Says by its key whether a record is part of the scan.
        """
        payloads: list[bytes] = []
        size_bytes = 0
        position = after
        for sequence, key in self._changes_after(after):
            position = sequence
            if not is_wanted(key):
                continue
            payload = self._records[key].payload
            payloads.append(payload)
            size_bytes += len(payload)
            if size_bytes >= limit_bytes:
                return ScanPage(payloads, position, is_last=False)
        return ScanPage(payloads, max(position, self._last_sequence), is_last=True)

    def _changes_after(self, position: int) -> Iterator[tuple[int, RecordKey]]:
        changes = list(self._keys_by_sequence.items())
        return ((sequence, key) for sequence, key in changes if sequence > position)
