"""The present service rate of a machine: one factor that combines all reductions of its capacity."""

from __future__ import annotations

from collections.abc import Callable, Sized
from random import Random

from wheatring.lab.models.cpu import Cpu, T
from wheatring.lab.models.machine_faults import MachineFaults
from wheatring.lab.models.overload_choke import OverloadChoke
from wheatring.lab.models.pauses import ProcessingPauses
from wheatring.lab.plan import KindPlan, TierPlan
from wheatring.lab.timers import Timers


class ServiceRate:
    """Sets the factor of a machine's cores from its faults, choke, thrashing, pauses and connections.

    Slow start is not included, as the cores apply it themselves.

    Parameters
    ----------
    timers
        The clock.
    kind, tier
        The kind of machine, and its tier.
    random
        Seeds the generators of faults and pauses.
    cpu
        The cores.
    in_flight
        The machine's attempts in flight; only their number is used.
    on_choked
        Called when the machine becomes choked.
    on_resumed
        Called whenever a stall may have ended.

    Attributes
    ----------
    is_stalled
        The machine processes nothing and sends nothing, because of a hang or a pause.
    factor
        The share of the capacity that is available while the machine is not stalled.
    faults
        The machine's faults.
    connections
        The number of open connections.
    """

    def __init__(
        self,
        timers: Timers,
        kind: KindPlan,
        tier: TierPlan,
        random: Random,
        cpu: Cpu[T],
        in_flight: Sized,
        on_choked: Callable[[], object],
        on_resumed: Callable[[], object],
    ) -> None:
        self.kind = kind
        self.connection_tax = tier.conn_tax
        self.max_connections = tier.conn_cap * kind.cores
        self.cpu = cpu
        self.in_flight = in_flight
        self.on_choked = on_choked
        self.on_resumed = on_resumed
        self.connections = 0
        self.is_stalled = False
        self.factor = 1.0
        # Separate generators: the instants of faults and pauses must not depend on the number of attempts.
        self.faults = MachineFaults(timers, Random(random.getrandbits(64)), self.handle_stall_change)
        pauses = Random(random.getrandbits(64))
        self.pauses: ProcessingPauses | None = None
        if kind.pause_every > 0.0:
            self.pauses = ProcessingPauses(timers, kind, pauses, self._utilisation, self.handle_stall_change)
        self.choke: OverloadChoke | None = None
        if tier.choke is not None:
            choke = self.choke = OverloadChoke(timers, tier.choke, kind.cores, self._handle_choke_change)
            cpu.on_runnable_changed = lambda runnable: choke.update(len(in_flight), runnable)

    def start(self) -> None:
        """Start the pauses when the process starts."""
        if self.pauses is not None:
            self.pauses.start()
        self.update()

    def stop(self) -> None:
        """Stop pauses and choke when the process ends; faults outlive it."""
        if self.pauses is not None:
            self.pauses.stop()
        if self.choke is not None:
            self.choke.reset()

    # Connections

    @property
    def is_full(self) -> bool:
        """Whether the connection table is full."""
        return self.connections >= min(self.max_connections, self.faults.max_connections)

    def connect(self) -> bool:
        """Accept one more connection, and return True, unless the table is full."""
        if self.is_full:
            return False
        self.connections += 1
        self._handle_connection_change()
        return True

    def disconnect(self) -> None:
        """Release a connection."""
        self.connections -= 1
        self._handle_connection_change()

    def _handle_connection_change(self) -> None:
        if self.connection_tax > 0.0:
            self.update()

    # Service rate

    def duration_of(self, work: float) -> float:
        """Return the seconds that work takes at the present rate, without stalls."""
        rate = self.cpu.speed * self.factor * min(1.0, self.cpu.cores / max(1, self.cpu.runnable))
        return work / rate if rate > 0.0 else 0.0

    def handle_stall_change(self) -> None:
        """Handle the possible start or end of a stall."""
        self.update()
        if not self.is_stalled:
            self.on_resumed()

    def update(self) -> None:
        """Recompute the factor after a change of one of its inputs."""
        kind, factor = self.kind, self.faults.capacity_factor
        if self.choke is not None:
            factor *= self.choke.capacity_factor
        if kind.thrash > 0.0:
            factor /= 1.0 + kind.thrash * max(0.0, len(self.in_flight) - kind.knee) / kind.knee
        if self.connection_tax > 0.0:
            factor *= 1.0 - self.connection_tax * min(1.0, self.connections / self.max_connections)
        self.factor = factor
        self.is_stalled = self.faults.is_hung or (self.pauses is not None and self.pauses.is_paused)
        self.cpu.set_factor(0.0 if self.is_stalled else factor)

    def _handle_choke_change(self) -> None:
        if self.choke is not None and self.choke.is_slow:
            self.on_choked()
        self.update()

    def _utilisation(self) -> float:
        return min(1.0, self.cpu.runnable / self.cpu.cores)
