"""A world: the models of a plan, connected to each other and to an environment, and run to the end."""

from __future__ import annotations

import gc
import time as process_time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from random import Random
from threading import get_ident
from typing import Any, NamedTuple, TextIO

from twisted.logger import globalLogPublisher

from wheatring.common import log
from wheatring.lab.correlation import CorrelationTable
from wheatring.lab.models.clients import Clients
from wheatring.lab.models.deduplication import EffectDeduplicator
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.endpoint_list_history import RegisteredNode
from wheatring.lab.models.endpoint_list_json import list_reply_json
from wheatring.lab.models.front_load_balancer import FrontLoadBalancer
from wheatring.lab.models.machine import Machine
from wheatring.lab.models.machine_spec import MachineServices, MachineSpec
from wheatring.lab.net.time import VirtualTime
from wheatring.lab.outcome import Outcome
from wheatring.lab.plan import LIVE_ONLY, NodePlan, Plan
from wheatring.lab.rules.invariant_checker import InvariantChecker
from wheatring.lab.rules.trace import Trace
from wheatring.lab.world.environment import PORT, Environment
from wheatring.lab.world.events import EventScheduler
from wheatring.lab.world.sidecar_slots import SidecarSlot, SidecarSlots

START = 1000.0  # the instant at which the simulation begins
LEAD_SECONDS = 2.0  # from START to the start of the day, so that sidecars have started and have their lists
# Log codes that report a fault of the sidecar itself, which must never occur.
SIDECAR_FAULT_CODES = frozenset(
    ("overdue", "unexpected", "exchange-broken", "attempt-broken", "request-broken", "answer-broken",
     "decision-broken", "action-broken", "not-carried-out")
)  # fmt: skip
GC_THRESHOLD = 50_000  # net allocations between collections of the youngest generation
SETTLE_SECONDS = 2.0  # after the tail, for late answers and the closing of their connections


class Tracing(NamedTuple):
    """Options of a trace: its file, or None to only hash it, and the requests to which it is limited."""

    file: TextIO | None = None
    of: Sequence[str] = ()


@contextmanager
def infrequent_garbage_collection() -> Iterator[None]:
    """Run the garbage collector rarely, and only on new objects.

    A simulated day leaves little in reference cycles, and objects that exist before it live until its end:
    traversing them again and again would find nothing to free.
    """
    before, idle = gc.get_threshold(), gc.get_freeze_count() == 0
    if idle:
        gc.freeze()
    gc.set_threshold(GC_THRESHOLD, *before[1:])
    try:
        yield
    finally:
        gc.set_threshold(*before)
        if idle:
            gc.unfreeze()


def check_playable(plan: Plan) -> None:
    """Raise ValueError if a plan has events that require real processes."""
    kinds = sorted({event.kind for event in plan.events if event.kind in LIVE_ONLY})
    if kinds:
        raise ValueError(f"{plan.scenario}: can't be played in virtual time: {', '.join(kinds)}")


