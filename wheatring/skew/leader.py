"""The leader's side of one push: which members are able, whose trials differ, and from what.

States, moved only by `step` and `moved`; the verdict belongs to the view that stands in `view`:

    SURVEYED  every member is asked what it can         -> TRIED once all are able
    TRIED     every member answers the trials           -> YES once all answers are alike
    YES       until the view has somebody new           -> SURVEYED for those who are new
    NO        somebody is silent, not able, or differs  -> stays so

What must never hold: YES while a member of `view` has not answered both, by the very process that stands in
the view; somebody silent taken for able or alike; a member that left counted in a refusal. Whoever was asked
under an earlier view of this push is not asked again.
"""

from __future__ import annotations

from math import inf

from wheatring.lease.fleet import Out
from wheatring.members.view import View
from wheatring.members.words import Placed
from wheatring.plan.judge import Reason, Stage, Verdict
from wheatring.skew.errors import Disagrees, NotCompiled, Silent
from wheatring.skew.hunt import Hunt, Side
from wheatring.skew.needs import Needs, differing, lacks, reason
from wheatring.skew.words import Abilities, Able, Show, Shown, Survey, Tried, Try

Key = tuple[str, int]  # a process: its name, its start

STEP = 0.05  # seconds from one look at what is due to the next
AGAIN = 0.5  # seconds until who has not answered is asked again
SURVEY, TRIAL, HUNT = 8.0, 12.0, 5.0  # seconds after which the silent are refused; a hunt is given up
GATHER = 2.0  # seconds for which others that may be refused too are waited for
EACH = 0.002  # seconds from one member that is asked to the next: 1,000 answers come over 2 s
RATE = 50e6  # bytes a second in which bodies are to leave the leader, at most
HUNTS = 8  # answers that differ from the rest and are looked into
LATE = 2.0  # seconds of silence that are told while the stage is still open


class _Of:
    """One member in this push."""

    __slots__ = ("able", "due", "since", "tried", "why")

    def __init__(self, due: float) -> None:
        self.due = self.since = due  # of the next word to it, and of the first in this stage
        self.able: Abilities | None = None
        self.tried: Tried | None = None
        self.why: list[Reason] = []


class _Pair:
    """A hunt between one that differs and one of the rest."""

    def __init__(self, odd: Key, rest: Key, counts: tuple[int, int]) -> None:
        self.keys = (odd, rest)
        self.hunt = Hunt(counts)
        self.due = -inf


