"""The plan of one day in the lab: machines, sidecars, traffic, limits and faults.

A plan is drawn from a scenario and a seed; a simulated world or a live rig is built from it. All times are
seconds, all amounts of work seconds on a standard core, shares are fractions of 1. Names are unique. Field
names are the keys of stored plans and must not change; comments give the usual terms where they differ.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

Effect = Literal["safe", "keyed", "unsafe"]
DISCOVERY = "127.4.0.1"  # the host of the discovery service
Held = Literal["now", "old", "none"]


class PlanPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all parts of a plan: immutable, encoded by field name; unknown fields are errors."""


class ClassPlan(PlanPart, frozen=True, kw_only=True):
    """One class of requests. The work of a request is drawn once, at its first try; all retries share it."""

    name: str
    share: float  # weight of the class among the first tries
    work: float  # mean work; each tier takes a share of it
    dist: Literal["lognormal", "pareto", "fixed"] = "lognormal"
    cv: float = 1.5  # coefficient of variation of the work
    attempt_noise: float = 0.0  # cv of an additional factor drawn for each attempt
    aim: float = 2.5  # latency target
    deadline: float = 6.0
    worth: float = 1.0  # value of an answer
    late_worth: float = 0.0  # share of the value of an answer past the latency target
    effect: Effect = "safe"
    window: float = 10.0  # deduplication window of a key, from the first try that may have run


class KindPlan(PlanPart, frozen=True, kw_only=True):
    """One kind of machine: its capacity, its queue, and how it behaves under load."""

    name: str
    cores: int = 2
    slots: int = 32  # concurrent requests, including those that wait for the next tier
    queue: int = 4  # length of the queue for slots; further requests are rejected
    thrash: float = 0.0  # relative additional work for each `knee` requests in flight beyond the first `knee`
    knee: float = 1e9  # requests in flight above which the machine thrashes
    cold_from: float = 1.0  # share of the capacity at the start of slow start
    cold: float = 0.0  # duration of slow start, in which the capacity rises linearly
    pause_every: float = 0.0  # mean time between pauses (as of a garbage collector); 0: no pauses
    pause: float = 0.0  # mean length of a pause
    pause_grow: float = 0.0  # relative increase of the length of pauses at full utilisation
    error_rate: float = 0.0  # share of answers that are errors without any fault


class ChokePlan(PlanPart, frozen=True, kw_only=True):
    """How an overloaded machine becomes slow until it is mostly idle (metastable failure)."""

    at: float  # overload threshold: requests in flight for each core, in excess of one
    over: float  # time of overload until the machine becomes slow
    slower: float  # factor by which it is slower
    rest: float  # time mostly idle until it recovers
    below: float  # utilisation below which it is mostly idle
    most: float  # maximum time until it recovers
    price: float = 0.0  # deduction from the goal figure if all machines of the tier are slow


class TierPlan(PlanPart, frozen=True, kw_only=True):
    """One tier of machines: their kinds, and the cost of connections to them."""

    name: str
    work: float  # share of a class's work that one attempt takes at this tier
    calls: float = 1.0  # mean number of sequential calls to this tier for one attempt at the tier above
    kinds: tuple[KindPlan, ...] = ()
    choke: ChokePlan | None = None
    handshake_rtts: float = 2.0  # round trips of a connection's handshake
    handshake_work: float = 0.004  # work of a handshake at the machine
    conn_idle: float = 30.0  # idle time-out of connections at the machine
    connect_timeout: float = 0.25  # connect time-out, a setting of sidecars
    conn_cap: float = 600.0  # maximum number of connections for each core of a machine
    conn_tax: float = 0.0  # share of the capacity that a full connection table takes


class NodePlan(PlanPart, frozen=True, kw_only=True):
    """One endpoint, a machine of a tier. Each has its own sidecar, except in the last tier."""

    name: str  # id in the endpoint list
    tier: int
    kind: int  # index into the tier's kinds
    speed: float  # speed of each core, in standard cores
    host: str  # address in 127.0.0.0/8
    cell: int = 0
    zone: str = "room"  # failure domain
    up: bool = True  # whether it runs and is listed from the start; otherwise an event starts it

    @property
    def side_host(self) -> str:
        """The host of its sidecar: the same address in another net."""
        first, second, rest = self.host.split(".", 2)
        return f"{first}.{int(second) + 100}.{rest}"


