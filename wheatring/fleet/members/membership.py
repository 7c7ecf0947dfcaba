"""The SWIM protocol of one member: probes, gossip, joining, state exchanges and leaving. No I/O.

`now` is in seconds of the monotonic clock. Messages are sent to addresses, (host, port). A member's traffic
does not grow with the number of members: it sends one probe per period, answers requests, and exchanges its
full state with another member at an interval that grows with the number of members.
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

MAX_LEAVE_NOTICES = 6  # members notified directly when this one leaves
MAX_SYNC_UPDATES = 10  # updates about absent members in one request
MAX_JOIN_RETRY_SECONDS = 16.0


class Membership:
    """One member, from joining through the seeds to leaving.

    `gossip` holds its state of the other members and spreads updates; `prober` detects failures.
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
        # The order of the random draws is fixed: delays of the join, the first probe, the first exchange.
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
        """Return the members of this tier that are alive; see `GossipState.alive_members`."""
        return self.gossip.alive_members()

    def address(self, name: str) -> Address | None:
        """Return a member's address; None if it is unknown or this member itself."""
        return self.gossip.address(name)

    # Time

    @property
    def due(self) -> float:
        """Time of the next action of `tick`."""
        if self.gossip.has_left:
            return inf
        return min(self.prober.due, self.next_join, self.next_sync, self.gossip.next_expiry)

    def tick(self, now: float) -> list[OutgoingSwim]:
        """Perform all actions that are due."""
        if self.gossip.has_left:
            return []
        stall_seconds = now - self.due
        if stall_seconds > self.timing.probe_interval_seconds:
            self.prober.compensate_stall(now, stall_seconds)
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
        """Handle a message from a member; return the messages to send."""
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
            # Exchange once more after all members that start simultaneously have joined: spreading that
            # many updates by gossip takes long.
            second_sync = now + self.timing.max_join_delay_seconds * (1 + self.random.random())
            self.next_sync = min(self.next_sync, second_sync)
        self.has_joined = True
        self.next_join = inf

    # Joining, state exchanges, leaving

    def _send_join(self, now: float) -> list[OutgoingSwim]:
        """Send a join request to the next seed, with exponential backoff."""
        self.join_attempts += 1
        interval = min(MAX_JOIN_RETRY_SECONDS, 2.0 ** min(self.join_attempts, 4))
        self.next_join = now + interval * (0.5 + self.random.random() / 2)
        seed = self.seeds[(self.me.number + self.join_attempts - 1) % len(self.seeds)]
        return [(seed, SyncRequest(0, (self.gossip.own_update(),)))]

    def _send_sync(self, now: float) -> list[OutgoingSwim]:
        """Exchange the full state with a random member.

        Dead members and the seeds may be chosen too, so that a healed partition merges again.
        """
        # The first exchanges are frequent: when many members start simultaneously, gossip takes long to
        # spread all updates.
        steady_interval = self.timing.sync_interval_seconds(len(self.table.records) + 1)
        self.sync_count += 1
        startup_interval = self.timing.max_join_delay_seconds * 2.0 ** min(self.sync_count, 20) / 2
        self.next_sync = now + min(steady_interval, startup_interval) * (0.75 + self.random.random() / 2)
        records = [self.table.records[name] for name in sorted(self.table.records)]
        addresses = [record.address for record in records if record.state != LEFT]
        addresses += [seed for seed in self.seeds if seed not in addresses]
        if not addresses:
            return []
        absent = [record.as_update(self.me.name) for record in records if not record.is_present]
        updates = (self.gossip.own_update(), *next(batches(absent))[:MAX_SYNC_UPDATES])
        return [(self.random.choice(addresses), SyncRequest(0, updates))]

    def _state_batches(self) -> Iterator[tuple[MemberUpdate, ...]]:
        """Split the full state into batches that each fit one datagram."""
        all_batches = batches(record.as_update(self.me.name) for record in self.table.records.values())
        yield (self.gossip.own_update(), *next(all_batches))
        yield from all_batches

    def leave(self, now: float) -> list[OutgoingSwim]:  # noqa: ARG002 - every event is passed its time
        """Announce to a few members, which spread it by gossip, that this one leaves."""
        self.gossip.has_left = True
        names = sorted(name for name, record in self.table.records.items() if record.state == ALIVE)
        chosen = self.random.sample(names, min(MAX_LEAVE_NOTICES, len(names)))
        message = SyncResponse(0, (MemberUpdate(self.me, self.gossip.incarnation, LEFT),))
        return [(self.table.records[name].address, message) for name in chosen]
