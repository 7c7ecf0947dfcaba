"""Checks each event of a day against the rules, and computes the figures.

The names in `Outcome.counts`:

| name | counts |
| --- | --- |
| `taken` | requests taken by sidecars, including calls of nodes |
| `tries` | the tries of clients among these |
| `answered`, `refused`, `failed` | served, refused and failed answers at all tiers |
| `lost`, `untaken`, `left` | requests with another end |
| `forgiven` | requests excused because their sidecar was killed |
| `unsent_late` | tries without an attempt, refused or failed after half of their time, or never answered |
| `unsent_late_worth` | their worth |
| `held_back` | 0.3 of that worth as a share of all worth requested; not deducted from `g` |
| `attempts`, `turned_away` | attempts that arrived, and those of them that never ran |
| `sends`, `drains_checked` | first bytes sent, and those of them to nodes that were ever draining or gone |
| `effects` | runs that had an effect |
| `list_calls` | calls that reached discovery |
| `told_late` | changes that a sidecar was notified of after it was presumed to know them |
| `cold_starts`, `cold_over` | watched starts, and those of them that ended in an overload, from any sender |
| `worth_asked`, `worth_in_time`, `worth_late` | sums of worth: requested, earned in time, earned late |
| `work_asked`, `work_done`, `work_useful` | work in seconds on a standard core: requested (by the classes' \
means), done, useful |
| `front_gap` | seconds in which all front sidecars were down or had been sent SIGTERM 0.4 s ago or earlier |
| any other | notes of that name: `unconnected` counts failed connects of sidecars, `list_turn` the queued \
calls that discovery began to serve |
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from wheatring.lab.event_recorder import FirstTryEnd, NodeState
from wheatring.lab.outcome import Outcome
from wheatring.lab.plan import Plan
from wheatring.lab.rules import bounds
from wheatring.lab.rules.answers import ARRIVAL_AFTER_STOP_SECONDS
from wheatring.lab.rules.discovery_calls import DiscoveryCalls
from wheatring.lab.rules.drains import Drains
from wheatring.lab.rules.duplicates import SOCKET_TOLERANCE_SECONDS
from wheatring.lab.rules.front_outage import FrontOutage
from wheatring.lab.rules.request_checker import RequestChecker
from wheatring.lab.rules.trace import FirstRequestLookup, Trace, text
from wheatring.lab.rules.warm_up import WarmUps

UNSENT_PENALTY_SHARE = 0.3  # share of the worth of a try that ended late or never without an attempt


class InvariantChecker(RequestChecker):
    """Implements `EventRecorder`. `now` returns the world's time, `start` is the start of the day.

    `first_request_of` returns the client's first try behind a request, which links the work of calls to the
    client's answer (`work_accounting.py`). An impossible event raises `MisuseError`: it is a bug of the lab.
    """

    def __init__(
        self,
        plan: Plan,
        grain: str,
        now: Callable[[], float],
        start: float,
        trace: Trace | None = None,
        first_request_of: FirstRequestLookup | None = None,
    ) -> None:
        super().__init__(plan, now, start, trace, first_request_of)
        self.grain = grain
        self.drains = Drains(plan, self.links)
        self.kinds = {each.name: plan.tiers[each.tier].kinds[each.kind] for each in plan.nodes}
        self.stopping_since: dict[str, float] = {}  # time of SIGTERM, by sidecar
        self.warm_ups = WarmUps(plan.rules, self.drains, self.breaches)
        self.degraded_nodes: dict[str, None] = {}
        self.send_count = self.checked_send_count = self.excused_count = self.list_call_count = 0
        self.notes: dict[str, float] = {}
        self.timeline: list[tuple[float, str]] = []
        self.overloaded_node = ""  # the node that has just been overloaded
        self.front_outage = FrontOutage(self.front, start)
        self.discovery_calls = DiscoveryCalls(self.day_seconds)

    def start_day(self, at: float) -> None:
        """Set the start of the day, for a world that needs an unknown time to start up.

        Until then `start` must lie in the future for all recorded events.
        """
        figures = self.figures
        self.start = self.breaches.start = self.links.start = figures.start = self.front_outage.start = at
        figures.current_end = at + 1.0
        if self.trace is not None:
            self.trace.start = at

    def record_event(self, what: str) -> None:
        """Add an entry to the timeline of the day."""
        self.timeline.append((self.day_seconds(self.now()), what))

    # Clients

    def asked(self, first: int, index: int) -> None:
        """Record that a client makes a first try of the class at an index."""
        at = self.now()
        self.figures.asked(first, index, at)
        if self.trace is not None:
            self.trace.line(at, "", f"asked first={first} index={index}", first)

    def settled(self, first: int, end: FirstTryEnd, tries: int) -> None:
        """Record the end of a first try, after a number of tries."""
        at = self.now()
        self.figures.settled(first, end, at)
        if self.trace is not None:
            self.trace.line(at, "", f"settled first={first} end={end} tries={tries}", first)

    # Sidecars

    def sidecar_up(self, sidecar: str) -> None:
        """Record that a sidecar has started."""
        at = self.now()
        self.down_sidecars.discard(sidecar)
        self.discovery_calls.sidecar_up(sidecar, at)
        if sidecar in self.front:
            self.front_outage.up(sidecar, at)
        self.stopping_since.pop(sidecar, None)
        self.drains.sidecar_up(sidecar, at)
        if at > self.start and sidecar in self.front:
            self.record_event(f"sidecar {sidecar} starts")
        if self.trace is not None:
            self.trace.line(at, "", f"sidecar_up sidecar={sidecar}")

    def sidecar_stopping(self, sidecar: str) -> None:
        """Record that a sidecar was sent SIGTERM."""
        at = self.now()
        self.stopping_since[sidecar] = at
        if sidecar in self.front:
            self.front_outage.stopping(sidecar, at)
        self.record_event(f"sidecar {sidecar} is told to stop")
        if self.trace is not None:
            self.trace.line(at, "", f"sidecar_stopping sidecar={sidecar}")

    def sidecar_down(self, sidecar: str, killed: bool) -> None:
        """Record that a sidecar's process has ended, and check its open requests."""
        at = self.now()
        stopping_at = self.stopping_since.get(sidecar)
        open_requests = self.open_requests.get(sidecar, {})
        if self.trace is not None:
            self.trace.line(at, "", f"sidecar_down sidecar={sidecar} killed={killed}")
        if sidecar in self.front or not killed:
            self.record_event(f"sidecar {sidecar} {'is killed' if killed else 'ends'}")
        if not killed and stopping_at is None:
            what = f"{sidecar} ended by itself, and nobody had told it to."
            self.breaches.add("answer", what, sidecar=sidecar)
        last_arrival = float("inf") if stopping_at is None else stopping_at + ARRIVAL_AFTER_STOP_SECONDS
        for request in open_requests.values():
            self.answers.check_unanswered(request, at)
            # Other requests are checked at their caller's next event, which may report them as untaken.
            if at > request.deadline + self.grace:
                request.is_excused = True  # already checked above
            elif killed and request.taken_at <= last_arrival:
                request.is_excused = True
                self.excused_count += 1
        open_requests.clear()
        self.down_sidecars.add(sidecar)
        self.last_down_at[sidecar] = at
        if sidecar in self.front:
            self.front_outage.down(sidecar, at)
        self.drains.sidecar_down(sidecar)

    # Attempts

    def sending(self, sidecar: str, node: str, at: float) -> None:
        """Record that a sidecar sent the first byte of an attempt at time `at`."""
        self.send_count += 1
        if node in self.drains.ever_unavailable:
            self._check_drain(sidecar, node, at)
        if self.trace is not None:
            line = f"sending sidecar={sidecar} node={node} at={self.day_seconds(at)!r}"
            self.trace.line(self.now(), "", line)

    def _check_drain(self, sidecar: str, node: str, at: float) -> None:
        self.checked_send_count += 1
        unavailable_since = self.drains.unavailable_since(sidecar, node, at)
        if (
            unavailable_since is not None
            and at > unavailable_since + self.plan.rules.drain_grace + SOCKET_TOLERANCE_SECONDS
        ):
            delay = at - unavailable_since
            what = f"{sidecar} sent to {node} {delay:.3f} s after it knew that it drains or is gone."
            index = self.breaches.add("drain", what, sidecar=sidecar, node=node)
            if index >= 0:
                self.unidentified_drain_breaches[sidecar, node, at] = index

    # Nodes and discovery

    def node_up(self, node: str, capacity: Callable[[], float]) -> None:
        """Record that a node has started; `capacity` returns its current capacity."""
        at = self.now()
        self.warm_ups.watched.pop(node, None)
        if at > self.start:
            self.record_event(f"node {node} starts")
            self.warm_ups.node_up(node, self.kinds[node], capacity, at)
        if self.trace is not None:
            self.trace.line(at, "", f"node_up node={node}")

    def node_down(self, node: str) -> None:
        """Record that a node has ended."""
        at = self.now()
        self.warm_ups.watched.pop(node, None)
        self.work.node_down(node)
        if node != self.overloaded_node:
            self.record_event(f"node {node} ends")
        self.overloaded_node = ""
        if self.trace is not None:
            self.trace.line(at, "", f"node_down node={node}")

    def offered(self, node: str, sidecar: str, work: float) -> None:
        """Record work (seconds on a standard core) that a sidecar sent to a node."""
        if node in self.warm_ups.watched:
            self.warm_ups.record_offer(node, sidecar, work, self.now())
        if self.trace is not None:
            self.trace.line(self.now(), "", f"offered node={node} sidecar={sidecar} work={work!r}")

    def choked(self, node: str) -> None:
        """Record that a node is choked."""
        self.degraded_nodes[node] = None
        self.record_event(f"node {node} chokes")
        if self.trace is not None:
            self.trace.line(self.now(), "", f"choked node={node}")

    def known(self, node: str, state: NodeState, started: float) -> None:
        """Record that discovery knows a new state of a node."""
        at = self.now()
        self.drains.record_state(node, state, started, at)
        if self.trace is not None:
            self.trace.line(at, "", f"known node={node} state={state} started={started!r}")

    def told(self, sidecar: str, node: str, state: NodeState, started: float) -> None:
        """Record that discovery has sent a state of a node to a sidecar."""
        at = self.now()
        self.drains.record_notification(sidecar, node, state, started, at)
        if self.trace is not None:
            line = f"told sidecar={sidecar} node={node} state={state} started={started!r}"
            self.trace.line(at, "", line)

    def asking(self, sidecar: str, wait: float) -> None:
        """Record a call of a sidecar to discovery that may wait for `wait` seconds."""
        at = self.now()
        self.list_call_count += 1
        self.discovery_calls.record_call(sidecar, at)
        self.drains.record_call(sidecar, wait, at)
        if self.trace is not None:
            self.trace.line(at, "", f"asking sidecar={sidecar} wait={wait!r}")

    def brought(self, sidecar: str) -> None:
        """Record that discovery has answered a call of a sidecar."""
        self.discovery_calls.record_answer(sidecar, self.now())

    def unheard(self, sidecar: str, failed: bool = False) -> None:
        """Record that a call ended without a change; `failed` if it failed."""
        at = self.now()
        self.discovery_calls.record_end(sidecar, failed, at)
        self.drains.record_call_end(sidecar, failed, at)
        if self.trace is not None:
            self.trace.line(at, "", f"unheard sidecar={sidecar} failed={failed}")

    # Other events

    def note(self, what: str, **values: object) -> None:
        """Count an event that no rule checks, and trace its values."""
        self.notes[what] = self.notes.get(what, 0) + 1
        if what == "unconnected":
            self.figures.second(self.now()).unconnected += 1
        elif what == "fell":
            self.overloaded_node = str(values["node"])
            self.record_event(f"node {self.overloaded_node} is pushed over")
        if self.trace is not None:
            pairs = " ".join([f"{name}={text(value)}" for name, value in values.items()])
            self.trace.line(self.now(), str(values.get("ident", "")), f"{what} {pairs}")

    def fault(self, sidecar: str, line: str) -> None:
        """Record a log line in which a sidecar reports an internal fault."""
        self.breaches.add("fault", f"{sidecar} logged: {line}", sidecar=sidecar)

    # End of the day

    def finish(self, wall_s: float, leftovers: Mapping[str, Mapping[str, int]]) -> Outcome:
        """Check all open requests, and compute the outcome; no event may be recorded afterwards."""
        at = self.now()
        for request in self.requests.values():
            if not request.end:
                if request.is_excused:
                    continue
                if request.sidecar in self.down_sidecars:
                    self.answers.check_lost(request, "its process ended")
                else:
                    self.answers.check_unanswered(request, at)
            if self.forbids_hedging and len(request.attempts) > 1:
                for attempt in request.attempts:
                    if attempt.in_flight:
                        attempt.ended_at = at
                        self.duplicates.check_overlap(request, attempt)
        busy = {request.sidecar for request in self.requests.values() if at <= request.deadline + self.grace}
        bounds.check_bounds(leftovers, self.plan.limits, busy, self.breaches)
        figures = self.figures
        figures.finish(at)
        asked_work = figures.asked_work()
        wasted_work = max(0.0, self.work.total_seconds - self.work.useful_seconds)
        waste = wasted_work / asked_work if asked_work > 0 else 0.0
        outcome = figures.outcome(self.grain, at, wall_s, waste, self._choke_price())
        outcome.breaches = self.breaches.kept
        outcome.breach_count = self.breaches.count
        outcome.attempts_by_tier = self.attempts_by_tier
        if self.attempts_by_tier and self.client_attempt_count:
            outcome.attempts_each = self.attempts_by_tier[0] / self.client_attempt_count
        outcome.node_work = self.work.by_node
        outcome.happened = self.timeline
        outcome.lists = self.discovery_calls.figures
        outcome.counts = self._counts(asked_work)
        outcome.trace_hash = self.trace.hash if self.trace is not None else ""
        return outcome

    def _choke_price(self) -> float:
        price = 0.0
        for number, tier in enumerate(self.plan.tiers):
            nodes = [node.name for node in self.plan.nodes if node.tier == number]
            if tier.choke is not None and nodes:
                price += tier.choke.price * len([n for n in nodes if n in self.degraded_nodes]) / len(nodes)
        return price

    def _counts(self, asked_work: float) -> dict[str, float]:
        figures, ends = self.figures, self.end_counts
        earned = sum([second.earned for second in figures.seconds])
        worth = sum([second.worth for second in figures.seconds])
        return {
            "taken": self.taken_count,
            "tries": self.client_attempt_count,
            "answered": ends["served"],
            "refused": ends["refused"],
            "failed": ends["failed"],
            "lost": ends["lost"],
            "untaken": ends["unknown"],
            "left": ends["left"],
            "forgiven": self.excused_count,
            "unsent_late": self.unsent_count,
            "unsent_late_worth": self.unsent_value,
            "held_back": UNSENT_PENALTY_SHARE * self.unsent_value / worth if worth > 0 else 0.0,
            "attempts": sum(self.attempts_by_tier),
            "turned_away": self.rejected_count,
            "sends": self.send_count,
            "drains_checked": self.checked_send_count,
            "effects": self.effect_count,
            "front_gap": round(self.front_outage.total_seconds, 6),
            "list_calls": self.list_call_count,
            "told_late": self.drains.late_count,
            "cold_starts": self.warm_ups.start_count,
            "cold_over": self.warm_ups.overload_count,
            "worth_asked": worth,
            "worth_in_time": earned - figures.earned_late,
            "worth_late": figures.earned_late,
            "work_asked": asked_work,
            "work_done": self.work.total_seconds,
            "work_useful": self.work.useful_seconds,
            **self.notes,
        }
