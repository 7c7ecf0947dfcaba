"""One member monitors its subjects in a view, and itself. No I/O; `now` is monotonic, in seconds.

What counts is an answer to a health check. Silence begins with the first check that isn't answered, so that a
stop shorter than what is allowed is over before any observer's patience is. A member that was stopped itself
gives all its subjects the time that it missed, and one whom nobody answers reports nobody.

After Rapid's monitoring edges (Suresh et al., 2018): a member's subjects are those it checks, its observers
those that check it.
"""

from __future__ import annotations

from enum import StrEnum
from math import inf
from random import Random
from typing import NamedTuple

CHECK_INTERVAL_SECONDS = 4.0  # from one check of a subject to the next, as long as it answers
RETRY_INTERVAL_SECONDS = 0.5  # until it is checked again where it doesn't,
FIRST_RETRY_SECONDS = 0.25  # and until that is done for the first time
CHECKS_BEFORE_NOTICE = 2  # the last of these shows that the first was missed: other observers are told
CHECKS_BEFORE_SUSPICION = 5  # the last of these makes it a suspect: of what is lost, few are
EARLY_CHECK_SECONDS = 0.5  # within which all others are checked then: failures seldom come alone
DOWN_AFTER_SECONDS = 5.5  # of silence: a stop of 5 s removes nobody
REPORT_AFTER_SECONDS = 2.5  # of silence, from which on the voters are told
MIN_MISSED_CHECKS = 6
REPORT_INTERVAL_SECONDS = 1.0  # from one report to the next while there is something to report
ISOLATED_AFTER_SECONDS = 3.0  # without an answer, or a message, from anybody
STALL_SECONDS = 1.0  # by which a tick is late that tells of a stop of this process
MAX_PENDING = 16  # checks of one subject that may be answered yet


class Isolation(StrEnum):
    """In which way a member is cut off from the others; the values stand in answers and in the log."""

    NONE = ""
    MUTE = "mute"  # it hears and isn't heard
    DEAF = "deaf"  # it hears nothing


class MonitoredSubject:
    """What is known of one subject."""

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
        self.due = due  # of the next check
        self.silent_since = inf  # the first check that was not answered
        self.missed_checks = 0  # since then
        self.is_notice_sent = False
        self.is_early = True  # the next check is not in its turn
        self.spreads_early = False  # that check tells it to check its own subjects early
        self.pending: dict[int, float] = {}  # checks that may be answered yet, and when they were sent


class DueCheck(NamedTuple):
    """A health check to send now."""

    name: str
    sequence: int
    spreads_early: bool  # the subject is to check its own subjects early, too


