"""Runs one consensus replica on an event loop: its timer, its file and its messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.consensus.replica import Replica
from wheatring.tier.consensus.types import Effects, Message, Position, State, Timing, Write, entry_position
from wheatring.tier.controller.consensus_store import ConsensusStore
from wheatring.tier.durable.exceptions import DiskError
from wheatring.tier.event_log import log_event
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.messages_pb2 import ConsensusRecord, Envelope, HardState, Member

RECENT_QUORUM_SECONDS = 1.0  # without an answer of a quorum, after which a leader may be deposed already

_ENVELOPE_FIELDS = {
    "VoteRequest": "vote_request",
    "VoteReply": "vote_reply",
    "AppendRequest": "append_request",
    "AppendReply": "append_reply",
    "TimeoutNow": "timeout_now",
}
CONSENSUS_MESSAGES = frozenset(_ENVELOPE_FIELDS.values())  # kinds of envelopes that are for the replica


class ConsensusHost:
    """The owner of a replica, its file and its connections to the other controllers."""

    def __init__(self, settings: Settings, random: Random, on_change: Callable[[], None]) -> None:
        """Read the file and build the replica.

        Parameters
        ----------
        settings
            The settings of the process.
        random
            Draws the replica's time-outs.
        on_change
            Called after every event of the replica.

        Raises
        ------
        DiskError
            The file cannot be read or created.
        """
        self._on_change = on_change
        self._store = ConsensusStore(Path(settings.data_folder or "."))
        seeds = [seed.host for seed in settings.seeds]
        stored = self._store.open(settings.ip, seeds, settings.bootstrap, self._live_record)
        me = Member(replica_id=stored.replica_id, node=settings.node, address=settings.ip, zone=settings.zone)
        self.replica = Replica(me, stored.hard_state, stored.entry, random, self.now(), Timing())
        self.replica.restore_soft_state(stored.soft_version, stored.soft_state)
        self._persisted_endpoint_list = stored.soft_state
        self.peers = ClientTable(settings.controller_port)
        self.changed_event = asyncio.Event()  # set after every event of the replica
        self._timer: asyncio.TimerHandle | None = None
        self._was_leader = False

    @staticmethod
    def now() -> float:
        """Return the steady clock of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def start(self) -> None:
        """Begin to take part in the consensus."""
        self._arm_timer()

    def receive(self, message: Message) -> None:
        """Deliver a message to the replica."""
        self.apply(self.replica.receive(self.now(), message))

    @property
    def is_leader_with_quorum(self) -> bool:
        """Whether this replica is a ready leader that a quorum has answered recently."""
        return self.replica.is_ready_leader and self.replica.staleness(self.now()) < RECENT_QUORUM_SECONDS

    @property
    def committed_position(self) -> Position:
        """The position of the newest entry that is known to be committed."""
        committed = self.replica.committed
        return entry_position(committed) if committed is not None else (0, 0)

    def _live_record(self) -> bytes:
        replica = self.replica
        hard_state = HardState(term=replica.term, voted_for=replica.voted_for)
        record = ConsensusRecord(
            hard_state=hard_state,
            entry=replica.entry,
            soft_version=replica.soft_version,
            soft_state=replica.soft_state,
        )
        return record.SerializeToString()

    def _arm_timer(self) -> None:
        due = self.replica.next_deadline()
        if self._timer is not None:
            if self._timer.when() <= due:
                return  # it fires earlier, and is armed anew then
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self.now()
        if now >= self.replica.next_deadline():
            self.apply(self.replica.tick(now))
        self._arm_timer()

    def apply(self, effects: Effects) -> None:
        """Carry out effects of the replica, and notify whoever follows its state."""
        for outgoing in effects.messages:
            self._send(outgoing.to, outgoing.message)
        for write in effects.writes:
            future = self._store.committer.append([write.record.SerializeToString()])
            future.add_done_callback(partial(self._on_written, write))
        self._notify()
        self._arm_timer()

    def _on_written(self, write: Write, done: asyncio.Future[None]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self.apply(self.replica.write_completed(self.now(), write))
            return
        self.replica.write_failed(write)
        if isinstance(error, DiskError):
            log_event("disk-failed", error=str(error))

    def _send(self, to: Member, message: Message) -> None:
        envelope = Envelope()
        field_name = _ENVELOPE_FIELDS[type(message).__name__]
        getattr(envelope, field_name).CopyFrom(message)
        self.peers.client_for(to.address).send(envelope)

    def _persist_endpoint_list(self) -> None:
        """Write a new endpoint list to the disk.

        After a loss of power sidecars need one before the platform can be asked.
        """
        replica = self.replica
        if replica.soft_state == self._persisted_endpoint_list:
            return
        self._persisted_endpoint_list = replica.soft_state
        record = ConsensusRecord(soft_version=replica.soft_version, soft_state=replica.soft_state)
        self._store.committer.append([record.SerializeToString()])

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Wait until a condition on the replica holds, at most `seconds`; return whether it does."""
        deadline = self.now() + seconds
        while not condition():
            remaining = deadline - self.now()
            if remaining <= 0:
                return False
            self.changed_event.clear()
            try:
                async with asyncio.timeout(remaining):
                    await self.changed_event.wait()
            except TimeoutError:
                return condition()
        return True

    async def wait_for_leader(self, seconds: float) -> None:
        """Wait until a leader is known, at most `seconds`."""
        await self.wait_until(lambda: self.replica.leader is not None, seconds)

    def _notify(self) -> None:
        """Log a change of role, and wake the owner and all that wait."""
        replica = self.replica
        if replica.soft_version and replica.soft_state:
            self._persist_endpoint_list()
        is_leader = replica.state is State.LEADER
        if is_leader != self._was_leader:
            self._was_leader = is_leader
            log_event("leader" if is_leader else "follower", term=replica.term)
        self._on_change()
        self.changed_event.set()
