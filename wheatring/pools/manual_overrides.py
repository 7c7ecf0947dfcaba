"""Endpoints out by hand where there are many lists. Guards that an operator's word holds in each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from wheatring.balancer.interface import View
from wheatring.lifecycle.byhand import ByHand

if TYPE_CHECKING:
    from wheatring.pools.pool_set import PoolSet


class AllPoolsOverrides(ByHand):
    """The operators' word over all lists: the platform's as ever, and those that pools have of their own."""

    def __init__(self, on_view: Callable[[View], None], pools: PoolSet) -> None:
        super().__init__(on_view)
        self.pools = pools

    def knows(self, name: str) -> bool:
        return super().knows(name) or any(member.by_hand.knows(name) for member in self.pools.all())

    def put(self, now: float, out: frozenset[str]) -> None:
        super().put(now, out)
        self.pools.take_out(now, out)
