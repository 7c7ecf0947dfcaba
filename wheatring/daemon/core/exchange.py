"""The exchange: the interface between the server side, the client side and the driver.

It owns each request, its attempts, its deadline and its one final answer. It is independent of protocols and
makes no balancing decisions. All deadlines and other instants are seconds on the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from twisted.internet.defer import Deferred

from wheatring.balancer.interface import Outcome, View
from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.daemon.lifecycle.shutdown_schedule import LatencyHistory, OpenRequest, ShutdownSchedule


class AnswerKind(Enum):
    """The kind of a final answer. After `REFUSED` the caller can safely retry; `FAILED` may have been run."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


# Bound once, as looking up an enum member for each request is slow.
SERVED, ANSWER_SERVED = Outcome.SERVED, AnswerKind.SERVED


@dataclass(slots=True)
class Answer:
    """The one final answer of a request.

    Attributes
    ----------
    content : object
        The endpoint's answer in the protocol's representation, if the request was served.
    retry_after : float
        Seconds to wait before a retry, if the request was refused; 0: no advice.
    """

    kind: AnswerKind
    content: object = None
    retry_after: float = 0.0


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller, until its final answer.

    Attributes
    ----------
    deadline : float
        The instant by which it must be answered; infinite until its last byte is received.
    content : object
        What is forwarded, in the protocol's representation.
    is_retry : bool
        Whether the caller marked it as a retry.
    answered : Deferred[Answer]
        Fires with the final answer; never if the caller disconnects first.
    attempts : list[Attempt]
        All attempts, in the order in which they were started.
    accepted_at : float
        The instant at which it was submitted or its last byte was received, whichever is later.
    decision_id : int
        The balancer's number for it; 0 until it is passed to the balancer.
    overdue_timer : Timer | None
        Answers the request as failed if it is still unanswered after its deadline.
    is_drill : bool
        Whether a drill delays or aborts it, which its answer states.
    drill_timer : Timer | None
        Fires at the end of the drill's delay.
    time_limit : float
        Seconds from its last byte to its deadline.
    """

    correlation_id: str
    class_name: str
    deadline: float
    content: object
    is_retry: bool = False
    answered: Deferred[Answer] = field(default_factory=Deferred)
    attempts: list[Attempt] = field(default_factory=list)
    accepted_at: float = 0.0
    decision_id: int = 0
    is_finished: bool = False
    overdue_timer: Timer | None = None
    is_drill: bool = False
    drill_timer: Timer | None = None
    time_limit: float = inf


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an endpoint.

    Attributes
    ----------
    number : int
        Its index in the request's attempts.
    deadline : float
        The instant at which it times out.
    is_written : bool
        Whether its last byte may have been sent, so that the endpoint may have run it.
    outcome : Outcome | None
        How it ended; None while it is in flight.
    cancel : Callable[[], None] | None
        Set by the client side while it processes the attempt; aborts it.
    start_before : float
        The instant before which its first byte must be written.
    timeout : float
        Seconds from the request's last byte to `deadline`; used until that byte is received.
    """

    request: Request
    number: int
    endpoint: str
    started_at: float
    deadline: float
    is_written: bool = False
    outcome: Outcome | None = None
    cancel: Callable[[], None] | None = None
    timeout_timer: Timer | None = None
    start_before: float = inf
    timeout: float = 0.0

    @property
    def may_have_run(self) -> bool:
        """Whether the endpoint may have run it."""
        return self.is_written and (self.outcome is None or not self.outcome.has_not_run)

    @property
    def may_be_sent(self) -> bool:
        """Whether it may still be written, which it may not once its request is finished."""
        return self.outcome is None and not self.request.is_finished


