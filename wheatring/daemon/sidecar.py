"""One real sidecar, the daemon: wires the parts."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

from wheatring import config, log, operator_properties
from wheatring.lifecycle.leaving import Leaving

if TYPE_CHECKING:  # what belongs to a feature is imported once that is turned on
    from wheatring.admin.desk import Desk
    from wheatring.admin.door import Door
    from wheatring.balancer.interface import View
    from wheatring.config.file import File
    from wheatring.core.body import Room
    from wheatring.lifecycle.asking import Pace
    from wheatring.ops.audit import Audit
    from wheatring.ops.capture.ring import Ring
    from wheatring.ops.drills import Drills
    from wheatring.peers.fleet_runtime import FleetRuntime
    from wheatring.peers.list_sharing import ListSharing
    from wheatring.pools.pool_set import PoolSet

RESERVED_DESCRIPTORS = 24  # for the log, the reactor, the door, the configuration and calls to discovery
ADMIN_DESCRIPTORS = (
    32  # and, where operators call, for their door, calls, and the files that two processes share
)
NODE_CONNECTION_SHARE = (
    0.4  # part of the rest for claims: callers' requests may hold a third, others are idle
)
PLAN_WAIT_SECONDS = 6.0  # seconds for which the door waits for a fleet's plan, which has a bound of its own
SHUTDOWN_POLL_SECONDS = 0.02  # seconds between looks at what is still to be done before it ends


class Sidecar:
    """All parts of one sidecar, wired on the reactor that is handed in. Time is that reactor's, Unix time
    (seconds) what `unix` says.
    """

    def __init__(
        self,
        reactor: Any,
        told: config.Config,
        asked: operator_properties.Operators,
        capture: bool = False,
        unix: Callable[[], float] = time.time,
        own: str | None = None,
        said: File | None = None,
    ) -> None:
        from wheatring.core.body import room_in
        from wheatring.core.clock import Clock
        from wheatring.core.exchange import Exchange
        from wheatring.http1.server import Server
        from wheatring.serving_pool import ServingPool

        settings = told.settings
        self.reactor = reactor
        self.told = told
        self.own = own
        self.asked = operator_properties.Operators()  # by the operators, and in effect
        self.first_asked = asked
        self.clock = Clock(reactor, unix)
        self.exchange = Exchange(self.clock, settings.contract.answer_slack)
        room = room_in(told.memory_mb, 2 if told.control else 1)
        self.places = told.sockets - RESERVED_DESCRIPTORS - (ADMIN_DESCRIPTORS if told.control else 0)
        claims = int(self.places * NODE_CONNECTION_SHARE)
        pace = () if said is None else (list_pace(said),)
        self.serving = ServingPool(
            reactor, self.clock, self.exchange, settings, told.seed, claims, room, *pace
        )
        self.driver = self.serving.driver
        self.pool = self.serving.pool
        self.server = Server(reactor, self.clock, self.exchange, settings.classes, self.places - claims, room)
        on_view: Callable[[View], None] = self.driver.feed
        self.pools: PoolSet | None = None
        self.status = 0  # with which the process ends
        self.ends = ExitStack()  # of optional parts, in the reverse of the order in which they were put in
        self.desk: Desk | None = None
        self.door: Door | None = None
        self.ring: Ring | None = None
        self.audit: Audit | None = None
        self.drills: Drills | None = None
        self.part: FleetRuntime | None = None
        self.listing: ListSharing | None = None
        if said is not None and said.route:
            on_view = self.share_out(said, claims, room, capture)
        if told.control is not None:
            on_view = self.open_desk(told.control, on_view)
        if said is not None and said.fleet is not None:
            on_view = self.join_fleet(said, on_view)
        self.machine_list = self.serving.list_from(told.discovery, on_view)
        if capture:
            self.capture()
        if asked.audit.on:
            self.keep_audit()
        if self.listing is not None:
            self.listing.start(self.machine_list)

    # Optional parts. Each is one method here: it imports the part, puts it in, and leaves its end in `ends`.

    def share_out(self, said: File, claims: int, room: Room, capture: bool) -> Callable[[View], None]:
        """Several pools, and routes to them. The one list goes to all that go by it."""
        from wheatring.pools.pool_set import PoolSet

        assert self.own is not None
        if capture:
            raise config.FileError(
                f"{self.own}: route: not with --capture, which records one pool's decisions"
            )
        told = self.told
        pools = self.pools = PoolSet(
            self.reactor, self.clock, self.exchange, self.server, self.serving, told.settings, told.seed,
            claims, room, list_pace(said), self.own,
        )  # fmt: skip
        pools.start(said)
        self.ends.callback(pools.stop)
        return pools.on_list

    def open_desk(self, control: tuple[str, int], on_view: Callable[[View], None]) -> Callable[[View], None]:
        """What operators call goes to the desk, and what discovery says through what they have ordered."""
        from wheatring.admin.desk import Desk
        from wheatring.admin.door import Door
        from wheatring.lifecycle.byhand import ByHand
        from wheatring.lifecycle.handover import Folder

        if self.pools is None:
            by_hand = ByHand(on_view)
        else:
            from wheatring.pools.manual_overrides import AllPoolsOverrides

            by_hand = AllPoolsOverrides(on_view, self.pools)
        folder = Folder(temporary_folder(), self.told.name, round(self.clock.now() * 1e9))
        desk = self.desk = Desk(
            self.clock,
            folder,
            by_hand,
            self.server,
            self.places,
            self.connections_in_use,
            self.set_connection_limit,
            self.listen,
        )
        door = self.door = Door(self.reactor, self.clock, desk)

        def begin() -> None:
            desk.start()
            log.line("control-listening", host=control[0], port=door.listen(*control))

        self.begin_desk = begin
        self.ends.callback(desk.stop)
        self.ends.callback(door.close)
        return by_hand.view

    def keep_audit(self) -> None:
        from wheatring.ops.audit import Audit

        self.audit = Audit(self.told.name, self.clock, self.first_asked.audit.file)
        self.ends.callback(self.audit.close)

    def join_fleet(self, said: File, on_view: Callable[[View], None]) -> Callable[[View], None]:
        """Talk to the other sidecars, and carry out what duties it comes to hold. Whom the list is told."""
        from wheatring.admin.calls import PLAN
        from wheatring.peers.assembly import PlanCalls, build_fleet, duty_calls

        weigh = None if self.pools is None else self.pools.weigh
        part, self.listing = build_fleet(self.reactor, self.clock, self.told, said, on_view, weigh)
        self.part = part
        if self.desk is not None:
            self.desk.fleet = duty_calls(part, said)
            if said.plan is not None and self.door is not None:
                self.desk.plans = PlanCalls(part)
                self.door.body = PLAN
        self.ends.callback(part.close)
        return on_view if self.listing is None else self.listing.on_list

    def connections_in_use(self) -> int:
        """Places taken now, by callers and claims."""
        claims = len(self.pool.connections) + len(self.pool.dials)
        if self.pools is not None:
            claims += self.pools.places.in_use()
        return len(self.server.connections) + claims

    def set_connection_limit(self, places: int) -> None:
        self.pool.most = int(places * NODE_CONNECTION_SHARE)
        if self.pools is not None:
            self.pools.places.total = self.pool.most
        self.server.resize(places - self.pool.most)

    def capture(self) -> None:
        from wheatring.ops.capture import record
        from wheatring.ops.capture.ring import Ring

        asked, told, clock = self.first_asked.capture, self.told, self.clock
        folder = asked.folder or temporary_folder()
        self.ring = Ring(folder, told.name, asked.files, asked.size, clock, shared=told.control is not None)
        self.ends.callback(self.ring.close)
        for line in record.header(told.name, told.seed, clock.unix_offset, told.given):
            self.ring.write(line)
        self.driver.balancer = record.Recorder(
            self.serving.balancer, clock.unix_offset, self.ring.write, self.driver.ident, self.pool.idle_at
        )

    def start(self) -> None:
        if self.desk is not None:
            self.begin_desk()
        self.machine_list.known(self.told.known)
        if self.pools is not None:
            self.pools.known()
        if self.part is not None and not self.part.ready:
            self.part.start()
            self.open_late(self.clock.now() + PLAN_WAIT_SECONDS)
        else:
            self.open()
            if self.part is not None:
                self.part.start()
        self.record("start", "platform")
        self.record("config", "platform")
        self.record("config", "operators")
        self.apply_operators(self.first_asked)

    def open(self) -> None:
        if self.desk is not None:
            self.desk.serve()
        else:
            self.listen()

    def open_late(self, until: float) -> None:
        """One that starts in a window is in it before it takes a request, or after a bound serves by the
        file's weights.
        """
        assert self.part is not None
        now = self.clock.now()
        if self.part.ready or now >= until:
            self.open()
        elif not self.server.stopping:
            self.clock.at(now + SHUTDOWN_POLL_SECONDS, self.open_late, until)

    def listen(self) -> None:
        """Let callers in."""
        from twisted.internet.error import CannotListenError

        try:
            port = self.server.listen(*self.told.listen, shared=self.desk is not None)
        except CannotListenError as bad:
            if not self.reactor.running:
                raise
            # A newcomer waits for its places first. It must not stay, deaf, beside one that serves.
            print(f"wheatring: listen: {bad}", file=sys.stderr)
            self.status = 2
            self.reactor.stop()
            return
        log.line("listening", name=self.told.name, host=self.told.listen[0], port=port)

    def record(self, event: str, actor: str) -> None:
        if self.audit is not None:
            self.audit.record(event, actor)

    def apply_operators(self, asked: operator_properties.Operators) -> None:
        """Put into effect what the operators may change while it serves."""
        if self.audit is not None:
            self.audit.keys(self.asked, asked)
        if self.drills is None and asked.drill != self.asked.drill:
            from wheatring.ops.drills import Drills

            limits = self.told.settings.limits
            self.drills = Drills(self.exchange, self.clock, self.server.classes, limits, self.record)
            self.ends.callback(self.drills.stop)
        if self.drills is not None:
            self.drills.switch(asked.drill)
        if asked.tokens.keys:
            from wheatring.ops.tokens import Guard

            self.server.guard = Guard(asked.tokens, self.clock)
        else:
            self.server.guard = None
        self.asked = asked

    def reload(self, environment: Mapping[str, str], file: str | None) -> None:
        """Read both files again. One that can't be used changes nothing of what it is for."""
        try:
            asked = operator_properties.read(file)
        except operator_properties.OperatorsError as bad:
            log.line("operators-not-reloaded", why=str(bad), code=bad.code)
        else:
            if file is not None:
                self.record("config", "operators")
            if asked != self.asked:
                log.line("operators-reloaded")
                self.apply_operators(asked)
        self.reload_configuration()
        try:
            told = config.read(environment, again=True)
        except config.ConfigError as bad:
            log.line("not-reloaded", why=str(bad), code=bad.code)
            return
        self.record("config", "platform")
        log.line("reloaded", discovery=":".join(map(str, told.discovery)))
        if not self.server.stopping:
            self.machine_list.move(told.discovery)

    def reload_configuration(self) -> None:
        """Read the project's own file again, where there is one."""
        try:
            said = read_configuration(self.own)
            if said is None:
                return
            self.reload_parts(said)
        except config.FileError as bad:
            log.line("config-not-reloaded", why=str(bad), code=bad.code)
        else:
            self.machine_list.asking.pace = list_pace(said)
            log.line("config-reloaded")

    def reload_parts(self, said: File) -> None:
        """What pools and fleet take of a file that was read again. FileError where they take none of it."""
        pools = self.pools
        if (pools is None) != (not said.route):
            raise config.RestartOnly("route: routes are taken up, and given up, by a start only")
        if pools is not None and (why := pools.wrong(said)):  # before the fleet has changed anything
            raise config.FileError(why)
        if self.part is not None:
            from wheatring.peers.assembly import reload_fleet

            reload_fleet(self.part, said)
        elif said.fleet is not None:
            raise config.RestartOnly("fleet: is taken up by a start only")
        if pools is not None:
            pools.reload(said, list_pace(said))

    def stop(self) -> None:
        """Answer what has come and what still arrives, as far as that is worth its time, then exit."""
        if not self.server.stopping:
            log.line("stopping", open=self.exchange.open)
            self.record("stop", "platform")
            self.server.stopping = True
            if self.part is not None:
                self.part.leave()
            settings = self.told.settings
            self.leaving = Leaving(
                self.clock.now(),
                settings.classes,
                settings.copies,
                self.exchange.usual,
                len(self.server.standing()),
                followed=self.desk is not None and self.desk.followed,
            )
            self.leave()

    def leave(self) -> None:
        """Do what is to be done by now, and look again."""
        now, leaving, server = self.clock.now(), self.leaving, self.server
        if server.port is None:
            if keep := leaving.keep(now):
                server.shed(keep, leaving.rested)
            else:
                late = now >= leaving.last
                server.close_between(patient=leaving.followed and not late, late=late)
            if not leaving.goes_on(now, self.exchange.left(now)):
                if self.exchange.open:
                    log.line("cut-short", open=self.exchange.open, after=now - leaving.told)
                    server.cut_short = True
                    self.exchange.give_up(leaving)
                if not server.connections:
                    self.finish()
                    return
        elif leaving.shut(now, server.came_at, server.full):
            server.shut()
        else:
            server.shed(leaving.keep(now), leaving.rested)
        self.clock.at(now + SHUTDOWN_POLL_SECONDS, self.leave)

    def finish(self) -> None:
        self.machine_list.unsubscribe()
        self.pool.close()
        self.ends.close()
        log.line("stopped")
        self.clock.at(self.clock.now(), self.reactor.stop)  # once these connections have had their lines


def temporary_folder() -> str:
    """The folder that the platform gives, the same for two processes of one sidecar."""
    return os.environ.get("TMPDIR") or "/tmp"


def read_configuration(own: str | None) -> File | None:
    """The project's own file; None: there is none. FileError where it can't be used."""
    if own is None:
        return None
    from wheatring.config import file

    return file.read(own, first_invalid_route)


def first_invalid_route(said: File) -> tuple[str, str] | None:
    """The first key of a route that the table of routes does not take, and why."""
    if not said.route:
        return None
    from wheatring.pools.route_tables import first_invalid_key

    return first_invalid_key(said)


def list_pace(said: File) -> Pace:
    """What the file says of the asking for the list."""
    from wheatring.lifecycle.asking import Pace

    asking = said.list
    return Pace(asking.first_per_s, asking.first_longest, asking.per_s, asking.likely_per_s)
