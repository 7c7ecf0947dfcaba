"""The clients' load balancer: spreads requests evenly over the sidecars that it considers to be up."""

from __future__ import annotations

from random import Random

from wheatring.lab.timers import Timers

# Seconds from a sidecar's SIGTERM for which new connections still come to it: drawn between the two.
DRAIN_DELAY_RANGE = (0.2, 0.4)


class FrontLoadBalancer:
    """Admits a sidecar once it is up, and removes it some time after its end.

    A request that is sent to a dead sidecar which has not been removed yet finds nobody.

    Parameters
    ----------
    timers
        The clock.
    random
        Draws the sidecar of each request, and the delays after a SIGTERM.
    detection_delay
        Seconds until the end of a sidecar is noticed.
    """

    def __init__(self, timers: Timers, random: Random, detection_delay: float) -> None:
        self.timers = timers
        self.random = random
        self.detection_delay = detection_delay
        self.admitted: list[str] = []  # in the order in which they came
        self.start_counts: dict[str, int] = {}  # by sidecar

    def sidecar_up(self, sidecar: str) -> None:
        """Admit a sidecar, which has passed its health check."""
        self.start_counts[sidecar] = self.start_counts.get(sidecar, 0) + 1
        if sidecar not in self.admitted:
            self.admitted.append(sidecar)

    def sidecar_stopping(self, sidecar: str) -> None:
        """Remove a sidecar that is shutting down; that takes effect a moment later."""
        least, most = DRAIN_DELAY_RANGE
        self._remove_after(least + (most - least) * self.random.random(), sidecar)

    def sidecar_down(self, sidecar: str) -> None:
        """Remove a sidecar that has ended, once that is noticed."""
        self._remove_after(self.detection_delay, sidecar)

    def pick(self) -> str | None:
        """Return the sidecar for one request, or None while none is admitted."""
        admitted = self.admitted
        if not admitted:
            return None
        return admitted[int(self.random.random() * len(admitted))]

    def _remove_after(self, delay: float, sidecar: str) -> None:
        start_count = self.start_counts.get(sidecar, 0)
        self.timers.at(self.timers.now() + delay, self._remove, sidecar, start_count)

    def _remove(self, sidecar: str, start_count: int) -> None:
        has_restarted = self.start_counts.get(sidecar, 0) != start_count
        if not has_restarted and sidecar in self.admitted:
            self.admitted.remove(sidecar)
