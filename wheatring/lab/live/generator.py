"""Generates load with an open or a closed loop.

Open loop: requests are sent at scheduled times, whether or not earlier ones have been answered. Closed loop:
a fixed number of connections, each of which sends the next request after a response. Latency is measured
from the scheduled time, so it includes waiting for a connection and delays of the generator (no coordinated
omission). The generator's own lateness is measured separately, and the result is marked as invalid if the
generator was the bottleneck.
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

# The timer for a request is set this much early and then polled: reactor timers fire 1 to 2 ms late.
SPIN_SECONDS = 0.003
RETRY_SECONDS = 0.05  # delay of a closed-loop client after a failed connection


class ScheduledRequest:
    """One request with its scheduled time `intended`; times are in monotonic seconds."""

    __slots__ = ("data", "deadline", "intended", "is_over", "resent", "row")

    def __init__(self, intended: float, deadline: float, row: Tally, data: bytes) -> None:
        self.intended = intended
        self.deadline = deadline
        self.row = row
        self.data = data
        self.is_over = False
        self.resent = False


class Generator:
    """Plays one load, and reports its result once."""

    def __init__(self, reactor: Any, load: Load, report: Callable[[Result], None]) -> None:
        self.reactor = reactor
        self.load = load
        self.report = report
        random = Random(f"{load.seed}:arrivals")
        self.planned = arrivals(load, random) if load.mode == "open" else []
        self.next = 0
        self.random = Random(f"{load.seed}:requests")
        self.shares = list(accumulate(ask.share for ask in load.asks))
        self.request_templates = [self.request_template(ask) for ask in load.asks]
        self.id_prefix = f"{Random(f'{load.seed}:names').getrandbits(32):08x}".encode()
        self.sent_count = 0
        self.known_heads: dict[bytes, Any] = {}
        self.warmed = Tally()
        self.rows = [Tally() for _ in range(max(1, -int(-load.length // 1)))]
        self.served_in_period = 0
        self.timed_out = self.resent = 0
        self.in_flight = 0  # requests that have not ended
        self.closing = False  # no more requests are sent
        self.reported = False
        self.idle: list[ClientConnection] = []
        # All connections, with the deadline for establishing each.
        self.connections: dict[ClientConnection, float] = {}
        self.dialling = 0
        self.waiting: deque[ScheduledRequest] = deque()  # requests that wait for a connection
        self.due: deque[ScheduledRequest] = deque()  # requests in order of their deadlines
        self.watch = watch.Watch(0.0)
        self.start = time.monotonic()
        self.measured_from = self.start + load.warm
        self.end = self.measured_from + load.length
        reactor.callLater(load.warm, self.start_measuring)
        reactor.callLater(load.warm + load.length, self.stop_sending)
        self.sweep()
        if load.mode == "open":
            self.tick()
        else:
            for _ in range(load.connections):
                self.send_next()

    def request_template(self, ask: Ask) -> bytes:
        """Return a request template with placeholders for the time left, the id and the idempotency key."""
        path = (ask.path or f"/{ask.name}").replace("%", "%%")
        more = "Idempotency-Key: k%s\r\n" if ask.keyed else "%.0s"
        if ask.body or ask.method != "GET":
            more += f"Content-Length: {ask.body}\r\n"
        text = (
            f"{ask.method} {path} HTTP/1.1\r\nHost: {self.load.host}\r\nX-Service-Class: {ask.name}\r\n"
            f"X-Time-Left-Ms: %d\r\nX-Correlation-Id: %s\r\n{more}\r\n"
        )
        return text.encode() + b"x" * ask.body

    # Sending

    def tick(self) -> None:
        """Send the requests of an open-loop load that are due."""
        planned, start = self.planned, self.start
        now = time.monotonic()
        while self.next < len(planned) and start + planned[self.next] <= now:
            self.send(start + planned[self.next], now)
            self.next += 1
            now = time.monotonic()
        if self.next < len(planned):
            wait = start + planned[self.next] - now
            self.reactor.callLater(0 if wait < SPIN_SECONDS else wait - SPIN_SECONDS, self.tick)

    def send_next(self) -> None:
        """Send the next request of a closed-loop load."""
        now = time.monotonic()
        if now < self.end:
            self.send(now, now)

    def send(self, intended: float, now: float) -> None:
        """Create a request, and send it or queue it for a connection."""
        load = self.load
        since = intended - self.measured_from
        row = self.warmed if since < 0 else self.rows[min(int(since), len(self.rows) - 1)]
        row.asked += 1
        row.late.append(now - intended)
        self.sent_count += 1
        template_index = (
            0
            if len(self.request_templates) == 1
            else bisect(self.shares, self.random.random() * self.shares[-1])
        )
        name = b"%s%08x" % (self.id_prefix, self.sent_count)
        deadline = intended + load.patience
        data = self.request_templates[template_index] % (max(1, int((deadline - now) * 1000)), name, name)
        request = ScheduledRequest(intended, deadline, row, data)
        self.in_flight += 1
        self.due.append(request)
        self.send_or_queue(request)

    def send_or_queue(self, request: ScheduledRequest) -> None:
        """Send a request on an idle connection, or queue it."""
        if self.idle:
            self.write(self.idle.pop(), request)
            return
        self.waiting.append(request)
        self.dial()

    def dial(self) -> None:
        """Open connections for waiting requests beyond those being opened, up to the limit."""
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
        connection.send_request(request.data)

    def reuse(self, connection: ClientConnection) -> None:
        """Use a connection for the next waiting request, or keep it idle."""
        waiting = self.waiting
        while waiting:
            request = waiting.popleft()
            if not request.is_over:
                self.write(connection, request)
                return
        self.idle.append(connection)

    # Events of connections

    def on_connected(self, connection: ClientConnection) -> None:
        """Use a connection that has been established."""
        if connection.dedicated_request is None:
            self.dialling -= 1
            self.reuse(connection)
        elif connection.dedicated_request.is_over:
            self.reuse(connection)
        else:
            self.write(connection, connection.dedicated_request)

    def on_response(self, connection: ClientConnection, status: bytes) -> None:
        """Count a response, and reuse its connection."""
        request: ScheduledRequest = connection.request
        connection.request = None
        if connection.alive:
            self.reuse(connection)
        now = time.monotonic()
        counts = request.row.counts
        if status == b"200":
            counts.served += 1
            request.row.latencies.append(now - request.intended)
            if self.measured_from <= now < self.end:
                self.served_in_period += 1
        elif status == b"503" or status == b"429":
            counts.refused += 1
        else:
            counts.failed += 1
        self.end_request(request)

    def on_closed(self, connection: ClientConnection) -> None:
        """Count or resend the request of a connection that has ended."""
        del self.connections[connection]
        request, connection.request = connection.request, None
        if not connection.was_established:
            if connection.dedicated_request is None:
                self.dialling -= 1
            request = connection.dedicated_request or self.first_waiting()
            if request is not None and not request.is_over:
                request.row.counts.unreached += 1
                self.end_request(request, RETRY_SECONDS)
        elif request is None:
            if connection in self.idle:
                self.idle.remove(connection)
        elif connection.response_count and not request.resent and not connection.reader.has_partial_message:
            # The server closed an idle connection before it read this request: resend it once, on a new
            # connection, which can't be closed for the same reason.
            request.resent = True
            self.resent += 1
            self.connect().dedicated_request = request
        else:
            request.row.counts.lost += 1
            self.end_request(request, RETRY_SECONDS)
        self.dial()

    def first_waiting(self) -> ScheduledRequest | None:
        """Remove and return the first waiting request that has not ended, or None."""
        while self.waiting:
            request = self.waiting.popleft()
            if not request.is_over:
                return request
        return None

    def end_request(self, request: ScheduledRequest, delay: float = 0.0) -> None:
        """End a request; with a closed loop, send the next one after `delay` seconds."""
        request.is_over = True
        self.in_flight -= 1
        if self.closing:
            self.finish()
        elif self.load.mode == "closed":
            if delay:
                self.reactor.callLater(delay, self.send_next)
            else:
                self.send_next()

    # Time-outs and measurements

    def sweep(self) -> None:
        """Time out requests and connects that are past their deadlines."""
        now = time.monotonic()
        due = self.due
        while due and (due[0].is_over or due[0].deadline <= now):
            request = due.popleft()
            if not request.is_over:
                self.time_out(request)
        for connection, deadline in list(self.connections.items()):
            if connection in self.connections and not connection.was_established and deadline <= now:
                connection.close()
                self.on_closed(connection)
        if not self.reported:
            until = due[0].deadline if due else now + self.load.patience
            self.reactor.callLater(max(0.0, min(until, now + 1.0) - now), self.sweep)

    def time_out(self, request: ScheduledRequest) -> None:
        """Time out one request, and close the connection that carries it."""
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
        """Start to measure at the end of the warm-up."""
        now = time.monotonic()
        self.watch = watch.Watch(now)
        self.watch.add_all(self.load.watch, now)
        self.cpu = time.process_time()
        self.busy = {core: watch.core_busy_seconds(core) for core in self.load.cores}
        self.since = now
        self.sample_second(0)

    def sample_second(self, number: int) -> None:
        """Take samples at the end of each second of the measured period."""
        if number:
            now = time.monotonic()
            self.rows[number - 1].connections = len(self.connections)
            self.watch.sample(now)
        if number + 1 < len(self.rows):
            at = self.measured_from + number + 1
            self.reactor.callLater(max(0.0, at - time.monotonic()), self.sample_second, number + 1)

    def stop_sending(self) -> None:
        """Stop sending, and wait for the requests in flight."""
        now = time.monotonic()
        if self.next < len(self.planned):  # due by now, but not sent yet
            self.tick()
        self.rows[-1].connections = len(self.connections)
        self.watch.sample(now)
        self.cpu_share = (time.process_time() - self.cpu) / (now - self.since)
        self.busy = {core: watch.core_busy_seconds(core) - before for core, before in self.busy.items()}
        self.closing = True
        self.finish()

    def finish(self) -> None:
        """Report the result once no request is in flight."""
        if self.in_flight == 0 and self.next == len(self.planned) and not self.reported:
            self.reported = True
            for connection in self.connections:
                connection.close()
            self.connections.clear()
            self.report(self.result())

    def result(self) -> Result:
        """Return the result."""
        result = tally.summarize(self.load, self.rows, self.cpu_share)
        result.warmed = self.warmed.asked
        result.timed_out, result.resent = self.timed_out, self.resent
        result.per_s = self.served_in_period / self.load.length
        result.watched = list(self.watch.watched.values())
        result.cores_busy = self.busy
        return result
