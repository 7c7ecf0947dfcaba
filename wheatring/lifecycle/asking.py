"""When a sidecar asks for the machine list, so that a fleet that starts as one spares who answers.

Discovery answers one call after another, for all sidecars, and a call that waits too long for its turn fails.
How many calls a second it takes is told to nobody, nor who else is asking: a sidecar knows its number, how
many there are, and how its own calls ended. So all act by one timetable, in *rounds*. A round gives each
sidecar one place. Whoever was answered is out; whoever was not takes its place in the next round:

- the first round is short, for a sidecar that starts alone should not wait for a fleet that is not there;
- the second is so long that `haste` calls a second are made if all have to ask again, and each further one
  twice as long. So the fleet comes down on whatever discovery can answer.

A call for the whole list is waited for only so long as its share: of the calls of a round, as many are meant
to stay as discovery is likely to answer by its end, and the others leave their turns to these. How long each
stays is drawn from a Pareto distribution, of which any wait, however long the line, leaves a part over. Were
all equally patient, all would leave just before their turn, or in it (reneging; Palm 1937).

Rounds are counted from the start, or from a move of discovery. Places in a round are by number, turned on
from round to round by the golden section, so that neighbours in one are far apart in the next (additive
recurrence; Kuipers and Niederreiter 1974).

Who holds a list that names somebody to send to is held to what it counts as told (`told.py`), whatever the
line. At the start it comes after those that hold none, as far as that leaves room. Once a call has failed it
takes no part in the rounds: it asks again within AGAIN. The first failure after an answer is seen by the
whole fleet at the same time, so places are by number there; from then on each keeps its own step, which
leaves the fleet as spread out as it is. Only where a call fails in a line, in a fleet larger than discovery
is likely to answer meanwhile, do some give way, and spread their next calls over the time that the line is
likely to take: it can't be in time for all of them, and in a storm of calls that are left it would be for
none. After one such failure these are the ones for whom even a fast discovery has no turn in time, by
number; after the second in a row the news are late in any case, so all do.

Pure: instants in seconds are handed in; nothing here knows of sockets.
"""

from __future__ import annotations

from math import inf
from random import Random
from typing import NamedTuple

from wheatring.lifecycle.told import AGAIN, GIVE_UP, HANG, REACHED, Told

HOLDERS = 25.0  # calls a second by those that hold a list, which a fast discovery can answer
LEAST = 0.25  # seconds, doubled from round to round, that a further round takes at least; up to
LEAST_UP_TO = 2.5
SLOWEST = 1.0  # calls a second by all in the longest round
SPARSE = 2  # from this round on, by number from 0, there is room for a second place within it
GOLDEN = 0.6180339887498949
LONGEST = 24.0  # seconds between calls at most of one that holds a list and finds a line
LATE = 64  # no round is longer for its number from this one on
QUEUE = 2.0  # seconds in which one that waits in line there is likely to have had its turn, or to have failed
PATIENT = 5.0  # seconds after which a call for the whole list is given up in any case, and no line is longer


class Pace(NamedTuple):
    """How fast a fleet asks. Calls a second are those of all sidecars."""

    first: float = 60.0  # calls a second in the first round
    longest: float = 3.0  # seconds which that round takes at most
    haste: float = 13.0  # calls a second in the round after it, if all have to ask again
    likely: float = 4.0  # calls a second that discovery is held to answer, while nothing else is known


DEFAULT = Pace()


