"""One member watches its subjects in a view, and itself. No I/O; `now` in seconds of the monotonic clock.

What counts is an answer to a look. Silence begins with the first look that is not answered, so that a stop
shorter than what is allowed is over before anybody's patience is. One that was held up itself gives all its
subjects the time that it missed, and one whom nobody answers blames nobody.
"""

from __future__ import annotations

from math import inf
from random import Random

EACH = 4.0  # seconds from one look at a subject to the next, as long as it answers
AGAIN = 0.5  # seconds until it is looked at again where it does not
FIRST = 0.25  # and until that is done for the first time
MISSED = 2  # looks, the last of which tells that the first was not answered: its other observers are told
BLAMED = 5  # looks, the last of which makes it suspected in one's opinion: of what is lost, few are
HURRY = 0.5  # seconds within which all others are looked at then: trouble seldom comes alone
SILENT = 5.5  # seconds of silence after which one is down: a stop of 5 s takes nobody out
TELL = 2.5  # seconds of silence from which on the voters are told
LEAST = 6  # looks not answered, at least
REPORT = 1.0  # seconds from one report to the next while there is something to tell
ALONE = 3.0  # seconds without an answer, or a word, from anybody, after which one doubts itself
HELD = 1.0  # seconds by which a tick is late that tell of a stop


class Subject:
    __slots__ = ("due", "early", "kicked", "looks", "seq", "since", "spread")

    def __init__(self, due: float) -> None:
        self.due = due  # of the next look
        self.since = inf  # the first look that was not answered
        self.looks = 0  # not answered, since then
        self.kicked = False
        self.early = True  # the look that is due is not in its turn
        self.spread = False  # that look tells it to look at its own subjects early
        self.seq: dict[int, float] = {}  # looks that may be answered yet, and when they were sent


class Watch:
    def __init__(self, now: float, random: Random) -> None:
        self.random = random
        self.subjects: dict[str, Subject] = {}
        self.seq = 0
        self.answered = self.heard = now  # when anybody last answered it, and when any word came
        self.next_report = now
        self.told: tuple[tuple[str, float], ...] = ()
        self.kicks: list[str] = []  # subjects whose other observers are to be told, emptied by whoever tells
        self.blames: list[str] = []  # and those to be suspected, emptied there too
        self.next_self = now  # when it may look once more whether it is itself that is not heard
        self.hurried = -inf  # when all were last looked at early

    def watch(self, now: float, names: list[str]) -> None:
        """These from now on. Who was watched before keeps what is known of it."""
        self.subjects = {
            name: self.subjects.get(name) or Subject(now + HURRY * self.random.random()) for name in names
        }

    @property
    def due(self) -> float:
        looks = min((subject.due for subject in self.subjects.values()), default=inf)
        return min(looks, self.next_report)

    def held_up(self, late: float) -> None:
        """It was stopped for so long."""
        self.answered += late
        self.heard += late
        for subject in self.subjects.values():
            subject.since += late
            subject.due += late
            subject.seq.clear()

    def looks(self, now: float) -> list[tuple[str, int, bool]]:
        """Whom to look at now, by which number, and whether it is to hurry too."""
        out = []
        for name, subject in self.subjects.items():
            if now < subject.due:
                continue
            self.seq += 1
            out.append((name, self.seq, subject.spread))
            subject.seq[self.seq] = now
            if len(subject.seq) > 16:
                del subject.seq[min(subject.seq)]
            if subject.since == inf:
                subject.since = now
            subject.looks += 1
            subject.due = now + (FIRST if subject.looks == 1 else AGAIN)
            if subject.looks == MISSED and not subject.kicked:
                subject.kicked = True
                self.kicks.append(name)
            if subject.looks == BLAMED:
                self.blames.append(name)
        if self.kicks:
            self.hurry(now, True)
        return out

    def kick(self, now: float, name: str) -> None:
        """Somebody else misses that one."""
        if (subject := self.subjects.get(name)) is not None and not subject.looks:
            subject.due = min(subject.due, now)
            subject.kicked = subject.early = True  # the others have been told
        self.hurry(now, True)

    def hurry(self, now: float, spread: bool) -> None:
        """Where one is missed, others may be: who died together is to be found at one time, for one cut. Not
        only by those who share a subject with it: those that are looked at hurry too, one step far.
        """
        if now < self.hurried + EACH:
            return
        self.hurried = now
        for subject in self.subjects.values():
            if not subject.looks:
                subject.due = min(subject.due, now + HURRY * self.random.random())
                subject.early, subject.spread = True, spread

    def here(self, now: float, name: str, seq: int) -> float | None:
        """An answer: when its look was sent. None: it is none to a look of this one."""
        subject = self.subjects.get(name)
        if subject is None or seq not in subject.seq:
            return None
        sent = subject.seq.pop(seq)
        self.answered = now
        if any(name == one for one, _ in self.told):
            self.next_report = now  # what was told is over, and is taken back before it counts for more
        subject.since, subject.looks, subject.kicked = inf, 0, False
        subject.seq = {one: at for one, at in subject.seq.items() if at > sent}
        # Those who look early look together. Their next turns are drawn apart again, else all of its
        # observers would leave one alone for the same seconds.
        apart = self.random.random()
        subject.due = now + EACH * (0.1 + 0.9 * apart if subject.early else 0.75 + apart / 2)
        subject.early = subject.spread = False
        return sent

    # What it knows

    def silent(self, now: float) -> tuple[tuple[str, float], ...]:
        """Those that do not answer, and for how long; nobody, where nobody answers."""
        if self.alone(now):
            return ()
        return tuple(
            (name, now - subject.since)
            for name, subject in self.subjects.items()
            if now - subject.since >= TELL and subject.looks >= LEAST - 1
        )

    def alone(self, now: float) -> bool:
        """Whether it is rather itself that is not reached: nobody has answered it for a while, though more
        than one was asked.
        """
        if len(self.subjects) < 2 or now - self.answered < ALONE:
            return False
        return all(subject.looks for subject in self.subjects.values())

    def asks_others(self, now: float) -> bool:
        """Whether it has to ask others than its subjects if it is heard: none of these answers, and all of
        them may be gone.
        """
        if now < self.next_self or now - self.answered < ALONE / 2 or len(self.subjects) < 2:
            return False
        if not all(subject.looks >= MISSED for subject in self.subjects.values()):
            return False
        self.next_self = now + ALONE / 4
        return True

    def side(self, now: float) -> str:
        """ "mute": it hears and is not heard. "deaf": it hears nothing. "": neither."""
        if not self.alone(now):
            return ""
        return "mute" if now - self.heard < ALONE else "deaf"

    def report(self, now: float) -> tuple[tuple[str, float], ...] | None:
        """What the voters are to be told now; None: nothing."""
        if now < self.next_report:
            return None
        self.next_report = now + REPORT * (0.9 + 0.2 * self.random.random())
        was, self.told = self.told, self.silent(now)
        return self.told if self.told or was else None
