"""The retry policy of gRFC A6, and rules 1 and 2: one answer in time, and no duplicate effect."""

from __future__ import annotations

import pytest

from tests.conftest import Copy, entries
from wheatring.balancer import interface as i
from wheatring.balancer.backoff import BACKOFF_MULTIPLIER, INITIAL_BACKOFF, MAX_BACKOFF
from wheatring.balancer.balancer import MAX_ATTEMPTS
from wheatring.balancer.token_bucket import MAX_TOKENS, TOKEN_RATIO

O = i.Outcome


def retry(copy: Copy, send: i.Send, outcome: i.Outcome, attempt: int = 0) -> i.Send | i.Action:
    """End an attempt with a failure; return the retry, after its backoff, or the final answer."""
    (action,) = copy.end(send, outcome, attempt)
    if isinstance(action, i.SetTimer):
        (action,) = copy.do(i.TimerDue(action.token), action.delay)
    return action


@pytest.mark.parametrize("outcome", [O.ERROR, O.TIMED_OUT, O.RESET])
def test_a_retryable_failure_is_retried_after_a_random_backoff(copy: Copy, outcome: i.Outcome) -> None:
    (timer,) = copy.end(copy.send(), outcome)
    assert isinstance(timer, i.SetTimer) and 0 <= timer.delay <= INITIAL_BACKOFF
    (retried_send,) = copy.do(i.TimerDue(timer.token), timer.delay)
    assert isinstance(retried_send, i.Send)


def test_the_first_unprocessed_rejection_is_retried_immediately_and_takes_no_token(copy: Copy) -> None:
    """A draining server rejects many attempts at once; this must not empty the token bucket."""
    copy.balancer.retry_tokens.tokens = MAX_TOKENS / 2  # the bucket allows no retry
    for _ in range(30):
        (again,) = copy.end(copy.send("order"), O.REJECTED)
        assert isinstance(again, i.Send)
        copy.end(again, O.SERVED, attempt=1, is_request_over=True)
    assert copy.balancer.retry_tokens.tokens > MAX_TOKENS / 2
    copy.balancer.retry_tokens.tokens = MAX_TOKENS
    (again,) = copy.end(copy.send("order"), O.REJECTED)
    assert isinstance(again, i.Send) and copy.balancer.retry_tokens.tokens == MAX_TOKENS
    (timer,) = copy.end(again, O.REJECTED, attempt=1)  # further rejections take a token
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
    for n, longest_seen in enumerate(longest):
        max_backoff = min(INITIAL_BACKOFF * BACKOFF_MULTIPLIER**n, MAX_BACKOFF)
        assert 0.9 * max_backoff < longest_seen <= max_backoff


def test_attempts_are_capped_by_the_limit_and_by_a6() -> None:
    for limit, expected in ((2, 2), (3, 3), (9, MAX_ATTEMPTS)):
        copy = Copy(limits=i.Limits(max_attempts=limit))
        copy.view(*entries(*"abcdefghij"))
        action: i.Send | i.Action = copy.send()
        attempts = 0
        while isinstance(action, i.Send):
            attempts += 1
            action = retry(copy, action, O.CONNECT_FAILED, attempts - 1)
        assert attempts == expected and isinstance(action, i.Reject)


def test_failures_are_not_retried_at_half_the_tokens_or_fewer(copy: Copy) -> None:
    retried = 0
    for _ in range(20):
        (action,) = copy.end(copy.send(), O.ERROR)
        retried += isinstance(action, i.SetTimer)
        if not isinstance(action, i.SetTimer):
            assert isinstance(action, i.Reject)
    # Each failure takes one token, and retries need more than half of the tokens.
    assert retried == MAX_TOKENS / 2 - 1
    assert copy.balancer.retry_tokens.tokens == 0


def test_a_served_attempt_returns_a_fraction_of_a_token(copy: Copy) -> None:
    copy.balancer.retry_tokens.tokens = MAX_TOKENS / 2
    copy.serve(3)
    assert copy.balancer.retry_tokens.tokens == pytest.approx(MAX_TOKENS / 2 + 3 * TOKEN_RATIO)
    copy.balancer.retry_tokens.tokens = MAX_TOKENS
    copy.serve(1)
    assert copy.balancer.retry_tokens.tokens == MAX_TOKENS


def test_a_failed_connection_is_retried_whatever_the_token_count(copy: Copy) -> None:
    copy.balancer.retry_tokens.tokens = 0.0
    (action,) = copy.end(copy.send(), O.CONNECT_FAILED)
    assert isinstance(action, i.Send)
    assert copy.balancer.retry_tokens.tokens == 0.0


def test_a_retry_prefers_another_endpoint(copy: Copy) -> None:
    other_endpoint = 0
    for _ in range(40):
        copy.balancer.retry_tokens.tokens = MAX_TOKENS
        send = copy.send()
        again = retry(copy, send, O.ERROR)
        assert isinstance(again, i.Send)
        other_endpoint += again.endpoint != send.endpoint
        copy.end(again, O.SERVED, 1, is_request_over=True)
    assert other_endpoint >= 36


def test_a_retry_that_could_not_be_answered_in_time_is_not_sent(copy: Copy) -> None:
    copy.serve(20, latency=0.5)
    (action,) = copy.end(copy.send(left=0.6), O.ERROR, after=0.5)
    assert isinstance(action, i.Reject)


def test_attempt_timeouts_end_with_the_deadline_at_the_latest(copy: Copy) -> None:
    send = copy.send(left=3.0)
    assert send.timeout == pytest.approx(3.0)
    copy.serve(30, latency=0.01)
    again = retry(copy, copy.send(left=3.0), O.ERROR)
    assert isinstance(again, i.Send) and again.timeout <= 2.9


