"""Endpoints that operators have taken out of service, where there are many endpoint lists."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from wheatring.balancer.interface import View
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointOverrides

if TYPE_CHECKING:
    from wheatring.daemon.pools.pool_set import PoolSet


class AllPoolsOverrides(EndpointOverrides):
    """The operators' orders over all lists: the platform's, and those that pools have of their own."""

    def __init__(self, on_view: Callable[[View], None], pools: PoolSet) -> None:
        super().__init__(on_view)
        self.pools = pools

    def knows(self, name: str) -> bool:
        """Whether any list has, or any order names, this endpoint."""
        return super().knows(name) or any(pool.overrides.knows(name) for pool in self.pools.all())

    def set_offline(self, now: float, out: frozenset[str]) -> None:
        """Take these endpoints out in each list, and no others."""
        super().set_offline(now, out)
        self.pools.take_out(now, out)