class Exchange:
    """The open requests of one process, and the callbacks between the components that handle them.

    The server submits requests, the driver creates attempts and gives answers, the connection pool reports
    how attempts end. Each component sets its callbacks here.

    Attributes
    ----------
    answer_slack : float
        Seconds after its deadline at which an unanswered request is answered as failed.
    open_requests : dict[str, Request]
        Requests by correlation id, in the order in which they were submitted.
    latencies : LatencyHistory
        The latencies of each class, used by a graceful shutdown.
    """

    def __init__(self, clock: Clock, answer_slack: float) -> None:
        self.clock = clock
        self.answer_slack = answer_slack
        self.open_requests: dict[str, Request] = {}
        self.latencies = LatencyHistory()
        # Set by the driver, the connection pool, and any layer between them and the exchange.
        self.on_request: Callable[[Request], None]
        self.on_caller_disconnected: Callable[[Request], None]
        self.on_attempt_ended: Callable[[Attempt], None]
        self.on_committed: Callable[[Request], None]
        self.start_attempt: Callable[[Attempt], None]
        self.close_idle: Callable[[str], None]
        self.on_endpoint_list: Callable[[View], None] = lambda _view: None

    # The server side

    def submit(self, request: Request) -> Deferred[Answer]:
        """Submit a request. The Deferred fires with the final answer, unless the caller disconnects."""
        self.open_requests[request.correlation_id] = request
        request.accepted_at = self.clock.now()
        if request.deadline < inf:
            self._start_overdue_timer(request)
        try:
            self.on_request(request)
        except Exception as error:  # an internal error must not leave the caller without an answer
            log.line("exchange-broken", request=request.correlation_id, why=repr(error))
            self.answer(request, Answer(AnswerKind.FAILED))
        return request.answered

    def mark_received(self, request: Request) -> None:
        """Record that the last byte of a submitted request is received; its time limit starts now."""
        if request.is_finished:
            return
        now = self.clock.now()
        request.accepted_at = now
        request.deadline = now + request.time_limit
        self._start_overdue_timer(request)
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.started_at = now
                attempt.deadline = min(now + attempt.timeout, request.deadline)
                attempt.timeout_timer = self.clock.at(attempt.deadline, self._time_out, attempt)

    def mark_committed(self, request: Request) -> None:
        """Record that part of a request's body is no longer buffered, so it can't be sent again."""
        if not request.is_finished:
            self.on_committed(request)

    @property
    def open_count(self) -> int:
        """The number of unanswered requests."""
        return len(self.open_requests)

    def withdraw(self, request: Request) -> None:
        """Remove a request whose caller has closed its connection, without an answer."""
        if not request.is_finished:
            self._finish(request)
            self.on_caller_disconnected(request)

    # The driver's side

    def create_attempt(
        self, request: Request, endpoint: str, deadline: float, start_before: float = inf
    ) -> Attempt:
        """Start an attempt; it ends as not sent if its deadline has passed or its request is finished.

        Its end is reported by `on_attempt_ended`, except for an attempt that is returned as not sent.
        """
        attempts, now = request.attempts, self.clock.now()
        if request.deadline < deadline:
            deadline = request.deadline
        attempt = Attempt(request, len(attempts), endpoint, now, deadline, start_before=start_before)
        attempts.append(attempt)
        if request.is_finished or deadline <= now:
            attempt.outcome = Outcome.NOT_SENT
            return attempt
        if request.deadline < inf:
            attempt.timeout_timer = self.clock.at(deadline, self._time_out, attempt)
        else:
            attempt.timeout = deadline - now
        self._start_attempt(attempt)
        return attempt

    def answer(self, request: Request, answer: Answer) -> None:
        """Give the final answer. Later calls are ignored, as they would send a second answer on the wire."""
        if not request.is_finished:
            self._finish(request)
            request.answered.callback(answer)

    def open_snapshot(self, now: float) -> list[OpenRequest]:
        """Return the open requests for the decisions of a graceful shutdown, in order of submission."""
        return [
            OpenRequest(request.class_name, now - request.accepted_at, request.deadline - now)
            for request in self.open_requests.values()
        ]

    def answer_all(self, schedule: ShutdownSchedule) -> None:
        """Answer all open requests at the end of a graceful shutdown, overriding the balancer."""
        for request in list(self.open_requests.values()):
            may_have_run = any(attempt.may_have_run for attempt in request.attempts)
            is_rejectable = schedule.may_reject(request.class_name, may_have_run)
            kind = AnswerKind.REFUSED if is_rejectable else AnswerKind.FAILED
            self.answer(request, Answer(kind))  # no Retry-After: another process may be up already
            self.on_caller_disconnected(request)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt that is in flight."""
        if attempt.outcome is None:
            self._stop_attempt(attempt, Outcome.CANCELLED)

    # The client side

    def end_attempt(self, attempt: Attempt, outcome: Outcome, content: object = None) -> None:
        """Report the end of an attempt; only the first report counts."""
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        attempt.cancel = None
        timer = attempt.timeout_timer
        if timer is not None:
            timer.cancel()
            attempt.timeout_timer = None
        if outcome is SERVED:
            request = attempt.request
            if not request.is_finished:
                now = self.clock.now()
                self.latencies.record(request.class_name, now, now - request.accepted_at)
                self.answer(request, Answer(ANSWER_SERVED, content))
        self.on_attempt_ended(attempt)

    def reassign_unsent(self, attempt: Attempt) -> None:
        """Restart an attempt whose connection ended before any byte of it was sent."""
        attempt.is_written, attempt.cancel = False, None
        if not attempt.may_be_sent:
            self.end_attempt(attempt, Outcome.NOT_SENT)
        elif self.check_in_time(attempt):
            self._start_attempt(attempt)

    def check_in_time(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be started; end it as never run if its time is up.

        To be called right before its first byte is written, as its timer may not have fired yet though its
        time is up. An attempt whose request is still being received has no deadline yet.
        """
        now = self.clock.now()
        is_unlimited = attempt.request.deadline == inf
        if now < attempt.start_before and (now < attempt.deadline or is_unlimited):
            return True
        self.end_attempt(attempt, Outcome.CONNECT_FAILED)
        return False

    # Internal

    def _start_overdue_timer(self, request: Request) -> None:
        instant = request.deadline + self.answer_slack
        request.overdue_timer = self.clock.at(instant, self._answer_overdue, request)

    def _start_attempt(self, attempt: Attempt) -> None:
        try:
            self.start_attempt(attempt)
        except Exception as error:  # a failed start must not leave the request open
            log.line("attempt-broken", why=repr(error))
            # A partly started attempt must not run after its request was answered as never run.
            self._stop_attempt(attempt, Outcome.RESET if attempt.is_written else Outcome.CONNECT_FAILED)

    def _stop_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        cancel = attempt.cancel
        if cancel is not None:
            try:
                cancel()
            except Exception as error:  # the attempt must end in any case
                log.line("attempt-broken", why=repr(error))
        self.end_attempt(attempt, outcome)

    def _time_out(self, attempt: Attempt) -> None:
        attempt.timeout_timer = None
        # An attempt that was never written has never run.
        outcome = Outcome.TIMED_OUT if attempt.is_written else Outcome.CONNECT_FAILED
        self._stop_attempt(attempt, outcome)

    def _answer_overdue(self, request: Request) -> None:
        """Answer an overdue request, regardless of the state of its attempts and timers."""
        request.overdue_timer = None
        log.line("overdue", job=request.correlation_id)
        self.answer(request, Answer(AnswerKind.FAILED))
        self.on_caller_disconnected(request)

    def _finish(self, request: Request) -> None:
        request.is_finished = True
        self.open_requests.pop(request.correlation_id, None)
        if request.overdue_timer is not None:
            request.overdue_timer.cancel()
            request.overdue_timer = None
        if request.drill_timer is not None:
            request.drill_timer.cancel()
            request.drill_timer = None
        for attempt in request.attempts:
            if attempt.outcome is None and not attempt.is_written and attempt.cancel is not None:
                # A pending connect must not lead to a send.
                self._stop_attempt(attempt, Outcome.NOT_SENT)
