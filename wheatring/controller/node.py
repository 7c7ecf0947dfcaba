"""One controller: runs the consensus replica, applies commands, reads the endpoint list and serves
subscribers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from wheatring.consensus.replica import Effects, Replica, State, Timing, Write, entry_position
from wheatring.controller.commands import Command, Outcome
from wheatring.controller.members import Reported, complete_retirements, next_placement
from wheatring.controller.store import Store
from wheatring.controller.voters import Candidate, next_voters
from wheatring.discovery.platform_list import ListReader, ListUnavailable
from wheatring.durable.record_file import DiskError
from wheatring.settings.events import log_event
from wheatring.settings.process import Settings
from wheatring.subscription.server import SUBSCRIBER_HEARTBEAT, Subscribers
from wheatring.transport.client import ClientTable, Unreachable
from wheatring.transport.connection import EnvelopeConnection, EnvelopeServer
from wheatring.transport.messages_pb2 import (
    ROLE_CONTROLLER,
    ROLE_STORAGE,
    ConsensusRecord,
    ControlState,
    Envelope,
    HardState,
    Member,
    OperatorReply,
    OperatorRequest,
    Presence,
    StatusReply,
    StorageMember,
)

MAINTENANCE_SECONDS = 0.1  # between looks at members and voters
PRESENCE_SECONDS = 0.3  # between words of a controller to the leader, and for what it passes on
ANNOUNCE_SECONDS = 0.4  # without a leader, before a controller announces itself to all that it knows
LEARNER_SECONDS = 3.0  # after which a silent learner is given up
LIST_PAUSE_PART = 0.42  # of the time in which sends to a leaving endpoint have to end
LEAST_LIST_PAUSE = 0.3  # seconds
LEADER_LOOK_SECONDS = 0.05  # between looks whether this controller leads by now
LEAST_RECENT_QUORUM = 1.0  # seconds since a majority has answered a leader
LIST_FAILURES = 3  # calls in vain, after which another controller is to lead
FORWARD_SECONDS = 0.8  # for the leader to answer an order that has come to another controller
FIND_LEADER_SECONDS = 0.7  # for a leader to be known, before an order is answered 503


class NoLeader(Exception):
    """The order cannot be applied here and now; whether it was applied before is unclear."""


@dataclass(slots=True)
class Queued:
    """A command and who waits for its outcome."""

    command: Command
    outcome: asyncio.Future[Outcome]


@dataclass(slots=True)
class Known:
    """A presence and when it came here."""

    presence: Presence
    at: float
    forwarded_at: float = -1e9

    def age(self, now: float) -> float:
        """Seconds since the process itself spoke."""
        return now - self.at + self.presence.age_ms / 1000


@dataclass(slots=True)
class Clock:
    """The steady clock of the event loop."""

    now: Callable[[], float] = field(default_factory=lambda: asyncio.get_running_loop().time)


class Controller:
    """The owner of all state of one controller process."""

    def __init__(self, settings: Settings, random: Random, reader: ListReader | None) -> None:
        """`reader` reads the platform's list; None where the platform has none."""
        self.settings = settings
        self._reader = reader
        self.losses = settings.tolerance.losses
        self.clock = Clock()
        self._random = random
        self._store = Store(Path(settings.data_folder or "."))
        loaded = self._store.open(
            settings.ip, [seed.host for seed in settings.seeds], settings.bootstrap, self._live_record
        )
        me = Member(replica_id=loaded.replica_id, node=settings.node, address=settings.ip, zone=settings.zone)
        now = self.clock.now()
        self.core = Replica(me, loaded.hard_state, loaded.entry, random, now, Timing())
        self.core.restore_soft_state(loaded.soft_version, loaded.soft_state)
        self._kept_list = loaded.soft_state
        self.peers = ClientTable(settings.controller_port)
        self.subscribers = Subscribers(lambda: self.core.silence(self.clock.now()))
        self.server = EnvelopeServer(self._on_envelope, self.subscribers.remove)
        self._known: dict[str, Known] = {}
        self._storage_since: float | None = None
        self._queue: list[Queued] = []
        self._queued = asyncio.Event()
        self._advanced = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._answering: set[asyncio.Task[None]] = set()
        self._was_leader = False
        self._led_term = -1
        self._led_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []
        self.stopping = False

    # Start and stop

    async def start(self) -> None:
        """Listen and begin to take part. Raises OSError."""
        await self.server.listen(self.settings.ip, self.settings.controller_port)
        log_event("controller-started", replica=self.core.me.replica_id, term=self.core.term)
        jobs = (self._work(), self._maintain(), self._read_list(), self._beat())
        self._tasks = [asyncio.create_task(job) for job in jobs]
        self._arm()

    async def stop(self) -> None:
        """Give the leadership away and tell the subscribers to go elsewhere."""
        self.stopping = True
        if self.core.state is State.LEADER:
            self._apply(self.core.transfer(self.clock.now()))
        self.subscribers.stop()
        await asyncio.sleep(0.15)
        for task in self._tasks:
            task.cancel()
        self.server.close()
        self.peers.close()

    # Consensus

    def _live_record(self) -> bytes:
        core = self.core
        hard_state = HardState(term=core.term, voted_for=core.voted_for)
        record = ConsensusRecord(
            hard_state=hard_state,
            entry=core.entry,
            soft_version=core.soft_version,
            soft_state=core.soft_state,
        )
        return record.SerializeToString()

    def _arm(self) -> None:
        due = self.core.next_event()
        if self._timer is not None:
            if self._timer.when() <= due:
                return  # it fires earlier, and is armed anew then
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self.clock.now()
        if now >= self.core.next_event():
            self._apply(self.core.tick(now))
        self._arm()

    def _apply(self, effects: Effects) -> None:
        """Carry out what the replica wants, and pass on what has changed."""
        for outgoing in effects.messages:
            self._send(outgoing.to, outgoing.message)
        for write in effects.writes:
            future = self._store.committer.append([write.record.SerializeToString()])
            future.add_done_callback(partial(self._written, write))
        self._publish()
        self._arm()

    def _written(self, write: Write, done: asyncio.Future[None]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self._apply(self.core.written(self.clock.now(), write))
            return
        self.core.write_failed(write)
        if isinstance(error, DiskError):
            log_event("disk-failed", error=str(error))

    def _send(self, to: Member, message: object) -> None:
        envelope = Envelope()
        name = _FIELDS[type(message).__name__]
        getattr(envelope, name).CopyFrom(message)
        self.peers.to(to.address).send(envelope)

    def _publish(self) -> None:
        core = self.core
        if core.committed is not None and self.subscribers.publish_state(core.committed):
            self._advanced.set()
        if core.soft_version and core.soft_state:
            self.subscribers.publish_list(core.soft_version, core.soft_state)
            self._keep_list()
        leads = core.state is State.LEADER
        if leads != self._was_leader:
            self._was_leader = leads
            log_event("leader" if leads else "follower", term=core.term)
        self._advanced.set()

    def _keep_list(self) -> None:
        """Have the endpoint list on disk: after a loss of power sidecars need one before the platform is
        asked."""
        core = self.core
        if core.soft_state == self._kept_list:
            return
        self._kept_list = core.soft_state
        record = ConsensusRecord(soft_version=core.soft_version, soft_state=core.soft_state)
        self._store.committer.append([record.SerializeToString()])

    async def wait_for_leader(self, seconds: float) -> None:
        """Until a leader is known, for so long at most."""
        await self._until(lambda: self.core.leader is not None, seconds)

    # Envelopes

    def _on_envelope(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        now = self.clock.now()
        kind = envelope.WhichOneof("body")
        if kind in _CONSENSUS:
            self._apply(self.core.receive(now, getattr(envelope, kind)))
        elif kind == "presence":
            self._on_presence(envelope.presence)
            self.subscribers.heard(connection, envelope.presence)
        elif kind == "subscribe":
            self._on_presence(envelope.subscribe.presence)
            self.subscribers.add(connection, envelope.subscribe)
        elif kind == "operator_request":
            answering = asyncio.create_task(self._answer_forwarded(connection, envelope))
            self._answering.add(answering)
            answering.add_done_callback(self._answering.discard)
        elif kind == "status_request":
            reply = StatusReply(json=json.dumps(self.status()).encode())
            connection.send(Envelope(call=envelope.call, reply=True, status_reply=reply))

    def _on_presence(self, presence: Presence) -> None:
        if presence.role not in (ROLE_CONTROLLER, ROLE_STORAGE):
            return
        now = self.clock.now()
        if presence.role == ROLE_STORAGE and self._storage_since is None:
            self._storage_since = now
        known = self._known.get(presence.replica_id)
        if known is None or now - presence.age_ms / 1000 > known.at - known.presence.age_ms / 1000:
            forwarded_at = known.forwarded_at if known is not None else -1e9
            news = known is None or known.presence.whole_epoch != presence.whole_epoch
            self._known[presence.replica_id] = Known(presence, now, -1e9 if news else forwarded_at)
            self._forward_presences(now)

    # Members

    async def _maintain(self) -> None:
        """Look after learners, voters and the placement, and tell the leader of this controller."""
        announced = -1e9
        while True:
            await asyncio.sleep(MAINTENANCE_SECONDS)
            now = self.clock.now()
            self._forget_old(now)
            self._forward_presences(now)
            if now - announced > PRESENCE_SECONDS:
                announced = now
                self._announce(now)
            if self.core.state is State.LEADER:
                self._update_learners(now)
                if self.core.can_propose and not self._queue:
                    self._propose_members(now)

    def _forget_old(self, now: float) -> None:
        for replica_id in [i for i, known in self._known.items() if known.age(now) > 30]:
            del self._known[replica_id]

    def _own_presence(self) -> Presence:
        me = self.core.me
        return Presence(
            role=ROLE_CONTROLLER,
            replica_id=me.replica_id,
            node=me.node,
            address=me.address,
            zone=me.zone,
        )

    def _announce(self, now: float) -> None:
        """Tell the leader of this controller; without one, tell all that are known."""
        core = self.core
        if core.state is State.LEADER:
            return
        envelope = Envelope(presence=self._own_presence())
        if core.leader is not None and now - core.leader_heard_at < ANNOUNCE_SECONDS:
            self.peers.to(core.leader.address).send(envelope)
            return
        hosts = {seed.host for seed in self.settings.seeds} | {voter.address for voter in core.voters}
        for host in sorted(hosts - {self.settings.ip}):
            self.peers.to(host).send(envelope)

    def _forward_presences(self, now: float) -> None:
        """Pass on to the leader what others have said here."""
        core = self.core
        if core.state is State.LEADER or core.leader is None:
            return
        for known in self._known.values():
            if now - known.forwarded_at < PRESENCE_SECONDS or known.age(now) > LEARNER_SECONDS:
                continue
            if known.at <= known.forwarded_at:
                continue
            known.forwarded_at = now
            presence = Presence()
            presence.CopyFrom(known.presence)
            presence.age_ms = int(known.age(now) * 1000)
            self.peers.to(core.leader.address).send(Envelope(presence=presence))

    def _update_learners(self, now: float) -> None:
        voters = {voter.replica_id for voter in self.core.voters}
        learners = {}
        for replica_id, known in self._known.items():
            wanted = known.presence.role == ROLE_CONTROLLER and replica_id not in voters
            if wanted and replica_id != self.core.me.replica_id and known.age(now) < LEARNER_SECONDS:
                learners[replica_id] = _member(known.presence)
        if learners.keys() != self.core.learners.keys():
            self.core.set_learners(learners)

    def _propose_members(self, now: float) -> None:
        """Propose the next change of voters or placement, if there is one."""
        core = self.core
        assert core.committed is not None
        state = ControlState.FromString(core.committed.data)
        voters = self._next_voters(now, state)
        if voters is not None and all(voter.replica_id != core.me.replica_id for voter in voters):
            self._apply(core.transfer(now))  # another one removes this replica
            return
        if voters is not None:
            log_event("voters", replicas=[voter.replica_id for voter in voters])
            _, effects = core.propose(now, core.entry.data, voters)
            self._apply(effects)
            return
        waited = now - self._storage_since if self._storage_since is not None else 0.0
        placement = next_placement(state, self._reported(now), self.losses, waited)
        if placement is not None:
            state.placement.CopyFrom(placement)
            log_event(
                "placement",
                epoch=placement.epoch,
                current=[member.node for member in placement.current],
                next=[member.node for member in placement.next],
            )
        voting_nodes = {voter.node for voter in core.voters}
        if not complete_retirements(state, voting_nodes) and placement is None:
            return
        _, effects = core.propose(now, state.SerializeToString())
        self._apply(effects)

    def _next_voters(self, now: float, state: ControlState) -> list[Member] | None:
        core = self.core
        newest = entry_position(core.entry)
        candidates = [
            Candidate(learner, core.progress[i].on_disk == newest)
            for i, learner in core.learners.items()
            if i in core.progress and now - core.progress[i].heard_at < 1.0
        ]
        unheard = {}
        for voter in core.voters:
            progress = core.progress.get(voter.replica_id)
            if progress is not None:
                unheard[voter.replica_id] = now - max(progress.heard_at, self._led_since(now))
        described = self._described_voters()
        if described is not None:
            return described
        leaving = {retirement.node for retirement in state.retirements if not retirement.completed}
        target = 2 * self.losses + 1
        return next_voters(core.me.replica_id, core.voters, candidates, unheard, target, leaving)

    def _led_since(self, now: float) -> float:
        """A new leader has not heard from anybody yet, which says nothing of them."""
        if self._led_term != self.core.term:
            self._led_term = self.core.term
            self._led_at = now
        return self._led_at

    def _described_voters(self) -> list[Member] | None:
        """The voters with node and zone, where those were not known when they were added."""
        described = []
        changed = False
        for voter in self.core.voters:
            known = self._known.get(voter.replica_id)
            member = self.core.me if voter.replica_id == self.core.me.replica_id else voter
            if known is not None and not member.node:
                member = _member(known.presence)
            changed |= member.node != voter.node
            described.append(member)
        return described if changed else None

    def _reported(self, now: float) -> dict[str, Reported]:
        reported = {}
        for replica_id, known in self._known.items():
            presence = known.presence
            if presence.role != ROLE_STORAGE:
                continue
            member = StorageMember(
                replica_id=replica_id, node=presence.node, address=presence.address, zone=presence.zone
            )
            reported[replica_id] = Reported(member, presence.whole_epoch, known.age(now))
        # Of two replicas at one address the one that spoke last is there.
        newest: dict[str, str] = {}
        for replica_id, report in reported.items():
            other = newest.get(report.member.address)
            if other is None or report.age < reported[other].age:
                newest[report.member.address] = replica_id
        return {i: reported[i] for i in newest.values()}

    # Commands

    async def submit(self, command: Command) -> Outcome:
        """Have a command applied by this controller as the leader. Raises NoLeader."""
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._queue.append(Queued(command, future))
        self._queued.set()
        return await future

    async def _work(self) -> None:
        """The one place where commands are applied: batch by batch, each committed before it is answered."""
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self._queue:
                if not await self._until(lambda: self.core.can_propose, FIND_LEADER_SECONDS):
                    self._fail_queue()
                    break
                batch, self._queue = self._queue, []
                try:
                    await self._apply_batch(batch)
                except NoLeader as error:
                    _fail(batch, error)

    def _fail_queue(self) -> None:
        batch, self._queue = self._queue, []
        _fail(batch, NoLeader("no leader with a quorum"))

    async def _apply_batch(self, batch: list[Queued]) -> None:
        """Apply commands to the committed state and tell their outcomes once that state is certain."""
        core = self.core
        assert core.committed is not None
        before = core.committed.data
        state = ControlState.FromString(before)
        outcomes = [queued.command.apply(state) for queued in batch]
        after = state.SerializeToString()
        now = self.clock.now()
        term = core.term
        if ControlState.FromString(before) == state:
            number, effects = core.confirm(now)
            self._apply(effects)
            await self._certain(term, lambda: core.confirmed_round >= number)
        else:
            position, effects = core.propose(now, after)
            self._apply(effects)
            await self._certain(term, lambda: _committed_position(core) >= position)
        for queued, outcome in zip(batch, outcomes, strict=True):
            if not queued.outcome.done():
                queued.outcome.set_result(outcome)

    async def _certain(self, term: int, reached: Callable[[], bool]) -> None:
        """Wait until something holds in this term. Raises NoLeader once the leadership is lost."""
        core = self.core

        def settled() -> bool:
            return reached() or core.state is not State.LEADER or core.term != term

        await self._until(settled, 10.0)
        if core.state is not State.LEADER or core.term != term or not reached():
            raise NoLeader("the leadership was lost before the change was certain")

    async def _until(self, holds: Callable[[], bool], seconds: float) -> bool:
        """Wait until something holds, for so long at most."""
        deadline = self.clock.now() + seconds
        while not holds():
            left = deadline - self.clock.now()
            if left <= 0:
                return False
            self._advanced.clear()
            try:
                async with asyncio.timeout(left):
                    await self._advanced.wait()
            except TimeoutError:
                return holds()
        return True

    # The operator's orders

    async def leader_address(self) -> str:
        """Where the leader is; empty where none is known in time."""
        core = self.core

        def known() -> bool:
            recent = core.silence(self.clock.now()) < LEAST_RECENT_QUORUM
            return recent and (core.state is State.LEADER or core.leader is not None)

        if not await self._until(known, FIND_LEADER_SECONDS):
            return ""
        return core.me.address if core.state is State.LEADER else core.leader.address if core.leader else ""

    async def forward(self, address: str, request: OperatorRequest) -> OperatorReply:
        """Pass an order on to the leader. Raises Unreachable: then it is unclear what became of it."""
        envelope = Envelope(operator_request=request)
        reply = await self.peers.to(address).call(envelope, FORWARD_SECONDS)
        return reply.operator_reply

    async def _answer_forwarded(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        reply = await self.on_order(envelope.operator_request)
        connection.send(Envelope(call=envelope.call, reply=True, operator_reply=reply))

    async def on_order(self, request: OperatorRequest) -> OperatorReply:
        """Replaced by the API, which knows what orders there are."""
        raise NotImplementedError

    def retirement_needs(self) -> int:
        """Storage machines that have to be left after a retirement."""
        return 2 * self.losses + 1

    def reachable_storage(self) -> frozenset[str]:
        """Replica ids of the storage members that have spoken lately."""
        now = self.clock.now()
        return frozenset(i for i, report in self._reported(now).items() if report.age < 2.0)

    # The endpoint list

    async def _read_list(self) -> None:
        """Read the platform's list while this controller leads."""
        reader = self._reader
        if reader is None:
            return
        pause = max(self.settings.drain * LIST_PAUSE_PART, LEAST_LIST_PAUSE)
        failures = 0
        while True:
            if not self._leads_with_quorum():
                failures = 0
                await asyncio.sleep(LEADER_LOOK_SECONDS)
                continue
            try:
                endpoint_list = await reader.read()
                failures = 0
            except ListUnavailable as error:
                failures += 1
                log_event("list-unavailable", error=str(error), failures=failures)
                if failures >= LIST_FAILURES:
                    failures = 0
                    self._apply(self.core.transfer(self.clock.now()))
                await asyncio.sleep(0.25)
                continue
            self._take_list(endpoint_list.SerializeToString())
            await asyncio.sleep(pause)

    def _leads_with_quorum(self) -> bool:
        silence = self.core.silence(self.clock.now())
        return self.core.is_ready_leader and silence < LEAST_RECENT_QUORUM

    def _take_list(self, data: bytes) -> None:
        changed = data != self.core.soft_state or not self.core.soft_version
        if changed and self.core.state is State.LEADER:
            self._apply(self.core.set_soft_state(self.clock.now(), data))

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(SUBSCRIBER_HEARTBEAT)
            self.subscribers.heartbeat()

    # For people

    def status(self) -> dict[str, object]:
        """What an operator wants to see of this controller."""
        core = self.core
        now = self.clock.now()
        state = self.subscribers.published.state
        return {
            "node": self.settings.node,
            "replica": core.me.replica_id,
            "state": core.state.value,
            "term": core.term,
            "leader": core.leader.address if core.leader is not None else None,
            "silence_s": round(core.silence(now), 3),
            "committed": list(_committed_position(core)),
            "voters": [{"replica": v.replica_id, "node": v.node, "address": v.address} for v in core.voters],
            "generation": state.generation,
            "list_version": core.soft_version,
            "storage_epoch": state.placement.epoch,
            "storage": [m.node for m in state.placement.current],
            "storage_next": [m.node for m in state.placement.next],
            "subscribers": [
                {"node": p.node, "applied": [p.applied_term, p.applied_index]}
                for p in self.subscribers.presences()
            ],
        }


_FIELDS = {
    "VoteRequest": "vote_request",
    "VoteReply": "vote_reply",
    "AppendRequest": "append_request",
    "AppendReply": "append_reply",
    "TimeoutNow": "timeout_now",
}
_CONSENSUS = frozenset(_FIELDS.values())


def _committed_position(core: Replica) -> tuple[int, int]:
    return entry_position(core.committed) if core.committed is not None else (0, 0)


def _member(presence: Presence) -> Member:
    return Member(
        replica_id=presence.replica_id,
        node=presence.node,
        address=presence.address,
        zone=presence.zone,
    )


def _fail(batch: list[Queued], error: Exception) -> None:
    for queued in batch:
        if not queued.outcome.done():
            queued.outcome.set_exception(error)
            queued.outcome.exception()


__all__ = ["Controller", "NoLeader", "Unreachable"]
