"""Drills: while a signed plan says so, a share of one class's requests is delayed, aborted or both.

A drill stands between the exchange and the driver. What it delays is the exchange's already, with its id, its
deadline and its one answer; the balancer sees a delayed request once its delay is over, an aborted one never.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable, Mapping
from typing import NamedTuple

from wheatring.balancer.backoff import MIN_RETRY_AFTER
from wheatring.balancer.interface import Limits, RequestClass
from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.daemon.core.exchange import Answer, AnswerKind, Exchange, Request
from wheatring.daemon.operator_properties import PARTS_PER_PERCENT, Drill, OperatorFileError

# Before its deadline, or a quarter of its remaining time, at which a request is delayed no more.
DEADLINE_MARGIN_SECONDS = 0.25
CHECK_SECONDS = 5.0  # between checks of the time at most, which may be set anew

_PLAN = re.compile(r"class=([!-:<-~]+);from=([0-9]{1,15});until=([0-9]{1,15})")


class DrillPlanError(OperatorFileError):
    """A plan that can't be used; the text begins with the key at fault."""

    code = "drill-plan"
    do = "Correct the key that the line names, and sign the plan anew with `wheatring drill sign`."


class DrillPlan(NamedTuple):
    """A class, and the window of the drill in Unix time in milliseconds; `end_ms` is not in it."""

    class_name: str
    begin_ms: int
    end_ms: int


def _parse_plan(text: str) -> DrillPlan:
    match = _PLAN.fullmatch(text)
    if match is None:
        raise DrillPlanError("drill.plan: not class=NAME;from=MS;until=MS")
    plan = DrillPlan(match[1], int(match[2]), int(match[3]))
    if plan.begin_ms >= plan.end_ms:
        raise DrillPlanError("drill.plan: ends before it begins")
    return plan


def signature(key: bytes, text: str) -> str:
    """Return the signature of a plan's text: HMAC-SHA256 in hexadecimal."""
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest()


def sign_plan(drill: Drill) -> str:
    """Return the settings' plan with its signature, which is made anew. Raises DrillPlanError."""
    if drill.key is None:
        raise DrillPlanError("drill.key: not set")
    if not drill.plan:
        raise DrillPlanError("drill.plan: not set")
    text = drill.plan.partition(";sig=")[0]
    _parse_plan(text)
    return f"{text};sig={signature(drill.key, text)}"


def verify_plan(drill: Drill, classes: Mapping[str, RequestClass]) -> DrillPlan:
    """Return the settings' plan, if it is signed and can be carried out. Raises DrillPlanError."""
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
    """Hooks itself into the exchange, and delays or aborts requests while a drill runs.

    Attributes
    ----------
    pass_on : Callable
        The exchange's handler of requests without this one.
    settings : Drill
        The operators' settings that are in force.
    plan : DrillPlan or None
        Their plan, if there is one that can be carried out.
    is_on : bool
        The plan's window is open.
    due_parts : int
        Parts of a request that are due for a drill; one is due when it is whole.
    total : int
        Requests that were delayed or aborted.
    """

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
        self.due_parts = 0
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
        """Log the window's ends when they come, also while there are no requests."""
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        self.update_running()
        now, plan = self.clock.unix() * 1000, self.plan
        if plan is not None and now < plan.end_ms:
            wait = ((plan.begin_ms if now < plan.begin_ms else plan.end_ms) - now) / 1000
            self.check_timer = self.clock.at(self.clock.now() + min(wait, CHECK_SECONDS), self.check)

    def update_running(self) -> bool:
        """Return whether the plan's window is open, and log a change of it."""
        plan = self.plan
        on = plan is not None and plan.begin_ms <= self.clock.unix() * 1000 < plan.end_ms
        if on != self.is_on:
            self.is_on = on
            log.line("drill-on" if on else "drill-over", drill_requests_total=self.total)
            self.record("drill-on" if on else "drill-over", "operators")
        return on

    def request_came(self, request: Request) -> None:
        """Take in a new request: pass it on, delay it or abort it."""
        if not self.update_running() or self.plan is None or request.class_name != self.plan.class_name:
            self.pass_on(request)
            return
        self.due_parts += self.settings.share
        if self.due_parts < 100 * PARTS_PER_PERCENT:
            self.pass_on(request)
            return
        self.due_parts -= 100 * PARTS_PER_PERCENT
        self.total += 1
        request.is_drill = True
        now, abort = self.clock.now(), self.settings.abort
        left = request.deadline - now
        margin = min(DEADLINE_MARGIN_SECONDS, left / 4)  # there must be time for an answer
        delay = min(self.settings.delay, left - margin)
        log.line(
            "drill", drill=1, job=request.correlation_id, of=request.class_name, delay_ms=round(delay * 1000),
            abort=int(abort), drill_requests_total=self.total,
        )  # fmt: skip
        if delay > 0:
            request.drill_timer = self.clock.at(now + delay, self.release, request, abort)
        else:
            self.release(request, abort)

    def release(self, request: Request, abort: bool) -> None:
        """Abort a request or pass it on, as its delay is over."""
        request.drill_timer = None
        if abort:
            self.exchange.answer(request, Answer(AnswerKind.REFUSED, retry_after=self.retry_after(request)))
        else:
            self.pass_on(request)

    def retry_after(self, request: Request) -> float:
        """Return the balancer's least advice in seconds.

        The balancer's random numbers are its own, and requests due for a drill never reach it.
        """
        advice = MIN_RETRY_AFTER * self.classes[request.class_name].latency_target
        return min(advice, self.limits.max_retry_after) if self.limits.sends_retry_after else 0.0

    def stop(self) -> None:
        """Log the total, as the sidecar stops."""
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        log.line("drill-total", drill_requests_total=self.total)
