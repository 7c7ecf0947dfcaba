"""A sidecar's plan component: applies committed plans, stores bodies, proposes plans and leads rollouts.

The plan in use changes only when the register `plan` commits an entry whose body is available and readable.
Invariants:

- an applied plan is complete, committed by the register, and newer than the one before;
- a body that was confirmed as stored (`PlanStored`) is kept.

Does no I/O; time and randomness are passed in.
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

STEP_SECONDS = 0.1  # interval of a rollout's steps at the leader
IDLE_SECONDS = 0.5  # interval of ticks without a rollout
MAX_COMPILED_BODIES = 4

CommitCallback = Callable[[Instant, CommittedPlan], list[Outgoing]]


class PlanAgent:
    """A `lease.component.FleetComponent`; its `register` is a separate component.

    `on_commit` is called with each newly applied plan. `leader.check` may be set before the first tick.
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
        self.compiled: CompiledRoutes | None = None  # the current plan, compiled
        self.unreadable: Reason | None = None  # why the newest committed plan is not applied
        self.compiled_bodies: OrderedDict[bytes, CompiledRoutes | OperatorError] = OrderedDict()
        self.store_request: tuple[StorePlan, Address] | None = None  # newest request, and its sender
        self.next_tick_at = self.next_query_at = at.now

    def propose(self, at: Instant, body: bytes) -> Proposal:
        """Propose a plan; the next tick, which becomes due immediately, sends it.

        Raises
        ------
        OperatorError
            The plan is rejected before it is sent.
        """
        proposal = self.proposals.propose(at, body)
        self.next_tick_at = at.now
        return proposal

    # Time

    @property
    def due(self) -> float:
        """When the next tick is due, on the monotonic clock."""
        return self.next_tick_at

    def tick(self, at: Instant) -> list[Outgoing]:
        """Advance the rollout led by this sidecar and send the messages that are due."""
        self.views.leader.plan_number = self.register.chosen.number
        out = self.leader.step(at) + self.proposals.messages_due(at)
        self.next_tick_at = at.now + (STEP_SECONDS if self.leader.rollout is not None else IDLE_SECONDS)
        if self.views.stamp.plan > self.register.chosen.number and at.now >= self.next_query_at:
            self.next_query_at = at.now + RESEND_SECONDS
            out += self._query_newest()
        return out

    def _known_members(self) -> list[MemberInfo] | None:
        """Return the members from which a restarted voter recovers its state; None if they are not known yet.

        Voters that restart simultaneously know only each other at first. They re-enter a view through the
        other members, so the view then contains them.
        """
        view = self.views.view
        return [view_member.member for view_member in view.members] if view.number else None

    def _query_newest(self) -> list[Outgoing]:
        """Query the leader and a random member for a newer plan that is named in a leader stamp."""
        me = self.fleet.me.name
        others = [member for member in self.fleet.members.alive_members() if member.name != me]
        addresses = [(peer.host, peer.port) for peer in [self.fleet.random.choice(others)]] if others else []
        leader = find_leader(self.fleet)
        if leader.name != me and leader.address is not None:
            addresses.append(leader.address)
        return [(address, self.register.learner.newest_query()) for address in dict.fromkeys(addresses)]

    # Messages

    def receive(self, at: Instant, sender: str, address: Address, message: AnyPlanMessage) -> list[Outgoing]:
        """Handle a message to the leader or to a member."""
        match message:
            case ProposePlan():
                out = self.leader.handle_proposal(at, sender, address, message)
                if self.leader.rollout is not None:
                    self.next_tick_at = min(self.next_tick_at, at.now + STEP_SECONDS)
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
            return []  # from a leader of an earlier term
        self.store_request = (message, address)
        if self.fleet.payloads.get(message.digest) is not None:
            return self._report_stored(message, address)
        self.fleet.fetch_requests.append(FetchRequest(message.source, message.digest))
        return []

    def receive_payload(self, _at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """Confirm a fetched body to the leader that asked for it."""
        if body is None or self.store_request is None or self.store_request[0].digest != digest:
            return []  # the leader sends its request again
        return self._report_stored(*self.store_request)

    def _report_stored(self, message: StorePlan, address: Address) -> list[Outgoing]:
        """Pin the body and report to the leader whether this program can read it."""
        body = self.fleet.payloads.get(message.digest)
        if body is None:
            return []
        self.fleet.payloads.pin("plan/held", message.digest)
        compiled = self._compile(message.digest, body)
        texts = ("", "", "")
        if isinstance(compiled, OperatorError):
            texts = (compiled.code, truncate(compiled.what), truncate(compiled.do))
        return [(address, PlanStored(message.digest, message.epoch, self.fleet.incarnation, *texts))]

    def _compile(self, digest: bytes, body: bytes) -> CompiledRoutes | OperatorError:
        """Return the compiled body or the error that compiling it raised; results are cached."""
        compiled = self.compiled_bodies.get(digest)
        if compiled is None:
            try:
                compiled = compile_routes(parse_plan(body))
            except OperatorError as error:
                compiled = error
            self.compiled_bodies[digest] = compiled
            while len(self.compiled_bodies) > MAX_COMPILED_BODIES:
                self.compiled_bodies.popitem(last=False)
        return compiled

    # Commits

    def _entry_committed(self, at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:
        """Apply a committed plan; called by the register once its body is available."""
        out = self.leader.entry_committed(entry)
        self.proposals.entry_committed(entry)
        compiled = self._compile(entry.digest, body)
        if isinstance(compiled, OperatorError):  # the members that accepted it run newer programs
            self.unreadable = reason_from(compiled, self.fleet.me.name)
            return out
        previous, self.unreadable = self.current, None
        self.current = CommittedPlan(entry.number, entry.epoch, entry.digest, compiled.plan)
        self.compiled = compiled
        if previous is None or (previous.version, previous.digest) != (entry.number, entry.digest):
            out += self.on_commit(at, self.current)
        return out

    def status(self, now: float) -> dict[str, Any]:
        """Return the rollout's part of `GET /control/plan`; `now` is in monotonic seconds."""
        is_newest = self.views.stamp.plan <= self.register.applied.number
        return {
            **committed_status(self.current),
            "newest": self.register.chosen.number,
            "unread": reason_records([self.unreadable]) if self.unreadable is not None else [],
            "sure": self.views.is_current(now) and is_newest,
            "leads": leader_status(self.leader, now),
            "pushes": [proposal_status(proposal, now) for proposal in self.proposals.entries.values()],
        }
