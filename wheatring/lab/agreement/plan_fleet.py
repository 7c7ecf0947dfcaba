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
TIMING = LeaseTiming()


def body_of(title: str, size: int = 0) -> bytes:
    """Return the body of a plan with this title, of at least `size` bytes."""
    routes = [PlanRoute(name="all", weights={"blue": 1})]
    route_bytes = len(encode_plan(Plan(format=1, routes=(_route(0),)))) - 20
    routes += [_route(number) for number in range(size // route_bytes + 1 if size else 0)]
    return encode_plan(Plan(format=1, title=title, routes=tuple(routes)))


def _route(number: int) -> PlanRoute:
    match = PlanMatch(prefix=f"/part-{number:06}")
    return PlanRoute(name=f"r{number:06}", match=match, weights={"blue": 9, "green": 1})


class ScriptedCheck:
    """A compatibility check that asks no member: its verdicts and the duration of its stages are given."""

    def __init__(self, incompatible: set[str], stage_seconds: float) -> None:
        self.incompatible = incompatible
        self.stage_seconds = stage_seconds
        self.view = View()
        self.started_at = inf
        self.stops = 0

    def start_check(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Outgoing]:  # noqa: ARG002 - the protocol's
        """Start a check."""
        self.started_at, self.view = at.now, view
        return []

    def view_changed(self, at: Instant, view: View) -> list[Outgoing]:
        """Restart the check for a new view."""
        return self.start_check(at, b"", Plan(format=1, routes=()), view)

    def verdict(self, now: float) -> Verdict:
        """Return the verdict, which depends on the time since the start."""
        stage = int((now - self.started_at) / self.stage_seconds) if now >= self.started_at else 0
        size, number = len(self.view.members), self.view.number
        if stage < 2:
            return Verdict((CheckStage.SURVEYING, CheckStage.TESTING)[stage], number, 0, size)
        names = sorted(self.incompatible & self.view.names)
        reasons = tuple(Reason(name, "unable", "is not able", "-") for name in names)
        return Verdict(
            CheckStage.INCOMPATIBLE if reasons else CheckStage.COMPATIBLE, number, size, size, reasons
        )

    def stop_check(self) -> None:
        """Stop the check, and count the call."""
        self.started_at = inf
        self.stops += 1


class Outcome(Struct):
    """The result of a day, or of a scripted test."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    committed: int = 0  # committed entries of the register
    rejected: int = 0  # rejected proposals
    unknown: int = 0  # proposals with an unknown outcome
    applied: int = 0  # times that a member applied a plan


class PlanFleet:
    """A fleet and its invariants.

    With `stage_seconds` the leaders have a scripted check with stages of that length, by which `incompatible`
    members can't apply any plan; None is no check. The last `late` members are not started.
    """

    def __init__(
        self,
        seed: int,
        size: int,
        leader_type: type[RolloutLeader] = RolloutLeader,
        stage_seconds: float | None = None,
        incompatible: set[str] | None = None,
        late: int = 0,
    ) -> None:
        self.leader_type, self.stage_seconds, self.incompatible = (
            leader_type,
            stage_seconds,
            incompatible or set(),
        )
        self.plans: dict[str, PlanAgent] = {}
        self.outcome = Outcome(seed)
        self.applied: dict[str, list[CommittedPlan]] = {}  # by process
        self.current: dict[str, CommittedPlan] = {}
        self.bodies: dict[bytes, bytes] = {}  # proposed bodies by digest
        self.stored: set[tuple[str, int, bytes]] = set()  # name, incarnation, digest of a body once stored
        self.accepted: dict[tuple[int, int, bytes], set[str]] = {}  # voters that have accepted an entry
        self.chosen: dict[int, bytes] = {}
        self.proposed: list[tuple[str, int, Proposal]] = []
        self.put: set[tuple[str, int, int]] = set()
        self.cluster = Cluster(
            seed,
            size,
            VoterSet(first_voters(VOTERS)),
            [LEADER_SETTINGS],
            TIMING,
            SwimTiming(),
            zones=2,
            make_components=self._make_components,
        )
        self.cluster.after_event = self.check_after
        for node in list(self.cluster.nodes.values())[: size - late]:
            self.cluster.schedule(self.cluster.random.random(), self.cluster.start, node)

    def _make_components(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        name = fleet.me.name
        views = MembershipViews(at, fleet)
        check = (
            ScriptedCheck(self.incompatible, self.stage_seconds) if self.stage_seconds is not None else None
        )
        process = f"{name}/{fleet.incarnation}"

        def apply(_at: Instant, committed: CommittedPlan) -> list[Outgoing]:
            """Record the committed plan that a member applies."""
            self._record_applied(name, process, committed)
            return []

        agent = PlanAgent(at, fleet, views, check, apply)
        agent.leader = self.leader_type(fleet, views, agent.register, check)
        self.plans[name] = agent
        self.current.pop(name, None)
        return [views, views.register, agent, agent.register]

    # Running the fleet

    def alive(self) -> list[Node]:
        """Return the nodes whose processes run and are not stopped."""
        return [
            node for node in self.cluster.nodes.values() if node.fleet is not None and not node.is_stopped
        ]

    def run_until(self, condition: Callable[[], Any], timeout_seconds: float = 60.0) -> bool:
        """Run until a condition holds or the time is out; return whether it holds."""
        end = self.cluster.now + timeout_seconds
        while self.cluster.now < end and not condition():
            self.cluster.run(self.cluster.now + 0.1)
        return bool(condition())

    def has_converged(self) -> bool:
        """Whether all running members are in a view of exactly these members and treat it as current."""
        alive = self.alive()
        names = {node.name for node in alive}
        return all(
            self.plans[node.name].views.view.names == names
            and self.plans[node.name].views.is_current(self.cluster.instant(node).now)
            for node in alive
        )

    def leader(self) -> str:
        """Return the member that leads and may commit a plan, "" if there is none."""
        for node in self.alive():
            if self.plans[node.name].register.is_ready and self.is_leading(node):
                return node.name
        return ""

    def is_leading(self, node: Node) -> bool:
        """Whether a node holds the leader's lease."""
        assert node.fleet is not None
        return node.fleet.roles[LEADER_ROLE].epoch_to_act(self.cluster.instant(node).boot) is not None

    def propose(self, name: str, body: bytes) -> Proposal:
        """Propose a plan at a member."""
        node, agent = self.cluster.nodes[name], self.plans[name]
        assert node.fleet is not None
        self.bodies[digest(body)] = body
        proposal = agent.propose(self.cluster.instant(node), body)
        self.proposed.append((name, node.starts, proposal))
        self.cluster.schedule_tick(node)
        return proposal

    # Invariants

    def _breach(self, message: str) -> None:
        self.outcome.breaches.append(f"{self.cluster.now:.3f} s: {message}")

    def check_after(self, node: Node) -> None:
        """Check the invariants of one node; called after each of its events."""
        assert node.fleet is not None
        agent = self.plans[node.name]
        for body_digest in self.bodies:
            if node.fleet.payloads.get(body_digest) is not None:
                self.stored.add((node.name, node.fleet.incarnation, body_digest))
        if node.number < VOTERS and agent.register.acceptor.accepted.number:
            entry = agent.register.acceptor.accepted
            voters = self.accepted.setdefault((entry.number, entry.epoch, entry.digest), set())
            voters.add(node.name)
            if 2 * len(voters) > VOTERS:
                self._record_chosen(entry.number, entry.digest)
        rollout = agent.leader.rollout
        if rollout is not None and rollout.state == RolloutState.COMMITTING and self.is_leading(node):
            assert agent.leader.epoch is not None
            if (put := (node.name, agent.leader.epoch, rollout.version)) not in self.put:
                self.put.add(put)
                self._check_put(node, agent.views.view, rollout.digest)
        if agent.current is not None and agent.current is not self.current.get(node.name):
            self._check_current(node, agent.current)

    def _record_chosen(self, number: int, body_digest: bytes) -> None:
        if self.chosen.setdefault(number, body_digest) != body_digest:
            self._breach(f"number {number} has two bodies")
        self.outcome.committed = len(self.chosen)

    def _check_put(self, node: Node, view: View, body_digest: bytes) -> None:
        for view_member in view.members:
            if (view_member.member.name, view_member.incarnation, body_digest) not in self.stored:
                self._breach(f"{node.name} puts a plan that {view_member.member.name} never held")
            if view_member.member.name in self.incompatible and self.stage_seconds is not None:
                self._breach(f"{node.name} puts a plan that {view_member.member.name} is not able to go by")

    def _check_current(self, node: Node, current: CommittedPlan) -> None:
        assert node.fleet is not None
        previous = self.current.get(node.name)
        if previous is not None and (current.version, current.epoch) <= (previous.version, previous.epoch):
            self._breach(f"{node.name} goes from {previous.version} of {previous.epoch} to {current.version}")
        self.current[node.name] = current
        body = node.fleet.payloads.get(current.digest)
        if body is None or digest(body) != current.digest or parse_plan(body) != current.plan:
            self._breach(f"{node.name} goes by plan {current.version} and does not have it whole")
        if self.chosen.get(current.version) != current.digest:
            self._breach(f"{node.name} goes by plan {current.version}, which was not chosen")

    def _record_applied(self, name: str, process: str, committed: CommittedPlan) -> None:
        applied = self.applied.setdefault(process, [])
        if applied and committed.version <= applied[-1].version:
            self._breach(f"{name} takes {committed.version} after {applied[-1].version}")
        applied.append(committed)
        self.outcome.applied += 1

    def is_over(self) -> bool:
        """Whether all proposals are final, except those of processes that no longer run."""
        return all(
            proposal.state in FINAL_STATES
            or (node := self.cluster.nodes[name]).fleet is None
            or node.starts != starts
            for name, starts, proposal in self.proposed
        )

    def check_end(self) -> None:
        """Check the invariants that must hold some time after the last fault."""
        committed = {*self.chosen.values()}
        proposal_counts: dict[bytes, int] = {}
        for _, _, proposal in self.proposed:
            proposal_counts[proposal.digest] = proposal_counts.get(proposal.digest, 0) + 1
        for name, _, proposal in self.proposed:
            self.outcome.rejected += proposal.state == RolloutState.REJECTED
            self.outcome.unknown += proposal.state == "lost"
            if proposal.state == RolloutState.COMMITTED and proposal.digest not in committed:
                self._breach(f"{name} tells {proposal.title} as settled, and it was not")
            if (
                proposal.state == RolloutState.REJECTED
                and proposal.digest in committed
                and proposal_counts[proposal.digest] == 1
            ):
                self._breach(f"{name} tells {proposal.title} as refused, and it was settled")
        if not self.is_over():
            self._breach("it is not told what came of a push")
        newest = max(self.chosen, default=0)
        for node in self.alive():
            current = self.plans[node.name].current
            if (current.version if current is not None else 0) != newest:
                self._breach(f"{node.name} goes by {current and current.version}, not by {newest}")
