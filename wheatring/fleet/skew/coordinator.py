"""The leader's side of one compatibility check: finds missing capabilities and differing answers of members.

Only `step` and `view_changed` change the stage; the verdict holds for the view in `view`:

    SURVEYING     requests every member's capabilities  -> TESTING once all meet the plan's requirements
    TESTING       every member evaluates the trials     -> COMPATIBLE once all answers are equal
    COMPATIBLE    until the view has a new member       -> SURVEYING for the new members
    INCOMPATIBLE  a member did not answer, lacks a capability or answers differently; final

Answers are first compared by the digests of their sentences, which programs of all versions report. If these
differ, the digests of the facts decide, provided that every member reports one: a different wording of the
same answer is not a difference. A program that predates facts does not report them, and then the sentences
decide.

Invariants: the stage is COMPATIBLE only if every member of `view`, with the incarnation listed there, has
answered both requests; a member that does not answer is never taken for compatible; a rejection does not name
a member that has left. A member that answered under an earlier view of this check is not asked again.
"""

from __future__ import annotations

from math import inf

from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.members.view import View
from wheatring.fleet.members.view_messages import ViewMember
from wheatring.fleet.plan.compatibility import CheckStage, Reason, Verdict
from wheatring.fleet.skew.bisection import Bisection, PrefixAnswer
from wheatring.fleet.skew.capabilities import Capabilities, describe_version_differences
from wheatring.fleet.skew.errors import AnswersDifferError, CompileFailedError, MemberSilentError
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
from wheatring.fleet.skew.requirements import Requirements, refusal, unmet_requirements

ProcessKey = tuple[str, int]  # identifies a member's process: name and incarnation

STEP_SECONDS = 0.05  # interval of steps
RETRY_SECONDS = 0.5  # interval of requests to a member that has not answered
SURVEY_TIMEOUT_SECONDS = 8.0  # members that have not answered by then cause a rejection
TRIAL_TIMEOUT_SECONDS = 12.0
BISECTION_TIMEOUT_SECONDS = 5.0
GATHER_SECONDS = 2.0  # wait after the first failure, so that failures of other members are reported with it
REQUEST_SPACING_SECONDS = 0.002  # spacing of the requests to members: 1,000 answers arrive over 2 s
MAX_BYTES_PER_SECOND = 50e6  # limit on the rate at which the leader sends bodies
FACTS_TIMEOUT_SECONDS = 2.0  # wait for the digests of facts before the sentences decide
MAX_BISECTIONS = 8  # groups of differing answers for which the first difference is searched
REPORT_UNANSWERED_AFTER_SECONDS = 2.0  # a verdict lists members that have not answered for this long


class _MemberState:
    """The answers of one member in this check. Instants are monotonic seconds."""

    __slots__ = ("asked_at", "capabilities", "due", "facts", "facts_due", "reasons", "result")

    def __init__(self, due: float) -> None:
        self.due = self.asked_at = due  # times of the next request and of the first one in this stage
        self.capabilities: Capabilities | None = None
        self.result: TrialResult | None = None
        self.facts: bytes | None = None  # digest of its answers as facts
        self.facts_due = -inf  # time of the next request for the digest of facts
        self.reasons: list[Reason] = []


class _Comparison:
    """The search for the first answer in which a member differs from a member of the largest group."""

    def __init__(
        self, differing: ProcessKey, reference: ProcessKey, counts: tuple[int, int], by_facts: bool
    ) -> None:
        self.keys = (differing, reference)
        self.by_facts = by_facts
        self.bisection = Bisection(counts)
        self.due = -inf


