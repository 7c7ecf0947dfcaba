"""Each rule: the least that breaks it is found, and its nearest lawful neighbour is not."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.lab.rules.checker_driver import KEYED, START, UNSAFE, CheckerDriver, make_plan
from wheatring.lab.plan import EventPlan
from wheatring.lab.rules import MisuseError

Story = Callable[[CheckerDriver, bool], object]
STORIES: list[tuple[str, Story, dict[str, Any]]] = []


def breaks(rule: str, **more: Any) -> Callable[[Story], Story]:
    """Mark a story that breaks this rule, and no other, when asked to; else none. `more`: of its plan."""

    def keep(story: Story) -> Story:
        STORIES.append((rule, story, more))
        return story

    return keep


# Answers


@breaks("answer")
def late(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(6.071 if wrong else 6.07).answer()


@breaks("answer")
def never(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(6.07 if wrong else 6.06).book.left("lb", "r")


@breaks("answer")
def still_open_at_the_end(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(6.08 if wrong else 6.06)


@breaks("answer")
def connection_ended(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    if not wrong:
        driver.at(1).book.sidecar_down("lb", True)
    driver.at(1.001).book.lost("lb", "r", "reset")


@breaks("answer")
def owed_for_long_when_killed(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(6.1 if wrong else 6.0).book.sidecar_down("lb", True)
    driver.book.lost("lb", "r", "reset")


@breaks("answer")
def taken_with_the_door_to_be_closed(driver: CheckerDriver, wrong: bool) -> None:
    driver.book.sidecar_stopping("lb")
    driver.at(0.71 if wrong else 0.7).take()
    driver.at(5).book.sidecar_down("lb", True)
    driver.book.lost("lb", "r", "reset")


@breaks("answer")
def ended_with_a_request(driver: CheckerDriver, wrong: bool) -> None:
    driver.book.sidecar_stopping("lb")
    driver.at(0.6).take()
    driver.book.sidecar_down("lb", False)
    if not wrong:
        driver.book.untaken("lb", "r")
    driver.at(0.7)


@breaks("answer")
def written_to_a_process_that_had_ended(driver: CheckerDriver, wrong: bool) -> None:
    driver.book.sidecar_down("lb", True)
    if wrong:
        driver.at(1).book.sidecar_up("lb")
    driver.take()
    driver.book.lost("lb", "r", "reset")


@breaks("answer")
def ended_by_itself(driver: CheckerDriver, wrong: bool) -> None:
    if not wrong:
        driver.book.sidecar_stopping("lb")
    driver.at(1).book.sidecar_down("lb", False)


@breaks("answer")
def closed_on_what_it_had_read(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    if wrong:
        driver.send()
    driver.book.untaken("lb", "r")
    driver.take()  # elsewhere, with the same name
    driver.answer()


# Between the front's sidecar and a node, and between another node's sidecar and what is named nowhere.
CUTS = tuple(
    EventPlan(at=1.0, kind="partition", length=9.0, hosts=(host,), others=others)
    for host, others in (("127.1.0.1", ("127.0.0.0",)), ("127.100.0.1", ()))
)


@breaks("answer", events=CUTS)
def cut_off_from_its_callers(driver: CheckerDriver, wrong: bool) -> None:
    sidecar = "lb" if wrong else "front1"
    driver.at(12).book.taken(sidecar, "r", 0, "", START + 18)  # what was lost has yet to be sent again
    driver.at(19.4).book.answered(sidecar, "r", "failed", "", 0.0)


# Duplicates


@breaks("duplicate")
def unsafe_again(driver: CheckerDriver, wrong: bool) -> None:
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
        driver.book.ended("front0", "r")
    else:
        driver.reject()
    driver.answer(kind="refused")


@breaks("duplicate")
def unsafe_refused_with_one_on_its_way(driver: CheckerDriver, wrong: bool) -> None:
    driver.take(index=UNSAFE)
    driver.at(1).answer(kind="refused" if wrong else "failed")
    driver.at(1.1).send(sent=0.9)


@breaks("duplicate")
def keyed_past_its_window(driver: CheckerDriver, wrong: bool) -> None:
    driver.take(index=KEYED, deadline=20)
    driver.send("front0")
    driver.book.ended("front0", "r")
    driver.at(10.06 if wrong else 10.04).send("front1")
    driver.serve("front1")


@breaks("duplicate")
def too_many(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    for _ in range(6 if wrong else 5):
        driver.send()
        driver.reject()
    driver.answer()


@breaks("duplicate", second_copies=False)
def two_at_once(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).send("front0")
    driver.at(2.1 if wrong else 2.001).book.ended("front0", "r")  # its end was on its way for 1 ms
    driver.at(2.5).send("front1", sent=2)
    driver.serve("front1")


@breaks("duplicate", second_copies=False)
def two_at_once_that_overtake(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(2).send("front1", sent=1.1)
    driver.at(2.1).send("front0", sent=1.0)
    driver.at(3 if wrong else 1.101).book.ended("front0", "r")
    driver.at(3).serve("front1")


@breaks("duplicate", second_copies=False)
def two_at_one_node(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).send()
    driver.at(2.0005).send(sent=2)
    driver.reject()
    driver.at(3 if wrong else 2.0008).book.ended("front0", "r")  # the first
    driver.answer()


@breaks("duplicate")
def sent_once_answered(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).answer(written=START + 0.9993)
    driver.at(1.2).send(sent=0.9994 if wrong else 0.9993)


@breaks("duplicate")
def sent_once_left(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).book.left("lb", "r")
    driver.at(1.2).send(sent=1.006 if wrong else 1.0007)


@breaks("duplicate")
def sent_for_nobody(driver: CheckerDriver, wrong: bool) -> None:
    driver.take("r")
    driver.send(ident="s" if wrong else "r")
    driver.answer()


@breaks("duplicate")
def sent_long_after(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.at(1).answer()
    driver.at(20).take("s", deadline=26)
    assert "r" not in driver.book.requests
    driver.send(sent=None if wrong else 0.9)


@breaks("duplicate")
def another_sidecars_request(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    if not wrong:
        driver.at(1).book.sidecar_down("lb", True)
    driver.at(1.001).book.untaken("lb", "r")
    driver.book.taken("front0", "r", 0, "", START + 6)
    driver.at(1.1).book.arrived("lb", "front0", "r", START + 0.9)


@breaks("duplicate")
def effect_twice(driver: CheckerDriver, wrong: bool) -> None:
    for ident, at in (("r", 0.0), ("s", 9.9 if wrong else 10.0)):
        driver.at(at).take(ident, KEYED, at + 6)
        driver.send(ident=ident)
        driver.book.effect("front0", ident, "key")
        driver.serve(ident=ident)


# Drains


@breaks("drain")
def sent_to_a_draining_node(driver: CheckerDriver, wrong: bool) -> None:
    driver.book.known("front0", "draining", 0.0)
    driver.at(1).book.told("lb", "front0", "draining", 0.0)
    driver.at(2).book.told("lb", "front0", "gone", 0.0)  # the later news gives no new grace
    driver.at(3.6).book.sending("lb", "front0", START + (3.551 if wrong else 3.55))


@breaks("drain")
def back_again(driver: CheckerDriver, wrong: bool) -> None:
    for at, state, started in ((1, "gone", 0.0), (2, "ready", 1002.0)):
        driver.at(at).book.known("front0", state, started)  # type: ignore[arg-type]
        if state == "gone" or not wrong:
            driver.book.told("lb", "front0", state, started)  # type: ignore[arg-type]
    driver.book.told("lb", "front0", "ready", 0.0)  # older news, by a call that was slow
    driver.at(8).book.sending("lb", "front0", START + 8)


def counts_as_told(name: str, due: float, *tales: tuple[float, str, Any]) -> None:
    """Check that after these updates a node counts as ended, and nothing may be sent to it, from `due` on."""

    def story(driver: CheckerDriver, wrong: bool) -> None:
        for at, what, value in tales:
            tell = getattr(driver.at(at).book, what)
            tell(
                *(("front0", "gone", value) if what == "known" else ("lb", value)[: 1 + (value is not None)])
            )
        driver.at(60).book.sending("lb", "front0", START + due + (0.01 if wrong else -0.01))

    story.__name__ = name
    breaks("drain")(story)


END = 2.55  # the drain's grace
counts_as_told("by_a_call_that_waits", 1 + 20 + 2 + END, (1, "asking", 20.0), (2, "known", 0.0))
counts_as_told("by_a_call_for_all", 2 + 6 + END, (1, "known", 0.0), (2, "asking", 0.0))
heard = (1, "asking", 5.0), (6, "unheard", None)  # no news in all its wait
counts_as_told("without_asking", 7 + 10 + END, *heard, (7, "known", 0.0))
failed = (1, "asking", 5.0), (2, "unheard", True)
given_up = (1, "asking", 5.0), (2, "unheard", None)
counts_as_told("after_a_call_that_it_gave_up", 3 + 10 + END, *given_up, (3, "known", 0.0))
counts_as_told("after_a_call_that_failed", 3 + 40 + END, *failed, (3, "known", 0.0))


@breaks("drain", events=(EventPlan(at=1.0, kind="vanish", length=2.0, nodes=("front0",)),))
def told_while_cut_off(driver: CheckerDriver, wrong: bool) -> None:
    sidecar = "front1" if wrong else "front0"
    driver.at(1).book.asking(sidecar, 5.0)
    driver.at(1.5).book.told(sidecar, "stock0", "gone", 0.0)
    driver.at(10).book.sending(sidecar, "stock0", START + 10)  # lawful until 1 + 5 + 2 + 2.55


# Cold nodes


def cold(driver: CheckerDriver, *offers: tuple[float, str, float]) -> None:
    """So much work is offered at a time by the sidecar `knows`, which is told of the start, or by another."""
    for sidecar in ("knows", "lb"):
        driver.book.told(sidecar, "front0", "ready", 0.0)
    driver.at(1).book.node_up("front0", lambda: 0.26)  # so that 0.65 s fit into a second
    driver.at(2).book.known("front0", "ready", 1001.0)
    driver.book.told("knows", "front0", "ready", 1001.0)
    for at, sidecar, work in offers:
        driver.at(at).book.offered("front0", sidecar, work)


@breaks("cold")
def too_much(driver: CheckerDriver, wrong: bool) -> None:
    # The largest piece is left out.
    cold(driver, *[(at, "knows", 0.33 if wrong else 0.32) for at in (3.0, 3.5, 3.9)])


@breaks("cold")
def too_much_within_a_window(driver: CheckerDriver, wrong: bool) -> None:
    cold(driver, *[(at, "knows", 0.6) for at in (3.0, 3.5, 3.99 if wrong else 4.0)])


@breaks("cold")
def too_much_from_those_that_know(driver: CheckerDriver, wrong: bool) -> None:
    early = [(2.5, "knows", 3.0)]  # out of the window
    cold(driver, *early, *[(at, "knows" if wrong else "lb", 0.4) for at in (3.6, 3.7, 3.8)])


# What is served, and bounds


@breaks("served")
def stamp_of_another(driver: CheckerDriver, wrong: bool) -> None:
    stamps = {}
    for ident in "rs":
        driver.take(ident)
        driver.send(ident=ident)
        stamps[ident] = driver.book.made("front0", ident)
        driver.book.ended("front0", ident)
    driver.answer("r", "served", stamps["r"])
    driver.answer("s", "served", stamps["r" if wrong else "s"])


@breaks("served")
def stamp_changed(driver: CheckerDriver, wrong: bool) -> None:
    driver.take()
    driver.send()
    driver.answer("r", "served", driver.book.made("front0", "r")[: -1 if wrong else None])


@breaks("bounds", max_open=2)
def open_jobs(driver: CheckerDriver, wrong: bool) -> None:
    for ident in "rst" if wrong else "rs":
        driver.take(ident)


@pytest.mark.parametrize(("rule", "story", "more"), STORIES, ids=[story.__name__ for _, story, _ in STORIES])
def test_a_breach_is_found_and_its_lawful_neighbour_is_not(
    rule: str, story: Story, more: dict[str, Any]
) -> None:
    for wrong in (False, True):
        driver = CheckerDriver(make_plan(**more))
        story(driver, wrong)
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
def test_what_the_world_counted(name: str, count: int, rules: set[str]) -> None:
    assert CheckerDriver().broken(**{name: count}) == rules


def test_what_is_in_flight_is_not_left_over() -> None:
    driver = CheckerDriver()
    driver.at(1).take(deadline=7)
    driver.answer()  # an attempt may go on until its time is over
    assert driver.at(7.06).broken(claims=1) == set()
    assert driver.at(7.08).broken(claims=1) == {"leftover"}


def test_impossible_events_are_rejected() -> None:
    driver = CheckerDriver()
    driver.take()
    with pytest.raises(MisuseError, match="taken again"):
        driver.take()
    with pytest.raises(MisuseError, match="without an attempt"):
        driver.book.ended("front0", "r")
    driver.answer()
    for ident in ("r", "nobody"):
        with pytest.raises(MisuseError):
            driver.answer(ident)
        with pytest.raises(MisuseError):
            driver.book.left("lb", ident)
    assert driver.broken() == set()


def test_a_breach_by_first_byte_is_named_once_the_request_is_known() -> None:
    driver = CheckerDriver()
    driver.take(deadline=20)
    driver.book.told("lb", "front0", "gone", 0.0)
    driver.at(5).send()
    driver.serve()
    (breach,) = driver.finish().breaches
    assert (breach.rule, breach.ident, breach.at, breach.node) == ("drain", "r", 5.0, "front0")
    assert breach.what == "lb sent to front0 5.000 s after it knew that it drains or is gone."
