"""A plan played on loopback, in real time: real sidecars, and all that they serve in this process.

It may be done once in a process, as it runs the reactor.
"""

from __future__ import annotations

import gc
import os
import resource
import time
from array import array
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any

import msgspec
from msgspec import field, structs
from twisted.internet import reactor as installed
from twisted.logger import globalLogBeginner

from wheatring.daemon.core.clock import Clock
from wheatring.lab.correlation import CorrelationTable
from wheatring.lab.live import tally
from wheatring.lab.live.lifecycles import Lifecycles
from wheatring.lab.live.links.faults import Faults
from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.live.nodes import Nodes
from wheatring.lab.live.process import ProcessError
from wheatring.lab.live.scale import LINK_EVENTS
from wheatring.lab.live.sidecar_slots import LIST_LINKS, SidecarSlots
from wheatring.lab.live.watch import Watch, Watched
from wheatring.lab.models.clients import Clients
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.front_load_balancer import FrontLoadBalancer
from wheatring.lab.outcome import Outcome
from wheatring.lab.plan import NetPlan, Plan
from wheatring.lab.rules import InvariantChecker
from wheatring.lab.wire.request_format import RequestFormat
from wheatring.lab.wire.sidecar_client import SidecarClient
from wheatring.lab.world.environment import CLIENTS, DISCOVERY, sidecar_hosts
from wheatring.lab.world.events import EventScheduler

LEAD_SECONDS = 0.5  # seconds from when all sidecars listen until the day begins
SETTLE_SECONDS = 0.5  # seconds past the tail
START_TIMEOUT_SECONDS = 20.0  # seconds in which all sidecars must listen, and for each of them so many more
START_TIMEOUT_EACH_SECONDS = 0.5
SPARE_DESCRIPTORS = 200  # descriptors beside listeners and connections
TICK_SECONDS = 0.02  # seconds between looks at how late this process is
MAX_LATE_MS = 20.0  # ms
MAX_BREACHES_SHOWN = 10  # shown
LAB = "lab"
# What links are held to need at most: this process reads what has come only in its turn.
LINKS = NetPlan(same=0.002, cross=0.002, client=0.002, jitter=1.0)
SIDECARS_PER_RELAY = 50  # sidecars whose links one relay carries, while there are fewer than
MAX_RELAYS = 6


class LiveOutcome(Outcome):
    """An outcome as any other, and what was seen of the processes.

    The lab's own is `lab`: it plays nodes, discovery and clients, and where it was late (`late_ms`, p99),
    latencies and breaches say little.
    """

    watched: list[Watched] = field(default_factory=list)
    late_ms: float = 0.0
    late_most_ms: float = 0.0
    left_out: list[str] = field(default_factory=list)  # kinds of events that were not played


