"""By when this sidecar must next have asked for the list, lest it count as told of what it does not know.

Discovery's news count as told when they are written, and, written or not, at instants that the platform sets:

- whatever else is allowed, a change counts as told REACHED after discovery had it and could be reached, once
  a call has failed, was refused or was given up;
- what a call that may wait has to tell counts AFTER_WAIT after its wait is over, or REACHED after it fell
  silent, if that is later;
- with no call out, a change counts as told `within` after the last one; where lists are pushed, at once.

Nothing new may go to an endpoint that drains or is gone some time after that, which a site may set to next to
nothing: so the time that a call itself takes must lie before it. A call to nobody hangs for HANG before it
fails, and one that is answered needs ANSWER, in which also late timers have their room.

So a failed call is followed by the next one within AGAIN, and calls that come to nothing begin no further
apart than REACHED less ANSWER, however long each took: any instant at which discovery is there again is
followed by the begin of a call that is answered by REACHED. One that nobody answers is given up after
GIVE_UP. Only a call that waits for news, and has stood longer than anybody stands in line, would have told
them up to its end.

Pure: instants in seconds are handed in; nothing here knows of sockets. `Asking` and `Freshness` go by it.
"""

from __future__ import annotations

from math import inf

NOTIFIED_AFTER_REACHABLE_SECONDS = 6.0
NOTIFIED_AFTER_WAIT_SECONDS = 2.0
HANGING_CALL_SECONDS = (
    2.0  # a connect to nobody is given up then, and so is a call that can't wait, where a list is held
)
ANSWER_SECONDS = 1.0
RETRY_WITHIN_SECONDS = NOTIFIED_AFTER_REACHABLE_SECONDS - HANGING_CALL_SECONDS - ANSWER_SECONDS
MIN_RETRY_SECONDS = 0.25  # where that is in no time: who is not there needs not be asked more often
CALL_TIMEOUT_SECONDS = (
    NOTIFIED_AFTER_REACHABLE_SECONDS - ANSWER_SECONDS - MIN_RETRY_SECONDS
)  # seconds for which a call that can't wait is waited for at most


class NotificationDeadline:
    """What this sidecar's calls say of the next one. `within` is the platform's time for asking, 0 where
    lists are pushed.
    """

    __slots__ = ("failed_at", "failed_call_began_at", "last_ended_at", "max_wait", "waiting_since", "within")

    def __init__(self, within: float, now: float) -> None:
        self.within = within
        self.start(now)

    def start(self, now: float) -> None:
        """A start. No call is out, and none has failed."""
        self.last_ended_at = now  # the end of the last call, or the start
        self.failed_at = inf  # since a call has failed: no later one was answered or laid
        self.failed_call_began_at = now  # that call: what has changed since then it may have missed
        self.waiting_since = inf  # the call that waits, since then; inf: none
        self.max_wait = 0.0  # and how long it may

    def call_accepted(self, now: float, wait: float) -> None:
        """Discovery has taken a call, which may wait so long."""
        self.waiting_since, self.max_wait, self.failed_at = now, wait, inf

    def call_answered(self, now: float) -> None:
        self.last_ended_at, self.waiting_since, self.failed_at = now, inf, inf

    def call_failed(self, now: float, began: float) -> None:
        """The call, or one beside that which waits, has failed, was refused, or was given up."""
        self.last_ended_at = self.failed_at = now
        self.failed_call_began_at = began

    def discovery_moved(self, now: float, began: float) -> None:
        """Discovery is elsewhere, and what was out since `began` (inf: nothing) has been given up. With
        nothing out, a call that is owed is no less so: moves in a row must not put it off for ever.
        """
        self.waiting_since = inf
        if began < inf or self.failed_at == inf:
            self.call_failed(now, min(began, now))

    def call_dropped(self) -> None:
        """There is no call that waits."""
        self.waiting_since = inf

    @property
    def retry_interval(self) -> float:
        """From a call that failed at once to the next, at most."""
        return max(
            min(RETRY_WITHIN_SECONDS, 4 * self.within - HANGING_CALL_SECONDS - ANSWER_SECONDS),
            MIN_RETRY_SECONDS,
        )

    def deadline(self) -> float:
        """The instant by which the next call must be made."""
        if self.failed_at < inf:
            by = min(
                self.failed_at + self.retry_interval,
                self.failed_call_began_at + NOTIFIED_AFTER_REACHABLE_SECONDS - ANSWER_SECONDS,
            )
            return max(by, self.failed_at + MIN_RETRY_SECONDS)
        if self.waiting_since < inf:
            return (
                self.waiting_since
                + max(NOTIFIED_AFTER_REACHABLE_SECONDS, self.max_wait + NOTIFIED_AFTER_WAIT_SECONDS)
                - HANGING_CALL_SECONDS
                - ANSWER_SECONDS
            )
        return self.last_ended_at + max(self.within - HANGING_CALL_SECONDS, self.within / 2)
