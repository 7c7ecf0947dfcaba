"""Builds requests, and the messages that are forwarded to endpoints, from callers' messages."""

from __future__ import annotations

import re
from collections.abc import Callable, Container, Mapping
from functools import partial
from math import inf
from typing import TYPE_CHECKING, Any

from wheatring.balancer.interface import Idempotency, RequestClass
from wheatring.common.body import Body, BodyMemory
from wheatring.common.http_parser import ForwardedRequest, Message
from wheatring.daemon.core.exceptions import RequestRejectedError
from wheatring.daemon.core.exchange import Exchange, Request

if TYPE_CHECKING:
    from typing import Protocol

    class Route(Protocol):
        """The part of a route that is used to build a request.

        Attributes
        ----------
        class_name : bytes
            Class of its requests; if empty, the first path segment names the class.
        deadline : float | None
            Time limit in seconds if the caller states none.
        """

        class_name: bytes
        deadline: float | None

        def create_request(self, fields: Mapping[bytes, bytes], **arguments: Any) -> Request:
            """Return the request, assigned to a pool."""

    Authorizer = Callable[[Mapping[bytes, bytes]], Container[str]]
    Router = Callable[[Message], Route]


_CORRELATION_ID = re.compile(rb"[!-~]{1,200}")
_DIGITS = re.compile(rb"[0-9]{1,12}")
_SINGLE_FIELDS = frozenset((b"x-correlation-id", b"x-service-class", b"x-time-left-ms", b"idempotency-key"))

IDEMPOTENT = Idempotency.IDEMPOTENT  # bound once, since enum member access is slow


class RequestBuilder:
    """Builds requests for one server."""

    def __init__(
        self, exchange: Exchange, classes: Mapping[str, RequestClass], body_memory: BodyMemory
    ) -> None:
        self.exchange = exchange
        self.classes = classes
        self.body_memory = body_memory

    def build(
        self, message: Message, arrived_at: float, authorizer: Authorizer | None, router: Router | None
    ) -> Request:
        """Return the request for a parsed message, whose last byte arrived at `arrived_at`.

        Raises
        ------
        RequestRejectedError
            The message is not a valid request, or its caller may not send it.
        """
        fields = message.fields
        method, target = message.start_line
        rights = None if authorizer is None else authorizer(fields)
        route = None if router is None else router(message)
        if not message.repeated_fields.isdisjoint(_SINGLE_FIELDS):
            raise RequestRejectedError(400, "repeated single-value header field")
        request_class = self._class_of(fields, target, route)
        if rights is not None and request_class.name not in rights:
            raise RequestRejectedError(403, "rights", body=b"class not in rights")
        allowed = b"GET" if request_class.idempotency is IDEMPOTENT else b"POST"
        if method != allowed:
            raise RequestRejectedError(405, "method", b"Allow: %s\r\n" % allowed)
        correlation_id = self._correlation_id(fields)
        time_limit = _time_limit(fields, request_class, route)
        head = b"%s %s HTTP/1.1\r\n%s" % (method, target, message.end_to_end_lines(b"x-time-left-ms"))
        create = Request if route is None else partial(route.create_request, fields)
        return create(
            correlation_id=correlation_id,
            class_name=request_class.name,
            deadline=inf if message.is_open else arrived_at + time_limit,
            content=self._forwarded_request(message, head),
            is_retry=fields.get(b"x-repeat") == b"1",
            time_limit=time_limit,
        )

    def _class_of(self, fields: Mapping[bytes, bytes], target: bytes, route: Route | None) -> RequestClass:
        if target[:1] != b"/":
            raise RequestRejectedError(404, "path")
        segment = target[1:].partition(b"?")[0].partition(b"/")[0]
        name = fields.get(b"x-service-class", segment)
        if route is not None and route.class_name:
            name = route.class_name
        elif not segment or name != segment:
            raise RequestRejectedError(404, "path")
        request_class = self.classes.get(name.decode("latin-1"))
        if request_class is None:
            raise RequestRejectedError(404, "class")
        return request_class

    def _correlation_id(self, fields: Mapping[bytes, bytes]) -> str:
        value = fields.get(b"x-correlation-id", b"")
        if not _CORRELATION_ID.fullmatch(value):
            raise RequestRejectedError(400, "missing or invalid X-Correlation-Id")
        correlation_id = value.decode("latin-1")
        if correlation_id in self.exchange.open_requests:  # endpoints would treat both as the same request
            raise RequestRejectedError(409, "X-Correlation-Id of a request in flight")
        return correlation_id

    def _forwarded_request(self, message: Message, head: bytes) -> ForwardedRequest:
        body = message.body
        if message.is_open:
            stream = Body(self.body_memory, message.content_length, is_replayable=True)
            if message.content_length is None:
                head += b"Transfer-Encoding: chunked\r\n"
                return ForwardedRequest(head, b"", stream, is_chunked=True)
            head += b"Content-Length: %d\r\n" % message.content_length
            return ForwardedRequest(head, b"", stream)
        if body or message.start_line[0] != b"GET":
            head += b"Content-Length: %d\r\n" % len(body)
        return ForwardedRequest(head, body)


def _time_limit(fields: Mapping[bytes, bytes], request_class: RequestClass, route: Route | None) -> float:
    """Return the time limit of a request in seconds from its last byte, capped by its class."""
    left_ms = fields.get(b"x-time-left-ms")
    if left_ms is not None:
        if not _DIGITS.fullmatch(left_ms):
            raise RequestRejectedError(400, "invalid X-Time-Left-Ms")
        return min(request_class.deadline, int(left_ms) / 1000)
    if route is not None and route.deadline is not None:
        return min(request_class.deadline, route.deadline)
    return request_class.deadline