class Play:
    """One plan, played with real processes. `say` gets a line now and then."""

    def __init__(
        self, plan: Plan, folder: Path, say: Callable[[str], None], with_links: bool = False
    ) -> None:
        reactor: Any = installed  # Twisted's own type lacks half of its methods
        reactor.seconds = time.monotonic
        self.reactor = reactor
        self.plan = plan
        self.say = say
        self.clock = clock = Clock(reactor)
        self.origins = CorrelationTable(self.random("ids"))
        self.checker = InvariantChecker(
            structs.replace(plan, net=LINKS),
            "live",
            clock.now,
            float("inf"),
            first_try_of=self.origins.first,
        )
        self.registry = Registry(plan.discovery, clock, time.time, self.random("discovery"), self.checker)
        self.front = FrontLoadBalancer(clock, self.random("front"), plan.front_notice)
        self.watch = Watch(clock.now())
        needs_links = with_links or any(event.kind in LINK_EVENTS for event in plan.events)
        self.links = make_links(plan) if needs_links else None
        self.nodes = Nodes(
            reactor, plan, clock, self.origins, self.checker, self.registry,
            lambda name: self.slots.where(name), self.links,
        )  # fmt: skip
        self.slots = SidecarSlots(
            reactor, plan, clock, self.checker, self.registry,
            self.nodes.address, folder, self.watch, self.links,
        )  # fmt: skip
        self.lifecycles = Lifecycles(self.nodes, self.slots, self.front, self.links)
        self.lifecycles.ready, self.lifecycles.failed = self.start_day, self.stop
        self.clients = self._create_clients()
        self.event_scheduler = self._create_event_scheduler()
        self.lateness = array("d")
        self.day_started_at = 0.0
        self.fault: BaseException | None = None
        self.outcome: LiveOutcome | None = None
        self.is_over = False

    def _create_clients(self) -> Clients:
        plan, clock = self.plan, self.clock
        transport = SidecarClient(
            self.reactor, clock, self.checker, RequestFormat(plan.classes), self.slots.where, CLIENTS,
            plan.clients.connections,
        )  # fmt: skip
        return Clients(plan, clock, self.random("clients"), self.origins, self.checker, self.front, transport)

    def _create_event_scheduler(self) -> EventScheduler:
        return EventScheduler(
            self.clock,
            Faults(self.plan, self.nodes, self.links),
            {name: node.machine for name, node in self.nodes.nodes.items()},
            self.registry,
            self.slots,
            self.lifecycles,
            self.checker.record_event,
        )

    def random(self, name: str) -> Random:
        """Make the random numbers of one part, by its name and the plan's seed."""
        return Random(f"{self.plan.seed}:{name}")

    # The day

    def run(self) -> LiveOutcome:
        """Play the whole day.

        Raises
        ------
        ProcessError
            A sidecar doesn't start.
        KeyboardInterrupt
            It is interrupted.
        """
        observers: Any = [self.on_log_entry]
        globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)
        self.reactor.callWhenRunning(self.start_processes)
        try:
            raise_descriptor_limit(self.plan)
            if self.links is not None:
                self.links.reserve(links_of(self.plan))
            self.reactor.run()
        finally:
            self.slots.end()
            if self.links is not None:
                self.links.end()
        if self.fault is not None:
            raise self.fault
        if self.outcome is None:
            raise KeyboardInterrupt
        return self.outcome

    def start_processes(self) -> None:
        """Start what runs from the start."""
        for node in self.plan.nodes:
            self.nodes.add(node.name)
        nodes = [node.name for node in self.plan.nodes if node.up]
        names = [sidecar.name for sidecar in self.plan.sidecars if sidecar.start == 0]
        names += [name for name in nodes if name in self.slots.by_name]
        self.say(f"{len(nodes)} nodes, {len(names)} sidecars from the start on")
        if not names:
            self.starting = self.clock.at(self.clock.now(), self.start_day)
            return
        by = self.clock.now() + START_TIMEOUT_SECONDS + START_TIMEOUT_EACH_SECONDS * len(names)
        self.starting = self.clock.at(by, self.lifecycles.on_start_timeout)
        self.lifecycles.start_all(names)

    def start_day(self) -> None:
        """Begin the day in a moment, as all sidecars listen."""
        if self.starting.active():
            self.starting.cancel()
        gc.collect()
        gc.freeze()  # what lasts all day need not be looked through again and again
        self.day_started_at = day = self.clock.now() + LEAD_SECONDS
        self.clock.at(day, self.on_day_start)

    def on_day_start(self) -> None:
        """Start clients, events and measurements."""
        plan, now = self.plan, self.clock.now()
        self.day_started_at = now
        self.checker.start_day(now)
        self.watch.restart(now)
        self.watch.add(LAB, os.getpid(), now)
        self.clients.start()
        self.event_scheduler.schedule(now, plan.events)
        for sidecar in plan.sidecars:
            if sidecar.start > 0:
                self.clock.at(now + sidecar.start, self.slots.start, self.slots.by_name[sidecar.name])
        self.clock.at(now + plan.length + plan.tail + SETTLE_SECONDS, self.stop)
        self.clock.at(now + 1, self.sample_processes, 2)
        self.measure_lateness(now)
        self.say(f"the day begins, and takes {plan.length + plan.tail + SETTLE_SECONDS:.0f} s")

    def sample_processes(self, number: int) -> None:
        """Sample the processes, each second."""
        self.watch.sample(self.clock.now())
        self.clock.at(self.day_started_at + number, self.sample_processes, number + 1)

    def measure_lateness(self, due: float) -> None:
        """Measure how late this process is."""
        now = self.clock.now()
        self.lateness.append(now - due)
        self.clock.at(now + TICK_SECONDS, self.measure_lateness, now + TICK_SECONDS)

    def stop(self, fault: BaseException | None = None) -> None:
        """End the day, by its time or because of a fault."""
        self.fault = self.fault or fault
        if not self.is_over:
            self.is_over = True
            if fault is None:
                self.watch.sample(self.clock.now())
                # Now: as the reactor stops, it ends connections, which is nobody's breach.
                self.outcome = self.create_outcome()
            self.reactor.stop()

    def on_log_entry(self, event: Mapping[str, Any]) -> None:
        """Stop on a fault of the lab's own that would go unseen in the reactor's log."""
        failure = event.get("log_failure")
        if failure is not None:
            self.stop(failure.value)

    # What came of it

    def create_outcome(self) -> LiveOutcome:
        """Gather the outcome."""
        held = {
            name: {"most_sockets": row.peak_descriptors}
            for name, row in self.watch.watched.items()
            if name in self.slots.by_name
        }
        found = self.checker.finish(self.clock.now() - self.day_started_at, held)
        outcome = LiveOutcome(
            **structs.asdict(found),
            watched=list(self.watch.watched.values()),
            late_ms=tally.percentile_ms(array("d", sorted(self.lateness)), 0.99),
            late_most_ms=max(self.lateness, default=0.0) * 1000,
        )
        return msgspec.convert(msgspec.to_builtins(outcome), LiveOutcome)  # a copy: the checker still writes


