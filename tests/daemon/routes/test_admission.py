"""Limits: requests in flight, attempts, rates, class priorities and Retry-After."""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.daemon.routes.pool_world import PEAK, PoolWorld
from wheatring.daemon.routes import limit_settings as v
from wheatring.daemon.routes.admission import Admission, Outcome, Rejection, admit
from wheatring.daemon.routes.exceptions import AlreadyFinishedError
from wheatring.daemon.routes.limiters import PoolLimiter, RouteLimiter


def pool(now: float = 0.0, **limits: object) -> PoolLimiter:
    return PoolLimiter(v.PoolLimitSettings(**limits), now, Random(7))  # type: ignore[arg-type]


class Bucket:
    """A token bucket with exact arithmetic."""

    def __init__(self, rate: Fraction, burst: int) -> None:
        self.rate, self.burst, self.tokens, self.at = rate, burst, Fraction(burst), Fraction(0)

    def take(self, nano: int) -> bool:
        at = max(self.at, Fraction(nano, 10**9))
        self.tokens = min(Fraction(self.burst), self.tokens + (at - self.at) * self.rate)
        self.at = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@given(
    st.sampled_from(["0.1", "3", "7.5", "1000", "333.3", "1e-3"]),
    st.integers(1, 5),
    st.lists(st.floats(-0.001, 3.0), max_size=60),
    st.sampled_from([0.0, 1.5, 1e6]),
)
def test_a_rate_is_a_token_bucket_to_the_nanosecond(
    rate: str, burst: int, steps: list[float], start: float
) -> None:
    limited = pool(start, rate=v.RateSettings(float(rate), burst))
    bucket = Bucket(Fraction(rate), burst)
    now = latest = start
    for step in steps:
        now += step / float(rate)
        latest = max(latest, now)  # an earlier instant counts as the latest one
        decision = admit(now, None, limited, "a", "c")
        assert isinstance(decision, Admission) == bucket.take(int(latest * 10**9))
        if isinstance(decision, Admission):
            decision.finish(now, Outcome.SERVED)
        elif limited.shortage() is not None:
            wait = limited.shortage()[1]  # type: ignore[index]
            assert wait <= 1 / float(rate) + 1e-6 and Bucket.take(bucket, int((latest + wait) * 10**9) + 2)
            return


@given(st.data())
def test_any_sequence_of_requests_stays_within_the_limits_and_leaves_all_counts_at_zero(
    data: st.DataObject,
) -> None:
    max_attempts = data.draw(st.integers(1, 6))
    claims = v.AttemptLimitSettings(max_attempts, data.draw(st.integers(0, max_attempts - 1)))
    in_flight, caller_limit = data.draw(st.integers(0, 5)), data.draw(st.integers(0, 3))
    worth = (v.ClassPriority("low", fill=0.5, floor=0.25), v.ClassPriority("high", floor=0.25))
    limiter = pool(
        in_flight=in_flight, claims=claims, caller=v.CallerLimitSettings(caller_limit), worth=worth,
        table=v.CallerTableSettings(known=2, strangers=2),
        adaptive=v.AdaptiveLimitSettings(floor=1, start=5, samples=20),
    )  # fmt: skip
    route = RouteLimiter(v.RouteLimitSettings(in_flight=4, caller=v.CallerLimitSettings(2)), 0.0)
    requests: list[tuple[Admission, str]] = []
    finished: list[Admission] = []
    attempts: dict[int, int] = {}  # in flight, by request
    now = 0.0
    for _ in range(data.draw(st.integers(1, 60))):
        now += data.draw(st.sampled_from([0.0, 0.01, 5.0]))
        step = data.draw(st.sampled_from(["admit", "admit", "start", "start", "end", "finish"]))
        if step == "admit":
            name = data.draw(st.sampled_from("abcdef"))
            decision = admit(now, route, limiter, name, data.draw(st.sampled_from(["low", "high", "?"])))
            if isinstance(decision, Admission):
                requests.append((decision, name))
                attempts[id(decision)] = 0
                assert len(requests) <= (in_flight or 99) and len(requests) <= 4
                assert sum(caller == name for _, caller in requests) <= min(caller_limit or 2, 2)
            else:
                assert decision.status in (429, 503) and 0.1 <= decision.retry_after <= 2.0
        elif step == "start" and requests:
            request = data.draw(st.sampled_from(requests))[0]
            has_started = request.start_attempt(now)
            assert has_started or attempts[id(request)], "a request with no attempt in flight can't send one"
            attempts[id(request)] += has_started
            assert sum(attempts.values()) <= max_attempts
        elif step == "end" and any(attempts.values()):
            request = data.draw(
                st.sampled_from(
                    [
                        request
                        for request in [admitted for admitted, _ in requests] + finished
                        if attempts[id(request)]
                    ]
                )
            )
            request.finish_attempt()
            attempts[id(request)] -= 1
        elif step == "finish" and requests:
            request = requests.pop(data.draw(st.integers(0, len(requests) - 1)))[0]
            request.finish(now, data.draw(st.sampled_from(Outcome)))
            finished.append(request)
            with pytest.raises(AlreadyFinishedError):
                request.finish(now, Outcome.CANCELLED)
            assert not request.start_attempt(now)
    for request, _ in requests:
        request.finish(now, Outcome.CANCELLED)
    for request in [admitted for admitted, _ in requests] + finished:
        for _ in range(attempts[id(request)]):
            request.finish_attempt()
        with pytest.raises(AlreadyFinishedError):
            request.finish_attempt()
    assert limiter.in_flight == limiter.attempts == route.in_flight == limiter.other_classes.in_flight == 0
    assert all(state.in_flight == 0 for state in limiter.classes.values())
    for callers in (limiter.callers, route.callers):
        assert callers is not None and all(caller.in_flight == 0 for caller in callers.entries())


