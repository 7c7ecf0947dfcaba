"""A member's side of survey and trial: tells what it can, has the body, compiles it, answers.

States of a trial, by its digest and day; only `hear`, `body` and `tick` move it:

    FETCHING  the body is wanted                            -> WORKING once it is here whole
    WORKING   compiled; a few trials are answered each tick -> DONE
    DONE      told to whoever asks, as often as it asks     -> forgotten after `KEEP`, or for a newer one

What must never hold: a result is told of other bytes than were asked about, or of answers that are not all
there.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from math import inf

from wheatring.errors import OperatorError
from wheatring.lease.bodies import Fetch
from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.members.members import Address
from wheatring.plan.document import Plan
from wheatring.skew.messages import (
    AnswerRequest,
    AnswerResponse,
    Capabilities,
    CapabilityRequest,
    CapabilityResponse,
    TrialRequest,
    TrialResult,
)
from wheatring.skew.trials import AnswerChain, PlanEvaluator

CompilePlan = Callable[
    [bytes], tuple[Plan, PlanEvaluator]
]  # raises OperatorError or ValueError for what it can't read
KEEP = 60.0  # seconds for which a trial is kept after anybody asked about it
MOST = 2  # trials at once: those of a leader that was and of the one that is
FEW = 100  # requests answered in one go: about 2 ms
APART = 0.005  # seconds from one go to the next
TEXT = 400  # bytes of a text in a word
AGAIN = 1.0  # seconds until a body is asked for again


def short(text: str) -> str:
    """As much of it as surely goes into a word beside another."""
    return text.encode()[:TEXT].decode(errors="ignore")


class _Trial:
    def __init__(self, now: float, word: TrialRequest, address: Address) -> None:
        self.push = word.check_id
        self.digest = word.digest
        self.day = word.day
        self.address = address  # of whoever asked last
        self.asked = now
        self.fetched = -inf
        self.answers: AnswerChain | None = None
        self.error = ""
        self.done = False


class CheckParticipant:
    """`compiles` reads and compiles a body."""

    def __init__(self, fleet: Fleet, abilities: Capabilities, compiles: CompilePlan) -> None:
        self.fleet = fleet
        self.abilities = abilities
        self.compiles = compiles
        self.trials: OrderedDict[tuple[bytes, int], _Trial] = OrderedDict()
        self.next_work = inf

    @property
    def due(self) -> float:
        kept = min((trial.asked + KEEP for trial in self.trials.values()), default=inf)
        return min(self.next_work, kept)

    def tick(self, at: Instant) -> list[Out]:
        for key in [key for key, trial in self.trials.items() if at.now >= trial.asked + KEEP]:
            del self.trials[key]
        if at.now < self.next_work:
            return []
        out: list[Out] = []
        self.next_work = inf
        for trial in self.trials.values():
            if trial.answers is not None and not trial.done:
                if trial.answers.advance(FEW):
                    trial.done = True
                    out += self._tell(trial)
                else:
                    self.next_work = at.now + APART
                    break
        return out

    def hear(
        self, at: Instant, address: Address, word: CapabilityRequest | TrialRequest | AnswerRequest
    ) -> list[Out]:
        match word:
            case CapabilityRequest():
                return [(address, CapabilityResponse(word.check_id, self.fleet.start, self.abilities))]
            case TrialRequest():
                return self._try(at, address, word)
            case AnswerRequest():
                return self._show(at, address, word)

    def _try(self, at: Instant, address: Address, word: TrialRequest) -> list[Out]:
        trial = self.trials.get((word.digest, word.day))
        if trial is None:
            trial = self.trials[word.digest, word.day] = _Trial(at.now, word, address)
            while len(self.trials) > MOST:
                self.trials.popitem(last=False)
        self.trials.move_to_end((word.digest, word.day))
        trial.push, trial.address, trial.asked = word.check_id, address, at.now
        if trial.done:
            return self._tell(trial)
        return self._begin(at, trial)

    def _begin(self, at: Instant, trial: _Trial) -> list[Out]:
        """Compile it, or have its body first."""
        if trial.answers is not None:
            return []
        body = self.fleet.bodies.get(trial.digest)
        if body is None:
            if at.now >= trial.fetched + AGAIN:
                trial.fetched = at.now
                self.fleet.fetches.append(Fetch(trial.address, trial.digest))
            return []
        try:
            plan, ruled = self.compiles(body)
        except (OperatorError, ValueError) as bad:
            trial.error = short(" ".join(str(bad).split())) or type(bad).__name__
            trial.done = True
            return self._tell(trial)
        trial.answers = AnswerChain(plan, ruled, trial.day)
        self.next_work = at.now
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        if body is None:  # it is asked for again when the leader asks again
            return []
        waiting = [trial for trial in self.trials.values() if trial.digest == digest and not trial.done]
        return [said for trial in waiting for said in self._begin(at, trial)]

    def _tell(self, trial: _Trial) -> list[Out]:
        count, result = (trial.answers.count, trial.answers.result) if trial.answers else (0, b"")
        word = TrialResult(trial.push, self.fleet.start, result, count, trial.error)
        return [(trial.address, word)]

    def _show(self, at: Instant, address: Address, word: AnswerRequest) -> list[Out]:
        for trial in self.trials.values():
            answers = trial.answers
            if (
                trial.push == word.check_id
                and trial.done
                and answers
                and 0 < word.prefix_length <= answers.count
            ):
                trial.asked = at.now
                asked, answer = answers.show(word.prefix_length - 1)
                shown = (answers.prefix_digest(word.prefix_length), short(asked), short(answer))
                return [
                    (address, AnswerResponse(word.check_id, self.fleet.start, word.prefix_length, *shown))
                ]
        return []
