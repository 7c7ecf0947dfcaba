"""Facts that all members are to know: the newest of each key, passed on a limited number of times."""

from __future__ import annotations

from collections.abc import Collection

from wheatring.members.messages import Fact

PIGGYBACK_BYTES = 200  # bytes in one datagram
MAX_VALUE_BYTES = 120  # bytes of a value


class FactStore:
    """`keys` are those that there are: others are not kept, whoever tells them."""

    def __init__(self, keys: Collection[str]) -> None:
        self.keys = frozenset(keys)
        self.facts: dict[str, Fact] = {}
        self.transmissions: dict[str, int] = {}  # of those that are still passed on: how often they were

    def apply(self, fact: Fact) -> bool:
        """Whether it is newer than what was known."""
        held = self.facts.get(fact.key)
        if fact.key not in self.keys or len(fact.value) > MAX_VALUE_BYTES:
            return False
        if held is not None and fact.version <= held.version:
            return False
        self.facts[fact.key] = fact
        self.transmissions[fact.key] = 0
        return True

    def restart_transmission(self) -> None:
        """Somebody has started, who knows nothing."""
        self.transmissions = dict.fromkeys(self.facts, 0)

    def next_batch(self, transmit_limit: int) -> tuple[Fact, ...]:
        """Those to go along with one word."""
        taken, room = [], PIGGYBACK_BYTES
        for key in sorted(self.transmissions, key=lambda one: (self.transmissions[one], one)):
            room -= self.facts[key].encoded_bytes
            if room < 0:
                break
            taken.append(self.facts[key])
            self.transmissions[key] += 1
            if self.transmissions[key] >= transmit_limit:
                del self.transmissions[key]
        return tuple(taken)

    def all_facts(self) -> tuple[Fact, ...]:
        return tuple(self.facts[key] for key in sorted(self.facts))
