"""Finds the first trial that two members answer differently, by bisection over digests of prefixes.

Invariant: the members' answers are equal before the reported trial and differ at it.
"""

from __future__ import annotations

from typing import NamedTuple


class PrefixAnswer(NamedTuple):
    """A member's report on its first n trials: their digest, and the last trial with its answer."""

    result: bytes
    trial: str
    answer: str


class Bisection:
    """A bisection between two members whose results differ; `counts` are their numbers of trials."""

    def __init__(self, counts: tuple[int, int]) -> None:
        self.counts = counts
        self.low = 0  # length of the longest prefix known to be equal
        self.high = min(counts)  # length of the shortest prefix that may differ
        self.prefix_length = self.high  # prefix length that both sides are asked for
        self.sides: list[dict[int, PrefixAnswer]] = [{}, {}]
        self.is_length_difference = False  # one side's trials are a prefix of the other's
        if not self.high:
            self.is_length_difference = True
            self.prefix_length = 1

    def next_length(self, side: int) -> int | None:
        """Return the prefix length to request from this side, or None if no request is needed now."""
        if self.is_done or self.prefix_length in self.sides[side] or self.prefix_length > self.counts[side]:
            return None
        return self.prefix_length

    def record(self, side: int, length: int, answer: PrefixAnswer) -> None:
        """Record an answer, and continue the bisection as far as both sides have answered."""
        self.sides[side].setdefault(length, answer)
        while not self.is_done and all(self.prefix_length in answers for answers in self.sides):
            first, second = (answers[self.prefix_length] for answers in self.sides)
            if first.result == second.result:
                self.low = self.prefix_length
            else:
                self.high = self.prefix_length
            if self.low >= min(self.counts):
                self.is_length_difference = True
                self.prefix_length = self.low + 1
                return
            self.prefix_length = self.high if self.high - self.low == 1 else (self.low + self.high) // 2

    @property
    def is_done(self) -> bool:
        """Whether the first difference is found."""
        if self.is_length_difference:
            longer = int(self.counts[1] > self.counts[0])
            return self.counts[0] == self.counts[1] or self.prefix_length in self.sides[longer]
        return self.high - self.low == 1 and all(self.high in answers for answers in self.sides)

    def describe_difference(self) -> str:
        """Return the first difference as text for an operator: side 0's answer instead of side 1's."""
        first, second = (answers.get(self.prefix_length) for answers in self.sides)
        if first is not None and second is not None and first.trial == second.trial:
            return f"{first.trial}: {first.answer or 'nothing'} instead of {second.answer or 'nothing'}"
        texts = [f"{side.trial}: {side.answer}" if side else "no more trials" for side in (first, second)]
        return f"{texts[0]} instead of {texts[1]}"