def test_an_idempotent_attempt_times_out_while_there_is_time_for_a_retry(copy: Copy) -> None:
    copy.serve(60, latency=0.01)
    assert copy.send(left=3.0).timeout < 0.5
    assert copy.send(left=0.02).timeout == pytest.approx(0.02)


def test_a_request_whose_deadline_passes_during_backoff_is_rejected(copy: Copy) -> None:
    (timer,) = copy.end(copy.send(left=1.0), O.ERROR)
    assert isinstance(timer, i.SetTimer)
    (action,) = copy.do(i.TimerDue(timer.token), 2.0)
    assert isinstance(action, i.Reject)


@pytest.mark.parametrize("name", ["order", "unknown"])
@pytest.mark.parametrize("outcome", [O.ERROR, O.TIMED_OUT, O.RESET, O.CANCELLED])
def test_non_idempotent_requests_that_may_have_been_executed_fail(
    copy: Copy, name: str, outcome: i.Outcome
) -> None:
    (action,) = copy.end(copy.send(name), outcome)
    assert isinstance(action, i.Fail)


@pytest.mark.parametrize("outcome", [O.REJECTED, O.CONNECT_FAILED])
def test_non_idempotent_requests_that_were_not_executed_are_retried(copy: Copy, outcome: i.Outcome) -> None:
    assert isinstance(retry(copy, copy.send("order"), outcome), i.Send)


def test_a_non_idempotent_request_fails_if_its_retry_may_have_been_executed(copy: Copy) -> None:
    again = retry(copy, copy.send("order"), O.REJECTED)
    assert isinstance(again, i.Send)
    assert isinstance(retry(copy, again, O.ERROR, 1), i.Fail)


def test_the_timeout_of_a_non_idempotent_attempt_is_all_the_remaining_time(copy: Copy) -> None:
    copy.serve(30, "order", latency=0.01)
    assert copy.send("order", left=3.0).timeout == pytest.approx(3.0)


@pytest.mark.parametrize(("name", "scope_kind"), [("pay", "cell"), ("move", "zone")])
def test_retries_of_keyed_requests_stay_in_their_repeat_scope(name: str, scope_kind: str) -> None:
    for seed in range(20):
        copy = Copy(seed)
        cells = [
            i.EndpointEntry(f"{zone}{cell}{n}", cell=cell + 10 * "xy".index(zone), zone=zone)
            for zone in "xy"
            for cell in (1, 2)
            for n in range(3)
        ]
        copy.view(*cells)
        scope = {e.endpoint: (e.cell if scope_kind == "cell" else e.zone) for e in cells}
        send = copy.send(name)
        again = retry(copy, send, O.ERROR)
        assert isinstance(again, i.Send)
        assert scope[again.endpoint] == scope[send.endpoint]


def test_keyed_requests_are_not_retried_after_their_repeat_window(copy: Copy) -> None:
    assert isinstance(retry(copy, copy.send("book"), O.ERROR), i.Send)
    (action,) = copy.end(copy.send("book"), O.ERROR, after=2.1)
    assert isinstance(action, i.Fail)


def test_a_backoff_ends_within_the_repeat_window() -> None:
    for seed in range(40):
        copy = Copy(seed)
        copy.view(*entries("a", "b"))
        action = copy.end(copy.send("book"), O.ERROR, after=1.99)[0]
        if isinstance(action, i.SetTimer):
            assert copy.now + action.delay < 1000 + 2.0


def test_a_late_backoff_timer_does_not_extend_the_repeat_window(copy: Copy) -> None:
    (timer,) = copy.end(copy.send("book"), O.ERROR, after=1.0)
    assert isinstance(timer, i.SetTimer)
    (action,) = copy.do(i.TimerDue(timer.token), 1.5)
    assert isinstance(action, i.Fail)


def test_a_keyed_request_without_an_endpoint_in_its_repeat_scope_fails() -> None:
    copy = Copy()
    copy.view(*entries("a", cell=1), *entries("b", cell=2))
    send = copy.send("pay")
    (timer,) = copy.end(send, O.ERROR)
    assert isinstance(timer, i.SetTimer)
    copy.view(*entries("b" if send.endpoint == "a" else "a", cell=2 if send.endpoint == "a" else 1))
    (action,) = copy.do(i.TimerDue(timer.token), timer.delay)
    assert isinstance(action, i.Fail)


def test_a_committed_request_is_not_retried(copy: Copy) -> None:
    send = copy.send()
    copy.do(i.Committed(send.request))
    assert isinstance(copy.end(send, O.RESET)[0], i.Reject)


def test_no_attempt_is_sent_for_a_request_that_is_over(copy: Copy) -> None:
    send = copy.send()
    (timer,) = copy.end(send, O.ERROR)
    assert isinstance(timer, i.SetTimer)
    copy.do(i.RequestAbandoned(send.request))
    assert copy.do(i.TimerDue(timer.token), timer.delay) == []
    abandoned = copy.send()
    copy.do(i.RequestAbandoned(abandoned.request))
    assert copy.end(abandoned, O.ERROR) == []
    timed_out = copy.send()
    assert copy.end(timed_out, O.TIMED_OUT, is_request_over=True) == []
    assert copy.balancer.requests == {}


def test_events_of_unknown_requests_timers_and_peers_are_ignored(copy: Copy) -> None:
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


def test_a_request_that_was_not_sent_is_rejected(copy: Copy) -> None:
    (action,) = copy.end(copy.send("order"), O.NOT_SENT)
    assert isinstance(action, i.Reject)
