"""The ready endpoints of a balancer, updated from discovery, and the subset that it draws from.

Endpoints that accept few connections can't serve one from every balancer. So each balancer draws from a
subset: a contiguous slice of the sorted endpoints, which starts at a position given by the balancer's index
and wraps around. The slices of all balancers cover the endpoints evenly.
"""

from __future__ import annotations

from math import ceil, inf
from random import Random

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.endpoint_list import EndpointEntry, EndpointState, View, ViewKind
from wheatring.balancer.settings import Settings
from wheatring.balancer.slow_start import SlowStart

MIN_SUBSET_SIZE = 5
MIN_BALANCERS_PER_ENDPOINT = 3
REINSTATED_SPREAD_SECONDS = 3.0  # Over all balancers, for the first requests to the endpoint.


class EndpointPool:
    """The ready endpoints of one balancer.

    Attributes
    ----------
    endpoints : dict of str to Endpoint
        The ready endpoints by name, in the order of their addition.
    ready : list of Endpoint
        The ready endpoints, sorted by name.
    local : list of Endpoint
        This balancer's subset: of its own zone if that zone has enough endpoints, else of all zones.
    remote : list of Endpoint
        The subset of all zones if `local` is confined to one zone, else empty.
    subset : dict of str to Endpoint
        Union of `local` and `remote`. Other endpoints get no requests while they warm up.
    capacity : float
        Capacity of the local endpoints at the last update, in warm endpoints; at least 1, and at least two
        thirds of their number.
    progressed_at : float
        When any ready endpoint last made progress.
    reinstated : list of tuple of float and Endpoint
        Endpoints that operators have reinstated, each with the time at which its first request is due.
    zones : tuple of str
        Zones of the deployment; empty if requests are not kept in their zone.
    """

    def __init__(self, settings: Settings, random: Random, slow_start: SlowStart) -> None:
        self.settings = settings
        self.random = random
        self.slow_start = slow_start
        self.zones = settings.zones
        self.endpoints: dict[str, Endpoint] = {}
        self.ready: list[Endpoint] = []
        self.local: list[Endpoint] = []
        self.remote: list[Endpoint] = []
        self.subset: dict[str, Endpoint] = {}
        self.capacity = 1.0
        self.progressed_at = 0.0
        self.reinstated: list[tuple[float, Endpoint]] = []

    def apply(self, now: float, view: View) -> None:
        """Apply a view from discovery. A view of kind FAILED changes nothing."""
        if view.kind is ViewKind.FAILED:
            return
        if view.kind is not ViewKind.DELTA:
            listed = {entry.endpoint for entry in view.entries}
            self.endpoints = {name: known for name, known in self.endpoints.items() if name in listed}
        for entry in view.entries:
            self.update(now, entry)
        self._rebuild_subset(now)

    def update(self, now: float, entry: EndpointEntry) -> None:
        """Apply one entry of the endpoint list."""
        if entry.state is not EndpointState.READY:
            self.endpoints.pop(entry.endpoint, None)
            return
        known = self.endpoints.get(entry.endpoint)
        if known is not None and known.entry.started_at == entry.started_at:
            known.entry = entry
            return
        endpoint = self.endpoints[entry.endpoint] = Endpoint(entry)  # a restart clears the history
        if entry.is_reinstated:
            self._schedule_reinstated(now, endpoint)

    def _schedule_reinstated(self, now: float, endpoint: Endpoint) -> None:
        """Schedule the first request, staggered against those of the other balancers."""
        settings = self.settings
        interval = REINSTATED_SPREAD_SECONDS / settings.balancer_count
        window = settings.contract.overload_time
        if self.slow_start.capacity(now, endpoint) < 1 and window < inf:
            # While it warms up, it can serve two of these requests per overload window, over all balancers,
            # besides those of the slow start.
            interval = max(interval, window / 2)
        self.reinstated.append((now + interval * settings.balancer_index, endpoint))

    def take_reinstated(self, now: float) -> Endpoint | None:
        """Remove and return a reinstated endpoint that is due and has not been sent a request, or None."""
        while self.reinstated and now >= self.reinstated[0][0]:
            _, endpoint = self.reinstated.pop(0)
            if self.endpoints.get(endpoint.entry.endpoint) is endpoint and not endpoint.progressed_at:
                return endpoint
        return None

    def record_progress(self, now: float, endpoint: Endpoint) -> None:
        """Record a response of an endpoint."""
        endpoint.progressed_at = now
        if self.endpoints.get(endpoint.entry.endpoint) is endpoint:
            self.progressed_at = now

    def _rebuild_subset(self, now: float) -> None:
        self.ready = [self.endpoints[name] for name in sorted(self.endpoints)]
        self.progressed_at = max([endpoint.progressed_at for endpoint in self.ready], default=0.0)
        in_zone = [endpoint for endpoint in self.ready if endpoint.entry.zone == self.settings.zone]
        # A zone keeps its requests if it has at least half its even share of the endpoints.
        scaled_count = 2 * len(in_zone) * max(1, len(self.zones))
        keeps_zone = scaled_count >= len(self.ready) > len(in_zone)
        self.local = self._subset_of(in_zone if keeps_zone else self.ready)
        self.remote = self._subset_of(self.ready) if keeps_zone else []
        # The slow start advances by one slot while each warm endpoint is sent one attempt. If most endpoints
        # are cold, their capacity is taken as the number of local endpoints divided by 1.5: each is then sent
        # at most 1.5 times the even share, so that a fleet that restarts simultaneously is not overloaded.
        warm = sum([self.slow_start.capacity(now, endpoint) for endpoint in self.local])
        self.capacity = max(warm, len(self.local) / 1.5, 1.0)
        previous = self.subset
        self.subset = {endpoint.entry.endpoint: endpoint for endpoint in self.local + self.remote}
        for name, endpoint in self.subset.items():
            if previous.get(name) is not endpoint:
                self.slow_start.schedule_first(now, endpoint, self.random)

    def _subset_of(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return this balancer's slice of sorted endpoints."""
        size, balancers = len(endpoints), self.settings.balancer_count
        start = self.settings.balancer_index * size // balancers
        length = min(size, max(MIN_SUBSET_SIZE, ceil(size * MIN_BALANCERS_PER_ENDPOINT / balancers)))
        return (endpoints + endpoints)[start : start + length]
