"""Each rule: the least that breaks it is found, and its nearest lawful neighbour is not."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.lab.rules.ledger_driver import KEYED, START, UNSAFE, Desk, a_plan
from wheatring.lab.plan import EventPlan
from wheatring.lab.rules import MisuseError

Story = Callable[[Desk, bool], object]
STORIES: list[tuple[str, Story, dict[str, Any]]] = []


def breaks(rule: str, **more: Any) -> Callable[[Story], Story]:
    """A story that breaks this rule, and no other, if it is told so; else none. `more`: of its plan."""

    def keep(story: Story) -> Story:
        STORIES.append((rule, story, more))
        return story

    return keep


# Answers


@breaks("answer")
def late(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(6.071 if wrong else 6.07).answer()


@breaks("answer")
def never(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(6.07 if wrong else 6.06).book.left("lb", "r")


@breaks("answer")
def still_open_at_the_end(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(6.08 if wrong else 6.06)


@breaks("answer")
def connection_ended(desk: Desk, wrong: bool) -> None:
    desk.take()
    if not wrong:
        desk.at(1).book.sidecar_down("lb", True)
    desk.at(1.001).book.lost("lb", "r", "reset")


@breaks("answer")
def owed_for_long_when_killed(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(6.1 if wrong else 6.0).book.sidecar_down("lb", True)
    desk.book.lost("lb", "r", "reset")


@breaks("answer")
def taken_with_the_door_to_be_closed(desk: Desk, wrong: bool) -> None:
    desk.book.sidecar_stopping("lb")
    desk.at(0.71 if wrong else 0.7).take()
    desk.at(5).book.sidecar_down("lb", True)
    desk.book.lost("lb", "r", "reset")


@breaks("answer")
def ended_with_a_request(desk: Desk, wrong: bool) -> None:
    desk.book.sidecar_stopping("lb")
    desk.at(0.6).take()
    desk.book.sidecar_down("lb", False)
    if not wrong:
        desk.book.untaken("lb", "r")
    desk.at(0.7)


@breaks("answer")
def written_to_a_process_that_had_ended(desk: Desk, wrong: bool) -> None:
    desk.book.sidecar_down("lb", True)
    if wrong:
        desk.at(1).book.sidecar_up("lb")
    desk.take()
    desk.book.lost("lb", "r", "reset")


@breaks("answer")
def ended_by_itself(desk: Desk, wrong: bool) -> None:
    if not wrong:
        desk.book.sidecar_stopping("lb")
    desk.at(1).book.sidecar_down("lb", False)


@breaks("answer")
def closed_on_what_it_had_read(desk: Desk, wrong: bool) -> None:
    desk.take()
    if wrong:
        desk.send()
    desk.book.untaken("lb", "r")
    desk.take()  # elsewhere, with the same name
    desk.answer()


# Between the front's sidecar and a node, and between another node's sidecar and what is named nowhere.
CUTS = tuple(
    EventPlan(at=1.0, kind="partition", length=9.0, hosts=(host,), others=others)
    for host, others in (("127.1.0.1", ("127.0.0.0",)), ("127.100.0.1", ()))
)


@breaks("answer", events=CUTS)
def cut_off_from_its_callers(desk: Desk, wrong: bool) -> None:
    sidecar = "lb" if wrong else "front1"
    desk.at(12).book.taken(sidecar, "r", 0, "", START + 18)  # what was lost has yet to be sent again
    desk.at(19.4).book.answered(sidecar, "r", "failed", "", 0.0)


# Duplicates


@breaks("duplicate")
def unsafe_again(desk: Desk, wrong: bool) -> None:
    desk.take(index=UNSAFE)
    desk.send("front0")
    if not wrong:
        desk.away("front0")
    desk.send("front1")
    desk.serve("front1")


@breaks("duplicate")
def unsafe_refused(desk: Desk, wrong: bool) -> None:
    desk.take(index=UNSAFE)
    desk.send()
    if wrong:
        desk.book.ended("front0", "r")
    else:
        desk.away()
    desk.answer(kind="refused")


@breaks("duplicate")
def unsafe_refused_with_one_on_its_way(desk: Desk, wrong: bool) -> None:
    desk.take(index=UNSAFE)
    desk.at(1).answer(kind="refused" if wrong else "failed")
    desk.at(1.1).send(sent=0.9)


@breaks("duplicate")
def keyed_past_its_window(desk: Desk, wrong: bool) -> None:
    desk.take(index=KEYED, deadline=20)
    desk.send("front0")
    desk.book.ended("front0", "r")
    desk.at(10.06 if wrong else 10.04).send("front1")
    desk.serve("front1")


@breaks("duplicate")
def too_many(desk: Desk, wrong: bool) -> None:
    desk.take()
    for _ in range(6 if wrong else 5):
        desk.send()
        desk.away()
    desk.answer()


@breaks("duplicate", second_copies=False)
def two_at_once(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(1).send("front0")
    desk.at(2.1 if wrong else 2.001).book.ended("front0", "r")  # its end was on its way for 1 ms
    desk.at(2.5).send("front1", sent=2)
    desk.serve("front1")


@breaks("duplicate", second_copies=False)
def two_at_once_that_overtake(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(2).send("front1", sent=1.1)
    desk.at(2.1).send("front0", sent=1.0)
    desk.at(3 if wrong else 1.101).book.ended("front0", "r")
    desk.at(3).serve("front1")


@breaks("duplicate", second_copies=False)
def two_at_one_node(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(1).send()
    desk.at(2.0005).send(sent=2)
    desk.away()
    desk.at(3 if wrong else 2.0008).book.ended("front0", "r")  # the first
    desk.answer()


@breaks("duplicate")
def sent_once_answered(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(1).answer(written=START + 0.9993)
    desk.at(1.2).send(sent=0.9994 if wrong else 0.9993)


@breaks("duplicate")
def sent_once_left(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(1).book.left("lb", "r")
    desk.at(1.2).send(sent=1.006 if wrong else 1.0007)


@breaks("duplicate")
def sent_for_nobody(desk: Desk, wrong: bool) -> None:
    desk.take("r")
    desk.send(ident="s" if wrong else "r")
    desk.answer()


@breaks("duplicate")
def sent_long_after(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.at(1).answer()
    desk.at(20).take("s", deadline=26)
    assert "r" not in desk.book.requests
    desk.send(sent=None if wrong else 0.9)


@breaks("duplicate")
def another_sidecars_request(desk: Desk, wrong: bool) -> None:
    desk.take()
    if not wrong:
        desk.at(1).book.sidecar_down("lb", True)
    desk.at(1.001).book.untaken("lb", "r")
    desk.book.taken("front0", "r", 0, "", START + 6)
    desk.at(1.1).book.arrived("lb", "front0", "r", START + 0.9)


@breaks("duplicate")
def effect_twice(desk: Desk, wrong: bool) -> None:
    for ident, at in (("r", 0.0), ("s", 9.9 if wrong else 10.0)):
        desk.at(at).take(ident, KEYED, at + 6)
        desk.send(ident=ident)
        desk.book.effect("front0", ident, "key")
        desk.serve(ident=ident)


# Drains


@breaks("drain")
def sent_to_a_draining_node(desk: Desk, wrong: bool) -> None:
    desk.book.known("front0", "draining", 0.0)
    desk.at(1).book.told("lb", "front0", "draining", 0.0)
    desk.at(2).book.told("lb", "front0", "gone", 0.0)  # the later news gives no new grace
    desk.at(3.6).book.sending("lb", "front0", START + (3.551 if wrong else 3.55))


@breaks("drain")
def back_again(desk: Desk, wrong: bool) -> None:
    for at, state, started in ((1, "gone", 0.0), (2, "ready", 1002.0)):
        desk.at(at).book.known("front0", state, started)  # type: ignore[arg-type]
        if state == "gone" or not wrong:
            desk.book.told("lb", "front0", state, started)  # type: ignore[arg-type]
    desk.book.told("lb", "front0", "ready", 0.0)  # older news, by a call that was slow
    desk.at(8).book.sending("lb", "front0", START + 8)


def counts_as_told(name: str, due: float, *tales: tuple[float, str, Any]) -> None:
    """The news of a node's end counts as told so that nothing may be sent from an instant on."""

    def story(desk: Desk, wrong: bool) -> None:
        for at, what, value in tales:
            tell = getattr(desk.at(at).book, what)
            tell(
                *(("front0", "gone", value) if what == "known" else ("lb", value)[: 1 + (value is not None)])
            )
        desk.at(60).book.sending("lb", "front0", START + due + (0.01 if wrong else -0.01))

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
def told_while_cut_off(desk: Desk, wrong: bool) -> None:
    sidecar = "front1" if wrong else "front0"
    desk.at(1).book.asking(sidecar, 5.0)
    desk.at(1.5).book.told(sidecar, "stock0", "gone", 0.0)
    desk.at(10).book.sending(sidecar, "stock0", START + 10)  # lawful until 1 + 5 + 2 + 2.55


