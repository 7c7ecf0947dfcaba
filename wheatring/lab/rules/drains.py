"""The third rule: tracks which state of each node every sidecar knows, or is presumed to know.

The rule forbids attempts to a node that the sidecar knows to be draining or gone. A sidecar is presumed to
know a change, whether discovery has sent it or not:

- during a long-polling call, 2 s after the end of its wait;
- during a call without a wait, `told_within` after the later of the call and the change;
- without an open call, `ask_within` after the last call ended, or four times that if it failed.

If a call ends without the change, the presumption depends on the next call. If changes reach a sidecar out of
order, the older one has no effect.
"""

from __future__ import annotations

from typing import NamedTuple

from wheatring.lab.event_recorder import NodeState
from wheatring.lab.plan import Plan
from wheatring.lab.rules.links import ELSEWHERE, Links

AFTER_WAIT_SECONDS = 2.0
AFTER_FAILURE_FACTOR = 4
MAX_KEPT_CHANGES = 16  # per node


class Change:
    """A change of a node's state that discovery knows, numbered by `sequence` over all nodes."""

    __slots__ = ("known_at", "sequence", "started_at", "state")

    def __init__(self, sequence: int, known_at: float, state: NodeState, started_at: float) -> None:
        self.sequence = sequence
        self.known_at = known_at
        self.state = state
        self.started_at = started_at


class ListCall(NamedTuple):
    """An open call of a sidecar to discovery."""

    since: float
    wait: float  # longest wait for a change, in seconds

    @property
    def until(self) -> float:
        """The time at which the wait ends."""
        return self.since + self.wait


class SidecarKnowledge:
    """Changes that a sidecar has been notified of, or is presumed to know, since its start."""

    __slots__ = (
        "calls",
        "idle_since",
        "last_call_failed",
        "newest",
        "pending",
        "presumed",
        "unavailable_since",
    )

    def __init__(self, at: float) -> None:
        self.calls: list[ListCall] = []
        self.idle_since = at  # end of the last call
        self.last_call_failed = False
        self.pending: dict[str, list[Change]] = {}  # by node
        self.newest: dict[str, Change] = {}  # newest known or presumed change, by node
        self.presumed: dict[str, Change] = {}  # newest presumed change, by node
        self.unavailable_since: dict[str, float] = {}  # by node known to be draining or gone


