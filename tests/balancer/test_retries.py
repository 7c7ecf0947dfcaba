"""The retry policy of A6, clause by clause, and rules 1 and 2: one answer in time, no effect twice."""

from __future__ import annotations

import pytest

from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.balancer.backoff import BACKOFF_MULTIPLIER, INITIAL_BACKOFF, MAX_BACKOFF
from wheatring.balancer.balancer import MAX_ATTEMPTS
from wheatring.balancer.token_bucket import MAX_TOKENS, TOKEN_RATIO

O = i.Outcome


def retry(copy: Copy, send: i.Send, outcome: i.Outcome, attempt: int = 0) -> i.Send | i.Action:
    """Let an attempt fail; the resend, once its backoff is over, or the final answer."""
    (action,) = copy.end(send, outcome, attempt)
    if isinstance(action, i.SetTimer):
        (action,) = copy.do(i.TimerDue(action.token), action.delay)
    return action


@pytest.mark.parametrize("outcome", [O.ERROR, O.TIMED_OUT, O.RESET])
def test_a_retryable_failure_is_resent_after_a_random_backoff(copy: Copy, outcome: i.Outcome) -> None:
    (timer,) = copy.end(copy.send(), outcome)
    assert isinstance(timer, i.SetTimer) and 0 <= timer.delay <= INITIAL_BACKOFF
    (resend,) = copy.do(i.TimerDue(timer.token), timer.delay)
    assert isinstance(resend, i.Send)


def test_what_is_rejected_unprocessed_is_resent_once_at_once_and_costs_no_token(copy: Copy) -> None:
    """A server that drains turns all away within a moment: it must not empty the bucket for the others."""
    copy.balancer.retry_tokens.tokens = MAX_TOKENS / 2  # no retry that the bucket has a say in
    for _ in range(30):
        (again,) = copy.end(copy.send("order"), O.REJECTED)
        assert isinstance(again, i.Send)
        copy.end(again, O.SERVED, attempt=1, is_request_over=True)
    assert copy.balancer.retry_tokens.tokens > MAX_TOKENS / 2
    copy.balancer.retry_tokens.tokens = MAX_TOKENS
    (again,) = copy.end(copy.send("order"), O.REJECTED)
    assert isinstance(again, i.Send) and copy.balancer.retry_tokens.tokens == MAX_TOKENS
    (timer,) = copy.end(again, O.REJECTED, attempt=1)  # from then on by the policy
    assert isinstance(timer, i.SetTimer) and copy.balancer.retry_tokens.tokens == MAX_TOKENS - 1


def test_backoffs_grow_up_to_their_maximum_and_are_random() -> None:
    longest = [0.0] * 4
    for seed in range(200):
        copy = Copy(seed, limits=i.Limits(max_attempts=9))
        copy.view(*entries("a", "b"))
        copy.balancer.retry_tokens.tokens = MAX_TOKENS
        send = copy.send()
        for n in range(4):
            (timer,) = copy.end(send, O.ERROR, n)
            assert isinstance(timer, i.SetTimer)
            longest[n] = max(longest[n], timer.delay)
            (again,) = copy.do(i.TimerDue(timer.token), timer.delay)
            assert isinstance(again, i.Send)
    for n, seen in enumerate(longest):
        ceiling = min(INITIAL_BACKOFF * BACKOFF_MULTIPLIER**n, MAX_BACKOFF)
        assert 0.9 * ceiling < seen <= ceiling


def test_attempts_are_capped_by_the_limit_and_by_a6() -> None:
    for limit, expected in ((2, 2), (3, 3), (9, MAX_ATTEMPTS)):
        copy = Copy(limits=i.Limits(max_attempts=limit))
        copy.view(*entries(*"abcdefghij"))
        action: i.Send | i.Action = copy.send()
        sends = 0
        while isinstance(action, i.Send):
            sends += 1
            action = retry(copy, action, O.CONNECT_FAILED, sends - 1)
        assert sends == expected and isinstance(action, i.Reject)


