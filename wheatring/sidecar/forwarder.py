"""Sends one request to endpoints as the decision module says, until it has an answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from math import inf

from wheatring.balancer import interface as i
from wheatring.http1.parser import Message
from wheatring.sidecar import headers
from wheatring.sidecar.endpoint_connection import EndpointConnection, EndpointConnectionPool
from wheatring.sidecar.exceptions import AttemptFailedError, ExecutionState, RequestRejectedError
from wheatring.sidecar.prefix_placement import PromptSegment
from wheatring.sidecar.route_table import Route
from wheatring.sidecar.service_balancer import BalancedRequest, ServiceBalancer

MIN_RETRY_AFTER_SECONDS = 0.05  # seconds

_OWN_FIELDS = (headers.DEADLINE, headers.EXPECTED_INSTANCE, headers.PRIORITY, headers.LAST_EVENT_ID)


@dataclass(slots=True)
class OutgoingRequest:
    """A request as it goes to endpoints. `deadline` is an instant of the event loop's clock (seconds)."""

    message: Message
    body: bytes
    request_id: bytes
    route: Route
    deadline: float
    last_event_id: bytes = b""
    prompt_segments: tuple[PromptSegment, ...] = ()

    def encode(self, endpoint: str, left: float) -> bytes:
        """The bytes for one endpoint."""
        method, target = self.message.first
        resumed = b"Last-Event-Id: %s\r\n" % self.last_event_id if self.last_event_id else b""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.body or method != b"GET" else b""
        return b"".join(
            (
                b"%s %s HTTP/1.1\r\n" % (method, target),
                self.message.end_to_end(*_OWN_FIELDS),
                resumed,
                b"Wheatring-Deadline-Ms: %d\r\n" % max(1, int(left * 1000)),
                b"Wheatring-Expected-Instance: %s\r\n" % endpoint.encode("latin-1"),
                b"Priority: %d\r\n" % min(max(self.route.priority, 0), 9),
                length,
                b"\r\n",
                self.body,
            )
        )


@dataclass(slots=True)
class EndpointResponse:
    """The head of an endpoint's answer and the connection that brings the rest."""

    message: Message
    connection: EndpointConnection
    endpoint: str
    sent_at: float

    @property
    def status(self) -> int:
        return int(self.message.first[0])


@dataclass(slots=True)
class ErrorResponse:
    """An endpoint's own failure, kept to be passed on unchanged."""

    status: int
    fields: bytes
    body: bytes


