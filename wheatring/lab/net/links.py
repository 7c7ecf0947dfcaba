"""Links between two hosts, and streams: one direction of one TCP connection."""

from __future__ import annotations

from collections import deque
from errno import EWOULDBLOCK
from math import inf, log
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from wheatring.lab.net.time import VirtualTime

RETRANSMIT_SECONDS = 0.2  # initial retransmission time-out, doubled with each retransmission
MAX_RETRANSMIT_SECONDS = 120.0


def retransmit_instant(lost_at: float, healed_at: float) -> float:
    """Return when data lost at `lost_at` is first retransmitted after the link has healed, at `healed_at`."""
    wait = RETRANSMIT_SECONDS
    instant = lost_at + wait
    while instant < healed_at:
        wait = min(2 * wait, MAX_RETRANSMIT_SECONDS)
        instant += wait
    return instant


class Link:
    """The link from one host to another, in one direction.

    A delay is a minimum plus an exponentially distributed part, with the mean and the coefficient of
    variation given. As on a real network, no packet is much faster than the mean, but some are much slower.
    """

    __slots__ = (
        "_floor",
        "_random",
        "_spread",
        "factor",
        "jitter",
        "mean",
        "partitioned",
        "source",
        "stalled_streams",
        "target",
    )

    def __init__(self, source: str, target: str, mean: float, jitter: float, random: Random) -> None:
        self.source = source
        self.target = target
        self.mean = mean
        self.jitter = jitter
        self._random = random.random
        self.partitioned = False  # all packets are lost
        self.stalled_streams: list[Stream[Any]] = []  # streams to resume when the link heals
        self.set_delay_factor(1.0)

    def set_delay_factor(self, factor: float) -> None:
        """Multiply the planned delays by `factor`."""
        self.factor = factor
        self._floor = self.mean * factor * (1 - self.jitter)
        self._spread = self.mean * factor * self.jitter

    def delay(self) -> float:
        """Draw the delay of one packet, in seconds."""
        return self._floor - self._spread * log(1.0 - self._random())

    def resume(self) -> None:
        """Resume the streams that have held data or credits while packets were lost."""
        stalled_streams, self.stalled_streams = self.stalled_streams, []
        for stream in stalled_streams:
            stream.resume()


# Control packets of a stream.
OPEN = 1  # the final ACK of the handshake
FIN = 2
RST = 3


class TimedProcess(Protocol):
    """The process that owns an end of a connection, as far as a stream uses it."""

    time: VirtualTime


class StreamEnd(Protocol):
    """An end of a connection, as far as a stream uses it; see `sockets.Socket`."""

    watcher: Any
    closed: bool
    is_read_shut: bool
    chunks: deque[tuple[bytes, float]]
    outgoing: Any  # the stream that this end sends

    @property
    def process(self) -> TimedProcess:
        """The process that owns this end."""

    def wake(self) -> None:
        """Notify the watcher that the state has changed."""

    def receive_control(self, what: object) -> None:
        """Handle a control packet."""

    def reset_by_late_bytes(self) -> None:
        """Answer bytes that arrive after this end has shut down reading with a reset."""

    def handle_timeout(self) -> None:
        """Fail the connection with a time-out."""

    def end_handshake(self) -> None:
        """Remove the connection from the count of handshakes under way, whatever the outcome."""


EndT = TypeVar("EndT", bound=StreamEnd)


