"""The part of the invariant checker for requests and their attempts, the most frequent events."""

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
from wheatring.lab.rules.requests import Attempt, Over, Request
from wheatring.lab.rules.trace import Family, Trace, text
from wheatring.lab.rules.work_accounting import WorkAccounting

REQUEST_MEMORY_SECONDS = 10.0  # for which a request that is over is remembered, for what is on its way


class RequestChecker:
    """Holds the events of requests and attempts to the rules."""

    def __init__(
        self,
        plan: Plan,
        now: Callable[[], float],
        start: float,
        trace: Trace | None,
        family: Family | None,
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
        self.alone = not plan.limits.second_copies  # an attempt must be
        self.front = {each.name for each in plan.sidecars}
        self.work = WorkAccounting(plan, self.front, family)
        self.tier_of = {each.name: each.tier for each in plan.nodes}
        self.requests: dict[str, Request] = {}
        self.held: dict[str, dict[str, Request]] = {}  # by sidecar: what it has taken and owes
        self.over: deque[Request] = deque()  # the oldest first
        self.down: set[str] = set()  # sidecars whose process has ended
        self.down_at: dict[str, float] = {}  # the last end of its process
        self.drain_at: dict[tuple[str, str, float], int] = {}  # breaches whose request is not known yet
        self.made_so_far = 0
        # Counts
        self.by_tier = [0 for _ in plan.tiers]
        self.ends = {"served": 0, "refused": 0, "failed": 0, "lost": 0, "left": 0, "unknown": 0}
        self.taken_count = self.tries = 0
        self.away = self.effects = 0
        self.unsent = 0
        self.unsent_worth = 0.0

    def since(self, instant: float) -> float:
        """As a time since the start of the day."""
        return round(instant - self.start, 9)

    # Requests

    def taken(self, sidecar: str, ident: str, index: int, key: str, deadline: float) -> None:
        """Note that a sidecar has taken a request with an absolute deadline (seconds)."""
        at = self.now()
        requests, held = self.requests, self.held.get(sidecar)
        if held is None:
            held = self.held[sidecar] = {}
        request = Request(ident, sidecar, index, at, deadline)
        if ident in requests:
            self._check_retaken(request, requests[ident])
        requests[ident] = request
        if sidecar in self.down:
            request.forgiven = True
        else:
            held[ident] = request
            if len(held) > self.max_open:
                what = f"{sidecar} has {len(held)} requests open, and may have {self.max_open}."
                self.breaches.add("bounds", what, ident=ident, sidecar=sidecar)
        self.taken_count += 1
        if sidecar in self.front:
            self.tries += 1
            figures = self.figures
            (figures.present if at < figures.until else figures.second(at)).tries += 1
        over = self.over
        if over and over[0].over_at < at - REQUEST_MEMORY_SECONDS:
            self._forget(at - REQUEST_MEMORY_SECONDS)
        if self.trace is not None:
            more = f"index={index} key={key} deadline={self.since(deadline)!r}"
            self.trace.line(at, ident, f"taken sidecar={sidecar} ident={ident} {more}")

    def _check_retaken(self, request: Request, before: Request) -> None:
        """Check that a request is taken again only where its caller had to send it elsewhere."""
        if before.over != "unknown" and not (before.forgiven and not before.over):
            raise MisuseError(f"{request.ident}: taken again ({before.over or 'still open'})")
        for attempt in before.attempts:  # these are no attempts of who has it now
            attempt.away = True
        request.attempts, request.out = before.attempts, before.out

    def _forget(self, until: float) -> None:
        over, requests = self.over, self.requests
        while over and over[0].over_at < until:
            request = over.popleft()
            if request.out:
                request.stale = True  # until the last of it has ended
            elif requests.get(request.ident) is request:
                del requests[request.ident]

    def _end(self, sidecar: str, ident: str, how: Over, at: float) -> Request:
        """Note that a request that was taken is over; return it."""
        request = self.requests.get(ident)
        if request is None or request.over or request.sidecar != sidecar:
            state = "not taken" if request is None else request.over or f"taken by {request.sidecar}"
            raise MisuseError(f"{ident} at {sidecar}: {how} after it was {state}")
        request.over = how
        request.over_at = at
        self.over.append(request)
        self.held[sidecar].pop(ident, None)
        self.ends[how] += 1
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
        """Note the answer of a sidecar, written at an instant that may be unknown."""
        at = self.now()
        request = self._end(sidecar, ident, kind, at)
        if written is not None:
            request.over_at = written
        if at > request.deadline:
            self.answers.late(request, at)
        if kind == "served":
            attempt = self.answers.served(request, stamp)
            if attempt is not None:
                self.work.record_answer(request, attempt)
        else:
            if request.attempts:
                if kind == "refused" and request.ran():
                    self.duplicates.refused(request)
            elif at - request.taken > 0.5 * (request.deadline - request.taken):
                self._unsent(request)
        if self.trace is not None:
            line = f"answered sidecar={sidecar} ident={ident} kind={kind} stamp={stamp}"
            self.trace.line(at, ident, f"{line} retry_after={retry_after!r}")

    def _unsent(self, request: Request) -> None:
        if request.sidecar in self.front and not request.attempts and not request.forgiven:
            self.unsent += 1
            self.unsent_worth += self.plan.classes[request.index].worth

    def lost(self, sidecar: str, ident: str, why: str) -> None:
        """Note that a sidecar has lost a request that it had taken."""
        at = self.now()
        request = self._end(sidecar, ident, "lost", at)
        self.answers.lost(request, why)
        self._unsent(request)
        if self.trace is not None:
            self.trace.line(at, ident, f"lost sidecar={sidecar} ident={ident} why={text(why)}")

    def untaken(self, sidecar: str, ident: str) -> None:
        """Note that a request turns out never to have been taken."""
        at = self.now()
        request = self._end(sidecar, ident, "unknown", at)
        if not request.forgiven and request.attempts:
            self.answers.dropped(request)
        if self.trace is not None:
            self.trace.line(at, ident, f"untaken sidecar={sidecar} ident={ident}")

    def left(self, sidecar: str, ident: str) -> None:
        """Note that the caller of a request has left."""
        at = self.now()
        request = self._end(sidecar, ident, "left", at)
        if at >= request.deadline:
            self.answers.unanswered(request, at)
            self._unsent(request)
        if self.trace is not None:
            self.trace.line(at, ident, f"left sidecar={sidecar} ident={ident}")

    # Attempts

    def arrived(self, sidecar: str, node: str, ident: str, sent: float | None = None) -> None:
        """Note that an attempt has arrived completely at a node, sent at an instant that may be unknown."""
        at = self.now()
        request = self.requests.get(ident)
        if request is None:
            request = self.requests[ident] = Request(ident, sidecar, 0, at, at)
            request.over, request.over_at = "unknown", at
            request.forgiven = (
                sent is not None and sent < at - REQUEST_MEMORY_SECONDS
            )  # it may have been over since
            self.over.append(request)
        attempt = Attempt(node, at - self.links.most if sent is None else sent, at)
        request.attempts.append(attempt)
        request.out += 1
        if request.sidecar != sidecar:
            self._stranger(sidecar, request, attempt)
        elif request.over or len(request.attempts) > 1:
            self.duplicates.arrived(request, attempt)
        if self.drain_at:
            place = self.drain_at.pop((sidecar, node, attempt.sent), None)
            if place is not None:
                self.breaches.name(place, ident)
        figures = self.figures
        (figures.present if at < figures.until else figures.second(at)).attempts += 1
        self.by_tier[self.tier_of[node]] += 1
        work = self.work
        if node in work.visits:
            work.begin_attempt(ident, attempt)
        if self.trace is not None:
            line = f"arrived sidecar={sidecar} node={node} ident={ident}"
            self.trace.line(at, ident, f"{line} sent={self.since(attempt.sent)!r}")

    def _stranger(self, sidecar: str, request: Request, attempt: Attempt) -> None:
        """Judge an attempt of a sidecar without the request: lawful where its process has ended."""
        attempt.away = True
        if self.down_at.get(sidecar, self.start - 1.0) < attempt.sent:
            what = f"{sidecar} sent a request that is held by {request.sidecar}."
            self.breaches.add("duplicate", what, ident=request.ident, sidecar=sidecar, node=attempt.node)

    def _attempt(self, node: str, ident: str, what: str) -> Attempt:
        """Return the attempt at a node; of several in flight the oldest."""
        request = self.requests.get(ident)
        if request is not None:
            for attempt in request.attempts:
                if attempt.out and attempt.node == node:
                    return attempt
        raise MisuseError(f"{ident} at {node}: {what} without an attempt that is out")

    def turned_away(self, node: str, ident: str) -> None:
        """Note that a node has turned an attempt away before it ran."""
        request = self.requests.get(ident)
        for attempt in reversed(request.attempts if request is not None else ()):
            if attempt.node == node and not attempt.away and not attempt.stamp:
                attempt.away = True
                break
        else:
            raise MisuseError(f"{ident} at {node}: turned away without an attempt")
        self.away += 1
        figures, at = self.figures, self.now()
        (figures.present if at < figures.until else figures.second(at)).turned_away += 1
        if self.trace is not None:
            self.trace.line(at, ident, f"turned_away node={node} ident={ident}")

    def made(self, node: str, ident: str) -> str:
        """Note that a node has made an answer; return the stamp that identifies it."""
        self.made_so_far += 1
        stamp = f"{self.made_so_far:x}-{ident}"
        request = self.requests.get(ident)
        attempt = request.attempts[0] if request is not None and request.attempts else None
        if attempt is None or not attempt.out or attempt.node != node:
            attempt = self._attempt(node, ident, "made")
        attempt.stamp = stamp
        if self.trace is not None:
            self.trace.line(self.now(), ident, f"made node={node} ident={ident} stamp={stamp}")
        return stamp

    def effect(self, node: str, ident: str, key: str) -> None:
        """Note that running an attempt had an effect."""
        self.effects += 1
        at, request = self.now(), self.requests.get(ident)
        if key:
            known = request is not None and request.over != "unknown"
            plan = self.plan.classes[request.index] if request is not None and known else None
            self.duplicates.effect(node, ident, key, plan, at)
        if self.trace is not None:
            self.trace.line(at, ident, f"effect node={node} ident={ident} key={key}")

    def worked(self, node: str, ident: str, work: float) -> None:
        """Note the work (seconds on a standard core) that a node has done for an attempt."""
        self.work.worked(node, self.requests.get(ident), work)
        if self.trace is not None:
            self.trace.line(self.now(), ident, f"worked node={node} ident={ident} work={work!r}")

    def ended(self, node: str, ident: str) -> None:
        """Note that nothing of an attempt is in flight any more."""
        request = self.requests.get(ident)
        attempt = request.attempts[0] if request is not None and request.attempts else None
        if request is None or attempt is None or not attempt.out or attempt.node != node:
            attempt = self._attempt(node, ident, "ended")
            request = self.requests[ident]
        if len(request.attempts) > 1:  # of several at one node the one that has its reply
            for each in request.attempts:
                if each.out and each.node == node and (each.away or each.stamp):
                    attempt = each
                    break
        at = self.now()
        attempt.out = False
        attempt.ended = at
        request.out -= 1
        if self.alone and len(request.attempts) > 1:
            self.duplicates.ended(request, attempt)
        if request.stale and not request.out:
            del self.requests[ident]
        if self.trace is not None:
            self.trace.line(at, ident, f"ended node={node} ident={ident}")
