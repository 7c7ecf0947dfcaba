"""Checks of views and of the register that stores them: random orders and days, and planted faults.

The work is distributed over processes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from wheatring.lab.agreement import register_orders, view_days
from wheatring.lab.agreement.planted_faults import REGISTER_FAULTS, VIEW_FAULTS

DAYS_PER_TASK = 10
MAX_DAYS_TO_FIND = 40  # within which a planted fault must be found
ORDERS_PER_DAY = 20  # an order takes far less time than a day


def _days(first: int, kind: view_days.Kind) -> list[view_days.Day]:
    return [view_days.play(seed, kind) for seed in range(first, first + DAYS_PER_TASK)]


def _orders(first: int) -> list[register_orders.OrderResult]:
    return [register_orders.run_order(seed) for seed in range(first, first + DAYS_PER_TASK * ORDERS_PER_DAY)]


class Detection(NamedTuple):
    """The result of a search for a planted fault."""

    runs: int  # orders or days simulated
    breach: str  # "" if the fault was not found


def find_in_register(limit: int, number: int) -> Detection:
    """Run random orders of messages until a planted fault is found."""
    for seed in range(1, limit + 1):
        result = register_orders.run_order(seed, REGISTER_FAULTS[number].make_register)
        if result.breach:
            return Detection(seed, result.breach)
    return Detection(limit, "")


def find_in_views(limit: int, number: int) -> Detection:
    """Simulate random days until a planted fault is found."""
    planted = VIEW_FAULTS[number]
    for seed in range(1, limit + 1):
        day = view_days.play(seed, planted.kind, planted.make_components)
        if day.breaches:
            return Detection(seed, day.breaches[0])
    return Detection(limit, "")


def report(days: int, workers: int, fail: Callable[[], object]) -> Iterator[str]:
    """Yield the report line by line; `fail` is called for each undetected fault and each breach."""
    first_seeds = range(1, max(DAYS_PER_TASK, days) + 1, DAYS_PER_TASK)
    with ProcessPoolExecutor(workers) as pool:
        register_detections = pool.map(
            partial(find_in_register, MAX_DAYS_TO_FIND * ORDERS_PER_DAY), range(len(REGISTER_FAULTS))
        )
        view_detections = pool.map(partial(find_in_views, MAX_DAYS_TO_FIND), range(len(VIEW_FAULTS)))
        orders = pool.map(_orders, first_seeds)
        kinds = [
            kind
            for kind in view_days.KINDS
            for seed in first_seeds
            if kind == "mixed" or seed < days // 4 + 1
        ]
        seeds = [
            seed
            for kind in view_days.KINDS
            for seed in first_seeds
            if kind == "mixed" or seed < days // 4 + 1
        ]
        played = pool.map(_days, seeds, kinds)
        descriptions = [one.description for one in REGISTER_FAULTS] + [one.description for one in VIEW_FAULTS]
        units = ["orders"] * len(REGISTER_FAULTS) + ["days"] * len(VIEW_FAULTS)
        for description, unit, (count, breach) in zip(
            descriptions, units, [*register_detections, *view_detections], strict=True
        ):
            if breach:
                yield f"found: {description}; {unit} looked at: {count}; {breach}"
            else:
                fail()
                yield f"NOT FOUND: {description}; {unit} looked at: {count}"
        yield from _order_lines([order for batch in orders for order in batch], fail)
        yield from _day_lines([day for batch in played for day in batch], fail)


def _order_lines(orders: list[register_orders.OrderResult], fail: Callable[[], object]) -> Iterator[str]:
    failed = [order for order in orders if order.breach]
    yield (
        f"{len(orders)} drawn orders of the register's words: {sum(order.terms for order in orders)} terms, "
        f"{sum(order.chosen for order in orders)} entries chosen, "
        f"{sum(order.restarts for order in orders)} voters started anew, {len(failed)} breaches"
    )
    for order in failed[:20]:
        fail()
        yield f"    order {order.seed}, {order.breach}"


def _day_lines(played: list[view_days.Day], fail: Callable[[], object]) -> Iterator[str]:
    for kind in view_days.KINDS:
        days = [day for day in played if day.kind == kind]
        breaches = [(day.seed, breach) for day in days for breach in day.breaches]
        yield (
            f"{len(days)} drawn days, {kind}: {sum(day.length_seconds for day in days) / 3600:.1f} h, "
            f"{sum(day.events for day in days)} events, {sum(day.views for day in days)} views, "
            f"{sum(day.removals for day in days)} members taken out, {len(breaches)} breaches"
        )
        for seed, breach in breaches[:20]:
            fail()
            yield f"    day {seed}, {breach}"
