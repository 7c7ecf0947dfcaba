"""One controller: its consensus host, the command queue, the members it looks after, and its subscribers."""

from __future__ import annotations

import asyncio
from random import Random

from wheatring.boot_settings.settings import Settings
from wheatring.consensus.types import State, entry_position
from wheatring.controller.command_queue import LEADER_WAIT_SECONDS, CommandQueue
from wheatring.controller.commands import Command, Outcome
from wheatring.controller.consensus_host import CONSENSUS_MESSAGES, RECENT_QUORUM_SECONDS, ConsensusHost
from wheatring.controller.endpoint_list_poller import EndpointListPoller
from wheatring.controller.presence_table import PresenceChange, PresenceTable, member_of
from wheatring.controller.storage_membership import complete_retirements, next_placement
from wheatring.controller.voter_selection import Candidate, next_voters
from wheatring.discovery.platform_list import EndpointListReader
from wheatring.event_log import log_event
from wheatring.subscription.server import SUBSCRIBER_HEARTBEAT_SECONDS, Subscribers
from wheatring.transport.connection import EnvelopeConnection, EnvelopeServer
from wheatring.transport.messages_pb2 import (
    ROLE_CONTROLLER,
    ControlState,
    Envelope,
    Member,
    OperatorReply,
    OperatorRequest,
    Presence,
)

MAINTENANCE_SECONDS = 0.1  # between looks at members and voters
ANNOUNCE_SECONDS = 0.3  # between words of a controller to the leader
LEADERLESS_SECONDS = 0.4  # before a controller announces itself to all that it knows
CANDIDATE_SECONDS = 1.0  # within which a learner has to have answered, to be given a vote
FORWARD_SECONDS = 0.8  # for the leader to answer an order that has come to another controller
LAST_WORDS_SECONDS = 0.15  # for what is said at a stop to leave
LEAVE_SECONDS = 0.6  # for another replica to be given the vote of one that ends


