"""What is known of each member, and what an update changes. Bounded, whatever is received."""

from __future__ import annotations

from typing import NamedTuple

from wheatring.fleet.members.messages import ALIVE, DEAD, LEFT, SUSPECT, MemberInfo, MemberUpdate

MAX_MEMBERS = 4000
MAX_SOURCES = 8  # members noted that suspect one


class MemberRecord:
    """What is known of one other member."""

    __slots__ = ("incarnation", "last_answer", "member", "since", "sources", "state", "suspicion_ends")

    def __init__(self, member: MemberInfo, incarnation: int, state: int, now: float) -> None:
        self.member = member
        self.incarnation = incarnation
        self.state = state
        self.since = now  # of its state
        self.last_answer = -1e9  # when it last answered this very member
        self.sources: set[str] = set()  # suspect: the members that suspect it
        self.suspicion_ends = 0.0  # suspect: until when it may refute

    @property
    def is_present(self) -> bool:
        """Whether it is alive, or at most suspected."""
        return self.state in (ALIVE, SUSPECT)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.member.host, self.member.port

    def as_update(self, source: str = "") -> MemberUpdate:
        """Return the record as an update to pass on."""
        return MemberUpdate(self.member, self.incarnation, self.state, source)


class MemberStatus(NamedTuple):
    """A member's state as operators see it.

    `confidence`, 0 to 1, is how well the state is founded. Alive: 1 where it has answered this member within
    a round of probes, 0.5 where that is hearsay. Suspect: the part of its time to refute that is gone. Left
    and dead: 1.
    """

    member: MemberInfo
    state: int
    since: float
    confidence: float


class AppliedUpdate(NamedTuple):
    """What an update has changed."""

    record: MemberRecord
    is_state_change: bool  # else it only confirms a suspicion
    is_new_incarnation: bool


class MemberTable:
    """The records of all other members, by name."""

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.dropped_updates = 0  # on members beyond the bound

    def present_count(self) -> int:
        """Return how many others are alive or suspected."""
        return sum(record.is_present for record in self.records.values())

    def apply(self, now: float, update: MemberUpdate) -> AppliedUpdate | None:
        """Apply an update; return what it changed, or None: it says nothing that counts."""
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
            # One that was never heard of and is dead need not be known.
            self.dropped_updates += is_full
            return None
        record = MemberRecord(update.member, update.incarnation, update.state, now)
        self.records[update.member.name] = record
        if update.state == SUSPECT:
            record.sources.add(update.source)
        return AppliedUpdate(record, is_state_change=True, is_new_incarnation=True)

    def _confirm(self, record: MemberRecord, update: MemberUpdate) -> AppliedUpdate | None:
        """Note one more member that suspects it."""
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
        """Forget members that have been dead or gone for more than `after` seconds."""
        for name, record in list(self.records.items()):
            if not record.is_present and now - record.since > after:
                del self.records[name]
