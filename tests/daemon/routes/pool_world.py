"""A pool with limits in virtual time: open arrivals at one machine that shares its cores evenly."""

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
MEAN = 0.02  # CPU seconds of a request
PEAK = CORES / MEAN  # requests per second


class PoolWorld:
    """A pool of endpoints and its callers, in virtual time.

    A request not answered within `timeout` seconds is abandoned, while its work continues. `extra_latency` is
    the time that each request takes in addition to its work and any queueing.
    """

    def __init__(
        self, limits: PoolLimitSettings, *, seed: int = 1, cv: float = 1.0, timeout: float = 0.5
    ) -> None:
        self.time = VirtualTime()
        self.random = Random(f"{seed}:work")
        self.pool = PoolLimiter(limits, self.time.now(), Random(f"{seed}:advice"))
        self.route: RouteLimiter | None = None
        self.cpu: Cpu[PendingRequest] = Cpu(self.time, CORES, 1.0, self.on_work_done)
        self.sigma = sqrt(log(1 + cv * cv))
        self.timeout = timeout
        self.extra_latency = 0.0  # seconds
        self.served: Counter[tuple[str, str]] = Counter()  # within the time-out, by caller and class
        self.requested: Counter[tuple[str, str]] = Counter()
        self.rejected: Counter[tuple[str, str, int]] = Counter()
        self.rejection_reasons: Counter[str] = Counter()
        self.on_request_ended: Callable[[], object] = lambda: None

    def arrive(self, rate: float, caller: str, class_name: str, seed: str, until: float) -> None:
        """Start Poisson arrivals at `rate` per second, until an instant."""
        random = Random(f"{seed}:{caller}:{class_name}")

        def on_arrival() -> None:
            self.send(caller, class_name)
            schedule_next()

        def schedule_next() -> None:
            at = self.time.now() + random.expovariate(rate)
            if at < until:
                self.time.at(at, on_arrival)

        schedule_next()

    def send(self, caller: str, class_name: str) -> None:
        now = self.time.now()
        key = caller, class_name
        self.requested[key] += 1
        decision = admit(now, self.route, self.pool, caller, class_name)
        if isinstance(decision, Rejection):
            self.rejected[caller, class_name, decision.status] += 1
            self.rejection_reasons[decision.reason] += 1
            return
        size = exp(self.sigma * (self.random.gauss(0.0, 1.0) - 0.5 * self.sigma)) * MEAN
        request = PendingRequest(self, decision, key)
        self.cpu.add(size, request)
        self.time.at(now + self.timeout, request.end, Outcome.DEADLINE_EXCEEDED)

    def on_work_done(self, request: PendingRequest) -> None:
        self.time.at(self.time.now() + self.extra_latency, request.end, Outcome.SERVED)

    def run(self, until: float) -> None:
        self.time.run(until)

    def count(self, counter: Counter[tuple[str, str]], *, caller: str = "", class_name: str = "") -> int:
        return sum(n for (c, k), n in counter.items() if caller in ("", c) and class_name in ("", k))


class PendingRequest:
    def __init__(self, world: PoolWorld, admission: Admission, key: tuple[str, str]) -> None:
        self.world = world
        self.admission = admission
        self.key = key
        self.is_ended = False

    def end(self, outcome: Outcome) -> None:
        if not self.is_ended:
            self.is_ended = True
            if outcome is Outcome.SERVED:
                self.world.served[self.key] += 1
            self.admission.finish(self.world.time.now(), outcome)
            self.world.on_request_ended()
