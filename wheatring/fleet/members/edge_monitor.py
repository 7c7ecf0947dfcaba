"""Health checks of one member's subjects in a view. No I/O; `now` is monotonic, in seconds.

Only answers to health checks count. Silence is measured from the first unanswered check, so a pause shorter
than `DOWN_AFTER_SECONDS` ends before any observer's time-out. A member that was itself paused extends the
deadlines of all its subjects by the pause. A member that gets no answers at all reports no subjects.

Based on Rapid's monitoring edges (Suresh et al., 2018): a member's subjects are the members that it checks,
its observers are the members that check it.
"""

from __future__ import annotations

from enum import StrEnum
from math import inf
from random import Random
from typing import NamedTuple

CHECK_INTERVAL_SECONDS = 4.0  # the mean time between two checks of a subject that answers
RETRY_INTERVAL_SECONDS = 0.5  # the time between two retries of a check
FIRST_RETRY_SECONDS = 0.25  # the time between the first unanswered check and its first retry
CHECKS_BEFORE_NOTICE = 2  # sending this check means that the first was missed: other observers are notified
# Sending this check makes the subject a suspect. Random datagram loss seldom affects as many.
CHECKS_BEFORE_SUSPICION = 5
EARLY_CHECK_SECONDS = 0.5  # early checks are spread over this time
DOWN_AFTER_SECONDS = 5.5  # silence; a pause of 5 s must not remove a member
REPORT_AFTER_SECONDS = 2.5  # silence after which the voters get a report
# A silent subject is reported only if its next check would be at least the sixth without an answer.
MIN_MISSED_CHECKS = 6
REPORT_INTERVAL_SECONDS = 1.0  # the mean time between two reports while there is something to report
ISOLATED_AFTER_SECONDS = 3.0  # time without any answer, or any message, from other members
STALL_SECONDS = 1.0  # a tick that is this late shows that the process was paused
MAX_PENDING = 16  # unanswered checks kept per subject


class Isolation(StrEnum):
    """How a member is cut off from the others. The values appear in status answers and in the log."""

    NONE = ""
    MUTE = "mute"  # it receives messages, but its own don't get through
    DEAF = "deaf"  # it receives nothing


class MonitoredSubject:
    """The monitoring state of one subject."""

    __slots__ = (
        "due",
        "is_early",
        "is_notice_sent",
        "missed_checks",
        "pending",
        "silent_since",
        "spreads_early",
    )

    def __init__(self, due: float) -> None:
        self.due = due  # time of the next check
        self.silent_since = inf  # time of the first unanswered check
        self.missed_checks = 0  # checks sent since the last answer
        self.is_notice_sent = False
        self.is_early = True  # whether the next check is off the regular schedule
        self.spreads_early = False  # whether that check asks the subject to check its own subjects early
        self.pending: dict[int, float] = {}  # send times of unanswered checks, by sequence number


class DueCheck(NamedTuple):
    """A health check to send now."""

    name: str
    sequence: int
    spreads_early: bool  # asks the subject to check its own subjects early, too


