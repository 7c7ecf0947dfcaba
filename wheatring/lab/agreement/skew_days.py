"""Random days of rollouts in a fleet of mixed versions: no member of a view may be unable to read the plan.

The code for views, registers and compatibility checks is the real one; `plan_driver` leads the rollouts. A
day has plans with few and many requirements, members that restart as older or newer versions or as one
without compatibility messages, stalls, loss and partitions. After every event, each process in the newest
committed view must meet all requirements of the newest committed plan. `FAULTS` are planted to show that
breaches are detected.
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
# Capabilities by name and incarnation; None is a version without compatibility messages.
Programs = dict[tuple[str, int], Capabilities | None]


class Day:
    """One day: its fleet, `counts` of events, and `breaches` of the invariant."""

    def __init__(
        self, seed: int, size: int = 7, checker_type: type[CompatibilityChecker] = CompatibilityChecker
    ) -> None:
        self.random = Random(f"skew:{seed}")
        voters = VoterSet(first_voters(VOTERS))
        self.cluster = Cluster(
            seed,
            size,
            voters,
            [LEADER_SETTINGS],
            LeaseTiming(),
            SwimTiming(),
            make_components=self._make_components,
        )
        self.cluster.after_event = self._check_view
        self.checker_type = checker_type
        self.programs: Programs = {}
        self.next_capabilities: dict[str, Capabilities | None] = {}
        self.compiles: dict[str, CompilePlan] = {}  # for members that compile plans differently
        self.drivers: dict[str, PlanDriver] = {}
        self.counts: Counter[str] = Counter()
        self.rejections: tuple[Reason, ...] = ()
        self.breaches: list[str] = []
        self.voter_restarted_at = 0.0
        self.view = View()
        self.newest: tuple[Entry, Plan, bytes] | None = None
        self.minimum = (0, 1)  # number and format of the newest entry
        newest, middle, oldest = (local_capabilities(range(1, last), version=str) for last in (4, 3, 2))
        self.kinds: tuple[Capabilities | None, ...] = (newest, newest, middle, oldest, None)
        for node in self.cluster.nodes.values():
            self.next_capabilities[node.name] = newest
            self.cluster.schedule(self.cluster.random.random(), self.cluster.start, node)

    def _make_components(self, at: Instant, fleet: Fleet) -> list[FleetComponent]:
        capabilities = self.next_capabilities[fleet.me.name]
        self.programs[fleet.me.name, fleet.incarnation] = capabilities
        self.drivers.pop(fleet.me.name, None)
        if capabilities is None:
            views = MembershipViews(at, fleet)
            return [views, views.register]
        driver = self.drivers[fleet.me.name] = PlanDriver(
            at, self, fleet, capabilities, self.checker_type, self.compiles.get(fleet.me.name, compile_body)
        )
        return driver.components

    # Invariants

    def plan_committed(self, entry: Entry, plan: Plan, body: bytes) -> None:
        """Record a committed plan, and check the invariant."""
        if self.newest is None or entry.number > self.newest[0].number:
            self.newest = (entry, plan, body)
            self.counts["settled"] += 1
            self.check()

    def minimum_committed(self, entry: Entry, format: int) -> None:
        """Record a committed minimum format, and check the invariant."""
        if entry.number > self.minimum[0]:
            self.minimum = (entry.number, format)
            self.check()

    def _check_view(self, node: Node) -> None:
        driver = self.drivers.get(node.name)
        if driver is not None and driver.views.view.number > self.view.number:
            self.view = driver.views.view
            self.check()

    def check(self) -> None:
        """Check that each process in the newest view can read the newest plan."""
        needed = requirements_of(*self.newest[1:]) if self.newest is not None else None
        for view_member in self.view.members:
            name = view_member.member.name
            fleet = self.cluster.nodes[name].fleet
            if fleet is None or fleet.incarnation != view_member.incarnation:
                continue
            available = self.programs[name, view_member.incarnation] or LEGACY_CAPABILITIES
            unmet = (
                [one.what for one in unmet_requirements(needed, available, name)]
                if needed is not None
                else []
            )
            if not available.can_read(self.minimum[1]):
                unmet.append(f"it does not read the floor, {self.minimum[1]}")
            for reason in unmet:
                self.breaches.append(f"{self.cluster.now:.2f} s: {name} in view {self.view.number}: {reason}")

    # Events

    def propose(self, plan: Plan) -> None:
        """Start a rollout at the leader, unless one is in progress there."""
        self._at_leader(lambda at, driver: [] if driver.proposed_body else driver.propose(at, plan))

    def move_minimum(self, format: int) -> None:
        """Change the minimum format at the leader."""
        self._at_leader(lambda at, driver: driver.move_minimum(at, format))

    def _at_leader(self, call: Callable[[Instant, PlanDriver], list[Outgoing]]) -> None:
        for name, driver in self.drivers.items():
            node = self.cluster.nodes[name]
            at = self.cluster.instant(node)
            if node.fleet is not driver.fleet or node.is_stopped:
                continue
            if driver.is_leading(at) and driver.views.view.members:
                self.cluster.send(node, call(at, driver))
                return

    def restart(self, name: str, capabilities: Capabilities | None, downtime_seconds: float = 0.2) -> None:
        """Kill a member, and start it with other capabilities `downtime_seconds` later."""
        node = self.cluster.nodes[name]
        self.cluster.kill(node)
        self.next_capabilities[name] = capabilities
        self.cluster.schedule(self.cluster.now + downtime_seconds, self.cluster.start, node)

    def act(self) -> None:
        """Inject one random event."""
        random, cluster = self.random, self.cluster
        others = list(cluster.nodes)[VOTERS:]
        member = random.choice(others)
        match random.choices(range(9), (8, 3, 1, 1, 1, 1, 2, 8, 2))[0]:
            case 0:
                self.propose(draw_plan(random))
            case 1:
                self.restart(member, random.choice(self.kinds), random.choice((0.2, 3.0, 12.0)))
            case 2:  # restarts a voter, unless an earlier one may still be recovering its state
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
                cluster.isolate([member], LinkState(forward=False))
            case 6:
                cluster.heal()
            case 7:
                self.admit_member(member)
            case 8:
                self.move_minimum(random.choice((1, 1, 2, 3)))

    def admit_member(self, name: str) -> None:
        """Let a member join while a plan is rolled out and another member is slow to answer.

        If no member is down, kill `name` instead, so that it can join later.
        """
        cluster, random = self.cluster, self.random
        cluster.default_link = LinkState(delay=0.0005, jitter=0.0005)
        down = [node for node in cluster.nodes.values() if node.fleet is None]
        if not down:
            cluster.kill(cluster.nodes[name])
        elif self.newest is not None and requirements_of(*self.newest[1:]).format > 1:
            self.propose(draw_plan(random, 1))  # older versions may join only under a plan of format 1
        elif down[0].name not in self.view.names:
            self.next_capabilities[down[0].name] = random.choice(self.kinds[1:])
            cluster.start(down[0])
            slow = cluster.nodes[random.choice([other for other in cluster.nodes if other != down[0].name])]
            at = cluster.now + random.random()
            cluster.schedule(at - 0.05, cluster.stop, slow)
            cluster.schedule(at, self.propose, draw_plan(random, random.choice((2, 3))))
            cluster.schedule(at + 2.0, cluster.resume, slow)

    def play(self, seconds: float, settle_seconds: float = 6.0) -> None:
        """Simulate this many seconds, or up to the first breach."""
        self.cluster.run(settle_seconds)
        while self.cluster.now < seconds and not self.breaches:
            self.act()
            self.cluster.run(self.cluster.now + self.random.expovariate(0.5))


# Planted faults


class _VerdictOutlivesView(CheckCoordinator):
    def view_changed(self, now: float, view: View) -> None:
        """Keep only the members of the earlier view."""
        before = dict(self.members)
        super().view_changed(now, view)
        if before:
            self.members = {key: one for key, one in self.members.items() if key in before}


class _SilenceIsConsent(CheckCoordinator):
    def step(self, now: float) -> list[Outgoing]:
        """Treat a member that does not answer as one that agrees."""
        agreed = next((one.result for one in self.members.values() if one.result is not None), None)
        for one in self.members.values():
            if self._is_pending(one) and now >= one.asked_at + 2.0:
                if one.capabilities is None:
                    one.capabilities = Capabilities()
                elif agreed is not None:
                    one.result = TrialResult(self.check_id, 0, agreed.result, agreed.count)
        return super().step(now)


class VerdictOutlivesView(CompatibilityChecker):
    """A verdict that outlives its view."""

    coordinator_type = _VerdictOutlivesView


class SilenceIsConsent(CompatibilityChecker):
    """A member without an answer that counts as compatible."""

    coordinator_type = _SilenceIsConsent


class AdmitsEveryMember(CompatibilityChecker):
    """A leader that admits every member."""

    def admission_refusals(self, at: Instant, view_member: ViewMember) -> tuple[Reason, ...]:  # noqa: ARG002 - the checker's
        """Refuse no member."""
        return ()


FAULTS: tuple[type[CompatibilityChecker], ...] = (VerdictOutlivesView, SilenceIsConsent, AdmitsEveryMember)


def report(days: int, seconds: float = 60.0, seed: int = 0) -> Iterator[tuple[bool, str]]:
    """Simulate days without and then with each planted fault; yield whether a check passed, and its line."""
    played = [Day(number) for number in range(seed, seed + days)]
    for day in played:
        day.play(seconds)
    counts = sum((day.counts for day in played), Counter())
    totals = ", ".join(f"{event} {count}" for event, count in sorted(counts.items()))
    yield bool(counts["settled"]), f"{days} days of {seconds:g} s: {totals}"
    for day in played:
        for breach in day.breaches[:1]:
            yield False, f"breach: {breach}"
    for fault in FAULTS:
        description = " ".join((fault.__doc__ or "").split())
        for number in range(seed, seed + max(20, days)):
            day = Day(number, checker_type=fault)
            day.play(seconds)
            if day.breaches:
                yield True, f"found after {number - seed + 1} days: {description} {day.breaches[0]}"
                break
        else:
            yield False, f"not found: {description}"
