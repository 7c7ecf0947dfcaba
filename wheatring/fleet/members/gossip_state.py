"""One member's state of the gossip protocol: what it knows and what it sends. No I/O; `now` is monotonic."""

from __future__ import annotations

from collections.abc import Collection
from math import inf

from wheatring.fleet.members.facts import FactStore
from wheatring.fleet.members.local_health import LocalHealth
from wheatring.fleet.members.member_table import MemberRecord, MemberStatus, MemberTable
from wheatring.fleet.members.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Address,
    Fact,
    GossipMessage,
    MemberInfo,
    MemberUpdate,
)
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.members.update_queue import UpdateQueue


class GossipState:
    """Applies the updates and facts of received messages, and provides those to piggyback on its own.

    `changed_names` holds the members whose state has changed since the caller last emptied it, `new_facts`
    the facts received since then. Only facts with the given keys are kept.
    """

    def __init__(
        self,
        me: MemberInfo,
        incarnation: int,
        timing: SwimTiming,
        keys: Collection[str] = (),
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.timing = timing
        self.table = MemberTable()
        self.updates = UpdateQueue()
        self.health = LocalHealth()
        self.facts = FactStore(keys)
        self.changed_names: list[str] = []
        self.new_facts: list[Fact] = []
        self.has_left = False
        self.suspects: set[str] = set()
        self.updates.add(self.own_update())

    # Known members

    def statuses(self, now: float) -> list[MemberStatus]:
        """Return the state of all members, including this one, sorted by tier, number and name."""
        round_seconds = self.timing.probe_interval_seconds * (len(self.table.records) + 1)
        statuses = [MemberStatus(self.me, LEFT if self.has_left else ALIVE, 0.0, 1.0)]
        for record in self.table.records.values():
            confidence = _confidence(record, now, round_seconds)
            statuses.append(MemberStatus(record.member, record.state, record.since, confidence))
        return sorted(
            statuses, key=lambda status: (status.member.tier, status.member.number, status.member.name)
        )

    def alive_members(self) -> list[MemberInfo]:
        """Return the members of this tier that are alive, including this one unless it has left."""
        members = [record.member for record in self.table.records.values() if record.state == ALIVE]
        if not self.has_left:
            members.append(self.me)
        same_tier = (member for member in members if member.tier == self.me.tier)
        return sorted(same_tier, key=lambda member: (member.number, member.name))

    def address(self, name: str) -> Address | None:
        """Return a member's address; None if it is unknown or this member itself."""
        record = self.table.records.get(name)
        return record.address if record is not None else None

    # Received messages

    def apply_piggyback(self, now: float, message: GossipMessage) -> None:
        """Apply the updates and facts piggybacked on a message."""
        limit = self._transmit_limit()
        for update in message.updates:
            if not self._apply(now, update):
                self.updates.count_duplicate(update, limit)
        self.new_facts += [fact for fact in message.facts if self.facts.apply(fact)]

    def record_answer(self, now: float, name: str) -> None:
        """Record that a member has answered this one, with a message of any type."""
        if (record := self.table.records.get(name)) is not None:
            record.last_answer = now

    def suspect(self, now: float, name: str) -> None:
        """Suspect a member that does not answer this one."""
        record = self.table.records.get(name)
        if record is not None and record.is_present:
            self._apply(now, MemberUpdate(record.member, record.incarnation, SUSPECT, self.me.name))

    def _apply(self, now: float, update: MemberUpdate) -> bool:
        """Apply an update; return whether it changed anything."""
        name = update.member.name
        if name == self.me.name:
            return self._refute(update)
        applied = self.table.apply(now, update)
        if applied is None:
            return False
        record = applied.record
        if record.state == SUSPECT:
            members = self.table.present_count() + 1
            seconds = self.timing.suspicion_seconds(members, len(record.sources) - 1)
            record.suspicion_ends = record.since + seconds
            self.suspects.add(name)
        else:
            self.suspects.discard(name)
        self.updates.add(record.as_update(update.source))
        if applied.is_state_change:
            self.changed_names.append(name)
        if applied.is_new_incarnation:
            self.facts.restart_transmission()
        return True

    def _refute(self, update: MemberUpdate) -> bool:
        """Refute an update about this member with a higher incarnation; return whether that was needed."""
        is_current = update.incarnation == self.incarnation and update.state == ALIVE
        if update.incarnation < self.incarnation or is_current:
            return False
        self.health.degrade()
        self.incarnation = update.incarnation + 1
        self.updates.add(self.own_update())
        return True

    def extend_suspicions(self, seconds: float) -> None:
        """Extend the time that all suspects have to refute."""
        for name in self.suspects:
            self.table.records[name].suspicion_ends += seconds

    @property
    def next_expiry(self) -> float:
        """Time at which the first suspicion expires."""
        return min((self.table.records[name].suspicion_ends for name in self.suspects), default=inf)

    def expire_suspicions(self, now: float) -> None:
        """Declare suspects dead that have not refuted in time."""
        for name in sorted(self.suspects):
            record = self.table.records[name]
            if now >= record.suspicion_ends:
                self._apply(now, MemberUpdate(record.member, record.incarnation, DEAD, self.me.name))

    # Sent messages

    def piggyback(
        self, record: MemberRecord | None = None
    ) -> tuple[tuple[MemberUpdate, ...], tuple[Fact, ...]]:
        """Return the updates and facts to piggyback on a message.

        `record` is the receiver's. A suspected receiver gets the update about itself first, to refute it.
        """
        first = [record.as_update(self.me.name)] if record is not None and record.state != ALIVE else []
        limit = self._transmit_limit()
        return self.updates.next_batch(limit, first), self.facts.next_batch(limit)

    def _transmit_limit(self) -> int:
        return self.timing.transmit_limit(len(self.table.records) + 1)

    def publish(self, fact: Fact) -> None:
        """Spread a fact to all members, unless a version at least as new is known."""
        self.facts.apply(fact)

    def own_update(self) -> MemberUpdate:
        """Return the update about this member itself."""
        return MemberUpdate(self.me, self.incarnation)

    def update_identity(self, me: MemberInfo) -> None:
        """Replace this member's description of itself, and spread the change."""
        self.me = me
        self.incarnation += 1
        self.updates.add(self.own_update())


def _confidence(record: MemberRecord, now: float, round_seconds: float) -> float:
    """Return the confidence in a record's state; see `MemberStatus`."""
    if record.state == ALIVE:
        return 1.0 if now - record.last_answer <= 2 * round_seconds else 0.5
    if record.state == SUSPECT:
        elapsed = now - record.since
        return min(1.0, max(0.0, elapsed / max(1e-9, record.suspicion_ends - record.since)))
    return 1.0
