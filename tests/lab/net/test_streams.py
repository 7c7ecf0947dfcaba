"""Random traffic and partitions on one connection: bytes arrive in order, and both ends see it close."""

from __future__ import annotations

from functools import partial
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lab.net.environments import End, HalfEnd, Pair, VirtualEnvironment, events_of

WINDOW, SEGMENT = 1500, 200
WAITS = st.sampled_from([0.0, 0.0, 0.0001, 0.0004, 0.002, 0.3])
ACTIONS = st.one_of(
    st.integers(1, 3000),
    st.sampled_from(["pause", "resume", "resume", "close", "abort", "half", "cut", "cut one way", "heal"]),
)
SCRIPT = st.lists(st.tuples(st.booleans(), ACTIONS, WAITS), max_size=25)


class Run:
    """Runs a script, and checks at each event that no window is exceeded."""

    def __init__(self, script: Any, kinds: Any, ties: bool) -> None:
        self.environment = VirtualEnvironment(ties=ties, window=WINDOW, segment=SEGMENT, jitter=0.9)
        self.pair = Pair(self.environment, *kinds)
        self.wrote = {"client": b"", "server": b""}
        self.actions: dict[str, set[object]] = {"client": set(), "server": set()}
        self.cuts: list[Any] = []
        self.streams = [end.transport.socket.outgoing for end in (self.pair.client, self.pair.server)]
        for is_client, action, wait in script:
            self.action(self.pair.client if is_client else self.pair.server, action)
            self.play(wait)
        self.heal()
        # Ends that did not close the connection themselves, and were notified of a graceful close.
        log, actions = self.pair.log, self.actions
        over = {
            name for name, event, *reason in log if event == "read side over" or reason == ["ConnectionDone"]
        }
        self.closed_by_other = {name for name in over if not actions[name] & {"half", "close", "abort"}}
        self.finish("resume", "close")
        self.finish("abort")  # two ends that close without reading may wait for each other forever

    def finish(self, *actions: str) -> None:
        for action in actions:
            for end in (self.pair.client, self.pair.server):
                self.action(end, action)
        self.play(200.0)

    def play(self, seconds: float) -> None:
        until = self.environment.time.now() + seconds
        while self.environment.time.step(until):
            for stream in self.streams:
                held = [item for item, _ in [*stream.flight, *stream.target.chunks, *stream._held]]
                sizes = [len(item) for item in held if isinstance(item, bytes)]
                assert sum(sizes) <= WINDOW and max(sizes, default=0) <= SEGMENT
        self.environment.time.run(until)

    def action(self, end: End, action: object) -> None:
        transport = end.transport
        net = self.environment.net
        if action in ("cut", "cut one way"):
            self.cuts.append(((self.environment.here.host.name,), (), action != "cut"))
            net.cut(*self.cuts[-1])
        elif action == "heal":
            self.heal()
        elif isinstance(action, int):
            data = b"".join(b"%d," % n for n in range(action))[:action]
            if transport.connected and not transport._writeDisconnected:
                self.wrote[end.name] += data
            self.environment.run(partial(transport.write, data))
        elif not end.over:
            self.actions[end.name].add(action)
            names = {"pause": "pauseProducing", "resume": "resumeProducing", "close": "loseConnection",
                     "abort": "abortConnection", "half": "loseWriteConnection"}  # fmt: skip
            self.environment.run(getattr(transport, names[str(action)]))

    def heal(self) -> None:
        while self.cuts:
            self.environment.net.heal(*self.cuts.pop())


@settings(max_examples=250, deadline=None)
@given(SCRIPT, st.tuples(st.sampled_from([End, HalfEnd]), st.sampled_from([End, HalfEnd])), st.booleans())
def test_bytes_arrive_in_order_and_are_lost_only_by_a_reset(script: Any, kinds: Any, ties: bool) -> None:
    run = Run(script, kinds, ties)
    pair = run.pair
    for end, other in ((pair.client, pair.server), (pair.server, pair.client)):
        wrote = run.wrote[other.name]
        assert wrote.startswith(end.received)
        names = [log_event[0] for log_event in events_of(pair.log, end.name)]
        assert names.count("lost") == 1 and set(names[names.index("lost") :]) <= {"lost", "connector"}
        assert end.received == wrote or end.name not in run.closed_by_other
    assert run.environment.time.running is None
    assert not run.environment.here.descriptors and len(run.environment.there.descriptors) == 1
