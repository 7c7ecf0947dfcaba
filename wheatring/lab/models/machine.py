"""An execute node: what it does with the visits that reach it, from the last byte to the verdict."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from math import exp, log, sqrt
from random import Random

from wheatring.lab.correlation import CorrelationTable
from wheatring.lab.event_recorder import EventRecorder
from wheatring.lab.models.cold import Pressure, Warming
from wheatring.lab.models.cpu import Cpu
from wheatring.lab.models.effects import Effects
from wheatring.lab.models.pace import Pace
from wheatring.lab.models.stay import Stay
from wheatring.lab.models.visit import Below, Verdict, Visit
from wheatring.lab.plan import ClassPlan, NodePlan, RulesPlan, TierPlan
from wheatring.lab.timers import Timers

SERVED = Verdict.SERVED  # looked up once: an enum takes its time
SOON = 0.001  # seconds: with less than that left, a visit makes no more calls and fails


class Machine:
    """One execute node and its process. It knows no sockets: what attaches it hands visits in.

    It does not run before `start`. `effects` is the first tier's memory of keys; other tiers need none.
    `on_fallen` is called when its process has fallen over and all it had is gone: its connections are to be
    reset, and it stays down. The book is told of all that becomes of a visit but that it arrived and that it
    was turned away, which what attaches it tells. Times are seconds, work is in seconds on a standard core.
    """

    def __init__(
        self,
        node: NodePlan,
        tier: TierPlan,
        tier_index: int,
        classes: Sequence[ClassPlan],
        timers: Timers,
        random: Random,
        origins: CorrelationTable,
        book: EventRecorder,
        below: Below | None,
        calls: float,
        *,
        effects: Effects | None = None,
        rules: RulesPlan | None = None,
        passes_deadline: bool = True,
    ) -> None:
        """`below` carries calls to the next tier, `calls` is their mean number for one visit."""
        self.node = node
        self.name = node.name
        self.kind = kind = tier.kinds[node.kind]
        self.tier = tier
        self.classes = classes
        self.timers = timers
        self.random = random
        self.origins = origins
        self.book = book
        self.below = below
        self.whole_calls = int(calls) if below is not None else 0
        self.part_calls = calls - int(calls) if below is not None else 0.0
        self.effects = effects if tier_index == 0 else None
        self.rules = rules if rules is not None else RulesPlan()
        self.passes_deadline = passes_deadline
        self.on_fallen: Callable[[], object] = lambda: None
        self.running = self.draining = self.fallen = False
        self.started_at = 0.0  # of its process; 0: long ago
        self.in_work = 0  # visits that have a slot
        self.held: dict[Visit, Stay] = {}
        self._waiting: deque[Stay] = deque()
        self._stalled: deque[Callable[[], None]] = deque()  # what it finds once it no longer stands still
        self._pressure: Pressure | None = None  # while cold
        self._share = tier.work
        self._sigma = [sqrt(log(1.0 + each.attempt_noise**2)) for each in classes]
        self.cpu: Cpu[Stay] = Cpu(timers, kind.cores, node.speed, self._worked)
        self.pace = Pace(timers, kind, tier, random, self.cpu, self.held, self._choked, self._found)
        self.troubles = self.pace.troubles

    # Its process

    def start(self, cold: bool) -> None:
        """A process starts, where none runs. Not cold: it counts as running for long."""
        if self.running:
            return
        now = self.timers.now()
        self.running, self.draining, self.fallen = True, False, False
        self.started_at = now if cold else 0.0
        warming = None
        if cold and self.kind.cold > 0.0 and self.kind.cold_from < 1.0:
            warming = Warming(now, self.kind.cold_from, self.kind.cold)
            self._pressure = Pressure(self.rules)
        self.cpu.restart(warming)
        self.pace.start()
        self.book.node_up(self.name, self.cpu.rated)

    def drain(self) -> None:
        """It takes nothing new from now on, and finishes what it has."""
        self.draining = True

    def stop(self) -> None:
        """Its process ends at once. What it had is forgotten without a reply: its connections are reset by
        what attaches it, which still tells of each connection's end by `disconnect`.
        """
        if not self.running:
            return
        self.running = False
        for stay in self.held.values():
            stay.over = True
            begun = stay.part - self.cpu.left(stay.mark) if stay.part else 0.0
            self.book.worked(self.name, stay.visit.ident, stay.done + begun)
            if not stay.visit.gone:
                self.book.ended(self.name, stay.visit.ident)
        self.held.clear()
        self._waiting.clear()
        self._stalled.clear()
        self.in_work = 0
        self._pressure = None
        self.cpu.restart(None)
        self.pace.stop()
        self.book.node_down(self.name)

    def _fall(self) -> None:
        self.fallen = True
        self.book.note("fell", node=self.name, held=len(self.held))
        self.stop()
        self.on_fallen()

    # Connections

    def connect(self) -> float | None:
        """A connection is to be accepted. Gives the seconds that its first request loses to the handshake
        beside the round trips; None: it is not accepted, and `disconnect` is not called for it.
        """
        if not self.running or not self.pace.connect():
            return None
        work = self.tier.handshake_work
        if work <= 0.0:
            return 0.0
        self.cpu.add(work, None)
        return self.pace.wait(work)

    def disconnect(self) -> None:
        """A connection that was accepted has ended, in whatever way."""
        self.pace.disconnect()

    @property
    def connections(self) -> int:
        return self.pace.connections

    @property
    def full(self) -> bool:
        """It would not accept one more connection while it runs."""
        return self.pace.full

    # Visits

    def visit(self, visit: Visit) -> None:
        """The last byte of a request has arrived. The reply may come from within this call."""
        if not self.running:
            self.book.ended(self.name, visit.ident)
            return
        origin = self.origins.by_id.get(visit.ident)
        if origin is None:
            self._away(visit)
            return
        work = origin.size * self._share
        sigma = self._sigma[origin.class_index]
        if sigma > 0.0:
            work *= exp(sigma * (self.random.gauss(0.0, 1.0) - 0.5 * sigma))
        stay = Stay(self, visit, origin, work)
        self.book.offered(self.name, visit.sidecar, work)
        if self._pressure is not None and self._too_much(work):
            self.held[visit] = stay
            self._fall()
        elif self.pace.still:
            self.held[visit] = stay
            self._stalled.append(partial(self._take, stay))
        else:
            self._take(stay)

    def abandoned(self, visit: Visit) -> None:
        """Its caller has closed the connection. The work goes on, for nobody."""
        if visit in self.held and not visit.gone:
            visit.gone = True
            self.book.ended(self.name, visit.ident)

    def _too_much(self, work: float) -> bool:
        warming, now = self.cpu.warming, self.timers.now()
        if self._pressure is None or warming is None or now >= warming.end:
            self._pressure = None
            return False
        return self._pressure.offer(now, work, self.cpu.rated())

    def _take(self, stay: Stay) -> None:
        visit, fail, kind, held = stay.visit, self.troubles.fail, self.kind, self.held
        free = self.in_work < kind.slots
        if self.draining or not (free or len(self._waiting) < kind.queue):
            held.pop(visit, None)
            self._away(visit)
            return
        held[visit] = stay
        if kind.knee <= len(held):
            self.pace.tune()
        if fail > 0.0 and self.random.random() < fail:
            self._leave(stay, Verdict.ERROR)
        elif free:
            self._begin(stay)
        else:
            self._waiting.append(stay)

    def _away(self, visit: Visit) -> None:
        if not visit.gone:
            visit.reply(Verdict.AWAY, "")
            self.book.ended(self.name, visit.ident)

    def _begin(self, stay: Stay) -> None:
        """It has a slot."""
        self.in_work += 1
        if self.effects is not None:
            self.effects.ran(self.name, stay.visit.ident, stay.origin)
        broken = self.troubles.broken
        stay.breaks = broken > 0.0 and self.random.random() < broken
        stay.calls = self.whole_calls
        if self.part_calls > 0.0 and self.random.random() < self.part_calls:
            stay.calls += 1
        part = 0.5 * stay.rest if stay.calls or stay.breaks else stay.rest
        stay.part = part
        stay.rest -= part
        stay.mark = self.cpu.add(part, stay)

    def _work(self, stay: Stay, part: float) -> None:
        stay.part = part
        stay.rest -= part
        stay.mark = self.cpu.add(part, stay)

    def _worked(self, stay: Stay) -> None:
        """The cores are done with the part that they had in hand."""
        if stay.over:
            return
        stay.done += stay.part
        stay.part = 0.0
        if stay.breaks:
            self._finish(stay, Verdict.RESET)
        elif stay.calls:
            self._call(stay)
        elif stay.rest > 0.0:
            self._work(stay, stay.rest)
        else:
            self._finish(stay, self._verdict())

    def _verdict(self) -> Verdict:
        spoil, errors = self.troubles.spoil, self.kind.error_rate
        if errors > 0.0 and self.random.random() < errors:
            return Verdict.ERROR
        if spoil > 0.0 and self.random.random() < spoil:
            return Verdict.SPOILT
        return SERVED

    def _call(self, stay: Stay) -> None:
        visit = stay.visit
        stay.calls -= 1
        left = self.classes[stay.origin.class_index].deadline
        if self.passes_deadline:
            left = (visit.left or left) - (self.timers.now() - visit.since)
        if self.below is None or left < SOON:
            self._finish(stay, Verdict.ERROR)
        else:
            self.below(visit, left, stay.called)

    def called(self, stay: Stay, served: bool) -> None:
        """A call that was made for it has ended."""
        if self.pace.still:
            self._stalled.append(partial(self.called, stay, served))
        elif not served:
            self._finish(stay, Verdict.ERROR)
        elif stay.calls:
            self._call(stay)
        else:
            self._work(stay, stay.rest)

    def _finish(self, stay: Stay, verdict: Verdict) -> None:
        """It gives its slot back, and the next one has it before the reply brings anything new."""
        self.in_work -= 1
        if self._waiting:
            self._begin(self._waiting.popleft())
        self._leave(stay, verdict)

    def _leave(self, stay: Stay, verdict: Verdict) -> None:
        visit, book, name, held = stay.visit, self.book, self.name, self.held
        ident = visit.ident
        stay.over = True
        del held[visit]
        if self.kind.knee <= len(held) + 1:
            self.pace.tune()
        book.worked(name, ident, stay.done)
        if not visit.gone:
            stamp = book.made(name, ident) if verdict is SERVED else ""
            # Told first: a reply may bring the next attempt of this request from within this call.
            book.ended(name, ident)
            visit.reply(verdict, stamp)

    # What hinders it

    def troubled(self) -> None:
        """Its troubles have changed."""
        self.troubles.reckon()
        self.pace.changed()

    def _choked(self) -> None:
        self.book.choked(self.name)

    def _found(self) -> None:
        """It moves again: it finds what came meanwhile. That may stop it, or have it stand still anew."""
        while self._stalled and not self.pace.still:
            self._stalled.popleft()()

    # For figures, beside the length of `held`

    @property
    def spoil(self) -> float:
        """Share of its answers that are spoilt at present."""
        return self.troubles.spoil

    @property
    def waiting(self) -> int:
        """Visits that wait for a slot."""
        return len(self._waiting)

    @property
    def work_done(self) -> float:
        """Since the machine was made, handshakes among it."""
        return self.cpu.worked()

    def capacity(self) -> float:
        """What it can do at present with all that hinders it, in work a second."""
        return self.cpu.rated() * self.cpu.factor if self.running else 0.0
