"""The balancer: turns events into actions. Both are listed in `interface`.

The basic algorithm: a request goes to the less loaded of two random endpoints by own attempts in flight. As
in gRFC A6, a failure is retried after a randomised exponential backoff while the token count is above half,
the number of attempts is limited, and one deadline applies to all of them. The other modules of the package
extend this, and document which failures they guard against. Decisions depend only on the events, their times
and the seed.
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

MAX_ATTEMPTS = 5  # Per request, as in gRFC A6.
ATTEMPT_TIMEOUT_DEVIATIONS = 20.0  # The time-out is this far above the mean latency.
SUBSCRIPTION_TIMER = 0  # Token of the timer for the next subscription; requests use the tokens from 1 on.
MAX_SUBSCRIPTION_SPREAD_SECONDS = 2.5

# Bound once, as enum attribute access is slow compared to the rest of an attempt.
SERVED, TIMED_OUT, REJECTED = Outcome.SERVED, Outcome.TIMED_OUT, Outcome.REJECTED
CONNECT_FAILED = Outcome.CONNECT_FAILED
NOT_IDEMPOTENT = Idempotency.NOT_IDEMPOTENT
new_tuple = tuple.__new__  # saves the extra call of a named tuple's own constructor

# Outcomes that take a token from the bucket. Failed connections are also retried, without taking one.
TOKEN_OUTCOMES = (Outcome.ERROR, REJECTED, TIMED_OUT, Outcome.RESET)
RETRYABLE_OUTCOMES = (*TOKEN_OUTCOMES, CONNECT_FAILED)
# Outcomes without a response from the endpoint.
NO_RESPONSE_OUTCOMES = (TIMED_OUT, CONNECT_FAILED, Outcome.CANCELLED, Outcome.NOT_SENT)


class Balancer:
    """One balancer of a tier. It knows only its own attempts and shares no state with other balancers.

    Attributes
    ----------
    classes, latencies : dict
        The request classes and their latency estimates, by class name.
    requests : dict of int to ActiveRequest
        The requests without a final answer or with attempts in flight, by id.
    timers : dict of int to int
        Ids of the requests in backoff, by the token of their timer.
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
        self.is_subscription_scheduled = False
        self.failed_subscriptions = 0  # consecutive failures, up to 3

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event at the time `now` (seconds), and return the actions to carry out, in order."""
        out: list[Action] = []
        match event:
            case AttemptEnded():
                self._on_attempt_ended(now, event, out)
            case NewRequest():
                self._on_new_request(now, event, out)
            case TimerDue(token):
                self._on_timer_due(now, token, out)
            case View():
                self._on_view(now, event, out)
            case RequestAbandoned(request_id) if request_id in self.requests:
                self._close(self.requests[request_id])
            case Committed(request_id) if request_id in self.requests:
                self.requests[request_id].is_committed = True
        return out

    # Requests

    def _on_new_request(self, now: float, event: NewRequest, out: list[Action]) -> None:
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
        """Add a class that is not in the settings, as one that is not idempotent."""
        span = max(event.time_remaining, 1e-3)
        request_class = self.classes[event.class_name] = RequestClass(event.class_name, span, span)
        self.latencies[event.class_name] = LatencyEstimate()
        return request_class

    def _useful_time(self, event: NewRequest, request_class: RequestClass) -> float:
        """Return the seconds for which an answer still has a value.

        At the front tier, the latency target is the deadline of a class whose late answers have no value: a
        late request would only use capacity in all tiers below. A client's retry arrives with what its
        earlier tries have left of the class's deadline, and has used that much of its latency target.
        """
        remaining = event.time_remaining
        if self.settings.tier or request_class.late_value or request_class.latency_target_stretch:
            return remaining
        used = request_class.deadline - remaining if event.is_client_retry else 0.0
        return min(remaining, request_class.latency_target - used)

    def admits(self, now: float, request: ActiveRequest) -> bool:
        """Whether a new request is admitted."""
        return self.admission.admits(now, request.request_class, self.is_latency_known)

    def is_latency_known(self, now: float, request_class: RequestClass) -> bool:
        """Whether this balancer has run long enough for its estimates: the first answers are the fastest."""
        return now - self.first_request_at > request_class.latency_target

    def pick(self, now: float, request: ActiveRequest) -> tuple[Endpoint | None, list[Endpoint]]:
        """Return the endpoint for the next attempt, or None if none is usable, and all endpoints drawn."""
        return self.selector.pick(now, request)

    def _send(self, now: float, request: ActiveRequest, out: list[Action]) -> None:
        """Send the next attempt of a request, or answer it if that is impossible or too late."""
        pool = self.pool
        self.ejector.rounds += 1 / pool.capacity
        if not request.attempts:  # slots count attempts to local endpoints; remote ones take a share of these
            self.slow_start.advance(len(pool.local) / pool.capacity / max(len(pool.subset), 1))
        endpoint, drawn = self.pick(now, request)
        remaining = request.deadline - now
        # The work of an attempt without enough time left would be wasted, also in the tiers below.
        is_out_of_time = remaining <= request.latency.unloaded / 2
        if endpoint is None or is_out_of_time or now >= (repeatable_until := request.repeatable_until()):
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
        """Return the time-out of an attempt in seconds.

        An endpoint that has stopped responding never answers, so an attempt times out while there is time for
        another one.
        """
        mean = request.latency.mean
        if not mean or request.request_class.idempotency is NOT_IDEMPOTENT:
            return remaining
        timeout = mean + ATTEMPT_TIMEOUT_DEVIATIONS * request.latency.deviation
        is_last = len(request.attempts) + 1 >= self.attempt_limit
        return remaining if is_last or timeout + mean >= remaining else timeout

    def _on_attempt_ended(self, now: float, event: AttemptEnded, out: list[Action]) -> None:
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
            # The connection failed, or the request was rejected unprocessed for the first time. gRFC A6
            # retries both immediately without taking a token; otherwise a draining server would empty the
            # bucket.
            request.was_rejected |= outcome is REJECTED
            self._send(now, request, out)
        elif self.retry_tokens.allows_retry:
            self._retry_after_backoff(now, request, out)
        else:
            self._answer(request, out)

    def may_retry(self, now: float, request: ActiveRequest, outcome: Outcome) -> bool:
        """Whether a request may be retried after an attempt with this outcome."""
        is_allowed = len(request.attempts) < self.attempt_limit and outcome in RETRYABLE_OUTCOMES
        return is_allowed and now < request.repeatable_until()

    def _retry_after_backoff(self, now: float, request: ActiveRequest, out: list[Action]) -> None:
        delay = draw_backoff(self.random, request.retries, request.request_class.latency_target)
        request.retries += 1
        retry_at = now + delay
        is_too_late = retry_at + request.latency.mean / 2 >= request.deadline
        if is_too_late or retry_at >= request.repeatable_until():
            self._answer(request, out)
            return
        self.timers[self.next_timer] = request.request_id
        out.append(SetTimer(self.next_timer, delay))
        self.next_timer += 1

    def _on_timer_due(self, now: float, token: int, out: list[Action]) -> None:
        if token == SUBSCRIPTION_TIMER:
            self.is_subscription_scheduled = False
            out.append(Subscribe())
            return
        request = self.requests.get(self.timers.pop(token, -1))
        if request is not None:  # otherwise it ended during its backoff
            self._send(now, request, out)

    def _answer(self, request: ActiveRequest, out: list[Action]) -> None:
        """Return the final answer of a request. A rejection tells the client that it may retry safely."""
        if request.is_safe_to_retry():
            limits = self.settings.limits
            max_retry_after = limits.max_retry_after if limits.sends_retry_after else 0.0
            target = request.request_class.latency_target
            out.append(Reject(request.request_id, draw_retry_after(self.random, target, max_retry_after)))
        else:
            out.append(Fail(request.request_id))
        self._close(request)

    def _close(self, request: ActiveRequest) -> None:
        request.is_over = True
        if not request.outstanding:
            self.requests.pop(request.request_id, None)

    # Observations

    def _observe(self, now: float, request: ActiveRequest, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Update the state of the endpoint, the class and the fleet by the end of an attempt."""
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
        if outcome not in NO_RESPONSE_OUTCOMES:
            self.pool.record_progress(now, endpoint)
        self.update_ejection(now, endpoint, outcome)

    def _learn_latency(self, now: float, request: ActiveRequest, endpoint: Endpoint, latency: float) -> None:
        if request.latency.mean:
            self.load.record_latency(endpoint, latency, request.latency.unloaded)
        request_class = request.request_class
        # Evaluated for each estimate, as the first observation may make the latency of the class known.
        request.latency.learn(latency, self.is_latency_known(now, request_class))
        self.load.latency.learn(latency, self.is_latency_known(now, request_class))

    def update_ejection(self, now: float, endpoint: Endpoint, outcome: Outcome) -> None:
        """Update the ejection state of an endpoint by the outcome of an attempt."""
        self.ejector.record_outcome(now, endpoint, outcome)

    # Discovery

    def _on_view(self, now: float, view: View, out: list[Action]) -> None:
        if view.kind is not ViewKind.FAILED:
            self.failed_subscriptions = 0
            self.pool.apply(now, view)
        if self.settings.must_subscribe and view.kind in (ViewKind.CACHED, ViewKind.FAILED):
            self._schedule_subscription(view.kind is ViewKind.FAILED, out)

    def _schedule_subscription(self, has_failed: bool, out: list[Action]) -> None:
        """Set the timer for the next subscription, unless it is already set.

        Jitter keeps balancers from subscribing, and failing again, simultaneously. It is limited to seconds,
        since a balancer counts as notified of all changes after `Contract.subscribe_within`.
        """
        if self.is_subscription_scheduled:
            return
        self.is_subscription_scheduled = True
        spread = min(
            self.settings.contract.subscribe_within / 4,
            MAX_SUBSCRIPTION_SPREAD_SECONDS,
            0.5 * 2**self.failed_subscriptions,
        )
        self.failed_subscriptions += has_failed and self.failed_subscriptions < 3
        out.append(SetTimer(SUBSCRIPTION_TIMER, self.random.random() * spread))
