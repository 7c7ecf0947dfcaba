"""A fleet in virtual time that agrees on one plan, and the invariants that are checked after each event."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any

from msgspec import Struct, field

from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.payloads import digest
from wheatring.fleet.lease.register_leader import LEADER_ROLE
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.members.view import View
from wheatring.fleet.peers.agreement import LEADER_SETTINGS
from wheatring.fleet.plan.agent import PlanAgent
from wheatring.fleet.plan.compatibility import CheckStage, Reason, Verdict
from wheatring.fleet.plan.document import CommittedPlan, Plan, PlanMatch, PlanRoute
from wheatring.fleet.plan.leader import RolloutLeader
from wheatring.fleet.plan.messages import FINAL_STATES, RolloutState
from wheatring.fleet.plan.parser import encode_plan, parse_plan
from wheatring.fleet.plan.proposals import Proposal
from wheatring.lab.leases.cluster import Cluster, Node

VOTERS = 3
TERMS = LeaseTiming()


def body_of(title: str, size: int = 0) -> bytes:
    """Return the body of a plan of that title, and of `size` bytes at least."""
    routes = [PlanRoute(name="all", weights={"blue": 1})]
    each = len(encode_plan(Plan(format=1, routes=(_route(0),)))) - 20
    routes += [_route(number) for number in range(size // each + 1 if size else 0)]
    return encode_plan(Plan(format=1, title=title, routes=tuple(routes)))


def _route(number: int) -> PlanRoute:
    match = PlanMatch(prefix=f"/part-{number:06}")
    return PlanRoute(name=f"r{number:06}", match=match, weights={"blue": 9, "green": 1})


class ScriptedCheck:
    """A compatibility check that asks no member.

    It knows who is incompatible, and takes a while for each stage.
    """

    def __init__(self, unable: set[str], each: float) -> None:
        self.incompatible = unable
        self.stage_seconds = each
        self.view = View()
        self.started_at = inf
        self.stops = 0

    def start_check(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Outgoing]:  # noqa: ARG002 - the protocol's
        """Start anew."""
        self.started_at, self.view = at.now, view
        return []

    def view_changed(self, at: Instant, view: View) -> list[Outgoing]:
        """Start anew for another view."""
        return self.start_check(at, b"", Plan(format=1, routes=()), view)

    def verdict(self, now: float) -> Verdict:
        """Return a verdict by the time since the start."""
        stage = int((now - self.started_at) / self.stage_seconds) if now >= self.started_at else 0
        of, number = len(self.view.members), self.view.number
        if stage < 2:
            return Verdict((CheckStage.SURVEYING, CheckStage.TESTING)[stage], number, 0, of)
        names = sorted(self.incompatible & self.view.names)
        no = tuple(Reason(name, "unable", "is not able", "-") for name in names)
        return Verdict(CheckStage.INCOMPATIBLE if no else CheckStage.COMPATIBLE, number, of, of, no)

    def stop_check(self) -> None:
        """Note that the check is over."""
        self.started_at = inf
        self.stops += 1


class Outcome(Struct):
    """What happened on a day, or in a story.

    Plans that were committed, proposals that were rejected or whose outcome is unknown, and how often a
    member applied a plan.
    """

    seed: int
    breaches: list[str] = field(default_factory=list)
    committed: int = 0  # entries of the register
    rejected: int = 0  # proposals
    unknown: int = 0
    applied: int = 0  # how often a member applied a plan


class PlanFleet:
    """A fleet and its invariants.

    With `judged` (seconds of each stage) the leaders have a scripted check, by which `unable` members can't
    apply any plan; None is no check. `late` members are not started.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        makes: type[RolloutLeader] = RolloutLeader,
        judged: float | None = None,
        unable: set[str] | None = None,
        late: int = 0,
    ) -> None:
        self.leader_type, self.stage_seconds, self.incompatible = makes, judged, unable or set()
        self.plans: dict[str, PlanAgent] = {}
        self.outcome = Outcome(seed)
        self.applied: dict[str, list[CommittedPlan]] = {}  # by process
        self.current: dict[str, CommittedPlan] = {}
        self.bodies: dict[bytes, bytes] = {}  # all that were proposed, by digest
        self.stored: set[tuple[str, int, bytes]] = set()  # which processes have had which body
        self.accepted: dict[tuple[int, int, bytes], set[str]] = {}  # which voters have accepted an entry
        self.chosen: dict[int, bytes] = {}
        self.proposed: list[tuple[str, int, Proposal]] = []
        self.put: set[tuple[str, int, int]] = set()
        self.cluster = Cluster(
            seed,
            size,
            VoterSet(first_voters(VOTERS)),
            [LEADER_SETTINGS],
            TERMS,
            SwimTiming(),
            zones=2,
            make_components=self._pieces,
        )
        self.cluster.after_event = self.check_after
        for node in list(self.cluster.nodes.values())[: size - late]:
            self.cluster.schedule(self.cluster.random.random(), self.cluster.start, node)

    def _pieces(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        name = fleet.me.name
        views = MembershipViews(at, fleet)
        judge = (
            ScriptedCheck(self.incompatible, self.stage_seconds) if self.stage_seconds is not None else None
        )
        key = f"{name}/{fleet.incarnation}"

        def taken(_at: Instant, settled: CommittedPlan) -> list[Outgoing]:
            """Record the committed plan that a member has taken."""
            self._taken(name, key, settled)
            return []

        plans = PlanAgent(at, fleet, views, judge, taken)
        plans.leader = self.leader_type(fleet, views, plans.register, judge)
        self.plans[name] = plans
        self.current.pop(name, None)
        return [views, views.register, plans, plans.register]

    # Running it

    def alive(self) -> list[Node]:
        """Return the nodes that run."""
        return [
            node for node in self.cluster.nodes.values() if node.fleet is not None and not node.is_stopped
        ]

    def run_until(self, so: Callable[[], Any], timeout_seconds: float = 60.0) -> bool:
        """Run until a condition holds; return whether it does."""
        end = self.cluster.now + timeout_seconds
        while self.cluster.now < end and not so():
            self.cluster.run(self.cluster.now + 0.1)
        return bool(so())

    def has_converged(self) -> bool:
        """Whether all running members are in one view of exactly these, and rely on it."""
        alive = self.alive()
        names = {node.name for node in alive}
        return all(
            self.plans[node.name].views.view.names == names
            and self.plans[node.name].views.is_current(self.cluster.instant(node).now)
            for node in alive
        )

    def leader(self) -> str:
        """Return the member that leads and may put a plan, "" if there is none at the moment."""
        for node in self.alive():
            if self.plans[node.name].register.is_ready and self.is_leading(node):
                return node.name
        return ""

    def is_leading(self, node: Node) -> bool:
        """Whether a node leads by its lease."""
        assert node.fleet is not None
        return node.fleet.roles[LEADER_ROLE].epoch_to_act(self.cluster.instant(node).boot) is not None

    def propose(self, name: str, body: bytes) -> Proposal:
        """Propose a plan at a member."""
        node, plans = self.cluster.nodes[name], self.plans[name]
        assert node.fleet is not None
        self.bodies[digest(body)] = body
        push = plans.propose(self.cluster.instant(node), body)
        self.proposed.append((name, node.starts, push))
        self.cluster.schedule_tick(node)
        return push

    # Invariants

    def _breach(self, what: str) -> None:
        self.outcome.breaches.append(f"{self.cluster.now:.3f} s: {what}")

    def check_after(self, node: Node) -> None:
        """Check the invariants of one node; called after each of its events."""
        assert node.fleet is not None
        plans = self.plans[node.name]
        for key in self.bodies:
            if node.fleet.payloads.get(key) is not None:
                self.stored.add((node.name, node.fleet.incarnation, key))
        if node.number < VOTERS and plans.register.acceptor.accepted.number:
            entry = plans.register.acceptor.accepted
            voters = self.accepted.setdefault((entry.number, entry.epoch, entry.digest), set())
            voters.add(node.name)
            if 2 * len(voters) > VOTERS:
                self._is_chosen(entry.number, entry.digest)
        push = plans.leader.rollout
        if push is not None and push.state == RolloutState.COMMITTING and self.is_leading(node):
            assert plans.leader.epoch is not None
            if (key3 := (node.name, plans.leader.epoch, push.version)) not in self.put:
                self.put.add(key3)
                self._is_put(node, plans.views.view, push.digest)
        if plans.current is not None and plans.current is not self.current.get(node.name):
            self._goes_by(node, plans.current)

    def _is_chosen(self, number: int, key: bytes) -> None:
        if self.chosen.setdefault(number, key) != key:
            self._breach(f"number {number} has two bodies")
        self.outcome.committed = len(self.chosen)

    def _is_put(self, node: Node, view: View, key: bytes) -> None:
        for placed in view.members:
            if (placed.member.name, placed.incarnation, key) not in self.stored:
                self._breach(f"{node.name} puts a plan that {placed.member.name} never held")
            if placed.member.name in self.incompatible and self.stage_seconds is not None:
                self._breach(f"{node.name} puts a plan that {placed.member.name} is not able to go by")

    def _goes_by(self, node: Node, settled: CommittedPlan) -> None:
        assert node.fleet is not None
        was = self.current.get(node.name)
        if was is not None and (settled.version, settled.epoch) <= (was.version, was.epoch):
            self._breach(f"{node.name} goes from {was.version} of {was.epoch} to {settled.version}")
        self.current[node.name] = settled
        body = node.fleet.payloads.get(settled.digest)
        if body is None or digest(body) != settled.digest or parse_plan(body) != settled.plan:
            self._breach(f"{node.name} goes by plan {settled.version} and does not have it whole")
        if self.chosen.get(settled.version) != settled.digest:
            self._breach(f"{node.name} goes by plan {settled.version}, which was not chosen")

    def _taken(self, name: str, process: str, settled: CommittedPlan) -> None:
        before = self.applied.setdefault(process, [])
        if before and settled.version <= before[-1].version:
            self._breach(f"{name} takes {settled.version} after {before[-1].version}")
        before.append(settled)
        self.outcome.applied += 1

    def is_over(self) -> bool:
        """Whether all proposals are final, as far as any process is left that could know."""
        return all(
            push.state in FINAL_STATES
            or (node := self.cluster.nodes[name]).fleet is None
            or node.starts != starts
            for name, starts, push in self.proposed
        )

    def check_end(self) -> None:
        """Check what must hold once all faults are long over."""
        settled = {*self.chosen.values()}
        offered: dict[bytes, int] = {}
        for _, _, push in self.proposed:
            offered[push.digest] = offered.get(push.digest, 0) + 1
        for name, _, push in self.proposed:
            self.outcome.rejected += push.state == RolloutState.REJECTED
            self.outcome.unknown += push.state == "lost"
            if push.state == RolloutState.COMMITTED and push.digest not in settled:
                self._breach(f"{name} tells {push.title} as settled, and it was not")
            if push.state == RolloutState.REJECTED and push.digest in settled and offered[push.digest] == 1:
                self._breach(f"{name} tells {push.title} as refused, and it was settled")
        if not self.is_over():
            self._breach("it is not told what came of a push")
        newest = max(self.chosen, default=0)
        for node in self.alive():
            current = self.plans[node.name].current
            if (current.version if current is not None else 0) != newest:
                self._breach(f"{node.name} goes by {current and current.version}, not by {newest}")
