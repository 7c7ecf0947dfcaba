"""Faults planted in what agrees on views, each of which the orders or the days have to find."""

from __future__ import annotations

from math import inf
from typing import Any, NamedTuple

from wheatring.lab.agree import days
from wheatring.lab.agree.fleet import Makes as FleetMakes
from wheatring.lab.agree.orders import Makes
from wheatring.lease.component import FleetComponent, Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.membership_views import MembershipViews
from wheatring.lease.register_messages import NO_ENTRY, RegisterAccept, RegisterPrepare
from wheatring.lease.replicated_register import Phase, ReplicatedRegister
from wheatring.members.cut_detector import CutDetector
from wheatring.members.messages import HealthCheckResponse
from wheatring.members.view import Rings, View
from wheatring.peers.agreement import Agreement


class Fickle(ReplicatedRegister):
    """Takes an epoch that is lower than what it promised."""

    def _on_leader_request(
        self, at: Instant, address: Any, word: RegisterPrepare | RegisterAccept
    ) -> list[Outgoing]:
        self.promised_epoch = min(self.promised_epoch, word.epoch)
        if isinstance(word, RegisterAccept) and word.epoch < self.accepted.epoch:
            self.accepted = NO_ENTRY
        return super()._on_leader_request(at, address, word)


class Hasty(ReplicatedRegister):
    """Puts nothing again of what it found."""

    def _finish_preparing(self, at: Instant) -> list[Outgoing]:
        self.phase, self.next_retransmit = Phase.READY, inf
        return []


class Sleepless(ReplicatedRegister):
    """Answers at once after a start."""

    def tick(self, at: Instant) -> list[Outgoing]:
        self.has_recovered = True
        return super().tick(at)

    def _on_leader_request(
        self, at: Instant, address: Any, word: RegisterPrepare | RegisterAccept
    ) -> list[Outgoing]:
        self.has_recovered = True
        return super()._on_leader_request(at, address, word)


class Backward(ReplicatedRegister):
    """Goes by whatever it is told last."""

    def learn(self, at: Instant, address: Any, entry: Any) -> list[Outgoing]:
        self.chosen = NO_ENTRY
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


class Rash(CutDetector):
    """Takes out whoever is down, whoever else is unsure."""

    def members_to_remove(self, now: float, view: View, rings: Rings) -> list[str]:
        self.waiting_since = -inf
        return super().members_to_remove(now, view, rings)


class Blind(CutDetector):
    """Takes nobody's word that one who is to go was reached."""

    def note_reached(self, now: float, names: Any) -> None:
        pass


class Late(MembershipViews):
    """Counts a stamp's age from when it arrived."""

    def _on_health_response(
        self, at: Instant, sender: str, address: Any, word: HealthCheckResponse
    ) -> list[Outgoing]:
        before = self.stamp[:2]
        out = super()._on_health_response(at, sender, address, word)
        if self.stamp[:2] != before:
            self.stamp_time = at.now - word.age_seconds
        return out


def rash(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    agreed = Agreement(at, fleet)
    agreed.views.cut_detector = Rash()
    return agreed.deciders


def blind(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    agreed = Agreement(at, fleet)
    agreed.views.cut_detector = Blind()
    return agreed.deciders


def late(at: Instant, fleet: Fleet) -> list[FleetComponent]:
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
