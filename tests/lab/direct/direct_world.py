"""Shared fixtures of the tests of the direct environment: a sidecar with a scripted node and discovery."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import Any

from wheatring.balancer.interface import Idempotency, Limits, Outcome, RequestClass, Settings
from wheatring.daemon.core.exchange import Attempt
from wheatring.lab.direct.links import DirectLinks
from wheatring.lab.direct.node import DirectNode
from wheatring.lab.direct.sidecar import DirectSidecar, SidecarConfig, SidecarNetwork
from wheatring.lab.direct.sidecar_client import DirectRequest, DirectSidecarClient
from wheatring.lab.models.list_request import ListReply
from wheatring.lab.models.received_attempt import AttemptOutcome, ReceivedAttempt
from wheatring.lab.models.request_transport import SidecarRequest
from wheatring.lab.net.time import VirtualTime
from wheatring.lab.plan import NetPlan, TierPlan

LINK = 0.001  # seconds from any host to any other, drawn without jitter
EFFECTS = (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NOT_IDEMPOTENT)


class Time(VirtualTime):
    """Virtual time that is advanced by durations."""

    __slots__ = ()

    def play(self, seconds: float = inf) -> None:
        """Run the events of the next `seconds`, or all events."""
        if seconds < inf:
            self.run(self.instant + seconds)
        else:
            while self.step():
                pass


class CallRecorder:
    """Stands in for the event recorder: keeps each call as (method, values...)."""

    def __init__(self) -> None:
        self.lines: list[tuple[object, ...]] = []

    def __getattr__(self, what: str) -> Callable[..., Any]:
        return lambda *values, **more: self.lines.append((what, *values, *more.values()))

    def all(self, what: str) -> list[tuple[object, ...]]:
        return [line[1:] for line in self.lines if line[0] == what]


class MachineFaults:
    refuses_connections = False
    connect_delay = 0.0


class ScriptedMachine:
    """A node's machine that holds attempts until the test replies, unless `immediate_outcome` is set."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.running = True
        self.is_full = False
        self.connections = 0
        self.attempts: list[ReceivedAttempt] = []
        self.abandoned: list[ReceivedAttempt] = []
        self.immediate_outcome: AttemptOutcome | None = None
        self._faults = MachineFaults()

    @property
    def faults(self) -> MachineFaults:
        return self._faults

    def connect(self) -> float | None:
        if self.is_full:
            return None
        self.connections += 1
        return 0.0

    def disconnect(self) -> None:
        self.connections -= 1

    def receive(self, attempt: ReceivedAttempt) -> None:
        self.attempts.append(attempt)
        if self.immediate_outcome is not None:
            attempt.reply(self.immediate_outcome, "stamp")

    def abandon(self, attempt: ReceivedAttempt) -> None:
        self.abandoned.append(attempt)


class ListRequest:
    is_broken_off = False

    def __init__(self, index: int | None, wait: float, done: Callable[[ListReply | None], None]) -> None:
        self.index = index
        self.wait = wait
        self.done = done
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Registry:
    """Discovery, whose requests the test answers."""

    def __init__(self) -> None:
        self.calls: list[ListRequest] = []

    def request_list(
        self,
        sidecar: str,  # noqa: ARG002 - the protocol's signature
        known_version: int | None,
        wait: float,
        on_reply: Callable[[ListReply | None], None],
    ) -> ListRequest:
        self.calls.append(ListRequest(known_version, wait, on_reply))
        return self.calls[-1]


class World:
    """A sidecar "s" on host "h", a node "n" on "m", a caller on "c" and discovery on "d"."""

    def __init__(self, attempts: int = 1, handshake_rtts: float = 0.0, idle: float = 30.0) -> None:
        self.time = Time()
        self.recorder: Any = CallRecorder()
        recorder = self.recorder
        net = NetPlan(same=LINK, cross=LINK, client=LINK, jitter=0.0)
        self.links = DirectLinks(net, {}, self.time, Random(1))
        self.machine = ScriptedMachine("n")
        self.tier = TierPlan(name="t", work=1.0, handshake_rtts=handshake_rtts, conn_idle=idle)
        self.node = DirectNode(self.machine, "m", self.tier, self.time, self.links, recorder)
        self.nodes = {"m:1": self.node}
        self.registry = Registry()
        self.client = DirectSidecarClient(self.time, self.links, recorder, {"s": ("c", "h")})
        classes = tuple(
            RequestClass(e.value, 1.0, 2.0, 1.0, 1.0, idempotency=e, repeat_window=10.0) for e in EFFECTS
        )
        limits = Limits(
            max_attempts=attempts,
            connect_timeout=0.25,
            idle_timeout=30.0,
            sends_retry_after=True,
            max_retry_after=0.2,
        )
        self.settings = Settings(classes, limits=limits, must_subscribe=True)
        self.attempts: list[Attempt] = []
        self.replies: list[tuple[str, float]] = []
        self.sidecar = self.start()

    def start(self) -> DirectSidecar:
        known = {"generation": 1, "instances": [self.listed()]}
        sidecar = DirectSidecar(
            "s",
            "h",
            SidecarConfig(self.settings, 7, known),
            SidecarNetwork(self.links, self.nodes, self.registry, ("d", 1), self.client),
            time=self.time,
            unix=lambda: 0.0,
            recorder=self.recorder,
        )
        ended = sidecar.exchange.on_attempt_ended

        def record(attempt: Attempt) -> None:
            self.attempts.append(attempt)
            ended(attempt)

        sidecar.exchange.on_attempt_ended = record
        sidecar.start()
        return sidecar

    @staticmethod
    def listed(**more: object) -> dict[str, object]:
        return {"instanceId": "n", "hostPort": "m:1", "lifecycle": "SERVING", "startedAtMs": 0, **more}

    def send(self, ident: str = "a", index: int = 0, time_left: float = 2.0) -> DirectRequest:
        request = SidecarRequest("s", ident, index, time_left, key="", is_marked_retry=False)
        return self.client.send(request, lambda *end: self.replies.append(end))

    def outcomes(self) -> list[Outcome | None]:
        return [attempt.outcome for attempt in self.attempts]
