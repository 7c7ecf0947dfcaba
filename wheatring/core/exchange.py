"""The exchange: the only meeting place of the server side, the client side and the driver.

It owns each job, its claims, its deadline and its one final answer. It knows no protocol and decides nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from twisted.internet.defer import Deferred

from wheatring import log
from wheatring.balancer.interface import Outcome, View
from wheatring.core.clock import Clock, Timer
from wheatring.lifecycle.leaving import Leaving, Open, Usual


class AnswerKind(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


# Looked up once, not for each job: an enum takes its time.
SERVED, ANSWER_SERVED = Outcome.SERVED, AnswerKind.SERVED


@dataclass(slots=True)
class Answer:
    """The one final answer of a job."""

    kind: AnswerKind
    content: object = None  # of a served job: what the execute node made, in the protocol's own form
    retry_after: float = 0.0  # of a refused job: advice to stay away for so long


@dataclass(slots=True, eq=False)
class Request:
    """One request of a caller."""

    correlation_id: str
    class_name: str
    deadline: float  # an instant, as all deadlines: it travels with the job
    content: object  # what to send on, in the protocol's own form
    is_retry: bool = False  # marked by the caller as a repeat
    answered: Deferred[Answer] = field(default_factory=Deferred)
    attempts: list[Attempt] = field(default_factory=list)
    accepted_at: float = 0.0  # an instant
    decision_id: int = 0  # the decision module's id of the job
    is_finished: bool = False
    overdue_timer: Timer | None = None
    is_drill: bool = False  # taken for a drill, which its answer says
    drill_timer: Timer | None = None  # by that drill, until then
    time_limit: float = (
        inf  # seconds from its last byte to its deadline, which stands only once that has come
    )


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a job at an execute node."""

    request: Request
    number: int  # from 0, in the order of their sends
    endpoint: str
    started_at: float
    deadline: float  # an instant
    is_written: bool = False  # the last byte may have left: from then on it may have run
    outcome: Outcome | None = None
    cancel: Callable[[], None] | None = None  # the client side's way to stop working on it
    timeout_timer: Timer | None = None
    start_before: float = inf  # an instant: its first byte must have been written before
    timeout: float = 0.0  # seconds from the job's last byte, where that has not come, to `give_up`

    @property
    def may_have_run(self) -> bool:
        return self.is_written and (self.outcome is None or not self.outcome.has_not_run)

    @property
    def may_be_sent(self) -> bool:
        """It may still be written: once a job is over, none of its claims may be."""
        return self.outcome is None and not self.request.is_finished


