"""The second rule: no duplicate effect, and no attempt of a request that is over.

Attempts are judged as they arrive whole at a node, by the instants at which they were sent:

- unsafe: none may arrive while another has arrived that was not turned away; nor may it have been refused;
- keyed: none may have been sent past the window, counted from the first that may have run;
- none at all beyond `max_attempts`, and where second copies are not allowed, none sent while one is out;
- none of a request that was over for its sidecar before it was sent.

An answer's sidecar knows of it when it writes it. Where that instant is not told, its caller's serves: later,
so that nothing lawful is blamed. A caller's leaving, and the end of another attempt, are known to the sidecar
(or, of what it ends itself, to the node) only by the way of a link, and `Links` says how long that may take.
"""

from __future__ import annotations

from collections import deque

from wheatring.lab.plan import ClassPlan, Plan
from wheatring.lab.rules.breaches import Breaches
from wheatring.lab.rules.links import Links
from wheatring.lab.rules.requests import Attempt, Request

SOCKET_TOLERANCE_SECONDS = 0.05  # by which every time limit is longer on sockets
EFFECT_MEMORY_SECONDS = 60.0  # seconds beyond any window and deadline for which a key's effect is remembered


class Duplicates:
    """Judges attempts against the rule on duplicates. Instants are seconds of the world."""

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
        self.effects_by_age: deque[tuple[float, str]] = deque()  # the same, the oldest first, to be forgotten

    def check_arrival(self, request: Request, attempt: Attempt) -> None:
        """Judge an attempt that is not the first, or of a request that is over."""
        if request.end:
            self._check_ended_request(request, attempt)
        others = request.attempts[:-1]
        if len([other for other in others if other.sent_at >= request.taken_at]) == self.max_attempts:
            self._add_breach(request, attempt, f"More than {self.max_attempts} attempts were made.")
        if not self.allows_hedging:
            for other in others:
                if not other.in_flight:  # the others are judged once they end
                    self._check_order(request, other, attempt)
        ran = [other for other in others if not other.rejected]
        if not ran:
            return
        plan = self.classes[request.class_index]
        if plan.effect == "unsafe":
            what = f"Unsafe, it was sent again though its attempt at {ran[0].node} may have run."
            self._add_breach(request, attempt, what)
        elif plan.effect == "keyed":
            since = min([other.sent_at for other in ran])
            if attempt.sent_at > since + plan.window + SOCKET_TOLERANCE_SECONDS:
                delay = attempt.sent_at - since
                what = f"It was sent again {delay:.3f} s after an attempt that may have run."
                self._add_breach(request, attempt, what)

    def _check_ended_request(self, request: Request, attempt: Attempt) -> None:
        over, known = request.end, request.ended_at
        if over == "unknown" and request.is_excused:
            return
        if over == "unknown":
            self._add_breach(request, attempt, "Nobody waits for a request of this name, or has for long.")
            return
        if over == "left":
            caller = self.links.caller_of(request.sidecar)
            known += self.links.delivery_seconds(caller, request.sidecar, known)
            if self.links.was_cut(caller, request.sidecar, request.ended_at, known):
                return
        if attempt.sent_at > known and not request.is_excused:
            what = f"It was sent {attempt.sent_at - request.ended_at:.6f} s after it was over ({over})."
            self._add_breach(request, attempt, what)
        elif over == "refused" and self.classes[request.class_index].effect == "unsafe":
            self._add_breach(request, attempt, "Unsafe, it was refused while an attempt was on its way.")

    def check_overlap(self, request: Request, attempt: Attempt) -> None:
        """Judge an attempt that has ended, or is still in flight at the end, where hedging is not allowed."""
        for other in request.attempts:
            if other is not attempt:
                self._check_order(request, attempt, other)

    def _check_order(self, request: Request, earlier: Attempt, later: Attempt) -> None:
        """Of these two, the one that was sent earlier has ended."""
        if earlier.sent_at > later.sent_at:
            return
        until = earlier.ended_at
        if until > later.sent_at + self.links.max_delay and not self.links.was_cut(
            request.sidecar, earlier.node, later.sent_at, until
        ):
            self._add_breach(request, later, f"It was sent while its attempt at {earlier.node} was out.")

    def check_rejection(self, request: Request) -> None:
        """Judge a rejection after attempts that were not turned away."""
        if self.classes[request.class_index].effect == "unsafe":
            what = "Unsafe, it was refused though an attempt may have run."
            sidecar, ident = request.sidecar, request.ident
            self.breaches.add("duplicate", what, ident=ident, sidecar=sidecar)

    def check_effect(self, node: str, ident: str, key: str, plan: ClassPlan | None, at: float) -> None:
        """Judge the effect of an attempt; `plan` is that of its class, None where it is not remembered."""
        if plan is not None and plan.effect == "safe":
            return
        if plan is None:
            window = self.window
        else:
            window = plan.window if plan.effect == "keyed" else self.effect_memory
        before = self.last_effect_at.get(key)
        if before is not None and at - before < window - 1e-9:
            what = f"Its key had its effect twice within {at - before:.3f} s."
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
