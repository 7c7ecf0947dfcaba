"""The push of one plan, at the sidecar that leads. Only in its term: with the term all of this is lost.

States of a push, moved by `Lead` alone, in its steps and by the register's word:

    OFFERED   the body is fetched from where it was offered; whole and readable      -> SURVEYED
    SURVEYED  every member of the view is asked what it can, and holds the body      -> TRIED
    TRIED     every member has tried it alike (both are the judge's to say)          -> PUTTING
    PUTTING   put to the voters: from here on it cannot be taken back                -> SETTLED
    REFUSED   from any state before PUTTING: by a reason, or as its time was over

If the view moves, TRIED may become SURVEYED again, for those who are new; the time for either goes on. What
must never hold:

- a plan put by a verdict on another view than the present one, or while the next view is being put;
- a plan put before every member of the view, as the very process that stands there, has told that it holds
  the body whole and can read it: who says nothing has not said yes;
- two pushes at one time; a push that goes on past the term it began in;
- a plan that is put over one that whoever offered it did not know of.

No I/O, clock or chance of its own but what is handed in.
"""

from __future__ import annotations

from collections import OrderedDict
from math import ceil

from wheatring.errors import OperatorError
from wheatring.lease.bodies import LARGEST, Fetch
from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.lease.register import LEAD, Register
from wheatring.lease.views import Views
from wheatring.lease.words import Entry
from wheatring.members.members import Address
from wheatring.members.words import Placed
from wheatring.plan.errors import (
    PlanMembersLost,
    PlanNotFetched,
    PlanNotJudged,
    PlanNotKept,
    PlanNotWhole,
    PlanNoView,
    PlanOvertaken,
    PlanPushUnderWay,
    PlanTooLarge,
    PlanViewMovedTooOften,
)
from wheatring.plan.judge import Judge, Reason, Stage, Verdict
from wheatring.plan.messages import (
    OFFERED,
    PUTTING,
    REFUSED,
    SETTLED,
    SURVEYED,
    TRIED,
    Hold,
    Holds,
    Offer,
    Pushed,
    packed,
)
from wheatring.plan.one import Push, key, reason
from wheatring.plan.read import compiled, read

BOUNDS = {OFFERED: 10.0, SURVEYED: 10.0, TRIED: 20.0, PUTTING: 10.0}  # seconds in each state
STEPS = 10  # steps in which all members of a large fleet are first asked to fetch the body
AGAIN = 1.0  # seconds until one that has not told that it holds it is asked again
GONE = 5  # one of so many of the view's members may go while a push is under way, or one
MOVES = 3  # views after which it was their moving that kept a push from being settled
ANSWERS = 64  # pushes that are over, of which the answer is kept


