"""The newest leader stamp that one sidecar knows. A view is current only while a leader confirms it."""

from __future__ import annotations

from math import inf

from wheatring.fleet.members.view_messages import HealthCheckResponse, LeaderStamp

STAMP_VALID_SECONDS = 10.0
STAMP_INTERVAL_SECONDS = 1.0


class LeaderStamps:
    """Creates stamps if this sidecar leads, and learns those of other leaders from health check responses."""

    def __init__(self, now: float) -> None:
        self.stamp = LeaderStamp(0, 0)
        self.stamp_time = -inf  # a lower bound of the time at which a leader made the stamp
        self.next_renewal = now

    def age_seconds(self, now: float) -> float:
        """Return an upper bound of the age of the newest stamp known here, in seconds."""
        return now - self.stamp_time

    def is_valid(self, now: float) -> bool:
        """Return whether the newest stamp is still valid."""
        return self.age_seconds(now) < STAMP_VALID_SECONDS

    def learn(self, message: HealthCheckResponse, sent: float) -> None:
        """Store a newer stamp, or a better bound for the age of the same one.

        `sent` is the time at which the health check was sent.
        """
        # Measured from when the check was sent, so that a delayed response does not make the stamp look
        # younger than it is.
        stamp_time = sent - max(0.0, message.age_seconds)
        is_newer = message.stamp.order > self.stamp.order
        is_same = message.stamp.order == self.stamp.order
        if is_newer or (is_same and stamp_time > self.stamp_time):
            self.stamp, self.stamp_time = message.stamp, stamp_time

    def renew(self, now: float, epoch: int, view_number: int, plan_number: int) -> None:
        """Create a stamp as the leader of `epoch`, if the next one is due."""
        if now >= self.next_renewal:
            self.next_renewal = now + STAMP_INTERVAL_SECONDS
            sequence = self.stamp.sequence + 1 if self.stamp.epoch == epoch else 1
            self.stamp = LeaderStamp(epoch, sequence, view_number, plan_number)
            self.stamp_time = now
