"""Whether a sidecar asks for the machine list itself, where another one watches it for all.

That one, the holder of the duty, tells each second which generation its list has. As long as it is heard and
the own list is as new, there is nothing to ask for. A sidecar asks itself

- while it has no list, or its list is in doubt by what nodes show (`freshness`);
- when the holder's list is newer: all do, one after another by number, no more a second than the list service
  is held to answer;
- when the holder has not been heard for FRESH: one after another within SPREAD, so that each has asked within
  the platform's 10 s since it was last told.

What the holder tells of nodes that drain or have gone holds at once, as it only makes sidecars send less: see
`peers/listing.py`. That there is a new node only its own list tells a sidecar.

Pure: instants in seconds are handed in.
"""

from __future__ import annotations

from math import inf

from wheatring.lifecycle.freshness import EXPECTED_ANSWER_RATE

LEADER_TIMEOUT_SECONDS = 4.0
TAKEOVER_SPREAD_SECONDS = 4.0


class WatchDelegation:
    """`copies` send into the tier, and this one is `number` of them, from 0."""

    def __init__(self, copies: int, number: int) -> None:
        self.position = number % copies / copies
        self.spread_seconds = copies / EXPECTED_ANSWER_RATE  # seconds over which all ask once
        self.leader_heard_at = -inf  # when the holder told of its list
        self.leader_generation: int | None = None
        self.behind_since = inf  # since when it is known that there is a newer list than this one's

    def leader_heartbeat(self, now: float, age: float, generation: int, own: int | None) -> None:
        """The holder's list had this generation `age` seconds ago."""
        self.leader_heard_at = max(self.leader_heard_at, now - age)
        self.leader_generation = generation
        if own is not None and generation > own:
            self.behind_since = min(self.behind_since, now)
        else:
            self.behind_since = inf

    def list_changed(self, own: int) -> bool:
        """The own list has changed; whether it is as new as the holder's, as far as that was heard."""
        if self.leader_generation is not None and own < self.leader_generation:
            return False
        self.behind_since = inf
        return True

    def should_watch(self, now: float, own: int | None, doubt: bool) -> bool:
        """Whether it is to watch for itself now."""
        if (
            own is None
            or doubt
            or now >= self.leader_heard_at + LEADER_TIMEOUT_SECONDS + self.position * TAKEOVER_SPREAD_SECONDS
        ):
            return True
        return now >= self.behind_since + self.position * self.spread_seconds