class CheckCoordinator:
    """One check, from its first request to its verdict.

    Parameters
    ----------
    check_id
        Random for each check, so that delayed answers to earlier checks are ignored.
    day
        The first Unix day that the calendar trials cover.
    """

    def __init__(
        self, now: float, check_id: int, digest: bytes, requirements: Requirements, day: int, view: View
    ) -> None:
        self.check_id, self.digest, self.requirements, self.day = check_id, digest, requirements, day
        self.stage = CheckStage.SURVEYING
        self.view = view
        self.members: dict[ProcessKey, _MemberState] = {}
        self.view_members: dict[ProcessKey, ViewMember] = {}
        self.comparisons: list[_Comparison] | None = None
        self.comparison_deadline = inf
        self.facts_deadline = inf
        self.compares_facts = False
        self.failed_since = inf  # time of the first failed survey or compilation
        self.reasons: tuple[Reason, ...] = ()  # reasons of the final stage
        self.view_changed(now, view)

    def view_changed(self, now: float, view: View) -> None:
        """Add the members that are new in a view, and drop those that have left."""
        self.view = view
        self.view_members = {
            (view_member.member.name, view_member.incarnation): view_member for view_member in view.members
        }
        new = [key for key in self.view_members if key not in self.members]
        kept = {key: self.members[key] for key in self.view_members if key in self.members}
        added = {key: _MemberState(now + index * REQUEST_SPACING_SECONDS) for index, key in enumerate(new)}
        self.members = {**kept, **added}
        self.comparisons, self.compares_facts = None, False
        if self.stage is CheckStage.COMPATIBLE:
            self.stage = CheckStage.TESTING
        if new and self.stage is CheckStage.TESTING:
            self.stage = CheckStage.SURVEYING

    # Answers

    def handle(
        self, sender: str, message: CapabilityResponse | TrialResult | AnswerResponse | FactsResponse
    ) -> None:
        """Record an answer if it belongs to this check and comes from a process of the view."""
        key = (sender, message.incarnation)
        member = self.members.get(key)
        if message.check_id != self.check_id or member is None:
            return
        match message:
            case CapabilityResponse():
                if member.capabilities is None:
                    member.capabilities = message.capabilities
                    member.reasons = unmet_requirements(self.requirements, message.capabilities, sender)
            case TrialResult():
                if member.result is None and member.capabilities is not None:
                    member.result = message
                    failed = refusal(sender, CompileFailedError, message.error)
                    member.reasons = [failed] if message.error else []
            case FactsResponse() if not message.prefix_length:
                member.facts = message.result
            case AnswerResponse() | FactsResponse():
                self._handle_answer(key, message)

    def _handle_answer(self, key: ProcessKey, message: AnswerResponse | FactsResponse) -> None:
        by_facts = isinstance(message, FactsResponse)
        for comparison in self.comparisons or ():
            if key in comparison.keys and comparison.by_facts is by_facts:
                answer = PrefixAnswer(message.result, message.trial, message.answer)
                side = comparison.keys.index(key)
                comparison.bisection.record(side, message.prefix_length, answer)
                comparison.due = -inf

    # Time

    def step(self, now: float) -> list[Outgoing]:
        """Send requests to members that have not answered, and advance or end the stage."""
        if self.stage in (CheckStage.COMPATIBLE, CheckStage.INCOMPATIBLE):
            return []
        failures = [reason for member in self.members.values() for reason in member.reasons]
        self.failed_since = min(self.failed_since, now) if failures else inf
        pending = {key: member for key, member in self.members.items() if self._is_pending(member)}
        limit = self._timeout_seconds()
        timed_out = [key for key, member in pending.items() if now >= member.asked_at + limit]
        all_timed_out = len(timed_out) == len(pending)
        if failures and (not pending or all_timed_out or now >= self.failed_since + GATHER_SECONDS):
            return self._reject([*failures, *(self._unanswered(now, key) for key in timed_out)])
        if pending and all_timed_out:
            return self._reject([self._unanswered(now, key) for key in timed_out])
        if not pending and self.members:
            return self._end_stage(now)
        return [self._ask(now, key, member) for key, member in pending.items() if now >= member.due]

    def _is_pending(self, member: _MemberState) -> bool:
        """Whether a member has not answered in this stage."""
        if self.stage is CheckStage.SURVEYING:
            return member.capabilities is None
        return member.result is None

    def _timeout_seconds(self) -> float:
        return SURVEY_TIMEOUT_SECONDS if self.stage is CheckStage.SURVEYING else TRIAL_TIMEOUT_SECONDS

    def _ask(self, now: float, key: ProcessKey, member: _MemberState) -> Outgoing:
        member.due = now + RETRY_SECONDS
        size_bytes = self.requirements.bytes
        if self.stage is CheckStage.TESTING:
            return self._message_to(key, TrialRequest(self.check_id, self.digest, size_bytes, self.day))
        return self._message_to(key, CapabilityRequest(self.check_id, self.digest, size_bytes))

    def _message_to(
        self, key: ProcessKey, message: CapabilityRequest | TrialRequest | AnswerRequest | FactsRequest
    ) -> Outgoing:
        member = self.view_members[key].member
        return (member.host, member.port), message

    def _end_stage(self, now: float) -> list[Outgoing]:
        """Advance after all members have answered in this stage without a failure."""
        if self.stage is CheckStage.SURVEYING:
            self._start_testing(now)
            return []
        if self.comparisons is None:
            self._compare(now)
        has_all_facts = all(member.facts is not None for member in self.members.values())
        if self.comparisons and has_all_facts and not self.compares_facts:
            self.compares_facts = True
            self.comparisons = self._comparisons()
        if not self.comparisons:
            self.stage = CheckStage.COMPATIBLE
            return []
        is_done = all(comparison.bisection.is_done for comparison in self.comparisons)
        is_decisive = has_all_facts or now >= self.facts_deadline
        if now >= self.comparison_deadline or (is_done and is_decisive):
            return self._reject(self._differences(self.comparisons))
        return self._ask_for_facts(now) + self._ask_for_prefixes(now, self.comparisons)

    def _start_testing(self, now: float) -> None:
        """Start the trials, spacing the members so that the leader can send the bodies."""
        self.stage = CheckStage.TESTING
        spacing = max(REQUEST_SPACING_SECONDS, self.requirements.bytes / MAX_BYTES_PER_SECOND)
        untested = [member for member in self.members.values() if member.result is None]
        for index, member in enumerate(untested):
            member.due = member.asked_at = now + index * spacing

    # Comparison of answers

    def _groups(self) -> list[list[ProcessKey]]:
        """Return the members grouped by equal answers, largest group first, ties by name."""
        groups: dict[tuple[bytes | None, int], list[ProcessKey]] = {}
        for key, member in sorted(self.members.items()):
            assert member.result is not None
            digest = member.facts if self.compares_facts else member.result.result
            groups.setdefault((digest, member.result.count), []).append(key)
        return sorted(groups.values(), key=lambda group: (-len(group), group[0]))

    def _compare(self, now: float) -> None:
        """Start the comparison of the members' answers, by sentences first."""
        self.comparison_deadline = now + BISECTION_TIMEOUT_SECONDS
        self.facts_deadline = now + FACTS_TIMEOUT_SECONDS
        self.comparisons = self._comparisons()

    def _comparisons(self) -> list[_Comparison]:
        """Return comparisons of one member of each other group with one of the largest group."""
        reference, *differing = self._groups()
        reference_count = self._trial_count(reference[0])
        return [
            _Comparison(
                group[0], reference[0], (self._trial_count(group[0]), reference_count), self.compares_facts
            )
            for group in differing[:MAX_BISECTIONS]
        ]

    def _trial_count(self, key: ProcessKey) -> int:
        result = self.members[key].result
        return result.count if result is not None else 0

    def _ask_for_facts(self, now: float) -> list[Outgoing]:
        out: list[Outgoing] = []
        for key, member in self.members.items():
            if member.facts is None and now >= member.facts_due:
                member.facts_due = now + RETRY_SECONDS
                out.append(self._message_to(key, FactsRequest(self.check_id, 0)))
        return out

    def _ask_for_prefixes(self, now: float, comparisons: list[_Comparison]) -> list[Outgoing]:
        out: list[Outgoing] = []
        for comparison in comparisons:
            if now < comparison.due:
                continue
            comparison.due = now + RETRY_SECONDS
            for side, key in enumerate(comparison.keys):
                if (length := comparison.bisection.next_length(side)) is not None:
                    request = FactsRequest if comparison.by_facts else AnswerRequest
                    out.append(self._message_to(key, request(self.check_id, length)))
        return out

    def _differences(self, comparisons: list[_Comparison]) -> list[Reason]:
        """Return a reason for each member outside the largest group."""
        reference, *differing = self._groups()
        reasons: list[Reason] = []
        reference_capabilities = self.members[reference[0]].capabilities or Capabilities()
        for index, group in enumerate(differing):
            difference = "which trial is the first to differ was not found in time"
            if index < len(comparisons) and comparisons[index].bisection.is_done:
                difference = comparisons[index].bisection.describe_difference()
            what = f"it answers otherwise than {len(reference)} of {len(self.members)}: {difference}"
            for key in group:
                capabilities = self.members[key].capabilities or Capabilities()
                rules = self.requirements.rules
                versions = describe_version_differences(rules, capabilities, reference_capabilities)
                text = f"{what}; it has {versions}" if versions else what
                reasons.append(refusal(key[0], AnswersDifferError, text))
        return reasons

    # The result

    def _unanswered(self, now: float, key: ProcessKey) -> Reason:
        what = "the survey" if self.stage is CheckStage.SURVEYING else "the trial"
        seconds = now - self.members[key].asked_at
        return refusal(key[0], MemberSilentError, f"it has not answered {what} for {seconds:.1f} s")

    def _reject(self, reasons: list[Reason]) -> list[Outgoing]:
        self.stage, self.reasons = CheckStage.INCOMPATIBLE, tuple(sorted(reasons))
        return []

    def verdict(self, now: float, is_view_stable: bool) -> Verdict:
        """Return the result so far; it is not COMPATIBLE while a new view is being committed."""
        stage = self.stage
        if stage is CheckStage.COMPATIBLE and not is_view_stable:
            stage = CheckStage.TESTING
        answered = sum(not self._is_pending(member) for member in self.members.values())
        reasons = self.reasons
        if stage in (CheckStage.SURVEYING, CheckStage.TESTING):
            unanswered = [
                key
                for key, member in self.members.items()
                if self._is_pending(member) and now >= member.asked_at + REPORT_UNANSWERED_AFTER_SECONDS
            ]
            failures = [reason for member in self.members.values() for reason in member.reasons]
            reasons = (*failures, *(self._unanswered(now, key) for key in unanswered))
        return Verdict(stage, self.view.number, answered, len(self.members), reasons)
