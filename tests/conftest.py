"""Shared fixtures: request classes, a balancer copy with its endpoints, and short forms of its events."""

from __future__ import annotations

import os
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from hypothesis import settings
from xdist.remote import Producer
from xdist.scheduler import LoadScopeScheduling

from tests.support import known_red
from tests.support.virtual_sockets import VirtualSockets
from tests.support.world import NO_OPERATORS, LoopbackSockets, World, keep_scripted_peers
from wheatring.balancer import interface as i
from wheatring.balancer.balancer import Balancer
from wheatring.daemon.operator_properties import OperatorProperties
from wheatring.lab.live import fleet_rig

# No test fails for the machine's speed; --durations shows the slow ones.
settings.register_profile("counts", deadline=None)
settings.load_profile("counts")

SAFE = i.RequestClass(
    "read", latency_target=1.0, deadline=4.0, idempotency=i.Idempotency.IDEMPOTENT, late_value=0.5
)
KEYED = i.RequestClass(
    "book",
    latency_target=1.0,
    deadline=4.0,
    value=8.0,
    idempotency=i.Idempotency.KEYED,
    repeat_window=2.0,
    late_value=0.5,
)
CELL = i.RequestClass(
    "pay",
    1.0,
    4.0,
    idempotency=i.Idempotency.KEYED,
    repeat_scope=i.RepeatScope.CELL,
    repeat_window=2.0,
    late_value=0.5,
)
ZONE = i.RequestClass(
    "move",
    1.0,
    4.0,
    idempotency=i.Idempotency.KEYED,
    repeat_scope=i.RepeatScope.ZONE,
    repeat_window=2.0,
    late_value=0.5,
)
UNSAFE = i.RequestClass(
    "order", latency_target=1.0, deadline=4.0, idempotency=i.Idempotency.NOT_IDEMPOTENT, late_value=0.5
)
CONTRACT = i.Contract(
    answer_grace=0.02,
    drain_grace=0.25,
    subscribe_within=10.0,
    initial_capacity=0.2,
    warm_up=20.0,
    overload_multiple=3.0,
    overload_time=1.0,
)


# The set-up that all tests of such a file share takes a minute, so one worker runs the whole file. All other
# tests go to any free worker.
ONE_WORKER_FILES = ("tests/lab/live/test_cold_start.py",)


# These start a tier on the same fixed ports, so one worker runs them one after the other.
FIXED_PORTS = (
    "tests/rollout/test_mixed_versions.py::test_a_tier_of_both_versions_keeps_a_conversation",
    "tests/tier/test_command_line.py::test_the_demo_keeps_a_conversation_complete",
)


class WorkerScheduling(LoadScopeScheduling):  # type: ignore[misc]  # it has no types
    def _split_scope(self, nodeid: str) -> str:
        if nodeid in FIXED_PORTS:
            return FIXED_PORTS[0]
        file = nodeid.partition("::")[0]
        return file if file in ONE_WORKER_FILES else nodeid


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config: pytest.Config, log: Producer) -> LoadScopeScheduling:
    return WorkerScheduling(config, log)


def pytest_configure() -> None:
    """Give the fleets of each worker their own addresses.

    A fleet's sidecar gets a free port for one protocol and uses it for TCP and UDP, so fleets that run at the
    same time must not share addresses.
    """
    fleet_rig.ADDRESS_SUFFIX = 1 + int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = known_red.entries()
    for item in items:
        cause = listed.get(known_red.node_without_case(item.nodeid))
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the result of each test of KNOWN-RED.txt that was run."""
    for kind, result in (("xfailed", "failed as known"), ("xpassed", "passed this time")):
        for report in terminalreporter.getreports(kind):
            terminalreporter.write_line(f"KNOWN-RED {result}: {report.nodeid}")


class Copy:
    """A balancer copy under test, with its clock and its request numbers."""

    def __init__(self, seed: int = 1, **changes: Any) -> None:
        changes.setdefault("classes", (SAFE, KEYED, CELL, ZONE, UNSAFE))
        changes.setdefault("contract", CONTRACT)
        self.settings = i.Settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.now = 1000.0
        self.ids = 0

    @property
    def in_flight(self) -> int:
        return sum(request.outstanding for request in self.balancer.requests.values())

    def do(self, event: i.Event, after: float = 0.0) -> list[i.Action]:
        self.now += after
        return self.balancer.handle(self.now, event)

    def view(self, *entries: i.EndpointEntry, kind: i.ViewKind = i.ViewKind.FULL) -> list[i.Action]:
        return self.do(i.View(kind, entries))

    def ask(self, name: str = "read", left: float = 4.0, **more: Any) -> list[i.Action]:
        self.ids += 1
        return self.do(i.NewRequest(self.ids, name, left, **more))

    def send(self, name: str = "read", left: float = 4.0, **more: Any) -> i.Send:
        (action,) = self.ask(name, left, **more)
        assert isinstance(action, i.Send)
        return action

    def end(
        self, send: i.Send, outcome: i.Outcome, attempt: int = 0, after: float = 0.1, **more: Any
    ) -> list[i.Action]:
        event = i.AttemptEnded(send.request, attempt, outcome, send.endpoint, after, **more)
        return self.do(event, after)

    def serve(self, count: int, name: str = "read", latency: float = 0.1) -> None:
        """Serve requests one after the other, so that the copy has estimates and retry tokens."""
        for _ in range(count):
            self.end(self.send(name), i.Outcome.SERVED, after=latency, is_request_over=True)


def entries(*names: str, **more: Any) -> tuple[i.EndpointEntry, ...]:
    return tuple(i.EndpointEntry(name, **more) for name in names)


@pytest.fixture
def copy() -> Copy:
    balancer_copy = Copy()
    balancer_copy.view(*entries("a", "b", "c", "d"))
    return balancer_copy


@pytest.fixture(scope="session")
def running() -> Iterator[None]:
    reactor = LoopbackSockets.reactor
    thread = threading.Thread(target=reactor.run, kwargs={"installSignalHandlers": False})
    thread.start()
    yield
    reactor.callFromThread(reactor.stop)
    thread.join()


@pytest.fixture(params=["loopback", "virtual"])
def make(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[Callable[..., World]]:
    """Return a factory of worlds; a test that uses it runs on loopback and in virtual time."""
    make_sockets: Callable[[], LoopbackSockets | VirtualSockets] = VirtualSockets
    if request.param == "loopback":
        request.getfixturevalue("running")
        make_sockets = LoopbackSockets
    keep_scripted_peers(monkeypatch)
    worlds: list[World] = []

    def build(nodes: int = 1, operators: OperatorProperties = NO_OPERATORS, capture: bool = False) -> World:
        worlds.append(World(make_sockets(), nodes, operators, capture))
        return worlds[-1]

    yield build
    for world in worlds:
        world.end()