# Cold nodes


def cold(desk: Desk, *offers: tuple[float, str, float]) -> None:
    """So much work is offered at a time by the sidecar `knows`, which is told of the start, or by another."""
    for sidecar in ("knows", "lb"):
        desk.book.told(sidecar, "front0", "ready", 0.0)
    desk.at(1).book.node_up("front0", lambda: 0.26)  # so that 0.65 s fit into a second
    desk.at(2).book.known("front0", "ready", 1001.0)
    desk.book.told("knows", "front0", "ready", 1001.0)
    for at, sidecar, work in offers:
        desk.at(at).book.offered("front0", sidecar, work)


@breaks("cold")
def too_much(desk: Desk, wrong: bool) -> None:
    # The largest piece is left out.
    cold(desk, *[(at, "knows", 0.33 if wrong else 0.32) for at in (3.0, 3.5, 3.9)])


@breaks("cold")
def too_much_within_a_window(desk: Desk, wrong: bool) -> None:
    cold(desk, *[(at, "knows", 0.6) for at in (3.0, 3.5, 3.99 if wrong else 4.0)])


@breaks("cold")
def too_much_from_those_that_know(desk: Desk, wrong: bool) -> None:
    early = [(2.5, "knows", 3.0)]  # out of the window
    cold(desk, *early, *[(at, "knows" if wrong else "lb", 0.4) for at in (3.6, 3.7, 3.8)])


