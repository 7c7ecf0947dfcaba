"""The format of callers' requests, and the check at a node that a request arrived unchanged."""

from __future__ import annotations

from collections.abc import Sequence

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.plan import ClassPlan
from wheatring.lab.wire.http import Message


class RequestFormat:
    """Encodes the requests of each class, and checks those received.

    Path, query and body are derived from class and id, so that a mix of two requests is always detected.
    """

    def __init__(self, classes: Sequence[ClassPlan]) -> None:
        self.is_safe = [request_class.effect == "safe" for request_class in classes]
        self.paths = [b"/%s/" % request_class.name.encode("ascii") for request_class in classes]
        self.request_line_starts = [
            b"%s /%s/"
            % (b"GET" if request_class.effect == "safe" else b"POST", request_class.name.encode("ascii"))
            for request_class in classes
        ]
        self.request_line_tails = [
            b"?lang=en HTTP/1.1\r\nHost: backend.local\r\nX-Service-Class: %s\r\nX-Correlation-Id: "
            % request_class.name.encode("ascii")
            for request_class in classes
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
            Milliseconds for which the caller still waits.
        key
            The idempotency key; "" for none.
        repeat
            Whether the request is marked as a retry.
        """
        encoded_id = ident.encode("ascii")
        tail = b"\r\nX-Repeat: 1\r\n\r\n" if repeat else b"\r\n\r\n"
        if self.is_safe[index]:
            return b"%s%s%s%s\r\nX-Time-Left-Ms: %d%s" % (
                self.request_line_starts[index], encoded_id, self.request_line_tails[index], encoded_id,
                time_left_ms, tail
            )  # fmt: skip
        body = b'{"order":"%s"}' % encoded_id
        key_header = b"Idempotency-Key: %s\r\n" % key.encode("ascii") if key else b""
        return b"%s%s%s%s\r\n%sContent-Length: %d\r\nX-Time-Left-Ms: %d%s%s" % (
            self.request_line_starts[index], encoded_id, self.request_line_tails[index], encoded_id,
            key_header, len(body), time_left_ms, tail, body
        )  # fmt: skip

    def matches(self, message: Message, ident: bytes, origin: OriginalRequest) -> bool:
        """Return whether the message is the request encoded for that id."""
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
