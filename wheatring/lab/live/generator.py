"""Generates load: open, or closed.

Open: requests at planned instants, whatever becomes of those before. Closed: so many connections, each of
which sends again once answered. Latency counts from the instant at which a request was meant to be sent:
where it waited for a connection, or the generator was late itself, that is in it. The generator's own
lateness is measured as well, and where it was the limit the result says so.
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
    """One request, meant to be sent at `intended`; instants are monotonic seconds."""

    __slots__ = ("data", "deadline", "intended", "is_over", "resent", "row")

    def __init__(self, intended: float, deadline: float, row: Tally, data: bytes) -> None:
        self.intended = intended
        self.deadline = deadline
        self.row = row
        self.data = data
        self.is_over = False
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
        self.in_flight = 0  # requests that are not over
        self.closing = False  # nothing new is asked
        self.reported = False
        self.idle: list[ClientConnection] = []
        self.connections: dict[
            ClientConnection, float
        ] = {}  # all of them, and when a connect under way is given up
        self.dialling = 0
        self.waiting: deque[ScheduledRequest] = deque()  # for a connection
        self.due: deque[ScheduledRequest] = deque()  # in the order of their deadlines
        self.watch = watch.Watch(0.0)
        self.start = time.monotonic()
        self.measured_from = self.start + load.warm
        self.end = self.measured_from + load.length
        reactor.callLater(load.warm, self.start_measuring)
        reactor.callLater(load.warm + load.length, self.ended_asking)
        self.sweep()
        if load.mode == "open":
            self.tick()
        else:
            for _ in range(load.connections):
                self.ask_next()

    def head(self, ask: Ask) -> bytes:
        """Make a request with three holes: time left, id, and the idempotency key's or none."""
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
        """Send what is due of an open load."""
        planned, start = self.planned, self.start
        now = time.monotonic()
        while self.next < len(planned) and start + planned[self.next] <= now:
            self.send(start + planned[self.next], now)
            self.next += 1
            now = time.monotonic()
        if self.next < len(planned):
            wait = start + planned[self.next] - now
            self.reactor.callLater(0 if wait < SPIN_SECONDS else wait - SPIN_SECONDS, self.tick)

    def ask_next(self) -> None:
        """Send the next request of a closed load, as a connection is free."""
        now = time.monotonic()
        if now < self.end:
            self.send(now, now)

    def send(self, intended: float, now: float) -> None:
        """Make a request and send it, or queue it for a connection."""
        load = self.load
        since = intended - self.measured_from
        row = self.warmed if since < 0 else self.rows[min(int(since), len(self.rows) - 1)]
        row.asked += 1
        row.late.append(now - intended)
        self.made += 1
        which = 0 if len(self.heads) == 1 else bisect(self.shares, self.random.random() * self.shares[-1])
        name = b"%s%08x" % (self.names, self.made)
        deadline = intended + load.patience
        data = self.heads[which] % (max(1, int((deadline - now) * 1000)), name, name)
        request = ScheduledRequest(intended, deadline, row, data)
        self.in_flight += 1
        self.due.append(request)
        self.place(request)

    def place(self, request: ScheduledRequest) -> None:
        """Send a request on an idle connection, or queue it."""
        if self.idle:
            self.write(self.idle.pop(), request)
            return
        self.waiting.append(request)
        self.dial()

    def dial(self) -> None:
        """Open a connection for each request that waits for none being opened, within the limit."""
        while self.dialling < len(self.waiting) and len(self.connections) < self.load.connections:
            self.dialling += 1
            self.connect()

    def connect(self) -> ClientConnection:
        """Open one connection."""
        connection = ClientConnection(self.reactor, self, (self.load.host, self.load.port), self.known_heads)
        self.connections[connection] = time.monotonic() + self.load.patience
        return connection

    def write(self, connection: ClientConnection, request: ScheduledRequest) -> None:
        """Write a request on a connection."""
        connection.request = request
        connection.ask(request.data)

    def free(self, connection: ClientConnection) -> None:
        """Use a connection for the next request that waits, or keep it idle."""
        waiting = self.waiting
        while waiting:
            request = waiting.popleft()
            if not request.is_over:
                self.write(connection, request)
                return
        self.idle.append(connection)

    # What lines tell

    def up(self, connection: ClientConnection) -> None:
        """Use a connection that is established."""
        if connection.first is None:
            self.dialling -= 1
            self.free(connection)
        elif connection.first.is_over:
            self.free(connection)
        else:
            self.write(connection, connection.first)

    def answered(self, connection: ClientConnection, status: bytes) -> None:
        """Count an answer, and use its connection again."""
        request: ScheduledRequest = connection.request
        connection.request = None
        if connection.alive:
            self.free(connection)
        now = time.monotonic()
        counts = request.row.counts
        if status == b"200":
            counts.served += 1
            request.row.latencies.append(now - request.intended)
            if self.measured_from <= now < self.end:
                self.done_in_time += 1
        elif status == b"503" or status == b"429":
            counts.refused += 1
        else:
            counts.failed += 1
        self.end_request(request)

    def ended(self, connection: ClientConnection) -> None:
        """Count what a connection that ended carried, or send it once more."""
        del self.connections[connection]
        request, connection.request = connection.request, None
        if not connection.up_once:
            if connection.first is None:
                self.dialling -= 1
            request = connection.first or self.first_waiting()
            if request is not None and not request.is_over:
                request.row.counts.unreached += 1
                self.end_request(request, RETRY_SECONDS)
        elif request is None:
            if connection in self.idle:
                self.idle.remove(connection)
        elif connection.carried and not request.resent and not connection.reader.has_partial_message:
            # It was kept, and its end crossed this request, which the server had not read: once more, on a
            # connection that is not about to be ended in the same way.
            request.resent = True
            self.resent += 1
            self.connect().first = request
        else:
            request.row.counts.lost += 1
            self.end_request(request, RETRY_SECONDS)
        self.dial()

    def first_waiting(self) -> ScheduledRequest | None:
        """Take the first request that waits and isn't over."""
        while self.waiting:
            request = self.waiting.popleft()
            if not request.is_over:
                return request
        return None

    def end_request(self, request: ScheduledRequest, delay: float = 0.0) -> None:
        """End a request; of a closed load, send the next after `delay` seconds."""
        request.is_over = True
        self.in_flight -= 1
        if self.closing:
            self.finish()
        elif self.load.mode == "closed":
            if delay:
                self.reactor.callLater(delay, self.ask_next)
            else:
                self.ask_next()

    # Time

    def sweep(self) -> None:
        """Give up what is overdue, each at its own deadline."""
        now = time.monotonic()
        due = self.due
        while due and (due[0].is_over or due[0].deadline <= now):
            request = due.popleft()
            if not request.is_over:
                self.give_up(request)
        for connection, by in list(self.connections.items()):
            if connection in self.connections and not connection.up_once and by <= now:
                connection.close()
                self.ended(connection)
        if not self.reported:
            until = due[0].deadline if due else now + self.load.patience
            self.reactor.callLater(max(0.0, min(until, now + 1.0) - now), self.sweep)

    def give_up(self, request: ScheduledRequest) -> None:
        """Give up one request, with the connection that carries it."""
        self.timed_out += 1
        connection = next(
            (connection for connection in self.connections if connection.request is request), None
        )
        if connection is None:
            request.row.counts.unreached += 1
        else:
            request.row.counts.lost += 1
            connection.request = None
            connection.close()
            del self.connections[connection]
        self.end_request(request)
        if connection is not None:
            self.dial()

    def start_measuring(self) -> None:
        """Begin to measure, as the warm-up is over."""
        now = time.monotonic()
        self.watch = watch.Watch(now)
        self.watch.add_all(self.load.watch, now)
        self.cpu = time.process_time()
        self.busy = {core: watch.core_busy_seconds(core) for core in self.load.cores}
        self.since = now
        self.second(0)

    def second(self, number: int) -> None:
        """Take the samples at the end of each second that counts."""
        if number:
            now = time.monotonic()
            self.rows[number - 1].connections = len(self.connections)
            self.watch.sample(now)
        if number + 1 < len(self.rows):
            at = self.measured_from + number + 1
            self.reactor.callLater(max(0.0, at - time.monotonic()), self.second, number + 1)

    def ended_asking(self) -> None:
        """Stop sending, and wait for what is still open."""
        now = time.monotonic()
        if self.next < len(self.planned):  # planned for an instant that has come, and not sent yet
            self.tick()
        self.rows[-1].connections = len(self.connections)
        self.watch.sample(now)
        self.cpu_share = (time.process_time() - self.cpu) / (now - self.since)
        self.busy = {core: watch.core_busy_seconds(core) - before for core, before in self.busy.items()}
        self.closing = True
        self.finish()

    def finish(self) -> None:
        """Report, once nothing is open."""
        if self.in_flight == 0 and self.next == len(self.planned) and not self.reported:
            self.reported = True
            for connection in self.connections:
                connection.close()
            self.connections.clear()
            self.report(self.result())

    def result(self) -> Result:
        """Sum up the result."""
        result = tally.summarize(self.load, self.rows, self.cpu_share)
        result.warmed = self.warmed.asked
        result.timed_out, result.resent = self.timed_out, self.resent
        result.per_s = self.done_in_time / self.load.length
        result.watched = list(self.watch.watched.values())
        result.cores_busy = self.busy
        return result
