"""How fast a machine works at present: all that hinders it, in one factor."""

from __future__ import annotations

from collections.abc import Callable, Sized
from random import Random

from wheatring.lab.models.cpu import Cpu, T
from wheatring.lab.models.machine_faults import MachineFaults
from wheatring.lab.models.overload_choke import OverloadChoke, ProcessingPauses
from wheatring.lab.plan import KindPlan, TierPlan
from wheatring.lab.timers import Timers


class ServiceRate:
    """Keeps a machine's cores at the part of their capacity that troubles, the choke, thrash and the table of
    connections leave. Cold is not its matter: the cores know it themselves.

    `held` is what the machine holds. `choked` is called when it chokes, `moves` whenever something that had
    it stand still may have ended.
    """

    def __init__(
        self,
        timers: Timers,
        kind: KindPlan,
        tier: TierPlan,
        random: Random,
        cpu: Cpu[T],
        held: Sized,
        choked: Callable[[], object],
        moves: Callable[[], object],
    ) -> None:
        self.kind = kind
        self.tax = tier.conn_tax
        self.table = tier.conn_cap * kind.cores
        self.cpu = cpu
        self.held = held
        self.choked = choked
        self.moves = moves
        self.connections = 0
        self.still = False  # it works on nothing and says nothing
        self.free = 1.0  # part of the capacity that there is when it does not stand still
        # Streams of their own: when these come must not hang on how many visits there have been.
        self.troubles = MachineFaults(timers, Random(random.getrandbits(64)))
        pauses = Random(random.getrandbits(64))
        self.pauses: ProcessingPauses | None = None
        if kind.pause_every > 0.0:
            self.pauses = ProcessingPauses(timers, kind, pauses, self._busy, self.changed)
        self.choke: OverloadChoke | None = None
        if tier.choke is not None:
            choke = self.choke = OverloadChoke(timers, tier.choke, kind.cores, self._turned)
            cpu.watch = lambda wanting: choke.watch(len(held), wanting)

    def start(self) -> None:
        if self.pauses is not None:
            self.pauses.start()
        self.tune()

    def stop(self) -> None:
        """A new process is well; troubles stay."""
        if self.pauses is not None:
            self.pauses.stop()
        if self.choke is not None:
            self.choke.reset()

    @property
    def full(self) -> bool:
        """The table of connections is."""
        return self.connections >= min(self.table, self.troubles.cap)

    def connect(self) -> bool:
        """Whether one more connection is accepted."""
        if self.full:
            return False
        self.connections += 1
        if self.tax > 0.0:
            self.tune()
        return True

    def disconnect(self) -> None:
        self.connections -= 1
        if self.tax > 0.0:
            self.tune()

    def wait(self, work: float) -> float:
        """Seconds that such a piece takes if all stays as it is; standing still is left out."""
        rate = self.cpu.speed * self.free * min(1.0, self.cpu.cores / max(1, self.cpu.wanting))
        return work / rate if rate > 0.0 else 0.0

    def changed(self) -> None:
        """Something that can have it stand still has begun or ended."""
        self.tune()
        if not self.still:
            self.moves()

    def tune(self) -> None:
        """One of the figures behind the factor has changed."""
        kind, factor = self.kind, self.troubles.factor
        if self.choke is not None:
            factor *= self.choke.factor
        if kind.thrash > 0.0:
            factor /= 1.0 + kind.thrash * max(0.0, len(self.held) - kind.knee) / kind.knee
        if self.tax > 0.0:
            factor *= 1.0 - self.tax * min(1.0, self.connections / self.table)
        self.free = factor
        self.still = self.troubles.hung or (self.pauses is not None and self.pauses.on)
        self.cpu.tune(0.0 if self.still else factor)

    def _turned(self) -> None:
        if self.choke is not None and self.choke.slow:
            self.choked()
        self.tune()

    def _busy(self) -> float:
        return min(1.0, self.cpu.wanting / self.cpu.cores)
