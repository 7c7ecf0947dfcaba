"""One member's part in the fleet's membership: probes, gossip, joining, exchanges and leaving. No I/O.

`now` is in seconds of the monotonic clock. Messages go to addresses, (host, port). A member's traffic does
not grow with their number: one probe a period, what others ask of it, and an exchange of all that is known,
which is the rarer the more members there are.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from math import inf
from random import Random

from wheatring.fleet.members.gossip_state import GossipState
from wheatring.fleet.members.messages import (
    ALIVE,
    LEFT,
    Ack,
    Address,
    MemberInfo,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    SwimMessage,
    SyncRequest,
    SyncResponse,
)
from wheatring.fleet.members.prober import OutgoingSwim, Prober
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.members.update_queue import batches

MAX_LEAVE_NOTICES = 6  # members that are told when one leaves
MAX_SYNC_UPDATES = 10  # of members that aren't present, in one request
MAX_JOIN_RETRY_SECONDS = 16.0


class Membership:
    """One member, from joining by the seeds to leaving.

    `gossip` is what it knows of the others and passes on, `prober` detects who fails.
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
        self.seeds = [seed for seed in seeds if seed != (me.host, me.port)]
        # The draws are in this order: the delay of the join, of the first probe, and of the first exchange.
        delay = min(me.number / timing.joins_per_second, timing.max_join_delay_seconds * random.random())
        self.timing = timing
        self.random = random
        self.gossip = GossipState(me, incarnation, timing, keys)
        self.prober = Prober(now, self.gossip, timing, random)
        self.table = self.gossip.table
        self.next_join = now + delay if self.seeds else inf
        self.next_sync = now + timing.sync_seconds * (0.5 + random.random())
        self.has_joined = not self.seeds
        self.join_attempts = self.sync_count = 0

    @property
    def me(self) -> MemberInfo:
        """The description of this member itself."""
        return self.gossip.me

    def alive_members(self) -> list[MemberInfo]:
        """Return those of this tier held to be alive; see `GossipState.alive_members`."""
        return self.gossip.alive_members()

    def address(self, name: str) -> Address | None:
        """Return a member's address; None: it isn't known, or this one's own."""
        return self.gossip.address(name)

    # Time

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        if self.gossip.has_left:
            return inf
        return min(self.prober.due, self.next_join, self.next_sync, self.gossip.next_expiry)

    def tick(self, now: float) -> list[OutgoingSwim]:
        """Do what is due."""
        if self.gossip.has_left:
            return []
        late = now - self.due
        if late > self.timing.probe_interval_seconds:
            self.prober.compensate_stall(now, late)
        out = self.prober.expire_indirect_probes(now)
        out += self.prober.request_indirect_probes(now)
        self.gossip.expire_suspicions(now)
        if now >= self.prober.next_probe:
            self.prober.finish_probe(now)
            out += self.prober.start_probe(now)
        if now >= self.next_join:
            out += self._send_join(now)
        if now >= self.next_sync:
            out += self._send_sync(now)
        return out

    # Messages

    def receive(self, now: float, sender: str, address: Address, message: SwimMessage) -> list[OutgoingSwim]:
        """Handle a message from a member, and answer to its address."""
        if self.gossip.has_left:
            return []
        self.gossip.apply_piggyback(now, message)
        match message:
            case Ping():
                return self.prober.handle_ping(address, message, self.table.records.get(sender))
            case Ack():
                return self.prober.handle_ack(now, sender, message.sequence)
            case Nack():
                self.prober.handle_nack(message)
            case PingRequest():
                return self.prober.handle_ping_request(now, address, message)
            case SyncRequest():
                facts = self.gossip.facts.all_facts()
                return [
                    (address, SyncResponse(message.sequence, batch, facts)) for batch in self._state_batches()
                ]
            case SyncResponse():
                self._handle_sync_response(now)
        return []

    def _handle_sync_response(self, now: float) -> None:
        if not self.has_joined:
            # Once more when all who start along with it have joined: updates on so many take long.
            again = now + self.timing.max_join_delay_seconds * (1 + self.random.random())
            self.next_sync = min(self.next_sync, again)
        self.has_joined = True
        self.next_join = inf

    # Joining, exchanging, leaving

    def _send_join(self, now: float) -> list[OutgoingSwim]:
        """Ask one seed after the other, ever more rarely."""
        self.join_attempts += 1
        interval = min(MAX_JOIN_RETRY_SECONDS, 2.0 ** min(self.join_attempts, 4))
        self.next_join = now + interval * (0.5 + self.random.random() / 2)
        seed = self.seeds[(self.me.number + self.join_attempts - 1) % len(self.seeds)]
        return [(seed, SyncRequest(0, (self.gossip.own_update(),)))]

    def _send_sync(self, now: float) -> list[OutgoingSwim]:
        """Exchange all that is known with any member.

        The dead and the seeds are among them: so two partitions that lost each other meet again.
        """
        # Often at first: updates on many who start at once are long in reaching all.
        longest = self.timing.sync_interval_seconds(len(self.table.records) + 1)
        self.sync_count += 1
        ramp = self.timing.max_join_delay_seconds * 2.0 ** min(self.sync_count, 20) / 2
        self.next_sync = now + min(longest, ramp) * (0.75 + self.random.random() / 2)
        records = [self.table.records[name] for name in sorted(self.table.records)]
        addresses = [record.address for record in records if record.state != LEFT]
        addresses += [seed for seed in self.seeds if seed not in addresses]
        if not addresses:
            return []
        absent = [record.as_update(self.me.name) for record in records if not record.is_present]
        updates = (self.gossip.own_update(), *next(batches(absent))[:MAX_SYNC_UPDATES])
        return [(self.random.choice(addresses), SyncRequest(0, updates))]

    def _state_batches(self) -> Iterator[tuple[MemberUpdate, ...]]:
        """Split all that is known into batches that each fit one datagram."""
        all_batches = batches(record.as_update(self.me.name) for record in self.table.records.values())
        yield (self.gossip.own_update(), *next(all_batches))
        yield from all_batches

    def leave(self, now: float) -> list[OutgoingSwim]:  # noqa: ARG002 - each event bears its instant
        """Announce that it leaves, to a few members who pass that on."""
        self.gossip.has_left = True
        names = sorted(name for name, record in self.table.records.items() if record.state == ALIVE)
        chosen = self.random.sample(names, min(MAX_LEAVE_NOTICES, len(names)))
        message = SyncResponse(0, (MemberUpdate(self.me, self.gossip.incarnation, LEFT),))
        return [(self.table.records[name].address, message) for name in chosen]