class Lead:
    """`judge` None: whoever holds a plan whole and reads it is able, and no trials are held."""

    def __init__(self, fleet: Fleet, views: Views, register: Register, judge: Judge | None) -> None:
        self.fleet = fleet
        self.views = views
        self.register = register
        self.judge = judge
        self.epoch: int | None = None  # of the term in which all this is
        self.push: Push | None = None
        self.answers: OrderedDict[tuple[str, int], Pushed] = OrderedDict()

    def office(self, at: Instant) -> bool:
        """Whether it leads at this instant. What was begun in another term is gone."""
        epoch = self.fleet.duties[LEAD].act(at.boot)
        if epoch != self.epoch:
            if self.push is not None and self.judge is not None:
                self.judge.end()
            self.epoch, self.push = epoch, None
            self.answers.clear()
        return epoch is not None

    # Words

    def offer(self, at: Instant, sender: str, address: Address, word: Offer) -> list[Out]:
        if not self.office(at) or word.epoch != self.epoch:
            return []
        by = (sender, word.id)
        if by in self.answers:
            return [(address, self.answers[by])]
        push, chosen = self.push, self.register.chosen
        if push is not None and push.digest == word.digest:
            push.offers[by] = address
            return [(address, self._word(push, word.id, self.reasons(push, at.now)))]
        if push is not None:
            what = f"the push of {push.title or push.digest.hex()!r} from {push.offerer} is {push.state}"
            return self._no(by, address, word, PlanPushUnderWay(what))
        if not self.register.ready:
            return []  # it may be this very plan that the voters have; it is offered again
        if word.base > chosen.number:
            return [(address, self.register.newest())]
        if chosen.number and chosen.digest == word.digest:
            told = Pushed(word.digest, word.epoch, word.id, SETTLED, chosen.number)
            return self._answer(by, address, told)
        if word.base < chosen.number:
            what = f"plan {chosen.number} was settled, and this one was offered knowing {word.base}"
            return self._no(by, address, word, PlanOvertaken(what))
        if word.size > LARGEST:
            return self._no(by, address, word, PlanTooLarge(f"{word.size} bytes, {LARGEST} at most"))
        view, until = self.views.view, at.now + BOUNDS[OFFERED]
        self.push = Push(word.digest, address, sender, at.now, until, view, view)
        self.push.offers[by] = address
        return [(address, self._word(self.push, word.id, []))]

    def _no(self, by: tuple[str, int], address: Address, word: Offer, why: OperatorError) -> list[Out]:
        whys, more = packed([reason(why)])
        told = Pushed(word.digest, word.epoch, word.id, REFUSED, whys=whys, more=more)
        return self._answer(by, address, told)

    def _answer(self, by: tuple[str, int], address: Address, told: Pushed) -> list[Out]:
        self.answers[by] = told
        while len(self.answers) > ANSWERS:
            self.answers.popitem(last=False)
        return [(address, told)]

    def holds(self, at: Instant, sender: str, word: Holds) -> None:
        push = self.push
        if not self.office(at) or push is None or (word.digest, word.epoch) != (push.digest, self.epoch):
            return
        if word.code:
            push.no[sender, word.start] = Reason(sender, word.code, word.what, word.do)
        else:
            push.held.add((sender, word.start))

    def chosen(self, at: Instant, entry: Entry) -> list[Out]:
        """The register's word that an entry is chosen."""
        push = self.push
        if push is None or push.state != PUTTING:
            return []
        return self._over(SETTLED) if entry[0:3:2] == (push.number, push.digest) else []

    # Steps

    def step(self, at: Instant) -> list[Out]:
        if not self.office(at) or (push := self.push) is None:
            return []
        if push.state == PUTTING:
            return self._kept(push)
        if push.state == OFFERED:
            return self._offered(at, push)
        out: list[Out] = []
        if self.views.view.number != push.view.number:
            out = self._moved(at, push)
        gone = sorted(push.first.names - push.view.names)
        if len(gone) > max(1, len(push.first.names) // GONE):
            lost = PlanMembersLost(f"went while it was {push.state}, {len(gone)} of {len(push.first.names)}")
            others = PlanNotWhole("had not told by then that it holds the plan")
            why = [reason(lost, name) for name in gone]
            why += [reason(others, placed.who.name) for placed in self.missing(push)]
            return out + self._over(REFUSED, why)
        if no := [push.no[key(placed)] for placed in push.view.members if key(placed) in push.no]:
            return out + self._over(REFUSED, no)
        push.verdict = self._verdict(at, push)
        if push.verdict.stage is Stage.NO:
            return out + self._over(REFUSED, list(push.verdict.reasons))
        self._show(at, push)
        if self._may_put(at, push):
            return out + self._put(at, push)
        if at.now >= push.until:
            return out + self._over(REFUSED, self._late(at, push))
        return out + self._spread(at, push)

    def _kept(self, push: Push) -> list[Out]:
        """The voters keep it, and the register does not say so: somebody has told meanwhile of a plan of a
        higher number, which all the voters had forgotten. Both are settled, and all go by the higher.
        """
        over = self.register.ready and self.register.chosen.number > push.number
        return self._over(SETTLED) if over else []

    def _offered(self, at: Instant, push: Push) -> list[Out]:
        body = self.fleet.bodies.get(push.digest)
        if body is None:
            if at.now >= push.until:
                what = f"the body did not come from {push.offerer} within {BOUNDS[OFFERED]:g} s"
                return self._over(REFUSED, [reason(PlanNotFetched(what))])
            if at.now >= push.fetched + AGAIN:
                push.fetched = at.now
                self.fleet.fetches.append(Fetch(push.source, push.digest))
            return []
        if push.plan is None:
            try:
                push.plan = read(body)
                compiled(push.plan)
            except OperatorError as bad:
                return self._over(REFUSED, [reason(bad)])
            self.fleet.bodies.keep("plan/push", push.digest)
        if not self.views.inside:
            if at.now >= push.until:
                return self._over(REFUSED, [reason(PlanNoView("the leader stands in none"))])
            return []
        push.held.add((self.fleet.me.name, self.fleet.start))
        push.state, push.until = SURVEYED, at.now + BOUNDS[SURVEYED]
        push.first = push.view = self.views.view
        if self.judge is None:
            return []
        return self.judge.begin(at, push.digest, push.plan, push.view)

    def _moved(self, at: Instant, push: Push) -> list[Out]:
        push.view = self.views.view
        push.moves += 1
        return self.judge.moved(at, push.view) if self.judge is not None else []

    def _verdict(self, at: Instant, push: Push) -> Verdict:
        if self.judge is not None:
            return self.judge.verdict(at.now)
        missing, of = len(self.missing(push)), len(push.view.members)
        return Verdict(Stage.SURVEYED if missing else Stage.YES, push.view.number, of - missing, of)

    def _show(self, at: Instant, push: Push) -> None:
        """The state that the verdict makes it; each has its time but once."""
        state = SURVEYED if push.verdict.stage is Stage.SURVEYED else TRIED
        if state == TRIED and push.state == SURVEYED:
            if not push.tried:
                push.until = at.now + BOUNDS[TRIED]
            push.tried = True
        push.state = state

    def missing(self, push: Push) -> list[Placed]:
        """Members of the view that have not told that they hold it."""
        return [placed for placed in push.view.members if key(placed) not in push.held]

    def _may_put(self, at: Instant, push: Push) -> bool:
        verdict, views = push.verdict, self.views
        if verdict.stage is not Stage.YES or verdict.view != views.view.number or self.missing(push):
            return False
        # A view that is being put may be in force before the plan is.
        newest = views.register.ready and views.register.have.number == views.view.number
        return newest and views.sure(at.now) and self.register.ready and self.register.epoch == self.epoch

    def _put(self, at: Instant, push: Push) -> list[Out]:
        body = self.fleet.bodies.get(push.digest)
        assert body is not None  # it is kept for this
        push.number = self.register.chosen.number + 1
        push.state, push.until = PUTTING, at.now + BOUNDS[PUTTING]
        return self.register.put(at, body, push.number)

    def _spread(self, at: Instant, push: Push) -> list[Out]:
        """Ask those that do not hold it to fetch it. Not all at once: the leader gives the first of them the
        body, and these the others.
        """
        assert self.epoch is not None
        out: list[Out] = []
        room = ceil(len(push.view.members) / STEPS)
        own = (self.fleet.me.host, self.fleet.me.port)
        have = [(p.who.host, p.who.port) for p in push.view.members if key(p) in push.held] or [own]
        for placed in self.missing(push):
            last = push.asked.get(key(placed))
            if not room if last is None else at.now < last + AGAIN:
                continue
            room -= last is None
            push.asked[key(placed)] = at.now
            source = self.fleet.random.choice(have) if last is None else own
            out.append(((placed.who.host, placed.who.port), Hold(push.digest, self.epoch, source)))
        return out

    # The end

    def _late(self, at: Instant, push: Push) -> list[Reason]:
        """Why it was not settled in its time."""
        why = list(push.verdict.reasons)
        if push.moves >= MOVES:
            why.append(reason(PlanViewMovedTooOften(f"{push.moves} views came meanwhile")))
        took = f"within {at.now - push.since:.0f} s"
        late = PlanNotWhole(f"has not told {took} that it holds the plan")
        why += [reason(late, placed.who.name) for placed in self.missing(push)]
        if not self.views.sure(at.now):
            why.append(reason(PlanNoView("the leader does not count on its view")))
        if not why:
            verdict = push.verdict
            what = f"{verdict.asked} of {verdict.of} have answered {took}, in view {verdict.view}"
            why.append(reason(PlanNotJudged(f"{what}; the view is {self.views.view.number}")))
        return why

    def reasons(self, push: Push, now: float) -> list[Reason]:
        """Why it is not settled yet."""
        if push.state != PUTTING:
            wait = reason(PlanNotWhole("does not hold the plan yet"))
            names = [placed.who.name for placed in self.missing(push)] if push.state != OFFERED else []
            return [*push.verdict.reasons, *(wait._replace(member=name) for name in names)]
        if now < push.until:
            return []
        yes, voters = len(self.register.yes), len(self.fleet.voters.all)
        what = f"{yes} of {voters} voters keep it after {BOUNDS[PUTTING]:g} s"
        return [reason(PlanNotKept(what))]

    def _word(self, push: Push, number: int, why: list[Reason]) -> Pushed:
        assert self.epoch is not None
        whys, more = packed(why)
        of = len(push.view.members)
        held = of - len(self.missing(push))
        settled = push.number if push.state == SETTLED else 0
        return Pushed(push.digest, self.epoch, number, push.state, settled, held, of, whys, more)

    def _over(self, state: str, why: list[Reason] | None = None) -> list[Out]:
        push, self.push = self.push, None
        assert push is not None
        push.state = state
        if self.judge is not None:
            self.judge.end()
        out: list[Out] = []
        for by, address in push.offers.items():
            out += self._answer(by, address, self._word(push, by[1], why or []))
        return out
