"""The clients: each first try is followed by retries, and ends once."""

from __future__ import annotations

from functools import partial
from random import Random

from wheatring.lab.correlation import CorrelationTable, OriginalRequest
from wheatring.lab.event_recorder import EventRecorder, FirstTryEnd
from wheatring.lab.models.front_load_balancer import FrontLoadBalancer
from wheatring.lab.models.request_transport import (
    LATE_ANSWER_WAIT,
    PendingRequest,
    RequestOutcome,
    RequestTransport,
    SidecarRequest,
)
from wheatring.lab.models.traffic import Traffic
from wheatring.lab.plan import Plan
from wheatring.lab.timers import Timer, Timers

MIN_TRY_TIME = 0.001  # seconds left for a retry; the wire format can't express less

# The end of a first try by the outcome of its last try.
FIRST_TRY_ENDS: dict[RequestOutcome, FirstTryEnd] = {
    "served": "served",
    "refused": "refused",
    "failed": "failed",
    "unreached": "failed",
    "lost": "failed",
}


class Clients:
    """All clients of the day.

    The behaviour of a client is drawn at its arrival, so that two runs of a plan with different sidecars
    differ only in the sidecars' answers.

    Parameters
    ----------
    plan
        The plan.
    timers
        The clock.
    random
        Draws the clients' behaviour.
    correlation_table
        Records the origin of each try.
    recorder
        Records first tries and their ends.
    front
        Chooses the sidecar of each try.
    transport
        Carries the tries to the sidecars.
    """

    def __init__(
        self,
        plan: Plan,
        timers: Timers,
        random: Random,
        correlation_table: CorrelationTable,
        recorder: EventRecorder,
        front: FrontLoadBalancer,
        transport: RequestTransport,
    ) -> None:
        self.classes = plan.classes
        self.plan = plan.clients
        self.timers = timers
        self.random = random
        self.correlation_table = correlation_table
        self.recorder = recorder
        self.front = front
        self.transport = transport
        self.traffic = Traffic(plan, timers, self.arrive)
        self.open_count = 0  # number of first tries that have not ended

    def start(self) -> None:
        """Start the day now."""
        self.traffic.start()

    def arrive(self, origin: OriginalRequest) -> None:
        """Start a first try."""
        self.open_count += 1
        self.recorder.asked(origin.first, origin.class_index)
        _FirstTry(self, origin).start_try()

    def draw_jitter(self) -> list[float]:
        """Draw the jitter factors on the backoffs of one client, by retry."""
        if self.plan.backoff != "exp":
            return []
        return [0.5 + self.random.random() for _ in range(self.plan.retries)]

    def draw_patience(self) -> list[float]:
        """Draw the share of each try's time after which one client gives up, 1 if it does not."""
        draw = self.random.random
        if not self.plan.impatient:
            return []
        drawn = [(draw(), draw()) for _ in range(self.plan.retries + 1)]
        return [part if chance < self.plan.impatient else 1.0 for chance, part in drawn]


