"""Facts that all members are to know: the newest of each key, passed on a limited number of times."""

from __future__ import annotations

from collections.abc import Collection

from wheatring.fleet.members.messages import Fact

PIGGYBACK_BYTES = 200  # of facts in one datagram
MAX_VALUE_BYTES = 120


class FactStore:
    """The facts known to one member. Only those of the given keys are kept, whoever sends others."""

    def __init__(self, keys: Collection[str]) -> None:
        self.keys = frozenset(keys)
        self.facts: dict[str, Fact] = {}
        self.transmissions: dict[str, int] = {}  # of those still passed on: how often they were

    def apply(self, fact: Fact) -> bool:
        """Keep a fact if it is newer than what was known; return whether it was."""
        known = self.facts.get(fact.key)
        if fact.key not in self.keys or len(fact.value) > MAX_VALUE_BYTES:
            return False
        if known is not None and fact.version <= known.version:
            return False
        self.facts[fact.key] = fact
        self.transmissions[fact.key] = 0
        return True

    def restart_transmission(self) -> None:
        """Pass all facts on anew, as a member has started that knows none."""
        self.transmissions = dict.fromkeys(self.facts, 0)

    def next_batch(self, transmit_limit: int) -> tuple[Fact, ...]:
        """Return the facts that go along with one message, those sent least often first."""
        batch, room = [], PIGGYBACK_BYTES
        for key in sorted(self.transmissions, key=lambda key: (self.transmissions[key], key)):
            room -= self.facts[key].encoded_bytes
            if room < 0:
                break
            batch.append(self.facts[key])
            self.transmissions[key] += 1
            if self.transmissions[key] >= transmit_limit:
                del self.transmissions[key]
        return tuple(batch)

    def all_facts(self) -> tuple[Fact, ...]:
        """Return all facts, by key."""
        return tuple(self.facts[key] for key in sorted(self.facts))
