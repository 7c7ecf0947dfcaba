"""Drawn days of a fleet that agrees on views: faults are injected, invariants hold after every event.

The invariants, read off all members from outside:

- of one number there is one entry and one list of members, over all members and all time;
- no process goes to a lower number, or to a lower epoch of the same;
- no member relies on a view longer than the stamp's lifetime after a newer one was committed;
- no member is removed to which, and to whose links, nothing was done;
- at the end, a while after the last fault, all members are in one view of all, and rely on it;
- on days of one fault: members that die together are removed in one change, and one that a half doesn't reach
  stays.

The same seed gives the same day.
"""

from __future__ import annotations

from random import Random
from typing import Literal, NamedTuple

from msgspec import Struct, field

from wheatring.fleet.lease.leader_stamps import STAMP_VALID_SECONDS
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.lab.agreement.view_fleet import MakePieces, make_agreement, make_cluster, views_of
from wheatring.lab.leases.cluster import PARTITIONED, Node
from wheatring.lab.live.links.link_state import LinkState

Kind = Literal["mixed", "together", "half", "late"]
KINDS: tuple[Kind, ...] = ("mixed", "together", "half", "late")
PROCESS_FAULTS = ("kill", "again", "voters", "die", "stall", "leader")  # all others are of links
SETTLE_SECONDS = 15.0  # from the start to the first fault
RECOVERY_SECONDS = 75.0  # from the last fault's end to the day's: a member removed often waits up to 60 s
TERMS = LeaseTiming()
AFTERMATH_SECONDS = 20.0  # after a fault's end, in which it may still remove a member


class Fault(NamedTuple):
    """One fault: when it begins, its kind, how long it lasts, in seconds, and the members that it affects."""

    at: float
    kind: str
    length: float
    names: tuple[str, ...]
    size: float = 0.0


class Day(Struct):
    """What happened on one day; `removals` counts members, all changes together."""

    seed: int
    kind: Kind
    breaches: list[str] = field(default_factory=list)
    views: int = 0
    removals: int = 0  # of members, all changes together
    events: int = 0
    length_seconds: float = 0.0


