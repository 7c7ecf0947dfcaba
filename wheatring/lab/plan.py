"""The plan of one drawn day in the lab: machines, sidecars, traffic, limits and faults, all as figures.

A scenario and a seed give a plan; a simulated world or a live rig is built from it. All times are seconds,
all amounts of work seconds on a standard core, shares are parts of 1. Names are unique. Field names are the
keys of stored plans and don't change; where they are plain words, the comment beside them has the field's
term.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

Effect = Literal["safe", "keyed", "unsafe"]
DISCOVERY = "127.4.0.1"  # the host of the discovery service
Held = Literal["now", "old", "none"]


class PlanPart(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all parts of a plan: immutable, written out by name, strict when read."""


class ClassPlan(PlanPart, frozen=True, kw_only=True):
    """One class of request. Its first attempt draws the amount of work once; all further ones share it."""

    name: str
    share: float  # of the first attempts, by weight
    work: float  # mean size over all tiers' shares of it
    dist: Literal["lognormal", "pareto", "fixed"] = "lognormal"
    cv: float = 1.5  # of the size: standard deviation over mean
    attempt_noise: float = 0.0  # cv of a further factor drawn for each attempt
    aim: float = 2.5  # latency target
    deadline: float = 6.0
    worth: float = 1.0  # value of an answer
    late_worth: float = 0.0  # part of the value for an answer past the latency target
    effect: Effect = "safe"
    window: float = 10.0  # keyed: how long nodes drop a repeat, from the first send that may have run


class KindPlan(PlanPart, frozen=True, kw_only=True):
    """One kind of machine: its capacity, its queue, and how it behaves under load."""

    name: str
    cores: int = 2
    slots: int = 32  # concurrent requests, those that wait for the next tier among them
    queue: int = 4  # requests that may wait for a slot; more are rejected unseen
    thrash: float = 0.0  # part of the work that is added for each `knee` requests in flight beyond the first
    knee: float = 1e9  # requests in flight from which on it thrashes
    cold_from: float = 1.0  # part of the capacity at the start
    cold: float = 0.0  # time of warming up (slow start); capacity rises evenly
    pause_every: float = 0.0  # mean time between pauses in which it does nothing; 0: none
    pause: float = 0.0  # mean length of a pause
    pause_grow: float = 0.0  # a pause is longer by this part when all cores are busy
    error_rate: float = 0.0  # share of answers that are errors at the best of times


class ChokePlan(PlanPart, frozen=True, kw_only=True):
    """How an overloaded machine turns slow and stays so until it is mostly idle (metastable failure)."""

    at: float  # requests in flight beyond its cores, for each core, from which on it is overloaded
    over: float  # time overloaded until it turns slow
    slower: float  # factor
    rest: float  # time mostly idle after which it recovers
    below: float  # mostly idle: less than this part of the time of its cores
    most: float  # it recovers after this time whatever happens
    price: float = 0.0  # taken off the goal figure if all machines of the tier are slow


class TierPlan(PlanPart, frozen=True, kw_only=True):
    """One tier of machines, the kinds of them, and what a connection to one costs."""

    name: str
    work: float  # part of a class's work that one visit to this tier takes
    calls: float = 1.0  # mean calls to this tier for one visit to the tier above, one after another
    kinds: tuple[KindPlan, ...] = ()
    choke: ChokePlan | None = None
    handshake_rtts: float = 2.0  # round trips that a new connection costs its first request
    handshake_work: float = 0.004  # and work that it costs the machine
    conn_idle: float = 30.0  # a connection idle for so long is closed by the machine
    connect_timeout: float = 0.25  # a setting of sidecars: a connection not up by then has failed
    conn_cap: float = 600.0  # connections that a machine accepts, for each core
    conn_tax: float = 0.0  # part of its capacity that a full table takes


