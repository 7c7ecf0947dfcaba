"""One member's part in the membership: probes others, is probed, passes rumours on. No I/O.

`now` is in seconds of the monotonic clock. Words go to addresses, (host, port). Traffic of a member does not
grow with their number: one probe a period, what others ask of it, and an exchange of all that is known, which
is the rarer the more there are.

A member that was held up itself (its own `tick` came late) takes back the probe under way, gives all suspects
the time that it missed, and probes more slowly until it has been answered again.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from math import inf
from random import Random

from wheatring.members.facts import FactStore
from wheatring.members.local_health import LocalHealth
from wheatring.members.member_table import MemberRecord, MemberStatus, MemberTable
from wheatring.members.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Ack,
    Fact,
    GossipMessage,
    MemberInfo,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    SwimMessage,
    SyncRequest,
    SyncResponse,
)
from wheatring.members.timing import SwimTiming
from wheatring.members.update_queue import UpdateQueue, batches

Address = tuple[str, int]
OutgoingSwim = tuple[Address, SwimMessage]
MAX_LEAVE_NOTICES = 6  # that many are told when one leaves
MAX_INDIRECT_PROBES = 64  # probes for others at once


class _Probe:
    __slots__ = ("indirect_requested", "is_answered", "nacks", "name", "seq", "started")

    def __init__(self, seq: int, name: str, began: float) -> None:
        self.seq = seq
        self.name = name
        self.started = began
        self.is_answered = False
        self.indirect_requested = 0  # helpers that were asked
        self.nacks = 0


class Membership:
    """`changed` holds names whose state has changed since it was last emptied, `fresh` news that came.
    `keys` are those that news may have.
    """

    def __init__(
        self,
        now: float,
        me: MemberInfo,
        incarnation: int,
        seeds: list[Address],
        timing: SwimTiming,
        random: Random,
        keys: Collection[str] = (),
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.seeds = [seed for seed in seeds if seed != (me.host, me.port)]
        self.timing = timing
        self.random = random
        self.table = MemberTable()
        self.updates = UpdateQueue()
        self.health = LocalHealth()
        self.facts = FactStore(keys)
        self.changed_names: list[str] = []
        self.new_facts: list[Fact] = []
        self.sequence = 0
        self.probe_order: list[str] = []
        self.probe: _Probe | None = None
        self.indirect_probes: dict[
            int, tuple[Address, int, float]
        ] = {}  # who asked, by its number, until when
        self.has_left = False
        self.has_joined = not self.seeds
        self.join_attempts = self.sync_count = 0
        first = min(me.number / timing.joins_per_second, timing.max_join_delay_seconds * random.random())
        self.next_join = now + first if self.seeds else inf
        self.next_probe = now + timing.probe_interval_seconds * random.random()
        self.next_sync = now + timing.sync_seconds * (0.5 + random.random())
        self.suspects: set[str] = set()
        self.is_probing = True  # False: those who watch each other in an agreed view do it instead
        self.updates.add(self.own_update())

    # The view

    def statuses(self, now: float) -> list[MemberStatus]:
        """All that are known, this one among them, by number and name."""
        round_ = self.timing.probe_interval_seconds * (len(self.table.records) + 1)
        rows = [MemberStatus(self.me, LEFT if self.has_left else ALIVE, 0.0, 1.0)]
        for row in self.table.records.values():
            sure = 1.0
            if row.state == ALIVE:
                sure = 1.0 if now - row.last_answer <= 2 * round_ else 0.5
            elif row.state == SUSPECT:
                sure = min(1.0, max(0.0, (now - row.since) / max(1e-9, row.suspicion_ends - row.since)))
            rows.append(MemberStatus(row.member, row.state, row.since, sure))
        return sorted(rows, key=lambda seen: (seen.member.tier, seen.member.number, seen.member.name))

    def alive_members(self) -> list[MemberInfo]:
        """Those of this tier that are held to be there, this one among them unless it has left."""
        rows = [row.member for row in self.table.records.values() if row.state == ALIVE]
        if not self.has_left:
            rows.append(self.me)
        return sorted((w for w in rows if w.tier == self.me.tier), key=lambda w: (w.number, w.name))

    def address(self, name: str) -> Address | None:
        row = self.table.records.get(name)
        return row.address if row is not None else None

    # Time

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        if self.has_left:
            return inf
        probe = self.probe
        help_at = inf
        if probe is not None and not probe.is_answered and not probe.indirect_requested:
            help_at = probe.started + self.health.scaled(self.timing.probe_timeout_seconds)
        ends = min((self.table.records[name].suspicion_ends for name in self.suspects), default=inf)
        errands = min((until for _, _, until in self.indirect_probes.values()), default=inf)
        return min(self.next_probe, self.next_join, self.next_sync, help_at, ends, errands)

    def tick(self, now: float) -> list[OutgoingSwim]:
        if self.has_left:
            return []
        late = now - self.due
        if late > self.timing.probe_interval_seconds:
            self._compensate_stall(now, late)
        out: list[OutgoingSwim] = []
        out += self._expire_indirect_probes(now)
        out += self._request_indirect_probes(now)
        self._expire_suspicions(now)
        if now >= self.next_probe:
            self._finish_probe(now)
            out += self._start_probe(now)
        if now >= self.next_join:
            out += self._send_join(now)
        if now >= self.next_sync:
            out += self._send_sync(now)
        return out

    def _compensate_stall(self, now: float, stall_seconds: float) -> None:
        self.probe = None
        self.indirect_probes.clear()
        self.health.degrade()
        for name in self.suspects:
            self.table.records[name].suspicion_ends += stall_seconds
        self.next_probe = max(self.next_probe, now)

    # Probes

    def _start_probe(self, now: float) -> list[OutgoingSwim]:
        self.next_probe = now + self.health.scaled(self.timing.probe_interval_seconds)
        self.table.reclaim(now, self.timing.reclaim_seconds)
        name = self._next_probe_target()
        if name is None or not self.is_probing:
            return []
        row = self.table.records[name]
        self.sequence += 1
        self.probe = _Probe(self.sequence, name, now)
        return [self._to_member(row, Ping(self.sequence, *self.piggyback(row)))]

    def _next_probe_target(self) -> str | None:
        """Each in turn, in an order that is drawn anew for each round."""
        while True:
            if not self.probe_order:
                self.probe_order = sorted(n for n, row in self.table.records.items() if row.is_present)
                if not self.probe_order:
                    return None
                self.random.shuffle(self.probe_order)
            name = self.probe_order.pop()
            row = self.table.records.get(name)
            if row is not None and row.is_present:
                return name

    def _request_indirect_probes(self, now: float) -> list[OutgoingSwim]:
        probe = self.probe
        if probe is None or probe.is_answered or probe.indirect_requested:
            return []
        if now < probe.started + self.health.scaled(self.timing.probe_timeout_seconds):
            return []
        others = sorted(n for n, row in self.table.records.items() if row.state == ALIVE and n != probe.name)
        chosen = self.random.sample(others, min(self.timing.indirect_probes, len(others)))
        probe.indirect_requested = len(chosen) or -1
        out = []
        for name in chosen:
            along = self.piggyback()
            out.append(self._to_member(self.table.records[name], PingRequest(probe.seq, *along, probe.name)))
        return out

    def _finish_probe(self, now: float) -> None:
        """The end of a probe: of one that is not answered, and by how many helpers not either."""
        probe, self.probe = self.probe, None
        if probe is None or probe.is_answered:
            return
        if probe.indirect_requested <= 0 or probe.nacks < probe.indirect_requested:
            self.health.degrade()  # no helpers, or they were not heard either: it may be this one
        row = self.table.records.get(probe.name)
        if row is not None and row.is_present:
            self._apply(now, MemberUpdate(row.member, row.incarnation, SUSPECT, self.me.name))

    def _expire_suspicions(self, now: float) -> None:
        for name in sorted(self.suspects):
            row = self.table.records[name]
            if now >= row.suspicion_ends:
                self._apply(now, MemberUpdate(row.member, row.incarnation, DEAD, self.me.name))

    def _expire_indirect_probes(self, now: float) -> list[OutgoingSwim]:
        over = [seq for seq, (_, _, until) in self.indirect_probes.items() if now >= until]
        out: list[OutgoingSwim] = []
        for seq in over:
            whom, theirs, _ = self.indirect_probes.pop(seq)
            out.append((whom, Nack(theirs)))
        return out

    # Words

    def receive(self, now: float, sender: str, address: Address, word: SwimMessage) -> list[OutgoingSwim]:
        """A word from a member, and where it came from."""
        if self.has_left:
            return []
        self.apply_piggyback(now, word)
        row = self.table.records.get(sender)
        match word:
            case Ping():
                out: list[OutgoingSwim] = [(address, Ack(word.seq, *self.piggyback(row)))]
                if row is None:  # the rumour of it has not come by here: ask itself
                    out.append((address, SyncRequest(0, (self.own_update(),))))
                return out
            case Ack():
                return self._on_ack(now, sender, word.seq)
            case Nack():
                if self.probe is not None and self.probe.seq == word.seq:
                    self.probe.nacks += 1
            case PingRequest():
                return self._on_ping_request(now, address, word)
            case SyncRequest():
                news = self.facts.all_facts()
                return [(address, SyncResponse(word.seq, part, news)) for part in self._state_batches()]
            case SyncResponse():
                if not self.has_joined:
                    # Once more when all who start along with it have joined: rumours of so many take long.
                    again = now + self.timing.max_join_delay_seconds * (1 + self.random.random())
                    self.next_sync = min(self.next_sync, again)
                self.has_joined = True
                self.next_join = inf
        return []

    def apply_piggyback(self, now: float, word: GossipMessage) -> None:
        """What went along with a word."""
        times = self.timing.transmit_limit(len(self.table.records) + 1)
        for rumour in word.updates:
            if not self._apply(now, rumour):
                self.updates.note_duplicate(rumour, times)
        self.new_facts += [news for news in word.facts if self.facts.apply(news)]

    def note_answer(self, now: float, name: str) -> None:
        """It has answered this member, in whatever words."""
        if (row := self.table.records.get(name)) is not None:
            row.last_answer = now

    def suspect(self, now: float, name: str) -> None:
        """It does not answer this member."""
        row = self.table.records.get(name)
        if row is not None and row.is_present:
            self._apply(now, MemberUpdate(row.member, row.incarnation, SUSPECT, self.me.name))

    def _on_ack(self, now: float, sender: str, seq: int) -> list[OutgoingSwim]:
        self.note_answer(now, sender)
        if self.probe is not None and self.probe.seq == seq and not self.probe.is_answered:
            self.probe.is_answered = True
            self.health.recover()
        if seq in self.indirect_probes:
            whom, theirs, _ = self.indirect_probes.pop(seq)
            return [(whom, Ack(theirs, *self.piggyback()))]
        return []

    def _on_ping_request(self, now: float, address: Address, word: PingRequest) -> list[OutgoingSwim]:
        row = self.table.records.get(word.target)
        if row is None or len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return []
        self.sequence += 1
        self.indirect_probes[self.sequence] = (address, word.seq, now + self.timing.probe_timeout_seconds)
        return [self._to_member(row, Ping(self.sequence, *self.piggyback(row)))]

    def _to_member(self, row: MemberRecord, word: SwimMessage) -> OutgoingSwim:
        return row.address, word

    def piggyback(self, row: MemberRecord | None = None) -> tuple[tuple[MemberUpdate, ...], tuple[Fact, ...]]:
        """What goes along. Whoever is suspected is told first, so that it can refute."""
        first = [row.as_update(self.me.name)] if row is not None and row.state != ALIVE else []
        times = self.timing.transmit_limit(len(self.table.records) + 1)
        return self.updates.next_batch(times, first), self.facts.next_batch(times)

    def publish(self, fact: Fact) -> None:
        """Have all members know it. One that is not newer than what is known is not told."""
        self.facts.apply(fact)

    def own_update(self) -> MemberUpdate:
        return MemberUpdate(self.me, self.incarnation)

    def _apply(self, now: float, update: MemberUpdate) -> bool:
        """Whether it said anything that counts."""
        name = update.member.name
        if name == self.me.name:
            return self._refute(update)
        learnt = self.table.apply(now, update)
        if learnt is None:
            return False
        row, news, newer = learnt
        if row.state == SUSPECT:
            members = self.table.present_count() + 1
            row.suspicion_ends = row.since + self.timing.suspicion_seconds(members, len(row.sources) - 1)
            self.suspects.add(name)
        else:
            self.suspects.discard(name)
        self.updates.add(row.as_update(update.source))
        if news:
            self.changed_names.append(name)
        if newer:
            self.facts.restart_transmission()
        return True

    def _refute(self, update: MemberUpdate) -> bool:
        if update.incarnation < self.incarnation or (
            update.incarnation == self.incarnation and update.state == ALIVE
        ):
            return False
        self.health.degrade()
        self.incarnation = update.incarnation + 1
        self.updates.add(self.own_update())
        return True

    # Joining, exchanging, leaving

    def _send_join(self, now: float) -> list[OutgoingSwim]:
        self.join_attempts += 1
        self.next_join = now + min(16.0, 2.0 ** min(self.join_attempts, 4)) * (0.5 + self.random.random() / 2)
        seed = self.seeds[(self.me.number + self.join_attempts - 1) % len(self.seeds)]
        return [(seed, SyncRequest(0, (self.own_update(),)))]

    def _send_sync(self, now: float) -> list[OutgoingSwim]:
        """With anybody, the dead and the seeds among them: so two parts that lost each other meet again."""
        # Often at first: rumours of many who start at once are long in reaching all.
        most = self.timing.sync_interval_seconds(len(self.table.records) + 1)
        self.sync_count += 1
        apart = min(most, self.timing.max_join_delay_seconds * 2.0 ** min(self.sync_count, 20) / 2)
        self.next_sync = now + apart * (0.75 + self.random.random() / 2)
        rows = [self.table.records[name] for name in sorted(self.table.records)]
        where = [row.address for row in rows if row.state != LEFT]
        where += [seed for seed in self.seeds if seed not in where]
        if not where:
            return []
        told = [row.as_update(self.me.name) for row in rows if not row.is_present]
        return [(self.random.choice(where), SyncRequest(0, (self.own_update(), *next(batches(told))[:10])))]

    def _state_batches(self) -> Iterator[tuple[MemberUpdate, ...]]:
        parts = batches(row.as_update(self.me.name) for row in self.table.records.values())
        yield (self.own_update(), *next(parts))
        yield from parts

    def update_identity(self, me: MemberInfo) -> None:
        """What it says of itself has changed."""
        self.me = me
        self.incarnation += 1
        self.updates.add(self.own_update())

    def leave(self, now: float) -> list[OutgoingSwim]:
        """Say that it leaves, to a few who pass it on."""
        self.has_left = True
        rows = sorted(name for name, row in self.table.records.items() if row.state == ALIVE)
        chosen = self.random.sample(rows, min(MAX_LEAVE_NOTICES, len(rows)))
        word = SyncResponse(0, (MemberUpdate(self.me, self.incarnation, LEFT),))
        return [self._to_member(self.table.records[name], word) for name in chosen]
