"""A complete tier on virtual time, with an operator and agent programs, and invariants that every run checks.

Controllers, storage replicas and the sidecars' storage client are the production classes.

Controllers are named c1, c2, ...; storage machines s1, s2, ...; sidecars e1, e2, ...; clients that read and
write turns w1, w2, .... The name of a host is also its address.
"""

from __future__ import annotations

import asyncio
import contextvars
import json
import shutil
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from tests.support.virtual_loop import CURRENT_INCARNATION, Incarnation, VirtualLoop
from wheatring.tier.boot_settings.settings import Address, Settings, Tolerance
from wheatring.tier.budgets.exceptions import BudgetExceededError
from wheatring.tier.budgets.token_budgets import TokenBudgets
from wheatring.tier.consensus.types import State
from wheatring.tier.controller.api import OperatorApi
from wheatring.tier.controller.controller import Controller
from wheatring.tier.sidecar.process import SidecarProcess
from wheatring.tier.storage.exceptions import QuorumNotReachedError
from wheatring.tier.storage.process import StorageProcess
from wheatring.tier.storage.quorum_client import QuorumClient
from wheatring.tier.subscription.client import Subscription
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.messages_pb2 import ROLE_SIDECAR, EndpointList, OperatorRequest, Presence, Turn
from wheatring.tier.turns.conversations import Conversations
from wheatring.tier.turns.exceptions import TurnNotFoundError

CONTROL_PORT, INTERNAL_PORT, FRONT_PORT = 8000, 7000, 8100
DEFAULT_RETENTION_SECONDS = 600.0  # of turns
OPERATOR_TIMEOUT_SECONDS = 1.0  # for a request to one controller
APPLY_TIMEOUT_SECONDS = 2.0  # from the acknowledgement of a configuration until it is in use


class InvariantViolationError(AssertionError):
    """An invariant is violated, or a check of the run fails."""


@dataclass
class Host:
    """A machine and the process on it."""

    name: str
    folder: Path
    bootstrap: bool
    incarnation: Incarnation | None = None
    process: Any = None
    operator_api: OperatorApi | None = None


@dataclass
class Writer:
    """The part of a sidecar that reads and writes turns and budgets."""

    subscription: Subscription
    store: QuorumClient
    conversations: Conversations
    budgets: TokenBudgets
    generations: list[int] = field(default_factory=list)


@dataclass
class Platform:
    """A simulated platform with an endpoint list."""

    endpoints: EndpointList = field(default_factory=EndpointList)

    async def read(self) -> EndpointList:
        await asyncio.sleep(0.002)
        return self.endpoints


def configuration(generation: int) -> bytes:
    """Return a minimal valid configuration."""
    route = {
        "name": f"r{generation}",
        "hostname": "h",
        "pathPrefix": "/a/",
        "routeType": "safe",
        "timeoutMs": 1000,
        "backend": "s",
    }
    return json.dumps({"generation": generation, "routes": [route], "services": [{"name": "s"}]}).encode()


