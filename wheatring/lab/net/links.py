"""What lies between two hosts: the delay of one direction, and one direction of one connection."""

from __future__ import annotations

from collections import deque
from errno import EWOULDBLOCK
from math import inf, log
from random import Random
from typing import Any, Generic, Protocol, TypeVar

from wheatring.lab.net.time import VirtualTime

RESEND_SECONDS = 0.2  # seconds until what got lost is sent again, doubled each time ...
MAX_RESEND_SECONDS = 120.0  # ... up to this


def resend_instant(first: float, healed: float) -> float:
    """Return when something lost at `first` is sent again with success, on a link that heals at `healed`."""
    wait = RESEND_SECONDS
    instant = first + wait
    while instant < healed:
        wait = min(2 * wait, MAX_RESEND_SECONDS)
        instant += wait
    return instant


class Link:
    """The link from one host to another.

    A delay is a floor and an exponential part above it: the mean and the coefficient of variation are as
    asked for, and as on a real network nothing is much faster, but some is much slower.
    """

    __slots__ = (
        "_floor",
        "_random",
        "_spread",
        "factor",
        "jitter",
        "mean",
        "silent",
        "source",
        "stalled",
        "target",
    )

    def __init__(self, source: str, target: str, mean: float, jitter: float, random: Random) -> None:
        self.source = source
        self.target = target
        self.mean = mean
        self.jitter = jitter
        self._random = random.random
        self.silent = False  # nothing comes through
        self.stalled: list[Stream[Any]] = []  # to go on once something does again
        self.slow(1.0)

    def slow(self, factor: float) -> None:
        """Make the delays `factor` times as long as planned."""
        self.factor = factor
        self._floor = self.mean * factor * (1 - self.jitter)
        self._spread = self.mean * factor * self.jitter

    def delay(self) -> float:
        """Seconds, drawn anew each time."""
        return self._floor - self._spread * log(1.0 - self._random())

    def resume(self) -> None:
        """Let the streams go on that waited for the link to heal."""
        stalled, self.stalled = self.stalled, []
        for stream in stalled:
            stream.resume()


# What passes in one direction beside bytes.
OPEN = 1  # the last part of the handshake
FIN = 2
RST = 3


class TimedProcess(Protocol):
    """The process of an end, which has a clock."""

    time: VirtualTime


class StreamEnd(Protocol):
    """An end of a connection, as far as what carries its bytes uses it; see `sockets.Socket`."""

    watcher: Any
    closed: bool
    is_deaf: bool
    chunks: deque[tuple[bytes, float]]
    out: Any  # the stream that leaves this end

    @property
    def process(self) -> TimedProcess:
        """The process that it is of."""

    def wake(self) -> None:
        """Have whoever waits for this end look at it."""

    def receive_control(self, what: object) -> None:
        """Take a control packet."""

    def reset_by_late_bytes(self) -> None:
        """Answer bytes with a reset that came after this end had said that it reads no more."""

    def timed_out(self) -> None:
        """End the connection by a time-out."""

    def end_handshake(self) -> None:
        """Note that its handshake is over, in whatever way."""


EndT = TypeVar("EndT", bound=StreamEnd)


