"""One sidecar's part in the agreed membership view: monitors others, installs views, leads the next.

Which view it stands in is moved only by the register `view` (an entry that is chosen, whose payload is here).
What it reports of who is silent is evidence; who is removed and admitted is decided by the leader alone, from
what the observers in the present view reported, and is in force once a majority of the voters accepted it.

What must never hold: two sidecars that stand in views of one number with other members; one that goes back to
a lower number; one that counts on a view (`is_current`) though no leader has stood by it for
`STAMP_VALID_SECONDS`.
"""

from __future__ import annotations

from math import inf
from typing import get_args

from wheatring.lease.component import Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.view_leader import JOIN_REQUEST_INTERVAL_SECONDS, LEADER_CHECK_SECONDS, ViewLeader
from wheatring.lease.view_monitor import MAX_NAMES_PER_MESSAGE
from wheatring.members.messages import Address
from wheatring.members.view_messages import (
    HealthCheck,
    HealthCheckResponse,
    IndirectCheckRequest,
    IndirectCheckResult,
    JoinDeferred,
    JoinRequest,
    MissedCheck,
    SilenceReport,
    ViewMessage,
)


class MembershipViews(ViewLeader):
    """The fleet's component for membership views, with its `register` as another component beside it."""

    message_types = get_args(ViewMessage)

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        super().__init__(at, fleet)
        self.next_join_request = at.now

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        leads = self.next_leader_check if self.register.epoch is not None else inf
        joins = inf if self.is_member else self.next_join_request
        return min(self.monitor.due, leads, joins, self.indirect_checks.due, self.next_fetch_retry)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Do what is due."""
        self._note_stall(at)
        out = self._run_health_checks(at) + self._request_join(at)
        if at.now >= self.next_fetch_retry:
            self._retry_fetch()
        if self.register.epoch is not None and at.now >= self.next_leader_check:
            self.next_leader_check = at.now + LEADER_CHECK_SECONDS * (0.9 + 0.2 * self.fleet.random.random())
            out += self._lead(at)
        return out

    def receive(self, at: Instant, sender: str, address: Address, message: ViewMessage) -> list[Outgoing]:
        """Handle a message on views."""
        now = at.now
        self.monitor.last_message = now
        match message:
            case HealthCheck():
                return self._on_health_check(at, sender, address, message)
            case HealthCheckResponse():
                return self._on_health_response(at, sender, address, message)
            case MissedCheck():
                self.monitor.check_early(now, message.name)
            case SilenceReport():
                return self._on_report(at, sender, message)
            case JoinRequest():
                return self._on_join_request(now, sender, address, message)
            case JoinDeferred():
                self.join_deferral = message
                earliest = now + min(message.retry_after_seconds, 10.0) + 0.05
                self.next_join_request = max(self.next_join_request, earliest)
            case IndirectCheckRequest():
                self.indirect_checks.start(
                    now, address, message.sequence, message.names[:MAX_NAMES_PER_MESSAGE]
                )
            case IndirectCheckResult():
                self.cut_detector.note_reached(now, message.names)
        return []

    def _on_report(self, at: Instant, sender: str, message: SilenceReport) -> list[Outgoing]:
        if sender not in self.view.names:
            return []
        self.cut_detector.add_report(at.now, sender, message.silent)
        is_leaving = any(name == sender for name, _ in message.silent)
        return self._lead(at) if is_leaving else []

    def _on_join_request(
        self, now: float, sender: str, address: Address, message: JoinRequest
    ) -> list[Outgoing]:
        if message.member.member.name != sender:
            return []
        self.cut_detector.add_join_request(now, message.member)
        if self.view.member(sender) == message.member:  # it is a member, and has not heard of it
            return [(address, self.register.learner.chosen_announcement())]
        return []

    # Joining and leaving

    def _request_join(self, at: Instant) -> list[Outgoing]:
        if self.is_member or at.now < self.next_join_request:
            return []
        interval = JOIN_REQUEST_INTERVAL_SECONDS * (0.9 + 0.2 * self.fleet.random.random())
        self.next_join_request = at.now + interval
        return self._to_all_voters(JoinRequest(self.view.number, self.self_member))

    def leave(self, at: Instant) -> list[Outgoing]:  # noqa: ARG002 - each event bears its instant
        """Ask to be removed at once."""
        return self._to_all_voters(SilenceReport(self.view.number, ((self.fleet.me.name, 0.0),)))
