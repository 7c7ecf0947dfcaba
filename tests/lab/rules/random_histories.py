"""Random valid event histories from a small model of callers, a sidecar and nodes, and planted violations."""

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

Process = Generator[float, None, None]  # yields seconds to wait

# The rule that each planted violation breaks.
VIOLATIONS = {
    "late": "answer", "silent": "answer", "lose": "answer", "again": "duplicate", "refuse": "duplicate",
    "past window": "duplicate", "many": "duplicate", "two": "duplicate", "over": "duplicate",
    "twice": "duplicate", "stamp": "served", "drain": "drain", "cold": "cold",
}  # fmt: skip


UNAVAILABLE_STATES: tuple[NodeState, ...] = ("draining", "gone")


class KilledError(Exception):
    pass


class History:
    """A random history, valid unless `violation` names a violation to plant wherever possible."""

    def __init__(self, seed: int, violation: str = "", trace: Trace | None = None) -> None:
        self.random = Random(seed)
        self.violation = violation
        self.driver = CheckerDriver(make_plan(second_copies=False), trace)
        self.checker = self.driver.checker
        self.unavailable_since: dict[str, float] = {}  # by node, as known to the sidecar
        self.heap: list[tuple[float, int, Process]] = []
        self.count = 0
        self.request_processes: dict[str, Process] = {}
        self.open: dict[str, None] = {}

    def schedule(self, process: Process, after: float) -> Process:
        self.count += 1
        heappush(self.heap, (self.driver.time + after, self.count, process))
        return process

    def play(self) -> Outcome:
        for number in range(60):
            ident = f"{number:016x}"
            self.request_processes[ident] = self.schedule(self.request(ident), self.random.uniform(0, 25))
        self.schedule(self.restart_node(), 1)
        self.schedule(self.kill_sidecar(), self.random.uniform(3, 20))
        while self.heap:
            self.driver.time, _, process = heappop(self.heap)
            with suppress(StopIteration):
                self.schedule(process, next(process))
        return self.driver.finish()

    def link_delay(self) -> float:
        return self.random.uniform(0.0001, 0.0009)

    def choose_node(self) -> str:
        grace = 2.56 if self.violation == "drain" else 2.54
        unavailable = [
            name for name, since in self.unavailable_since.items() if self.driver.time > since + grace
        ]
        nodes = [name for name in ("front0", "front1", "front2") if name not in unavailable]
        return unavailable[0] if unavailable and self.violation == "drain" else self.random.choice(nodes)

    def kill_sidecar(self) -> Process:
        self.checker.sidecar_down("lb", True)
        for ident in list(self.open):
            with suppress(StopIteration):
                self.request_processes[ident].throw(KilledError)
            if not self.checker.requests[ident].end:
                self.checker.lost("lb", ident, "reset")
        self.unavailable_since.clear()
        yield 0.5
        self.checker.sidecar_up("lb")

    def restart_node(self) -> Process:
        """Repeatedly drain, stop and restart a node, which then has to warm up."""
        random, checker, started = self.random, self.checker, 0.0
        for _ in range(3):
            for state in UNAVAILABLE_STATES:
                checker.known("front2", state, started)
                yield random.uniform(0, 0.4)
                if "lb" not in checker.down_sidecars:
                    checker.told("lb", "front2", state, started)
                    self.unavailable_since.setdefault("front2", self.driver.time)
                yield random.uniform(1, 2)
            checker.node_up("front2", lambda: 0.3)
            started = self.driver.time
            yield 1.0
            checker.known("front2", "ready", started)
            if "lb" not in checker.down_sidecars:
                checker.told("lb", "front2", "ready", started)
                self.unavailable_since.pop("front2", None)
                for _ in range(12):
                    checker.offered("front2", "lb", 0.11 if self.violation == "cold" else 0.07)
                    yield 0.1
            yield random.uniform(0, 4)

    def request(self, ident: str) -> Process:
        driver, checker, in_flight = self.driver, self.checker, []  # type: ignore[var-annotated]
        if "lb" in checker.down_sidecars:
            return
        index = self.random.randrange(3)
        driver.take(ident, index, driver.time - START + 15)
        self.open[ident] = None
        with suppress(KilledError):
            yield from self.attempts(ident, index, in_flight)
        while in_flight:
            checker.ended(in_flight.pop(0), ident)
        self.open.pop(ident, None)

    def attempts(self, ident: str, index: int, in_flight: list[str]) -> Process:
        driver, checker, random, violation = self.driver, self.checker, self.random, self.violation
        deadline, first_sent, may_have_run, how = driver.time + 15, 0.0, False, ""
        ends = ["away", "served", "error", "hang"]
        for number in range(6 if violation == "many" else random.randint(0, 5)):
            if may_have_run and index == UNSAFE and violation != "again":
                break
            if may_have_run and index == KEYED and violation == "past window":
                yield first_sent + 10.1 - driver.time
            node, sent = self.choose_node(), driver.time
            checker.sending("lb", node, sent)
            yield self.link_delay()
            checker.arrived("lb", node, ident, sent)
            in_flight.append(node)
            how = "away" if violation == "many" else random.choice(ends)
            if how == "away":
                in_flight.remove(node)
                driver.reject(node, ident)
                yield self.link_delay()
                continue
            first_sent, may_have_run = first_sent if may_have_run else sent, True
            if index != 0 and number == 0:
                for _ in range(2 if violation == "twice" else 1):
                    checker.effect(node, ident, f"key-{ident}")
            yield random.uniform(0.05, 0.5)
            if how == "hang":  # the sidecar abandons the attempt, and the node detects that a little later
                self.schedule(
                    self.close_attempt(
                        node, ident, in_flight, 0.3 if violation == "two" else self.link_delay()
                    ),
                    0,
                )
                continue
            stamp = checker.made(node, ident) if how == "served" else ""
            in_flight.remove(node)
            checker.ended(node, ident)
            yield self.link_delay()
            if how == "served":
                driver.answer(
                    ident, "served", "7-" + ident if violation == "stamp" else stamp, written=driver.time
                )
                if violation == "over":
                    yield 0.1
                    checker.arrived("lb", "front0", ident, driver.time)
                    in_flight.append("front0")
                return
        if violation == "lose":
            checker.lost("lb", ident, "closed")
        elif violation in ("silent", "late"):
            yield deadline + 0.08 - driver.time
            if violation == "late":
                driver.answer(ident, "failed")
            else:
                checker.left("lb", ident)
        elif random.random() < 0.2:
            checker.left("lb", ident)
        else:
            kind = "refused" if not (may_have_run and index == UNSAFE) or violation == "refuse" else "failed"
            yield self.link_delay()
            driver.answer(ident, kind)

    def close_attempt(self, node: str, ident: str, in_flight: list[str], after: float) -> Process:
        yield after
        if node in in_flight:
            in_flight.remove(node)
            self.checker.ended(node, ident)


def play(seed: int, violation: str = "", **more: Any) -> Outcome:
    return History(seed, violation, **more).play()
