"""The exchange: the only meeting place of the server side, the client side and the driver.

It owns each request, its attempts, its deadline and its one final answer. It knows no protocol and decides
nothing. All deadlines and other instants are seconds on the monotonic clock.
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
    """What a caller is answered: its request was served, it may try again without harm, or it failed."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


# Looked up once, not for each request: the lookup of an enum's member is slow.
SERVED, ANSWER_SERVED = Outcome.SERVED, AnswerKind.SERVED


@dataclass(slots=True)
class Answer:
    """The one final answer of a request.

    Attributes
    ----------
    content : object
        Of a request that was served: the endpoint's answer, in the protocol's own form.
    retry_after : float
        Of a request that was refused: the advice to wait for so many seconds before a retry; 0: none.
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
        The instant by which it must be answered; infinite while its last byte has not come.
    content : object
        What is forwarded, in the protocol's own form.
    is_retry : bool
        The caller has marked it as a retry.
    answered : Deferred[Answer]
        Fires with the final answer; never, if the caller leaves first.
    attempts : list[Attempt]
        All attempts, in the order of their sends.
    accepted_at : float
        The instant at which it was submitted or, if that came later, its last byte.
    decision_id : int
        The balancer's number for it; 0: the balancer doesn't know of it.
    overdue_timer : Timer | None
        Guards against a request that nobody answers.
    is_drill : bool
        A drill delays or aborts it, which its answer states.
    drill_timer : Timer | None
        The end of the drill's delay.
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
        From 0, in the order of the request's sends.
    deadline : float
        The instant at which it has timed out.
    is_written : bool
        Its last byte may have left: from then on the endpoint may have run it.
    outcome : Outcome | None
        How it has ended; None while it has not.
    cancel : Callable[[], None] | None
        Set by the client side while it works on the attempt: stops that work.
    start_before : float
        The instant before which its first byte must be written.
    timeout : float
        Seconds from the request's last byte to `deadline`, while that byte has not come.
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
        """Whether it may still be written: not once its request is finished."""
        return self.outcome is None and not self.request.is_finished


class Exchange:
    """The open requests of one process, and the calls between the parts that work on them.

    The server submits requests, the driver makes attempts and gives answers, the connection pool reports how
    attempts end. Each sets its callbacks here.

    Attributes
    ----------
    answer_slack : float
        Seconds after its deadline at which an unanswered request is answered here.
    open_requests : dict[str, Request]
        By correlation id, in the order in which they were submitted.
    latencies : LatencyHistory
        How long requests of each class take, for a graceful shutdown.
    """

    def __init__(self, clock: Clock, answer_slack: float) -> None:
        self.clock = clock
        self.answer_slack = answer_slack
        self.open_requests: dict[str, Request] = {}
        self.latencies = LatencyHistory()
        # Set by the driver, the connection pool, and whatever stands between them and the exchange.
        self.on_request: Callable[[Request], None]
        self.on_caller_left: Callable[[Request], None]
        self.on_attempt_ended: Callable[[Attempt], None]
        self.on_committed: Callable[[Request], None]
        self.start_attempt: Callable[[Attempt], None]
        self.close_idle: Callable[[str], None]
        self.on_endpoint_list: Callable[[View], None] = lambda _view: None

    # The server side

    def submit(self, request: Request) -> Deferred[Answer]:
        """Take a request over; the Deferred fires with its one final answer, unless its caller leaves."""
        self.open_requests[request.correlation_id] = request
        request.accepted_at = self.clock.now()
        if request.deadline < inf:
            self._watch_deadline(request)
        try:
            self.on_request(request)
        except Exception as error:  # a fault of ours must not leave the caller without an answer
            log.line("exchange-broken", request=request.correlation_id, why=repr(error))
            self.answer(request, Answer(AnswerKind.FAILED))
        return request.answered

    def mark_received(self, request: Request) -> None:
        """Note the last byte of a request that was submitted before it: its time runs from now."""
        if request.is_finished:
            return
        now = self.clock.now()
        request.accepted_at = now
        request.deadline = now + request.time_limit
        self._watch_deadline(request)
        for attempt in request.attempts:
            if attempt.outcome is None:
                attempt.started_at = now
                attempt.deadline = min(now + attempt.timeout, request.deadline)
                attempt.timeout_timer = self.clock.at(attempt.deadline, self._time_out, attempt)

    def mark_committed(self, request: Request) -> None:
        """Note that a part of a request's body is held no more: it can't be sent again."""
        if not request.is_finished:
            self.on_committed(request)

    @property
    def open_count(self) -> int:
        """The number of requests without an answer."""
        return len(self.open_requests)

    def withdraw(self, request: Request) -> None:
        """Drop a request whose caller has closed its connection: no answer is due."""
        if not request.is_finished:
            self._finish(request)
            self.on_caller_left(request)

    # The driver's side

    def create_attempt(
        self, request: Request, endpoint: str, deadline: float, start_before: float = inf
    ) -> Attempt:
        """Start an attempt; one for which there is no time, or no request, ends as not sent.

        Its end is reported by `on_attempt_ended`, but for an attempt that is returned as not sent.
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
        """Give the final answer. Only the first counts: a second would be a second answer on the wire."""
        if not request.is_finished:
            self._finish(request)
            request.answered.callback(answer)

    def open_snapshot(self, now: float) -> list[OpenRequest]:
        """Return the open requests as a graceful shutdown weighs them, in the order of their submission."""
        return [
            OpenRequest(request.class_name, now - request.accepted_at, request.deadline - now)
            for request in self.open_requests.values()
        ]

    def answer_all(self, leaving: ShutdownSchedule) -> None:
        """Answer all open requests, though the balancer would have gone on with them."""
        for request in list(self.open_requests.values()):
            may_have_run = any(attempt.may_have_run for attempt in request.attempts)
            is_refusable = leaving.may_reject(request.class_name, may_have_run)
            kind = AnswerKind.REFUSED if is_refusable else AnswerKind.FAILED
            self.answer(request, Answer(kind))  # without advice to wait: another process may be there at once
            self.on_caller_left(request)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop an attempt that has not ended."""
        if attempt.outcome is None:
            self._stop_attempt(attempt, Outcome.CANCELLED)

    # The client side

    def end_attempt(self, attempt: Attempt, outcome: Outcome, content: object = None) -> None:
        """Report the end of an attempt; of several reports the first counts."""
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
        """Start an attempt anew whose connection has ended before a byte of it had left."""
        attempt.is_written, attempt.cancel = False, None
        if not attempt.may_be_sent:
            self.end_attempt(attempt, Outcome.NOT_SENT)
        elif self.check_in_time(attempt):
            self._start_attempt(attempt)

    def check_in_time(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be started; end it as never run if it is too late for that.

        To be called at the instant of its first byte: its timer may not have been called though its time is
        up. While its request still comes, its time has not begun.
        """
        now = self.clock.now()
        is_unlimited = attempt.request.deadline == inf
        if now < attempt.start_before and (now < attempt.deadline or is_unlimited):
            return True
        self.end_attempt(attempt, Outcome.CONNECT_FAILED)
        return False

    # Internal

    def _watch_deadline(self, request: Request) -> None:
        instant = request.deadline + self.answer_slack
        request.overdue_timer = self.clock.at(instant, self._answer_overdue, request)

    def _start_attempt(self, attempt: Attempt) -> None:
        try:
            self.start_attempt(attempt)
        except Exception as error:  # an attempt that could not be started must not leave its request open
            log.line("attempt-broken", why=repr(error))
            # Nor may a half-started one run after its request was answered as one that never did.
            self._stop_attempt(attempt, Outcome.RESET if attempt.is_written else Outcome.CONNECT_FAILED)

    def _stop_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        cancel = attempt.cancel
        if cancel is not None:
            try:
                cancel()
            except Exception as error:  # request and attempt are settled all the same
                log.line("attempt-broken", why=repr(error))
        self.end_attempt(attempt, outcome)

    def _time_out(self, attempt: Attempt) -> None:
        attempt.timeout_timer = None
        # What was never written has never run, however late it is.
        outcome = Outcome.TIMED_OUT if attempt.is_written else Outcome.CONNECT_FAILED
        self._stop_attempt(attempt, outcome)

    def _answer_overdue(self, request: Request) -> None:
        """Answer a request that nobody has answered, whatever became of its attempts and timers."""
        request.overdue_timer = None
        log.line("overdue", job=request.correlation_id)
        self.answer(request, Answer(AnswerKind.FAILED))
        self.on_caller_left(request)

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
                # A connect that is under way must not lead to a send.
                self._stop_attempt(attempt, Outcome.NOT_SENT)
