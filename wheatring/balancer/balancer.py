"""The decisions of one balancer copy. Its messages stand in wheatring/balancer/interface.py.

Ordinary path, after gRFC A6: the lighter of two random endpoints by own calls in flight; a failure is
retried after a randomised exponential backoff while the token count is above half, attempts are capped,
and one deadline holds for all of it. What departs from that says below what it guards against.
No clock but `now`, no randomness but the copy's own.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil, exp, inf, sqrt
from random import Random

# fmt: off
from wheatring.balancer.interface import (
    Action, AttemptEnded, RequestAbandoned, Committed, Candidate, Idempotency, EndpointEntry, EndpointState, Event, Fail,
    RepeatScope, NewRequest, Outcome, Reject, RequestClass, Send, SetTimer, Settings, Subscribe,
    TimerDue, View, ViewKind,
)
# fmt: on

# The retry policy of A6. Backoffs are parts of the class's aim, so that they fit fast and slow services.
MAX_ATTEMPTS = 5
INITIAL_BACKOFF = 0.04
BACKOFF_MULTIPLIER = 2.0
MAX_BACKOFF = 0.2
MAX_TOKENS = 10.0
TOKEN_RATIO = 0.1
# Looked up once, not for each attempt: an enum takes its time.
SERVED, TIMED_OUT, REJECTED = Outcome.SERVED, Outcome.TIMED_OUT, Outcome.REJECTED
UNSAFE, KEYED = Idempotency.NOT_IDEMPOTENT, Idempotency.KEYED
new = tuple.__new__  # a named tuple's own would be a call more
# Failed connections are resent too, but outside the token count.
RETRYABLE = (Outcome.ERROR, REJECTED, TIMED_OUT, Outcome.RESET)
UNMOVED = (TIMED_OUT, Outcome.CONNECT_FAILED, Outcome.CANCELLED, Outcome.NOT_SENT)  # no word from it

NEAR = 5  # least size of the subset that a copy draws from
SHARERS = 3  # and least number of copies that share an endpoint
MEMORY = 5.0  # seconds in which what is held against an endpoint fades to a third
LEARN = 0.2  # weight of a new observation
DOUBT = 1.0  # outcomes that an endpoint has to show before what it shows counts for half
MOST_HEARD = 6.0  # and those remembered at most: under dense traffic the last ones tell enough
FAIL_WEIGHT = 4.0  # how much heavier an endpoint counts that fails all the time
# Parts of the evidence that has an endpoint left alone, if nothing is served in between. A refused connect
# leaves nothing in flight, and proves by itself that sending there is vain; the others also come from load.
EVIDENCE = dict.fromkeys(RETRYABLE, 1 / 5) | {Outcome.CONNECT_FAILED: 1.0, Outcome.RESET: 1 / 3}
LONGEST = 4  # doublings of the turns for which it is left alone
ALONE = 5.0  # seconds after which a copy with few calls tries it again before its turn
REST = 6.5  # seconds in which a crowded one is through with what it holds and has stood idle for a while
WELL = 8  # answers after which it counts as well again
OWED = 3.0  # seconds, at least, over which all copies' first calls to one put back by operators are spread
UNFIT = 4.0  # an endpoint this many times heavier than its calls in flight makes the draw go wider
CROWDED = 2.8  # times the unloaded latency, from which an endpoint has to be let rest to be fast again
FAR = 2.0  # how much heavier an endpoint of another zone counts
CARRIED = 1.5  # most that a cold endpoint is sent, in parts of what the others are known to carry
TRICKLE = 0.05  # and part of its turns that come with the sends, whatever is answered
SILENT = 4.0  # answers that should have come meanwhile from an endpoint that counts as silent
STAY_AWAY = 0.15  # least advice to a refused client, as a part of the aim; it is drawn up to twice that
CALM = 1.5  # times the unloaded latency, below which the gate is open whatever is in flight
JAM = 1.8  # times the unloaded latency, above which more in flight gets no more served
GROWTH = 1.5  # calls in flight for each unloaded latency served a second, at the best rate of late
SLACK = 3.0  # and beyond that, in calls of all copies at an endpoint
LEAST = 0.9  # part of that which may be in flight even in a jam
CHANCE = 2.0  # deviations by which one copy of many may hold more than its share: all together don't
FORGET = 30.0  # seconds in which the best rate fades to a third
FEW = 20  # calls of all copies in flight from which the time they take can be told
PATIENCE = 20.0  # deviations above the mean at which an attempt is given up


@dataclass(slots=True)
class Endpoint:
    """What this copy knows of one endpoint since its last start."""

    entry: EndpointEntry
    next_turn: float = inf  # cold: not to be sent to before this turn of the ramp
    in_flight: int = 0
    outcomes: float = 0.0  # outcomes remembered, each less the older it is; of these:
    excess_latency: float = 0.0  # the sum of latencies against the norm of their class, less 1
    failures: float = 0.0  # failures
    evidence: float = 0.0  # of failures since it last served: 1 has it left alone
    ejections: int = 0  # how often it was since it was well
    probation_limit: int = (
        1  # calls that it may hold while it is ill: a trickle, then one more with each answer
    )
    left: tuple[float, float, float] = (-inf, -inf, -inf)  # alone: from which turn to which, and till when
    updated_at: float = 0.0  # when these three were last updated
    progressed_at: float = 0.0  # when it last answered or, if idle then, got work
    reported_in_flight: float = 0.0  # requests it said it held
    reported_at: float = 0.0


@dataclass(slots=True)
class LatencyEstimate:
    """Typical latency of a class at this copy: mean and mean deviation, as TCP keeps its round trips."""

    mean: float = 0.0
    deviation: float = 0.0
    smoothed: float = 0.0  # mean over more answers, with less noise
    unloaded: float = 0.0  # that when unloaded: follows it down, and up only in minutes, once it is known
    count: int = 0

    def learn(self, latency: float, is_known: bool) -> None:
        self.count += 1
        if not self.mean:
            self.mean, self.deviation = latency, latency / 2
        self.deviation += LEARN / 2 * (abs(latency - self.mean) - self.deviation)
        self.mean += LEARN / 2 * (latency - self.mean)
        self.smoothed += max(1 / self.count, LEARN / 10) * (latency - self.smoothed)
        gap = self.smoothed - self.unloaded
        self.unloaded += (1.0 if not is_known else LEARN / 10 if gap < 0 else LEARN / 2000) * gap


@dataclass(slots=True)
class ActiveRequest:
    request_id: int
    request_class: RequestClass
    latency: LatencyEstimate
    deadline: float
    attempts: list[Endpoint] = field(default_factory=list)
    sent_at: float = 0.0
    may_have_run: tuple[float, Endpoint] | None = None  # send and endpoint of the first attempt that may have
    outstanding: int = 0
    retries: int = 0
    is_over: bool = False
    was_rejected: bool = False  # an attempt was turned away unseen
    is_committed: bool = False  # its answer has begun, or its body is held no more: A6 retries it no more


class Balancer:
    """One copy. `handle` takes an event and returns the actions to carry out, in their order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.latencies = {c.name: LatencyEstimate() for c in settings.classes}
        self.norm = LatencyEstimate()
        self.endpoints: dict[str, Endpoint] = {}  # ready ones only
        self.near: list[Endpoint] = []
        self.far: list[Endpoint] = []
        self.ready: list[Endpoint] = []
        self.progress = 0.0  # the last of any ready one
        self.owed: list[tuple[float, Endpoint]] = []  # put back by the operators, called from then on
        self.requests: dict[int, ActiveRequest] = {}
        self.timers: dict[int, int] = {}
        self.next_timer = 1
        self.most_attempts = min(MAX_ATTEMPTS, settings.limits.max_attempts)
        self.tokens = MAX_TOKENS
        self.turns = 0.0
        self.capacity = 1.0  # of the near endpoints, in warm ones
        self.subset: dict[str, Endpoint] = {}  # near and far: the only ones sent to while they are cold
        self.ramp = 0.0  # the turns of cold endpoints
        self.credit = CARRIED  # turns by which it may go on
        self.served = self.served_at = 0.0
        self.held = 0.0  # calls in flight, over about the last second as the served are
        self.usual = 1.0  # latency against the unloaded one
        self.bore = 0.0  # warm endpoints, likewise
        self.gauged = 0.0  # when these were last updated
        self.best = 0.0  # unloaded latencies served a second by an endpoint, at the best of late
        self.started = inf  # when the first request came
        self.asking = False
        self.ask_failures = 0
        self.mean_report = 0.0

    def handle(self, now: float, event: Event) -> list[Action]:
        out: list[Action] = []
        match event:
            case AttemptEnded():
                self.attempt_ended(now, event, out)
            case NewRequest():
                self.new_request(now, event, out)
            case TimerDue(0):
                self.asking = False
                out.append(Subscribe())
            case TimerDue(token) if request := self.requests.get(self.timers.pop(token, -1)):
                self.send(now, request, out)  # it has waited out its backoff, and is not over
            case View():
                self.view(now, event, out)
            case RequestAbandoned(ident) if ident in self.requests:
                self.close(self.requests[ident])
            case Committed(ident) if ident in self.requests:
                self.requests[ident].is_committed = True
        return out

    # Requests

    def new_request(self, now: float, event: NewRequest, out: list[Action]) -> None:
        self.started = min(self.started, now)
        name = event.class_name
        cls = self.classes.get(name)
        if cls is None:  # unknown classes are unsafe ones
            span = max(event.time_remaining, 1e-3)
            cls = self.classes[name] = RequestClass(name, span, span)
            self.latencies[name] = LatencyEstimate()
        left = event.time_remaining
        if not self.settings.tier and not cls.late_value and not cls.latency_target_stretch:
            # An answer past its aim is worth nothing but holds slots all down the chain, so the aim is the
            # deadline. A client's repeat comes with what earlier tries have left of its class's deadline.
            left = min(left, cls.latency_target - (cls.deadline - left if event.is_client_retry else 0.0))
        request = ActiveRequest(event.request, cls, self.latencies[name], now + left)
        self.requests[event.request] = request
        if self.admits(now, request):
            self.send(now, request, out)
        else:
            self.answer(request, out)

    def admits(self, now: float, request: ActiveRequest) -> bool:
        """When every server slows, first sends would pass unchecked and all end late; and what crowds servers
        for long slows them further. So the front refuses what goes beyond what they are known to bear, once
        that slows them; low worth is left less room than high."""
        if self.settings.tier or not self.ready:
            return True
        most_ill = self.most_ill()  # then it is the load
        open_ones = [e for e in self.ready if most_ill or not e.ejections or not self.alone(now, e)]
        count = sum([self.warmth(now, e) for e in open_ones]) or 1.0  # in warm ones
        # What an endpoint holds that is quiet while others answer or idle is no queue for what these get.
        quiet = (
            self.progress if all(e.in_flight for e in self.ready) else now
        ) - request.request_class.latency_target
        in_flight: float = sum([e.in_flight for e in open_ones if e.progressed_at > quiet])
        passed, self.gauged = min(now - self.gauged, 1.0), now
        self.held = self.held * exp(-passed) + in_flight * passed
        rate = self.served * exp(self.served_at - now)
        self.bore = max(count, self.bore * exp(-passed) + count * passed)  # those that served at that rate
        self.best = max(self.best * exp(-passed / FORGET), rate / self.bore)
        congestion = self.held / rate if rate else 0.0  # how many times the unloaded latency is taken
        copies = self.settings.balancer_count
        in_flight = min(in_flight, max(self.held, in_flight - CHANCE * sqrt(in_flight) * (1 - 1 / copies)))
        if (
            in_flight * copies < FEW
            or congestion < CALM
            or not self.is_latency_known(now, request.request_class)
        ):
            return True
        part = 0.4 + 0.6 * self.density(request.request_class) / (
            max(map(self.density, self.settings.classes)) or 1.0
        )
        most = count * (GROWTH * self.best + SLACK / copies * part)
        return in_flight <= most * max(LEAST, min(1.0, JAM / congestion))

    def is_latency_known(self, now: float, request_class: RequestClass) -> bool:
        """Whether this copy is old enough to know what is usual: the first answers are the fastest."""
        return now - self.started > request_class.latency_target

    def density(self, cls: RequestClass) -> float:
        """Worth for each unit of work; typical latency stands for the work."""
        return (
            cls.value
            if self.settings.value_per_work
            else cls.value / (self.latencies[cls.name].unloaded or 1.0)
        )

    def send(self, now: float, request: ActiveRequest, out: list[Action]) -> None:
        self.turns += 1 / self.capacity
        if not request.attempts:  # repeats grow with trouble, what an endpoint bears doesn't
            turn = len(self.near) / self.capacity / max(len(self.subset), 1)  # the far get their part of it
            step = max(min(turn, self.credit), TRICKLE * turn)
            self.ramp, self.credit = self.ramp + step, max(self.credit - step, 0.0)
        endpoint, drawn = self.pick(now, request)
        timeout = left = request.deadline - now
        hopeless = left <= request.latency.unloaded / 2  # work for it would be wasted here and below
        if endpoint is None or hopeless or now >= (until := self.repeatable_until(request)):
            self.answer(request, out)
            return
        if request.request_class.idempotency is not UNSAFE and (mean := request.latency.mean):
            # A silent endpoint never answers: give the attempt up while there is time for another.
            patience = mean + PATIENCE * request.latency.deviation
            if patience + mean < left and len(request.attempts) + 1 < self.most_attempts:
                timeout = patience
        seen = tuple([new(Candidate, (e.entry.endpoint, e.in_flight, e.reported_in_flight if e.reported_at else None))
                      for e in drawn])  # fmt: skip
        request.attempts.append(endpoint)
        request.sent_at = now
        request.outstanding += 1
        if not endpoint.in_flight:
            endpoint.progressed_at = self.progress = now
        endpoint.in_flight += 1
        endpoint.next_turn = self.ramp + 1 / self.warmth(now, endpoint)
        out.append(Send(request.request_id, endpoint.entry.endpoint, timeout, seen, until - now))

    def attempt_ended(self, now: float, event: AttemptEnded, out: list[Action]) -> None:
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts) or not request.outstanding:
            return
        endpoint = request.attempts[event.attempt]
        request.outstanding -= 1
        endpoint.in_flight -= 1
        self.observe(now, request, endpoint, event)
        if event.is_request_over or request.is_over:
            self.close(request)
            return
        outcome = event.outcome
        if not outcome.has_not_run and request.may_have_run is None:
            request.may_have_run = (request.sent_at, endpoint)
        if request.is_committed or not self.may_retry(now, request, outcome):
            self.answer(request, out)
        elif outcome is Outcome.CONNECT_FAILED or (outcome is REJECTED and not request.was_rejected):
            # Never reached the server, or was turned away unseen for the first time: A6 resends these at once
            # and counts neither, or a server that drains would empty the bucket.
            request.was_rejected |= outcome is REJECTED
            self.send(now, request, out)
        elif self.tokens > MAX_TOKENS / 2:
            ceiling = INITIAL_BACKOFF * BACKOFF_MULTIPLIER**request.retries
            delay = self.random.random() * min(ceiling, MAX_BACKOFF) * request.request_class.latency_target
            request.retries += 1
            resent = now + delay
            if resent + request.latency.mean / 2 >= request.deadline or resent >= self.repeatable_until(
                request
            ):
                self.answer(request, out)
                return
            self.timers[self.next_timer] = request.request_id
            out.append(SetTimer(self.next_timer, delay))
            self.next_timer += 1
        else:
            self.answer(request, out)

    def may_retry(self, now: float, request: ActiveRequest, outcome: Outcome) -> bool:
        more = len(request.attempts) < self.most_attempts and outcome in EVIDENCE
        return more and now < self.repeatable_until(request)

    def repeatable_until(self, request: ActiveRequest) -> float:
        """No effect twice: what may have run goes out again only as its class allows."""
        if request.may_have_run is None or request.request_class.idempotency is Idempotency.IDEMPOTENT:
            return inf
        return (
            request.may_have_run[0] + request.request_class.repeat_window
            if request.request_class.idempotency is KEYED
            else -inf
        )

    def answer(self, request: ActiveRequest, out: list[Action]) -> None:
        """The one final answer. A refusal says that trying again is harmless."""
        if request.may_have_run is None or request.request_class.idempotency is Idempotency.IDEMPOTENT:
            out.append(Reject(request.request_id, self.stay_away(request)))
        else:
            out.append(Fail(request.request_id))
        self.close(request)

    def stay_away(self, request: ActiveRequest) -> float:
        """When a refused client should come again: spread out, or those refused together return together."""
        most = self.settings.limits.max_retry_after if self.settings.limits.sends_retry_after else 0.0
        return min(STAY_AWAY * (1 + self.random.random()) * request.request_class.latency_target, most)

    def close(self, request: ActiveRequest) -> None:
        request.is_over = True
        if not request.outstanding:
            self.requests.pop(request.request_id, None)

    def observe(self, now: float, request: ActiveRequest, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Keep the token count, the norms and what is held against the endpoint."""
        outcome = event.outcome
        fade = self.fade(now, endpoint)
        endpoint.updated_at = now
        # An outcome weighs as one of those remembered: by a fixed weight, thin traffic would never tell.
        fade *= min(1.0, MOST_HEARD / (endpoint.outcomes * fade + 1))
        endpoint.outcomes = endpoint.outcomes * fade + 1
        endpoint.failures = endpoint.failures * fade + (outcome is not SERVED)
        endpoint.excess_latency *= fade
        said = event.report
        held = None if said is None else said.queue if said.in_flight is None else said.in_flight
        if held is not None:
            endpoint.reported_in_flight, endpoint.reported_at = held, now
            self.mean_report += LEARN / 4 * (held - self.mean_report)
        if outcome is SERVED or outcome is TIMED_OUT:
            if request.latency.mean:
                longer = min(event.latency / request.latency.unloaded, UNFIT) - 1
                endpoint.excess_latency += longer
                self.usual += LEARN / 4 * (1 + longer - self.usual)
            for norm in (request.latency, self.norm):
                norm.learn(event.latency, self.is_latency_known(now, request.request_class))
        if outcome is SERVED:
            self.tokens = min(MAX_TOKENS, self.tokens + TOKEN_RATIO)
            carried = 1 / self.warmth(now, endpoint) / max(len(self.subset), 1)  # by a warm one of the subset
            self.credit = min(CARRIED, self.credit + CARRIED * carried)
            self.served = self.served * exp(self.served_at - now) + request.latency.unloaded
            self.served_at = now
        elif outcome in RETRYABLE and (outcome is not REJECTED or request.was_rejected):
            self.tokens = max(0.0, self.tokens - 1)
        if outcome not in UNMOVED:
            endpoint.progressed_at = now
            if self.endpoints.get(endpoint.entry.endpoint) is endpoint:
                self.progress = now
        self.judge(now, endpoint, outcome)

    def judge(self, now: float, endpoint: Endpoint, outcome: Outcome) -> None:
        """Whether an endpoint is to be left alone, and its way back: one call, then as many as it answers."""
        crowded = endpoint.excess_latency >= (CROWDED - 1) * (endpoint.outcomes + DOUBT)
        if outcome is SERVED and not crowded:
            endpoint.evidence = 0.0
            endpoint.probation_limit += endpoint.ejections > 0
            if endpoint.probation_limit > WELL:
                endpoint.ejections = 0
            return
        weight = 1.0 if crowded else EVIDENCE.get(outcome, 0.0)
        if not weight or self.alone(now, endpoint):
            return  # what was sent before it was left alone says nothing new
        endpoint.evidence += weight
        endpoint.probation_limit //= 2
        if endpoint.evidence >= 1 or (endpoint.ejections and not endpoint.probation_limit):
            endpoint.ejections, endpoint.probation_limit = min(endpoint.ejections + 1, LONGEST), 1
            turns, rest = (inf, REST) if crowded else (2.0**endpoint.ejections, ALONE)
            endpoint.left = (self.turns, self.turns + turns, now + rest)
            endpoint.outcomes = endpoint.excess_latency = endpoint.failures = endpoint.evidence = (
                0.0  # it comes back new
            )
        endpoint.probation_limit = max(endpoint.probation_limit, 1)

    def alone(self, now: float, endpoint: Endpoint) -> bool:
        """Whether an ill endpoint is left alone. Where more than half are and some do serve, it is for one
        turn at most: rather than the fleet, it is this copy's own way that is bad."""
        since, until, till = endpoint.left
        if self.most_ill() and now - self.served_at < 1:
            until = min(until, since + 1)
        return self.turns < until and now < till

    def most_ill(self) -> bool:
        return 2 * sum([e.ejections > 0 for e in self.ready]) > len(self.ready)

    # Placement

    def pick(self, now: float, request: ActiveRequest) -> tuple[Endpoint | None, list[Endpoint]]:
        """The lighter of two random ready endpoints, drawn wider while no fit one came up; and all drawn."""
        while self.owed and not request.attempts and now >= self.owed[0][0]:
            _, owed = self.owed.pop(0)
            if self.endpoints.get(owed.entry.endpoint) is owed and not owed.progressed_at:
                return owed, [owed]
        pools = [self.near, self.near, self.ready, self.ready, self.ready]
        if (
            request.may_have_run
            and request.request_class.idempotency is KEYED
            and request.request_class.repeat_scope is not RepeatScope.ALL
        ):
            first, group = request.may_have_run[1].entry, request.request_class.repeat_scope.value
            pools = [[e for e in self.ready if getattr(e.entry, group) == getattr(first, group)]] * 3
        best, least, fit, usable, seen = None, 0.0, False, 0, {}
        for n, pool in enumerate(pools, 1):
            whole = n == len(pools) and not self.most_ill()  # draws would miss the few not barred
            for drawn in self.random.sample(pool, len(pool)) if whole else self.draw(pool):
                if drawn.entry.endpoint in seen:
                    continue
                seen[drawn.entry.endpoint] = drawn
                early = self.ramp < drawn.next_turn or drawn.entry.endpoint not in self.subset
                if early and self.warmth(now, drawn) < 1:
                    continue
                if drawn.ejections:
                    full = drawn.in_flight >= drawn.probation_limit and not self.most_ill()
                    if full or self.alone(now, drawn):
                        continue
                burden = self.burden(now, drawn)
                if self.far and drawn.entry.zone != self.settings.zone:
                    burden *= FAR
                if drawn in request.attempts:
                    burden *= UNFIT
                load = burden * (drawn.in_flight + 1)
                usable += 1
                fit |= burden < UNFIT
                if best is None or load < least:
                    best, least = drawn, load
            if usable > 1 and fit:  # of one alone, however crowded, nothing would be chosen
                break
        return best, list(seen.values())

    def draw(self, pool: list[Endpoint]) -> list[Endpoint]:
        size, random = len(pool), self.random.random
        drawn = [pool[int(random() * size)], pool[int(random() * size)]] if size else []
        if self.far and pool is self.near:
            drawn.append(self.far[int(random() * len(self.far))])
        return drawn

    def burden(self, now: float, endpoint: Endpoint) -> float:
        """What an endpoint's calls in flight are scaled by: it is slow, fails, or has gone silent."""
        fade = self.fade(now, endpoint)
        known = endpoint.outcomes * fade + DOUBT  # of one little heard of, what is usual is expected
        slow = 1 + (endpoint.excess_latency * fade + DOUBT * (self.usual - 1)) / known
        slowness = max(slow / self.usual, self.silence(now, endpoint) / SILENT)
        crowd = (1 + self.others(now, endpoint)) / (1 + self.mean_report) / (endpoint.entry.rating or 1.0)
        return slowness * crowd * (1 + FAIL_WEIGHT * endpoint.failures * fade / known)

    def silence(self, now: float, endpoint: Endpoint) -> float:
        """Answers that should have come from an endpoint since its last one."""
        return (now - endpoint.progressed_at) * endpoint.in_flight / (self.norm.mean or inf)

    def others(self, now: float, endpoint: Endpoint) -> float:
        """Work of other copies by the endpoint's last report; an old one says no more than the mean."""
        fade = exp(endpoint.reported_at - now) if endpoint.reported_at else 0.0
        return self.mean_report + (endpoint.reported_in_flight - self.mean_report) * fade

    def fade(self, now: float, endpoint: Endpoint) -> float:
        return exp((endpoint.updated_at - now) / MEMORY)

    def warmth(self, now: float, endpoint: Endpoint) -> float:
        """Least part of its capacity that an endpoint has by now."""
        contract = self.settings.contract
        age = now - endpoint.entry.started_at
        if endpoint.entry.started_at <= 0 or age >= contract.warm_up:
            return 1.0
        return contract.initial_capacity + (1 - contract.initial_capacity) * max(age, 0.0) / contract.warm_up

    # Discovery

    def view(self, now: float, event: View, out: list[Action]) -> None:
        if event.kind is not ViewKind.FAILED:
            self.ask_failures = 0
            if event.kind is not ViewKind.DELTA:
                listed = {e.endpoint for e in event.entries}
                self.endpoints = {k: v for k, v in self.endpoints.items() if k in listed}
            for entry in event.entries:
                self.update(now, entry)
            self.draw_subset(now)
        if (
            self.settings.must_subscribe
            and event.kind in (ViewKind.CACHED, ViewKind.FAILED)
            and not self.asking
        ):
            # Copies that ask together fail together again; but what one misses counts as told within seconds.
            self.asking = True
            spread = min(self.settings.contract.subscribe_within / 4, 2.5, 0.5 * 2**self.ask_failures)
            self.ask_failures += event.kind is ViewKind.FAILED and self.ask_failures < 3
            out.append(SetTimer(0, self.random.random() * spread))

    def update(self, now: float, entry: EndpointEntry) -> None:
        if entry.state is not EndpointState.READY:
            self.endpoints.pop(entry.endpoint, None)
            return
        known = self.endpoints.get(entry.endpoint)
        if known is not None and known.entry.started_at == entry.started_at:
            known.entry = entry
            return
        self.endpoints[entry.endpoint] = fresh = Endpoint(entry)  # nothing from before is held against it
        if entry.is_reinstated:  # a cold one bears two calls in a window beyond its ramp, of all copies
            pause, window = OWED / self.settings.balancer_count, self.settings.contract.overload_time
            if self.warmth(now, fresh) < 1 and window < inf:
                pause = max(pause, window / 2)
            self.owed.append((now + pause * self.settings.balancer_index, fresh))

    def draw_subset(self, now: float) -> None:
        """Few endpoints with room for few connections can't take one from every copy: each draws from a
        stable arc of the sorted ids, placed by its own number so that all are covered evenly."""
        self.ready = [self.endpoints[k] for k in sorted(self.endpoints)]
        self.progress = max([e.progressed_at for e in self.ready], default=0.0)
        local = [e for e in self.ready if e.entry.zone == self.settings.zone]
        split = 2 * len(local) * max(1, len(self.settings.zones)) >= len(self.ready) > len(local)
        self.near = self.arc(local if split else self.ready)
        self.far = self.arc(self.ready) if split else []
        # A turn of a cold endpoint comes with what each warm one is sent; where most are cold, with no more
        # than 1.5 times the even share, so that a fleet that restarts as one is not pushed over.
        self.capacity = max(sum(self.warmth(now, e) for e in self.near), len(self.near) / 1.5, 1.0)
        before, self.subset = self.subset, {e.entry.endpoint: e for e in self.near + self.far}
        for name, e in self.subset.items():
            if before.get(name) is not e:  # its first turn is drawn, or copies told together would all send
                e.next_turn = self.ramp + self.random.random() / self.warmth(now, e)

    def arc(self, pool: list[Endpoint]) -> list[Endpoint]:
        size, copies = len(pool), self.settings.balancer_count
        start = self.settings.balancer_index * size // copies
        return (pool + pool)[start : start + min(size, max(NEAR, ceil(size * SHARERS / copies)))]
