"""Maintains learners, voters and the storage placement, and announces this controller to the leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.consensus.types import NEVER_SECONDS, State, entry_position
from wheatring.tier.controller.consensus_host import ConsensusHost
from wheatring.tier.controller.presence_table import PresenceChange, PresenceTable, member_of
from wheatring.tier.controller.storage_membership import complete_retirements, next_placement
from wheatring.tier.controller.voter_selection import Candidate, next_voters
from wheatring.tier.event_log import log_event
from wheatring.tier.transport.messages_pb2 import ROLE_CONTROLLER, ControlState, Envelope, Member, Presence

MAINTENANCE_SECONDS = 0.1  # between two checks of members and voters
ANNOUNCE_SECONDS = 0.3  # between two presences of a controller to the leader
LEADERLESS_SECONDS = 0.4  # without a leader, after which a controller announces itself to all that it knows
LEARNER_REPLY_SECONDS = 1.0  # within which a learner has to have answered, to be given a vote


class MembershipManager:
    """Keeps a controller's table of presences, and proposes changes of the members while it leads."""

    def __init__(
        self,
        host: ConsensusHost,
        losses: int,
        settings: Callable[[], Settings],
        is_queue_empty: Callable[[], bool],
    ) -> None:
        """Set the manager up.

        Parameters
        ----------
        host
            The replica that proposes, and the connections to the other controllers.
        losses
            How many machines may be lost at one time.
        settings
            Gives the newest settings.
        is_queue_empty
            Tells whether no command of the operator waits; commands go first.
        """
        self._host = host
        self._replica = host.replica
        self._peers = host.peers
        self._losses = losses
        self._settings = settings
        self._is_queue_empty = is_queue_empty
        self._presences = PresenceTable()
        self._wake = asyncio.Event()
        self._leaving = False
        self._led_term = -1
        self._led_at = 0.0

    def wake(self) -> None:
        """Check at once: what was decided may ask for more."""
        self._wake.set()

    def handle_presence(self, presence: Presence) -> None:
        """Take in a presence message, and forward it to the leader where it is new."""
        now = self._host.now()
        change = self._presences.update(presence, now)
        if change is not PresenceChange.NONE:
            self._forward_presences(now)
        if change is PresenceChange.CHANGE:
            self._wake.set()

    async def run(self) -> None:
        """Maintain the members for as long as the process runs."""
        announced_at = NEVER_SECONDS
        while True:
            now = self._host.now()
            self._presences.expire(now)
            self._forward_presences(now)
            if now - announced_at > ANNOUNCE_SECONDS:
                announced_at = now
                self._announce(now)
            if self._replica.state is State.LEADER:
                self._update_learners(now)
                if self._replica.can_propose and self._is_queue_empty():
                    self._propose_members(now)
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        """Wait until a process is new or has changed, or the next check is due."""
        try:
            async with asyncio.timeout(MAINTENANCE_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    # Presence of this controller, and of others that the leader has to hear of

    def announce_leaving(self) -> None:
        """Announce that this controller is about to shut down, so that its vote is given to another one."""
        self._leaving = True
        self._announce(self._host.now())

    def _own_presence(self) -> Presence:
        me = self._replica.me
        return Presence(
            role=ROLE_CONTROLLER,
            replica_id=me.replica_id,
            node=me.node,
            address=me.address,
            zone=me.zone,
            leaving=self._leaving,
        )

    def _announce(self, now: float) -> None:
        """Send this controller's presence to the leader, or to all known controllers if there is none."""
        replica = self._replica
        if replica.state is State.LEADER:
            return
        envelope = Envelope(presence=self._own_presence())
        if replica.leader is not None and now - replica.leader_contact_at < LEADERLESS_SECONDS:
            self._peers.client_for(replica.leader.address).send(envelope)
            return
        settings = self._settings()
        hosts = {seed.host for seed in settings.seeds} | {voter.address for voter in replica.members}
        for host in sorted(hosts - {settings.ip}):
            self._peers.client_for(host).send(envelope)

    def _forward_presences(self, now: float) -> None:
        """Forward to the leader what other processes have sent to this controller."""
        replica = self._replica
        if replica.state is State.LEADER or replica.leader is None:
            return
        for presence in self._presences.due_for_forwarding(now):
            self._peers.client_for(replica.leader.address).send(Envelope(presence=presence))

    # The leader's side

    def _update_learners(self, now: float) -> None:
        """Have controllers without a vote receive entries."""
        replica = self._replica
        voter_ids = {voter.replica_id for voter in replica.members} | {replica.me.replica_id}
        controllers = self._presences.controllers(now)
        learners = {i: member for i, member in controllers.items() if i not in voter_ids}
        if learners.keys() != replica.learners.keys():
            replica.set_learners(learners)

    def _propose_members(self, now: float) -> None:
        """Propose the next change of voters, placement or retirements, if there is one."""
        replica = self._replica
        assert replica.committed is not None
        state = ControlState.FromString(replica.committed.data)
        voters = self._next_voters(now, state)
        if voters is not None:
            self._propose_voters(now, voters)
            return
        waited_seconds = self._presences.storage_known_for(now)
        leader_seconds = now - self._led_since(now)
        reports = self._presences.storage(now)
        placement = next_placement(state, reports, self._losses, waited_seconds, leader_seconds)
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
        self._host.apply(effects)

    def _propose_voters(self, now: float, voters: list[Member]) -> None:
        replica = self._replica
        if all(voter.replica_id != replica.me.replica_id for voter in voters):
            self._host.apply(replica.transfer())  # another leader removes this replica
            return
        log_event("voters", replicas=[voter.replica_id for voter in voters])
        _, effects = replica.propose(now, replica.entry.data, voters)
        self._host.apply(effects)

    def _next_voters(self, now: float, state: ControlState) -> list[Member] | None:
        replica = self._replica
        described = self._described_voters()
        if described is not None:
            return described
        newest = entry_position(replica.entry)
        candidates = [
            Candidate(learner, replica.progress[i].synced_position == newest)
            for i, learner in replica.learners.items()
            if i in replica.progress and now - replica.progress[i].last_reply_at < LEARNER_REPLY_SECONDS
        ]
        leaving = {retirement.node for retirement in state.retirements if not retirement.completed}
        leaving |= self._presences.leaving_controllers(now)
        unheard = self._unheard_seconds(now)
        target = 2 * self._losses + 1
        return next_voters(replica.me.replica_id, replica.voters, candidates, unheard, target, leaving)

    def _unheard_seconds(self, now: float) -> dict[str, float]:
        """Return for how long each other voter has not answered, at most since this replica leads."""
        replica = self._replica
        led_since = self._led_since(now)
        return {
            voter.replica_id: now - max(replica.progress[voter.replica_id].last_reply_at, led_since)
            for voter in replica.voters
            if voter.replica_id in replica.progress
        }

    def _led_since(self, now: float) -> float:
        """Return when this replica was first seen to lead in its term."""
        if self._led_term != self._replica.term:
            self._led_term, self._led_at = self._replica.term, now
        return self._led_at

    def _described_voters(self) -> list[Member] | None:
        """Return the voters with node and zone, where those were not known when they were added."""
        described = []
        is_changed = False
        me = self._replica.me
        for voter in self._replica.voters:
            presence = self._presences.get(voter.replica_id)
            member = me if voter.replica_id == me.replica_id else voter
            if presence is not None and not member.node:
                member = member_of(presence)
            is_changed |= member.node != voter.node
            described.append(member)
        return described if is_changed else None
