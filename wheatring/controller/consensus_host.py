"""Runs one consensus replica on an event loop: its timer, its file and its messages."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random

from wheatring.boot_settings.settings import Settings
from wheatring.consensus.replica import Replica
from wheatring.consensus.types import Effects, Message, Position, State, Timing, Write, entry_position
from wheatring.controller.consensus_store import ConsensusStore
from wheatring.durable.record_file import DiskError
from wheatring.event_log import log_event
from wheatring.transport.client import ClientTable
from wheatring.transport.messages_pb2 import ConsensusRecord, Envelope, HardState, Member

RECENT_QUORUM_SECONDS = 1.0  # since a majority has answered, past which a leader may not be one any more

_FIELDS = {
    "VoteRequest": "vote_request",
    "VoteReply": "vote_reply",
    "AppendRequest": "append_request",
    "AppendReply": "append_reply",
    "TimeoutNow": "timeout_now",
}
CONSENSUS_MESSAGES = frozenset(_FIELDS.values())  # kinds of envelopes that are for the replica


class ConsensusHost:
    """The owner of a replica, its file and its connections to the other controllers."""

    def __init__(self, settings: Settings, random: Random, changed: Callable[[], None]) -> None:
        """`changed` is called after every event of the replica. Raises DiskError."""
        self._changed = changed
        self._store = ConsensusStore(Path(settings.data_folder or "."))
        seeds = [seed.host for seed in settings.seeds]
        loaded = self._store.open(settings.ip, seeds, settings.bootstrap, self._live_record)
        me = Member(replica_id=loaded.replica_id, node=settings.node, address=settings.ip, zone=settings.zone)
        self.replica = Replica(me, loaded.hard_state, loaded.entry, random, self.now(), Timing())
        self.replica.restore_soft_state(loaded.soft_version, loaded.soft_state)
        self._persisted_endpoint_list = loaded.soft_state
        self.peers = ClientTable(settings.controller_port)
        self.changed_event = asyncio.Event()  # set after every event
        self._timer: asyncio.TimerHandle | None = None
        self._was_leader = False

    @staticmethod
    def now() -> float:
        """The steady clock of the event loop, in seconds."""
        return asyncio.get_running_loop().time()

    def start(self) -> None:
        """Begin to take part."""
        self._arm()

    def receive(self, message: Message) -> None:
        """A message for the replica has come."""
        self.apply(self.replica.receive(self.now(), message))

    @property
    def is_leader_with_quorum(self) -> bool:
        """Leads, is ready, and a majority has answered lately."""
        return self.replica.is_ready_leader and self.replica.staleness(self.now()) < RECENT_QUORUM_SECONDS

    @property
    def committed_position(self) -> Position:
        """Of the newest entry that is known to be committed."""
        return entry_position(self.replica.committed) if self.replica.committed is not None else (0, 0)

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

    def _arm(self) -> None:
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
        self._arm()

    def apply(self, effects: Effects) -> None:
        """Carry out what the replica wants, and pass on what has changed."""
        for outgoing in effects.messages:
            self._send(outgoing.to, outgoing.message)
        for write in effects.writes:
            future = self._store.committer.append([write.record.SerializeToString()])
            future.add_done_callback(partial(self._written, write))
        self._notify()
        self._arm()

    def _written(self, write: Write, done: asyncio.Future[None]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is None:
            self.apply(self.replica.written(self.now(), write))
            return
        self.replica.write_failed(write)
        if isinstance(error, DiskError):
            log_event("disk-failed", error=str(error))

    def _send(self, to: Member, message: object) -> None:
        envelope = Envelope()
        name = _FIELDS[type(message).__name__]
        getattr(envelope, name).CopyFrom(message)
        self.peers.to(to.address).send(envelope)

    def _persist_endpoint_list(self) -> None:
        """Have the endpoint list on disk: after a loss of power sidecars need one before the platform is
        asked."""
        replica = self.replica
        if replica.soft_state == self._persisted_endpoint_list:
            return
        self._persisted_endpoint_list = replica.soft_state
        record = ConsensusRecord(soft_version=replica.soft_version, soft_state=replica.soft_state)
        self._store.committer.append([record.SerializeToString()])

    async def wait_until(self, holds: Callable[[], bool], seconds: float) -> bool:
        """Wait wait_until something holds, for so long at most."""
        deadline = self.now() + seconds
        while not holds():
            left = deadline - self.now()
            if left <= 0:
                return False
            self.changed_event.clear()
            try:
                async with asyncio.timeout(left):
                    await self.changed_event.wait()
            except TimeoutError:
                return holds()
        return True

    async def wait_for_leader(self, seconds: float) -> None:
        """Until a leader is known, for so long at most."""
        await self.wait_until(lambda: self.replica.leader is not None, seconds)

    def _notify(self) -> None:
        """Tell the owner and whoever waits."""
        replica = self.replica
        if replica.soft_version and replica.soft_state:
            self._persist_endpoint_list()
        leads = replica.state is State.LEADER
        if leads != self._was_leader:
            self._was_leader = leads
            log_event("leader" if leads else "follower", term=replica.term)
        self._changed()
        self.changed_event.set()
