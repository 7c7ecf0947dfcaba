"""A plan: one drawn day, whole and plain. A scenario and a seed make one; a world is built from it.

All times are seconds, all sizes of work seconds on a standard core, shares are parts of 1. Names are unique.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

Effect = Literal["safe", "keyed", "unsafe"]
DISCOVERY = "127.4.0.1"  # its host
Held = Literal["now", "old", "none"]


class Plain(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What all parts of a plan are: immutable, written out by name, strict when read."""


class ClassPlan(Plain, frozen=True, kw_only=True):
    """One class of request. A first try draws its size of work once; all its attempts share it."""

    name: str
    share: float  # of the first tries, by weight
    work: float  # mean size over all tiers' shares of it
    dist: Literal["lognormal", "pareto", "fixed"] = "lognormal"
    cv: float = 1.5  # of the size: standard deviation over mean
    attempt_noise: float = 0.0  # cv of a further factor drawn for each attempt
    aim: float = 2.5
    deadline: float = 6.0
    worth: float = 1.0
    late_worth: float = 0.0  # part of the worth for an answer past its aim
    effect: Effect = "safe"
    window: float = 10.0  # keyed: how long nodes drop a repeat, from the first send that may have run


class KindPlan(Plain, frozen=True, kw_only=True):
    """One kind of machine."""

    name: str
    cores: int = 2
    slots: int = 32  # requests in work at once, those that wait for the next tier among them
    queue: int = 4  # requests that may wait for a slot; more are turned away unseen
    thrash: float = 0.0  # for each time `knee` held beyond it, so much of the work more is needed
    knee: float = 1e9  # requests held from which on it thrashes
    cold_from: float = 1.0  # part of the capacity at the start
    cold: float = 0.0  # time until warm; capacity rises evenly
    pause_every: float = 0.0  # mean time between pauses in which it does nothing; 0: none
    pause: float = 0.0  # mean length of a pause
    pause_grow: float = 0.0  # a pause is longer by this part when all cores are busy
    error_rate: float = 0.0  # share of answers that are errors at the best of times


class ChokePlan(Plain, frozen=True, kw_only=True):
    """A machine that has been crowded for a while turns slow, and stays so until it has been mostly idle."""

    at: float  # requests held beyond its cores, for each core, from which on it is crowded
    over: float  # time crowded until it chokes
    slower: float  # factor
    rest: float  # time mostly idle after which it is well again
    below: float  # mostly idle: less than this part of the time of its cores
    most: float  # well again after this time whatever happens
    price: float = 0.0  # taken off G if all machines of the tier choke


class TierPlan(Plain, frozen=True, kw_only=True):
    name: str
    work: float  # part of a class's work that one visit to this tier takes
    calls: float = 1.0  # mean calls to this tier for one visit to the tier above, one after another
    kinds: tuple[KindPlan, ...] = ()
    choke: ChokePlan | None = None
    handshake_rtts: float = 2.0  # round trips that a new connection costs its first request
    handshake_work: float = 0.004  # and work that it costs the machine
    conn_idle: float = 30.0  # a connection idle for so long is closed by the machine
    connect_timeout: float = 0.25  # told to sidecars: a connection not up by then has failed
    conn_cap: float = 600.0  # connections that a machine accepts, for each core
    conn_tax: float = 0.0  # part of its capacity that a full table takes


class NodePlan(Plain, frozen=True, kw_only=True):
    """One execute node, a machine of a tier. Each but those of the last tier has a sidecar of its own."""

    name: str  # the id in the machine list
    tier: int
    kind: int  # index into the tier's kinds
    speed: float  # of each core, in standard cores
    host: str  # in 127.0.0.0/8
    cell: int = 0
    zone: str = "room"
    up: bool = True  # it runs and is listed from the start; else an event starts it

    @property
    def side_host(self) -> str:
        """The host of its own sidecar: its own, in another net."""
        first, second, rest = self.host.split(".", 2)
        return f"{first}.{int(second) + 100}.{rest}"


class SidecarPlan(Plain, frozen=True, kw_only=True):
    """One sidecar of the front, between the clients and the first tier."""

    name: str
    host: str
    zone: str = "room"
    start: float = 0.0  # when it is started, in the day; 0: it runs before that begins


class NetPlan(Plain, frozen=True, kw_only=True):
    """One-way delays by where the two ends are, each drawn about its mean with a cv of `jitter`."""

    same: float = 0.0002
    cross: float = 0.001
    client: float = 0.0007
    jitter: float = 0.1
    window: int = 262_144  # bytes that one direction of a connection holds between the two programs
    segment: int = 65_536  # bytes that arrive at once at most
    shuffle: bool = False  # what falls on one instant comes in an order drawn from the seed


