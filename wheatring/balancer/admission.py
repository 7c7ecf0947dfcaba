"""Admission control: the front tier rejects excess requests before the first attempt.

Retry throttling limits retries only. Without a limit on first attempts, an overload of all endpoints would
make every request late, and a long overload slows endpoints further. So once latency rises, the front tier
limits the attempts in flight by the throughput that the endpoints have shown. The limit is lower for requests
of low value.
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

# Latency ratios are multiples of the unloaded latency.
UNCONGESTED_LATENCY_RATIO = 1.5  # Below this ratio everything is admitted.
SATURATED_LATENCY_RATIO = 1.8  # Above this ratio more attempts in flight don't raise the throughput.
IN_FLIGHT_PER_PEAK_THROUGHPUT = 1.5  # Attempts in flight per unit of `AdmissionControl.peak_throughput`.
IN_FLIGHT_SLACK = 3.0  # Additional attempts in flight per endpoint, over all balancers.
MIN_LIMIT_FRACTION = 0.9  # Fraction of the limit that stays admitted under saturation.
# A balancer may exceed its even share by this many standard deviations, as the sum over all varies less.
SHARE_DEVIATIONS = 2.0
PEAK_THROUGHPUT_DECAY_SECONDS = 30.0  # Time constant.
MIN_IN_FLIGHT = 20  # Over all balancers; the latency ratio of fewer attempts is too noisy.


class AdmissionControl:
    """Admits or rejects first attempts by the recent throughput of the endpoints.

    Throughput is measured in unloaded latencies served per second (see `Throughput`).

    Attributes
    ----------
    in_flight, capacity : float
        Attempts in flight, and capacity in warm endpoints, averaged over about one second like the
        throughput.
    peak_throughput : float
        Recent maximum of the throughput per warm endpoint.
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
        self.peak_throughput = 0.0
        self.updated_at = 0.0

    def admits(
        self, now: float, request_class: RequestClass, is_latency_known: Callable[[float, RequestClass], bool]
    ) -> bool:
        """Whether a new request may be sent.

        `is_latency_known` tells whether the latency estimate of a class is reliable at a given time.
        """
        if self.settings.tier or not self.pool.ready:
            return True
        usable = self._usable_endpoints(now)
        capacity = self.slow_start.total_capacity(now, usable) or 1.0
        in_flight = self._in_flight_of_active(now, usable, request_class.latency_target)
        throughput = self._update(now, in_flight, capacity)
        latency_ratio = self.in_flight / throughput if throughput else 0.0  # by Little's law
        balancers = self.settings.balancer_count
        surplus = SHARE_DEVIATIONS * sqrt(in_flight) * (1 - 1 / balancers)
        in_flight = min(in_flight, max(self.in_flight, in_flight - surplus))
        if in_flight * balancers < MIN_IN_FLIGHT or latency_ratio < UNCONGESTED_LATENCY_RATIO:
            return True
        if not is_latency_known(now, request_class):
            return True
        fraction = self._slack_fraction(request_class)
        limit = capacity * (
            IN_FLIGHT_PER_PEAK_THROUGHPUT * self.peak_throughput + IN_FLIGHT_SLACK / balancers * fraction
        )
        return in_flight <= limit * max(MIN_LIMIT_FRACTION, min(1.0, SATURATED_LATENCY_RATIO / latency_ratio))

    def _usable_endpoints(self, now: float) -> list[Endpoint]:
        """Return the endpoints that are not ejected, or all if most are unhealthy (a sign of overload)."""
        ready, ejector = self.pool.ready, self.ejector
        if ejector.is_majority_unhealthy():
            return ready
        return [
            endpoint for endpoint in ready if not endpoint.ejections or not ejector.is_ejected(now, endpoint)
        ]

    def _in_flight_of_active(self, now: float, usable: list[Endpoint], latency_target: float) -> float:
        """Return the attempts in flight at endpoints that make progress.

        Attempts at an endpoint that has stopped responding, while others respond or are idle, don't load the
        others.
        """
        all_busy = all(endpoint.in_flight for endpoint in self.pool.ready)
        active_since = (self.pool.progressed_at if all_busy else now) - latency_target
        return sum([endpoint.in_flight for endpoint in usable if endpoint.progressed_at > active_since])

    def _update(self, now: float, in_flight: float, capacity: float) -> float:
        """Update the averages, and return the throughput."""
        elapsed, self.updated_at = min(now - self.updated_at, 1.0), now
        weight = exp(-elapsed)
        self.in_flight = self.in_flight * weight + in_flight * elapsed
        throughput = self.throughput.rate(now)
        # The throughput is an average over the last second, so it is divided by the capacity of that time.
        self.capacity = max(capacity, self.capacity * weight + capacity * elapsed)
        self.peak_throughput = max(
            self.peak_throughput * exp(-elapsed / PEAK_THROUGHPUT_DECAY_SECONDS), throughput / self.capacity
        )
        return throughput

    def _slack_fraction(self, request_class: RequestClass) -> float:
        """Return the fraction of the slack that a class may use, by its value relative to the highest one."""
        highest = max(map(self._value_density, self.settings.classes)) or 1.0
        return 0.4 + 0.6 * self._value_density(request_class) / highest

    def _value_density(self, request_class: RequestClass) -> float:
        """Return the value per unit of work, with the unloaded latency as the estimate of the work."""
        if self.settings.value_per_work:
            return request_class.value
        return request_class.value / (self.latencies[request_class.name].unloaded or 1.0)
