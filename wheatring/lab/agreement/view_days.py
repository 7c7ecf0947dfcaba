"""Random days of a fleet that agrees on views: faults are injected, invariants are checked after every event.

The invariants, over the states of all members:

- a view number has one entry and one list of members, across all members and all time;
- no process goes back to a lower view number, or to a lower epoch of the same number;
- no member treats a view as current longer than a stamp's lifetime after a newer one was committed;
- no member is removed unless a fault affects it or its links;
- at the end, some time after the last fault, all members are in one view of all members, and treat it as
  current;
- on days with a single fault: members that fail together are removed in one change, and a member that half of
  the others cannot reach is not removed.

The same seed gives the same day.
"""

from __future__ import annotations

from random import Random
from typing import Literal, NamedTuple

from msgspec import Struct, field

from wheatring.fleet.lease.leader_stamps import STAMP_VALID_SECONDS
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.lab.agreement.view_fleet import MakeComponents, make_agreement, make_cluster, views_of
from wheatring.lab.leases.cluster import PARTITIONED, Node
from wheatring.lab.live.links.link_state import LinkState

Kind = Literal["mixed", "together", "half", "late"]
KINDS: tuple[Kind, ...] = ("mixed", "together", "half", "late")
PROCESS_FAULTS = ("kill", "again", "voters", "die", "stall", "leader")  # all other kinds are link faults
SETTLE_SECONDS = 15.0  # from the start to the first fault
RECOVERY_SECONDS = 75.0  # after the last fault: a member that was removed often waits up to 60 s to join
TIMING = LeaseTiming()
AFTERMATH_SECONDS = 20.0  # time after its end in which a fault may still cause a removal


class Fault(NamedTuple):
    """One fault: when it begins, its kind, how long it lasts, in seconds, and the members that it affects."""

    at: float
    kind: str
    length: float
    names: tuple[str, ...]
    size: float = 0.0


class Day(Struct):
    """The result of one day."""

    seed: int
    kind: Kind
    breaches: list[str] = field(default_factory=list)
    views: int = 0
    removals: int = 0  # removed members, over all changes
    events: int = 0
    length_seconds: float = 0.0


