"""Measures how a simulated fleet that agrees on views responds to single faults.

A case begins when the fleet has been in one complete view for a while. `agreement_share` is the share of the
time since the fault during which all healthy members are in the same view, sampled ten times a second.
"""

from __future__ import annotations

from collections.abc import Callable
from time import process_time
from typing import NamedTuple

from wheatring.lab.agreement.view_fleet import ViewObserver, make_cluster, views_of
from wheatring.lab.leases.cluster import PARTITIONED, Cluster
from wheatring.lab.live.links.link_state import LinkState

SETTLE_SECONDS = 25.0  # from the start to the fault
SPAN_SECONDS = 60.0  # from the fault to the end


class Measurement(NamedTuple):
    """The measurement of one case."""

    case: str
    size: int
    seed: int
    converged_seconds: float  # from the fault (or its end, if it ends) to the expected view; -1 if never
    removals: int  # view changes that removed a member, since the fault
    admissions: int  # view changes that admitted a member, since the fault
    wrongly_removed: int  # members that were removed although the fault does not justify it
    agreement_share: float
    spread_seconds: float  # maximum time from the first member to install a view to the last one
    datagrams: float  # sent by a member per second
    bytes_sent: float  # by a member per second
    cpu_seconds: float  # CPU time per simulated second


class CaseRun:
    """The fleet of one case, and its observer."""

    def __init__(self, size: int, seed: int, voters: int = 3) -> None:
        self.fleet: Cluster = make_cluster(seed, size, voters)
        self.observer = ViewObserver(self.fleet)
        self.names = list(self.fleet.nodes)
        self.removed: set[str] = set()  # members that should be removed from the view
        self.random = self.fleet.random
        self.fault_end = 0.0
        for node in self.fleet.nodes.values():
            self.fleet.schedule(self.random.random(), self.fleet.start, node)

    def kill(self, names: list[str]) -> None:
        """Kill these members, which are not restarted."""
        for name in names:
            self.fleet.kill(self.fleet.nodes[name])
            self.observer.excluded.add(name)
            self.removed.add(name)

    def stop(self, names: list[str], seconds: float) -> None:
        """Suspend these members for `seconds`."""
        for name in names:
            self.fleet.stop(self.fleet.nodes[name])
        self.observer.delayed |= {*names}
        self.fault_end = self.fleet.now + seconds
        self.fleet.schedule(self.fault_end, self.resume, names)

    def resume(self, names: list[str]) -> None:
        """Resume suspended members."""
        for name in names:
            self.fleet.resume(self.fleet.nodes[name])
        self.fleet.schedule(self.fleet.now + 0.2, self.observer.delayed.clear)

    def sample_third(self) -> list[str]:
        """Draw a third of the members, none of them a voter."""
        return sorted(self.random.sample(self.names[5:], len(self.names) // 3))

    def sample_member(self) -> str:
        """Draw one member."""
        return self.random.choice(self.names)

    def leader(self) -> str:
        """Return the member that leads the register of views, or the first one."""
        for node in self.fleet.nodes.values():
            views = views_of(node)
            if views is not None and views.register.is_ready:
                return node.name
        return self.names[0]

    def sample_half(self, excluded: str) -> list[str]:
        """Draw half of the members other than `excluded`."""
        others = [name for name in self.names if name != excluded]
        return sorted(self.random.sample(others, len(others) // 2))


def _no_fault(run: CaseRun) -> None:
    """Inject no fault."""


def _kill_member(run: CaseRun) -> None:
    run.kill([run.random.choice(run.names[5:])])


def _kill_leader(run: CaseRun) -> None:
    run.kill([run.leader()])


def _kill_third(run: CaseRun) -> None:
    run.kill(sorted(run.random.sample(run.names[5:], len(run.names) // 3)))


def _suspend_third(run: CaseRun, seconds: float) -> None:
    run.stop(run.sample_third(), seconds)


def _lossy_network(run: CaseRun) -> None:
    run.fleet.default_link = LinkState(delay=0.0005, jitter=0.0005, drop=0.3)


def _lossy_member(run: CaseRun) -> None:
    member = run.sample_member()
    run.fleet.set_link([n for n in run.names if n != member], [member], LinkState(delay=0.0005, drop=0.8))


def _cut_edge(run: CaseRun) -> None:
    """Cut the link from a member to one of the members that it monitors."""
    member = run.sample_member()
    views = views_of(run.fleet.nodes[member])
    assert views is not None
    run.fleet.set_link([member], [run.random.choice(views.installer.rings.subjects(member))], PARTITIONED)


def _cut_from_half(run: CaseRun) -> None:
    member = run.sample_member()
    run.fleet.set_link(run.sample_half(member), [member], PARTITIONED)


def _mute_member(run: CaseRun) -> None:
    member = run.random.choice(run.names[5:])
    run.removed.add(member)
    run.observer.excluded.add(member)
    run.fleet.set_link([member], run.names, PARTITIONED)


def _deaf_member(run: CaseRun) -> None:
    member = run.random.choice(run.names[5:])
    run.removed.add(member)
    run.observer.excluded.add(member)
    run.fleet.set_link(run.names, [member], PARTITIONED)


def _partition_voters(run: CaseRun) -> None:
    """Split five voters 2, 2 and 1, all other members being with the first two: no side has a majority."""
    sides = [["n0", "n1", *run.names[5:]], ["n2", "n3"], ["n4"]]
    for side in sides:
        run.fleet.isolate(side, PARTITIONED)
    run.fault_end = run.fleet.now + 20
    run.fleet.schedule(run.fault_end, run.fleet.heal)


def _change_address(run: CaseRun) -> None:
    """Restart a member at another address, under the same name."""
    name = run.random.choice(run.names[5:])
    node = run.fleet.nodes[name]
    run.fleet.kill(node)
    del run.fleet.by_address[node.address]
    node.address = (node.address[0], node.address[1] + 1)
    run.fleet.by_address[node.address] = node
    run.fleet.schedule(run.fleet.now + 0.5, run.fleet.start, node)


def _double_fleet(run: CaseRun) -> None:
    """Start as many members again within a second, while a third of the present ones are killed."""
    from wheatring.lab.leases.cluster import Node

    size = len(run.names)
    _kill_third(run)
    for number in range(size, 2 * size):
        address = (f"127.5.{number // 250}.{number % 250 + 1}", 7000)
        node = Node(f"n{number}", address, number, "z0")
        run.fleet.nodes[node.name] = run.fleet.by_address[address] = node
        run.fleet.schedule(run.fleet.now + run.random.random(), run.fleet.start, node)
    run.names = list(run.fleet.nodes)


CASES: dict[str, Callable[[CaseRun], None]] = {
    "rest": _no_fault,
    "kill-one": _kill_member,
    "kill-leader": _kill_leader,
    "kill-third": _kill_third,
    "pause-5": lambda run: _suspend_third(run, 5.0),
    "pause-15": lambda run: _suspend_third(run, 15.0),
    "loss-30": _lossy_network,
    "loss-80-one": _lossy_member,
    "pair": _cut_edge,
    "half": _cut_from_half,
    "mute": _mute_member,
    "deaf": _deaf_member,
    "voters-apart": _partition_voters,
    "moves": _change_address,
    "join": _double_fleet,
}


def measure(case: str, size: int, seed: int, span: float = SPAN_SECONDS) -> Measurement:
    """Run one case and measure it."""
    run = CaseRun(size, seed, 5 if case == "voters-apart" else 3)
    fleet, observer = run.fleet, run.observer
    fleet.run(SETTLE_SECONDS)
    observer.clear()
    for node in fleet.nodes.values():
        node.sent = node.sent_bytes = 0
    started_at, cpu_start = fleet.now, process_time()
    CASES[case](run)
    fleet.run(max(run.fault_end, started_at))
    expected = set(run.names) - run.removed
    converged = (
        observer.run_until_converged(expected, span) if case != "moves" else _run_until_moved(run, span)
    )
    fleet.run(max(fleet.now, started_at + span))
    seconds = fleet.now - started_at
    nodes = [node for node in fleet.nodes.values() if node.name not in run.removed]
    removals = [change for change in observer.changes if change.removed]
    is_removal_expected = case == "pause-15"
    wrong = 0 if is_removal_expected else sum(len(change.removed - run.removed) for change in removals)
    return Measurement(
        case,
        size,
        seed,
        converged,
        len(removals),
        sum(bool(change.added) for change in observer.changes),
        wrong,
        observer.agreement_share,
        max((change.last_seen - change.first_seen for change in observer.changes), default=0.0),
        sum(node.sent for node in nodes) / seconds / len(nodes),
        sum(node.sent_bytes for node in nodes) / seconds / len(nodes),
        (process_time() - cpu_start) / seconds,
    )


def _run_until_moved(run: CaseRun, span: float) -> float:
    """Run until all members are in a view with the member's new address; return the seconds, -1 if never."""
    started_at = run.fleet.now
    while run.fleet.now - started_at < span:
        all_views = [views_of(node) for node in run.observer.healthy()]
        if (
            all(views is not None and views.is_member for views in all_views)
            and run.observer.changes
            and len({views.view.number for views in all_views if views is not None}) == 1
        ):
            return run.fleet.now - started_at
        run.fleet.run(run.fleet.now + 0.1)
    return -1.0


def format_measurement(result: Measurement) -> str:
    """Return a measurement as a line of the report."""
    return (
        f"{result.case:13} {result.size:5} {result.seed:3}  took {result.converged_seconds:5.1f} s  "
        f"out {result.removals} in {result.admissions} wrong {result.wrongly_removed}  "
        f"alike {result.agreement_share:.3f}  last after {result.spread_seconds:.2f} s  "
        f"{result.datagrams:.2f} datagrams {result.bytes_sent:.0f} B a second  "
        f"{1000 * result.cpu_seconds:.0f} ms CPU a second"
    )