def test_retries_stop_at_half_the_tokens_and_the_failure_returns_at_once(copy: Copy) -> None:
    resent = 0
    for _ in range(20):
        (action,) = copy.end(copy.send(), O.ERROR)
        resent += isinstance(action, i.SetTimer)
        if not isinstance(action, i.SetTimer):
            assert isinstance(action, i.Reject)
    # each failure costs a whole token: the count falls to half after so many
    assert resent == MAX_TOKENS / 2 - 1
    assert copy.balancer.retry_tokens.tokens == 0


def test_a_served_attempt_returns_a_fraction_of_a_token(copy: Copy) -> None:
    copy.balancer.retry_tokens.tokens = MAX_TOKENS / 2
    copy.serve(3)
    assert copy.balancer.retry_tokens.tokens == pytest.approx(MAX_TOKENS / 2 + 3 * TOKEN_RATIO)
    copy.balancer.retry_tokens.tokens = MAX_TOKENS
    copy.serve(1)
    assert copy.balancer.retry_tokens.tokens == MAX_TOKENS


def test_a_failed_connection_costs_no_token_and_skips_admission_control(copy: Copy) -> None:
    copy.balancer.retry_tokens.tokens = 0.0
    (action,) = copy.end(copy.send(), O.CONNECT_FAILED)
    assert isinstance(action, i.Send)
    assert copy.balancer.retry_tokens.tokens == 0.0


def test_a_retry_prefers_another_endpoint(copy: Copy) -> None:
    other = 0
    for _ in range(40):
        copy.balancer.retry_tokens.tokens = MAX_TOKENS
        send = copy.send()
        again = retry(copy, send, O.ERROR)
        assert isinstance(again, i.Send)
        other += again.endpoint != send.endpoint
        copy.end(again, O.SERVED, 1, is_request_over=True)
    assert other >= 36


def test_no_retry_that_could_not_be_answered_in_time(copy: Copy) -> None:
    copy.serve(20, latency=0.5)
    (action,) = copy.end(copy.send(left=0.6), O.ERROR, after=0.5)
    assert isinstance(action, i.Reject)


def test_a_time_out_never_outlasts_the_deadline(copy: Copy) -> None:
    send = copy.send(left=3.0)
    assert send.timeout == pytest.approx(3.0)
    copy.serve(30, latency=0.01)
    again = retry(copy, copy.send(left=3.0), O.ERROR)
    assert isinstance(again, i.Send) and again.timeout <= 2.9


def test_an_idempotent_attempt_is_given_up_while_there_is_time_for_another(copy: Copy) -> None:
    copy.serve(60, latency=0.01)
    assert copy.send(left=3.0).timeout < 0.5
    assert copy.send(left=0.02).timeout == pytest.approx(0.02)


def test_a_deadline_passed_in_backoff_is_answered_not_sent(copy: Copy) -> None:
    (timer,) = copy.end(copy.send(left=1.0), O.ERROR)
    assert isinstance(timer, i.SetTimer)
    (action,) = copy.do(i.TimerDue(timer.token), 2.0)
    assert isinstance(action, i.Reject)


@pytest.mark.parametrize("name", ["order", "a class nobody named"])
@pytest.mark.parametrize("outcome", [O.ERROR, O.TIMED_OUT, O.RESET, O.CANCELLED])
def test_unsafe_and_unknown_classes_that_may_have_run_fail_without_a_promise(
    copy: Copy, name: str, outcome: i.Outcome
) -> None:
    (action,) = copy.end(copy.send(name), outcome)
    assert isinstance(action, i.Fail)


@pytest.mark.parametrize("outcome", [O.REJECTED, O.CONNECT_FAILED])
def test_unsafe_classes_are_resent_when_they_never_ran(copy: Copy, outcome: i.Outcome) -> None:
    assert isinstance(retry(copy, copy.send("order"), outcome), i.Send)


def test_unsafe_after_an_attempt_that_ran_stays_unsafe_for_good(copy: Copy) -> None:
    again = retry(copy, copy.send("order"), O.REJECTED)
    assert isinstance(again, i.Send)
    assert isinstance(retry(copy, again, O.ERROR, 1), i.Fail)


def test_unsafe_attempts_wait_for_all_of_the_remaining_time(copy: Copy) -> None:
    copy.serve(30, "order", latency=0.01)
    assert copy.send("order", left=3.0).timeout == pytest.approx(3.0)


