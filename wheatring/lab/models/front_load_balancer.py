"""The clients' front: a plain layer that spreads requests over the sidecars that it holds to be up."""

from __future__ import annotations

from random import Random

from wheatring.lab.timers import Timers

# Seconds from a sidecar's SIGTERM in which new connections still come to it.
DRAIN_DELAY_RANGE = (0.2, 0.4)


class FrontLoadBalancer:
    """Admits a sidecar once it is up. A dead one is noticed `notice` seconds after its end, and a request
    that is sent to it meanwhile finds nobody.
    """

    def __init__(self, timers: Timers, random: Random, notice: float) -> None:
        self.timers = timers
        self.random = random
        self.notice = notice
        self.admitted: list[str] = []  # in the order in which they came
        self.starts: dict[str, int] = {}

    def up(self, sidecar: str) -> None:
        """It has answered that it is well."""
        self.starts[sidecar] = self.starts.get(sidecar, 0) + 1
        if sidecar not in self.admitted:
            self.admitted.append(sidecar)

    def stopping(self, sidecar: str) -> None:
        """It was told to stop, as was the front: it still sends there for a moment."""
        least, most = DRAIN_DELAY_RANGE
        self.forget_after(least + (most - least) * self.random.random(), sidecar)

    def down(self, sidecar: str) -> None:
        """It has ended."""
        self.forget_after(self.notice, sidecar)

    def forget_after(self, time: float, sidecar: str) -> None:
        self.timers.at(self.timers.now() + time, self.forget, sidecar, self.starts.get(sidecar, 0))

    def forget(self, sidecar: str, start: int) -> None:
        if self.starts.get(sidecar, 0) == start and sidecar in self.admitted:  # not started anew meanwhile
            self.admitted.remove(sidecar)

    def pick(self) -> str | None:
        """The sidecar for one request; None while none is admitted."""
        admitted = self.admitted
        if not admitted:
            return None
        return admitted[int(self.random.random() * len(admitted))]
