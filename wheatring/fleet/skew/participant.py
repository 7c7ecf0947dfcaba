"""A member's side of a compatibility check: reports capabilities, compiles the body, evaluates its trials.

A run of trials is identified by the body's digest and the day. Its states change on messages, bodies and
ticks:

    FETCHING   the body is being fetched                     -> ANSWERING once it is compiled
    ANSWERING  each tick evaluates a few trials              -> DONE
    DONE       the result is reported on each request        -> dropped on expiry or for newer runs

Invariant: a reported result is complete and belongs to the requested body.
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
"""Parses and compiles a body; raises OperatorError or ValueError if it is invalid."""

KEEP_SECONDS = 60.0  # a run expires this long after the last request for it
MAX_RUNS = 2  # one of the current leader and one of its predecessor
TRIALS_PER_TICK = 100  # about 2 ms of work
TICK_SECONDS = 0.005  # interval of ticks while a run is unfinished
MAX_TEXT_BYTES = 400  # limit on each text in a message, so that two fit into a datagram
REFETCH_SECONDS = 1.0  # interval of requests for a body


def truncate(text: str) -> str:
    """Return the text cut at a character boundary to at most `MAX_TEXT_BYTES` in UTF-8."""
    return text.encode()[:MAX_TEXT_BYTES].decode(errors="ignore")


class _TrialRun:
    """A run of the trials of one body, starting at one day. Instants are monotonic seconds."""

    def __init__(self, now: float, request: TrialRequest, address: Address) -> None:
        self.check_id = request.check_id
        self.digest = request.digest
        self.day = request.day
        self.address = address  # address of the leader that sent the last request
        self.last_request_at = now
        self.fetch_requested_at = -inf
        self.answers: AnswerChain | None = None  # None until the body is compiled
        self.error = ""
        self.is_done = False


class CheckParticipant:
    """Handles the leader's messages to this process; `compile_plan` parses and compiles a body."""

    def __init__(self, fleet: Fleet, capabilities: Capabilities, compile_plan: CompilePlan) -> None:
        self.fleet = fleet
        self.capabilities = capabilities
        self.compile_plan = compile_plan
        self.runs: OrderedDict[tuple[bytes, int], _TrialRun] = OrderedDict()
        self.next_work = inf

    @property
    def due(self) -> float:
        """When the next tick is due, on the monotonic clock."""
        expiry = min((run.last_request_at + KEEP_SECONDS for run in self.runs.values()), default=inf)
        return min(self.next_work, expiry)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Drop expired runs, and evaluate a few trials of the first unfinished run."""
        for key in [key for key, run in self.runs.items() if at.now >= run.last_request_at + KEEP_SECONDS]:
            del self.runs[key]
        if at.now < self.next_work:
            return []
        out: list[Outgoing] = []
        self.next_work = inf
        for run in self.runs.values():
            if run.answers is None or run.is_done:
                continue
            if not run.answers.advance(TRIALS_PER_TICK):
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
        """Handle a message from a leader."""
        match message:
            case CapabilityRequest():
                return [
                    (address, CapabilityResponse(message.check_id, self.fleet.incarnation, self.capabilities))
                ]
            case TrialRequest():
                return self._handle_trial_request(at, address, message)
            case AnswerRequest() | FactsRequest():
                response = self._prefix_response(at, message)
                return [] if response is None else [(address, response)]

    def _handle_trial_request(self, at: Instant, address: Address, message: TrialRequest) -> list[Outgoing]:
        key = (message.digest, message.day)
        run = self.runs.get(key)
        if run is None:
            run = self.runs[key] = _TrialRun(at.now, message, address)
            while len(self.runs) > MAX_RUNS:
                self.runs.popitem(last=False)
        self.runs.move_to_end(key)
        run.check_id, run.address, run.last_request_at = message.check_id, address, at.now
        if run.is_done:
            return self._report(run)
        return self._start(at, run)

    def _start(self, at: Instant, run: _TrialRun) -> list[Outgoing]:
        """Compile the body of a run, or request it if it is not available."""
        if run.answers is not None:
            return []
        body = self.fleet.payloads.get(run.digest)
        if body is None:
            if at.now >= run.fetch_requested_at + REFETCH_SECONDS:
                run.fetch_requested_at = at.now
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

    def handle_body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """Start the runs that wait for a body; a failed fetch (None) is retried by a later request."""
        if body is None:
            return []
        waiting = [run for run in self.runs.values() if run.digest == digest and not run.is_done]
        return [message for run in waiting for message in self._start(at, run)]

    def _report(self, run: _TrialRun) -> list[Outgoing]:
        count, result = (run.answers.count, run.answers.result) if run.answers else (0, b"")
        return [(run.address, TrialResult(run.check_id, self.fleet.incarnation, result, count, run.error))]

    def _prefix_response(
        self, at: Instant, request: AnswerRequest | FactsRequest
    ) -> AnswerResponse | FactsResponse | None:
        """Return the digest and the last trial of a prefix of the answers, or None if the run is not done."""
        answers = self._complete_answers(at, request.check_id)
        length = request.prefix_length
        if answers is None or not 0 <= length <= answers.count:
            return None
        incarnation, is_all = self.fleet.incarnation, length == 0
        if isinstance(request, FactsRequest) and is_all:
            return FactsResponse(request.check_id, incarnation, 0, answers.facts_digest(answers.count))
        if is_all:
            return None
        trial, answer = map(truncate, answers.describe_trial(length - 1))
        if isinstance(request, FactsRequest):
            return FactsResponse(
                request.check_id, incarnation, length, answers.facts_digest(length), trial, answer
            )
        return AnswerResponse(
            request.check_id, incarnation, length, answers.prefix_digest(length), trial, answer
        )

    def _complete_answers(self, at: Instant, check_id: int) -> AnswerChain | None:
        """Return the answers of a check if its run is done, and extend the time for which the run is kept."""
        for run in self.runs.values():
            if run.check_id == check_id and run.is_done and run.answers:
                run.last_request_at = at.now
                return run.answers
        return None