def test_a_caller_counted_in_the_overflow_entry_keeps_its_limit_once_an_entry_is_free() -> None:
    limiter = pool(caller=v.CallerLimitSettings(1), table=v.CallerTableSettings(known=1, strangers=1))
    assert limiter.callers is not None
    first, _, in_overflow = [admit(0.0, None, limiter, name, "c") for name in ("a", "b", "x")]
    assert isinstance(first, Admission) and isinstance(in_overflow, Admission)
    assert limiter.callers.overflow.in_flight_by_name == {"x": 1}
    first.finish(0.0, Outcome.SERVED)
    # The table now has room for "x", but its request in flight is counted in the overflow entry.
    decision = admit(0.0, None, limiter, "x", "c")
    assert isinstance(decision, Rejection) and (decision.status, decision.reason) == (
        429,
        "pool-caller-in-flight",
    )
    in_overflow.finish(0.0, Outcome.SERVED)
    assert not limiter.callers.overflow.in_flight_by_name
    assert isinstance(admit(0.0, None, limiter, "x", "c"), Admission)
    assert list(limiter.callers.strangers) == ["b", "x"] and limiter.callers.strangers["x"].in_flight == 1


def test_a_limit_of_one_attempt_still_allows_all_retries_of_a_request() -> None:
    limiter = pool(claims=v.AttemptLimitSettings(1), in_flight=3)
    request = admit(0.0, None, limiter, "a", "c")
    assert isinstance(request, Admission)
    for _ in range(5):
        assert request.start_attempt(0.0) and not request.start_attempt(0.0)
        assert isinstance(admit(0.0, None, limiter, "b", "c"), Rejection)
        request.finish_attempt()
    # If the caller disconnects during an attempt, that counts until it has ended.
    assert request.start_attempt(1.0)
    request.finish(1.0, Outcome.CANCELLED)
    assert isinstance(admit(1.0, None, limiter, "b", "c"), Rejection)
    request.finish_attempt()
    assert isinstance(admit(1.0, None, limiter, "b", "c"), Admission)


def test_a_rejected_request_uses_neither_capacity_nor_tokens() -> None:
    limiter = pool(
        in_flight=1, rate=v.RateSettings(1, 2), caller=v.CallerLimitSettings(rate=v.RateSettings(1, 2))
    )
    first = admit(0.0, None, limiter, "a", "c")
    assert isinstance(first, Admission)
    for _ in range(10):
        decision = admit(0.0, None, limiter, "a", "c")
        assert isinstance(decision, Rejection) and decision.status == 503
    first.finish(0.0, Outcome.SERVED)
    assert isinstance(admit(0.0, None, limiter, "a", "c"), Admission)
    decision = admit(0.0, None, limiter, "a", "c")
    assert isinstance(decision, Rejection) and (decision.status, decision.reason) == (429, "pool-caller-rate")
    assert decision.retry_after >= 1.0  # not before the rate admits one more


