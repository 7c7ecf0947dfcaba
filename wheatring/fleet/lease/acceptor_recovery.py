"""Recovers the state of a register's acceptor after a restart. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.register_acceptor import RegisterAcceptor
from wheatring.fleet.lease.register_learner import RegisterLearner
from wheatring.fleet.lease.register_messages import AcceptorState
from wheatring.fleet.members.messages import MemberInfo

MAX_RECOVERY_LEASES = 4  # lease lengths after which recovery ends even if some voters have not answered
MAX_RECOVERY_PEERS = 40  # the most members that a recovering acceptor queries at once


class AcceptorRecovery:
    """Keeps an acceptor from answering after a start until it has learned what it may have accepted before.

    Recovery takes at least one lease, and continues until all other voters have reported their state, but at
    most for `MAX_RECOVERY_LEASES`. `known_peers` returns members to query in addition to those that
    membership knows; None means that they are not known yet, and recovery waits for them.
    """

    def __init__(
        self, at: Instant, fleet: Fleet, learner: RegisterLearner, acceptor: RegisterAcceptor
    ) -> None:
        self.fleet = fleet
        self.learner = learner
        self.acceptor = acceptor
        self.known_peers: Callable[[], Sequence[MemberInfo] | None] = lambda: ()
        self.has_known_peers = False
        self.started_boot = at.boot
        self.recovered_from: set[str] = set()  # voters that have reported their state since the start
        self.due = at.now  # the time at which `tick` next has work to do

    def tick(self, at: Instant) -> list[Outgoing]:
        """End the recovery if enough voters have answered, otherwise query them again."""
        if self.acceptor.has_recovered or at.now < self.due:
            return []
        timing = self.fleet.timing
        others = set(self.fleet.voters.names) - set(self.fleet.electorate.voter_names(self.fleet.me))
        elapsed = at.boot - self.started_boot
        has_heard_all = self.has_known_peers and others <= self.recovered_from
        is_over = has_heard_all or elapsed >= MAX_RECOVERY_LEASES * timing.lease_seconds
        if elapsed >= timing.abstain_seconds and is_over:
            self.acceptor.has_recovered = True
            self.due = inf
            return []
        self.due = at.now + timing.lease_seconds / 6
        if not self.fleet.electorate.is_voter():
            return []
        return self._query_all(sorted(others))

    def handle_state(self, names: list[str], message: AcceptorState) -> None:
        """Adopt what another voter has promised and accepted; `names` are the voter's names."""
        if not self.acceptor.has_recovered:
            self.recovered_from.update(names)
            self.acceptor.merge_state(message)

    def _query_all(self, voters: list[str]) -> list[Outgoing]:
        """Query the other voters for their state, and a sample of members for the newest chosen entry."""
        message = self.learner.newest_query(wants_accepted=True)
        peers = self.known_peers()
        self.has_known_peers = peers is not None
        known = {member.name: member for member in [*(peers or ()), *self.fleet.members.alive_members()]}
        known.pop(self.fleet.me.name, None)
        sample = self.fleet.random.sample(list(known.values()), min(MAX_RECOVERY_PEERS, len(known)))
        return self.fleet.electorate.to_voters([(name, message) for name in voters]) + [
            ((member.host, member.port), message) for member in sample
        ]
