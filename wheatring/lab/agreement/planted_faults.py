"""Planted faults of the register and of views, each of which the random orders or days must detect."""

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
from wheatring.lab.agreement.view_fleet import MakeComponents as MakeViewComponents


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
    """A leader that does not propose again the entry that it has found."""

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Become ready as soon as a majority has answered the prepare request."""
        before = self.leader.phase
        out = super().receive(at, sender, address, message)
        if before is Phase.PREPARING and self.leader.phase is Phase.ACCEPTING:
            self.leader.phase, self.leader.next_retransmit = Phase.READY, inf
            return []
        return out


class AnswersAfterRestart(ReplicatedRegister):
    """A voter that does not abstain after a restart."""

    def tick(self, at: Instant) -> list[Outgoing]:
        """Skip the abstention after a start."""
        self.acceptor.has_recovered = True
        return super().tick(at)

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Skip the abstention after a start."""
        if isinstance(message, RegisterPrepare | RegisterAccept):
            self.acceptor.has_recovered = True
        return super().receive(at, sender, address, message)


class RevertsToOlderEntry(ReplicatedRegister):
    """A member that applies the entry it was last notified of, even an older one."""

    def receive(self, at: Instant, sender: str, address: Address, message: RegisterMessage) -> list[Outgoing]:
        """Forget the committed entry before another one is learned."""
        if isinstance(message, EntryChosen):
            self.learner.chosen = NO_ENTRY
        return super().receive(at, sender, address, message)


class RegisterFault(NamedTuple):
    """A planted fault of the register."""

    description: str
    make_register: MakeRegister


REGISTER_FAULTS = (
    RegisterFault("a voter that accepts a lower epoch than it promised", ForgetsPromise),
    RegisterFault("a leader that does not propose the entry it found again", SkipsFoundEntry),
    RegisterFault("a voter that does not abstain after a start", AnswersAfterRestart),
    RegisterFault("a member that reverts to an older entry", RevertsToOlderEntry),
)


# Faults of views


class CutsWithoutWaiting(CutDetector):
    """Removes a failed member while the state of others is still uncertain."""

    def members_to_remove(self, now: float, view: View, rings: Rings) -> list[str]:
        """Skip the wait for uncertain members."""
        self.waiting_since = -inf
        return super().members_to_remove(now, view, rings)


class IgnoresReachability(CutDetector):
    """Ignores reports that a member about to be removed was reached."""

    def record_reached(self, now: float, names: Any) -> None:
        """Ignore the report."""
        pass


class AgesStampOnArrival(MembershipViews):
    """Counts a stamp's age from its arrival instead of from when it was made."""

    def receive(self, at: Instant, sender: str, address: Address, message: ViewMessage) -> list[Outgoing]:
        """Count the age of a received stamp from now on."""
        before = self.stamp.order
        out = super().receive(at, sender, address, message)
        if isinstance(message, HealthCheckResponse) and self.stamp.order != before:
            self.stamps.stamp_time = at.now - message.age_seconds
        return out


def make_cuts_without_waiting(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    """Return the components of a member with `CutsWithoutWaiting`."""
    agreement = Agreement(at, fleet)
    agreement.views.leader.cut_detector = CutsWithoutWaiting()
    return agreement.components


def make_ignores_reachability(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    """Return the components of a member with `IgnoresReachability`."""
    agreement = Agreement(at, fleet)
    agreement.views.leader.cut_detector = IgnoresReachability()
    return agreement.components


def make_ages_stamp_on_arrival(at: Instant, fleet: Fleet) -> list[FleetComponent]:
    """Return the components of a member with `AgesStampOnArrival`."""
    views = AgesStampOnArrival(at, fleet)
    return [views, views.register]


class ViewFault(NamedTuple):
    """A planted fault of views, and the kind of days that must detect it."""

    description: str
    make_components: MakeViewComponents
    kind: view_days.Kind


VIEW_FAULTS = (
    ViewFault("a removal while the state of others is uncertain", make_cuts_without_waiting, "together"),
    ViewFault("a removal of a member that was reached", make_ignores_reachability, "half"),
    ViewFault("a stamp whose age counts from its arrival", make_ages_stamp_on_arrival, "late"),
)
