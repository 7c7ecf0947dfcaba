"""Accounting of work: how much was done at all tiers, and how much served an answer that a client got."""

from __future__ import annotations

from wheatring.lab.plan import Plan
from wheatring.lab.rules.requests import Attempt, Request
from wheatring.lab.rules.trace import FirstRequestLookup

ROOT = Attempt("", 0.0, 0.0)  # stands for the client, above all visits


class WorkAccounting:
    """The work of attempts, and what of it was of use. Work is in seconds on a standard core.

    An attempt's work is of use once it made the answer that its caller got. That of a call goes to the visit
    that it was made for, and so up to the client. The visit above a call is the one of the same first attempt
    at the node whose sidecar was called: `first_request_of` says which. Without it, a call that was served
    counts as of use.
    """

    def __init__(self, plan: Plan, front: set[str], first_request_of: FirstRequestLookup | None) -> None:
        last = len(plan.tiers) - 1
        self.front = front
        self.first_request_of = first_request_of
        # By node: the attempts that may call the next tier, by their client's first request.
        self.attempts_by_first: dict[str, dict[int, Attempt]] = {
            each.name: {} for each in plan.nodes if each.tier < last
        }
        self.total_seconds = 0.0
        self.useful_seconds = 0.0
        self.by_node = {each.name: 0.0 for each in plan.nodes}

    def begin_attempt(self, ident: str, attempt: Attempt) -> None:
        """Note that an attempt that may call the next tier has arrived."""
        first = self.first_request_of(ident) if self.first_request_of is not None else None
        if first is not None:
            self.attempts_by_first[attempt.node][first] = attempt

    def record_answer(self, request: Request, attempt: Attempt) -> None:
        """Note that an attempt made the answer that the request's caller has."""
        above: Attempt | None = ROOT
        if request.sidecar not in self.front and self.first_request_of is not None:
            first = self.first_request_of(request.ident)
            attempts = self.attempts_by_first.get(request.sidecar, {})
            above = attempts.get(first) if first is not None else None
        if above is not None and above is not attempt and attempt.parent is None:
            attempt.parent = above
            self.credit(above, attempt.work)

    def credit(self, attempt: Attempt, work: float) -> None:
        """Credit work to an attempt and those above it; work may be reported after the answers it served."""
        while attempt is not ROOT:
            attempt.work += work
            if attempt.parent is None:
                return
            attempt = attempt.parent
        self.useful_seconds += work

    def record_work(self, node: str, request: Request | None, work: float) -> None:
        """Note work that a node has done for a request."""
        self.by_node[node] += work
        self.total_seconds += work
        if request is not None:
            for attempt in request.attempts:
                if attempt.node == node and not attempt.work_recorded and not attempt.rejected:
                    attempt.work_recorded = True
                    if attempt.parent is None:  # as is most often so: nothing to go up to yet
                        attempt.work += work
                    else:
                        self.credit(attempt, work)
                    return

    def node_down(self, node: str) -> None:
        """Forget the visits at a node that has ended."""
        if node in self.attempts_by_first:
            self.attempts_by_first[node].clear()
