"""Many balancers in front of one fleet: each has little traffic to any one endpoint."""

from __future__ import annotations

from collections import Counter
from unittest.mock import patch

from tests.balancer.endpoint_model import ENDPOINT_NAMES
from tests.balancer.test_admission import HIGH_VALUE, LOW_VALUE, admitted, keep_in_flight
from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.balancer.outlier_ejection import OVERLOAD_EJECTION_SECONDS

O = i.Outcome
GET = i.RequestClass("get", latency_target=2.0, deadline=6.0, idempotency=i.Idempotency.IDEMPOTENT)


FIVE_ENDPOINTS = ENDPOINT_NAMES[:5]


def balancer_with_estimates() -> Copy:
    """Return one of ten balancers, whose latency estimate is 0.1 s."""
    copy = Copy(classes=(GET,), balancer_count=10)
    copy.view(*entries(*FIVE_ENDPOINTS))
    copy.serve(60, "get")
    return copy


def serve_at(copy: Copy, name: str, latency: float) -> None:
    """Send one request to the endpoint `name`, answered after `latency`."""
    endpoint = copy.balancer.pool.endpoints[name]
    with patch.object(copy.balancer, "pick", return_value=(endpoint, [endpoint])):
        send = copy.send("get")
    copy.end(send, O.SERVED, after=latency, is_request_over=True)


def test_a_few_slow_answers_seconds_apart_raise_the_load_multiplier() -> None:
    copy = balancer_with_estimates()
    slow, other = (copy.balancer.pool.endpoints[name] for name in ENDPOINT_NAMES[:2])
    for _ in range(3):
        copy.now += 2.0
        serve_at(copy, slow.entry.endpoint, 0.23)
    assert copy.balancer.load.multiplier(copy.now, slow) > 1.5 * copy.balancer.load.multiplier(
        copy.now, other
    )


def test_an_overloaded_endpoint_is_ejected_and_returns_gradually() -> None:
    copy = balancer_with_estimates()
    overloaded = copy.balancer.pool.endpoints[ENDPOINT_NAMES[0]]
    copy.now += 20.0
    serve_at(copy, ENDPOINT_NAMES[0], 1.0)
    assert not overloaded.ejections  # one slow answer is not enough
    serve_at(copy, ENDPOINT_NAMES[0], 1.0)
    assert overloaded.ejections
    until = copy.now + OVERLOAD_EJECTION_SECONDS
    sends: Counter[str] = Counter()
    while copy.now + 0.1 < until:
        send = copy.send("get")
        sends[send.endpoint] += 1
        copy.end(send, O.SERVED, after=0.02, is_request_over=True)
    assert not sends[ENDPOINT_NAMES[0]], sends
    assert sum(sends.values()) > 100
    copy.now = until
    serve_at(copy, ENDPOINT_NAMES[0], 0.1)
    assert overloaded.ejections and overloaded.probation_limit == 2
    while overloaded.ejections:
        serve_at(copy, ENDPOINT_NAMES[0], 0.1)


def test_all_endpoints_are_used_if_all_are_overloaded() -> None:
    copy = balancer_with_estimates()
    copy.now += 20.0
    for name in FIVE_ENDPOINTS:
        for _ in range(2):
            if not copy.balancer.ejector.is_majority_unhealthy():
                serve_at(copy, name, 1.0)
    assert copy.balancer.ejector.is_majority_unhealthy()
    sent = Counter(copy.send("get").endpoint for _ in range(60))
    assert len(sent) == len(FIVE_ENDPOINTS)


def test_the_less_loaded_usable_endpoint_is_picked_while_others_wait_for_their_slot() -> None:
    copy = Copy(classes=(GET,), balancer_count=10)
    cold = [i.EndpointEntry(f"cold-{n}", started_at=copy.now) for n in range(8)]
    copy.view(*entries("loaded", "free"), *cold)
    loaded = copy.balancer.pool.endpoints["loaded"]
    loaded.in_flight = 30
    sends: Counter[str] = Counter()
    for _ in range(100):
        send = copy.send("get")
        sends[send.endpoint] += 1
        copy.end(send, O.SERVED, after=0.01, is_request_over=True)
    assert sends["free"] > 10 * sends["loaded"]


def test_a_cold_endpoint_adds_its_current_capacity_to_the_admission_limit() -> None:
    def admitted_with(cold: int) -> int:
        copy = Copy(classes=(LOW_VALUE, HIGH_VALUE))
        copy.view(*entries(*ENDPOINT_NAMES))
        keep_in_flight(copy, 48, 0.1, 4.0)
        new = [i.EndpointEntry(f"new-{n}", started_at=copy.now) for n in range(cold)]
        copy.view(*entries(*ENDPOINT_NAMES[cold:]), *new)
        admitted(copy, "high")
        return sum(e.in_flight for e in copy.balancer.pool.ready)

    # 5 of 12 endpoints are warm, and 7 have 0.2 of their capacity.
    assert 0.45 < admitted_with(7) / admitted_with(0) < 0.7


def test_the_minimum_in_flight_for_rejections_counts_all_balancers() -> None:
    def admitted_with(balancers: int) -> int:
        copy = Copy(classes=(LOW_VALUE, HIGH_VALUE), balancer_count=balancers)
        copy.view(*entries("a", "b"))
        keep_in_flight(copy, 1, 0.01, 3.0)
        return admitted(copy, "low")

    assert 10 * admitted_with(10) < 4 * admitted_with(1)
