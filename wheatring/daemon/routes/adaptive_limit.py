"""A limit on requests in flight that finds the knee by latency and re-learns the latency without a queue.

While the limit is reached, each window of responses moves it: by the step upwards, and downwards by as much
as the window's latency is above `tolerance` times the base latency. The base is the latency that is measured
with the limit halved, and halved again while that makes responses faster: at the start, each `probe_every`
seconds under pressure, and once the limit has been halved by windows. What is measured replaces what was
known, higher or lower, so a pool that becomes slow by itself is taken for a slow pool and not for a queue.

The states: *adapting*, in which windows move the limit; *probing*, in which the limit is halved and the
requests admitted under the former one are awaited before a window is measured.
"""

from __future__ import annotations

from math import exp, inf, log

from wheatring.daemon.routes.limit_settings import AdaptiveLimitSettings

BASELINE_TOLERANCE_RATIO = 1.2  # a latency within this factor of the base is the base
BASELINE_TOLERANCE_STEPS = 3.0  # steps upwards while a latency is that near
UNEXPLAINED_RATIO = 4.0  # times the base: a queue has grown below the limit, which is far too high
QUEUE_RATIO = 0.8  # there was a queue if half the limit brings the latency below this part
MIN_WINDOW_FACTOR = 0.5  # no window reduces the limit by more
PROBE_FALL_RATIO = 0.5  # a limit that windows brought below this part of what it was is probed at once
MAX_PROBE_TIME_SHARE = 0.05  # of the time, for probes that find nothing new
MIN_PROBE_GAP_SHARE = 0.1  # of `probe_every`: the time between probes at least
MIN_LATENCY_SECONDS = 1e-6  # no latency counts as less
NOT_COUNTED_YET = -1  # of the responses to skip


