"""The piece that holds a plan back until every sidecar of the view understands it.

It is a member's side (`member`), at the leader one push (`leader`), and the gate to the view (`floor`). What
compiles a plan is handed in. What must never hold together, and who keeps it:

- a plan is put while another view is being chosen: `verdict` says YES only while `view_still` is so, and
  whoever puts does it in the same event, for the view that the verdict names;
- somebody is let in while another plan is being chosen: `admits` lets nobody in unless `plan_still` is so.

Both registers are led by one sidecar, so that these two, looked at there, leave no order of events in which a
member of the view is in a settled plan that it can't read. `still` of a register: it is `ready`, and has what
is chosen.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import get_args

from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.members.members import Address
from wheatring.members.view import View
from wheatring.members.words import Knock, Placed
from wheatring.plan.judge import Reason, Stage, Verdict
from wheatring.plan.words import OLDEST, Plan
from wheatring.skew.errors import FloorNotLeading, NoBody, SettledUnreadable, Unsurveyed
from wheatring.skew.floor import Book, floor_of, may_enter, raise_to, unsurveyed
from wheatring.skew.leader import STEP, Push
from wheatring.skew.member import Compile, Member
from wheatring.skew.needs import Needs, needs, reason
from wheatring.skew.trials import DAY
from wheatring.skew.words import Abilities, Able, Show, Shown, SkewWord, Survey, Tried, Try


class Skew:
    """A `lease.fleet.Piece` and a `plan.judge.Judge`. `abilities` are its own (`needs.own_abilities`),
    `compiles` reads and compiles a body, `view_still` and `plan_still` as above.
    """

    hears = (*get_args(SkewWord), Knock)
    leads: type[Push] = Push

    def __init__(
        self,
        fleet: Fleet,
        abilities: Abilities,
        compiles: Compile,
        view_still: Callable[[], bool],
        plan_still: Callable[[], bool],
    ) -> None:
        self.fleet = fleet
        self.member = Member(fleet, abilities, compiles)
        self.view_still, self.plan_still = view_still, plan_still
        self.push: Push | None = None
        self.refused: Verdict | None = None  # what was refused before anybody was asked
        self.next_step = inf
        self.book = Book()
        self.floor = OLDEST
        self.settled: Needs | None = None
        self.blind = ""  # why this program can't read what is settled

    # The judge

    def begin(self, at: Instant, digest: bytes, plan: Plan, view: View) -> list[Out]:
        self.end()
        body = self.fleet.bodies.get(digest)
        if body is None:
            why = reason("", NoBody, f"{digest.hex()} is not here")
            self.refused = Verdict(Stage.NO, view.number, 0, len(view.members), (why,))
            return []
        day = at.wall // (1000 * DAY)
        number = 1 + self.fleet.random.getrandbits(62)
        self.push = self.leads(at.now, number, digest, needs(plan, body), day, view)
        return self._step(at)

    def moved(self, at: Instant, view: View) -> list[Out]:
        if self.push is None:
            return []
        self.push.moved(at.now, view)
        return self._step(at)

    def verdict(self, now: float) -> Verdict:
        """Before any `begin`: NO of nobody."""
        if self.push is not None:
            return self.push.verdict(now, self.view_still())
        return self.refused or Verdict(Stage.NO, 0)

    def end(self) -> None:
        self.push = self.refused = None

    # Time

    @property
    def due(self) -> float:
        return min(self.next_step, self.member.due)

    def tick(self, at: Instant) -> list[Out]:
        out = self.member.tick(at)
        return out + self._step(at) if at.now >= self.next_step else out

    def _step(self, at: Instant) -> list[Out]:
        out: list[Out] = []
        if self.push is not None:
            out += self.push.step(at.now)
        for placed in self.book.asks(at.now):
            out.append(((placed.who.host, placed.who.port), Survey(0)))
        open_ = self.push is not None and self.push.stage in (Stage.SURVEYED, Stage.TRIED)
        self.next_step = at.now + STEP if open_ or self.book.asking else inf
        return out

    # Words

    def hear(self, at: Instant, sender: str, address: Address, word: SkewWord | Knock) -> list[Out]:
        match word:
            case Knock():
                # Asked right then, so that the answer is there when those who knocked are let in.
                if word.me.who.name == sender and self.plan_still() and self.admits(at, word.me):
                    return self._step(at)
            case Survey() | Try() | Show():
                return self.member.hear(at, address, word)
            case Able():
                pushed = self.push is not None and (sender, word.start) in self.push.of
                if pushed or (sender, word.start) in self.book.asking:
                    self.book.learn(sender, word.start, word.abilities)
        if self.push is not None and isinstance(word, Able | Tried | Shown):
            self.push.hear(sender, word)
        return []

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        return self.member.body(at, digest, body)

    # What is settled, the floor, and who may come in

    def took(self, plan: Plan | None, body: bytes) -> None:
        """A plan is settled, by the register `plan`. None: this program can't read it."""
        self.settled = needs(plan, body) if plan is not None else None
        self.blind = "" if plan is not None else f"a plan of {len(body)} bytes"

    def took_floor(self, body: bytes) -> None:
        """An entry of the register `floor` is chosen."""
        floor = floor_of(body)
        if floor is not None:
            self.floor = floor

    def floor_to(self, at: Instant, format: int, view: View) -> bytes:
        """The body of an entry that moves the floor, for the leader to put. Raises FloorNotLeading,
        FloorUnknown, FloorInUse, BelowFloor; Unsurveyed while members are still being asked.
        """
        if not (self.view_still() and self.plan_still()):
            raise FloorNotLeading(f"floor {format} asked of {self.fleet.me.name}")
        pairs = [(placed, self.book.abilities(at.now, placed)) for placed in view.members]
        unknown = [placed.who.name for placed, abilities in pairs if abilities is None]
        if unknown:
            self.next_step = at.now
            raise unsurveyed(unknown)
        known = [(placed.who.name, abilities) for placed, abilities in pairs if abilities is not None]
        return raise_to(format, self.floor, self.settled, known)

    def own(self) -> tuple[Reason, ...]:
        """Why this process is not fit for the view, by what it knows itself; it should not lead then."""
        name = self.fleet.me.name
        if self.blind:
            return (reason(name, SettledUnreadable, f"it can't read what is settled, {self.blind}"),)
        return tuple(may_enter(self.member.abilities, self.floor, self.settled, name))

    def admits(self, at: Instant, placed: Placed) -> tuple[Reason, ...]:
        """Why one that knocks is not let into the view now; (): it may come in. Asked at the leader."""
        name = placed.who.name
        if self.blind:
            return (reason(name, SettledUnreadable, f"{self.fleet.me.name} can't read {self.blind}"),)
        if not self.plan_still():
            return (reason(name, Unsurveyed, "another plan is being chosen"),)
        if self.settled is None and self.floor == OLDEST:
            return ()
        abilities = self.book.abilities(at.now, placed)
        if abilities is None:
            self.next_step = min(self.next_step, at.now)
            return (reason(name, Unsurveyed, "it has not told yet what it can"),)
        return tuple(may_enter(abilities, self.floor, self.settled, name))
