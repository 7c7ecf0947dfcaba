"""One member's part in the membership: probes others, is probed, passes rumours on. No I/O.

`now` is in seconds of the monotonic clock. Words go to addresses, (host, port). Traffic of a member does not
grow with their number: one probe a period, what others ask of it, and an exchange of all that is known, which
is the rarer the more there are.

A member that was held up itself (its own `tick` came late) takes back the probe under way, gives all suspects
the time that it missed, and probes more slowly until it has been answered again.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from math import inf
from random import Random

from wheatring.members.health import Health
from wheatring.members.news import Board
from wheatring.members.pace import Pace
from wheatring.members.rumours import Rumours, packed
from wheatring.members.table import Row, Seen, Table
from wheatring.members.words import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Ack,
    Indirect,
    Join,
    Known,
    MemberWord,
    Nack,
    News,
    Ping,
    Rumour,
    Who,
    Word,
)

Address = tuple[str, int]
Out = tuple[Address, MemberWord]
LEAVING = 6  # that many are told when one leaves
ERRANDS = 64  # probes for others at once


class _Probe:
    __slots__ = ("acked", "began", "nacks", "name", "seq", "wanted")

    def __init__(self, seq: int, name: str, began: float) -> None:
        self.seq = seq
        self.name = name
        self.began = began
        self.acked = False
        self.wanted = 0  # helpers that were asked
        self.nacks = 0


class Members:
    """`changed` holds names whose state has changed since it was last emptied, `fresh` news that came.
    `keys` are those that news may have.
    """

    def __init__(
        self,
        now: float,
        me: Who,
        incarnation: int,
        seeds: list[Address],
        pace: Pace,
        random: Random,
        keys: Collection[str] = (),
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.seeds = [seed for seed in seeds if seed != (me.host, me.port)]
        self.pace = pace
        self.random = random
        self.table = Table()
        self.rumours = Rumours()
        self.health = Health()
        self.board = Board(keys)
        self.changed: list[str] = []
        self.fresh: list[News] = []
        self.seq = 0
        self.order: list[str] = []
        self.probe: _Probe | None = None
        self.errands: dict[int, tuple[Address, int, float]] = {}  # who asked, by its number, until when
        self.left = False
        self.joined = not self.seeds
        self.tries = self.syncs = 0
        first = min(me.number / pace.joining, pace.joining_most * random.random())
        self.next_join = now + first if self.seeds else inf
        self.next_probe = now + pace.period * random.random()
        self.next_sync = now + pace.sync * (0.5 + random.random())
        self.suspects: set[str] = set()
        self.probing = True  # False: those who watch each other in an agreed view do it instead
        self.rumours.add(self.own())

    # The view

    def seen(self, now: float) -> list[Seen]:
        """All that are known, this one among them, by number and name."""
        round_ = self.pace.period * (len(self.table.rows) + 1)
        rows = [Seen(self.me, LEFT if self.left else ALIVE, 0.0, 1.0)]
        for row in self.table.rows.values():
            sure = 1.0
            if row.state == ALIVE:
                sure = 1.0 if now - row.heard <= 2 * round_ else 0.5
            elif row.state == SUSPECT:
                sure = min(1.0, max(0.0, (now - row.since) / max(1e-9, row.ends - row.since)))
            rows.append(Seen(row.who, row.state, row.since, sure))
        return sorted(rows, key=lambda seen: (seen.who.tier, seen.who.number, seen.who.name))

    def alive(self) -> list[Who]:
        """Those of this tier that are held to be there, this one among them unless it has left."""
        rows = [row.who for row in self.table.rows.values() if row.state == ALIVE]
        if not self.left:
            rows.append(self.me)
        return sorted((w for w in rows if w.tier == self.me.tier), key=lambda w: (w.number, w.name))

    def address(self, name: str) -> Address | None:
        row = self.table.rows.get(name)
        return row.place if row is not None else None

    # Time

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        if self.left:
            return inf
        probe = self.probe
        help_at = inf
        if probe is not None and not probe.acked and not probe.wanted:
            help_at = probe.began + self.health.scaled(self.pace.timeout)
        ends = min((self.table.rows[name].ends for name in self.suspects), default=inf)
        errands = min((until for _, _, until in self.errands.values()), default=inf)
        return min(self.next_probe, self.next_join, self.next_sync, help_at, ends, errands)

    def tick(self, now: float) -> list[Out]:
        if self.left:
            return []
        late = now - self.due
        if late > self.pace.period:
            self._held_up(now, late)
        out: list[Out] = []
        out += self._errands(now)
        out += self._help(now)
        self._suspects(now)
        if now >= self.next_probe:
            self._judge(now)
            out += self._begin(now)
        if now >= self.next_join:
            out += self._join(now)
        if now >= self.next_sync:
            out += self._sync(now)
        return out

    def _held_up(self, now: float, late: float) -> None:
        self.probe = None
        self.errands.clear()
        self.health.worse()
        for name in self.suspects:
            self.table.rows[name].ends += late
        self.next_probe = max(self.next_probe, now)

    # Probes

    def _begin(self, now: float) -> list[Out]:
        self.next_probe = now + self.health.scaled(self.pace.period)
        self.table.forget(now, self.pace.forget)
        name = self._next()
        if name is None or not self.probing:
            return []
        row = self.table.rows[name]
        self.seq += 1
        self.probe = _Probe(self.seq, name, now)
        return [self._to(row, Ping(self.seq, *self.along(row)))]

    def _next(self) -> str | None:
        """Each in turn, in an order that is drawn anew for each round."""
        while True:
            if not self.order:
                self.order = sorted(n for n, row in self.table.rows.items() if row.here)
                if not self.order:
                    return None
                self.random.shuffle(self.order)
            name = self.order.pop()
            row = self.table.rows.get(name)
            if row is not None and row.here:
                return name

    def _help(self, now: float) -> list[Out]:
        probe = self.probe
        if probe is None or probe.acked or probe.wanted:
            return []
        if now < probe.began + self.health.scaled(self.pace.timeout):
            return []
        others = sorted(n for n, row in self.table.rows.items() if row.state == ALIVE and n != probe.name)
        chosen = self.random.sample(others, min(self.pace.helpers, len(others)))
        probe.wanted = len(chosen) or -1
        out = []
        for name in chosen:
            along = self.along()
            out.append(self._to(self.table.rows[name], Indirect(probe.seq, *along, probe.name)))
        return out

    def _judge(self, now: float) -> None:
        """The end of a probe: of one that is not answered, and by how many helpers not either."""
        probe, self.probe = self.probe, None
        if probe is None or probe.acked:
            return
        if probe.wanted <= 0 or probe.nacks < probe.wanted:
            self.health.worse()  # no helpers, or they were not heard either: it may be this one
        row = self.table.rows.get(probe.name)
        if row is not None and row.here:
            self._learn(now, Rumour(row.who, row.incarnation, SUSPECT, self.me.name))

    def _suspects(self, now: float) -> None:
        for name in sorted(self.suspects):
            row = self.table.rows[name]
            if now >= row.ends:
                self._learn(now, Rumour(row.who, row.incarnation, DEAD, self.me.name))

    def _errands(self, now: float) -> list[Out]:
        over = [seq for seq, (_, _, until) in self.errands.items() if now >= until]
        out: list[Out] = []
        for seq in over:
            whom, theirs, _ = self.errands.pop(seq)
            out.append((whom, Nack(theirs)))
        return out

    # Words

    def hear(self, now: float, sender: str, address: Address, word: MemberWord) -> list[Out]:
        """A word from a member, and where it came from."""
        if self.left:
            return []
        self.take(now, word)
        row = self.table.rows.get(sender)
        match word:
            case Ping():
                out: list[Out] = [(address, Ack(word.seq, *self.along(row)))]
                if row is None:  # the rumour of it has not come by here: ask itself
                    out.append((address, Join(0, (self.own(),))))
                return out
            case Ack():
                return self._acked(now, sender, word.seq)
            case Nack():
                if self.probe is not None and self.probe.seq == word.seq:
                    self.probe.nacks += 1
            case Indirect():
                return self._errand(now, address, word)
            case Join():
                news = self.board.all()
                return [(address, Known(word.seq, part, news)) for part in self._parts()]
            case Known():
                if not self.joined:
                    # Once more when all who start along with it have joined: rumours of so many take long.
                    again = now + self.pace.joining_most * (1 + self.random.random())
                    self.next_sync = min(self.next_sync, again)
                self.joined = True
                self.next_join = inf
        return []

    def take(self, now: float, word: Word) -> None:
        """What went along with a word."""
        times = self.pace.times(len(self.table.rows) + 1)
        for rumour in word.rumours:
            if not self._learn(now, rumour):
                self.rumours.heard(rumour, times)
        self.fresh += [news for news in word.news if self.board.learn(news)]

    def answered(self, now: float, name: str) -> None:
        """It has answered this member, in whatever words."""
        if (row := self.table.rows.get(name)) is not None:
            row.heard = now

    def blame(self, now: float, name: str) -> None:
        """It does not answer this member."""
        row = self.table.rows.get(name)
        if row is not None and row.here:
            self._learn(now, Rumour(row.who, row.incarnation, SUSPECT, self.me.name))

    def _acked(self, now: float, sender: str, seq: int) -> list[Out]:
        self.answered(now, sender)
        if self.probe is not None and self.probe.seq == seq and not self.probe.acked:
            self.probe.acked = True
            self.health.better()
        if seq in self.errands:
            whom, theirs, _ = self.errands.pop(seq)
            return [(whom, Ack(theirs, *self.along()))]
        return []

    def _errand(self, now: float, address: Address, word: Indirect) -> list[Out]:
        row = self.table.rows.get(word.target)
        if row is None or len(self.errands) >= ERRANDS:
            return []
        self.seq += 1
        self.errands[self.seq] = (address, word.seq, now + self.pace.timeout)
        return [self._to(row, Ping(self.seq, *self.along(row)))]

    def _to(self, row: Row, word: MemberWord) -> Out:
        return row.place, word

    def along(self, row: Row | None = None) -> tuple[tuple[Rumour, ...], tuple[News, ...]]:
        """What goes along. Whoever is suspected is told first, so that it can refute."""
        first = [row.rumour(self.me.name)] if row is not None and row.state != ALIVE else []
        times = self.pace.times(len(self.table.rows) + 1)
        return self.rumours.take(times, first), self.board.take(times)

    def tell(self, news: News) -> None:
        """Have all members know it. One that is not newer than what is known is not told."""
        self.board.learn(news)

    def own(self) -> Rumour:
        return Rumour(self.me, self.incarnation)

    def _learn(self, now: float, rumour: Rumour) -> bool:
        """Whether it said anything that counts."""
        name = rumour.who.name
        if name == self.me.name:
            return self._said_of_me(rumour)
        learnt = self.table.learn(now, rumour)
        if learnt is None:
            return False
        row, news, newer = learnt
        if row.state == SUSPECT:
            members = self.table.here() + 1
            row.ends = row.since + self.pace.suspicion(members, len(row.sources) - 1)
            self.suspects.add(name)
        else:
            self.suspects.discard(name)
        self.rumours.add(row.rumour(rumour.source))
        if news:
            self.changed.append(name)
        if newer:
            self.board.again()
        return True

    def _said_of_me(self, rumour: Rumour) -> bool:
        if rumour.incarnation < self.incarnation or (
            rumour.incarnation == self.incarnation and rumour.state == ALIVE
        ):
            return False
        self.health.worse()
        self.incarnation = rumour.incarnation + 1
        self.rumours.add(self.own())
        return True

    # Joining, exchanging, leaving

    def _join(self, now: float) -> list[Out]:
        self.tries += 1
        self.next_join = now + min(16.0, 2.0 ** min(self.tries, 4)) * (0.5 + self.random.random() / 2)
        seed = self.seeds[(self.me.number + self.tries - 1) % len(self.seeds)]
        return [(seed, Join(0, (self.own(),)))]

    def _sync(self, now: float) -> list[Out]:
        """With anybody, the dead and the seeds among them: so two parts that lost each other meet again."""
        # Often at first: rumours of many who start at once are long in reaching all.
        most = self.pace.exchange(len(self.table.rows) + 1)
        self.syncs += 1
        apart = min(most, self.pace.joining_most * 2.0 ** min(self.syncs, 20) / 2)
        self.next_sync = now + apart * (0.75 + self.random.random() / 2)
        rows = [self.table.rows[name] for name in sorted(self.table.rows)]
        where = [row.place for row in rows if row.state != LEFT]
        where += [seed for seed in self.seeds if seed not in where]
        if not where:
            return []
        told = [row.rumour(self.me.name) for row in rows if not row.here]
        return [(self.random.choice(where), Join(0, (self.own(), *next(packed(told))[:10])))]

    def _parts(self) -> Iterator[tuple[Rumour, ...]]:
        parts = packed(row.rumour(self.me.name) for row in self.table.rows.values())
        yield (self.own(), *next(parts))
        yield from parts

    def renamed(self, me: Who) -> None:
        """What it says of itself has changed."""
        self.me = me
        self.incarnation += 1
        self.rumours.add(self.own())

    def leave(self, now: float) -> list[Out]:
        """Say that it leaves, to a few who pass it on."""
        self.left = True
        rows = sorted(name for name, row in self.table.rows.items() if row.state == ALIVE)
        chosen = self.random.sample(rows, min(LEAVING, len(rows)))
        word = Known(0, (Rumour(self.me, self.incarnation, LEFT),))
        return [self._to(self.table.rows[name], word) for name in chosen]