class _FirstTry:
    """One first try and its retries."""

    __slots__ = (
        "class_plan", "clients", "deadline", "heeds_retry_after", "jitter", "may_have_run_since", "origin",
        "patience", "pending", "timer", "tries", "try_started_at",
    )  # fmt: skip

    def __init__(self, clients: Clients, origin: OriginalRequest) -> None:
        plan = clients.plan
        self.clients = clients
        self.origin = origin
        self.class_plan = clients.classes[origin.class_index]
        self.deadline = clients.timers.now() + self.class_plan.deadline
        self.tries = 0
        self.try_started_at = 0.0
        self.may_have_run_since: float | None = None  # start of the earliest try that may have run
        self.heeds_retry_after = plan.honour >= 1 or (
            plan.honour > 0 and clients.random.random() < plan.honour
        )
        self.jitter = clients.draw_jitter()
        self.patience = clients.draw_patience()
        self.pending: PendingRequest | None = None
        self.timer: Timer | None = None

    def start_try(self) -> None:
        """Make the next try.

        Its time-out is a share of the time left if a further retry is allowed, otherwise all of it.
        """
        clients, plan, origin = self.clients, self.clients.plan, self.origin
        now = self.try_started_at = clients.timers.now()
        end = self.deadline
        if self.tries < plan.retries:
            end = now + (end - now) * plan.try_share
        patience = self.patience[self.tries] if self.patience else 1.0
        self.tries += 1
        ident = clients.correlation_table.new(origin)
        sidecar = clients.front.pick()
        if sidecar is None:
            self.retry_or_settle("unreached", 0.0)
            return
        # Set before the request is sent, so that an answer at the instant of the time-out is too late.
        if patience < 1:
            self.timer = clients.timers.at(now + (end - now) * patience, self.give_up)
        else:
            self.timer = clients.timers.at(end, self.on_timeout)
        request = SidecarRequest(
            sidecar=sidecar,
            ident=ident,
            index=origin.class_index,
            time_left=end - now,
            key=origin.key,
            is_marked_retry=plan.marks_retry and self.tries > 1,
        )
        self.pending = clients.transport.send(request, partial(self.on_response, self.tries))

    def on_response(self, number: int, outcome: RequestOutcome, retry_after: float) -> None:
        """Handle the outcome of a try, unless the try has timed out."""
        if self.pending is None or number != self.tries:
            return
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.pending = None
        if outcome == "served":
            self.settle("served")
        else:
            self.retry_or_settle(outcome, retry_after)

    def on_timeout(self) -> None:
        """Handle the time-out of a try: retry, and keep its connection open for a late answer."""
        pending, self.pending = self.pending, None
        timers = self.clients.timers
        if pending is not None:
            timers.at(timers.now() + LATE_ANSWER_WAIT, pending.abandon)
        self.timer = None
        self.retry_or_settle(None, 0.0)

    def give_up(self) -> None:
        """Abandon the try early, without a retry."""
        self.timer = None
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.abandon()
        self.settle("left")

    def retry_or_settle(self, outcome: RequestOutcome | None, retry_after: float) -> None:
        """Retry if the client may and has time left, otherwise end the first try.

        Parameters
        ----------
        outcome
            The outcome of the last try; None if it timed out.
        retry_after
            The answer's Retry-After in seconds, 0 for none.
        """
        clients = self.clients
        if outcome != "refused" and outcome != "unreached" and self.may_have_run_since is None:
            self.may_have_run_since = self.try_started_at
        end: FirstTryEnd = "timeout" if outcome is None else FIRST_TRY_ENDS[outcome]
        if self.tries > clients.plan.retries:
            self.settle(end)
            return
        wait = self.backoff(retry_after)
        at = clients.timers.now() + wait
        if at + MIN_TRY_TIME > self.deadline or not self.may_repeat_at(at):
            self.settle(end)
        elif wait:
            clients.timers.at(at, self.start_try)
        else:
            self.start_try()

    def backoff(self, retry_after: float) -> float:
        """Return the seconds to wait before the next try."""
        plan = self.clients.plan
        wait = 0.0
        if plan.backoff == "fixed":
            wait = plan.backoff_base
        elif plan.backoff == "exp":
            wait = plan.backoff_base * 2.0 ** (self.tries - 1) * self.jitter[self.tries - 1]
        if self.heeds_retry_after:
            wait = max(wait, min(retry_after, plan.max_retry_after))
        return wait

    def may_repeat_at(self, at: float) -> bool:
        """Return whether the class allows a retry at an instant although an earlier try may have run."""
        effect = self.class_plan.effect
        if self.may_have_run_since is None or effect == "safe":
            return True
        return effect == "keyed" and at < self.may_have_run_since + self.class_plan.window

    def settle(self, end: FirstTryEnd) -> None:
        """End the first try."""
        clients = self.clients
        clients.open_count -= 1
        clients.recorder.settled(self.origin.first, end, self.tries)
