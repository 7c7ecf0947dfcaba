"""Plays a plan on loopback in real time, with real sidecars; all else runs in this process.

A process can play only one plan, as the reactor can't be restarted.
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

LEAD_SECONDS = 0.5  # from the time that all sidecars listen to the start of the day
SETTLE_SECONDS = 0.5  # from the end of the tail to the end of the run
# All sidecars must listen within a fixed time plus a time for totals of them.
START_TIMEOUT_SECONDS = 20.0
START_TIMEOUT_EACH_SECONDS = 0.5
SPARE_DESCRIPTORS = 200  # for files, pipes and relays, beside listeners and connections
TICK_SECONDS = 0.02  # interval of the measurements of this process's lateness
MAX_LATE_MS = 20.0
MAX_BREACHES_SHOWN = 10
LAB = "lab"  # the name of this process among those watched
# Network delays that the checker allows for: this process may read what has arrived with some delay.
LINKS = NetPlan(same=0.002, cross=0.002, client=0.002, jitter=1.0)
SIDECARS_PER_RELAY = 50  # exceeded once there are MAX_RELAYS relays
MAX_RELAYS = 6


class LiveOutcome(Outcome):
    """An outcome with measurements of the processes.

    This process is named `lab` and runs nodes, discovery and clients. Where it was late itself (`late_ms`,
    p99), latencies and breaches are not meaningful.
    """

    watched: list[Watched] = field(default_factory=list)
    late_ms: float = 0.0
    late_most_ms: float = 0.0
    left_out: list[str] = field(default_factory=list)  # kinds of events that were left out


class Play:
    """Plays one plan with real processes. `report_progress` gets lines of text."""

    def __init__(
        self, plan: Plan, folder: Path, report_progress: Callable[[str], None], with_links: bool = False
    ) -> None:
        reactor: Any = installed  # Twisted's own type lacks half of its methods
        reactor.seconds = time.monotonic
        self.reactor = reactor
        self.plan = plan
        self.report_progress = report_progress
        self.clock = clock = Clock(reactor)
        self.correlation_table = CorrelationTable(self.random("ids"))
        self.checker = InvariantChecker(
            structs.replace(plan, net=LINKS),
            "live",
            clock.now,
            float("inf"),
            first_request_of=self.correlation_table.first,
        )
        self.registry = Registry(plan.discovery, clock, time.time, self.random("discovery"), self.checker)
        self.front = FrontLoadBalancer(clock, self.random("front"), plan.front_notice)
        self.watch = Watch(clock.now())
        needs_links = with_links or any(event.kind in LINK_EVENTS for event in plan.events)
        self.links = create_link_controller(plan) if needs_links else None
        self.nodes = Nodes(
            reactor, plan, clock, self.correlation_table, self.checker, self.registry,
            lambda name: self.slots.caller_address(name), self.links,
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
        self.error: BaseException | None = None
        self.outcome: LiveOutcome | None = None
        self.is_over = False

    def _create_clients(self) -> Clients:
        plan, clock = self.plan, self.clock
        transport = SidecarClient(
            self.reactor, clock, self.checker, RequestFormat(plan.classes), self.slots.caller_address,
            CLIENTS, plan.clients.connections,
        )  # fmt: skip
        return Clients(
            plan, clock, self.random("clients"), self.correlation_table, self.checker, self.front, transport
        )

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
        """Return a component's random number generator, seeded by its name and the plan's seed."""
        return Random(f"{self.plan.seed}:{name}")

    # The day

    def run(self) -> LiveOutcome:
        """Play the complete day.

        Raises
        ------
        ProcessError
            A sidecar fails to start.
        KeyboardInterrupt
            The run was interrupted.
        """
        observers: Any = [self.on_log_entry]
        globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)
        self.reactor.callWhenRunning(self.start_processes)
        try:
            raise_descriptor_limit(self.plan)
            if self.links is not None:
                self.links.reserve(link_names(self.plan))
            self.reactor.run()
        finally:
            self.slots.end()
            if self.links is not None:
                self.links.end()
        if self.error is not None:
            raise self.error
        if self.outcome is None:
            raise KeyboardInterrupt
        return self.outcome

    def start_processes(self) -> None:
        """Start the nodes and sidecars that the plan has up from the beginning."""
        for node in self.plan.nodes:
            self.nodes.add(node.name)
        nodes = [node.name for node in self.plan.nodes if node.up]
        names = [sidecar.name for sidecar in self.plan.sidecars if sidecar.start == 0]
        names += [name for name in nodes if name in self.slots.by_name]
        self.report_progress(f"{len(nodes)} nodes, {len(names)} sidecars from the start on")
        if not names:
            self.starting = self.clock.at(self.clock.now(), self.start_day)
            return
        deadline = self.clock.now() + START_TIMEOUT_SECONDS + START_TIMEOUT_EACH_SECONDS * len(names)
        self.starting = self.clock.at(deadline, self.lifecycles.on_start_timeout)
        self.lifecycles.start_all(names)

    def start_day(self) -> None:
        """Schedule the start of the day, now that all sidecars listen."""
        if self.starting.active():
            self.starting.cancel()
        gc.collect()
        gc.freeze()  # keeps the collector from scanning long-lived objects again and again
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
        self.report_progress(f"the day begins, and takes {plan.length + plan.tail + SETTLE_SECONDS:.0f} s")

    def sample_processes(self, number: int) -> None:
        """Sample the processes; called every second."""
        self.watch.sample(self.clock.now())
        self.clock.at(self.day_started_at + number, self.sample_processes, number + 1)

    def measure_lateness(self, due: float) -> None:
        """Record how late the reactor called this timer."""
        now = self.clock.now()
        self.lateness.append(now - due)
        self.clock.at(now + TICK_SECONDS, self.measure_lateness, now + TICK_SECONDS)

    def stop(self, error: BaseException | None = None) -> None:
        """End the run, at its planned end or because of an error."""
        self.error = self.error or error
        if not self.is_over:
            self.is_over = True
            if error is None:
                self.watch.sample(self.clock.now())
                # Before the reactor stops, which closes connections: that must not count as a breach.
                self.outcome = self.create_outcome()
            self.reactor.stop()

    def on_log_entry(self, event: Mapping[str, Any]) -> None:
        """Stop on an exception in the lab itself, which the reactor would only log."""
        failure = event.get("log_failure")
        if failure is not None:
            self.stop(failure.value)

    # Outcome

    def create_outcome(self) -> LiveOutcome:
        """Create the outcome from the checker's results and the measurements."""
        held = {
            name: {"most_sockets": process.peak_descriptors}
            for name, process in self.watch.watched.items()
            if name in self.slots.by_name
        }
        result = self.checker.finish(self.clock.now() - self.day_started_at, held)
        outcome = LiveOutcome(
            **structs.asdict(result),
            watched=list(self.watch.watched.values()),
            late_ms=tally.percentile_ms(array("d", sorted(self.lateness)), 0.99),
            late_most_ms=max(self.lateness, default=0.0) * 1000,
        )
        # A copy, as the checker still modifies its results.
        return msgspec.convert(msgspec.to_builtins(outcome), LiveOutcome)


