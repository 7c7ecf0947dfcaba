"""The places of sidecars: each has one name and address over all of its starts, which are processes."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from wheatring.core.clock import Clock, Timer
from wheatring.lab.live.links.wires import Wires
from wheatring.lab.live.sidecar import Sidecar, configuration, port_in
from wheatring.lab.live.watch import Watch
from wheatring.lab.models.discovery import Registry
from wheatring.lab.models.form import as_json
from wheatring.lab.plan import Plan
from wheatring.lab.rules import Ledger
from wheatring.lab.settings import settings
from wheatring.lab.wire.discovery import DiscoveryPeer
from wheatring.lab.world.ground import CLIENTS, DISCOVERY, side_hosts
from wheatring.lab.world.world import OURS

LIST_LINKS = ("list", "list-moved")  # discovery, as links name it, before and after it has moved
# Lines of its log that are told to the book: what it could not reach, and faults of its own.
CONNECT_FAILED_LINES = ("claim-connection code=connect-failed", "claim-connection code=not-up-in-time")
LIST_REFUSED_LINE = "discovery-connection code=connect-failed"
FAULT_LINES = tuple(f"{word} " for word in sorted(OURS))


class _Launch:
    """A process that is being started, and what waits until it is."""

    def __init__(self) -> None:
        self.process: Sidecar | None = None
        self.waiting: list[Callable[[], None]] = []


class SidecarSlot:
    """One sidecar's place. `door` is discovery's, for it alone, so that it is known who asks."""

    def __init__(self, name: str, host: str, tier: int, number: int, copies: int) -> None:
        self.name = name
        self.host = host
        self.tier = tier
        self.number = number
        self.copies = copies
        self.port = 0  # once it has listened for the first time, kept
        self.list_server: DiscoveryPeer | None = None
        self.list_port = 0
        self.moves = self.notified_moves = 0  # of discovery, so far; and when it was last told
        self.process: Sidecar | None = None
        self.launch: _Launch | None = None  # it is being started
        self.up = self.stopping = False
        self.down = 0.0  # seconds from its end to its next start; 0: it has none
        self.timer: Timer | None = None


class _RelayedPort:
    """A door of ours that a link leads to."""

    def __init__(self, door: Any, close: Callable[[], None]) -> None:
        self.door = door
        self.close = close

    def stopListening(self) -> None:
        self.close()
        self.door.stopListening()


def _list_link(name: str, moves: int) -> str:
    """The link by which a sidecar asks for the list: another one after each move of discovery."""
    return f"{name}>{LIST_LINKS[min(moves, len(LIST_LINKS) - 1)]}"


class SidecarSlots:
    """Starts and ends sidecars, and tells the book, the watch, and whoever else wants to know: `came` once
    one listens, `stops` when it is told to, `went` when it has ended, `failed` when it did so before it
    listened.
    """

    def __init__(
        self,
        reactor: Any,
        plan: Plan,
        clock: Clock,
        book: Ledger,
        registry: Registry,
        address: Callable[[str, Any], str],
        folder: Path,
        watch: Watch,
        wires: Wires | None = None,
    ) -> None:
        self.wires = wires
        self.reactor = reactor
        self.plan = plan
        self.clock = clock
        self.book = book
        self.registry = registry
        self.address = address
        self.folder = folder
        self.watch = watch
        self.on_up: Callable[[SidecarSlot], object]
        self.on_stopping: Callable[[SidecarSlot], object]
        self.on_down: Callable[[SidecarSlot], object]
        self.on_failed: Callable[[SidecarSlot], object]
        self.seats: dict[str, SidecarSlot] = {}
        self.processes: list[Sidecar] = []
        hosts = side_hosts(plan)
        copies = len(plan.sidecars)
        for number, told in enumerate(plan.sidecars):
            self._add(SidecarSlot(told.name, told.host, 0, number, copies))
        for tier in range(len(plan.tiers) - 1):
            callers = [node for node in plan.nodes if node.tier == tier]
            for number, node in enumerate(callers):
                self._add(SidecarSlot(node.name, hosts[node.name], tier + 1, number, len(callers)))

    def _add(self, seat: SidecarSlot) -> None:
        self.seats[seat.name] = seat
        self.registry.serve(seat.name, seat.tier)

    def where(self, name: str) -> tuple[str, int]:
        """Where its callers find a sidecar; one that never listened has a port where nobody does."""
        seat = self.seats[name]
        if self.wires is not None and seat.tier == 0:
            return self.wires.address(f"{CLIENTS}>{name}")
        return seat.host, seat.port

    def configuration(self, seat: SidecarSlot) -> dict[str, Any]:
        """The configuration of its next start, and the list that it holds then."""
        limits = self.plan.limits
        seat.notified_moves = seat.moves
        return configuration(
            seat.name,
            f"{seat.host}:{seat.port}",
            self.discovery(seat),
            settings(self.plan, seat.tier, seat.number, seat.copies),
            Random(f"{self.plan.seed}:sidecar:{seat.name}").getrandbits(64),
            limits={"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            known=as_json(self.registry.held(seat.tier, self.plan.held), partial(self.address, seat.name)),
        )

    def discovery(self, seat: SidecarSlot) -> str:
        """Where that sidecar finds discovery."""
        host, port = DISCOVERY[0], seat.list_port
        if self.wires is not None:
            host, port = self.wires.address(_list_link(seat.name, seat.moves))
        return f"{host}:{port}"

    def start(self, seat: SidecarSlot) -> None:
        """Start its process, where none runs; whatever else was to become of it does not."""
        self._cancel_timer(seat)
        if seat.process is not None or seat.launch is not None:
            return
        if seat.list_server is None:
            self._serve_list(seat)
        making = seat.launch = _Launch()

        def line(text: str) -> None:
            if text.startswith(("listening ", LIST_REFUSED_LINE, *CONNECT_FAILED_LINES, *FAULT_LINES)):
                self.reactor.callFromThread(
                    self._when_launched, making, lambda: self._on_line(seat, making, text)
                )

        def end() -> None:
            self.reactor.callFromThread(self._when_launched, making, lambda: self._ended(seat, making))

        def make(told: dict[str, Any]) -> None:
            process = Sidecar(self.folder, told, on_line=line, on_end=end)
            self.processes.append(process)
            self.reactor.callFromThread(self._launched, seat, making, process)

        # In a thread: hundreds are started at once, and each takes the kernel and the new process a while.
        self.reactor.callInThread(make, self.configuration(seat))

    def _launched(self, seat: SidecarSlot, making: _Launch, process: Sidecar) -> None:
        making.process = process
        if seat.launch is making:
            seat.launch, seat.process = None, process
            self.watch.add(seat.name, process.pid, time.monotonic())
        else:
            process.send(signal.SIGKILL)  # it was called off meanwhile
        for call in making.waiting:
            call()

    def _when_launched(self, making: _Launch, call: Callable[[], None]) -> None:
        """What a process says may be heard before this side knows of it."""
        if making.process is None:
            making.waiting.append(call)
        else:
            call()

    def _serve_list(self, seat: SidecarSlot) -> None:
        seat.list_port = 0
        seat.list_server = DiscoveryPeer(
            self.registry, self.book, lambda host: seat.name, partial(self._listen, seat),
            partial(self.address, seat.name),
        )  # fmt: skip

    def _listen(self, seat: SidecarSlot, factory: Any) -> Any:
        door = self.reactor.listenTCP(seat.list_port, factory, interface=DISCOVERY[0])
        seat.list_port = door.getHost().port
        if self.wires is None:
            return door
        link = _list_link(seat.name, seat.moves)
        self.wires.lead({link: (DISCOVERY[0], seat.list_port)})
        return _RelayedPort(door, partial(self.wires.close, [link]))

    def move(self) -> None:
        """Discovery is at another address, and all that run are told. What was open at the old one ends."""
        for seat in self.seats.values():
            if seat.list_server is None:
                continue
            seat.list_server.shut()
            seat.moves += 1
            self._serve_list(seat)
            self._notify_move(seat)

    def _notify_move(self, seat: SidecarSlot) -> None:
        """Have it read where discovery is, if that is not what it was told. One that does not listen yet is
        told once it does: until it heeds SIGHUP it would end by it.
        """
        if seat.up and seat.process is not None and seat.notified_moves != seat.moves:
            seat.process.write(self.configuration(seat))
            seat.process.send(signal.SIGHUP)

    def stall(self, seat: SidecarSlot, on: bool) -> None:
        """Stop its process where it is, or have it go on."""
        if seat.process is not None:
            seat.process.send(signal.SIGSTOP if on else signal.SIGCONT)

    def _on_line(self, seat: SidecarSlot, making: _Launch, text: str) -> None:
        if seat.process is not making.process:
            return
        if text.startswith("listening "):
            seat.port = port_in(text)
            seat.up = True
            if self.wires is not None and seat.tier == 0:
                self.wires.lead({f"{CLIENTS}>{seat.name}": (seat.host, seat.port)})
            self.book.sidecar_up(seat.name)
            self._notify_move(seat)
            self.on_up(seat)
        elif text.startswith(LIST_REFUSED_LINE):
            self.registry.refused(seat.name)
        elif text.startswith(CONNECT_FAILED_LINES):
            self.book.note("unconnected", sidecar=seat.name)
        else:
            self.book.fault(seat.name, text)

    def kill(self, seat: SidecarSlot, down: float) -> None:
        """Kill it outright, and start it anew after `down` seconds, if that is not 0."""
        seat.down = down
        seat.launch = None
        if seat.process is not None:
            seat.process.send(signal.SIGKILL)
            self._ended_now(seat, True)
        else:
            self._schedule_start(seat)

    def restart(self, seat: SidecarSlot, patience: float, down: float) -> None:
        """SIGTERM, SIGKILL after `patience` seconds if it still runs, a new start `down` after its end."""
        if not seat.up or seat.stopping or seat.process is None:
            return
        seat.stopping, seat.down = True, down
        self.book.sidecar_stopping(seat.name)
        self.on_stopping(seat)
        seat.timer = self.clock.at(self.clock.now() + patience, self.kill, seat, down)
        seat.process.send(signal.SIGTERM)

    def _ended(self, seat: SidecarSlot, making: _Launch) -> None:
        """A process has ended by itself, unless it was killed and that is known."""
        if seat.process is making.process:
            self._ended_now(seat, False)

    def _ended_now(self, seat: SidecarSlot, killed: bool) -> None:
        was_up = seat.up
        if self.wires is not None and seat.tier == 0:
            self.wires.close([f"{CLIENTS}>{seat.name}"])
        seat.process = None
        seat.up = seat.stopping = False
        if was_up:
            self.book.sidecar_down(seat.name, killed)
            self.on_down(seat)
        elif not killed:
            self.book.fault(seat.name, "nothing, and ended before it listened")
            self.on_failed(seat)
        self._schedule_start(seat)

    def _schedule_start(self, seat: SidecarSlot) -> None:
        self._cancel_timer(seat)
        if seat.down:
            seat.timer = self.clock.at(self.clock.now() + seat.down, self.start, seat)

    def _cancel_timer(self, seat: SidecarSlot) -> None:
        if seat.timer is not None and seat.timer.active():
            seat.timer.cancel()
        seat.timer = None

    def end(self) -> None:
        """End all processes, for good."""
        for process in self.processes:
            process.send(signal.SIGKILL)
        for process in self.processes:
            process.end()
