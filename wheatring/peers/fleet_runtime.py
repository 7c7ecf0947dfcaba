"""One sidecar's part in the fleet, on the reactor: the deciders, their socket, clocks and work."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from wheatring import log
from wheatring.core.clock import Clock, Timer
from wheatring.lease.fleet import AnyWord, DutyPlan, Fleet, Instant, Out
from wheatring.lease.terms import Terms
from wheatring.lease.voters import Voters
from wheatring.lease.words import Beat
from wheatring.members.members import Address
from wheatring.members.pace import Pace
from wheatring.members.words import STATES, Who
from wheatring.peers.datagram_codec import MAX_DATAGRAM_BYTES, DatagramCodec
from wheatring.peers.datagram_socket import DatagramSocket
from wheatring.peers.duty_workers import DutyWorker
from wheatring.peers.list_sharing import ListSharing

if TYPE_CHECKING:  # what belongs to agreed views is imported with them
    from wheatring.peers.agreement import Agreement, PlanOptions
    from wheatring.peers.body_transfer import BodyTransfers

AGAIN = 0.1  # seconds until it tries again to have its port, which an older process of this name may hold
BUSY = 0.001  # seconds at least between two looks at what is due


def boot() -> float:
    """Seconds that go on while the machine is suspended: who wakes must know that its term is over."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FleetRuntime:
    """`works` carry out duties, by their names. `listen` is the socket's address, `me` what others reach it
    by. `view`: it stands in agreed views; `plan`: it goes by the fleet's plan too.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        fleet: str,
        me: Who,
        listen: Address,
        seeds: list[Address],
        voters: Voters,
        plans: Sequence[DutyPlan],
        terms: Terms,
        keys: Sequence[bytes],
        random: Random,
        boot: Callable[[], float] = boot,
        view: bool = False,
        plan: PlanOptions | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.listen = listen
        self.boot = boot
        self.me = me
        self.terms = terms
        self.given = (seeds, voters, plans, terms, random)
        self.start_ms = round(clock.unix() * 1000)
        words: Any = AnyWord
        self.streams: BodyTransfers | None = None
        self.agreed: Agreement | None = None
        self.make_agreed: Callable[[Instant, Fleet], Agreement] | None = None
        if view:
            from wheatring.peers.agreement import VIEW_MESSAGES, Agreement, messages_with_plans
            from wheatring.peers.body_transfer import BodyRequest, BodyTransfers

            words = VIEW_MESSAGES if plan is None else messages_with_plans()
            self.make_agreed = partial(Agreement, plan=plan)
            seal = DatagramCodec(fleet, me.name, self.start_ms, keys, BodyRequest)
            self.streams = BodyTransfers(reactor, clock, seal, self.body_of, self.came)
        self.seal = DatagramCodec(fleet, me.name, self.start_ms, keys, words)
        self.door = DatagramSocket(clock, self.seal, self.heard)
        self.works: Mapping[str, DutyWorker] = {}
        self.said: Any = None  # the file that it began with
        self.fleet: Fleet | None = None  # once it has its port
        self.port: Any = None
        self.timer: Timer | None = None
        self.over = False
        self.said_taken = False
        self.has_plan = plan is not None
        self.shown_states: dict[str, int] = {}
        self.shown_view = (0, False)
        self.shown_standing = (False, "")

    def instant(self) -> Instant:
        return Instant(self.clock.now(), self.boot(), round(self.clock.unix() * 1000))

    @property
    def name(self) -> str:
        return self.me.name

    # Life

    def start(self) -> None:
        """Have the port, and be a member from then on. While another process has it, name and vote are that
        one's: two at a time would be two voters of one name that know nothing of each other.
        """
        from twisted.internet.error import CannotListenError

        if self.over:
            return
        try:
            self.port = self.reactor.listenUDP(
                self.listen[1], self.door, interface=self.listen[0], maxPacketSize=MAX_DATAGRAM_BYTES + 1
            )
        except CannotListenError as bad:
            self._taken(bad)
            return
        where = self.port.getHost()
        if self.streams is not None:
            try:
                self.streams.listen(where.host, where.port)
            except CannotListenError as bad:  # the other half of the port is somebody's
                self.port.stopListening()
                self.port = None
                self._taken(bad)
                return
        if not self.me.port:
            self.me = self.me._replace(port=where.port)
        seeds, voters, plans, terms, random = self.given
        at = self.instant()
        self.fleet = Fleet(at, self.me, self.start_ms, seeds, voters, plans, terms, Pace(), random)
        if self.make_agreed is not None:
            self.agreed = self.make_agreed(at, self.fleet)
        log.line("fleet-listening", host=where.host, port=where.port, votes=int(self.fleet.votes()))
        self.timer = None
        self.tick()

    def _taken(self, bad: Exception) -> None:
        if not self.said_taken:
            self.said_taken = True
            log.line("fleet-waits", why=str(bad))
        self.timer = self.clock.at(self.clock.now() + AGAIN, self.start)

    def leave(self) -> None:
        """Give all duties back and say so; the port is let go."""
        if self.over:
            return
        if self.fleet is not None:
            if self.agreed is not None:
                self.say(self.agreed.leave(self.instant()))
            self.say(self.fleet.leave(self.instant()))
        self.close()

    def close(self) -> None:
        self.over = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for work in self.works.values():
            work.stop()
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        if self.streams is not None:
            self.streams.close()

    # Bodies

    def body_of(self, digest: bytes) -> bytes | None:
        return None if self.fleet is None else self.fleet.bodies.get(digest)

    def came(self, digest: bytes, body: bytes | None) -> None:
        if self.fleet is not None and not self.over:
            self.say(self.fleet.body(self.instant(), digest, body))

    # Events

    def tick(self) -> None:
        if self.fleet is not None and not self.over:
            self.say(self.fleet.tick(self.instant()))

    def heard(self, sender: str, address: Address, word: Any) -> None:
        if self.fleet is not None and not self.over:
            self.say(self.fleet.hear(self.instant(), sender, address, word))

    def say(self, out: list[Out]) -> None:
        """Send what is to be said, carry out what has changed, and see to the next thing due. What it says
        to itself takes no socket.
        """
        fleet = self.fleet
        assert fleet is not None
        own = (self.me.host, self.me.port)
        words = deque(out)
        while words:
            address, word = words.popleft()
            if address == own:
                words += fleet.hear(self.instant(), self.me.name, own, word)
            else:
                self.door.send(address, word)
        fetches, fleet.fetches = fleet.fetches, []
        for fetch in fetches:
            if self.streams is not None:
                self.streams.fetch(fetch)
        beats, fleet.beats = fleet.beats, []
        for beat in beats:
            work = self.works.get(beat.duty)
            if isinstance(work, ListSharing):
                work.on_announcement(beat)
        changes, fleet.changes = fleet.changes, []
        for change in changes:
            if change.why:
                log.line("duty-over", duty=change.duty, epoch=change.epoch)
            else:
                log.line("duty-held", duty=change.duty, epoch=change.epoch, by=self.me.name)
            work = self.works.get(change.duty)
            if work is not None:
                work.office(None if change.why else change.epoch)
        self.tell_members(fleet)
        if self.agreed is not None:
            self.tell_view(self.agreed)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.over:
            wait = max(BUSY, fleet.wait(self.instant()))
            self.timer = self.clock.at(self.clock.now() + wait, self.tick)

    def tell_members(self, fleet: Fleet) -> None:
        for name in fleet.members.changed:
            row = fleet.members.table.rows.get(name)
            if row is not None and self.shown_states.get(name) != row.state:
                self.shown_states[name] = row.state
                log.line("member", name=name, state=STATES[row.state], incarnation=row.incarnation)
        fleet.members.changed.clear()

    def tell_view(self, agreed: Agreement) -> None:
        """A new view, and whether it may be counted on."""
        views, now = agreed.views, self.clock.now()
        if self.shown_view != (views.view.number, views.inside):
            self.shown_view = (views.view.number, views.inside)
            view = views.view
            log.line("view", number=view.number, members=len(view.members), inside=int(views.inside))
        standing = (views.sure(now), views.side(now))
        if self.shown_standing != standing and views.view.number:
            self.shown_standing = standing
            log.line("view-standing", sure=int(standing[0]), side=standing[1] or "whole")

    # What is asked of it

    def act(self, duty: str) -> int | None:
        """The epoch to act in, to be asked right before every act. None: it is not in office."""
        if self.fleet is None or self.over:
            return None
        return self.fleet.duties[duty].act(self.boot())

    def acted(self, duty: str) -> None:
        if self.fleet is not None:
            self.fleet.duties[duty].acted(self.boot())

    def outdated(self, duty: str, epoch: int) -> None:
        """A receiver has seen a newer term than this one: give it back, and ask for one that is higher."""
        fleet = self.fleet
        if fleet is None or self.over:
            return
        for claimant in fleet.duties[duty].claimants:
            claimant.heard(epoch)
        self.say(fleet.release(self.instant(), duty, 0.0))

    def beat(self, beat: Beat) -> None:
        if self.fleet is not None and not self.over:
            self.say(self.fleet.spread(beat))

    def offer(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Push a plan: the answer's status, and what it says."""
        if self.agreed is None or self.agreed.planned is None:
            return 503, {"what": "not in the fleet yet"}
        status, said = self.agreed.planned.offer(self.instant(), body)
        self.say([])  # it is due now
        return status, said

    def floor(self, least: int) -> tuple[int, dict[str, Any]]:
        """Move the least format that members have to read."""
        if self.agreed is None or self.agreed.planned is None:
            return 503, {"what": "not in the fleet yet"}
        status, said, out = self.agreed.planned.set_format_floor(self.instant(), least)
        self.say(out)
        return status, said

    @property
    def ready(self) -> bool:
        """Whether it knows by which weights to serve, or goes by the file's for good reason."""
        if self.make_agreed is None or not self.has_plan:
            return True
        planned = None if self.agreed is None else self.agreed.planned
        return planned is not None and planned.edges.ready

    def plan_seen(self) -> dict[str, Any]:
        if self.agreed is None or self.agreed.planned is None:
            return {"waits": "not in the fleet yet"}
        return self.agreed.planned.status(self.instant())

    def release(self, duty: str) -> bool:
        """False: it is not held here."""
        if self.fleet is None or self.over or self.act(duty) is None:
            return False
        self.say(self.fleet.release(self.instant(), duty))
        return True

    def want(self, duty: str, wanted: bool) -> None:
        if self.fleet is not None and not self.over:
            self.say(self.fleet.want(self.instant(), duty, wanted))

    def change_voters(self, voters: Voters) -> str:
        """Go by other voters from now on; why not, if it does not."""
        if self.fleet is None or self.over:
            return "it is not in the fleet yet"
        why, out = self.fleet.vote_by(self.instant(), voters)
        self.say(out)
        return why

    def seen(self) -> dict[str, Any]:
        """All that is known, plainly."""
        fleet, at = self.fleet, self.instant()
        if fleet is None:
            return {"name": self.me.name, "waits": "its port is taken"}
        members = [
            {
                "name": seen.who.name, "state": STATES[seen.state], "for_s": round(at.now - seen.since, 1),
                "sure": round(seen.sure, 2), "number": seen.who.number, "tier": seen.who.tier,
                "zone": seen.who.zone, "address": f"{seen.who.host}:{seen.who.port}",
                "same_voters": seen.who.votes == fleet.voters.digest,
            }
            for seen in fleet.members.seen(at.now)
        ]  # fmt: skip
        duties = []
        for name, plan in fleet.plans.items():
            for place in range(plan.places):
                whose, epoch = fleet.holder(name, place)
                held = fleet.duties[name].held
                here = held is not None and held.lease == f"{name}/{place}"
                left = held.until - at.boot if held is not None and here else None
                duties.append(
                    {
                        "duty": name, "place": place, "holder": whose, "epoch": epoch, "here": here,
                        "left_s": None if left is None else round(left, 2),
                        "rank": fleet.duties[name].rank,
                    }
                )  # fmt: skip
        door = self.door
        return {
            "name": self.me.name,
            "voters": fleet.voters.all,
            "votes": fleet.votes(),
            "abstains_s": round(max(0.0, fleet.voter.silent - at.boot), 2),
            "health": fleet.members.health.score,
            "view": None if self.agreed is None else self.agreed.status(at.now),
            "members": members,
            "duties": duties,
            "lists": {
                name: work.status() for name, work in self.works.items() if isinstance(work, ListSharing)
            },
            "datagrams": {
                "sent": door.sent, "sent_bytes": door.sent_bytes,
                "taken": door.taken, "taken_bytes": door.taken_bytes, "dropped": dict(door.dropped),
            },
        }  # fmt: skip
