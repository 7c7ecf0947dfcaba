"""One member watches its subjects in a view, and itself. No I/O; `now` in seconds of the monotonic clock.

What counts is an answer to a look. Silence begins with the first look that is not answered, so that a stop
shorter than what is allowed is over before anybody's patience is. One that was held up itself gives all its
subjects the time that it missed, and one whom nobody answers blames nobody.
"""

from __future__ import annotations

from math import inf
from random import Random

CHECK_INTERVAL_SECONDS = 4.0  # seconds from one look at a subject to the next, as long as it answers
RETRY_INTERVAL_SECONDS = 0.5  # seconds until it is looked at again where it does not
FIRST_RETRY_SECONDS = 0.25  # and until that is done for the first time
CHECKS_BEFORE_NOTICE = (
    2  # looks, the last of which tells that the first was not answered: its other observers are told
)
CHECKS_BEFORE_SUSPICION = (
    5  # looks, the last of which makes it suspected in one's opinion: of what is lost, few are
)
EARLY_CHECK_SECONDS = 0.5  # seconds within which all others are looked at then: trouble seldom comes alone
DOWN_AFTER_SECONDS = 5.5  # seconds of silence after which one is down: a stop of 5 s takes nobody out
REPORT_AFTER_SECONDS = 2.5  # seconds of silence from which on the voters are told
MIN_MISSED_CHECKS = 6  # looks not answered, at least
REPORT_INTERVAL_SECONDS = 1.0  # seconds from one report to the next while there is something to tell
ISOLATED_AFTER_SECONDS = (
    3.0  # seconds without an answer, or a word, from anybody, after which one doubts itself
)
STALL_SECONDS = 1.0  # seconds by which a tick is late that tell of a stop


class MonitoredSubject:
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
        self.due = due  # of the next look
        self.silent_since = inf  # the first look that was not answered
        self.missed_checks = 0  # not answered, since then
        self.is_notice_sent = False
        self.is_early = True  # the look that is due is not in its turn
        self.spreads_early = False  # that look tells it to look at its own subjects early
        self.pending: dict[int, float] = {}  # looks that may be answered yet, and when they were sent


