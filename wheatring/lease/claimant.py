"""A claimant of one place of one duty: asks, claims, holds, lets go. No I/O, clock or chance of its own.

What the safety of a term rests on, on this side:

- a term runs from the instant that was read before the round's first word was made, so that no stall on the
  way there or back can make it longer;
- only answers to this very round of this very ballot count;
- a round of asking and the claim after it are over with the term that began with the asking: a voter that
  started meanwhile has abstained for that long;
- who has been out of office for an instant asks anew, and gets a higher epoch.
"""

from __future__ import annotations

from math import inf
from random import Random

from wheatring.lease.terms import Terms
from wheatring.lease.voters import Voters
from wheatring.lease.words import Ask, Ballot, Claim, FromVoter, Grant, Promise, Refusal, Release, ToVoter

Out = tuple[str, ToVoter]  # a voter's name, and what it is told


class Claimant:
    """`who` and `start` name this process. `rank` is its place in the line of those who would hold the duty:
    each waits a moment longer than the one before; None: it does not want to.
    """

    def __init__(
        self, lease: str, who: str, start: int, terms: Terms, voters: Voters, random: Random
    ) -> None:
        self.lease = lease
        self.who = who
        self.start = start
        self.terms = terms
        self.voters = voters
        self.random = random
        self.rank: int | None = None
        self.due = inf  # when `tick` has something to do
        self.ballot = Ballot(0, who, start)
        self.round = 0
        self.began = 0.0  # the instant that this round's term runs from
        self.asking = self.claiming = False
        self.renewing = False  # what is asked for or claimed is to follow on the term that it holds
        self.passed = 0  # the highest number that a voter has promised to another ballot
        self.epoch = 0  # of the term held or claimed,
        self.known = 0  # and the highest that was heard of
        self.until = -inf  # the end of the term held
        self.yes: dict[str, int] = {}  # voters that have promised, or granted, in this round
        self.no: dict[str, float] = {}  # those that have refused, and for how long

    # What it is asked

    def holds(self, now: float) -> bool:
        return now < self.until

    def act(self, now: float) -> int | None:
        """The epoch to act in; None: it is not in office. To be asked right before every act, each time with
        a clock read after all that the act needs was at hand.
        """
        return self.epoch if self.holds(now) else None

    # What it does

    def want(self, now: float, rank: int | None) -> list[Out]:
        """Its place in the line; None: not any more, and what it holds is given back."""
        was, self.rank = self.rank, rank
        if rank is None:
            return self.release(now)
        if was is None:
            self.due = now + rank * self.terms.again
        return []

    def release(self, now: float) -> list[Out]:
        """Give back what it holds or has asked for. It is out of office from here on, whoever hears of it."""
        self.until = -inf
        self.due = inf if self.rank is None else now + self.terms.term
        if self.round == 0:
            return []
        self.asking = self.claiming = False
        self.round += 1
        word = Release(self.lease, self.ballot, self.round, self.voters.digest)
        return [(voter, word) for voter in self.voters.all]

    def free(self, now: float, first: bool) -> None:
        """Somebody says that nobody holds it any more; `first`: and that this one is to be the next."""
        if self.rank is not None and not self.holds(now) and not (self.asking or self.claiming):
            wait = 0.0 if first else (self.rank + 1 + self.random.random() / 2) * self.terms.again
            self.due = min(self.due, now + wait)

    def heard(self, epoch: int) -> None:
        """An epoch that somebody has seen: the next one has to be higher."""
        self.known = max(self.known, epoch)

    def tick(self, now: float) -> list[Out]:
        """Do what is due. Earlier than that it does nothing."""
        if now < self.due or self.rank is None:
            return []
        if self.asking or self.claiming:
            # Once more, to those who have not answered. A renewal goes on as the same round as long as there
            # is something to renew: each new one would have the voters keep the duty for a whole term more,
            # though it may be heard and hear nothing itself.
            if now < self.began + self.terms.patience or (self.renewing and self.holds(now)):
                return self._say(now)
            self.asking = self.claiming = False
            if not self.holds(now):
                # Whom nobody answers is cut off, and may still be heard: others are to have their try.
                self._later(now, 0.0 if self.yes or self.no else self.terms.term / 2)
                return []
        if self.holds(now) and self.passed <= self.ballot.number:
            return self._claim(now, now)
        return self._ask(now)

    def hear(self, now: float, voter: str, word: FromVoter) -> list[Out]:
        if word.ballot != self.ballot or word.round != self.round or voter not in self.voters.all:
            return []
        if not (self.asking or self.claiming) or now >= self.began + self.terms.hold:
            return []
        match word:
            case Promise() if self.asking:
                self.yes[voter] = word.epoch
            case Grant() if self.claiming:
                self.yes[voter] = 0
            case Refusal():
                self._refused(now, voter, word)
            case _:
                return []
        if self.voters.enough(self.yes):
            if self.renewing and not self.holds(now):
                # Too late: it has been out of office, so what comes is another term, by another epoch.
                self.asking = self.claiming = False
                self.due = now
                return []
            if self.asking:
                if not self.renewing:
                    self.epoch = max(self.known, *self.yes.values()) + 1
                return self._claim(now, self.began)
            self._elected(now)
        elif not self.voters.enough([v for v in self.voters.all if v not in self.no]):
            self._lost(now)
        return []

    def _ask(self, now: float) -> list[Out]:
        self.ballot = self.ballot._replace(number=max(self.ballot.number, self.passed) + 1)
        self.asking, self.claiming = True, False
        self._begin(now, now)
        return self._say(now)

    def _claim(self, now: float, began: float) -> list[Out]:
        self.asking, self.claiming = False, True
        self._begin(now, began)
        return self._say(now)

    def _begin(self, now: float, began: float) -> None:
        self.round += 1
        self.began = began
        self.renewing = self.holds(now)
        self.yes, self.no = {}, {}

    def _say(self, now: float) -> list[Out]:
        self.due = now + self.terms.again
        about, digest = (self.lease, self.ballot, self.round), self.voters.digest
        word: ToVoter = Ask(*about, digest)
        if self.claiming:
            word = Claim(*about, digest, self.epoch, self.terms.term, self.renewing)
        return [(voter, word) for voter in self.voters.all if voter not in self.yes and voter not in self.no]

    def _elected(self, now: float) -> None:
        self.claiming = False
        self.until = self.began + self.terms.hold
        self.heard(self.epoch)
        self.due = max(now, self.began + self.terms.renew)

    def _refused(self, now: float, voter: str, word: Refusal) -> None:
        self.no[voter] = min(max(word.left, 0.0), self.terms.term)
        if word.why == "passed":
            self.passed = max(self.passed, word.number)
        elif word.why == "held":
            self.heard(word.epoch)

    def _lost(self, now: float) -> None:
        """No majority will come in this round: the next one once so many are free that it could."""
        self.asking = self.claiming = False
        free = [voter for voter in self.voters.all if voter not in self.no]
        waits = iter(sorted((left, voter) for voter, left in self.no.items()))
        wait = 0.0
        while not self.voters.enough(free):
            wait, voter = next(waits)
            free.append(voter)
        self._later(now, wait)

    def _later(self, now: float, wait: float) -> None:
        again = self.terms.again
        self.due = now + wait + (self.rank or 0) * again + self.random.random() * again / 2
