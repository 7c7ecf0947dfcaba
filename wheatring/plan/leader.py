"""The push of one plan, at the sidecar that leads. Only in its term: with the term all of this is lost.

States of a push, moved by `Lead` alone, in its steps and by the register's word:

    OFFERED   the body is fetched from where it was offered; whole and readable      -> SURVEYED
    SURVEYED  every member of the view is asked what it can, and holds the body      -> TRIED
    TRIED     every member has tried it alike (both are the judge's to say)          -> PUTTING
    PUTTING   put to the voters: from here on it cannot be taken back                -> SETTLED
    REFUSED   from any state before PUTTING: by a reason, or as its time was over

If the view moves, TRIED may become SURVEYED again, for those who are new; the time for either goes on. What
must never hold:

- a plan put by a verdict on another view than the present one, or while the next view is being put;
- a plan put before every member of the view, as the very process that stands there, has told that it holds
  the body whole and can read it: who says nothing has not said yes;
- two pushes at one time; a push that goes on past the term it began in;
- a plan that is put over one that whoever offered it did not know of.

No I/O, clock or chance of its own but what is handed in.
"""

from __future__ import annotations

from collections import OrderedDict
from math import ceil

from wheatring.errors import OperatorError
from wheatring.lease.bodies import LARGEST, Fetch
from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.lease.register import LEAD, Register
from wheatring.lease.views import Views
from wheatring.lease.words import Entry
from wheatring.members.members import Address
from wheatring.members.words import Placed
from wheatring.plan.compatibility import CheckStage, CompatibilityCheck, Reason, Verdict
from wheatring.plan.errors import (
    PlanMembersLostError,
    PlanNotCheckedError,
    PlanNotCommittedError,
    PlanNotFetchedError,
    PlanNotStoredError,
    PlanNoViewError,
    PlanOvertakenError,
    PlanRolloutInProgressError,
    PlanTooLargeError,
    PlanViewUnstableError,
)
from wheatring.plan.messages import (
    OFFERED,
    PUTTING,
    REFUSED,
    SETTLED,
    SURVEYED,
    TRIED,
    PlanStored,
    ProposePlan,
    RolloutStatus,
    StorePlan,
    pack_reasons,
)
from wheatring.plan.parser import compile_routes, parse_plan
from wheatring.plan.rollout import Rollout, process_key, reason_from

STATE_TIMEOUT_SECONDS = {OFFERED: 10.0, SURVEYED: 10.0, TRIED: 20.0, PUTTING: 10.0}  # seconds in each state
DISTRIBUTION_STEPS = 10  # steps in which all members of a large fleet are first asked to fetch the body
RETRY_SECONDS = 1.0  # seconds until one that has not told that it holds it is asked again
MEMBERS_PER_ALLOWED_LOSS = 5  # one of so many of the view's members may go while a push is under way, or one
MAX_VIEW_CHANGES = 3  # views after which it was their moving that kept a push from being settled
MAX_OUTCOMES = 64  # pushes that are over, of which the answer is kept