@pytest.mark.parametrize(("name", "by"), [("pay", "cell"), ("move", "zone")])
def test_keyed_resends_stay_in_their_group(name: str, by: str) -> None:
    for seed in range(20):
        copy = Copy(seed)
        cells = [
            i.EndpointEntry(f"{zone}{cell}{n}", cell=cell + 10 * "xy".index(zone), zone=zone)
            for zone in "xy"
            for cell in (1, 2)
            for n in range(3)
        ]
        copy.view(*cells)
        group = {e.endpoint: (e.cell if by == "cell" else e.zone) for e in cells}
        send = copy.send(name)
        again = retry(copy, send, O.ERROR)
        assert isinstance(again, i.Send)
        assert group[again.endpoint] == group[send.endpoint]


def test_keyed_resends_end_with_their_window(copy: Copy) -> None:
    assert isinstance(retry(copy, copy.send("book"), O.ERROR), i.Send)
    (action,) = copy.end(copy.send("book"), O.ERROR, after=2.1)
    assert isinstance(action, i.Fail)


def test_a_backoff_may_not_reach_past_the_window() -> None:
    for seed in range(40):
        copy = Copy(seed)
        copy.view(*entries("a", "b"))
        action = copy.end(copy.send("book"), O.ERROR, after=1.99)[0]
        if isinstance(action, i.SetTimer):
            assert copy.now + action.delay < 1000 + 2.0


def test_a_late_backoff_timer_still_keeps_the_window(copy: Copy) -> None:
    (timer,) = copy.end(copy.send("book"), O.ERROR, after=1.0)
    assert isinstance(timer, i.SetTimer)
    (action,) = copy.do(i.TimerDue(timer.token), 1.5)
    assert isinstance(action, i.Fail)


def test_a_keyed_request_with_no_endpoint_of_its_group_left_fails() -> None:
    copy = Copy()
    copy.view(*entries("a", cell=1), *entries("b", cell=2))
    send = copy.send("pay")
    (timer,) = copy.end(send, O.ERROR)
    assert isinstance(timer, i.SetTimer)
    copy.view(*entries("b" if send.endpoint == "a" else "a", cell=2 if send.endpoint == "a" else 1))
    (action,) = copy.do(i.TimerDue(timer.token), timer.delay)
    assert isinstance(action, i.Fail)


def test_an_answer_that_began_is_never_retried(copy: Copy) -> None:
    send = copy.send()
    copy.do(i.Committed(send.request))
    assert isinstance(copy.end(send, O.RESET)[0], i.Reject)


def test_nothing_is_sent_for_a_request_that_is_over(copy: Copy) -> None:
    send = copy.send()
    (timer,) = copy.end(send, O.ERROR)
    assert isinstance(timer, i.SetTimer)
    copy.do(i.RequestAbandoned(send.request))
    assert copy.do(i.TimerDue(timer.token), timer.delay) == []
    gone = copy.send()
    copy.do(i.RequestAbandoned(gone.request))
    assert copy.end(gone, O.ERROR) == []
    closed = copy.send()
    assert copy.end(closed, O.TIMED_OUT, is_request_over=True) == []
    assert copy.balancer.requests == {}


def test_strays_are_harmless(copy: Copy) -> None:
    send = copy.send()
    copy.end(send, O.SERVED, is_request_over=True)
    before = (copy.in_flight, copy.balancer.retry_tokens.tokens)
    assert copy.end(send, O.ERROR) == []
    assert copy.end(i.Send(999, "a", 1.0), O.ERROR) == []
    assert copy.end(copy.send(), O.ERROR, attempt=7) == []
    assert copy.do(i.TimerDue(12345)) == []
    assert copy.do(i.RequestAbandoned(999)) == []
    assert copy.do(i.Committed(999)) == []
    assert copy.do(i.HealthCheckEnded("nobody", O.SERVED, 0.1)) == []
    assert copy.do(i.PeerMessage(3, b"x")) == []
    assert copy.in_flight == before[0] + 1


def test_a_request_that_was_never_sent_fits_a_refusal(copy: Copy) -> None:
    (action,) = copy.end(copy.send("order"), O.NOT_SENT)
    assert isinstance(action, i.Reject)
