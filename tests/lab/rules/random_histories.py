"""Random lawful histories from a small model of callers, one sidecar and nodes, and ways to spoil one."""

from __future__ import annotations

from collections.abc import Generator
from contextlib import suppress
from heapq import heappop, heappush
from random import Random
from typing import Any

from tests.lab.rules.checker_driver import KEYED, START, UNSAFE, CheckerDriver, make_plan
from wheatring.lab.event_recorder import NodeState
from wheatring.lab.outcome import Outcome
from wheatring.lab.rules import Trace

Acts = Generator[float, None, None]  # yields seconds to wait

SPOILS = {
    "late": "answer", "silent": "answer", "lose": "answer", "again": "duplicate", "refuse": "duplicate",
    "past window": "duplicate", "many": "duplicate", "two": "duplicate", "over": "duplicate",
    "twice": "duplicate", "stamp": "served", "drain": "drain", "cold": "cold",
}  # fmt: skip


OFF: tuple[NodeState, ...] = ("draining", "gone")


class KilledError(Exception):
    pass


class History:
    """One history. `spoil` names the breach that it makes wherever it can; none: it is lawful."""

    def __init__(self, seed: int, spoil: str = "", trace: Trace | None = None) -> None:
        self.random = Random(seed)
        self.spoil = spoil
        self.driver = CheckerDriver(make_plan(second_copies=False), trace)
        self.book = self.driver.book
        self.off: dict[str, float] = {}  # nodes that the sidecar knows to be off, and since when
        self.heap: list[tuple[float, int, Acts]] = []
        self.count = 0
        self.all: dict[str, Acts] = {}  # the requests' acts
        self.open: dict[str, None] = {}

    def begin(self, acts: Acts, after: float) -> Acts:
        self.count += 1
        heappush(self.heap, (self.driver.time + after, self.count, acts))
        return acts

    def play(self) -> Outcome:
        for number in range(60):
            ident = f"{number:016x}"
            self.all[ident] = self.begin(self.request(ident), self.random.uniform(0, 25))
        self.begin(self.life(), 1)
        self.begin(self.kills(), self.random.uniform(3, 20))
        while self.heap:
            self.driver.time, _, acts = heappop(self.heap)
            with suppress(StopIteration):
                self.begin(acts, next(acts))
        return self.driver.finish()

    def link(self) -> float:
        return self.random.uniform(0.0001, 0.0009)

    def node(self) -> str:
        grace = 2.56 if self.spoil == "drain" else 2.54
        off = [name for name, since in self.off.items() if self.driver.time > since + grace]
        nodes = [name for name in ("front0", "front1", "front2") if name not in off]
        return off[0] if off and self.spoil == "drain" else self.random.choice(nodes)

    def kills(self) -> Acts:
        self.book.sidecar_down("lb", True)
        for ident in list(self.open):
            with suppress(StopIteration):
                self.all[ident].throw(KilledError)
            if not self.book.requests[ident].end:
                self.book.lost("lb", ident, "reset")
        self.off.clear()
        yield 0.5
        self.book.sidecar_up("lb")

    def life(self) -> Acts:
        """Drain, stop and restart a node, cold, again and again."""
        random, book, started = self.random, self.book, 0.0
        for _ in range(3):
            for state in OFF:
                book.known("front2", state, started)
                yield random.uniform(0, 0.4)
                if "lb" not in book.down_sidecars:
                    book.told("lb", "front2", state, started)
                    self.off.setdefault("front2", self.driver.time)
                yield random.uniform(1, 2)
            book.node_up("front2", lambda: 0.3)
            started = self.driver.time
            yield 1.0
            book.known("front2", "ready", started)
            if "lb" not in book.down_sidecars:
                book.told("lb", "front2", "ready", started)
                self.off.pop("front2", None)
                for _ in range(12):
                    book.offered("front2", "lb", 0.11 if self.spoil == "cold" else 0.07)
                    yield 0.1
            yield random.uniform(0, 4)

    def request(self, ident: str) -> Acts:
        driver, book, out = self.driver, self.book, []  # type: ignore[var-annotated]
        if "lb" in book.down_sidecars:
            return
        index = self.random.randrange(3)
        driver.take(ident, index, driver.time - START + 15)
        self.open[ident] = None
        with suppress(KilledError):
            yield from self.asked(ident, index, out)
        while out:
            book.ended(out.pop(0), ident)
        self.open.pop(ident, None)

    def asked(self, ident: str, index: int, out: list[str]) -> Acts:
        driver, book, random, spoil = self.driver, self.book, self.random, self.spoil
        deadline, began, ran, how = driver.time + 15, 0.0, False, ""
        ends = ["away", "served", "error", "hang"]
        for number in range(6 if spoil == "many" else random.randint(0, 5)):
            if ran and index == UNSAFE and spoil != "again":
                break
            if ran and index == KEYED and spoil == "past window":
                yield began + 10.1 - driver.time
            node, sent = self.node(), driver.time
            book.sending("lb", node, sent)
            yield self.link()
            book.arrived("lb", node, ident, sent)
            out.append(node)
            how = "away" if spoil == "many" else random.choice(ends)
            if how == "away":
                out.remove(node)
                driver.reject(node, ident)
                yield self.link()
                continue
            began, ran = began if ran else sent, True
            if index != 0 and number == 0:
                for _ in range(2 if spoil == "twice" else 1):
                    book.effect(node, ident, f"key-{ident}")
            yield random.uniform(0.05, 0.5)
            if how == "hang":  # the sidecar gives it up, and the node hears of that a little later
                self.begin(self.closed(node, ident, out, 0.3 if spoil == "two" else self.link()), 0)
                continue
            stamp = book.made(node, ident) if how == "served" else ""
            out.remove(node)
            book.ended(node, ident)
            yield self.link()
            if how == "served":
                driver.answer(
                    ident, "served", "7-" + ident if spoil == "stamp" else stamp, written=driver.time
                )
                if spoil == "over":
                    yield 0.1
                    book.arrived("lb", "front0", ident, driver.time)
                    out.append("front0")
                return
        if spoil == "lose":
            book.lost("lb", ident, "closed")
        elif spoil in ("silent", "late"):
            yield deadline + 0.08 - driver.time
            if spoil == "late":
                driver.answer(ident, "failed")
            else:
                book.left("lb", ident)
        elif random.random() < 0.2:
            book.left("lb", ident)
        else:
            kind = "refused" if not (ran and index == UNSAFE) or spoil == "refuse" else "failed"
            yield self.link()
            driver.answer(ident, kind)

    def closed(self, node: str, ident: str, out: list[str], after: float) -> Acts:
        yield after
        if node in out:
            out.remove(node)
            self.book.ended(node, ident)


def play(seed: int, spoil: str = "", **more: Any) -> Outcome:
    return History(seed, spoil, **more).play()
