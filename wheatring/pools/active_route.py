"""A route in force, and the jobs that come by it. Guards that a job's pool is chosen once."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from wheatring.core.exchange import Job
from wheatring.pools.routed_pool import RoutedPool
from wheatring.routes.split import split
from wheatring.routes.words import Route


@dataclass(slots=True, eq=False, kw_only=True)
class RoutedRequest(Job):
    """A job, and the pool that it stays in."""

    pool: RoutedPool


class ActiveRoute:
    """A route in force."""

    def __init__(self, told: Route, pools: Mapping[str, RoutedPool]) -> None:
        self.route = told
        self.pools = pools
        self.class_name = told.class_from.fixed.encode("latin-1")
        self.deadline = told.deadline
        self.split = split(told)

    def job(self, fields: Mapping[bytes, bytes], **told: Any) -> RoutedRequest:
        return RoutedRequest(pool=self.pools[self.split.pick(fields)], **told)
