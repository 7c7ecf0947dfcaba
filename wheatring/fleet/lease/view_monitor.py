"""Health checks between the members of a view, which also carry the leader's stamp. Performs no I/O."""

from __future__ import annotations

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.leader_stamps import LeaderStamps
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.lease.view_installer import ViewInstaller
from wheatring.fleet.lease.view_sender import ViewSender
from wheatring.fleet.members.edge_monitor import STALL_SECONDS, EdgeMonitor, Isolation
from wheatring.fleet.members.indirect_checks import IndirectChecks
from wheatring.fleet.members.messages import Address, SyncRequest
from wheatring.fleet.members.view_messages import (
    HealthCheck,
    HealthCheckResponse,
    IndirectCheckRequest,
    IndirectCheckResult,
    MissedCheck,
    UnresponsiveReport,
)

MAX_NAMES_PER_MESSAGE = 60
MAX_INDIRECT_TARGETS = 720  # the most indirect checks whose responses are awaited


class ViewMonitor:
    """Checks this sidecar's subjects in the view, answers checks, and reports unresponsive subjects.

    Checks and responses also carry the sender's view number, and responses the newest leader stamp.
    """

    def __init__(
        self,
        at: Instant,
        fleet: Fleet,
        installer: ViewInstaller,
        register: ReplicatedRegister,
        stamps: LeaderStamps,
        sender: ViewSender,
    ) -> None:
        self.fleet = fleet
        self.installer = installer
        self.register = register
        self.stamps = stamps
        self.sender = sender
        self.edge_monitor = EdgeMonitor(at.now, fleet.random)
        self.indirect_checks = IndirectChecks()
        self.indirect_targets: dict[int, str] = {}  # names of the members checked indirectly, by sequence
        # When each subject last checked this sidecar; its entry is deleted when it answers a check.
        self.last_heard_from: dict[str, float] = {}

    def isolation(self, now: float) -> Isolation:
        """Return how this member of the view is cut off from the others, if it is."""
        return self.edge_monitor.isolation(now) if self.installer.is_member else Isolation.NONE

    @property
    def due(self) -> float:
        """The time at which `tick` next has work to do."""
        return min(self.edge_monitor.due, self.indirect_checks.due)

    def compensate_stall(self, now: float) -> bool:
        """Extend the subjects' deadlines if this process was paused; return whether it was."""
        # Measured by the edge monitor, which always has a next due time. The leader's due time would make a
        # sidecar that has just become leader look stalled.
        delay = now - self.edge_monitor.due
        if delay <= STALL_SECONDS or not self.installer.change_count:
            return False
        self.edge_monitor.compensate_stall(delay)
        return True

    def tick(self, at: Instant) -> list[Outgoing]:
        """Send the health checks, missed-check notices and reports that are due."""
        out: list[Outgoing] = []
        for check in self.edge_monitor.due_checks(at.now):
            out += self._health_check(check.name, check.sequence, check.spreads_early)
        out += self._announce_misses(at)
        if self.edge_monitor.should_check_observers(at.now):
            for name in self.installer.rings.observers(self.fleet.me.name):
                out += self._check_indirectly(name)
        for name in self.indirect_checks.due_checks(at.now):
            out += self._check_indirectly(name)
        silent = self.edge_monitor.due_report(at.now)
        if silent is not None:
            report = UnresponsiveReport(self.installer.view.number, silent[:MAX_NAMES_PER_MESSAGE])
            out += self.sender.to_all_voters(report)
        return out

    def update_subjects(self, now: float) -> None:
        """Monitor the subjects of the installed view; gossip probes members only if there are none."""
        is_member = self.installer.is_member
        subjects = self.installer.rings.subjects(self.fleet.me.name) if is_member else []
        self.edge_monitor.set_subjects(now, subjects)
        self.fleet.members.prober.is_probing = not (is_member and self.edge_monitor.subjects)

    def _announce_misses(self, at: Instant) -> list[Outgoing]:
        """Notify the other observers of subjects that missed checks; suspect those that missed several."""
        out: list[Outgoing] = []
        notices, self.edge_monitor.miss_notices = self.edge_monitor.miss_notices, []
        for name in notices:
            for observer in self.installer.rings.observers(name):
                out += self.sender.to_member(observer, MissedCheck(self.installer.view.number, name))
        suspects, self.edge_monitor.new_suspects = self.edge_monitor.new_suspects, []
        for name in suspects:
            self.fleet.members.gossip.suspect(at.now, name)
        return out

    def _health_check(self, name: str, sequence: int, check_early: bool = False) -> list[Outgoing]:
        record = self.fleet.members.table.records.get(name)
        piggyback = self.fleet.members.gossip.piggyback(record)
        check = HealthCheck(sequence, *piggyback, self.installer.view.number, check_early)
        return self.sender.to_member(name, check)

    # Messages

    def handle_health_check(
        self, at: Instant, sender: str, address: Address, message: HealthCheck
    ) -> list[Outgoing]:
        """Answer an observer's check."""
        now, members = at.now, self.fleet.members
        members.gossip.apply_piggyback(now, message)
        if message.check_early:
            self.edge_monitor.check_all_early(now, False)
        if sender in self.edge_monitor.subjects:
            self.last_heard_from[sender] = now
        piggyback = members.gossip.piggyback(members.table.records.get(sender))
        age = max(0.0, self.stamps.age_seconds(now))
        number, stamp = self.installer.view.number, self.stamps.stamp
        response = HealthCheckResponse(message.sequence, *piggyback, number, stamp, age)
        out: list[Outgoing] = [(address, response)]
        if members.table.records.get(sender) is None:
            # Gossip has not brought an update about the sender, so it is asked directly. Otherwise voters
            # that restarted together would know only each other.
            out.append((address, SyncRequest(0, (members.gossip.own_update(),))))
        if message.view > self.register.chosen.number:
            out.append((address, self.register.learner.newest_query()))
        return out

    def handle_health_response(
        self, at: Instant, sender: str, address: Address, message: HealthCheckResponse
    ) -> list[Outgoing]:
        """Handle the response to a check of this sidecar."""
        now = at.now
        self.fleet.members.gossip.apply_piggyback(now, message)
        if message.sequence in self.indirect_targets:
            return self._handle_indirect_response(now, sender, message.sequence)
        sent = self.edge_monitor.receive_response(now, sender, message.sequence)
        if sent is None:
            return []
        self.last_heard_from.pop(sender, None)
        self.fleet.members.gossip.record_answer(now, sender)
        self.stamps.learn(message, sent)
        if max(message.view, message.stamp.view) > self.register.chosen.number:
            return [(address, self.register.learner.newest_query())]
        return []

    def handle_indirect_request(self, now: float, address: Address, message: IndirectCheckRequest) -> None:
        """Check on behalf of a leader whether these members answer."""
        names = message.names[:MAX_NAMES_PER_MESSAGE]
        self.indirect_checks.start(now, address, message.sequence, names)

    # Indirect checks

    def _check_indirectly(self, name: str) -> list[Outgoing]:
        """Send a health check to a member that need not be a subject."""
        self.edge_monitor.sequence += 1
        self.indirect_targets[self.edge_monitor.sequence] = name
        while len(self.indirect_targets) > MAX_INDIRECT_TARGETS:
            del self.indirect_targets[next(iter(self.indirect_targets))]
        return self._health_check(name, self.edge_monitor.sequence)

    def _handle_indirect_response(self, now: float, name: str, sequence: int) -> list[Outgoing]:
        if self.indirect_targets.pop(sequence) != name:
            return []
        self.edge_monitor.last_answer = now
        return [
            (leader, IndirectCheckResult(self.installer.view.number, number, (name,)))
            for leader, number in self.indirect_checks.record_reached(name)
        ]