class NodePlan(PlanPart, frozen=True, kw_only=True):
    """One endpoint, a machine of a tier. Each but those of the last tier has a sidecar of its own."""

    name: str  # the id in the endpoint list
    tier: int
    kind: int  # index into the tier's kinds
    speed: float  # of each core, in standard cores
    host: str  # in 127.0.0.0/8
    cell: int = 0
    zone: str = "room"  # failure domain
    up: bool = True  # it runs and is listed from the start; else an event starts it

    @property
    def side_host(self) -> str:
        """The host of its own sidecar: its own, in another net."""
        first, second, rest = self.host.split(".", 2)
        return f"{first}.{int(second) + 100}.{rest}"


class SidecarPlan(PlanPart, frozen=True, kw_only=True):
    """One sidecar of the front, between the clients and the first tier."""

    name: str
    host: str
    zone: str = "room"
    start: float = 0.0  # when it is started, in the day; 0: it runs before that begins


class NetPlan(PlanPart, frozen=True, kw_only=True):
    """One-way delays by where the two ends are, each drawn about its mean with a cv of `jitter`."""

    same: float = 0.0002
    cross: float = 0.001
    client: float = 0.0007
    jitter: float = 0.1
    window: int = 262_144  # bytes that one direction of a connection holds between the two programs
    segment: int = 65_536  # bytes that arrive at once at most
    shuffle: bool = False  # what falls on one instant comes in an order drawn from the seed


class TrafficPlan(PlanPart, frozen=True, kw_only=True):
    """Open-loop arrivals of first attempts."""

    rate: float  # a second, on the mean of the day
    shape: tuple[tuple[float, float], ...] = ((0.0, 1.0),)  # (from, factor on the rate), linear between
    burst_cv: float = 0.0  # cv of a random factor on the rate ...
    burst: float = 0.1  # ... that is drawn anew each so many seconds


class ClientPlan(PlanPart, frozen=True, kw_only=True):
    """How clients retry, back off and give up."""

    retries: int = 0
    try_share: float = 1.0  # of the time left that one attempt is given, while there is a further one
    backoff: Literal["none", "fixed", "exp"] = "none"
    backoff_base: float = 0.1
    honour: float = 1.0  # share of the clients that heed Retry-After
    max_retry_after: float = 2.0
    impatient: float = 0.0  # share of attempts that the client abandons early
    marks_retry: bool = False
    connections: int = 0  # at most open at once to one sidecar; 0: as many as it takes


class DiscoveryPlan(PlanPart, frozen=True, kw_only=True):
    """The discovery service of all sidecars. It knows of processes: up, draining, gone."""

    must_ask: bool = True
    notice: float = 1.0  # until a process's end or drain is known
    silent_notice: float = 8.0  # until a machine that vanished is known to be gone
    add: float = 1.0  # until a new process is known
    period: float = 0.5  # changes become known at multiples of this
    spread: float = 0.2  # what is known reaches one call up to so much later than another
    lines_per_s: float = 200.0  # entries that it can write a second, one call after another
    call_lines: float = 30.0  # what a call costs beside its entries, in entries
    timeout: float = 2.0  # a call that waits longer for its turn fails
    watch_turns: bool = False  # a call that waits for a change is queued when it comes, and for its answer


class RulesPlan(PlanPart, frozen=True, kw_only=True):
    """The figures of the four rules, as the sidecars' settings have them."""

    grace: float = 0.02  # past the deadline, in which a final answer still counts; 0.05 more on sockets
    drain_grace: float = 2.5
    ask_within: float = 10.0
    told_within: float = 6.0  # a change in discovery counts as known after this, arrived or not
    cold_from: float = 0.13
    cold: float = 24.0
    fall_multiple: float = 2.5
    fall_for: float = 1.0


class LimitsPlan(PlanPart, frozen=True, kw_only=True):
    """What a sidecar may do and use."""

    max_attempts: int = 5
    max_retry_after: float = 2.0
    retry_after: bool = True
    cancel: bool = True
    second_copies: bool = True  # hedged requests
    max_open: int = 20_000
    sockets: int = 1024  # descriptors of one sidecar
    memory_mb: int = 192


