"""The third rule: what each sidecar knows of each node, or counts as knowing, and since when.

A change counts as told, written or not:

- within a call that may wait, 2 s after that wait ends; within another, `told_within` after both were there;
- without a call, `ask_within` after the last one, four times as long where that one failed.

A call that ends untold leaves a change to the next one. Where news reaches a sidecar out of discovery's
order, the older news changes nothing.
"""

from __future__ import annotations

from wheatring.lab.event_recorder import NodeState
from wheatring.lab.plan import Plan
from wheatring.lab.rules.links import ELSEWHERE, Links

AFTER_WAIT_SECONDS = 2.0
AFTER_FAILURE_FACTOR = 4
MAX_KEPT_CHANGES = 16  # changes of one node that are remembered


class Change:
    """One change that discovery has to tell. `order` numbers all of them."""

    __slots__ = ("at", "order", "started", "state")

    def __init__(self, order: int, at: float, state: NodeState, started: float) -> None:
        self.order = order
        self.at = at
        self.state = state
        self.started = started


class SidecarKnowledge:
    """What one sidecar has been told since its start."""

    __slots__ = ("calls", "counted", "failed", "heard", "off", "pending", "quiet")

    def __init__(self, at: float) -> None:
        self.calls: list[tuple[float, float]] = []  # out: since when, and how long each may wait
        self.quiet = at  # without a call since then
        self.failed = False  # the last call
        self.pending: dict[str, list[Change]] = {}  # by node
        self.heard: dict[str, Change] = {}  # the newest, by node
        self.counted: dict[str, Change] = {}  # the newest that counted as told before it was, by node
        self.off: dict[str, float] = {}  # nodes that it may send nothing new to, and since when it knows


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
        self.orders = 0
        self.suspects: dict[str, None] = {}  # nodes that were ever told as draining or gone
        self.late = 0  # changes that were told after they counted as told

    # Sidecars

    def up(self, sidecar: str, at: float) -> None:
        """Note that a sidecar has started, and knows nothing yet."""
        knowledge = self.knowledge_by_sidecar[sidecar] = SidecarKnowledge(at)
        tier = self.sends_to.get(sidecar)
        for node, changes in self.changes.items():
            if self.tier_of.get(node) == tier:
                knowledge.pending[node] = [changes[-1]]

    def down(self, sidecar: str) -> None:
        """Note that a sidecar has ended."""
        self.knowledge_by_sidecar.pop(sidecar, None)

    def record_call(self, sidecar: str, wait: float, at: float) -> None:
        """Note a call of a sidecar to discovery that may wait for `wait` seconds."""
        knowledge = self.knowledge_of(sidecar, at)
        self._settle(knowledge, at)
        knowledge.calls.append((at, wait))

    def record_call_end(self, sidecar: str, failed: bool, at: float) -> None:
        """Note that a call ended without a change, perhaps by a failure."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None or not knowledge.calls:
            return  # the call of a process that has ended
        self._settle(knowledge, at)
        # Which one it is nobody says. The one that waits less is over sooner.
        knowledge.calls.remove(min(knowledge.calls, key=lambda each: each[0] + each[1]))
        knowledge.quiet = at
        knowledge.failed = failed

    def knowledge_of(self, sidecar: str, at: float) -> SidecarKnowledge:
        """Return the knowledge of a sidecar, which is started where it is not known."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            self.up(sidecar, at)
            knowledge = self.knowledge_by_sidecar[sidecar]
        return knowledge

    # News

    def record_state(self, node: str, state: NodeState, started: float, at: float) -> None:
        """Note that discovery knows a new state of a node."""
        self.orders += 1
        change = Change(self.orders, at, state, started)
        changes = self.changes.setdefault(node, [])
        changes.append(change)
        del changes[:-MAX_KEPT_CHANGES]
        if state != "ready":
            self.suspects[node] = None
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
        self._settle_node(knowledge, node, at)
        change = None
        for each in reversed(self.changes.get(node, ())):
            if each.state == state and each.started == started:
                change = each
                break
        if change is None:  # discovery tells what it never knew: news all the same
            self.orders += 1
            change = Change(self.orders, at, state, started)
        heard = knowledge.heard.get(node)
        if heard is not None and heard.order >= change.order:
            if knowledge.counted.pop(node, None) is change:
                self.late += 1
            return
        pending = knowledge.pending.get(node)
        if pending is not None:
            left = [each for each in pending if each.order > change.order]
            if left:
                knowledge.pending[node] = left
            else:
                del knowledge.pending[node]
        # What was written into a cut has not come: it counts as told as if it had never been written.
        cut = self.links.cut(sidecar, ELSEWHERE, at, at)
        self._hear(knowledge, node, change, self._counts_from(knowledge, change) if cut else at)

    def _hear(self, knowledge: SidecarKnowledge, node: str, change: Change, at: float) -> None:
        knowledge.heard[node] = change
        if change.state == "ready":
            knowledge.off.pop(node, None)
        else:
            self.suspects[node] = None
            knowledge.off.setdefault(node, at)

    # What counts as told

    def _counts_from(self, knowledge: SidecarKnowledge, change: Change) -> float:
        """From when on it counts as told, should the sidecar go on as it does."""
        rules = self.rules
        if not self.must_ask:
            return change.at + rules.told_within
        if not knowledge.calls:
            times = AFTER_FAILURE_FACTOR if knowledge.failed else 1
            return max(change.at, knowledge.quiet) + times * rules.ask_within
        last = 0.0
        for since, wait in knowledge.calls:
            until = since + wait
            if wait > 0 and change.at <= until:
                last = max(last, until + AFTER_WAIT_SECONDS)
            else:
                last = max(last, max(change.at, since) + rules.told_within)
        return last

    def _settle(self, knowledge: SidecarKnowledge, at: float) -> None:
        for node in list(knowledge.pending):
            self._settle_node(knowledge, node, at)

    def _settle_node(self, knowledge: SidecarKnowledge, node: str, at: float) -> None:
        pending = knowledge.pending.get(node)
        while pending:
            counts = self._counts_from(knowledge, pending[0])
            if counts > at:
                return
            change = knowledge.counted[node] = pending.pop(0)
            self._hear(knowledge, node, change, counts)
        if pending is not None:
            del knowledge.pending[node]

    # What the rules ask

    def off_since(self, sidecar: str, node: str, at: float) -> float | None:
        """Since when the sidecar knows, at an instant, that the node drains or is gone; None: it does not."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            return None
        if node in knowledge.pending:
            self._settle_node(knowledge, node, at)
        return knowledge.off.get(node)

    def is_notified(self, sidecar: str, node: str, since: float, at: float) -> bool:
        """Whether the sidecar knows, at an instant, that the node runs by a change known after `since`."""
        knowledge = self.knowledge_by_sidecar.get(sidecar)
        if knowledge is None:
            return False
        if node in knowledge.pending:
            self._settle_node(knowledge, node, at)
        heard = knowledge.heard.get(node)
        return heard is not None and heard.state == "ready" and heard.at >= since
