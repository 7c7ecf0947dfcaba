"""By when a sidecar must next have asked for the list, lest it count as notified of what it does not know.

Discovery's changes count as known to a sidecar when they are written, and, written or not, at instants that
the platform sets:

- whatever else is allowed, a change counts as known NOTIFIED_AFTER_REACHABLE_SECONDS after discovery had it
  and could be reached, once a call has failed, was refused or was given up;
- what a call that may wait has to tell counts NOTIFIED_AFTER_WAIT_SECONDS after its wait is over, or
  NOTIFIED_AFTER_REACHABLE_SECONDS after it fell silent, if that is later;
- with no call out, a change counts as known `within` seconds after the last one; where lists are pushed, at
  once.

Nothing new may go to an endpoint that drains or is gone some time after that, which a site may set to next to
nothing: so the time that a call itself takes must lie before it. A call to nobody hangs for
HANGING_CALL_SECONDS before it fails, and one that is answered needs ANSWER_SECONDS, in which also late timers
have their room.

So a failed call is followed by the next one within RETRY_WITHIN_SECONDS, and calls that come to nothing begin
no further apart than NOTIFIED_AFTER_REACHABLE_SECONDS less ANSWER_SECONDS, however long each took: any
instant at which discovery is there again is followed by the begin of a call that is answered in time. One
that nobody answers is given up after CALL_TIMEOUT_SECONDS. Only a call that waits for changes, and has waited
longer than any call stays in discovery's queue, would have reported them up to its end.

Pure: instants in seconds are handed in; nothing here knows of sockets. `ListRequestSchedule` and `Freshness`
go by it.
"""

from __future__ import annotations

from math import inf

NOTIFIED_AFTER_REACHABLE_SECONDS = 6.0
NOTIFIED_AFTER_WAIT_SECONDS = 2.0
# A connect to nobody is given up then, and so is a call that can't wait, where there is a list.
HANGING_CALL_SECONDS = 2.0
ANSWER_SECONDS = 1.0
RETRY_WITHIN_SECONDS = NOTIFIED_AFTER_REACHABLE_SECONDS - HANGING_CALL_SECONDS - ANSWER_SECONDS
MIN_RETRY_SECONDS = 0.25  # where that is in no time: who is not there needs not be asked more often
# For which a call that can't wait is waited for at most.
CALL_TIMEOUT_SECONDS = NOTIFIED_AFTER_REACHABLE_SECONDS - ANSWER_SECONDS - MIN_RETRY_SECONDS


class NotificationDeadline:
    """What one sidecar's calls to discovery say of the next one. All attributes are seconds or instants.

    Attributes
    ----------
    within : float
        The platform's time in which a sidecar must ask again; 0 where lists are pushed.
    last_ended_at : float
        The end of the last call, or the start.
    failed_at, failed_call_began_at : float
        When the last call failed, if no later one was answered or accepted (inf: none has), and when that
        call began: what has changed since then it may have missed.
    waiting_since, max_wait : float
        When the call that waits for changes was accepted (inf: there is none), and how long it may wait.
    """

    __slots__ = ("failed_at", "failed_call_began_at", "last_ended_at", "max_wait", "waiting_since", "within")

    def __init__(self, within: float, now: float) -> None:
        self.within = within
        self.start(now)

    def start(self, now: float) -> None:
        """Start anew: no call is out, and none has failed."""
        self.last_ended_at = now
        self.failed_at = inf
        self.failed_call_began_at = now
        self.waiting_since = inf
        self.max_wait = 0.0

    def call_accepted(self, now: float, wait: float) -> None:
        """Take in that discovery has a call, which may wait so many seconds."""
        self.waiting_since, self.max_wait, self.failed_at = now, wait, inf

    def call_answered(self, now: float) -> None:
        """Take in that a call has been answered."""
        self.last_ended_at, self.waiting_since, self.failed_at = now, inf, inf

    def call_failed(self, now: float, began: float) -> None:
        """Take in that the call that waits, or one beside it, has failed, was refused, or was given up."""
        self.last_ended_at = self.failed_at = now
        self.failed_call_began_at = began

    def discovery_moved(self, now: float, began: float) -> None:
        """Take in that discovery is elsewhere, and that a call since `began` was given up (inf: none was).

        With no call out, one that is due is no less so: moves in a row must not put it off for ever.
        """
        self.waiting_since = inf
        if began < inf or self.failed_at == inf:
            self.call_failed(now, min(began, now))

    def call_dropped(self) -> None:
        """Take in that there is no call that waits."""
        self.waiting_since = inf

    @property
    def retry_interval(self) -> float:
        """Seconds from a call that failed at once to the next, at most."""
        longest = 4 * self.within - HANGING_CALL_SECONDS - ANSWER_SECONDS
        return max(min(RETRY_WITHIN_SECONDS, longest), MIN_RETRY_SECONDS)

    def deadline(self) -> float:
        """Return the instant by which the next call must be made."""
        if self.failed_at < inf:
            retry_by = self.failed_at + self.retry_interval
            missed_by = self.failed_call_began_at + NOTIFIED_AFTER_REACHABLE_SECONDS - ANSWER_SECONDS
            return max(min(retry_by, missed_by), self.failed_at + MIN_RETRY_SECONDS)
        if self.waiting_since < inf:
            longest = max(NOTIFIED_AFTER_REACHABLE_SECONDS, self.max_wait + NOTIFIED_AFTER_WAIT_SECONDS)
            return self.waiting_since + longest - HANGING_CALL_SECONDS - ANSWER_SECONDS
        return self.last_ended_at + max(self.within - HANGING_CALL_SECONDS, self.within / 2)