@dataclass(slots=True)
class Forwarder:
    """One request on its way. `next_answer` may be called again after a stream broke off."""

    request: OutgoingRequest
    balancer: ServiceBalancer
    connections: EndpointConnectionPool
    balanced_request: BalancedRequest = field(init=False)
    may_have_run: bool = False
    error_response: ErrorResponse | None = None
    _answer: EndpointResponse | None = None

    def __post_init__(self) -> None:
        left = self.request.deadline - self._now()
        self.balanced_request = self.balancer.start_request(
            self.request.route, max(left, 0.001), self.request.prompt_segments
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def next_response(self) -> EndpointResponse:
        """The head of an answer that is no failure. Raises Rejected where there will be none; `failure` then
        holds the endpoint's own words, if it had any.
        """
        while True:
            step = await self._next_step()
            if isinstance(step, i.Send):
                answer = await self._attempt(step)
                if answer is not None:
                    return answer
            elif isinstance(step, i.Reject) and not self.may_have_run:
                raise RequestRejectedError(
                    503, "no endpoint takes it", max(step.retry_after, MIN_RETRY_AFTER_SECONDS)
                )
            else:
                raise RequestRejectedError(504 if self._now() >= self.request.deadline else 502, "failed")

    async def _next_step(self) -> i.Action:
        """What the decision module wants next; it may wait for a backoff, but not beyond the deadline."""
        steps = self.balanced_request.actions
        if not steps.empty():
            return steps.get_nowait()
        try:
            async with asyncio.timeout_at(self.request.deadline):
                return await steps.get()
        except TimeoutError:
            return i.Fail(self.balanced_request.number)

    async def _attempt(self, step: i.Send) -> EndpointResponse | None:
        """Send to one endpoint; None where that has failed and the decision module has been told."""
        self.balanced_request.attempt_count += 1
        begun = self._now()
        connection: EndpointConnection | None = None
        give_up = min(self.request.deadline, begun + self._patience(step))
        try:
            async with asyncio.timeout_at(give_up):
                connection = await self._connect(step.endpoint)
                left = self.request.deadline - self._now()
                data = self.request.encode(step.endpoint, left)
                message = await connection.send(data, self.request.request_id)
                if self.request.route.is_streaming:
                    self.balancer.record_head_latency(self._now() - begun)
                answer = EndpointResponse(message, connection, step.endpoint, begun)
                return await self._judge(answer)
        except AttemptFailedError as failed:
            self.record_failure(step.endpoint, begun, failed)
        except TimeoutError:
            verdict = ExecutionState.NOT_RUN if connection is None else ExecutionState.MAY_HAVE_RUN
            outcome = i.Outcome.CONNECT_FAILED if connection is None else i.Outcome.TIMED_OUT
            if connection is not None:
                connection.abort()
            self.record_failure(
                step.endpoint, begun, AttemptFailedError(verdict, outcome, "no answer in time")
            )
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        return None

    def _patience(self, step: i.Send) -> float:
        """How long an attempt may go without an answer's head, where it may be repeated (seconds)."""
        route = self.request.route
        if route.kind == "safe":
            return step.timeout
        last = self.balanced_request.attempt_count >= route.max_attempts
        if route.effect is not i.Idempotency.IDEMPOTENT or last:
            return inf
        return self.balancer.head_timeout_seconds(route)

    async def _connect(self, endpoint: str) -> EndpointConnection:
        address = self.balancer.addresses.get(endpoint)
        if address is None:
            raise AttemptFailedError(
                ExecutionState.NOT_RUN, i.Outcome.CONNECT_FAILED, "not on the list any more"
            )
        return await self.connections.acquire(endpoint, address, self.request.deadline - self._now())

    async def _judge(self, answer: EndpointResponse) -> EndpointResponse | None:
        """What an answer's head says of the request. Raises AttemptFailedError."""
        message, status = answer.message, answer.status
        load = reported_load(message)
        if load is not None:
            self.balancer.record_load(answer.endpoint, load)
        if status == 421 or headers.NOT_EXECUTED in message.fields:
            await self.read_full_body(answer)
            raise AttemptFailedError(ExecutionState.NOT_RUN, i.Outcome.REJECTED, f"refused with {status}")
        if headers.SIGNATURE not in message.fields:
            answer.connection.abort()
            raise AttemptFailedError(
                ExecutionState.MAY_HAVE_RUN, i.Outcome.RESET, f"status {status} without a signature"
            )
        if status >= 500:
            body = await self.read_full_body(answer)
            self.error_response = ErrorResponse(status, message.end_to_end(), body)
            raise AttemptFailedError(ExecutionState.RAN, i.Outcome.ERROR, f"status {status}")
        self._answer = answer
        return answer

    async def read_full_body(self, answer: EndpointResponse) -> bytes:
        """All of an answer's body. Raises AttemptFailedError where it breaks off."""
        pieces = [answer.message.body]
        whole = not answer.message.open
        while not whole:
            data, whole = await answer.connection.read_body(answer.message)
            pieces.append(data)
        self._release(answer)
        return b"".join(pieces)

    def _release(self, answer: EndpointResponse) -> None:
        answer.connection.finish_response(answer.message, self._now())
        self.connections.release(answer.connection)

    def record_failure(self, endpoint: str, begun: float, failed: AttemptFailedError) -> None:
        """An attempt has failed: tell the decision module, whose next step follows."""
        self._answer = None
        if failed.execution is not ExecutionState.NOT_RUN:
            self.may_have_run = True
            if failed.execution is ExecutionState.MAY_HAVE_RUN:
                self.error_response = None
        self.balancer.finish_attempt(
            self.balanced_request, endpoint, failed.outcome, self._now() - begun, None
        )

    def record_success(self, answer: EndpointResponse) -> None:
        """The answer is whole."""
        self._answer = None
        self._release(answer)
        latency = self._now() - answer.sent_at
        if self.request.prompt_segments:
            self.balancer.balancer.prefix_caches.record_prefill(
                self._now(), answer.endpoint, self.request.prompt_segments
            )
        load = reported_load(answer.message)
        self.balancer.finish_attempt(self.balanced_request, answer.endpoint, i.Outcome.SERVED, latency, load)

    def close(self) -> None:
        """The request is over, in whatever way."""
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.connection.abort()
            latency = self._now() - answer.sent_at
            self.balancer.finish_attempt(
                self.balanced_request, answer.endpoint, i.Outcome.CANCELLED, latency, None
            )
        self.balancer.finish_request(self.balanced_request)


def reported_load(message: Message) -> float | None:
    """Requests at the endpoint, running and waiting, as its answer tells."""
    value = message.fields.get(headers.SERVER_LOAD)
    if value is None:
        return None
    parts = value.split(b",")
    if len(parts) < 2 or not all(part.strip().isdigit() for part in parts[:2]):
        return None
    return float(int(parts[0]) + int(parts[1]))