def relay_count(plan: Plan) -> int:
    """Return the number of relays for a plan's links."""
    return min(MAX_RELAYS, -(-len(sidecar_hosts(plan)) // SIDECARS_PER_RELAY))


def create_link_controller(plan: Plan) -> LinkController:
    """Return a controller for the links between a plan's processes; no ports are reserved yet."""
    hosts = sidecar_hosts(plan)
    hosts |= {node.host: node.host for node in plan.nodes}
    hosts |= {CLIENTS: CLIENTS, **dict.fromkeys(LIST_LINKS, DISCOVERY[0])}
    return LinkController(plan.seed, hosts, plan.net, relay_count(plan))


def link_names(plan: Plan) -> Iterator[str]:
    """Yield the names of all links that the plan may need."""
    lists = LIST_LINKS if any(event.kind == "discovery_move" for event in plan.events) else LIST_LINKS[:1]
    callers = [[sidecar.name for sidecar in plan.sidecars]]
    callers += [[n.name for n in plan.nodes if n.tier == tier] for tier in range(len(plan.tiers) - 1)]
    for tier, names in enumerate(callers):
        hosts = dict.fromkeys(node.host for node in plan.nodes if node.tier == tier)
        for name in names:
            yield from (f"{name}>{target}" for target in (*lists, *hosts))
            if tier == 0:
                yield f"{CLIENTS}>{name}"


def raise_descriptor_limit(plan: Plan) -> None:
    """Raise this process's limit of open descriptors as the plan requires. ProcessError if that fails."""
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
        raise ProcessError(f"needs about {need} descriptors, but the limit is {hard}: use a smaller --scale")
    if soft < need:
        resource.setrlimit(resource.RLIMIT_NOFILE, (need, hard))


def play(plan: Plan, report_progress: Callable[[str], None], with_links: bool = False) -> LiveOutcome:
    """Play a plan, with links between its processes if its events need them or `with_links` is set.

    All child processes have ended when this returns or raises.

    Raises
    ------
    ProcessError
        A process fails, or the descriptor limit is too low.
    """
    with TemporaryDirectory() as folder:
        return Play(plan, Path(folder), report_progress, with_links).run()


def summary_lines(outcome: LiveOutcome) -> Iterator[str]:
    """Describe an outcome in a few lines of text."""
    yield (
        f"{outcome.scenario}, seed {outcome.seed}: {outcome.requests} requests in "
        f"{outcome.simulated_s:.0f} s, service {outcome.service:.3f}, G {outcome.g:.3f}"
    )
    for totals in outcome.classes:
        yield (
            f"{totals.name}: {totals.asked} asked, {totals.in_time} in time, {totals.late} late, "
            f"{totals.refused} refused, {totals.failed} failed; "
            f"p50 {totals.p50_ms:.0f} ms, p99 {totals.p99_ms:.0f} ms"
        )
    yield f"{outcome.breach_count} breaches of the rules"
    yield from (
        f"  {breach.at:.2f} s, {breach.rule}: {breach.what}"
        for breach in outcome.breaches[:MAX_BREACHES_SHOWN]
    )
    sidecars = [process for process in outcome.watched if process.looks and process.name != LAB]
    if sidecars:
        cpu = [process.cpu_s / outcome.simulated_s for process in sidecars]
        yield (
            f"{len(sidecars)} sidecars: CPU {max(cpu):.3f} of a core at most, {sum(cpu):.3f} together; "
            f"{max(process.peak_mb for process in sidecars):.0f} MB and "
            f"{max(process.peak_descriptors for process in sidecars)} descriptors at most"
        )
    lab = sum(process.cpu_s for process in outcome.watched if process.name == LAB) / outcome.simulated_s
    yield (
        f"the lab's own process: CPU {lab:.3f} of a core, {outcome.late_ms:.1f} ms late at p99, "
        f"{outcome.late_most_ms:.0f} at most"
    )
    if outcome.late_ms > MAX_LATE_MS:
        yield f"more than {MAX_LATE_MS:.0f} ms: it was the limit, and latencies and breaches say little"
    if outcome.left_out:
        yield f"left out: {', '.join(outcome.left_out)}"
