"""The acceptor of a replicated register: promises epochs, and accepts entries of leaders. No I/O."""

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

FETCH_INTERVAL_SECONDS = 0.5  # until a payload is asked for again


class RegisterAcceptor:
    """What one sidecar has promised and accepted of a register, in memory only.

    `has_recovered` is False after a start, until `AcceptorRecovery` has found out what it may have accepted
    before: it must not answer out of what it has forgotten.
    """

    def __init__(self, name: str, fleet: Fleet, learner: RegisterLearner) -> None:
        self.name = name
        self.fleet = fleet
        self.learner = learner
        self.promised_epoch = 0
        self.accepted = NO_ENTRY
        self.has_recovered = False

    def note_applied(self, entry: Entry) -> None:
        """Take note of an entry that was applied: what is chosen counts as accepted.

        Acceptors that all started anew each know it, and none of them had accepted it.
        """
        if entry.rank > self.accepted.rank:
            self.accepted = entry
            self._pin_accepted()

    def note_state(self, message: AcceptorState) -> None:
        """Take over what another acceptor has promised and accepted, where it is higher."""
        self.promised_epoch = max(self.promised_epoch, message.promised_epoch)
        self.accepted = max(self.accepted, message.entry, key=lambda entry: entry.rank)

    def state(self, epoch: int) -> AcceptorState:
        """Return what it has promised and accepted, as the answer to a request of `epoch`."""
        return AcceptorState(self.name, epoch, self.accepted, self.promised_epoch)

    def handle_leader_request(
        self, at: Instant, address: Address, message: RegisterPrepare | RegisterAccept
    ) -> list[Outgoing]:
        """Promise the epoch of a request and accept its entry, unless a higher epoch is promised."""
        if not self.fleet.electorate.is_voter() or message.voters_digest != self.fleet.voters.digest:
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
        return [(address, self.state(message.epoch))]

    def _pin_accepted(self) -> None:
        # The purpose is named as it was before: it shows in nothing but this process's memory.
        self.fleet.payloads.pin(f"{self.name}/kept", self.accepted.digest)

    def _has_payload(self, at: Instant, address: Address, entry: Entry) -> bool:
        """Return whether an entry's payload is here, and fetch it if not.

        What is chosen must not be a digest whose payload only a lost leader had.
        """
        if entry.inline_payload:
            self.fleet.payloads.put(entry.inline_payload)
        if self.fleet.payloads.get(entry.digest) is not None:
            return True
        if at.now >= self.learner.last_fetch + FETCH_INTERVAL_SECONDS:
            self.learner.fetch(at, address, entry)
        return False