class World:
    """The simulated tier and its invariants."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        controllers: int,
        storage: int,
        losses: int,
        retention_seconds: float = DEFAULT_RETENTION_SECONDS,
    ) -> None:
        self.loop = VirtualLoop()
        self.folder = folder
        self.random = Random(seed)
        self.losses = losses
        self.retention_seconds = retention_seconds
        self.hosts: dict[str, Host] = {}
        self.platform = Platform()
        self.seeds = [f"c{n}" for n in range(1, min(controllers, 3) + 1)]
        self.writers: dict[str, Writer] = {}
        self.acknowledged: dict[int, bytes] = {}  # configuration by generation
        self.recorded: dict[str, Turn] = {}
        self.recorded_at: dict[str, float] = {}
        self.granted: dict[str, int] = {}  # tokens by program
        self.budget: dict[str, int] = {}
        self.expected_configurations: dict[int, Any] = {}  # by generation, for updates
        self.indeterminate: set[int] = set()
        for number in range(1, controllers + 1):
            self.add(f"c{number}", bootstrap=True)
        for number in range(1, storage + 1):
            self.add(f"s{number}", bootstrap=True)

    # Hosts

    def add(self, name: str, bootstrap: bool = False) -> None:
        """Add a machine."""
        self.hosts[name] = Host(name, self.folder / name, bootstrap)

    def _settings(self, host: Host) -> Settings:
        return Settings(
            path=str(self.folder / "none.json"),
            node=host.name,
            ip=host.name,
            zone=f"z{host.name[1:]}",
            listen={
                "control": Address(host.name, CONTROL_PORT),
                "front": Address(host.name, FRONT_PORT),
                "ready": Address(host.name, FRONT_PORT + 1),
            },
            internal_ports=(INTERNAL_PORT, INTERNAL_PORT + 15),
            seeds=tuple(Address(seed, CONTROL_PORT) for seed in self.seeds),
            bootstrap=host.bootstrap,
            data_folder=str(host.folder),
            memory_mb=300,
            disk_mb=128,
            tolerance=Tolerance(self.losses, 0, 0),
            platform=None,
            bounds={"drainMs": 3000},
        )

    def run_as(
        self, incarnation: Incarnation, coroutine_function: Callable[[], Coroutine[Any, Any, Any]]
    ) -> asyncio.Task[Any]:
        """Run a coroutine in the context of a process."""
        context = contextvars.copy_context()
        context.run(CURRENT_INCARNATION.set, incarnation)
        return context.run(lambda: self.loop.create_task(coroutine_function(), context=context))

    def start(self, name: str) -> None:
        """Start the process of a machine."""
        host = self.hosts[name]
        incarnation = host.incarnation = Incarnation(name)

        async def start_process() -> None:
            random = Random(self.random.getrandbits(32))
            settings = self._settings(host)
            if name.startswith("c"):
                host.process = Controller(settings, random, self.platform)
                host.operator_api = OperatorApi(host.process)
            elif name.startswith("e"):
                host.process = SidecarProcess(settings, random)
            else:
                host.process = StorageProcess(settings, random)
            await host.process.start()
            host.bootstrap = False

        self.run_as(incarnation, start_process)

    def kill(self, name: str, wipe: bool = False) -> None:
        """Kill a process. Unsynced data is lost, and with `wipe` the whole disk."""
        host = self.hosts[name]
        if host.incarnation is not None:
            host.incarnation.alive = False
            host.incarnation = None
            host.process = host.operator_api = None
        self.loop.network.kill(name)
        if wipe:
            shutil.rmtree(host.folder, ignore_errors=True)

    def freeze(self, name: str) -> None:
        """Suspend a process."""
        incarnation = self.hosts[name].incarnation
        if incarnation is not None:
            incarnation.frozen = True

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        incarnation = self.hosts[name].incarnation
        if incarnation is not None:
            incarnation.thaw(self.loop)

    def cut(self, name: str, others: list[str], one_way: bool = False) -> None:
        """Partition a machine from others, in one direction or both."""
        for other in others:
            self.loop.network.cut(name, other)
            if not one_way:
                self.loop.network.cut(other, name)

    def heal(self, name: str, others: list[str]) -> None:
        """End a partition."""
        for other in others:
            self.loop.network.heal(name, other)
            self.loop.network.heal(other, name)

    def running(self, prefix: str) -> list[str]:
        """Return the machines with a running process whose names begin with the prefix."""
        return [n for n, host in self.hosts.items() if n.startswith(prefix) and host.incarnation is not None]

    def leader(self) -> str:
        """Return the controller that believes it leads in the newest term, or any running one."""
        leading = [
            (host.process.replica.term, name)
            for name, host in self.hosts.items()
            if host.process is not None
            and name.startswith("c")
            and host.process.replica.state is State.LEADER
        ]
        return max(leading)[1] if leading else self.running("c")[0]

    # Operator

    async def call_operator_api(
        self, method: str, path: str, base: int = 0, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Try controllers until one replies with a status below 500; return status 0 if none does."""
        for attempt in range(12):
            running = self.running("c")
            if running:
                name = running[(self.random.randrange(len(running)) + attempt) % len(running)]
                reply = await self._call_operator_api_at(name, method, path, base, body)
                if reply[0] and reply[0] < 500:
                    return reply
            await asyncio.sleep(0.3)
        return 0, b""

    async def _call_operator_api_at(
        self, name: str, method: str, path: str, base: int, body: bytes
    ) -> tuple[int, bytes]:
        host = self.hosts[name]
        if host.incarnation is None or host.operator_api is None:
            return 0, b""
        request = OperatorRequest(method=method, path=path, base_revision=str(base), body=body)
        task = self.run_as(host.incarnation, lambda: host.operator_api.handle(request))  # type: ignore[union-attr]
        done, _ = await asyncio.wait([task], timeout=OPERATOR_TIMEOUT_SECONDS)
        if not done:
            return 0, b""
        reply = task.result()
        return reply.status, reply.body

    async def replace(self, generation: int) -> int:
        """Replace the newest acknowledged configuration."""
        base = max(self.acknowledged, default=0)
        body = configuration(generation)
        return await self._change("/config/replace", base, generation, body)

    async def update(self, generation: int) -> int:
        """Update the newest acknowledged configuration: add a route, and remove the oldest beyond three."""
        base = max(self.acknowledged, default=0)
        current = json.loads(self.acknowledged.get(base, configuration(0)))
        routes = {route["name"]: route for route in current["routes"]}
        removed = list(routes)[: max(0, len(routes) - 3)]
        route = dict(json.loads(configuration(generation))["routes"][0], pathPrefix=f"/u{generation}/")
        changes: dict[str, Any] = {"generation": generation, "upsert": {"routes": [route]}}
        if removed:
            changes["remove"] = {"routes": removed}
        kept = [kept for name, kept in routes.items() if name not in removed]
        expected = current | {"generation": generation, "routes": [*kept, route]}
        status = await self._change("/config/update", base, generation, json.dumps(changes).encode())
        if status == 200:
            self.acknowledged[generation] = json.dumps(expected).encode()
            self.expected_configurations[generation] = expected
        return status

    async def _change(self, path: str, base: int, generation: int, body: bytes) -> int:
        self.indeterminate.add(generation)  # until the reply, the change may or may not be applied
        status, _ = await self.call_operator_api("POST", path, base, body)
        if status == 200:
            self.acknowledged[generation] = body
        if status:
            self.indeterminate.discard(generation)
        return status

    async def describe(self) -> int:
        """Read the configuration and check that it is current; return its generation, or 0."""
        newest = max(self.acknowledged, default=0)
        status, body = await self.call_operator_api("GET", "/config/describe")
        if status != 200:
            return 0
        generation = int(json.loads(body)["generation"])
        if generation < newest:
            raise InvariantViolationError(
                f"generation {newest} was acknowledged, but {generation} is current"
            )
        if generation in self.expected_configurations:
            is_same = json.loads(body) == self.expected_configurations[generation]
        else:
            is_same = body == self.acknowledged.get(generation, body)
        if not is_same:
            raise InvariantViolationError(f"generation {generation} differs from what was sent")
        if generation not in self.acknowledged and generation not in self.indeterminate:
            raise InvariantViolationError(f"generation {generation} is current but was never accepted")
        return generation

    async def describe_at_each(self) -> None:
        """Read the configuration at each controller, and check that none returns an outdated one."""
        newest = max(self.acknowledged, default=0)
        names = self.running("c")
        pending_replies = [
            self._call_operator_api_at(name, "GET", "/config/describe", 0, b"") for name in names
        ]
        for name, (status, body) in zip(names, await asyncio.gather(*pending_replies), strict=True):
            if status == 200 and int(json.loads(body)["generation"]) < newest:
                raise InvariantViolationError(f"{name} returned {body!r} although {newest} was acknowledged")

    # Agent programs

    def add_writer(self, name: str) -> Writer:
        """Add a sidecar's storage client."""
        incarnation = Incarnation(name)
        clients = ClientTable(INTERNAL_PORT + 1)
        writer: Writer

        def record_generation() -> None:
            view = subscription.view
            if writer.generations and view.generation < writer.generations[-1]:
                raise InvariantViolationError(f"{name} reverted to generation {view.generation}")
            writer.generations.append(view.generation)

        zone = f"z{name[1:]}"
        subscription = Subscription(
            seeds=lambda: self.seeds,
            port=INTERNAL_PORT,
            zone=zone,
            presence=lambda: Presence(role=ROLE_SIDECAR, replica_id=name, node=name, address=name),
            presence_interval_seconds=2.0,
            on_change=record_generation,
            random=Random(self.random.getrandbits(32)),
        )
        store = QuorumClient(
            clients, self.losses, zone, lambda: subscription.view.placement, subscription.adopt_placement
        )
        writer = Writer(subscription, store, Conversations(store), TokenBudgets(store))
        self.writers[name] = writer
        self.hosts[name] = Host(name, self.folder / name, False, incarnation)
        self.run_as(incarnation, subscription.run)
        return writer

    async def as_writer(
        self, name: str, coroutine_function: Callable[[Writer], Coroutine[Any, Any, Any]]
    ) -> Any:
        """Run a coroutine in the context of a writer."""
        incarnation = self.hosts[name].incarnation
        assert incarnation is not None
        return await self.run_as(incarnation, lambda: coroutine_function(self.writers[name]))

    async def record(self, name: str, turn_id: str, previous: str = "") -> bool:
        """Record a turn after another one; return whether it was acknowledged."""
        before = self.recorded.get(previous)
        ancestors = [*before.ancestors, before.id] if before is not None else []
        turn = Turn(
            id=turn_id,
            ancestors=ancestors,
            input=b"in " + turn_id.encode(),
            retention_ms=int(self.retention_seconds * 1000),
        )
        try:
            await self.as_writer(name, lambda writer: writer.conversations.record(turn, 2.0))
        except QuorumNotReachedError:
            return False
        self.recorded[turn_id] = turn
        self.recorded_at[turn_id] = self.loop.time()
        return True

    def retained_turn_ids(self) -> list[str]:
        """Return the recorded turns whose retention is not over, the chain of which must be readable."""
        now = self.loop.time()
        return [
            i for i, recorded_at in self.recorded_at.items() if now - recorded_at < self.retention_seconds
        ]

    async def read(self, name: str, turn_id: str) -> str:
        """Read a conversation, bypassing the cache; return "found", "none" or "not sure"."""
        writer = self.writers[name]
        writer.conversations.cache._turns.clear()
        writer.conversations.cache._size_bytes = 0
        try:
            chain = await self.as_writer(name, lambda w: w.conversations.read_chain(turn_id, 2.0))
        except QuorumNotReachedError:
            return "not sure"
        except TurnNotFoundError:
            if turn_id in self.retained_turn_ids():
                raise InvariantViolationError(
                    f"turn {turn_id} was recorded but reported as missing"
                ) from None
            return "none"
        expected = [*self.recorded[turn_id].ancestors, turn_id] if turn_id in self.recorded else None
        if expected is not None and [turn.id for turn in chain] != expected:
            raise InvariantViolationError(f"turn {turn_id} was returned with the wrong chain")
        return "found"

    async def reserve(self, name: str, program: str, turn: str, tokens: int, budget: int) -> str:
        """Reserve tokens and check the total granted; return "granted", "spent" or "not sure"."""
        try:
            await self.as_writer(name, lambda w: w.budgets.reserve(program, turn, tokens, budget, 2.0))
        except BudgetExceededError:
            return "spent"
        except QuorumNotReachedError:
            return "not sure"
        self.granted[program] = self.granted.get(program, 0) + tokens
        if self.granted[program] > budget:
            raise InvariantViolationError(
                f"program {program} was granted {self.granted[program]} of {budget}"
            )
        return "granted"

    async def settle_budget(self, name: str, program: str, turn: str, tokens: int) -> None:
        """Replace a reservation by the tokens delivered."""

        async def settle(writer: Writer) -> None:
            writer.budgets.settle(program, turn, tokens)

        await self.as_writer(name, settle)

    # Invariants

    def check(self) -> None:
        """Check the invariants that hold at any time. Raises InvariantViolationError."""
        leaders: dict[int, str] = {}
        for name, host in self.hosts.items():
            if not name.startswith("c") or host.process is None:
                continue
            replica = host.process.replica
            if replica.state is State.LEADER:
                other = leaders.setdefault(replica.term, name)
                if other != name:
                    raise InvariantViolationError(f"{name} and {other} both lead term {replica.term}")
        for exception_context in self.loop.faults:
            error = exception_context.get("exception")
            if error is not None and not isinstance(error, asyncio.CancelledError):
                raise InvariantViolationError(
                    f"unexpected: {exception_context['message']}: {error!r}"
                ) from error

    async def settle(self, seconds: float) -> None:
        """Let virtual time pass, checking the invariants every 50 ms."""
        end = self.loop.time() + seconds
        while (remaining_seconds := end - self.loop.time()) > 0:
            await asyncio.sleep(min(0.05, remaining_seconds))
            self.check()

    def open(self) -> None:
        """Start all machines on the virtual loop."""
        asyncio.set_event_loop(self.loop)
        for name in list(self.hosts):
            self.start(name)

    def close(self) -> None:
        """Stop all processes and drop their pending tasks."""
        for host in self.hosts.values():
            if host.incarnation is not None:
                host.incarnation.alive = False
        for task in asyncio.all_tasks(self.loop):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
        asyncio.set_event_loop(None)

    def run(self, coroutine_function: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start all machines, run a coroutine to completion and check the invariants."""
        try:
            self.open()
            self.loop.run_until_complete(coroutine_function())
            self.check()
        finally:
            self.close()
