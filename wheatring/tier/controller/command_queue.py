"""The queue of commands on the control state, and the one task that works through it.

A batch is applied to the newest committed state. If that changes the state, the new state is committed before
anyone is answered; if not, a quorum has to answer a heartbeat that was sent afterwards. So an answer is never
taken back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wheatring.tier.consensus.types import State
from wheatring.tier.controller.commands import Command, Outcome, apply_batch
from wheatring.tier.controller.consensus_host import ConsensusHost
from wheatring.tier.controller.exceptions import NoLeaderError

LEADER_WAIT_SECONDS = 0.7  # for a leader to be known, before a request is answered 503
COMMIT_TIMEOUT_SECONDS = 2.0  # for a change to be committed, before its outcome is called indeterminate


@dataclass(slots=True)
class QueuedCommand:
    """A command and the future of its outcome."""

    command: Command
    outcome: asyncio.Future[Outcome]


class CommandQueue:
    """Applies commands on a leader, batch by batch."""

    def __init__(self, host: ConsensusHost) -> None:
        self._host = host
        self._queue: list[QueuedCommand] = []
        self._queued = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether no command waits to be applied."""
        return not self._queue

    async def submit(self, command: Command) -> Outcome:
        """Apply a command as the leader and return its outcome, once that is certain.

        Raises
        ------
        NoLeaderError
            This controller does not lead, or lost the leadership before the outcome was certain.
        """
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._queue.append(QueuedCommand(command, future))
        self._queued.set()
        return await future

    async def run(self) -> None:
        """Apply commands for as long as the process runs, each batch certain before the next one begins."""
        host = self._host
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self._queue:
                if not await host.wait_until(lambda: host.replica.can_propose, LEADER_WAIT_SECONDS):
                    self._reject_queue()
                    break
                batch, self._queue = self._queue, []
                try:
                    await self._apply_batch(batch)
                except NoLeaderError as error:
                    _reject(batch, error)

    def _reject_queue(self) -> None:
        batch, self._queue = self._queue, []
        _reject(batch, NoLeaderError("no leader with a quorum"))

    async def _apply_batch(self, batch: list[QueuedCommand]) -> None:
        """Apply commands to the committed state and deliver their outcomes once that state is certain."""
        replica = self._host.replica
        assert replica.committed is not None
        applied = apply_batch(replica.committed.data, [queued.command for queued in batch])
        now = self._host.now()
        term = replica.term
        if applied.new_state is None:
            number, effects = replica.confirm_leadership(now)
            self._host.apply(effects)
            await self._wait_until_confirmed(term, lambda: replica.confirmed_round >= number)
        else:
            position, effects = replica.propose(now, applied.new_state)
            self._host.apply(effects)
            await self._wait_until_confirmed(term, lambda: self._host.committed_position >= position)
        for queued, outcome in zip(batch, applied.outcomes, strict=True):
            if not queued.outcome.done():
                queued.outcome.set_result(outcome)

    async def _wait_until_confirmed(self, term: int, is_reached: Callable[[], bool]) -> None:
        """Wait until something is reached in this term. Raises NoLeaderError where that is uncertain."""
        replica = self._host.replica

        def is_decided() -> bool:
            """Return whether the entry is committed, or can't be committed in this term."""
            return is_reached() or replica.state is not State.LEADER or replica.term != term

        await self._host.wait_until(is_decided, COMMIT_TIMEOUT_SECONDS)
        if replica.state is not State.LEADER or replica.term != term or not is_reached():
            raise NoLeaderError("the leadership was lost before the change was certain")


def _reject(batch: list[QueuedCommand], error: NoLeaderError) -> None:
    for queued in batch:
        if not queued.outcome.done():
            queued.outcome.set_exception(error)
            queued.outcome.exception()  # retrieved here, since the caller may have gone