class EdgeMonitor:
    """Schedules the health checks of the subjects, and determines which of them are silent.

    `miss_notices` are subjects whose other observers have to be notified, `new_suspects` those to be
    suspected; the caller empties both.
    """

    def __init__(self, now: float, random: Random) -> None:
        self.random = random
        self.subjects: dict[str, MonitoredSubject] = {}
        self.sequence = 0
        self.last_answer = self.last_message = now
        self.next_report = now
        self.last_report: tuple[tuple[str, float], ...] = ()
        self.miss_notices: list[str] = []
        self.new_suspects: list[str] = []
        self.next_self_check = now  # earliest time of the next check for own isolation
        self.checked_early_at = -inf  # when all subjects were last checked early

    def set_subjects(self, now: float, names: list[str]) -> None:
        """Replace the monitored subjects; those that stay keep their state."""
        self.subjects = {
            name: self.subjects.get(name)
            or MonitoredSubject(now + EARLY_CHECK_SECONDS * self.random.random())
            for name in names
        }

    @property
    def due(self) -> float:
        """Time of the next check or report to send."""
        checks = min((subject.due for subject in self.subjects.values()), default=inf)
        return min(checks, self.next_report)

    def compensate_stall(self, stall_seconds: float) -> None:
        """Extend all deadlines by the time for which this process was paused."""
        self.last_answer += stall_seconds
        self.last_message += stall_seconds
        for subject in self.subjects.values():
            subject.silent_since += stall_seconds
            subject.due += stall_seconds
            subject.pending.clear()

    # Checks

    def due_checks(self, now: float) -> list[DueCheck]:
        """Return the checks to send now."""
        checks = []
        for name, subject in self.subjects.items():
            if now < subject.due:
                continue
            self.sequence += 1
            checks.append(DueCheck(name, self.sequence, subject.spreads_early))
            self._record_check_sent(now, name, subject)
        if self.miss_notices:
            self.check_all_early(now, True)
        return checks

    def _record_check_sent(self, now: float, name: str, subject: MonitoredSubject) -> None:
        subject.pending[self.sequence] = now
        if len(subject.pending) > MAX_PENDING:
            del subject.pending[min(subject.pending)]
        if subject.silent_since == inf:
            subject.silent_since = now
        subject.missed_checks += 1
        is_first = subject.missed_checks == 1
        subject.due = now + (FIRST_RETRY_SECONDS if is_first else RETRY_INTERVAL_SECONDS)
        if subject.missed_checks == CHECKS_BEFORE_NOTICE and not subject.is_notice_sent:
            subject.is_notice_sent = True
            self.miss_notices.append(name)
        if subject.missed_checks == CHECKS_BEFORE_SUSPICION:
            self.new_suspects.append(name)

    def check_early(self, now: float, name: str) -> None:
        """Check a subject early, as it does not answer another observer."""
        if (subject := self.subjects.get(name)) is not None and not subject.missed_checks:
            subject.due = min(subject.due, now)
            subject.is_notice_sent = subject.is_early = True  # the other observers know already
        self.check_all_early(now, True)

    def check_all_early(self, now: float, spreads: bool) -> None:
        """Check all subjects early, as failures are often correlated.

        Members that failed together have to be detected together, so that one cut removes them, also by
        observers that share no subject with this one. With `spreads` the checked members check their own
        subjects early too; those don't spread it further.
        """
        if now < self.checked_early_at + CHECK_INTERVAL_SECONDS:
            return
        self.checked_early_at = now
        for subject in self.subjects.values():
            if not subject.missed_checks:
                subject.due = min(subject.due, now + EARLY_CHECK_SECONDS * self.random.random())
                subject.is_early, subject.spreads_early = True, spreads

    def receive_response(self, now: float, name: str, sequence: int) -> float | None:
        """Handle an answer; return when its check was sent, or None if it matches no pending check."""
        subject = self.subjects.get(name)
        if subject is None or sequence not in subject.pending:
            return None
        sent = subject.pending.pop(sequence)
        self.last_answer = now
        if any(name == reported for reported, _ in self.last_report):
            self.next_report = now  # withdraw the previous report at once
        subject.silent_since, subject.missed_checks, subject.is_notice_sent = inf, 0, False
        subject.pending = {number: at for number, at in subject.pending.items() if at > sent}
        # Observers that check early check simultaneously. Their next checks are spread out again: otherwise
        # a member would stay unchecked by all its observers for the same seconds.
        jitter = self.random.random()
        factor = 0.1 + 0.9 * jitter if subject.is_early else 0.75 + jitter / 2
        subject.due = now + CHECK_INTERVAL_SECONDS * factor
        subject.is_early = subject.spreads_early = False
        return sent

    # Silence

    def silent_subjects(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return the silent subjects, each with its seconds of silence; none if this member is isolated."""
        if self.is_isolated(now):
            return ()
        return tuple(
            (name, now - subject.silent_since)
            for name, subject in self.subjects.items()
            if now - subject.silent_since >= REPORT_AFTER_SECONDS
            and subject.missed_checks >= MIN_MISSED_CHECKS - 1
        )

    def due_report(self, now: float) -> tuple[tuple[str, float], ...] | None:
        """Return the report to send to the voters now; None if there is nothing to send."""
        if now < self.next_report:
            return None
        self.next_report = now + REPORT_INTERVAL_SECONDS * (0.9 + 0.2 * self.random.random())
        previous, self.last_report = self.last_report, self.silent_subjects(now)
        return self.last_report if self.last_report or previous else None

    def is_isolated(self, now: float) -> bool:
        """Return whether this member is cut off itself, rather than its subjects having failed.

        It is if no subject has answered for `ISOLATED_AFTER_SECONDS`, though it has more than one.
        """
        if len(self.subjects) < 2 or now - self.last_answer < ISOLATED_AFTER_SECONDS:
            return False
        return all(subject.missed_checks for subject in self.subjects.values())

    def should_check_observers(self, now: float) -> bool:
        """Return whether this member has to check its observers, to find out whether it is isolated.

        It has to if none of its subjects answers, as all of them may have failed.
        """
        is_early = now - self.last_answer < ISOLATED_AFTER_SECONDS / 2
        if now < self.next_self_check or is_early or len(self.subjects) < 2:
            return False
        if not all(subject.missed_checks >= CHECKS_BEFORE_NOTICE for subject in self.subjects.values()):
            return False
        self.next_self_check = now + ISOLATED_AFTER_SECONDS / 4
        return True

    def isolation(self, now: float) -> Isolation:
        """Return how this member is cut off from the others."""
        if not self.is_isolated(now):
            return Isolation.NONE
        return Isolation.MUTE if now - self.last_message < ISOLATED_AFTER_SECONDS else Isolation.DEAF
