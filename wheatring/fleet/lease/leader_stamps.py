"""The newest stamp of a leader that one sidecar knows: a view counts only while a leader stands by it."""

from __future__ import annotations

from math import inf

from wheatring.fleet.members.view_messages import HealthCheckResponse, LeaderStamp

STAMP_VALID_SECONDS = 10.0  # for which a leader's stamp counts
STAMP_INTERVAL_SECONDS = 1.0  # from one stamp to the next


class LeaderStamps:
    """Makes stamps where this sidecar leads, and learns those of others from answers to health checks."""

    def __init__(self, now: float) -> None:
        self.stamp = LeaderStamp(0, 0)
        self.stamp_time = -inf  # the latest instant at which the stamp surely was not older than its age
        self.next_renewal = now

    def age_seconds(self, now: float) -> float:
        """Return the seconds since a leader surely stood by the newest stamp known here."""
        return now - self.stamp_time

    def is_valid(self, now: float) -> bool:
        """Return whether the newest stamp still counts."""
        return self.age_seconds(now) < STAMP_VALID_SECONDS

    def learn(self, message: HealthCheckResponse, sent: float) -> None:
        """Take a newer stamp, or a fresher sighting of the same; `sent`: when the check was sent."""
        # Counted from when the check was sent: however long the answer was on its way, the stamp is no
        # younger.
        stamp_time = sent - max(0.0, message.age_seconds)
        is_newer = message.stamp.order > self.stamp.order
        is_same = message.stamp.order == self.stamp.order
        if is_newer or (is_same and stamp_time > self.stamp_time):
            self.stamp, self.stamp_time = message.stamp, stamp_time

    def renew(self, now: float, epoch: int, view_number: int, plan_number: int) -> None:
        """Make a stamp as the leader of `epoch`, if the next one is due."""
        if now >= self.next_renewal:
            self.next_renewal = now + STAMP_INTERVAL_SECONDS
            sequence = self.stamp.sequence + 1 if self.stamp.epoch == epoch else 1
            self.stamp = LeaderStamp(epoch, sequence, view_number, plan_number)
            self.stamp_time = now
