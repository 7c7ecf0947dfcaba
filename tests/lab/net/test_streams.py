"""Random traffic on one connection: what holds of its bytes and its end, whatever both ends do."""

from __future__ import annotations

from functools import partial
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.lab.net.environments import End, HalfEnd, Pair, VirtualEnvironment, events_of

WINDOW, SEGMENT = 1500, 200
WAITS = st.sampled_from([0.0, 0.0, 0.0001, 0.0004, 0.002, 0.3])
ACTS = st.one_of(
    st.integers(1, 3000),
    st.sampled_from(["pause", "resume", "resume", "close", "abort", "half", "cut", "cut one way", "heal"]),
)
SCRIPT = st.lists(st.tuples(st.booleans(), ACTS, WAITS), max_size=25)


class Run:
    """Plays a script, and checks at each event that no window is exceeded."""

    def __init__(self, script: Any, kinds: Any, ties: bool) -> None:
        self.environment = VirtualEnvironment(ties=ties, window=WINDOW, segment=SEGMENT, jitter=0.9)
        self.pair = Pair(self.environment, *kinds)
        self.wrote = {"client": b"", "server": b""}
        self.acts: dict[str, set[object]] = {"client": set(), "server": set()}
        self.cuts: list[Any] = []
        self.streams = [end.transport.socket.out for end in (self.pair.client, self.pair.server)]
        for mine, act, wait in script:
            self.act(self.pair.client if mine else self.pair.server, act)
            self.play(wait)
        self.heal()
        # Ends that did nothing to end it, and have been told in an orderly way that it is over.
        log, acts = self.pair.log, self.acts
        over = {name for name, what, *why in log if what == "read side over" or why == ["ConnectionDone"]}
        self.closed_by_other = {name for name in over if not acts[name] & {"half", "close", "abort"}}
        self.finish("resume", "close")
        self.finish("abort")  # two that close and read no more may wait for each other for ever

    def finish(self, *acts: str) -> None:
        for act in acts:
            for end in (self.pair.client, self.pair.server):
                self.act(end, act)
        self.play(200.0)

    def play(self, seconds: float) -> None:
        until = self.environment.time.now() + seconds
        while self.environment.time.step(until):
            for stream in self.streams:
                held = [item for item, _ in [*stream.flight, *stream.target.chunks, *stream._held]]
                sizes = [len(item) for item in held if isinstance(item, bytes)]
                assert sum(sizes) <= WINDOW and max(sizes, default=0) <= SEGMENT
        self.environment.time.run(until)

    def act(self, end: End, act: object) -> None:
        transport = end.transport
        net = self.environment.net
        if act in ("cut", "cut one way"):
            self.cuts.append(((self.environment.here.host.name,), (), act != "cut"))
            net.cut(*self.cuts[-1])
        elif act == "heal":
            self.heal()
        elif isinstance(act, int):
            data = b"".join(b"%d," % n for n in range(act))[:act]
            if transport.connected and not transport._writeDisconnected:
                self.wrote[end.name] += data
            self.environment.run(partial(transport.write, data))
        elif not end.over:
            self.acts[end.name].add(act)
            names = {"pause": "pauseProducing", "resume": "resumeProducing", "close": "loseConnection",
                     "abort": "abortConnection", "half": "loseWriteConnection"}  # fmt: skip
            self.environment.run(getattr(transport, names[str(act)]))

    def heal(self) -> None:
        while self.cuts:
            self.environment.net.heal(*self.cuts.pop())


@settings(max_examples=250, deadline=None)
@given(SCRIPT, st.tuples(st.sampled_from([End, HalfEnd]), st.sampled_from([End, HalfEnd])), st.booleans())
def test_bytes_come_in_order_none_invented_and_none_lost_but_by_a_reset(
    script: Any, kinds: Any, ties: bool
) -> None:
    run = Run(script, kinds, ties)
    pair = run.pair
    for end, other in ((pair.client, pair.server), (pair.server, pair.client)):
        wrote = run.wrote[other.name]
        assert wrote.startswith(end.got)
        names = [note[0] for note in events_of(pair.log, end.name)]
        assert names.count("lost") == 1 and set(names[names.index("lost") :]) <= {"lost", "connector"}
        assert end.got == wrote or end.name not in run.closed_by_other
    assert run.environment.time.running is None
    assert not run.environment.here.descriptors and len(run.environment.there.descriptors) == 1
