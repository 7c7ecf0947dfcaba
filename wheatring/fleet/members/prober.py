"""SWIM's failure detection: probes members in turn, asks others to probe, answers their requests. No I/O."""

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
MAX_INDIRECT_PROBES = 64  # probes for others at once
NOBODY_TO_ASK = -1  # in place of a probe's number of helpers: there was none


class _Probe:
    """The probe under way."""

    __slots__ = ("indirect_requested", "is_answered", "nacks", "name", "sequence", "started")

    def __init__(self, sequence: int, name: str, started: float) -> None:
        self.sequence = sequence
        self.name = name
        self.started = started
        self.is_answered = False
        self.indirect_requested = 0  # members that were asked to probe, too
        self.nacks = 0


class _IndirectProbe(NamedTuple):
    """A probe for another member."""

    requester: Address
    sequence: int  # of the request
    until: float


class Prober:
    """Probes one member a period, so that its traffic doesn't grow with their number.

    A member that was stopped itself (its own `tick` came late) takes back the probe under way, gives all
    suspects the time that it missed, and probes more slowly until it has been answered again.
    """

    def __init__(self, now: float, gossip: GossipState, timing: SwimTiming, random: Random) -> None:
        self.gossip = gossip
        self.timing = timing
        self.random = random
        self.sequence = 0
        self.probe_order: list[str] = []
        self.probe: _Probe | None = None
        self.indirect_probes: dict[int, _IndirectProbe] = {}  # by the sequence number of the probe
        self.next_probe = now + timing.probe_interval_seconds * random.random()
        self.is_probing = True  # False: those who monitor each other in an agreed view do it instead

    def compensate_stall(self, now: float, stall_seconds: float) -> None:
        """Forgive the time for which this process was stopped."""
        self.probe = None
        self.indirect_probes.clear()
        self.gossip.health.degrade()
        self.gossip.extend_suspicions(stall_seconds)
        self.next_probe = max(self.next_probe, now)

    @property
    def due(self) -> float:
        """When a probe is to be started, helped or answered for."""
        probe = self.probe
        help_at = inf
        if probe is not None and not probe.is_answered and not probe.indirect_requested:
            help_at = probe.started + self.gossip.health.scaled(self.timing.probe_timeout_seconds)
        until = min((probe.until for probe in self.indirect_probes.values()), default=inf)
        return min(self.next_probe, help_at, until)

    def start_probe(self, now: float) -> list[OutgoingSwim]:
        """Probe the next member in turn."""
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
        """Return each in turn, in an order that is drawn anew for each round."""
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
        """Ask others to probe a member that has not answered in time."""
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
        probe.indirect_requested = len(helpers) or NOBODY_TO_ASK
        out: list[OutgoingSwim] = []
        for name in helpers:
            request = PingRequest(probe.sequence, *self.gossip.piggyback(), probe.name)
            out.append((self.gossip.table.records[name].address, request))
        return out

    def finish_probe(self, now: float) -> None:
        """End the probe under way; a member that was not answered suspects the target."""
        probe, self.probe = self.probe, None
        if probe is None or probe.is_answered:
            return
        if probe.indirect_requested <= 0 or probe.nacks < probe.indirect_requested:
            self.gossip.health.degrade()  # nobody helped, or they were not heard either: it may be this one
        self.gossip.suspect(now, probe.name)

    def expire_indirect_probes(self, now: float) -> list[OutgoingSwim]:
        """Answer the requests of others whose target did not answer in time."""
        expired = [sequence for sequence, probe in self.indirect_probes.items() if now >= probe.until]
        out: list[OutgoingSwim] = []
        for sequence in expired:
            probe = self.indirect_probes.pop(sequence)
            out.append((probe.requester, Nack(probe.sequence)))
        return out

    # Messages

    def handle_ping(self, address: Address, message: Ping, record: MemberRecord | None) -> list[OutgoingSwim]:
        """Answer a probe; `record` is the sender's, if it is known."""
        out: list[OutgoingSwim] = [(address, Ack(message.sequence, *self.gossip.piggyback(record)))]
        if record is None:  # no update about it has come by here: it is asked itself
            out.append((address, SyncRequest(0, (self.gossip.own_update(),))))
        return out

    def handle_ack(self, now: float, sender: str, sequence: int) -> list[OutgoingSwim]:
        """Take note of an answer, and pass it on if the probe was for another member."""
        self.gossip.note_answer(now, sender)
        if self.probe is not None and self.probe.sequence == sequence and not self.probe.is_answered:
            self.probe.is_answered = True
            self.gossip.health.recover()
        if sequence in self.indirect_probes:
            probe = self.indirect_probes.pop(sequence)
            return [(probe.requester, Ack(probe.sequence, *self.gossip.piggyback()))]
        return []

    def handle_nack(self, message: Nack) -> None:
        """Take note that a helper was not answered either."""
        if self.probe is not None and self.probe.sequence == message.sequence:
            self.probe.nacks += 1

    def handle_ping_request(self, now: float, address: Address, message: PingRequest) -> list[OutgoingSwim]:
        """Probe a member for another one."""
        record = self.gossip.table.records.get(message.target)
        if record is None or len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return []
        self.sequence += 1
        until = now + self.timing.probe_timeout_seconds
        self.indirect_probes[self.sequence] = _IndirectProbe(address, message.sequence, until)
        return [(record.address, Ping(self.sequence, *self.gossip.piggyback(record)))]
