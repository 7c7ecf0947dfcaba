"""A random valid history breaks no rule, and each planted violation breaks exactly its rule."""

from __future__ import annotations

from io import StringIO

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lab.rules.checker_driver import START, CheckerDriver
from tests.lab.rules.random_histories import VIOLATIONS, play
from wheatring.lab.rules import Trace, replay_line


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_valid_histories_break_no_rule(seed: int) -> None:
    outcome = play(seed)
    assert outcome.breaches == []
    assert outcome.counts["attempts"] > 0 and outcome.counts["cold_over"] == 0


@pytest.mark.parametrize("violation", VIOLATIONS)
def test_each_planted_violation_breaks_its_rule(violation: str) -> None:
    found: set[str] = set()
    for seed in range(4):
        found |= {breach.rule for breach in play(seed, violation).breaches}
    assert found == {VIOLATIONS[violation]}


def test_state_of_ended_requests_is_evicted() -> None:
    driver = CheckerDriver()
    driver.take("long")
    driver.send(ident="long")
    driver.answer("long")
    most = 0
    for number in range(3000):
        ident = f"r{number}"
        driver.at(number / 10).take(ident, 1, number / 10 + 6)
        driver.send(ident=ident)
        driver.checker.effect("front0", ident, f"key-{ident}")
        driver.serve(ident=ident)
        most = max(most, len(driver.checker.requests), len(driver.checker.ended_requests))
    assert "long" in driver.checker.requests  # an attempt is in flight
    driver.checker.ended("front0", "long")
    assert "long" not in driver.checker.requests
    assert most <= 103 and len(driver.checker.duplicates.last_effect_at) <= 10 * (60 + 10 + 1)
    assert driver.broken_rules() == set()


def test_equal_histories_have_equal_traces_and_others_differ() -> None:
    texts = []
    for seed in (1, 1, 2):
        file = StringIO()
        outcome = play(seed, trace=Trace(START, file))
        assert outcome.trace_hash == play(seed, trace=Trace(START)).trace_hash
        texts.append((file.getvalue(), outcome.trace_hash))
    assert texts[0] == texts[1] != texts[2] and texts[0][1] != texts[2][1]


def test_a_trace_of_one_request_contains_all_requests_of_the_same_first_try() -> None:
    file = StringIO()
    first_request_of = {"r": 1, "call": 1, "other": 2}.get
    driver = CheckerDriver(
        trace=Trace(START, file, ["call"], first_request_of), first_request_of=first_request_of
    )
    driver.checker.asked(1, 0)
    driver.checker.asked(2, 0)
    for sidecar, node, ident in (
        ("lb", "front0", "r"),
        ("lb", "front1", "other"),
        ("front0", "stock0", "call"),
    ):
        driver.at(0.25).checker.taken(sidecar, ident, 0, "", START + 6)
        driver.checker.arrived(sidecar, node, ident, START + 0.125)
    driver.checker.settled(2, "left", 1)
    driver.checker.settled(1, "left", 1)
    assert file.getvalue().splitlines() == [
        "0.0 asked first=1 index=0",
        "0.25 taken sidecar=lb ident=r index=0 key= deadline=6.0",
        "0.25 arrived sidecar=lb node=front0 ident=r sent=0.125",
        "0.25 taken sidecar=front0 ident=call index=0 key= deadline=6.0",
        "0.25 arrived sidecar=front0 node=stock0 ident=call sent=0.125",
        "0.25 settled first=1 end=left tries=1",
    ]


def test_the_replay_command_names_the_request_of_the_first_breach() -> None:
    driver = CheckerDriver()
    driver.take()
    driver.at(7).answer()
    line = "wheatring lab run desk --seed 7 --grain exchange --trace desk-7.trace"
    assert replay_line(driver.finish()) == line + " --of r"
    assert replay_line(CheckerDriver().finish()) == line
