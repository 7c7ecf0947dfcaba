"""The leader of membership views: who is removed and who is admitted next. No I/O."""

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

LEADER_CHECK_SECONDS = 0.1  # from one check of the reports by a leader to the next
INDIRECT_CHECKERS = 8  # members that check once more who may be removed


class ViewLeader:
    """Decides the next view, where this sidecar holds the leader's role, from what observers reported.

    `plan_number` is the newest plan's, for the stamps. `admission_objection` returns why a member that asks
    to join isn't admitted now; "": it is.
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
        """When `tick` has something to do."""
        return self.next_check if self.register.epoch is not None else inf

    def tick(self, at: Instant) -> list[Outgoing]:
        """Decide from time to time, as long as this sidecar leads."""
        if at.now < self.due:
            return []
        self.next_check = at.now + LEADER_CHECK_SECONDS * (0.9 + 0.2 * self.fleet.random.random())
        return self.lead(at)

    # Events

    def handle_report(self, at: Instant, sender: str, message: UnresponsiveReport) -> list[Outgoing]:
        """Take note of a member's report, and decide at once if it says that the member leaves."""
        if sender not in self.installer.view.names:
            return []
        self.cut_detector.add_report(at.now, sender, message.silent)
        is_leaving = any(name == sender for name, _ in message.silent)
        return self.lead(at) if is_leaving else []

    def handle_join_request(
        self, now: float, sender: str, address: Address, message: JoinRequest
    ) -> list[Outgoing]:
        """Take note of a request for admission."""
        if message.member.member.name != sender:
            return []
        self.cut_detector.add_join_request(now, message.member)
        if self.installer.view.member(sender) == message.member:  # it is a member, and has not heard of it
            return [(address, self.register.learner.chosen_announcement())]
        return []

    def handle_installed(self, now: float, previous: View, change: ViewChange) -> list[Outgoing]:
        """Forget the evidence that a view settles, and announce it where a broadcast doesn't reach."""
        if previous.members != self.installer.view.members:
            self.cut_detector.note_removed(now, change.removed)
            self.cut_detector.note_admitted(change.added)
        return self._announce_to_unknown(previous, change) if self.register.epoch is not None else []

    def _announce_to_unknown(self, previous: View, change: ViewChange) -> list[Outgoing]:
        """Announce the view, as a leader, to those whom a broadcast doesn't reach.

        A broadcast goes to the members that this one holds to be alive. Those of the view that it doesn't
        were admitted just now, or were taken for dead a moment ago; those removed may still hear.
        """
        records = self.fleet.members.table.records
        unknown = [
            placed.member
            for placed in self.installer.view.members
            if placed.member.name != self.fleet.me.name
            and ((record := records.get(placed.member.name)) is None or record.state != ALIVE)
        ]
        removed = [placed.member for placed in previous.members if placed.member.name in change.removed]
        announcement = self.register.learner.chosen_announcement()
        return [((member.host, member.port), announcement) for member in unknown + removed]

    # Decisions

    def _leading_epoch(self, at: Instant) -> int | None:
        """Return the epoch to lead in; None: it doesn't lead, or a change is under way."""
        if not self.register.is_settled or self.installer.pending_change is not None:
            return None
        if self.register.chosen.number != self.installer.view.number:
            return None
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        return epoch if epoch == self.register.epoch else None

    def lead(self, at: Instant) -> list[Outgoing]:
        """Decide, if this sidecar leads: renew the stamp, and put the next view where there is reason."""
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
        objections = {placed: why for placed in admitted if (why := self.admission_objection(at, placed))}
        out += [self._defer(placed, JOIN_REQUEST_INTERVAL_SECONDS, why) for placed, why in objections.items()]
        admitted = [placed for placed in admitted if placed not in objections]
        if removed or admitted:
            out += self._put_change(at, admitted, removed)
        return out

    def _defer_penalized(self, deferral: Deferral) -> Outgoing:
        reason = f"it went out again and again (cost {deferral.penalty:.1f})"
        return self._defer(deferral.member, deferral.wait_seconds, reason)

    def _defer(self, placed: ViewMember, seconds: float, reason: str) -> Outgoing:
        address = (placed.member.host, placed.member.port)
        return address, JoinDeferred(self.installer.view.number, seconds, reason)

    def _request_indirect_checks(self, now: float) -> list[Outgoing]:
        """Have some members check those that may have to be removed once more."""
        new = self.cut_detector.members_to_check(now, self.installer.view, self.installer.rings)
        # Whoever leads is there: two that are deaf report all, it among them, and nobody may be left to
        # check.
        self.cut_detector.note_reached(now, [self.fleet.me.name])
        if not new:
            return []
        checkers = self._draw_checkers()
        own = (self.fleet.me.host, self.fleet.me.port)
        out: list[Outgoing] = []
        for chunk in chunks(new, MAX_NAMES_PER_MESSAGE):
            self.check_sequence += 1
            request = IndirectCheckRequest(self.installer.view.number, self.check_sequence, tuple(chunk))
            for name in checkers:
                out += self.sender.to_member(name, request)
            self.monitor.indirect_checks.start(now, own, self.check_sequence, tuple(chunk))
        return out

    def _draw_checkers(self) -> list[str]:
        others = self.installer.view.names - {self.fleet.me.name}
        checked = self.cut_detector.checked_since.keys()
        trusted, doubted = sorted(others - checked), sorted(others & checked)
        checkers = self.fleet.random.sample(trusted, min(INDIRECT_CHECKERS, len(trusted)))
        # Where so many are in doubt, some of these check too: one more that reaches nobody does no harm.
        missing = INDIRECT_CHECKERS - len(checkers)
        return checkers + self.fleet.random.sample(doubted, min(missing, len(doubted)))

    def _put_change(self, at: Instant, admitted: list[ViewMember], removed: list[str]) -> list[Outgoing]:
        after = self.installer.view.with_changes(0, 0, admitted, removed)
        before_digest, after_digest = digest(self.installer.view.payload), digest(after.payload)
        change = ViewChange(before_digest, after_digest, tuple(admitted), tuple(removed))
        # Whoever misses a change fetches the complete view, and the voters are to have it before the change
        # is chosen.
        self.fleet.payloads.put(after.payload)
        return self.register.put(at, encode_change(change))
