"""The acceptor of a replicated register: promises epochs and accepts entries. Performs no I/O."""

from __future__ import annotations

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.register_learner import RegisterLearner
from wheatring.fleet.lease.register_messages import (
    NO_ENTRY,
    AcceptorState,
    Entry,
    RegisterAccept,
    RegisterPrepare,
)
from wheatring.fleet.members.messages import Address

FETCH_INTERVAL_SECONDS = 0.5  # the minimum time between two requests for a payload


class RegisterAcceptor:
    """What one sidecar has promised and accepted in a register, in memory only.

    `has_recovered` is False after a start until `AcceptorRecovery` has learned what this voter may have
    accepted before the restart. Until then the acceptor must not promise or accept anything, because its
    memory of earlier promises is lost.
    """

    def __init__(self, name: str, fleet: Fleet, learner: RegisterLearner) -> None:
        self.name = name
        self.fleet = fleet
        self.learner = learner
        self.promised_epoch = 0
        self.accepted = NO_ENTRY
        self.has_recovered = False

    def record_applied(self, entry: Entry) -> None:
        """Record an applied entry as accepted.

        If all acceptors restart together, they may each learn a chosen entry from other members although
        none of them remembers accepting it.
        """
        if entry.rank > self.accepted.rank:
            self.accepted = entry
            self._pin_accepted()

    def merge_state(self, message: AcceptorState) -> None:
        """Adopt another acceptor's promised epoch and accepted entry if they are higher."""
        self.promised_epoch = max(self.promised_epoch, message.promised_epoch)
        self.accepted = max(self.accepted, message.entry, key=lambda entry: entry.rank)

    def state(self, epoch: int) -> AcceptorState:
        """Return the promised epoch and the accepted entry, as the response to a request of `epoch`."""
        return AcceptorState(self.name, epoch, self.accepted, self.promised_epoch)

    def handle_leader_request(
        self, at: Instant, address: Address, message: RegisterPrepare | RegisterAccept
    ) -> list[Outgoing]:
        """Promise the epoch of a request and accept its entry, unless a higher epoch has been promised."""
        if not self.fleet.electorate.is_voter() or message.voters_digest != self.fleet.voters.digest:
            return []
        if not self.has_recovered:
            wait = self.fleet.timing.lease_seconds / 6
            return [(address, AcceptorState(self.name, message.epoch, NO_ENTRY, 0, wait))]
        if message.epoch >= self.promised_epoch:
            self.promised_epoch = message.epoch
            if isinstance(message, RegisterAccept) and message.entry.rank >= self.accepted.rank:
                if not self._has_payload(at, address, message.entry):
                    return []  # the leader retransmits the request until the payload has arrived
                self.accepted = message.entry
                self._pin_accepted()
        return [(address, self.state(message.epoch))]

    def _pin_accepted(self) -> None:
        # The purpose is only a key in this process's memory.
        self.fleet.payloads.pin(f"{self.name}/kept", self.accepted.digest)

    def _has_payload(self, at: Instant, address: Address, entry: Entry) -> bool:
        """Return whether an entry's payload is stored here, and fetch it if not.

        Otherwise an entry could be chosen whose payload is lost if its leader fails.
        """
        if entry.inline_payload:
            self.fleet.payloads.put(entry.inline_payload)
        if self.fleet.payloads.get(entry.digest) is not None:
            return True
        if at.now >= self.learner.last_fetch + FETCH_INTERVAL_SECONDS:
            self.learner.fetch(at, address, entry)
        return False
