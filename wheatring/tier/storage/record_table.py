"""The in-memory records of one storage replica: turns by their id, and budget entries by program.

Turns are immutable. Of several budget entries for one turn, a settled entry replaces a reserved one, and of
two entries of the same kind the larger one wins. Times are seconds on a monotonic clock. A replica that has
restarted keeps all records for their full retention again, because it cannot tell how long it was down.

A turn is needed for as long as any of its descendants. The table therefore also keeps, for each ancestor that
another replica stores, the time until which the descendants on this replica need it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Literal, NamedTuple

from wheatring.tier.storage.budget_entries import budget_entry_rank
from wheatring.tier.transport.messages_pb2 import BudgetEntry, StorageRecord, Turn

RETENTION_MARGIN_SECONDS = 10.0  # added to the retention configured for the route
BUDGET_RETENTION_SECONDS = 600.0  # since the last change of the entry


class RecordKey(NamedTuple):
    """The identity of a record. All records with the same placement key are held by the same members."""

    kind: Literal["turn", "budget"]
    placement_key: str  # the turn's id, or the program
    budget_turn_id: str  # the turn of a budget entry; empty for a turn's own record


@dataclass(slots=True)
class StoredRecord:
    """A serialized record, its position in the order of changes, and the time at which it expires."""

    sequence: int
    payload: bytes
    expires_at: float


class ScanPage(NamedTuple):
    """A page of the records that have changed since a position."""

    payloads: list[bytes]
    position: int  # start of the next page
    is_last: bool


def record_key(record: StorageRecord) -> RecordKey | None:
    """Return the key of a record; None if it describes the replica itself."""
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

    def __init__(self, numbering: int = 0) -> None:
        """Initialize an empty table.

        Parameters
        ----------
        numbering
            The position before the first change. A replica draws it at each start, so that a position from
            before its restart is recognized: changes are then counted anew, from a file that may have been
            compacted.
        """
        self.numbering = numbering
        self._records: dict[RecordKey, StoredRecord] = {}
        self._keys_by_sequence: dict[int, RecordKey] = {}
        self._budgets: dict[str, dict[str, BudgetEntry]] = {}  # by program, then by turn
        self._needed_until: dict[str, float] = {}  # by the ids of ancestors that are not stored here
        self._last_sequence = numbering

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def apply(self, record: StorageRecord, now: float) -> bool:
        """Apply a record; return whether it has changed the table, and so has to be written to disk."""
        key = record_key(record)
        if key is None:
            return False
        if key.kind == "turn":
            return self._apply_turn(key, record, now)
        return self._apply_budget(key, record, now)

    def _apply_turn(self, key: RecordKey, record: StorageRecord, now: float) -> bool:
        turn = record.turn
        expires_at = now + turn.retention_ms / 1000 + RETENTION_MARGIN_SECONDS
        for ancestor in turn.ancestors:
            self._need_ancestor(ancestor, expires_at)
        if key in self._records:
            self.extend_expiry(turn.id, expires_at)
            return False
        self._store(key, record, max(expires_at, self._needed_until.pop(turn.id, 0.0)))
        return True

    def _need_ancestor(self, turn_id: str, expires_at: float) -> None:
        """Keep an ancestor at least until `expires_at`, or remember that another replica has to."""
        if self.has_turn(turn_id):
            self.extend_expiry(turn_id, expires_at)
        else:
            self._needed_until[turn_id] = max(self._needed_until.get(turn_id, 0.0), expires_at)

    def _apply_budget(self, key: RecordKey, record: StorageRecord, now: float) -> bool:
        entry = record.budget
        entries = self._budgets.setdefault(entry.program, {})
        existing = entries.get(entry.turn)
        if existing is not None and budget_entry_rank(existing) >= budget_entry_rank(entry):
            return False
        entries[entry.turn] = BudgetEntry(turn=entry.turn, tokens=entry.tokens, settled=entry.settled)
        self._store(key, record, now + BUDGET_RETENTION_SECONDS)
        return True

    def _store(self, key: RecordKey, record: StorageRecord, expires_at: float) -> None:
        existing = self._records.pop(key, None)
        if existing is not None:
            del self._keys_by_sequence[existing.sequence]
        self._last_sequence += 1
        self._records[key] = StoredRecord(self._last_sequence, record.SerializeToString(), expires_at)
        self._keys_by_sequence[self._last_sequence] = key

    def extend_expiry(self, turn_id: str, expires_at: float) -> None:
        """Keep a turn at least until `expires_at`."""
        stored = self._records.get(_turn_key(turn_id))
        if stored is not None:
            stored.expires_at = max(stored.expires_at, expires_at)

    def remaining_seconds(self, turn_id: str, now: float) -> float:
        """Return for how long this replica still needs a turn, whether it is stored here or not."""
        stored = self._records.get(_turn_key(turn_id))
        needed_until = self._needed_until.get(turn_id, 0.0) if stored is None else stored.expires_at
        return max(0.0, needed_until - now)

    def has_turn(self, turn_id: str) -> bool:
        """Whether the table has a turn."""
        return _turn_key(turn_id) in self._records

    def renew_turn(self, turn_id: str, now: float) -> bool:
        """Restart the retention of a turn and of its ancestors; return whether the table has the turn."""
        key = _turn_key(turn_id)
        stored = self._records.get(key)
        if stored is None:
            return False
        self._apply_turn(key, StorageRecord.FromString(stored.payload), now)
        return True

    def turn(self, turn_id: str) -> Turn | None:
        """Return a turn by its id; None if the table does not have it."""
        stored = self._records.get(_turn_key(turn_id))
        if stored is None:
            return None
        return StorageRecord.FromString(stored.payload).turn

    def budget_entries(self, program: str) -> list[BudgetEntry]:
        """Return all entries of a program.

        The entries leave out the program's name, because the list is sent to every turn of the program.
        """
        return list(self._budgets.get(program, {}).values())

    def expired_turn_ids(self, now: float) -> list[str]:
        """Return the ids of the turns whose retention is over."""
        return [key.placement_key for key in self._expired_keys(now) if key.kind == "turn"]

    def _expired_keys(self, now: float) -> list[RecordKey]:
        return [key for key, stored in self._records.items() if stored.expires_at <= now]

    def expire(self, now: float, kept_turn_ids: Collection[str] = ()) -> int:
        """Remove expired records except the turns in `kept_turn_ids`; return their number."""
        self._needed_until = {i: until for i, until in self._needed_until.items() if until > now}
        expired = [
            key
            for key in self._expired_keys(now)
            if key.kind == "budget" or key.placement_key not in kept_turn_ids
        ]
        for key in expired:
            stored = self._records.pop(key)
            del self._keys_by_sequence[stored.sequence]
            if key.kind == "budget":
                entries = self._budgets[key.placement_key]
                entries.pop(key.budget_turn_id, None)
                if not entries:
                    del self._budgets[key.placement_key]
        return len(expired)

    def payloads(self) -> list[bytes]:
        """Return all records, serialized, in the order of their last change."""
        return [self._records[key].payload for key in self._keys_by_sequence.values()]

    def scan(self, after: int, limit_bytes: int, is_included: Callable[[RecordKey], bool]) -> ScanPage:
        """Return a page of the records that have changed after a position.

        Parameters
        ----------
        after
            The position of the previous page; 0 for the first one, as is a position of another numbering.
        limit_bytes
            The page ends with the record at which it reaches this size.
        is_included
            Tells by its key whether a record is part of the scan.
        """
        payloads: list[bytes] = []
        size_bytes = 0
        position = after if self.is_position(after) else self.numbering
        for sequence, key in self._changes_after(position):
            position = sequence
            if not is_included(key):
                continue
            payload = self._records[key].payload
            payloads.append(payload)
            size_bytes += len(payload)
            if size_bytes >= limit_bytes:
                return ScanPage(payloads, position, is_last=False)
        return ScanPage(payloads, max(position, self._last_sequence), is_last=True)

    def is_position(self, position: int) -> bool:
        """Whether a position is one of this table's numbering."""
        return self.numbering <= position <= self._last_sequence

    def _changes_after(self, position: int) -> Iterator[tuple[int, RecordKey]]:
        changes = list(self._keys_by_sequence.items())
        return ((sequence, key) for sequence, key in changes if sequence > position)
