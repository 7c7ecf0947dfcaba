"""A register: one numbered sequence of entries, the same for all. Voters keep, the holder of `lead` puts.

States of a leader's term, all of it lost with the term:

    ASKING   asks the voters what they keep; a majority answers -> PUTTING what was found, READY if nothing
    PUTTING  puts one entry to the voters; a majority keeps it  -> READY, and the entry is chosen
    READY    the next entry may be put

Only `tick` moves in and out of a term, only answers to this epoch move within it. What must never hold:

- two digests chosen under one number: a voter keeps nothing of an epoch below one that it has promised, and a
  leader first puts again the highest that a majority has told;
- an entry chosen whose body nobody has: a voter keeps it only once it holds the body;
- a voter that answers out of what it has forgotten: one that starts says nothing for a term, and until all
  other voters have told what they keep, `LONG` terms at most;
- a sidecar that goes from one chosen entry to one of a lower number, or of the same and a lower epoch.

Single-decree Paxos for each number, with the epochs of terms for ballots. No I/O, clock or chance of its own.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from enum import Enum
from math import inf
from typing import get_args

from wheatring.lease.bodies import Fetch
from wheatring.lease.fleet import Fleet, Instant, Out
from wheatring.lease.words import (
    INLINE,
    NOTHING,
    Chosen,
    Entry,
    Kept,
    Newest,
    Put,
    RegisterWord,
    Which,
)
from wheatring.members.members import Address
from wheatring.members.words import Who

LEAD = "lead"  # the duty whose holder leads all registers
LONG = 4  # terms after which a voter that started speaks, though it has not heard all the others
RETRY = 0.3  # seconds from a body that could not be had to the next try
TELLS, APART = 3, 0.4  # how often a leader spreads what is chosen, each time by other ways; seconds between
SYNC = 5.0  # seconds from one question after what is newest to the next
MANY = 40  # members that a voter which started asks at once
AGAIN = 0.5  # seconds until a body is asked for again


class Phase(Enum):
    ASKING = "asking"
    PUTTING = "putting"
    READY = "ready"


class Register:
    """`chosen_now` is called with each entry that this sidecar comes to know chosen *and* whose body it has.
    `chosen` is the newest known, `have` the newest of which the body is there too.
    """

    hears = get_args(RegisterWord)

    def __init__(
        self, at: Instant, name: str, fleet: Fleet, chosen_now: Callable[[Instant, Entry, bytes], list[Out]]
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.chosen_now = chosen_now
        self.among: Callable[[], Collection[str] | None] = lambda: None  # whom to tell, of those there are
        self.chosen = self.have = NOTHING
        self.when: Callable[[Instant], int] = lambda at: 0  # what a new entry says of its time
        # As a voter. `met`: whom one that started asks besides those it holds for there; None: not known
        # yet, and it waits until they are asked.
        self.met: Callable[[], Sequence[Who] | None] = lambda: ()
        self.asked = False
        self.promised = 0
        self.kept = NOTHING
        self.began = at.boot
        self.awake = False
        self.told: set[str] = set()  # other voters that have told what they keep, since the start
        # As a leader
        self.epoch: int | None = None
        self.phase = Phase.ASKING
        self.found = NOTHING
        self.pending = NOTHING
        self.yes: set[str] = set()
        self.again = inf
        self.tells_left, self.next_tell = 0, inf
        self.sync = at.now + SYNC * fleet.random.random()
        self.wake = at.now
        self.fetched = -inf  # when a body was last asked for,
        self.where: Address = ("", 0)  # and who has that of the newest entry
        self.retry = inf  # when the next try for it is
        self.owed: Chosen | None = None  # to be passed on, once the body is here for who asks for it

    # What it is asked

    @property
    def ready(self) -> bool:
        """Whether it leads, and the next entry may be put."""
        return self.epoch is not None and self.phase is Phase.READY

    @property
    def still(self) -> bool:
        """Whether it leads, nothing is being chosen, and it goes by what is."""
        return self.ready and self.have == self.chosen

    def put(self, at: Instant, body: bytes, number: int | None = None) -> list[Out]:
        """Put a body as the next entry, which is to have that number. ValueError where it is not its turn."""
        if not self.ready or number not in (None, self.chosen.number + 1):
            raise ValueError(f"{self.name}: not ready for entry {number}")
        assert self.epoch is not None
        key = self.fleet.bodies.put(body)
        inline = body if len(body) <= INLINE else b""
        return self._put(at, Entry(self.chosen.number + 1, self.epoch, key, len(body), inline, self.when(at)))

    # Time

    @property
    def due(self) -> float:
        held = self.fleet.duties[LEAD].held
        if (None if held is None else held.epoch) != self.epoch:
            return -inf
        return min(self.again, self.sync, self.wake, self.retry, self.next_tell)

    def tick(self, at: Instant) -> list[Out]:
        out = self._wakes(at)
        epoch = self.fleet.duties[LEAD].act(at.boot)
        if epoch != self.epoch:
            self.epoch = epoch
            self.phase = Phase.ASKING
            self.found, self.pending, self.yes = self.chosen, NOTHING, set()
            self.again = inf if epoch is None else at.now
            self.next_tell = inf
        if at.now >= self.again:
            out += self._say(at)
        if at.now >= self.sync:
            self.sync = at.now + SYNC * (0.75 + self.fleet.random.random() / 2)
            others = [who for who in self.fleet.members.alive() if who.name != self.fleet.me.name]
            if others:
                who = self.fleet.random.choice(others)
                out.append(((who.host, who.port), self.newest()))
        if at.now >= self.retry:
            out += self._try_again(at)
        if at.now >= self.next_tell:
            out += self._spread(at)
        return out

    def _spread(self, at: Instant) -> list[Out]:
        """Some of those who are to pass it on may have died just now: so not once."""
        self.tells_left -= 1
        self.next_tell = at.now + APART if self.tells_left else inf
        return self.fleet.spread(self.tells(), self.among())

    def newest(self, all_: bool = False) -> Newest:
        """The question after what is newer than what it has."""
        return Newest(self.name, self.have.epoch, self.have.number, all_)

    def tells(self) -> Chosen:
        """What it knows chosen, for one who has not heard of it."""
        return Chosen(self.name, self.have.epoch, self.have)

    def _say(self, at: Instant) -> list[Out]:
        """Ask, or put, once more to those voters that have not answered."""
        assert self.epoch is not None
        self.again = at.now + self.fleet.terms.again
        digest = self.fleet.voters.digest
        word: Which | Put = Which(self.name, self.epoch, digest)
        if self.phase is Phase.PUTTING:
            word = Put(self.name, self.epoch, digest, self.pending)
        return self.fleet.to_voters([(name, word) for name in self.fleet.voters.all if name not in self.yes])

    def _put(self, at: Instant, entry: Entry) -> list[Out]:
        self.phase, self.pending, self.yes = Phase.PUTTING, entry, set()
        return self._say(at)

    # Words

    def hear(self, at: Instant, sender: str, address: Address, word: RegisterWord) -> list[Out]:
        if word.register != self.name:
            return []
        match word:
            case Which() | Put():
                return self._asked(at, address, word)
            case Kept():
                return self._answered(at, sender, address, word)
            case Chosen():
                return self._told_chosen(at, address, word)
            case Newest():
                return self._told_newest(address, word)

    def _told_chosen(self, at: Instant, address: Address, word: Chosen) -> list[Out]:
        out = self.learn(at, address, word.entry)
        if not word.to:
            return out
        if self.have.number >= word.entry.number:
            return out + self.fleet.pass_on(word)
        self.owed = word
        return out

    def _told_newest(self, address: Address, word: Newest) -> list[Out]:
        out: list[Out] = []
        if (self.have.number, self.have.epoch) > (word.number, word.epoch):
            out.append((address, self.tells()))
        if word.all and self.fleet.votes():
            out.append((address, Kept(self.name, -1, self.kept, self.promised)))
        return out

    # The voter

    def _wakes(self, at: Instant) -> list[Out]:
        """One that has started finds out what it may have kept before."""
        if self.awake or at.now < self.wake:
            return []
        terms, others = self.fleet.terms, set(self.fleet.voters.all) - set(self.fleet.names(self.fleet.me))
        since, heard = at.boot - self.began, self.asked and others <= self.told
        if since >= terms.abstain and (heard or since >= LONG * terms.term):
            self.awake = True
            self.wake = inf
            return []
        self.wake = at.now + terms.term / 6
        if not self.fleet.votes():
            return []
        word = self.newest(True)
        met = self.met()
        self.asked = met is not None
        there = {who.name: who for who in [*(met or ()), *self.fleet.members.alive()]}
        there.pop(self.fleet.me.name, None)
        chosen = self.fleet.random.sample(list(there.values()), min(MANY, len(there)))
        return self.fleet.to_voters([(name, word) for name in sorted(others)]) + [
            ((who.host, who.port), word) for who in chosen
        ]

    def _asked(self, at: Instant, address: Address, word: Which | Put) -> list[Out]:
        if not self.fleet.votes() or word.voters != self.fleet.voters.digest:
            return []
        if not self.awake:
            return [(address, Kept(self.name, word.epoch, NOTHING, 0, self.fleet.terms.term / 6))]
        if word.epoch >= self.promised:
            self.promised = word.epoch
            if isinstance(word, Put) and word.entry[1::-1] >= self.kept[1::-1]:
                if not self._holds(at, address, word.entry):
                    return []  # it is put again meanwhile
                self.kept = word.entry
                self.fleet.bodies.keep(f"{self.name}/kept", word.entry.digest)
        return [(address, Kept(self.name, word.epoch, self.kept, self.promised))]

    def _holds(self, at: Instant, address: Address, entry: Entry) -> bool:
        """Whether the body is here: what is chosen must not be a digest whose body only a lost leader had."""
        if entry.inline:
            self.fleet.bodies.put(entry.inline)
        if self.fleet.bodies.get(entry.digest) is not None:
            return True
        if at.now >= self.fetched + AGAIN:
            self.fetched = at.now
            self.fleet.fetches.append(Fetch(address, entry.digest))
        return False

    # The leader

    def _answered(self, at: Instant, sender: str, address: Address, word: Kept) -> list[Out]:
        names = [name for name in self.fleet.names_of(sender) if name in self.fleet.voters.all]
        if not names:
            return []
        if word.epoch == -1:  # told to one that started
            if not self.awake:
                self.told.update(names)
                self.promised = max(self.promised, word.promised)
                self.kept = max(self.kept, word.entry, key=lambda entry: entry[1::-1])
            return []
        if word.epoch != self.epoch or word.asleep or word.promised != self.epoch:
            return []
        if self.phase is Phase.ASKING:
            self.found = max(self.found, word.entry, key=lambda entry: entry[1::-1])
        elif self.phase is not Phase.PUTTING or word.entry != self.pending:
            return []
        self.yes.update(names)
        if not self.fleet.voters.enough(self.yes):
            return []
        if self.fleet.duties[LEAD].act(at.boot) != self.epoch:
            return []  # a term that has ended meanwhile: whoever follows finds it
        if self.phase is Phase.ASKING:
            return self._begins(at)
        self.phase, self.again = Phase.READY, inf
        # First it goes by the entry itself, so that who asks it for more finds it there.
        out = self.learn(at, address, self.pending)
        self.tells_left = TELLS
        return out + self._spread(at)

    def _begins(self, at: Instant) -> list[Out]:
        assert self.epoch is not None
        if self.chosen.number > self.found.number:  # a majority has forgotten what this one knows chosen
            self.found = self.chosen
        if self.found == NOTHING:
            self.phase, self.again = Phase.READY, inf
            return []
        return self._put(at, self.found._replace(epoch=self.epoch))

    # What is chosen

    def learn(self, at: Instant, address: Address, entry: Entry) -> list[Out]:
        """An entry that is known chosen, and who has its body."""
        if (entry.number, entry.epoch) < (self.chosen.number, self.chosen.epoch) or self.have == entry:
            return []
        self.chosen = entry
        self.where = address
        if entry.inline:
            self.fleet.bodies.put(entry.inline)
        return self._take(at)

    def _take(self, at: Instant) -> list[Out]:
        """Go by what is chosen, if its body is there."""
        body = self.fleet.bodies.get(self.chosen.digest)
        if body is None:
            self.fetched = at.now
            self.retry = inf  # until it is known what comes of this
            self.fleet.fetches.append(Fetch(self.where, self.chosen.digest))
            return []
        self.have, self.retry = self.chosen, inf
        self.fleet.bodies.keep(self.name, self.have.digest)
        if self.have[1::-1] > self.kept[1::-1]:
            # What is chosen counts as kept: voters that all started anew each know it, and none kept it.
            self.kept = self.have
            self.fleet.bodies.keep(f"{self.name}/kept", self.have.digest)
        owed, self.owed = self.owed, None
        out = self.chosen_now(at, self.have, body)
        return out + (self.fleet.pass_on(owed) if owed is not None and owed.entry == self.have else [])

    def body(self, at: Instant, digest: bytes, body: bytes | None) -> list[Out]:
        if digest != self.chosen.digest or self.have == self.chosen:
            return []
        if body is not None:
            return self._take(at)
        self.retry = at.now + RETRY * (0.5 + self.fleet.random.random())
        return []

    def _try_again(self, at: Instant) -> list[Out]:
        """It was not to be had where it was said to be. Who says once more that it is chosen has it; whoever
        said so first may have it by now.
        """
        self.retry = at.now + RETRY * (0.5 + self.fleet.random.random())
        self.fleet.fetches.append(Fetch(self.where, self.chosen.digest))
        others = [who for who in self.fleet.members.alive() if who.name != self.fleet.me.name]
        if not others:
            return []
        who = self.fleet.random.choice(others)
        return [((who.host, who.port), self.newest())]
