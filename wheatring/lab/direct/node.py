"""One node's end of the connections of the exchange grain: what it accepts, resets and closes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from wheatring.lab.book import Book
from wheatring.lab.direct.links import Links
from wheatring.lab.models.visit import Visit
from wheatring.lab.plan import TierPlan
from wheatring.lab.timers import PlayedTime

if TYPE_CHECKING:
    from wheatring.lab.direct.connection_pool import DirectConnection


class Troubles(Protocol):
    """What is needed of what is wrong with a machine."""

    refusing: bool
    connect_delay: float


class Machine(Protocol):
    """What is needed of a node's model. It makes its replies by `visit.reply`, also from within `visit`, and
    tells the book of all that becomes of a visit but that it arrived and that it was turned away.
    """

    name: str
    running: bool

    @property
    def troubles(self) -> Troubles: ...

    def connect(self) -> float | None: ...

    def disconnect(self) -> None: ...

    def visit(self, visit: Visit) -> None: ...

    def abandoned(self, visit: Visit) -> None: ...


class DirectNode:
    """Attaches one machine. `down` is to be called once its process has ended, and when its host is back."""

    def __init__(
        self, machine: Machine, host: str, tier: TierPlan, time: PlayedTime, links: Links, book: Book
    ) -> None:
        self.machine = machine
        self.name = machine.name
        self.host = host
        self.time = time
        self.links = links
        self.book = book
        self.round_trips = tier.handshake_rtts
        self.idle = tier.conn_idle
        self.lines: dict[DirectConnection, None] = {}  # accepted, in the order in which they came

    # Connects

    def knock(self, line: DirectConnection) -> None:
        """A connect has arrived."""
        late = self.machine.troubles.connect_delay
        if late > 0 and self.machine.running:
            self.time.at(self.time.instant + late, self.accept, line)
        else:
            self.accept(line)

    def accept(self, line: DirectConnection) -> None:
        machine = self.machine
        if not machine.running or machine.troubles.refusing:
            line.back.send(0.0, line.refused)
            return
        wait = machine.connect()
        if wait is None:  # its table is full: the connect gets no answer
            return
        now = self.time.instant
        there = line.pool.host
        there_and_back = self.links.delay(there, self.host) + self.links.delay(self.host, there)
        line.handshake = wait + self.round_trips * there_and_back
        line.node_idle = now
        self.lines[line] = None
        self.time.at(now + self.idle, self.look, line)
        line.reply_arrival = line.back.send(0.0, line.accepted)

    # Requests

    def request(self, line: DirectConnection, visit: Visit) -> None:
        """The last byte of a request has arrived. On a connection that is closed here, it finds nobody."""
        if line not in self.lines:
            return
        line.visit = visit
        sent, visit.since = visit.since, self.time.instant
        self.book.arrived(visit.sidecar, self.name, visit.ident, sent)
        if line.handshake > 0:
            self.time.at(visit.since + line.handshake, self.begin, line, visit)
            line.handshake = 0.0
        else:
            line.begun = True
            self.machine.visit(visit)

    def begin(self, line: DirectConnection, visit: Visit) -> None:
        """The handshake is over."""
        if line.visit is visit:
            line.begun = True
            self.machine.visit(visit)

    # Ends

    def drop(self, line: DirectConnection) -> None:
        """Its end of a connection is gone, for whatever reason."""
        if line not in self.lines:
            return
        del self.lines[line]
        visit, line.visit = line.visit, None
        if visit is not None:
            if line.begun:
                self.machine.abandoned(visit)
            else:
                visit.gone = True
                self.book.ended(self.name, visit.ident)
        self.machine.disconnect()

    def close(self, line: DirectConnection) -> None:
        """End a connection from here."""
        self.drop(line)
        line.back.send(line.reply_arrival, line.ended)

    def down(self) -> None:
        """All connections are reset."""
        for line in list(self.lines):
            self.close(line)

    def look(self, line: DirectConnection) -> None:
        """Close a connection that has stood idle for too long."""
        if line not in self.lines:
            return
        now = self.time.instant
        due = now + self.idle if line.visit is not None else line.node_idle + self.idle
        if due <= now:
            self.close(line)
        else:
            self.time.at(due, self.look, line)
