"""One sidecar's part in the fleet's one plan: goes by what is settled, holds what is pushed, offers, leads.

What it goes by is moved only by the register `plan` (an entry that is chosen, whose body is there and can be
read). An offer is moved by the leader's word alone, or by the register's, or by its time:

    offered .. putting  as the leader tells; offered again to whoever leads by then
    settled             the register has this very body, or the leader says so
    refused             the leader of the newest term that it was offered to says so
    lost                no leader has told how it ended within PATIENCE: it may be settled yet

What must never hold: a plan that is gone by and is not the register's, not whole, or of a lower number than
the one before; a refusal believed of a leader after whom another was asked; a body told as held (`Holds`)
that is not kept. No I/O, clock or chance of its own but what is handed in.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, get_args

from wheatring.errors import OperatorError
from wheatring.lease.bodies import LARGEST, Fetch
from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.lease.register import LEAD, Register
from wheatring.lease.views import Views
from wheatring.lease.words import Entry
from wheatring.members.members import Address
from wheatring.members.words import Who
from wheatring.plan.compatibility import CompatibilityCheck, Reason
from wheatring.plan.document import CommittedPlan
from wheatring.plan.errors import (
    PlanLeaderLostError,
    PlanNoViewError,
    PlanRolloutInProgressError,
    PlanTooLargeError,
)
from wheatring.plan.leader import RolloutLeader
from wheatring.plan.messages import (
    FINAL_STATES,
    LOST,
    OFFERED,
    SETTLED,
    AnyPlanMessage,
    PlanStored,
    ProposePlan,
    RolloutStatus,
    StorePlan,
    truncate,
    unpack_reasons,
)
from wheatring.plan.parser import CompiledRoutes, compile_routes, parse_plan
from wheatring.plan.rollout import reason_from

STEP_SECONDS = 0.1  # seconds from one step of a push to the next, at the leader
IDLE_SECONDS = 0.5  # seconds between looks where there is none
RESEND_SECONDS = 1.0  # seconds until an offer that is not over is said again
PROPOSAL_TIMEOUT_SECONDS = 60.0  # seconds from when it was offered, for which its end is waited for
MAX_PENDING_PROPOSALS = 4  # pushes of one sidecar that are not over, at most
MAX_PROPOSALS = 16  # pushes of which it can tell how they ended
MAX_COMPILED_BODIES = 4  # bodies of which it is kept what they say

CommitCallback = Callable[[Instant, CommittedPlan], list[Out]]


@dataclass
class Proposal:
    """A push that was offered here, as far as it is known. `asked` of `of` members hold it."""

    proposal_id: int
    digest: bytes
    title: str
    size_bytes: int
    base_version: int
    proposed_at: float
    next_send_at: float
    state: str = OFFERED
    version: int = 0
    stored: int = 0
    members: int = 0
    reasons: tuple[Reason, ...] = ()
    omitted: int = 0  # reasons that are known only to the leader
    leader_epoch: int = 0  # of the newest leader that it was offered to

    @property
    def is_final(self) -> bool:
        return self.state in FINAL_STATES


class PlanAgent:
    """A piece, and beside it its `register`, another. `taken` is called with each plan that it goes by from
    then on: newer than the one before, whole. `lead.judge` may be put in before the first tick.
    """

    hears = get_args(AnyPlanMessage)

    def __init__(
        self,
        at: Instant,
        fleet: Fleet,
        views: Views,
        check: CompatibilityCheck | None = None,
        on_commit: CommitCallback | None = None,
    ) -> None:
        self.fleet = fleet
        self.views = views
        self.on_commit: CommitCallback = on_commit or (lambda at, settled: [])
        self.register = Register(at, "plan", fleet, self._chosen)
        self.register.met = self._met
        self.leader = RolloutLeader(fleet, views, self.register, check)
        self.current: CommittedPlan | None = None
        self.compiled: CompiledRoutes | None = None  # of the current one
        self.unreadable: Reason | None = None  # why the newest settled one is not gone by
        self.proposals: OrderedDict[int, Proposal] = OrderedDict()  # offered here
        self.compiled_bodies: OrderedDict[bytes, CompiledRoutes | OperatorError] = OrderedDict()
        self.store_request: tuple[StorePlan, Address] | None = (
            None  # what a leader wants held, and who that is
        )
        self.next = self.next_ask = at.now

    # Offering

    def propose(self, at: Instant, body: bytes) -> int:
        """Push a plan: its number among the pushes, for `pushes`. It goes out with the next tick, which is
        due at once. Raises OperatorError where it is refused right here.
        """
        if len(body) > LARGEST:
            raise PlanTooLargeError(f"{len(body)} bytes, {LARGEST} at most")
        plan = parse_plan(body)
        compile_routes(plan)
        if not self.views.inside:
            raise PlanNoViewError(f"{self.fleet.me.name} stands in no view")
        waiting = [one for one in self.proposals.values() if not one.is_final]
        if len(waiting) >= MAX_PENDING_PROPOSALS:
            what = (
                f"{len(waiting)} pushes of {self.fleet.me.name} are not over, {MAX_PENDING_PROPOSALS} at most"
            )
            raise PlanRolloutInProgressError(what)
        key, number = self.fleet.bodies.put(body), self.fleet.random.getrandbits(31)
        self.fleet.bodies.keep(f"plan/offer/{number}", key)
        base = self.register.chosen.number
        self.proposals[number] = Proposal(number, key, plan.title, len(body), base, at.now, at.now)
        while len(self.proposals) > MAX_PROPOSALS:
            over = next(one.proposal_id for one in self.proposals.values() if one.is_final)
            del self.proposals[over]
        self.next = at.now
        return number

    def _offers(self, at: Instant) -> list[Out]:
        """Say what is not over again, to whoever leads now."""
        out: list[Out] = []
        for push in self.proposals.values():
            if push.is_final or at.now < push.next_send_at:
                continue
            if at.now >= push.proposed_at + PROPOSAL_TIMEOUT_SECONDS:
                what = f"no end in {PROPOSAL_TIMEOUT_SECONDS:g} s; {push.state} when a leader last told of it"
                push.reasons = (reason_from(PlanLeaderLostError(what)),)
                self._ends(push, LOST)
                continue
            push.next_send_at = at.now + RESEND_SECONDS * (0.9 + 0.2 * self.fleet.random.random())
            name, epoch = self.fleet.holder(LEAD)
            if (where := self._where(name)) is not None and epoch >= push.leader_epoch:
                push.leader_epoch = epoch
                out.append(
                    (
                        where,
                        ProposePlan(push.digest, epoch, push.proposal_id, push.size_bytes, push.base_version),
                    )
                )
        return out

    def _where(self, name: str) -> Address | None:
        if name == self.fleet.me.name:
            return self.fleet.me.host, self.fleet.me.port
        return self.fleet.members.address(name) if name else None

    def _pushed(self, word: RolloutStatus) -> None:
        push = self.proposals.get(word.proposal_id)
        if push is None or push.is_final or push.digest != word.digest or word.epoch < push.leader_epoch:
            return
        push.stored, push.members, push.version = word.stored, word.members, word.version
        push.reasons, push.omitted = unpack_reasons(word.reasons), word.omitted
        self._ends(push, word.state)

    def _ends(self, push: Proposal, state: str) -> None:
        push.state = state
        if push.is_final:
            self.fleet.bodies.kept.pop(f"plan/offer/{push.proposal_id}", None)

    # Time

    @property
    def due(self) -> float:
        return self.next

    def tick(self, at: Instant) -> list[Out]:
        self.views.plan = self.register.chosen.number
        out = self.leader.step(at) + self._offers(at)
        self.next = at.now + (STEP_SECONDS if self.leader.rollout is not None else IDLE_SECONDS)
        if self.views.stamp.plan > self.register.chosen.number and at.now >= self.next_ask:
            self.next_ask = at.now + RESEND_SECONDS
            out += self._ask()
        return out

    def _met(self) -> list[Who] | None:
        """Whom a voter that has started asks for what it has forgotten. Voters that start together hold only
        each other for there at first; that they have a view again, they have from the others.
        """
        view = self.views.view
        return [placed.who for placed in view.members] if view.number else None

    def _ask(self) -> list[Out]:
        """A stamp names a plan that it has missed: whoever leads has it, and so have most of the others."""
        others = [who for who in self.fleet.members.alive() if who.name != self.fleet.me.name]
        asked = [(who.host, who.port) for who in [self.fleet.random.choice(others)]] if others else []
        name, _ = self.fleet.holder(LEAD)
        if name != self.fleet.me.name and (where := self._where(name)) is not None:
            asked.append(where)
        return [(where, self.register.newest()) for where in dict.fromkeys(asked)]

    # Words

    def hear(self, at: Instant, sender: str, address: Address, word: AnyPlanMessage) -> list[Out]:
        match word:
            case ProposePlan():
                out = self.leader.handle_proposal(at, sender, address, word)
                if self.leader.rollout is not None:
                    self.next = min(self.next, at.now + STEP_SECONDS)
                return out
            case RolloutStatus():
                self._pushed(word)
            case StorePlan():
                return self._hold(at, address, word)
            case PlanStored():
                self.leader.handle_stored(at, sender, word)
        return []

    def _hold(self, at: Instant, address: Address, word: StorePlan) -> list[Out]:
        if self.store_request is not None and word.epoch < self.store_request[0].epoch:
            return []  # of a leader that another has followed
        self.store_request = (word, address)
        if self.fleet.bodies.get(word.digest) is not None:
            return self._held()
        self.fleet.fetches.append(Fetch(word.source, word.digest))
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        if body is None or self.store_request is None or self.store_request[0].digest != digest:
            return []  # the leader asks again
        return self._held()

    def _held(self) -> list[Out]:
        """Tell the leader what has become of what it wants held."""
        assert self.store_request is not None
        word, address = self.store_request
        body = self.fleet.bodies.get(word.digest)
        if body is None:
            return []
        self.fleet.bodies.keep("plan/held", word.digest)
        found = self._read(word.digest, body)
        why = (
            (found.code, truncate(found.what), truncate(found.do))
            if isinstance(found, OperatorError)
            else ("", "", "")
        )
        return [(address, PlanStored(word.digest, word.epoch, self.fleet.start, *why))]

    def _read(self, digest: bytes, body: bytes) -> CompiledRoutes | OperatorError:
        found = self.compiled_bodies.get(digest)
        if found is None:
            try:
                found = compile_routes(parse_plan(body))
            except OperatorError as bad:
                found = bad
            self.compiled_bodies[digest] = found
            while len(self.compiled_bodies) > MAX_COMPILED_BODIES:
                self.compiled_bodies.popitem(last=False)
        return found

    # What is chosen

    def _chosen(self, at: Instant, entry: Entry, body: bytes) -> list[Out]:
        out = self.leader.entry_committed(at, entry)
        for push in self.proposals.values():
            if push.digest == entry.digest and not push.is_final and entry.number > push.base_version:
                push.version, push.reasons = entry.number, ()
                self._ends(push, SETTLED)
        found = self._read(entry.digest, body)
        if isinstance(found, OperatorError):  # by a program that knows less than those who settled it
            self.unreadable = reason_from(found, self.fleet.me.name)
            return out
        was, self.unreadable = self.current, None
        self.current, self.compiled = (
            CommittedPlan(entry.number, entry.epoch, entry.digest, found.plan),
            found,
        )
        if was is None or (was.version, was.digest) != (entry.number, entry.digest):
            out += self.on_commit(at, self.current)
        return out

    # What it tells

    def status(self, now: float) -> dict[str, Any]:
        """For `GET /control/plan`."""
        current, lead = self.current, self.leader.rollout
        return {
            "number": current.version if current is not None else 0,
            "epoch": current.epoch if current is not None else 0,
            "digest": current.digest.hex() if current is not None else "",
            "title": current.plan.title if current is not None else "",
            "format": current.plan.format if current is not None else 0,
            "newest": self.register.chosen.number,
            "unread": _told([self.unreadable]) if self.unreadable is not None else [],
            "sure": self.views.sure(now) and self.views.stamp.plan <= self.register.have.number,
            "leads": None if lead is None else {
                "digest": lead.digest.hex(),
                "title": lead.title,
                "from": lead.proposer,
                "state": lead.state,
                "for_s": round(now - lead.started_at, 1),
                "view": lead.view.number,
                "members": len(lead.view.members),
                "holds": sorted({p.who.name for p in lead.view.members} - {*self._missing()}),
                "reasons": _told(self.leader.pending_reasons(lead, now)),
            },
            "pushes": [self.proposal_status(push, now) for push in self.proposals.values()],
        }  # fmt: skip

    def _missing(self) -> list[str]:
        lead = self.leader.rollout
        return [] if lead is None else [placed.who.name for placed in self.leader.missing_members(lead)]

    def proposal_status(self, push: Proposal, now: float) -> dict[str, Any]:
        """One push that was offered here."""
        return {
            "id": push.proposal_id,
            "digest": push.digest.hex(),
            "title": push.title,
            "state": push.state,
            "number": push.version,
            "hold": push.stored,
            "members": push.members,
            "for_s": round(now - push.proposed_at, 1),
            "reasons": _told(push.reasons),
            "more": push.omitted,
        }


def _told(reasons: Any) -> list[dict[str, str]]:
    return [one._asdict() for one in reasons]
