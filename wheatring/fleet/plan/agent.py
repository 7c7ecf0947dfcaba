"""One sidecar's part in the fleet's plan: applies committed plans, stores those rolled out, proposes, leads.

Which plan is applied is changed by the register `plan` alone: by an entry that is committed and whose body is
here and can be read. What must never happen:

- a plan is applied that is not the register's, not complete, or of a lower version than the one before;
- a body is reported as stored (`PlanStored`) and not kept.

Does no I/O, and has no clock or randomness of its own.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, get_args

from wheatring.common.errors import OperatorError
from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.membership_views import MembershipViews
from wheatring.fleet.lease.payloads import FetchRequest
from wheatring.fleet.lease.register_messages import Entry
from wheatring.fleet.lease.replicated_register import ReplicatedRegister
from wheatring.fleet.members.messages import Address, MemberInfo
from wheatring.fleet.plan.compatibility import CompatibilityCheck, Reason
from wheatring.fleet.plan.compiler import CompiledRoutes, compile_routes
from wheatring.fleet.plan.document import CommittedPlan
from wheatring.fleet.plan.leader import RolloutLeader
from wheatring.fleet.plan.messages import (
    AnyPlanMessage,
    PlanStored,
    ProposePlan,
    RolloutStatus,
    StorePlan,
    truncate,
)
from wheatring.fleet.plan.parser import parse_plan
from wheatring.fleet.plan.proposals import RESEND_SECONDS, Proposal, ProposalLog, find_leader
from wheatring.fleet.plan.rollout import reason_from
from wheatring.fleet.plan.status import committed_status, leader_status, proposal_status, reason_records

STEP_SECONDS = 0.1  # from one step of a rollout to the next, at the leader
IDLE_SECONDS = 0.5  # between ticks without a rollout
MAX_COMPILED_BODIES = 4

CommitCallback = Callable[[Instant, CommittedPlan], list[Outgoing]]


class PlanAgent:
    """A `lease.component.FleetComponent`, with its `register` as another one beside it.

    `on_commit` is called with each plan that is applied from then on: complete, and newer than the one
    before. `leader.check` may be set before the first tick.
    """

    message_types = get_args(AnyPlanMessage)

    def __init__(
        self,
        at: Instant,
        fleet: Fleet,
        views: MembershipViews,
        check: CompatibilityCheck | None = None,
        on_commit: CommitCallback | None = None,
    ) -> None:
        self.fleet = fleet
        self.views = views
        self.on_commit: CommitCallback = on_commit or (lambda _at, _committed: [])
        self.register = ReplicatedRegister(at, "plan", fleet, self._entry_committed)
        self.register.recovery.known_peers = self._known_members
        self.leader = RolloutLeader(fleet, views, self.register, check)
        self.proposals = ProposalLog(fleet, views, self.register)
        self.current: CommittedPlan | None = None
        self.compiled: CompiledRoutes | None = None  # of the current one
        self.unreadable: Reason | None = None  # why the newest committed plan is not applied
        self.compiled_bodies: OrderedDict[bytes, CompiledRoutes | OperatorError] = OrderedDict()
        self.store_request: tuple[StorePlan, Address] | None = None  # the newest, and the leader's address
        self.next = self.next_ask = at.now

    def propose(self, at: Instant, body: bytes) -> Proposal:
        """Propose a plan.

        It is sent with the next tick, which is due at once.

        Raises
        ------
        OperatorError
            The plan is refused right here.
        """
        proposal = self.proposals.propose(at, body)
        self.next = at.now
        return proposal

    # Time

    @property
    def due(self) -> float:
        """When the next tick has something to do, on the monotonic clock."""
        return self.next

    def tick(self, at: Instant) -> list[Outgoing]:
        """Advance the rollout that is led here, and send what is due."""
        self.views.leader.plan_number = self.register.chosen.number
        out = self.leader.step(at) + self.proposals.messages_due(at)
        self.next = at.now + (STEP_SECONDS if self.leader.rollout is not None else IDLE_SECONDS)
        if self.views.stamp.plan > self.register.chosen.number and at.now >= self.next_ask:
            self.next_ask = at.now + RESEND_SECONDS
            out += self._ask_for_newest()
        return out

    def _known_members(self) -> list[MemberInfo] | None:
        """Return whom a voter that has restarted asks for what it has forgotten; None if not known yet.

        Voters that restart together know only each other at first. That they are in a view again they have
        from the other members, so the view names these.
        """
        view = self.views.view
        return [placed.member for placed in view.members] if view.number else None

    def _ask_for_newest(self) -> list[Outgoing]:
        """Ask for a plan that a stamp names and that was missed here: the leader, and one other member."""
        me = self.fleet.me.name
        others = [who for who in self.fleet.members.alive_members() if who.name != me]
        asked = [(who.host, who.port) for who in [self.fleet.random.choice(others)]] if others else []
        leader = find_leader(self.fleet)
        if leader.name != me and leader.address is not None:
            asked.append(leader.address)
        return [(address, self.register.learner.newest_query()) for address in dict.fromkeys(asked)]

    # Messages

    def receive(self, at: Instant, sender: str, address: Address, message: AnyPlanMessage) -> list[Outgoing]:
        """Handle a message, as the leader or as a member."""
        match message:
            case ProposePlan():
                out = self.leader.handle_proposal(at, sender, address, message)
                if self.leader.rollout is not None:
                    self.next = min(self.next, at.now + STEP_SECONDS)
                return out
            case RolloutStatus():
                self.proposals.handle_status(message)
            case StorePlan():
                return self._handle_store_request(address, message)
            case PlanStored():
                self.leader.handle_stored(at, sender, message)
        return []

    def _handle_store_request(self, address: Address, message: StorePlan) -> list[Outgoing]:
        if self.store_request is not None and message.epoch < self.store_request[0].epoch:
            return []  # of a leader that another one has followed
        self.store_request = (message, address)
        if self.fleet.payloads.get(message.digest) is not None:
            return self._report_stored(message, address)
        self.fleet.fetch_requests.append(FetchRequest(message.source, message.digest))
        return []

    def receive_payload(self, _at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """Report a body that has arrived to the leader that wants it stored."""
        if body is None or self.store_request is None or self.store_request[0].digest != digest:
            return []  # the leader asks again
        return self._report_stored(*self.store_request)

    def _report_stored(self, message: StorePlan, address: Address) -> list[Outgoing]:
        """Keep the body and tell the leader whether it can be read here."""
        body = self.fleet.payloads.get(message.digest)
        if body is None:
            return []
        self.fleet.payloads.pin("plan/held", message.digest)
        found = self._compile(message.digest, body)
        texts = ("", "", "")
        if isinstance(found, OperatorError):
            texts = (found.code, truncate(found.what), truncate(found.do))
        return [(address, PlanStored(message.digest, message.epoch, self.fleet.incarnation, *texts))]

    def _compile(self, digest: bytes, body: bytes) -> CompiledRoutes | OperatorError:
        """Return a compiled body, or the error that it can't be compiled for, from the cache if possible."""
        found = self.compiled_bodies.get(digest)
        if found is None:
            try:
                found = compile_routes(parse_plan(body))
            except OperatorError as error:
                found = error
            self.compiled_bodies[digest] = found
            while len(self.compiled_bodies) > MAX_COMPILED_BODIES:
                self.compiled_bodies.popitem(last=False)
        return found

    # What is committed

    def _entry_committed(self, at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:
        """Apply a committed plan; called by the register once the body is here too."""
        out = self.leader.entry_committed(entry)
        self.proposals.entry_committed(entry)
        found = self._compile(entry.digest, body)
        if isinstance(found, OperatorError):  # committed by members with newer programs
            self.unreadable = reason_from(found, self.fleet.me.name)
            return out
        before, self.unreadable = self.current, None
        self.current = CommittedPlan(entry.number, entry.epoch, entry.digest, found.plan)
        self.compiled = found
        if before is None or (before.version, before.digest) != (entry.number, entry.digest):
            out += self.on_commit(at, self.current)
        return out

    def status(self, now: float) -> dict[str, Any]:
        """Return the rollout's part of `GET /control/plan`; `now` is monotonic seconds."""
        is_newest = self.views.stamp.plan <= self.register.applied.number
        return {
            **committed_status(self.current),
            "newest": self.register.chosen.number,
            "unread": reason_records([self.unreadable]) if self.unreadable is not None else [],
            "sure": self.views.is_current(now) and is_newest,
            "leads": leader_status(self.leader, now),
            "pushes": [proposal_status(proposal, now) for proposal in self.proposals.entries.values()],
        }
