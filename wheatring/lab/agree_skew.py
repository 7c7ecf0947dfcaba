"""Drawn days of pushes in a fleet of older and newer programs: is anybody in a plan that it can't read?

The deciders of views, register and skew are the real ones; what pushes is as small as it can be. A day draws
pushes of plans with more or less needs, members that go, come back as older or newer programs or as one
without these words, stops, loss and cuts. After every event, by the newest view and plan chosen anywhere:
each process that stands in that view must lack nothing for that plan. `FAULTS` are planted to see that
breaches are found.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import tzinfo
from random import Random
from zoneinfo import ZoneInfo

import msgspec

from wheatring.lab.leases.cluster import Cluster, Node
from wheatring.lab.live.links.state import State
from wheatring.lease.fleet import Fleet, Instant, Out, Piece
from wheatring.lease.register import LEAD, Register
from wheatring.lease.terms import Terms
from wheatring.lease.views import Views
from wheatring.lease.voters import Voters, first
from wheatring.lease.words import Entry
from wheatring.members.pace import Pace
from wheatring.members.view import View
from wheatring.peers.pieces import LEADS
from wheatring.plan.judge import Reason, Stage
from wheatring.plan.words import Plan, Trial
from wheatring.skew.judge import Skew
from wheatring.skew.leader import Push
from wheatring.skew.needs import lacks, needs, own_abilities
from wheatring.skew.words import OLDER, Abilities, Tried

VOTERS = 3
LOOK = 0.1  # seconds from one look at a verdict to the next
Programs = dict[tuple[str, int], Abilities | None]  # what each process can; None: it has not these words


class Toy:
    """A plan as this lab compiles it: the route whose path or prefix is that of the request. `odd`: a program
    that takes a prefix without its segments' borders."""

    def __init__(self, plan: Plan, odd: bool = False) -> None:
        self.plan = plan
        self.odd = odd

    def way(self, trial: Trial) -> str:
        path = trial.target if self.odd else trial.target + "/"
        for route in self.plan.routes:
            if path.startswith(route.match.prefix + ("" if self.odd else "/")):
                return route.name
        return "none"

    def zone(self, name: str) -> tzinfo:
        return ZoneInfo(name)

    def weights(self, route: str, at: float) -> Mapping[str, int]:
        return next(one.weights for one in self.plan.routes if one.name == route)

    def edges(self, window: str, after: float, before: float) -> Sequence[float]:
        return ()


def body_of(plan: Plan) -> bytes:
    return msgspec.json.encode(plan)


def compiles(body: bytes) -> tuple[Plan, Toy]:
    plan = msgspec.json.decode(body, type=Plan)
    return plan, Toy(plan)


class Pusher:
    """Pushes one plan at a time, as the plan's own part does: begins, tells the judge of views, puts."""

    hears: tuple[type, ...] = ()

    def __init__(self, at: Instant, days: Day, fleet: Fleet, abilities: Abilities, skew: type[Skew]) -> None:
        self.days, self.fleet, self.abilities = days, fleet, abilities
        self.views = Views(at, fleet)
        self.register = Register(at, "plan", fleet, self._chosen)
        stills = [_Still(register) for register in (self.views.register, self.register)]
        self.skew = skew(fleet, abilities, compiles, *stills)
        self.views.admits = self._admits
        self.body_pushed: bytes | None = None
        self.judged = View()
        self.due = at.now

    @property
    def pieces(self) -> list[Piece]:
        return [self.views, self.views.register, self.register, self.skew, self]

    def _admits(self, at: Instant, placed: object) -> str:
        why = self.skew.admits(at, placed)  # type: ignore[arg-type]
        self.days.counts.update(f"shut out: {one.code}" for one in why)
        return why[0].what if why else ""

    def _chosen(self, at: Instant, entry: Entry, body: bytes) -> list[Out]:
        plan = msgspec.json.decode(body, type=Plan)
        blind = lacks(needs(plan, body), self.abilities)
        self.skew.took(None if blind else plan, body)
        self.days.settled(entry, plan, body)
        return []

    def leads(self, at: Instant) -> bool:
        epoch = self.fleet.duties[LEAD].act(at.boot)
        return self.register.ready and epoch is not None and epoch == self.register.epoch

    def begin(self, at: Instant, plan: Plan) -> list[Out]:
        self.body_pushed = body_of(plan)
        self.judged = self.views.view
        return self.skew.begin(at, self.fleet.bodies.put(self.body_pushed), plan, self.judged)

    def tick(self, at: Instant) -> list[Out]:
        self.due = at.now + LOOK
        if self.body_pushed is None:
            return []
        if not self.leads(at):
            return self._end("leader lost")
        out: list[Out] = []
        if self.views.view.number != self.judged.number:
            self.judged = self.views.view
            out += self.skew.moved(at, self.judged)
        verdict = self.skew.verdict(at.now)
        if verdict.stage is Stage.NO:
            self.days.refused += verdict.reasons
            return out + self._end("refused: " + " ".join(sorted({why.code for why in verdict.reasons})))
        now_ = verdict.stage is Stage.YES and verdict.view == self.views.view.number
        if now_ and self.views.sure(at.now) and self.register.have == self.register.chosen:
            out += self.register.put(at, self.body_pushed)
            return out + self._end("put")
        return out

    def _end(self, what: str) -> list[Out]:
        self.days.counts[what] += 1
        self.body_pushed = None
        self.skew.end()
        return []

    def hear(self, at: Instant, sender: str, address: tuple[str, int], word: object) -> list[Out]:
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        return []


