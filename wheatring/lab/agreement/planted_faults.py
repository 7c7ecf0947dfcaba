"""Faults planted in what agrees on views, each of which the orders or the days have to find."""

from __future__ import annotations

from math import inf
from typing import Any, NamedTuple

from wheatring.lab.agreement import view_days
from wheatring.lab.agreement.register_orders import MakeRegister
from wheatring.lab.agreement.view_fleet import MakePieces as FleetMakes
from wheatring.lease.component import FleetComponent, Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.membership_views import MembershipViews
from wheatring.lease.register_messages import NO_ENTRY, RegisterAccept, RegisterPrepare
from wheatring.lease.replicated_register import Phase, ReplicatedRegister
from wheatring.members.cut_detector import CutDetector
from wheatring.members.messages import HealthCheckResponse
from wheatring.members.view import Rings, View
from wheatring.peers.agreement import Agreement


class ForgetsPromise(ReplicatedRegister):
    """Takes an epoch that is lower than what it promised."""

    def _on_leader_request(
        self, at: Instant, address: Any, word: RegisterPrepare | RegisterAccept
    ) -> list[Outgoing]:
        self.promised_epoch = min(self.promised_epoch, word.epoch)
        if isinstance(word, RegisterAccept) and word.epoch < self.accepted.epoch:
            self.accepted = NO_ENTRY
        return super()._on_leader_request(at, address, word)


class SkipsFoundEntry(ReplicatedRegister):
    """Puts nothing again of what it found."""

    def _finish_preparing(self, at: Instant) -> list[Outgoing]:
        self.phase, self.next_retransmit = Phase.READY, inf
        return []


class AnswersAfterRestart(ReplicatedRegister):
    """Answers at once after a start."""

    def tick(self, at: Instant) -> list[Outgoing]:
        self.has_recovered = True
        return super().tick(at)

    def _on_leader_request(
        self, at: Instant, address: Any, word: RegisterPrepare | RegisterAccept
    ) -> list[Outgoing]:
        self.has_recovered = True
        return super()._on_leader_request(at, address, word)


class GoesBack(ReplicatedRegister):
    """Goes by whatever it is told last."""

    def learn(self, at: Instant, address: Any, entry: Any) -> list[Outgoing]:
        self.chosen = NO_ENTRY
        return super().learn(at, address, entry)


class RegisterFault(NamedTuple):
    description: str
    make_register: MakeRegister


REGISTER_FAULTS = (
    RegisterFault("a voter that takes an epoch lower than it promised", ForgetsPromise),
    RegisterFault("a leader that does not put again what it found", SkipsFoundEntry),
    RegisterFault("a voter that does not sleep after a start", AnswersAfterRestart),
    RegisterFault("a sidecar that goes back to an entry before", GoesBack),
)


# In views


class CutsWithoutWaiting(CutDetector):
    """Takes out whoever is down, whoever else is unsure."""

    def members_to_remove(self, now: float, view: View, rings: Rings) -> list[str]:
        self.waiting_since = -inf
        return super().members_to_remove(now, view, rings)


class IgnoresReachability(CutDetector):
    """Takes nobody's word that one who is to go was reached."""

    def note_reached(self, now: float, names: Any) -> None:
        pass


class AgesStampOnArrival(MembershipViews):
    """Counts a stamp's age from when it arrived."""

    def _on_health_response(
        self, at: Instant, sender: str, address: Any, word: HealthCheckResponse
    ) -> list[Outgoing]:
        before = self.stamp[:2]
        out = super()._on_health_response(at, sender, address, word)
        if self.stamp[:2] != before:
            self.stamp_time = at.now - word.age_seconds
        return out


def make_cuts_without_waiting(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    agreed = Agreement(at, fleet)
    agreed.views.cut_detector = CutsWithoutWaiting()
    return agreed.deciders


def make_ignores_reachability(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    agreed = Agreement(at, fleet)
    agreed.views.cut_detector = IgnoresReachability()
    return agreed.deciders


def make_ages_stamp_on_arrival(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    views = AgesStampOnArrival(at, fleet)
    return [views, views.register]


class ViewFault(NamedTuple):
    description: str
    make_pieces: FleetMakes
    kind: view_days.Kind  # the days that are to find it


VIEW_FAULTS = (
    ViewFault("a cut with no wait between the low and the high mark", make_cuts_without_waiting, "together"),
    ViewFault("a cut with no second look", make_ignores_reachability, "half"),
    ViewFault("a stamp whose age is counted on arrival", make_ages_stamp_on_arrival, "late"),
)