class SidecarPlan(PlanPart, frozen=True, kw_only=True):
    """One sidecar of the front, which receives requests of clients for the first tier."""

    name: str
    host: str
    zone: str = "room"
    start: float = 0.0  # instant of its start in the day; 0: it runs before the day starts


class NetPlan(PlanPart, frozen=True, kw_only=True):
    """The network. One-way delays have a mean by the locations of both ends, and a cv of `jitter`."""

    same: float = 0.0002  # delay within a zone
    cross: float = 0.001  # delay between zones
    client: float = 0.0007  # delay between clients and sidecars
    jitter: float = 0.1
    window: int = 262_144  # buffered bytes in each direction of a connection
    segment: int = 65_536  # maximum bytes that arrive simultaneously
    shuffle: bool = False  # events of the same instant are in an order drawn from the seed


class TrafficPlan(PlanPart, frozen=True, kw_only=True):
    """Open-loop arrivals of first tries."""

    rate: float  # mean arrivals a second over the day
    shape: tuple[tuple[float, float], ...] = ((0.0, 1.0),)  # (instant, factor on the rate), linear between
    burst_cv: float = 0.0  # cv of a random factor on the rate
    burst: float = 0.1  # seconds between draws of this factor


class ClientPlan(PlanPart, frozen=True, kw_only=True):
    """How clients retry, back off and give up."""

    retries: int = 0
    try_share: float = 1.0  # share of the time left that is the time-out of a try, except the last one
    backoff: Literal["none", "fixed", "exp"] = "none"
    backoff_base: float = 0.1
    honour: float = 1.0  # share of the clients that respect Retry-After
    max_retry_after: float = 2.0
    impatient: float = 0.0  # share of tries that the client abandons early
    marks_retry: bool = False
    connections: int = 0  # maximum number of open connections to one sidecar; 0: no limit


class DiscoveryPlan(PlanPart, frozen=True, kw_only=True):
    """The discovery service of all sidecars, which lists nodes as up, draining or gone."""

    must_ask: bool = True  # sidecars request the list; otherwise it is pushed to them
    notice: float = 1.0  # delay until the end or the drain of a process is known
    silent_notice: float = 8.0  # delay until an unreachable machine is known to be gone
    add: float = 1.0  # delay until a new process is known
    period: float = 0.5  # period of publications of changes
    spread: float = 0.2  # maximum difference in propagation delay between calls
    lines_per_s: float = 200.0  # list entries written a second, over all calls
    call_lines: float = 30.0  # fixed cost of a call, in list entries
    timeout: float = 2.0  # maximum time of a call in the queue, after which it fails
    watch_turns: bool = False  # a call that waits for a change is queued at its arrival and for its reply


class RulesPlan(PlanPart, frozen=True, kw_only=True):
    """The parameters of the four rules, as in the sidecars' settings."""

    grace: float = 0.02  # time past the deadline in which a final answer is accepted; 0.05 more on sockets
    drain_grace: float = 2.5
    ask_within: float = 10.0
    told_within: float = 6.0  # time after which a sidecar must know a change in discovery, received or not
    cold_from: float = 0.13
    cold: float = 24.0
    fall_multiple: float = 2.5
    fall_for: float = 1.0


class LimitsPlan(PlanPart, frozen=True, kw_only=True):
    """Limits on a sidecar's features and resources."""

    max_attempts: int = 5
    max_retry_after: float = 2.0
    retry_after: bool = True
    cancel: bool = True
    second_copies: bool = True  # hedged requests
    max_open: int = 20_000
    sockets: int = 1024  # file descriptors of one sidecar
    memory_mb: int = 192


class CheckPlan(PlanPart, frozen=True, kw_only=True):
    """Conditions on a fleet's day in addition to the rules, checked by `lab fleet`; None is no condition."""

    held_half: float | None = None  # time until half of the sidecars have a list, over the shortest possible
    held_most: float | None = None  # the same for 95 % of the sidecars
    held_all: float | None = None  # the same for all sidecars
    failed_each: float | None = None  # maximum number of failed calls for each complete reply
    asked_most: float | None = None  # requests in any second after the third, over discovery's capacity
    after: float = 0.0  # second of the day from which `asked_most` is checked
    service: float | None = None  # minimum share of the value


class GoalPlan(PlanPart, frozen=True, kw_only=True):
    """Weights of the goal figure: service of the whole day, of its worst 10 s and of its worst class."""

    whole: float = 0.6
    worst_window: float = 0.2
    worst_class: float = 0.2
    waste: float = 0.04  # deduction if the wasted work equals the requested work
    late_fail: float = 0.031  # deduction if all requests fail only after the latency target


