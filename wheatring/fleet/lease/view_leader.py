"""The leader of membership views: decides who is removed and who is admitted. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.join_requester import JOIN_REQUEST_INTERVAL_SECONDS
from wheatring.fleet.lease.leader_stamps import LeaderStamps
from wheatring.fleet.lease.payloads import digest
from wheatring.fleet.lease.register_leader import LEADER_ROLE
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.lease.view_installer import ViewInstaller
from wheatring.fleet.lease.view_monitor import MAX_NAMES_PER_MESSAGE, ViewMonitor
from wheatring.fleet.lease.view_sender import ViewSender
from wheatring.fleet.members.cut_detector import CutDetector, Deferral, chunks
from wheatring.fleet.members.messages import ALIVE, Address
from wheatring.fleet.members.view import View, ViewChange, encode_change
from wheatring.fleet.members.view_messages import (
    IndirectCheckRequest,
    JoinDeferred,
    JoinRequest,
    UnresponsiveReport,
    ViewMember,
)

LEADER_CHECK_SECONDS = 0.1  # the mean time between two evaluations of the reports by a leader
INDIRECT_CHECKERS = 8  # members that check a suspected member again before it is removed


class ViewLeader:
    """Decides the next view from the observers' reports, if this sidecar holds the leader's role.

    `plan_number` is the number of the newest plan, for the stamps. `admission_objection` returns the reason
    why a member that asks to join is not admitted now, or "" if it is.
    """

    def __init__(
        self,
        at: Instant,
        fleet: Fleet,
        installer: ViewInstaller,
        register: ReplicatedRegister,
        monitor: ViewMonitor,
        stamps: LeaderStamps,
        sender: ViewSender,
    ) -> None:
        self.fleet = fleet
        self.installer = installer
        self.register = register
        self.monitor = monitor
        self.stamps = stamps
        self.sender = sender
        self.cut_detector = CutDetector()
        self.plan_number = 0
        self.next_check = at.now
        self.admission_objection: Callable[[Instant, ViewMember], str] = lambda _at, _member: ""
        self.check_sequence = 0

    @property
    def due(self) -> float:
        """The time at which `tick` next has work to do."""
        return self.next_check if self.register.epoch is not None else inf

    def tick(self, at: Instant) -> list[Outgoing]:
        """Evaluate the reports periodically while this sidecar leads."""
        if at.now < self.due:
            return []
        self.next_check = at.now + LEADER_CHECK_SECONDS * (0.9 + 0.2 * self.fleet.random.random())
        return self.lead(at)

    # Events

    def handle_report(self, at: Instant, sender: str, message: UnresponsiveReport) -> list[Outgoing]:
        """Record a member's report, and evaluate immediately if the member reports that it leaves."""
        if sender not in self.installer.view.names:
            return []
        self.cut_detector.add_report(at.now, sender, message.silent)
        is_leaving = any(name == sender for name, _ in message.silent)
        return self.lead(at) if is_leaving else []

    def handle_join_request(
        self, now: float, sender: str, address: Address, message: JoinRequest
    ) -> list[Outgoing]:
        """Record a join request; a sender that is already a member is sent the view."""
        if message.member.member.name != sender:
            return []
        self.cut_detector.add_join_request(now, message.member)
        if self.installer.view.member(sender) == message.member:
            return [(address, self.register.learner.chosen_announcement())]
        return []

    def handle_installed(self, now: float, previous: View, change: ViewChange) -> list[Outgoing]:
        """Drop the evidence on removed and admitted members, and announce the view as a leader."""
        if previous.members != self.installer.view.members:
            self.cut_detector.penalize_removed(now, change.removed)
            self.cut_detector.discard_evidence_about(change.added)
        return self._announce_to_unknown(previous, change) if self.register.epoch is not None else []

    def _announce_to_unknown(self, previous: View, change: ViewChange) -> list[Outgoing]:
        """Announce the view, as a leader, to the members that a broadcast does not reach.

        A broadcast goes only to members that gossip considers alive. It misses members of the view that have
        just been admitted or were considered dead until now, and removed members that may still be running.
        """
        records = self.fleet.members.table.records
        unknown = [
            view_member.member
            for view_member in self.installer.view.members
            if view_member.member.name != self.fleet.me.name
            and ((record := records.get(view_member.member.name)) is None or record.state != ALIVE)
        ]
        removed = [
            view_member.member
            for view_member in previous.members
            if view_member.member.name in change.removed
        ]
        announcement = self.register.learner.chosen_announcement()
        return [((member.host, member.port), announcement) for member in unknown + removed]

    # Decisions

    def _leading_epoch(self, at: Instant) -> int | None:
        """Return the epoch to lead in, or None if this sidecar does not lead or a change is in progress."""
        if not self.register.is_stable or self.installer.pending_change is not None:
            return None
        if self.register.chosen.number != self.installer.view.number:
            return None
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        return epoch if epoch == self.register.epoch else None

    def lead(self, at: Instant) -> list[Outgoing]:
        """Renew the stamp and propose the next view if members are to be removed or admitted.

        Does nothing if this sidecar does not lead.
        """
        epoch = self._leading_epoch(at)
        if epoch is None:
            return []
        self.stamps.renew(at.now, epoch, self.installer.view.number, self.plan_number)
        if self.monitor.edge_monitor.is_isolated(at.now):
            return []
        out = self._request_indirect_checks(at.now)
        view, rings = self.installer.view, self.installer.rings
        removed = self.cut_detector.members_to_remove(at.now, view, rings)
        admitted, deferred = self.cut_detector.members_to_admit(at.now, view, rings)
        out += [self._defer_penalized(deferral) for deferral in deferred]
        objections = {joiner: why for joiner in admitted if (why := self.admission_objection(at, joiner))}
        out += [self._defer(joiner, JOIN_REQUEST_INTERVAL_SECONDS, why) for joiner, why in objections.items()]
        admitted = [joiner for joiner in admitted if joiner not in objections]
        if removed or admitted:
            out += self._put_change(at, admitted, removed)
        return out

    def _defer_penalized(self, deferral: Deferral) -> Outgoing:
        reason = f"it went out again and again (cost {deferral.penalty:.1f})"
        return self._defer(deferral.member, deferral.wait_seconds, reason)

    def _defer(self, joiner: ViewMember, seconds: float, reason: str) -> Outgoing:
        address = (joiner.member.host, joiner.member.port)
        return address, JoinDeferred(self.installer.view.number, seconds, reason)

    def _request_indirect_checks(self, now: float) -> list[Outgoing]:
        """Ask some members to check again those that may have to be removed."""
        suspects = self.cut_detector.members_to_check(now, self.installer.view, self.installer.rings)
        # The leader itself is certainly alive. Two members that receive nothing report all others, including
        # the leader, and then no member may be left to check it.
        self.cut_detector.record_reached(now, [self.fleet.me.name])
        if not suspects:
            return []
        checkers = self._sample_checkers()
        own = (self.fleet.me.host, self.fleet.me.port)
        out: list[Outgoing] = []
        for chunk in chunks(suspects, MAX_NAMES_PER_MESSAGE):
            self.check_sequence += 1
            request = IndirectCheckRequest(self.installer.view.number, self.check_sequence, tuple(chunk))
            for name in checkers:
                out += self.sender.to_member(name, request)
            self.monitor.indirect_checks.start(now, own, self.check_sequence, tuple(chunk))
        return out

    def _sample_checkers(self) -> list[str]:
        others = self.installer.view.names - {self.fleet.me.name}
        checked = self.cut_detector.checked_since.keys()
        trusted, suspected = sorted(others - checked), sorted(others & checked)
        checkers = self.fleet.random.sample(trusted, min(INDIRECT_CHECKERS, len(trusted)))
        # If there are too few trusted members, suspected ones check as well: a checker that reaches nobody
        # does no harm.
        missing = INDIRECT_CHECKERS - len(checkers)
        return checkers + self.fleet.random.sample(suspected, min(missing, len(suspected)))

    def _put_change(self, at: Instant, admitted: list[ViewMember], removed: list[str]) -> list[Outgoing]:
        after = self.installer.view.with_changes(0, 0, admitted, removed)
        before_digest, after_digest = digest(self.installer.view.payload), digest(after.payload)
        change = ViewChange(before_digest, after_digest, tuple(admitted), tuple(removed))
        # A member that misses a change fetches the complete view, so that has to be stored before the change
        # is chosen.
        self.fleet.payloads.put(after.payload)
        return self.register.put(at, encode_change(change))
