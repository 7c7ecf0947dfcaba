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
from wheatring.plan.compatibility import CheckStage, Reason, Verdict
from wheatring.skew.bisection import Bisection, PrefixAnswer
from wheatring.skew.errors import AnswersDifferError, CompileFailedError, MemberSilentError
from wheatring.skew.messages import (
    AnswerRequest,
    AnswerResponse,
    Capabilities,
    CapabilityRequest,
    CapabilityResponse,
    TrialRequest,
    TrialResult,
)
from wheatring.skew.requirements import (
    Requirements,
    describe_version_differences,
    refusal,
    unmet_requirements,
)

Key = tuple[str, int]  # a process: its name, its start

STEP_SECONDS = 0.05  # seconds from one look at what is due to the next
AGAIN = 0.5  # seconds until who has not answered is asked again
SURVEY, TRIAL, HUNT = 8.0, 12.0, 5.0  # seconds after which the silent are refused; a hunt is given up
GATHER = 2.0  # seconds for which others that may be refused too are waited for
EACH = 0.002  # seconds from one member that is asked to the next: 1,000 answers come over 2 s
RATE = 50e6  # bytes a second in which bodies are to leave the leader, at most
HUNTS = 8  # answers that differ from the rest and are looked into
LATE = 2.0  # seconds of silence that are told while the stage is still open


class _Of:
    """One member in this push."""

    __slots__ = ("asked_at", "capabilities", "due", "reasons", "result")

    def __init__(self, due: float) -> None:
        self.due = self.asked_at = due  # of the next word to it, and of the first in this stage
        self.capabilities: Capabilities | None = None
        self.result: TrialResult | None = None
        self.reasons: list[Reason] = []


class _Pair:
    """A hunt between one that differs and one of the rest."""

    def __init__(self, odd: Key, rest: Key, counts: tuple[int, int]) -> None:
        self.keys = (odd, rest)
        self.hunt = Bisection(counts)
        self.due = -inf