class _Still:
    def __init__(self, register: Register) -> None:
        self.register = register

    def __call__(self) -> bool:
        return self.register.ready and self.register.have == self.register.chosen


class Day:
    """A fleet for a while. `counts` of what happened, `breaches` of what must never hold."""

    def __init__(self, seed: int, size: int = 7, skew: type[Skew] = Skew) -> None:
        self.random = Random(f"skew:{seed}")
        voters = Voters(first(VOTERS))
        self.cluster = Cluster(seed, size, voters, [LEADS], Terms(), Pace(), pieces=self._pieces)
        self.cluster.after = self._after
        self.skew = skew
        self.programs: Programs = {}
        self.next: dict[str, Abilities | None] = {}
        self.pushers: dict[str, Pusher] = {}
        self.counts: Counter[str] = Counter()
        self.refused: tuple[Reason, ...] = ()
        self.breaches: list[str] = []
        self.voter = 0.0  # when one was last restarted
        self.view = View()
        self.newest: tuple[Entry, Plan, bytes] | None = None
        newer, middle, old = (own_abilities(range(1, last), version=str) for last in (4, 3, 2))
        self.kinds: tuple[Abilities | None, ...] = (newer, newer, middle, old, None)
        for node in self.cluster.nodes.values():
            self.next[node.name] = newer
            self.cluster.call(self.cluster.random.random(), self.cluster.start, node)

    def _pieces(self, at: Instant, fleet: Fleet) -> list[Piece]:
        abilities = self.next[fleet.me.name]
        self.programs[fleet.me.name, fleet.start] = abilities
        self.pushers.pop(fleet.me.name, None)
        if abilities is None:
            views = Views(at, fleet)
            return [views, views.register]
        pusher = self.pushers[fleet.me.name] = Pusher(at, self, fleet, abilities, self.skew)
        return pusher.pieces

    # Rules

    def settled(self, entry: Entry, plan: Plan, body: bytes) -> None:
        if self.newest is None or entry.number > self.newest[0].number:
            self.newest = (entry, plan, body)
            self.counts["settled"] += 1
            self.judge()

    def _after(self, node: Node) -> None:
        pusher = self.pushers.get(node.name)
        if pusher is not None and pusher.views.view.number > self.view.number:
            self.view = pusher.views.view
            self.judge()

    def judge(self) -> None:
        if self.newest is None:
            return
        needed = needs(self.newest[1], self.newest[2])
        for placed in self.view.members:
            name = placed.who.name
            fleet = self.cluster.nodes[name].fleet
            if fleet is None or fleet.start != placed.start:
                continue
            why = lacks(needed, self.programs[name, placed.start] or OLDER, name)
            if why:
                self.breaches.append(
                    f"{self.cluster.now:.2f} s: {name} in view {self.view.number} and plan "
                    f"{self.newest[0].number}: {why[0].what}"
                )

    # What befalls

    def push(self, plan: Plan) -> None:
        """At whoever leads, if anybody does."""
        for name, pusher in self.pushers.items():
            node = self.cluster.nodes[name]
            at = self.cluster.instant(node)
            if node.fleet is not pusher.fleet or node.stopped or pusher.body_pushed is not None:
                continue
            if pusher.leads(at) and pusher.views.view.members:
                self.cluster.say(node, pusher.begin(at, plan))
                return

    def restart(self, name: str, abilities: Abilities | None, away: float = 0.2) -> None:
        node = self.cluster.nodes[name]
        self.cluster.kill(node)
        self.next[name] = abilities
        self.cluster.call(self.cluster.now + away, self.cluster.start, node)

    def act(self) -> None:
        random, cluster = self.random, self.cluster
        others = list(cluster.nodes)[VOTERS:]
        one = random.choice(others)
        match random.choices(range(8), (8, 3, 1, 2, 1, 1, 2, 6))[0]:
            case 0:
                self.push(drawn(random))
            case 1:
                self.restart(one, random.choice(self.kinds), random.choice((0.2, 3.0, 12.0)))
            case 2:  # a voter, and never two within the time that one needs to learn what it was
                if not self.counts["voter"] or cluster.now - self.voter > 20:
                    self.voter = cluster.now
                    self.counts["voter"] += 1
                    self.restart(f"n{random.randrange(VOTERS)}", random.choice(self.kinds[:-1]))
            case 3:
                node = cluster.nodes[random.choice(list(cluster.nodes))]
                cluster.stop(node)
                cluster.call(cluster.now + random.choice((0.5, 3.0, 9.0)), cluster.go_on, node)
            case 4:
                cluster.net = State(delay=0.0005, jitter=0.0005, drop=random.choice((0.0, 0.1, 0.3)))
            case 5:
                cluster.cut_off([one], State(there=False))
            case 6:
                cluster.mend()
            case 7:  # one that was long out comes in while a plan is pushed, and a third is slow to answer
                self.restart(one, random.choice(self.kinds), 12.0)
                at = cluster.now + 12.0 + 1.5 * random.random()
                node = cluster.nodes[random.choice([name for name in others if name != one])]
                cluster.call(at - 0.1, cluster.stop, node)
                cluster.call(at, self.push, drawn(random))
                cluster.call(at + 2.0, cluster.go_on, node)

    def play(self, seconds: float, quiet: float = 6.0) -> None:
        self.cluster.run(quiet)
        while self.cluster.now < seconds and not self.breaches:
            self.act()
            self.cluster.run(self.cluster.now + self.random.expovariate(0.8))