def relay_count(plan: Plan) -> int:
    """Return how many relays carry a plan's links."""
    return min(MAX_RELAYS, -(-len(sidecar_hosts(plan)) // SIDECARS_PER_RELAY))


def make_links(plan: Plan) -> LinkController:
    """Make the links between a plan's processes; they are yet to be reserved."""
    hosts = sidecar_hosts(plan)
    hosts |= {node.host: node.host for node in plan.nodes}
    hosts |= {CLIENTS: CLIENTS, **dict.fromkeys(LIST_LINKS, DISCOVERY[0])}
    return LinkController(plan.seed, hosts, plan.net, relay_count(plan))


def links_of(plan: Plan) -> Iterator[str]:
    """Name all links that the day may need."""
    lists = LIST_LINKS if any(event.kind == "discovery_move" for event in plan.events) else LIST_LINKS[:1]
    callers = [[sidecar.name for sidecar in plan.sidecars]]
    callers += [[n.name for n in plan.nodes if n.tier == tier] for tier in range(len(plan.tiers) - 1)]
    for tier, names in enumerate(callers):
        hosts = dict.fromkeys(node.host for node in plan.nodes if node.tier == tier)
        for name in names:
            yield from (f"{name}>{there}" for there in (*lists, *hosts))
            if tier == 0:
                yield f"{CLIENTS}>{name}"


def raise_descriptor_limit(plan: Plan) -> None:
    """Raise this process's limit of descriptors as far as the plan needs; ProcessError if it can't be."""
    listeners = connections = 0
    callers = [len(plan.sidecars)]
    callers += [sum(n.tier == tier for n in plan.nodes) for tier in range(len(plan.tiers) - 1)]
    for tier, count in enumerate(callers):
        listeners += count * sum(n.tier == tier for n in plan.nodes)
    waiting = plan.traffic.rate * max((c.deadline for c in plan.classes), default=0.0)
    connections = 2 * listeners + round(2 * waiting)
    need = listeners + connections + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and need > hard:
        raise ProcessError(
            f"needs some {need} descriptors and may have {hard}: a smaller --scale needs fewer"
        )
    if soft < need:
        resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))


def play(plan: Plan, say: Callable[[str], None], with_links: bool = False) -> LiveOutcome:
    """Play a plan, with links between its processes if it needs them or `with_links` says so.

    However it ends, all its processes have ended then.

    Raises
    ------
    ProcessError
        It can't be played.
    """
    with TemporaryDirectory() as folder:
        return Play(plan, Path(folder), say, with_links).run()


def shown(outcome: LiveOutcome) -> Iterator[str]:
    """Describe an outcome in a few lines."""
    yield (
        f"{outcome.scenario}, seed {outcome.seed}: {outcome.requests} requests in "
        f"{outcome.simulated_s:.0f} s, service {outcome.service:.3f}, G {outcome.g:.3f}"
    )
    for each in outcome.classes:
        yield (
            f"{each.name}: {each.asked} asked, {each.in_time} in time, {each.late} late, "
            f"{each.refused} refused, {each.failed} failed; "
            f"p50 {each.p50_ms:.0f} ms, p99 {each.p99_ms:.0f} ms"
        )
    yield f"{outcome.breach_count} breaches of the rules"
    yield from (
        f"  {each.at:.2f} s, {each.rule}: {each.what}" for each in outcome.breaches[:MAX_BREACHES_SHOWN]
    )
    sidecars = [row for row in outcome.watched if row.looks and row.name != LAB]
    if sidecars:
        cpu = [row.cpu_s / outcome.simulated_s for row in sidecars]
        yield (
            f"{len(sidecars)} sidecars: CPU {max(cpu):.3f} of a core at most, {sum(cpu):.3f} together; "
            f"{max(row.peak_mb for row in sidecars):.0f} MB and "
            f"{max(row.peak_descriptors for row in sidecars)} descriptors at most"
        )
    lab = sum(row.cpu_s for row in outcome.watched if row.name == LAB) / outcome.simulated_s
    yield (
        f"the lab's own process: CPU {lab:.3f} of a core, {outcome.late_ms:.1f} ms late at p99, "
        f"{outcome.late_most_ms:.0f} at most"
    )
    if outcome.late_ms > MAX_LATE_MS:
        yield f"more than {MAX_LATE_MS:.0f} ms: it was the limit, and latencies and breaches say little"
    if outcome.left_out:
        yield f"left out: {', '.join(outcome.left_out)}"
