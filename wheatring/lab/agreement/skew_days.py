"""Drawn days of rollouts in a fleet of older and newer programs: no member may be in a plan it can't read.

The deciders of views, register and compatibility are the real ones; `plan_driver` leads the rollouts. A day
draws plans with more or less requirements, members that stop and come back as older or newer programs or as
one from before these messages, stalls, loss and partitions. After every event, by the newest view and plan
committed anywhere: each process in that view must lack nothing for that plan. `FAULTS` are planted to show
that breaches are found.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from random import Random

from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.register_messages import Entry
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet, first_voters
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.members.view import View
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.peers.agreement import LEADER_SETTINGS
from wheatring.fleet.plan.compatibility import Reason
from wheatring.fleet.plan.document import Plan
from wheatring.fleet.skew.capabilities import LEGACY_CAPABILITIES, Capabilities, local_capabilities
from wheatring.fleet.skew.checker import CompatibilityChecker
from wheatring.fleet.skew.coordinator import CheckCoordinator
from wheatring.fleet.skew.messages import TrialResult
from wheatring.fleet.skew.participant import CompilePlan
from wheatring.fleet.skew.requirements import requirements_of, unmet_requirements
from wheatring.lab.agreement.plan_driver import PlanDriver, compile_body, draw_plan
from wheatring.lab.leases.cluster import Cluster, Node
from wheatring.lab.live.links.link_state import LinkState

VOTERS = 3
Programs = dict[
    tuple[str, int], Capabilities | None
]  # of each process; None is a program from before these messages


class Day:
    """A fleet for a while: `counts` of what happened, `breaches` of the invariant."""

    def __init__(
        self, seed: int, size: int = 7, skew: type[CompatibilityChecker] = CompatibilityChecker
    ) -> None:
        self.random = Random(f"skew:{seed}")
        voters = VoterSet(first_voters(VOTERS))
        self.cluster = Cluster(
            seed, size, voters, [LEADER_SETTINGS], LeaseTiming(), SwimTiming(), make_components=self._pieces
        )
        self.cluster.after_event = self._after
        self.skew = skew
        self.programs: Programs = {}
        self.next_capabilities: dict[str, Capabilities | None] = {}
        self.compiles: dict[str, CompilePlan] = {}  # of members that compile differently
        self.drivers: dict[str, PlanDriver] = {}
        self.counts: Counter[str] = Counter()
        self.rejections: tuple[Reason, ...] = ()
        self.breaches: list[str] = []
        self.voter_restarted_at = 0.0  # when a voter was last restarted
        self.view = View()
        self.newest: tuple[Entry, Plan, bytes] | None = None
        self.minimum = (0, 1)  # the newest entry: its number, and its format
        newer, middle, old = (local_capabilities(range(1, last), version=str) for last in (4, 3, 2))
        self.kinds: tuple[Capabilities | None, ...] = (newer, newer, middle, old, None)
        for node in self.cluster.nodes.values():
            self.next_capabilities[node.name] = newer
            self.cluster.schedule(self.cluster.random.random(), self.cluster.start, node)

    def _pieces(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        abilities = self.next_capabilities[fleet.me.name]
        self.programs[fleet.me.name, fleet.incarnation] = abilities
        self.drivers.pop(fleet.me.name, None)
        if abilities is None:
            views = MembershipViews(at, fleet)
            return [views, views.register]
        pusher = self.drivers[fleet.me.name] = PlanDriver(
            at, self, fleet, abilities, self.skew, self.compiles.get(fleet.me.name, compile_body)
        )
        return pusher.pieces

    # Invariants

    def plan_committed(self, entry: Entry, plan: Plan, body: bytes) -> None:
        """Note a committed plan."""
        if self.newest is None or entry.number > self.newest[0].number:
            self.newest = (entry, plan, body)
            self.counts["settled"] += 1
            self.check()

    def minimum_committed(self, entry: Entry, format: int) -> None:
        """Note a committed minimum format."""
        if entry.number > self.minimum[0]:
            self.minimum = (entry.number, format)
            self.check()

    def _after(self, node: Node) -> None:
        pusher = self.drivers.get(node.name)
        if pusher is not None and pusher.views.view.number > self.view.number:
            self.view = pusher.views.view
            self.check()

    def check(self) -> None:
        """Check that each process in the newest view can read the newest plan."""
        needed = requirements_of(*self.newest[1:]) if self.newest is not None else None
        for placed in self.view.members:
            name = placed.member.name
            fleet = self.cluster.nodes[name].fleet
            if fleet is None or fleet.incarnation != placed.incarnation:
                continue
            can = self.programs[name, placed.incarnation] or LEGACY_CAPABILITIES
            why = [one.what for one in unmet_requirements(needed, can, name)] if needed is not None else []
            if not can.can_read(self.minimum[1]):
                why.append(f"it does not read the floor, {self.minimum[1]}")
            for what in why:
                self.breaches.append(f"{self.cluster.now:.2f} s: {name} in view {self.view.number}: {what}")

    # Events

    def propose(self, plan: Plan) -> None:
        """Start a rollout at whoever leads, unless one is in progress."""
        self._at_leader(lambda at, pusher: [] if pusher.proposed_body else pusher.propose(at, plan))

    def move_minimum(self, format: int) -> None:
        """Move the minimum format at whoever leads."""
        self._at_leader(lambda at, pusher: pusher.move_minimum(at, format))

    def _at_leader(self, do: Callable[[Instant, PlanDriver], list[Outgoing]]) -> None:
        for name, pusher in self.drivers.items():
            node = self.cluster.nodes[name]
            at = self.cluster.instant(node)
            if node.fleet is not pusher.fleet or node.is_stopped:
                continue
            if pusher.is_leading(at) and pusher.views.view.members:
                self.cluster.send(node, do(at, pusher))
                return

    def restart(self, name: str, abilities: Capabilities | None, downtime_seconds: float = 0.2) -> None:
        """Restart a member with other capabilities, `downtime_seconds` later."""
        node = self.cluster.nodes[name]
        self.cluster.kill(node)
        self.next_capabilities[name] = abilities
        self.cluster.schedule(self.cluster.now + downtime_seconds, self.cluster.start, node)

    def act(self) -> None:
        """Inject one drawn event."""
        random, cluster = self.random, self.cluster
        others = list(cluster.nodes)[VOTERS:]
        one = random.choice(others)
        match random.choices(range(9), (8, 3, 1, 1, 1, 1, 2, 8, 2))[0]:
            case 0:
                self.propose(draw_plan(random))
            case 1:
                self.restart(one, random.choice(self.kinds), random.choice((0.2, 3.0, 12.0)))
            case 2:  # a voter, and never two within the time in which one learns what it has forgotten
                if not self.counts["voter"] or cluster.now - self.voter_restarted_at > 20:
                    self.voter_restarted_at = cluster.now
                    self.counts["voter"] += 1
                    self.restart(f"n{random.randrange(VOTERS)}", random.choice(self.kinds[:-1]))
            case 3:
                node = cluster.nodes[random.choice(list(cluster.nodes))]
                cluster.stop(node)
                cluster.schedule(cluster.now + random.choice((0.5, 3.0, 9.0)), cluster.resume, node)
            case 4:
                cluster.default_link = LinkState(
                    delay=0.0005, jitter=0.0005, drop=random.choice((0.0, 0.1, 0.3))
                )
            case 5:
                cluster.isolate([one], LinkState(forward=False))
            case 6:
                cluster.heal()
            case 7:
                self.admit_member(one)
            case 8:
                self.move_minimum(random.choice((1, 1, 2, 3)))

    def admit_member(self, name: str) -> None:
        """Let a stopped member, if any, enter while a plan is rolled out and another is slow to answer."""
        cluster, random = self.cluster, self.random
        cluster.default_link = LinkState(delay=0.0005, jitter=0.0005)
        out = [node for node in cluster.nodes.values() if node.fleet is None]
        if not out:
            cluster.kill(cluster.nodes[name])
        elif self.newest is not None and requirements_of(*self.newest[1:]).format > 1:
            self.propose(draw_plan(random, 1))  # so that older programs may enter at all
        elif out[0].name not in self.view.names:
            self.next_capabilities[out[0].name] = random.choice(self.kinds[1:])
            cluster.start(out[0])
            slow = cluster.nodes[random.choice([other for other in cluster.nodes if other != out[0].name])]
            at = cluster.now + random.random()
            cluster.schedule(at - 0.05, cluster.stop, slow)
            cluster.schedule(at, self.propose, draw_plan(random, random.choice((2, 3))))
            cluster.schedule(at + 2.0, cluster.resume, slow)

    def play(self, seconds: float, quiet: float = 6.0) -> None:
        """Play for so many seconds, or to the first breach."""
        self.cluster.run(quiet)
        while self.cluster.now < seconds and not self.breaches:
            self.act()
            self.cluster.run(self.cluster.now + self.random.expovariate(0.5))


# Planted faults


class _OutlivesItsView(CheckCoordinator):
    def view_changed(self, now: float, view: View) -> None:
        """Keep the members of the earlier view: the planted fault."""
        before = dict(self.members)
        super().view_changed(now, view)
        if before:
            self.members = {key: one for key, one in self.members.items() if key in before}


class _SilentIsYes(CheckCoordinator):
    def step(self, now: float) -> list[Outgoing]:
        """Count a silent member as agreeing: the planted fault."""
        alike = next((one.result for one in self.members.values() if one.result is not None), None)
        for one in self.members.values():
            if self._is_pending(one) and now >= one.asked_at + 2.0:
                if one.capabilities is None:
                    one.capabilities = Capabilities()
                elif alike is not None:
                    one.result = TrialResult(self.check_id, 0, alike.result, alike.count)
        return super().step(now)


class OutlivesItsView(CompatibilityChecker):
    """A verdict that outlives its view."""

    coordinator_type = _OutlivesItsView


class SilentIsYes(CompatibilityChecker):
    """One that does not answer is taken for able, and for alike."""

    coordinator_type = _SilentIsYes


class OpenGate(CompatibilityChecker):
    """Whoever knocks comes in."""

    def admission_refusals(self, at: Instant, placed: ViewMember) -> tuple[Reason, ...]:  # noqa: ARG002 - the checker's
        """Refuse nobody."""
        return ()


FAULTS: tuple[type[CompatibilityChecker], ...] = (OutlivesItsView, SilentIsYes, OpenGate)


def report(days: int, seconds: float = 60.0, seed: int = 0) -> Iterator[tuple[bool, str]]:
    """Play days as they are, then days with each planted fault; yield whether all is well, and a line."""
    played = [Day(number) for number in range(seed, seed + days)]
    for day in played:
        day.play(seconds)
    counts = sum((day.counts for day in played), Counter())
    told = ", ".join(f"{what} {count}" for what, count in sorted(counts.items()))
    yield bool(counts["settled"]), f"{days} days of {seconds:g} s: {told}"
    for day in played:
        for breach in day.breaches[:1]:
            yield False, f"breach: {breach}"
    for fault in FAULTS:
        what = " ".join((fault.__doc__ or "").split())
        for number in range(seed, seed + max(20, days)):
            day = Day(number, skew=fault)
            day.play(seconds)
            if day.breaches:
                yield True, f"found after {number - seed + 1} days: {what} {day.breaches[0]}"
                break
        else:
            yield False, f"not found: {what}"
