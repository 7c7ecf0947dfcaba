"""Drills: while a signed plan says so, a share of one class's jobs is delayed, aborted or both.

A drill stands between the exchange and the driver. What it holds is the exchange's already, with its id, its
deadline and its one answer; the module sees a delayed job once its delay is over, an aborted one never.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable, Mapping
from typing import NamedTuple

from wheatring import log
from wheatring.balancer.backoff import MIN_RETRY_AFTER
from wheatring.balancer.interface import Limits, RequestClass
from wheatring.core.clock import Clock, Timer
from wheatring.core.exchange import Answer, AnswerKind, Exchange, Request
from wheatring.operator_properties import PARTS_PER_PERCENT, Drill, OperatorFileError

DEADLINE_MARGIN_SECONDS = (
    0.25  # seconds before its deadline, or a quarter of its time left, at which no job is held any more
)
CHECK_SECONDS = 5.0  # seconds between looks at the time at least, which may be set anew

_PLAN = re.compile(r"class=([!-:<-~]+);from=([0-9]{1,15});until=([0-9]{1,15})")


class DrillPlanError(OperatorFileError):
    """A plan that can't be used; the text begins with the key at fault."""

    code = "drill-plan"
    do = "Correct the key that the line names, and sign the plan anew with `wheatring drill sign`."


class DrillPlan(NamedTuple):
    class_name: str
    begin_ms: int  # Unix time in milliseconds, as the plan says it
    end_ms: int  # the first one that is not in it


def _parse_plan(text: str) -> DrillPlan:
    match = _PLAN.fullmatch(text)
    if match is None:
        raise DrillPlanError("drill.plan: not class=NAME;from=MS;until=MS")
    plan = DrillPlan(match[1], int(match[2]), int(match[3]))
    if plan.begin_ms >= plan.end_ms:
        raise DrillPlanError("drill.plan: ends before it begins")
    return plan


def signature(key: bytes, text: str) -> str:
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()


def sign_plan(drill: Drill) -> str:
    """The settings' plan with its signature; one that it has already is made anew."""
    if drill.key is None:
        raise DrillPlanError("drill.key: not set")
    if not drill.plan:
        raise DrillPlanError("drill.plan: not set")
    text = drill.plan.partition(";sig=")[0]
    _parse_plan(text)
    return f"{text};sig={signature(drill.key, text)}"


def verify_plan(drill: Drill, classes: Mapping[str, RequestClass]) -> DrillPlan:
    """The settings' plan, if it is signed and can be carried out."""
    text, sig, given = drill.plan.partition(";sig=")
    if drill.plan and not sig:
        raise DrillPlanError("drill.plan: not signed")
    right = sign_plan(drill).rpartition("=")[2]
    if not hmac.compare_digest(given.encode(), right.encode()):
        raise DrillPlanError("drill.plan: bad signature")
    plan = _parse_plan(text)
    if plan.class_name not in classes:
        raise DrillPlanError("drill.plan: unknown class")
    if not drill.delay and not drill.abort:
        raise DrillPlanError("drill.delay.ms, drill.abort: neither is set")
    return plan


class Drills:
    def __init__(
        self,
        exchange: Exchange,
        clock: Clock,
        classes: Mapping[str, RequestClass],
        limits: Limits,
        record: Callable[..., None],
    ) -> None:
        self.exchange = exchange
        self.clock = clock
        self.classes = classes
        self.limits = limits
        self.record = record
        self.pass_on = exchange.on_request
        exchange.on_request = self.request_came
        self.settings = Drill()
        self.plan: DrillPlan | None = None
        self.is_on = False
        self.due_parts = 0  # of a job, that is 100 percent: one is due when it is whole
        self.total = 0
        self.check_timer: Timer | None = None

    def switch(self, settings: Drill) -> None:
        """Go by these settings from now on. Unchanged ones leave a drill as it is."""
        if settings == self.settings:
            return
        self.settings, self.plan, self.due_parts = settings, None, 0
        self.update_running()  # the drill that was on is over, also where the next one begins at once
        if settings != Drill():
            try:
                self.plan = verify_plan(settings, self.classes)
            except DrillPlanError as bad:
                log.line("drill-off", warning=str(bad))
        self.check()

    def check(self) -> None:
        """Tell of the window's ends when they come, also while nobody asks for anything."""
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        self.update_running()
        now, plan = self.clock.unix() * 1000, self.plan
        if plan is not None and now < plan.end_ms:
            wait = ((plan.begin_ms if now < plan.begin_ms else plan.end_ms) - now) / 1000
            self.check_timer = self.clock.at(self.clock.now() + min(wait, CHECK_SECONDS), self.check)

    def update_running(self) -> bool:
        plan = self.plan
        on = plan is not None and plan.begin_ms <= self.clock.unix() * 1000 < plan.end_ms
        if on != self.is_on:
            self.is_on = on
            log.line("drill-on" if on else "drill-over", drill_requests_total=self.total)
            self.record("drill-on" if on else "drill-over", "operators")
        return on

    def request_came(self, job: Request) -> None:
        if not self.update_running() or self.plan is None or job.class_name != self.plan.class_name:
            self.pass_on(job)
            return
        self.due_parts += self.settings.share
        if self.due_parts < 100 * PARTS_PER_PERCENT:
            self.pass_on(job)
            return
        self.due_parts -= 100 * PARTS_PER_PERCENT
        self.total += 1
        job.is_drill = True
        now, abort = self.clock.now(), self.settings.abort
        left = job.deadline - now
        delay = min(
            self.settings.delay, left - min(DEADLINE_MARGIN_SECONDS, left / 4)
        )  # there must be time for an answer
        log.line(
            "drill", drill=1, job=job.correlation_id, of=job.class_name, delay_ms=round(delay * 1000),
            abort=int(abort), drill_requests_total=self.total,
        )  # fmt: skip
        if delay > 0:
            job.drill_timer = self.clock.at(now + delay, self.release, job, abort)
        else:
            self.release(job, abort)

    def release(self, job: Request, abort: bool) -> None:
        job.drill_timer = None
        if abort:
            self.exchange.answer(job, Answer(AnswerKind.REFUSED, retry_after=self.retry_after(job)))
        else:
            self.pass_on(job)

    def retry_after(self, job: Request) -> float:
        """The module's least advice. Its random numbers are its own, and jobs due for a drill are apart."""
        advice = MIN_RETRY_AFTER * self.classes[job.class_name].latency_target
        return min(advice, self.limits.max_retry_after) if self.limits.sends_retry_after else 0.0

    def stop(self) -> None:
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        log.line("drill-total", drill_requests_total=self.total)
