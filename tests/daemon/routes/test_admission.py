"""Limits: requests in flight, attempts, rates, class priorities and the advice to what is rejected."""

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
    """A token bucket in exact numbers."""

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
    now = seen = start
    for step in steps:
        now += step / float(rate)
        seen = max(seen, now)  # an instant that goes back counts as the latest one
        decision = admit(now, None, limited, "a", "c")
        assert isinstance(decision, Admission) == bucket.take(int(seen * 10**9))
        if isinstance(decision, Admission):
            decision.finish(now, Outcome.SERVED)
        elif limited.shortage() is not None:
            wait = limited.shortage()[1]  # type: ignore[index]
            assert wait <= 1 / float(rate) + 1e-6 and Bucket.take(bucket, int((seen + wait) * 10**9) + 2)
            return


@given(st.data())
def test_any_run_of_requests_keeps_the_bounds_and_leaves_nothing_behind(data: st.DataObject) -> None:
    max_attempts = data.draw(st.integers(1, 6))
    claims = v.AttemptLimitSettings(max_attempts, data.draw(st.integers(0, max_attempts - 1)))
    in_flight, own = data.draw(st.integers(0, 5)), data.draw(st.integers(0, 3))
    worth = (v.ClassPriority("low", fill=0.5, floor=0.25), v.ClassPriority("high", floor=0.25))
    limiter = pool(
        in_flight=in_flight, claims=claims, caller=v.CallerLimitSettings(own), worth=worth,
        table=v.CallerTableSettings(known=2, strangers=2),
        adaptive=v.AdaptiveLimitSettings(floor=1, start=5, samples=20),
    )  # fmt: skip
    route = RouteLimiter(v.RouteLimitSettings(in_flight=4, caller=v.CallerLimitSettings(2)), 0.0)
    requests: list[tuple[Admission, str]] = []
    over: list[Admission] = []
    out: dict[int, int] = {}  # attempts in flight, by request
    now = 0.0
    for _ in range(data.draw(st.integers(1, 60))):
        now += data.draw(st.sampled_from([0.0, 0.01, 5.0]))
        what = data.draw(st.sampled_from(["take", "take", "claim", "claim", "ended", "done"]))
        if what == "take":
            name = data.draw(st.sampled_from("abcdef"))
            decision = admit(now, route, limiter, name, data.draw(st.sampled_from(["low", "high", "?"])))
            if isinstance(decision, Admission):
                requests.append((decision, name))
                out[id(decision)] = 0
                assert len(requests) <= (in_flight or 99) and len(requests) <= 4
                assert sum(caller == name for _, caller in requests) <= min(own or 2, 2)
            else:
                assert decision.status in (429, 503) and 0.1 <= decision.retry_after <= 2.0
        elif what == "claim" and requests:
            request = data.draw(st.sampled_from(requests))[0]
            went = request.start_attempt(now)
            assert went or out[id(request)], "a request with no attempt in flight can't send one"
            out[id(request)] += went
            assert sum(out.values()) <= max_attempts
        elif what == "ended" and any(out.values()):
            request = data.draw(
                st.sampled_from(
                    [request for request in [admitted for admitted, _ in requests] + over if out[id(request)]]
                )
            )
            request.finish_attempt()
            out[id(request)] -= 1
        elif what == "done" and requests:
            request = requests.pop(data.draw(st.integers(0, len(requests) - 1)))[0]
            request.finish(now, data.draw(st.sampled_from(Outcome)))
            over.append(request)
            with pytest.raises(AlreadyFinishedError):
                request.finish(now, Outcome.CANCELLED)
            assert not request.start_attempt(now)
    for request, _ in requests:
        request.finish(now, Outcome.CANCELLED)
    for request in [admitted for admitted, _ in requests] + over:
        for _ in range(out[id(request)]):
            request.finish_attempt()
        with pytest.raises(AlreadyFinishedError):
            request.finish_attempt()
    assert limiter.in_flight == limiter.attempts == route.in_flight == limiter.other_classes.in_flight == 0
    assert all(standing.in_flight == 0 for standing in limiter.classes.values())
    for callers in (limiter.callers, route.callers):
        assert callers is not None and all(caller.in_flight == 0 for caller in callers.entries())


def test_a_caller_counted_in_the_overflow_entry_keeps_its_limit_once_an_entry_is_free() -> None:
    limiter = pool(caller=v.CallerLimitSettings(1), table=v.CallerTableSettings(known=1, strangers=1))
    assert limiter.callers is not None
    first, _, counted_with_others = [admit(0.0, None, limiter, name, "c") for name in ("a", "b", "x")]
    assert isinstance(first, Admission) and isinstance(counted_with_others, Admission)
    assert limiter.callers.overflow.in_flight_by_name == {"x": 1}
    first.finish(0.0, Outcome.SERVED)
    # An entry of its own is free for "x" from now on, but its request in flight is counted in the other one.
    decision = admit(0.0, None, limiter, "x", "c")
    assert isinstance(decision, Rejection) and (decision.status, decision.reason) == (
        429,
        "pool-caller-in-flight",
    )
    counted_with_others.finish(0.0, Outcome.SERVED)
    assert not limiter.callers.overflow.in_flight_by_name
    assert isinstance(admit(0.0, None, limiter, "x", "c"), Admission)
    assert list(limiter.callers.strangers) == ["b", "x"] and limiter.callers.strangers["x"].in_flight == 1


