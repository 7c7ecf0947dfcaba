"""Whatever lawful history is told, no rule is broken; spoilt in any way, that one rule is."""

from __future__ import annotations

from io import StringIO

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lab.rules.checker_driver import START, CheckerDriver
from tests.lab.rules.random_histories import SPOILS, play
from wheatring.lab.rules import Trace, replay_line


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_lawful_histories_break_nothing(seed: int) -> None:
    outcome = play(seed)
    assert outcome.breaches == []
    assert outcome.counts["attempts"] > 0 and outcome.counts["cold_over"] == 0


@pytest.mark.parametrize("spoil", SPOILS)
def test_each_way_to_spoil_a_history_is_found(spoil: str) -> None:
    found: set[str] = set()
    for seed in range(4):
        found |= {breach.rule for breach in play(seed, spoil).breaches}
    assert found == {SPOILS[spoil]}


def test_what_is_over_is_forgotten() -> None:
    driver = CheckerDriver()
    driver.take("long")
    driver.send(ident="long")
    driver.answer("long")
    most = 0
    for number in range(3000):
        ident = f"r{number}"
        driver.at(number / 10).take(ident, 1, number / 10 + 6)
        driver.send(ident=ident)
        driver.book.effect("front0", ident, f"key-{ident}")
        driver.serve(ident=ident)
        most = max(most, len(driver.book.requests), len(driver.book.ended_requests))
    assert "long" in driver.book.requests  # something of it is out
    driver.book.ended("front0", "long")
    assert "long" not in driver.book.requests
    assert most <= 103 and len(driver.book.duplicates.last_effect_at) <= 10 * (60 + 10 + 1)
    assert driver.broken() == set()


def test_a_trace_is_the_same_for_the_same_history_and_another_for_another() -> None:
    texts = []
    for seed in (1, 1, 2):
        file = StringIO()
        outcome = play(seed, trace=Trace(START, file))
        assert outcome.trace_hash == play(seed, trace=Trace(START)).trace_hash
        texts.append((file.getvalue(), outcome.trace_hash))
    assert texts[0] == texts[1] != texts[2] and texts[0][1] != texts[2][1]


def test_a_trace_of_one_request_holds_all_requests_that_it_caused_from_the_start_on() -> None:
    file = StringIO()
    family = {"r": 1, "call": 1, "other": 2}.get
    driver = CheckerDriver(trace=Trace(START, file, ["call"], family), family=family)
    driver.book.asked(1, 0)
    driver.book.asked(2, 0)
    for sidecar, node, ident in (
        ("lb", "front0", "r"),
        ("lb", "front1", "other"),
        ("front0", "stock0", "call"),
    ):
        driver.at(0.25).book.taken(sidecar, ident, 0, "", START + 6)
        driver.book.arrived(sidecar, node, ident, START + 0.125)
    driver.book.settled(2, "left", 1)
    driver.book.settled(1, "left", 1)
    assert file.getvalue().splitlines() == [
        "0.0 asked first=1 index=0",
        "0.25 taken sidecar=lb ident=r index=0 key= deadline=6.0",
        "0.25 arrived sidecar=lb node=front0 ident=r sent=0.125",
        "0.25 taken sidecar=front0 ident=call index=0 key= deadline=6.0",
        "0.25 arrived sidecar=front0 node=stock0 ident=call sent=0.125",
        "0.25 settled first=1 end=left tries=1",
    ]


def test_a_breach_says_how_to_replay_it() -> None:
    driver = CheckerDriver()
    driver.take()
    driver.at(7).answer()
    line = "wheatring lab run desk --seed 7 --grain exchange --trace desk-7.trace"
    assert replay_line(driver.finish()) == line + " --of r"
    assert replay_line(CheckerDriver().finish()) == line