class RolloutLeader:
    """`judge` None: whoever holds a plan whole and reads it is able, and no trials are held."""

    def __init__(
        self, fleet: Fleet, views: Views, register: Register, judge: CompatibilityCheck | None
    ) -> None:
        self.fleet = fleet
        self.views = views
        self.register = register
        self.check = judge
        self.epoch: int | None = None  # of the term in which all this is
        self.rollout: Rollout | None = None
        self.outcomes: OrderedDict[tuple[str, int], RolloutStatus] = OrderedDict()

    def is_leading(self, at: Instant) -> bool:
        """Whether it leads at this instant. What was begun in another term is gone."""
        epoch = self.fleet.duties[LEAD].act(at.boot)
        if epoch != self.epoch:
            if self.rollout is not None and self.check is not None:
                self.check.stop_check()
            self.epoch, self.rollout = epoch, None
            self.outcomes.clear()
        return epoch is not None

    # Words

    def handle_proposal(self, at: Instant, sender: str, address: Address, word: ProposePlan) -> list[Out]:
        if not self.is_leading(at) or word.epoch != self.epoch:
            return []
        by = (sender, word.proposal_id)
        if by in self.outcomes:
            return [(address, self.outcomes[by])]
        push, chosen = self.rollout, self.register.chosen
        if push is not None and push.digest == word.digest:
            push.proposals[by] = address
            return [(address, self._word(push, word.proposal_id, self.pending_reasons(push, at.now)))]
        if push is not None:
            what = f"the push of {push.title or push.digest.hex()!r} from {push.proposer} is {push.state}"
            return self._no(by, address, word, PlanRolloutInProgressError(what))
        if not self.register.ready:
            return []  # it may be this very plan that the voters have; it is offered again
        if word.base_version > chosen.number:
            return [(address, self.register.newest())]
        if chosen.number and chosen.digest == word.digest:
            told = RolloutStatus(word.digest, word.epoch, word.proposal_id, SETTLED, chosen.number)
            return self._answer(by, address, told)
        if word.base_version < chosen.number:
            what = f"plan {chosen.number} was settled, and this one was offered knowing {word.base_version}"
            return self._no(by, address, word, PlanOvertakenError(what))
        if word.size_bytes > LARGEST:
            return self._no(
                by, address, word, PlanTooLargeError(f"{word.size_bytes} bytes, {LARGEST} at most")
            )
        view, until = self.views.view, at.now + STATE_TIMEOUT_SECONDS[OFFERED]
        self.rollout = Rollout(word.digest, address, sender, at.now, until, view, view)
        self.rollout.proposals[by] = address
        return [(address, self._word(self.rollout, word.proposal_id, []))]

    def _no(self, by: tuple[str, int], address: Address, word: ProposePlan, why: OperatorError) -> list[Out]:
        whys, more = pack_reasons([reason_from(why)])
        told = RolloutStatus(word.digest, word.epoch, word.proposal_id, REFUSED, reasons=whys, omitted=more)
        return self._answer(by, address, told)

    def _answer(self, by: tuple[str, int], address: Address, told: RolloutStatus) -> list[Out]:
        self.outcomes[by] = told
        while len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
        return [(address, told)]

    def handle_stored(self, at: Instant, sender: str, word: PlanStored) -> None:
        push = self.rollout
        if not self.is_leading(at) or push is None or (word.digest, word.epoch) != (push.digest, self.epoch):
            return
        if word.code:
            push.rejections[sender, word.start] = Reason(sender, word.code, word.what, word.do)
        else:
            push.stored_by.add((sender, word.start))

    def entry_committed(self, at: Instant, entry: Entry) -> list[Out]:
        """The register's word that an entry is chosen."""
        push = self.rollout
        if push is None or push.state != PUTTING:
            return []
        return self._over(SETTLED) if entry[0:3:2] == (push.version, push.digest) else []

    # Steps

    def step(self, at: Instant) -> list[Out]:
        if not self.is_leading(at) or (push := self.rollout) is None:
            return []
        if push.state == PUTTING:
            return self._kept(push)
        if push.state == OFFERED:
            return self._offered(at, push)
        out: list[Out] = []
        if self.views.view.number != push.view.number:
            out = self._moved(at, push)
        gone = sorted(push.initial_view.names - push.view.names)
        if len(gone) > max(1, len(push.initial_view.names) // MEMBERS_PER_ALLOWED_LOSS):
            lost = PlanMembersLostError(
                f"went while it was {push.state}, {len(gone)} of {len(push.initial_view.names)}"
            )
            others = PlanNotStoredError("had not told by then that it holds the plan")
            why = [reason_from(lost, name) for name in gone]
            why += [reason_from(others, placed.who.name) for placed in self.missing_members(push)]
            return out + self._over(REFUSED, why)
        if no := [
            push.rejections[process_key(placed)]
            for placed in push.view.members
            if process_key(placed) in push.rejections
        ]:
            return out + self._over(REFUSED, no)
        push.verdict = self._check_verdict(at, push)
        if push.verdict.stage is CheckStage.INCOMPATIBLE:
            return out + self._over(REFUSED, list(push.verdict.reasons))
        self._show(at, push)
        if self._may_put(at, push):
            return out + self._put(at, push)
        if at.now >= push.deadline:
            return out + self._over(REFUSED, self._late(at, push))
        return out + self._spread(at, push)

    def _kept(self, push: Rollout) -> list[Out]:
        """The voters keep it, and the register does not say so: somebody has told meanwhile of a plan of a
        higher number, which all the voters had forgotten. Both are settled, and all go by the higher.
        """
        over = self.register.ready and self.register.chosen.number > push.version
        return self._over(SETTLED) if over else []

    def _offered(self, at: Instant, push: Rollout) -> list[Out]:
        body = self.fleet.bodies.get(push.digest)
        if body is None:
            if at.now >= push.deadline:
                what = (
                    f"the body did not come from {push.proposer} within {STATE_TIMEOUT_SECONDS[OFFERED]:g} s"
                )
                return self._over(REFUSED, [reason_from(PlanNotFetchedError(what))])
            if at.now >= push.fetched_at + RETRY_SECONDS:
                push.fetched_at = at.now
                self.fleet.fetches.append(Fetch(push.source, push.digest))
            return []
        if push.plan is None:
            try:
                push.plan = parse_plan(body)
                compile_routes(push.plan)
            except OperatorError as bad:
                return self._over(REFUSED, [reason_from(bad)])
            self.fleet.bodies.keep("plan/push", push.digest)
        if not self.views.inside:
            if at.now >= push.deadline:
                return self._over(REFUSED, [reason_from(PlanNoViewError("the leader stands in none"))])
            return []
        push.stored_by.add((self.fleet.me.name, self.fleet.start))
        push.state, push.deadline = SURVEYED, at.now + STATE_TIMEOUT_SECONDS[SURVEYED]
        push.initial_view = push.view = self.views.view
        if self.check is None:
            return []
        return self.check.start_check(at, push.digest, push.plan, push.view)

    def _moved(self, at: Instant, push: Rollout) -> list[Out]:
        push.view = self.views.view
        push.view_changes += 1
        return self.check.view_changed(at, push.view) if self.check is not None else []

    def _check_verdict(self, at: Instant, push: Rollout) -> Verdict:
        if self.check is not None:
            return self.check.verdict(at.now)
        missing, of = len(self.missing_members(push)), len(push.view.members)
        return Verdict(
            CheckStage.SURVEYING if missing else CheckStage.COMPATIBLE, push.view.number, of - missing, of
        )

    def _show(self, at: Instant, push: Rollout) -> None:
        """The state that the verdict makes it; each has its time but once."""
        state = SURVEYED if push.verdict.stage is CheckStage.SURVEYING else TRIED
        if state == TRIED and push.state == SURVEYED:
            if not push.was_testing:
                push.deadline = at.now + STATE_TIMEOUT_SECONDS[TRIED]
            push.was_testing = True
        push.state = state

    def missing_members(self, push: Rollout) -> list[Placed]:
        """Members of the view that have not told that they hold it."""
        return [placed for placed in push.view.members if process_key(placed) not in push.stored_by]

    def _may_put(self, at: Instant, push: Rollout) -> bool:
        verdict, views = push.verdict, self.views
        if (
            verdict.stage is not CheckStage.COMPATIBLE
            or verdict.view_number != views.view.number
            or self.missing_members(push)
        ):
            return False
        # A view that is being put may be in force before the plan is.
        newest = views.register.ready and views.register.have.number == views.view.number
        return newest and views.sure(at.now) and self.register.ready and self.register.epoch == self.epoch

    def _put(self, at: Instant, push: Rollout) -> list[Out]:
        body = self.fleet.bodies.get(push.digest)
        assert body is not None  # it is kept for this
        push.version = self.register.chosen.number + 1
        push.state, push.deadline = PUTTING, at.now + STATE_TIMEOUT_SECONDS[PUTTING]
        return self.register.put(at, body, push.version)

    def _spread(self, at: Instant, push: Rollout) -> list[Out]:
        """Ask those that do not hold it to fetch it. Not all at once: the leader gives the first of them the
        body, and these the others.
        """
        assert self.epoch is not None
        out: list[Out] = []
        room = ceil(len(push.view.members) / DISTRIBUTION_STEPS)
        own = (self.fleet.me.host, self.fleet.me.port)
        have = [(p.who.host, p.who.port) for p in push.view.members if process_key(p) in push.stored_by] or [
            own
        ]
        for placed in self.missing_members(push):
            last = push.requested_at.get(process_key(placed))
            if not room if last is None else at.now < last + RETRY_SECONDS:
                continue
            room -= last is None
            push.requested_at[process_key(placed)] = at.now
            source = self.fleet.random.choice(have) if last is None else own
            out.append(((placed.who.host, placed.who.port), StorePlan(push.digest, self.epoch, source)))
        return out

    # The end

    def _late(self, at: Instant, push: Rollout) -> list[Reason]:
        """Why it was not settled in its time."""
        why = list(push.verdict.reasons)
        if push.view_changes >= MAX_VIEW_CHANGES:
            why.append(reason_from(PlanViewUnstableError(f"{push.view_changes} views came meanwhile")))
        took = f"within {at.now - push.started_at:.0f} s"
        late = PlanNotStoredError(f"has not told {took} that it holds the plan")
        why += [reason_from(late, placed.who.name) for placed in self.missing_members(push)]
        if not self.views.sure(at.now):
            why.append(reason_from(PlanNoViewError("the leader does not count on its view")))
        if not why:
            verdict = push.verdict
            what = (
                f"{verdict.answered} of {verdict.members} have answered {took}, in view {verdict.view_number}"
            )
            why.append(reason_from(PlanNotCheckedError(f"{what}; the view is {self.views.view.number}")))
        return why

    def pending_reasons(self, push: Rollout, now: float) -> list[Reason]:
        """Why it is not settled yet."""
        if push.state != PUTTING:
            wait = reason_from(PlanNotStoredError("does not hold the plan yet"))
            names = (
                [placed.who.name for placed in self.missing_members(push)] if push.state != OFFERED else []
            )
            return [*push.verdict.reasons, *(wait._replace(member=name) for name in names)]
        if now < push.deadline:
            return []
        yes, voters = len(self.register.yes), len(self.fleet.voters.all)
        what = f"{yes} of {voters} voters keep it after {STATE_TIMEOUT_SECONDS[PUTTING]:g} s"
        return [reason_from(PlanNotCommittedError(what))]

    def _word(self, push: Rollout, number: int, why: list[Reason]) -> RolloutStatus:
        assert self.epoch is not None
        whys, more = pack_reasons(why)
        of = len(push.view.members)
        held = of - len(self.missing_members(push))
        settled = push.version if push.state == SETTLED else 0
        return RolloutStatus(push.digest, self.epoch, number, push.state, settled, held, of, whys, more)

    def _over(self, state: str, why: list[Reason] | None = None) -> list[Out]:
        push, self.rollout = self.rollout, None
        assert push is not None
        push.state = state
        if self.check is not None:
            self.check.stop_check()
        out: list[Out] = []
        for by, address in push.proposals.items():
            out += self._answer(by, address, self._word(push, by[1], why or []))
        return out