class CheckPlan(PlanPart, frozen=True, kw_only=True):
    """What a fleet's day has to show beside the rules; None is no condition. `lab fleet` checks it."""

    held_half: float | None = None  # half of the sidecars have a list within so many times the least time
    held_most: float | None = None  # 95 of 100
    held_all: float | None = None  # all of them
    failed_each: float | None = None  # calls that failed for each list that was brought, at most
    asked_most: float | None = None  # requests in any second after the third, in times discovery's capacity
    after: float = 0.0  # seconds of the day from which on the last is judged
    service: float | None = None  # least part of the value


class GoalPlan(PlanPart, frozen=True, kw_only=True):
    """How service becomes one figure: parts for the whole day, its worst 10 s and its worst class."""

    whole: float = 0.6
    worst_window: float = 0.2
    worst_class: float = 0.2
    waste: float = 0.04  # price of work for no answer, as much as was asked for
    late_fail: float = 0.031  # price of all failing only after the latency target


EventKind = Literal[
    # nodes: `nodes` says whom, `size` how much, `extra` a second figure
    "slow",  # size times slower
    "hang",  # takes work, answers nothing
    "fast_errors",  # fails the share `size` at once
    "neighbour",  # another program takes the share `size`, on and off about every `extra` s
    "refuse",  # refuses connects; those that are open go on
    "conn_cap",  # accepts no more than `size` connections
    "late_connects",  # connects come up `size` s late
    "spoilt",  # the share `size` of the answers can't be read
    "resets",  # the share `size` of the requests ends in a reset once taken
    "vanish",  # the machine falls silent; back after `length`, its connections are reset
    # nodes: their life. `length` is how long they are down
    "drain",  # says that it takes nothing new, finishes, and ends after `extra` s
    "kill",  # ends at once; started anew after `length`, if that is not 0
    "start",  # one that was not up starts, cold
    # sidecars: `sidecars` says whom (a node's own is the node's name)
    "sidecar_kill",  # killed outright and started anew after `length`
    "sidecar_restart",  # SIGTERM, SIGKILL `extra` s later, started anew `length` after its end
    "stall",  # stopped (SIGSTOP) for `length` and continued at once; real processes only
    # discovery
    "discovery_down",  # refuses, and ends what is open
    "discovery_silent",  # takes calls and says nothing
    "discovery_slow",  # takes `size` times as long for each call
    "discovery_stale",  # tells what it knew when this began
    "discovery_breaks",  # resets the share `size` of its answers after the head
    "discovery_move",  # is at another address, and all sidecars get SIGHUP; real processes only
    "discovery_lies",  # names the share `size` of the nodes that run as gone, others by turns
    # the network
    "partition",  # what goes from `hosts` to `others` is lost, and the other way unless `one_way`
    "latency",  # delays between `hosts` and `others` are `size` times as long
    # time
    "clock_step",  # Unix time of `hosts` (all, where none is named) jumps by `size` s
    # load
    "load",  # arrivals are `size` times as many
]  # fmt: skip


# What can't be played in virtual time, where the lab's own code takes no time and reads no files.
LIVE_ONLY: frozenset[EventKind] = frozenset(("stall", "discovery_move"))


class EventPlan(PlanPart, frozen=True, kw_only=True):
    """A fault or another event at an instant; it ends `length` later, 0 is never."""

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
    replaced_by: str = ""  # drain, kill: the name of the planned node that is started in its place


class Plan(PlanPart, frozen=True, kw_only=True):
    """The whole day."""

    scenario: str
    seed: int
    length: float  # time in which first attempts arrive
    tail: float = 6.0  # and time after it in which all must be answered
    epoch: float = 1_733_900_000.0  # Unix time at the start
    front_notice: float = 2.0  # until the clients' front notices a dead sidecar
    passes_deadline: bool = True  # a node's calls carry the time that its caller has left
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
    held: Held = "now"  # the endpoint list with which sidecars start: the present, the first one, or none
    counted: float = 1.0  # the number of sidecars in their settings, in times the true one
    sidecar_start: tuple[float, float] = (0.35, 0.6)  # from exec to listening, drawn for each start
