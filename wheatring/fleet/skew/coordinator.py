"""The leader's side of one compatibility check: which members lack what, whose answers differ, and where.

Stages, changed by `step` and `view_changed` alone; the verdict belongs to the view in `view`:

    SURVEYING     every member is asked for its capabilities  -> TESTING once none lacks anything
    TESTING       every member answers the trials             -> COMPATIBLE once all answers are equal
    COMPATIBLE    until the view has a new member             -> SURVEYING for the new ones
    INCOMPATIBLE  a member is silent, lacks something or answers differently; final

Answers are compared by the digests of their sentences, which programs of all versions report. Where these
differ, the facts decide, if every member reports the digest of its own: other words for the same are no
difference. A program that knows no facts does not answer, and then the sentences decide.

What must never happen: COMPATIBLE while a member of `view` has not answered both, by the very process that is
in the view; a silent member counts as compatible; a member that has left is named in a refusal. A member that
was asked under an earlier view of this check is not asked again.
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

ProcessKey = tuple[str, int]  # a member's process: its name, and its incarnation

STEP_SECONDS = 0.05  # from one step to the next
RETRY_SECONDS = 0.5  # until a member that has not answered is asked again
SURVEY_TIMEOUT_SECONDS = 8.0  # after which silent members are refused
TRIAL_TIMEOUT_SECONDS = 12.0
BISECTION_TIMEOUT_SECONDS = 5.0
GATHER_SECONDS = 2.0  # for which other refusals are awaited after the first, to name them all at once
REQUEST_SPACING_SECONDS = 0.002  # from one member to the next: 1,000 answers come over 2 s
MAX_BYTES_PER_SECOND = 50e6  # of bodies that leave the leader
FACTS_TIMEOUT_SECONDS = 2.0  # for the digests of facts, before the sentences decide
MAX_BISECTIONS = 8  # groups of differing answers that are looked into
REPORT_UNANSWERED_AFTER_SECONDS = 2.0  # of silence that the verdict reports while the stage still goes on


class _MemberState:
    """What one member has answered in this check. Instants are monotonic seconds."""

    __slots__ = ("asked_at", "capabilities", "due", "facts", "facts_due", "reasons", "result")

    def __init__(self, due: float) -> None:
        self.due = self.asked_at = due  # of the next request, and of the first one in this stage
        self.capabilities: Capabilities | None = None
        self.result: TrialResult | None = None
        self.facts: bytes | None = None  # the digest of its answers as facts
        self.facts_due = -inf  # when it is asked for that next
        self.reasons: list[Reason] = []


class _Comparison:
    """The search for the first answer in which a member differs from the majority."""

    def __init__(
        self, differing: ProcessKey, usual: ProcessKey, counts: tuple[int, int], by_facts: bool
    ) -> None:
        self.keys = (differing, usual)
        self.by_facts = by_facts
        self.bisection = Bisection(counts)
        self.due = -inf


class CheckCoordinator:
    """One check, from its first request to its verdict.

    Parameters
    ----------
    check_id
        Drawn anew for each check, so that delayed answers to earlier ones don't count.
    day
        The Unix day from which on the trials look at the calendar.
    """

    def __init__(
        self, now: float, check_id: int, digest: bytes, requirements: Requirements, day: int, view: View
    ) -> None:
        self.check_id, self.digest, self.requirements, self.day = check_id, digest, requirements, day
        self.stage = CheckStage.SURVEYING
        self.view = view
        self.members: dict[ProcessKey, _MemberState] = {}
        self.placed: dict[ProcessKey, ViewMember] = {}
        self.comparisons: list[_Comparison] | None = None
        self.comparison_deadline = inf
        self.facts_deadline = inf
        self.compares_facts = False
        self.failed_since = inf  # when the first member was found that lacks something or fails to compile
        self.reasons: tuple[Reason, ...] = ()  # of the final stage
        self.view_changed(now, view)

    def view_changed(self, now: float, view: View) -> None:
        """Ask the members that are new in a view, and forget those that have left."""
        self.view = view
        self.placed = {(placed.member.name, placed.incarnation): placed for placed in view.members}
        new = [key for key in self.placed if key not in self.members]
        kept = {key: self.members[key] for key in self.placed if key in self.members}
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
        """Take over an answer, if it is to this check and from a process of the view."""
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
        """Ask the members that have not answered, and end the stage when it is over."""
        if self.stage in (CheckStage.COMPATIBLE, CheckStage.INCOMPATIBLE):
            return []
        failures = [reason for member in self.members.values() for reason in member.reasons]
        self.failed_since = min(self.failed_since, now) if failures else inf
        pending = {key: member for key, member in self.members.items() if self._is_pending(member)}
        limit = self._timeout_seconds()
        late = [key for key, member in pending.items() if now >= member.asked_at + limit]
        is_all_late = len(late) == len(pending)
        if failures and (not pending or is_all_late or now >= self.failed_since + GATHER_SECONDS):
            return self._refuse([*failures, *(self._silent(now, key) for key in late)])
        if pending and is_all_late:
            return self._refuse([self._silent(now, key) for key in late])
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
            return self._to(key, TrialRequest(self.check_id, self.digest, size_bytes, self.day))
        return self._to(key, CapabilityRequest(self.check_id, self.digest, size_bytes))

    def _to(
        self, key: ProcessKey, message: CapabilityRequest | TrialRequest | AnswerRequest | FactsRequest
    ) -> Outgoing:
        who = self.placed[key].member
        return (who.host, who.port), message

    def _end_stage(self, now: float) -> list[Outgoing]:
        """Go on once all members have answered in this stage and none was refused."""
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
            return self._refuse(self._differences(self.comparisons))
        return self._ask_for_facts(now) + self._ask_for_prefixes(now, self.comparisons)

    def _start_testing(self, now: float) -> None:
        """Start the trials, one member after another as fast as the leader can send the body."""
        self.stage = CheckStage.TESTING
        spacing = max(REQUEST_SPACING_SECONDS, self.requirements.bytes / MAX_BYTES_PER_SECOND)
        untested = [member for member in self.members.values() if member.result is None]
        for index, member in enumerate(untested):
            member.due = member.asked_at = now + index * spacing

    # Whose answers differ

    def _groups(self) -> list[list[ProcessKey]]:
        """Return the members by equal answers, the largest group first; of equal ones the first by name."""
        groups: dict[tuple[bytes | None, int], list[ProcessKey]] = {}
        for key, member in sorted(self.members.items()):
            assert member.result is not None
            digest = member.facts if self.compares_facts else member.result.result
            groups.setdefault((digest, member.result.count), []).append(key)
        return sorted(groups.values(), key=lambda group: (-len(group), group[0]))

    def _compare(self, now: float) -> None:
        """Start to compare the members' answers, by their sentences at first."""
        self.comparison_deadline = now + BISECTION_TIMEOUT_SECONDS
        self.facts_deadline = now + FACTS_TIMEOUT_SECONDS
        self.comparisons = self._comparisons()

    def _comparisons(self) -> list[_Comparison]:
        """Return comparisons of one member of each differing group with one of the largest."""
        usual, *differing = self._groups()
        usual_count = self._trial_count(usual[0])
        return [
            _Comparison(group[0], usual[0], (self._trial_count(group[0]), usual_count), self.compares_facts)
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
                out.append(self._to(key, FactsRequest(self.check_id, 0)))
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
                    out.append(self._to(key, request(self.check_id, length)))
        return out

    def _differences(self, comparisons: list[_Comparison]) -> list[Reason]:
        """Return a reason for each member whose answers differ from those of the largest group."""
        usual, *differing = self._groups()
        reasons: list[Reason] = []
        usual_capabilities = self.members[usual[0]].capabilities or Capabilities()
        for index, group in enumerate(differing):
            first = "which trial is the first to differ was not found in time"
            if index < len(comparisons) and comparisons[index].bisection.is_done:
                first = comparisons[index].bisection.describe_difference()
            what = f"it answers otherwise than {len(usual)} of {len(self.members)}: {first}"
            for key in group:
                capabilities = self.members[key].capabilities or Capabilities()
                rules = self.requirements.rules
                versions = describe_version_differences(rules, capabilities, usual_capabilities)
                text = f"{what}; it has {versions}" if versions else what
                reasons.append(refusal(key[0], AnswersDifferError, text))
        return reasons

    # The result

    def _silent(self, now: float, key: ProcessKey) -> Reason:
        what = "the survey" if self.stage is CheckStage.SURVEYING else "the trial"
        seconds = now - self.members[key].asked_at
        return refusal(key[0], MemberSilentError, f"it has not answered {what} for {seconds:.1f} s")

    def _refuse(self, reasons: list[Reason]) -> list[Outgoing]:
        self.stage, self.reasons = CheckStage.INCOMPATIBLE, tuple(sorted(reasons))
        return []

    def verdict(self, now: float, is_view_stable: bool) -> Verdict:
        """Return the result so far; while another view is about to be committed nobody is compatible."""
        stage = self.stage
        if stage is CheckStage.COMPATIBLE and not is_view_stable:
            stage = CheckStage.TESTING
        answered = sum(not self._is_pending(member) for member in self.members.values())
        reasons = self.reasons
        if stage in (CheckStage.SURVEYING, CheckStage.TESTING):
            late = [
                key
                for key, member in self.members.items()
                if self._is_pending(member) and now >= member.asked_at + REPORT_UNANSWERED_AFTER_SECONDS
            ]
            failures = [reason for member in self.members.values() for reason in member.reasons]
            reasons = (*failures, *(self._silent(now, key) for key in late))
        return Verdict(stage, self.view.number, answered, len(self.members), reasons)
