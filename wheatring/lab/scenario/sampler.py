"""Random draws: each path of a scenario has its own generator, so no key affects the draws of another."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import cache
from hashlib import blake2b
from random import Random
from typing import Any, TypeVar

from msgspec import Struct, structs

T = TypeVar("T")
P = TypeVar("P", bound=Struct)

Numbers = float | tuple[float, ...]
Integers = int | tuple[int, ...]


class PlanSampler:
    """Draws the values of a plan from one seed, by path."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def random(self, path: str) -> Random:
        """Return the generator of a path."""
        return Random(f"{self.seed}:{path}")

    def number(self, path: str, given: Numbers) -> float:
        """Return a number, or one drawn from its range and rounded to six significant digits."""
        if not isinstance(given, tuple):
            return given
        low, high = given
        return min(high, max(low, float(f"{self.random(path).uniform(low, high):.6g}")))

    def integer(self, path: str, given: Integers) -> int:
        """Return an integer, or one drawn from its range."""
        return self.random(path).randint(*given) if isinstance(given, tuple) else given

    def choice(self, path: str, given: T | tuple[T, ...]) -> T:
        """Return a value, or one drawn from a list of choices."""
        return self.random(path).choice(given) if isinstance(given, tuple) else given

    def order(self, path: str, names: Iterable[str]) -> list[str]:
        """Return names in a random order.

        The relative order of two names does not depend on the other names.
        """
        text = f"{self.seed}:{path}:"
        return sorted(names, key=lambda name: blake2b((text + name).encode(), digest_size=16).digest())

    def struct(self, plan_type: type[P], path: str, given: Struct, **overrides: object) -> P:
        """Return a part of a plan. Fields not in `overrides` are drawn from the key of the same name."""
        values: dict[str, Any] = dict(overrides)
        for name, kind in _fields(plan_type):
            if name not in values:
                values[name] = self._value(f"{path}.{name}", kind, getattr(given, name))
        return plan_type(**values)

    def _value(self, path: str, kind: object, given: Any) -> object:
        if kind is float:
            return self.number(path, given)
        return self.integer(path, given) if kind is int else self.choice(path, given)


@cache
def _fields(struct_type: type[Struct]) -> tuple[tuple[str, object], ...]:
    return tuple((field.name, field.type) for field in structs.fields(struct_type))


def apportion(total: int, shares: Sequence[float]) -> list[int]:
    """Split a total into integers in proportion to the shares, by the largest remainders."""
    exact = [total * share / sum(shares) for share in shares]
    parts = [int(part) for part in exact]
    by_remainder = sorted(range(len(parts)), key=lambda index: (parts[index] - exact[index], index))
    for index in by_remainder[: total - sum(parts)]:
        parts[index] += 1
    return parts
