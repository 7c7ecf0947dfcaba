"""The clients' load balancer, which spreads requests uniformly over the sidecars that it considers up."""

from __future__ import annotations

from random import Random

from wheatring.lab.timers import Timers

# Bounds of the seconds from a sidecar's SIGTERM until it gets no new connections.
DRAIN_DELAY_RANGE = (0.2, 0.4)


class FrontLoadBalancer:
    """Admits a sidecar once it is up, and removes it some time after its end.

    A request to a dead sidecar that has not been removed yet fails to connect.

    Parameters
    ----------
    timers
        The clock.
    random
        Draws the sidecar of each request and the delays after a SIGTERM.
    detection_delay
        Seconds until the end of a sidecar is detected.
    """

    def __init__(self, timers: Timers, random: Random, detection_delay: float) -> None:
        self.timers = timers
        self.random = random
        self.detection_delay = detection_delay
        self.admitted: list[str] = []  # in the order of admission
        self.start_counts: dict[str, int] = {}  # by sidecar

    def sidecar_up(self, sidecar: str) -> None:
        """Admit a sidecar that has passed its health check."""
        self.start_counts[sidecar] = self.start_counts.get(sidecar, 0) + 1
        if sidecar not in self.admitted:
            self.admitted.append(sidecar)

    def sidecar_stopping(self, sidecar: str) -> None:
        """Remove a sidecar that is shutting down, after a drawn delay."""
        minimum, maximum = DRAIN_DELAY_RANGE
        self._remove_after(minimum + (maximum - minimum) * self.random.random(), sidecar)

    def sidecar_down(self, sidecar: str) -> None:
        """Remove a sidecar that has ended, after the detection delay."""
        self._remove_after(self.detection_delay, sidecar)

    def pick(self) -> str | None:
        """Return the sidecar for one request, or None if none is admitted."""
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
