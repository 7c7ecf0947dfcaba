"""Admission control: what the front tier rejects before anything is sent.

When every endpoint slows, first attempts would pass unchecked and all end late; and what overloads endpoints
for long slows them further. So the front rejects what goes beyond what they are known to bear, once that
slows them; requests of low value are left less room than those of high value.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp, sqrt

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.endpoint_pool import EndpointPool
from wheatring.balancer.latency_estimate import LatencyEstimate
from wheatring.balancer.outlier_ejection import OutlierEjector
from wheatring.balancer.settings import RequestClass, Settings
from wheatring.balancer.slow_start import SlowStart
from wheatring.balancer.throughput import Throughput

CALM_LATENCY_RATIO = 1.5  # times the unloaded latency, below which everything is admitted
JAMMED_LATENCY_RATIO = 1.8  # times the unloaded latency, above which more in flight gets no more served
IN_FLIGHT_GROWTH = 1.5  # attempts in flight for each unloaded latency served a second at the best rate
IN_FLIGHT_SLACK = 3.0  # and beyond that, in attempts of all balancers at an endpoint
MIN_ADMITTED_PART = 0.9  # part of that which may be in flight even in a jam
SHARE_DEVIATIONS = 2.0  # by which one balancer of many may exceed its share: all together don't
BEST_RATE_MEMORY_SECONDS = 30.0  # in which the best rate fades to a third
MIN_IN_FLIGHT = 20  # attempts of all balancers from which their duration can be estimated


class AdmissionControl:
    """Admits or rejects first attempts by what endpoints have lately been able to serve.

    Attributes
    ----------
    in_flight, capacity : float
        Attempts in flight, and warm endpoints, averaged over about the last second as the served ones are.
    best_rate : float
        Unloaded latencies served a second by an endpoint, at the best of late.
    updated_at : float
        When these were last updated.
    """

    def __init__(
        self,
        settings: Settings,
        latencies: dict[str, LatencyEstimate],
        pool: EndpointPool,
        slow_start: SlowStart,
        ejector: OutlierEjector,
        throughput: Throughput,
    ) -> None:
        self.settings = settings
        self.latencies = latencies
        self.pool = pool
        self.slow_start = slow_start
        self.ejector = ejector
        self.throughput = throughput
        self.in_flight = 0.0
        self.capacity = 0.0
        self.best_rate = 0.0
        self.updated_at = 0.0

    def admits(
        self, now: float, request_class: RequestClass, is_known: Callable[[float, RequestClass], bool]
    ) -> bool:
        """Whether a new request may be sent; `is_known` says whether what is usual of its class is known."""
        if self.settings.tier or not self.pool.ready:
            return True
        usable = self._usable_endpoints(now)
        capacity = self.slow_start.total_capacity(now, usable) or 1.0
        in_flight = self._in_flight_of_active(now, usable, request_class.latency_target)
        rate = self._update(now, in_flight, capacity)
        congestion = self.in_flight / rate if rate else 0.0  # how many times the unloaded latency is taken
        balancers = self.settings.balancer_count
        surplus = SHARE_DEVIATIONS * sqrt(in_flight) * (1 - 1 / balancers)
        in_flight = min(in_flight, max(self.in_flight, in_flight - surplus))
        if in_flight * balancers < MIN_IN_FLIGHT or congestion < CALM_LATENCY_RATIO:
            return True
        if not is_known(now, request_class):
            return True
        part = self._part_of_slack(request_class)
        most = capacity * (IN_FLIGHT_GROWTH * self.best_rate + IN_FLIGHT_SLACK / balancers * part)
        return in_flight <= most * max(MIN_ADMITTED_PART, min(1.0, JAMMED_LATENCY_RATIO / congestion))

    def _usable_endpoints(self, now: float) -> list[Endpoint]:
        """Return the endpoints that are not ejected; all where most are unhealthy, which is load then."""
        ready, ejector = self.pool.ready, self.ejector
        if ejector.is_majority_unhealthy():
            return ready
        return [each for each in ready if not each.ejections or not ejector.is_ejected(now, each)]

    def _in_flight_of_active(self, now: float, usable: list[Endpoint], latency_target: float) -> float:
        """Return the attempts in flight at endpoints that make progress.

        What is in flight at one that is silent while others answer or are idle is no queue for these.
        """
        all_busy = all(each.in_flight for each in self.pool.ready)
        silent_since = (self.pool.progressed_at if all_busy else now) - latency_target
        return sum([each.in_flight for each in usable if each.progressed_at > silent_since])

    def _update(self, now: float, in_flight: float, capacity: float) -> float:
        """Update the averages, and return the unloaded latencies served a second."""
        passed, self.updated_at = min(now - self.updated_at, 1.0), now
        weight = exp(-passed)
        self.in_flight = self.in_flight * weight + in_flight * passed
        rate = self.throughput.rate(now)
        self.capacity = max(capacity, self.capacity * weight + capacity * passed)  # what served at that rate
        self.best_rate = max(self.best_rate * exp(-passed / BEST_RATE_MEMORY_SECONDS), rate / self.capacity)
        return rate

    def _part_of_slack(self, request_class: RequestClass) -> float:
        """Return the part of the slack that a class may use, by its value against the most valuable class."""
        most = max(map(self._value_density, self.settings.classes)) or 1.0
        return 0.4 + 0.6 * self._value_density(request_class) / most

    def _value_density(self, request_class: RequestClass) -> float:
        """Return the value of each unit of work; the unloaded latency stands for the work."""
        if self.settings.value_per_work:
            return request_class.value
        return request_class.value / (self.latencies[request_class.name].unloaded or 1.0)