def test_a_limit_of_one_attempt_lets_a_request_have_all_of_its_retries() -> None:
    limiter = pool(claims=v.AttemptLimitSettings(1), in_flight=3)
    request = admit(0.0, None, limiter, "a", "c")
    assert isinstance(request, Admission)
    for _ in range(5):
        assert request.start_attempt(0.0) and not request.start_attempt(0.0)
        assert isinstance(admit(0.0, None, limiter, "b", "c"), Rejection)
        request.finish_attempt()
    # The caller goes while an attempt is out: that goes on to count until it has ended.
    assert request.start_attempt(1.0)
    request.finish(1.0, Outcome.CANCELLED)
    assert isinstance(admit(1.0, None, limiter, "b", "c"), Rejection)
    request.finish_attempt()
    assert isinstance(admit(1.0, None, limiter, "b", "c"), Admission)


def test_what_is_rejected_uses_up_nothing() -> None:
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
    assert decision.retry_after >= 1.0  # not before its rate admits one more


def test_rejected_requests_are_advised_to_retry_spread_over_the_time_that_they_need() -> None:
    limiter = pool(in_flight=100, retry_after=v.RetryAfterSettings(0.1, 4.0))
    decisions = [admit(0.0, None, limiter, "a", "c") for _ in range(400)]
    waits = [each.retry_after for each in decisions if isinstance(each, Rejection)]
    assert len(waits) == 300 and min(waits) >= 0.1 and max(waits) <= 4.0
    # Of the last ones, at two to three times as many as are taken in 2 s, no second is told to half.
    late = waits[-100:]
    assert max(sum(low <= wait < low + 1 for wait in late) for low in (0.1, 0.6, 1.1, 1.6, 2.1, 2.9)) < 50


@pytest.mark.parametrize(("crowd", "other"), [("menu-view", "place-order"), ("place-order", "menu-view")])
def test_class_priorities_count_and_starve_none(crowd: str, other: str) -> None:
    worth = (v.ClassPriority("menu-view", fill=0.7, floor=0.1), v.ClassPriority("place-order", floor=0.1))
    world = PoolWorld(v.PoolLimitSettings(in_flight=30, worth=worth))
    until = world.time.now() + 10
    world.arrive(4 * PEAK, "a", crowd, "s", until)
    world.arrive(0.2 * PEAK, "b", other, "s", until)
    world.run(until + 1)
    part = world.count(world.served, kind=other) / world.count(world.asked, kind=other)
    if other == "place-order":
        assert part > 0.99
    else:  # 3 places of 30 are its own: a tenth of what the pool can do, half of what it asks for
        assert 0.35 < part < 0.75


def test_a_class_that_nobody_asks_for_keeps_no_places() -> None:
    worth = (v.ClassPriority("menu-view", floor=0.25), v.ClassPriority("place-order", floor=0.25))
    limiter = pool(in_flight=4, worth=worth)
    assert all(isinstance(admit(0.0, None, limiter, "a", "place-order"), Admission) for _ in range(4))


def test_new_limits_keep_the_count_of_requests_in_flight_and_the_debt_of_the_rate() -> None:
    limiter = pool(in_flight=2, rate=v.RateSettings(1, 2))
    requests = [admit(0.0, None, limiter, "a", "c") for _ in range(2)]
    limiter.update_settings(
        v.PoolLimitSettings(in_flight=1, rate=v.RateSettings(2, 1), caller=v.CallerLimitSettings(1))
    )
    requests[0].finish(0.0, Outcome.SERVED)  # type: ignore[union-attr]
    assert limiter.shortage() == ("rate", 2.0)  # the bucket is full again at 2 s, as it was to be
    assert isinstance(admit(9.0, None, limiter, "a", "c"), Rejection)
    requests[1].finish(9.0, Outcome.SERVED)  # type: ignore[union-attr]
    request = admit(9.0, None, limiter, "a", "c")
    assert isinstance(request, Admission)
    limiter.update_settings(v.PoolLimitSettings())
    request.finish(9.0, Outcome.SERVED)
    assert limiter.in_flight == limiter.attempts == 0


@pytest.mark.parametrize(
    ("make", "words"),
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
def test_an_invalid_value_is_reported_on_one_line(make: Callable[[], object], words: str) -> None:
    with pytest.raises(ValueError) as bad:
        make()
    assert str(bad.value).startswith(words) and "\n" not in str(bad.value)
