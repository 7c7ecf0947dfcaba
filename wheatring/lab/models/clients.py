"""The clients: each first try becomes one try or more, and ends once."""

from __future__ import annotations

from functools import partial
from random import Random

from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.event_recorder import EventRecorder, FirstTryEnd
from wheatring.lab.models.front import Front
from wheatring.lab.models.traffic import Traffic
from wheatring.lab.models.way import LINGER, Asked, ReplyKind, Way
from wheatring.lab.plan import Plan
from wheatring.lab.timers import Timer, Timers

LEAST = 0.001  # seconds left below which no further try is made: none could be stated on the wire

# How a first try ends whose last try ended so.
ENDS: dict[ReplyKind, FirstTryEnd] = {
    "served": "served",
    "refused": "refused",
    "failed": "failed",
    "unreached": "failed",
    "lost": "failed",
}


class Clients:
    """All clients of the day. What one of them does is drawn as it arrives, so that two runs of a plan with
    other sidecars differ in their answers alone.
    """

    def __init__(
        self,
        plan: Plan,
        timers: Timers,
        random: Random,
        origins: CorrelationTable,
        book: EventRecorder,
        front: Front,
        way: Way,
    ) -> None:
        self.classes = plan.classes
        self.plan = plan.clients
        self.timers = timers
        self.random = random
        self.origins = origins
        self.book = book
        self.front = front
        self.way = way
        self.traffic = Traffic(plan, timers, self.arrive)
        self.open = 0  # first tries that are not settled

    def start(self) -> None:
        """The day starts now."""
        self.traffic.start()

    def arrive(self, origin: OriginalRequest) -> None:
        self.open += 1
        self.book.asked(origin.first, origin.class_index)
        _First(self, origin).attempt()

    def jitter(self) -> list[float]:
        """Factors on the backoffs of one client."""
        if self.plan.backoff != "exp":
            return []
        return [0.5 + self.random.random() for _ in range(self.plan.retries)]

    def patience(self) -> list[float]:
        """Parts of each try's time after which one client leaves; 1: it does not leave early."""
        draw = self.random.random
        if not self.plan.impatient:
            return []
        drawn = [(draw(), draw()) for _ in range(self.plan.retries + 1)]
        return [part if chance < self.plan.impatient else 1.0 for chance, part in drawn]


class _First:
    """One first try and its further ones."""

    __slots__ = (
        "asked", "began", "class_plan", "clients", "deadline", "honours", "jitter", "may_have_run", "origin",
        "patience", "timer", "tries",
    )  # fmt: skip

    def __init__(self, clients: Clients, origin: OriginalRequest) -> None:
        plan = clients.plan
        self.clients = clients
        self.origin = origin
        self.class_plan = clients.classes[origin.class_index]
        self.deadline = clients.timers.now() + self.class_plan.deadline
        self.tries = 0
        self.began = 0.0  # the present try
        self.may_have_run: float | None = None  # start of the first try that may have
        self.honours = plan.honour >= 1 or (plan.honour > 0 and clients.random.random() < plan.honour)
        self.jitter = clients.jitter()
        self.patience = clients.patience()
        self.asked: Asked | None = None
        self.timer: Timer | None = None

    def attempt(self) -> None:
        """The next try. It has a part of the time left while there may be a further one, else all of it."""
        clients, plan, origin = self.clients, self.clients.plan, self.origin
        now = self.began = clients.timers.now()
        end = self.deadline
        if self.tries < plan.retries:
            end = now + (end - now) * plan.try_share
        part = self.patience[self.tries] if self.patience else 1.0
        self.tries += 1
        ident = clients.origins.new(origin)
        sidecar = clients.front.pick()
        if sidecar is None:
            self.again("unreached", 0.0)
            return
        repeat = plan.marks_retry and self.tries > 1
        # Before it asks, so that what comes at that very instant comes too late.
        if part < 1:
            self.timer = clients.timers.at(now + (end - now) * part, self.quit)
        else:
            self.timer = clients.timers.at(end, self.late)
        self.asked = clients.way.ask(
            sidecar,
            ident,
            origin.class_index,
            end - now,
            origin.key,
            repeat,
            partial(self.answered, self.tries),
        )

    def answered(self, number: int, kind: ReplyKind, retry_after: float) -> None:
        if self.asked is None or number != self.tries:
            return  # out of time when it came
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.asked = None
        if kind == "served":
            self.settle("served")
        else:
            self.again(kind, retry_after)

    def late(self) -> None:
        asked, self.asked = self.asked, None
        timers = self.clients.timers
        if asked is not None:
            timers.at(timers.now() + LINGER, asked.leave)
        self.timer = None
        self.again(None, 0.0)

    def quit(self) -> None:
        """Leave early, for good."""
        self.leave()
        self.settle("left")

    def leave(self) -> None:
        self.timer = None
        asked, self.asked = self.asked, None
        if asked is not None:
            asked.leave()

    def again(self, kind: ReplyKind | None, retry_after: float) -> None:
        """Try again, where a client may and has the time, else that was the end. None: out of time."""
        clients, plan = self.clients, self.clients.plan
        if kind != "refused" and kind != "unreached" and self.may_have_run is None:
            self.may_have_run = self.began
        end: FirstTryEnd = "timeout" if kind is None else ENDS[kind]
        if self.tries > plan.retries:
            self.settle(end)
            return
        wait = 0.0
        if plan.backoff == "fixed":
            wait = plan.backoff_base
        elif plan.backoff == "exp":
            wait = plan.backoff_base * 2.0 ** (self.tries - 1) * self.jitter[self.tries - 1]
        if self.honours:
            wait = max(wait, min(retry_after, plan.max_retry_after))
        at = clients.timers.now() + wait
        if at + LEAST > self.deadline or not self.repeatable(at):
            self.settle(end)
        elif wait:
            clients.timers.at(at, self.attempt)
        else:
            self.attempt()

    def repeatable(self, at: float) -> bool:
        """What may have run goes out again only as its class allows."""
        effect = self.class_plan.effect
        if self.may_have_run is None or effect == "safe":
            return True
        return effect == "keyed" and at < self.may_have_run + self.class_plan.window

    def settle(self, end: FirstTryEnd) -> None:
        clients = self.clients
        clients.open -= 1
        clients.book.settled(self.origin.first, end, self.tries)