def drawn(random: Random) -> Plan:
    """A plan of one of the formats, needing what that one came with."""
    from wheatring.plan.words import PlanMatch, PlanRoute, PlanWindow, Ramp

    format = random.choice((1, 1, 2, 3))
    weights = {"blue": random.randrange(1, 1000), "green": 1}
    matches = [(f"r{number}", PlanMatch(prefix=f"/r{number}")) for number in range(3)]
    routes = tuple(PlanRoute(name=name, match=match, weights=weights) for name, match in matches)
    ramp = Ramp(steps=4, every=1.0) if format == 3 else None
    window = PlanWindow(name="w", route="r1", weights={"blue": 1}, start="2026-10-25T01:30:00", length=60.0,
                        zone="Europe/Dublin", ramp=ramp)  # fmt: skip
    return Plan(format=format, routes=routes, windows=(window,) if format > 1 else ())


# Planted


class _OutlivesItsView(Push):
    def moved(self, now: float, view: View) -> None:
        if self.placed:
            self.view = view
        else:
            super().moved(now, view)


class _SilentIsYes(Push):
    def step(self, now: float) -> list[Out]:
        alike = next((one.tried for one in self.of.values() if one.tried is not None), None)
        for one in self.of.values():
            if self._open(one) and now >= one.since + 2.0:
                if one.able is None:
                    one.able = Abilities()
                elif alike is not None:
                    one.tried = Tried(self.push, 0, alike.result, alike.count)
        return super().step(now)


class OutlivesItsView(Skew):
    """A verdict that outlives its view."""

    leads = _OutlivesItsView


class SilentIsYes(Skew):
    """One that does not answer is taken for able, and for alike."""

    leads = _SilentIsYes


class OpenGate(Skew):
    """Whoever knocks comes in."""

    def admits(self, at: Instant, placed: object) -> tuple[Reason, ...]:
        return ()


FAULTS: tuple[type[Skew], ...] = (OutlivesItsView, SilentIsYes, OpenGate)
