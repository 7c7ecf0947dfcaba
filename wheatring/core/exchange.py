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


class Final(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


# Looked up once, not for each job: an enum takes its time.
SERVED, FINAL_SERVED = Outcome.SERVED, Final.SERVED


@dataclass(slots=True)
class Answer:
    """The one final answer of a job."""

    final: Final
    content: object = None  # of a served job: what the execute node made, in the protocol's own form
    retry_after: float = 0.0  # of a refused job: advice to stay away for so long


@dataclass(slots=True, eq=False)
class Job:
    """One request of a caller."""

    ident: str
    class_name: str
    deadline: float  # an instant, as all deadlines: it travels with the job
    content: object  # what to send on, in the protocol's own form
    repeat: bool = False  # marked by the caller as a repeat
    answered: Deferred[Answer] = field(default_factory=Deferred)
    claims: list[Claim] = field(default_factory=list)
    taken: float = 0.0  # an instant
    number: int = 0  # the decision module's id of the job
    over: bool = False
    overdue: Timer | None = None
    drill: bool = False  # taken for a drill, which its answer says
    held: Timer | None = None  # by that drill, until then
    allowed: float = inf  # seconds from its last byte to its deadline, which stands only once that has come


@dataclass(slots=True, eq=False)
class Claim:
    """One attempt of a job at an execute node."""

    job: Job
    number: int  # from 0, in the order of their sends
    node: str
    begun: float
    give_up: float  # an instant
    written: bool = False  # the last byte may have left: from then on it may have run
    outcome: Outcome | None = None
    drop: Callable[[], None] | None = None  # the client side's way to stop working on it
    late: Timer | None = None
    begin_by: float = inf  # an instant: its first byte must have been written before
    patience: float = 0.0  # seconds from the job's last byte, where that has not come, to `give_up`

    @property
    def may_have_run(self) -> bool:
        return self.written and (self.outcome is None or not self.outcome.has_not_run)

    @property
    def wanted(self) -> bool:
        """It may still be written: once a job is over, none of its claims may be."""
        return self.outcome is None and not self.job.over


class Exchange:
    def __init__(self, clock: Clock, grace: float) -> None:
        self.clock = clock
        self.grace = grace
        self.idents: dict[str, Job] = {}  # the jobs that are not over, in the order in which they came
        self.usual = Usual()
        # Set by those who meet here.
        self.on_job: Callable[[Job], None]
        self.on_left: Callable[[Job], None]
        self.on_claim_ended: Callable[[Claim], None]
        self.on_committed: Callable[[Job], None]
        self.start_claim: Callable[[Claim], None]
        self.close_idle: Callable[[str], None]
        self.on_listed: Callable[[View], None] = lambda view: None

    # The server side

    def submit(self, job: Job) -> Deferred[Answer]:
        """Take a job over; the Deferred fires with its one final answer, unless its caller leaves."""
        self.idents[job.ident] = job
        job.taken = self.clock.now()
        if job.deadline < inf:
            job.overdue = self.clock.at(job.deadline + self.grace, self._overdue, job)
        try:
            self.on_job(job)
        except Exception as bug:
            self._broken(job, bug)
        return job.answered

    def whole(self, job: Job) -> None:
        """The last byte of a job has come that was submitted before it: its time runs from now."""
        if job.over:
            return
        now = self.clock.now()
        job.taken = now
        job.deadline = now + job.allowed
        job.overdue = self.clock.at(job.deadline + self.grace, self._overdue, job)
        for claim in job.claims:
            if claim.outcome is None:
                claim.begun = now
                claim.give_up = min(now + claim.patience, job.deadline)
                claim.late = self.clock.at(claim.give_up, self._late, claim)

    def committed(self, job: Job) -> None:
        """A part of what the job would send is held no more: it can't be sent again."""
        if not job.over:
            self.on_committed(job)

    @property
    def open(self) -> int:
        return len(self.idents)

    def leave(self, job: Job) -> None:
        """The caller has closed its connection: nothing is owed any more."""
        if not job.over:
            self._close(job)
            self.on_left(job)

    # The driver

    def claim(self, job: Job, node: str, give_up: float, begin_by: float = inf) -> Claim:
        claims, now = job.claims, self.clock.now()
        if job.deadline < give_up:
            give_up = job.deadline
        claim = Claim(job, len(claims), node, now, give_up, begin_by=begin_by)
        claims.append(claim)
        if job.over or give_up <= now:
            claim.outcome = Outcome.NOT_SENT
            return claim
        if job.deadline < inf:
            claim.late = self.clock.at(give_up, self._late, claim)
        else:
            claim.patience = give_up - now
        self._start(claim)
        return claim

    def answer(self, job: Job, answer: Answer) -> None:
        """Give the final answer. Only the first counts: a second one would be a second answer on the wire."""
        if not job.over:
            self._close(job)
            job.answered.callback(answer)

    def left(self, now: float) -> list[Open]:
        """The open jobs, in the order in which they came."""
        return [Open(job.class_name, now - job.taken, job.deadline - now) for job in self.idents.values()]

    def give_up(self, leaving: Leaving) -> None:
        """Answer all jobs, though the decisions would have gone on with them."""
        for job in list(self.idents.values()):
            ran = any(claim.may_have_run for claim in job.claims)
            final = Final.REFUSED if leaving.may_refuse(job.class_name, ran) else Final.FAILED
            self.answer(job, Answer(final))  # no advice to stay away: another copy may be there
            self.on_left(job)

    def abandon(self, claim: Claim) -> None:
        if claim.outcome is None:
            self._stop(claim, Outcome.CANCELLED)

    # The client side

    def end(self, claim: Claim, outcome: Outcome, content: object = None) -> None:
        """A claim has ended; of several reports the first counts."""
        if claim.outcome is not None:
            return
        claim.outcome = outcome
        claim.drop = None
        late = claim.late
        if late is not None:
            late.cancel()
            claim.late = None
        if outcome is SERVED:
            job = claim.job
            if not job.over:
                now = self.clock.now()
                self.usual.served(job.class_name, now, now - job.taken)
                self.answer(job, Answer(FINAL_SERVED, content))
        self.on_claim_ended(claim)

    def unsent(self, claim: Claim) -> None:
        """What was to carry a claim has ended before a byte of it had left: something else may."""
        claim.written, claim.drop = False, None
        if not claim.wanted:
            self.end(claim, Outcome.NOT_SENT)
        elif self.in_time(claim):
            self._start(claim)

    def in_time(self, claim: Claim) -> bool:
        """To be asked at the instant of the first byte: one that is too late, or whose time is up though its
        timer has not yet been called, ends as never run. While its job still comes, that has not begun.
        """
        now = self.clock.now()
        if now < claim.begin_by and (now < claim.give_up or claim.job.deadline == inf):
            return True
        self.end(claim, Outcome.CONNECT_FAILED)
        return False

    # Its own

    def _start(self, claim: Claim) -> None:
        try:
            self.start_claim(claim)
        except Exception as bug:  # a claim that could not be started must not strand its job
            log.line("claim-broken", why=repr(bug))
            # Nor may it go on by half, and run after its job was told that it never did.
            self._stop(claim, Outcome.RESET if claim.written else Outcome.CONNECT_FAILED)

    def _stop(self, claim: Claim, outcome: Outcome) -> None:
        drop = claim.drop
        if drop is not None:
            try:
                drop()
            except Exception as bug:  # job and claim are settled all the same
                log.line("claim-broken", why=repr(bug))
        self.end(claim, outcome)

    def _late(self, claim: Claim) -> None:
        claim.late = None
        # What was never written has never run, however late it is.
        self._stop(claim, Outcome.TIMED_OUT if claim.written else Outcome.CONNECT_FAILED)

    def _overdue(self, job: Job) -> None:
        """Guards against a job that nobody answers, whatever became of its claims and timers."""
        job.overdue = None
        log.line("overdue", job=job.ident)
        self.answer(job, Answer(Final.FAILED))
        self.on_left(job)

    def _broken(self, job: Job, bug: Exception) -> None:
        log.line("job-broken", job=job.ident, why=repr(bug))
        self.answer(job, Answer(Final.FAILED))

    def _close(self, job: Job) -> None:
        job.over = True
        self.idents.pop(job.ident, None)
        if job.overdue is not None:
            job.overdue.cancel()
            job.overdue = None
        if job.held is not None:
            job.held.cancel()
            job.held = None
        for claim in job.claims:
            if claim.outcome is None and not claim.written and claim.drop is not None:
                self._stop(claim, Outcome.NOT_SENT)  # a connect still under way must not lead to a send
