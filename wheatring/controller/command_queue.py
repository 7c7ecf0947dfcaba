"""The queue of commands on the control state, and the one task that works through it.

A batch is applied to the newest committed state. If it has changed that, the new state is committed before
anyone is answered; if not, a majority has to answer a heartbeat that was sent afterwards. So an answer is
never taken back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wheatring.consensus.types import State
from wheatring.controller.commands import Command, Outcome, apply_batch
from wheatring.controller.consensus_host import ConsensusHost

FIND_LEADER_SECONDS = 0.7  # for a leader to be known, before an order is answered 503
CERTAIN_SECONDS = 2.0  # for a change to be committed, before its outcome is told to be unclear


class NoLeader(Exception):
    """The order cannot be applied here and now; whether it was applied before is unclear."""


@dataclass(slots=True)
class Queued:
    """A command and who waits for its outcome."""

    command: Command
    outcome: asyncio.Future[Outcome]


class CommandQueue:
    """Applies commands on a leader."""

    def __init__(self, host: ConsensusHost) -> None:
        self._host = host
        self._queue: list[Queued] = []
        self._queued = asyncio.Event()

    @property
    def empty(self) -> bool:
        return not self._queue

    async def submit(self, command: Command) -> Outcome:
        """Have a command applied by this controller as the leader. Raises NoLeader."""
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self._queue.append(Queued(command, future))
        self._queued.set()
        return await future

    async def run(self) -> None:
        """The one place where commands are applied: batch by batch, each committed before it is answered."""
        host = self._host
        while True:
            await self._queued.wait()
            self._queued.clear()
            while self._queue:
                if not await host.until(lambda: host.core.can_propose, FIND_LEADER_SECONDS):
                    self._fail_queue()
                    break
                batch, self._queue = self._queue, []
                try:
                    await self._apply_batch(batch)
                except NoLeader as error:
                    _fail(batch, error)

    def _fail_queue(self) -> None:
        batch, self._queue = self._queue, []
        _fail(batch, NoLeader("no leader with a quorum"))

    async def _apply_batch(self, batch: list[Queued]) -> None:
        """Apply commands to the committed state and tell their outcomes once that state is certain."""
        core = self._host.core
        assert core.committed is not None
        applied = apply_batch(core.committed.data, [queued.command for queued in batch])
        now = self._host.now()
        term = core.term
        if applied.changed is None:
            number, effects = core.confirm(now)
            self._host.apply(effects)
            await self._certain(term, lambda: core.confirmed_round >= number)
        else:
            position, effects = core.propose(now, applied.changed)
            self._host.apply(effects)
            await self._certain(term, lambda: self._host.committed_position >= position)
        for queued, outcome in zip(batch, applied.outcomes, strict=True):
            if not queued.outcome.done():
                queued.outcome.set_result(outcome)

    async def _certain(self, term: int, reached: Callable[[], bool]) -> None:
        """Wait until something holds in this term. Raises NoLeader once the leadership is lost."""
        core = self._host.core

        def settled() -> bool:
            return reached() or core.state is not State.LEADER or core.term != term

        await self._host.until(settled, CERTAIN_SECONDS)
        if core.state is not State.LEADER or core.term != term or not reached():
            raise NoLeader("the leadership was lost before the change was certain")


def _fail(batch: list[Queued], error: Exception) -> None:
    for queued in batch:
        if not queued.outcome.done():
            queued.outcome.set_exception(error)
            queued.outcome.exception()
