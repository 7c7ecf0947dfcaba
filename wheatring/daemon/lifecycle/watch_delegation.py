"""Decides whether a sidecar watches the endpoint list itself or relies on the watch of the fleet's leader.

The leader announces the generation of its list (the version that discovery states) every second. While a
sidecar receives these heartbeats and its own list is as new, it requests nothing from discovery. It watches
the list itself

- while it has no list, or its list is suspect because of failing endpoints (`freshness`);
- when the leader's list is newer: all sidecars request it, one after another by index, at no more than the
  rate that discovery is expected to answer;
- when no heartbeat has arrived for LEADER_TIMEOUT_SECONDS: one sidecar after another within
  TAKEOVER_SPREAD_SECONDS, so that each has made a request within the platform's limit of 10 s since its last
  notification.

Endpoints that the leader reports as draining or gone are applied immediately, as that only makes sidecars
send less: see `wheatring.fleet.peers.list_sharing`. Only its own list tells a sidecar of a new endpoint.

Pure: the caller passes the time, in seconds.
"""

from __future__ import annotations

from math import inf

from wheatring.daemon.lifecycle.freshness import EXPECTED_ANSWER_RATE

LEADER_TIMEOUT_SECONDS = 4.0
TAKEOVER_SPREAD_SECONDS = 4.0


class WatchDelegation:
    """One sidecar's reliance on the leader's watch.

    Attributes
    ----------
    position : float
        This sidecar's position among all, from 0 to 1.
    spread_seconds : float
        The time within which each sidecar makes one request.
    leader_heard_at : float
        When the leader had the list that it last announced.
    leader_generation : int or None
        The generation of that list; None before the first heartbeat.
    behind_since : float
        Since when the leader's list has been known to be newer than this sidecar's; inf if it is not.
    """

    def __init__(self, sidecar_count: int, sidecar_index: int) -> None:
        """Initialize for sidecar `sidecar_index` (from 0) of the `sidecar_count` that send to the tier."""
        self.position = sidecar_index % sidecar_count / sidecar_count
        self.spread_seconds = sidecar_count / EXPECTED_ANSWER_RATE
        self.leader_heard_at = -inf
        self.leader_generation: int | None = None
        self.behind_since = inf

    def leader_heartbeat(self, now: float, age: float, generation: int, own_generation: int | None) -> None:
        """Record the generation of the leader's list `age` seconds ago, and compare it with the own one."""
        self.leader_heard_at = max(self.leader_heard_at, now - age)
        self.leader_generation = generation
        if own_generation is not None and generation > own_generation:
            self.behind_since = min(self.behind_since, now)
        else:
            self.behind_since = inf

    def list_changed(self, own_generation: int) -> bool:
        """Record a change of this sidecar's list; return whether it is as new as the leader's known list."""
        if self.leader_generation is not None and own_generation < self.leader_generation:
            return False
        self.behind_since = inf
        return True

    def should_watch(self, now: float, own_generation: int | None, is_suspect: bool) -> bool:
        """Whether this sidecar must watch the list itself now. `is_suspect`: its own list is suspect."""
        if own_generation is None or is_suspect:
            return True
        takeover_at = self.leader_heard_at + LEADER_TIMEOUT_SECONDS + self.position * TAKEOVER_SPREAD_SECONDS
        return now >= takeover_at or now >= self.behind_since + self.position * self.spread_seconds
