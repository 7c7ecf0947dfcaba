"""The figures, compared with a slow and simple computation."""

from __future__ import annotations

from math import ceil
from random import Random
from typing import Any

import pytest
from msgspec import structs

from tests.lab.rules.checker_driver import START, CheckerDriver, make_plan
from wheatring.lab.plan import ChokePlan

Try = tuple[float, int, float, str]  # asked, class, settled, end


def make_day(seed: int) -> list[Try]:
    random = Random(seed)
    day = []
    for _ in range(400):
        asked = random.uniform(0, 30)
        if 11 < asked < 14 and random.random() < 0.7:
            continue
        end = random.choice(("served", "served", "served", "refused", "failed", "timeout", "left"))
        day.append((asked, random.randrange(3), asked + random.uniform(0.01, 6), end))
    return day


@pytest.mark.parametrize("seed", range(5))
def test_figures_equal_a_simple_computation(seed: int) -> None:
    day, driver = make_day(seed), CheckerDriver()
    classes = driver.plan.classes
    events = sorted(
        [(asked, 0, number) for number, (asked, _, _, _) in enumerate(day)]
        + [(settled, 1, number) for number, (_, _, settled, _) in enumerate(day)]
    )
    for at, what, number in events:
        driver.at(at)
        if what == 0:
            driver.checker.asked(number, day[number][1])
        else:
            driver.checker.settled(number, day[number][3], 1)  # type: ignore[arg-type]
    driver.at(36.5)
    outcome = driver.finish()

    def earned(one: Try) -> float:
        asked, index, settled, end = one
        share = 0.0 if end != "served" else 1.0 if settled - asked <= 2.5 else classes[index].late_worth
        return share * classes[index].worth

    def service(tries: list[Try]) -> float:
        return sum(map(earned, tries)) / sum(classes[index].worth for _, index, _, _ in tries)

    def within(since: float, until: float) -> list[Try]:
        return [one for one in day if since <= one[0] < until]

    whole, window = service(day), min(service(within(since, since + 10)) for since in range(21))
    worst = min(service([one for one in day if one[1] == index]) for index in range(3))
    worth = sum(classes[index].worth for _, index, _, _ in day)
    late = sum(
        classes[i].worth for asked, i, settled, end in day if end != "served" and settled - asked > 2.5
    )
    g = 0.6 * whole + 0.2 * window + 0.2 * worst - 0.031 * late / worth
    figures = (outcome.whole, outcome.service, outcome.worst_window, outcome.worst_class, outcome.g)
    assert figures == pytest.approx((whole, whole, window, worst, g))
    assert outcome.counts["worth_asked"] == pytest.approx(worth)
    assert outcome.counts["worth_in_time"] + outcome.counts["worth_late"] == pytest.approx(whole * worth)
    for number, second in enumerate(outcome.seconds):
        tries = within(number, number + 1)
        times = sorted((settled - asked) * 1000 for asked, _, settled, end in tries if end == "served")
        assert second.asked == len(tries) and second.earned == pytest.approx(sum(map(earned, tries)))
        ends = second.in_time + second.late, second.refused, second.failed
        refused = len([one for one in tries if one[3] == "refused"])
        assert ends == (len(times), refused, len(tries) - len(times) - refused)
        p50 = times[ceil(len(times) / 2) - 1] if times else 0
        assert (second.p50_ms, second.p99_ms) == pytest.approx((p50, times[-1] if times else 0), abs=0.001)
    for index, each in enumerate(outcome.classes):
        times = sorted((s - a) * 1000 for a, i, s, end in day if end == "served" and i == index)
        assert (each.asked, each.in_time) == (
            len([one for one in day if one[1] == index]),
            len([time for time in times if time <= 2500]),
        )
        assert each.p50_ms == pytest.approx(times[ceil(len(times) / 2) - 1], rel=0.002, abs=1)


def test_first_tries_open_at_the_end_count_as_failed() -> None:
    driver = CheckerDriver()
    driver.checker.asked(1, 0)
    outcome = driver.at(3).finish()
    assert (outcome.requests, outcome.seconds[0].failed, outcome.whole) == (1, 1, 0.0)
    assert outcome.g == pytest.approx(-0.031)


def call(
    driver: CheckerDriver, sidecar: str, node: str, ident: str, work: float, served: bool = True
) -> None:
    """Record the work and the end of an attempt, then the answer unless `served` is False."""
    driver.checker.worked(node, ident, work)
    stamp = driver.checker.made(node, ident)
    driver.checker.ended(node, ident)
    if served:
        driver.checker.answered(sidecar, ident, "served", stamp, 0.0)


def test_work_without_an_answer_to_the_client_counts_as_waste() -> None:
    """A request runs twice at the front; both attempts call the next tier, one of them with a retry."""
    first_tries = {"r": 1, "c1": 1, "c2": 1}
    driver = CheckerDriver(first_request_of=first_tries.get)
    checker: Any = driver.checker
    checker.asked(1, 0)
    driver.take()
    driver.send("front0")
    driver.send("front1")
    for sidecar, node, ident in (
        ("front0", "stock0", "c1"), ("front0", "stock0", "c1"), ("front1", "stock2", "c2"),
    ):  # fmt: skip
        if ident not in checker.requests:
            checker.taken(sidecar, ident, 0, "", START + 6)
        checker.arrived(sidecar, node, ident)
    call(driver, "front0", "stock0", "c1", 1.0)
    call(driver, "front0", "stock0", "c1", 10.0, served=False)  # its caller has already been answered
    call(driver, "front1", "stock2", "c2", 100.0)
    call(driver, "lb", "front0", "r", 1000.0)
    call(driver, "lb", "front1", "r", 10000.0, served=False)
    checker.settled(1, "served", 1)
    outcome = driver.finish()
    assert outcome.counts["work_useful"] == 1001.0
    # Work of a request of the first class: 0.2 s times 0.4 at the front, 0.6 for 2 calls, 0.1 for 6 calls.
    assert outcome.waste == pytest.approx(10110.0 / (0.2 * (0.4 + 2 * 0.6 + 6 * 0.1)))
    assert outcome.g == pytest.approx(1 - 0.04 * outcome.waste)
    assert outcome.node_work["stock2"] == 100.0 and outcome.attempts_by_tier == [2, 3, 0]
    assert outcome.attempts_each == 2.0


def test_choked_nodes_cost_their_share_of_the_tier() -> None:
    choke = ChokePlan(at=3, over=2, slower=3, rest=3, below=0.5, most=20, price=0.06)
    plan = make_plan()
    front = structs.replace(plan.tiers[0], choke=choke)
    driver = CheckerDriver(structs.replace(plan, tiers=(front, *plan.tiers[1:])))
    for node in ("front1", "front1", "stock0"):
        driver.checker.choked(node)
    assert driver.finish().g == pytest.approx(1 - 0.06 / 3)


def test_tries_refused_late_without_an_attempt_are_counted() -> None:
    driver = CheckerDriver()
    for ident, at, attempts in (("a", 2.9, 0), ("b", 3.1, 0), ("c", 3.1, 1)):
        driver.at(0).take(ident, 1)
        for _ in range(attempts):
            driver.send(ident=ident)
            driver.reject(ident=ident)
        driver.at(at).answer(ident, "refused")
    counts = driver.finish().counts
    assert (counts["unsent_late"], counts["unsent_late_worth"]) == (1, 5.0)
