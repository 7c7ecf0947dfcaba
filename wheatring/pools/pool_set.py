"""All pools behind one door: which pool a request goes to, and how pools and routes change while they serve.

The callers' exchange (the *front*) stays one: ids, deadlines and final answers are its. What it hears of a
job goes to the driver of that job's pool, which is chosen once, before there is a job, and never again: so a
retry stays in its pool.

A change of the file goes: *staged* (what is new is made, and hears its list; the routes in force stand) ->
*swapped* (routes, weights and pools at once, when each new pool has its list, or after `PATIENCE`). Pools
that the new file lacks, or says otherwise, then leave: they are closed when none of their jobs is left. Only
`reload` stages, only `look` swaps and closes. What must never hold: routes of one file with pools of another.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

from wheatring import log
from wheatring.balancer.interface import Settings, View
from wheatring.config import FileError
from wheatring.config.file import File, PoolTable
from wheatring.core.body import Room
from wheatring.core.clock import Clock
from wheatring.core.exchange import Claim, Exchange, Job
from wheatring.core.refused import Refused
from wheatring.errors import OperatorError
from wheatring.http1.parser import Message
from wheatring.lifecycle.asking import Pace
from wheatring.lifecycle.byhand import Word
from wheatring.pools.active_route import ActiveRoute, RoutedRequest
from wheatring.pools.connection_budget import ConnectionBudget
from wheatring.pools.exceptions import BadWeights, UnknownPool, UnknownRoute
from wheatring.pools.route_tables import route_from
from wheatring.pools.routed_pool import RoutedPool
from wheatring.routes.table import Table
from wheatring.routes.target import TurnedAway
from wheatring.routes.words import Weighted
from wheatring.serving_pool import ServingPool

LOOK = 0.1  # seconds between looks at what is staged and what leaves
LIST_WAIT_SECONDS = (
    5.0  # seconds for which new pools may have no list before the routes go to them all the same
)
SELDOM = 1.0  # seconds between two lines of the log on requests turned away for one reason


class Server(Protocol):
    """What is steered of the callers' side, and asked of it."""

    router: Any
    classes: dict[str, Any]

    @property
    def connections(self) -> Mapping[Any, None]: ...


class StagedChange:
    """What a file makes of the pools: those in force that it says alike are kept."""

    def __init__(self, said: File, pools: dict[str, RoutedPool], until: float) -> None:
        self.said = said
        self.pools = pools
        self.until = until
        self.routes = [route_from(name, told) for name, told in said.route.items()]


