"""Upper bounds on delays and partitions of links, for which the rules make allowance."""

from __future__ import annotations

from typing import NamedTuple

from wheatring.lab.plan import EventPlan, Plan

READ_SECONDS = 0.001  # longest time from the arrival of bytes to their reading
ELSEWHERE = ""  # endpoint of clients and discovery, whose hosts no event names
RESEND_SECONDS = 0.5  # longest delivery of a retransmission, after twice the length of the cut


class Span(NamedTuple):
    """A period in which a link may be disturbed, in seconds on the world's clock."""

    start: float
    end: float


class Links:
    """The delays and cuts of the plan's links.

    `usual_delay` is the mean delay of the slowest link plus 25 times its jitter, `max_delay` the same under
    the planned latency events. Endpoints are names: nodes (each with its own sidecar), the front's sidecars
    and ELSEWHERE. Bytes sent during a cut may arrive long after it has healed, because TCP's retransmission
    time-out grows to the length of the cut, or never; no endpoint is expected to have read them.
    """

    def __init__(self, plan: Plan, start: float) -> None:
        net = plan.net
        factor = max([1.0, *(event.size for event in plan.events if event.kind == "latency")])
        self.usual_delay = max(net.same, net.cross, net.client) * (1 + 25 * net.jitter) + READ_SECONDS
        self.max_delay = (self.usual_delay - READ_SECONDS) * factor + READ_SECONDS
        self.start = start
        self.hosts: dict[str, tuple[str, ...]] = {each.name: (each.host,) for each in plan.sidecars}
        self.front = frozenset(self.hosts)
        self.hosts.update({each.name: (each.host, each.side_host) for each in plan.nodes})
        self.cut_events = [event for event in plan.events if event.kind in ("partition", "vanish")]
        self.latency_events = [event for event in plan.events if event.kind == "latency"]
        self.cut_spans: dict[tuple[str, str], list[Span]] = {}  # by both endpoints

    def caller_of(self, sidecar: str) -> str:
        """Return the endpoint of a sidecar's callers: ELSEWHERE for clients, or the sidecar's own node."""
        return ELSEWHERE if sidecar in self.front else sidecar

    def was_cut(self, endpoint: str, other: str, since: float, until: float) -> bool:
        """Return whether two endpoints may have been partitioned at any time from `since` to `until`."""
        if not self.cut_events:
            return False
        spans = self.cut_spans.get((endpoint, other))
        if spans is None:
            spans = [self._span(cut) for cut in self.cut_events if self._concerns(cut, endpoint, other)]
            self.cut_spans[endpoint, other] = spans
        return any(span.start <= until and since <= span.end for span in spans)

    def delivery_seconds(self, endpoint: str, other: str, at: float) -> float:
        """Return the longest time until bytes sent at `at` from one endpoint are read at the other."""
        for event in self.latency_events:
            span = self._span(event)
            if span.start <= at <= span.end and self._concerns(event, endpoint, other):
                return self.max_delay
        return self.usual_delay

    def _span(self, event: EventPlan) -> Span:
        begin = self.start + event.at
        end = begin + 2 * event.length + RESEND_SECONDS if event.length > 0 else float("inf")
        return Span(begin - self.max_delay, end)

    def _concerns(self, event: EventPlan, endpoint: str, other: str) -> bool:
        if event.kind == "vanish":
            return endpoint in event.nodes or other in event.nodes
        here, there = self.hosts.get(endpoint, ()), self.hosts.get(other, ())
        return (_includes(here, event.hosts) and _includes(there, event.others)) or (
            _includes(here, event.others) and _includes(there, event.hosts)
        )


def _includes(hosts: tuple[str, ...], named: tuple[str, ...]) -> bool:
    """Return whether any of the hosts is named; an empty `named` matches all hosts."""
    return not named or any(host in named for host in hosts)
