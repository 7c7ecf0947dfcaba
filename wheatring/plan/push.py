"""One sidecar's part in the fleet's one plan: goes by what is settled, holds what is pushed, offers, leads.

What it goes by is moved only by the register `plan` (an entry that is chosen, whose body is there and can be
read). An offer is moved by the leader's word alone, or by the register's, or by its time:

    offered .. putting  as the leader tells; offered again to whoever leads by then
    settled             the register has this very body, or the leader says so
    refused             the leader of the newest term that it was offered to says so
    lost                no leader has told how it ended within PATIENCE: it may be settled yet

What must never hold: a plan that is gone by and is not the register's, not whole, or of a lower number than
the one before; a refusal believed of a leader after whom another was asked; a body told as held (`Holds`)
that is not kept. No I/O, clock or chance of its own but what is handed in.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, get_args

from wheatring.errors import OperatorError
from wheatring.lease.bodies import LARGEST, Fetch
from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.lease.register import LEAD, Register
from wheatring.lease.views import Views
from wheatring.lease.words import Entry
from wheatring.members.members import Address
from wheatring.members.words import Who
from wheatring.plan.errors import PlanLeaderLost, PlanNoView, PlanPushUnderWay, PlanTooLarge
from wheatring.plan.judge import Judge, Reason
from wheatring.plan.lead import Lead
from wheatring.plan.messages import (
    LOST,
    OFFERED,
    OVER,
    SETTLED,
    Hold,
    Holds,
    Offer,
    Pushed,
    PushWord,
    cut,
    unpacked,
)
from wheatring.plan.one import reason
from wheatring.plan.read import Compiled, compiled, read
from wheatring.plan.words import Settled

STEP = 0.1  # seconds from one step of a push to the next, at the leader
IDLE = 0.5  # seconds between looks where there is none
RESEND = 1.0  # seconds until an offer that is not over is said again
PATIENCE = 60.0  # seconds from when it was offered, for which its end is waited for
OPEN = 4  # pushes of one sidecar that are not over, at most
MANY = 16  # pushes of which it can tell how they ended
READ = 4  # bodies of which it is kept what they say

Taken = Callable[[Instant, Settled], list[Out]]


@dataclass
class Pushing:
    """A push that was offered here, as far as it is known. `asked` of `of` members hold it."""

    id: int
    digest: bytes
    title: str
    size: int
    base: int
    since: float
    next: float
    state: str = OFFERED
    number: int = 0
    asked: int = 0
    of: int = 0
    reasons: tuple[Reason, ...] = ()
    more: int = 0  # reasons that are known only to the leader
    epoch: int = 0  # of the newest leader that it was offered to

    @property
    def over(self) -> bool:
        return self.state in OVER


class Plans:
    """A piece, and beside it its `register`, another. `taken` is called with each plan that it goes by from
    then on: newer than the one before, whole. `lead.judge` may be put in before the first tick.
    """

    hears = get_args(PushWord)

    def __init__(
        self, at: Instant, fleet: Fleet, views: Views, judge: Judge | None = None, taken: Taken | None = None
    ) -> None:
        self.fleet = fleet
        self.views = views
        self.taken: Taken = taken or (lambda at, settled: [])
        self.register = Register(at, "plan", fleet, self._chosen)
        self.register.met = self._met
        self.lead = Lead(fleet, views, self.register, judge)
        self.current: Settled | None = None
        self.compiled: Compiled | None = None  # of the current one
        self.unread: Reason | None = None  # why the newest settled one is not gone by
        self.pushes: OrderedDict[int, Pushing] = OrderedDict()  # offered here
        self.understood: OrderedDict[bytes, Compiled | OperatorError] = OrderedDict()
        self.holding: tuple[Hold, Address] | None = None  # what a leader wants held, and who that is
        self.next = self.next_ask = at.now

    # Offering

    def offer(self, at: Instant, body: bytes) -> int:
        """Push a plan: its number among the pushes, for `pushes`. It goes out with the next tick, which is
        due at once. Raises OperatorError where it is refused right here.
        """
        if len(body) > LARGEST:
            raise PlanTooLarge(f"{len(body)} bytes, {LARGEST} at most")
        plan = read(body)
        compiled(plan)
        if not self.views.inside:
            raise PlanNoView(f"{self.fleet.me.name} stands in no view")
        waiting = [one for one in self.pushes.values() if not one.over]
        if len(waiting) >= OPEN:
            what = f"{len(waiting)} pushes of {self.fleet.me.name} are not over, {OPEN} at most"
            raise PlanPushUnderWay(what)
        key, number = self.fleet.bodies.put(body), self.fleet.random.getrandbits(31)
        self.fleet.bodies.keep(f"plan/offer/{number}", key)
        base = self.register.chosen.number
        self.pushes[number] = Pushing(number, key, plan.title, len(body), base, at.now, at.now)
        while len(self.pushes) > MANY:
            over = next(one.id for one in self.pushes.values() if one.over)
            del self.pushes[over]
        self.next = at.now
        return number

    def _offers(self, at: Instant) -> list[Out]:
        """Say what is not over again, to whoever leads now."""
        out: list[Out] = []
        for push in self.pushes.values():
            if push.over or at.now < push.next:
                continue
            if at.now >= push.since + PATIENCE:
                what = f"no end in {PATIENCE:g} s; {push.state} when a leader last told of it"
                push.reasons = (reason(PlanLeaderLost(what)),)
                self._ends(push, LOST)
                continue
            push.next = at.now + RESEND * (0.9 + 0.2 * self.fleet.random.random())
            name, epoch = self.fleet.holder(LEAD)
            if (where := self._where(name)) is not None and epoch >= push.epoch:
                push.epoch = epoch
                out.append((where, Offer(push.digest, epoch, push.id, push.size, push.base)))
        return out

    def _where(self, name: str) -> Address | None:
        if name == self.fleet.me.name:
            return self.fleet.me.host, self.fleet.me.port
        return self.fleet.members.address(name) if name else None

    def _pushed(self, word: Pushed) -> None:
        push = self.pushes.get(word.id)
        if push is None or push.over or push.digest != word.digest or word.epoch < push.epoch:
            return
        push.asked, push.of, push.number = word.asked, word.of, word.number
        push.reasons, push.more = unpacked(word.whys), word.more
        self._ends(push, word.state)

    def _ends(self, push: Pushing, state: str) -> None:
        push.state = state
        if push.over:
            self.fleet.bodies.kept.pop(f"plan/offer/{push.id}", None)

    # Time

    @property
    def due(self) -> float:
        return self.next

    def tick(self, at: Instant) -> list[Out]:
        self.views.plan = self.register.chosen.number
        out = self.lead.step(at) + self._offers(at)
        self.next = at.now + (STEP if self.lead.push is not None else IDLE)
        if self.views.stamp.plan > self.register.chosen.number and at.now >= self.next_ask:
            self.next_ask = at.now + RESEND
            out += self._ask()
        return out

    def _met(self) -> list[Who] | None:
        """Whom a voter that has started asks for what it has forgotten. Voters that start together hold only
        each other for there at first; that they have a view again, they have from the others.
        """
        view = self.views.view
        return [placed.who for placed in view.members] if view.number else None

    def _ask(self) -> list[Out]:
        """A stamp names a plan that it has missed: whoever leads has it, and so have most of the others."""
        others = [who for who in self.fleet.members.alive() if who.name != self.fleet.me.name]
        asked = [(who.host, who.port) for who in [self.fleet.random.choice(others)]] if others else []
        name, _ = self.fleet.holder(LEAD)
        if name != self.fleet.me.name and (where := self._where(name)) is not None:
            asked.append(where)
        return [(where, self.register.newest()) for where in dict.fromkeys(asked)]

    # Words

    def hear(self, at: Instant, sender: str, address: Address, word: PushWord) -> list[Out]:
        match word:
            case Offer():
                out = self.lead.offer(at, sender, address, word)
                if self.lead.push is not None:
                    self.next = min(self.next, at.now + STEP)
                return out
            case Pushed():
                self._pushed(word)
            case Hold():
                return self._hold(at, address, word)
            case Holds():
                self.lead.holds(at, sender, word)
        return []

    def _hold(self, at: Instant, address: Address, word: Hold) -> list[Out]:
        if self.holding is not None and word.epoch < self.holding[0].epoch:
            return []  # of a leader that another has followed
        self.holding = (word, address)
        if self.fleet.bodies.get(word.digest) is not None:
            return self._held()
        self.fleet.fetches.append(Fetch(word.source, word.digest))
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        if body is None or self.holding is None or self.holding[0].digest != digest:
            return []  # the leader asks again
        return self._held()

    def _held(self) -> list[Out]:
        """Tell the leader what has become of what it wants held."""
        assert self.holding is not None
        word, address = self.holding
        body = self.fleet.bodies.get(word.digest)
        if body is None:
            return []
        self.fleet.bodies.keep("plan/held", word.digest)
        found = self._read(word.digest, body)
        why = (
            (found.code, cut(found.what), cut(found.do)) if isinstance(found, OperatorError) else ("", "", "")
        )
        return [(address, Holds(word.digest, word.epoch, self.fleet.start, *why))]

    def _read(self, digest: bytes, body: bytes) -> Compiled | OperatorError:
        found = self.understood.get(digest)
        if found is None:
            try:
                found = compiled(read(body))
            except OperatorError as bad:
                found = bad
            self.understood[digest] = found
            while len(self.understood) > READ:
                self.understood.popitem(last=False)
        return found

    # What is chosen

    def _chosen(self, at: Instant, entry: Entry, body: bytes) -> list[Out]:
        out = self.lead.chosen(at, entry)
        for push in self.pushes.values():
            if push.digest == entry.digest and not push.over and entry.number > push.base:
                push.number, push.reasons = entry.number, ()
                self._ends(push, SETTLED)
        found = self._read(entry.digest, body)
        if isinstance(found, OperatorError):  # by a program that knows less than those who settled it
            self.unread = reason(found, self.fleet.me.name)
            return out
        was, self.unread = self.current, None
        self.current, self.compiled = Settled(entry.number, entry.epoch, entry.digest, found.plan), found
        if was is None or (was.number, was.digest) != (entry.number, entry.digest):
            out += self.taken(at, self.current)
        return out

    # What it tells

    def seen(self, now: float) -> dict[str, Any]:
        """For `GET /control/plan`."""
        current, lead = self.current, self.lead.push
        return {
            "number": current.number if current is not None else 0,
            "epoch": current.epoch if current is not None else 0,
            "digest": current.digest.hex() if current is not None else "",
            "title": current.plan.title if current is not None else "",
            "format": current.plan.format if current is not None else 0,
            "newest": self.register.chosen.number,
            "unread": _told([self.unread]) if self.unread is not None else [],
            "sure": self.views.sure(now) and self.views.stamp.plan <= self.register.have.number,
            "leads": None if lead is None else {
                "digest": lead.digest.hex(),
                "title": lead.title,
                "from": lead.offerer,
                "state": lead.state,
                "for_s": round(now - lead.since, 1),
                "view": lead.view.number,
                "members": len(lead.view.members),
                "holds": sorted({p.who.name for p in lead.view.members} - {*self._missing()}),
                "reasons": _told(self.lead.reasons(lead, now)),
            },
            "pushes": [self.told(push, now) for push in self.pushes.values()],
        }  # fmt: skip

    def _missing(self) -> list[str]:
        lead = self.lead.push
        return [] if lead is None else [placed.who.name for placed in self.lead.missing(lead)]

    def told(self, push: Pushing, now: float) -> dict[str, Any]:
        """One push that was offered here."""
        return {
            "id": push.id,
            "digest": push.digest.hex(),
            "title": push.title,
            "state": push.state,
            "number": push.number,
            "hold": push.asked,
            "members": push.of,
            "for_s": round(now - push.since, 1),
            "reasons": _told(push.reasons),
            "more": push.more,
        }


def _told(reasons: Any) -> list[dict[str, str]]:
    return [one._asdict() for one in reasons]
