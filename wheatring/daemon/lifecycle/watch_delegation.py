"""Whether a sidecar watches the endpoint list itself, where a leader among the sidecars watches it for all.

The leader announces each second which generation its list has. As long as it is heard and the own list is as
new, there is nothing to ask for. A sidecar asks itself

- while it has no list, or its list is suspect by what endpoints show (`freshness`);
- when the leader's list is newer: all do, one after another by number, no more a second than the list service
  is expected to answer;
- when the leader has not been heard for LEADER_TIMEOUT_SECONDS: one after another within
  TAKEOVER_SPREAD_SECONDS, so that each has asked within the platform's 10 s since its last notification.

What the leader says of endpoints that drain or have gone counts at once, as it only makes sidecars send less:
see `wheatring.fleet.peers.list_sharing`. That there is a new endpoint only its own list tells a sidecar.

Pure: instants in seconds are handed in.
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
        The time in which all ask once.
    leader_heard_at : float
        When the leader had the list that it last announced.
    leader_generation : int or None
        The generation of that list; None: nothing was heard yet.
    behind_since : float
        Since when it is known that there is a newer list than this sidecar's; inf: none is known.
    """

    def __init__(self, copies: int, number: int) -> None:
        """Begin for sidecar `number`, from 0, of `copies` that send into the tier."""
        self.position = number % copies / copies
        self.spread_seconds = copies / EXPECTED_ANSWER_RATE
        self.leader_heard_at = -inf
        self.leader_generation: int | None = None
        self.behind_since = inf

    def leader_heartbeat(self, now: float, age: float, generation: int, own: int | None) -> None:
        """Take in that the leader's list had a generation `age` seconds ago, and the own list its own."""
        self.leader_heard_at = max(self.leader_heard_at, now - age)
        self.leader_generation = generation
        if own is not None and generation > own:
            self.behind_since = min(self.behind_since, now)
        else:
            self.behind_since = inf

    def list_changed(self, own: int) -> bool:
        """Take in a change of the own list; return whether it is as new as the leader's, as far as known."""
        if self.leader_generation is not None and own < self.leader_generation:
            return False
        self.behind_since = inf
        return True

    def should_watch(self, now: float, own: int | None, doubt: bool) -> bool:
        """Whether this sidecar is to watch for itself now. `doubt`: its own list is suspect."""
        if own is None or doubt:
            return True
        takeover_at = self.leader_heard_at + LEADER_TIMEOUT_SECONDS + self.position * TAKEOVER_SPREAD_SECONDS
        return now >= takeover_at or now >= self.behind_since + self.position * self.spread_seconds
