"""Checks of views and of the register behind them: drawn orders and days, and planted faults.

The work is spread over processes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import NamedTuple

from wheatring.lab.agreement import register_orders, view_days
from wheatring.lab.agreement.planted_faults import REGISTER_FAULTS, VIEW_FAULTS

DAYS_PER_TASK = 10  # that a worker process plays at a time
MAX_DAYS_TO_FIND = 40  # in which a planted fault has to be found
ORDERS_PER_DAY = 20  # drawn for each day: an order takes far less time


def _days(first: int, kind: view_days.Kind) -> list[view_days.Day]:
    return [view_days.play(seed, kind) for seed in range(first, first + DAYS_PER_TASK)]


def _orders(first: int) -> list[register_orders.OrderResult]:
    return [register_orders.run_order(seed) for seed in range(first, first + DAYS_PER_TASK * ORDERS_PER_DAY)]


class Detection(NamedTuple):
    """How a planted fault was found."""

    runs: int  # that were played for it
    breach: str  # "" if it was not found


def find_in_register(limit: int, number: int) -> Detection:
    """Play orders of messages until a planted fault is found."""
    for seed in range(1, limit + 1):
        walked = register_orders.run_order(seed, REGISTER_FAULTS[number].make_register)
        if walked.breach:
            return Detection(seed, walked.breach)
    return Detection(limit, "")


def find_in_views(limit: int, number: int) -> Detection:
    """Play days until a planted fault is found."""
    planted = VIEW_FAULTS[number]
    for seed in range(1, limit + 1):
        day = view_days.play(seed, planted.kind, planted.make_pieces)
        if day.breaches:
            return Detection(seed, day.breaches[0])
    return Detection(limit, "")


def report(drawn: int, workers: int, fail: Callable[[], object]) -> Iterator[str]:
    """Yield what is found, line by line; `fail` is called for each line that is not as it has to be."""
    parts = range(1, max(DAYS_PER_TASK, drawn) + 1, DAYS_PER_TASK)
    with ProcessPoolExecutor(workers) as pool:
        register = pool.map(
            partial(find_in_register, MAX_DAYS_TO_FIND * ORDERS_PER_DAY), range(len(REGISTER_FAULTS))
        )
        standing = pool.map(partial(find_in_views, MAX_DAYS_TO_FIND), range(len(VIEW_FAULTS)))
        walked = pool.map(_orders, parts)
        kinds = [
            kind for kind in view_days.KINDS for part in parts if kind == "mixed" or part < drawn // 4 + 1
        ]
        firsts = [
            part for kind in view_days.KINDS for part in parts if kind == "mixed" or part < drawn // 4 + 1
        ]
        played = pool.map(_days, firsts, kinds)
        whats = [one.description for one in REGISTER_FAULTS] + [one.description for one in VIEW_FAULTS]
        units = ["orders"] * len(REGISTER_FAULTS) + ["days"] * len(VIEW_FAULTS)
        for what, unit, (count, breach) in zip(whats, units, [*register, *standing], strict=True):
            if breach:
                yield f"found: {what}; {unit} looked at: {count}; {breach}"
            else:
                fail()
                yield f"NOT FOUND: {what}; {unit} looked at: {count}"
        yield from _orders_judged([one for part in walked for one in part], fail)
        yield from _days_judged([day for part in played for day in part], fail)


def _orders_judged(walked: list[register_orders.OrderResult], fail: Callable[[], object]) -> Iterator[str]:
    bad = [one for one in walked if one.breach]
    yield (
        f"{len(walked)} drawn orders of the register's words: {sum(one.terms for one in walked)} terms, "
        f"{sum(one.chosen for one in walked)} entries chosen, {sum(one.restarts for one in walked)} voters "
        f"started anew, {len(bad)} breaches"
    )
    for one in bad[:20]:
        fail()
        yield f"    order {one.seed}, {one.breach}"


def _days_judged(played: list[view_days.Day], fail: Callable[[], object]) -> Iterator[str]:
    for kind in view_days.KINDS:
        found = [day for day in played if day.kind == kind]
        breaches = [(day.seed, breach) for day in found for breach in day.breaches]
        yield (
            f"{len(found)} drawn days, {kind}: {sum(day.length_seconds for day in found) / 3600:.1f} h, "
            f"{sum(day.events for day in found)} events, {sum(day.views for day in found)} views, "
            f"{sum(day.removals for day in found)} members taken out, {len(breaches)} breaches"
        )
        for seed, breach in breaches[:20]:
            fail()
            yield f"    day {seed}, {breach}"
