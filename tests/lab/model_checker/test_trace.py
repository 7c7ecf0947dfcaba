"""Replay and minimization of traces."""

from __future__ import annotations

from pathlib import Path

import pytest

from wheatring.lab.model_checker.consensus_model import Rules
from wheatring.lab.model_checker.consensus_mutants import Mutant, SingleStepVoterChange, find_violation
from wheatring.lab.model_checker.trace import minimize, parse, play

TRACES = sorted((Path(__file__).parent / "traces").glob("*.txt"))


@pytest.mark.parametrize("file", TRACES, ids=lambda file: file.stem)
def test_a_replayed_trace_violates_an_invariant_only_if_expected(file: Path) -> None:
    trace = parse(file.read_text(encoding="utf-8"))
    _, violation = play(trace.actions, Rules())
    assert bool(violation) == trace.expects_violation, violation


def test_the_vote_of_a_wiped_voter_loses_a_change_if_voters_change_in_one_step() -> None:
    text = (Path(__file__).parent / "traces" / "vote-of-a-wiped-voter.txt").read_text(encoding="utf-8")
    actions = parse(text).actions
    assert play(actions, Rules(make_replica=SingleStepVoterChange))[1]


def test_a_minimized_trace_has_only_actions_that_the_violation_needs() -> None:
    rules = Rules(make_replica=SingleStepVoterChange)
    result = find_violation(Mutant("one step", rules), 200)
    shortest = minimize(result.trace, rules)
    assert play(shortest, rules)[1] and len(shortest) < len(result.trace)
    for removed in range(len(shortest)):
        assert not play(shortest[:removed] + shortest[removed + 1 :], rules)[1]
