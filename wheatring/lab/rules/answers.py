"""The first rule, and what is served: whether the end of a request is what its sidecar owed it.

A request is owed one final answer by its deadline and the grace, in which the share of links is. Its caller
is there until then: one that leaves earlier is owed nothing. What a killed sidecar had in flight is excused,
but not what it had taken more than 0.7 s after SIGTERM: it should have stopped listening by then. What a
sidecar that ends by itself has not answered is lost. A partition between both sides excuses what it may have
delayed.
"""

from __future__ import annotations

from wheatring.lab.rules.breaches import Breaches
from wheatring.lab.rules.links import Links
from wheatring.lab.rules.requests import Attempt, Request

ARRIVAL_AFTER_STOP_SECONDS = 0.7  # seconds after SIGTERM in which requests may still come
ROUNDING_SECONDS = 1e-9  # what sums of instants may be off by


class Answers:
    """Judges each end of a request against what its sidecar owed it. Times are seconds."""

    def __init__(self, grace: float, links: Links, breaches: Breaches) -> None:
        self.grace = grace
        self.links = links
        self.breaches = breaches

    def check_late(self, request: Request, at: float) -> None:
        """Judge an answer at an instant past the deadline of its request."""
        if at > request.deadline + self.grace + ROUNDING_SECONDS and not self._is_excused(request):
            over = at - request.deadline
            self._add_breach(request, f"{request.sidecar} answered {over:.3f} s after the deadline.")

    def check_unanswered(self, request: Request, at: float) -> None:
        """Judge a request without an answer at an instant: its caller gave up or its sidecar ended."""
        due = request.deadline + self.grace - ROUNDING_SECONDS
        if at >= due and not request.is_excused and not self._is_excused(request):
            what = f"{request.sidecar} had given no answer {self.grace} s after the deadline."
            self._add_breach(request, what)

    def check_lost(self, request: Request, why: str) -> None:
        """Judge a request that its sidecar lost after it had taken it."""
        if request.is_excused or self._was_cut(request.sidecar, request.taken_at, self.breaches.now()):
            return
        self._add_breach(request, f"{request.sidecar} lost a request that it had taken: {why}.")

    def check_dropped(self, request: Request) -> None:
        """Judge a connection closed as if between requests, though an attempt shows that one was read."""
        if not request.is_excused:
            what = f"{request.sidecar} had read the request, and closed its connection unanswered."
            self._add_breach(request, what)

    def find_attempt(self, request: Request, stamp: str) -> Attempt | None:
        """Return the attempt that made the answer; without one, the answer is a breach."""
        for attempt in request.attempts:
            if attempt.stamp == stamp and stamp:
                return attempt
        owner = stamp.partition("-")[2]
        if owner and owner != request.ident:
            what = f"{request.sidecar} served an answer that a node had made for the request {owner}."
        else:
            what = f"{request.sidecar} served an answer that no node had made."
        self.breaches.add("served", what, ident=request.ident, sidecar=request.sidecar)
        return None

    def _is_excused(self, request: Request) -> bool:
        return self._was_cut(request.sidecar, request.taken_at, request.deadline + self.grace)

    def _was_cut(self, sidecar: str, since: float, until: float) -> bool:
        return self.links.was_cut(sidecar, self.links.caller_of(sidecar), since, until)

    def _add_breach(self, request: Request, what: str) -> None:
        self.breaches.add("answer", what, ident=request.ident, sidecar=request.sidecar)
