"""Messages between proposers and acceptors of leases. Durations travel, instants don't: clocks differ.

All are encoded as msgpack arrays: their tags and the order of their fields are the wire format.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from msgspec import Struct


class ProposalNumber(NamedTuple):
    """The number of a proposal (Paxos' ballot), made unique by the process that proposes."""

    number: int
    proposer: str
    incarnation: int  # of the proposer's process: one that starts anew is another proposer

    @property
    def process(self) -> tuple[str, int]:
        """The proposing process: its name and incarnation."""
        return self.proposer, self.incarnation


NO_PROPOSAL = ProposalNumber(0, "", 0)


class LeaseMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    """What all messages on a lease are about.

    `round` tells answers to one round of a proposal from late ones to an earlier round.
    """

    lease: str
    proposal: ProposalNumber
    round: int


class Prepare(LeaseMessage, frozen=True, tag="ask"):
    """Proposer to acceptor: promise to accept nothing of a lower proposal."""

    voters_digest: int  # of the voters that the proposer goes by


class Propose(LeaseMessage, frozen=True, tag="claim"):
    """Proposer to acceptor: accept this lease."""

    voters_digest: int
    epoch: int
    lease_seconds: float
    is_renewal: bool = False  # a majority has granted it before, and this is to extend it


class Release(LeaseMessage, frozen=True, tag="release"):
    """Holder to acceptor: the lease is given back."""

    voters_digest: int


class Promise(LeaseMessage, frozen=True, tag="promise"):
    """Acceptor to proposer: the answer to `Prepare`."""

    epoch: int  # the highest that the acceptor knows of: a new lease's has to be higher


class Accepted(LeaseMessage, frozen=True, tag="grant"):
    """Acceptor to proposer: the lease is granted."""


class Rejection(LeaseMessage, frozen=True, tag="refusal"):
    """Acceptor to proposer: neither promised nor granted."""

    reason: Literal["held", "passed", "starting", "voters"]
    retry_after_seconds: float = 0.0
    promised_number: int = 0  # "passed": the number of the proposal that was promised
    holder: ProposalNumber = NO_PROPOSAL  # "held": the holder's proposal,
    epoch: int = 0  # and the epoch of its lease


AcceptorRequest = Prepare | Propose | Release
AcceptorResponse = Promise | Accepted | Rejection


class LeaseReleased(Struct, frozen=True, array_like=True, tag_field="w", tag="free"):
    """Last holder to the candidates: the lease is free, and `next_holder` is to take it.

    It only says when to ask: whether the lease is free is for the acceptors.
    """

    lease: str
    epoch: int
    next_holder: str = ""


class Heartbeat(Struct, frozen=True, array_like=True, tag_field="w", tag="beat"):
    """Holder of the role `list` to all members: how new its endpoint list is."""

    role: str
    epoch: int
    sequence: int
    generation: int
    withdrawn: tuple[str, ...] = ()  # nodes that drain or have left by that list
    age_seconds: float = 0.0  # since the list had this generation
    to: tuple[str, ...] = ()  # members to whom the receiver relays it
