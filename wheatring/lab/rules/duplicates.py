"""The second rule: no duplicate effect, and no attempt for a request that has ended.

Each attempt is checked when it has arrived completely at a node, by the time at which it was sent:

- unsafe requests: no further attempt if an earlier one may have run, and no attempt in flight when the
  request is refused;
- keyed requests: no attempt after the key's window, counted from the first attempt that may have run;
- never more than `max_attempts`, and no second attempt while one is in flight if hedging is not allowed;
- no attempt sent after the request had ended for its sidecar.

A request with an answer ends for its sidecar when the answer is written. If that time is not reported, the
time at which the caller received it is used: it is later, so no false breach is reported. A sidecar learns
that a caller has left or that an attempt has ended, and a node learns that the sidecar has cancelled an
attempt, only after a link delay; `Links` gives its upper bound.
"""

from __future__ import annotations

from collections import deque

from wheatring.lab.plan import ClassPlan, Plan
from wheatring.lab.rules.breaches import Breaches
from wheatring.lab.rules.links import Links
from wheatring.lab.rules.requests import Attempt, Request

SOCKET_TOLERANCE_SECONDS = 0.05  # added to every time limit, for delays of real sockets
EFFECT_MEMORY_SECONDS = 60.0  # how long a key's effect is kept beyond any window and deadline


class Duplicates:
    """Checks attempts against the rule on duplicates. Times are seconds on the world's clock."""

    def __init__(self, plan: Plan, links: Links, breaches: Breaches) -> None:
        self.classes = plan.classes
        self.max_attempts = plan.limits.max_attempts
        self.allows_hedging = plan.limits.second_copies
        self.links = links
        self.breaches = breaches
        self.window = max([each.window for each in plan.classes if each.effect == "keyed"], default=0.0)
        longest = max([self.window, *(each.deadline for each in plan.classes)])
        self.effect_memory = longest + EFFECT_MEMORY_SECONDS
        self.last_effect_at: dict[str, float] = {}  # by key
        self.effects_by_age: deque[tuple[float, str]] = deque()  # oldest first, for eviction

    def check_arrival(self, request: Request, attempt: Attempt) -> None:
        """Check an attempt that is not the first, or whose request has ended."""
        if request.end:
            self._check_ended_request(request, attempt)
        others = request.attempts[:-1]
        if len([other for other in others if other.sent_at >= request.taken_at]) == self.max_attempts:
            self._add_breach(request, attempt, f"More than {self.max_attempts} attempts were made.")
        if not self.allows_hedging:
            for other in others:
                if not other.in_flight:  # attempts in flight are checked when they end
                    self._check_order(request, other, attempt)
        may_have_run = [other for other in others if not other.rejected]
        if not may_have_run:
            return
        plan = self.classes[request.class_index]
        if plan.effect == "unsafe":
            what = f"Unsafe, it was sent again though its attempt at {may_have_run[0].node} may have run."
            self._add_breach(request, attempt, what)
        elif plan.effect == "keyed":
            since = min([other.sent_at for other in may_have_run])
            if attempt.sent_at > since + plan.window + SOCKET_TOLERANCE_SECONDS:
                delay = attempt.sent_at - since
                what = f"It was sent again {delay:.3f} s after an attempt that may have run."
                self._add_breach(request, attempt, what)

    def _check_ended_request(self, request: Request, attempt: Attempt) -> None:
        end, known_at = request.end, request.ended_at
        if end == "unknown" and request.is_excused:
            return
        if end == "unknown":
            self._add_breach(request, attempt, "Nobody waits for a request of this name, or has for long.")
            return
        if end == "left":
            caller = self.links.caller_of(request.sidecar)
            known_at += self.links.delivery_seconds(caller, request.sidecar, known_at)
            if self.links.was_cut(caller, request.sidecar, request.ended_at, known_at):
                return
        if attempt.sent_at > known_at and not request.is_excused:
            what = f"It was sent {attempt.sent_at - request.ended_at:.6f} s after it was over ({end})."
            self._add_breach(request, attempt, what)
        elif end == "refused" and self.classes[request.class_index].effect == "unsafe":
            self._add_breach(request, attempt, "Unsafe, it was refused while an attempt was on its way.")

    def check_overlap(self, request: Request, attempt: Attempt) -> None:
        """Check an attempt that has ended, or is still in flight at the end, if hedging is not allowed."""
        for other in request.attempts:
            if other is not attempt:
                self._check_order(request, attempt, other)

    def _check_order(self, request: Request, earlier: Attempt, later: Attempt) -> None:
        """Check that `earlier` had ended before `later` was sent, unless they were sent in reverse order."""
        if earlier.sent_at > later.sent_at:
            return
        until = earlier.ended_at
        if until > later.sent_at + self.links.max_delay and not self.links.was_cut(
            request.sidecar, earlier.node, later.sent_at, until
        ):
            self._add_breach(request, later, f"It was sent while its attempt at {earlier.node} was out.")

    def check_rejection(self, request: Request) -> None:
        """Check a refusal after attempts that may have run."""
        if self.classes[request.class_index].effect == "unsafe":
            what = "Unsafe, it was refused though an attempt may have run."
            sidecar, ident = request.sidecar, request.ident
            self.breaches.add("duplicate", what, ident=ident, sidecar=sidecar)

    def check_effect(self, node: str, ident: str, key: str, plan: ClassPlan | None, at: float) -> None:
        """Check the effect of an attempt; `plan` is its class, None if the request is no longer known."""
        if plan is not None and plan.effect == "safe":
            return
        if plan is None:
            window = self.window
        else:
            window = plan.window if plan.effect == "keyed" else self.effect_memory
        last_at = self.last_effect_at.get(key)
        if last_at is not None and at - last_at < window - 1e-9:
            what = f"Its key had its effect twice within {at - last_at:.3f} s."
            self.breaches.add("duplicate", what, ident=ident, node=node)
        self.last_effect_at[key] = at
        effects_by_age = self.effects_by_age
        effects_by_age.append((at, key))
        while effects_by_age[0][0] < at - self.effect_memory:
            since, key = effects_by_age.popleft()
            if self.last_effect_at.get(key) == since:
                del self.last_effect_at[key]

    def _add_breach(self, request: Request, attempt: Attempt, what: str) -> None:
        breaches, sidecar = self.breaches, request.sidecar
        breaches.add("duplicate", what, ident=request.ident, sidecar=sidecar, node=attempt.node)
