"""A register: one numbered sequence of entries, the same for all. Voters keep, the holder of `lead` puts.

States of a leader's term, all of it lost with the term:

    ASKING   asks the voters what they keep; a majority answers -> PUTTING what was found, READY if nothing
    PUTTING  puts one entry to the voters; a majority keeps it  -> READY, and the entry is chosen
    READY    the next entry may be put

Only `tick` moves in and out of a term, only answers to this epoch move within it. What must never hold:

- two digests chosen under one number: a voter keeps nothing of an epoch below one that it has promised, and a
  leader first puts again the highest that a majority has told;
- an entry chosen whose body nobody has: a voter keeps it only once it holds the body;
- a voter that answers out of what it has forgotten: one that starts says nothing for a term, and until all
  other voters have told what they keep, `LONG` terms at most;
- a sidecar that goes from one chosen entry to one of a lower number, or of the same and a lower epoch.

Single-decree Paxos for each number, with the epochs of terms for ballots. No I/O, clock or chance of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from enum import Enum
from math import inf
from typing import get_args

from wheatring.lease.fleet import Fleet, Instant, Outgoing
from wheatring.lease.messages import (
    MAX_INLINE_BYTES,
    NO_ENTRY,
    AcceptorState,
    Entry,
    EntryChosen,
    NewestQuery,
    RegisterAccept,
    RegisterMessage,
    RegisterPrepare,
)
from wheatring.lease.payloads import FetchRequest
from wheatring.members.membership import Address
from wheatring.members.messages import MemberInfo

LEADER_ROLE = "lead"  # the duty whose holder leads all registers
MAX_RECOVERY_LEASES = (
    4  # terms after which a voter that started speaks, though it has not heard all the others
)
FETCH_RETRY_SECONDS = 0.3  # seconds from a body that could not be had to the next try
BROADCASTS, BROADCAST_INTERVAL_SECONDS = (
    3,
    0.4,
)  # how often a leader spreads what is chosen, each time by other ways; seconds between
SYNC_INTERVAL_SECONDS = 5.0  # seconds from one question after what is newest to the next
MAX_RECOVERY_PEERS = 40  # members that a voter which started asks at once
FETCH_INTERVAL_SECONDS = 0.5  # seconds until a body is asked for again


class Phase(Enum):
    PREPARING = "asking"
    ACCEPTING = "putting"
    READY = "ready"


class ReplicatedRegister:
    """`chosen_now` is called with each entry that this sidecar comes to know chosen *and* whose body it has.
    `chosen` is the newest known, `have` the newest of which the body is there too.
    """

    message_types = get_args(RegisterMessage)

    def __init__(
        self,
        at: Instant,
        name: str,
        fleet: Fleet,
        on_chosen: Callable[[Instant, Entry, bytes], list[Outgoing]],
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.on_chosen = on_chosen
        self.audience: Callable[[], Collection[str] | None] = lambda: None  # whom to tell, of those there are
        self.chosen = self.applied = NO_ENTRY
        self.timestamp_ms: Callable[[Instant], int] = lambda at: 0  # what a new entry says of its time
        # As a voter. `met`: whom one that started asks besides those it holds for there; None: not known
        # yet, and it waits until they are asked.
        self.known_peers: Callable[[], Sequence[MemberInfo] | None] = lambda: ()
        self.has_known_peers = False
        self.promised_epoch = 0
        self.accepted = NO_ENTRY
        self.started_boot = at.boot
        self.has_recovered = False
        self.recovered_from: set[str] = set()  # other voters that have told what they keep, since the start
        # As a leader
        self.epoch: int | None = None
        self.phase = Phase.PREPARING
        self.highest_accepted = NO_ENTRY
        self.pending = NO_ENTRY
        self.acknowledged_by: set[str] = set()
        self.next_retransmit = inf
        self.broadcasts_left, self.next_broadcast = 0, inf
        self.next_sync = at.now + SYNC_INTERVAL_SECONDS * fleet.random.random()
        self.next_recovery = at.now
        self.last_fetch = -inf  # when a body was last asked for,
        self.payload_source: Address = ("", 0)  # and who has that of the newest entry
        self.next_fetch_retry = inf  # when the next try for it is
        self.pending_relay: EntryChosen | None = (
            None  # to be passed on, once the body is here for who asks for it
        )

    # What it is asked

    @property
    def is_ready(self) -> bool:
        """Whether it leads, and the next entry may be put."""
        return self.epoch is not None and self.phase is Phase.READY

    @property
    def is_settled(self) -> bool:
        """Whether it leads, nothing is being chosen, and it goes by what is."""
        return self.is_ready and self.applied == self.chosen

    def put(self, at: Instant, payload: bytes, number: int | None = None) -> list[Outgoing]:
        """Put a body as the next entry, which is to have that number. ValueError where it is not its turn."""
        if not self.is_ready or number not in (None, self.chosen.number + 1):
            raise ValueError(f"{self.name}: not ready for entry {number}")
        assert self.epoch is not None
        key = self.fleet.payloads.put(payload)
        inline = payload if len(payload) <= MAX_INLINE_BYTES else b""
        return self._start_accepting(
            at, Entry(self.chosen.number + 1, self.epoch, key, len(payload), inline, self.timestamp_ms(at))
        )

    # Time

    @property
    def due(self) -> float:
        held = self.fleet.roles[LEADER_ROLE].held_lease
        if (None if held is None else held.epoch) != self.epoch:
            return -inf
        return min(
            self.next_retransmit,
            self.next_sync,
            self.next_recovery,
            self.next_fetch_retry,
            self.next_broadcast,
        )

    def tick(self, at: Instant) -> list[Outgoing]:
        out = self._recover(at)
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        if epoch != self.epoch:
            self.epoch = epoch
            self.phase = Phase.PREPARING
            self.highest_accepted, self.pending, self.acknowledged_by = self.chosen, NO_ENTRY, set()
            self.next_retransmit = inf if epoch is None else at.now
            self.next_broadcast = inf
        if at.now >= self.next_retransmit:
            out += self._send_requests(at)
        if at.now >= self.next_sync:
            self.next_sync = at.now + SYNC_INTERVAL_SECONDS * (0.75 + self.fleet.random.random() / 2)
            others = [who for who in self.fleet.members.alive_members() if who.name != self.fleet.me.name]
            if others:
                who = self.fleet.random.choice(others)
                out.append(((who.host, who.port), self.newest_query()))
        if at.now >= self.next_fetch_retry:
            out += self._retry_fetch(at)
        if at.now >= self.next_broadcast:
            out += self._broadcast_chosen(at)
        return out

    def _broadcast_chosen(self, at: Instant) -> list[Outgoing]:
        """Some of those who are to pass it on may have died just now: so not once."""
        self.broadcasts_left -= 1
        self.next_broadcast = at.now + BROADCAST_INTERVAL_SECONDS if self.broadcasts_left else inf
        return self.fleet.broadcast(self.chosen_announcement(), self.audience())

    def newest_query(self, wants_accepted: bool = False) -> NewestQuery:
        """The question after what is newer than what it has."""
        return NewestQuery(self.name, self.applied.epoch, self.applied.number, wants_accepted)

    def chosen_announcement(self) -> EntryChosen:
        """What it knows chosen, for one who has not heard of it."""
        return EntryChosen(self.name, self.applied.epoch, self.applied)

    def _send_requests(self, at: Instant) -> list[Outgoing]:
        """Ask, or put, once more to those voters that have not answered."""
        assert self.epoch is not None
        self.next_retransmit = at.now + self.fleet.timing.retransmit_seconds
        digest = self.fleet.voters.digest
        word: RegisterPrepare | RegisterAccept = RegisterPrepare(self.name, self.epoch, digest)
        if self.phase is Phase.ACCEPTING:
            word = RegisterAccept(self.name, self.epoch, digest, self.pending)
        return self.fleet.to_voters(
            [(name, word) for name in self.fleet.voters.names if name not in self.acknowledged_by]
        )

    def _start_accepting(self, at: Instant, entry: Entry) -> list[Outgoing]:
        self.phase, self.pending, self.acknowledged_by = Phase.ACCEPTING, entry, set()
        return self._send_requests(at)

    # Words

    def receive(self, at: Instant, sender: str, address: Address, word: RegisterMessage) -> list[Outgoing]:
        if word.register != self.name:
            return []
        match word:
            case RegisterPrepare() | RegisterAccept():
                return self._on_leader_request(at, address, word)
            case AcceptorState():
                return self._on_acceptor_state(at, sender, address, word)
            case EntryChosen():
                return self._on_chosen(at, address, word)
            case NewestQuery():
                return self._on_newest_query(address, word)

    def _on_chosen(self, at: Instant, address: Address, word: EntryChosen) -> list[Outgoing]:
        out = self.learn(at, address, word.entry)
        if not word.to:
            return out
        if self.applied.number >= word.entry.number:
            return out + self.fleet.relay(word)
        self.pending_relay = word
        return out

    def _on_newest_query(self, address: Address, word: NewestQuery) -> list[Outgoing]:
        out: list[Outgoing] = []
        if (self.applied.number, self.applied.epoch) > (word.number, word.epoch):
            out.append((address, self.chosen_announcement()))
        if word.wants_accepted and self.fleet.is_voter():
            out.append((address, AcceptorState(self.name, -1, self.accepted, self.promised_epoch)))
        return out

    # The voter

    def _recover(self, at: Instant) -> list[Outgoing]:
        """One that has started finds out what it may have kept before."""
        if self.has_recovered or at.now < self.next_recovery:
            return []
        terms, others = (
            self.fleet.timing,
            set(self.fleet.voters.names) - set(self.fleet.voter_names(self.fleet.me)),
        )
        since, heard = at.boot - self.started_boot, self.has_known_peers and others <= self.recovered_from
        if since >= terms.abstain_seconds and (heard or since >= MAX_RECOVERY_LEASES * terms.lease_seconds):
            self.has_recovered = True
            self.next_recovery = inf
            return []
        self.next_recovery = at.now + terms.lease_seconds / 6
        if not self.fleet.is_voter():
            return []
        word = self.newest_query(True)
        met = self.known_peers()
        self.has_known_peers = met is not None
        there = {who.name: who for who in [*(met or ()), *self.fleet.members.alive_members()]}
        there.pop(self.fleet.me.name, None)
        chosen = self.fleet.random.sample(list(there.values()), min(MAX_RECOVERY_PEERS, len(there)))
        return self.fleet.to_voters([(name, word) for name in sorted(others)]) + [
            ((who.host, who.port), word) for who in chosen
        ]

    def _on_leader_request(
        self, at: Instant, address: Address, word: RegisterPrepare | RegisterAccept
    ) -> list[Outgoing]:
        if not self.fleet.is_voter() or word.voters_digest != self.fleet.voters.digest:
            return []
        if not self.has_recovered:
            return [
                (
                    address,
                    AcceptorState(self.name, word.epoch, NO_ENTRY, 0, self.fleet.timing.lease_seconds / 6),
                )
            ]
        if word.epoch >= self.promised_epoch:
            self.promised_epoch = word.epoch
            if isinstance(word, RegisterAccept) and word.entry[1::-1] >= self.accepted[1::-1]:
                if not self._has_payload(at, address, word.entry):
                    return []  # it is put again meanwhile
                self.accepted = word.entry
                self.fleet.payloads.pin(f"{self.name}/kept", word.entry.digest)
        return [(address, AcceptorState(self.name, word.epoch, self.accepted, self.promised_epoch))]

    def _has_payload(self, at: Instant, address: Address, entry: Entry) -> bool:
        """Whether the body is here: what is chosen must not be a digest whose body only a lost leader had."""
        if entry.inline_payload:
            self.fleet.payloads.put(entry.inline_payload)
        if self.fleet.payloads.get(entry.digest) is not None:
            return True
        if at.now >= self.last_fetch + FETCH_INTERVAL_SECONDS:
            self.last_fetch = at.now
            self.fleet.fetch_requests.append(FetchRequest(address, entry.digest))
        return False

    # The leader

    def _on_acceptor_state(
        self, at: Instant, sender: str, address: Address, word: AcceptorState
    ) -> list[Outgoing]:
        names = [name for name in self.fleet.voter_names_of_sender(sender) if name in self.fleet.voters.names]
        if not names:
            return []
        if word.epoch == -1:  # told to one that started
            if not self.has_recovered:
                self.recovered_from.update(names)
                self.promised_epoch = max(self.promised_epoch, word.promised_epoch)
                self.accepted = max(self.accepted, word.entry, key=lambda entry: entry[1::-1])
            return []
        if word.epoch != self.epoch or word.recovering_seconds or word.promised_epoch != self.epoch:
            return []
        if self.phase is Phase.PREPARING:
            self.highest_accepted = max(self.highest_accepted, word.entry, key=lambda entry: entry[1::-1])
        elif self.phase is not Phase.ACCEPTING or word.entry != self.pending:
            return []
        self.acknowledged_by.update(names)
        if not self.fleet.voters.has_majority(self.acknowledged_by):
            return []
        if self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot) != self.epoch:
            return []  # a term that has ended meanwhile: whoever follows finds it
        if self.phase is Phase.PREPARING:
            return self._finish_preparing(at)
        self.phase, self.next_retransmit = Phase.READY, inf
        # First it goes by the entry itself, so that who asks it for more finds it there.
        out = self.learn(at, address, self.pending)
        self.broadcasts_left = BROADCASTS
        return out + self._broadcast_chosen(at)

    def _finish_preparing(self, at: Instant) -> list[Outgoing]:
        assert self.epoch is not None
        if (
            self.chosen.number > self.highest_accepted.number
        ):  # a majority has forgotten what this one knows chosen
            self.highest_accepted = self.chosen
        if self.highest_accepted == NO_ENTRY:
            self.phase, self.next_retransmit = Phase.READY, inf
            return []
        return self._start_accepting(at, self.highest_accepted._replace(epoch=self.epoch))

    # What is chosen

    def learn(self, at: Instant, address: Address, entry: Entry) -> list[Outgoing]:
        """An entry that is known chosen, and who has its body."""
        if (entry.number, entry.epoch) < (self.chosen.number, self.chosen.epoch) or self.applied == entry:
            return []
        self.chosen = entry
        self.payload_source = address
        if entry.inline_payload:
            self.fleet.payloads.put(entry.inline_payload)
        return self._apply_chosen(at)

    def _apply_chosen(self, at: Instant) -> list[Outgoing]:
        """Go by what is chosen, if its body is there."""
        body = self.fleet.payloads.get(self.chosen.digest)
        if body is None:
            self.last_fetch = at.now
            self.next_fetch_retry = inf  # until it is known what comes of this
            self.fleet.fetch_requests.append(FetchRequest(self.payload_source, self.chosen.digest))
            return []
        self.applied, self.next_fetch_retry = self.chosen, inf
        self.fleet.payloads.pin(self.name, self.applied.digest)
        if self.applied[1::-1] > self.accepted[1::-1]:
            # What is chosen counts as kept: voters that all started anew each know it, and none kept it.
            self.accepted = self.applied
            self.fleet.payloads.pin(f"{self.name}/kept", self.applied.digest)
        owed, self.pending_relay = self.pending_relay, None
        out = self.on_chosen(at, self.applied, body)
        return out + (self.fleet.relay(owed) if owed is not None and owed.entry == self.applied else [])

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        if digest != self.chosen.digest or self.applied == self.chosen:
            return []
        if body is not None:
            return self._apply_chosen(at)
        self.next_fetch_retry = at.now + FETCH_RETRY_SECONDS * (0.5 + self.fleet.random.random())
        return []

    def _retry_fetch(self, at: Instant) -> list[Outgoing]:
        """It was not to be had where it was said to be. Who says once more that it is chosen has it; whoever
        said so first may have it by now.
        """
        self.next_fetch_retry = at.now + FETCH_RETRY_SECONDS * (0.5 + self.fleet.random.random())
        self.fleet.fetch_requests.append(FetchRequest(self.payload_source, self.chosen.digest))
        others = [who for who in self.fleet.members.alive_members() if who.name != self.fleet.me.name]
        if not others:
            return []
        who = self.fleet.random.choice(others)
        return [((who.host, who.port), self.newest_query())]
