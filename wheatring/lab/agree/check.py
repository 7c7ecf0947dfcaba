"""All that agreed views are held to: orders of the register's words, days, faults planted in both.

Work is shared out over processes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from wheatring.lab.agree import days, orders
from wheatring.lab.agree.planted import IN_REGISTER, IN_VIEWS

EACH = 10  # days that a process plays in one go
MOST = 40  # days for a planted fault to be found in,
WALKS = 20  # and orders for each day, of which there are far more in a second


def _days(first: int, kind: days.Kind) -> list[days.Day]:
    return [days.play(seed, kind) for seed in range(first, first + EACH)]


def _orders(first: int) -> list[orders.Walked]:
    return [orders.walk(seed) for seed in range(first, first + EACH * WALKS)]


def in_register(most: int, number: int) -> tuple[int, str]:
    """In how many orders a planted fault is found, and as what; "": in none of them."""
    for seed in range(1, most + 1):
        walked = orders.walk(seed, IN_REGISTER[number].makes)
        if walked.breach:
            return seed, walked.breach
    return most, ""


def in_views(most: int, number: int) -> tuple[int, str]:
    """The same, of days."""
    planted = IN_VIEWS[number]
    for seed in range(1, most + 1):
        day = days.play(seed, planted.kind, planted.makes)
        if day.breaches:
            return seed, day.breaches[0]
    return most, ""


def lines(drawn: int, jobs: int, fail: Callable[[], object]) -> Iterator[str]:
    """What is found, line by line; `fail` is called for each thing that is not as it has to be."""
    parts = range(1, max(EACH, drawn) + 1, EACH)
    with ProcessPoolExecutor(jobs) as pool:
        register = pool.map(partial(in_register, MOST * WALKS), range(len(IN_REGISTER)))
        standing = pool.map(partial(in_views, MOST), range(len(IN_VIEWS)))
        walked = pool.map(_orders, parts)
        kinds = [kind for kind in days.KINDS for part in parts if kind == "mixed" or part < drawn // 4 + 1]
        firsts = [part for kind in days.KINDS for part in parts if kind == "mixed" or part < drawn // 4 + 1]
        played = pool.map(_days, firsts, kinds)
        whats = [one.what for one in IN_REGISTER] + [one.what for one in IN_VIEWS]
        units = ["orders"] * len(IN_REGISTER) + ["days"] * len(IN_VIEWS)
        for what, unit, (count, breach) in zip(whats, units, [*register, *standing], strict=True):
            if breach:
                yield f"found: {what}; {unit} looked at: {count}; {breach}"
            else:
                fail()
                yield f"NOT FOUND: {what}; {unit} looked at: {count}"
        yield from _orders_judged([one for part in walked for one in part], fail)
        yield from _days_judged([day for part in played for day in part], fail)


def _orders_judged(walked: list[orders.Walked], fail: Callable[[], object]) -> Iterator[str]:
    bad = [one for one in walked if one.breach]
    yield (
        f"{len(walked)} drawn orders of the register's words: {sum(one.terms for one in walked)} terms, "
        f"{sum(one.chosen for one in walked)} entries chosen, {sum(one.restarts for one in walked)} voters "
        f"started anew, {len(bad)} breaches"
    )
    for one in bad[:20]:
        fail()
        yield f"    order {one.seed}, {one.breach}"


def _days_judged(played: list[days.Day], fail: Callable[[], object]) -> Iterator[str]:
    for kind in days.KINDS:
        found = [day for day in played if day.kind == kind]
        breaches = [(day.seed, breach) for day in found for breach in day.breaches]
        yield (
            f"{len(found)} drawn days, {kind}: {sum(day.length for day in found) / 3600:.1f} h, "
            f"{sum(day.events for day in found)} events, {sum(day.views for day in found)} views, "
            f"{sum(day.out for day in found)} members taken out, {len(breaches)} breaches"
        )
        for seed, breach in breaches[:20]:
            fail()
            yield f"    day {seed}, {breach}"
