"""Many copies before one fleet: each sees little of any node, and what each does, all do."""

from __future__ import annotations

from collections import Counter
from unittest.mock import patch

from tests.balancer.endpoint_model import NODES
from tests.balancer.test_admission import CHEAP, DEAR, admitted, keep
from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.balancer.outlier_ejection import OVERLOAD_EJECTION_SECONDS

O = i.Outcome
GET = i.RequestClass("get", latency_target=2.0, deadline=6.0, idempotency=i.Idempotency.IDEMPOTENT)


FIVE = NODES[:5]


def settled() -> Copy:
    """Return one copy of ten that has learned the usual latency: a tenth of a second."""
    copy = Copy(classes=(GET,), balancer_count=10)
    copy.view(*entries(*FIVE))
    copy.serve(60, "get")
    return copy


def visit(copy: Copy, node: str, latency: float) -> None:
    """Have one call at that node answered after so long."""
    record = copy.balancer.pool.endpoints[node]
    with patch.object(copy.balancer, "pick", return_value=(record, [record])):
        send = copy.send("get")
    copy.end(send, O.SERVED, after=latency, is_request_over=True)


def test_a_few_slow_answers_seconds_apart_tell() -> None:
    copy = settled()
    slow, other = (copy.balancer.pool.endpoints[name] for name in NODES[:2])
    for _ in range(3):
        copy.now += 2.0
        visit(copy, slow.entry.endpoint, 0.23)
    assert copy.balancer.load.multiplier(copy.now, slow) > 1.5 * copy.balancer.load.multiplier(
        copy.now, other
    )


def test_an_overloaded_endpoint_gets_nothing_for_a_while_and_returns_by_a_trickle() -> None:
    copy = settled()
    crowded = copy.balancer.pool.endpoints[NODES[0]]
    copy.now += 20.0
    visit(copy, NODES[0], 1.0)
    assert not crowded.ejections  # one answer may be long by chance
    visit(copy, NODES[0], 1.0)
    assert crowded.ejections
    until = copy.now + OVERLOAD_EJECTION_SECONDS
    seen: Counter[str] = Counter()
    while copy.now + 0.1 < until:
        send = copy.send("get")
        seen[send.endpoint] += 1
        copy.end(send, O.SERVED, after=0.02, is_request_over=True)
    assert not seen[NODES[0]], seen
    assert sum(seen.values()) > 100
    copy.now = until
    visit(copy, NODES[0], 0.1)
    assert crowded.ejections and crowded.probation_limit == 2
    while crowded.ejections:
        visit(copy, NODES[0], 0.1)


def test_where_all_are_overloaded_all_are_still_used() -> None:
    copy = settled()
    copy.now += 20.0
    for name in FIVE:
        for _ in range(2):
            if not copy.balancer.ejector.is_majority_unhealthy():
                visit(copy, name, 1.0)
    assert copy.balancer.ejector.is_majority_unhealthy()
    sent = Counter(copy.send("get").endpoint for _ in range(60))
    assert len(sent) == len(FIVE)


def test_of_two_that_may_be_sent_to_the_lighter_one_is_even_where_most_wait_for_their_turn() -> None:
    copy = Copy(classes=(GET,), balancer_count=10)
    cold = [i.EndpointEntry(f"cold-{n}", started_at=copy.now) for n in range(8)]
    copy.view(*entries("jammed", "free"), *cold)
    jammed = copy.balancer.pool.endpoints["jammed"]
    jammed.in_flight = 30
    got: Counter[str] = Counter()
    for _ in range(100):
        send = copy.send("get")
        got[send.endpoint] += 1
        copy.end(send, O.SERVED, after=0.01, is_request_over=True)
    assert got["free"] > 10 * got["jammed"]


def test_a_cold_endpoint_adds_its_capacity_to_admission_control() -> None:
    def admitted_with(cold: int) -> int:
        copy = Copy(classes=(CHEAP, DEAR))
        copy.view(*entries(*NODES))
        keep(copy, 48, 0.1, 4.0)
        new = [i.EndpointEntry(f"new-{n}", started_at=copy.now) for n in range(cold)]
        copy.view(*entries(*NODES[cold:]), *new)
        admitted(copy, "dear")
        return sum(e.in_flight for e in copy.balancer.pool.ready)

    # 5 of 12 are warm, and 7 bear 0.2 of what these do
    assert 0.45 < admitted_with(7) / admitted_with(0) < 0.7


def test_calls_too_few_to_tell_anything_are_counted_over_all_copies() -> None:
    def admitted_with(copies: int) -> int:
        copy = Copy(classes=(CHEAP, DEAR), balancer_count=copies)
        copy.view(*entries("a", "b"))
        keep(copy, 1, 0.01, 3.0)
        return admitted(copy, "cheap")

    assert 10 * admitted_with(10) < 4 * admitted_with(1)
