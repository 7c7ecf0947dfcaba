"""Where prompts are cached: what this sidecar has seen, and which endpoint is a conversation's home.

A sidecar sees few of the turns of a conversation, because a client's next turn may come in at another one. So
every conversation has a home that all sidecars of a zone find by themselves, by rendezvous hashing on the
segment of the prompt that stays the same in all its turns: what one of them has had an endpoint prefill, the
next one finds in that endpoint's prefix cache. Where endpoints come or go, only the conversations at home
there move.

The first segment of a prompt is shared by many conversations. The second one belongs to a conversation;
prompts of sub-agents begin with it and add a segment of their own. Sub-agents begin many at once, so they are
spread over the first few endpoints in their parent's order.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Sequence
from dataclasses import dataclass

MAX_TRACKED_SEGMENTS = 20_000  # the oldest ones are dropped
CONVERSATION_SEGMENT = 1  # index of the segment that identifies a conversation
SUB_AGENT_SEGMENT = 2  # index of a sub-agent's own segment
HASH_BYTES = 8
MAX_KEY_BYTES = 64  # of a segment's id that go into the hash; the function's limit


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """A segment of a prompt, and its size in tokens."""

    segment_id: bytes
    tokens: int


def _rendezvous_weight(segment_id: bytes, endpoint: str) -> bytes:
    key = segment_id[:MAX_KEY_BYTES]
    return hashlib.blake2b(endpoint.encode(), key=key, digest_size=HASH_BYTES).digest()


def home_endpoint(segments: Sequence[PromptSegment], endpoints: Collection[str], spread: int) -> str | None:
    """Return the endpoint at which a prompt's conversation is at home.

    Parameters
    ----------
    segments
        The prompt.
    endpoints
        Those that may be chosen.
    spread
        Over how many endpoints the sub-agents of a conversation are spread.

    Returns
    -------
    str or None
        None where the prompt names no conversation or there is no endpoint.
    """
    if len(segments) <= CONVERSATION_SEGMENT or not endpoints:
        return None
    conversation = segments[CONVERSATION_SEGMENT].segment_id

    def weight(endpoint: str) -> bytes:
        """Return an endpoint's rank for this conversation."""
        return _rendezvous_weight(conversation, endpoint)

    if len(segments) <= SUB_AGENT_SEGMENT or spread <= 1:
        return max(endpoints, key=weight)
    ranked = sorted(endpoints, key=weight, reverse=True)[:spread]
    sub_agent = segments[SUB_AGENT_SEGMENT].segment_id
    own_hash = hashlib.blake2b(sub_agent, digest_size=HASH_BYTES).digest()
    return ranked[int.from_bytes(own_hash) % len(ranked)]


class PrefixCacheTracker:
    """Which endpoints have prefilled which segments of prompts, by this sidecar's own responses.

    Instants are seconds of the event loop's clock.
    """

    def __init__(self, ttl_seconds: float) -> None:
        """Know of no caches yet; `ttl_seconds` is how long a segment is assumed to be cached."""
        self._ttl_seconds = ttl_seconds
        self._prefilled_at: dict[bytes, dict[str, float]] = {}  # by segment, then by endpoint

    def record_prefill(self, now: float, endpoint: str, segments: Sequence[PromptSegment]) -> None:
        """Note that an endpoint has answered a prompt: its cache has the segments now."""
        for segment in segments:
            self._prefilled_at.setdefault(segment.segment_id, {})[endpoint] = now
        while len(self._prefilled_at) > MAX_TRACKED_SEGMENTS:
            del self._prefilled_at[next(iter(self._prefilled_at))]

    def endpoints_caching(self, now: float, segment: PromptSegment) -> list[str]:
        """Return the endpoints whose cache has a segment."""
        known = self._prefilled_at.get(segment.segment_id, {})
        return [endpoint for endpoint, at in known.items() if now - at < self._ttl_seconds]

    def uncached_tokens(self, now: float, endpoint: str, segments: Sequence[PromptSegment]) -> int:
        """Return how many tokens of a prompt an endpoint would have to prefill.

        A cache of prefixes has a segment only behind all segments before it.
        """
        tokens = sum(segment.tokens for segment in segments)
        for segment in segments:
            prefilled_at = self._prefilled_at.get(segment.segment_id, {}).get(endpoint)
            if prefilled_at is None or now - prefilled_at >= self._ttl_seconds:
                break
            tokens -= segment.tokens
        return tokens
