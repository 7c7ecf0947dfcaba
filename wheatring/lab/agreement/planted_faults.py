"""Faults planted in the register and in views, each of which the drawn orders or days have to find."""

from __future__ import annotations

from math import inf
from typing import Any, NamedTuple

from wheatring.fleet.lease.component import FleetComponent, Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.register_leader import Phase
from wheatring.fleet.lease.register_messages import (
    NO_ENTRY,
    EntryChosen,
    RegisterAccept,
    RegisterMessage,
    RegisterPrepare,
)
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.members.cut_detector import CutDetector
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.view import Rings, View
from wheatring.fleet.members.view_messages import HealthCheckResponse, ViewMessage
from wheatring.fleet.peers.agreement import Agreement
from wheatring.lab.agreement import view_days
from wheatring.lab.agreement.register_orders import MakeRegister
from wheatring.lab.agreement.view_fleet import MakePieces as FleetMakes


class ForgetsPromise(ReplicatedRegister):
    """An acceptor that accepts a lower epoch than it has promised."""

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Forget a higher promise before a leader's request is handled."""
        if isinstance(message, RegisterPrepare | RegisterAccept):
            acceptor = self.acceptor
            acceptor.promised_epoch = min(acceptor.promised_epoch, message.epoch)
            if isinstance(message, RegisterAccept) and message.epoch < acceptor.accepted.epoch:
                acceptor.accepted = NO_ENTRY
        return super().receive(at, sender, address, message)


class SkipsFoundEntry(ReplicatedRegister):
    """A leader that does not put the entry again that it has found."""

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Be ready as soon as a majority has told what it has accepted."""
        was = self.leader.phase
        out = super().receive(at, sender, address, message)
        if was is Phase.PREPARING and self.leader.phase is Phase.ACCEPTING:
            self.leader.phase, self.leader.next_retransmit = Phase.READY, inf
            return []
        return out


class AnswersAfterRestart(ReplicatedRegister):
    """A voter that answers at once after a restart."""

    def tick(self, at: Instant) -> list[Outgoing]:
        """Skip the silence after a start."""
        self.acceptor.has_recovered = True
        return super().tick(at)

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Skip the silence after a start."""
        if isinstance(message, RegisterPrepare | RegisterAccept):
            self.acceptor.has_recovered = True
        return super().receive(at, sender, address, message)


class GoesBack(ReplicatedRegister):
    """A member that applies whatever entry it heard of last."""

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Forget what is committed before an entry is taken over."""
        if isinstance(message, EntryChosen):
            self.learner.chosen = NO_ENTRY
        return super().receive(at, sender, address, message)


class RegisterFault(NamedTuple):
    """A planted fault of the register."""

    description: str
    make_register: MakeRegister


REGISTER_FAULTS = (
    RegisterFault("a voter that takes an epoch lower than it promised", ForgetsPromise),
    RegisterFault("a leader that does not put again what it found", SkipsFoundEntry),
    RegisterFault("a voter that does not sleep after a start", AnswersAfterRestart),
    RegisterFault("a sidecar that goes back to an entry before", GoesBack),
)


# Faults of views


class CutsWithoutWaiting(CutDetector):
    """Removes a member that is down while others are still uncertain."""

    def members_to_remove(self, now: float, view: View, rings: Rings) -> list[str]:
        """Skip the wait for uncertain members."""
        self.waiting_since = -inf
        return super().members_to_remove(now, view, rings)


class IgnoresReachability(CutDetector):
    """Ignores reports that a member to be removed was reached."""

    def note_reached(self, now: float, names: Any) -> None:
        """Ignore the report."""
        pass


class AgesStampOnArrival(MembershipViews):
    """Counts a stamp's age from its arrival instead of from when it was made."""

    def receive(self, at: Instant, sender: str, address: Address, message: ViewMessage) -> list[Outgoing]:
        """Count a stamp that a message brought from now on."""
        before = self.stamp.order
        out = super().receive(at, sender, address, message)
        if isinstance(message, HealthCheckResponse) and self.stamp.order != before:
            self.stamps.stamp_time = at.now - message.age_seconds
        return out


def make_cuts_without_waiting(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    """Return the components of a member with `CutsWithoutWaiting`."""
    agreed = Agreement(at, fleet)
    agreed.views.leader.cut_detector = CutsWithoutWaiting()
    return agreed.components


def make_ignores_reachability(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    """Return the components of a member with `IgnoresReachability`."""
    agreed = Agreement(at, fleet)
    agreed.views.leader.cut_detector = IgnoresReachability()
    return agreed.components


def make_ages_stamp_on_arrival(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    """Return the components of a member with `AgesStampOnArrival`."""
    views = AgesStampOnArrival(at, fleet)
    return [views, views.register]


class ViewFault(NamedTuple):
    """A planted fault of views, and the kind of days that are to find it."""

    description: str
    make_pieces: FleetMakes
    kind: view_days.Kind  # the days that are to find it


VIEW_FAULTS = (
    ViewFault("a cut with no wait between the low and the high mark", make_cuts_without_waiting, "together"),
    ViewFault("a cut with no second look", make_ignores_reachability, "half"),
    ViewFault("a stamp whose age is counted on arrival", make_ages_stamp_on_arrival, "late"),
)
