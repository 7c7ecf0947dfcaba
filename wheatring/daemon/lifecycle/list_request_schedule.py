"""When a sidecar asks for the endpoint list, so that a fleet that starts at once does not overload discovery.

Discovery answers one call after another, for all sidecars, and a call that waits too long for its turn fails.
No sidecar knows how many calls a second it takes, nor who else is asking: a sidecar knows its number, how
many there are, and how its own calls ended. So all act by one timetable, in *rounds*. A round gives each
sidecar one position. Whoever was answered is out; whoever was not takes its position in the next round:

- the first round is short, for a sidecar that starts alone should not wait for a fleet that is not there;
- the second is so long that `second_round_rate` calls a second are made if all have to ask again, and each
  further one twice as long. So the fleet comes down on whatever discovery can answer.

A call for the whole list is waited for only so long as its share: of the calls of a round, as many are meant
to stay as discovery is likely to answer by its end, and the others leave their turns to these. How long each
stays is drawn from a Pareto distribution, of which any wait, however long the queue, leaves a part over. Were
all equally patient, all would leave just before their turn, or in it (reneging; Palm 1937).

Rounds are counted from the start, or from a move of discovery. Positions in a round are by number, turned on
from round to round by the golden section, so that neighbours in one are far apart in the next (additive
recurrence; Kuipers and Niederreiter 1974).

Who has a list that names an endpoint to send to asks by its notification deadline (`notification_deadline`),
whatever the queue. At the start it comes after those that have none, as far as that leaves room. Once a call
has failed it takes no part in the rounds: it asks again within RETRY_WITHIN_SECONDS. The first failure after
an answer is seen by the whole fleet at the same time, so positions are by number there; from then on each
keeps its own step, which leaves the fleet as spread out as it is. Only where a call fails in a queue, in a
fleet larger than discovery is likely to answer meanwhile, do some give way, and spread their next calls over
the time that the queue is likely to take: it can't be in time for all of them, and in a storm of calls that
are left it would be for none. After one such failure these are the ones for whom even a fast discovery has no
turn in time, by number; after the second in a row changes are late in any case, so all do.

Pure: instants in seconds are handed in; nothing here knows of sockets.
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

REFRESH_RATE = 25.0  # calls a second by those that have a list, which a fast discovery can answer
MIN_ROUND_SECONDS = 0.25  # that a further round takes at least, doubled from round to round; up to
MAX_MIN_ROUND_SECONDS = 2.5
MIN_CALL_RATE = 1.0  # calls a second by all in the longest round
SPARSE_ROUND = 2  # from this round on, by number from 0, there is room for a second call within it
GOLDEN_SECTION = 0.6180339887498949
MAX_REFRESH_SECONDS = 24.0  # between calls at most of one that has a list and finds a queue
MAX_DOUBLED_ROUND = 64  # no round is longer for its number from this one on
QUEUE_SECONDS = 2.0  # in which a call in discovery's queue is likely to have had its turn, or to have failed
MAX_PATIENCE_SECONDS = 5.0  # after which a call for the full list is given up; no queue is longer


class RequestPace(NamedTuple):
    """How fast a fleet asks. Rates are calls a second of all sidecars together.

    The first two hold for the first round; `second_round_rate` for the one after it, if all have to ask
    again. `expected_answer_rate` is what discovery is expected to answer while nothing else is known.
    """

    first_round_rate: float = 60.0
    first_round_max_seconds: float = 3.0
    second_round_rate: float = 13.0
    expected_answer_rate: float = 4.0


DEFAULT_PACE = RequestPace()


class ListRequestSchedule:
    """One sidecar's timetable.

    Attributes
    ----------
    pace : RequestPace
        May be replaced; it holds for what is reckoned from then on.
    notification : NotificationDeadline
        By when a sidecar that has a list must ask again.
    position : float
        This sidecar's position among all, from 0 to 1.
    has_list : bool
        There is a list that names an endpoint to send to.
    round, started_at, round_started_at : int and float
        The present round, from 0, and when the first one and the present one began.
    was_answered : bool
        The last call was answered.
    has_retried_in_round : bool
        The second call of a sparse round is used up.
    not_before : float
        The instant before which no call is made.
    queued_failures, slow_calls : int
        Calls in a row that failed in discovery's queue, and those that hung until they were given up.
    """

    def __init__(
        self,
        copies: int,
        number: int,
        within: float,
        random: Random,
        now: float,
        pace: RequestPace = DEFAULT_PACE,
    ) -> None:
        """Begin the first round of sidecar `number`, from 0, of `copies` that ask.

        `within` is the platform's time in seconds in which one that sends must have asked; 0 where lists are
        pushed.
        """
        self.pace = pace
        self.copies = copies
        self.notification = NotificationDeadline(within, now)
        self.random = random
        self.position = (number % copies + random.random()) / copies
        self.start(now, holds=False)

    def start(self, now: float, holds: bool) -> None:
        """Begin the first round. `holds`: there is a list that names an endpoint to send to."""
        self.notification.start(now)
        self.restart_rounds(now, holds)

    def discovery_moved(self, now: float, holds: bool, out: bool, took: float, waits: bool) -> None:
        """Take in that discovery is elsewhere. `out`: a call was given up, after `took` seconds."""
        began = now if was_queued_out(waits, took) else now - took
        self.notification.discovery_moved(now, began if out else inf)
        self.restart_rounds(now, holds)

    def restart_rounds(self, now: float, holds: bool) -> None:
        """Begin the first round again; what counts for the notification deadline stays."""
        self.has_list = holds
        self.round = 0
        self.started_at = self.round_started_at = now
        self.was_answered = False
        self.has_retried_in_round = False
        self.not_before = now
        self.queued_failures = 0
        self.slow_calls = 0

    def round_seconds(self, number: int) -> float:
        """Return the seconds that a round takes, by its number from 0."""
        if number == 0:
            return min(self.pace.first_round_max_seconds, self.copies / self.pace.first_round_rate)
        most = max(self.copies / MIN_CALL_RATE, MAX_MIN_ROUND_SECONDS)
        doubled = 2.0 ** (min(number, MAX_DOUBLED_ROUND) - 1)
        return min(max(self.copies / self.pace.second_round_rate * doubled, _min_round_seconds(number)), most)

    def next_call_at(self, now: float) -> float:
        """Return the instant of the next call, not before `now`."""
        if self.has_list and self.round:
            return max(now, self.not_before)
        length = self.round_seconds(self.round)
        if not self.has_list:
            at = (self.position + self.round * GOLDEN_SECTION) % 1.0 * length
        else:
            # In time, and after those that have nothing to go by, if that leaves time to be spread out.
            room = self.notification.deadline() - self.round_started_at
            first = length if 2 * length <= room else 0.0
            at = first + self.position * min(self.copies / REFRESH_RATE, room - first)
        return max(now, self.round_started_at + at, self.not_before)

    def draw_patience(self) -> float:
        """Draw the seconds for which the next call for the full list is waited for."""
        rate = self.pace.expected_answer_rate
        if self.has_list:
            share = rate * (RETRY_WITHIN_SECONDS + HANGING_CALL_SECONDS) / self.copies
            if share >= 1:
                # Few ask: a call that hangs must not be waited for, unless all take so long.
                return min(CALL_TIMEOUT_SECONDS, HANGING_CALL_SECONDS * 2.0**self.slow_calls)
            return min(CALL_TIMEOUT_SECONDS, HANGING_CALL_SECONDS * share / (1.0 - self.random.random()))
        ends = self.round_started_at + self.round_seconds(self.round) + QUEUE_SECONDS
        share = rate * (ends - self.started_at) / self.copies  # of all, who can have had their turn by then
        if share >= 1:
            return MAX_PATIENCE_SECONDS
        return min(MAX_PATIENCE_SECONDS, QUEUE_SECONDS * share / (1.0 - self.random.random()))

    def call_answered(self) -> None:
        """Take in that a call has been answered."""
        self.was_answered = self.has_list = True

    def call_failed(
        self,
        now: float,
        took: float = 0.0,
        part: float | None = None,
        taken: bool = True,
        waits: bool = False,
    ) -> None:
        """Take in that a call has failed, or was given up.

        Parameters
        ----------
        took : float
            Seconds from its begin.
        part : float or None
            Seconds since its answer had begun, for which it had had its turn; None: it had not.
        taken : bool
            There was a connection, so that discovery has the call.
        waits : bool
            It was one that waits for changes.
        """
        if was_queued_out(waits, took):
            # It ended as all others did that waited, which is no sign of a queue.
            self.was_answered, took = True, part or 0.0
        self.notification.call_failed(now, now - took)
        self.slow_calls = min(self.slow_calls + 1, 2) if taken and took >= HANGING_CALL_SECONDS else 0
        if self.has_list:
            self.schedule_refresh(now, stood=taken and took >= QUEUE_SECONDS / 2 and part is None)
            return
        if (
            self.round >= SPARSE_ROUND
            and took >= QUEUE_SECONDS / 2
            and not self.has_retried_in_round
            and part is None
        ):
            # It was queued, and few are left by now: a chance crowd is no reason to wait for a round that is
            # longer still. One that was refused at once says nothing of a queue.
            self.has_retried_in_round = True
            self.not_before = now + self.round_seconds(self.round) / 2
            return
        self._next_round(now, had_turn=part is not None)

    def _next_round(self, now: float, had_turn: bool) -> None:
        self.has_retried_in_round = False
        ended = self.round_started_at + self.round_seconds(self.round)
        # One that had its turn saw that the queue is not long: no slower, and rather one round back.
        self.round = min(self.round, max(1, self.round - 1)) if had_turn else self.round + 1
        # One that has fallen behind the timetable (a stall, a call that took long) goes by its own.
        self.round_started_at = max(ended, now)
        self.not_before = now + _min_round_seconds(self.round) / 2

    def schedule_refresh(self, now: float, stood: bool) -> None:
        """Set the next call of a sidecar that has a list, once one has failed. `stood`: it was queued."""
        # After the first failure by number, as all saw it at once; then nearly in step.
        part = (self.position + GOLDEN_SECTION) % 1.0 if self.was_answered else 1 - self.random.random() / 4
        self.round = 1 if self.was_answered else min(self.round + 1, MAX_DOUBLED_ROUND)
        self.queued_failures = self.queued_failures + 1 if stood and not self.was_answered else 0
        self.was_answered = False
        gap = min(self.round_seconds(self.round), self.notification.deadline() - now)
        queue = min(self.copies / self.pace.expected_answer_rate, MAX_REFRESH_SECONDS)
        if self.queued_failures and queue > self.notification.retry_interval:
            # More ask than can be answered in time, so a large fleet gives way: in a storm nobody would be.
            turn = (self.position + self.round * GOLDEN_SECTION) % 1.0 * self.copies
            if self.queued_failures > 1 or turn >= REFRESH_RATE * NOTIFIED_AFTER_REACHABLE_SECONDS:
                gap, draw = queue, self.random.random()
                part = draw if self.queued_failures < 3 else 1 - draw / 2
        self.not_before = now + max(gap * part, min(_min_round_seconds(self.round), gap) / 2)


def was_queued_out(waits: bool, took: float) -> bool:
    """Whether a call that ended after so many seconds was out of the queue, and waited for changes.

    So it would have brought any up to its end. `waits`: it is one that waits for changes.
    """
    return waits and took > MAX_PATIENCE_SECONDS


def _min_round_seconds(number: int) -> float:
    return min(MIN_ROUND_SECONDS * 2.0 ** min(number, MAX_DOUBLED_ROUND), MAX_MIN_ROUND_SECONDS)
