"""The front's gate: what would end late is refused early, low worth first."""

from __future__ import annotations

import pytest

from lapisway import interface as i
from lapisway import policy
from tests.conftest import Copy, entries

O = i.Outcome
CHEAP = i.RequestClass("cheap", aim=1.0, deadline=4.0, worth=1.0, effect=i.Effect.SAFE)
DEAR = i.RequestClass("dear", aim=1.0, deadline=4.0, worth=9.0, effect=i.Effect.SAFE)


def loaded(tier: int = 0) -> Copy:
    """A copy that has had 400 answers, one after the other, each after 6 ms."""
    copy = Copy(classes=(CHEAP, DEAR), tier=tier, tiers=("front", "back"))
    copy.view(*entries("a", "b", "c", "d"))
    for n in range(400):
        copy.end(copy.send("dear" if n % 2 else "cheap"), O.SERVED, after=0.006, closed=True)
    return copy


def admitted(copy: Copy, name: str, most: int = 100) -> int:
    for count in range(most):
        if not isinstance(copy.ask(name)[0], i.Send):
            return count
    return most


def test_what_would_wait_too_long_is_refused_low_worth_first() -> None:
    cheap, dear = admitted(loaded(), "cheap"), admitted(loaded(), "dear")
    assert policy.FEW < cheap < 0.8 * dear < 80


def test_a_refusal_of_the_gate_tells_the_client_that_it_may_try_again() -> None:
    copy = loaded()
    admitted(copy, "cheap")
    assert isinstance(copy.ask("cheap")[0], i.Refuse)


def test_deeper_tiers_do_not_refuse_what_upper_ones_have_worked_for() -> None:
    assert admitted(loaded(tier=1), "cheap") == 100


def test_the_gate_opens_again() -> None:
    copy = loaded()
    sent = []
    while isinstance(action := copy.ask("cheap")[0], i.Send):
        sent.append(action)
    for send in sent:
        copy.end(send, O.SERVED, after=0.01, closed=True)
    assert admitted(copy, "cheap") > 4


def test_from_few_calls_in_flight_no_crowd_is_concluded() -> None:
    copy = loaded()
    copy.now += 2.0  # no answer for so long
    assert admitted(copy, "cheap", policy.FEW) == policy.FEW


def test_the_first_answers_are_the_fastest_and_do_not_say_what_is_usual() -> None:
    norm = policy.Norm()
    for latency in [0.01, *[0.6] * (policy.KNOWN - 1)]:
        norm.learn(latency)
    assert norm.base > 0.3


def test_what_a_silent_endpoint_holds_shuts_nobody_out() -> None:
    copy = loaded()
    silent = copy.balancer.endpoints["a"]
    silent.in_flight += 100
    copy.balancer.in_flight += 100
    copy.balancer.busy["a"] = silent
    silent.progress -= 10.0
    assert admitted(copy, "cheap", 24) == 24


@pytest.mark.parametrize("count", [1, 20])
def test_a_copy_that_knows_nothing_yet_refuses_nothing(count: int) -> None:
    copy = Copy(classes=(CHEAP, DEAR))
    copy.view(*entries("a", "b"))
    assert admitted(copy, "cheap", count) == count


@pytest.mark.parametrize(("late_worth", "tier", "seconds"), [(0.0, 0, 1.0), (0.5, 0, 3.0), (0.0, 1, 3.0)])
def test_the_aim_is_the_front_s_deadline_where_late_answers_are_worth_nothing(
    late_worth: float, tier: int, seconds: float
) -> None:
    cls = i.RequestClass("get", aim=1.0, deadline=4.0, late_worth=late_worth, effect=i.Effect.SAFE)
    copy = Copy(classes=(cls,), tier=tier, tiers=("front", "back"))
    copy.view(*entries("a", "b"))
    assert copy.send("get", left=3.0).timeout == pytest.approx(seconds)


def test_a_client_s_repeat_has_spent_part_of_its_aim() -> None:
    copy = Copy(classes=(i.RequestClass("get", aim=1.0, deadline=4.0, effect=i.Effect.SAFE),))
    copy.view(*entries("a", "b"))
    assert copy.send("get", left=3.4, client_retry=True).timeout == pytest.approx(0.4)
    assert isinstance(copy.ask("get", left=2.9, client_retry=True)[0], i.Refuse)


def test_nothing_is_sent_with_less_time_left_than_its_work_could_take(copy: Copy) -> None:
    copy.serve(40, latency=0.2)
    assert isinstance(copy.ask(left=0.05)[0], i.Refuse)
    assert isinstance(copy.ask(left=0.5)[0], i.Send)


@pytest.mark.parametrize(("outcome", "tighter"), [(O.REJECTED, True), (O.CONNECT_FAILED, False)])
def test_full_servers_tighten_the_gate_and_dead_ones_do_not(outcome: i.Outcome, tighter: bool) -> None:
    copy = loaded()
    before = copy.balancer.room
    copy.end(copy.send("cheap"), outcome)
    assert (copy.balancer.room < before) is tighter


def test_late_answers_tighten_the_gate_only_while_it_refuses() -> None:
    copy = loaded()
    copy.end(copy.send("cheap"), O.SERVED, after=1.5, closed=True)
    before = copy.balancer.room
    admitted(copy, "cheap")
    late = next(iter(copy.balancer.requests.values()))
    send = i.Send(late.ident, late.attempts[0].entry.endpoint, 1.0)
    copy.do(i.AttemptEnded(late.ident, 0, O.SERVED, send.endpoint, 1.5, closed=True))
    assert copy.balancer.room < before


def test_the_gate_never_closes_below_the_calls_usually_in_flight() -> None:
    copy = loaded()
    copy.balancer.usual = 60.0
    first = admitted(copy, "cheap")
    assert policy.FEW < first < 50
    assert admitted(copy, "cheap") == int(copy.balancer.usual) + 1 - first > 9


def test_what_is_usual_is_learned_from_few_calls_too() -> None:
    copy = loaded()
    out = [copy.send("cheap") for _ in range(10)]
    for _ in range(300):
        out.append(copy.send("cheap"))
        copy.end(out.pop(0), O.SERVED, after=0.006, closed=True)
    assert copy.balancer.usual > 8


@pytest.mark.parametrize(("cap", "told"), [(2.0, True), (0.01, True), (2.0, False)])
def test_a_refused_client_is_told_when_to_come_back(cap: float, told: bool) -> None:
    copy = Copy(limits=i.Limits(retry_after=told, max_retry_after=cap))  # and no endpoint to send to
    waits = []
    for _ in range(50):
        (action,) = copy.ask()
        assert isinstance(action, i.Refuse)
        waits.append(action.retry_after)
    if not told:
        assert waits == [0.0] * 50
    else:
        assert all(0 < wait <= cap for wait in waits)
        assert cap < 0.1 or len(set(waits)) > 40  # those refused together must not return together
