"""Drills: fault injection into a share of one class's requests during the window of a signed plan.

Requests are delayed, aborted or both. A drill is placed between the exchange and the driver. The exchange
already tracks a delayed request with its id and deadline and answers it exactly once; the balancer sees a
delayed request after its delay, and an aborted request never.
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

# A delay ends this long before the request's deadline, or a quarter of the remaining time if that is less.
DEADLINE_MARGIN_SECONDS = 0.25
CHECK_SECONDS = 5.0  # longest interval between checks of the system clock, which may be set

_PLAN = re.compile(r"class=([!-:<-~]+);from=([0-9]{1,15});until=([0-9]{1,15})")


class DrillPlanError(OperatorFileError):
    """The plan can't be used; the text begins with the key at fault."""

    code = "drill-plan"
    do = "Correct the key that the line names, and sign the plan anew with `wheatring drill sign`."


class DrillPlan(NamedTuple):
    """A class, and the drill's window in Unix milliseconds; `end_ms` is exclusive."""

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
    """Return the settings' plan with a new signature. Raises DrillPlanError."""
    if drill.key is None:
        raise DrillPlanError("drill.key: not set")
    if not drill.plan:
        raise DrillPlanError("drill.plan: not set")
    text = drill.plan.partition(";sig=")[0]
    _parse_plan(text)
    return f"{text};sig={signature(drill.key, text)}"


def verify_plan(drill: Drill, classes: Mapping[str, RequestClass]) -> DrillPlan:
    """Return the settings' plan, if its signature and settings are valid. Raises DrillPlanError."""
    text, separator, provided = drill.plan.partition(";sig=")
    if drill.plan and not separator:
        raise DrillPlanError("drill.plan: not signed")
    expected = sign_plan(drill).rpartition("=")[2]
    if not hmac.compare_digest(provided.encode(), expected.encode()):
        raise DrillPlanError("drill.plan: bad signature")
    plan = _parse_plan(text)
    if plan.class_name not in classes:
        raise DrillPlanError("drill.plan: unknown class")
    if not drill.delay and not drill.abort:
        raise DrillPlanError("drill.delay.ms, drill.abort: neither is set")
    return plan


class Drills:
    """Intercepts the exchange's new requests, and delays or aborts some of them while a drill runs.

    Attributes
    ----------
    next_handler : Callable
        The exchange's request handler that this one wraps.
    settings : Drill
        The operators' settings in force.
    plan : DrillPlan or None
        The plan of these settings, if it is valid.
    is_running : bool
        Whether the plan's window is open.
    due_parts : int
        The accumulated share of requests, in parts; a request is drilled each time it reaches 100 %.
    total : int
        The number of requests that were delayed or aborted.
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
        self.next_handler = exchange.on_request
        exchange.on_request = self.handle_request
        self.settings = Drill()
        self.plan: DrillPlan | None = None
        self.is_running = False
        self.due_parts = 0
        self.total = 0
        self.check_timer: Timer | None = None

    def apply_settings(self, settings: Drill) -> None:
        """Apply new settings. Unchanged settings leave a running drill as it is."""
        if settings == self.settings:
            return
        self.settings, self.plan, self.due_parts = settings, None, 0
        self.update_running()  # end the previous drill, even if the next one begins at once
        if settings != Drill():
            try:
                self.plan = verify_plan(settings, self.classes)
            except DrillPlanError as error:
                log.line("drill-off", warning=str(error))
        self.check()

    def check(self) -> None:
        """Log the window's begin and end on time, even while there are no requests."""
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        self.update_running()
        now, plan = self.clock.unix() * 1000, self.plan
        if plan is not None and now < plan.end_ms:
            wait = ((plan.begin_ms if now < plan.begin_ms else plan.end_ms) - now) / 1000
            self.check_timer = self.clock.at(self.clock.now() + min(wait, CHECK_SECONDS), self.check)

    def update_running(self) -> bool:
        """Return whether the plan's window is open, and log when that changes."""
        plan = self.plan
        is_open = plan is not None and plan.begin_ms <= self.clock.unix() * 1000 < plan.end_ms
        if is_open != self.is_running:
            self.is_running = is_open
            log.line("drill-on" if is_open else "drill-over", drill_requests_total=self.total)
            self.record("drill-on" if is_open else "drill-over", "operators")
        return is_open

    def handle_request(self, request: Request) -> None:
        """Handle a new request: forward, delay or abort it."""
        if not self.update_running() or self.plan is None or request.class_name != self.plan.class_name:
            self.next_handler(request)
            return
        self.due_parts += self.settings.share
        if self.due_parts < 100 * PARTS_PER_PERCENT:
            self.next_handler(request)
            return
        self.due_parts -= 100 * PARTS_PER_PERCENT
        self.total += 1
        request.is_drill = True
        now, abort = self.clock.now(), self.settings.abort
        remaining = request.deadline - now
        margin = min(DEADLINE_MARGIN_SECONDS, remaining / 4)  # leaves time for an answer
        delay = min(self.settings.delay, remaining - margin)
        log.line(
            "drill", drill=1, job=request.correlation_id, of=request.class_name, delay_ms=round(delay * 1000),
            abort=int(abort), drill_requests_total=self.total,
        )  # fmt: skip
        if delay > 0:
            request.drill_timer = self.clock.at(now + delay, self.release, request, abort)
        else:
            self.release(request, abort)

    def release(self, request: Request, abort: bool) -> None:
        """Abort or forward a request after its delay."""
        request.drill_timer = None
        if abort:
            self.exchange.answer(request, Answer(AnswerKind.REFUSED, retry_after=self.retry_after(request)))
        else:
            self.next_handler(request)

    def retry_after(self, request: Request) -> float:
        """Return the balancer's minimum `Retry-After` in seconds.

        There is no random part: the balancer's random numbers are its own, and aborted requests never reach
        it.
        """
        advice = MIN_RETRY_AFTER * self.classes[request.class_name].latency_target
        return min(advice, self.limits.max_retry_after) if self.limits.sends_retry_after else 0.0

    def stop(self) -> None:
        """Log the total when the sidecar stops."""
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        log.line("drill-total", drill_requests_total=self.total)
