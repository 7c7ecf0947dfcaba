"""The leader of membership views: who is removed and who is admitted next. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.lease.component import Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.payloads import digest
from wheatring.lease.register_leader import LEADER_ROLE
from wheatring.lease.view_monitor import MAX_NAMES_PER_MESSAGE, ViewMonitor
from wheatring.members.cut_detector import Deferral, chunks
from wheatring.members.view import ViewChange, encode_change
from wheatring.members.view_messages import IndirectCheckRequest, JoinDeferred, LeaderStamp, ViewMember

LEADER_CHECK_SECONDS = 0.1  # from one check of the reports by a leader to the next
STAMP_INTERVAL_SECONDS = 1.0  # from one stamp to the next
JOIN_REQUEST_INTERVAL_SECONDS = 1.0  # from one join request of a sidecar to the next
INDIRECT_CHECKERS = 8  # members that check once more who may be removed


class ViewLeader(ViewMonitor):
    """Decides the next view, where this sidecar holds the leader's role, from what observers reported.

    `plan_number` is the newest plan's, for the stamps. `admission_objection` returns why a member that asks
    to join isn't admitted now; "": it is.
    """

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        super().__init__(at, fleet)
        self.plan_number = 0
        self.next_stamp = self.next_leader_check = at.now
        self.admission_objection: Callable[[Instant, ViewMember], str] = lambda _at, _member: ""
        self.check_sequence = 0

    def _leading_epoch(self, at: Instant) -> int | None:
        """Return the epoch to lead in; None: it doesn't lead, or a change is under way."""
        if not self.register.is_settled or self.pending_change is not None:
            return None
        if self.register.chosen.number != self.view.number:
            return None
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        return epoch if epoch == self.register.epoch else None

    def _lead(self, at: Instant) -> list[Outgoing]:
        epoch = self._leading_epoch(at)
        if epoch is None:
            return []
        self._renew_stamp(at.now, epoch)
        if self.monitor.is_isolated(at.now):
            return []
        out = self._request_indirect_checks(at.now)
        removed = self.cut_detector.members_to_remove(at.now, self.view, self.rings)
        admitted, deferred = self.cut_detector.members_to_admit(at.now, self.view, self.rings)
        out += [self._defer_penalized(deferral) for deferral in deferred]
        objections = {placed: why for placed in admitted if (why := self.admission_objection(at, placed))}
        out += [self._defer(placed, JOIN_REQUEST_INTERVAL_SECONDS, why) for placed, why in objections.items()]
        admitted = [placed for placed in admitted if placed not in objections]
        if removed or admitted:
            out += self._put_change(at, admitted, removed)
        return out

    def _renew_stamp(self, now: float, epoch: int) -> None:
        if now >= self.next_stamp:
            self.next_stamp = now + STAMP_INTERVAL_SECONDS
            sequence = self.stamp.sequence + 1 if self.stamp.epoch == epoch else 1
            self.stamp = LeaderStamp(epoch, sequence, self.view.number, self.plan_number)
            self.stamp_time = now

    def _defer_penalized(self, deferral: Deferral) -> Outgoing:
        reason = f"it went out again and again (cost {deferral.penalty:.1f})"
        return self._defer(deferral.member, deferral.wait_seconds, reason)

    def _defer(self, placed: ViewMember, seconds: float, reason: str) -> Outgoing:
        address = (placed.member.host, placed.member.port)
        return address, JoinDeferred(self.view.number, seconds, reason)

    def _request_indirect_checks(self, now: float) -> list[Outgoing]:
        """Have some members check those that may have to be removed once more."""
        new = self.cut_detector.members_to_check(now, self.view, self.rings)
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
            request = IndirectCheckRequest(self.view.number, self.check_sequence, tuple(chunk))
            for name in checkers:
                out += self._to_member(name, request)
            self.indirect_checks.start(now, own, self.check_sequence, tuple(chunk))
        return out

    def _draw_checkers(self) -> list[str]:
        others = self.view.names - {self.fleet.me.name}
        checked = self.cut_detector.checked_since.keys()
        trusted, doubted = sorted(others - checked), sorted(others & checked)
        checkers = self.fleet.random.sample(trusted, min(INDIRECT_CHECKERS, len(trusted)))
        # Where so many are in doubt, some of these check too: one more that reaches nobody does no harm.
        missing = INDIRECT_CHECKERS - len(checkers)
        return checkers + self.fleet.random.sample(doubted, min(missing, len(doubted)))

    def _put_change(self, at: Instant, admitted: list[ViewMember], removed: list[str]) -> list[Outgoing]:
        after = self.view.with_changes(0, 0, admitted, removed)
        before_digest, after_digest = digest(self.view.payload), digest(after.payload)
        change = ViewChange(before_digest, after_digest, tuple(admitted), tuple(removed))
        # Whoever misses a change fetches the complete view, and the voters are to have it before the change
        # is chosen.
        self.fleet.payloads.put(after.payload)
        return self.register.put(at, encode_change(change))
