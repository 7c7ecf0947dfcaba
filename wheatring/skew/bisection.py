"""Finds the first trial that two answer differently, by halving between digests of the first n.

What must never hold: a trial is named before which the two already differ, or at which they do not.
"""

from __future__ import annotations

from typing import NamedTuple


class PrefixAnswer(NamedTuple):
    """What one has shown of its first `upto` trials."""

    result: bytes
    trial: str
    answer: str


class Bisection:
    """Between two that have answered `counts` trials each, and whose results differ."""

    def __init__(self, counts: tuple[int, int]) -> None:
        self.counts = counts
        self.low = 0  # so many are alike,
        self.high = min(counts)  # and at so many it is known, or not yet, that they differ
        self.at = self.high  # what both are asked about
        self.sides: list[dict[int, PrefixAnswer]] = [{}, {}]
        self.is_length_difference = False  # all that both have are alike, and one has more
        if not self.high:
            self.is_length_difference = True
            self.at = 1

    def next_length(self, side: int) -> int | None:
        """About how many this side is to be asked now; None: nothing."""
        if self.is_done or self.at in self.sides[side] or self.at > self.counts[side]:
            return None
        return self.at

    def record(self, side: int, upto: int, shown: PrefixAnswer) -> None:
        self.sides[side].setdefault(upto, shown)
        while not self.is_done and all(self.at in known for known in self.sides):
            one, other = (known[self.at] for known in self.sides)
            if one.result == other.result:
                self.low = self.at
            else:
                self.high = self.at
            if self.low >= min(self.counts):
                self.is_length_difference = True
                self.at = self.low + 1
                return
            self.at = self.high if self.high - self.low == 1 else (self.low + self.high) // 2

    @property
    def is_done(self) -> bool:
        if self.is_length_difference:
            longer = int(self.counts[1] > self.counts[0])
            return self.counts[0] == self.counts[1] or self.at in self.sides[longer]
        return self.high - self.low == 1 and all(self.high in known for known in self.sides)

    def describe_difference(self) -> str:
        """The first that differs, once it is done: what side 0 answers, and what side 1."""
        one, other = (known.get(self.at) for known in self.sides)
        if one is not None and other is not None and one.trial == other.trial:
            return f"{one.trial}: {one.answer or 'nothing'} instead of {other.answer or 'nothing'}"
        told = [f"{side.trial}: {side.answer}" if side else "no more trials" for side in (one, other)]
        return f"{told[0]} instead of {told[1]}"
