"""The third rule: what each sidecar knows of each node, or is presumed to know, and since when.

A change is presumed to be known, sent or not:

- within a call that may wait, 2 s after that wait ends; within another, `told_within` after both were there;
- without a call, `ask_within` after the last one, four times as long where that one failed.

A call that ends without a change leaves it to the next call. Where changes reach a sidecar out of order, the
older one has no effect.
"""

from __future__ import annotations

from typing import NamedTuple

from wheatring.lab.event_recorder import NodeState
from wheatring.lab.plan import Plan
from wheatring.lab.rules.links import ELSEWHERE, Links

AFTER_WAIT_SECONDS = 2.0
AFTER_FAILURE_FACTOR = 4
MAX_KEPT_CHANGES = 16  # changes of one node that are remembered


class Change:
    """One change of a node's state that discovery knows. `sequence` numbers all of them."""

    __slots__ = ("known_at", "sequence", "started_at", "state")

    def __init__(self, sequence: int, known_at: float, state: NodeState, started_at: float) -> None:
        self.sequence = sequence
        self.known_at = known_at
        self.state = state
        self.started_at = started_at


class ListCall(NamedTuple):
    """A call of a sidecar to discovery that is open."""

    since: float
    wait: float  # seconds that it may wait for a change

    @property
    def until(self) -> float:
        """When its wait is over."""
        return self.since + self.wait


class SidecarKnowledge:
    """What one sidecar has been notified of since its start."""

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
        self.calls: list[ListCall] = []  # open ones
        self.idle_since = at  # without a call since then
        self.last_call_failed = False  # the last call
        self.pending: dict[str, list[Change]] = {}  # by node
        self.newest: dict[str, Change] = {}  # the newest change of which it was notified, by node
        self.presumed: dict[str, Change] = {}  # the newest presumed to be known, by node
        self.unavailable_since: dict[str, float] = {}  # by node that it knows to be draining or gone


class Drains:
    """Keeps what each sidecar knows of each node. Instants are seconds of the world."""

    def __init__(self, plan: Plan, links: Links) -> None:
        self.links = links
        self.rules = plan.rules
        self.must_ask = plan.discovery.must_ask
        self.tier_of = {node.name: node.tier for node in plan.nodes}
        self.sends_to = {sidecar.name: 0 for sidecar in plan.sidecars}
        self.sends_to.update({node.name: node.tier + 1 for node in plan.nodes})
        self.knowledge_by_sidecar: dict[str, SidecarKnowledge] = {}
        self.changes: dict[str, list[Change]] = {}  # by node, the oldest first
        self.change_count = 0
        self.ever_unavailable: dict[str, None] = {}  # nodes that were ever known to be draining or gone
        self.late_count = 0  # changes that a sidecar was notified of after it was presumed to know them

    # Sidecars

    def sidecar_up(self, sidecar: str, at: float) -> None:
        """Note that a sidecar has started, and knows nothing yet."""
        knowledge = self.knowledge_by_sidecar[sidecar] = SidecarKnowledge(at)
        tier = self.sends_to.get(sidecar)
        for node, changes in self.changes.items():
            if self.tier_of.get(node) == tier:
                knowledge.pending[node] = [changes[-1]]

    def sidecar_down(self, sidecar: str) -> None:
        """Note that a sidecar has ended."""
        self.knowledge_by_sidecar.pop(sidecar, None)

    def record_call(self, sidecar: str, wait: float, at: float) -> None:
        """Note a call of a sidecar to discovery that may wait for `wait` seconds."""
        knowledge = self.knowledge_of(sidecar, at)
        self._apply_due_changes(knowledge, at)
        knowledge.calls.append(ListCall(at, wait))

    def record_call_end(self, sidecar: str, failed: bool, at: float) -> None:
        """Note that a call ended without a change, perhaps by a failure."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None or not knowledge.calls:
            return  # the call of a process that has ended
        self._apply_due_changes(knowledge, at)
        # Which one it is nobody says. The one that waits less is over sooner.
        knowledge.calls.remove(min(knowledge.calls, key=lambda call: call.until))
        knowledge.idle_since = at
        knowledge.last_call_failed = failed

    def knowledge_of(self, sidecar: str, at: float) -> SidecarKnowledge:
        """Return the knowledge of a sidecar, which is started where it is not known."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            self.sidecar_up(sidecar, at)
            knowledge = self.knowledge_by_sidecar[sidecar]
        return knowledge

    # Changes

    def record_state(self, node: str, state: NodeState, started: float, at: float) -> None:
        """Note that discovery knows a new state of a node."""
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
        """Note that discovery has sent a state of a node to a sidecar."""
        knowledge = self.knowledge_of(sidecar, at)
        self._apply_due_changes_of(knowledge, node, at)
        change = None
        for each in reversed(self.changes.get(node, ())):
            if each.state == state and each.started_at == started:
                change = each
                break
        if change is None:  # discovery tells what it never knew: news all the same
            self.change_count += 1
            change = Change(self.change_count, at, state, started)
        newest = knowledge.newest.get(node)
        if newest is not None and newest.sequence >= change.sequence:
            if knowledge.presumed.pop(node, None) is change:
                self.late_count += 1
            return
        pending = knowledge.pending.get(node)
        if pending is not None:
            left = [each for each in pending if each.sequence > change.sequence]
            if left:
                knowledge.pending[node] = left
            else:
                del knowledge.pending[node]
        # What was written into a cut has not arrived: it is presumed known as if never written.
        cut = self.links.was_cut(sidecar, ELSEWHERE, at, at)
        self._apply_change(knowledge, node, change, self._presumed_known_at(knowledge, change) if cut else at)

    def _apply_change(self, knowledge: SidecarKnowledge, node: str, change: Change, at: float) -> None:
        knowledge.newest[node] = change
        if change.state == "ready":
            knowledge.unavailable_since.pop(node, None)
        else:
            self.ever_unavailable[node] = None
            knowledge.unavailable_since.setdefault(node, at)

    # What a sidecar is presumed to know

    def _presumed_known_at(self, knowledge: SidecarKnowledge, change: Change) -> float:
        """Return when a change will be presumed known, if the sidecar goes on calling as it does."""
        rules = self.rules
        if not self.must_ask:
            return change.known_at + rules.told_within
        if not knowledge.calls:
            times = AFTER_FAILURE_FACTOR if knowledge.last_call_failed else 1
            return max(change.known_at, knowledge.idle_since) + times * rules.ask_within
        last = 0.0
        for call in knowledge.calls:
            if call.wait > 0 and change.known_at <= call.until:
                last = max(last, call.until + AFTER_WAIT_SECONDS)
            else:
                last = max(last, max(change.known_at, call.since) + rules.told_within)
        return last

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

    # What the rules ask

    def unavailable_since(self, sidecar: str, node: str, at: float) -> float | None:
        """Since when the sidecar knows, at an instant, that the node drains or is gone; None: it does not."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            return None
        if node in knowledge.pending:
            self._apply_due_changes_of(knowledge, node, at)
        return knowledge.unavailable_since.get(node)

    def is_notified(self, sidecar: str, node: str, since: float, at: float) -> bool:
        """Whether the sidecar knows, at an instant, that the node runs by a change known after `since`."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            return False
        if node in knowledge.pending:
            self._apply_due_changes_of(knowledge, node, at)
        newest = knowledge.newest.get(node)
        return newest is not None and newest.state == "ready" and newest.known_at >= since