class EdgeMonitor:
    """Decides whom to check when, and who is silent.

    `miss_notices` are subjects whose other observers are to be told, `new_suspects` those to be suspected;
    the caller empties both.
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
        self.next_self_check = now  # when it may check once more whether it is itself that isn't heard
        self.checked_early_at = -inf  # when all were last checked early

    def set_subjects(self, now: float, names: list[str]) -> None:
        """Monitor these from now on. What is known of those monitored before is kept."""
        self.subjects = {
            name: self.subjects.get(name)
            or MonitoredSubject(now + EARLY_CHECK_SECONDS * self.random.random())
            for name in names
        }

    @property
    def due(self) -> float:
        """When there is a check or a report to send."""
        checks = min((subject.due for subject in self.subjects.values()), default=inf)
        return min(checks, self.next_report)

    def note_stall(self, stall_seconds: float) -> None:
        """Forgive the time for which this process was stopped."""
        self.last_answer += stall_seconds
        self.last_message += stall_seconds
        for subject in self.subjects.values():
            subject.silent_since += stall_seconds
            subject.due += stall_seconds
            subject.pending.clear()

    # Checks

    def due_checks(self, now: float) -> list[DueCheck]:
        """Return the checks to send now."""
        out = []
        for name, subject in self.subjects.items():
            if now < subject.due:
                continue
            self.sequence += 1
            out.append(DueCheck(name, self.sequence, subject.spreads_early))
            self._note_check_sent(now, name, subject)
        if self.miss_notices:
            self.check_all_early(now, True)
        return out

    def _note_check_sent(self, now: float, name: str, subject: MonitoredSubject) -> None:
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
        """Check a subject early, as another observer misses it."""
        if (subject := self.subjects.get(name)) is not None and not subject.missed_checks:
            subject.due = min(subject.due, now)
            subject.is_notice_sent = subject.is_early = True  # the others have been told
        self.check_all_early(now, True)

    def check_all_early(self, now: float, spreads: bool) -> None:
        """Check all subjects early: where one is missed, others may be.

        Those that died together are to be found at one time, for one cut, and not only by those who share a
        subject with it: with `spreads` those that are checked check early too, one step far.
        """
        if now < self.checked_early_at + CHECK_INTERVAL_SECONDS:
            return
        self.checked_early_at = now
        for subject in self.subjects.values():
            if not subject.missed_checks:
                subject.due = min(subject.due, now + EARLY_CHECK_SECONDS * self.random.random())
                subject.is_early, subject.spreads_early = True, spreads

    def receive_response(self, now: float, name: str, sequence: int) -> float | None:
        """Handle an answer; return when its check was sent, or None: it answers no check of this one's."""
        subject = self.subjects.get(name)
        if subject is None or sequence not in subject.pending:
            return None
        sent = subject.pending.pop(sequence)
        self.last_answer = now
        if any(name == reported for reported, _ in self.last_report):
            self.next_report = now  # what was reported is over, and is taken back before it counts for more
        subject.silent_since, subject.missed_checks, subject.is_notice_sent = inf, 0, False
        subject.pending = {number: at for number, at in subject.pending.items() if at > sent}
        # Those who check early check together. Their next turns are drawn apart again, else all of its
        # observers would leave a member unchecked for the same seconds.
        spread = self.random.random()
        factor = 0.1 + 0.9 * spread if subject.is_early else 0.75 + spread / 2
        subject.due = now + CHECK_INTERVAL_SECONDS * factor
        subject.is_early = subject.spreads_early = False
        return sent

    # Silence

    def silent_subjects(self, now: float) -> tuple[tuple[str, float], ...]:
        """Return the subjects that don't answer, and for how many seconds; nobody, where nobody answers."""
        if self.is_isolated(now):
            return ()
        return tuple(
            (name, now - subject.silent_since)
            for name, subject in self.subjects.items()
            if now - subject.silent_since >= REPORT_AFTER_SECONDS
            and subject.missed_checks >= MIN_MISSED_CHECKS - 1
        )

    def due_report(self, now: float) -> tuple[tuple[str, float], ...] | None:
        """Return what the voters are to be told now; None: nothing."""
        if now < self.next_report:
            return None
        self.next_report = now + REPORT_INTERVAL_SECONDS * (0.9 + 0.2 * self.random.random())
        previous, self.last_report = self.last_report, self.silent_subjects(now)
        return self.last_report if self.last_report or previous else None

    def is_isolated(self, now: float) -> bool:
        """Return whether it is rather this member that isn't reached.

        Nobody has answered it for a while, though more than one was asked.
        """
        if len(self.subjects) < 2 or now - self.last_answer < ISOLATED_AFTER_SECONDS:
            return False
        return all(subject.missed_checks for subject in self.subjects.values())

    def should_check_observers(self, now: float) -> bool:
        """Return whether it has to ask others than its subjects if it is heard.

        None of its subjects answers, and all of them may have failed.
        """
        is_early = now - self.last_answer < ISOLATED_AFTER_SECONDS / 2
        if now < self.next_self_check or is_early or len(self.subjects) < 2:
            return False
        if not all(subject.missed_checks >= CHECKS_BEFORE_NOTICE for subject in self.subjects.values()):
            return False
        self.next_self_check = now + ISOLATED_AFTER_SECONDS / 4
        return True

    def isolation(self, now: float) -> Isolation:
        """Return in which way this member is cut off."""
        if not self.is_isolated(now):
            return Isolation.NONE
        return Isolation.MUTE if now - self.last_message < ISOLATED_AFTER_SECONDS else Isolation.DEAF
