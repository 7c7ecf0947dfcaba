"""Maintains the learners, the voters and the storage placement, and announces this controller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.consensus.types import NEVER_SECONDS, State, entry_position
from wheatring.tier.controller.consensus_host import ConsensusHost
from wheatring.tier.controller.presence_table import PresenceChange, PresenceTable, member_from_presence
from wheatring.tier.controller.storage_membership import complete_retirements, next_placement
from wheatring.tier.controller.voter_selection import Candidate, next_voters
from wheatring.tier.event_log import log_event
from wheatring.tier.transport.messages_pb2 import ROLE_CONTROLLER, ControlState, Envelope, Member, Presence

MAINTENANCE_INTERVAL_SECONDS = 0.1
ANNOUNCE_INTERVAL_SECONDS = 0.3
# Without contact with a leader for this time, a controller announces itself to all known controllers.
LEADER_CONTACT_TIMEOUT_SECONDS = 0.4
# A learner can become a voter only if its last reply is more recent than this.
LEARNER_REPLY_MAX_AGE_SECONDS = 1.0


class MembershipManager:
    """Owns the presence table of a controller, and proposes membership changes while it leads."""

    def __init__(
        self,
        host: ConsensusHost,
        losses: int,
        settings: Callable[[], Settings],
        is_queue_empty: Callable[[], bool],
    ) -> None:
        """Initialize the manager.

        Parameters
        ----------
        host
            Runs the replica that proposes changes, and has the connections to the other controllers.
        losses
            The number of simultaneous losses of voters, or of storage members, to tolerate.
        settings
            Returns the current settings.
        is_queue_empty
            Returns whether no operator command is pending; commands take precedence over membership changes.
        """
        self._host = host
        self._replica = host.replica
        self._peers = host.peers
        self._losses = losses
        self._settings = settings
        self._is_queue_empty = is_queue_empty
        self._presence_table = PresenceTable()
        self._wake = asyncio.Event()
        self._leaving = False
        self._leadership_term = -1
        self._leadership_seen_at = 0.0

    def wake(self) -> None:
        """Run the next check immediately, since a committed change may require a further one."""
        self._wake.set()

    def handle_presence(self, presence: Presence) -> None:
        """Record a presence message, and forward it to the leader if it is new."""
        now = self._host.now()
        change = self._presence_table.update(presence, now)
        if change is not PresenceChange.NONE:
            self._forward_presences(now)
        if change is PresenceChange.CHANGE:
            self._wake.set()

    async def run(self) -> None:
        """Maintain the membership until cancelled."""
        announced_at = NEVER_SECONDS
        while True:
            now = self._host.now()
            self._presence_table.expire(now)
            self._forward_presences(now)
            if now - announced_at > ANNOUNCE_INTERVAL_SECONDS:
                announced_at = now
                self._announce(now)
            if self._replica.state is State.LEADER:
                self._update_learners(now)
                if self._replica.can_propose and self._is_queue_empty():
                    self._propose_next_change(now)
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        """Wait until a process is added or changes, or the next check is due."""
        try:
            async with asyncio.timeout(MAINTENANCE_INTERVAL_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            return
        self._wake.clear()

    # Presence messages to the leader

    def announce_leaving(self) -> None:
        """Announce that this controller is about to shut down, so that another one replaces it as a voter."""
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
        """Send this controller's presence to the leader, or to all known controllers without one."""
        replica = self._replica
        if replica.state is State.LEADER:
            return
        envelope = Envelope(presence=self._own_presence())
        if replica.leader is not None and now - replica.leader_contact_at < LEADER_CONTACT_TIMEOUT_SECONDS:
            self._peers.client_for(replica.leader.address).send(envelope)
            return
        settings = self._settings()
        hosts = {seed.host for seed in settings.seeds} | {voter.address for voter in replica.members}
        for host in sorted(hosts - {settings.ip}):
            self._peers.client_for(host).send(envelope)

    def _forward_presences(self, now: float) -> None:
        """Forward the presence messages of other processes to the leader."""
        replica = self._replica
        if replica.state is State.LEADER or replica.leader is None:
            return
        for presence in self._presence_table.due_for_forwarding(now):
            self._peers.client_for(replica.leader.address).send(Envelope(presence=presence))

    # Leader only

    def _update_learners(self, now: float) -> None:
        """Make the controllers without a vote learners, so that they receive entries."""
        replica = self._replica
        voter_ids = {voter.replica_id for voter in replica.members} | {replica.me.replica_id}
        controllers = self._presence_table.controllers(now)
        learners = {i: member for i, member in controllers.items() if i not in voter_ids}
        if learners.keys() != replica.learners.keys():
            replica.set_learners(learners)

    def _propose_next_change(self, now: float) -> None:
        """Propose the next change of voters, placement or retirements, if there is one."""
        replica = self._replica
        assert replica.committed is not None
        state = ControlState.FromString(replica.committed.data)
        voters = self._next_voters(now, state)
        if voters is not None:
            self._propose_voters(now, voters)
            return
        bootstrap_seconds = self._presence_table.seconds_since_first_storage_replica(now)
        leadership_seconds = now - self._leader_since(now)
        reports = self._presence_table.storage_reports(now)
        placement = next_placement(state, reports, self._losses, bootstrap_seconds, leadership_seconds)
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
            self._host.apply(replica.transfer())  # the new leader removes this replica
            return
        log_event("voters", replicas=[voter.replica_id for voter in voters])
        _, effects = replica.propose(now, replica.entry.data, voters)
        self._host.apply(effects)

    def _next_voters(self, now: float, state: ControlState) -> list[Member] | None:
        replica = self._replica
        located = self._voters_with_location()
        if located is not None:
            return located
        newest = entry_position(replica.entry)
        candidates = [
            Candidate(learner, replica.progress[i].synced_position == newest)
            for i, learner in replica.learners.items()
            if i in replica.progress
            and now - replica.progress[i].last_reply_at < LEARNER_REPLY_MAX_AGE_SECONDS
        ]
        leaving = {retirement.node for retirement in state.retirements if not retirement.completed}
        leaving |= self._presence_table.leaving_controllers(now)
        seconds_since_contact = self._seconds_since_contact(now)
        target = 2 * self._losses + 1
        return next_voters(
            replica.me.replica_id, replica.voters, candidates, seconds_since_contact, target, leaving
        )

    def _seconds_since_contact(self, now: float) -> dict[str, float]:
        """Return the time since the last reply of each other voter, at most the time of leadership."""
        replica = self._replica
        leader_since = self._leader_since(now)
        return {
            voter.replica_id: now - max(replica.progress[voter.replica_id].last_reply_at, leader_since)
            for voter in replica.voters
            if voter.replica_id in replica.progress
        }

    def _leader_since(self, now: float) -> float:
        """Return when this replica was first observed as the leader of its term."""
        if self._leadership_term != self._replica.term:
            self._leadership_term, self._leadership_seen_at = self._replica.term, now
        return self._leadership_seen_at

    def _voters_with_location(self) -> list[Member] | None:
        """Return the voters with node and zone, if some of these were unknown when the voter was added."""
        located = []
        is_changed = False
        me = self._replica.me
        for voter in self._replica.voters:
            presence = self._presence_table.get(voter.replica_id)
            member = me if voter.replica_id == me.replica_id else voter
            if presence is not None and not member.node:
                member = member_from_presence(presence)
            is_changed |= member.node != voter.node
            located.append(member)
        return located if is_changed else None
