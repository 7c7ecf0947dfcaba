"""Feeds events to the decision module and carries out its actions, in their order. Protocol-free."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from wheatring import log
from wheatring.balancer import interface as i
from wheatring.core.clock import Clock
from wheatring.core.exchange import Answer, AnswerKind, Attempt, Exchange, Request

NOT_SENT = i.Outcome.NOT_SENT  # looked up once, not for each claim: an enum takes its time


class EndpointDirectory(Protocol):
    """What the driver needs of discovery's client."""

    def subscribe(self) -> None: ...

    def unsubscribe(self) -> None: ...

    def fetch(self) -> None: ...

    def record_outcome(self, now: float, node: str, outcome: i.Outcome) -> None:
        """A claim has ended: what that says of the list."""


class DecisionModule(Protocol):
    """The decision module, or what stands in for it."""

    def handle(self, now: float, event: i.Event) -> list[i.Action]: ...


class Driver:
    def __init__(self, balancer: DecisionModule, exchange: Exchange, clock: Clock) -> None:
        self.decision_module = balancer
        self.exchange = exchange
        self.clock = clock
        self.endpoint_list: EndpointDirectory
        self.open_requests: dict[int, Request] = {}  # by the module's ids, until all claims have ended
        self.last_id = 0
        self.queued_events: deque[i.Event] = deque()
        self.is_busy = False
        exchange.on_request = self.add_request
        exchange.on_caller_left = self.report_caller_left
        exchange.on_attempt_ended = self.report_attempt_ended
        exchange.on_committed = self.report_committed

    # What comes from the exchange

    def add_request(self, job: Request) -> None:
        number = self.last_id = self.last_id + 1
        job.decision_id = number
        self.open_requests[number] = job
        left = min(job.deadline - self.clock.now(), job.time_limit)
        event = i.NewRequest(number, job.class_name, left)
        if job.is_retry:
            event.is_client_retry = True
        self.feed(event)

    def report_caller_left(self, job: Request) -> None:
        if job.decision_id:  # the module knows of it
            self.feed(i.RequestAbandoned(job.decision_id))

    def report_committed(self, job: Request) -> None:
        self.feed(i.Committed(job.decision_id))

    def report_attempt_ended(self, claim: Attempt) -> None:
        job = claim.request
        assert claim.outcome is not None
        now = self.clock.now()
        try:
            self.endpoint_list.record_outcome(now, claim.endpoint, claim.outcome)
        except Exception as bug:  # what is made of the list must not keep the decisions from an end
            log.line("list-broken", why=repr(bug))
        latency = now - claim.started_at
        self.feed(
            i.AttemptEnded(
                job.decision_id, claim.number, claim.outcome, claim.endpoint, latency, job.is_finished
            )
        )

    def correlation_id(self, number: int) -> str:
        job = self.open_requests.get(number)
        return job.correlation_id if job is not None else ""

    # Events in, actions out

    def feed(self, event: i.Event) -> None:
        """Hand an event over; one that comes up while actions are carried out waits for its turn."""
        waiting = self.queued_events
        if self.is_busy:
            waiting.append(event)
            return
        self.is_busy = True
        try:
            self.decide(event)
            while waiting:
                self.decide(waiting.popleft())
        finally:
            self.is_busy = False

    def decide(self, event: i.Event) -> None:
        job = self.open_requests.get(getattr(event, "request", 0))
        if event.__class__ is i.View:
            # Connects under way to who is told away end before the decisions go on: nothing is written there.
            self.exchange.on_endpoint_list(event)
        try:
            actions = self.decision_module.handle(self.clock.now(), event)
        except Exception as bug:  # a fault in the decisions must neither end the process nor strand a job
            log.line("decision-broken", event=type(event).__name__, why=repr(bug))
            actions = []
            if job is not None:
                self.exchange.answer(job, Answer(AnswerKind.FAILED))
        for action in actions:
            try:
                self.carry_out(action)
            except Exception as bug:  # nor may one action that can't be carried out keep the next from it
                log.line("action-broken", action=type(action).__name__, why=repr(bug))
                self.answer(getattr(action, "request", 0), Answer(AnswerKind.FAILED))
        if job is not None:
            self.forget_if_finished(job)

    def forget_if_finished(self, job: Request) -> None:
        if not job.is_finished:
            return
        claims = job.attempts
        for claim in claims:
            if claim.outcome is None:
                return
        self.open_requests.pop(job.decision_id, None)
        claims.clear()  # or job and claims would hold each other until the collector comes

    def carry_out(self, action: i.Action) -> None:
        match action:
            case i.Send(request, endpoint, timeout):
                job, now = self.open_requests[request], self.clock.now()
                claim = self.exchange.create_attempt(job, endpoint, now + timeout, now + action.start_within)
                if claim.outcome is NOT_SENT:
                    self.report_attempt_ended(claim)
            case i.Reject(request, retry_after):
                self.answer(request, Answer(AnswerKind.REFUSED, retry_after=retry_after))
            case i.Fail(request):
                self.answer(request, Answer(AnswerKind.FAILED))
            case i.SetTimer(token, delay):
                self.clock.at(self.clock.now() + delay, self.feed, i.TimerDue(token))
            case i.Cancel(request, attempt):
                self.exchange.cancel_attempt(self.open_requests[request].attempts[attempt])
            case i.Subscribe(on):
                if on:
                    self.endpoint_list.subscribe()
                else:
                    self.endpoint_list.unsubscribe()
            case i.FetchEndpointList():
                self.endpoint_list.fetch()
            case i.CloseIdle(endpoint):
                self.exchange.close_idle(endpoint)
            case i.Log(text):
                log.line("module", text=text)
            case _:  # probes and messages to peers, which this deployment's decisions never ask for
                log.line("not-carried-out", action=type(action).__name__)

    def answer(self, request: int, answer: Answer) -> None:
        job = self.open_requests.get(request)
        if job is not None:
            self.exchange.answer(job, answer)
            self.forget_if_finished(job)
