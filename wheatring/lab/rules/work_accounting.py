"""Accounting of work: the total at all tiers, and the part that led to an answer that a client got."""

from __future__ import annotations

from wheatring.lab.plan import Plan
from wheatring.lab.rules.requests import Attempt, Request
from wheatring.lab.rules.trace import FirstRequestLookup

ROOT = Attempt("", 0.0, 0.0)  # represents the client, the root of the call tree


class WorkAccounting:
    """Total and useful work of attempts, in seconds on a standard core.

    An attempt's work is useful if its answer reached its caller and, through all calling attempts, the
    client. The work of a call is credited to its parent, the attempt that made the call: the attempt of the
    same first try, as found by `first_request_of`, at the node whose sidecar was called. Without
    `first_request_of`, all work of a served call counts as useful.
    """

    def __init__(self, plan: Plan, front: set[str], first_request_of: FirstRequestLookup | None) -> None:
        last_tier = len(plan.tiers) - 1
        self.front = front
        self.first_request_of = first_request_of
        # Attempts that may call the next tier, by node and then by first try.
        self.attempts_by_first: dict[str, dict[int, Attempt]] = {
            each.name: {} for each in plan.nodes if each.tier < last_tier
        }
        self.total_seconds = 0.0
        self.useful_seconds = 0.0
        self.by_node = {each.name: 0.0 for each in plan.nodes}

    def begin_attempt(self, ident: str, attempt: Attempt) -> None:
        """Record the arrival of an attempt that may call the next tier."""
        first = self.first_request_of(ident) if self.first_request_of is not None else None
        if first is not None:
            self.attempts_by_first[attempt.node][first] = attempt

    def record_answer(self, request: Request, attempt: Attempt) -> None:
        """Record that an attempt made the answer that the request's caller received."""
        parent: Attempt | None = ROOT
        if request.sidecar not in self.front and self.first_request_of is not None:
            first = self.first_request_of(request.ident)
            attempts = self.attempts_by_first.get(request.sidecar, {})
            parent = attempts.get(first) if first is not None else None
        if parent is not None and parent is not attempt and attempt.parent is None:
            attempt.parent = parent
            self.credit(parent, attempt.work)

    def credit(self, attempt: Attempt, work: float) -> None:
        """Credit work to an attempt and its ancestors; work may be reported after the answer was used."""
        while attempt is not ROOT:
            attempt.work += work
            if attempt.parent is None:
                return
            attempt = attempt.parent
        self.useful_seconds += work

    def record_work(self, node: str, request: Request | None, work: float) -> None:
        """Record work that a node has done for a request."""
        self.by_node[node] += work
        self.total_seconds += work
        if request is not None:
            for attempt in request.attempts:
                if attempt.node == node and not attempt.work_recorded and not attempt.rejected:
                    attempt.work_recorded = True
                    if attempt.parent is None:  # the usual case: not credited to a parent yet
                        attempt.work += work
                    else:
                        self.credit(attempt, work)
                    return

    def node_down(self, node: str) -> None:
        """Forget the attempts at a node that has ended."""
        if node in self.attempts_by_first:
            self.attempts_by_first[node].clear()
