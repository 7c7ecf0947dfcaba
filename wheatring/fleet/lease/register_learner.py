"""The learner of a replicated register: which entry is chosen, and whether its payload is here. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.payloads import FetchRequest
from wheatring.fleet.lease.register_messages import NO_ENTRY, Entry, EntryChosen, NewestQuery
from wheatring.fleet.members.messages import Address

FETCH_RETRY_SECONDS = 0.3  # from a payload that wasn't there to the next attempt
SYNC_INTERVAL_SECONDS = 5.0  # from one query for the newest entry to the next
OnChosen = Callable[[Instant, Entry, bytes], list[Outgoing]]


class RegisterLearner:
    """Learns the newest chosen entry of one register, and applies it once its payload is here.

    `on_chosen` is called with each entry that is applied, and its payload. `chosen` is the newest known,
    `applied` the newest whose payload is here too. A learner never goes from one chosen entry to one of a
    lower version.
    """

    def __init__(self, at: Instant, name: str, fleet: Fleet, on_chosen: OnChosen) -> None:
        self.name = name
        self.fleet = fleet
        self.on_chosen = on_chosen
        self.chosen = self.applied = NO_ENTRY
        self.next_sync = at.now + SYNC_INTERVAL_SECONDS * fleet.random.random()
        self.last_fetch = -inf  # when a payload was last asked for,
        self.payload_source: Address = ("", 0)  # and who has that of the newest entry
        self.next_fetch_retry = inf  # when the next attempt for it is
        self.pending_relay: EntryChosen | None = None  # relayed once the payload is here for who asks for it

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        return min(self.next_sync, self.next_fetch_retry)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Ask for what is newer, and fetch again what could not be fetched."""
        out: list[Outgoing] = []
        if at.now >= self.next_sync:
            out += self._sync(at)
        if at.now >= self.next_fetch_retry:
            out += self._retry_fetch(at)
        return out

    def newest_query(self, wants_accepted: bool = False) -> NewestQuery:
        """Return the query for what is newer than what is applied here."""
        return NewestQuery(self.name, self.applied.epoch, self.applied.number, wants_accepted)

    def chosen_announcement(self) -> EntryChosen:
        """Return the announcement of the newest applied entry, for one who has not heard of it."""
        return EntryChosen(self.name, self.applied.epoch, self.applied)

    def learn(self, at: Instant, address: Address, entry: Entry) -> list[Outgoing]:
        """Take note of an entry that is known chosen, and of who has its payload."""
        if entry.version < self.chosen.version or self.applied == entry:
            return []
        self.chosen = entry
        self.payload_source = address
        if entry.inline_payload:
            self.fleet.payloads.put(entry.inline_payload)
        return self._apply_chosen(at)

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None) -> list[Outgoing]:
        """Handle a fetched payload: apply the chosen entry if this is its."""
        if digest != self.chosen.digest or self.applied == self.chosen:
            return []
        if payload is not None:
            return self._apply_chosen(at)
        self._schedule_fetch_retry(at)
        return []

    def fetch(self, at: Instant, source: Address, entry: Entry) -> None:
        """Ask a member for an entry's payload."""
        self.last_fetch = at.now
        self.fleet.fetch_requests.append(FetchRequest(source, entry.digest))

    def _apply_chosen(self, at: Instant) -> list[Outgoing]:
        """Apply the chosen entry, if its payload is here; else fetch that."""
        payload = self.fleet.payloads.get(self.chosen.digest)
        if payload is None:
            self.next_fetch_retry = inf  # until it is known what comes of this
            self.fetch(at, self.payload_source, self.chosen)
            return []
        self.applied, self.next_fetch_retry = self.chosen, inf
        self.fleet.payloads.pin(self.name, self.applied.digest)
        pending, self.pending_relay = self.pending_relay, None
        out = self.on_chosen(at, self.applied, payload)
        if pending is not None and pending.entry == self.applied:
            out = out + self.fleet.relay(pending)
        return out

    def handle_chosen(self, at: Instant, address: Address, message: EntryChosen) -> list[Outgoing]:
        """Learn an announced entry, and relay the announcement once the entry is applied."""
        out = self.learn(at, address, message.entry)
        if not message.to:
            return out
        if self.applied.number >= message.entry.number:
            return out + self.fleet.relay(message)
        self.pending_relay = message
        return out

    def _sync(self, at: Instant) -> list[Outgoing]:
        """Ask some member for what is newer."""
        self.next_sync = at.now + SYNC_INTERVAL_SECONDS * (0.75 + self.fleet.random.random() / 2)
        return self._query_random_member()

    def _retry_fetch(self, at: Instant) -> list[Outgoing]:
        """Fetch again a payload that its source did not have.

        Whoever announces the entry once more has it; who announced it first may have it by now.
        """
        self._schedule_fetch_retry(at)
        self.fleet.fetch_requests.append(FetchRequest(self.payload_source, self.chosen.digest))
        return self._query_random_member()

    def _schedule_fetch_retry(self, at: Instant) -> None:
        self.next_fetch_retry = at.now + FETCH_RETRY_SECONDS * (0.5 + self.fleet.random.random())

    def _query_random_member(self) -> list[Outgoing]:
        own = self.fleet.me.name
        others = [member for member in self.fleet.members.alive_members() if member.name != own]
        if not others:
            return []
        member = self.fleet.random.choice(others)
        return [((member.host, member.port), self.newest_query())]
