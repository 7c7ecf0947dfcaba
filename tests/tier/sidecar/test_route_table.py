"""The parts of a split get their shares of few requests too."""

from __future__ import annotations

import json
from collections import Counter
from random import Random

import pytest

from wheatring.tier.sidecar.route_table import RouteTable


def table(*weights: float) -> RouteTable:
    split = [{"backend": f"s{n}", "weight": weight} for n, weight in enumerate(weights)]
    route = {"name": "r", "hostname": "h", "pathPrefix": "/", "routeType": "safe", "timeoutMs": 1}
    services = [{"name": f"s{n}"} for n in range(len(weights))]
    body = {"generation": 1, "routes": [route | {"trafficSplit": split}], "services": services}
    return RouteTable(json.dumps(body).encode())


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (1, 2, 3), (0.98, 0.02), (7, 0, 3)])
def test_each_part_gets_its_share_of_every_sidecars_requests(weights: tuple[float, ...]) -> None:
    for seed in range(20):
        routes = table(*weights)
        route = routes.routes[0]
        counts = Counter(routes.choose_service(route, Random(seed)) for _ in range(40))
        for number, weight in enumerate(weights):
            assert abs(counts[f"s{number}"] / 40 - weight / sum(weights)) < 0.06


def test_sidecars_start_their_splits_at_different_positions() -> None:
    firsts = set()
    for seed in range(40):
        routes = table(90, 10)
        firsts.add(routes.choose_service(routes.routes[0], Random(seed)))
    assert firsts == {"s0", "s1"}