class EdgeMonitor:
    def __init__(self, now: float, random: Random) -> None:
        self.random = random
        self.subjects: dict[str, MonitoredSubject] = {}
        self.sequence = 0
        self.last_answer = self.last_message = now  # when anybody last answered it, and when any word came
        self.next_report = now
        self.last_report: tuple[tuple[str, float], ...] = ()
        self.miss_notices: list[
            str
        ] = []  # subjects whose other observers are to be told, emptied by whoever tells
        self.new_suspects: list[str] = []  # and those to be suspected, emptied there too
        self.next_self_check = now  # when it may look once more whether it is itself that is not heard
        self.checked_early_at = -inf  # when all were last looked at early

    def set_subjects(self, now: float, names: list[str]) -> None:
        """These from now on. Who was watched before keeps what is known of it."""
        self.subjects = {
            name: self.subjects.get(name)
            or MonitoredSubject(now + EARLY_CHECK_SECONDS * self.random.random())
            for name in names
        }

    @property
    def due(self) -> float:
        looks = min((subject.due for subject in self.subjects.values()), default=inf)
        return min(looks, self.next_report)

    def note_stall(self, stall_seconds: float) -> None:
        """It was stopped for so long."""
        self.last_answer += stall_seconds
        self.last_message += stall_seconds
        for subject in self.subjects.values():
            subject.silent_since += stall_seconds
            subject.due += stall_seconds
            subject.pending.clear()

    def due_checks(self, now: float) -> list[tuple[str, int, bool]]:
        """Whom to look at now, by which number, and whether it is to hurry too."""
        out = []
        for name, subject in self.subjects.items():
            if now < subject.due:
                continue
            self.sequence += 1
            out.append((name, self.sequence, subject.spreads_early))
            subject.pending[self.sequence] = now
            if len(subject.pending) > 16:
                del subject.pending[min(subject.pending)]
            if subject.silent_since == inf:
                subject.silent_since = now
            subject.missed_checks += 1
            subject.due = now + (
                FIRST_RETRY_SECONDS if subject.missed_checks == 1 else RETRY_INTERVAL_SECONDS
            )
            if subject.missed_checks == CHECKS_BEFORE_NOTICE and not subject.is_notice_sent:
                subject.is_notice_sent = True
                self.miss_notices.append(name)
            if subject.missed_checks == CHECKS_BEFORE_SUSPICION:
                self.new_suspects.append(name)
        if self.miss_notices:
            self.check_all_early(now, True)
        return out

    def check_early(self, now: float, name: str) -> None:
        """Somebody else misses that one."""
        if (subject := self.subjects.get(name)) is not None and not subject.missed_checks:
            subject.due = min(subject.due, now)
            subject.is_notice_sent = subject.is_early = True  # the others have been told
        self.check_all_early(now, True)

    def check_all_early(self, now: float, spreads: bool) -> None:
        """Where one is missed, others may be: who died together is to be found at one time, for one cut. Not
        only by those who share a subject with it: those that are looked at hurry too, one step far.
        """
        if now < self.checked_early_at + CHECK_INTERVAL_SECONDS:
            return
        self.checked_early_at = now
        for subject in self.subjects.values():
            if not subject.missed_checks:
                subject.due = min(subject.due, now + EARLY_CHECK_SECONDS * self.random.random())
                subject.is_early, subject.spreads_early = True, spreads

    def receive_response(self, now: float, name: str, seq: int) -> float | None:
        """An answer: when its look was sent. None: it is none to a look of this one."""
        subject = self.subjects.get(name)
        if subject is None or seq not in subject.pending:
            return None
        sent = subject.pending.pop(seq)
        self.last_answer = now
        if any(name == one for one, _ in self.last_report):
            self.next_report = now  # what was told is over, and is taken back before it counts for more
        subject.silent_since, subject.missed_checks, subject.is_notice_sent = inf, 0, False
        subject.pending = {one: at for one, at in subject.pending.items() if at > sent}
        # Those who look early look together. Their next turns are drawn apart again, else all of its
        # observers would leave one alone for the same seconds.
        apart = self.random.random()
        subject.due = now + CHECK_INTERVAL_SECONDS * (
            0.1 + 0.9 * apart if subject.is_early else 0.75 + apart / 2
        )
        subject.is_early = subject.spreads_early = False
        return sent

    # What it knows

    def silent_subjects(self, now: float) -> tuple[tuple[str, float], ...]:
        """Those that do not answer, and for how long; nobody, where nobody answers."""
        if self.is_isolated(now):
            return ()
        return tuple(
            (name, now - subject.silent_since)
            for name, subject in self.subjects.items()
            if now - subject.silent_since >= REPORT_AFTER_SECONDS
            and subject.missed_checks >= MIN_MISSED_CHECKS - 1
        )

    def is_isolated(self, now: float) -> bool:
        """Whether it is rather itself that is not reached: nobody has answered it for a while, though more
        than one was asked.
        """
        if len(self.subjects) < 2 or now - self.last_answer < ISOLATED_AFTER_SECONDS:
            return False
        return all(subject.missed_checks for subject in self.subjects.values())

    def should_check_observers(self, now: float) -> bool:
        """Whether it has to ask others than its subjects if it is heard: none of these answers, and all of
        them may be gone.
        """
        if (
            now < self.next_self_check
            or now - self.last_answer < ISOLATED_AFTER_SECONDS / 2
            or len(self.subjects) < 2
        ):
            return False
        if not all(subject.missed_checks >= CHECKS_BEFORE_NOTICE for subject in self.subjects.values()):
            return False
        self.next_self_check = now + ISOLATED_AFTER_SECONDS / 4
        return True

    def isolation(self, now: float) -> str:
        """ "mute": it hears and is not heard. "deaf": it hears nothing. "": neither."""
        if not self.is_isolated(now):
            return ""
        return "mute" if now - self.last_message < ISOLATED_AFTER_SECONDS else "deaf"

    def due_report(self, now: float) -> tuple[tuple[str, float], ...] | None:
        """What the voters are to be told now; None: nothing."""
        if now < self.next_report:
            return None
        self.next_report = now + REPORT_INTERVAL_SECONDS * (0.9 + 0.2 * self.random.random())
        was, self.last_report = self.last_report, self.silent_subjects(now)
        return self.last_report if self.last_report or was else None
