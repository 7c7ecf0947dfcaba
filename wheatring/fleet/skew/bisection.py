"""Finds the first trial that two members answer differently, by bisection over digests of prefixes.

What must never happen: a trial is named before which the two already differ, or at which they do not.
"""

from __future__ import annotations

from typing import NamedTuple


class PrefixAnswer(NamedTuple):
    """What one side reports of its first n trials: their digest, and the last one with its answer."""

    result: bytes
    trial: str
    answer: str


class Bisection:
    """Between two members that have answered `counts` trials each, and whose results differ."""

    def __init__(self, counts: tuple[int, int]) -> None:
        self.counts = counts
        self.low = 0  # prefixes of this length are equal,
        self.high = min(counts)  # and at this one they differ, if they differ within the shorter list
        self.at = self.high  # the length that both sides are asked about
        self.sides: list[dict[int, PrefixAnswer]] = [{}, {}]
        self.is_length_difference = False  # all trials that both have are equal, and one side has more
        if not self.high:
            self.is_length_difference = True
            self.at = 1

    def next_length(self, side: int) -> int | None:
        """Return the prefix length that this side is to be asked about now, or None."""
        if self.is_done or self.at in self.sides[side] or self.at > self.counts[side]:
            return None
        return self.at

    def record(self, side: int, length: int, answer: PrefixAnswer) -> None:
        """Take over an answer, and halve as far as both sides have answered."""
        self.sides[side].setdefault(length, answer)
        while not self.is_done and all(self.at in known for known in self.sides):
            first, second = (known[self.at] for known in self.sides)
            if first.result == second.result:
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
        """Whether the first difference is found."""
        if self.is_length_difference:
            longer = int(self.counts[1] > self.counts[0])
            return self.counts[0] == self.counts[1] or self.at in self.sides[longer]
        return self.high - self.low == 1 and all(self.high in known for known in self.sides)

    def describe_difference(self) -> str:
        """Return the first difference for an operator: what side 0 answers instead of side 1."""
        first, second = (known.get(self.at) for known in self.sides)
        if first is not None and second is not None and first.trial == second.trial:
            return f"{first.trial}: {first.answer or 'nothing'} instead of {second.answer or 'nothing'}"
        texts = [f"{side.trial}: {side.answer}" if side else "no more trials" for side in (first, second)]
        return f"{texts[0]} instead of {texts[1]}"
