"""One sidecar's part in the agreed view: watches and is watched, stands in a view, leads the next one.

In which view it stands is moved only by the register `view` (an entry that is chosen, whose body is there).
What it tells others of who is silent is evidence; who goes and comes is decided by the leader alone, out of
what the observers of the present view said, and is in force once a majority of the voters keeps it.

What must never hold: two sidecars that stand in views of one number with other members; one that goes back to
a lower number; one that counts on a view (`sure`) though no leader has stood by it for `SURE` seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import get_args

from wheatring.lease.bodies import Fetch, digest
from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.lease.register import LEAD, RETRY, Register
from wheatring.lease.words import Entry
from wheatring.members.cuts import Cuts, groups
from wheatring.members.errands import Errands
from wheatring.members.members import Address
from wheatring.members.view import Change, Rings, View, change_body, change_of, members_of
from wheatring.members.watch import HELD, Watch
from wheatring.members.words import (
    ALIVE,
    AnyViewWord,
    Doubt,
    Here,
    Join,
    Knock,
    Look,
    Miss,
    Placed,
    Reached,
    Report,
    Stamp,
    Wait,
)

OFTEN = 0.1  # seconds from one look of a leader at what was reported to the next
MINT = 1.0  # seconds from one stamp to the next
SURE = 10.0  # seconds for which a stamp counts
KNOCK = 1.0  # seconds from one knock to the next
SECOND = 8  # members that look once more at who may go
NAMES = 60  # names in one word
ASKED = 720  # looks at others than subjects that may be answered yet


class Views:
    """A piece, and beside it its `register`, another. `plan` is told by whoever knows the newest plan's
    number, for the stamps. `moved` counts the views that this sidecar has stood in.
    """

    hears = get_args(AnyViewWord)

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        self.fleet = fleet
        self.register = Register(at, "view", fleet, self._chosen)
        self.register.among = lambda: self.view.names
        self.watch = Watch(at.now, fleet.random)
        self.cuts = Cuts()
        self.view = View()
        self.rings = Rings(())
        self.placed = Placed(fleet.me, fleet.start)
        self.since = at.now  # when it came to stand in it
        self.moved = 0
        self.plan = 0  # the number of the newest plan known chosen
        self.stamp = Stamp(0, 0)
        self.born = -inf  # the latest instant at which the stamp surely was not older than its age
        self.next_mint = self.next_knock = self.next_look = at.now
        self.told_wait: Wait | None = None
        self.held: tuple[Entry, Change] | None = None  # chosen, and the whole view is fetched
        self.retry = inf  # when that is tried again
        # Why one that knocks is not let in now, by whoever knows what members have to be able to; "": it is.
        self.admits: Callable[[Instant, Placed], str] = lambda at, placed: ""
        self.errands = Errands()
        self.asked: dict[int, str] = {}  # looks of errands: at whom
        self.sides: dict[str, float] = {}  # who is heard and does not answer: when it was last heard
        self.doubt = 0

    # What it is asked

    @property
    def inside(self) -> bool:
        """Whether this very process stands in the view that it knows."""
        return self.view.of(self.fleet.me.name) == self.placed

    def age(self, now: float) -> float:
        """Seconds since a leader surely stood by the newest stamp known here."""
        return now - self.born

    def sure(self, now: float) -> bool:
        """Whether it may still count on its view."""
        return self.inside and self.age(now) < SURE and self.stamp.view <= self.view.number

    def side(self, now: float) -> str:
        """ "mute", "deaf" or "": see `Watch.side`."""
        return self.watch.side(now) if self.inside else ""

    # Time

    @property
    def due(self) -> float:
        leads = self.next_look if self.register.epoch is not None else inf
        knocks = inf if self.inside else self.next_knock
        return min(self.watch.due, leads, knocks, self.errands.due, self.retry)

    def tick(self, at: Instant) -> list[Out]:
        # By what is always due, and not by what a leader has to do: who comes to lead was not held up.
        if (late := at.now - self.watch.due) > HELD and self.moved:
            self.watch.held_up(late)
            self.cuts.forget()
        out = self._looks(at) + self._knock(at)
        if at.now >= self.retry:
            self._try_again()
        if self.register.epoch is not None and at.now >= self.next_look:
            self.next_look = at.now + OFTEN * (0.9 + 0.2 * self.fleet.random.random())
            out += self._lead(at)
        return out

    def _looks(self, at: Instant) -> list[Out]:
        out: list[Out] = []
        for name, seq, hurry in self.watch.looks(at.now):
            out += self._look(name, seq, hurry)
        kicks, self.watch.kicks = self.watch.kicks, []
        for name in kicks:
            for other in self.rings.observers(name):
                out += self._to(other, Miss(self.view.number, name))
        blames, self.watch.blames = self.watch.blames, []
        for name in blames:
            self.fleet.members.blame(at.now, name)
        if self.watch.asks_others(at.now):
            for name in self.rings.observers(self.fleet.me.name):
                out += self._ask(name)
        for name in self.errands.looks(at.now):
            out += self._ask(name)
        silent = self.watch.report(at.now)
        if silent is not None:
            word = Report(self.view.number, silent[:NAMES])
            out += self.fleet.to_voters([(voter, word) for voter in self.fleet.voters.all])
        return out

    def _look(self, name: str, seq: int, hurry: bool = False) -> list[Out]:
        row = self.fleet.members.table.rows.get(name)
        return self._to(name, Look(seq, *self.fleet.members.along(row), self.view.number, hurry))

    def _to(self, name: str, word: AnyViewWord) -> list[Out]:
        if name == self.fleet.me.name:
            return []
        where = self.fleet.members.address(name)
        if where is None:
            placed = self.view.of(name)
            where = (placed.who.host, placed.who.port) if placed is not None else None
        return [(where, word)] if where is not None else []

    # Words

    def hear(self, at: Instant, sender: str, address: Address, word: AnyViewWord) -> list[Out]:
        now = at.now
        self.watch.heard = now
        out: list[Out] = []
        match word:
            case Look():
                self.fleet.members.take(now, word)
                if word.hurry:
                    self.watch.hurry(now, False)
                if sender in self.watch.subjects:
                    self.sides[sender] = now
                along = self.fleet.members.along(self.fleet.members.table.rows.get(sender))
                here = Here(word.seq, *along, self.view.number, self.stamp, max(0.0, now - self.born))
                out = [(address, here)]
                if self.fleet.members.table.rows.get(sender) is None:
                    # The rumour of it has not come by here: it is asked itself, or voters that started anew
                    # together would know of nobody but each other.
                    out.append((address, Join(0, (self.fleet.members.own(),))))
                if word.view > self.register.chosen.number:
                    out.append((address, self.register.newest()))
            case Here():
                out = self._here(at, sender, address, word)
            case Miss():
                self.watch.kick(now, word.name)
            case Report():
                if sender in self.view.names:
                    self.cuts.report(now, sender, word.silent)
                    if any(name == sender for name, _ in word.silent):
                        out = self._lead(at)
            case Knock():
                if word.me.who.name == sender:
                    self.cuts.knock(now, word.me)
                    if self.view.of(sender) == word.me:  # it is in, and has not heard of it
                        out.append((address, self.register.tells()))
            case Wait():
                self.told_wait = word
                self.next_knock = max(self.next_knock, now + min(word.left, 10.0) + 0.05)
            case Doubt():
                self.errands.take(now, address, word.seq, word.names[:NAMES])
            case Reached():
                self.cuts.reaches(now, word.names)
        return out

    def _here(self, at: Instant, sender: str, address: Address, word: Here) -> list[Out]:
        now = at.now
        self.fleet.members.take(now, word)
        if word.seq in self.asked:
            return self._reached(now, sender, word.seq)
        sent = self.watch.here(now, sender, word.seq)
        if sent is None:
            return []
        self.sides.pop(sender, None)
        self.fleet.members.answered(now, sender)
        # Counted from when it was asked: however long the answer was on its way, the stamp is no younger.
        born = sent - max(0.0, word.age)
        newer = word.stamp[:2] > self.stamp[:2]
        if newer or (word.stamp[:2] == self.stamp[:2] and born > self.born):
            self.stamp, self.born = word.stamp, born
        if max(word.view, word.stamp.view) > self.register.chosen.number:
            return [(address, self.register.newest())]
        return []

    # Second looks, for a leader

    def _ask(self, name: str) -> list[Out]:
        """Look at one that need not be a subject."""
        self.watch.seq += 1
        self.asked[self.watch.seq] = name
        while len(self.asked) > ASKED:
            del self.asked[next(iter(self.asked))]
        return self._look(name, self.watch.seq)

    def _reached(self, now: float, name: str, seq: int) -> list[Out]:
        if self.asked.pop(seq) != name:
            return []
        self.watch.answered = now
        return [
            (leader, Reached(self.view.number, number, (name,)))
            for leader, number in self.errands.reached(name)
        ]

    # Coming in, and leaving

    def _knock(self, at: Instant) -> list[Out]:
        if self.inside or at.now < self.next_knock:
            return []
        self.next_knock = at.now + KNOCK * (0.9 + 0.2 * self.fleet.random.random())
        word = Knock(self.view.number, self.placed)
        return self.fleet.to_voters([(voter, word) for voter in self.fleet.voters.all])

    def leave(self, at: Instant) -> list[Out]:
        """Ask to be taken out at once."""
        word = Report(self.view.number, ((self.fleet.me.name, 0.0),))
        return self.fleet.to_voters([(voter, word) for voter in self.fleet.voters.all])

    # The leader

    def _lead(self, at: Instant) -> list[Out]:
        if not self.register.still or self.held is not None:
            return []
        if self.register.chosen.number != self.view.number:
            return []
        epoch = self.fleet.duties[LEAD].act(at.boot)
        if epoch is None or epoch != self.register.epoch:
            return []
        now, out = at.now, []
        if now >= self.next_mint:
            self.next_mint = now + MINT
            seq = self.stamp.seq + 1 if self.stamp.epoch == epoch else 1
            self.stamp, self.born = Stamp(epoch, seq, self.view.number, self.plan), now
        if not self.watch.alone(now):
            out += self._second_look(now)
            went = self.cuts.going(now, self.view, self.rings)
            came, wait = self.cuts.coming(now, self.view, self.rings)
            for placed, left, cost in wait:
                why = f"it went out again and again (cost {cost:.1f})"
                out.append(((placed.who.host, placed.who.port), Wait(self.view.number, left, why)))
            shut = {placed: why for placed in came if (why := self.admits(at, placed))}
            for placed, why in shut.items():
                out.append(((placed.who.host, placed.who.port), Wait(self.view.number, KNOCK, why)))
            came = [placed for placed in came if placed not in shut]
            if went or came:
                out += self._change(at, came, went)
        return out

    def _second_look(self, now: float) -> list[Out]:
        new = self.cuts.doubts(now, self.view, self.rings)
        # Whoever leads is there: two that are deaf report all, it among them, and nobody may be left to look.
        self.cuts.reaches(now, [self.fleet.me.name])
        if not new:
            return []
        others = self.view.names - {self.fleet.me.name}
        rest, doubted = sorted(others - self.cuts.doubted.keys()), sorted(others & self.cuts.doubted.keys())
        chosen = self.fleet.random.sample(rest, min(SECOND, len(rest)))
        # Where so many are in doubt, some of these look too: one more that is reached by nobody does no harm.
        chosen += self.fleet.random.sample(doubted, min(SECOND - len(chosen), len(doubted)))
        out: list[Out] = []
        for part in groups(new, NAMES):
            self.doubt += 1
            word = Doubt(self.view.number, self.doubt, tuple(part))
            for name in chosen:
                out += self._to(name, word)
            own = (self.fleet.me.host, self.fleet.me.port)
            self.errands.take(now, own, self.doubt, tuple(part))
        return out

    def _change(self, at: Instant, came: list[Placed], went: list[str]) -> list[Out]:
        after = self.view.after(0, 0, came, went)
        change = Change(digest(self.view.body), digest(after.body), tuple(came), tuple(went))
        # Whoever misses a change asks for the whole, and the voters are to have it before it is chosen.
        self.fleet.bodies.put(after.body)
        return self.register.put(at, change_body(change))

    # What is chosen

    def _chosen(self, at: Instant, entry: Entry, body: bytes) -> list[Out]:
        change = change_of(body)
        if change is None:
            return []
        own = self.view.body
        if digest(own) == change.after:
            return self._stand(at, replace(self.view, number=entry.number, epoch=entry.epoch), change)
        if digest(own) == change.before:
            after = self.view.after(entry.number, entry.epoch, change.came, change.went)
            if digest(after.body) == change.after:
                return self._stand(at, after, change)
        whole = self.fleet.bodies.get(change.after)
        if whole is not None and (members := members_of(whole)) is not None:
            return self._stand(at, View(entry.number, entry.epoch, members), change)
        self.held, self.retry = (entry, change), inf
        self.fleet.fetches.append(Fetch(self.register.where, change.after))
        return []

    def body(self, at: Instant, key: bytes, body: bytes | None) -> list[Out]:
        if self.held is None or self.held[1].after != key:
            return []
        entry, change = self.held
        if body is not None and (members := members_of(body)) is not None:
            return self._stand(at, View(entry.number, entry.epoch, members), change)
        self.retry = at.now + RETRY * (0.5 + self.fleet.random.random())
        return []

    def _try_again(self) -> None:
        """The whole view was not there: somebody else of the fleet has it."""
        self.retry = inf
        if self.held is None:
            return
        alive = [who for who in self.fleet.members.alive() if who.name != self.fleet.me.name]
        where = self.register.where
        if alive:
            who = self.fleet.random.choice(alive)
            where = (who.host, who.port)
        self.fleet.fetches.append(Fetch(where, self.held[1].after))

    def _stand(self, at: Instant, view: View, change: Change) -> list[Out]:
        """From here on it stands in that view."""
        self.held, self.retry = None, inf
        was, self.view = self.view, view
        self.fleet.bodies.put(view.body)
        self.fleet.bodies.keep("view/whole", change.after)
        if was.members != view.members:
            self.moved += 1
            self.since = at.now
            self.cuts.went(at.now, change.went)
            self.cuts.came(change.came)
            self.rings = Rings(view.names)
        self.watch.watch(at.now, self.rings.subjects(self.fleet.me.name) if self.inside else [])
        self.fleet.members.probing = not (self.inside and self.watch.subjects)
        if self.inside:
            self.told_wait = None
        return self._tell_strangers(was, change) if self.register.epoch is not None else []

    def _tell_strangers(self, was: View, change: Change) -> list[Out]:
        """What is chosen is spread by opinion of who is there. A leader tells those of the view itself whom
        its opinion does not have: they came just now, or were taken for dead a moment ago. And those who
        went, who may still hear.
        """
        rows = self.fleet.members.table.rows
        strangers = [
            placed.who
            for placed in self.view.members
            if placed.who.name != self.fleet.me.name
            and ((row := rows.get(placed.who.name)) is None or row.state != ALIVE)
        ]
        gone = [placed.who for placed in was.members if placed.who.name in change.went]
        return [((who.host, who.port), self.register.tells()) for who in strangers + gone]
