"""What is known of each member, and what a rumour changes. Bounded, whatever is said."""

from __future__ import annotations

from typing import NamedTuple

from wheatring.members.words import ALIVE, DEAD, LEFT, SUSPECT, Rumour, Who

MOST = 4000  # members


class Row:
    __slots__ = ("ends", "heard", "incarnation", "since", "sources", "state", "who")

    def __init__(self, who: Who, incarnation: int, state: int, now: float) -> None:
        self.who = who
        self.incarnation = incarnation
        self.state = state
        self.since = now
        self.heard = -1e9  # when it last answered this very member
        self.sources: set[str] = set()  # suspect: who says so
        self.ends = 0.0  # suspect: until when it may refute

    @property
    def here(self) -> bool:
        return self.state in (ALIVE, SUSPECT)

    @property
    def place(self) -> tuple[str, int]:
        return self.who.host, self.who.port

    def rumour(self, source: str = "") -> Rumour:
        return Rumour(self.who, self.incarnation, self.state, source)


class Seen(NamedTuple):
    """A member as the view tells it. `sure`, 0 to 1: how well that is founded. Alive: 1 where it has answered
    this member within a round of probes, 0.5 where that is hearsay. Suspect: the part of its time to refute
    that is gone. Left and dead: 1.
    """

    who: Who
    state: int
    since: float
    sure: float


class Table:
    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.dropped = 0  # rumours of members beyond the bound

    def here(self) -> int:
        return sum(row.here for row in self.rows.values())

    def learn(self, now: float, rumour: Rumour) -> tuple[Row, bool, bool] | None:
        """The row that a rumour is about; whether its state is news, or the rumour only confirms a suspicion;
        whether it is of a newer incarnation. None: it says nothing that counts.
        """
        name, state = rumour.who.name, rumour.state
        row = self.rows.get(name)
        if row is None:
            if state == DEAD or len(self.rows) >= MOST:
                self.dropped += len(self.rows) >= MOST
                return None  # of somebody never heard of: nothing to mourn
            row = self.rows[name] = Row(rumour.who, rumour.incarnation, state, now)
            if state == SUSPECT:
                row.sources.add(rumour.source)
            return row, True, True
        if rumour.incarnation < row.incarnation:
            return None
        newer = rumour.incarnation > row.incarnation
        if not newer and state <= row.state:
            if state == row.state == SUSPECT and rumour.source not in row.sources and len(row.sources) < 8:
                row.sources.add(rumour.source)
                return row, False, False
            return None
        if not newer and row.state in (DEAD, LEFT):
            return None
        if state == ALIVE or newer:
            row.who = rumour.who
        row.incarnation = rumour.incarnation
        if state != row.state:
            row.since = now
        row.state = state
        row.sources = {rumour.source} if state == SUSPECT else set()
        return row, True, newer

    def forget(self, now: float, after: float) -> None:
        for name in [n for n, row in self.rows.items() if not row.here and now - row.since > after]:
            del self.rows[name]