class TrafficPlan(Plain, frozen=True, kw_only=True):
    """Open arrivals of first tries."""

    rate: float  # a second, on the mean of the day
    shape: tuple[tuple[float, float], ...] = ((0.0, 1.0),)  # (from, factor on the rate), linear between
    burst_cv: float = 0.0  # cv of a random factor on the rate ...
    burst: float = 0.1  # ... that is drawn anew each so many seconds


class ClientPlan(Plain, frozen=True, kw_only=True):
    retries: int = 0
    try_share: float = 1.0  # of the time left that one try is given, while there is a further try
    backoff: Literal["none", "fixed", "exp"] = "none"
    backoff_base: float = 0.1
    honour: float = 1.0  # share of the clients that heed Retry-After
    max_retry_after: float = 2.0
    impatient: float = 0.0  # share of tries that the client leaves early
    marks_retry: bool = False
    connections: int = 0  # at most open at once to one sidecar; 0: as many as it takes


class DiscoveryPlan(Plain, frozen=True, kw_only=True):
    """One service for all sidecars. It knows of processes: up, draining, gone."""

    must_ask: bool = True
    notice: float = 1.0  # until a process's end or drain is known
    silent_notice: float = 8.0  # until a machine that vanished is known to be gone
    add: float = 1.0  # until a new process is known
    period: float = 0.5  # changes become known at multiples of this
    spread: float = 0.2  # what is known reaches one call up to so much later than another
    lines_per_s: float = 200.0  # entries that it can write a second, one call after another
    call_lines: float = 30.0  # what a call costs beside its entries, in entries
    timeout: float = 2.0  # a call that waits longer for its turn fails
    watch_turns: bool = False  # a call that waits for news takes a turn when it comes, and one for its answer


class RulesPlan(Plain, frozen=True, kw_only=True):
    """The figures of the four rules, as told to the sidecars."""

    grace: float = 0.02  # past the deadline, in which a final answer still counts; 0.05 more on sockets
    drain_grace: float = 2.5
    ask_within: float = 10.0
    told_within: float = 6.0  # what discovery has to tell counts as told after this, arrived or not
    cold_from: float = 0.13
    cold: float = 24.0
    fall_multiple: float = 2.5
    fall_for: float = 1.0


class LimitsPlan(Plain, frozen=True, kw_only=True):
    max_attempts: int = 5
    max_retry_after: float = 2.0
    retry_after: bool = True
    cancel: bool = True
    second_copies: bool = True
    max_open: int = 20_000
    sockets: int = 1024  # descriptors of one sidecar
    memory_mb: int = 192


class CheckPlan(Plain, frozen=True, kw_only=True):
    """What a fleet's day has to show beside the rules; None: nothing is asked. `lab fleet` judges it."""

    held_half: float | None = None  # half of the sidecars hold a list within so many times the least possible
    held_most: float | None = None  # 95 of 100
    held_all: float | None = None  # all of them
    failed_each: float | None = None  # calls that failed for each list that was brought, at most
    asked_most: float | None = None  # asks in any second after the third, in times what discovery can take
    after: float = 0.0  # seconds of the day from which on the last is judged
    service: float | None = None  # least part of the worth


class GoalPlan(Plain, frozen=True, kw_only=True):
    """How service is made one figure: parts for the whole day, its worst 10 s and its worst class."""

    whole: float = 0.6
    worst_window: float = 0.2
    worst_class: float = 0.2
    waste: float = 0.04  # price of work for no answer, as much as was asked for
    late_fail: float = 0.031  # price of all failing only after the aim


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
    "discovery_move",  # is at another address, and all sidecars are told by SIGHUP; real processes only
    "discovery_lies",  # names the share `size` of the nodes that run as gone, others by turns
    # the network
    "partition",  # what goes from `hosts` to `others` is lost, and the other way unless `one_way`
    "latency",  # delays between `hosts` and `others` are `size` times as long
    # time
    "clock_step",  # Unix time of `hosts` (all, where none is named) jumps by `size` s
    # load
    "load",  # arrivals are `size` times as many
]  # fmt: skip


# What can't be played in virtual time: there the lab's own code takes no time, and reads no files.
LIVE_ONLY: frozenset[EventKind] = frozenset(("stall", "discovery_move"))


class EventPlan(Plain, frozen=True, kw_only=True):
    """Something happens at an instant, and ends `length` later; 0: it does not end."""

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


class Plan(Plain, frozen=True, kw_only=True):
    scenario: str
    seed: int
    length: float  # time in which first tries arrive
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
    held: Held = "now"  # the list with which sidecars start: as it is then, as it was at first, or none
    counted: float = 1.0  # what sidecars are told of how many they are, in times the truth
    sidecar_start: tuple[float, float] = (0.35, 0.6)  # from exec to listening, drawn for each start
