"""The load generator. Open: requests at planned instants, whatever becomes of those before. Closed: as many
connections as told, each of which asks again once answered.

Latency counts from the instant at which a request was meant to be sent: where it had to wait for a
connection, or the generator was late itself, that is in it. The generator's own lateness is kept as well,
and where it was the limit the result says so.
"""

from __future__ import annotations

import time
from bisect import bisect
from collections import deque
from collections.abc import Callable
from itertools import accumulate
from random import Random
from typing import Any

from wheatring.lab.live import tally, watch
from wheatring.lab.live.client_connection import ClientConnection
from wheatring.lab.live.load import Ask, Load, Result, arrivals
from wheatring.lab.live.tally import Tally

SPIN_SECONDS = (
    0.003  # so long before an instant it stops sleeping: the reactor's timers are a millisecond or two late
)
RETRY_SECONDS = 0.05  # seconds after which a closed connection that could not be made is tried again


class ScheduledRequest:
    """One request."""

    __slots__ = ("data", "deadline", "intended", "over", "resent", "row")

    def __init__(self, intended: float, deadline: float, row: Tally, data: bytes) -> None:
        self.intended = intended
        self.deadline = deadline
        self.row = row
        self.data = data
        self.over = False
        self.resent = False


class Generator:
    """Plays one load and reports once."""

    def __init__(self, reactor: Any, load: Load, report: Callable[[Result], None]) -> None:
        self.reactor = reactor
        self.load = load
        self.report = report
        random = Random(f"{load.seed}:arrivals")
        self.planned = arrivals(load, random) if load.mode == "open" else []
        self.next = 0
        self.random = Random(f"{load.seed}:requests")
        self.shares = list(accumulate(ask.share for ask in load.asks))
        self.heads = [self.head(ask) for ask in load.asks]
        self.names = f"{Random(f'{load.seed}:names').getrandbits(32):08x}".encode()
        self.made = 0
        self.known_heads: dict[bytes, Any] = {}
        self.warmed = Tally()
        self.rows = [Tally() for _ in range(max(1, -int(-load.length // 1)))]
        self.done_in_time = 0
        self.timed_out = self.resent = 0
        self.out = 0  # requests that are not over
        self.closing = False  # nothing new is asked
        self.reported = False
        self.idle: list[ClientConnection] = []
        self.lines: dict[
            ClientConnection, float
        ] = {}  # all of them, and when a connect under way is given up
        self.dialling = 0
        self.waiting: deque[ScheduledRequest] = deque()  # for a connection
        self.due: deque[ScheduledRequest] = deque()  # in the order of their deadlines
        self.watch = watch.Watch(0.0)
        self.start = time.monotonic()
        self.begin = self.start + load.warm
        self.end = self.begin + load.length
        reactor.callLater(load.warm, self.begun)
        reactor.callLater(load.warm + load.length, self.ended_asking)
        self.sweep()
        if load.mode == "open":
            self.tick()
        else:
            for _ in range(load.connections):
                self.ask_next()

    def head(self, ask: Ask) -> bytes:
        """A request with three holes: time left, id, and the key's or none."""
        path = (ask.path or f"/{ask.name}").replace("%", "%%")
        more = "Idempotency-Key: k%s\r\n" if ask.keyed else "%.0s"
        if ask.body or ask.method != "GET":
            more += f"Content-Length: {ask.body}\r\n"
        text = (
            f"{ask.method} {path} HTTP/1.1\r\nHost: {self.load.host}\r\nX-Service-Class: {ask.name}\r\n"
            f"X-Time-Left-Ms: %d\r\nX-Correlation-Id: %s\r\n{more}\r\n"
        )
        return text.encode() + b"x" * ask.body

    # Asking

    def tick(self) -> None:
        planned, start = self.planned, self.start
        now = time.monotonic()
        while self.next < len(planned) and start + planned[self.next] <= now:
            self.shoot(start + planned[self.next], now)
            self.next += 1
            now = time.monotonic()
        if self.next < len(planned):
            wait = start + planned[self.next] - now
            self.reactor.callLater(0 if wait < SPIN_SECONDS else wait - SPIN_SECONDS, self.tick)

    def ask_next(self) -> None:
        """Closed: one of the connections is free to ask."""
        now = time.monotonic()
        if now < self.end:
            self.shoot(now, now)

    def shoot(self, intended: float, now: float) -> None:
        load = self.load
        since = intended - self.begin
        row = self.warmed if since < 0 else self.rows[min(int(since), len(self.rows) - 1)]
        row.asked += 1
        row.late.append(now - intended)
        self.made += 1
        which = 0 if len(self.heads) == 1 else bisect(self.shares, self.random.random() * self.shares[-1])
        name = b"%s%08x" % (self.names, self.made)
        deadline = intended + load.patience
        data = self.heads[which] % (max(1, int((deadline - now) * 1000)), name, name)
        shot = ScheduledRequest(intended, deadline, row, data)
        self.out += 1
        self.due.append(shot)
        self.place(shot)

    def place(self, shot: ScheduledRequest) -> None:
        if self.idle:
            self.write(self.idle.pop(), shot)
            return
        self.waiting.append(shot)
        self.dial()

    def dial(self) -> None:
        """Whoever waits and is dialled for by nobody gets a connection, while there are places."""
        while self.dialling < len(self.waiting) and len(self.lines) < self.load.connections:
            self.dialling += 1
            self.line()

    def line(self) -> ClientConnection:
        line = ClientConnection(self.reactor, self, (self.load.host, self.load.port), self.known_heads)
        self.lines[line] = time.monotonic() + self.load.patience
        return line

    def write(self, line: ClientConnection, shot: ScheduledRequest) -> None:
        line.shot = shot
        line.ask(shot.data)

    def free(self, line: ClientConnection) -> None:
        waiting = self.waiting
        while waiting:
            shot = waiting.popleft()
            if not shot.over:
                self.write(line, shot)
                return
        self.idle.append(line)

    # What lines tell

    def up(self, line: ClientConnection) -> None:
        if line.first is None:
            self.dialling -= 1
            self.free(line)
        elif line.first.over:
            self.free(line)
        else:
            self.write(line, line.first)

    def answered(self, line: ClientConnection, status: bytes) -> None:
        shot: ScheduledRequest = line.shot
        line.shot = None
        if line.alive:
            self.free(line)
        now = time.monotonic()
        counts = shot.row.counts
        if status == b"200":
            counts.served += 1
            shot.row.latencies.append(now - shot.intended)
            if self.begin <= now < self.end:
                self.done_in_time += 1
        elif status == b"503" or status == b"429":
            counts.refused += 1
        else:
            counts.failed += 1
        self.over(shot)

    def ended(self, line: ClientConnection) -> None:
        del self.lines[line]
        shot, line.shot = line.shot, None
        if not line.up_once:
            if line.first is None:
                self.dialling -= 1
            shot = line.first or self.first_waiting()
            if shot is not None and not shot.over:
                shot.row.counts.unreached += 1
                self.over(shot, RETRY_SECONDS)
        elif shot is None:
            if line in self.idle:
                self.idle.remove(line)
        elif line.carried and not shot.resent and not line.reader.has_partial_message:
            # It was kept, and its end crossed this request, which the server had not read: once more, on a
            # connection that is not about to be ended in the same way.
            shot.resent = True
            self.resent += 1
            self.line().first = shot
        else:
            shot.row.counts.lost += 1
            self.over(shot, RETRY_SECONDS)
        self.dial()

    def first_waiting(self) -> ScheduledRequest | None:
        while self.waiting:
            shot = self.waiting.popleft()
            if not shot.over:
                return shot
        return None

    def over(self, shot: ScheduledRequest, again: float = 0.0) -> None:
        shot.over = True
        self.out -= 1
        if self.closing:
            self.finish()
        elif self.load.mode == "closed":
            if again:
                self.reactor.callLater(again, self.ask_next)
            else:
                self.ask_next()

    # Time

    def sweep(self) -> None:
        """Give up what is overdue, each at its own deadline."""
        now = time.monotonic()
        due = self.due
        while due and (due[0].over or due[0].deadline <= now):
            shot = due.popleft()
            if not shot.over:
                self.give_up(shot)
        for line, by in list(self.lines.items()):
            if line in self.lines and not line.up_once and by <= now:
                line.close()
                self.ended(line)
        if not self.reported:
            until = due[0].deadline if due else now + self.load.patience
            self.reactor.callLater(max(0.0, min(until, now + 1.0) - now), self.sweep)

    def give_up(self, shot: ScheduledRequest) -> None:
        self.timed_out += 1
        line = next((line for line in self.lines if line.shot is shot), None)
        if line is None:
            shot.row.counts.unreached += 1
        else:
            shot.row.counts.lost += 1
            line.shot = None
            line.close()
            del self.lines[line]
        self.over(shot)
        if line is not None:
            self.dial()

    def begun(self) -> None:
        now = time.monotonic()
        self.watch = watch.Watch(now)
        self.watch.add_all(self.load.watch, now)
        self.cpu = time.process_time()
        self.busy = {core: watch.core_busy(core) for core in self.load.cores}
        self.since = now
        self.second(0)

    def second(self, number: int) -> None:
        """The end of each second that counts."""
        if number:
            now = time.monotonic()
            self.rows[number - 1].connections = len(self.lines)
            self.watch.sample(now)
        if number + 1 < len(self.rows):
            at = self.begin + number + 1
            self.reactor.callLater(max(0.0, at - time.monotonic()), self.second, number + 1)

    def ended_asking(self) -> None:
        now = time.monotonic()
        if self.next < len(self.planned):  # planned for an instant that has come, and not sent yet
            self.tick()
        self.rows[-1].connections = len(self.lines)
        self.watch.sample(now)
        self.cpu_share = (time.process_time() - self.cpu) / (now - self.since)
        self.busy = {core: watch.core_busy(core) - before for core, before in self.busy.items()}
        self.closing = True
        self.finish()

    def finish(self) -> None:
        if self.out == 0 and self.next == len(self.planned) and not self.reported:
            self.reported = True
            for line in self.lines:
                line.close()
            self.lines.clear()
            self.report(self.result())

    def result(self) -> Result:
        result = tally.summed(self.load, self.rows, self.cpu_share)
        result.warmed = self.warmed.asked
        result.timed_out, result.resent = self.timed_out, self.resent
        result.per_s = self.done_in_time / self.load.length
        result.watched = list(self.watch.watched.values())
        result.cores_busy = self.busy
        return result
