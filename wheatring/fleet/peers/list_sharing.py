"""The role `list`: its holder watches the endpoint list on behalf of all sidecars, the others follow.

The holder announces nodes that are draining or removed. Followers apply these as overrides to their own list
until that is as new. An announcement can never add a node: sidecars only send to nodes of their own list.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from wheatring.balancer.interface import EndpointState, View, ViewKind
from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointOverrides
from wheatring.daemon.lifecycle.watch_delegation import WatchDelegation
from wheatring.fleet.lease.messages import Heartbeat

HEARTBEAT_INTERVAL_SECONDS = 1.0
WATCH_CHECK_SECONDS = 0.25  # interval of the evaluations of `ListSharing.should_watch`
MAX_REPORTED_NODES = 20  # per heartbeat; followers learn of further nodes from their own lists
REPORTED_FOR_SECONDS = 60.0  # the time for which a draining or removed node is announced


class EndpointList(Protocol):
    """The part of the endpoint list's client that list sharing controls."""

    version: int | None
    is_watching: bool
    should_continue: Callable[[], bool] | None
    freshness: Any

    def subscribe(self) -> None:
        """Start watching the list, unless it is watched already."""

    def pause(self) -> None:
        """Stop watching the list, and keep the current one."""


class ListRoleHolder(Protocol):
    """The part of the fleet's runtime that list sharing uses."""

    def active_epoch(self, role: str) -> int | None:
        """Return the epoch to act in; None if this sidecar doesn't hold the role."""

    def record_activity(self, role: str) -> None:
        """Record that the role's work was done now."""

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to all sidecars of the tier."""


class ListSharing:
    """Decides whether this sidecar watches the endpoint list, and applies the holder's heartbeats.

    The list's client calls `on_list` with its updates, which are passed on to `on_view` with the overrides.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: ListRoleHolder,
        role: str,
        sidecar_count: int,
        sidecar_index: int,
        on_view: Callable[[View], None],
    ) -> None:
        self.clock = clock
        self.fleet = fleet
        self.role = role
        self.delegation = WatchDelegation(sidecar_count, sidecar_index)
        self.overrides = EndpointOverrides(on_view)
        self.endpoint_list: EndpointList | None = None
        self.withdrawn: dict[str, float] = {}  # when a node began to drain or was removed, by name
        self.held_back: frozenset[str] = frozenset()  # nodes announced by the holder, applied as overrides
        self.epoch: int | None = None  # epoch in which this sidecar holds the role
        self.seq = 0  # sequence number of the last heartbeat sent
        self.newest_heartbeat = (0, 0)  # epoch and sequence number of the newest heartbeat received
        self.timer: Timer | None = None
        self.is_stopped = False

    def start(self, endpoint_list: EndpointList) -> None:
        """Take control of watching this list."""
        self.endpoint_list = endpoint_list
        endpoint_list.should_continue = self.should_watch
        self.check_watch()

    # The own list

    def on_list(self, view: View) -> None:
        """Apply an update of the own list, and pass it on."""
        now = self.clock.now()
        if view.kind is not ViewKind.FAILED:
            self._record_withdrawn(now, view)
        self.overrides.view(view)
        if view.kind is not ViewKind.FAILED and self.delegation.list_changed(view.version):
            self.set_held_back(frozenset())

    def _record_withdrawn(self, now: float, view: View) -> None:
        if view.kind is not ViewKind.DELTA:
            self.withdrawn.clear()
        for entry in view.entries:
            if entry.state is EndpointState.READY:
                self.withdrawn.pop(entry.endpoint, None)
            else:
                self.withdrawn.setdefault(entry.endpoint, now)

    def should_watch(self) -> bool:
        """Return whether this sidecar has to watch the list itself."""
        endpoint_list = self.endpoint_list
        assert endpoint_list is not None
        now = self.clock.now()
        endpoint_list.freshness.update(now)
        is_suspect = endpoint_list.freshness.suspect_since is not None
        return self.epoch is not None or self.delegation.should_watch(now, endpoint_list.version, is_suspect)

    def check_watch(self) -> None:
        """Start or stop the watch according to `should_watch`, and schedule the next check.

        Updates that were received before the watch stops are still applied.
        """
        if self.is_stopped or self.endpoint_list is None:
            return
        self.timer = self.clock.at(self.clock.now() + WATCH_CHECK_SECONDS, self.check_watch)
        if self.should_watch():
            self.endpoint_list.subscribe()
        elif self.endpoint_list.is_watching and self.endpoint_list.version is not None:
            self.endpoint_list.pause()

    # As the holder

    def on_epoch_changed(self, epoch: int | None) -> None:
        """Start sending heartbeats when the role is acquired, and stop when it is lost."""
        self.epoch = epoch
        if epoch is not None:
            self.seq = 0
            self.send_heartbeat(epoch)

    def send_heartbeat(self, epoch: int) -> None:
        """Announce the own list's version and withdrawn nodes, each second while the epoch lasts."""
        if self.is_stopped or epoch != self.epoch or self.fleet.active_epoch(self.role) != epoch:
            return
        now = self.clock.now()
        self.clock.at(now + HEARTBEAT_INTERVAL_SECONDS, self.send_heartbeat, epoch)
        endpoint_list = self.endpoint_list
        # Without a list, or with a failed watch, nothing is announced, so that the followers watch.
        if endpoint_list is None or endpoint_list.version is None or not endpoint_list.is_watching:
            return
        self.withdrawn = {name: at for name, at in self.withdrawn.items() if now - at < REPORTED_FOR_SECONDS}
        newest_first = sorted(self.withdrawn, key=lambda name: (-self.withdrawn[name], name))
        nodes = tuple(newest_first[:MAX_REPORTED_NODES])
        self.seq += 1
        self.fleet.record_activity(self.role)
        self.fleet.send_heartbeat(Heartbeat(self.role, epoch, self.seq, endpoint_list.version, nodes))

    # As a follower

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat of the holder, unless a newer one was received."""
        received = (heartbeat.epoch, heartbeat.sequence)
        if self.is_stopped or self.endpoint_list is None or received <= self.newest_heartbeat:
            return
        self.newest_heartbeat = received
        own = self.endpoint_list.version
        self.delegation.leader_heartbeat(self.clock.now(), heartbeat.age_seconds, heartbeat.generation, own)
        is_newer = own is not None and heartbeat.generation > own
        self.set_held_back(frozenset(heartbeat.withdrawn if is_newer else ()))

    def set_held_back(self, nodes: frozenset[str]) -> None:
        """Replace the nodes that are treated as draining, whatever their state in the own list."""
        if nodes == self.held_back:
            return
        added = sorted(nodes - self.held_back)
        self.held_back = nodes
        if added:
            log.line("list-held-back", nodes=",".join(added), generation=self.delegation.leader_generation)
        self.overrides.set_offline(self.clock.now(), nodes)

    def status(self) -> dict[str, Any]:
        """Return the status for `GET /control/duties`."""
        endpoint_list = self.endpoint_list
        return {
            "generation": endpoint_list.version if endpoint_list is not None else None,
            "watches": endpoint_list is not None and endpoint_list.is_watching,
            "told": self.delegation.leader_generation,
            "held_back": sorted(self.held_back),
        }

    def stop(self) -> None:
        """Stop permanently."""
        self.is_stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
