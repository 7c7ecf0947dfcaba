"""A route in force and its requests. Ensures that the pool of a request is chosen once."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wheatring.daemon.core.exchange import Request
from wheatring.daemon.pools.routed_pool import RoutedPool
from wheatring.daemon.routes.definitions import Route
from wheatring.daemon.routes.split import split_for


@dataclass(slots=True, eq=False, kw_only=True)
class RoutedRequest(Request):
    """A request and its pool, which never changes."""

    pool: RoutedPool


class ActiveRoute:
    """A route in force, with the pools in force by name."""

    def __init__(self, route: Route, pools: Mapping[str, RoutedPool]) -> None:
        self.route = route
        self.pools = pools
        self.class_name = route.class_source.fixed.encode("latin-1")
        self.deadline = route.deadline_seconds
        self.split = split_for(route)

    def create_request(self, fields: Mapping[bytes, bytes], **arguments: Any) -> RoutedRequest:
        """Create a request with these header fields and choose its pool."""
        return RoutedRequest(pool=self.pools[self.split.pick(fields)], **arguments)