def draw_faults(seed: int, kind: Kind, names: list[str], voters: int) -> list[Fault]:
    """Draw the faults of a day."""
    random = Random(f"{seed}:{kind}:faults")
    if kind == "together":
        return [Fault(SETTLE_SECONDS, "die", 0.0, tuple(random.sample(names[voters:], len(names) // 3)))]
    one = random.choice(names[voters:])
    if kind == "half":
        others = [name for name in names if name != one]
        return [Fault(SETTLE_SECONDS, "half", 20.0, (one, *random.sample(others, len(others) // 2)))]
    if kind == "late":
        return [Fault(SETTLE_SECONDS, "late-cut", 30.0, (one,), 4 + 3.5 * random.random())]
    faults, at = [], SETTLE_SECONDS
    for _ in range(random.randint(1, 4)):
        what = random.choice(
            ["kill", "again", "stall", "cut", "one-way", "split", "loss", "late", "voters", "leader"]
        )
        length = random.choice([0.5, 3.0, 6.0, 12.0, 25.0]) * (0.5 + random.random())
        length = 10 * TERMS.lease_seconds if what == "leader" else length
        some = tuple(sorted(random.sample(names, random.choice([1, 1, 2, len(names) // 3]))))
        faults.append(Fault(at, what, length, some, random.random()))
        # Voters that restart learn from others what they had accepted: no link is bad by then.
        apart = random.choice([0.0, 0.3, 1.0]) if what not in ("voters", "kill", "again") else 1.0
        at += max(1.0, apart * length) + (30.0 if what == "voters" else 5.0 * random.random())
    return faults


class DayRun:
    """One day while it is played.

    `positions` are number and epoch of the view that each process is in, `installed_at` is when a view was
    first seen, and `excused_until` is until when a fault may still remove a member.
    """

    def __init__(self, seed: int, kind: Kind = "mixed", makes: MakePieces = make_agreement) -> None:
        random = Random(f"{seed}:day")
        size = random.choice([7, 9, 12]) if kind == "mixed" else 12
        self.voters = random.choice([3, 5]) if kind == "mixed" else 3
        self.fleet = make_cluster(seed, size, self.voters, makes)
        self.day = Day(seed, kind)
        self.fleet.after_event = self.check_after
        self.digests: dict[int, tuple[bytes, bytes]] = {}
        self.names: dict[int, frozenset[str]] = {}
        self.installed_at: dict[int, float] = {}  # when a view was first installed
        self.positions: dict[tuple[str, int], tuple[int, int]] = {}
        self.excused_until: dict[str, float] = {}  # until when a fault may remove a member
        self.changes = 0  # that removed a member, since the faults began
        for node in self.fleet.nodes.values():
            node.clock_drift = TERMS.max_clock_drift * (2 * random.random() - 1)
            self.fleet.schedule(random.random(), self.fleet.start, node)
        faults = draw_faults(seed, kind, list(self.fleet.nodes), self.voters)
        for fault in faults:
            self.fleet.schedule(fault.at, self.inject, fault)
        self.day.length_seconds = max(fault.at + fault.length for fault in faults) + RECOVERY_SECONDS
        self.fleet.schedule(1.0, self.sample)

    def run(self) -> Day:
        """Play the day to its end and check the last invariants."""
        self.fleet.run(self.day.length_seconds)
        here = {node.name for node in self.fleet.nodes.values() if node.fleet is not None}
        for node in self.fleet.nodes.values():
            found = views_of(node)
            if found is None:
                continue
            sure = found.is_current(self.fleet.instant(node).now)
            if found.view.number != max(self.names) or found.view.names != here or not sure:
                view = f"view {found.view.number} of {len(found.view.names)}, sure {sure}"
                self.breach(f"{node.name} ends in {view}; there are {len(here)}")
        if self.day.kind == "together" and self.changes != 1:
            self.breach(f"those who died together went in {self.changes} changes")
        self.day.views = len(self.names)
        return self.day

    def breach(self, what: str) -> None:
        """Note a broken invariant, 20 at most."""
        if len(self.day.breaches) < 20:
            self.day.breaches.append(f"{self.fleet.now:.3f} s: {what}")

    # Faults

    def leader(self) -> str:
        """Return the member that leads the register of views, or the first one."""
        for node in self.fleet.nodes.values():
            found = views_of(node)
            if found is not None and not node.is_stopped and found.register.is_ready:
                return node.name
        return "n0"

    def inject(self, fault: Fault) -> None:
        """Begin a fault, and schedule its end."""
        over = self.fleet.now + (1.0 if fault.kind == "voters" else fault.length)
        if fault.kind in PROCESS_FAULTS:
            touched = self._affected_processes(fault)
            self._inject_in_processes(fault.kind, touched, over)
        else:
            touched = () if fault.kind in ("half", "loss") else fault.names
            self._inject_in_links(fault, over)
        # Where most voters are on the side that a fault affects, it is the others that are cut off.
        if sum(name in touched for name in list(self.fleet.nodes)[: self.voters]) * 2 > self.voters:
            touched = tuple(self.fleet.nodes)
        for name in touched:
            self.excused_until[name] = max(self.excused_until.get(name, 0.0), over + AFTERMATH_SECONDS)

    def _affected_processes(self, fault: Fault) -> tuple[str, ...]:
        if fault.kind == "voters":
            return tuple(self.fleet.nodes)[: self.voters]
        return (self.leader(),) if fault.kind == "leader" else fault.names

    def _inject_in_processes(self, kind: str, names: tuple[str, ...], over: float) -> None:
        """Kill or suspend processes; all but those that die are back at `over`."""
        fleet = self.fleet
        for name in names:
            node = fleet.nodes[name]
            if kind in ("stall", "leader"):
                fleet.stop(node)
                fleet.schedule(over, fleet.resume, node)
                continue
            fleet.kill(node)
            if kind != "die":
                fleet.schedule(over, fleet.start, node)
            if kind == "again":
                fleet.schedule(over + 1.0, fleet.kill, node)
                fleet.schedule(over + 1.5, fleet.start, node)

    def _inject_in_links(self, fault: Fault, over: float) -> None:
        """Put links between the affected members and the others into a bad state until `over`."""
        fleet, names = self.fleet, fault.names
        others = tuple(name for name in fleet.nodes if name not in names)
        match fault.kind:
            case "half":
                target, *half = names
                self.set_links(tuple(half), (target,), PARTITIONED, over)
            case "cut" | "split":
                self.set_links(names, others, PARTITIONED, over)
                self.set_links(others, names, PARTITIONED, over)
            case "one-way":
                froms, tos = (names, others) if fault.size < 0.5 else (others, names)
                self.set_links(froms, tos, PARTITIONED, over)
            case "loss":
                state = LinkState(delay=0.001, jitter=0.001, drop=0.3, duplicate=0.1, reorder=0.1)
                self.set_links(tuple(fleet.nodes), tuple(fleet.nodes), state, over)
            case "late":
                state = LinkState(delay=8 * fault.size, jitter=2.0, duplicate=0.5, reorder=0.5)
                self.set_links(names, others, state, over)
                self.set_links(others, names, state, over)
            case "late-cut":
                self.set_links(others, names, LinkState(delay=fault.size, jitter=0.5), over)
                fleet.schedule(fleet.now + 6.5, self.set_links, others, names, PARTITIONED, over)

    def set_links(self, froms: tuple[str, ...], tos: tuple[str, ...], state: LinkState, over: float) -> None:
        """Put links into a state until `over`."""
        self.fleet.set_link(froms, tos, state)
        self.fleet.schedule(over, self.repair_links, froms, tos, state)

    def repair_links(self, froms: tuple[str, ...], tos: tuple[str, ...], state: LinkState) -> None:
        """Repair links that this fault has put into a state; what another fault has done to them stays."""
        for one in froms:
            for other in tos:
                if self.fleet.links.get((one, other)) is state:
                    del self.fleet.links[one, other]

    # Invariants

    def check_after(self, node: Node) -> None:
        """Check the invariants of one node; called after each of its events."""
        found = views_of(node)
        assert found is not None
        self.day.events += 1
        view, chosen = found.view, found.register.chosen
        stands = (node.name, node.starts)
        if chosen.number:
            known = self.digests.setdefault(chosen.number, (chosen.digest, b""))
            if known[0] != chosen.digest:
                self.breach(f"{node.name} knows another entry {chosen.number}")
        if self.positions.get(stands) != (view.number, view.epoch):
            self.check_installed_view(node, stands)
        self.check_confidence(node)

    def check_installed_view(self, node: Node, stands: tuple[str, int]) -> None:
        """Check a view that a process has newly installed."""
        found = views_of(node)
        assert found is not None
        view = found.view
        if (view.number, view.epoch) < self.positions.get(stands, (0, 0)):
            self.breach(f"{node.name} goes back from {self.positions[stands]} to {view.number}, {view.epoch}")
        self.positions[stands] = (view.number, view.epoch)
        entry, members = self.digests.get(view.number, (found.register.applied.digest, b""))
        if members not in (b"", view.payload):
            self.breach(f"{node.name} stands in another view {view.number}")
        self.digests[view.number] = (entry, view.payload)
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
        """Check that a member does not rely on an old view for too long, by clocks of any allowed rate."""
        found = views_of(node)
        if found is None or node.is_stopped or not found.is_current(self.fleet.instant(node).now):
            return
        newer = self.installed_at.get(found.view.number + 1)
        if newer is not None and self.fleet.now - newer > STAMP_VALID_SECONDS * (
            1 + 2 * TERMS.max_clock_drift
        ):
            late = self.fleet.now - newer
            self.breach(f"{node.name} counts on {found.view.number}, {late:.1f} s after the next was chosen")

    def sample(self) -> None:
        """Check all members, and schedule the next time."""
        for node in self.fleet.nodes.values():
            self.check_confidence(node)
        if self.fleet.now + 0.5 < self.day.length_seconds:
            self.fleet.schedule(self.fleet.now + 0.5, self.sample)


def play(seed: int, kind: Kind = "mixed", makes: MakePieces = make_agreement) -> Day:
    """Play one day."""
    return DayRun(seed, kind, makes).run()
