"""The way into a sidecar without bytes: requests and answers each take a link's delay."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from math import ceil
from typing import TYPE_CHECKING

from wheatring.core.exchange import Answer, AnswerKind, Request
from wheatring.lab.book import Book, Kind
from wheatring.lab.direct.links import Links
from wheatring.lab.models.way import Done
from wheatring.lab.timers import PlayedTime

if TYPE_CHECKING:
    from wheatring.lab.direct.sidecar import DirectSidecar

SERVED, REFUSED = AnswerKind.SERVED, AnswerKind.REFUSED  # looked up once: an enum takes its time


class DirectRequest:
    """One request that is out. It is its job's content, and what the job's answer goes to."""

    __slots__ = (
        "arrival", "back", "deadline", "done", "gone", "ident", "index", "job", "key", "left", "process",
        "repeat", "sidecar", "there", "until", "way",
    )  # fmt: skip

    def __init__(
        self, way: DirectSidecarClient, sidecar: str, ident: str, index: int, until: float, key: str,
        repeat: bool, done: Done,
    ) -> None:  # fmt: skip
        self.way = way
        self.sidecar = sidecar
        self.ident = ident
        self.index = index
        self.until = until
        self.key = key
        self.repeat = repeat
        self.done = done
        self.there, self.back = way.links[sidecar]
        self.gone = False
        self.process: DirectSidecar | None = None  # that has taken it
        self.job: Request | None = None

    def go(self) -> None:
        """It is written."""
        now = self.way.time.instant
        self.left = max(1, int((self.until - now) * 1000)) / 1000  # as the wire states it
        self.deadline = now + self.left
        self.arrival = self.there.send(0.0, self.arrive)

    def arrive(self) -> None:
        if self.gone:
            return
        way = self.way
        process = way.running.get(self.sidecar)
        if process is None or not process.open:
            self.back.send(0.0, self.unreached)
            return
        self.process = process
        way.book.taken(self.sidecar, self.ident, self.index, self.key, self.deadline)
        process.take(self)

    def unreached(self) -> None:
        if not self.gone:
            self.end()
            self.done("unreached", 0.0)

    def end(self) -> None:
        self.gone = True
        if self.way.most:
            self.way.free(self)

    def callback(self, answer: Answer) -> None:
        """The sidecar has answered it."""
        if self.job is None:  # to a caller that has left: the server finds no connection then
            return
        self.job = None
        process = self.process
        assert process is not None
        process.done(self)
        if not self.gone:
            self.back.send(0.0, self.answered, answer, self.way.time.instant)

    def answered(self, answer: Answer, written: float) -> None:
        if self.gone:
            return
        self.end()
        final = answer.kind
        kind: Kind = "served" if final is SERVED else "refused" if final is REFUSED else "failed"
        stamp = str(answer.content) if final is SERVED else ""
        advice = ceil(answer.retry_after * 1000) / 1000 if answer.retry_after > 0 else 0.0
        self.way.book.answered(self.sidecar, self.ident, kind, stamp, advice, written)
        self.done(kind, advice)

    def cut_off(self) -> None:
        """The sidecar has ended without an answer to it."""
        if not self.gone:
            self.back.send(0.0, self.lost)

    def lost(self) -> None:
        if not self.gone:
            self.end()
            self.way.book.lost(self.sidecar, self.ident, "reset")
            self.done("lost", 0.0)

    def leave(self) -> None:
        if self.gone:
            return
        self.end()
        process, way = self.process, self.way
        if process is None:  # it has not arrived, and will not
            return
        way.book.left(self.sidecar, self.ident)
        self.there.send(self.arrival, process.leave, self)


class DirectSidecarClient:
    """Carries requests to the sidecars that run. `hosts`: for each sidecar, its callers' host and its own;
    `most`: for some, the connections that their callers open at once at most.
    """

    def __init__(
        self,
        time: PlayedTime,
        links: Links,
        book: Book,
        hosts: Mapping[str, tuple[str, str]],
        most: Mapping[str, int] | None = None,
    ) -> None:
        self.time = time
        self.book = book
        self.links = {
            name: (links.link(here, there), links.link(there, here)) for name, (here, there) in hosts.items()
        }
        self.running: dict[str, DirectSidecar] = {}
        self.most = most
        self.open = dict.fromkeys(most or (), 0)
        self.waiting: dict[str, deque[DirectRequest]] = {name: deque() for name in most or ()}

    def ask(
        self, sidecar: str, ident: str, index: int, left: float, key: str, repeat: bool, done: Done
    ) -> DirectRequest:
        asked = DirectRequest(self, sidecar, ident, index, self.time.instant + left, key, repeat, done)
        if self.most and sidecar in self.most:
            self.waiting[sidecar].append(asked)
            self.fill(sidecar)
        else:
            asked.go()
        return asked

    def fill(self, sidecar: str) -> None:
        """Let those go for whom there is a connection."""
        assert self.most is not None
        waiting = self.waiting[sidecar]
        while waiting and self.open[sidecar] < self.most[sidecar]:
            asked = waiting.popleft()
            self.open[sidecar] += 1
            asked.go()

    def free(self, asked: DirectRequest) -> None:
        """A request needs its connection no more, or none any more."""
        waiting = self.waiting.get(asked.sidecar)
        if waiting is None:
            return
        if asked in waiting:
            waiting.remove(asked)
        else:
            self.open[asked.sidecar] -= 1
            self.fill(asked.sidecar)
