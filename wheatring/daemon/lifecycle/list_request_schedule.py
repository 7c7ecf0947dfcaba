"""Schedules requests for the endpoint list so that a fleet starting together does not overload discovery.

Discovery serves the calls of all sidecars one at a time, and a call that is queued for too long fails. No
sidecar knows the service rate or which others are calling: it knows only its index, the number of sidecars
and the results of its own calls. All therefore follow the same schedule of *rounds*, each of which assigns
one position to every sidecar. A sidecar whose call was answered is finished; the others call again in the
next round:

- the first round is short, as a sidecar that starts alone should not wait for a fleet that is not there;
- the second one is long enough for `second_round_rate` calls a second if all sidecars call again, and each
  further round is twice as long. The call rate thus decreases until discovery can serve it.

The time-out of a call for the full list is random: of the calls of a round, about as many should stay in the
queue as discovery is likely to serve by the end of the round, and the others should leave it. Time-outs are
drawn from a Pareto distribution, for which some calls outlast any wait, however long the queue. With equal
time-outs, all callers would leave just before they are served or while they are (reneging; Palm 1937).

Rounds are counted from the start, or from a move of discovery. The position in a round follows from the
sidecar's index, rotated by the golden section in each round, so that neighbours in one round are far apart in
the next (additive recurrence; Kuipers and Niederreiter 1974).

A sidecar whose list contains an endpoint to send to follows its notification deadline
(`notification_deadline`), regardless of the queue. At the start it calls after the sidecars that have no such
list, if the deadline leaves room for that. After a failed call it leaves the rounds and retries within
RETRY_WITHIN_SECONDS. The whole fleet sees the first failure after an answer simultaneously, so that retry is
spread by index; after that each sidecar keeps its own interval, which preserves the spread. Only if a call
fails in the queue, in a fleet larger than discovery is likely to serve in that time, do some sidecars back
off and spread their next calls over the likely duration of the queue: discovery can't serve all of them in
time, and in a storm of abandoned calls it would serve none. After one such failure, only those back off, by
index, that even a fast discovery could not serve in time; after the second consecutive one, changes are late
in any case, so all back off.

Pure: the caller passes the time, in seconds; there are no sockets here.
"""

from __future__ import annotations

from math import inf
from random import Random
from typing import NamedTuple

from wheatring.daemon.lifecycle.notification_deadline import (
    CALL_TIMEOUT_SECONDS,
    HANGING_CALL_SECONDS,
    NOTIFIED_AFTER_REACHABLE_SECONDS,
    RETRY_WITHIN_SECONDS,
    NotificationDeadline,
)

REFRESH_RATE = 25.0  # calls a second by sidecars with a list, which a fast discovery can answer
MIN_ROUND_SECONDS = 0.25  # minimum length of the rounds after the first, doubled in each round ...
MAX_MIN_ROUND_SECONDS = 2.5  # ... up to this
MIN_CALL_RATE = 1.0  # calls a second by all sidecars in the longest round
SPARSE_ROUND = 2  # from this round on, counted from 0, a sidecar may call a second time within a round
GOLDEN_SECTION = 0.6180339887498949
MAX_REFRESH_SECONDS = 24.0  # longest time between the calls of a sidecar with a list that meets a queue
MAX_DOUBLED_ROUND = 64  # rounds stop doubling here
QUEUE_SECONDS = 2.0  # time after which a call in discovery's queue has probably been served or has failed
MAX_QUEUE_SECONDS = 5.0  # longest time in the queue, so also the longest time-out of a call for the full list


class RequestPace(NamedTuple):
    """The call rates of a fleet, in calls a second of all sidecars together.

    The first two fields apply to the first round, `second_round_rate` to the second one if all sidecars call
    again. `expected_answer_rate` is the service rate assumed for discovery, as the actual one is unknown.
    """

    first_round_rate: float = 60.0
    first_round_max_seconds: float = 3.0
    second_round_rate: float = 13.0
    expected_answer_rate: float = 4.0


DEFAULT_PACE = RequestPace()


