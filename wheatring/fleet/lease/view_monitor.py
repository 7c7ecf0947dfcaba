"""Health checks between the members of a view, and the leader's stamp that comes with them. No I/O."""

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
MAX_INDIRECT_TARGETS = 720  # indirect checks that may be answered yet


class ViewMonitor:
    """Checks the health of this sidecar's subjects in the view, answers checks, and reports silence.

    Checks also carry the newest stamp of a leader, and show who stands in a newer view.
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
        self.last_heard_from: dict[str, float] = {}  # subjects that are heard and don't answer: when last

    def isolation(self, now: float) -> Isolation:
        """Return in which way this member of the view is cut off."""
        return self.edge_monitor.isolation(now) if self.installer.is_member else Isolation.NONE

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        return min(self.edge_monitor.due, self.indirect_checks.due)

    def note_stall(self, now: float) -> bool:
        """Forgive all the time that this process itself was stopped for; return whether it was."""
        # By what is always due, and not by what a leader has to do: who comes to lead was not held up.
        late = now - self.edge_monitor.due
        if late <= STALL_SECONDS or not self.installer.change_count:
            return False
        self.edge_monitor.note_stall(late)
        return True

    def tick(self, at: Instant) -> list[Outgoing]:
        """Send the checks, notices and reports that are due."""
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
        """Monitor the subjects of the view that is installed now; gossip probes only where there are none."""
        is_member = self.installer.is_member
        subjects = self.installer.rings.subjects(self.fleet.me.name) if is_member else []
        self.edge_monitor.set_subjects(now, subjects)
        self.fleet.members.prober.is_probing = not (is_member and self.edge_monitor.subjects)

    def _announce_misses(self, at: Instant) -> list[Outgoing]:
        """Tell the other observers of subjects that were missed, and suspect those missed for longer."""
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
            # No update about it has come by here: it is asked itself, or voters that started anew together
            # would know of nobody but each other.
            out.append((address, SyncRequest(0, (members.gossip.own_update(),))))
        if message.view > self.register.chosen.number:
            out.append((address, self.register.learner.newest_query()))
        return out

    def handle_health_response(
        self, at: Instant, sender: str, address: Address, message: HealthCheckResponse
    ) -> list[Outgoing]:
        """Handle the answer to a check of this sidecar's."""
        now = at.now
        self.fleet.members.gossip.apply_piggyback(now, message)
        if message.sequence in self.indirect_targets:
            return self._handle_indirect_response(now, sender, message.sequence)
        sent = self.edge_monitor.receive_response(now, sender, message.sequence)
        if sent is None:
            return []
        self.last_heard_from.pop(sender, None)
        self.fleet.members.gossip.note_answer(now, sender)
        self.stamps.learn(message, sent)
        if max(message.view, message.stamp.view) > self.register.chosen.number:
            return [(address, self.register.learner.newest_query())]
        return []

    def handle_indirect_request(self, now: float, address: Address, message: IndirectCheckRequest) -> None:
        """Check for a leader whether these members answer."""
        names = message.names[:MAX_NAMES_PER_MESSAGE]
        self.indirect_checks.start(now, address, message.sequence, names)

    # Indirect checks

    def _check_indirectly(self, name: str) -> list[Outgoing]:
        """Check a member that need not be a subject."""
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
            for leader, number in self.indirect_checks.note_reached(name)
        ]