class Stream(Generic[EndT]):
    """One direction of one connection.

    `used` is the number of bytes of the window that are in flight, unread, or read but not yet reported to
    the sender.
    """

    __slots__ = (
        "_armed", "_credits", "_held", "_held_since", "_last_arrival", "_unreported", "_unreported_since",
        "_wakeup_wanted", "backward_link", "flight", "give_up_seconds", "link", "over", "read", "segment",
        "source", "target", "time", "used", "window",
    )  # fmt: skip

    def __init__(
        self,
        ends: tuple[EndT, EndT],
        link: Link,
        backward_link: Link,
        window: int,
        segment: int,
        give_up_seconds: float,
    ) -> None:
        self.time: VirtualTime = ends[0].process.time
        self.link = link
        self.backward_link = backward_link
        self.source, self.target = ends
        self.window = window
        self.segment = segment
        self.give_up_seconds = give_up_seconds  # the sender stops retransmitting after this time
        self.used = 0
        self.read = 0  # total bytes that the receiver has read
        self.flight: deque[tuple[bytes | int, float]] = deque()
        self.over = False  # a reset has been sent; nothing is sent after it
        self._last_arrival = 0.0  # packets arrive in order: none before this instant
        self._credits: deque[tuple[float, int]] = deque()  # instant of each window update and its bytes
        self._held: list[tuple[bytes | int, float]] = []  # sent while the link loses packets
        self._held_since = 0.0
        self._unreported = 0  # bytes read whose window update is lost so far
        self._unreported_since = 0.0
        self._wakeup_wanted = False  # the sender waits until it can write
        self._armed = False  # a check of whether it can is scheduled

    # Sender

    def free_window(self) -> int:
        """Return the number of bytes that can be sent now."""
        credits, now = self._credits, self.time.instant
        while credits and credits[0][0] <= now:
            self.used -= credits.popleft()[1]
        return self.window - self.used

    def writable(self) -> bool:
        """Return whether a third of the window is free, the criterion of the Linux kernel."""
        return self.used * 3 <= self.window * 2 or self.free_window() * 3 >= self.window

    def send(self, data: bytes) -> int:
        """Send as many bytes as the window has room for, and return how many."""
        size = len(data)
        if size > self.window - self.used and size > self.free_window():
            size = self.window - self.used
            if size <= 0:
                raise BlockingIOError(EWOULDBLOCK, "the window is full")
            data = data[:size]
        self.used += size
        if size <= self.segment:
            self.transmit(data)
        else:
            for start in range(0, size, self.segment):
                self.transmit(data[start : start + self.segment])
        return size

    def transmit(self, item: bytes | int) -> None:
        """Transmit bytes or a control packet; while the link loses packets, hold them."""
        time = self.time
        now = time.instant
        if self.over:
            return
        if self.link.partitioned:
            self._hold(item, now)
            return
        arrival = now + self.link.delay()
        if arrival < self._last_arrival:
            arrival = self._last_arrival
        self._last_arrival = arrival
        self.flight.append((item, now))
        time.post(arrival, self.deliver)

    def reset(self) -> None:
        """Reset the connection: data in flight still arrives before the reset.

        A lost reset is not retransmitted, but further bytes from the peer cause another one.
        """
        if not self.over:
            self.discard_held()
            if not self.link.partitioned:
                self.transmit(RST)
                self.over = True

    def request_wakeup(self) -> None:
        """Wake the sender when it can write again."""
        self._wakeup_wanted = True
        self._arm_wakeup()

    def _arm_wakeup(self) -> None:
        if self._credits and not self._armed:
            self._armed = True
            self.time.post(self._credits[0][0], self._wake_if_writable)

    def _wake_if_writable(self) -> None:
        self._armed = False
        if self._wakeup_wanted:
            if self.writable():
                self._wakeup_wanted = False
                self.source.wake()
            else:
                self._arm_wakeup()

    # Receiver

    def deliver(self) -> None:
        """Deliver the oldest item in flight."""
        item, sent = self.flight.popleft()
        target = self.target
        if type(item) is not bytes:
            target.receive_control(item)
        elif not target.is_read_shut:
            target.chunks.append((item, sent))
            watcher = target.watcher
            if watcher is not None and watcher.reading and not watcher.queued:
                watcher.reactor.serve(watcher)
        elif target.closed:
            target.outgoing.reset()
        else:
            target.reset_by_late_bytes()

    def report_read(self, size: int) -> None:
        """Count bytes that the receiver has read, and send the window update."""
        self.read += size
        now = self.time.instant
        if self.backward_link.partitioned:
            if not self._unreported:
                self._unreported_since = now
                self.backward_link.stalled_streams.append(self)
            self._unreported += size
            return
        self._add_credit(now + self.backward_link.mean * self.backward_link.factor, size)

    def _add_credit(self, instant: float, size: int) -> None:
        credits = self._credits
        if credits and credits[-1][0] > instant:
            instant = credits[-1][0]
        credits.append((instant, size))
        if self._wakeup_wanted:
            self._arm_wakeup()

    # While the link loses packets

    def _hold(self, item: bytes | int, now: float) -> None:
        if not self._held:
            self._held_since = now
            self.link.stalled_streams.append(self)
            if self.give_up_seconds != inf:
                self.time.at(now + self.give_up_seconds, self._time_out, now)
        self._held.append((item, now))

    def resume(self) -> None:
        """Send what was held until the link healed, at the instant of TCP's next retransmission."""
        now = self.time.instant
        if self._held and not self.link.partitioned:
            arrival = retransmit_instant(self._held_since, now) + self.link.delay()
            self._last_arrival = max(self._last_arrival, arrival)
            for held in self._held:
                self.flight.append(held)
                self.time.post(self._last_arrival, self.deliver)
            self._held = []
        if self._unreported and not self.backward_link.partitioned:
            self._add_credit(
                retransmit_instant(self._unreported_since, now) + self.backward_link.mean, self._unreported
            )
            self._unreported = 0

    def _time_out(self, since: float) -> None:
        if self._held and self._held_since == since:
            self.source.handle_timeout()

    def discard_held(self) -> None:
        """Discard what is held until the link heals."""
        if self._held:
            if self._held[0][0] == OPEN:
                self.target.end_handshake()
            self._held.clear()
