"""Callers of sidecars on HTTP/1.1: clients, and nodes that call the next tier through one of their own."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from wheatring.lab.book import Book, Kind
from wheatring.lab.models.way import Asked, Done
from wheatring.lab.timers import Timers
from wheatring.lab.wire.form import Forms
from wheatring.lab.wire.http import Cutter, Malformed, Message

_SECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


class _Asked:
    """One request that is out."""

    __slots__ = (
        "dial", "done", "ident", "index", "key", "line", "over", "pool", "repeat", "resent", "until",
    )  # fmt: skip

    def __init__(
        self, pool: _Pool, ident: str, index: int, until: float, key: str, repeat: bool, done: Done
    ) -> None:
        self.pool = pool
        self.ident = ident
        self.index = index
        self.until = until
        self.key = key
        self.repeat = repeat
        self.done = done
        self.line: _Line | None = None  # it is written on that connection
        self.dial: _Dial | None = None  # a connect is under way for it
        self.resent = False
        self.over = False

    def leave(self) -> None:
        if not self.over:
            self.over = True
            self.pool.leave(self)

    def end(self, kind: Any, retry_after: float = 0.0) -> None:
        if not self.over:
            self.over = True
            self.done(kind, retry_after)


class _Line(protocol.Protocol):
    """One connection to a sidecar, with one request on it at a time. It was made for `first`."""

    transport: Any

    def __init__(self, pool: _Pool, first: _Asked) -> None:
        self.pool = pool
        self.first = first
        self.cutter = Cutter(responses=True)
        self.asked: _Asked | None = None
        self.kept = False  # it had stood idle before the request came on it
        self.got = False  # something of the answer has come
        self.over = False  # this side has ended it
        self.began: float | None = None  # when the answer's first byte left the sidecar, where that is told
        self.written = 0  # bytes
        self.peer_read: Callable[[], int] | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.peer_read = getattr(self.transport, "peer_read", None)
        self.carry(self.first)

    def carry(self, asked: _Asked) -> None:
        pool = self.pool
        now = pool.caller.timers.now()
        left_ms = max(1, int((asked.until - now) * 1000))
        self.asked = asked
        self.got = False
        asked.line = self
        data = pool.caller.forms.write(asked.index, asked.ident, left_ms, asked.key, asked.repeat)
        self.written += len(data)
        self.transport.write(data)
        pool.caller.book.taken(pool.sidecar, asked.ident, asked.index, asked.key, now + left_ms / 1000)

    def dataReceived(self, data: bytes) -> None:
        if self.over:
            return
        if self.asked is None:
            self.pool.caller.book.note("unasked-data", sidecar=self.pool.sidecar, data=data[:64])
            self.end()
            return
        if not self.got:
            self.got = True
            self.began = getattr(self.transport, "sent_at", None)
        try:
            message = self.cutter.feed(data)
            while message is not None and message.status < 200:
                message = self.cutter.next()
        except Malformed as bad:
            self.spoilt(str(bad))
            return
        if message is not None:
            self.answered(message)

    def answered(self, message: Message) -> None:
        asked, pool = self.asked, self.pool
        assert asked is not None
        book = pool.caller.book
        kind: Kind = "failed"
        wait, stamp = 0.0, ""
        if message.status == 200:
            kind = "served"
            stamp = message.body.decode("latin-1")
        elif message.status in (429, 503):
            kind = "refused"
            advice = message.fields.get(b"retry-after")
            if advice is not None:
                if not _SECONDS.fullmatch(advice):
                    self.spoilt("Retry-After")
                    return
                wait = float(advice)
        self.asked = asked.line = None
        book.answered(pool.sidecar, asked.ident, kind, stamp, wait, self.began)
        if self.cutter.started:
            book.note("unasked-data", sidecar=pool.sidecar, data=b"")
            self.end()
        elif not message.keep_alive:
            self.end()
        elif not self.over:
            pool.free(self)
        asked.end(kind, wait)

    def spoilt(self, why: str) -> None:
        """What has come is no answer."""
        asked, self.asked = self.asked, None
        self.end()
        if asked is not None:
            asked.line = None
            self.pool.caller.book.lost(self.pool.sidecar, asked.ident, why)
            asked.end("lost")

    def end(self) -> None:
        """Close it: to a sidecar, its caller has left."""
        if not self.over:
            self.over = True
            self.pool.drop(self)
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        orderly = isinstance(reason.value, ConnectionDone)
        was_over, self.over = self.over, True
        if not was_over:
            self.pool.drop(self)
        asked = self.asked
        if asked is None:
            return
        message = self.cutter.end() if orderly else None
        if message is not None:
            self.answered(message)
            return
        self.asked = asked.line = None
        pool, book = self.pool, self.pool.caller.book
        if self.got or not self.unread():
            why = "closed" if orderly else "reset"
            book.lost(pool.sidecar, asked.ident, f"{why} in mid-answer" if self.got else f"{why} unanswered")
            asked.end("lost")
            return
        book.untaken(pool.sidecar, asked.ident)
        if asked.resent:
            asked.end("unreached")
        else:
            asked.resent = True
            pool.dial(asked)

    def unread(self) -> bool:
        """Whether the sidecar has ended the connection before it read the request. A network that can tell
        does; on another one, that a kept connection ended without a byte has to stand for it.
        """
        if self.peer_read is None:
            return self.kept
        return self.peer_read() < self.written


class _Dial(ClientFactory):
    """One connect under way for one request."""

    noisy = False

    def __init__(self, pool: _Pool, asked: _Asked) -> None:
        self.pool = pool
        self.asked: _Asked | None = asked
        asked.dial = self
        self.connector: Any = None

    def buildProtocol(self, addr: object) -> _Line | None:
        asked, self.asked = self.asked, None
        if asked is None:
            return None
        asked.dial = None
        return _Line(self.pool, asked)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        asked, self.asked = self.asked, None
        if asked is not None:
            asked.dial = None
            self.pool.closed()
            asked.end("unreached")

    def give_up(self) -> None:
        self.asked = None
        self.pool.closed()
        if self.connector is not None:
            self.connector.disconnect()


class _Pool:
    """The connections from one caller's host to one sidecar; the last one used goes out first."""

    def __init__(self, caller: Caller, sidecar: str) -> None:
        self.caller = caller
        self.sidecar = sidecar
        self.idle: list[_Line] = []
        self.open = 0  # connections, and connects under way
        self.waiting: deque[_Asked] = deque()  # for one of them, where there may be no more

    def ask(self, asked: _Asked) -> None:
        if self.idle:
            line = self.idle.pop()
            line.kept = True
            line.carry(asked)
        elif not self.caller.most or self.open < self.caller.most:
            self.dial(asked)
        else:
            self.waiting.append(asked)

    def dial(self, asked: _Asked) -> None:
        caller = self.caller
        host, port = caller.where(self.sidecar)
        self.open += 1
        dial = _Dial(self, asked)
        source = (caller.host, 0) if caller.host else None
        dial.connector = caller.reactor.connectTCP(host, port, dial, timeout=None, bindAddress=source)

    def free(self, line: _Line) -> None:
        """It can carry the next one."""
        if self.waiting:
            line.kept = True
            line.carry(self.waiting.popleft())
        else:
            self.idle.append(line)

    def drop(self, line: _Line) -> None:
        if line in self.idle:
            self.idle.remove(line)
        self.closed()

    def closed(self) -> None:
        """There is room for another connection."""
        self.open -= 1
        if self.waiting and self.open < self.caller.most:
            self.dial(self.waiting.popleft())

    def leave(self, asked: _Asked) -> None:
        line = asked.line
        if line is not None:
            line.asked = asked.line = None
            self.caller.book.left(self.sidecar, asked.ident)
            line.end()
        elif asked.dial is not None:
            dial, asked.dial = asked.dial, None
            dial.give_up()
        elif asked in self.waiting:
            self.waiting.remove(asked)


class Caller:
    """Implements `models.way.Way` for the callers of one process. `where` gives a sidecar's host and port.

    `host` is the address that connections come from, where the reactor would take another; `most` the
    connections open at once to one sidecar, 0 for as many as it takes.
    """

    def __init__(
        self,
        reactor: Any,
        timers: Timers,
        book: Book,
        forms: Forms,
        where: Callable[[str], tuple[str, int]],
        host: str = "",
        most: int = 0,
    ) -> None:
        self.reactor = reactor
        self.timers = timers
        self.book = book
        self.forms = forms
        self.where = where
        self.host = host
        self.most = most
        self.pools: dict[str, _Pool] = {}

    def ask(
        self, sidecar: str, ident: str, index: int, left: float, key: str, repeat: bool, done: Done
    ) -> Asked:
        pool = self.pools.get(sidecar)
        if pool is None:
            pool = self.pools[sidecar] = _Pool(self, sidecar)
        asked = _Asked(pool, ident, index, self.timers.now() + left, key, repeat, done)
        pool.ask(asked)
        return asked

    def close(self) -> None:
        """End the connections that carry nothing."""
        for pool in self.pools.values():
            for line in list(pool.idle):
                line.end()
