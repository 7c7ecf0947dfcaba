"""Simulation of one balancer that sends to a dozen endpoints, some of which have a fault.

`python -m tests.balancer.endpoint_model` prints, by kind of fault and number of faulty endpoints, their share
of the attempts, how evenly the others share the rest, and the fraction of requests that is served.
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
FAULT_KINDS = ("refused", "failing", "full", "reset", "hanging", "slow")
IMMEDIATE_OUTCOMES = {"refused": O.CONNECT_FAILED, "failing": O.ERROR, "full": O.REJECTED, "reset": O.RESET}
CORES_PER_ENDPOINT = 4  # Each core processes one attempt at a time.
MEAN_WORK_SECONDS = 0.1
ENDPOINT_NAMES = tuple(f"n{n:02}" for n in range(12))
GET = i.RequestClass("get", latency_target=1.0, deadline=4.0, idempotency=i.Idempotency.IDEMPOTENT)


@dataclass
class RunResult:
    """Counts of one interval of a simulation."""

    sends: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    served: int = 0

    def share(self, faulty: tuple[str, ...]) -> float:
        return sum(self.sends[name] for name in faulty) / max(1, self.sends.total())

    def busiest_ratio(self, faulty: tuple[str, ...]) -> float:
        """Return the ratio of the busiest healthy endpoint to the mean of the healthy ones."""
        healthy = [self.sends[name] for name in ENDPOINT_NAMES if name not in faulty]
        return max(healthy) / (sum(healthy) / len(healthy))


class EndpointSimulation:
    """Twelve endpoints, and requests that arrive as a Poisson process.

    From 3 s until `until`, the fault affects attempts at the faulty endpoints with a probability of
    `fault_probability`.
    With a `fault_period`, the endpoints alternate between healthy and faulty after that many seconds.
    """

    def __init__(
        self,
        seed: int,
        kind: str,
        faulty: tuple[str, ...],
        load: float,
        *,
        until: float = 1e9,
        fault_probability: float = 1.0,
        fault_period: float = 0.0,
    ) -> None:
        self.random = Random(seed)
        self.kind, self.faulty, self.until, self.probability, self.period = (
            kind, faulty, until, fault_probability, fault_period
        )  # fmt: skip
        self.copy = Copy(seed, classes=(GET,))
        self.copy.view(*entries(*ENDPOINT_NAMES))
        self.start = self.copy.now
        self.rate = load * len(ENDPOINT_NAMES) * CORES_PER_ENDPOINT / MEAN_WORK_SECONDS
        # When each core finishes its work.
        self.busy_until: dict[str, list[float]] = {name: [] for name in ENDPOINT_NAMES}
        self.events: list[tuple[float, int, i.Event]] = []
        self.event_count = 0
        self.attempt_counts: Counter[int] = Counter()
        self.sent: list[tuple[float, str]] = []
        self.answers: list[tuple[float, int, bool]] = []  # time, request, served

    def schedule(self, at: float, event: i.Event) -> None:
        self.event_count += 1
        heappush(self.events, (at, self.event_count, event))

    def is_faulty(self, name: str, now: float) -> bool:
        elapsed = now - self.start
        if (
            name not in self.faulty
            or not 3 <= elapsed < self.until
            or (self.period and int(elapsed / self.period) % 2 == 0)
        ):
            return False
        return self.probability >= 1 or self.random.random() < self.probability

    def start_attempt(self, now: float, send: i.Send) -> None:
        name, request_id = send.endpoint, send.request
        self.sent.append((now, name))
        attempt = self.attempt_counts[request_id]
        self.attempt_counts[request_id] += 1
        outcome, latency = O.SERVED, 0.0
        is_faulty_now = self.is_faulty(name, now)
        if is_faulty_now and self.kind in IMMEDIATE_OUTCOMES:
            outcome, latency = IMMEDIATE_OUTCOMES[self.kind], 0.001
        elif is_faulty_now and self.kind == "hanging":
            outcome, latency = O.TIMED_OUT, send.timeout
        else:
            finish_times = [at for at in self.busy_until[name] if at > now]
            finish_times.sort()
            start = (
                now
                if len(finish_times) < CORES_PER_ENDPOINT
                else finish_times[len(finish_times) - CORES_PER_ENDPOINT]
            )
            work = self.random.expovariate(1 / MEAN_WORK_SECONDS) * (5 if is_faulty_now else 1)
            self.busy_until[name] = [*finish_times, start + work]
            latency = start + work - now
            if latency > send.timeout:
                outcome, latency = O.TIMED_OUT, send.timeout
        event = i.AttemptEnded(request_id, attempt, outcome, name, latency, outcome is O.SERVED)
        self.schedule(now + latency, event)

    def run(self, seconds: float) -> None:
        end = self.start + seconds
        at = self.start + self.random.expovariate(self.rate)
        while True:
            now = min(at, self.events[0][0] if self.events else at)
            if now > end:
                return
            if now == at:
                at += self.random.expovariate(self.rate)
                self.copy.ids += 1
                event: i.Event = i.NewRequest(self.copy.ids, "get", 4.0)
            else:
                event = heappop(self.events)[2]
            self.copy.now = now
            if isinstance(event, i.AttemptEnded) and event.is_request_over:
                self.answers.append((now, event.request, True))
            for action in self.copy.do(event):
                match action:
                    case i.Send():
                        self.start_attempt(now, action)
                    case i.SetTimer(token, delay):
                        self.schedule(now + delay, i.TimerDue(token))
                    case i.Reject(request_id) | i.Fail(request_id):
                        self.answers.append((now, request_id, False))

    def result(self, since: float, until: float = 1e9) -> RunResult:
        """Return the attempts and answers between two times, in seconds since the start."""
        since, until = self.start + since, self.start + until
        result = RunResult(Counter(name for at, name in self.sent if since <= at < until))
        for at, _, served in self.answers:
            if since <= at < until:
                result.requests += 1
                result.served += served
        return result


def main() -> None:
    print("fault     num  load  share  even  busiest/mean  served")
    for kind, count, load in product(FAULT_KINDS, (1, 3, 6), (0.1, 0.35)):
        faulty = ENDPOINT_NAMES[:count]
        figures = []
        for seed in range(4):
            simulation = EndpointSimulation(seed, kind, faulty, load)
            simulation.run(20)
            result = simulation.result(5)
            figures.append(
                (result.share(faulty), result.busiest_ratio(faulty), result.served / result.requests)
            )
        share, busiest, served = (sum(each) / len(each) for each in zip(*figures, strict=True))
        print(f"{kind:9} {count:3} {load:5} {share:6.3f} {count / 12:5.2f} {busiest:13.2f} {served:7.3f}")


if __name__ == "__main__":
    main()