class World:
    """A plan at one grain, with the environment from `make_environment`. `play` may be called once."""

    def __init__(
        self,
        plan: Plan,
        grain: str,
        make_environment: Callable[[World], Environment],
        tracing: Tracing | None = None,
    ) -> None:
        check_playable(plan)
        self.plan = plan
        self.grain = grain
        ties = self.random("ties") if plan.net.shuffle else None
        self.time = VirtualTime(START, ties)
        self.day_start = START + LEAD_SECONDS
        self.origins = CorrelationTable(self.random("ids"))
        self.trace = None if tracing is None else self._create_trace(tracing)
        self.checker = InvariantChecker(
            plan, grain, self.time.now, self.day_start, self.trace, self.origins.first
        )
        self.registry = Registry(
            plan.discovery, self.time, self.unix_time, self.random("discovery"), self.checker
        )
        self.front = FrontLoadBalancer(self.time, self.random("front"), plan.front_notice)
        self.environment = make_environment(self)
        self.environment.open_discovery(self.registry)
        self.slots = SidecarSlots(
            self.time, self.environment, self.on_sidecar_up, self.on_sidecar_stopping, self.on_sidecar_down
        )
        self.nodes = {node.name: node for node in plan.nodes}
        self.machines: dict[str, Machine] = {}
        self.add_machines()
        self.add_slots()
        self.clients = self._create_clients()
        self.event_scheduler = self._create_event_scheduler()

    def _create_trace(self, tracing: Tracing) -> Trace:
        return Trace(self.day_start, tracing.file, tracing.of, self.origins.first)

    def _create_clients(self) -> Clients:
        return Clients(
            self.plan,
            self.time,
            self.random("clients"),
            self.origins,
            self.checker,
            self.front,
            self.environment.client_transport,
        )

    def _create_event_scheduler(self) -> EventScheduler:
        return EventScheduler(
            self.time,
            self.environment,
            self.machines,
            self.registry,
            self.slots,
            self,
            self.checker.record_event,
        )

    def random(self, name: str) -> Random:
        """Return a random generator that depends only on the plan's seed and a name."""
        return Random(f"{self.plan.seed}:{name}")

    def unix_time(self) -> float:
        """Return the Unix time by the clocks of discovery and the machines."""
        return self.plan.epoch + self.time.now() - START + self.environment.clock_step()

    # Construction

    def add_machines(self) -> None:
        """Add the machines of all nodes."""
        deduplicator = EffectDeduplicator(self.time, self.plan.classes, self.checker)
        for node in self.plan.nodes:
            self.add_machine(node, deduplicator)

    def add_machine(self, node: NodePlan, deduplicator: EffectDeduplicator) -> None:
        """Add the machine of a node."""
        is_last_tier = node.tier + 1 == len(self.plan.tiers)
        services = MachineServices(
            timers=self.time,
            random=self.random(f"node:{node.name}"),
            correlation_table=self.origins,
            recorder=self.checker,
            call_next_tier=None if is_last_tier else self.environment.downstream_client(node),
            deduplicator=deduplicator,
        )
        machine = self.machines[node.name] = Machine(MachineSpec.from_plan(self.plan, node), services)
        machine.on_crash = lambda: self.on_node_overloaded(node.name)

    def add_slots(self) -> None:
        """Add the slots of the front's sidecars and of the nodes' own sidecars."""
        plan = self.plan
        for number, sidecar in enumerate(plan.sidecars):
            self.add_slot(sidecar.name, sidecar.host, 0, number, len(plan.sidecars))
        for tier in range(len(plan.tiers) - 1):
            callers = [node for node in plan.nodes if node.tier == tier]
            for number, node in enumerate(callers):
                self.add_slot(node.name, node.side_host, tier + 1, number, len(callers))

    def add_slot(self, name: str, host: str, tier: int, number: int, sidecar_count: int) -> None:
        """Add the slot of one sidecar."""
        self.slots.by_name[name] = SidecarSlot(
            self.plan, name, host, tier, number, sidecar_count, self.initial_endpoint_list
        )
        self.registry.assign_tier(name, tier)

    def initial_endpoint_list(self, tier: int) -> dict[str, Any]:
        """Return the endpoint list of a tier with which a sidecar starts, in discovery's format."""
        return list_reply_json(self.registry.initial_list(tier, self.plan.held))

    # Lifecycles of sidecars

    def on_sidecar_up(self, slot: SidecarSlot) -> None:
        """Notify the front load balancer of the start of a sidecar."""
        if slot.name not in self.nodes:
            self.front.sidecar_up(slot.name)

    def on_sidecar_stopping(self, slot: SidecarSlot) -> None:
        """Notify the front load balancer that a sidecar was sent SIGTERM."""
        if slot.name not in self.nodes:
            self.front.sidecar_stopping(slot.name)

    def on_sidecar_down(self, slot: SidecarSlot) -> None:
        """Notify the front load balancer of the end of a sidecar."""
        if slot.name not in self.nodes:
            self.front.sidecar_down(slot.name)

    # Lifecycles of nodes

    def start(self, name: str, cold: bool = True) -> None:
        """Start the process of a node, either cold or warmed up."""
        node, machine = self.nodes[name], self.machines[name]
        if machine.running:
            return
        machine.start(cold)
        self.environment.node_up(node, machine)
        if cold:
            self.registry.node_started(name, self.time.now())
            if name in self.slots.by_name:
                self.slots.start(self.slots.by_name[name], 0.0)

    def drain(self, name: str) -> None:
        """Drain a node: it accepts no new requests."""
        if self.machines[name].running:
            self.machines[name].drain()
            self.registry.node_draining(name)

    def stop(self, name: str) -> None:
        """End the process of a node."""
        if self.machines[name].running:
            self.machines[name].stop()
            self.on_node_ended(name)

    def on_node_ended(self, name: str) -> None:
        """Handle the end of a node's process, and kill its sidecar."""
        self.environment.node_down(name)
        self.registry.node_ended(name)
        if name in self.slots.by_name:
            self.slots.kill(self.slots.by_name[name], 0.0)

    def on_node_overloaded(self, name: str) -> None:
        """Handle the crash of a cold node by overload; it is not restarted."""
        self.on_node_ended(name)

    def isolate(self, name: str) -> None:
        """Isolate the machine of a node from the network."""
        self.environment.isolate_node(self.nodes[name])
        self.registry.node_vanished(name)

    def reconnect(self, name: str) -> None:
        """Connect the machine of a node to the network again."""
        self.environment.reconnect_node(self.nodes[name])
        machine = self.machines[name]
        if machine.running:
            self.registry.node_started(name, machine.started_at)

    # The day

    def play(self) -> Outcome:
        """Run the simulated day to its end, and return its outcome."""
        plan = self.plan
        began = process_time.perf_counter()
        for node in plan.nodes:
            address = f"{node.host}:{PORT}"
            self.registry.register(RegisteredNode.from_plan(plan, node, address), node.up)
            if node.up:
                self.start(node.name, cold=False)
        late_starts = {sidecar.name: sidecar.start for sidecar in plan.sidecars if sidecar.start > 0}
        for slot in self.slots.by_name.values():
            if slot.name in late_starts:
                self.time.at(self.day_start + late_starts[slot.name], self.slots.start, slot, 0.0)
            elif slot.name not in self.nodes or self.nodes[slot.name].up:
                self.time.at(START, self.slots.up, slot)
        self.event_scheduler.schedule(self.day_start, plan.events)
        self.time.at(self.day_start, self.clients.start)
        self.thread = get_ident()
        observer: Any = self.on_failure_logged
        globalLogPublisher.addObserver(observer)
        try:
            with log.redirected(self.on_log_entry), infrequent_garbage_collection():
                self.time.run(self.day_start + plan.length + plan.tail + SETTLE_SECONDS)
        finally:
            globalLogPublisher.removeObserver(observer)
        wall = process_time.perf_counter() - began
        outcome = self.checker.finish(wall, self.environment.leftovers())
        outcome.simulated_s = self.time.now() - START
        return outcome

    def on_failure_logged(self, event: Mapping[str, Any]) -> None:
        """Handle an exception of a callback, reported by Twisted's log.

        An exception of a sidecar is a breach. One of the lab's own code ends the day, as otherwise the
        failure of a model would be attributed to the sidecars.
        """
        failure = event.get("log_failure") or event.get("failure")
        if failure is None or get_ident() != self.thread:
            return
        if self.environment.active_sidecar() in self.slots.by_name:
            log.log_twisted_failure(event)
        else:
            self.time.at(self.time.now(), self.abort, failure.value)

    def abort(self, error: BaseException) -> None:
        """End the day with an exception."""
        raise error

    def on_log_entry(self, event: str, values: Mapping[str, object]) -> None:
        """Handle a log entry of a sidecar.

        Entries of other threads are ignored, as the program may run real sidecars there meanwhile.
        """
        if get_ident() != self.thread:
            return
        if event in SIDECAR_FAULT_CODES:
            self.checker.fault(self.environment.active_sidecar(), log.format_entry(event, values))
        elif event == "endpoint-connection" and values.get("code") in ("connect-failed", "not-up-in-time"):
            self.checker.note("unconnected", sidecar=self.environment.active_sidecar())
        elif self.trace is not None:
            self.trace.line(
                self.time.now(),
                "",
                f"log sidecar={self.environment.active_sidecar()} {log.format_entry(event, values)}",
            )
