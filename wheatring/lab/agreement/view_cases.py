"""Single faults injected into a virtual fleet that agrees on views, and what is measured of each.

A case begins when the fleet has been in one complete view for a while. `agreement_share` is the share of the
time from the fault on in which all healthy members are in the same view, sampled ten times a second.
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
    """What one case showed.

    `converged_seconds` are from the fault (its end, where it has one) to the expected view, -1 for never;
    `removals` and `admissions` count view changes; `wrongly_removed` counts members; `spread_seconds` is the
    longest time from a change's first member to its last; `datagrams` and `bytes_sent` are what one member
    sends a second; `cpu_seconds` are of CPU time for each second of the fleet.
    """

    case: str
    size: int
    seed: int
    converged_seconds: float  # from the fault (its end, where it has one) to the expected view; -1 is never
    removals: int  # view changes that removed a member, from the fault on
    admissions: int  # view changes that admitted a member
    wrongly_removed: int  # members that were removed and should have stayed
    agreement_share: float
    spread_seconds: float  # from a change's first member to its last, at most
    datagrams: float  # that a member sends a second
    bytes_sent: float
    cpu_seconds: float  # of CPU time, for one second of the fleet


class CaseRun:
    """A fleet and its observer while one case is played.

    `removed` are the members that are to be removed from the view, `fault_end` is when the fault ends.
    """

    def __init__(self, size: int, seed: int, voters: int = 3) -> None:
        self.fleet: Cluster = make_cluster(seed, size, voters)
        self.observer = ViewObserver(self.fleet)
        self.names = list(self.fleet.nodes)
        self.removed: set[str] = set()  # members that should be removed
        self.random = self.fleet.random
        self.fault_end = 0.0  # when the fault ends
        for node in self.fleet.nodes.values():
            self.fleet.schedule(self.random.random(), self.fleet.start, node)

    def kill(self, names: list[str]) -> None:
        """Stop these members for good."""
        for name in names:
            self.fleet.kill(self.fleet.nodes[name])
            self.observer.excluded.add(name)
            self.removed.add(name)

    def stop(self, names: list[str], seconds: float) -> None:
        """Suspend these members for so many seconds."""
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
            found = views_of(node)
            if found is not None and found.register.is_ready:
                return node.name
        return self.names[0]

    def sample_half(self, but: str) -> list[str]:
        """Draw half of the members other than `but`."""
        others = [name for name in self.names if name != but]
        return sorted(self.random.sample(others, len(others) // 2))


def _no_fault(run: CaseRun) -> None:
    """Nothing."""


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
    """From one to one of its subjects."""
    member = run.sample_member()
    found = views_of(run.fleet.nodes[member])
    assert found is not None
    run.fleet.set_link([member], [run.random.choice(found.installer.rings.subjects(member))], PARTITIONED)


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
    """Five voters apart 2, 2 and 1: the others are with the first two. Nobody has a majority."""
    sides = [["n0", "n1", *run.names[5:]], ["n2", "n3"], ["n4"]]
    for side in sides:
        run.fleet.isolate(side, PARTITIONED)
    run.fault_end = run.fleet.now + 20
    run.fleet.schedule(run.fault_end, run.fleet.heal)


def _change_address(run: CaseRun) -> None:
    """One comes back under its name at another address."""
    name = run.random.choice(run.names[5:])
    node = run.fleet.nodes[name]
    run.fleet.kill(node)
    del run.fleet.by_address[node.address]
    node.address = (node.address[0], node.address[1] + 1)
    run.fleet.by_address[node.address] = node
    run.fleet.schedule(run.fleet.now + 0.5, run.fleet.start, node)


def _double_fleet(run: CaseRun) -> None:
    """As many more come within a second, while a third of those who were there die."""
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
    """Play one case and measure it."""
    run = CaseRun(size, seed, 5 if case == "voters-apart" else 3)
    fleet, follow = run.fleet, run.observer
    fleet.run(SETTLE_SECONDS)
    follow.clear()
    for node in fleet.nodes.values():
        node.sent = node.sent_bytes = 0
    began, cpu = fleet.now, process_time()
    CASES[case](run)
    fleet.run(max(run.fault_end, began))
    want = set(run.names) - run.removed
    took = follow.run_until_converged(want, span) if case != "moves" else _moved(run, span)
    fleet.run(max(fleet.now, began + span))
    seconds = fleet.now - began
    nodes = [node for node in fleet.nodes.values() if node.name not in run.removed]
    outs = [move for move in follow.changes if move.removed]
    stopped_long = case == "pause-15"
    wrong = 0 if stopped_long else sum(len(move.removed - run.removed) for move in outs)
    return Measurement(
        case,
        size,
        seed,
        took,
        len(outs),
        sum(bool(move.added) for move in follow.changes),
        wrong,
        follow.agreement_share,
        max((move.last_seen - move.first_seen for move in follow.changes), default=0.0),
        sum(node.sent for node in nodes) / seconds / len(nodes),
        sum(node.sent_bytes for node in nodes) / seconds / len(nodes),
        (process_time() - cpu) / seconds,
    )


def _moved(run: CaseRun, span: float) -> float:
    """Seconds until all know the one that came back by its new place."""
    began = run.fleet.now
    while run.fleet.now - began < span:
        found = [views_of(node) for node in run.observer.healthy()]
        if (
            all(one is not None and one.is_member for one in found)
            and run.observer.changes
            and len({one.view.number for one in found if one is not None}) == 1
        ):
            return run.fleet.now - began
        run.fleet.run(run.fleet.now + 0.1)
    return -1.0


def format_measurement(measured: Measurement) -> str:
    """Return a measurement as a line of the report."""
    return (
        f"{measured.case:13} {measured.size:5} {measured.seed:3}  took {measured.converged_seconds:5.1f} s  "
        f"out {measured.removals} in {measured.admissions} wrong {measured.wrongly_removed}  "
        f"alike {measured.agreement_share:.3f}  last after {measured.spread_seconds:.2f} s  "
        f"{measured.datagrams:.2f} datagrams {measured.bytes_sent:.0f} B a second  "
        f"{1000 * measured.cpu_seconds:.0f} ms CPU a second"
    )
