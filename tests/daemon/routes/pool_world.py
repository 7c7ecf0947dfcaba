"""Limits before a pool in virtual time: open arrivals, one machine whose cores all jobs share evenly."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import exp, log, sqrt
from random import Random

from wheatring.daemon.routes.admission import Admission, Outcome, Rejection, admit
from wheatring.daemon.routes.limit_settings import PoolLimitSettings
from wheatring.daemon.routes.limiters import PoolLimiter, RouteLimiter
from wheatring.lab.models.cpu import Cpu
from wheatring.lab.net.time import VirtualTime

CORES = 8
MEAN = 0.02  # seconds of work of a job
PEAK = CORES / MEAN  # jobs a second


class PoolWorld:
    """A pool of endpoints and its callers, in virtual time.

    `arrivals` are (requests a second, caller, class); `slower` is a factor on the time that a request takes
    beside its work, which no queue explains. Requests not answered within `patience` are given up, their work
    goes on.
    """

    def __init__(
        self, limits: PoolLimitSettings, *, seed: int = 1, cv: float = 1.0, patience: float = 0.5
    ) -> None:
        self.time = VirtualTime()
        self.random = Random(f"{seed}:work")
        self.pool = PoolLimiter(limits, self.time.now(), Random(f"{seed}:advice"))
        self.route: RouteLimiter | None = None
        self.cpu: Cpu[PendingRequest] = Cpu(self.time, CORES, 1.0, self.worked)
        self.sigma = sqrt(log(1 + cv * cv))
        self.patience = patience
        self.extra = 0.0  # seconds that each job takes beside its work
        self.served: Counter[tuple[str, str]] = Counter()  # in time, by caller and class
        self.asked: Counter[tuple[str, str]] = Counter()
        self.rejected: Counter[tuple[str, str, int]] = Counter()
        self.rejection_reasons: Counter[str] = Counter()
        self.each: Callable[[], object] = lambda: None

    def arrive(self, rate: float, caller: str, kind: str, seed: str, until: float) -> None:
        """Poisson arrivals from now on."""
        random = Random(f"{seed}:{caller}:{kind}")

        def come() -> None:
            self.ask(caller, kind)
            plan()

        def plan() -> None:
            at = self.time.now() + random.expovariate(rate)
            if at < until:
                self.time.at(at, come)

        plan()

    def ask(self, caller: str, kind: str) -> None:
        now = self.time.now()
        key = caller, kind
        self.asked[key] += 1
        decision = admit(now, self.route, self.pool, caller, kind)
        if isinstance(decision, Rejection):
            self.rejected[caller, kind, decision.status] += 1
            self.rejection_reasons[decision.reason] += 1
            return
        size = exp(self.sigma * (self.random.gauss(0.0, 1.0) - 0.5 * self.sigma)) * MEAN
        request = PendingRequest(self, decision, key)
        self.cpu.add(size, request)
        self.time.at(now + self.patience, request.end, Outcome.DEADLINE_EXCEEDED)

    def worked(self, request: PendingRequest) -> None:
        self.time.at(self.time.now() + self.extra, request.end, Outcome.SERVED)

    def run(self, until: float) -> None:
        self.time.run(until)

    def count(self, of: Counter[tuple[str, str]], *, caller: str = "", kind: str = "") -> int:
        return sum(n for (c, k), n in of.items() if caller in ("", c) and kind in ("", k))


class PendingRequest:
    def __init__(self, world: PoolWorld, taken: Admission, key: tuple[str, str]) -> None:
        self.world = world
        self.taken = taken
        self.key = key
        self.over = False

    def end(self, how: Outcome) -> None:
        if not self.over:
            self.over = True
            if how is Outcome.SERVED:
                self.world.served[self.key] += 1
            self.taken.finish(self.world.time.now(), how)
            self.world.each()