class ListRequestSchedule:
    """One sidecar's schedule of calls for the endpoint list.

    Attributes
    ----------
    pace : RequestPace
        May be replaced at any time; later decisions use the new one.
    notification : NotificationDeadline
        The deadline by which a sidecar that has a list must call again.
    position : float
        This sidecar's position among all, from 0 to 1.
    has_list : bool
        Whether there is a list that contains an endpoint to send to.
    round, started_at, round_started_at : int and float
        The current round, from 0, and when the first and the current round began.
    was_answered : bool
        Whether the last call was answered.
    has_retried_in_round : bool
        Whether the second call of a sparse round has been made.
    not_before : float
        The earliest time of the next call.
    queued_failures : int
        Consecutive calls that failed in discovery's queue.
    slow_calls : int
        Consecutive calls that hung until they timed out.
    """

    def __init__(
        self,
        sidecar_count: int,
        sidecar_index: int,
        within: float,
        random: Random,
        now: float,
        pace: RequestPace = DEFAULT_PACE,
    ) -> None:
        """Begin the first round of sidecar `sidecar_index` (from 0) of `sidecar_count`.

        `within` is the time in seconds within which the platform requires a call from a sidecar that sends;
        0 where lists are pushed.
        """
        self.pace = pace
        self.sidecar_count = sidecar_count
        self.notification = NotificationDeadline(within, now)
        self.random = random
        self.position = (sidecar_index % sidecar_count + random.random()) / sidecar_count
        self.start(now, has_list=False)

    def start(self, now: float, has_list: bool) -> None:
        """Begin the first round. `has_list`: there is a list that contains an endpoint to send to."""
        self.notification.start(now)
        self.restart_rounds(now, has_list)

    def discovery_moved(
        self, now: float, has_list: bool, was_calling: bool, took: float, can_wait: bool
    ) -> None:
        """Record that discovery has moved. `was_calling`: a call was given up, after `took` seconds."""
        call_began_at = now if was_waiting_for_changes(can_wait, took) else now - took
        self.notification.discovery_moved(now, call_began_at if was_calling else inf)
        self.restart_rounds(now, has_list)

    def restart_rounds(self, now: float, has_list: bool) -> None:
        """Begin again at the first round, without resetting the notification deadline."""
        self.has_list = has_list
        self.round = 0
        self.started_at = self.round_started_at = now
        self.was_answered = False
        self.has_retried_in_round = False
        self.not_before = now
        self.queued_failures = 0
        self.slow_calls = 0

    def round_seconds(self, round_number: int) -> float:
        """Return the length of a round in seconds, by its number from 0."""
        if round_number == 0:
            return min(self.pace.first_round_max_seconds, self.sidecar_count / self.pace.first_round_rate)
        longest = max(self.sidecar_count / MIN_CALL_RATE, MAX_MIN_ROUND_SECONDS)
        doubled = 2.0 ** (min(round_number, MAX_DOUBLED_ROUND) - 1)
        return min(
            max(self.sidecar_count / self.pace.second_round_rate * doubled, _min_round_seconds(round_number)),
            longest,
        )

    def next_call_at(self, now: float) -> float:
        """Return the time of the next call, not before `now`."""
        if self.has_list and self.round:
            return max(now, self.not_before)
        length = self.round_seconds(self.round)
        if not self.has_list:
            at = (self.position + self.round * GOLDEN_SECTION) % 1.0 * length
        else:
            # Before the deadline, and after the sidecars without a list if that leaves time for the spread.
            available = self.notification.deadline() - self.round_started_at
            offset = length if 2 * length <= available else 0.0
            at = offset + self.position * min(self.sidecar_count / REFRESH_RATE, available - offset)
        return max(now, self.round_started_at + at, self.not_before)

    def draw_timeout(self) -> float:
        """Draw the time-out of the next call for the full list, in seconds."""
        rate = self.pace.expected_answer_rate
        if self.has_list:
            share = rate * (RETRY_WITHIN_SECONDS + HANGING_CALL_SECONDS) / self.sidecar_count
            if share >= 1:
                # Few sidecars call, so a hanging call times out early, unless all calls are that slow.
                return min(CALL_TIMEOUT_SECONDS, HANGING_CALL_SECONDS * 2.0**self.slow_calls)
            return min(CALL_TIMEOUT_SECONDS, HANGING_CALL_SECONDS * share / (1.0 - self.random.random()))
        round_end = self.round_started_at + self.round_seconds(self.round) + QUEUE_SECONDS
        share = (
            rate * (round_end - self.started_at) / self.sidecar_count
        )  # of all sidecars, the part served by then
        if share >= 1:
            return MAX_QUEUE_SECONDS
        return min(MAX_QUEUE_SECONDS, QUEUE_SECONDS * share / (1.0 - self.random.random()))

    def call_answered(self) -> None:
        """Record that a call has been answered."""
        self.was_answered = self.has_list = True

    def call_failed(
        self,
        now: float,
        took: float = 0.0,
        answering_seconds: float | None = None,
        was_sent: bool = True,
        can_wait: bool = False,
    ) -> None:
        """Record that a call has failed or was given up.

        Parameters
        ----------
        took : float
            Seconds from its start to its end.
        answering_seconds : float or None
            Seconds since its answer began, at which time it had left the queue; None if no answer began.
        was_sent : bool
            Whether there was a connection, so that discovery has received the call.
        can_wait : bool
            Whether the call waits for changes.
        """
        if was_waiting_for_changes(can_wait, took):
            # It ended together with all other waiting calls, which does not indicate a queue.
            self.was_answered, took = True, answering_seconds or 0.0
        self.notification.call_failed(now, now - took)
        self.slow_calls = min(self.slow_calls + 1, 2) if was_sent and took >= HANGING_CALL_SECONDS else 0
        if self.has_list:
            self.schedule_refresh(
                now, was_queued=was_sent and took >= QUEUE_SECONDS / 2 and answering_seconds is None
            )
            return
        if (
            self.round >= SPARSE_ROUND
            and took >= QUEUE_SECONDS / 2
            and not self.has_retried_in_round
            and answering_seconds is None
        ):
            # The call was queued although few sidecars are still calling, which may be a coincidence: retry
            # within this round instead of waiting for a longer one. An immediate refusal indicates no queue.
            self.has_retried_in_round = True
            self.not_before = now + self.round_seconds(self.round) / 2
            return
        self._next_round(now, was_being_answered=answering_seconds is not None)

    def _next_round(self, now: float, was_being_answered: bool) -> None:
        self.has_retried_in_round = False
        ended = self.round_started_at + self.round_seconds(self.round)
        # A call that was being answered shows that the queue is short: go back by one round.
        self.round = min(self.round, max(1, self.round - 1)) if was_being_answered else self.round + 1
        # A sidecar that is behind the schedule (a stall, a long call) begins its next round now.
        self.round_started_at = max(ended, now)
        self.not_before = now + _min_round_seconds(self.round) / 2

    def schedule_refresh(self, now: float, was_queued: bool) -> None:
        """Schedule the retry of a sidecar that has a list. `was_queued`: the call failed in the queue."""
        # The whole fleet sees the first failure simultaneously, so that retry is spread by index.
        fraction = (
            (self.position + GOLDEN_SECTION) % 1.0 if self.was_answered else 1 - self.random.random() / 4
        )
        self.round = 1 if self.was_answered else min(self.round + 1, MAX_DOUBLED_ROUND)
        self.queued_failures = self.queued_failures + 1 if was_queued and not self.was_answered else 0
        self.was_answered = False
        interval = min(self.round_seconds(self.round), self.notification.deadline() - now)
        queue_seconds = min(self.sidecar_count / self.pace.expected_answer_rate, MAX_REFRESH_SECONDS)
        if self.queued_failures and queue_seconds > self.notification.retry_interval:
            # Discovery can't answer all in time, so a large fleet backs off: in a storm it would answer none.
            slot = (self.position + self.round * GOLDEN_SECTION) % 1.0 * self.sidecar_count
            if self.queued_failures > 1 or slot >= REFRESH_RATE * NOTIFIED_AFTER_REACHABLE_SECONDS:
                interval, random_number = queue_seconds, self.random.random()
                fraction = random_number if self.queued_failures < 3 else 1 - random_number / 2
        self.not_before = now + max(interval * fraction, min(_min_round_seconds(self.round), interval) / 2)


def was_waiting_for_changes(can_wait: bool, took: float) -> bool:
    """Whether a call that ended after `took` seconds had left the queue and was waiting for changes.

    It would then have reported any change up to its end. `can_wait`: the call waits for changes.
    """
    return can_wait and took > MAX_QUEUE_SECONDS


def _min_round_seconds(round_number: int) -> float:
    return min(MIN_ROUND_SECONDS * 2.0 ** min(round_number, MAX_DOUBLED_ROUND), MAX_MIN_ROUND_SECONDS)
