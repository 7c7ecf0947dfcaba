"""The records of all known members, and how updates change them. The table's size is bounded."""

from __future__ import annotations

from typing import NamedTuple

from wheatring.fleet.members.messages import ALIVE, DEAD, LEFT, SUSPECT, MemberInfo, MemberUpdate

MAX_MEMBERS = 4000
MAX_SOURCES = 8  # recorded sources of one suspicion


class MemberRecord:
    """The state of one other member."""

    __slots__ = ("incarnation", "last_answer", "member", "since", "sources", "state", "suspicion_ends")

    def __init__(self, member: MemberInfo, incarnation: int, state: int, now: float) -> None:
        self.member = member
        self.incarnation = incarnation
        self.state = state
        self.since = now  # time of the last state change
        self.last_answer = -1e9  # when it last answered this member directly
        self.sources: set[str] = set()  # the members that suspect it, if it is suspected
        self.suspicion_ends = 0.0  # when the suspicion expires, if it is suspected

    @property
    def is_present(self) -> bool:
        """Whether it is alive or suspected."""
        return self.state in (ALIVE, SUSPECT)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.member.host, self.member.port

    def as_update(self, source: str = "") -> MemberUpdate:
        """Return the record as an update to send."""
        return MemberUpdate(self.member, self.incarnation, self.state, source)


class MemberStatus(NamedTuple):
    """A member's state as shown to operators.

    `confidence`, from 0 to 1, is the confidence in the state. Alive: 1 if it has recently answered this
    member directly, 0.5 if the state is known by gossip only. Suspect: the fraction of its time to refute
    that has elapsed. Left and dead: 1.
    """

    member: MemberInfo
    state: int
    since: float
    confidence: float


class AppliedUpdate(NamedTuple):
    """The effect of an update."""

    record: MemberRecord
    is_state_change: bool  # False: it only confirms a suspicion
    is_new_incarnation: bool


class MemberTable:
    """The records of all other members, by name."""

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.dropped_updates = 0  # updates about members beyond the bound

    def present_count(self) -> int:
        """Return the number of other members that are alive or suspected."""
        return sum(record.is_present for record in self.records.values())

    def apply(self, now: float, update: MemberUpdate) -> AppliedUpdate | None:
        """Apply an update; return its effect, or None if it has none."""
        record = self.records.get(update.member.name)
        if record is None:
            return self._add(now, update)
        if update.incarnation < record.incarnation:
            return None
        if update.incarnation == record.incarnation:
            if update.state <= record.state:
                return self._confirm(record, update)
            if record.state in (DEAD, LEFT):
                return None
        return self._change(now, record, update)

    def _add(self, now: float, update: MemberUpdate) -> AppliedUpdate | None:
        is_full = len(self.records) >= MAX_MEMBERS
        if update.state == DEAD or is_full:
            # A dead member without a record needs none.
            self.dropped_updates += is_full
            return None
        record = MemberRecord(update.member, update.incarnation, update.state, now)
        self.records[update.member.name] = record
        if update.state == SUSPECT:
            record.sources.add(update.source)
        return AppliedUpdate(record, is_state_change=True, is_new_incarnation=True)

    def _confirm(self, record: MemberRecord, update: MemberUpdate) -> AppliedUpdate | None:
        """Record a further source of a suspicion."""
        if not update.state == record.state == SUSPECT:
            return None
        if update.source in record.sources or len(record.sources) >= MAX_SOURCES:
            return None
        record.sources.add(update.source)
        return AppliedUpdate(record, is_state_change=False, is_new_incarnation=False)

    def _change(self, now: float, record: MemberRecord, update: MemberUpdate) -> AppliedUpdate:
        is_new_incarnation = update.incarnation > record.incarnation
        if update.state == ALIVE or is_new_incarnation:
            record.member = update.member
        record.incarnation = update.incarnation
        if update.state != record.state:
            record.since = now
        record.state = update.state
        record.sources = {update.source} if update.state == SUSPECT else set()
        return AppliedUpdate(record, True, is_new_incarnation)

    def reclaim(self, now: float, after: float) -> None:
        """Delete members that died or left more than `after` seconds ago."""
        for name, record in list(self.records.items()):
            if not record.is_present and now - record.since > after:
                del self.records[name]
