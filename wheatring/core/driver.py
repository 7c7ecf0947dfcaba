"""Feeds events to the decision module and carries out its actions, in their order. Protocol-free."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from wheatring import log
from wheatring.balancer import interface as i
from wheatring.core.clock import Clock
from wheatring.core.exchange import Answer, Claim, Exchange, Final, Job

NOT_SENT = i.Outcome.NOT_SENT  # looked up once, not for each claim: an enum takes its time


class MachineList(Protocol):
    """What the driver needs of discovery's client."""

    def subscribe(self) -> None: ...

    def unsubscribe(self) -> None: ...

    def fetch(self) -> None: ...

    def seen(self, now: float, node: str, outcome: i.Outcome) -> None:
        """A claim has ended: what that says of the list."""


class Decisions(Protocol):
    """The decision module, or what stands in for it."""

    def handle(self, now: float, event: i.Event) -> list[i.Action]: ...


class Driver:
    def __init__(self, balancer: Decisions, exchange: Exchange, clock: Clock) -> None:
        self.balancer = balancer
        self.exchange = exchange
        self.clock = clock
        self.machine_list: MachineList
        self.jobs: dict[int, Job] = {}  # by the module's ids, until all claims have ended
        self.last = 0
        self.waiting: deque[i.Event] = deque()
        self.busy = False
        exchange.on_job = self.job_came
        exchange.on_left = self.job_left
        exchange.on_claim_ended = self.claim_ended
        exchange.on_committed = self.job_committed

    # What comes from the exchange

    def job_came(self, job: Job) -> None:
        number = self.last = self.last + 1
        job.number = number
        self.jobs[number] = job
        left = min(job.deadline - self.clock.now(), job.allowed)
        event = i.NewRequest(number, job.class_name, left)
        if job.repeat:
            event.is_client_retry = True
        self.feed(event)

    def job_left(self, job: Job) -> None:
        if job.number:  # the module knows of it
            self.feed(i.RequestAbandoned(job.number))

    def job_committed(self, job: Job) -> None:
        self.feed(i.Committed(job.number))

    def claim_ended(self, claim: Claim) -> None:
        job = claim.job
        assert claim.outcome is not None
        now = self.clock.now()
        try:
            self.machine_list.seen(now, claim.node, claim.outcome)
        except Exception as bug:  # what is made of the list must not keep the decisions from an end
            log.line("list-broken", why=repr(bug))
        latency = now - claim.begun
        self.feed(i.AttemptEnded(job.number, claim.number, claim.outcome, claim.node, latency, job.over))

    def ident(self, number: int) -> str:
        job = self.jobs.get(number)
        return job.ident if job is not None else ""

    # Events in, actions out

    def feed(self, event: i.Event) -> None:
        """Hand an event over; one that comes up while actions are carried out waits for its turn."""
        waiting = self.waiting
        if self.busy:
            waiting.append(event)
            return
        self.busy = True
        try:
            self.handle(event)
            while waiting:
                self.handle(waiting.popleft())
        finally:
            self.busy = False

    def handle(self, event: i.Event) -> None:
        job = self.jobs.get(getattr(event, "request", 0))
        if event.__class__ is i.View:
            # Connects under way to who is told away end before the decisions go on: nothing is written there.
            self.exchange.on_listed(event)
        try:
            actions = self.balancer.handle(self.clock.now(), event)
        except Exception as bug:  # a fault in the decisions must neither end the process nor strand a job
            log.line("decision-broken", event=type(event).__name__, why=repr(bug))
            actions = []
            if job is not None:
                self.exchange.answer(job, Answer(Final.FAILED))
        for action in actions:
            try:
                self.carry_out(action)
            except Exception as bug:  # nor may one action that can't be carried out keep the next from it
                log.line("action-broken", action=type(action).__name__, why=repr(bug))
                self.answer(getattr(action, "request", 0), Answer(Final.FAILED))
        if job is not None:
            self.forget(job)

    def forget(self, job: Job) -> None:
        if not job.over:
            return
        claims = job.claims
        for claim in claims:
            if claim.outcome is None:
                return
        self.jobs.pop(job.number, None)
        claims.clear()  # or job and claims would hold each other until the collector comes

    def carry_out(self, action: i.Action) -> None:
        match action:
            case i.Send(request, endpoint, timeout):
                job, now = self.jobs[request], self.clock.now()
                claim = self.exchange.claim(job, endpoint, now + timeout, now + action.start_within)
                if claim.outcome is NOT_SENT:
                    self.claim_ended(claim)
            case i.Reject(request, retry_after):
                self.answer(request, Answer(Final.REFUSED, retry_after=retry_after))
            case i.Fail(request):
                self.answer(request, Answer(Final.FAILED))
            case i.SetTimer(token, delay):
                self.clock.at(self.clock.now() + delay, self.feed, i.TimerDue(token))
            case i.Cancel(request, attempt):
                self.exchange.abandon(self.jobs[request].claims[attempt])
            case i.Subscribe(on):
                if on:
                    self.machine_list.subscribe()
                else:
                    self.machine_list.unsubscribe()
            case i.FetchEndpointList():
                self.machine_list.fetch()
            case i.CloseIdle(endpoint):
                self.exchange.close_idle(endpoint)
            case i.Log(text):
                log.line("module", text=text)
            case _:  # probes and messages to peers, which this deployment's decisions never ask for
                log.line("not-carried-out", action=type(action).__name__)

    def answer(self, request: int, answer: Answer) -> None:
        job = self.jobs.get(request)
        if job is not None:
            self.exchange.answer(job, answer)
            self.forget(job)