def draw_faults(seed: int, kind: Kind, names: list[str], voters: int) -> list[Fault]:
    """Draw the faults of a day."""
    random = Random(f"{seed}:{kind}:faults")
    if kind == "together":
        return [Fault(SETTLE_SECONDS, "die", 0.0, tuple(random.sample(names[voters:], len(names) // 3)))]
    member = random.choice(names[voters:])
    if kind == "half":
        others = [name for name in names if name != member]
        return [Fault(SETTLE_SECONDS, "half", 20.0, (member, *random.sample(others, len(others) // 2)))]
    if kind == "late":
        return [Fault(SETTLE_SECONDS, "late-cut", 30.0, (member,), 4 + 3.5 * random.random())]
    faults, at = [], SETTLE_SECONDS
    for _ in range(random.randint(1, 4)):
        fault_kind = random.choice(
            ["kill", "again", "stall", "cut", "one-way", "split", "loss", "late", "voters", "leader"]
        )
        length = random.choice([0.5, 3.0, 6.0, 12.0, 25.0]) * (0.5 + random.random())
        length = 10 * TIMING.lease_seconds if fault_kind == "leader" else length
        affected = tuple(sorted(random.sample(names, random.choice([1, 1, 2, len(names) // 3]))))
        faults.append(Fault(at, fault_kind, length, affected, random.random()))
        # Restarted voters recover their accepted entries from others, so no link fault may overlap with that.
        spacing = random.choice([0.0, 0.3, 1.0]) if fault_kind not in ("voters", "kill", "again") else 1.0
        at += max(1.0, spacing * length) + (30.0 if fault_kind == "voters" else 5.0 * random.random())
    return faults


class DayRun:
    """The simulation of one day."""

    def __init__(
        self, seed: int, kind: Kind = "mixed", make_components: MakeComponents = make_agreement
    ) -> None:
        random = Random(f"{seed}:day")
        size = random.choice([7, 9, 12]) if kind == "mixed" else 12
        self.voters = random.choice([3, 5]) if kind == "mixed" else 3
        self.fleet = make_cluster(seed, size, self.voters, make_components)
        self.day = Day(seed, kind)
        self.fleet.after_event = self.check_after
        self.digests: dict[int, tuple[bytes, bytes]] = {}  # digest and payload of each view, by its number
        self.names: dict[int, frozenset[str]] = {}  # members of each view, by its number
        self.installed_at: dict[int, float] = {}  # time at which a view was first installed
        self.positions: dict[tuple[str, int], tuple[int, int]] = {}  # number and epoch of each process's view
        self.excused_until: dict[str, float] = {}  # time until which a fault may cause a member's removal
        self.changes = 0  # view changes that removed a member
        for node in self.fleet.nodes.values():
            node.clock_drift = TIMING.max_clock_drift * (2 * random.random() - 1)
            self.fleet.schedule(random.random(), self.fleet.start, node)
        faults = draw_faults(seed, kind, list(self.fleet.nodes), self.voters)
        for fault in faults:
            self.fleet.schedule(fault.at, self.inject, fault)
        self.day.length_seconds = max(fault.at + fault.length for fault in faults) + RECOVERY_SECONDS
        self.fleet.schedule(1.0, self.sample)

    def run(self) -> Day:
        """Simulate the day and check the final invariants."""
        self.fleet.run(self.day.length_seconds)
        running = {node.name for node in self.fleet.nodes.values() if node.fleet is not None}
        for node in self.fleet.nodes.values():
            views = views_of(node)
            if views is None:
                continue
            is_current = views.is_current(self.fleet.instant(node).now)
            if views.view.number != max(self.names) or views.view.names != running or not is_current:
                view = f"view {views.view.number} of {len(views.view.names)}, sure {is_current}"
                self.breach(f"{node.name} ends in {view}; there are {len(running)}")
        if self.day.kind == "together" and self.changes != 1:
            self.breach(f"those who died together went in {self.changes} changes")
        self.day.views = len(self.names)
        return self.day

    def breach(self, message: str) -> None:
        """Record a broken invariant, at most 20 of them."""
        if len(self.day.breaches) < 20:
            self.day.breaches.append(f"{self.fleet.now:.3f} s: {message}")

    # Faults

    def leader(self) -> str:
        """Return the member that leads the register of views, or the first one."""
        for node in self.fleet.nodes.values():
            views = views_of(node)
            if views is not None and not node.is_stopped and views.register.is_ready:
                return node.name
        return "n0"

    def inject(self, fault: Fault) -> None:
        """Begin a fault, and schedule its end."""
        end_at = self.fleet.now + (1.0 if fault.kind == "voters" else fault.length)
        if fault.kind in PROCESS_FAULTS:
            affected = self._affected_processes(fault)
            self._inject_in_processes(fault.kind, affected, end_at)
        else:
            affected = () if fault.kind in ("half", "loss") else fault.names
            self._inject_in_links(fault, end_at)
        # If the affected side has the majority of voters, the other members are the ones that are cut off.
        if sum(name in affected for name in list(self.fleet.nodes)[: self.voters]) * 2 > self.voters:
            affected = tuple(self.fleet.nodes)
        for name in affected:
            self.excused_until[name] = max(self.excused_until.get(name, 0.0), end_at + AFTERMATH_SECONDS)

    def _affected_processes(self, fault: Fault) -> tuple[str, ...]:
        if fault.kind == "voters":
            return tuple(self.fleet.nodes)[: self.voters]
        return (self.leader(),) if fault.kind == "leader" else fault.names

    def _inject_in_processes(self, kind: str, names: tuple[str, ...], end_at: float) -> None:
        """Kill or suspend processes until `end_at`, or permanently for the kind "die"."""
        fleet = self.fleet
        for name in names:
            node = fleet.nodes[name]
            if kind in ("stall", "leader"):
                fleet.stop(node)
                fleet.schedule(end_at, fleet.resume, node)
                continue
            fleet.kill(node)
            if kind != "die":
                fleet.schedule(end_at, fleet.start, node)
            if kind == "again":
                fleet.schedule(end_at + 1.0, fleet.kill, node)
                fleet.schedule(end_at + 1.5, fleet.start, node)

    def _inject_in_links(self, fault: Fault, end_at: float) -> None:
        """Impair the links between the affected members and the others until `end_at`."""
        fleet, names = self.fleet, fault.names
        others = tuple(name for name in fleet.nodes if name not in names)
        match fault.kind:
            case "half":
                target, *half = names
                self.set_links(tuple(half), (target,), PARTITIONED, end_at)
            case "cut" | "split":
                self.set_links(names, others, PARTITIONED, end_at)
                self.set_links(others, names, PARTITIONED, end_at)
            case "one-way":
                sources, targets = (names, others) if fault.size < 0.5 else (others, names)
                self.set_links(sources, targets, PARTITIONED, end_at)
            case "loss":
                state = LinkState(delay=0.001, jitter=0.001, drop=0.3, duplicate=0.1, reorder=0.1)
                self.set_links(tuple(fleet.nodes), tuple(fleet.nodes), state, end_at)
            case "late":
                state = LinkState(delay=8 * fault.size, jitter=2.0, duplicate=0.5, reorder=0.5)
                self.set_links(names, others, state, end_at)
                self.set_links(others, names, state, end_at)
            case "late-cut":
                self.set_links(others, names, LinkState(delay=fault.size, jitter=0.5), end_at)
                fleet.schedule(fleet.now + 6.5, self.set_links, others, names, PARTITIONED, end_at)

    def set_links(
        self, sources: tuple[str, ...], targets: tuple[str, ...], state: LinkState, end_at: float
    ) -> None:
        """Set the state of links until `end_at`."""
        self.fleet.set_link(sources, targets, state)
        self.fleet.schedule(end_at, self.repair_links, sources, targets, state)

    def repair_links(self, sources: tuple[str, ...], targets: tuple[str, ...], state: LinkState) -> None:
        """Reset the links that still have this state; those changed by another fault keep theirs."""
        for source in sources:
            for target in targets:
                if self.fleet.links.get((source, target)) is state:
                    del self.fleet.links[source, target]

    # Invariants

    def check_after(self, node: Node) -> None:
        """Check the invariants of one node; called after each of its events."""
        views = views_of(node)
        assert views is not None
        self.day.events += 1
        view, chosen = views.view, views.register.chosen
        process = (node.name, node.starts)
        if chosen.number:
            known = self.digests.setdefault(chosen.number, (chosen.digest, b""))
            if known[0] != chosen.digest:
                self.breach(f"{node.name} knows another entry {chosen.number}")
        if self.positions.get(process) != (view.number, view.epoch):
            self.check_installed_view(node, process)
        self.check_confidence(node)

    def check_installed_view(self, node: Node, process: tuple[str, int]) -> None:
        """Check a view that a process has newly installed."""
        views = views_of(node)
        assert views is not None
        view = views.view
        if (view.number, view.epoch) < self.positions.get(process, (0, 0)):
            self.breach(
                f"{node.name} goes back from {self.positions[process]} to {view.number}, {view.epoch}"
            )
        self.positions[process] = (view.number, view.epoch)
        digest, members = self.digests.get(view.number, (views.register.applied.digest, b""))
        if members not in (b"", view.payload):
            self.breach(f"{node.name} stands in another view {view.number}")
        self.digests[view.number] = (digest, view.payload)
        if view.number not in self.names:
            self.names[view.number] = view.names
            self.installed_at[view.number] = self.fleet.now
            self.check_removals(self.names.get(view.number - 1, frozenset()) - view.names)

    def check_removals(self, names: frozenset[str]) -> None:
        """Check that a fault excuses the removal of these members."""
        if not names:
            return
        self.day.removals += len(names)
        self.changes += 1
        for name in sorted(names):
            if self.fleet.now > self.excused_until.get(name, 0.0):
                self.breach(f"{name} goes out, to whom nothing was done")

    def check_confidence(self, node: Node) -> None:
        """Check that a member does not treat an old view as current for too long, given any allowed drift."""
        views = views_of(node)
        if views is None or node.is_stopped or not views.is_current(self.fleet.instant(node).now):
            return
        newer_at = self.installed_at.get(views.view.number + 1)
        if newer_at is not None and self.fleet.now - newer_at > STAMP_VALID_SECONDS * (
            1 + 2 * TIMING.max_clock_drift
        ):
            late = self.fleet.now - newer_at
            self.breach(f"{node.name} counts on {views.view.number}, {late:.1f} s after the next was chosen")

    def sample(self) -> None:
        """Check all members, and schedule the next check."""
        for node in self.fleet.nodes.values():
            self.check_confidence(node)
        if self.fleet.now + 0.5 < self.day.length_seconds:
            self.fleet.schedule(self.fleet.now + 0.5, self.sample)


def play(seed: int, kind: Kind = "mixed", make_components: MakeComponents = make_agreement) -> Day:
    """Simulate one day."""
    return DayRun(seed, kind, make_components).run()
