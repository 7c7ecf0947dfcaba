"""A limit on jobs in flight that finds the knee by latency and learns anew what a job takes without a queue.

While the limit is in play, each window of answers moves it: by the step upwards, and downwards by as much as
the window's latency is above `tolerance` times the base. The base is the latency that is measured with the
limit halved, and halved again while that makes answers quicker: at the start, each `probe_every` seconds
under pressure, and once the limit has been halved by windows. What is measured stands in place of what was
known, higher or lower, so a pool that turns slow by itself is taken for a slow pool and not for a queue.
"""

from __future__ import annotations

from math import exp, inf, log

from wheatring.routes.values import Adaptive

NEAR = 1.2  # a latency within this factor of the base is the base
QUICK = 3.0  # steps upwards while a latency is that near
UNSEEN = 4.0  # times the base: a queue that has grown below the limit, which is far too high
QUICKER = 0.8  # a queue was there if half the limit brings the latency below this part
LEAST_FACTOR = 0.5  # no window takes more off the limit
FELL = 0.5  # a limit that windows brought below this part of what it was is probed at once
SHARE = 0.05  # of the time at most goes to probes that find nothing new
SOON = 0.1  # of `probe_every`: time between probes at least
SHORT = 1e-6  # seconds: no latency counts as less


class Knee:
    """`limit` is the present one, `base` the latency without a queue, 0 until there is a window.

    Latencies are averaged by their logarithms: a few that took very long move a window little.
    """

    __slots__ = (
        "_before", "_begun", "_count", "_due", "_kept", "_lost", "_peak", "_pressed", "_settled", "_since",
        "_skip", "_sum", "_sure", "base", "law", "limit", "probing", "size",
    )  # fmt: skip

    def __init__(self, law: Adaptive, now: float) -> None:
        self.law = law
        self.size = float(law.start)  # the limit before it is made whole
        self.limit = law.start
        self.base = 0.0
        self.probing = False
        self._sure = False  # the base comes from a probe
        self._settled = self.size  # the highest size since the last probe
        self._due = now  # of the next probe
        self._kept = self.size  # while probing: what the size was, ...
        self._begun = now  # when it began, ...
        self._before = inf  # the latency at twice the limit, ...
        self._skip = -1  # and the answers to pass over, which may have waited in the queue; -1: not known yet
        self._since = now  # of this window
        self._sum = 0.0
        self._count = 0
        self._lost = 0  # of these, those without an answer
        self._peak = 0  # jobs in flight in this window
        self._pressed = False

    def change(self, law: Adaptive) -> None:
        """Other settings from now on; what was learnt stays."""
        self.law = law
        self._kept = self._held(self._kept)
        self._settled = self._held(self._settled)
        self._set(self.size)

    def took(self, out: int) -> None:
        """A job was taken; with it, so many are in flight."""
        if out > self._peak:
            self._peak = out
            if out >= self.limit:
                self._pressed = True

    def turned_away(self, now: float) -> None:
        """A job was turned away for this limit."""
        self._pressed = True
        if self.probing:
            self._bound(now)

    def answered(self, now: float, latency: float, out: int) -> None:
        """A job has its answer after `latency` seconds; so many are still in flight."""
        self._sample(now, latency, out, 0)

    def gave_up(self, now: float, waited: float, out: int) -> None:
        """A job has ended without an answer: had there been one, it would have taken longer than that. Guards
        against windows in which only the quick ones count.
        """
        if waited > self.base > 0.0:
            self._sample(now, waited, out, 1)

    def _sample(self, now: float, latency: float, out: int, lost: int) -> None:
        if self.probing:
            self._bound(now)
            if self.probing and not self._drained(out):
                return
        self._sum += log(latency if latency > SHORT else SHORT)
        self._count += 1
        self._lost += lost
        if self._count >= self.law.samples:
            usual = exp(self._sum / self._count)
            if now < self._since + usual:
                return  # what the last window changed does not show yet
            if 2 * self._lost > self._count:
                self._lost_most(now, usual)
            elif self.probing:
                self._probed(now, usual)
            else:
                self._moved(now, usual)
            self._begin(now, out)

    # Windows

    def _begin(self, now: float, out: int) -> None:
        self._since = now
        self._sum = 0.0
        self._count = 0
        self._lost = 0
        self._peak = out
        self._pressed = False

    def _moved(self, now: float, usual: float) -> None:
        if self.base == 0.0:
            self.base = usual
        # Far below a limit that has been probed, no queue explains a latency: it is the base that moves.
        calm = not self._pressed and 2 * self._peak <= self.limit
        if usual < self.base or (calm and self._sure):
            self.base = (self.base * usual) ** 0.5
        if calm or (not self._pressed and usual <= UNSEEN * self.base):
            return
        law, size = self.law, self.size
        factor = law.tolerance * self.base / usual
        if factor < 1.0:
            size *= max(factor, LEAST_FACTOR)
        steps = QUICK if usual <= NEAR * self.base else 1.0
        self._set(size + max(1.0, steps * law.step * size))
        self._settled = max(self._settled, self.size)
        fell = self.size < FELL * self._settled
        if now >= self._due or (fell and now >= self._begun + SOON * law.probe_every):
            self.probing = True
            self._kept = self.size
            self._begun = now
            self._halve(usual)

    def _lost_most(self, now: float, usual: float) -> None:
        """Few of a window got an answer. What they waited for may be work that nobody wants any more, of
        which no limit knows: fewer, until it is done. Nothing is learnt of the base.
        """
        if self.probing and self.limit == self.law.floor:
            self._end(now, self.size)
        elif self.probing:
            self._halve(usual)
        else:
            self._set(LEAST_FACTOR * self.size)

    def _held(self, size: float) -> float:
        return min(max(size, float(self.law.floor)), float(self.law.ceiling))

    def _set(self, size: float) -> None:
        self.size = self._held(size)
        self.limit = int(self.size)

    # Probes

    def _halve(self, usual: float) -> None:
        self._before = usual
        self._skip = -1
        self._set(0.5 * self.size)

    def _drained(self, out: int) -> bool:
        """What was let in under the old limit has left."""
        if self._skip < 0:
            if out < self.limit:
                self._skip = out
            return False
        if self._skip:
            self._skip -= 1
            return False
        return True

    def _probed(self, now: float, usual: float) -> None:
        known = self._sure and self.base <= NEAR * usual and usual <= NEAR * self.base
        queue = usual < QUICKER * self._before or (not self._sure and usual > UNSEEN * self.base)
        if not known and queue and self.limit > self.law.floor:
            self._halve(usual)
            return
        if known:
            self.base = (self.base * usual) ** 0.5
            self._end(now, self._kept)
            self._due = max(self._due, now + (now - self._begun) / SHARE)
        else:
            # Higher than it was: what windows took off the limit since the last probe, they took in error.
            rose = self._sure and usual > self.base
            self.base = usual
            self._end(now, max(self._kept, self._settled) if rose else self._kept)
        self._sure = True

    def _end(self, now: float, size: float) -> None:
        self.probing = False
        self._set(size)
        self._settled = self.size
        self._due = now + self.law.probe_every

    def _bound(self, now: float) -> None:
        """Guards against a probe without end beside a pool that does not answer."""
        if now > self._begun + self.law.probe_every:
            self._end(now, self._kept)
            self._begin(now, 0)
