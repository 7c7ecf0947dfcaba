"""Health checks between the members of a view, and the leader's stamp that comes with them. No I/O."""

from __future__ import annotations

from math import inf

from wheatring.lease.component import Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.view_installer import ViewInstaller
from wheatring.members.edge_monitor import STALL_SECONDS
from wheatring.members.indirect_checks import IndirectChecks
from wheatring.members.messages import Address, SyncRequest
from wheatring.members.view_messages import (
    HealthCheck,
    HealthCheckResponse,
    IndirectCheckResult,
    LeaderStamp,
    MissedCheck,
    SilenceReport,
    ViewMessage,
)

STAMP_VALID_SECONDS = 10.0  # for which a leader's stamp counts
MAX_NAMES_PER_MESSAGE = 60
MAX_INDIRECT_TARGETS = 720  # indirect checks that may be answered yet


class ViewMonitor(ViewInstaller):
    """Checks the health of this sidecar's subjects in the view, answers checks, and reports silence.

    Checks also carry the newest stamp of a leader: a view counts only while a leader stands by it.
    """

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        super().__init__(at, fleet)
        self.stamp = LeaderStamp(0, 0)
        self.stamp_time = -inf  # the latest instant at which the stamp surely was not older than its age
        self.indirect_checks = IndirectChecks()
        self.indirect_targets: dict[int, str] = {}  # names of the members checked indirectly, by sequence
        self.last_heard_from: dict[str, float] = {}  # subjects that are heard and don't answer: when last

    def stamp_age_seconds(self, now: float) -> float:
        """Return the seconds since a leader surely stood by the newest stamp known here."""
        return now - self.stamp_time

    def is_current(self, now: float) -> bool:
        """Return whether it may still count on its view."""
        is_valid = self.stamp_age_seconds(now) < STAMP_VALID_SECONDS
        return self.is_member and is_valid and self.stamp.view <= self.view.number

    def isolation(self, now: float) -> str:
        """Return "mute", "deaf" or "" (neither); see `EdgeMonitor.isolation`."""
        return self.monitor.isolation(now) if self.is_member else ""

    def _note_stall(self, at: Instant) -> None:
        """Forgive all the time that this process itself was stopped for."""
        # By what is always due, and not by what a leader has to do: who comes to lead was not held up.
        if (late := at.now - self.monitor.due) > STALL_SECONDS and self.change_count:
            self.monitor.note_stall(late)
            self.cut_detector.clear_evidence()

    def _run_health_checks(self, at: Instant) -> list[Outgoing]:
        out: list[Outgoing] = []
        for check in self.monitor.due_checks(at.now):
            out += self._health_check(check.name, check.sequence, check.spreads_early)
        out += self._announce_misses(at)
        if self.monitor.should_check_observers(at.now):
            for name in self.rings.observers(self.fleet.me.name):
                out += self._check_indirectly(name)
        for name in self.indirect_checks.due_checks(at.now):
            out += self._check_indirectly(name)
        silent = self.monitor.due_report(at.now)
        if silent is not None:
            report = SilenceReport(self.view.number, silent[:MAX_NAMES_PER_MESSAGE])
            out += self._to_all_voters(report)
        return out

    def _announce_misses(self, at: Instant) -> list[Outgoing]:
        """Tell the other observers of subjects that were missed, and suspect those missed for longer."""
        out: list[Outgoing] = []
        notices, self.monitor.miss_notices = self.monitor.miss_notices, []
        for name in notices:
            for observer in self.rings.observers(name):
                out += self._to_member(observer, MissedCheck(self.view.number, name))
        suspects, self.monitor.new_suspects = self.monitor.new_suspects, []
        for name in suspects:
            self.fleet.members.suspect(at.now, name)
        return out

    def _health_check(self, name: str, sequence: int, check_early: bool = False) -> list[Outgoing]:
        record = self.fleet.members.table.records.get(name)
        piggyback = self.fleet.members.piggyback(record)
        return self._to_member(name, HealthCheck(sequence, *piggyback, self.view.number, check_early))

    def _to_member(self, name: str, message: ViewMessage) -> list[Outgoing]:
        if name == self.fleet.me.name:
            return []
        address = self.fleet.members.address(name)
        if address is None:
            placed = self.view.member(name)
            address = (placed.member.host, placed.member.port) if placed is not None else None
        return [(address, message)] if address is not None else []

    def _to_all_voters(self, message: ViewMessage) -> list[Outgoing]:
        return self.fleet.to_voters([(voter, message) for voter in self.fleet.voters.names])

    # Messages

    def _on_health_check(
        self, at: Instant, sender: str, address: Address, message: HealthCheck
    ) -> list[Outgoing]:
        now, members = at.now, self.fleet.members
        members.apply_piggyback(now, message)
        if message.check_early:
            self.monitor.check_all_early(now, False)
        if sender in self.monitor.subjects:
            self.last_heard_from[sender] = now
        piggyback = members.piggyback(members.table.records.get(sender))
        age = max(0.0, now - self.stamp_time)
        response = HealthCheckResponse(message.sequence, *piggyback, self.view.number, self.stamp, age)
        out: list[Outgoing] = [(address, response)]
        if members.table.records.get(sender) is None:
            # No update about it has come by here: it is asked itself, or voters that started anew together
            # would know of nobody but each other.
            out.append((address, SyncRequest(0, (members.own_update(),))))
        if message.view > self.register.chosen.number:
            out.append((address, self.register.learner.newest_query()))
        return out

    def _on_health_response(
        self, at: Instant, sender: str, address: Address, message: HealthCheckResponse
    ) -> list[Outgoing]:
        now = at.now
        self.fleet.members.apply_piggyback(now, message)
        if message.sequence in self.indirect_targets:
            return self._on_indirect_response(now, sender, message.sequence)
        sent = self.monitor.receive_response(now, sender, message.sequence)
        if sent is None:
            return []
        self.last_heard_from.pop(sender, None)
        self.fleet.members.note_answer(now, sender)
        self._learn_stamp(message, sent)
        if max(message.view, message.stamp.view) > self.register.chosen.number:
            return [(address, self.register.learner.newest_query())]
        return []

    def _learn_stamp(self, message: HealthCheckResponse, sent: float) -> None:
        """Take a newer stamp, or a fresher sighting of the same."""
        # Counted from when the check was sent: however long the answer was on its way, the stamp is no
        # younger.
        stamp_time = sent - max(0.0, message.age_seconds)
        is_newer = message.stamp.order > self.stamp.order
        is_same = message.stamp.order == self.stamp.order
        if is_newer or (is_same and stamp_time > self.stamp_time):
            self.stamp, self.stamp_time = message.stamp, stamp_time

    # Indirect checks

    def _check_indirectly(self, name: str) -> list[Outgoing]:
        """Check a member that need not be a subject."""
        self.monitor.sequence += 1
        self.indirect_targets[self.monitor.sequence] = name
        while len(self.indirect_targets) > MAX_INDIRECT_TARGETS:
            del self.indirect_targets[next(iter(self.indirect_targets))]
        return self._health_check(name, self.monitor.sequence)

    def _on_indirect_response(self, now: float, name: str, sequence: int) -> list[Outgoing]:
        if self.indirect_targets.pop(sequence) != name:
            return []
        self.monitor.last_answer = now
        return [
            (leader, IndirectCheckResult(self.view.number, number, (name,)))
            for leader, number in self.indirect_checks.note_reached(name)
        ]
