"""Applies the operators' offline orders to several endpoint lists."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from wheatring.balancer.interface import View
from wheatring.daemon.lifecycle.endpoint_overrides import EndpointOverrides

if TYPE_CHECKING:
    from wheatring.daemon.pools.pool_set import PoolSet


class AllPoolsOverrides(EndpointOverrides):
    """Applies the operators' overrides to all lists: the platform's and the pools' own."""

    def __init__(self, on_view: Callable[[View], None], pools: PoolSet) -> None:
        super().__init__(on_view)
        self.pools = pools

    def knows(self, name: str) -> bool:
        """Return whether an endpoint is listed anywhere, or offline."""
        return super().knows(name) or any(pool.overrides.knows(name) for pool in self.pools.all())

    def set_offline(self, now: float, offline: frozenset[str]) -> None:
        """Set exactly these endpoints offline in all lists."""
        super().set_offline(now, offline)
        self.pools.set_offline(now, offline)