# What is served, and bounds


@breaks("served")
def stamp_of_another(desk: Desk, wrong: bool) -> None:
    stamps = {}
    for ident in "rs":
        desk.take(ident)
        desk.send(ident=ident)
        stamps[ident] = desk.book.made("front0", ident)
        desk.book.ended("front0", ident)
    desk.answer("r", "served", stamps["r"])
    desk.answer("s", "served", stamps["r" if wrong else "s"])


@breaks("served")
def stamp_changed(desk: Desk, wrong: bool) -> None:
    desk.take()
    desk.send()
    desk.answer("r", "served", desk.book.made("front0", "r")[: -1 if wrong else None])


@breaks("bounds", max_open=2)
def open_jobs(desk: Desk, wrong: bool) -> None:
    for ident in "rst" if wrong else "rs":
        desk.take(ident)


@pytest.mark.parametrize(("rule", "story", "more"), STORIES, ids=[story.__name__ for _, story, _ in STORIES])
def test_a_breach_is_found_and_its_lawful_neighbour_is_not(
    rule: str, story: Story, more: dict[str, Any]
) -> None:
    for wrong in (False, True):
        desk = Desk(a_plan(**more))
        story(desk, wrong)
        assert [breach.rule for breach in desk.finish().breaches] == [rule] * wrong


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
    assert Desk().broken(**{name: count}) == rules


def test_what_is_in_hand_is_not_left_over() -> None:
    desk = Desk()
    desk.at(1).take(deadline=7)
    desk.answer()  # an attempt may go on until its time is over
    assert desk.at(7.06).broken(claims=1) == set()
    assert desk.at(7.08).broken(claims=1) == {"leftover"}


def test_what_can_not_be_is_refused() -> None:
    desk = Desk()
    desk.take()
    with pytest.raises(MisuseError, match="taken again"):
        desk.take()
    with pytest.raises(MisuseError, match="without an attempt"):
        desk.book.ended("front0", "r")
    desk.answer()
    for ident in ("r", "nobody"):
        with pytest.raises(MisuseError):
            desk.answer(ident)
        with pytest.raises(MisuseError):
            desk.book.left("lb", ident)
    assert desk.broken() == set()


def test_a_breach_by_first_byte_is_named_once_the_request_is_known() -> None:
    desk = Desk()
    desk.take(deadline=20)
    desk.book.told("lb", "front0", "gone", 0.0)
    desk.at(5).send()
    desk.serve()
    (breach,) = desk.finish().breaches
    assert (breach.rule, breach.ident, breach.at, breach.node) == ("drain", "r", 5.0, "front0")
    assert breach.what == "lb sent to front0 5.000 s after it knew that it drains or is gone."
