"""Messages about replicated registers: numbered sequences of entries, accepted by voters under one leader.

All are encoded as msgpack arrays: their tags and the order of their fields are the wire format.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class Entry(NamedTuple):
    """One entry of a register. At most one digest is ever chosen for a number."""

    number: int
    epoch: int  # the epoch of the leader that proposed it
    digest: bytes
    size_bytes: int = 0  # the size of the payload
    inline_payload: bytes = b""  # the payload itself if it is small, else empty
    put_at_ms: int = 0  # Unix time on the fleet's clock when it was first proposed; 0: unknown

    @property
    def rank(self) -> tuple[int, int]:
        """Epoch and number: a new leader proposes again the accepted entry of the highest rank."""
        return self.epoch, self.number

    @property
    def version(self) -> tuple[int, int]:
        """Number and epoch: of two chosen entries, the one with the higher version is newer."""
        return self.number, self.epoch


NO_ENTRY = Entry(0, 0, b"")
RECOVERY_EPOCH = -1  # the epoch in responses to an acceptor that recovers after a restart
MAX_INLINE_BYTES = 900  # the largest payload that is sent within its entry


class RegisterMessageBase(Struct, frozen=True, array_like=True, tag_field="w"):
    """The common fields of all messages about a register."""

    register: str
    epoch: int


class RegisterPrepare(RegisterMessageBase, frozen=True, tag="which"):
    """Leader to acceptor: promise not to accept entries of a lower epoch, and report the accepted entry."""

    voters_digest: int


class RegisterAccept(RegisterMessageBase, frozen=True, tag="put"):
    """Leader to acceptor: accept this entry."""

    voters_digest: int
    entry: Entry


class AcceptorState(RegisterMessageBase, frozen=True, tag="kept"):
    """The acceptor's response: the entry that it has accepted and the epoch that it has promised.

    A `promised_epoch` above the requester's epoch means that there is a newer leader. An `epoch` of
    `RECOVERY_EPOCH` marks the response to an acceptor that recovers after a restart.
    """

    entry: Entry
    promised_epoch: int
    # Above 0 if the acceptor is recovering and has promised nothing: retry after this time.
    recovering_seconds: float = 0.0


class EntryChosen(RegisterMessageBase, frozen=True, tag="chosen"):
    """To all members: a majority of the voters has accepted the entry."""

    entry: Entry
    to: tuple[str, ...] = ()  # members to which the receiver relays the message


class NewestQuery(RegisterMessageBase, frozen=True, tag="newest"):
    """To any member: send the newest chosen entry if it is newer than `number` and `epoch`."""

    number: int
    wants_accepted: bool = False  # set by a recovering acceptor: also send the acceptor's state


RegisterMessage = RegisterPrepare | RegisterAccept | AcceptorState | EntryChosen | NewestQuery