def test_retry_after_spreads_rejected_requests_over_the_time_to_admit_them() -> None:
    limiter = pool(in_flight=100, retry_after=v.RetryAfterSettings(0.1, 4.0))
    decisions = [admit(0.0, None, limiter, "a", "c") for _ in range(400)]
    waits = [decision.retry_after for decision in decisions if isinstance(decision, Rejection)]
    assert len(waits) == 300 and min(waits) >= 0.1 and max(waits) <= 4.0
    # Of the last 100, at two to three times the capacity, fewer than half get the same second.
    last_waits = waits[-100:]
    assert (
        max(sum(low <= wait < low + 1 for wait in last_waits) for low in (0.1, 0.6, 1.1, 1.6, 2.1, 2.9)) < 50
    )


@pytest.mark.parametrize(("crowd", "other"), [("menu-view", "place-order"), ("place-order", "menu-view")])
def test_class_priorities_are_respected_and_starve_no_class(crowd: str, other: str) -> None:
    worth = (v.ClassPriority("menu-view", fill=0.7, floor=0.1), v.ClassPriority("place-order", floor=0.1))
    world = PoolWorld(v.PoolLimitSettings(in_flight=30, worth=worth))
    until = world.time.now() + 10
    world.arrive(4 * PEAK, "a", crowd, "s", until)
    world.arrive(0.2 * PEAK, "b", other, "s", until)
    world.run(until + 1)
    share = world.count(world.served, class_name=other) / world.count(world.requested, class_name=other)
    if other == "place-order":
        assert share > 0.99
    else:  # its floor is 3 of 30 requests: a tenth of the capacity, half of its load
        assert 0.35 < share < 0.75


def test_the_floor_of_a_class_without_requests_reserves_no_capacity() -> None:
    worth = (v.ClassPriority("menu-view", floor=0.25), v.ClassPriority("place-order", floor=0.25))
    limiter = pool(in_flight=4, worth=worth)
    assert all(isinstance(admit(0.0, None, limiter, "a", "place-order"), Admission) for _ in range(4))


def test_new_limits_keep_the_requests_in_flight_and_the_state_of_the_bucket() -> None:
    limiter = pool(in_flight=2, rate=v.RateSettings(1, 2))
    requests = [admit(0.0, None, limiter, "a", "c") for _ in range(2)]
    limiter.update_settings(
        v.PoolLimitSettings(in_flight=1, rate=v.RateSettings(2, 1), caller=v.CallerLimitSettings(1))
    )
    requests[0].finish(0.0, Outcome.SERVED)  # type: ignore[union-attr]
    assert limiter.shortage() == ("rate", 2.0)  # the bucket is still full again at 2 s
    assert isinstance(admit(9.0, None, limiter, "a", "c"), Rejection)
    requests[1].finish(9.0, Outcome.SERVED)  # type: ignore[union-attr]
    request = admit(9.0, None, limiter, "a", "c")
    assert isinstance(request, Admission)
    limiter.update_settings(v.PoolLimitSettings())
    request.finish(9.0, Outcome.SERVED)
    assert limiter.in_flight == limiter.attempts == 0


@pytest.mark.parametrize(
    ("make", "message"),
    [
        (lambda: v.RateSettings(0), "rate.per_s: must be above 0 to 1e+06 jobs a second: 0"),
        (lambda: v.RateSettings(float("nan")), "rate.per_s: must be above 0 to 1e+06 jobs a second: nan"),
        (lambda: v.RateSettings(1, True), "rate.burst: must be a whole number from 1 to 1000000 jobs: True"),
        (
            lambda: v.AttemptLimitSettings(3, 3),
            "claims.reserve: must be a whole number from 0 to 2 attempts: 3",
        ),
        (
            lambda: v.FairShareSettings(weight={"a": -1}),
            "shares.weight.a: must be above 0 to 1e+06 (a weight): -1",
        ),
        (
            lambda: v.PoolLimitSettings(worth=(v.ClassPriority("a"),)),
            "worth: needs in_flight, adaptive or claims",
        ),
        (
            lambda: v.RouteLimitSettings(caller=v.CallerLimitSettings(rate=v.RateSettings(0.1, 60))),
            "table.keep: must be from 600 seconds (burst / per_s): 60",
        ),
    ],
)
def test_an_invalid_value_is_reported_on_one_line(make: Callable[[], object], message: str) -> None:
    with pytest.raises(ValueError) as caught:
        make()
    assert str(caught.value).startswith(message) and "\n" not in str(caught.value)