class PoolSet:
    """`home` is the plain pool, which keeps the one list and is sent no jobs; `claims` how many connections
    to nodes all pools may hold; `where` the file's name, for errors.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        front: Exchange,
        server: Server,
        home: ServingPool,
        settings: Settings,
        seed: int,
        claims: int,
        room: Room,
        pace: Pace,
        where: str,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.front = front
        self.server = server
        self.home = home
        self.settings = settings
        self.seed = seed
        self.room = room
        self.pace = pace
        self.where = where
        self.places = ConnectionBudget(claims)
        self.word = Word()
        self.out: frozenset[str] = frozenset()
        self.pools: dict[str, RoutedPool] = {}  # in force
        self.ways: dict[str, ActiveRoute] = {}
        self.table = Table(())
        self.staged: StagedChange | None = None
        self.leaving: list[RoutedPool] = []
        self.looking = False
        self.turned_away: dict[str, tuple[float, int]] = {}  # by why: when to tell next, and how many since
        front.on_job = lambda job: self.pool_of(job).driver.job_came(job)
        front.on_left = lambda job: self.pool_of(job).driver.job_left(job)
        front.on_committed = lambda job: self.pool_of(job).driver.job_committed(job)
        front.on_claim_ended = self.claim_ended
        server.router = self.way

    # Jobs

    def pool_of(self, job: Job) -> RoutedPool:
        assert isinstance(job, RoutedRequest)
        return job.pool

    def claim_ended(self, claim: Claim) -> None:
        self.pool_of(claim.job).driver.claim_ended(claim)

    def way(self, message: Message) -> ActiveRoute:
        """The route of a request. Refused: none wants it, or its target can't be read in one way only."""
        method, target = message.first
        try:
            found = self.table.route(method, target, message.fields, message.repeated)
        except TurnedAway as why:
            self.tell(400, str(why))
            raise Refused(400, str(why)) from None
        if found is None:
            self.tell(404, "no route")
            raise Refused(404, "route")
        return self.ways[found.route.name]

    def tell(self, status: int, why: str) -> None:
        """Guards against callers that would fill the log: one line a reason and second, with their number."""
        now = self.clock.now()
        due, count = self.turned_away.get(why, (now, 0))
        count += 1
        if now >= due:
            log.line("not-routed", status=status, why=why, count=count)
            due, count = now + SELDOM, 0
        self.turned_away[why] = due, count

    def change_weights(self, name: str, weights: Mapping[str, int]) -> None:
        """Go by these weights of a route from its next request on, until they are changed again or a file is
        put in force. UnknownRoute, UnknownPool, BadWeights: nothing is changed.
        """
        way = self.ways.get(name)
        if way is None:
            raise UnknownRoute(f"no route {name!r} is in force")
        unknown = [pool for pool in weights if pool not in self.pools]
        if unknown:
            raise UnknownPool(f"route {name}: no pool {unknown[0]!r} is in force")
        try:
            way.split.change([Weighted(pool, weight) for pool, weight in weights.items()])
        except ValueError as bad:
            raise BadWeights(f"route {name}: {bad}") from None
        log.line("weights", route=name, **{f"pool_{pool}": weight for pool, weight in weights.items()})

    def weigh(self, name: str, weights: Mapping[str, int]) -> None:
        """The same for the fleet's plan, whose routes and pools the file may lack."""
        try:
            self.change_weights(name, weights)
        except OperatorError as bad:
            log.line("plan-weights", route=name, code=bad.code, why=bad.what)

    # The one list, and nodes out by hand

    def on_list(self, view: View) -> None:
        self.word.view(view)
        self.home.driver.feed(view)
        for member in self.all():
            member.view(view)

    def take_out(self, now: float, out: frozenset[str]) -> None:
        """These are out by hand, and no others: in the lists that pools have of their own."""
        self.out = out
        for member in self.all():
            member.by_hand.put(now, out)

    def all(self) -> list[RoutedPool]:
        staged = self.staged.pools.values() if self.staged is not None else ()
        found = dict.fromkeys([*self.pools.values(), *staged, *self.leaving])
        return list(found)

    # The file

    def start(self, said: File) -> None:
        """Serve by the file with which the sidecar starts. FileError where it does not go with the rest."""
        if why := self.wrong(said):
            raise FileError(f"{self.where}: {why}")
        self.stage(said)
        self.swap()

    def wrong(self, said: File) -> str:
        """What of a file does not go with what the platform says; "": nothing."""
        for name, told in said.route.items():
            if told.class_name and told.class_name not in self.server.classes:
                return f"route.{name}.class_name: not a class of the settings, is {told.class_name!r}"
        least = sum([told.least for told in said.pool.values()])
        if least > self.places.total:
            return f"pool: least: {least} connections together, and there are {self.places.total}"
        return ""

    def known(self) -> None:
        """The list as last held has been read: pools with lists of their own begin to ask for them."""
        for member in self.pools.values():
            if member.selection is None:
                member.start(self.word)

    def reload(self, said: File, pace: Pace) -> None:
        """Put another file in force, of which nothing is `wrong`, as soon as its pools have their lists."""
        self.pace = pace
        self.drop_staged()
        staged = self.stage(said)
        for member in staged.pools.values():
            member.repace(pace)
            if self.pools.get(member.name) is not member:
                member.start(self.word)
        self.advance()

    def stage(self, said: File) -> StagedChange:
        pools = {}
        for name, told in said.pool.items():
            member = self.pools.get(name)
            pools[name] = (
                member if member is not None and alike(member.table, told) else self.make(name, told)
            )
        self.staged = StagedChange(said, pools, self.clock.now() + LIST_WAIT_SECONDS)
        return self.staged

    def make(self, name: str, told: PoolTable) -> RoutedPool:
        member = RoutedPool(
            name, told, self.reactor, self.clock, self.front, self.settings, self.seed, self.places,
            self.room, self.pace, self.home,
        )  # fmt: skip
        member.by_hand.put(self.clock.now(), self.out)
        return member

    def drop_staged(self) -> None:
        """A newer file has come before the pools of this one had their lists."""
        staged, self.staged = self.staged, None
        if staged is not None:
            for member in staged.pools.values():
                if self.pools.get(member.name) is not member:
                    member.close("pool-gone")

    def advance(self) -> None:
        """Swap and close what has come so far, and look again while there is more."""
        staged = self.staged
        if staged is not None:
            late = self.clock.now() >= staged.until
            if late or all(member.ready for member in staged.pools.values()):
                self.swap()
        if self.leaving:
            busy = {id(c.job.pool) for c in self.server.connections if isinstance(c.job, RoutedRequest)}
            for member in list(self.leaving):
                # A job that is not whole, or an answer on its way, is known to its connection alone.
                if not member.driver.jobs and id(member) not in busy:
                    self.leaving.remove(member)
                    member.close("pool-gone")
                    log.line("pool-gone", pool=member.name)
        if (self.staged is not None or self.leaving) and not self.looking:
            self.looking = True
            self.clock.at(self.clock.now() + LOOK, self.look_again)

    def look_again(self) -> None:
        self.looking = False
        self.advance()

    def swap(self) -> None:
        staged, self.staged = self.staged, None
        assert staged is not None
        kept = set(staged.pools.values())
        gone = [member for member in self.pools.values() if member not in kept]
        ways = {told.name: ActiveRoute(told, staged.pools) for told in staged.routes}
        for name, way in ways.items():
            before = self.ways.get(name)
            if before is not None and before.route.split_by == way.route.split_by:
                # What the pools are still owed goes along.
                before.split.change(way.route.pools)
                way.split = before.split
        table = Table(staged.routes)
        self.pools, self.ways, self.table = staged.pools, ways, table
        self.leaving += gone
        for member in gone:
            self.places.least[member.connections] = 0
        for name, told in staged.said.pool.items():
            self.places.least[self.pools[name].connections] = told.least
        names = ",".join(self.pools)
        log.line("routes", routes=len(ways), pools=names, leaving=",".join([m.name for m in gone]) or "-")

    def stop(self) -> None:
        """The sidecar ends, and has no jobs."""
        for member in self.all():
            member.close("stopping")


def alike(one: PoolTable, other: PoolTable) -> bool:
    """Whether they name the same nodes: then a pool goes on as it is."""
    keys = ("discovery", "zone", "machine", "cell")
    return all(getattr(one, key) == getattr(other, key) for key in keys)
