"""Key-value facts spread by gossip: the newest version of each key, sent a limited number of times."""

from __future__ import annotations

from collections.abc import Collection

from wheatring.fleet.members.messages import Fact

PIGGYBACK_BYTES = 200  # the limit for the facts in one datagram
MAX_VALUE_BYTES = 120


class FactStore:
    """The facts known to one member. Facts with keys other than the given ones are rejected."""

    def __init__(self, keys: Collection[str]) -> None:
        self.keys = frozenset(keys)
        self.facts: dict[str, Fact] = {}
        self.transmissions: dict[str, int] = {}  # how often a fact was sent, for those still to be sent

    def apply(self, fact: Fact) -> bool:
        """Store a fact if it is newer than the stored version; return whether it was stored."""
        known = self.facts.get(fact.key)
        if fact.key not in self.keys or len(fact.value) > MAX_VALUE_BYTES:
            return False
        if known is not None and fact.version <= known.version:
            return False
        self.facts[fact.key] = fact
        self.transmissions[fact.key] = 0
        return True

    def restart_transmission(self) -> None:
        """Send all facts again, as a newly started member knows none."""
        self.transmissions = dict.fromkeys(self.facts, 0)

    def next_batch(self, transmit_limit: int) -> tuple[Fact, ...]:
        """Return the facts to piggyback on one message, those sent least often first."""
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
        """Return all facts, sorted by key."""
        return tuple(self.facts[key] for key in sorted(self.facts))
