"""The decisions of one balancer: events in, actions out. Its messages are listed in `interface`.

The ordinary path is that of gRFC A6: the less loaded of two random endpoints by own attempts in flight; a
failure is retried after a randomised exponential backoff while the token count is above half, attempts are
limited, and one deadline holds for all of it. Each module beside this one says what it adds to that, and what
it guards against. There is no clock but `now`, and no randomness but the balancer's own.
"""

from __future__ import annotations

from math import inf
from random import Random

from wheatring.balancer.actions import Action, Candidate, Fail, Reject, Send, SetTimer, Subscribe
from wheatring.balancer.active_request import ActiveRequest
from wheatring.balancer.admission import AdmissionControl
from wheatring.balancer.backoff import draw_backoff, draw_retry_after
from wheatring.balancer.endpoint import Endpoint
from wheatring.balancer.endpoint_list import View, ViewKind
from wheatring.balancer.endpoint_load import EndpointLoad
from wheatring.balancer.endpoint_pool import EndpointPool
from wheatring.balancer.events import AttemptEnded, Committed, Event, NewRequest, RequestAbandoned, TimerDue
from wheatring.balancer.latency_estimate import LatencyEstimate
from wheatring.balancer.outcomes import Outcome
from wheatring.balancer.outlier_ejection import OutlierEjector
from wheatring.balancer.selection import EndpointSelector
from wheatring.balancer.settings import Idempotency, RequestClass, Settings
from wheatring.balancer.slow_start import SlowStart
from wheatring.balancer.throughput import Throughput
from wheatring.balancer.token_bucket import RetryTokenBucket

MAX_ATTEMPTS = 5  # for one request, as in A6
PATIENCE_DEVIATIONS = 20.0  # above the mean latency at which an attempt is given up
SUBSCRIPTION_TIMER = 0  # token of the timer for the next subscription; those of requests come after it
MAX_SUBSCRIPTION_SPREAD_SECONDS = 2.5

# Looked up once, not for each attempt: an enum takes its time.
SERVED, TIMED_OUT, REJECTED = Outcome.SERVED, Outcome.TIMED_OUT, Outcome.REJECTED
CONNECT_FAILED = Outcome.CONNECT_FAILED
NOT_IDEMPOTENT = Idempotency.NOT_IDEMPOTENT
new_tuple = tuple.__new__  # a named tuple's own would be a call more

# Outcomes that take a token of the bucket. Failed connections are retried too, but outside the token count.
TOKEN_OUTCOMES = (Outcome.ERROR, REJECTED, TIMED_OUT, Outcome.RESET)
RETRYABLE_OUTCOMES = (*TOKEN_OUTCOMES, CONNECT_FAILED)
# Outcomes without any sign of the endpoint.
SILENT_OUTCOMES = (TIMED_OUT, CONNECT_FAILED, Outcome.CANCELLED, Outcome.NOT_SENT)


