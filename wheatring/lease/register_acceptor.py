"""The acceptor of a replicated register: promises epochs, accepts entries, recovers after a start. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import inf

from wheatring.lease.component import Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.payloads import FetchRequest
from wheatring.lease.register_learner import OnChosen, RegisterLearner
from wheatring.lease.register_messages import (
    NO_ENTRY,
    AcceptorState,
    Entry,
    NewestQuery,
    RegisterAccept,
    RegisterPrepare,
)
from wheatring.members.messages import Address, MemberInfo

MAX_RECOVERY_LEASES = 4  # lease lengths after which an acceptor answers though it has not heard all others
MAX_RECOVERY_PEERS = 40  # members that an acceptor which started asks at once
FETCH_INTERVAL_SECONDS = 0.5  # until a payload is asked for again


class RegisterAcceptor(RegisterLearner):
    """Accepts entries of the leaders of a register, where this sidecar votes.

    Its state is in memory only. After a start it answers nothing for a lease's length, and until all other
    voters have told what they have accepted, `MAX_RECOVERY_LEASES` at most: it must not answer out of what it
    has forgotten.
    """

    def __init__(self, at: Instant, name: str, fleet: Fleet, on_chosen: OnChosen) -> None:
        super().__init__(at, name, fleet, on_chosen)
        # Members to ask after a start besides those that this process has heard of; None: they aren't known
        # yet, and it waits until they are.
        self.known_peers: Callable[[], Sequence[MemberInfo] | None] = lambda: ()
        self.has_known_peers = False
        self.promised_epoch = 0
        self.accepted = NO_ENTRY
        self.started_boot = at.boot
        self.has_recovered = False
        self.recovered_from: set[str] = set()  # voters that have told what they accepted, since the start
        self.next_recovery = at.now

    def _on_applied(self) -> None:
        if self.applied.rank > self.accepted.rank:
            # What is chosen counts as accepted: acceptors that all started anew each know it, and none of
            # them had accepted it.
            self.accepted = self.applied
            self._pin_accepted()

    def _pin_accepted(self) -> None:
        # The purpose is named as it was before: it shows in nothing but this process's memory.
        self.fleet.payloads.pin(f"{self.name}/kept", self.accepted.digest)

    # Recovery after a start

    def _recover(self, at: Instant) -> list[Outgoing]:
        """Find out, after a start, what it may have accepted before."""
        if self.has_recovered or at.now < self.next_recovery:
            return []
        timing = self.fleet.timing
        others = set(self.fleet.voters.names) - set(self.fleet.voter_names(self.fleet.me))
        elapsed = at.boot - self.started_boot
        has_heard_all = self.has_known_peers and others <= self.recovered_from
        is_over = has_heard_all or elapsed >= MAX_RECOVERY_LEASES * timing.lease_seconds
        if elapsed >= timing.abstain_seconds and is_over:
            self.has_recovered = True
            self.next_recovery = inf
            return []
        self.next_recovery = at.now + timing.lease_seconds / 6
        if not self.fleet.is_voter():
            return []
        return self._query_all(sorted(others))

    def _query_all(self, voters: list[str]) -> list[Outgoing]:
        """Ask the other voters what they have accepted, and some members what is chosen."""
        message = self.newest_query(wants_accepted=True)
        peers = self.known_peers()
        self.has_known_peers = peers is not None
        known = {member.name: member for member in [*(peers or ()), *self.fleet.members.alive_members()]}
        known.pop(self.fleet.me.name, None)
        sample = self.fleet.random.sample(list(known.values()), min(MAX_RECOVERY_PEERS, len(known)))
        return self.fleet.to_voters([(name, message) for name in voters]) + [
            ((member.host, member.port), message) for member in sample
        ]

    def _recover_from(self, names: list[str], message: AcceptorState) -> None:
        """Take note of what another voter has promised and accepted."""
        if not self.has_recovered:
            self.recovered_from.update(names)
            self.promised_epoch = max(self.promised_epoch, message.promised_epoch)
            self.accepted = max(self.accepted, message.entry, key=lambda entry: entry.rank)

    # Requests

    def _on_newest_query(self, address: Address, message: NewestQuery) -> list[Outgoing]:
        out: list[Outgoing] = []
        if self.applied.version > (message.number, message.epoch):
            out.append((address, self.chosen_announcement()))
        if message.wants_accepted and self.fleet.is_voter():
            out.append((address, AcceptorState(self.name, -1, self.accepted, self.promised_epoch)))
        return out

    def _on_leader_request(
        self, at: Instant, address: Address, message: RegisterPrepare | RegisterAccept
    ) -> list[Outgoing]:
        if not self.fleet.is_voter() or message.voters_digest != self.fleet.voters.digest:
            return []
        if not self.has_recovered:
            wait = self.fleet.timing.lease_seconds / 6
            return [(address, AcceptorState(self.name, message.epoch, NO_ENTRY, 0, wait))]
        if message.epoch >= self.promised_epoch:
            self.promised_epoch = message.epoch
            if isinstance(message, RegisterAccept) and message.entry.rank >= self.accepted.rank:
                if not self._has_payload(at, address, message.entry):
                    return []  # the leader sends it again meanwhile
                self.accepted = message.entry
                self._pin_accepted()
        return [(address, AcceptorState(self.name, message.epoch, self.accepted, self.promised_epoch))]

    def _has_payload(self, at: Instant, address: Address, entry: Entry) -> bool:
        """Return whether an entry's payload is here, and fetch it if not.

        What is chosen must not be a digest whose payload only a lost leader had.
        """
        if entry.inline_payload:
            self.fleet.payloads.put(entry.inline_payload)
        if self.fleet.payloads.get(entry.digest) is not None:
            return True
        if at.now >= self.last_fetch + FETCH_INTERVAL_SECONDS:
            self.last_fetch = at.now
            self.fleet.fetch_requests.append(FetchRequest(address, entry.digest))
        return False