class CheckCoordinator:
    """`push` is drawn anew for each, `needs` are the plan's, `day` is the Unix day its trials start from."""

    def __init__(
        self, now: float, push: int, digest: bytes, needs: Requirements, day: int, view: View
    ) -> None:
        self.check_id, self.digest, self.requirements, self.day = push, digest, needs, day
        self.stage = CheckStage.SURVEYING
        self.view = view
        self.members: dict[Key, _Of] = {}
        self.placed: dict[Key, Placed] = {}
        self.comparisons: list[_Pair] | None = None
        self.pairs_until = inf
        self.bad_since = inf  # when the first was found that is not able, or has not compiled it
        self.over: tuple[Reason, ...] = ()
        self.view_changed(now, view)

    def view_changed(self, now: float, view: View) -> None:
        """The view is another one: whoever is new is asked, whoever went is forgotten."""
        self.view = view
        self.placed = {(placed.who.name, placed.start): placed for placed in view.members}
        new = [key for key in self.placed if key not in self.members]
        kept = {key: self.members[key] for key in self.placed if key in self.members}
        self.members = {**kept, **{key: _Of(now + number * EACH) for number, key in enumerate(new)}}
        self.comparisons = None
        if self.stage is CheckStage.COMPATIBLE:
            self.stage = CheckStage.TESTING
        if new and self.stage is CheckStage.TESTING:
            self.stage = CheckStage.SURVEYING

    # Answers

    def handle(self, sender: str, word: CapabilityResponse | TrialResult | AnswerResponse) -> None:
        key = (sender, word.start)
        one = self.members.get(key)
        if word.check_id != self.check_id or one is None:
            return
        match word:
            case CapabilityResponse():
                if one.capabilities is None:
                    one.capabilities = word.capabilities
                    one.reasons = unmet_requirements(self.requirements, word.capabilities, sender)
            case TrialResult():
                if one.result is None and one.capabilities is not None:
                    one.result = word
                    one.reasons = [refusal(sender, CompileFailedError, word.error)] if word.error else []
            case AnswerResponse():
                for pair in self.comparisons or ():
                    if key in pair.keys:
                        side = PrefixAnswer(word.result, word.trial, word.answer)
                        pair.hunt.record(pair.keys.index(key), word.prefix_length, side)
                        pair.due = -inf

    # Time

    def step(self, now: float) -> list[Out]:
        """Ask whoever has not answered, and see whether the stage is over."""
        if self.stage in (CheckStage.COMPATIBLE, CheckStage.INCOMPATIBLE):
            return []
        bad = [why for one in self.members.values() for why in one.reasons]
        self.bad_since = min(self.bad_since, now) if bad else inf
        open_ = {key: one for key, one in self.members.items() if self._is_pending(one)}
        late = [key for key, one in open_.items() if now >= one.asked_at + self._limit()]
        if bad and (not open_ or len(late) == len(open_) or now >= self.bad_since + GATHER):
            return self._no([*bad, *(self._silent(now, key) for key in late)])
        if open_ and len(late) == len(open_):
            return self._no([self._silent(now, key) for key in late])
        if not open_ and self.members:
            return self._next(now)
        return [said for key, one in open_.items() if now >= one.due for said in self._ask(now, key, one)]

    def _is_pending(self, one: _Of) -> bool:
        """Whether it has not answered in this stage."""
        return one.capabilities is None if self.stage is CheckStage.SURVEYING else one.result is None

    def _limit(self) -> float:
        return SURVEY if self.stage is CheckStage.SURVEYING else TRIAL

    def _ask(self, now: float, key: Key, one: _Of) -> list[Out]:
        one.due = now + AGAIN
        word: CapabilityRequest | TrialRequest = CapabilityRequest(
            self.check_id, self.digest, self.requirements.bytes
        )
        if self.stage is CheckStage.TESTING:
            word = TrialRequest(self.check_id, self.digest, self.requirements.bytes, self.day)
        return [self._to(key, word)]

    def _to(self, key: Key, word: CapabilityRequest | TrialRequest | AnswerRequest) -> Out:
        who = self.placed[key].who
        return (who.host, who.port), word

    def _next(self, now: float) -> list[Out]:
        """All have answered in this stage, and nothing is amiss."""
        if self.stage is CheckStage.SURVEYING:
            self.stage = CheckStage.TESTING
            untried = [one for one in self.members.values() if one.result is None]
            for number, one in enumerate(untried):
                one.due = one.asked_at = now + number * max(EACH, self.requirements.bytes / RATE)
            return []
        if self.comparisons is None:
            self._compare(now)
        if not self.comparisons:
            self.stage = CheckStage.COMPATIBLE
            return []
        if now >= self.pairs_until or all(pair.hunt.is_done for pair in self.comparisons):
            return self._no(self._differ(self.comparisons))
        out: list[Out] = []
        for pair in self.comparisons:
            if now >= pair.due:
                pair.due = now + AGAIN
                for side, key in enumerate(pair.keys):
                    if (upto := pair.hunt.next_length(side)) is not None:
                        out.append(self._to(key, AnswerRequest(self.check_id, upto)))
        return out

    # Who differs

    def _groups(self) -> list[list[Key]]:
        """Those with the same answers; the rest first: the most, of as many those with the first name."""
        groups: dict[tuple[bytes, int], list[Key]] = {}
        for key, one in sorted(self.members.items()):
            assert one.result is not None
            groups.setdefault((one.result.result, one.result.count), []).append(key)
        return sorted(groups.values(), key=lambda group: (-len(group), group[0]))

    def _compare(self, now: float) -> None:
        rest, *odd = self._groups()
        self.pairs_until = now + HUNT
        self.comparisons = [
            _Pair(group[0], rest[0], (self._count(group[0]), self._count(rest[0]))) for group in odd[:HUNTS]
        ]

    def _count(self, key: Key) -> int:
        tried = self.members[key].result
        return tried.count if tried is not None else 0

    def _differ(self, pairs: list[_Pair]) -> list[Reason]:
        rest, *odd = self._groups()
        out: list[Reason] = []
        usual = self.members[rest[0]].capabilities or Capabilities()
        for number, group in enumerate(odd):
            first = "which trial is the first to differ was not found in time"
            if number < len(pairs) and pairs[number].hunt.is_done:
                first = pairs[number].hunt.describe_difference()
            for key in group:
                what = f"it answers otherwise than {len(rest)} of {len(self.members)}: {first}"
                versions = describe_version_differences(
                    self.requirements.rules, self.members[key].capabilities or Capabilities(), usual
                )
                out.append(
                    refusal(key[0], AnswersDifferError, f"{what}; it has {versions}" if versions else what)
                )
        return out

    # What came of it

    def _silent(self, now: float, key: Key) -> Reason:
        what = "the survey" if self.stage is CheckStage.SURVEYING else "the trial"
        return refusal(
            key[0],
            MemberSilentError,
            f"it has not answered {what} for {now - self.members[key].asked_at:.1f} s",
        )

    def _no(self, why: list[Reason]) -> list[Out]:
        self.stage, self.over = CheckStage.INCOMPATIBLE, tuple(sorted(why))
        return []

    def verdict(self, now: float, still: bool) -> Verdict:
        """`still`: no other view is about to be chosen; else nobody can say yes."""
        stage = self.stage if still or self.stage is not CheckStage.COMPATIBLE else CheckStage.TESTING
        asked = sum(not self._is_pending(one) for one in self.members.values())
        why = self.over
        if stage in (CheckStage.SURVEYING, CheckStage.TESTING):
            late = [
                key
                for key, one in self.members.items()
                if self._is_pending(one) and now >= one.asked_at + LATE
            ]
            why = (*(why for one in self.members.values() for why in one.reasons),
                   *(self._silent(now, key) for key in late))  # fmt: skip
        return Verdict(stage, self.view.number, asked, len(self.members), why)
