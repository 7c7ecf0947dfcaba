"""SWIM's failure detection: direct probes, and indirect ones requested from or by other members. No I/O."""

from __future__ import annotations

from math import inf
from random import Random
from typing import NamedTuple

from wheatring.fleet.members.gossip_state import GossipState
from wheatring.fleet.members.member_table import MemberRecord
from wheatring.fleet.members.messages import (
    ALIVE,
    Ack,
    Address,
    Nack,
    Ping,
    PingRequest,
    SwimMessage,
    SyncRequest,
)
from wheatring.fleet.members.timing import SwimTiming

OutgoingSwim = tuple[Address, SwimMessage]
MAX_INDIRECT_PROBES = 64  # concurrent probes on behalf of other members
NO_HELPERS = -1  # `indirect_requested` of a probe if there was no member to ask


class _Probe:
    """The probe in progress."""

    __slots__ = ("indirect_requested", "is_answered", "nacks", "name", "sequence", "started")

    def __init__(self, sequence: int, name: str, started: float) -> None:
        self.sequence = sequence
        self.name = name
        self.started = started
        self.is_answered = False
        self.indirect_requested = 0  # number of members asked for an indirect probe
        self.nacks = 0


class _IndirectProbe(NamedTuple):
    """A probe on behalf of another member."""

    requester: Address
    sequence: int  # the sequence number of the requester's message
    expires_at: float


class Prober:
    """Probes one member per period, so that the traffic does not grow with the number of members.

    After a pause of this process, detected by a late `tick`, the prober abandons the probe in progress,
    extends all suspicions by the pause, and probes more slowly until it has been answered again.
    """

    def __init__(self, now: float, gossip: GossipState, timing: SwimTiming, random: Random) -> None:
        self.gossip = gossip
        self.timing = timing
        self.random = random
        self.sequence = 0
        self.probe_order: list[str] = []
        self.probe: _Probe | None = None
        self.indirect_probes: dict[int, _IndirectProbe] = {}  # by sequence number of the probe
        self.next_probe = now + timing.probe_interval_seconds * random.random()
        self.is_probing = True  # False: health checks in an agreed view replace the probes

    def compensate_stall(self, now: float, stall_seconds: float) -> None:
        """Extend all deadlines by the time for which this process was paused."""
        self.probe = None
        self.indirect_probes.clear()
        self.gossip.health.degrade()
        self.gossip.extend_suspicions(stall_seconds)
        self.next_probe = max(self.next_probe, now)

    @property
    def due(self) -> float:
        """Time of the next probe, request for indirect probes, or negative answer."""
        probe = self.probe
        indirect_due = inf
        if probe is not None and not probe.is_answered and not probe.indirect_requested:
            indirect_due = probe.started + self.gossip.health.scaled(self.timing.probe_timeout_seconds)
        expiry = min((probe.expires_at for probe in self.indirect_probes.values()), default=inf)
        return min(self.next_probe, indirect_due, expiry)

    def start_probe(self, now: float) -> list[OutgoingSwim]:
        """Probe the next member of the round."""
        self.next_probe = now + self.gossip.health.scaled(self.timing.probe_interval_seconds)
        self.gossip.table.reclaim(now, self.timing.reclaim_seconds)
        name = self._next_probe_target()
        if name is None or not self.is_probing:
            return []
        record = self.gossip.table.records[name]
        self.sequence += 1
        self.probe = _Probe(self.sequence, name, now)
        return [(record.address, Ping(self.sequence, *self.gossip.piggyback(record)))]

    def _next_probe_target(self) -> str | None:
        """Return the next target, round-robin over all present members in a new random order per round."""
        while True:
            if not self.probe_order:
                self.probe_order = sorted(
                    name for name, record in self.gossip.table.records.items() if record.is_present
                )
                if not self.probe_order:
                    return None
                self.random.shuffle(self.probe_order)
            name = self.probe_order.pop()
            record = self.gossip.table.records.get(name)
            if record is not None and record.is_present:
                return name

    def request_indirect_probes(self, now: float) -> list[OutgoingSwim]:
        """Ask other members to probe a target that has not answered in time."""
        probe = self.probe
        if probe is None or probe.is_answered or probe.indirect_requested:
            return []
        if now < probe.started + self.gossip.health.scaled(self.timing.probe_timeout_seconds):
            return []
        others = sorted(
            name
            for name, record in self.gossip.table.records.items()
            if record.state == ALIVE and name != probe.name
        )
        helpers = self.random.sample(others, min(self.timing.indirect_probes, len(others)))
        probe.indirect_requested = len(helpers) or NO_HELPERS
        out: list[OutgoingSwim] = []
        for name in helpers:
            request = PingRequest(probe.sequence, *self.gossip.piggyback(), probe.name)
            out.append((self.gossip.table.records[name].address, request))
        return out

    def finish_probe(self, now: float) -> None:
        """End the probe in progress; suspect its target if it has not answered."""
        probe, self.probe = self.probe, None
        if probe is None or probe.is_answered:
            return
        if probe.indirect_requested <= 0 or probe.nacks < probe.indirect_requested:
            self.gossip.health.degrade()  # no helper, or no answer from it: the fault may be local
        self.gossip.suspect(now, probe.name)

    def expire_indirect_probes(self, now: float) -> list[OutgoingSwim]:
        """Send a `Nack` for each indirect probe whose target did not answer in time."""
        expired = [sequence for sequence, probe in self.indirect_probes.items() if now >= probe.expires_at]
        out: list[OutgoingSwim] = []
        for sequence in expired:
            probe = self.indirect_probes.pop(sequence)
            out.append((probe.requester, Nack(probe.sequence)))
        return out

    # Messages

    def handle_ping(self, address: Address, message: Ping, record: MemberRecord | None) -> list[OutgoingSwim]:
        """Answer a probe; `record` is the sender's, or None if it is unknown."""
        out: list[OutgoingSwim] = [(address, Ack(message.sequence, *self.gossip.piggyback(record)))]
        if record is None:  # no update about the sender has arrived yet: ask for its state
            out.append((address, SyncRequest(0, (self.gossip.own_update(),))))
        return out

    def handle_ack(self, now: float, sender: str, sequence: int) -> list[OutgoingSwim]:
        """Record an answer, and forward it if the probe was on behalf of another member."""
        self.gossip.record_answer(now, sender)
        if self.probe is not None and self.probe.sequence == sequence and not self.probe.is_answered:
            self.probe.is_answered = True
            self.gossip.health.recover()
        if sequence in self.indirect_probes:
            probe = self.indirect_probes.pop(sequence)
            return [(probe.requester, Ack(probe.sequence, *self.gossip.piggyback()))]
        return []

    def handle_nack(self, message: Nack) -> None:
        """Record that a helper's indirect probe was not answered either."""
        if self.probe is not None and self.probe.sequence == message.sequence:
            self.probe.nacks += 1

    def handle_ping_request(self, now: float, address: Address, message: PingRequest) -> list[OutgoingSwim]:
        """Probe a member on behalf of another one."""
        record = self.gossip.table.records.get(message.target)
        if record is None or len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return []
        self.sequence += 1
        expires_at = now + self.timing.probe_timeout_seconds
        self.indirect_probes[self.sequence] = _IndirectProbe(address, message.sequence, expires_at)
        return [(record.address, Ping(self.sequence, *self.gossip.piggyback(record)))]
