"""The role `list`: its holder watches the endpoint list for all sidecars, the others follow.

What the holder announces of nodes that drain or have gone is laid over the own list until that is as new.
Nothing that it announces makes a sidecar send to a node: only its own list can name one.
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

HEARTBEAT_INTERVAL_SECONDS = 1.0  # of the holder
WATCH_CHECK_SECONDS = 0.25  # between two checks whether to watch
MAX_REPORTED_NODES = 20  # in one heartbeat: of more, the others hear by their own lists
REPORTED_FOR_SECONDS = 60.0  # after a node began to drain or was gone


class EndpointList(Protocol):
    """The endpoint list's client, as far as it is steered here."""

    version: int | None
    is_watching: bool
    should_continue: Callable[[], bool] | None
    freshness: Any

    def subscribe(self) -> None:
        """Watch the list, unless it is watched already."""

    def pause(self) -> None:
        """Watch it no more, and keep what is known."""


class ListRoleWorker(Protocol):
    """The fleet, as the holder of the role asks and uses it."""

    def active_epoch(self, role: str) -> int | None:
        """Return the epoch to act in; None: this sidecar doesn't hold the role."""

    def record_action(self, role: str) -> None:
        """Note that the role's work was done now."""

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Send a heartbeat to all sidecars of the tier."""


class ListSharing:
    """Decides whether this sidecar watches the endpoint list, and merges its holder's heartbeats.

    It stands between the list's client, which calls `on_list`, and `on_view`.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: ListRoleWorker,
        role: str,
        copies: int,
        number: int,
        on_view: Callable[[View], None],
    ) -> None:
        self.clock = clock
        self.fleet = fleet
        self.role = role
        self.following = WatchDelegation(copies, number)
        self.overlay = EndpointOverrides(on_view)
        self.endpoint_list: EndpointList | None = None
        self.withdrawn: dict[str, float] = {}  # nodes that drain or have gone by the own list, and since when
        self.held_back: frozenset[str] = frozenset()  # those of the holder, laid over the own list
        self.epoch: int | None = None  # in which this sidecar holds the role
        self.seq = 0  # of the last heartbeat
        self.newest_heard = (0, 0)  # epoch and sequence number of the newest heartbeat received
        self.timer: Timer | None = None
        self.is_stopped = False

    def start(self, endpoint_list: EndpointList) -> None:
        """Steer this list from now on."""
        self.endpoint_list = endpoint_list
        endpoint_list.should_continue = self.should_watch
        self.check_watch()

    # The own list

    def on_list(self, view: View) -> None:
        """Take up an update of the own list, and pass it on."""
        now = self.clock.now()
        if view.kind is not ViewKind.FAILED:
            self._record_withdrawn(now, view)
        self.overlay.view(view)
        if view.kind is not ViewKind.FAILED and self.following.list_changed(view.version):
            self.hold_back(frozenset())

    def _record_withdrawn(self, now: float, view: View) -> None:
        if view.kind is not ViewKind.DELTA:
            self.withdrawn.clear()
        for entry in view.entries:
            if entry.state is EndpointState.READY:
                self.withdrawn.pop(entry.endpoint, None)
            else:
                self.withdrawn.setdefault(entry.endpoint, now)

    def should_watch(self) -> bool:
        """Whether this sidecar is to watch the list itself."""
        endpoint_list = self.endpoint_list
        assert endpoint_list is not None
        now = self.clock.now()
        endpoint_list.freshness.update(now)
        is_suspect = endpoint_list.freshness.suspect_since is not None
        return self.epoch is not None or self.following.should_watch(now, endpoint_list.version, is_suspect)

    def check_watch(self) -> None:
        """Start or end the watch as `should_watch` says, and check again.

        What was written by now on a watch that is being ended still counts.
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
        """Begin to announce, as this sidecar has acquired the role, or end."""
        self.epoch = epoch
        if epoch is not None:
            self.seq = 0
            self.send_heartbeat(epoch)

    def send_heartbeat(self, epoch: int) -> None:
        """Announce the own list's version and nodes gone, each second as long as this epoch lasts."""
        if self.is_stopped or epoch != self.epoch or self.fleet.active_epoch(self.role) != epoch:
            return
        now = self.clock.now()
        self.clock.at(now + HEARTBEAT_INTERVAL_SECONDS, self.send_heartbeat, epoch)
        endpoint_list = self.endpoint_list
        # Without a list, or after its watch has failed, there is nothing to announce: then the others watch.
        if endpoint_list is None or endpoint_list.version is None or not endpoint_list.is_watching:
            return
        self.withdrawn = {name: at for name, at in self.withdrawn.items() if now - at < REPORTED_FOR_SECONDS}
        newest_first = sorted(self.withdrawn, key=lambda name: (-self.withdrawn[name], name))
        nodes = tuple(newest_first[:MAX_REPORTED_NODES])
        self.seq += 1
        self.fleet.record_action(self.role)
        self.fleet.send_heartbeat(Heartbeat(self.role, epoch, self.seq, endpoint_list.version, nodes))

    # As a follower

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take up a heartbeat of the holder, unless a newer one was received."""
        order = (heartbeat.epoch, heartbeat.sequence)
        if self.is_stopped or self.endpoint_list is None or order <= self.newest_heard:
            return
        self.newest_heard = order
        own = self.endpoint_list.version
        self.following.leader_heartbeat(self.clock.now(), heartbeat.age_seconds, heartbeat.generation, own)
        is_newer = own is not None and heartbeat.generation > own
        self.hold_back(frozenset(heartbeat.withdrawn if is_newer else ()))

    def hold_back(self, nodes: frozenset[str]) -> None:
        """Show these nodes as draining, and no others, whatever the own list says of them."""
        if nodes == self.held_back:
            return
        added = sorted(nodes - self.held_back)
        self.held_back = nodes
        if added:
            log.line("list-held-back", nodes=",".join(added), generation=self.following.leader_generation)
        self.overlay.set_offline(self.clock.now(), nodes)

    def status(self) -> dict[str, Any]:
        """Describe the state for `GET /control/duties`."""
        endpoint_list = self.endpoint_list
        return {
            "generation": endpoint_list.version if endpoint_list is not None else None,
            "watches": endpoint_list is not None and endpoint_list.is_watching,
            "told": self.following.leader_generation,
            "held_back": sorted(self.held_back),
        }

    def stop(self) -> None:
        """End for good."""
        self.is_stopped = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
