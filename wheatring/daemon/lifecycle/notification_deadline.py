"""The deadline by which a sidecar must request the endpoint list again.

By the platform's rules a sidecar counts as notified of a change when discovery has written it to the sidecar,
and, even if it was not written, at these times:

- after a call has failed, was refused or was given up, NOTIFIED_AFTER_REACHABLE_SECONDS after discovery had
  the change and was reachable, whatever the other rules allow;
- for a call that waits for changes, NOTIFIED_AFTER_WAIT_SECONDS after the end of its wait, or
  NOTIFIED_AFTER_REACHABLE_SECONDS after the connection stopped responding, whichever is later;
- while there is no call, `within` seconds after the end of the last one; immediately where lists are pushed.

A grace period after that, which a site may configure close to zero, no new request may go to an endpoint that
is draining or gone. The call must therefore be complete by then: a call to an unreachable host hangs for
HANGING_CALL_SECONDS before it fails, and an answered one takes up to ANSWER_SECONDS, which allows for late
timers.

So a failed call is retried within RETRY_WITHIN_SECONDS, and consecutive failing calls begin at most
NOTIFIED_AFTER_REACHABLE_SECONDS less ANSWER_SECONDS apart, however long each takes: whenever discovery is
reachable again, a call follows that is answered in time. An unanswered call is given up after
CALL_TIMEOUT_SECONDS. The one exception is a call that waits for changes and has waited longer than any call
stays in discovery's queue: it would have reported all changes up to its end.

Pure: the caller passes the time, in seconds; there are no sockets here. `ListRequestSchedule` and `Freshness`
use this deadline.
"""

from __future__ import annotations

from math import inf

NOTIFIED_AFTER_REACHABLE_SECONDS = 6.0
NOTIFIED_AFTER_WAIT_SECONDS = 2.0
# Time-out of a connect to an unreachable host, and of a call that can't wait if there already is a list.
HANGING_CALL_SECONDS = 2.0
ANSWER_SECONDS = 1.0
RETRY_WITHIN_SECONDS = NOTIFIED_AFTER_REACHABLE_SECONDS - HANGING_CALL_SECONDS - ANSWER_SECONDS
MIN_RETRY_SECONDS = 0.25  # lower bound of the retry interval, as polling an absent service faster is useless
# Longest time-out of a call that can't wait for changes.
CALL_TIMEOUT_SECONDS = NOTIFIED_AFTER_REACHABLE_SECONDS - ANSWER_SECONDS - MIN_RETRY_SECONDS


class NotificationDeadline:
    """Derives the deadline of the next call to discovery from the previous calls. Times are in seconds.

    Attributes
    ----------
    within : float
        The time within which the platform requires the next call; 0 where lists are pushed.
    last_ended_at : float
        The end of the last call, or the start.
    failed_at, failed_call_began_at : float
        When the last call failed, if no later one has been answered or accepted (else inf), and when that
        call began: it may have missed changes since then.
    waiting_since, max_wait : float
        When the call that waits for changes was accepted (inf if there is none), and how long it may wait.
    """

    __slots__ = ("failed_at", "failed_call_began_at", "last_ended_at", "max_wait", "waiting_since", "within")

    def __init__(self, within: float, now: float) -> None:
        self.within = within
        self.start(now)

    def start(self, now: float) -> None:
        """Reset: no call is in progress and none has failed."""
        self.last_ended_at = now
        self.failed_at = inf
        self.failed_call_began_at = now
        self.waiting_since = inf
        self.max_wait = 0.0

    def call_accepted(self, now: float, wait: float) -> None:
        """Record that discovery has accepted a call, which may wait for `wait` seconds."""
        self.waiting_since, self.max_wait, self.failed_at = now, wait, inf

    def call_answered(self, now: float) -> None:
        """Record that a call has been answered."""
        self.last_ended_at, self.waiting_since, self.failed_at = now, inf, inf

    def call_failed(self, now: float, began: float) -> None:
        """Record that a call, waiting or not, has failed, was refused or was given up."""
        self.last_ended_at = self.failed_at = now
        self.failed_call_began_at = began

    def discovery_moved(self, now: float, began: float) -> None:
        """Record that discovery has moved and that a call from `began` was given up (inf if there was none).

        Without such a call the current deadline stays: repeated moves must not postpone it indefinitely.
        """
        self.waiting_since = inf
        if began < inf or self.failed_at == inf:
            self.call_failed(now, min(began, now))

    def call_dropped(self) -> None:
        """Record that no call is waiting for changes."""
        self.waiting_since = inf

    @property
    def retry_interval(self) -> float:
        """The longest time from a call that failed immediately to the next one, in seconds."""
        longest = 4 * self.within - HANGING_CALL_SECONDS - ANSWER_SECONDS
        return max(min(RETRY_WITHIN_SECONDS, longest), MIN_RETRY_SECONDS)

    def deadline(self) -> float:
        """Return the time by which the next call must be made."""
        if self.failed_at < inf:
            retry_by = self.failed_at + self.retry_interval
            missed_by = self.failed_call_began_at + NOTIFIED_AFTER_REACHABLE_SECONDS - ANSWER_SECONDS
            return max(min(retry_by, missed_by), self.failed_at + MIN_RETRY_SECONDS)
        if self.waiting_since < inf:
            longest = max(NOTIFIED_AFTER_REACHABLE_SECONDS, self.max_wait + NOTIFIED_AFTER_WAIT_SECONDS)
            return self.waiting_since + longest - HANGING_CALL_SECONDS - ANSWER_SECONDS
        return self.last_ended_at + max(self.within - HANGING_CALL_SECONDS, self.within / 2)
