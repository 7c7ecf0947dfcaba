"""How callers write a request, and how a node checks that it came through unchanged."""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.plan import ClassPlan
from wheatring.lab.wire.http import Message


class RequestFormat:
    """Encodes the requests of each class, and checks those received.

    Path, query and body follow from class and id, so that a mixture of two requests is always detected.
    """

    def __init__(self, classes: Sequence[ClassPlan]) -> None:
        self.is_safe = [each.effect == "safe" for each in classes]
        self.paths = [b"/%s/" % each.name.encode("ascii") for each in classes]
        self.request_line_starts = [
            b"%s /%s/" % (b"GET" if each.effect == "safe" else b"POST", each.name.encode("ascii"))
            for each in classes
        ]
        self.request_line_rests = [
            b"?lang=en HTTP/1.1\r\nHost: backend.local\r\nX-Service-Class: %s\r\nX-Correlation-Id: "
            % each.name.encode("ascii")
            for each in classes
        ]

    def encode(self, index: int, ident: str, time_left_ms: int, key: str, repeat: bool) -> bytes:
        """Return the bytes of a request.

        Parameters
        ----------
        index
            The class's position in the plan.
        ident
            The correlation id.
        time_left_ms
            Milliseconds that the caller still waits.
        key
            The idempotency key; "" for none.
        repeat
            Whether the request repeats an earlier one.
        """
        name = ident.encode("ascii")
        more = b"\r\nX-Repeat: 1\r\n\r\n" if repeat else b"\r\n\r\n"
        if self.is_safe[index]:
            return b"%s%s%s%s\r\nX-Time-Left-Ms: %d%s" % (
                self.request_line_starts[index], name, self.request_line_rests[index], name,
                time_left_ms, more
            )  # fmt: skip
        body = b'{"order":"%s"}' % name
        keyed = b"Idempotency-Key: %s\r\n" % key.encode("ascii") if key else b""
        return b"%s%s%s%s\r\n%sContent-Length: %d\r\nX-Time-Left-Ms: %d%s%s" % (
            self.request_line_starts[index], name, self.request_line_rests[index], name, keyed,
            len(body), time_left_ms, more, body
        )  # fmt: skip

    def matches(self, message: Message, ident: bytes, origin: OriginalRequest) -> bool:
        """Return whether the message is what was encoded for that id."""
        index = origin.class_index
        if message.target != b"%s%s?lang=en" % (self.paths[index], ident):
            return False
        if self.is_safe[index]:
            return message.method == b"GET" and not message.body
        return (
            message.method == b"POST"
            and message.body == b'{"order":"%s"}' % ident
            and message.fields.get(b"idempotency-key", b"") == origin.key.encode("ascii")
        )
