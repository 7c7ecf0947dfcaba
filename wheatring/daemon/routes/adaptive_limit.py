"""An adaptive limit on requests in flight, which follows the knee of the latency curve.

While the limit is reached, each window of responses adjusts it: up by the step, and down by the factor by
which the window's latency exceeds `tolerance` times the base latency. The base latency, without a queue, is
measured by a probe: the limit is halved, and halved again while responses become faster. Probes run at the
start, every `probe_every` seconds while the limit is reached, and after windows have halved the limit. The
measurement replaces the previous base, whether higher or lower, so that a pool whose service time rises is
not mistaken for one with a queue.

It has two states: *adapting*, in which windows adjust the limit, and *probing*, in which the limit is halved
and a window is measured once the requests admitted under the former limit have ended.
"""

from __future__ import annotations

from math import exp, inf, log

from wheatring.daemon.routes.limit_settings import AdaptiveLimitSettings

BASELINE_TOLERANCE_RATIO = 1.2  # a latency within this factor of the base counts as the base
BASELINE_TOLERANCE_STEPS = 3.0  # steps up per window while the latency counts as the base
# A latency above this multiple of the base proves a queue even below the limit, which is then far too high.
QUEUE_BELOW_LIMIT_RATIO = 4.0
QUEUE_RATIO = 0.8  # halving the limit proves a queue if it reduces the latency below this ratio
MIN_WINDOW_FACTOR = 0.5  # lower bound of the factor that one window applies to the limit
PROBE_FALL_RATIO = 0.5  # windows that reduce the limit below this ratio of its maximum cause a probe
MAX_PROBE_TIME_SHARE = 0.05  # share of time spent on probes that confirm the base
MIN_PROBE_GAP_SHARE = 0.1  # minimum interval before such a probe, as a share of `probe_every`
MIN_LATENCY_SECONDS = 1e-6  # lower bound, for the logarithm
NOT_COUNTED_YET = -1  # value of `_responses_to_skip`


