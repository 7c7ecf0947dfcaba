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
        self.second_copies = plan.limits.second_copies
        self.links = links
        self.breaches = breaches
        self.window = max([each.window for each in plan.classes if each.effect == "keyed"], default=0.0)
        self.memory = max([self.window, *(each.deadline for each in plan.classes)]) + EFFECT_MEMORY_SECONDS
        self.effects: dict[str, float] = {}  # by key
        self.old: deque[tuple[float, str]] = deque()  # the same, the oldest first, to be forgotten

    def arrived(self, request: Request, attempt: Attempt) -> None:
        """Judge an attempt that is not the first, or of a request that is over."""
        if request.over:
            self._over(request, attempt)
        others = request.attempts[:-1]
        if len([other for other in others if other.sent >= request.taken]) == self.max_attempts:
            self._breach(request, attempt, f"More than {self.max_attempts} attempts were made.")
        if not self.second_copies:
            for other in others:
                if not other.out:  # the others are judged once they end
                    self._together(request, other, attempt)
        ran = [other for other in others if not other.away]
        if not ran:
            return
        plan = self.classes[request.index]
        if plan.effect == "unsafe":
            what = f"Unsafe, it was sent again though its attempt at {ran[0].node} may have run."
            self._breach(request, attempt, what)
        elif plan.effect == "keyed":
            since = min([other.sent for other in ran])
            if attempt.sent > since + plan.window + SOCKET_TOLERANCE_SECONDS:
                what = f"It was sent again {attempt.sent - since:.3f} s after an attempt that may have run."
                self._breach(request, attempt, what)

    def _over(self, request: Request, attempt: Attempt) -> None:
        over, known = request.over, request.over_at
        if over == "unknown" and request.forgiven:
            return
        if over == "unknown":
            self._breach(request, attempt, "Nobody waits for a request of this name, or has for long.")
            return
        if over == "left":
            caller = self.links.caller(request.sidecar)
            known += self.links.reach(caller, request.sidecar, known)
            if self.links.cut(caller, request.sidecar, request.over_at, known):
                return
        if attempt.sent > known and not request.forgiven:
            what = f"It was sent {attempt.sent - request.over_at:.6f} s after it was over ({over})."
            self._breach(request, attempt, what)
        elif over == "refused" and self.classes[request.index].effect == "unsafe":
            self._breach(request, attempt, "Unsafe, it was refused while an attempt was on its way.")

    def ended(self, request: Request, attempt: Attempt) -> None:
        """Judge an attempt that has ended, or is still in flight at the end, where hedging is not allowed."""
        for other in request.attempts:
            if other is not attempt:
                self._together(request, attempt, other)

    def _together(self, request: Request, earlier: Attempt, later: Attempt) -> None:
        """Of these two, the one that was sent earlier has ended."""
        if earlier.sent > later.sent:
            return
        until = earlier.ended
        if until > later.sent + self.links.most and not self.links.cut(
            request.sidecar, earlier.node, later.sent, until
        ):
            self._breach(request, later, f"It was sent while its attempt at {earlier.node} was out.")

    def refused(self, request: Request) -> None:
        """Judge a rejection after attempts that were not turned away."""
        if self.classes[request.index].effect == "unsafe":
            what = "Unsafe, it was refused though an attempt may have run."
            sidecar, ident = request.sidecar, request.ident
            self.breaches.add("duplicate", what, ident=ident, sidecar=sidecar)

    def effect(self, node: str, ident: str, key: str, plan: ClassPlan | None, at: float) -> None:
        """Judge the effect of an attempt; `plan` is that of its class, None where it is not remembered."""
        if plan is not None and plan.effect == "safe":
            return
        window = self.window if plan is None else plan.window if plan.effect == "keyed" else self.memory
        before = self.effects.get(key)
        if before is not None and at - before < window - 1e-9:
            what = f"Its key had its effect twice within {at - before:.3f} s."
            self.breaches.add("duplicate", what, ident=ident, node=node)
        self.effects[key] = at
        old = self.old
        old.append((at, key))
        while old[0][0] < at - self.memory:
            since, key = old.popleft()
            if self.effects.get(key) == since:
                del self.effects[key]

    def _breach(self, request: Request, attempt: Attempt, what: str) -> None:
        breaches, sidecar = self.breaches, request.sidecar
        breaches.add("duplicate", what, ident=request.ident, sidecar=sidecar, node=attempt.node)
