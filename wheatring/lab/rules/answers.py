"""The first rule: each request gets one final answer in time, and a served answer comes from a node.

A sidecar must answer a request by its deadline plus a grace, which covers link delays. If the caller leaves
earlier, no answer is required. Requests in flight at a killed sidecar are excused, except those that it took
more than 0.7 s after SIGTERM: it should have stopped listening by then. Requests that a sidecar has not
answered when it exits on its own are lost. A partition between sidecar and caller excuses the answers that it
may have delayed.
"""

from __future__ import annotations

from wheatring.lab.rules.breaches import Breaches
from wheatring.lab.rules.links import Links
from wheatring.lab.rules.requests import Attempt, Request

ARRIVAL_AFTER_STOP_SECONDS = 0.7  # how long after SIGTERM a sidecar may still accept requests
ROUNDING_SECONDS = 1e-9  # rounding error of sums of times


class Answers:
    """Checks how each request ended at its sidecar. Times are in seconds."""

    def __init__(self, grace: float, links: Links, breaches: Breaches) -> None:
        self.grace = grace
        self.links = links
        self.breaches = breaches

    def check_late(self, request: Request, at: float) -> None:
        """Check an answer that came after the deadline of its request."""
        if at > request.deadline + self.grace + ROUNDING_SECONDS and not self._is_excused(request):
            delay = at - request.deadline
            self._add_breach(request, f"{request.sidecar} answered {delay:.3f} s after the deadline.")

    def check_unanswered(self, request: Request, at: float) -> None:
        """Check a request still unanswered at time `at`, when its caller gave up or its sidecar ended."""
        due_at = request.deadline + self.grace - ROUNDING_SECONDS
        if at >= due_at and not request.is_excused and not self._is_excused(request):
            what = f"{request.sidecar} had given no answer {self.grace} s after the deadline."
            self._add_breach(request, what)

    def check_lost(self, request: Request, why: str) -> None:
        """Check a request that its sidecar lost after taking it."""
        if request.is_excused or self._was_cut(request.sidecar, request.taken_at, self.breaches.now()):
            return
        self._add_breach(request, f"{request.sidecar} lost a request that it had taken: {why}.")

    def check_dropped(self, request: Request) -> None:
        """Report a connection closed as if idle, though an attempt shows that a request was read from it."""
        if not request.is_excused:
            what = f"{request.sidecar} had read the request, and closed its connection unanswered."
            self._add_breach(request, what)

    def find_attempt(self, request: Request, stamp: str) -> Attempt | None:
        """Return the attempt that made the answer; report a breach and return None if there is none."""
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