class Stream(Generic[EndT]):
    """One direction of one connection.

    `used` bytes of its window are in flight, unread, or read without the sender knowing of it yet.
    """

    __slots__ = (
        "_armed", "_credits", "_held", "_held_since", "_last", "_owed", "_owed_since", "_waiting", "back",
        "flight", "give_up", "link", "over", "read", "segment", "source", "target", "time", "used", "window",
    )  # fmt: skip

    def __init__(
        self, ends: tuple[EndT, EndT], link: Link, back: Link, window: int, segment: int, give_up: float
    ) -> None:
        self.time: VirtualTime = ends[0].process.time
        self.link = link
        self.back = back
        self.source, self.target = ends
        self.window = window
        self.segment = segment
        self.give_up = give_up  # seconds that the sender goes on sending again
        self.used = 0
        self.read = 0  # bytes that the receiver has read in all
        self.flight: deque[tuple[bytes | int, float]] = deque()
        self.over = False  # a reset is on the way: nothing more follows
        self._last = 0.0  # no arrival comes before this one
        self._credits: deque[tuple[float, int]] = deque()  # when the sender learns of how many bytes read
        self._held: list[tuple[bytes | int, float]] = []  # sent while nothing comes through
        self._held_since = 0.0
        self._owed = 0  # bytes read while the sender could not be told
        self._owed_since = 0.0
        self._waiting = False  # the sender wants to know when it may write
        self._armed = False

    # The sender's side

    def room(self) -> int:
        """Bytes that can be sent now."""
        credits, now = self._credits, self.time.instant
        while credits and credits[0][0] <= now:
            self.used -= credits.popleft()[1]
        return self.window - self.used

    def writable(self) -> bool:
        """As a kernel has it: a third of the window is free."""
        return self.used * 3 <= self.window * 2 or self.room() * 3 >= self.window

    def send(self, data: bytes) -> int:
        """Take as many bytes as there is room for, and say how many."""
        size = len(data)
        if size > self.window - self.used and size > self.room():
            size = self.window - self.used
            if size <= 0:
                raise BlockingIOError(EWOULDBLOCK, "the window is full")
            data = data[:size]
        self.used += size
        if size <= self.segment:
            self.put(data)
        else:
            for start in range(0, size, self.segment):
                self.put(data[start : start + self.segment])
        return size

    def put(self, item: bytes | int) -> None:
        """Send bytes or a control packet; while the link is silent, hold them."""
        time = self.time
        now = time.instant
        if self.over:
            return
        if self.link.silent:
            self._hold(item, now)
            return
        arrival = now + self.link.delay()
        if arrival < self._last:
            arrival = self._last
        self._last = arrival
        self.flight.append((item, now))
        time.post(arrival, self.arrive)

    def reset(self) -> None:
        """Reset the connection: what is in flight still arrives, and then the reset.

        One that is lost is not sent again, but bytes from the other end bring about another.
        """
        if not self.over:
            self.lose()
            if not self.link.silent:
                self.put(RST)
                self.over = True

    def wait(self) -> None:
        """Wake the sender once there is room."""
        self._waiting = True
        self._arm()

    def _arm(self) -> None:
        if self._credits and not self._armed:
            self._armed = True
            self.time.post(self._credits[0][0], self._opened)

    def _opened(self) -> None:
        self._armed = False
        if self._waiting:
            if self.writable():
                self._waiting = False
                self.source.wake()
            else:
                self._arm()

    # The receiver's side

    def arrive(self) -> None:
        """Deliver what was sent first and has not arrived."""
        item, sent = self.flight.popleft()
        target = self.target
        if type(item) is not bytes:
            target.receive_control(item)
        elif not target.is_deaf:
            target.chunks.append((item, sent))
            watcher = target.watcher
            if watcher is not None and watcher.reading and not watcher.queued:
                watcher.reactor.serve(watcher)
        elif target.closed:
            target.out.reset()
        else:
            target.reset_by_late_bytes()

    def freed(self, size: int) -> None:
        """Note that the receiver has read so many bytes."""
        self.read += size
        now = self.time.instant
        if self.back.silent:
            if not self._owed:
                self._owed_since = now
                self.back.stalled.append(self)
            self._owed += size
            return
        self._credit(now + self.back.mean * self.back.factor, size)

    def _credit(self, instant: float, size: int) -> None:
        credits = self._credits
        if credits and credits[-1][0] > instant:
            instant = credits[-1][0]
        credits.append((instant, size))
        if self._waiting:
            self._arm()

    # While nothing comes through

    def _hold(self, item: bytes | int, now: float) -> None:
        if not self._held:
            self._held_since = now
            self.link.stalled.append(self)
            if self.give_up != inf:
                self.time.at(now + self.give_up, self._tired, now)
        self._held.append((item, now))

    def resume(self) -> None:
        """Send what waited for the link to heal, at the instant at which TCP would next try."""
        now = self.time.instant
        if self._held and not self.link.silent:
            again = resend_instant(self._held_since, now) + self.link.delay()
            self._last = max(self._last, again)
            for held in self._held:
                self.flight.append(held)
                self.time.post(self._last, self.arrive)
            self._held = []
        if self._owed and not self.back.silent:
            self._credit(resend_instant(self._owed_since, now) + self.back.mean, self._owed)
            self._owed = 0

    def _tired(self, since: float) -> None:
        if self._held and self._held_since == since:
            self.source.timed_out()

    def lose(self) -> None:
        """Nothing that waits for the way to heal is sent any more."""
        if self._held:
            if self._held[0][0] == OPEN:
                self.target.end_handshake()
            self._held.clear()
