"""A client's request as it is sent to endpoints."""

from __future__ import annotations

from dataclasses import dataclass

from wheatring.common.http_parser import Message
from wheatring.tier.sidecar import headers
from wheatring.tier.sidecar.prefix_placement import PromptSegment
from wheatring.tier.sidecar.route_table import Route

MAX_PRIORITY = 9  # The Priority header takes values from 0 to 9.

_REPLACED_FIELDS = (headers.DEADLINE, headers.EXPECTED_INSTANCE, headers.PRIORITY, headers.LAST_EVENT_ID)


@dataclass(slots=True)
class OutgoingRequest:
    """A request as it is sent to endpoints.

    Attributes
    ----------
    body
        The body of the client's request, or the whole prompt of its conversation on a retained route.
    deadline
        In seconds of the event loop's clock.
    last_event_id
        The id of the last event received, after which a stream resumes; empty at its beginning.
    """

    message: Message
    body: bytes
    request_id: bytes
    route: Route
    deadline: float
    last_event_id: bytes = b""
    prompt_segments: tuple[PromptSegment, ...] = ()

    def encode(self, endpoint: str, remaining_seconds: float) -> bytes:
        """Return the encoded request for one endpoint, with the remaining time as its deadline."""
        method, target = self.message.start_line
        last_event_id_field = b"Last-Event-Id: %s\r\n" % self.last_event_id if self.last_event_id else b""
        length_field = b"Content-Length: %d\r\n" % len(self.body) if self.body or method != b"GET" else b""
        return b"".join(
            (
                b"%s %s HTTP/1.1\r\n" % (method, target),
                self.message.end_to_end_lines(*_REPLACED_FIELDS),
                last_event_id_field,
                b"Wheatring-Deadline-Ms: %d\r\n" % max(1, int(remaining_seconds * 1000)),
                b"Wheatring-Expected-Instance: %s\r\n" % endpoint.encode("latin-1"),
                b"Priority: %d\r\n" % min(max(self.route.priority, 0), MAX_PRIORITY),
                length_field,
                b"\r\n",
                self.body,
            )
        )


def parse_prompt_segments(message: Message) -> tuple[PromptSegment, ...]:
    """Return the segments of a prompt in order, up to the first malformed one."""
    value = message.fields.get(headers.PROMPT_PREFIX, b"")
    segments = []
    for item in value.split(b",") if value else ():
        segment_id, colon, tokens = item.strip().partition(b":")
        if not colon or not tokens.isdigit():
            break
        segments.append(PromptSegment(segment_id, int(tokens)))
    return tuple(segments)