class AdaptiveLimit:
    """The limit on one pool's requests in flight.

    `limit` is the current one, `base_latency` the latency in seconds without a queue, 0 until the first
    window. Windows use the geometric mean of latencies, which outliers affect little.
    """

    __slots__ = (
        "_highest_size", "_is_base_probed", "_is_limit_reached", "_latency_before_halving", "_missing_count",
        "_next_probe_at", "_peak_in_flight", "_probe_started_at", "_response_count", "_responses_to_skip",
        "_size_before_probe", "_sum_of_logarithms", "_window_started_at", "base_latency", "is_probing",
        "limit", "settings", "size",
    )  # fmt: skip

    def __init__(self, settings: AdaptiveLimitSettings, now: float) -> None:
        self.settings = settings
        self.size = float(settings.start)  # the limit before rounding down
        self.limit = settings.start
        self.base_latency = 0.0
        self.is_probing = False
        self._is_base_probed = False
        self._highest_size = self.size  # since the last probe
        self._next_probe_at = now
        # Of the current probe: the size before it, its start, the latency before the last halving, and the
        # responses to skip, as their requests may have waited in the queue.
        self._size_before_probe = self.size
        self._probe_started_at = now
        self._latency_before_halving = inf
        self._responses_to_skip = NOT_COUNTED_YET
        # Of the current window.
        self._window_started_at = now
        self._sum_of_logarithms = 0.0
        self._response_count = 0
        self._missing_count = 0  # of these, requests that ended without a response
        self._peak_in_flight = 0
        self._is_limit_reached = False

    def update_settings(self, settings: AdaptiveLimitSettings) -> None:
        """Apply new settings; the measured latency is kept."""
        self.settings = settings
        self._size_before_probe = self._bounded(self._size_before_probe)
        self._highest_size = self._bounded(self._highest_size)
        self._set_size(self.size)

    def on_admitted(self, in_flight: int) -> None:
        """Record an admitted request; `in_flight` includes it."""
        if in_flight > self._peak_in_flight:
            self._peak_in_flight = in_flight
            if in_flight >= self.limit:
                self._is_limit_reached = True

    def on_rejected(self, now: float) -> None:
        """Record a request that this limit rejected."""
        self._is_limit_reached = True
        if self.is_probing:
            self._end_overlong_probe(now)

    def on_response(self, now: float, latency: float, in_flight: int) -> None:
        """Record a response after `latency` seconds; `in_flight` requests remain."""
        self._add_sample(now, latency, in_flight, has_no_response=False)

    def on_abandoned(self, now: float, waited: float, in_flight: int) -> None:
        """Record a request that ended without a response after `waited` seconds.

        A response would have taken longer. Without these samples, windows would count only fast responses.
        """
        if waited > self.base_latency > 0.0:
            self._add_sample(now, waited, in_flight, has_no_response=True)

    def _add_sample(self, now: float, latency: float, in_flight: int, *, has_no_response: bool) -> None:
        if self.is_probing:
            self._end_overlong_probe(now)
            if self.is_probing and not self._is_drained(in_flight):
                return
        self._sum_of_logarithms += log(latency if latency > MIN_LATENCY_SECONDS else MIN_LATENCY_SECONDS)
        self._response_count += 1
        self._missing_count += has_no_response
        if self._response_count >= self.settings.samples:
            mean_latency = exp(self._sum_of_logarithms / self._response_count)
            if now < self._window_started_at + mean_latency:
                return  # too early to see the effect of the last adjustment
            if 2 * self._missing_count > self._response_count:
                self._on_window_without_responses(now, mean_latency)
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
        self._missing_count = 0
        self._peak_in_flight = in_flight
        self._is_limit_reached = False

    def _on_window(self, now: float, mean_latency: float) -> None:
        """Adjust the limit after a window, and start a probe if one is due."""
        if self.base_latency == 0.0:
            self.base_latency = mean_latency
        # Far below a limit that has been probed there is no queue, so the base latency itself has changed.
        is_underused = not self._is_limit_reached and 2 * self._peak_in_flight <= self.limit
        if mean_latency < self.base_latency or (is_underused and self._is_base_probed):
            self.base_latency = (self.base_latency * mean_latency) ** 0.5
        is_adjustable = self._is_limit_reached or mean_latency > QUEUE_BELOW_LIMIT_RATIO * self.base_latency
        if is_underused or not is_adjustable:
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

    def _on_window_without_responses(self, now: float, mean_latency: float) -> None:
        """Reduce the limit after a window in which most requests had no response.

        Endpoints may still be busy with abandoned requests, which the limit does not count, so fewer are
        admitted until those are done. The base latency is not updated.
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
        """Return whether the requests admitted under the former limit have ended."""
        if self._responses_to_skip == NOT_COUNTED_YET:
            if in_flight < self.limit:
                self._responses_to_skip = in_flight
            return False
        if self._responses_to_skip:
            self._responses_to_skip -= 1
            return False
        return True

    def _on_probe_window(self, now: float, mean_latency: float) -> None:
        """Halve the limit again, or end the probe and update the base latency."""
        base = self.base_latency
        is_confirmed = (
            self._is_base_probed
            and base <= BASELINE_TOLERANCE_RATIO * mean_latency
            and mean_latency <= BASELINE_TOLERANCE_RATIO * base
        )
        has_queue_below_limit = not self._is_base_probed and mean_latency > QUEUE_BELOW_LIMIT_RATIO * base
        has_queue = mean_latency < QUEUE_RATIO * self._latency_before_halving or has_queue_below_limit
        if not is_confirmed and has_queue and self.limit > self.settings.floor:
            self._halve(mean_latency)
            return
        if is_confirmed:
            self.base_latency = (base * mean_latency) ** 0.5
            self._end_probe(now, self._size_before_probe)
            probe_seconds = now - self._probe_started_at
            self._next_probe_at = max(self._next_probe_at, now + probe_seconds / MAX_PROBE_TIME_SHARE)
        else:
            # If the base has risen, windows have reduced the limit by mistake since the last probe.
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
        """End a probe that takes too long, as the pool does not respond."""
        if now > self._probe_started_at + self.settings.probe_every:
            self._end_probe(now, self._size_before_probe)
            self._start_window(now, 0)
