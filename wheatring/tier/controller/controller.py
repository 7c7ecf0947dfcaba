"""A controller: its consensus replica, command queue, membership management and subscribers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.consensus.types import State
from wheatring.tier.controller.command_queue import LEADER_WAIT_SECONDS, CommandQueue
from wheatring.tier.controller.commands import Command, Outcome
from wheatring.tier.controller.consensus_host import (
    CONSENSUS_MESSAGES,
    QUORUM_CONTACT_TIMEOUT_SECONDS,
    ConsensusHost,
)
from wheatring.tier.controller.endpoint_list_poller import EndpointListPoller
from wheatring.tier.controller.membership_manager import MembershipManager
from wheatring.tier.discovery.platform_list import EndpointListReader
from wheatring.tier.event_log import log_event
from wheatring.tier.subscription.server import SUBSCRIBER_HEARTBEAT_SECONDS, Subscribers
from wheatring.tier.transport.connection import EnvelopeConnection
from wheatring.tier.transport.messages_pb2 import Envelope, OperatorReply, OperatorRequest
from wheatring.tier.transport.server import EnvelopeServer

FORWARD_TIMEOUT_SECONDS = 0.8  # for the leader's reply to a forwarded request
VOTE_HANDOVER_SECONDS = 0.6  # a voter that shuts down waits up to this time for another one to replace it
# The interval of announcements of a shutdown, which is also the time for the last one to be sent.
LEAVE_ANNOUNCE_SECONDS = 0.15

OperatorHandler = Callable[[OperatorRequest], Awaitable[OperatorReply]]


async def _reply_unavailable(_request: OperatorRequest) -> OperatorReply:
    """Reply 503 to a request that is forwarded before the API is loaded."""
    return OperatorReply(status=503)


class Controller:
    """Owns all state of a controller process."""

    def __init__(self, settings: Settings, random: Random, reader: EndpointListReader | None) -> None:
        """Read the consensus file and create the components.

        Parameters
        ----------
        settings
            The settings of the process; the attribute is replaced when they are reloaded.
        random
            The source of randomized election time-outs.
        reader
            Reads the platform's endpoint list; None if the platform has none.

        Raises
        ------
        DiskError
            The consensus file cannot be read or created.
        """
        self.settings = settings
        self.losses = settings.tolerance.losses
        self.host = ConsensusHost(settings, random, self._publish)
        self.replica = self.host.replica
        self.peers = self.host.peers
        self.commands = CommandQueue(self.host)
        self.subscribers = Subscribers(lambda: self.replica.staleness(self.host.now()))
        self.server = EnvelopeServer(self._on_envelope, self.subscribers.remove)
        self._poller = (
            EndpointListPoller(self.host, reader, settings.drain_seconds) if reader is not None else None
        )
        self._membership = MembershipManager(
            self.host, self.losses, lambda: self.settings, lambda: self.commands.is_empty
        )
        self._operator_handler: OperatorHandler = _reply_unavailable
        self._reply_tasks: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []

    # Lifecycle

    async def start(self) -> None:
        """Listen and start to take part in the consensus. Raises OSError."""
        await self.server.listen(self.settings.ip, self.settings.controller_port)
        log_event("controller-started", replica=self.replica.me.replica_id, term=self.replica.term)
        coroutines = [self.commands.run(), self._membership.run(), self._send_heartbeats()]
        if self._poller is not None:
            coroutines.append(self._poller.run())
        self._tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        self.host.start()

    async def stop(self) -> None:
        """Hand over the leadership and the vote to another replica if possible, and redirect subscribers."""
        if self.replica.state is State.LEADER:
            self.host.apply(self.replica.transfer())
        self.subscribers.stop()
        deadline = self.host.now() + VOTE_HANDOVER_SECONDS
        while self.replica.is_voter and self.host.now() < deadline:
            self._membership.announce_leaving()
            await asyncio.sleep(LEAVE_ANNOUNCE_SECONDS)
        for task in self._tasks:
            task.cancel()
        self.server.close()
        self.peers.close()

    async def wait_for_leader(self, seconds: float) -> None:
        """Wait until a leader is known, for at most `seconds`."""
        await self.host.wait_for_leader(seconds)

    def _publish(self) -> None:
        """Send newly committed state and a new endpoint list to the subscribers."""
        replica = self.replica
        if replica.committed is not None and self.subscribers.publish_state(replica.committed):
            self._membership.wake()
        if replica.soft_version and replica.soft_state:
            self.subscribers.publish_list(replica.soft_version, replica.soft_state)

    # Envelopes

    def _on_envelope(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        kind = envelope.WhichOneof("body")
        if kind in CONSENSUS_MESSAGES:
            self.host.receive(getattr(envelope, kind))
        elif kind == "presence":
            self._membership.handle_presence(envelope.presence)
            self.subscribers.update_presence(connection, envelope.presence)
        elif kind == "subscribe":
            self._membership.handle_presence(envelope.subscribe.presence)
            self.subscribers.add(connection, envelope.subscribe)
        elif kind == "operator_request":
            reply = asyncio.create_task(self._reply_to_forwarded_request(connection, envelope))
            self._reply_tasks.add(reply)
            reply.add_done_callback(self._reply_tasks.discard)

    # Operator requests

    def set_operator_handler(self, handler: OperatorHandler) -> None:
        """Set the handler of requests that other controllers forward to this one as the leader."""
        self._operator_handler = handler

    async def submit(self, command: Command) -> Outcome:
        """Apply a command on this controller as the leader. Raises NoLeaderError."""
        return await self.commands.submit(command)

    async def leader_address(self) -> str:
        """Return the leader's IP address; empty if no leader with a quorum is known in time."""
        replica = self.replica

        def is_known() -> bool:
            """Return whether a leader is known that had recent contact with a quorum."""
            is_recent = replica.staleness(self.host.now()) < QUORUM_CONTACT_TIMEOUT_SECONDS
            return is_recent and (replica.state is State.LEADER or replica.leader is not None)

        if not await self.host.wait_until(is_known, LEADER_WAIT_SECONDS):
            return ""
        if replica.state is State.LEADER:
            return replica.me.address
        return replica.leader.address if replica.leader is not None else ""

    async def forward(self, address: str, request: OperatorRequest) -> OperatorReply:
        """Forward a request to the leader. Raises PeerUnreachableError if the outcome is indeterminate."""
        envelope = Envelope(operator_request=request)
        reply = await self.peers.client_for(address).call(envelope, FORWARD_TIMEOUT_SECONDS)
        return reply.operator_reply

    async def _reply_to_forwarded_request(self, connection: EnvelopeConnection, envelope: Envelope) -> None:
        reply = await self._operator_handler(envelope.operator_request)
        connection.send(Envelope(call=envelope.call, reply=True, operator_reply=reply))

    def min_storage_machines(self) -> int:
        """Return the number of storage machines that must remain after a retirement."""
        return 2 * self.losses + 1

    # Subscribers and status

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(SUBSCRIBER_HEARTBEAT_SECONDS)
            self.subscribers.heartbeat()

    def status(self) -> dict[str, object]:
        """Return the status of the system as this controller sees it, for operators and tools."""
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
                {"replica": voter.replica_id, "node": voter.node, "address": voter.address}
                for voter in replica.voters
            ],
            "generation": state.generation,
            "list_version": replica.soft_version,
            "storage_epoch": state.placement.epoch,
            "storage": [member.node for member in state.placement.current],
            "storage_next": [member.node for member in state.placement.next],
            "subscribers": [
                {"node": presence.node, "applied": [presence.applied_term, presence.applied_index]}
                for presence in self.subscribers.presences()
            ],
        }
