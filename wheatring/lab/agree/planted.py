"""Faults planted in what agrees on views, each of which the orders or the days have to find."""

from __future__ import annotations

from math import inf
from typing import Any, NamedTuple

from wheatring.lab.agree import days
from wheatring.lab.agree.fleet import Makes as FleetMakes
from wheatring.lab.agree.orders import Makes
from wheatring.lease.fleet import Fleet, Instant, Out, Piece
from wheatring.lease.register import Phase, Register
from wheatring.lease.views import Views
from wheatring.lease.words import NOTHING, Put, Which
from wheatring.members.cuts import Cuts
from wheatring.members.view import Rings, View
from wheatring.members.words import Here
from wheatring.peers.agreement import Agreement


class Fickle(Register):
    """Takes an epoch that is lower than what it promised."""

    def _asked(self, at: Instant, address: Any, word: Which | Put) -> list[Out]:
        self.promised = min(self.promised, word.epoch)
        if isinstance(word, Put) and word.epoch < self.kept.epoch:
            self.kept = NOTHING
        return super()._asked(at, address, word)


class Hasty(Register):
    """Puts nothing again of what it found."""

    def _begins(self, at: Instant) -> list[Out]:
        self.phase, self.again = Phase.READY, inf
        return []


class Sleepless(Register):
    """Answers at once after a start."""

    def tick(self, at: Instant) -> list[Out]:
        self.awake = True
        return super().tick(at)

    def _asked(self, at: Instant, address: Any, word: Which | Put) -> list[Out]:
        self.awake = True
        return super()._asked(at, address, word)


class Backward(Register):
    """Goes by whatever it is told last."""

    def learn(self, at: Instant, address: Any, entry: Any) -> list[Out]:
        self.chosen = NOTHING
        return super().learn(at, address, entry)


class InRegister(NamedTuple):
    what: str
    makes: Makes


IN_REGISTER = (
    InRegister("a voter that takes an epoch lower than it promised", Fickle),
    InRegister("a leader that does not put again what it found", Hasty),
    InRegister("a voter that does not sleep after a start", Sleepless),
    InRegister("a sidecar that goes back to an entry before", Backward),
)


# In views


class Rash(Cuts):
    """Takes out whoever is down, whoever else is unsure."""

    def going(self, now: float, view: View, rings: Rings) -> list[str]:
        self.waits = -inf
        return super().going(now, view, rings)


class Blind(Cuts):
    """Takes nobody's word that one who is to go was reached."""

    def reaches(self, now: float, names: Any) -> None:
        pass


class Late(Views):
    """Counts a stamp's age from when it arrived."""

    def _here(self, at: Instant, sender: str, address: Any, word: Here) -> list[Out]:
        before = self.stamp[:2]
        out = super()._here(at, sender, address, word)
        if self.stamp[:2] != before:
            self.born = at.now - word.age
        return out


def rash(at: Instant, fleet: Fleet) -> list[Piece]:
    agreed = Agreement(at, fleet)
    agreed.views.cuts = Rash()
    return agreed.deciders


def blind(at: Instant, fleet: Fleet) -> list[Piece]:
    agreed = Agreement(at, fleet)
    agreed.views.cuts = Blind()
    return agreed.deciders


def late(at: Instant, fleet: Fleet) -> list[Piece]:
    views = Late(at, fleet)
    return [views, views.register]


class InViews(NamedTuple):
    what: str
    makes: FleetMakes
    kind: days.Kind  # the days that are to find it


IN_VIEWS = (
    InViews("a cut with no wait between the low and the high mark", rash, "together"),
    InViews("a cut with no second look", blind, "half"),
    InViews("a stamp whose age is counted on arrival", late, "late"),
)