class Push:
    """`push` is drawn anew for each, `needs` are the plan's, `day` is the Unix day its trials start from."""

    def __init__(self, now: float, push: int, digest: bytes, needs: Needs, day: int, view: View) -> None:
        self.push, self.digest, self.needs, self.day = push, digest, needs, day
        self.stage = Stage.SURVEYED
        self.view = view
        self.of: dict[Key, _Of] = {}
        self.placed: dict[Key, Placed] = {}
        self.pairs: list[_Pair] | None = None
        self.pairs_until = inf
        self.bad_since = inf  # when the first was found that is not able, or has not compiled it
        self.over: tuple[Reason, ...] = ()
        self.moved(now, view)

    def moved(self, now: float, view: View) -> None:
        """The view is another one: whoever is new is asked, whoever went is forgotten."""
        self.view = view
        self.placed = {(placed.who.name, placed.start): placed for placed in view.members}
        new = [key for key in self.placed if key not in self.of]
        kept = {key: self.of[key] for key in self.placed if key in self.of}
        self.of = {**kept, **{key: _Of(now + number * EACH) for number, key in enumerate(new)}}
        self.pairs = None
        if self.stage is Stage.YES:
            self.stage = Stage.TRIED
        if new and self.stage is Stage.TRIED:
            self.stage = Stage.SURVEYED

    # Answers

    def hear(self, sender: str, word: Able | Tried | Shown) -> None:
        key = (sender, word.start)
        one = self.of.get(key)
        if word.push != self.push or one is None:
            return
        match word:
            case Able():
                if one.able is None:
                    one.able = word.abilities
                    one.why = lacks(self.needs, word.abilities, sender)
            case Tried():
                if one.tried is None and one.able is not None:
                    one.tried = word
                    one.why = [reason(sender, NotCompiled, word.error)] if word.error else []
            case Shown():
                for pair in self.pairs or ():
                    if key in pair.keys:
                        side = Side(word.result, word.trial, word.answer)
                        pair.hunt.shown(pair.keys.index(key), word.upto, side)
                        pair.due = -inf

    # Time

    def step(self, now: float) -> list[Out]:
        """Ask whoever has not answered, and see whether the stage is over."""
        if self.stage in (Stage.YES, Stage.NO):
            return []
        bad = [why for one in self.of.values() for why in one.why]
        self.bad_since = min(self.bad_since, now) if bad else inf
        open_ = {key: one for key, one in self.of.items() if self._open(one)}
        late = [key for key, one in open_.items() if now >= one.since + self._limit()]
        if bad and (not open_ or len(late) == len(open_) or now >= self.bad_since + GATHER):
            return self._no([*bad, *(self._silent(now, key) for key in late)])
        if open_ and len(late) == len(open_):
            return self._no([self._silent(now, key) for key in late])
        if not open_ and self.of:
            return self._next(now)
        return [said for key, one in open_.items() if now >= one.due for said in self._ask(now, key, one)]

    def _open(self, one: _Of) -> bool:
        """Whether it has not answered in this stage."""
        return one.able is None if self.stage is Stage.SURVEYED else one.tried is None

    def _limit(self) -> float:
        return SURVEY if self.stage is Stage.SURVEYED else TRIAL

    def _ask(self, now: float, key: Key, one: _Of) -> list[Out]:
        one.due = now + AGAIN
        word: Survey | Try = Survey(self.push, self.digest, self.needs.bytes)
        if self.stage is Stage.TRIED:
            word = Try(self.push, self.digest, self.needs.bytes, self.day)
        return [self._to(key, word)]

    def _to(self, key: Key, word: Survey | Try | Show) -> Out:
        who = self.placed[key].who
        return (who.host, who.port), word

    def _next(self, now: float) -> list[Out]:
        """All have answered in this stage, and nothing is amiss."""
        if self.stage is Stage.SURVEYED:
            self.stage = Stage.TRIED
            untried = [one for one in self.of.values() if one.tried is None]
            for number, one in enumerate(untried):
                one.due = one.since = now + number * max(EACH, self.needs.bytes / RATE)
            return []
        if self.pairs is None:
            self._compare(now)
        if not self.pairs:
            self.stage = Stage.YES
            return []
        if now >= self.pairs_until or all(pair.hunt.done for pair in self.pairs):
            return self._no(self._differ(self.pairs))
        out: list[Out] = []
        for pair in self.pairs:
            if now >= pair.due:
                pair.due = now + AGAIN
                for side, key in enumerate(pair.keys):
                    if (upto := pair.hunt.asks(side)) is not None:
                        out.append(self._to(key, Show(self.push, upto)))
        return out

    # Who differs

    def _groups(self) -> list[list[Key]]:
        """Those with the same answers; the rest first: the most, of as many those with the first name."""
        groups: dict[tuple[bytes, int], list[Key]] = {}
        for key, one in sorted(self.of.items()):
            assert one.tried is not None
            groups.setdefault((one.tried.result, one.tried.count), []).append(key)
        return sorted(groups.values(), key=lambda group: (-len(group), group[0]))

    def _compare(self, now: float) -> None:
        rest, *odd = self._groups()
        self.pairs_until = now + HUNT
        self.pairs = [
            _Pair(group[0], rest[0], (self._count(group[0]), self._count(rest[0]))) for group in odd[:HUNTS]
        ]

    def _count(self, key: Key) -> int:
        tried = self.of[key].tried
        return tried.count if tried is not None else 0

    def _differ(self, pairs: list[_Pair]) -> list[Reason]:
        rest, *odd = self._groups()
        out: list[Reason] = []
        usual = self.of[rest[0]].able or Abilities()
        for number, group in enumerate(odd):
            first = "which trial is the first to differ was not found in time"
            if number < len(pairs) and pairs[number].hunt.done:
                first = pairs[number].hunt.first()
            for key in group:
                what = f"it answers otherwise than {len(rest)} of {len(self.of)}: {first}"
                versions = differing(self.needs.rules, self.of[key].able or Abilities(), usual)
                out.append(reason(key[0], Disagrees, f"{what}; it has {versions}" if versions else what))
        return out

    # What came of it

    def _silent(self, now: float, key: Key) -> Reason:
        what = "the survey" if self.stage is Stage.SURVEYED else "the trial"
        return reason(key[0], Silent, f"it has not answered {what} for {now - self.of[key].since:.1f} s")

    def _no(self, why: list[Reason]) -> list[Out]:
        self.stage, self.over = Stage.NO, tuple(sorted(why))
        return []

    def verdict(self, now: float, still: bool) -> Verdict:
        """`still`: no other view is about to be chosen; else nobody can say yes."""
        stage = self.stage if still or self.stage is not Stage.YES else Stage.TRIED
        asked = sum(not self._open(one) for one in self.of.values())
        why = self.over
        if stage in (Stage.SURVEYED, Stage.TRIED):
            late = [key for key, one in self.of.items() if self._open(one) and now >= one.since + LATE]
            why = (*(why for one in self.of.values() for why in one.why),
                   *(self._silent(now, key) for key in late))  # fmt: skip
        return Verdict(stage, self.view.number, asked, len(self.of), why)
