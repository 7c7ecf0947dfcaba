"""The learner of a replicated register: tracks the chosen entry and fetches its payload. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.payloads import FetchRequest
from wheatring.fleet.lease.register_messages import NO_ENTRY, Entry, EntryChosen, NewestQuery
from wheatring.fleet.members.messages import Address

FETCH_RETRY_SECONDS = 0.3  # the mean delay before a failed fetch of a payload is retried
SYNC_INTERVAL_SECONDS = 5.0  # the mean time between two queries for the newest entry
OnChosen = Callable[[Instant, Entry, bytes], list[Outgoing]]


class RegisterLearner:
    """Learns the newest chosen entry of one register, and applies it once its payload is available.

    `on_chosen` is called with each applied entry and its payload. `chosen` is the newest chosen entry known,
    `applied` the newest one whose payload is stored here. A learner never goes back to an entry of a lower
    version.
    """

    def __init__(self, at: Instant, name: str, fleet: Fleet, on_chosen: OnChosen) -> None:
        self.name = name
        self.fleet = fleet
        self.on_chosen = on_chosen
        self.chosen = self.applied = NO_ENTRY
        self.next_sync = at.now + SYNC_INTERVAL_SECONDS * fleet.random.random()
        self.last_fetch = -inf  # when a payload was last requested
        self.payload_source: Address = ("", 0)  # the member that has the payload of the newest entry
        self.next_fetch_retry = inf
        # Relayed only once the payload is stored here, so that the receivers can fetch it from this member.
        self.pending_relay: EntryChosen | None = None

    @property
    def due(self) -> float:
        """The time at which `tick` next has work to do."""
        return min(self.next_sync, self.next_fetch_retry)

    def tick(self, at: Instant) -> list[Outgoing]:
        """Query for a newer entry and retry a failed fetch, if these are due."""
        out: list[Outgoing] = []
        if at.now >= self.next_sync:
            out += self._sync(at)
        if at.now >= self.next_fetch_retry:
            out += self._retry_fetch(at)
        return out

    def newest_query(self, wants_accepted: bool = False) -> NewestQuery:
        """Return the query for an entry newer than the one applied here."""
        return NewestQuery(self.name, self.applied.epoch, self.applied.number, wants_accepted)

    def chosen_announcement(self) -> EntryChosen:
        """Return the announcement of the newest applied entry."""
        return EntryChosen(self.name, self.applied.epoch, self.applied)

    def learn(self, at: Instant, address: Address, entry: Entry) -> list[Outgoing]:
        """Record a chosen entry unless a newer one is known; `address` is a member that has its payload."""
        if entry.version < self.chosen.version or self.applied == entry:
            return []
        self.chosen = entry
        self.payload_source = address
        if entry.inline_payload:
            self.fleet.payloads.put(entry.inline_payload)
        return self._apply_chosen(at)

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None) -> list[Outgoing]:
        """Handle the result of a fetch: apply the chosen entry if this is its payload."""
        if digest != self.chosen.digest or self.applied == self.chosen:
            return []
        if payload is not None:
            return self._apply_chosen(at)
        self._schedule_fetch_retry(at)
        return []

    def fetch(self, at: Instant, source: Address, entry: Entry) -> None:
        """Request an entry's payload from a member."""
        self.last_fetch = at.now
        self.fleet.fetch_requests.append(FetchRequest(source, entry.digest))

    def _apply_chosen(self, at: Instant) -> list[Outgoing]:
        """Apply the chosen entry if its payload is stored here; otherwise fetch the payload."""
        payload = self.fleet.payloads.get(self.chosen.digest)
        if payload is None:
            self.next_fetch_retry = inf  # no retry until the result of this fetch is known
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
        """Ask a random member for a newer entry."""
        self.next_sync = at.now + SYNC_INTERVAL_SECONDS * (0.75 + self.fleet.random.random() / 2)
        return self._query_random_member()

    def _retry_fetch(self, at: Instant) -> list[Outgoing]:
        """Fetch again a payload that its source did not have.

        The source may have it by now. A random member is also asked for the newest entry: a member that
        announces an entry has its payload.
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
