"""Sidecar slots: a slot keeps its name and address over all restarts of its process."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from wheatring.daemon.core.clock import Clock, Timer
from wheatring.lab.live.links.link_controller import LinkController
from wheatring.lab.live.sidecar import Sidecar, configuration, port_in
from wheatring.lab.live.watch import Watch
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.endpoint_list_json import list_reply_json
from wheatring.lab.plan import Plan
from wheatring.lab.rules import InvariantChecker
from wheatring.lab.settings import sidecar_settings
from wheatring.lab.wire.discovery_server import DiscoveryServer
from wheatring.lab.world.environment import CLIENTS, DISCOVERY, sidecar_hosts
from wheatring.lab.world.world import SIDECAR_FAULT_CODES

# The names of discovery in link names, before and after its move.
LIST_LINKS = ("list", "list-moved")
# Prefixes of a sidecar's log lines that are reported to the checker: connection failures and faults.
CONNECT_FAILED_LINES = ("endpoint-connection code=connect-failed", "endpoint-connection code=not-up-in-time")
LIST_REFUSED_LINE = "discovery-connection code=connect-failed"
FAULT_LINES = tuple(f"{code} " for code in sorted(SIDECAR_FAULT_CODES))


class _Launch:
    """A process that is being started, and the calls deferred until it is known."""

    def __init__(self) -> None:
        self.process: Sidecar | None = None
        self.deferred_calls: list[Callable[[], None]] = []


class SidecarSlot:
    """The name, address and current process of one sidecar.

    `list_server` is a discovery server for this sidecar only: its port identifies the caller.
    """

    def __init__(self, name: str, host: str, tier: int, number: int, tier_size: int) -> None:
        self.name = name
        self.host = host
        self.tier = tier
        self.number = number
        self.tier_size = tier_size
        self.port = 0  # set when it first listens, and reused by later starts
        self.list_server: DiscoveryServer | None = None
        self.list_port = 0
        # How often discovery has moved, and how many of these moves the sidecar has been notified of.
        self.moves = self.notified_moves = 0
        self.process: Sidecar | None = None
        self.launch: _Launch | None = None  # set while it is being started
        self.up = self.stopping = False
        self.restart_delay = 0.0  # seconds from its exit to its next start; 0: it is not restarted
        self.timer: Timer | None = None


class _RelayedPort:
    """A listening port of this process that is reached by a link."""

    def __init__(self, port: Any, close: Callable[[], None]) -> None:
        self.port = port
        self.close = close

    def stopListening(self) -> None:  # noqa: N802 - Twisted's name
        """Close the link, then the port behind it."""
        self.close()
        self.port.stopListening()


def _list_link(name: str, moves: int) -> str:
    """Return the name of a sidecar's link to discovery, which changes when discovery moves."""
    return f"{name}>{LIST_LINKS[min(moves, len(LIST_LINKS) - 1)]}"


