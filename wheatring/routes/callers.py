"""The callers of a route or pool, a bounded number of them, and their fair shares.

A caller is a string: a token's holder, a header, an address. Two tables: who has proved to come again is
known, and can't be pushed out while it comes; all others are strangers, in a table that a crowd of names runs
through. Strangers are reckoned with as one caller, too, so that names can be made up without gain.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping
from math import exp, inf

from wheatring.routes.rate import LONG_AGO
from wheatring.routes.values import Shares, Table

TRIES = 8  # entries with jobs out that are passed over in search of one to drop
FADED = 1e-3  # jobs: less than that counts as none
THERE = 0.5  # seconds over which it is measured what there is to share: a pool takes more under pressure
MUCH = 1.1  # so many times what is taken must be asked for, or chance would put callers over their share
BEYOND = 1.02  # times the mean is above it
AHEAD = 4.0  # jobs that a caller may be ahead of its share
LEVEL_EVERY = 0.1  # seconds between two reckonings of the fair level


class Caller:
    """`asks` and `takes` are counts that fade with time, as of `at`, when it last asked; `out` jobs are in
    flight, exactly.
    """

    __slots__ = ("asks", "at", "full", "jobs", "known", "name", "out", "since", "takes", "turn", "weight")

    def __init__(self, name: str, weight: float, now: float) -> None:
        self.name = name
        self.weight = weight
        self.out = 0
        self.jobs = 0  # taken in all
        self.full = LONG_AGO  # of its rate
        self.asks = 0.0
        self.takes = 0.0
        self.turn = now  # at which it would be level with its share
        self.at = self.since = now
        self.known = False

    def fade(self, now: float, over: float) -> None:
        if now > self.at:
            left = exp((self.at - now) / over)
            self.asks *= left
            self.takes *= left
            self.at = now


class Callers:
    """At most `table.known + table.strangers` entries, of which strangers have what the known don't take, and
    two that stand for many.
    """

    __slots__ = (
        "_level", "_level_at", "_mean", "all", "known", "over", "rest", "strangers", "table",
        "unknown", "weight",
    )  # fmt: skip

    def __init__(self, table: Table, shares: Shares | None, now: float) -> None:
        self.known: OrderedDict[str, Caller] = OrderedDict()  # both: the one that asked longest ago first
        self.strangers: OrderedDict[str, Caller] = OrderedDict()
        self.unknown = Caller("", 1.0, now)  # all strangers together
        self.rest = Caller("", 1.0, now)  # the stranger that stands for those that found no entry
        self.all = Caller("", 1.0, now)
        self._level = inf
        self._mean = inf  # use for each weight, of those who want more than the level
        self._level_at = now
        self.change(table, shares)

    def change(self, table: Table, shares: Shares | None) -> None:
        """Other settings from now on; who is there stays."""
        shares = shares or Shares()
        self.table = table
        self.over = shares.over
        self.weight: Mapping[str, float] = shares.weight
        self.unknown.weight = shares.strangers
        for callers in (self.known, self.strangers):
            for caller in callers.values():
                caller.weight = self.weight.get(caller.name, 1.0)

    def each(self) -> Iterator[Caller]:
        yield from self.known.values()
        yield from self.strangers.values()
        yield self.rest

    def ask(self, name: str, now: float) -> Caller:
        """A job of this caller has come. `now` must not go back."""
        caller = self.known.get(name)
        if caller is not None:
            self.known.move_to_end(name)
        else:
            caller = self.strangers.get(name)
            if caller is None:
                caller = self._stranger(name, now)
            elif caller.jobs >= 2 and now - caller.since >= self.table.prove and self._room(now):
                del self.strangers[name]
                self.known[name] = caller
                caller.known = True
            else:
                self.strangers.move_to_end(name)
            if not caller.known:
                self.unknown.fade(now, self.over)
                self.unknown.asks += 1.0
        caller.fade(now, self.over)
        caller.asks += 1.0
        self.all.fade(now, THERE)
        self.all.asks += 1.0
        return caller

    def take(self, caller: Caller, now: float) -> None:
        """What was just asked for is taken."""
        caller.out += 1
        caller.jobs += 1
        caller.takes += 1.0
        self._served(caller, now)
        if not caller.known:
            self.unknown.takes += 1.0
            self._served(self.unknown, now)
        self.all.takes += 1.0

    def over_share(self, caller: Caller, now: float) -> bool:
        """It asks for more than its fair share, and is ahead of it: the most that all who want more could
        have alike, for their weight. A stranger is so as well if all strangers together are.
        """
        if now >= self._level_at:
            self._level_at = now + LEVEL_EVERY
            self._level = self._reckon(now)
        if self._ahead(caller, now):
            return True
        if caller.known:
            return False
        self.unknown.fade(now, self.over)
        return self._ahead(self.unknown, now)

    def above_others(self, caller: Caller) -> bool:
        """It asks for more than its fair share, and has had more than the mean of those who do so: what it
        leaves, others take. To be asked after `over_share`, in the same instant.
        """
        if not caller.known:
            caller = self.unknown
        share = caller.weight * self._level
        return caller.asks > share and caller.takes > BEYOND * caller.weight * self._mean

    def _ahead(self, caller: Caller, now: float) -> bool:
        share = caller.weight * self._level
        return caller.asks > share and (caller.turn - now) * share > AHEAD * self.over

    def _served(self, caller: Caller, now: float) -> None:
        """A share's worth of time goes by for each job: a caller's turn runs ahead of the time if it has
        more. What it had more is held against it for as long as use is measured, no longer.
        """
        share = caller.weight * self._level
        if share < inf:
            turn = caller.turn if caller.turn > now else now
            caller.turn = min(turn + self.over / share, now + self.over) if share else now + self.over

    def _reckon(self, now: float) -> float:
        """Max-min: the level to which all wants can be filled, out of what was taken of late."""
        over = self.over
        self.all.fade(now, THERE)
        self.unknown.fade(now, over)
        crowd = [(self.unknown.asks, self.unknown.takes, self.unknown.weight)]
        for caller in self.known.values():
            left = exp((caller.at - now) / over)  # `at` stays when it last asked
            if caller.asks * left > FADED:
                crowd.append((caller.asks * left, caller.takes * left, caller.weight))
        there = self.all.takes * over / THERE
        self._mean = inf
        wanted = sum(asks for asks, _, _ in crowd)
        if wanted <= MUCH * there or self.all.asks <= MUCH * self.all.takes:
            return inf
        found = level([(asks, weight) for asks, _, weight in crowd], there)
        more = [(takes, weight) for asks, takes, weight in crowd if asks > weight * found]
        if len(more) > 1:
            self._mean = sum(takes for takes, _ in more) / sum(weight for _, weight in more)
        return found

    def _stranger(self, name: str, now: float) -> Caller:
        strangers = self.strangers
        room = self.table.known + self.table.strangers - len(self.known)
        if len(strangers) >= room and not self._drop(strangers, inf):
            return self.rest
        caller = strangers[name] = Caller(name, self.weight.get(name, 1.0), now)
        return caller

    def _room(self, now: float) -> bool:
        return len(self.known) < self.table.known or self._drop(self.known, now - self.table.keep)

    @staticmethod
    def _drop(callers: OrderedDict[str, Caller], before: float) -> bool:
        """Make room by dropping who asked last before an instant and has nothing out."""
        for _ in range(min(TRIES, len(callers))):
            name, caller = next(iter(callers.items()))
            if caller.at > before:
                return False
            if not caller.out:
                del callers[name]
                return True
            callers.move_to_end(name)  # a job out must find its entry again, or its count would be lost
        return False


def level(wants: list[tuple[float, float]], there: float) -> float:
    """The level f at which the sum of min(want, weight * f) is all that is there; inf if it suffices."""
    wants.sort(key=lambda pair: pair[0] / pair[1])
    weights = sum(weight for _, weight in wants)
    for want, weight in wants:
        if want * weights > there * weight:
            return max(0.0, there) / weights
        there -= want
        weights -= weight
    return inf
