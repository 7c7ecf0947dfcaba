"""The part of the invariant checker for events of requests and their attempts, the most frequent ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from wheatring.lab.event_recorder import ResponseKind
from wheatring.lab.plan import Plan
from wheatring.lab.rules.answers import Answers
from wheatring.lab.rules.breaches import Breaches, MisuseError
from wheatring.lab.rules.duplicates import SOCKET_TOLERANCE_SECONDS, Duplicates
from wheatring.lab.rules.figures import Figures
from wheatring.lab.rules.links import Links
from wheatring.lab.rules.requests import Attempt, Request, RequestEnd
from wheatring.lab.rules.trace import FirstRequestLookup, Trace, text
from wheatring.lab.rules.work_accounting import WorkAccounting

REQUEST_MEMORY_SECONDS = 10.0  # how long an ended request is kept, for attempts still on their way


class RequestChecker:
    """Checks the events of requests and attempts against the rules."""

    def __init__(
        self,
        plan: Plan,
        now: Callable[[], float],
        start: float,
        trace: Trace | None,
        first_request_of: FirstRequestLookup | None,
    ) -> None:
        self.plan = plan
        self.now = now
        self.start = start
        self.trace = trace
        self.breaches = Breaches(now, start, trace)
        self.links = Links(plan, start)
        self.grace = plan.rules.grace + SOCKET_TOLERANCE_SECONDS
        self.answers = Answers(self.grace, self.links, self.breaches)
        self.duplicates = Duplicates(plan, self.links, self.breaches)
        self.figures = Figures(plan, start)
        self.max_open = plan.limits.max_open
        self.forbids_hedging = not plan.limits.second_copies
        self.front = {each.name for each in plan.sidecars}
        self.work = WorkAccounting(plan, self.front, first_request_of)
        self.tier_of = {each.name: each.tier for each in plan.nodes}
        self.requests: dict[str, Request] = {}
        self.open_requests: dict[str, dict[str, Request]] = {}  # unanswered requests, by sidecar
        self.ended_requests: deque[Request] = deque()  # oldest first
        self.down_sidecars: set[str] = set()
        self.last_down_at: dict[str, float] = {}  # last end of the process, by sidecar
        # Indices of breaches whose request is not known yet, by sidecar, node and time of sending.
        self.unidentified_drain_breaches: dict[tuple[str, str, float], int] = {}
        self.response_count = 0
        # Counts
        self.attempts_by_tier = [0 for _ in plan.tiers]
        self.end_counts = {"served": 0, "refused": 0, "failed": 0, "lost": 0, "left": 0, "unknown": 0}
        self.taken_count = self.client_attempt_count = 0
        self.rejected_count = self.effect_count = 0
        self.unsent_count = 0
        self.unsent_value = 0.0

    def day_seconds(self, at: float) -> float:
        """Return the seconds from the start of the day to `at`."""
        return round(at - self.start, 9)

    # Requests

    def taken(self, sidecar: str, ident: str, index: int, key: str, deadline: float) -> None:
        """Record that a sidecar has taken a request; `deadline` is on the world's clock."""
        at = self.now()
        requests, open_requests = self.requests, self.open_requests.get(sidecar)
        if open_requests is None:
            open_requests = self.open_requests[sidecar] = {}
        request = Request(ident, sidecar, index, at, deadline)
        if ident in requests:
            self._check_retaken(request, requests[ident])
        requests[ident] = request
        if sidecar in self.down_sidecars:
            request.is_excused = True
        else:
            open_requests[ident] = request
            if len(open_requests) > self.max_open:
                what = f"{sidecar} has {len(open_requests)} requests open, and may have {self.max_open}."
                self.breaches.add("bounds", what, ident=ident, sidecar=sidecar)
        self.taken_count += 1
        if sidecar in self.front:
            self.client_attempt_count += 1
            figures = self.figures
            (figures.current if at < figures.current_end else figures.second(at)).tries += 1
        ended = self.ended_requests
        if ended and ended[0].ended_at < at - REQUEST_MEMORY_SECONDS:
            self._evict_ended(at - REQUEST_MEMORY_SECONDS)
        if self.trace is not None:
            details = f"index={index} key={key} deadline={self.day_seconds(deadline)!r}"
            self.trace.line(at, ident, f"taken sidecar={sidecar} ident={ident} {details}")

    def _check_retaken(self, request: Request, previous: Request) -> None:
        """Check that a request is taken again only if its caller had to send it to another sidecar."""
        if previous.end != "unknown" and not (previous.is_excused and not previous.end):
            raise MisuseError(f"{request.ident}: taken again ({previous.end or 'still open'})")
        for attempt in previous.attempts:  # they don't belong to the sidecar that has the request now
            attempt.rejected = True
        request.attempts, request.attempts_in_flight = previous.attempts, previous.attempts_in_flight

    def _evict_ended(self, until: float) -> None:
        ended, requests = self.ended_requests, self.requests
        while ended and ended[0].ended_at < until:
            request = ended.popleft()
            if request.attempts_in_flight:
                request.is_expired = True  # removed when its last attempt ends
            elif requests.get(request.ident) is request:
                del requests[request.ident]

    def _end_request(self, sidecar: str, ident: str, end: RequestEnd, at: float) -> Request:
        """Record the end of a request that was taken; return the request."""
        request = self.requests.get(ident)
        if request is None or request.end or request.sidecar != sidecar:
            state = "not taken" if request is None else request.end or f"taken by {request.sidecar}"
            raise MisuseError(f"{ident} at {sidecar}: {end} after it was {state}")
        request.end = end
        request.ended_at = at
        self.ended_requests.append(request)
        self.open_requests[sidecar].pop(ident, None)
        self.end_counts[end] += 1
        return request

    def answered(
        self,
        sidecar: str,
        ident: str,
        kind: ResponseKind,
        stamp: str,
        retry_after: float,
        written: float | None = None,
    ) -> None:
        """Record an answer of a sidecar; `written` is the time at which it was written, if known."""
        at = self.now()
        request = self._end_request(sidecar, ident, kind, at)
        if written is not None:
            request.ended_at = written
        if at > request.deadline:
            self.answers.check_late(request, at)
        if kind == "served":
            attempt = self.answers.find_attempt(request, stamp)
            if attempt is not None:
                self.work.record_answer(request, attempt)
        else:
            if request.attempts:
                if kind == "refused" and request.may_have_run():
                    self.duplicates.check_rejection(request)
            elif at - request.taken_at > 0.5 * (request.deadline - request.taken_at):
                self._record_unsent(request)
        if self.trace is not None:
            line = f"answered sidecar={sidecar} ident={ident} kind={kind} stamp={stamp}"
            self.trace.line(at, ident, f"{line} retry_after={retry_after!r}")

    def _record_unsent(self, request: Request) -> None:
        if request.sidecar in self.front and not request.attempts and not request.is_excused:
            self.unsent_count += 1
            self.unsent_value += self.plan.classes[request.class_index].worth

    def lost(self, sidecar: str, ident: str, why: str) -> None:
        """Record that a sidecar has lost a request that it had taken."""
        at = self.now()
        request = self._end_request(sidecar, ident, "lost", at)
        self.answers.check_lost(request, why)
        self._record_unsent(request)
        if self.trace is not None:
            self.trace.line(at, ident, f"lost sidecar={sidecar} ident={ident} why={text(why)}")

    def untaken(self, sidecar: str, ident: str) -> None:
        """Record that a request turned out never to have been taken."""
        at = self.now()
        request = self._end_request(sidecar, ident, "unknown", at)
        if not request.is_excused and request.attempts:
            self.answers.check_dropped(request)
        if self.trace is not None:
            self.trace.line(at, ident, f"untaken sidecar={sidecar} ident={ident}")

    def left(self, sidecar: str, ident: str) -> None:
        """Record that the caller of a request has left."""
        at = self.now()
        request = self._end_request(sidecar, ident, "left", at)
        if at >= request.deadline:
            self.answers.check_unanswered(request, at)
            self._record_unsent(request)
        if self.trace is not None:
            self.trace.line(at, ident, f"left sidecar={sidecar} ident={ident}")

    # Attempts

    def arrived(self, sidecar: str, node: str, ident: str, sent: float | None = None) -> None:
        """Record that an attempt has arrived completely at a node; `sent` is when it was sent, if known."""
        at = self.now()
        request = self.requests.get(ident)
        if request is None:
            request = self.requests[ident] = Request(ident, sidecar, 0, at, at)
            request.end, request.ended_at = "unknown", at
            request.is_excused = (
                sent is not None and sent < at - REQUEST_MEMORY_SECONDS
            )  # its request may have ended and been removed
            self.ended_requests.append(request)
        attempt = Attempt(node, at - self.links.max_delay if sent is None else sent, at)
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if request.sidecar != sidecar:
            self._check_owner(sidecar, request, attempt)
        elif request.end or len(request.attempts) > 1:
            self.duplicates.check_arrival(request, attempt)
        if self.unidentified_drain_breaches:
            index = self.unidentified_drain_breaches.pop((sidecar, node, attempt.sent_at), None)
            if index is not None:
                self.breaches.set_ident(index, ident)
        figures = self.figures
        (figures.current if at < figures.current_end else figures.second(at)).attempts += 1
        self.attempts_by_tier[self.tier_of[node]] += 1
        work = self.work
        if node in work.attempts_by_first:
            work.begin_attempt(ident, attempt)
        if self.trace is not None:
            line = f"arrived sidecar={sidecar} node={node} ident={ident}"
            self.trace.line(at, ident, f"{line} sent={self.day_seconds(attempt.sent_at)!r}")

    def _check_owner(self, sidecar: str, request: Request, attempt: Attempt) -> None:
        """Check an attempt of a sidecar without the request: valid only if its process has ended."""
        attempt.rejected = True
        if self.last_down_at.get(sidecar, self.start - 1.0) < attempt.sent_at:
            what = f"{sidecar} sent a request that is held by {request.sidecar}."
            self.breaches.add("duplicate", what, ident=request.ident, sidecar=sidecar, node=attempt.node)

    def _attempt_in_flight(self, node: str, ident: str, what: str) -> Attempt:
        """Return the oldest attempt in flight at a node."""
        request = self.requests.get(ident)
        if request is not None:
            for attempt in request.attempts:
                if attempt.in_flight and attempt.node == node:
                    return attempt
        raise MisuseError(f"{ident} at {node}: {what} without an attempt in flight")

    def turned_away(self, node: str, ident: str) -> None:
        """Record that a node has turned an attempt away before it ran."""
        request = self.requests.get(ident)
        for attempt in reversed(request.attempts if request is not None else ()):
            if attempt.node == node and not attempt.rejected and not attempt.stamp:
                attempt.rejected = True
                break
        else:
            raise MisuseError(f"{ident} at {node}: turned away without an attempt")
        self.rejected_count += 1
        figures, at = self.figures, self.now()
        (figures.current if at < figures.current_end else figures.second(at)).turned_away += 1
        if self.trace is not None:
            self.trace.line(at, ident, f"turned_away node={node} ident={ident}")

    def made(self, node: str, ident: str) -> str:
        """Record that a node has made an answer; return the stamp that identifies it."""
        self.response_count += 1
        stamp = f"{self.response_count:x}-{ident}"
        request = self.requests.get(ident)
        attempt = request.attempts[0] if request is not None and request.attempts else None
        if attempt is None or not attempt.in_flight or attempt.node != node:
            attempt = self._attempt_in_flight(node, ident, "made")
        attempt.stamp = stamp
        if self.trace is not None:
            self.trace.line(self.now(), ident, f"made node={node} ident={ident} stamp={stamp}")
        return stamp

    def effect(self, node: str, ident: str, key: str) -> None:
        """Record that running an attempt had an effect."""
        self.effect_count += 1
        at, request = self.now(), self.requests.get(ident)
        if key:
            is_known = request is not None and request.end != "unknown"
            plan = self.plan.classes[request.class_index] if request is not None and is_known else None
            self.duplicates.check_effect(node, ident, key, plan, at)
        if self.trace is not None:
            self.trace.line(at, ident, f"effect node={node} ident={ident} key={key}")

    def worked(self, node: str, ident: str, work: float) -> None:
        """Record the work (seconds on a standard core) that a node has done for an attempt."""
        self.work.record_work(node, self.requests.get(ident), work)
        if self.trace is not None:
            self.trace.line(self.now(), ident, f"worked node={node} ident={ident} work={work!r}")

    def ended(self, node: str, ident: str) -> None:
        """Record that an attempt is no longer in flight."""
        request = self.requests.get(ident)
        attempt = request.attempts[0] if request is not None and request.attempts else None
        if request is None or attempt is None or not attempt.in_flight or attempt.node != node:
            attempt = self._attempt_in_flight(node, ident, "ended")
            request = self.requests[ident]
        if len(request.attempts) > 1:  # of several at one node, choose the one with a reply
            for each in request.attempts:
                if each.in_flight and each.node == node and (each.rejected or each.stamp):
                    attempt = each
                    break
        at = self.now()
        attempt.in_flight = False
        attempt.ended_at = at
        request.attempts_in_flight -= 1
        if self.forbids_hedging and len(request.attempts) > 1:
            self.duplicates.check_overlap(request, attempt)
        if request.is_expired and not request.attempts_in_flight:
            del self.requests[ident]
        if self.trace is not None:
            self.trace.line(at, ident, f"ended node={node} ident={ident}")
