"""The leader's side of one compatibility check, with simulated answers."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from tests.fleet.skew.generated_plans import ALL, DAY
from wheatring.fleet.members.messages import MemberInfo
from wheatring.fleet.members.view import View
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.compatibility import CheckStage, Reason
from wheatring.fleet.skew.capabilities import local_capabilities
from wheatring.fleet.skew.coordinator import CheckCoordinator
from wheatring.fleet.skew.messages import (
    AnswerRequest,
    AnswerResponse,
    CapabilityRequest,
    CapabilityResponse,
    FactsRequest,
    FactsResponse,
    TrialRequest,
    TrialResult,
)
from wheatring.fleet.skew.requirements import Requirements

NEWER = local_capabilities(version=str)


def make_check(size: int) -> CheckCoordinator:
    members = tuple(
        ViewMember(MemberInfo(f"n{number:04}", "127.0.0.1", 1 + number), 9) for number in range(size)
    )
    return CheckCoordinator(0.0, 5, b"d" * 16, Requirements(bytes=20_000), 20_700, View(1, 1, members))


def step_messages(check: CheckCoordinator, now: float) -> list[Any]:
    return [message for _, message in check.step(now)]


def test_requests_are_spread_over_time_and_repeated_only_without_an_answer() -> None:
    check, max_per_step, asked = make_check(1000), 0, 0
    for tick in range(60):
        out = check.step(tick * 0.05)
        max_per_step, asked = (
            max(max_per_step, len(out)),
            asked + sum(isinstance(message, CapabilityRequest) for _, message in out),
        )
        for (_, port), message in out:
            if isinstance(message, CapabilityRequest) and port > 10:
                check.handle(f"n{port - 1:04}", CapabilityResponse(5, 9, NEWER))
    assert max_per_step <= 26 + 10 and check.stage is CheckStage.SURVEYING
    assert 990 + 10 * 5 <= asked <= 990 + 10 * 6


def test_a_bisection_retries_lost_requests_and_times_out() -> None:
    check = make_check(3)
    step_messages(check, 0.01)
    for name, incarnation in list(check.members):
        check.handle(name, CapabilityResponse(5, incarnation, NEWER))
    step_messages(check, 0.05)
    assert {type(message) for message in step_messages(check, 0.1)} == {TrialRequest}
    for number, (name, incarnation) in enumerate(list(check.members)):
        check.handle(name, TrialResult(5, incarnation, b"odd" if number == 1 else b"rest", 100))
    sent = [message for now in (0.2, 0.3, 0.8) for message in step_messages(check, now)]
    prefix_requests = [message for message in sent if isinstance(message, AnswerRequest)]
    # Requests for prefixes go to two members and requests for facts to all three; both are repeated once.
    assert prefix_requests == [AnswerRequest(5, 100)] * 4
    assert [message for message in sent if message not in prefix_requests] == [FactsRequest(5, 0)] * 6
    check.step(6.0)
    verdict: tuple[Reason, ...] = check.verdict(6.0, True).reasons
    assert [(reason.member, reason.code) for reason in verdict] == [("n0001", "disagrees")]
    assert "was not found in time" in verdict[0].what


def test_a_verdict_holds_for_one_view_and_new_members_get_both_requests() -> None:
    check = make_check(4)
    members = check.view.members
    check.view_changed(0.0, View(1, 1, members[:2]))

    def answer(now: float) -> list[str]:
        """Answer all requests of one step, and return them as text."""
        asked = []
        for (_, port), message in check.step(now):
            name = f"n{port - 1:04}"
            asked.append(f"{name} {type(message).__name__}")
            check.handle(
                name,
                CapabilityResponse(5, 9, NEWER)
                if isinstance(message, CapabilityRequest)
                else TrialResult(5, 9, b"r", 3),
            )
        return asked

    both = ["n0000 CapabilityRequest", "n0001 CapabilityRequest"]
    assert [answer(now) for now in (0.1, 0.2)] == [both, []] and check.stage is CheckStage.TESTING
    check.view_changed(0.2, View(2, 1, members[:3]))  # during the trials
    assert check.verdict(0.2, True)[:4] == (CheckStage.SURVEYING, 2, 2, 3)
    assert [answer(now) for now in (0.3, 0.4)] == [["n0002 CapabilityRequest"], []]
    assert answer(0.5) == ["n0000 TrialRequest", "n0001 TrialRequest", "n0002 TrialRequest"]
    answer(0.6)
    assert check.verdict(0.6, True)[:4] == (CheckStage.COMPATIBLE, 2, 3, 3)
    check.view_changed(0.7, View(3, 1, members))  # after the verdict
    assert check.verdict(0.7, True)[:4] == (CheckStage.SURVEYING, 3, 3, 4)
    assert [answer(now) for now in (0.8, 0.9, 1.0, 1.1)] == [
        ["n0003 CapabilityRequest"],
        [],
        ["n0003 TrialRequest"],
        [],
    ]
    assert check.verdict(1.1, True)[:2] == (CheckStage.COMPATIBLE, 3)
    check.view_changed(1.2, View(4, 1, members[1:]))  # no new member: the same verdict, for the new view
    check.step(1.3)
    assert check.verdict(1.3, True)[:4] == (CheckStage.COMPATIBLE, 4, 3, 3)


def test_a_member_that_left_is_not_waited_for() -> None:
    check = make_check(3)
    step_messages(check, 0.01)
    for name, incarnation in list(check.members)[:2]:
        check.handle(name, CapabilityResponse(5, incarnation, NEWER))
    check.view_changed(1.0, View(2, 1, check.view.members[:2]))
    check.step(1.0)
    assert check.verdict(1.0, True)[:4] == (CheckStage.TESTING, 2, 0, 2)
    assert {type(message) for now in (1.1, 2.0) for message in step_messages(check, now)} == {TrialRequest}


def test_messages_of_another_process_or_check_are_ignored() -> None:
    from wheatring.fleet.members.view import View

    view = View(1, 1, (ViewMember(MemberInfo("n1", "127.0.0.1", 1), 5),))
    check = CheckCoordinator(0.0, 77, b"d" * 16, Requirements(), DAY, view)
    assert [type(message) for _, message in check.step(0.0)] == [CapabilityRequest]
    check.handle("n1", CapabilityResponse(77, 6, ALL))
    check.handle("n1", CapabilityResponse(78, 5, ALL))
    check.handle("n2", CapabilityResponse(77, 5, ALL))
    check.step(0.1)
    assert check.verdict(0.1, True).answered == 0
    check.handle("n1", CapabilityResponse(77, 5, ALL))
    check.step(0.2)
    assert [type(message) for _, message in check.step(0.3)] == [TrialRequest]


def check_with(sentences: Sequence[bytes], count: int = 100) -> CheckCoordinator:
    """Return a check whose members have answered all trials with digests of sentences."""
    check = make_check(len(sentences))
    step_messages(check, 0.01)
    for name, incarnation in list(check.members):
        check.handle(name, CapabilityResponse(5, incarnation, NEWER))
    step_messages(check, 0.05)
    for digest, (name, incarnation) in zip(sentences, list(check.members), strict=True):
        check.handle(name, TrialResult(5, incarnation, digest, count))
    return check


def test_different_sentences_with_equal_facts_are_compatible() -> None:
    check = check_with([b"old words", b"new words", b"new words"])
    assert FactsRequest(5, 0) in step_messages(check, 0.2)
    for name, incarnation in list(check.members):
        assert check.stage is CheckStage.TESTING
        check.handle(name, FactsResponse(5, incarnation, 0, b"same"))
        step_messages(check, 0.3)
    assert check.stage is CheckStage.COMPATIBLE


def test_sentences_decide_if_a_member_does_not_report_facts() -> None:
    check = check_with([b"odd", b"rest", b"rest"])
    step_messages(check, 0.2)
    for name, incarnation in list(check.members)[1:]:
        check.handle(name, FactsResponse(5, incarnation, 0, b"same"))
    for length in (100, 50, 25, 12, 6, 3, 1, 2):
        for name, digest in (("n0000", b"o%d"), ("n0001", b"r%d")):
            check.handle(name, AnswerResponse(5, 9, length, digest % length, "GET /a", name))
        step_messages(check, 0.4)
    step_messages(check, 1.9)
    assert check.stage is CheckStage.TESTING  # facts may still arrive
    step_messages(check, 2.3)
    assert [(reason.member, reason.code) for reason in check.reasons] == [("n0000", "disagrees")]


def test_the_first_difference_is_searched_in_facts_if_facts_differ() -> None:
    check = check_with([b"odd", b"rest", b"rest"], count=2)
    step_messages(check, 0.2)
    for number, (name, incarnation) in enumerate(list(check.members)):
        check.handle(name, FactsResponse(5, incarnation, 0, b"other" if number == 0 else b"usual"))
    assert FactsRequest(5, 2) in step_messages(check, 0.3)
    for name, incarnation in list(check.members)[:2]:  # the first trial differs only in its sentence
        check.handle(name, AnswerResponse(5, incarnation, 1, name.encode(), "GET /words", name))
        check.handle(name, FactsResponse(5, incarnation, 1, b"equal", "GET /words", name))
        check.handle(name, FactsResponse(5, incarnation, 2, name.encode(), "GET /facts", name))
    step_messages(check, 0.4)
    assert [(reason.member, reason.code) for reason in check.reasons] == [("n0000", "disagrees")]
    assert "GET /facts: n0000 instead of n0001" in check.reasons[0].what


def test_facts_of_another_process_or_check_are_ignored() -> None:
    check = check_with([b"odd", b"rest"])
    step_messages(check, 0.2)
    for name, incarnation in list(check.members):
        check.handle(name, FactsResponse(5, incarnation + 1, 0, b"same"))
        check.handle(name, FactsResponse(6, incarnation, 0, b"same"))
    step_messages(check, 0.3)
    assert check.stage is CheckStage.TESTING
