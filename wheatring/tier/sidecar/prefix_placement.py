"""Placement of prompts by prefix cache: tracks cached prompt segments and computes home endpoints.

A sidecar sees only a few turns of a conversation, because the client may send the next turn to another
sidecar. Each conversation therefore has a home endpoint, which every sidecar of a zone computes independently
by rendezvous hashing on the prompt segment that is the same in all turns of the conversation. A prefix that
an endpoint has prefilled for one sidecar is thus found in the same endpoint's cache by the next sidecar. When
an endpoint joins or leaves, only the conversations that have their home there move.

The first segment of a prompt is shared by many conversations. The second segment identifies a conversation;
prompts of sub-agents start with the same segments and add one of their own. Many sub-agents may start at the
same time, so they are spread over the endpoints that rank highest for their parent conversation.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Sequence
from dataclasses import dataclass

MAX_TRACKED_SEGMENTS = 20_000  # The oldest segments are evicted beyond this number.
CONVERSATION_SEGMENT_INDEX = 1
SUB_AGENT_SEGMENT_INDEX = 2
HASH_BYTES = 8
MAX_KEY_BYTES = 64  # BLAKE2b accepts no longer keys.


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """A segment of a prompt, and its size in tokens."""

    segment_id: bytes
    tokens: int


def _rendezvous_weight(segment_id: bytes, endpoint: str) -> bytes:
    key = segment_id[:MAX_KEY_BYTES]
    return hashlib.blake2b(endpoint.encode(), key=key, digest_size=HASH_BYTES).digest()


def home_endpoint(segments: Sequence[PromptSegment], endpoints: Collection[str], spread: int) -> str | None:
    """Return the home endpoint of a prompt's conversation.

    Parameters
    ----------
    segments
        The segments of the prompt.
    endpoints
        The endpoints to choose from.
    spread
        The number of endpoints over which the sub-agents of a conversation are spread.

    Returns
    -------
    str or None
        None if the prompt identifies no conversation or there are no endpoints.
    """
    if len(segments) <= CONVERSATION_SEGMENT_INDEX or not endpoints:
        return None
    conversation = segments[CONVERSATION_SEGMENT_INDEX].segment_id

    def weight(endpoint: str) -> bytes:
        """Return an endpoint's rendezvous weight for this conversation."""
        return _rendezvous_weight(conversation, endpoint)

    if len(segments) <= SUB_AGENT_SEGMENT_INDEX or spread <= 1:
        return max(endpoints, key=weight)
    ranked = sorted(endpoints, key=weight, reverse=True)[:spread]
    sub_agent = segments[SUB_AGENT_SEGMENT_INDEX].segment_id
    sub_agent_hash = hashlib.blake2b(sub_agent, digest_size=HASH_BYTES).digest()
    return ranked[int.from_bytes(sub_agent_hash) % len(ranked)]


class PrefixCacheTracker:
    """Tracks which endpoints have prefilled which prompt segments, based on this sidecar's own responses.

    Times are in seconds of the event loop's clock.
    """

    def __init__(self, ttl_seconds: float) -> None:
        """Start empty; `ttl_seconds` is how long a prefilled segment is assumed to stay cached."""
        self._ttl_seconds = ttl_seconds
        self._prefilled_at: dict[bytes, dict[str, float]] = {}  # by segment id, then by endpoint

    def record_prefill(self, now: float, endpoint: str, segments: Sequence[PromptSegment]) -> None:
        """Record that an endpoint has answered a prompt and therefore caches its segments."""
        for segment in segments:
            self._prefilled_at.setdefault(segment.segment_id, {})[endpoint] = now
        while len(self._prefilled_at) > MAX_TRACKED_SEGMENTS:
            del self._prefilled_at[next(iter(self._prefilled_at))]

    def endpoints_caching(self, now: float, segment: PromptSegment) -> list[str]:
        """Return the endpoints that are assumed to cache a segment."""
        times = self._prefilled_at.get(segment.segment_id, {})
        return [
            endpoint for endpoint, prefilled_at in times.items() if now - prefilled_at < self._ttl_seconds
        ]

    def uncached_tokens(self, now: float, endpoint: str, segments: Sequence[PromptSegment]) -> int:
        """Return how many tokens of a prompt an endpoint would have to prefill.

        A prefix cache can use a segment only if it also holds all segments before it.
        """
        tokens = sum(segment.tokens for segment in segments)
        for segment in segments:
            prefilled_at = self._prefilled_at.get(segment.segment_id, {}).get(endpoint)
            if prefilled_at is None or now - prefilled_at >= self._ttl_seconds:
                break
            tokens -= segment.tokens
        return tokens
