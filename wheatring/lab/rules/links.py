"""How long what one side has done may stay unknown to the other: what the rules allow for links."""

from __future__ import annotations

from typing import NamedTuple

from wheatring.lab.plan import EventPlan, Plan

READ_SECONDS = 0.001  # between the arrival of bytes and their reading, at most
ELSEWHERE = ""  # where clients and discovery are: no event names their hosts
RESEND_SECONDS = 0.5  # what is sent again has arrived so long after the double length of a cut, at most


class Span(NamedTuple):
    """A time in which a link may be disturbed; instants are seconds of the world."""

    start: float
    end: float


class Links:
    """The delays and cuts of the plan's links.

    A usual delay is the mean of the slowest link with 25 times its spread, lengthened by whatever latency is
    planned. Ends are names: nodes, each with its own sidecar, the front's sidecars, and ELSEWHERE. What was
    sent while a cut was on may arrive long after it has healed (TCP waits up to as long again before it tries
    anew), or never: nobody is expected to have read it.
    """

    def __init__(self, plan: Plan, start: float) -> None:
        net = plan.net
        longer = max([1.0, *(event.size for event in plan.events if event.kind == "latency")])
        self.usual_delay = max(net.same, net.cross, net.client) * (1 + 25 * net.jitter) + READ_SECONDS
        self.max_delay = (self.usual_delay - READ_SECONDS) * longer + READ_SECONDS
        self.start = start
        self.hosts: dict[str, tuple[str, ...]] = {each.name: (each.host,) for each in plan.sidecars}
        self.front = frozenset(self.hosts)
        self.hosts.update({each.name: (each.host, each.side_host) for each in plan.nodes})
        self.cut_events = [event for event in plan.events if event.kind in ("partition", "vanish")]
        self.latency_events = [event for event in plan.events if event.kind == "latency"]
        self.cut_spans: dict[tuple[str, str], list[Span]] = {}  # by both ends

    def caller_of(self, sidecar: str) -> str:
        """Return the end of the callers of a sidecar: clients, or the node that it belongs to."""
        return ELSEWHERE if sidecar in self.front else sidecar

    def was_cut(self, end: str, other: str, since: float, until: float) -> bool:
        """Whether two ends may have been cut off from each other at any time between two instants."""
        if not self.cut_events:
            return False
        spans = self.cut_spans.get((end, other))
        if spans is None:
            spans = [self._span(cut) for cut in self.cut_events if self._concerns(cut, end, other)]
            self.cut_spans[end, other] = spans
        return any(span.start <= until and since <= span.end for span in spans)

    def delivery_seconds(self, end: str, other: str, at: float) -> float:
        """Seconds in which what left one end for the other at an instant has been read there."""
        for event in self.latency_events:
            span = self._span(event)
            if span.start <= at <= span.end and self._concerns(event, end, other):
                return self.max_delay
        return self.usual_delay

    def _span(self, cut: EventPlan) -> Span:
        begun = self.start + cut.at
        ended = begun + 2 * cut.length + RESEND_SECONDS if cut.length > 0 else float("inf")
        return Span(begun - self.max_delay, ended)

    def _concerns(self, cut: EventPlan, end: str, other: str) -> bool:
        if cut.kind == "vanish":
            return end in cut.nodes or other in cut.nodes
        here, there = self.hosts.get(end, ()), self.hosts.get(other, ())
        return (_includes(here, cut.hosts) and _includes(there, cut.others)) or (
            _includes(here, cut.others) and _includes(there, cut.hosts)
        )


def _includes(hosts: tuple[str, ...], named: tuple[str, ...]) -> bool:
    """Whether any of the hosts is named; no names stand for all."""
    return not named or any(host in named for host in hosts)