class SidecarSlots:
    """Starts and stops sidecars, and reports their state to the checker and to callbacks.

    `on_up` is called once a sidecar listens, `on_stopping` when it is told to stop, `on_down` when its
    process has exited, and `on_failed` if that exits before it listens.
    """

    def __init__(
        self,
        reactor: Any,
        plan: Plan,
        clock: Clock,
        checker: InvariantChecker,
        registry: Registry,
        address: Callable[[str, Any], str],
        folder: Path,
        watch: Watch,
        links: LinkController | None = None,
    ) -> None:
        self.links = links
        self.reactor = reactor
        self.plan = plan
        self.clock = clock
        self.checker = checker
        self.registry = registry
        self.address = address
        self.folder = folder
        self.watch = watch
        self.on_up: Callable[[SidecarSlot], object]
        self.on_stopping: Callable[[SidecarSlot], object]
        self.on_down: Callable[[SidecarSlot], object]
        self.on_failed: Callable[[SidecarSlot], object]
        self.by_name: dict[str, SidecarSlot] = {}
        self.processes: list[Sidecar] = []
        hosts = sidecar_hosts(plan)
        tier_size = len(plan.sidecars)
        for number, sidecar in enumerate(plan.sidecars):
            self._add(SidecarSlot(sidecar.name, sidecar.host, 0, number, tier_size))
        for tier in range(len(plan.tiers) - 1):
            callers = [node for node in plan.nodes if node.tier == tier]
            for number, node in enumerate(callers):
                self._add(SidecarSlot(node.name, hosts[node.name], tier + 1, number, len(callers)))

    def _add(self, slot: SidecarSlot) -> None:
        self.by_name[slot.name] = slot
        self.registry.assign_tier(slot.name, slot.tier)

    def caller_address(self, name: str) -> tuple[str, int]:
        """Return the address for callers of a sidecar; until it listens, connects to it are refused."""
        slot = self.by_name[name]
        if self.links is not None and slot.tier == 0:
            return self.links.address(f"{CLIENTS}>{name}")
        return slot.host, slot.port

    def configuration(self, slot: SidecarSlot) -> dict[str, Any]:
        """Return the configuration for a sidecar's next start, including its initial endpoint list."""
        limits = self.plan.limits
        slot.notified_moves = slot.moves
        return configuration(
            slot.name,
            f"{slot.host}:{slot.port}",
            self.discovery(slot),
            sidecar_settings(self.plan, slot.tier, slot.number, slot.tier_size),
            Random(f"{self.plan.seed}:sidecar:{slot.name}").getrandbits(64),
            limits={"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            known=list_reply_json(
                self.registry.initial_list(slot.tier, self.plan.held), partial(self.address, slot.name)
            ),
        )

    def discovery(self, slot: SidecarSlot) -> str:
        """Return discovery's address for a sidecar, as HOST:PORT."""
        host, port = DISCOVERY[0], slot.list_port
        if self.links is not None:
            host, port = self.links.address(_list_link(slot.name, slot.moves))
        return f"{host}:{port}"

    def start(self, slot: SidecarSlot) -> None:
        """Start a sidecar's process unless one is running; a pending stop or start is cancelled."""
        self._cancel_timer(slot)
        if slot.process is not None or slot.launch is not None:
            return
        if slot.list_server is None:
            self._serve_list(slot)
        launch = slot.launch = _Launch()

        def on_line(text: str) -> None:
            """Pass the relevant lines of the sidecar's log on to the reactor's thread."""
            if text.startswith(("listening ", LIST_REFUSED_LINE, *CONNECT_FAILED_LINES, *FAULT_LINES)):
                self.reactor.callFromThread(
                    self._when_launched, launch, lambda: self._on_line(slot, launch, text)
                )

        def on_end() -> None:
            """Report the exit of the process to the reactor's thread."""
            self.reactor.callFromThread(self._when_launched, launch, lambda: self._on_exit(slot, launch))

        def start_process(config: dict[str, Any]) -> None:
            """Start the process, in a thread of the pool."""
            process = Sidecar(self.folder, config, on_line=on_line, on_end=on_end)
            self.processes.append(process)
            self.reactor.callFromThread(self._launched, slot, launch, process)

        # In a thread pool: hundreds may be started at once, and starting a process blocks.
        self.reactor.callInThread(start_process, self.configuration(slot))

    def _launched(self, slot: SidecarSlot, launch: _Launch, process: Sidecar) -> None:
        launch.process = process
        if slot.launch is launch:
            slot.launch, slot.process = None, process
            self.watch.add(slot.name, process.pid, time.monotonic())
        else:
            process.send(signal.SIGKILL)  # the start was cancelled in the meantime
        for call in launch.deferred_calls:
            call()

    def _when_launched(self, launch: _Launch, call: Callable[[], None]) -> None:
        """Call now, or once `_launched` has recorded the process, as its output may be read before that."""
        if launch.process is None:
            launch.deferred_calls.append(call)
        else:
            call()

    def _serve_list(self, slot: SidecarSlot) -> None:
        slot.list_port = 0
        slot.list_server = DiscoveryServer(
            self.registry, self.checker, lambda _host: slot.name, partial(self._listen, slot),
            partial(self.address, slot.name),
        )  # fmt: skip

    def _listen(self, slot: SidecarSlot, factory: Any) -> Any:
        port = self.reactor.listenTCP(slot.list_port, factory, interface=DISCOVERY[0])
        slot.list_port = port.getHost().port
        if self.links is None:
            return port
        link = _list_link(slot.name, slot.moves)
        self.links.set_targets({link: (DISCOVERY[0], slot.list_port)})
        return _RelayedPort(port, partial(self.links.close, [link]))

    def move_discovery(self) -> None:
        """Move discovery to another address; connections to the old one are closed."""
        for slot in self.by_name.values():
            if slot.list_server is None:
                continue
            slot.list_server.close()
            slot.moves += 1
            self._serve_list(slot)
            self._notify_move(slot)

    def _notify_move(self, slot: SidecarSlot) -> None:
        """Notify a sidecar of discovery's new address, unless it already has it.

        A sidecar that does not listen yet is notified once it does: before it has installed its handler,
        SIGHUP would terminate it.
        """
        if slot.up and slot.process is not None and slot.notified_moves != slot.moves:
            slot.process.write(self.configuration(slot))
            slot.process.send(signal.SIGHUP)

    def set_paused(self, slot: SidecarSlot, paused: bool) -> None:
        """Pause or resume a sidecar's process."""
        if slot.process is not None:
            slot.process.send(signal.SIGSTOP if paused else signal.SIGCONT)

    def _on_line(self, slot: SidecarSlot, launch: _Launch, text: str) -> None:
        if slot.process is not launch.process:
            return
        if text.startswith("listening "):
            slot.port = port_in(text)
            slot.up = True
            if self.links is not None and slot.tier == 0:
                self.links.set_targets({f"{CLIENTS}>{slot.name}": (slot.host, slot.port)})
            self.checker.sidecar_up(slot.name)
            self._notify_move(slot)
            self.on_up(slot)
        elif text.startswith(LIST_REFUSED_LINE):
            self.registry.connection_refused(slot.name)
        elif text.startswith(CONNECT_FAILED_LINES):
            self.checker.note("unconnected", sidecar=slot.name)
        else:
            self.checker.fault(slot.name, text)

    def kill(self, slot: SidecarSlot, restart_delay: float) -> None:
        """Kill a sidecar with SIGKILL, and start it again after `restart_delay` seconds unless that is 0."""
        slot.restart_delay = restart_delay
        slot.launch = None
        if slot.process is not None:
            slot.process.send(signal.SIGKILL)
            self._record_exit(slot, True)
        else:
            self._schedule_start(slot)

    def restart(self, slot: SidecarSlot, stop_timeout: float, restart_delay: float) -> None:
        """Stop a sidecar, kill it after `stop_timeout` s, and start it `restart_delay` s after its exit."""
        if not slot.up or slot.stopping or slot.process is None:
            return
        slot.stopping, slot.restart_delay = True, restart_delay
        self.checker.sidecar_stopping(slot.name)
        self.on_stopping(slot)
        slot.timer = self.clock.at(self.clock.now() + stop_timeout, self.kill, slot, restart_delay)
        slot.process.send(signal.SIGTERM)

    def _on_exit(self, slot: SidecarSlot, launch: _Launch) -> None:
        """Record that a process has exited, unless `kill` has recorded it already."""
        if slot.process is launch.process:
            self._record_exit(slot, False)

    def _record_exit(self, slot: SidecarSlot, killed: bool) -> None:
        was_up = slot.up
        if self.links is not None and slot.tier == 0:
            self.links.close([f"{CLIENTS}>{slot.name}"])
        slot.process = None
        slot.up = slot.stopping = False
        if was_up:
            self.checker.sidecar_down(slot.name, killed)
            self.on_down(slot)
        elif not killed:
            self.checker.fault(slot.name, "nothing, and ended before it listened")
            self.on_failed(slot)
        self._schedule_start(slot)

    def _schedule_start(self, slot: SidecarSlot) -> None:
        self._cancel_timer(slot)
        if slot.restart_delay:
            slot.timer = self.clock.at(self.clock.now() + slot.restart_delay, self.start, slot)

    def _cancel_timer(self, slot: SidecarSlot) -> None:
        if slot.timer is not None and slot.timer.active():
            slot.timer.cancel()
        slot.timer = None

    def end(self) -> None:
        """Kill all processes and release them; they are not restarted."""
        for process in self.processes:
            process.send(signal.SIGKILL)
        for process in self.processes:
            process.end()