EventKind = Literal[
    # faults of the nodes `nodes`
    "slow",  # `size` times slower
    "hang",  # accepts work, answers nothing
    "fast_errors",  # the share `size` of the attempts fails immediately
    "neighbour",  # another program takes the share `size` of the capacity, in phases of about `extra` s
    "refuse",  # refuses new connections; open ones continue
    "conn_cap",  # accepts at most `size` connections
    "late_connects",  # new connections are delayed by `size` s
    "spoilt",  # the share `size` of the answers is malformed
    "resets",  # the share `size` of the accepted requests ends in a reset
    "vanish",  # the machine is unreachable for `length`; then its connections are reset
    # lifecycle of the nodes `nodes`, which are down for `length`
    "drain",  # announces a drain, finishes requests in flight, and ends after `extra` s
    "kill",  # ends immediately; restarted after `length`, if that is not 0
    "start",  # a node that was not up starts, with slow start
    # lifecycle of the sidecars `sidecars` (a node's sidecar has the node's name)
    "sidecar_kill",  # killed, and restarted after `length`
    "sidecar_restart",  # SIGTERM, SIGKILL `extra` s later, restarted `length` after its end
    "stall",  # stopped (SIGSTOP) for `length`, then continued; real processes only
    # discovery
    "discovery_down",  # refuses connections, and closes open ones
    "discovery_silent",  # accepts calls and does not reply
    "discovery_slow",  # takes `size` times as long for each call
    "discovery_stale",  # replies with the state at the start of the fault
    "discovery_breaks",  # resets the share `size` of its replies after the head
    "discovery_move",  # moves to another address, and all sidecars get SIGHUP; real processes only
    "discovery_lies",  # lists the share `size` of the running nodes as gone, different ones in each period
    # the network
    "partition",  # traffic from `hosts` to `others` is lost, and in the other direction unless `one_way`
    "latency",  # delays between `hosts` and `others` are `size` times as long
    # time
    "clock_step",  # Unix time of `hosts` (all if empty) jumps by `size` s
    # load
    "load",  # the rate of arrivals is `size` times as high
]  # fmt: skip


# Events that can't be simulated in virtual time, where code takes no time and reads no files.
LIVE_ONLY: frozenset[EventKind] = frozenset(("stall", "discovery_move"))


class EventPlan(PlanPart, frozen=True, kw_only=True):
    """A fault or another event at an instant. It ends after `length`; 0 means that it does not end."""

    at: float
    kind: EventKind
    length: float = 0.0
    size: float = 0.0
    extra: float = 0.0
    nodes: tuple[str, ...] = ()
    sidecars: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    others: tuple[str, ...] = ()
    one_way: bool = False
    replaced_by: str = ""  # drain, kill: name of the node of the plan that replaces it


class Plan(PlanPart, frozen=True, kw_only=True):
    """The plan of a whole day."""

    scenario: str
    seed: int
    length: float  # time in which first tries arrive
    tail: float = 6.0  # time after `length` in which all requests must be answered
    epoch: float = 1_733_900_000.0  # Unix time at the start
    front_notice: float = 2.0  # delay until the front load balancer detects a dead sidecar
    passes_deadline: bool = True  # a node's calls carry the remaining time of its caller
    classes: tuple[ClassPlan, ...] = ()
    tiers: tuple[TierPlan, ...] = ()
    nodes: tuple[NodePlan, ...] = ()
    sidecars: tuple[SidecarPlan, ...] = ()
    traffic: TrafficPlan
    net: NetPlan = field(default_factory=NetPlan)
    clients: ClientPlan = field(default_factory=ClientPlan)
    discovery: DiscoveryPlan = field(default_factory=DiscoveryPlan)
    rules: RulesPlan = field(default_factory=RulesPlan)
    limits: LimitsPlan = field(default_factory=LimitsPlan)
    goal: GoalPlan = field(default_factory=GoalPlan)
    check: CheckPlan = field(default_factory=CheckPlan)
    events: tuple[EventPlan, ...] = ()
    held: Held = "now"  # endpoint list with which sidecars start: the present one, the first one, or none
    counted: float = 1.0  # number of sidecars in their settings, as a multiple of the real number
    sidecar_start: tuple[float, float] = (0.35, 0.6)  # range of the time from exec to listening
