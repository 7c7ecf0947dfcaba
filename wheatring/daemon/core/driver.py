"""Feeds events to the balancer and carries out its actions, in their order. It knows no protocol."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from wheatring.balancer import interface as i
from wheatring.common import log
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.core.exchange import Answer, AnswerKind, Attempt, Exchange, Request

NOT_SENT = i.Outcome.NOT_SENT  # looked up once: the lookup of an enum's member is slow


class EndpointDirectory(Protocol):
    """The client of the endpoint list, as far as the driver uses it."""

    def subscribe(self) -> None:
        """Watch the list, unless it is watched already."""

    def unsubscribe(self) -> None:
        """Watch it no more."""

    def fetch(self) -> None:
        """Ask for the whole list once."""

    def record_outcome(self, now: float, endpoint: str, outcome: i.Outcome) -> None:
        """Take the end of an attempt as evidence of how current the list is."""


class DecisionModule(Protocol):
    """The balancer, or what stands in for it."""

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Return the actions that an event calls for, in their order."""


class Driver:
    """Carries the decisions of one balancer out, on one exchange.

    A fault in the balancer, or in one action, ends neither the process nor another request.

    Attributes
    ----------
    endpoint_list : EndpointDirectory
        Set by the owner before the first event.
    open_requests : dict[int, Request]
        By the balancer's numbers, until all their attempts have ended.
    queued_events : deque[i.Event]
        What came up while an event was being handled.
    """

    def __init__(self, balancer: DecisionModule, exchange: Exchange, clock: Clock) -> None:
        self.decision_module = balancer
        self.exchange = exchange
        self.clock = clock
        self.endpoint_list: EndpointDirectory
        self.open_requests: dict[int, Request] = {}
        self.last_id = 0
        self.queued_events: deque[i.Event] = deque()
        self.is_busy = False
        exchange.on_request = self.add_request
        exchange.on_caller_left = self.report_caller_disconnected
        exchange.on_attempt_ended = self.report_attempt_ended
        exchange.on_committed = self.report_committed

    # Reports of the exchange

    def add_request(self, request: Request) -> None:
        """Give a new request its number, and have the balancer decide on it."""
        number = self.last_id = self.last_id + 1
        request.decision_id = number
        self.open_requests[number] = request
        remaining_seconds = min(request.deadline - self.clock.now(), request.time_limit)
        event = i.NewRequest(number, request.class_name, remaining_seconds)
        if request.is_retry:
            event.is_client_retry = True
        self.feed(event)

    def report_caller_disconnected(self, request: Request) -> None:
        """Tell the balancer, if it knows of the request, that no answer is due any more."""
        if request.decision_id:
            self.feed(i.RequestAbandoned(request.decision_id))

    def report_committed(self, request: Request) -> None:
        """Tell the balancer that a request can't be sent again."""
        self.feed(i.Committed(request.decision_id))

    def report_attempt_ended(self, attempt: Attempt) -> None:
        """Tell the endpoint list and the balancer how an attempt has ended."""
        request = attempt.request
        outcome = attempt.outcome
        assert outcome is not None
        now = self.clock.now()
        try:
            self.endpoint_list.record_outcome(now, attempt.endpoint, outcome)
        except Exception as error:  # a fault in the list must not keep the end from the balancer
            log.line("list-broken", why=repr(error))
        latency = now - attempt.started_at
        number, endpoint = attempt.number, attempt.endpoint
        self.feed(
            i.AttemptEnded(request.decision_id, number, outcome, endpoint, latency, request.is_finished)
        )

    def correlation_id(self, number: int) -> str:
        """Return the correlation id of an open request by the balancer's number; "": there is none."""
        request = self.open_requests.get(number)
        return request.correlation_id if request is not None else ""

    # Events in, actions out

    def feed(self, event: i.Event) -> None:
        """Handle an event; one that comes up while actions are carried out waits for its turn."""
        queued = self.queued_events
        if self.is_busy:
            queued.append(event)
            return
        self.is_busy = True
        try:
            self.decide(event)
            while queued:
                self.decide(queued.popleft())
        finally:
            self.is_busy = False

    def decide(self, event: i.Event) -> None:
        """Have the balancer decide on an event, and carry its actions out."""
        request = self.open_requests.get(getattr(event, "request", 0))
        if event.__class__ is i.View:
            # Connects to endpoints that take nothing new must end first: a decision may rely on it.
            self.exchange.on_endpoint_list(event)
        try:
            actions = self.decision_module.handle(self.clock.now(), event)
        except Exception as error:  # a fault in the balancer must neither end the process nor leave a request
            log.line("decision-broken", event=type(event).__name__, why=repr(error))
            actions = []
            if request is not None:
                self.exchange.answer(request, Answer(AnswerKind.FAILED))
        for action in actions:
            try:
                self.carry_out(action)
            except Exception as error:  # nor may one action that can't be carried out keep the next from it
                log.line("action-broken", action=type(action).__name__, why=repr(error))
                self.answer(getattr(action, "request", 0), Answer(AnswerKind.FAILED))
        if request is not None:
            self.forget_if_finished(request)

    def forget_if_finished(self, request: Request) -> None:
        """Drop a request that is answered and all of whose attempts have ended."""
        if not request.is_finished:
            return
        attempts = request.attempts
        for attempt in attempts:
            if attempt.outcome is None:
                return
        self.open_requests.pop(request.decision_id, None)
        attempts.clear()  # a request and its attempts would hold each other until the garbage collector runs

    def carry_out(self, action: i.Action) -> None:
        """Carry out one action of the balancer."""
        match action:
            case i.Send(number, endpoint, timeout):
                self._send(number, endpoint, timeout, action.start_within)
            case i.Reject(number, retry_after):
                self.answer(number, Answer(AnswerKind.REFUSED, retry_after=retry_after))
            case i.Fail(number):
                self.answer(number, Answer(AnswerKind.FAILED))
            case i.SetTimer(token, delay):
                self.clock.at(self.clock.now() + delay, self.feed, i.TimerDue(token))
            case i.Cancel(number, attempt):
                self.exchange.cancel_attempt(self.open_requests[number].attempts[attempt])
            case i.Subscribe(is_on):
                if is_on:
                    self.endpoint_list.subscribe()
                else:
                    self.endpoint_list.unsubscribe()
            case i.FetchEndpointList():
                self.endpoint_list.fetch()
            case i.CloseIdle(endpoint):
                self.exchange.close_idle(endpoint)
            case i.Log(text):
                log.line("module", text=text)
            case _:  # health checks and messages to peers, which this deployment never asks for
                log.line("not-carried-out", action=type(action).__name__)

    def _send(self, number: int, endpoint: str, timeout: float, start_within: float) -> None:
        request, now = self.open_requests[number], self.clock.now()
        attempt = self.exchange.create_attempt(request, endpoint, now + timeout, now + start_within)
        if attempt.outcome is NOT_SENT:
            self.report_attempt_ended(attempt)

    def answer(self, number: int, answer: Answer) -> None:
        """Give the final answer of a request by the balancer's number, if it is open."""
        request = self.open_requests.get(number)
        if request is not None:
            self.exchange.answer(request, answer)
            self.forget_if_finished(request)
