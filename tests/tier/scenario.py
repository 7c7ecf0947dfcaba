"""Scenarios as text, one event per line, played on virtual time.

    controllers 3          headers with the size of the system (defaults: 3, 3, 1, 1, 1, 600)
    storage 3
    losses 1
    writers 1
    seed 1
    retention 600          of turns, in seconds
    0.5 replace 3          at 0.5 s, replace the newest acknowledged configuration by generation 3
    1 kill leader for 2    a host is `leader`, `follower` (any), `fullest` (storage) or a name
    ...

Events run concurrently: one that waits does not delay the next. A line that ends in `-> WORD` checks the
outcome. After the last event all faults are undone, and all acknowledged data is read and checked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.tier.world import InvariantViolationError, World

RECOVERY_SECONDS = 6.0
HEADERS = {"controllers": 3, "storage": 3, "losses": 1, "writers": 1, "seed": 1, "retention": 600}


@dataclass(frozen=True)
class Step:
    """An event with its time in seconds and its expected outcome."""

    at: float
    words: tuple[str, ...]
    expected: str = ""


@dataclass
class Scenario:
    """A system and its events."""

    name: str
    header: dict[str, int] = field(default_factory=lambda: dict(HEADERS))
    steps: list[Step] = field(default_factory=list)


def parse(name: str, text: str) -> Scenario:
    """Parse a scenario from its text."""
    scenario = Scenario(name)
    for line in text.splitlines():
        line = line.partition("#")[0].strip()
        if not line:
            continue
        line, _, expected = (part.strip() for part in line.partition("->"))
        words = line.split()
        if words[0] in HEADERS:
            scenario.header[words[0]] = int(words[1])
        else:
            scenario.steps.append(Step(float(words[0]), tuple(words[1:]), expected))
    return scenario


class Player:
    """Plays a scenario."""

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        header = scenario.header
        self.scenario = scenario
        self.world = World(
            folder,
            header["seed"],
            header["controllers"],
            header["storage"],
            header["losses"],
            header["retention"],
        )
        self._pending_undos: list[tuple[str, Callable[[], None]]] = []

    def play(self) -> World:
        """Play the scenario and return its world. Raises InvariantViolationError."""
        self.world.run(self._run)
        return self.world

    async def _run(self) -> None:
        world = self.world
        for number in range(1, self.scenario.header["writers"] + 1):
            world.add_writer(f"w{number}")
        tasks = []
        for step in sorted(self.scenario.steps, key=lambda step: step.at):
            await world.settle(step.at - world.loop.time())
            tasks.append(asyncio.create_task(self._run_step(step)))
        await self._wait_for_steps(tasks)
        await self._recover()

    async def _wait_for_steps(self, tasks: list[asyncio.Task[None]]) -> None:
        while tasks:
            await self.world.settle(0.1)
            for task in [task for task in tasks if task.done()]:
                tasks.remove(task)
                task.result()

    async def _run_step(self, step: Step) -> None:
        verb, *words = step.words
        action = getattr(self, "do_" + verb.replace("-", "_"))
        outcome = await action(*words)
        if step.expected and str(outcome) != step.expected:
            step_line = f"{step.at} {' '.join(step.words)} -> {step.expected}"
            raise InvariantViolationError(f"{self.scenario.name}: {step_line}, was {outcome}")

    async def _recover(self) -> None:
        """Undo all faults; check that no acknowledged data is lost and that commands are accepted again."""
        world = self.world
        for _, undo in self._pending_undos:
            undo()
        for name, host in list(world.hosts.items()):
            if host.incarnation is None and name[0] in "cs":
                world.start(name)
        await world.settle(RECOVERY_SECONDS)
        if not await world.describe() and world.acknowledged:
            raise InvariantViolationError("the configuration cannot be read after the recovery")
        for turn_id in world.retained_turn_ids():
            if await world.read("w1", turn_id) != "found":
                raise InvariantViolationError(
                    f"turn {turn_id} was recorded but cannot be read after the recovery"
                )
        generation = max([0, *world.acknowledged, *world.indeterminate]) + 10
        while True:
            status = await world.replace(generation)
            if status == 200:
                break
            if not status:
                raise InvariantViolationError("no configuration is accepted after the recovery")
            await self._resolve_indeterminate_change()
            generation += 10
        await world.settle(1.0)
        for name, writer in world.writers.items():
            if writer.subscription.view.generation != generation:
                raise InvariantViolationError(
                    f"{name} did not receive generation {generation} within a second"
                )

    async def _resolve_indeterminate_change(self) -> None:
        """Find out whether a change with an indeterminate outcome was applied."""
        world = self.world
        generation = await world.describe()
        if generation in world.indeterminate:
            world.acknowledged[generation] = (await world.call_operator_api("GET", "/config/describe"))[1]

    # Hosts

    def _host(self, word: str) -> str:
        """Return the name of a host; `leader` and `follower` refer to the current roles.

        `fullest` is the storage machine with the most records.
        """
        if word == "leader":
            return self.world.leader()
        if word == "fullest":
            return max(
                self.world.running("s"), key=lambda name: len(self.world.hosts[name].process.replica.table)
            )
        if word == "follower":
            leader = self.world.leader()
            return next(name for name in self.world.running("c") if name != leader)
        return word

    async def _undo_after(self, words: tuple[str, ...], undo: Callable[[], None]) -> None:
        """Undo a fault after `for SECONDS`, or at the end of the scenario."""
        if "for" not in words:
            self._pending_undos.append(("", undo))
            return
        await asyncio.sleep(float(words[words.index("for") + 1]))
        undo()

    def _start_if_down(self, name: str) -> None:
        if self.world.hosts[name].incarnation is None:
            self.world.start(name)

    async def do_kill(self, host: str, *words: str) -> None:
        name = self._host(host)
        self.world.kill(name)
        await self._undo_after(words, lambda: self._start_if_down(name))

    async def do_wipe(self, host: str, *words: str) -> None:
        name = self._host(host)
        self.world.kill(name, wipe=True)
        await self._undo_after(words, lambda: self._start_if_down(name))

    async def do_kill_all(self, *words: str) -> None:
        names = self.world.running("c") + self.world.running("s")
        for name in names:
            self.world.kill(name)

        def start_all() -> None:
            for name in names:
                self._start_if_down(name)

        await self._undo_after(words, start_all)

    async def do_freeze(self, host: str, *words: str) -> None:
        name = self._host(host)
        self.world.freeze(name)
        await self._undo_after(words, lambda: self.world.thaw(name))

    async def do_cut(self, host: str, *words: str) -> None:
        name = self._host(host)
        others = [other for other in self.world.hosts if other != name and other[0] in "cs"]
        self.world.cut(name, others, one_way="one-way" in words)
        await self._undo_after(words, lambda: self.world.heal(name, others))

    async def do_split(self, names: str, *words: str) -> None:
        """Partition machines from all other controllers and storage machines, but not from writers."""
        isolated = [self._host(word) for word in names.split(",")]
        others = [other for other in self.world.hosts if other not in isolated and other[0] in "cs"]
        for name in isolated:
            self.world.cut(name, others)

        def heal_all() -> None:
            for name in isolated:
                self.world.heal(name, others)

        await self._undo_after(words, heal_all)

    async def do_full(self, host: str, *words: str) -> None:
        incarnation = self.world.hosts[self._host(host)].incarnation
        if incarnation is None:
            return
        incarnation.disk_full = True
        await self._undo_after(words, lambda: setattr(incarnation, "disk_full", False))

    async def do_stall(self, host: str, *words: str) -> None:
        incarnation = self.world.hosts[self._host(host)].incarnation
        if incarnation is None:
            return
        previous_delay, incarnation.disk_delay = incarnation.disk_delay, 3.0
        await self._undo_after(words, lambda: setattr(incarnation, "disk_delay", previous_delay))

    async def do_stop(self, name: str, *_words: str) -> None:
        """Stop a process by SIGTERM, then remove its machine."""
        host = self.world.hosts[name]
        if host.incarnation is not None:
            await self.world.run_as(host.incarnation, host.process.stop)
        await self.do_remove(name)

    async def do_add(self, name: str, *_words: str) -> None:
        self.world.add(name)
        self.world.start(name)

    async def do_remove(self, host: str, *_words: str) -> None:
        """Remove a machine permanently."""
        name = self._host(host)
        self.world.kill(name, wipe=True)
        del self.world.hosts[name]

    # Commands and programs

    async def do_replace(self, generation: str) -> int:
        return await self.world.replace(int(generation))

    async def do_update(self, generation: str) -> int:
        return await self.world.update(int(generation))

    async def do_describe(self) -> int:
        return await self.world.describe()

    async def do_describes(self, count: str, pause: str) -> None:
        """Read the configuration at each controller `count` times."""
        for _ in range(int(count)):
            await self.world.describe_at_each()
            await asyncio.sleep(float(pause))

    async def do_retire(self, node: str) -> int:
        status, _ = await self.world.call_operator_api("POST", f"/retire/{node}/start", body=b"{}")
        return status

    async def do_retired(self, node: str) -> str:
        """Wait until a retirement is completed, then remove the machine."""
        for _ in range(100):
            _, body = await self.world.call_operator_api("GET", f"/retire/{node}/describe")
            if b"completed" in body:
                await self.do_remove(node)
                return "completed"
            await asyncio.sleep(0.1)
        return "running"

    async def do_turn(self, writer: str, turn: str, previous: str = "") -> str:
        return "recorded" if await self.world.record(writer, turn, previous) else "not sure"

    async def do_read(self, writer: str, turn: str) -> str:
        return await self.world.read(writer, turn)

    async def do_reserve(self, writer: str, program: str, turn: str, tokens: str, budget: str) -> str:
        return await self.world.reserve(writer, program, turn, int(tokens), int(budget))

    async def do_conversation(self, count: str, pause: str, *writers: str) -> None:
        """Record a conversation of `count` turns, each through the next of the writers in turn."""
        previous = ""
        for number in range(int(count)):
            if number:
                await asyncio.sleep(float(pause))
            turn = f"{'-'.join(writers)}-{self.world.loop.time():.4f}-{number}"
            if await self.world.record(writers[number % len(writers)], turn, previous):
                previous = turn

    async def do_reserves(self, writer: str, program: str, count: str, pause: str) -> None:
        """Reserve a token for a turn and settle it, then for the next one, `count` times."""
        for number in range(int(count)):
            turn = f"{program}-{number}"
            await self.world.reserve(writer, program, turn, 1, int(count))
            await self.world.settle_budget(writer, program, turn, 1)
            await asyncio.sleep(float(pause))

    async def do_turns(self, writer: str, count: str, pause: str) -> None:
        """Record a conversation of `count` turns."""
        await self.do_conversation(count, pause, writer)

    async def do_replaces(self, first: str, count: str, pause: str) -> None:
        """Replace the configuration `count` times in sequence."""
        await self._changes([self.world.replace], int(first), int(count), float(pause))

    async def do_changes(self, first: str, count: str, pause: str) -> None:
        """Change the configuration `count` times, alternating replacements and updates."""
        await self._changes([self.world.replace, self.world.update], int(first), int(count), float(pause))

    async def _changes(self, operations: list[Change], generation: int, count: int, pause: float) -> None:
        for number in range(count):
            status = await operations[number % len(operations)](generation)
            if status != 200:
                await self._resolve_indeterminate_change()
            generation += 3
            await asyncio.sleep(pause)


Action = Callable[..., Coroutine[Any, Any, Any]]
Change = Callable[[int], Coroutine[Any, Any, int]]