class Balancer:
    """One balancer of a tier. It sees its own attempts only; nothing is shared with the others.

    Attributes
    ----------
    classes, latencies : dict
        The request classes and their latency estimates, by the class's name.
    requests : dict of int to ActiveRequest
        The requests that have no final answer, or whose last attempt has not ended.
    timers : dict of int to int
        The requests that wait out a backoff, by the token of their timer.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.classes = {each.name: each for each in settings.classes}
        self.latencies = {each.name: LatencyEstimate() for each in settings.classes}
        self.requests: dict[int, ActiveRequest] = {}
        self.timers: dict[int, int] = {}
        self.next_timer = SUBSCRIPTION_TIMER + 1
        self.attempt_limit = min(MAX_ATTEMPTS, settings.limits.max_attempts)
        self.retry_tokens = RetryTokenBucket()
        self.throughput = Throughput()
        self.load = EndpointLoad()
        self.slow_start = SlowStart(settings.contract)
        self.pool = EndpointPool(settings, self.random, self.slow_start)
        self.ejector = OutlierEjector(self.pool, self.throughput)
        self.admission = AdmissionControl(
            settings, self.latencies, self.pool, self.slow_start, self.ejector, self.throughput
        )
        self.selector = EndpointSelector(
            settings.zone, self.random, self.pool, self.slow_start, self.ejector, self.load
        )
        self.first_request_at = inf
        self.is_subscribing = False  # a timer for it is set
        self.failed_subscriptions = 0  # in a row, up to 3

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in an event at an instant in seconds; return the actions to carry out, in their order."""
        out: list[Action] = []
        match event:
            case AttemptEnded():
                self._attempt_ended(now, event, out)
            case NewRequest():
                self._new_request(now, event, out)
            case TimerDue(token):
                self._timer_due(now, token, out)
            case View():
                self._view(now, event, out)
            case RequestAbandoned(request_id) if request_id in self.requests:
                self._close(self.requests[request_id])
            case Committed(request_id) if request_id in self.requests:
                self.requests[request_id].is_committed = True
        return out

    # Requests

    def _new_request(self, now: float, event: NewRequest, out: list[Action]) -> None:
        self.first_request_at = min(self.first_request_at, now)
        request_class = self.classes.get(event.class_name) or self._add_class(event)
        latency = self.latencies[event.class_name]
        deadline = now + self._useful_time(event, request_class)
        request = ActiveRequest(event.request, request_class, latency, deadline)
        self.requests[event.request] = request
        if self.admits(now, request):
            self._send(now, request, out)
        else:
            self._answer(request, out)

    def _add_class(self, event: NewRequest) -> RequestClass:
        """Add a class that the settings don't name, as one that is not idempotent."""
        span = max(event.time_remaining, 1e-3)
        request_class = self.classes[event.class_name] = RequestClass(event.class_name, span, span)
        self.latencies[event.class_name] = LatencyEstimate()
        return request_class

    def _useful_time(self, event: NewRequest, request_class: RequestClass) -> float:
        """Return the seconds in which an answer is worth anything.

        At the front, an answer that is worth nothing past its latency target would only occupy slots all down
        the chain. A client's retry comes with what earlier tries have left of its class's deadline.
        """
        remaining = event.time_remaining
        if self.settings.tier or request_class.late_value or request_class.latency_target_stretch:
            return remaining
        used = request_class.deadline - remaining if event.is_client_retry else 0.0
        return min(remaining, request_class.latency_target - used)

    def admits(self, now: float, request: ActiveRequest) -> bool:
        """Whether a new request is sent at all."""
        return self.admission.admits(now, request.request_class, self.is_latency_known)

    def is_latency_known(self, now: float, request_class: RequestClass) -> bool:
        """Whether this balancer is old enough to know what is usual: the first answers are the fastest."""
        return now - self.first_request_at > request_class.latency_target

    def pick(self, now: float, request: ActiveRequest) -> tuple[Endpoint | None, list[Endpoint]]:
        """Return the endpoint for a request's next attempt, if one is usable, and all that were drawn."""
        return self.selector.pick(now, request)

    def _send(self, now: float, request: ActiveRequest, out: list[Action]) -> None:
        """Send a request's next attempt, or answer it if that is not possible or in vain."""
        pool = self.pool
        self.ejector.turns += 1 / pool.capacity
        if not request.attempts:  # a turn is counted in local endpoints, of which remote ones take a part
            self.slow_start.advance(len(pool.local) / pool.capacity / max(len(pool.subset), 1))
        endpoint, drawn = self.pick(now, request)
        remaining = request.deadline - now
        is_hopeless = remaining <= request.latency.unloaded / 2  # work for it would be wasted here and below
        if endpoint is None or is_hopeless or now >= (repeatable_until := request.repeatable_until()):
            self._answer(request, out)
            return
        timeout = self._attempt_timeout(request, remaining)
        candidates = tuple([new_tuple(Candidate, (e.entry.endpoint, e.in_flight,
                            e.reported_in_flight if e.reported_at else None)) for e in drawn])  # fmt: skip
        request.attempts.append(endpoint)
        request.sent_at = now
        request.outstanding += 1
        if not endpoint.in_flight:
            endpoint.progressed_at = pool.progressed_at = now
        endpoint.in_flight += 1
        self.slow_start.schedule_next(now, endpoint)
        name = endpoint.entry.endpoint
        out.append(Send(request.request_id, name, timeout, candidates, repeatable_until - now))

    def _attempt_timeout(self, request: ActiveRequest, remaining: float) -> float:
        """Return the seconds for which an attempt is waited for.

        A silent endpoint never answers: an attempt is given up while there is time for another one.
        """
        mean = request.latency.mean
        if not mean or request.request_class.idempotency is NOT_IDEMPOTENT:
            return remaining
        patience = mean + PATIENCE_DEVIATIONS * request.latency.deviation
        is_last = len(request.attempts) + 1 >= self.attempt_limit
        return remaining if is_last or patience + mean >= remaining else patience

    def _attempt_ended(self, now: float, event: AttemptEnded, out: list[Action]) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts) or not request.outstanding:
            return
        endpoint = request.attempts[event.attempt]
        request.outstanding -= 1
        endpoint.in_flight -= 1
        self._observe(now, request, endpoint, event)
        if event.is_request_over or request.is_over:
            self._close(request)
            return
        if request.first_run_at is None and not event.outcome.has_not_run:
            request.first_run_at, request.first_run_endpoint = request.sent_at, endpoint
        self._retry_or_answer(now, request, event.outcome, out)

    def _retry_or_answer(
        self, now: float, request: ActiveRequest, outcome: Outcome, out: list[Action]
    ) -> None:
        if request.is_committed or not self.may_retry(now, request, outcome):
            self._answer(request, out)
        elif outcome is CONNECT_FAILED or (outcome is REJECTED and not request.was_rejected):
            # It never reached the server, or was rejected unprocessed for the first time: A6 resends these at
            # once and counts neither, or a server that drains would empty the bucket.
            request.was_rejected |= outcome is REJECTED
            self._send(now, request, out)
        elif self.retry_tokens.allows_retry:
            self._retry_after_backoff(now, request, out)
        else:
            self._answer(request, out)

    def may_retry(self, now: float, request: ActiveRequest, outcome: Outcome) -> bool:
        """Whether a request may have one more attempt after this outcome of its last one."""
        is_allowed = len(request.attempts) < self.attempt_limit and outcome in RETRYABLE_OUTCOMES
        return is_allowed and now < request.repeatable_until()

    def _retry_after_backoff(self, now: float, request: ActiveRequest, out: list[Action]) -> None:
        delay = draw_backoff(self.random, request.retries, request.request_class.latency_target)
        request.retries += 1
        resent_at = now + delay
        is_in_vain = resent_at + request.latency.mean / 2 >= request.deadline
        if is_in_vain or resent_at >= request.repeatable_until():
            self._answer(request, out)
            return
        self.timers[self.next_timer] = request.request_id
        out.append(SetTimer(self.next_timer, delay))
        self.next_timer += 1

    def _timer_due(self, now: float, token: int, out: list[Action]) -> None:
        if token == SUBSCRIPTION_TIMER:
            self.is_subscribing = False
            out.append(Subscribe())
            return
        request = self.requests.get(self.timers.pop(token, -1))
        if request is not None:  # otherwise it was over before its backoff
            self._send(now, request, out)

    def _answer(self, request: ActiveRequest, out: list[Action]) -> None:
        """Give the one final answer. A rejection says that trying again is harmless."""
        if request.is_harmless_to_repeat():
            limits = self.settings.limits
            longest = limits.max_retry_after if limits.sends_retry_after else 0.0
            target = request.request_class.latency_target
            out.append(Reject(request.request_id, draw_retry_after(self.random, target, longest)))
        else:
            out.append(Fail(request.request_id))
        self._close(request)

    def _close(self, request: ActiveRequest) -> None:
        request.is_over = True
        if not request.outstanding:
            self.requests.pop(request.request_id, None)

    # Observations

    def _observe(self, now: float, request: ActiveRequest, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Take in what an attempt's end says of its endpoint, its class and the fleet."""
        outcome = event.outcome
        self.load.record_outcome(now, endpoint, outcome is not SERVED)
        if event.report is not None:
            self.load.record_report(now, endpoint, event.report)
        if outcome is SERVED or outcome is TIMED_OUT:
            self._learn_latency(now, request, endpoint, event.latency)
        if outcome is SERVED:
            self.retry_tokens.record_success()
            self.slow_start.record_served(now, endpoint, len(self.pool.subset))
            self.throughput.record(now, request.latency.unloaded)
        elif outcome in TOKEN_OUTCOMES and (outcome is not REJECTED or request.was_rejected):
            self.retry_tokens.record_failure()
        if outcome not in SILENT_OUTCOMES:
            self.pool.record_progress(now, endpoint)
        self.judge(now, endpoint, outcome)

    def _learn_latency(self, now: float, request: ActiveRequest, endpoint: Endpoint, latency: float) -> None:
        if request.latency.mean:
            self.load.record_latency(endpoint, latency, request.latency.unloaded)
        request_class = request.request_class
        # Asked for each: the first observation may be the one that makes the class known.
        request.latency.learn(latency, self.is_latency_known(now, request_class))
        self.load.latency.learn(latency, self.is_latency_known(now, request_class))

    def judge(self, now: float, endpoint: Endpoint, outcome: Outcome) -> None:
        """Judge by an outcome whether an endpoint is to be ejected."""
        self.ejector.record_outcome(now, endpoint, outcome)

    # Discovery

    def _view(self, now: float, view: View, out: list[Action]) -> None:
        if view.kind is not ViewKind.FAILED:
            self.failed_subscriptions = 0
            self.pool.apply(now, view)
        if self.settings.must_subscribe and view.kind in (ViewKind.CACHED, ViewKind.FAILED):
            self._schedule_subscription(view.kind is ViewKind.FAILED, out)

    def _schedule_subscription(self, has_failed: bool, out: list[Action]) -> None:
        """Set the timer for the next subscription, unless it is set.

        Balancers that subscribe together would fail together again; but within seconds, whatever one has not
        been told of counts as known to it.
        """
        if self.is_subscribing:
            return
        self.is_subscribing = True
        spread = min(
            self.settings.contract.subscribe_within / 4,
            MAX_SUBSCRIPTION_SPREAD_SECONDS,
            0.5 * 2**self.failed_subscriptions,
        )
        self.failed_subscriptions += has_failed and self.failed_subscriptions < 3
        out.append(SetTimer(SUBSCRIPTION_TIMER, self.random.random() * spread))
