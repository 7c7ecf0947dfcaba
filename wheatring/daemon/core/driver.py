"""Feeds events to the balancer and executes its actions in order. Independent of protocols."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from wheatring.balancer import interface as i
from wheatring.common import log
from wheatring.daemon.core.clock import Clock
from wheatring.daemon.core.exchange import Answer, AnswerKind, Attempt, Exchange, Request

NOT_SENT = i.Outcome.NOT_SENT  # bound once, as looking up an enum member is slow


class EndpointDirectory(Protocol):
    """The part of the endpoint list's client that the driver uses."""

    def subscribe(self) -> None:
        """Start watching the list, unless it is being watched."""

    def unsubscribe(self) -> None:
        """Stop watching the list."""

    def fetch(self) -> None:
        """Fetch the entire list once."""

    def record_outcome(self, now: float, endpoint: str, outcome: i.Outcome) -> None:
        """Record the outcome of an attempt, from which the list's freshness is estimated."""


class DecisionModule(Protocol):
    """The balancer or a replacement of it."""

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Return the actions in response to an event, in the order of execution."""


class Driver:
    """Executes the decisions of one balancer on one exchange.

    An exception in the balancer or in one action affects neither the process nor any other request.

    Attributes
    ----------
    endpoint_list : EndpointDirectory
        Set by the owner before the first event.
    open_requests : dict[int, Request]
        Requests by the balancer's number, until all their attempts have ended.
    queued_events : deque[i.Event]
        Events that arrived while another one was being handled.
    """

    def __init__(self, balancer: DecisionModule, exchange: Exchange, clock: Clock) -> None:
        self.decision_module = balancer
        self.exchange = exchange
        self.clock = clock
        self.endpoint_list: EndpointDirectory
        self.open_requests: dict[int, Request] = {}
        self.last_id = 0
        self.queued_events: deque[i.Event] = deque()
        self.is_handling_event = False
        exchange.on_request = self.add_request
        exchange.on_caller_disconnected = self.report_caller_disconnected
        exchange.on_attempt_ended = self.report_attempt_ended
        exchange.on_committed = self.report_committed

    # Callbacks of the exchange

    def add_request(self, request: Request) -> None:
        """Assign a number to a new request and pass it to the balancer."""
        number = self.last_id = self.last_id + 1
        request.decision_id = number
        self.open_requests[number] = request
        remaining_seconds = min(request.deadline - self.clock.now(), request.time_limit)
        event = i.NewRequest(number, request.class_name, remaining_seconds)
        if request.is_retry:
            event.is_client_retry = True
        self.feed(event)

    def report_caller_disconnected(self, request: Request) -> None:
        """Notify the balancer, if it has the request, that the caller no longer waits for an answer."""
        if request.decision_id:
            self.feed(i.RequestAbandoned(request.decision_id))

    def report_committed(self, request: Request) -> None:
        """Notify the balancer that a request can't be sent again."""
        self.feed(i.Committed(request.decision_id))

    def report_attempt_ended(self, attempt: Attempt) -> None:
        """Report the outcome of an attempt to the endpoint list and the balancer."""
        request = attempt.request
        outcome = attempt.outcome
        assert outcome is not None
        now = self.clock.now()
        try:
            self.endpoint_list.record_outcome(now, attempt.endpoint, outcome)
        except Exception as error:  # the balancer must be notified even if the list fails
            log.line("list-broken", why=repr(error))
        latency = now - attempt.started_at
        number, endpoint = attempt.number, attempt.endpoint
        self.feed(
            i.AttemptEnded(request.decision_id, number, outcome, endpoint, latency, request.is_finished)
        )

    def correlation_id(self, number: int) -> str:
        """Return the correlation id of the open request with the balancer's number, or "" if none is open."""
        request = self.open_requests.get(number)
        return request.correlation_id if request is not None else ""

    # Events in, actions out

    def feed(self, event: i.Event) -> None:
        """Handle an event; one that arrives while another is being handled is queued."""
        queued = self.queued_events
        if self.is_handling_event:
            queued.append(event)
            return
        self.is_handling_event = True
        try:
            self.decide(event)
            while queued:
                self.decide(queued.popleft())
        finally:
            self.is_handling_event = False

    def decide(self, event: i.Event) -> None:
        """Pass an event to the balancer and execute the resulting actions."""
        request = self.open_requests.get(getattr(event, "request", 0))
        if event.__class__ is i.View:
            # Connects to endpoints that accept no new requests are aborted before the decision, which may
            # rely on it.
            self.exchange.on_endpoint_list(event)
        try:
            actions = self.decision_module.handle(self.clock.now(), event)
        except Exception as error:  # must neither end the process nor leave the request unanswered
            log.line("decision-broken", event=type(event).__name__, why=repr(error))
            actions = []
            if request is not None:
                self.exchange.answer(request, Answer(AnswerKind.FAILED))
        for action in actions:
            try:
                self.execute(action)
            except Exception as error:  # one failed action must not prevent the next ones
                log.line("action-broken", action=type(action).__name__, why=repr(error))
                self.answer(getattr(action, "request", 0), Answer(AnswerKind.FAILED))
        if request is not None:
            self.forget_if_finished(request)

    def forget_if_finished(self, request: Request) -> None:
        """Remove a request once it is answered and all its attempts have ended."""
        if not request.is_finished:
            return
        attempts = request.attempts
        for attempt in attempts:
            if attempt.outcome is None:
                return
        self.open_requests.pop(request.decision_id, None)
        attempts.clear()  # breaks the reference cycle between a request and its attempts

    def execute(self, action: i.Action) -> None:
        """Execute one action of the balancer."""
        match action:
            case i.Send(number, endpoint, timeout):
                self._start_attempt(number, endpoint, timeout, action.start_within)
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
            case _:  # health checks and messages to peers, which are not enabled in this deployment
                log.line("not-carried-out", action=type(action).__name__)

    def _start_attempt(self, number: int, endpoint: str, timeout: float, start_within: float) -> None:
        request, now = self.open_requests[number], self.clock.now()
        attempt = self.exchange.create_attempt(request, endpoint, now + timeout, now + start_within)
        if attempt.outcome is NOT_SENT:
            self.report_attempt_ended(attempt)

    def answer(self, number: int, answer: Answer) -> None:
        """Give the final answer to the request with the balancer's number, if it is open."""
        request = self.open_requests.get(number)
        if request is not None:
            self.exchange.answer(request, answer)
            self.forget_if_finished(request)
