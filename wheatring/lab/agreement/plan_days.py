"""Random days of a fleet that agrees on one plan, and planted faults of its leader that the days must detect.

The same seed gives the same day. Faults begin within seconds of a rollout. On every third day all voters
restart at once and no other process is killed; on the other days two voters never restart within
`VOTER_RESTART_GAP_SECONDS`, because the register does not guarantee to keep an entry that all voters have
forgotten.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import suppress
from math import inf
from random import Random
from typing import NamedTuple

from wheatring.common.errors import OperatorError
from wheatring.fleet.lease.component import Instant
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.compatibility import CheckStage, Verdict
from wheatring.fleet.plan.leader import RolloutLeader
from wheatring.fleet.plan.rollout import Rollout
from wheatring.lab.agreement.plan_fleet import VOTERS, Outcome, PlanFleet, body_of
from wheatring.lab.leases.cluster import PARTITIONED, Node
from wheatring.lab.live.links.link_state import LinkState

FLEET_SIZE, LATE_MEMBERS = 7, 2  # all members, and those of them that are started by a fault only
FIRST_PROPOSAL_SECONDS = 15.0  # from the start of the day
LAST_PROPOSAL_SECONDS = 45.0  # from the start of the day
QUIET_SECONDS = 25.0  # minimum time from the last proposal to the end of the day
MAX_WAIT_SECONDS = 70.0  # maximum time from the last proposal until all proposals are final
VOTER_RESTART_GAP_SECONDS = 16.0  # longer than a voter abstains after its start
KINDS = ("kill", "kill", "stall", "stall", "cut", "lossy", "late", "join", "unheard", "slow", "slow", "slow")


class Fault(NamedTuple):
    """One fault; "lead" among its nodes stands for the leader at that time."""

    at: float
    kind: str
    length: float
    nodes: tuple[str, ...]


def draw_day(seed: int) -> tuple[list[float], list[Fault]]:
    """Draw the times at which plans are proposed, and the faults of a day."""
    random = Random(f"{seed}:plan")
    proposal_times = sorted(
        FIRST_PROPOSAL_SECONDS + random.random() * (LAST_PROPOSAL_SECONDS - FIRST_PROPOSAL_SECONDS - 5)
        for _ in range(random.randint(2, 4))
    )
    names = [f"n{number}" for number in range(FLEET_SIZE - LATE_MEMBERS)]
    faults = []
    for _ in range(random.randint(2, 6)):
        kind = random.choice(KINDS)
        if seed % 3 == 0 and kind == "kill":
            kind = "voters"
        at = random.choice(proposal_times) + random.choice([-0.5, 0.2, 0.6, 1.0, 1.5, 3.0]) * random.random()
        length = min(
            LAST_PROPOSAL_SECONDS + 5 - at, random.choice([0.5, 1.0, 2.0, 4.0, 12.0, 35.0]) * random.random()
        )
        nodes = random.sample(names, random.choice([1, 1, 2]))
        if random.random() < 0.4:
            nodes[0] = "lead"
        if kind == "slow":
            at = random.choice(proposal_times) + 0.2 * random.random()
        if kind == "join":
            nodes = [f"n{FLEET_SIZE - 1 - random.randrange(LATE_MEMBERS)}"]
        faults.append(Fault(at, kind, length, tuple(dict.fromkeys(nodes))))
    return proposal_times, sorted(faults)


class Day:
    """One day. On most days the leader checks compatibility, and one late member can apply no plan."""

    def __init__(self, seed: int, leader_type: type[RolloutLeader] = RolloutLeader) -> None:
        self.random = Random(f"{seed}:day")
        stage_seconds = 0.1 + 0.5 * self.random.random() if self.random.random() < 0.6 else None
        incompatible = {f"n{FLEET_SIZE - 1}"} if stage_seconds is not None else set()
        self.fleet = PlanFleet(seed, FLEET_SIZE, leader_type, stage_seconds, incompatible, LATE_MEMBERS)
        self.restarted_at = dict.fromkeys((f"n{number}" for number in range(VOTERS)), -inf)
        proposal_times, faults = draw_day(seed)
        for number, at in enumerate(proposal_times):
            self.fleet.cluster.schedule(at, self.propose, f"{seed}-{number}")
        for fault in faults:
            self.fleet.cluster.schedule(fault.at, self.inject, fault)
        self.fleet.cluster.schedule(LAST_PROPOSAL_SECONDS + 5, self.repair)

    def run(self) -> Outcome:
        """Simulate the day, and then some time in which all proposals must become final."""
        self.fleet.cluster.run(LAST_PROPOSAL_SECONDS + QUIET_SECONDS)
        self.fleet.run_until(self.fleet.is_over, MAX_WAIT_SECONDS - QUIET_SECONDS)
        self.fleet.check_end()
        return self.fleet.outcome

    def propose(self, title: str) -> None:
        """Propose a plan at one member, or at two members the same plan or different ones."""
        alive = self.fleet.alive()
        nodes = self.random.sample(alive, min(len(alive), self.random.choice([1, 1, 2])))
        for number, node in enumerate(nodes):
            is_other = number and self.random.random() < 0.6
            body = body_of(f"{title}{'-b' if is_other else ''}", 3000 if len(title) % 2 else 0)
            with suppress(OperatorError):  # raised while the member is in no view
                self.fleet.propose(node.name, body)

    # Faults

    def inject(self, fault: Fault) -> None:
        """Begin a fault, and schedule its end."""
        cluster = self.fleet.cluster
        leader = self.fleet.leader() or "n0"
        names = [leader if name == "lead" else name for name in fault.nodes]
        end_at = cluster.now + max(0.05, fault.length)
        nodes = [cluster.nodes[name] for name in dict.fromkeys(names)]
        match fault.kind:
            case "join":
                for node in nodes:
                    cluster.start(node)
            case "voters":
                voters = list(cluster.nodes.values())[:VOTERS]
                if cluster.now > VOTER_RESTART_GAP_SECONDS + max(self.restarted_at.values()):
                    for node in voters:
                        self.kill(node, cluster.now + min(fault.length, 2.0))
            case "kill":
                for node in nodes:
                    if node.name not in self.restarted_at or cluster.now > VOTER_RESTART_GAP_SECONDS + max(
                        self.restarted_at.values()
                    ):
                        self.kill(node, end_at)
            case "stall" | "slow":
                if fault.kind == "slow":  # a new member joins while the others wait for this one
                    end_at = cluster.now + 4.5
                    cluster.schedule(cluster.now + 0.2, cluster.start, cluster.nodes[f"n{FLEET_SIZE - 1}"])
                for node in nodes:
                    cluster.stop(node)
                    cluster.schedule(end_at, cluster.resume, node)
            case "cut":
                cluster.isolate([node.name for node in nodes], PARTITIONED)
                cluster.schedule(end_at, cluster.heal)
            case "unheard":
                others = [name for name in cluster.nodes if name not in names]
                cluster.set_link(names, others, PARTITIONED)
                cluster.schedule(end_at, cluster.heal)
            case "late":
                slow = LinkState(delay=1.5, jitter=1.0, duplicate=0.3, reorder=0.3)
                cluster.isolate([node.name for node in nodes], slow)
                cluster.schedule(end_at, cluster.heal)
            case "lossy":
                lossy = LinkState(delay=0.001, drop=0.3, duplicate=0.1, reorder=0.1)
                cluster.set_link(list(cluster.nodes), list(cluster.nodes), lossy)
                cluster.schedule(end_at, cluster.heal)

    def kill(self, node: Node, restart_at: float) -> None:
        """Kill a node, and start it again at `restart_at`."""
        cluster = self.fleet.cluster
        if node.fleet is None:
            return
        if node.name in self.restarted_at:
            self.restarted_at[node.name] = restart_at
        cluster.kill(node)
        cluster.schedule(restart_at, cluster.start, node)

    def repair(self) -> None:
        """End all faults."""
        cluster = self.fleet.cluster
        cluster.heal()
        for node in cluster.nodes.values():
            cluster.resume(node)


def play(seed: int, leader_type: type[RolloutLeader] = RolloutLeader) -> Outcome:
    """Simulate one day."""
    return Day(seed, leader_type).run()


# Planted faults


class VerdictOutlivesView(RolloutLeader):
    """Applies a verdict even after the view has changed to which it belongs."""

    def _check_verdict(self, at: Instant, rollout: Rollout) -> Verdict:
        if rollout.verdict.stage is CheckStage.COMPATIBLE:
            return rollout.verdict._replace(view_number=self.views.view.number)
        return super()._check_verdict(at, rollout)


class SilenceIsConsent(RolloutLeader):
    """Assumes that a member that was asked has stored the plan, even if it does not answer."""

    def missing_members(self, rollout: Rollout) -> list[ViewMember]:
        """Leave out the members that were asked."""
        return [
            missing
            for missing in super().missing_members(rollout)
            if rollout.requested_at.get((missing.member.name, missing.incarnation), inf) == inf
        ]


class MajorityIsEnough(RolloutLeader):
    """Commits a plan once a majority of the view has stored it."""

    def missing_members(self, rollout: Rollout) -> list[ViewMember]:
        """Return no member once a majority has stored the plan."""
        missing = super().missing_members(rollout)
        return missing if 2 * len(missing) >= len(rollout.view.members) else []


PLANTED_FAULTS = (
    ("a verdict that outlives its view", VerdictOutlivesView),
    ("a member without an answer that counts as consenting", SilenceIsConsent),
    ("a leader that commits before all members have stored the plan", MajorityIsEnough),
)
MAX_DAYS_TO_FIND = 60  # within which a planted fault must be found


def find_fault(number: int) -> tuple[int, str]:
    """Return the first day that detects a planted fault, and the breach; (0, "") if none does."""
    for seed in range(1, MAX_DAYS_TO_FIND + 1):
        if breaches := play(seed, PLANTED_FAULTS[number][1]).breaches:
            return seed, breaches[0]
    return 0, ""


def report(days: int, workers: int, fail: Callable[[], object]) -> Iterator[str]:
    """Yield the report line by line; `fail` is called for each undetected fault and each breach."""
    with ProcessPoolExecutor(workers) as pool:
        found = pool.map(find_fault, range(len(PLANTED_FAULTS)))
        played = list(pool.map(play, range(1, days + 1), chunksize=5))
        for (description, _), (seed, breach) in zip(PLANTED_FAULTS, found, strict=True):
            if not seed:
                fail()
            yield f"found: {description}; day {seed}, {breach}" if seed else f"NOT FOUND: {description}"
        breaches = [(day.seed, breach) for day in played for breach in day.breaches]
        yield (
            f"{len(played)} drawn days: {sum(day.committed for day in played)} plans settled, "
            f"{sum(day.rejected for day in played)} pushes refused, "
            f"{sum(day.unknown for day in played)} lost, "
            f"{sum(day.applied for day in played)} times a sidecar went on to one, {len(breaches)} breaches"
        )
        for seed, breach in breaches[:20]:
            fail()
            yield f"    day {seed}, {breach}"