class Drains:
    """Tracks the node states known to each sidecar. Times are seconds on the world's clock."""

    def __init__(self, plan: Plan, links: Links) -> None:
        self.links = links
        self.rules = plan.rules
        self.must_ask = plan.discovery.must_ask
        self.tier_of = {node.name: node.tier for node in plan.nodes}
        self.sends_to = {sidecar.name: 0 for sidecar in plan.sidecars}
        self.sends_to.update({node.name: node.tier + 1 for node in plan.nodes})
        self.knowledge_by_sidecar: dict[str, SidecarKnowledge] = {}
        self.changes: dict[str, list[Change]] = {}  # by node, oldest first
        self.change_count = 0
        self.ever_unavailable: dict[str, None] = {}  # nodes that were draining or gone at any time
        self.late_count = 0  # notifications sent after the change was presumed known

    # Sidecars

    def sidecar_up(self, sidecar: str, at: float) -> None:
        """Record that a sidecar has started without knowledge of the nodes."""
        knowledge = self.knowledge_by_sidecar[sidecar] = SidecarKnowledge(at)
        tier = self.sends_to.get(sidecar)
        for node, changes in self.changes.items():
            if self.tier_of.get(node) == tier:
                knowledge.pending[node] = [changes[-1]]

    def sidecar_down(self, sidecar: str) -> None:
        """Record that a sidecar has ended."""
        self.knowledge_by_sidecar.pop(sidecar, None)

    def record_call(self, sidecar: str, wait: float, at: float) -> None:
        """Record a call of a sidecar to discovery that may wait for `wait` seconds."""
        knowledge = self.knowledge_of(sidecar, at)
        self._apply_due_changes(knowledge, at)
        knowledge.calls.append(ListCall(at, wait))

    def record_call_end(self, sidecar: str, failed: bool, at: float) -> None:
        """Record that a call ended without a change; `failed` if it failed."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None or not knowledge.calls:
            return  # the calling process has ended
        self._apply_due_changes(knowledge, at)
        # The event does not identify the call; assume the one with the earliest end of its wait.
        knowledge.calls.remove(min(knowledge.calls, key=lambda call: call.until))
        knowledge.idle_since = at
        knowledge.last_call_failed = failed

    def knowledge_of(self, sidecar: str, at: float) -> SidecarKnowledge:
        """Return the knowledge of a sidecar; an unknown sidecar is recorded as started."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            self.sidecar_up(sidecar, at)
            knowledge = self.knowledge_by_sidecar[sidecar]
        return knowledge

    # Changes

    def record_state(self, node: str, state: NodeState, started: float, at: float) -> None:
        """Record that discovery knows a new state of a node."""
        self.change_count += 1
        change = Change(self.change_count, at, state, started)
        changes = self.changes.setdefault(node, [])
        changes.append(change)
        del changes[:-MAX_KEPT_CHANGES]
        if state != "ready":
            self.ever_unavailable[node] = None
        tier = self.tier_of.get(node)
        for sidecar, knowledge in self.knowledge_by_sidecar.items():
            if self.sends_to.get(sidecar) == tier:
                pending = knowledge.pending.setdefault(node, [])
                pending.append(change)
                del pending[:-MAX_KEPT_CHANGES]

    def record_notification(
        self, sidecar: str, node: str, state: NodeState, started: float, at: float
    ) -> None:
        """Record that discovery has sent a state of a node to a sidecar."""
        knowledge = self.knowledge_of(sidecar, at)
        self._apply_due_changes_of(knowledge, node, at)
        change = None
        for each in reversed(self.changes.get(node, ())):
            if each.state == state and each.started_at == started:
                change = each
                break
        if change is None:  # a state that was never recorded as known to discovery still counts
            self.change_count += 1
            change = Change(self.change_count, at, state, started)
        newest = knowledge.newest.get(node)
        if newest is not None and newest.sequence >= change.sequence:
            if knowledge.presumed.pop(node, None) is change:
                self.late_count += 1
            return
        pending = knowledge.pending.get(node)
        if pending is not None:
            later = [each for each in pending if each.sequence > change.sequence]
            if later:
                knowledge.pending[node] = later
            else:
                del knowledge.pending[node]
        # A notification sent into a partition does not arrive: only the presumed time applies.
        cut = self.links.was_cut(sidecar, ELSEWHERE, at, at)
        self._apply_change(knowledge, node, change, self._presumed_known_at(knowledge, change) if cut else at)

    def _apply_change(self, knowledge: SidecarKnowledge, node: str, change: Change, at: float) -> None:
        knowledge.newest[node] = change
        if change.state == "ready":
            knowledge.unavailable_since.pop(node, None)
        else:
            self.ever_unavailable[node] = None
            knowledge.unavailable_since.setdefault(node, at)

    # Presumed knowledge

    def _presumed_known_at(self, knowledge: SidecarKnowledge, change: Change) -> float:
        """Return when a change is presumed known, given the open calls or the end of the last one."""
        rules = self.rules
        if not self.must_ask:
            return change.known_at + rules.told_within
        if not knowledge.calls:
            factor = AFTER_FAILURE_FACTOR if knowledge.last_call_failed else 1
            return max(change.known_at, knowledge.idle_since) + factor * rules.ask_within
        latest = 0.0
        for call in knowledge.calls:
            if call.wait > 0 and change.known_at <= call.until:
                latest = max(latest, call.until + AFTER_WAIT_SECONDS)
            else:
                latest = max(latest, max(change.known_at, call.since) + rules.told_within)
        return latest

    def _apply_due_changes(self, knowledge: SidecarKnowledge, at: float) -> None:
        for node in list(knowledge.pending):
            self._apply_due_changes_of(knowledge, node, at)

    def _apply_due_changes_of(self, knowledge: SidecarKnowledge, node: str, at: float) -> None:
        pending = knowledge.pending.get(node)
        while pending:
            known_at = self._presumed_known_at(knowledge, pending[0])
            if known_at > at:
                return
            change = knowledge.presumed[node] = pending.pop(0)
            self._apply_change(knowledge, node, change, known_at)
        if pending is not None:
            del knowledge.pending[node]

    # Queries of the checker

    def unavailable_since(self, sidecar: str, node: str, at: float) -> float | None:
        """Return since when the sidecar knows at time `at` that the node is draining or gone, or None."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            return None
        if node in knowledge.pending:
            self._apply_due_changes_of(knowledge, node, at)
        return knowledge.unavailable_since.get(node)

    def is_notified(self, sidecar: str, node: str, since: float, at: float) -> bool:
        """Return whether the sidecar knows at time `at` of a change to ready made at `since` or later."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            return False
        if node in knowledge.pending:
            self._apply_due_changes_of(knowledge, node, at)
        newest = knowledge.newest.get(node)
        return newest is not None and newest.state == "ready" and newest.known_at >= since
