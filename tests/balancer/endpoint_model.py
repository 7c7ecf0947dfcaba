"""One copy's decisions alone, played against a dozen nodes of which some are bad in one way.

`python -m tests.balancer.endpoint_model` tells for each way and number what the bad ones get and how even the
rest is.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import product
from random import Random

from tests.conftest import Copy, entries
from wheatring.balancer import interface as i

O = i.Outcome
KINDS = ("refused", "failing", "full", "reset", "hanging", "slow")
QUICK = {"refused": O.CONNECT_FAILED, "failing": O.ERROR, "full": O.REJECTED, "reset": O.RESET}
CORES = 4  # of a node, each doing one call at a time
WORK = 0.1  # mean seconds of a call
NODES = tuple(f"n{n:02}" for n in range(12))
GET = i.RequestClass("get", latency_target=1.0, deadline=4.0, idempotency=i.Idempotency.IDEMPOTENT)


@dataclass
class Played:
    """What came of a run, counted in its middle part only."""

    sends: Counter[str] = field(default_factory=Counter)  # by node
    asked: int = 0
    served: int = 0

    def share(self, bad: tuple[str, ...]) -> float:
        return sum(self.sends[name] for name in bad) / max(1, self.sends.total())

    def busiest(self, bad: tuple[str, ...]) -> float:
        """Return the ratio of the busiest healthy endpoint to the mean of the healthy ones."""
        good = [self.sends[name] for name in NODES if name not in bad]
        return max(good) / (sum(good) / len(good))


class Nodes:
    """Twelve endpoints and Poisson requests.

    From 3 s until `until` the endpoints named bad are unhealthy in one way, for a share of calls, and if
    `every` is given only in every other such interval.
    """

    def __init__(
        self,
        seed: int,
        kind: str,
        bad: tuple[str, ...],
        load: float,
        *,
        until: float = 1e9,
        chance: float = 1.0,
        every: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.kind, self.bad, self.until, self.chance, self.every = kind, bad, until, chance, every
        self.copy = Copy(seed, classes=(GET,))
        self.copy.view(*entries(*NODES))
        self.start = self.copy.now
        self.rate = load * len(NODES) * CORES / WORK
        self.busy_until: dict[str, list[float]] = {name: [] for name in NODES}  # when each core is free again
        self.due: list[tuple[float, int, i.Event]] = []
        self.number = 0
        self.tries: Counter[int] = Counter()
        self.sent: list[tuple[float, str]] = []
        self.answers: list[tuple[float, int, bool]] = []  # when, to whom, served

    def push(self, at: float, event: i.Event) -> None:
        self.number += 1
        heappush(self.due, (at, self.number, event))

    def is_unhealthy(self, name: str, now: float) -> bool:
        at = now - self.start
        if name not in self.bad or not 3 <= at < self.until or (self.every and int(at / self.every) % 2 == 0):
            return False
        return self.chance >= 1 or self.random.random() < self.chance

    def attempt(self, now: float, send: i.Send) -> None:
        name, ident = send.endpoint, send.request
        self.sent.append((now, name))
        number = self.tries[ident]
        self.tries[ident] += 1
        outcome, latency = O.SERVED, 0.0
        unhealthy = self.is_unhealthy(name, now)
        if unhealthy and self.kind in QUICK:
            outcome, latency = QUICK[self.kind], 0.001
        elif unhealthy and self.kind == "hanging":
            outcome, latency = O.TIMED_OUT, send.timeout
        else:
            cores = [at for at in self.busy_until[name] if at > now]
            cores.sort()
            begin = now if len(cores) < CORES else cores[len(cores) - CORES]
            work = self.random.expovariate(1 / WORK) * (5 if unhealthy else 1)
            self.busy_until[name] = [*cores, begin + work]
            latency = begin + work - now
            if latency > send.timeout:
                outcome, latency = O.TIMED_OUT, send.timeout
        event = i.AttemptEnded(ident, number, outcome, name, latency, outcome is O.SERVED)
        self.push(now + latency, event)

    def play(self, seconds: float) -> None:
        end = self.start + seconds
        at = self.start + self.random.expovariate(self.rate)
        while True:
            now = min(at, self.due[0][0] if self.due else at)
            if now > end:
                return
            if now == at:
                at += self.random.expovariate(self.rate)
                self.copy.ids += 1
                event: i.Event = i.NewRequest(self.copy.ids, "get", 4.0)
            else:
                event = heappop(self.due)[2]
            self.copy.now = now
            if isinstance(event, i.AttemptEnded) and event.is_request_over:
                self.answers.append((now, event.request, True))
            for action in self.copy.do(event):
                match action:
                    case i.Send():
                        self.attempt(now, action)
                    case i.SetTimer(token, delay):
                        self.push(now + delay, i.TimerDue(token))
                    case i.Reject(ident) | i.Fail(ident):
                        self.answers.append((now, ident, False))

    def played(self, since: float, until: float = 1e9) -> Played:
        """Return what was sent and answered between two seconds of the run."""
        since, until = self.start + since, self.start + until
        out = Played(Counter(name for at, name in self.sent if since <= at < until))
        for at, _, served in self.answers:
            if since <= at < until:
                out.asked += 1
                out.served += served
        return out


def main() -> None:
    print("kind      bad  load  share  even  busiest/mean  served")
    for kind, count, load in product(KINDS, (1, 3, 6), (0.1, 0.35)):
        bad = NODES[:count]
        figures = []
        for seed in range(4):
            nodes = Nodes(seed, kind, bad, load)
            nodes.play(20)
            played = nodes.played(5)
            figures.append((played.share(bad), played.busiest(bad), played.served / played.asked))
        share, busiest, served = (sum(each) / len(each) for each in zip(*figures, strict=True))
        print(f"{kind:9} {count:3} {load:5} {share:6.3f} {count / 12:5.2f} {busiest:13.2f} {served:7.3f}")


if __name__ == "__main__":
    main()
