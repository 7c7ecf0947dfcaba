"""Messages on replicated registers: numbered sequences of entries, kept by the voters, led by one leader.

All are encoded as msgpack arrays: their tags and the order of their fields are the wire format.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class Entry(NamedTuple):
    """One entry of a register. Under one number only one digest is ever chosen."""

    number: int
    epoch: int  # of the leader that proposed it
    digest: bytes
    size_bytes: int = 0  # of the payload that the digest stands for
    inline_payload: bytes = b""  # the payload itself, where it is small
    put_at_ms: int = 0  # Unix time by the fleet's clock when it was first proposed; 0: not known

    @property
    def rank(self) -> tuple[int, int]:
        """Epoch and number: of two accepted entries the higher in rank is the one to propose again."""
        return self.epoch, self.number

    @property
    def version(self) -> tuple[int, int]:
        """Number and epoch: of two chosen entries the higher in version is the newer."""
        return self.number, self.epoch


NO_ENTRY = Entry(0, 0, b"")
RECOVERY_EPOCH = -1  # in the answer to an acceptor that recovers after its start
MAX_INLINE_BYTES = 900  # of a payload that travels with its entry


class RegisterMessageBase(Struct, frozen=True, array_like=True, tag_field="w"):
    """What all messages on a register are about."""

    register: str
    epoch: int


class RegisterPrepare(RegisterMessageBase, frozen=True, tag="which"):
    """Leader to acceptor: promise to accept nothing of a lower epoch, and report what is accepted."""

    voters_digest: int


class RegisterAccept(RegisterMessageBase, frozen=True, tag="put"):
    """Leader to acceptor: accept this entry."""

    voters_digest: int
    entry: Entry


class AcceptorState(RegisterMessageBase, frozen=True, tag="kept"):
    """Acceptor's answer: the entry it has accepted, and the epoch it has promised.

    A `promised_epoch` above the asker's says that another one leads. An `epoch` of `RECOVERY_EPOCH`
    answers an acceptor that recovers after its start.
    """

    entry: Entry
    promised_epoch: int
    recovering_seconds: float = 0.0  # for which it answers nothing yet, as it has just started


class EntryChosen(RegisterMessageBase, frozen=True, tag="chosen"):
    """To all members: a majority of the voters has accepted the entry."""

    entry: Entry
    to: tuple[str, ...] = ()  # members to whom the receiver relays it


class NewestQuery(RegisterMessageBase, frozen=True, tag="newest"):
    """To any member: send the newest chosen entry, if it is above `number`."""

    number: int
    wants_accepted: bool = False  # from an acceptor that recovers: send what is accepted, too


RegisterMessage = RegisterPrepare | RegisterAccept | AcceptorState | EntryChosen | NewestQuery
