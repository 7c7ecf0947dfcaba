"""One sidecar's part in the fleet: member, voter, and claimant of duties. No I/O.

It knows no sockets and reads no clocks: `Instant` is handed in with every event, and what is to be said is
given back as addresses and words.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from math import inf, isqrt
from random import Random
from typing import Any, NamedTuple, Protocol

from msgspec import structs

from wheatring.lease.bodies import Bodies, Fetch
from wheatring.lease.duty import Duty, leases
from wheatring.lease.terms import Terms
from wheatring.lease.voter import Voter
from wheatring.lease.voters import Voters, numbered
from wheatring.lease.words import Ask, Beat, Claim, Free, FromVoter, Grant, Promise, Refusal, Release, ToVoter
from wheatring.members.members import Address, Members
from wheatring.members.pace import Pace
from wheatring.members.words import LEFT, Ack, Indirect, Join, Known, MemberWord, Nack, News, Ping, Who

LINE = 5  # sidecars that stand in line for a duty
PASS = 64  # members whom one tells what it heard, at most
LOOK = 0.5  # seconds between looks at who is in line
AnyWord = MemberWord | ToVoter | FromVoter | Free | Beat
Out = tuple[Address, Any]  # AnyWord, or a word of a piece


class Instant(NamedTuple):
    """One instant on the clocks there are. `now`: monotonic, seconds. `boot`: the same and goes on while the
    machine is suspended; terms are measured on it. `wall`: Unix time in ms, for the order of epochs only.
    """

    now: float
    boot: float
    wall: int


class DutyPlan(NamedTuple):
    """`near`: whoever is in the holder's zone comes first when it is given back or lost. `idle`: seconds for
    which it may be held with nothing done. `asked`: only those that are told to stand in line for it.
    """

    name: str
    places: int = 1
    near: bool = False
    idle: float = inf
    asked: bool = False
    voters: bool = False


class Change(NamedTuple):
    """A place of a duty came to this sidecar (`epoch`), or went (`why`)."""

    duty: str
    epoch: int
    why: str = ""


class Piece(Protocol):
    """A further decider of the same sidecar: views, plans, the fleet's time. `hears` are the types of its own
    words. What is wanted of others' bodies goes to `Fleet.fetches`.
    """

    hears: tuple[type, ...]

    @property
    def due(self) -> float:
        """When `tick` has something to do, on the monotonic clock."""

    def tick(self, at: Instant) -> list[Out]: ...

    def hear(self, at: Instant, sender: str, address: Address, word: Any) -> list[Out]: ...

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        """A body that was fetched, by whichever piece; None: it could not be had there."""


class Fleet:
    """`start` tells this process from earlier ones of its name. `changes` is for whoever acts on duties, and
    is emptied there.
    """

    def __init__(
        self,
        at: Instant,
        me: Who,
        start: int,
        seeds: list[Address],
        voters: Voters,
        plans: Sequence[DutyPlan],
        terms: Terms,
        pace: Pace,
        random: Random,
    ) -> None:
        self.me = me
        self.start = start
        self.terms = terms
        self.random = random
        self.plans = {plan.name: plan for plan in plans}
        places = [lease for plan in plans for lease in leases(plan.name, plan.places)]
        self.members = Members(at.now, me, start, seeds, pace, random, places)
        self.voter = Voter(at.boot, terms, voters, places)
        self.duties = {
            plan.name: Duty(plan.name, plan.places, me.name, start, terms, voters, random, plan.idle)
            for plan in plans
        }
        self.wanted: set[str] = {plan.name for plan in plans if not plan.asked}
        self.holding: dict[str, int] = {}  # the epochs of duties held, as far as it was told
        self.changes: list[Change] = []
        self.beats: list[Beat] = []  # of holders, for whoever follows them, and emptied there
        self.next_look = at.now
        self.leaving = False
        self.pieces: list[Piece] = []
        self.bodies = Bodies()
        self.fetches: list[Fetch] = []  # bodies that are wanted, for whoever carries them, and emptied there

    @property
    def voters(self) -> Voters:
        return self.voter.voters

    def votes(self) -> bool:
        return not self.leaving and bool({*self.voters.all} & {*self.names(self.me)})

    def names(self, who: Who) -> tuple[str, str]:
        """As which a member may be named among the voters: by its address, or by its number."""
        return f"{who.host}:{who.port}", numbered(who.number)

    def _voter_at(self, name: str) -> Address | None:
        if not name.startswith("#"):
            host, _, port = name.rpartition(":")
            return host, int(port)
        if name == numbered(self.me.number):
            return self.me.host, self.me.port
        # Whoever is suspected is asked too: one that hears nothing suspects all others, and is believed.
        rows = [row for row in self.members.table.rows.values() if row.state != LEFT]
        rows = [row for row in rows if row.who.tier == self.me.tier and numbered(row.who.number) == name]
        return max(rows, key=lambda row: row.incarnation).place if rows else None

    # Time

    def wait(self, at: Instant) -> float:
        """Seconds until `tick` has something to do."""
        duties = min((duty.due for duty in self.duties.values()), default=inf) - at.boot
        pieces = min((piece.due for piece in self.pieces), default=inf) - at.now
        return max(0.0, min(self.members.due - at.now, self.next_look - at.now, duties, pieces))

    def tick(self, at: Instant) -> list[Out]:
        if self.leaving:
            return []
        out: list[Out] = list(self.members.tick(at.now))
        if at.now >= self.next_look:
            self.next_look = at.now + LOOK
            out += self._line_up(at)
        for duty in self.duties.values():
            out += self.to_voters(duty.tick(at.boot))
        for piece in self.pieces:
            if at.now >= piece.due:
                out += piece.tick(at)
        self._settle(at)
        return out

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        """What came of a fetch: the whole body, or nothing."""
        if body is not None:
            self.bodies.put(body)
        out = [said for piece in self.pieces for said in piece.body(at, digest, body)]
        self._settle(at)
        return out

    def hear(self, at: Instant, sender: str, address: Address, word: Any) -> list[Out]:
        """A word whose sender is known to be one of the fleet."""
        out: list[Out] = []
        match word:
            case Ask() | Claim() | Release():
                if word.ballot.who == sender and self.votes():
                    answer = self.voter.hear(at.boot, at.wall, word)
                    out = [(address, answer)] if answer is not None else []
            case Promise() | Grant() | Refusal():
                out = self._answered(at, sender, word)
            case Free():
                if (duty := self._duty(word.lease)) is not None:
                    duty.heard(word.lease, word.epoch)
                    duty.free(at.boot, word.lease, word.next == self.me.name)
            case Beat():
                out = self._passed_on(word)
            case Ping() | Ack() | Indirect() | Nack() | Join() | Known():
                out = list(self.members.hear(at.now, sender, address, word))
            case _:
                for piece in self.pieces:
                    if isinstance(word, piece.hears):
                        out += piece.hear(at, sender, address, word)
        for news in self.members.fresh:
            if (duty := self._duty(news.key)) is not None:
                duty.heard(news.key, news.version)
        self.members.fresh.clear()
        self._settle(at)
        return out

    def _duty(self, lease: str) -> Duty | None:
        """The duty that a place is of."""
        return self.duties.get(lease.partition("/")[0])

    def _answered(self, at: Instant, sender: str, word: FromVoter) -> list[Out]:
        duty = self._duty(word.lease)
        if duty is None or word.ballot[1:] != (self.me.name, self.start):
            return []
        for name in self.names_of(sender):
            if name in self.voters.all:
                return self.to_voters(duty.hear(at.boot, name, word))
        return []

    def names_of(self, sender: str) -> tuple[str, ...]:
        """As which a sender may be named among the voters; (): it is not known yet, and is asked again."""
        if sender == self.me.name:
            return self.names(self.me)
        row = self.members.table.rows.get(sender)
        return self.names(row.who) if row is not None else ()

    def spread(self, word: Any, among: Collection[str] | None = None) -> list[Out]:
        """Tell all of the tier a word that has a `to`, by some who tell some others: two steps, and nobody
        has many to tell. Who tells whom is drawn anew each time, so that one who is stopped keeps nobody in
        the dark for long. `among`: only those.
        """
        others = [who.name for who in self.members.alive() if who.name != self.me.name]
        others = [name for name in others if among is None or name in among]
        self.random.shuffle(others)
        branches = isqrt(len(others)) or 1
        out: list[Out] = []
        for number in range(min(branches, len(others))):
            first, *rest = others[number::branches]
            out += self._to(first, structs.replace(word, to=tuple(rest)))
        return out

    def pass_on(self, word: Any) -> list[Out]:
        """What whoever hears such a word owes to those named in it."""
        plain = structs.replace(word, to=())
        return [said for name in word.to[:PASS] for said in self._to(name, plain)]

    def _passed_on(self, beat: Beat) -> list[Out]:
        self.beats.append(structs.replace(beat, to=()))
        return self.pass_on(beat)

    def _to(self, name: str, word: Any) -> list[Out]:
        where = self.members.address(name)
        return [(where, word)] if where is not None else []

    def to_voters(self, said: Sequence[tuple[str, Any]]) -> list[Out]:
        """What voters are told, with where they are. Its own vote takes the same way as all."""
        out: list[Out] = []
        for name, word in said:
            where = self._voter_at(name)
            if where is not None:
                out.append((where, word))
        return out

    # The line

    def _line_up(self, at: Instant) -> list[Out]:
        out: list[Out] = []
        for name, duty in self.duties.items():
            rank: int | None = None
            if name in self.wanted:
                if self.plans[name].asked:
                    rank = 0
                elif not self.plans[name].voters or self.votes():  # else it is in no such line
                    names = [who.name for who in self.line(name)]
                    place = names.index(self.me.name) if self.me.name in names else LINE
                    rank = place if place < LINE or duty.held is not None else None
            out += self.to_voters(duty.in_line(at.boot, rank))
        return out

    def line(self, name: str) -> list[Who]:
        """Who would hold a duty, the first first: by number, those near the last holder before others."""
        alive = self.members.alive()
        if self.plans[name].voters:
            voters = {*self.voters.all}
            alive = [who for who in alive if not voters.isdisjoint(self.names(who))]
        if not self.plans[name].near:
            return alive
        zone = next((who.zone for who in alive if who.name == self.holder(name)[0]), "")
        return sorted(alive, key=lambda who: (who.zone != zone, who.number, who.name))

    def holder(self, name: str, place: int = 0) -> tuple[str, int]:
        """Who holds or last held a place, by what was heard, and in which epoch."""
        news = self.members.board.held.get(f"{name}/{place}")
        return (news.value, news.version) if news is not None else ("", 0)

    def _settle(self, at: Instant) -> None:
        """Tell of what it has come to hold, or holds no more."""
        for name, duty in self.duties.items():
            epoch = duty.act(at.boot)
            was = self.holding.get(name)
            if epoch == was:
                continue
            if was is not None:
                del self.holding[name]
                self.changes.append(Change(name, was, "over"))
            if epoch is not None and duty.held is not None:
                self.holding[name] = epoch
                self.changes.append(Change(name, epoch))
                self.members.tell(News(duty.held.lease, epoch, self.me.name))

    # What it is told

    def want(self, at: Instant, name: str, wanted: bool) -> list[Out]:
        """Stand in line for a duty that only those told do, or leave the line."""
        if wanted:
            self.wanted.add(name)
            out = self.to_voters(self.duties[name].in_line(at.boot, 0))
            self._settle(at)
            return out
        self.wanted.discard(name)
        return self.release(at, name, 0.0)

    def release(self, at: Instant, name: str, keep_out: float = 1.0) -> list[Out]:
        """Give a duty back; the next in line hears of it. Keep out of the line for so many terms."""
        duty = self.duties[name]
        held = duty.held
        out = self.to_voters(duty.give_back(at.boot, keep_out * self.terms.term))
        self._settle(at)
        if held is None:
            return out
        others = [who for who in self.line(name) if who.name != self.me.name][:LINE]
        for who in others:
            out.append(((who.host, who.port), Free(held.lease, held.epoch, others[0].name)))
        return out

    def vote_by(self, at: Instant, voters: Voters) -> tuple[str, list[Out]]:
        """Go by other voters; why not, if it does not."""
        others = {row.who.votes for row in self.members.table.rows.values() if row.here}
        if why := self.voter.change(at.boot, voters, voters.digest in others):
            return why, []
        out: list[Out] = []
        for duty in self.duties.values():
            out += self.to_voters(duty.vote_by(at.boot, voters))
        self.me = self.me._replace(votes=voters.digest)
        self.members.renamed(self.me)
        self._settle(at)
        return "", out

    def leave(self, at: Instant) -> list[Out]:
        """Give all back, and say that it leaves."""
        out: list[Out] = []
        for name, plan in self.plans.items():
            if not plan.asked:  # else it is kept while this one is away, as long as the term lasts
                out += self.release(at, name)
        self.leaving = True
        return out + list(self.members.leave(at.now))
