"""Traffic splits give each service its share even of a small number of requests."""

from __future__ import annotations

import json
from collections import Counter
from random import Random

import pytest

from wheatring.tier.sidecar.route_table import RouteTable


def make_table(*weights: float) -> RouteTable:
    split = [{"backend": f"s{n}", "weight": weight} for n, weight in enumerate(weights)]
    route = {"name": "r", "hostname": "h", "pathPrefix": "/", "routeType": "safe", "timeoutMs": 1}
    services = [{"name": f"s{n}"} for n in range(len(weights))]
    body = {"generation": 1, "routes": [route | {"trafficSplit": split}], "services": services}
    return RouteTable(json.dumps(body).encode())


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2, 3), (0.98, 0.02), (7, 0, 3)])
def test_each_service_gets_its_share_of_the_requests_of_every_sidecar(weights: tuple[float, ...]) -> None:
    for seed in range(20):
        table = make_table(*weights)
        route = table.routes[0]
        counts = Counter(table.choose_service(route, Random(seed)) for _ in range(40))
        for number, weight in enumerate(weights):
            assert abs(counts[f"s{number}"] / 40 - weight / sum(weights)) < 0.06


def test_sidecars_start_traffic_splits_at_different_positions() -> None:
    first_services = set()
    for seed in range(40):
        table = make_table(90, 10)
        first_services.add(table.choose_service(table.routes[0], Random(seed)))
    assert first_services == {"s0", "s1"}
