"""A process of hollow sidecars: the real subscription, storage client and budget code, without clients.

    python -m wheatring.lab.scale.hollow_sidecars SETTINGS COUNT TURNS_PER_SECOND

prints one JSON object a line: `{"generation": G, "at": T}` once all its sidecars have applied a configuration
(T in seconds of the monotonic clock), the bytes received so far on SIGUSR1, and a summary on SIGTERM.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from random import Random

from wheatring.tier.boot_settings.settings import Settings, read_settings
from wheatring.tier.budgets.exceptions import BudgetExceededError
from wheatring.tier.budgets.token_budgets import TokenBudgets
from wheatring.tier.storage.exceptions import QuorumNotReachedError
from wheatring.tier.storage.quorum_client import QuorumClient
from wheatring.tier.subscription.client import Subscription
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.connection import TRAFFIC
from wheatring.tier.transport.messages_pb2 import ROLE_SIDECAR, Presence, Turn
from wheatring.tier.turns.conversations import Conversations

INPUT_BYTES, OUTPUT_BYTES = 4300, 640  # per turn, as at small sites
TURNS_PER_PROGRAM = 11
TOKENS_PER_TURN = 72
BUDGET_TOKENS = 10**9
STORAGE_TIMEOUT_SECONDS = 2.0
TURN_INTERVAL_SECONDS = 0.1  # between two turns of a program


class HollowSidecar:
    """The control connections of one sidecar that serves no clients."""

    def __init__(self, settings: Settings, name: str, random: Random, process: HollowProcess) -> None:
        self.generation = 0
        self._process = process
        self.subscription = Subscription(
            seeds=lambda: [seed.host for seed in settings.seeds],
            port=settings.controller_port,
            zone=settings.zone,
            presence=lambda: Presence(role=ROLE_SIDECAR, replica_id=name, node=name, address="127.0.0.1"),
            presence_interval_seconds=2.0,
            on_change=self._on_change,
            random=random,
        )
        self.store = QuorumClient(
            process.clients,
            settings.tolerance.losses,
            settings.zone,
            lambda: self.subscription.view.placement,
            self.subscription.adopt_placement,
        )

    def _on_change(self) -> None:
        generation = self.subscription.view.generation
        if generation > self.generation:
            self.generation = generation
            self._process.report_applied()


class HollowProcess:
    """All hollow sidecars of one process."""

    def __init__(self, settings: Settings, count: int, turns_per_second: float) -> None:
        self._random = Random(count)
        self.clients = ClientTable(settings.storage_port)
        self._reported_generation = 0
        self._turns_per_second = turns_per_second
        self.turns = self.failed = 0
        self.turn_seconds: list[float] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self.sidecars = [HollowSidecar(settings, f"hollow-{n}", self._random, self) for n in range(count)]

    def report_applied(self) -> None:
        """Print the newest generation that all sidecars have applied, if it is a new one."""
        applied = min(sidecar.generation for sidecar in self.sidecars)
        if applied > self._reported_generation:
            self._reported_generation = applied
            print(json.dumps({"generation": applied, "at": time.monotonic()}), flush=True)

    async def run(self) -> None:
        """Run until SIGTERM, and print a summary."""
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGUSR1, self._report_received)
        for sidecar in self.sidecars:
            self._track(loop.create_task(sidecar.subscription.run()))
        if self._turns_per_second > 0:
            self._track(loop.create_task(self._start_programs()))
        await stopping.wait()
        durations = sorted(self.turn_seconds)
        summary = {
            "received": TRAFFIC.received_bytes,
            "sent": TRAFFIC.sent_bytes,
            "turns": self.turns,
            "failed": self.failed,
            "turn_p50_ms": round(durations[len(durations) // 2] * 1000, 2) if durations else 0.0,
            "turn_p99_ms": round(durations[int(len(durations) * 0.99)] * 1000, 2) if durations else 0.0,
        }
        print(json.dumps(summary), flush=True)

    @staticmethod
    def _report_received() -> None:
        print(json.dumps({"received": TRAFFIC.received_bytes}), flush=True)

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start_programs(self) -> None:
        """Start programs at the rate that results in the configured turns per second."""
        number = 0
        while True:
            await asyncio.sleep(TURNS_PER_PROGRAM / self._turns_per_second)
            number += 1
            sidecar = self.sidecars[number % len(self.sidecars)]
            if sidecar.subscription.view.placement.epoch:
                self._track(asyncio.get_running_loop().create_task(self._run_program(sidecar, number)))

    async def _run_program(self, sidecar: HollowSidecar, number: int) -> None:
        """Run a conversation of several turns, each reserved, recorded and settled."""
        conversations, budgets = Conversations(sidecar.store), TokenBudgets(sidecar.store)
        program = f"{id(self)}-{number}"
        ancestors: list[str] = []
        for _ in range(TURNS_PER_PROGRAM):
            turn_id = f"{self._random.getrandbits(64):016x}"
            turn = Turn(
                id=turn_id,
                ancestors=ancestors,
                input=bytes(INPUT_BYTES),
                output=bytes(OUTPUT_BYTES),
                program=program,
                retention_ms=60_000,
            )
            started_at = time.monotonic()
            try:
                await budgets.reserve(
                    program, turn_id, TOKENS_PER_TURN, BUDGET_TOKENS, STORAGE_TIMEOUT_SECONDS
                )
                await conversations.record(turn, STORAGE_TIMEOUT_SECONDS)
            except (QuorumNotReachedError, BudgetExceededError):
                self.failed += 1
                continue
            budgets.settle(program, turn_id, TOKENS_PER_TURN)
            self.turns += 1
            self.turn_seconds.append(time.monotonic() - started_at)
            ancestors = [*ancestors, turn_id]
            await asyncio.sleep(TURN_INTERVAL_SECONDS)


async def _main() -> None:
    settings = read_settings(sys.argv[1])
    await HollowProcess(settings, int(sys.argv[2]), float(sys.argv[3])).run()


if __name__ == "__main__":
    asyncio.run(_main())
