"""Where prompts are cached: what this sidecar has seen, and where a line of turns is at home.

A sidecar sees few of the turns of a line, because a client's next turn may come in at another one. So every
line has a home that all sidecars of a zone find by themselves, by rendezvous hashing on the part of the
prompt that stays the same in all its turns: what one of them has had an endpoint read, the next one finds
there. Where endpoints come or go, only the lines at home there move.

The first part of a prompt is shared by many lines. The second one belongs to a line; prompts of sub-agents
begin with it and add a part of their own. Sub-agents begin many at once, so they are spread over the first
few endpoints in their parent's order.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Sequence
from dataclasses import dataclass

MAX_TRACKED_SEGMENTS = 20_000  # remembered; the oldest ones go first
CONVERSATION_SEGMENT = 1  # index of the part that names a line
SUB_AGENT_SEGMENT = 2  # index of a sub-agent's own part


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """A part of a prompt, and its size in tokens."""

    segment_id: bytes
    tokens: int


def _score(ident: bytes, endpoint: str) -> bytes:
    return hashlib.blake2b(endpoint.encode(), key=ident[:64], digest_size=8).digest()


def home_endpoint(parts: Sequence[PromptSegment], endpoints: Collection[str], spread: int) -> str | None:
    """The endpoint at which a prompt's line is at home; None where there is no line or no endpoint.

    `spread` is over how many endpoints the sub-agents of a line are spread.
    """
    if len(parts) <= CONVERSATION_SEGMENT or not endpoints:
        return None
    line = parts[CONVERSATION_SEGMENT].segment_id
    if len(parts) <= SUB_AGENT_SEGMENT or spread <= 1:
        return max(endpoints, key=lambda endpoint: _score(line, endpoint))
    order = sorted(endpoints, key=lambda endpoint: _score(line, endpoint), reverse=True)[:spread]
    own = hashlib.blake2b(parts[SUB_AGENT_SEGMENT].segment_id, digest_size=8).digest()
    return order[int.from_bytes(own) % len(order)]


class PrefixCacheTracker:
    """Which endpoints have read which parts of prompts, by this sidecar's own answers."""

    def __init__(self, seconds: float) -> None:
        """`seconds` is how long a part is taken to be cached where it was last read."""
        self._seconds = seconds
        self._read_at: dict[bytes, dict[str, float]] = {}

    def record_prefill(self, now: float, endpoint: str, parts: Sequence[PromptSegment]) -> None:
        """An endpoint has answered a prompt: it holds its parts now."""
        for part in parts:
            self._read_at.setdefault(part.segment_id, {})[endpoint] = now
        while len(self._read_at) > MAX_TRACKED_SEGMENTS:
            del self._read_at[next(iter(self._read_at))]

    def endpoints_caching(self, now: float, part: PromptSegment) -> list[str]:
        """Endpoints that hold a part."""
        known = self._read_at.get(part.segment_id, {})
        return [endpoint for endpoint, read_at in known.items() if now - read_at < self._seconds]

    def uncached_tokens(self, now: float, endpoint: str, parts: Sequence[PromptSegment]) -> int:
        """Tokens of a prompt that an endpoint would have to read: those behind the first part that it does
        not hold.
        """
        tokens = sum(part.tokens for part in parts)
        for part in parts:
            read_at = self._read_at.get(part.segment_id, {}).get(endpoint)
            if read_at is None or now - read_at >= self._seconds:
                break
            tokens -= part.tokens
        return tokens