class AdaptiveLimit:
    """The limit on one pool's requests in flight.

    `limit` is the present one, `base_latency` the latency in seconds without a queue, 0 until there is a
    window. Latencies are averaged by their logarithms: a few that took very long move a window little.
    """

    __slots__ = (
        "_highest_size", "_is_base_probed", "_is_pressed", "_latency_before_halving", "_lost_count",
        "_next_probe_at", "_peak_in_flight", "_probe_started_at", "_response_count", "_responses_to_skip",
        "_size_before_probe", "_sum_of_logarithms", "_window_started_at", "base_latency", "is_probing",
        "limit", "settings", "size",
    )  # fmt: skip

    def __init__(self, settings: AdaptiveLimitSettings, now: float) -> None:
        self.settings = settings
        self.size = float(settings.start)  # the limit before it is rounded down
        self.limit = settings.start
        self.base_latency = 0.0
        self.is_probing = False
        self._is_base_probed = False
        self._highest_size = self.size  # since the last probe
        self._next_probe_at = now
        # While probing: the size before it, its start, the latency at twice the limit, and the responses to
        # skip, which may have waited in the queue.
        self._size_before_probe = self.size
        self._probe_started_at = now
        self._latency_before_halving = inf
        self._responses_to_skip = NOT_COUNTED_YET
        # Of the window.
        self._window_started_at = now
        self._sum_of_logarithms = 0.0
        self._response_count = 0
        self._lost_count = 0  # of these, requests that ended without a response
        self._peak_in_flight = 0
        self._is_pressed = False

    def update_settings(self, settings: AdaptiveLimitSettings) -> None:
        """Go by other settings from now on; what was learnt stays."""
        self.settings = settings
        self._size_before_probe = self._bounded(self._size_before_probe)
        self._highest_size = self._bounded(self._highest_size)
        self._set_size(self.size)

    def on_admitted(self, in_flight: int) -> None:
        """Record that a request was admitted; with it, so many are in flight."""
        if in_flight > self._peak_in_flight:
            self._peak_in_flight = in_flight
            if in_flight >= self.limit:
                self._is_pressed = True

    def on_rejected(self, now: float) -> None:
        """Record that a request was rejected for this limit."""
        self._is_pressed = True
        if self.is_probing:
            self._end_overlong_probe(now)

    def on_response(self, now: float, latency: float, in_flight: int) -> None:
        """Record a response after `latency` seconds; so many requests are still in flight."""
        self._add_sample(now, latency, in_flight, is_lost=False)

    def on_abandoned(self, now: float, waited: float, in_flight: int) -> None:
        """Record that a request ended without a response after so many seconds.

        Had there been one, it would have taken longer. Guards against windows in which only the fast ones
        count.
        """
        if waited > self.base_latency > 0.0:
            self._add_sample(now, waited, in_flight, is_lost=True)

    def _add_sample(self, now: float, latency: float, in_flight: int, *, is_lost: bool) -> None:
        if self.is_probing:
            self._end_overlong_probe(now)
            if self.is_probing and not self._is_drained(in_flight):
                return
        self._sum_of_logarithms += log(latency if latency > MIN_LATENCY_SECONDS else MIN_LATENCY_SECONDS)
        self._response_count += 1
        self._lost_count += is_lost
        if self._response_count >= self.settings.samples:
            mean_latency = exp(self._sum_of_logarithms / self._response_count)
            if now < self._window_started_at + mean_latency:
                return  # what the last window changed does not show yet
            if 2 * self._lost_count > self._response_count:
                self._on_lost_window(now, mean_latency)
            elif self.is_probing:
                self._on_probe_window(now, mean_latency)
            else:
                self._on_window(now, mean_latency)
            self._start_window(now, in_flight)

    # Windows

    def _start_window(self, now: float, in_flight: int) -> None:
        self._window_started_at = now
        self._sum_of_logarithms = 0.0
        self._response_count = 0
        self._lost_count = 0
        self._peak_in_flight = in_flight
        self._is_pressed = False

    def _on_window(self, now: float, mean_latency: float) -> None:
        """Move the limit after a window, and probe where that is due."""
        if self.base_latency == 0.0:
            self.base_latency = mean_latency
        # Far below a limit that has been probed, no queue explains a latency: it is the base that moves.
        is_calm = not self._is_pressed and 2 * self._peak_in_flight <= self.limit
        if mean_latency < self.base_latency or (is_calm and self._is_base_probed):
            self.base_latency = (self.base_latency * mean_latency) ** 0.5
        is_in_play = self._is_pressed or mean_latency > UNEXPLAINED_RATIO * self.base_latency
        if is_calm or not is_in_play:
            return
        settings, size = self.settings, self.size
        factor = settings.tolerance * self.base_latency / mean_latency
        if factor < 1.0:
            size *= max(factor, MIN_WINDOW_FACTOR)
        steps = (
            BASELINE_TOLERANCE_STEPS if mean_latency <= BASELINE_TOLERANCE_RATIO * self.base_latency else 1.0
        )
        self._set_size(size + max(1.0, steps * settings.step * size))
        self._highest_size = max(self._highest_size, self.size)
        has_fallen = self.size < PROBE_FALL_RATIO * self._highest_size
        earliest_probe_at = self._probe_started_at + MIN_PROBE_GAP_SHARE * settings.probe_every
        if now >= self._next_probe_at or (has_fallen and now >= earliest_probe_at):
            self.is_probing = True
            self._size_before_probe = self.size
            self._probe_started_at = now
            self._halve(mean_latency)

    def _on_lost_window(self, now: float, mean_latency: float) -> None:
        """Reduce the limit after a window of which most requests had no response.

        What they waited for may be work that nobody wants any more, of which no limit knows: fewer are
        admitted until it is done. Nothing is learnt about the base.
        """
        if self.is_probing and self.limit == self.settings.floor:
            self._end_probe(now, self.size)
        elif self.is_probing:
            self._halve(mean_latency)
        else:
            self._set_size(MIN_WINDOW_FACTOR * self.size)

    def _bounded(self, size: float) -> float:
        return min(max(size, float(self.settings.floor)), float(self.settings.ceiling))

    def _set_size(self, size: float) -> None:
        self.size = self._bounded(size)
        self.limit = int(self.size)

    # Probes

    def _halve(self, mean_latency: float) -> None:
        self._latency_before_halving = mean_latency
        self._responses_to_skip = NOT_COUNTED_YET
        self._set_size(0.5 * self.size)

    def _is_drained(self, in_flight: int) -> bool:
        """Return whether the requests that were admitted under the former limit have ended."""
        if self._responses_to_skip == NOT_COUNTED_YET:
            if in_flight < self.limit:
                self._responses_to_skip = in_flight
            return False
        if self._responses_to_skip:
            self._responses_to_skip -= 1
            return False
        return True

    def _on_probe_window(self, now: float, mean_latency: float) -> None:
        """Halve the limit again, or end the probe with what it found."""
        base = self.base_latency
        is_known = (
            self._is_base_probed
            and base <= BASELINE_TOLERANCE_RATIO * mean_latency
            and mean_latency <= BASELINE_TOLERANCE_RATIO * base
        )
        is_unexplained = not self._is_base_probed and mean_latency > UNEXPLAINED_RATIO * base
        has_queue = mean_latency < QUEUE_RATIO * self._latency_before_halving or is_unexplained
        if not is_known and has_queue and self.limit > self.settings.floor:
            self._halve(mean_latency)
            return
        if is_known:
            self.base_latency = (base * mean_latency) ** 0.5
            self._end_probe(now, self._size_before_probe)
            probe_seconds = now - self._probe_started_at
            self._next_probe_at = max(self._next_probe_at, now + probe_seconds / MAX_PROBE_TIME_SHARE)
        else:
            # Higher than it was: what windows took off the limit since the last probe, they took in error.
            has_risen = self._is_base_probed and mean_latency > base
            before = self._size_before_probe
            self.base_latency = mean_latency
            self._end_probe(now, max(before, self._highest_size) if has_risen else before)
        self._is_base_probed = True

    def _end_probe(self, now: float, size: float) -> None:
        self.is_probing = False
        self._set_size(size)
        self._highest_size = self.size
        self._next_probe_at = now + self.settings.probe_every

    def _end_overlong_probe(self, now: float) -> None:
        """Guard against a probe without end beside a pool that does not respond."""
        if now > self._probe_started_at + self.settings.probe_every:
            self._end_probe(now, self._size_before_probe)
            self._start_window(now, 0)
