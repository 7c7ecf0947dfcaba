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

REACHED = 6.0
AFTER_WAIT = 2.0
HANG = 2.0  # a connect to nobody is given up then, and so is a call that can't wait, where a list is held
ANSWER = 1.0
AGAIN = REACHED - HANG - ANSWER
AT_ONCE = 0.25  # where that is in no time: who is not there needs not be asked more often
GIVE_UP = REACHED - ANSWER - AT_ONCE  # seconds for which a call that can't wait is waited for at most


class Told:
    """What this sidecar's calls say of the next one. `within` is the platform's time for asking, 0 where
    lists are pushed.
    """

    __slots__ = ("began", "failed_at", "last", "out", "wait", "within")

    def __init__(self, within: float, now: float) -> None:
        self.within = within
        self.begin(now)

    def begin(self, now: float) -> None:
        """A start. No call is out, and none has failed."""
        self.last = now  # the end of the last call, or the start
        self.failed_at = inf  # since a call has failed: no later one was answered or laid
        self.began = now  # that call: what has changed since then it may have missed
        self.out = inf  # the call that waits, since then; inf: none
        self.wait = 0.0  # and how long it may

    def laid(self, now: float, wait: float) -> None:
        """Discovery has taken a call, which may wait so long."""
        self.out, self.wait, self.failed_at = now, wait, inf

    def answered(self, now: float) -> None:
        self.last, self.out, self.failed_at = now, inf, inf

    def failed(self, now: float, began: float) -> None:
        """The call, or one beside that which waits, has failed, was refused, or was given up."""
        self.last = self.failed_at = now
        self.began = began

    def moved(self, now: float, began: float) -> None:
        """Discovery is elsewhere, and what was out since `began` (inf: nothing) has been given up. With
        nothing out, a call that is owed is no less so: moves in a row must not put it off for ever.
        """
        self.out = inf
        if began < inf or self.failed_at == inf:
            self.failed(now, min(began, now))

    def dropped(self) -> None:
        """There is no call that waits."""
        self.out = inf

    @property
    def step(self) -> float:
        """From a call that failed at once to the next, at most."""
        return max(min(AGAIN, 4 * self.within - HANG - ANSWER), AT_ONCE)

    def by(self) -> float:
        """The instant by which the next call must be made."""
        if self.failed_at < inf:
            by = min(self.failed_at + self.step, self.began + REACHED - ANSWER)
            return max(by, self.failed_at + AT_ONCE)
        if self.out < inf:
            return self.out + max(REACHED, self.wait + AFTER_WAIT) - HANG - ANSWER
        return self.last + max(self.within - HANG, self.within / 2)
