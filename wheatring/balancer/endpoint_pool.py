"""The endpoints that a balancer sends to, updated from discovery, and the subset that it draws from.

Few endpoints with room for few connections can't take one from every balancer. So each balancer draws from an
arc of the sorted endpoints, placed by its own index, so that all arcs together cover them evenly.
"""

from __future__ import annotations

from math import ceil, inf
from random import Random

from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.endpoint_list import EndpointEntry, EndpointState, View, ViewKind
from wheatring.balancer.settings import Settings
from wheatring.balancer.slow_start import SlowStart

MIN_SUBSET_SIZE = 5
MIN_BALANCERS_PER_ENDPOINT = 3  # that draw from it
REINSTATED_SPREAD_SECONDS = 3.0  # over which all balancers' first calls to a reinstated endpoint are spread


class EndpointPool:
    """The ready endpoints of one balancer.

    Attributes
    ----------
    endpoints : dict of str to Endpoint
        The ready endpoints by their name, in the order in which they came.
    ready, local, remote : list of Endpoint
        All of them by name; the arc that is drawn from, in the balancer's own zone where zones carry
        themselves; and then the arc over all zones, empty otherwise.
    subset : dict of str to Endpoint
        Local and remote ones: the only ones that are sent to while they warm up.
    capacity : float
        What the local ones could bear at the last update, in warm endpoints.
    progressed_at : float
        When any ready endpoint last made progress.
    reinstated : list of tuple of float and Endpoint
        Endpoints that operators have reinstated, to be called from that instant on.
    zones : tuple of str
        The deployment's zones; empty where traffic is not kept in its zone.
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
        """Go by a view of discovery from now on. One of a failed call changes nothing."""
        if view.kind is ViewKind.FAILED:
            return
        if view.kind is not ViewKind.DELTA:
            listed = {entry.endpoint for entry in view.entries}
            self.endpoints = {name: each for name, each in self.endpoints.items() if name in listed}
        for entry in view.entries:
            self.update(now, entry)
        self._draw_subset(now)

    def update(self, now: float, entry: EndpointEntry) -> None:
        """Take in one line of discovery's list."""
        if entry.state is not EndpointState.READY:
            self.endpoints.pop(entry.endpoint, None)
            return
        known = self.endpoints.get(entry.endpoint)
        if known is not None and known.entry.started_at == entry.started_at:
            known.entry = entry
            return
        endpoint = self.endpoints[entry.endpoint] = Endpoint(entry)  # a restart clears its history
        if entry.is_reinstated:
            self._schedule_reinstated(now, endpoint)

    def _schedule_reinstated(self, now: float, endpoint: Endpoint) -> None:
        """Schedule the first call, apart from those of the other balancers."""
        settings = self.settings
        interval = REINSTATED_SPREAD_SECONDS / settings.balancer_count
        window = settings.contract.overload_time
        if self.slow_start.capacity(now, endpoint) < 1 and window < inf:
            # While it warms up it bears two calls of all balancers in a window beyond its slow start.
            interval = max(interval, window / 2)
        self.reinstated.append((now + interval * settings.balancer_index, endpoint))

    def take_reinstated(self, now: float) -> Endpoint | None:
        """Remove and return a reinstated endpoint whose first call is due, if nothing was sent to it yet."""
        while self.reinstated and now >= self.reinstated[0][0]:
            _, endpoint = self.reinstated.pop(0)
            if self.endpoints.get(endpoint.entry.endpoint) is endpoint and not endpoint.progressed_at:
                return endpoint
        return None

    def record_progress(self, now: float, endpoint: Endpoint) -> None:
        """Take in that an endpoint has answered."""
        endpoint.progressed_at = now
        if self.endpoints.get(endpoint.entry.endpoint) is endpoint:
            self.progressed_at = now

    def _draw_subset(self, now: float) -> None:
        self.ready = [self.endpoints[name] for name in sorted(self.endpoints)]
        self.progressed_at = max([each.progressed_at for each in self.ready], default=0.0)
        in_zone = [each for each in self.ready if each.entry.zone == self.settings.zone]
        share = 2 * len(in_zone) * max(1, len(self.zones))
        keeps_zone = share >= len(self.ready) > len(in_zone)
        self.local = self._arc(in_zone if keeps_zone else self.ready)
        self.remote = self._arc(self.ready) if keeps_zone else []
        # A turn of the slow start comes with what each warm endpoint is sent; where most are cold, with no
        # more than 1.5 times the even share, so that a fleet that restarts at once is not pushed over.
        warm = sum([self.slow_start.capacity(now, each) for each in self.local])
        self.capacity = max(warm, len(self.local) / 1.5, 1.0)
        before = self.subset
        self.subset = {each.entry.endpoint: each for each in self.local + self.remote}
        for name, endpoint in self.subset.items():
            if before.get(name) is not endpoint:
                self.slow_start.schedule_first(now, endpoint, self.random)

    def _arc(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return this balancer's part of sorted endpoints."""
        size, balancers = len(endpoints), self.settings.balancer_count
        start = self.settings.balancer_index * size // balancers
        length = min(size, max(MIN_SUBSET_SIZE, ceil(size * MIN_BALANCERS_PER_ENDPOINT / balancers)))
        return (endpoints + endpoints)[start : start + length]
