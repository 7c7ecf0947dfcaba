"""Boundary cases of each rule: the smallest violation is found, and the nearest valid history is not."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.lab.rules.checker_driver import KEYED, START, UNSAFE, CheckerDriver, make_plan
from wheatring.lab.plan import EventPlan
from wheatring.lab.rules import MisuseError

Case = Callable[[CheckerDriver, bool], object]
CASES: list[tuple[str, Case, dict[str, Any]]] = []


def breaks(rule: str, **more: Any) -> Callable[[Case], Case]:
    """Register a case that breaks only this rule if `wrong`, and none otherwise; `more` goes to its plan."""

    def register(case: Case) -> Case:
        CASES.append((rule, case, more))
        return case

    return register


# Answers


@breaks("answer")
def answered_late(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(6.071 if wrong else 6.07).answer()


@breaks("answer")
def caller_left_unanswered(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(6.07 if wrong else 6.06).checker.left("lb", "r")


@breaks("answer")
def still_open_at_the_end(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(6.08 if wrong else 6.06)


@breaks("answer")
def connection_lost(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    if not wrong:
        driver.at(1).checker.sidecar_down("lb", True)
    driver.at(1.001).checker.lost("lb", "r", "reset")


@breaks("answer")
def overdue_when_killed(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(6.1 if wrong else 6.0).checker.sidecar_down("lb", True)
    driver.checker.lost("lb", "r", "reset")


@breaks("answer")
def taken_too_long_after_sigterm(driver: CheckerDriver, wrong: bool) -> None:
    driver.checker.sidecar_stopping("lb")
    driver.at(0.71 if wrong else 0.7).take()
    driver.at(5).checker.sidecar_down("lb", True)
    driver.checker.lost("lb", "r", "reset")


@breaks("answer")
def exited_with_an_open_request(driver: CheckerDriver, wrong: bool) -> None:
    driver.checker.sidecar_stopping("lb")
    driver.at(0.6).take()
    driver.checker.sidecar_down("lb", False)
    if not wrong:
        driver.checker.untaken("lb", "r")
    driver.at(0.7)


@breaks("answer")
def taken_after_the_process_ended(driver: CheckerDriver, wrong: bool) -> None:
    driver.checker.sidecar_down("lb", True)
    if wrong:
        driver.at(1).checker.sidecar_up("lb")
    driver.take()
    driver.checker.lost("lb", "r", "reset")


@breaks("answer")
def exited_without_sigterm(driver: CheckerDriver, wrong: bool) -> None:
    if not wrong:
        driver.checker.sidecar_stopping("lb")
    driver.at(1).checker.sidecar_down("lb", False)


@breaks("answer")
def closed_after_reading_the_request(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    if wrong:
        driver.send()
    driver.checker.untaken("lb", "r")
    driver.take()  # at another sidecar, with the same ident
    driver.answer()


# Partitions between the front's sidecar and a node, and between the sidecar of front1 and all hosts.
CUTS = tuple(
    EventPlan(at=1.0, kind="partition", length=9.0, hosts=(host,), others=others)
    for host, others in (("127.1.0.1", ("127.0.0.0",)), ("127.100.0.1", ()))
)


@breaks("answer", events=CUTS)
def partitioned_from_its_callers(driver: CheckerDriver, wrong: bool) -> None:
    sidecar = "lb" if wrong else "front1"
    driver.at(12).checker.taken(sidecar, "r", 0, "", START + 18)  # lost bytes are not retransmitted yet
    driver.at(19.4).checker.answered(sidecar, "r", "failed", "", 0.0)


# Duplicates


@breaks("duplicate")
def unsafe_retried(driver: CheckerDriver, wrong: bool) -> None:
    driver.take(index=UNSAFE)
    driver.send("front0")
    if not wrong:
        driver.reject("front0")
    driver.send("front1")
    driver.serve("front1")


@breaks("duplicate")
def unsafe_refused(driver: CheckerDriver, wrong: bool) -> None:
    driver.take(index=UNSAFE)
    driver.send()
    if wrong:
        driver.checker.ended("front0", "r")
    else:
        driver.reject()
    driver.answer(kind="refused")


@breaks("duplicate")
def unsafe_refused_with_an_attempt_on_its_way(driver: CheckerDriver, wrong: bool) -> None:
    driver.take(index=UNSAFE)
    driver.at(1).answer(kind="refused" if wrong else "failed")
    driver.at(1.1).send(sent=0.9)


@breaks("duplicate")
def keyed_retried_past_its_window(driver: CheckerDriver, wrong: bool) -> None:
    driver.take(index=KEYED, deadline=20)
    driver.send("front0")
    driver.checker.ended("front0", "r")
    driver.at(10.06 if wrong else 10.04).send("front1")
    driver.serve("front1")


@breaks("duplicate")
def too_many_attempts(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    for _ in range(6 if wrong else 5):
        driver.send()
        driver.reject()
    driver.answer()


@breaks("duplicate", second_copies=False)
def two_attempts_in_flight(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).send("front0")
    driver.at(2.1 if wrong else 2.001).checker.ended("front0", "r")  # the end takes up to 1 ms to arrive
    driver.at(2.5).send("front1", sent=2)
    driver.serve("front1")


@breaks("duplicate", second_copies=False)
def two_attempts_in_flight_that_arrive_in_reverse(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(2).send("front1", sent=1.1)
    driver.at(2.1).send("front0", sent=1.0)
    driver.at(3 if wrong else 1.101).checker.ended("front0", "r")
    driver.at(3).serve("front1")


@breaks("duplicate", second_copies=False)
def two_attempts_in_flight_at_one_node(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).send()
    driver.at(2.0005).send(sent=2)
    driver.reject()
    driver.at(3 if wrong else 2.0008).checker.ended("front0", "r")  # the first attempt
    driver.answer()


@breaks("duplicate")
def sent_after_the_answer(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).answer(written=START + 0.9993)
    driver.at(1.2).send(sent=0.9994 if wrong else 0.9993)


@breaks("duplicate")
def sent_after_the_caller_left(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).checker.left("lb", "r")
    driver.at(1.2).send(sent=1.006 if wrong else 1.0007)


@breaks("duplicate")
def sent_for_an_unknown_request(driver: CheckerDriver, wrong: bool) -> None:
    driver.take("r")
    driver.send(ident="s" if wrong else "r")
    driver.answer()


@breaks("duplicate")
def sent_long_after_the_answer(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).answer()
    driver.at(20).take("s", deadline=26)
    assert "r" not in driver.checker.requests
    driver.send(sent=None if wrong else 0.9)


@breaks("duplicate")
def request_taken_by_another_sidecar(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    if not wrong:
        driver.at(1).checker.sidecar_down("lb", True)
    driver.at(1.001).checker.untaken("lb", "r")
    driver.checker.taken("front0", "r", 0, "", START + 6)
    driver.at(1.1).checker.arrived("lb", "front0", "r", START + 0.9)


@breaks("duplicate")
def two_effects_of_a_key(driver: CheckerDriver, wrong: bool) -> None:
    for ident, at in (("r", 0.0), ("s", 9.9 if wrong else 10.0)):
        driver.at(at).take(ident, KEYED, at + 6)
        driver.send(ident=ident)
        driver.checker.effect("front0", ident, "key")
        driver.serve(ident=ident)


# Drains


@breaks("drain")
def sent_to_a_draining_node(driver: CheckerDriver, wrong: bool) -> None:
    driver.checker.known("front0", "draining", 0.0)
    driver.at(1).checker.told("lb", "front0", "draining", 0.0)
    driver.at(2).checker.told("lb", "front0", "gone", 0.0)  # a second change gives no further grace
    driver.at(3.6).checker.sending("lb", "front0", START + (3.551 if wrong else 3.55))


@breaks("drain")
def sent_before_the_restart_is_known(driver: CheckerDriver, wrong: bool) -> None:
    for at, state, started in ((1, "gone", 0.0), (2, "ready", 1002.0)):
        driver.at(at).checker.known("front0", state, started)  # type: ignore[arg-type]
        if state == "gone" or not wrong:
            driver.checker.told("lb", "front0", state, started)  # type: ignore[arg-type]
    driver.checker.told("lb", "front0", "ready", 0.0)  # an older state, from a slow call
    driver.at(8).checker.sending("lb", "front0", START + 8)


def add_presumed_knowledge_case(name: str, due: float, *events: tuple[float, str, Any]) -> None:
    """Add a case in which, after these events, sending to the node is a breach from time `due` on."""

    def case(driver: CheckerDriver, wrong: bool) -> None:
        for at, what, value in events:
            record = getattr(driver.at(at).checker, what)
            record(
                *(("front0", "gone", value) if what == "known" else ("lb", value)[: 1 + (value is not None)])
            )
        driver.at(60).checker.sending("lb", "front0", START + due + (0.01 if wrong else -0.01))

    case.__name__ = name
    breaks("drain")(case)


GRACE = 2.55  # drain grace and socket tolerance
add_presumed_knowledge_case(
    "presumed_after_a_call_with_a_wait", 1 + 20 + 2 + GRACE, (1, "asking", 20.0), (2, "known", 0.0)
)
add_presumed_knowledge_case(
    "presumed_after_a_call_without_a_wait", 2 + 6 + GRACE, (1, "known", 0.0), (2, "asking", 0.0)
)
ended_unchanged = (1, "asking", 5.0), (6, "unheard", None)  # no change during its wait
add_presumed_knowledge_case("presumed_without_a_call", 7 + 10 + GRACE, *ended_unchanged, (7, "known", 0.0))
failed = (1, "asking", 5.0), (2, "unheard", True)
abandoned = (1, "asking", 5.0), (2, "unheard", None)
add_presumed_knowledge_case("presumed_after_an_abandoned_call", 3 + 10 + GRACE, *abandoned, (3, "known", 0.0))
add_presumed_knowledge_case("presumed_after_a_failed_call", 3 + 40 + GRACE, *failed, (3, "known", 0.0))


@breaks("drain", events=(EventPlan(at=1.0, kind="vanish", length=2.0, nodes=("front0",)),))
def notified_during_a_partition(driver: CheckerDriver, wrong: bool) -> None:
    sidecar = "front1" if wrong else "front0"
    driver.at(1).checker.asking(sidecar, 5.0)
    driver.at(1.5).checker.told(sidecar, "stock0", "gone", 0.0)
    driver.at(10).checker.sending(sidecar, "stock0", START + 10)  # allowed until 1 + 5 + 2 + 2.55


# Warm-up


def offer_work(driver: CheckerDriver, *offers: tuple[float, str, float]) -> None:
    """Start a node and offer it work from `notified`, which is told of the start, or from another sidecar."""
    for sidecar in ("notified", "lb"):
        driver.checker.told(sidecar, "front0", "ready", 0.0)
    driver.at(1).checker.node_up("front0", lambda: 0.26)  # allows 0.65 s of work within a second
    driver.at(2).checker.known("front0", "ready", 1001.0)
    driver.checker.told("notified", "front0", "ready", 1001.0)
    for at, sidecar, work in offers:
        driver.at(at).checker.offered("front0", sidecar, work)


@breaks("cold")
def overloaded_without_the_largest_piece(driver: CheckerDriver, wrong: bool) -> None:
    # The detector ignores the largest piece of work.
    offer_work(driver, *[(at, "notified", 0.33 if wrong else 0.32) for at in (3.0, 3.5, 3.9)])


@breaks("cold")
def overloaded_within_a_window(driver: CheckerDriver, wrong: bool) -> None:
    offer_work(driver, *[(at, "notified", 0.6) for at in (3.0, 3.5, 3.99 if wrong else 4.0)])


@breaks("cold")
def overloaded_by_notified_sidecars(driver: CheckerDriver, wrong: bool) -> None:
    early = [(2.5, "notified", 3.0)]  # outside the window
    offer_work(driver, *early, *[(at, "notified" if wrong else "lb", 0.4) for at in (3.6, 3.7, 3.8)])


# Origin of answers, and bounds


@breaks("served")
def answer_of_another_request(driver: CheckerDriver, wrong: bool) -> None:
    stamps = {}
    for ident in "rs":
        driver.take(ident)
        driver.send(ident=ident)
        stamps[ident] = driver.checker.made("front0", ident)
        driver.checker.ended("front0", ident)
    driver.answer("r", "served", stamps["r"])
    driver.answer("s", "served", stamps["r" if wrong else "s"])


@breaks("served")
def changed_stamp(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.send()
    driver.answer("r", "served", driver.checker.made("front0", "r")[: -1 if wrong else None])


@breaks("bounds", max_open=2)
def too_many_open_requests(driver: CheckerDriver, wrong: bool) -> None:
    for ident in "rst" if wrong else "rs":
        driver.take(ident)


@pytest.mark.parametrize(("rule", "case", "more"), CASES, ids=[case.__name__ for _, case, _ in CASES])
def test_a_violation_is_found_and_the_nearest_valid_case_is_not(
    rule: str, case: Case, more: dict[str, Any]
) -> None:
    for wrong in (False, True):
        driver = CheckerDriver(make_plan(**more))
        case(driver, wrong)
        assert [breach.rule for breach in driver.finish().breaches] == [rule] * wrong


@pytest.mark.parametrize(
    ("name", "count", "rules"),
    [
        ("most_sockets", 1024, set()),
        ("most_sockets", 1025, {"bounds"}),
        ("claims", 0, set()),
        ("claims", 1, {"leftover"}),
    ],
)
def test_leftovers_and_descriptors_are_checked(name: str, count: int, rules: set[str]) -> None:
    assert CheckerDriver().broken_rules(**{name: count}) == rules


def test_counts_of_a_sidecar_with_requests_in_flight_are_exempt() -> None:
    driver = CheckerDriver()
    driver.at(1).take(deadline=7)
    driver.answer()  # an attempt may run until the deadline and grace have passed
    assert driver.at(7.06).broken_rules(claims=1) == set()
    assert driver.at(7.08).broken_rules(claims=1) == {"leftover"}


def test_impossible_events_are_rejected() -> None:
    driver = CheckerDriver()
    driver.take()
    with pytest.raises(MisuseError, match="taken again"):
        driver.take()
    with pytest.raises(MisuseError, match="without an attempt"):
        driver.checker.ended("front0", "r")
    driver.answer()
    for ident in ("r", "nobody"):
        with pytest.raises(MisuseError):
            driver.answer(ident)
        with pytest.raises(MisuseError):
            driver.checker.left("lb", ident)
    assert driver.broken_rules() == set()


def test_a_drain_breach_gets_the_ident_when_the_attempt_arrives() -> None:
    driver = CheckerDriver()
    driver.take(deadline=20)
    driver.checker.told("lb", "front0", "gone", 0.0)
    driver.at(5).send()
    driver.serve()
    (breach,) = driver.finish().breaches
    assert (breach.rule, breach.ident, breach.at, breach.node) == ("drain", "r", 5.0, "front0")
    assert breach.what == "lb sent to front0 5.000 s after it knew that it drains or is gone."
