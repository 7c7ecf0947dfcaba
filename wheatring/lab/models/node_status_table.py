"""The statuses of nodes as discovery knows them, with delays and false reports.

Changes of statuses become versions of endpoint lists.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from random import Random
from typing import NamedTuple

from wheatring.lab.event_recorder import EventRecorder, NodeState
from wheatring.lab.models.endpoint_list_history import (
    KEPT_VERSIONS,
    EndpointEntry,
    EndpointListHistory,
    RegisteredNode,
)
from wheatring.lab.plan import DiscoveryPlan
from wheatring.lab.timers import Timer, Timers

FALSE_REPORT_PERIOD = 3.0  # seconds after which false reports change to other nodes


class _StatusUpdate(NamedTuple):
    number: int  # sequence number over all updates, in the order of the changes
    name: str
    state: NodeState
    started: float
    started_ms: int


class NodeStatusTable:
    """The statuses of all nodes. Changes are passed in at the instant they happen.

    The recorder receives the statuses that are listed, including false reports. Statuses that become known
    during a freeze of the lists are recorded at its end.

    Parameters
    ----------
    plan
        The delays of discovery.
    timers
        The clock.
    unix
        Returns the present Unix time in seconds.
    random
        Draws the phase of publications and the nodes of false reports.
    recorder
        Records the listed statuses.
    on_publication
        Called with each list that has a new version.
    kept_versions
        Number of past versions since which changes are available.
    """

    def __init__(
        self,
        plan: DiscoveryPlan,
        timers: Timers,
        unix: Callable[[], float],
        random: Random,
        recorder: EventRecorder,
        on_publication: Callable[[EndpointListHistory], None],
        kept_versions: int = KEPT_VERSIONS,
    ) -> None:
        self.plan = plan
        self.timers = timers
        self.unix = unix
        self.random = random
        self.recorder = recorder
        self.on_publication = on_publication
        self.kept_versions = kept_versions
        self.phase = random.uniform(0, plan.period)
        self.histories: dict[int, EndpointListHistory] = {}  # by tier
        # By node: instant and Unix milliseconds of its last start, even if discovery does not know of it yet.
        self.last_starts: dict[str, tuple[float, int]] = {}
        self.known: dict[str, EndpointEntry] = {}  # by node
        self.due: dict[float, list[_StatusUpdate]] = {}  # updates by the instant at which they become known
        self.newest_known: dict[str, int] = {}  # by node: number of the newest known update
        self.update_count = 0
        self.freeze_count = 0
        self.unrecorded: dict[str, None] = {}  # nodes whose changes are recorded after the freeze
        self.false_reports: list[FalseReports] = []

    def history(self, tier: int) -> EndpointListHistory:
        """Return the endpoint list of a tier."""
        history = self.histories.get(tier)
        if history is None:
            history = self.histories[tier] = EndpointListHistory(self.kept_versions)
        return history

    # Changes of nodes

    def register(self, node: RegisteredNode, is_up: bool) -> None:
        """Add a node at the start of the day. It is listed from the start if it is up."""
        history = self.history(node.tier)
        history.register(node)
        started = self.last_starts[node.name] = (node.started, self._unix_ms(node.started))
        entry = self.known[node.name] = EndpointEntry(node, "ready" if is_up else "gone", *started)
        if is_up:
            history.add_initial(entry)
            self.recorder.known(node.name, "ready", node.started)

    def node_started(self, name: str, started: float) -> None:
        """Handle the start of a node's process, or its machine's becoming reachable again."""
        self.last_starts[name] = (started, self._unix_ms(started))
        self._schedule_update(name, "ready", self.plan.add)

    def node_draining(self, name: str) -> None:
        """Handle the start of a node's drain."""
        self._schedule_update(name, "draining", self.plan.notice)

    def node_ended(self, name: str) -> None:
        """Handle the end of a node's process."""
        self._schedule_update(name, "gone", self.plan.notice)

    def node_vanished(self, name: str) -> None:
        """Handle that a node's machine has become unreachable."""
        self._schedule_update(name, "gone", self.plan.silent_notice)

    def _unix_ms(self, instant: float) -> int:
        return round((self.unix() + instant - self.timers.now()) * 1000) if instant > 0 else 0

    def _schedule_update(self, name: str, state: NodeState, delay: float) -> None:
        """Schedule a status to become known at the first publication after a delay."""
        self.update_count += 1
        period, at = self.plan.period, self.timers.now() + delay
        if period > 0:
            at = self.phase + ceil((at - self.phase) / period) * period
        due = self.due.get(at)
        if due is None:
            due = self.due[at] = []
            self.timers.at(at, self._apply_updates, at)
        due.append(_StatusUpdate(self.update_count, name, state, *self.last_starts[name]))

    def _apply_updates(self, at: float) -> None:
        names = []
        for update in self.due.pop(at):
            # An end that is detected late must not override a later start of the node.
            if update.number > self.newest_known.get(update.name, 0):
                self.newest_known[update.name] = update.number
                node = self.known[update.name].node
                self.known[update.name] = EndpointEntry(node, update.state, update.started, update.started_ms)
                names.append(update.name)
        self.publish(names)

    def publish(self, names: list[str]) -> None:
        """Publish the known or falsely reported statuses of nodes."""
        now = self.timers.now()
        by_tier: dict[int, dict[str, EndpointEntry]] = {}
        for name in names:
            entry = self.known[name]
            if any(name in reports.names for reports in self.false_reports):
                entry = entry._replace(state="gone")
            by_tier.setdefault(entry.node.tier, {})[name] = entry
        for tier, entries in by_tier.items():
            history = self.histories[tier]
            changed = history.publish(now, entries.values())
            for entry in changed:
                if self.freeze_count:
                    self.unrecorded[entry.node.name] = None
                else:
                    self.recorder.known(entry.node.name, entry.state, entry.started)
            if changed:
                self.on_publication(history)

    # Faults

    def freeze(self) -> None:
        """Freeze the lists at their present versions until all freezes have ended."""
        if not self.freeze_count:
            for history in self.histories.values():
                history.frozen_version = history.version
        self.freeze_count += 1

    def unfreeze(self) -> None:
        """End one freeze."""
        self.freeze_count -= 1
        if self.freeze_count:
            return
        for history in self.histories.values():
            history.frozen_version = None
        unrecorded, self.unrecorded = self.unrecorded, {}
        for name in unrecorded:
            entry = self.histories[self.known[name].node.tier].latest_entry(name)
            self.recorder.known(name, entry.state, entry.started)


