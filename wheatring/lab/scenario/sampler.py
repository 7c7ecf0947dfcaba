"""Random draws: each path of a scenario has a generator of its own, so no key affects another's draws."""

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
    """All draws of one seed, by path."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def random(self, path: str) -> Random:
        """Return the random numbers of a path."""
        return Random(f"{self.seed}:{path}")

    def number(self, path: str, given: Numbers) -> float:
        """Return a number, or one drawn out of its range, to six significant digits."""
        if not isinstance(given, tuple):
            return given
        low, high = given
        return min(high, max(low, float(f"{self.random(path).uniform(low, high):.6g}")))

    def integer(self, path: str, given: Integers) -> int:
        """Return a whole number, or one drawn out of its range."""
        return self.random(path).randint(*given) if isinstance(given, tuple) else given

    def choice(self, path: str, given: T | tuple[T, ...]) -> T:
        """Return a value, or one of several."""
        return self.random(path).choice(given) if isinstance(given, tuple) else given

    def order(self, path: str, names: Iterable[str]) -> list[str]:
        """Return names in a drawn order.

        Which of two comes first does not depend on what other names there are.
        """
        text = f"{self.seed}:{path}:"
        return sorted(names, key=lambda name: blake2b((text + name).encode(), digest_size=16).digest())

    def struct(self, into: type[P], path: str, given: Struct, **made: object) -> P:
        """Return a part of a plan: what is not made already is drawn from the key of the same name."""
        values: dict[str, Any] = dict(made)
        for name, kind in _fields(into):
            if name not in values:
                values[name] = self._value(f"{path}.{name}", kind, getattr(given, name))
        return into(**values)

    def _value(self, path: str, kind: object, given: Any) -> object:
        if kind is float:
            return self.number(path, given)
        return self.integer(path, given) if kind is int else self.choice(path, given)


@cache
def _fields(of: type[Struct]) -> tuple[tuple[str, object], ...]:
    return tuple((field.name, field.type) for field in structs.fields(of))


def apportion(total: int, shares: Sequence[float]) -> list[int]:
    """Return whole numbers as near to the shares as can be that add up to the total."""
    exact = [total * share / sum(shares) for share in shares]
    parts = [int(part) for part in exact]
    left = sorted(range(len(parts)), key=lambda place: (parts[place] - exact[place], place))
    for place in left[: total - sum(parts)]:
        parts[place] += 1
    return parts
