"""What is known of each member, and what a rumour changes. Bounded, whatever is said."""

from __future__ import annotations

from typing import NamedTuple

from wheatring.members.messages import ALIVE, DEAD, LEFT, SUSPECT, MemberInfo, MemberUpdate

MAX_MEMBERS = 4000  # members


class MemberRecord:
    __slots__ = ("incarnation", "last_answer", "member", "since", "sources", "state", "suspicion_ends")

    def __init__(self, who: MemberInfo, incarnation: int, state: int, now: float) -> None:
        self.member = who
        self.incarnation = incarnation
        self.state = state
        self.since = now
        self.last_answer = -1e9  # when it last answered this very member
        self.sources: set[str] = set()  # suspect: who says so
        self.suspicion_ends = 0.0  # suspect: until when it may refute

    @property
    def is_present(self) -> bool:
        return self.state in (ALIVE, SUSPECT)

    @property
    def address(self) -> tuple[str, int]:
        return self.member.host, self.member.port

    def as_update(self, source: str = "") -> MemberUpdate:
        return MemberUpdate(self.member, self.incarnation, self.state, source)


class MemberStatus(NamedTuple):
    """A member as the view tells it. `sure`, 0 to 1: how well that is founded. Alive: 1 where it has answered
    this member within a round of probes, 0.5 where that is hearsay. Suspect: the part of its time to refute
    that is gone. Left and dead: 1.
    """

    member: MemberInfo
    state: int
    since: float
    confidence: float


class MemberTable:
    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}
        self.dropped_updates = 0  # rumours of members beyond the bound

    def present_count(self) -> int:
        return sum(row.is_present for row in self.records.values())

    def apply(self, now: float, update: MemberUpdate) -> tuple[MemberRecord, bool, bool] | None:
        """The row that a rumour is about; whether its state is news, or the rumour only confirms a suspicion;
        whether it is of a newer incarnation. None: it says nothing that counts.
        """
        name, state = update.member.name, update.state
        row = self.records.get(name)
        if row is None:
            if state == DEAD or len(self.records) >= MAX_MEMBERS:
                self.dropped_updates += len(self.records) >= MAX_MEMBERS
                return None  # of somebody never heard of: nothing to mourn
            row = self.records[name] = MemberRecord(update.member, update.incarnation, state, now)
            if state == SUSPECT:
                row.sources.add(update.source)
            return row, True, True
        if update.incarnation < row.incarnation:
            return None
        newer = update.incarnation > row.incarnation
        if not newer and state <= row.state:
            if state == row.state == SUSPECT and update.source not in row.sources and len(row.sources) < 8:
                row.sources.add(update.source)
                return row, False, False
            return None
        if not newer and row.state in (DEAD, LEFT):
            return None
        if state == ALIVE or newer:
            row.member = update.member
        row.incarnation = update.incarnation
        if state != row.state:
            row.since = now
        row.state = state
        row.sources = {update.source} if state == SUSPECT else set()
        return row, True, newer

    def reclaim(self, now: float, after: float) -> None:
        for name in [n for n, row in self.records.items() if not row.is_present and now - row.since > after]:
            del self.records[name]