class Exchange:
    def __init__(self, clock: Clock, answer_slack: float) -> None:
        self.clock = clock
        self.answer_slack = answer_slack
        self.open_requests: dict[
            str, Request
        ] = {}  # the jobs that are not over, in the order in which they came
        self.latencies = Usual()
        # Set by those who meet here.
        self.on_request: Callable[[Request], None]
        self.on_caller_left: Callable[[Request], None]
        self.on_attempt_ended: Callable[[Attempt], None]
        self.on_committed: Callable[[Request], None]
        self.start_attempt: Callable[[Attempt], None]
        self.close_idle: Callable[[str], None]
        self.on_endpoint_list: Callable[[View], None] = lambda view: None

    # The server side

    def submit(self, job: Request) -> Deferred[Answer]:
        """Take a job over; the Deferred fires with its one final answer, unless its caller leaves."""
        self.open_requests[job.correlation_id] = job
        job.accepted_at = self.clock.now()
        if job.deadline < inf:
            job.overdue_timer = self.clock.at(job.deadline + self.answer_slack, self._answer_overdue, job)
        try:
            self.on_request(job)
        except Exception as bug:
            self._answer_broken(job, bug)
        return job.answered

    def mark_received(self, job: Request) -> None:
        """The last byte of a job has come that was submitted before it: its time runs from now."""
        if job.is_finished:
            return
        now = self.clock.now()
        job.accepted_at = now
        job.deadline = now + job.time_limit
        job.overdue_timer = self.clock.at(job.deadline + self.answer_slack, self._answer_overdue, job)
        for claim in job.attempts:
            if claim.outcome is None:
                claim.started_at = now
                claim.deadline = min(now + claim.timeout, job.deadline)
                claim.timeout_timer = self.clock.at(claim.deadline, self._time_out, claim)

    def mark_committed(self, job: Request) -> None:
        """A part of what the job would send is held no more: it can't be sent again."""
        if not job.is_finished:
            self.on_committed(job)

    @property
    def open_count(self) -> int:
        return len(self.open_requests)

    def withdraw(self, job: Request) -> None:
        """The caller has closed its connection: nothing is owed any more."""
        if not job.is_finished:
            self._finish(job)
            self.on_caller_left(job)

    # The driver

    def create_attempt(
        self, job: Request, endpoint: str, deadline: float, start_before: float = inf
    ) -> Attempt:
        claims, now = job.attempts, self.clock.now()
        if job.deadline < deadline:
            deadline = job.deadline
        claim = Attempt(job, len(claims), endpoint, now, deadline, start_before=start_before)
        claims.append(claim)
        if job.is_finished or deadline <= now:
            claim.outcome = Outcome.NOT_SENT
            return claim
        if job.deadline < inf:
            claim.timeout_timer = self.clock.at(deadline, self._time_out, claim)
        else:
            claim.timeout = deadline - now
        self._start_attempt(claim)
        return claim

    def answer(self, job: Request, answer: Answer) -> None:
        """Give the final answer. Only the first counts: a second one would be a second answer on the wire."""
        if not job.is_finished:
            self._finish(job)
            job.answered.callback(answer)

    def open_snapshot(self, now: float) -> list[Open]:
        """The open jobs, in the order in which they came."""
        return [
            Open(job.class_name, now - job.accepted_at, job.deadline - now)
            for job in self.open_requests.values()
        ]

    def answer_all(self, leaving: Leaving) -> None:
        """Answer all jobs, though the decisions would have gone on with them."""
        for job in list(self.open_requests.values()):
            ran = any(claim.may_have_run for claim in job.attempts)
            final = AnswerKind.REFUSED if leaving.may_refuse(job.class_name, ran) else AnswerKind.FAILED
            self.answer(job, Answer(final))  # no advice to stay away: another copy may be there
            self.on_caller_left(job)

    def cancel_attempt(self, claim: Attempt) -> None:
        if claim.outcome is None:
            self._stop_attempt(claim, Outcome.CANCELLED)

    # The client side

    def end_attempt(self, claim: Attempt, outcome: Outcome, content: object = None) -> None:
        """A claim has ended; of several reports the first counts."""
        if claim.outcome is not None:
            return
        claim.outcome = outcome
        claim.cancel = None
        late = claim.timeout_timer
        if late is not None:
            late.cancel()
            claim.timeout_timer = None
        if outcome is SERVED:
            job = claim.request
            if not job.is_finished:
                now = self.clock.now()
                self.latencies.served(job.class_name, now, now - job.accepted_at)
                self.answer(job, Answer(ANSWER_SERVED, content))
        self.on_attempt_ended(claim)

    def reassign_unsent(self, claim: Attempt) -> None:
        """What was to carry a claim has ended before a byte of it had left: something else may."""
        claim.is_written, claim.cancel = False, None
        if not claim.may_be_sent:
            self.end_attempt(claim, Outcome.NOT_SENT)
        elif self.check_in_time(claim):
            self._start_attempt(claim)

    def check_in_time(self, claim: Attempt) -> bool:
        """To be asked at the instant of the first byte: one that is too late, or whose time is up though its
        timer has not yet been called, ends as never run. While its job still comes, that has not begun.
        """
        now = self.clock.now()
        if now < claim.start_before and (now < claim.deadline or claim.request.deadline == inf):
            return True
        self.end_attempt(claim, Outcome.CONNECT_FAILED)
        return False

    # Its own

    def _start_attempt(self, claim: Attempt) -> None:
        try:
            self.start_attempt(claim)
        except Exception as bug:  # a claim that could not be started must not strand its job
            log.line("claim-broken", why=repr(bug))
            # Nor may it go on by half, and run after its job was told that it never did.
            self._stop_attempt(claim, Outcome.RESET if claim.is_written else Outcome.CONNECT_FAILED)

    def _stop_attempt(self, claim: Attempt, outcome: Outcome) -> None:
        drop = claim.cancel
        if drop is not None:
            try:
                drop()
            except Exception as bug:  # job and claim are settled all the same
                log.line("claim-broken", why=repr(bug))
        self.end_attempt(claim, outcome)

    def _time_out(self, claim: Attempt) -> None:
        claim.timeout_timer = None
        # What was never written has never run, however late it is.
        self._stop_attempt(claim, Outcome.TIMED_OUT if claim.is_written else Outcome.CONNECT_FAILED)

    def _answer_overdue(self, job: Request) -> None:
        """Guards against a job that nobody answers, whatever became of its claims and timers."""
        job.overdue_timer = None
        log.line("overdue", job=job.correlation_id)
        self.answer(job, Answer(AnswerKind.FAILED))
        self.on_caller_left(job)

    def _answer_broken(self, job: Request, bug: Exception) -> None:
        log.line("job-broken", job=job.correlation_id, why=repr(bug))
        self.answer(job, Answer(AnswerKind.FAILED))

    def _finish(self, job: Request) -> None:
        job.is_finished = True
        self.open_requests.pop(job.correlation_id, None)
        if job.overdue_timer is not None:
            job.overdue_timer.cancel()
            job.overdue_timer = None
        if job.drill_timer is not None:
            job.drill_timer.cancel()
            job.drill_timer = None
        for claim in job.attempts:
            if claim.outcome is None and not claim.is_written and claim.cancel is not None:
                self._stop_attempt(
                    claim, Outcome.NOT_SENT
                )  # a connect still under way must not lead to a send