class Asking:
    """One sidecar's timetable. `copies` ask, and this one is `number` of them, from 0; `within` is the
    platform's time (seconds) in which one that sends must have asked; 0 where lists are pushed.
    """

    def __init__(
        self, copies: int, number: int, within: float, random: Random, now: float, pace: Pace = DEFAULT
    ) -> None:
        self.pace = pace  # which holds for what is reckoned from now on
        self.copies = copies
        self.told = Told(within, now)
        self.random = random
        self.place = (number % copies + random.random()) / copies  # from 0 to 1
        self.begin(now, holds=False)

    def begin(self, now: float, holds: bool) -> None:
        """The first round begins. `holds`: there is a list that names somebody to send to."""
        self.told.begin(now)
        self.first_round(now, holds)

    def move(self, now: float, holds: bool, out: bool, took: float, waits: bool) -> None:
        """Discovery is elsewhere. `out`: a call has been given up, after so many seconds; see `failed`."""
        self.told.moved(now, (now if heard(waits, took) else now - took) if out else inf)
        self.first_round(now, holds)

    def first_round(self, now: float, holds: bool) -> None:
        self.holds = holds
        self.round = 0
        self.began = self.origin = now  # the first round, and the present one
        self.settled = False  # the last call was answered
        self.twice = False  # it has its second place in the present round
        self.after = now  # not to be made before
        self.stood = 0  # calls in a row that failed in a line
        self.slow = 0  # calls in a row that were waited for to the end of patience

    def length(self, number: int) -> float:
        """Seconds which a round takes, by its number from 0."""
        if number == 0:
            return min(self.pace.longest, self.copies / self.pace.first)
        most = max(self.copies / SLOWEST, LEAST_UP_TO)
        doubled = 2.0 ** (min(number, LATE) - 1)
        return min(max(self.copies / self.pace.haste * doubled, _least(number)), most)

    def due(self, now: float) -> float:
        """The instant of the next call, not before `now`."""
        if self.holds and self.round:
            return max(now, self.after)
        length = self.length(self.round)
        if not self.holds:
            at = (self.place + self.round * GOLDEN) % 1.0 * length
        else:
            # In time, and after those that have nothing to go by, if that leaves time to be spread out.
            room = self.told.by() - self.origin
            first = length if 2 * length <= room else 0.0
            at = first + self.place * min(self.copies / HOLDERS, room - first)
        return max(now, self.origin + at, self.after)

    def patience(self) -> float:
        """Seconds for which the next call for the whole list is waited for; drawn anew for each."""
        if self.holds and (share := self.pace.likely * (AGAIN + HANG) / self.copies) >= 1:
            # Few ask: a call that hangs must not be waited for, unless all take so long.
            return min(GIVE_UP, HANG * 2.0**self.slow)
        if self.holds:
            return min(GIVE_UP, HANG * share / (1.0 - self.random.random()))
        ends = self.origin + self.length(self.round) + QUEUE
        share = (
            self.pace.likely * (ends - self.began) / self.copies
        )  # of all, who can have had their turn by then
        if share >= 1:
            return PATIENT
        return min(PATIENT, QUEUE * share / (1.0 - self.random.random()))

    def answered(self) -> None:
        """A call has been answered."""
        self.settled = self.holds = True

    def failed(
        self,
        now: float,
        took: float = 0.0,
        part: float | None = None,
        taken: bool = True,
        waits: bool = False,
    ) -> None:
        """A call has failed, or was given up, after so many seconds. `part`: so many since its answer had
        begun, for which it had had its turn. `taken`: there was a connection, so that somebody has it.
        `waits`: for news.
        """
        if heard(waits, took):
            # It ended as all others did that stood, which is no sign of a line.
            self.settled, took = True, part or 0.0
        self.told.failed(now, now - took)
        self.slow = min(self.slow + 1, 2) if taken and took >= HANG else 0
        if self.holds:
            self.again(now, stood=taken and took >= QUEUE / 2 and part is None)
            return
        if self.round >= SPARSE and took >= QUEUE / 2 and not self.twice and part is None:
            # It stood in line, and few are left by now: a chance crowd is no reason to wait for a round that
            # is longer still. One that was refused at once says nothing of a line.
            self.twice = True
            self.after = now + self.length(self.round) / 2
            return
        self.twice = False
        ended = self.origin + self.length(self.round)
        # One that had its turn saw that the line is not long: no slower, and rather one round back.
        self.round = min(self.round, max(1, self.round - 1)) if part is not None else self.round + 1
        # One that has fallen behind the timetable (a stall, a call that took long) goes by its own.
        self.origin = max(ended, now)
        self.after = now + _least(self.round) / 2

    def again(self, now: float, stood: bool) -> None:
        """The next call of one that holds a list, once the last has failed. `stood`: in a line."""
        # After the first failure by number, as all saw it at once; then nearly in step.
        part = (self.place + GOLDEN) % 1.0 if self.settled else 1 - self.random.random() / 4
        self.round = 1 if self.settled else min(self.round + 1, LATE)
        self.stood = self.stood + 1 if stood and not self.settled else 0
        self.settled = False
        gap = min(self.length(self.round), self.told.by() - now)
        line = min(self.copies / self.pace.likely, LONGEST)
        if self.stood and line > self.told.step:
            # More ask than can be answered in time, so a large fleet gives way: in a storm nobody would be.
            turn = (self.place + self.round * GOLDEN) % 1.0 * self.copies
            if self.stood > 1 or turn >= HOLDERS * REACHED:
                gap, part = line, self.random.random() if self.stood < 3 else 1 - self.random.random() / 2
        self.after = now + max(gap * part, min(_least(self.round), gap) / 2)


def heard(waits: bool, took: float) -> bool:
    """Whether a call that ends after so many seconds was out of the line, so that it would have told news up
    to its end. `waits`: for news.
    """
    return waits and took > PATIENT


def _least(number: int) -> float:
    return min(LEAST * 2.0 ** min(number, LATE), LEAST_UP_TO)