class Controller:
    """The owner of all state of one controller process."""

    def __init__(self, settings: Settings, random: Random, reader: EndpointListReader | None) -> None:
        """`reader` reads the platform's list; None where the platform has none. Raises DiskError."""
        self.settings = settings
        self.losses = settings.tolerance.losses
        self.host = ConsensusHost(settings, random, self._publish)
        self.replica = self.host.replica
        self.peers = self.host.peers
        self.commands = CommandQueue(self.host)
        self.subscribers = Subscribers(lambda: self.replica.staleness(self.host.now()))
        self.server = EnvelopeServer(self._on_envelope, self.subscribers.remove)
        self._list = EndpointListPoller(self.host, reader, settings.drain) if reader is not None else None
        self._presences = PresenceTable()
        self._answering: set[asyncio.Task[None]] = set()
        self._members_changed = asyncio.Event()
        self._leaving = False
        self._led_term = -1
        self._led_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    # Start and stop

    async def start(self) -> None:
        """Listen and begin to take part. Raises OSError."""
        await self.server.listen(self.settings.ip, self.settings.controller_port)
        log_event("controller-started", replica=self.replica.me.replica_id, term=self.replica.term)
        jobs = [self.commands.run(), self._maintain(), self._beat()]
        if self._list is not None:
            jobs.append(self._list.run())
        self._tasks = [asyncio.create_task(job) for job in jobs]
        self.host.start()

    async def stop(self) -> None:
        """Give leadership and vote away where there is somebody to take them, and send the subscribers
        elsewhere."""
        if self.replica.state is State.LEADER:
            self.host.apply(self.replica.transfer())
        self.subscribers.stop()
        self._leaving = True
        deadline = self.host.now() + LEAVE_SECONDS
        while self.replica.is_voter and self.host.now() < deadline:
            self._announce(self.host.now())
            await asyncio.sleep(LAST_WORDS_SECONDS)
        for task in self._tasks:
            task.cancel()
        self.server.close()
        self.peers.close()

    async def wait_for_leader(self, seconds: float) -> None:
        """Until a leader is known, for so long at most."""
        await self.host.wait_for_leader(seconds)

    def _publish(self) -> None:
        """Something has happened at the replica: pass on what is new."""
        replica = self.replica
        if replica.committed is not None and self.subscribers.publish_state(replica.committed):
            self._members_changed.set()  # what was decided may ask for more
        if replica.soft_version and replica.soft_state:
            self.subscribers.publish_list(replica.soft_version, replica.soft_state)

    # Envelopes

    def _on_envelope(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        kind = envelope.WhichOneof("body")
        if kind in CONSENSUS_MESSAGES:
            self.host.receive(getattr(envelope, kind))
        elif kind == "presence":
            self._on_presence(envelope.presence)
            self.subscribers.update_presence(connection, envelope.presence)
        elif kind == "subscribe":
            self._on_presence(envelope.subscribe.presence)
            self.subscribers.add(connection, envelope.subscribe)
        elif kind == "operator_request":
            answering = asyncio.create_task(self._answer_forwarded(connection, envelope))
            self._answering.add(answering)
            answering.add_done_callback(self._answering.discard)

    def _on_presence(self, presence: Presence) -> None:
        now = self.host.now()
        news = self._presences.heard(presence, now)
        if news is not PresenceChange.NONE:
            self._forward_presences(now)
        if news is PresenceChange.CHANGE:
            self._members_changed.set()

    # Members

    async def _maintain(self) -> None:
        """Look after learners, voters and the placement, and tell the leader of this controller."""
        announced = -1e9
        while True:
            now = self.host.now()
            self._presences.forget_old(now)
            self._forward_presences(now)
            if now - announced > ANNOUNCE_SECONDS:
                announced = now
                self._announce(now)
            if self.replica.state is State.LEADER:
                self._update_learners(now)
                if self.replica.can_propose and self.commands.is_empty:
                    self._propose_members(now)
            await self._wait_for_members()

    async def _wait_for_members(self) -> None:
        """Until a process is new or has changed, or it is time for another look."""
        try:
            async with asyncio.timeout(MAINTENANCE_SECONDS):
                await self._members_changed.wait()
        except TimeoutError:
            return
        self._members_changed.clear()

    def _own_presence(self) -> Presence:
        me = self.replica.me
        return Presence(
            role=ROLE_CONTROLLER,
            replica_id=me.replica_id,
            node=me.node,
            address=me.address,
            zone=me.zone,
            leaving=self._leaving,
        )

    def _announce(self, now: float) -> None:
        """Tell the leader of this controller; without one, tell all that are known."""
        replica = self.replica
        if replica.state is State.LEADER:
            return
        envelope = Envelope(presence=self._own_presence())
        if replica.leader is not None and now - replica.leader_contact_at < LEADERLESS_SECONDS:
            self.peers.to(replica.leader.address).send(envelope)
            return
        hosts = {seed.host for seed in self.settings.seeds} | {voter.address for voter in replica.members}
        for host in sorted(hosts - {self.settings.ip}):
            self.peers.to(host).send(envelope)

    def _forward_presences(self, now: float) -> None:
        """Pass on to the leader what others have said here."""
        replica = self.replica
        if replica.state is State.LEADER or replica.leader is None:
            return
        for presence in self._presences.to_forward(now):
            self.peers.to(replica.leader.address).send(Envelope(presence=presence))

    def _update_learners(self, now: float) -> None:
        """Controllers without a vote are kept up to date."""
        voters = {voter.replica_id for voter in self.replica.members} | {self.replica.me.replica_id}
        learners = {i: member for i, member in self._presences.controllers(now).items() if i not in voters}
        if learners.keys() != self.replica.learners.keys():
            self.replica.set_learners(learners)

    def _propose_members(self, now: float) -> None:
        """Propose the next change of voters, placement or retirements, if there is one."""
        replica = self.replica
        assert replica.committed is not None
        state = ControlState.FromString(replica.committed.data)
        voters = self._next_voters(now, state)
        if voters is not None:
            self._propose_voters(now, voters)
            return
        waited = self._presences.storage_known_for(now)
        led = now - self._led_since(now)
        placement = next_placement(state, self._presences.storage(now), self.losses, waited, led)
        if placement is not None:
            state.placement.CopyFrom(placement)
            log_event(
                "placement",
                epoch=placement.epoch,
                current=[member.node for member in placement.current],
                next=[member.node for member in placement.next],
            )
        voting_nodes = {voter.node for voter in replica.voters}
        if not complete_retirements(state, voting_nodes) and placement is None:
            return
        _, effects = replica.propose(now, state.SerializeToString())
        self.host.apply(effects)

    def _propose_voters(self, now: float, voters: list[Member]) -> None:
        replica = self.replica
        if all(voter.replica_id != replica.me.replica_id for voter in voters):
            self.host.apply(replica.transfer())  # another one removes this replica
            return
        log_event("voters", replicas=[voter.replica_id for voter in voters])
        _, effects = replica.propose(now, replica.entry.data, voters)
        self.host.apply(effects)

    def _next_voters(self, now: float, state: ControlState) -> list[Member] | None:
        replica = self.replica
        described = self._described_voters()
        if described is not None:
            return described
        newest = entry_position(replica.entry)
        candidates = [
            Candidate(learner, replica.progress[i].on_disk == newest)
            for i, learner in replica.learners.items()
            if i in replica.progress and now - replica.progress[i].last_reply_at < CANDIDATE_SECONDS
        ]
        leaving = {retirement.node for retirement in state.retirements if not retirement.completed}
        leaving |= self._presences.leaving_controllers(now)
        target = 2 * self.losses + 1
        return next_voters(
            replica.me.replica_id, replica.voters, candidates, self._unheard(now), target, leaving
        )

    def _unheard(self, now: float) -> dict[str, float]:
        """For how long each other voter has not answered; at most since this replica leads."""
        replica = self.replica
        led_since = self._led_since(now)
        return {
            voter.replica_id: now - max(replica.progress[voter.replica_id].last_reply_at, led_since)
            for voter in replica.voters
            if voter.replica_id in replica.progress
        }

    def _led_since(self, now: float) -> float:
        """When this replica was first seen to lead in its term."""
        if self._led_term != self.replica.term:
            self._led_term, self._led_at = self.replica.term, now
        return self._led_at

    def _described_voters(self) -> list[Member] | None:
        """The voters with node and zone, where those were not known when they were added."""
        described = []
        changed = False
        for voter in self.replica.voters:
            presence = self._presences.get(voter.replica_id)
            member = self.replica.me if voter.replica_id == self.replica.me.replica_id else voter
            if presence is not None and not member.node:
                member = member_of(presence)
            changed |= member.node != voter.node
            described.append(member)
        return described if changed else None

    # The operator's orders

    async def submit(self, command: Command) -> Outcome:
        """Have a command applied by this controller as the leader. Raises NoLeaderError."""
        return await self.commands.submit(command)

    async def leader_address(self) -> str:
        """Where the leader is; empty where none is known in time."""
        replica = self.replica

        def known() -> bool:
            recent = replica.staleness(self.host.now()) < RECENT_QUORUM_SECONDS
            return recent and (replica.state is State.LEADER or replica.leader is not None)

        if not await self.host.wait_until(known, LEADER_WAIT_SECONDS):
            return ""
        if replica.state is State.LEADER:
            return replica.me.address
        return replica.leader.address if replica.leader is not None else ""

    async def forward(self, address: str, request: OperatorRequest) -> OperatorReply:
        """Pass an order on to the leader. Raises Unreachable: then it is unclear what became of it."""
        envelope = Envelope(operator_request=request)
        reply = await self.peers.to(address).call(envelope, FORWARD_SECONDS)
        return reply.operator_reply

    async def _answer_forwarded(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        reply = await self.on_order(envelope.operator_request)
        connection.send(Envelope(call=envelope.call, reply=True, operator_reply=reply))

    async def on_order(self, request: OperatorRequest) -> OperatorReply:
        """Replaced by the API, which knows what orders there are; until then there is no clear answer."""
        return OperatorReply(status=503)

    def retirement_needs(self) -> int:
        """Storage machines that have to be left after a retirement."""
        return 2 * self.losses + 1

    # For subscribers and for people

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(SUBSCRIBER_HEARTBEAT_SECONDS)
            self.subscribers.heartbeat()

    def status(self) -> dict[str, object]:
        """What an operator wants to see of this controller."""
        replica = self.replica
        now = self.host.now()
        state = self.subscribers.published.state
        return {
            "node": self.settings.node,
            "replica": replica.me.replica_id,
            "state": replica.state.value,
            "term": replica.term,
            "leader": replica.leader.address if replica.leader is not None else None,
            "silence_s": round(replica.staleness(now), 3),
            "committed": list(self.host.committed_position),
            "voters": [
                {"replica": v.replica_id, "node": v.node, "address": v.address} for v in replica.voters
            ],
            "generation": state.generation,
            "list_version": replica.soft_version,
            "storage_epoch": state.placement.epoch,
            "storage": [m.node for m in state.placement.current],
            "storage_next": [m.node for m in state.placement.next],
            "subscribers": [
                {"node": p.node, "applied": [p.applied_term, p.applied_index]}
                for p in self.subscribers.presences()
            ],
        }
