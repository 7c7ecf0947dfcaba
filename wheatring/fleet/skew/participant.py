"""A member's side of a compatibility check: reports capabilities, compiles the body, answers its trials.

States of a run of trials, by its digest and day; changed by messages, bodies and ticks alone:

    FETCHING   the body is wanted                            -> ANSWERING once it is here and compiled
    ANSWERING  a few trials are answered in each tick        -> DONE
    DONE       reported to whoever asks, as often as asked   -> dropped after a while, or for a newer run

What must never happen: a result is reported for other bytes than were asked about, or for answers that are
not complete.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from math import inf

from wheatring.common.errors import OperatorError
from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.payloads import FetchRequest
from wheatring.fleet.members.messages import Address
from wheatring.fleet.plan.document import Plan
from wheatring.fleet.skew.capabilities import Capabilities
from wheatring.fleet.skew.messages import (
    AnswerRequest,
    AnswerResponse,
    CapabilityRequest,
    CapabilityResponse,
    FactsRequest,
    FactsResponse,
    TrialRequest,
    TrialResult,
)
from wheatring.fleet.skew.trials import AnswerChain, PlanEvaluator

CompilePlan = Callable[[bytes], tuple[Plan, PlanEvaluator]]
"""Parses and compiles a body; raises OperatorError or ValueError for one that can't be read."""

KEEP_SECONDS = 60.0  # for which a run is kept after the last request about it
MAX_RUNS = 2  # of the present leader, and of the one before
REQUESTS_PER_TICK = 100  # trials answered at a time: about 2 ms
TICK_SECONDS = 0.005  # until the next ones
MAX_TEXT_BYTES = 400  # of a text in a message
REFETCH_SECONDS = 1.0  # until a body is asked for again


def truncate(text: str) -> str:
    """Return as much of a text as surely fits into a message beside another one."""
    return text.encode()[:MAX_TEXT_BYTES].decode(errors="ignore")


class _TrialRun:
    """The trials of one body from one day on. Instants are monotonic seconds."""

    def __init__(self, now: float, request: TrialRequest, address: Address) -> None:
        self.check_id = request.check_id
        self.digest = request.digest
        self.day = request.day
        self.address = address  # of whoever asked last
        self.asked_at = now
        self.fetched_at = -inf
        self.answers: AnswerChain | None = None  # once the body is compiled
        self.error = ""
        self.is_done = False


class CheckParticipant:
    """Answers the leader's messages for this process. `compile_plan` parses and compiles a body."""

    def __init__(self, fleet: Fleet, capabilities: Capabilities, compile_plan: CompilePlan) -> None:
        self.fleet = fleet
        self.capabilities = capabilities
        self.compile_plan = compile_plan
        self.runs: OrderedDict[tuple[bytes, int], _TrialRun] = OrderedDict()
        self.next_work = inf

    @property
    def due(self) -> float:
        """When the next tick has something to do, on the monotonic clock."""
        expiry = min((run.asked_at + KEEP_SECONDS for run in self.runs.values()), default=inf)
        return min(self.next_work, expiry)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Drop old runs, and answer a few trials of the first run that is not done."""
        for key in [key for key, run in self.runs.items() if at.now >= run.asked_at + KEEP_SECONDS]:
            del self.runs[key]
        if at.now < self.next_work:
            return []
        out: list[Outgoing] = []
        self.next_work = inf
        for run in self.runs.values():
            if run.answers is None or run.is_done:
                continue
            if not run.answers.advance(REQUESTS_PER_TICK):
                self.next_work = at.now + TICK_SECONDS
                break
            run.is_done = True
            out += self._report(run)
        return out

    def handle(
        self,
        at: Instant,
        address: Address,
        message: CapabilityRequest | TrialRequest | AnswerRequest | FactsRequest,
    ) -> list[Outgoing]:
        """Handle a message of a leader."""
        match message:
            case CapabilityRequest():
                return [
                    (address, CapabilityResponse(message.check_id, self.fleet.incarnation, self.capabilities))
                ]
            case TrialRequest():
                return self._handle_trial_request(at, address, message)
            case AnswerRequest() | FactsRequest():
                response = self._show(at, message)
                return [] if response is None else [(address, response)]

    def _handle_trial_request(self, at: Instant, address: Address, message: TrialRequest) -> list[Outgoing]:
        key = (message.digest, message.day)
        run = self.runs.get(key)
        if run is None:
            run = self.runs[key] = _TrialRun(at.now, message, address)
            while len(self.runs) > MAX_RUNS:
                self.runs.popitem(last=False)
        self.runs.move_to_end(key)
        run.check_id, run.address, run.asked_at = message.check_id, address, at.now
        if run.is_done:
            return self._report(run)
        return self._start(at, run)

    def _start(self, at: Instant, run: _TrialRun) -> list[Outgoing]:
        """Compile the body of a run, or fetch it first."""
        if run.answers is not None:
            return []
        body = self.fleet.payloads.get(run.digest)
        if body is None:
            if at.now >= run.fetched_at + REFETCH_SECONDS:
                run.fetched_at = at.now
                self.fleet.fetch_requests.append(FetchRequest(run.address, run.digest))
            return []
        try:
            plan, evaluator = self.compile_plan(body)
        except (OperatorError, ValueError) as error:
            run.error = truncate(" ".join(str(error).split())) or type(error).__name__
            run.is_done = True
            return self._report(run)
        run.answers = AnswerChain(plan, evaluator, run.day)
        self.next_work = at.now
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """Start the runs that have waited for a body; one that could not be had is asked for again later."""
        if body is None:
            return []
        waiting = [run for run in self.runs.values() if run.digest == digest and not run.is_done]
        return [message for run in waiting for message in self._start(at, run)]

    def _report(self, run: _TrialRun) -> list[Outgoing]:
        count, result = (run.answers.count, run.answers.result) if run.answers else (0, b"")
        return [(run.address, TrialResult(run.check_id, self.fleet.incarnation, result, count, run.error))]

    def _show(
        self, at: Instant, request: AnswerRequest | FactsRequest
    ) -> AnswerResponse | FactsResponse | None:
        """Return the digest of a prefix of the answers, and its last trial, where these are complete."""
        answers = self._complete_answers(at, request.check_id)
        length = request.prefix_length
        if answers is None or not 0 <= length <= answers.count:
            return None
        me, is_whole = self.fleet.incarnation, length == 0
        if isinstance(request, FactsRequest) and is_whole:
            return FactsResponse(request.check_id, me, 0, answers.facts_digest(answers.count))
        if is_whole:
            return None
        trial, answer = map(truncate, answers.show(length - 1))
        if isinstance(request, FactsRequest):
            return FactsResponse(request.check_id, me, length, answers.facts_digest(length), trial, answer)
        return AnswerResponse(request.check_id, me, length, answers.prefix_digest(length), trial, answer)

    def _complete_answers(self, at: Instant, check_id: int) -> AnswerChain | None:
        """Return the answers of a check once all are there; whoever asks for them keeps them."""
        for run in self.runs.values():
            if run.check_id == check_id and run.is_done and run.answers:
                run.asked_at = at.now
                return run.answers
        return None