class FalseReports:
    """Reports some of the running nodes as gone, different ones in each period, until `end`.

    Parameters
    ----------
    table
        The table whose nodes are reported.
    share
        The share of each tier's running nodes that is reported; at least one node is.
    """

    def __init__(self, table: NodeStatusTable, share: float) -> None:
        self.table = table
        self.share = share
        self.names: dict[str, None] = {}  # the nodes that are reported now
        self.timer: Timer | None = None
        table.false_reports.append(self)
        self.choose()

    def choose(self) -> None:
        """Choose the nodes of the next period, if possible different ones from the last period."""
        table = self.table
        previous, self.names = self.names, {}
        for tier in table.histories:
            ready = [
                name
                for name, entry in table.known.items()
                if entry.state == "ready" and entry.node.tier == tier
            ]
            count = min(len(ready), max(1, round(self.share * len(ready))))
            others = [name for name in ready if name not in previous]
            chosen = table.random.sample(others if len(others) >= count else ready, count)
            self.names.update(dict.fromkeys(chosen))
        self.timer = table.timers.at(table.timers.now() + FALSE_REPORT_PERIOD, self.choose)
        table.publish([*previous, *self.names])

    def end(self) -> None:
        """End the reports, and list the nodes with their known statuses."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.table.false_reports.remove(self)
        self.table.publish(list(self.names))
