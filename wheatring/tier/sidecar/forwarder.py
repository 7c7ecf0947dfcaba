"""Forwards one request to endpoints, as the balancer decides, until an endpoint responds."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from math import inf

from wheatring.balancer import interface as i
from wheatring.tier.sidecar import headers
from wheatring.tier.sidecar.connection_pool import AcquiredConnection, EndpointConnectionPool
from wheatring.tier.sidecar.endpoint_response import EndpointResponse, ErrorResponse, reported_load
from wheatring.tier.sidecar.exceptions import AttemptFailedError, ExecutionState, RequestRejectedError
from wheatring.tier.sidecar.outgoing_request import OutgoingRequest
from wheatring.tier.sidecar.service_balancer import BalancedRequest, ServiceBalancer

MIN_RETRY_AFTER_SECONDS = 0.05
STATUS_MISDIRECTED = 421  # The address now belongs to another endpoint.


@dataclass(slots=True)
class Forwarder:
    """Makes the attempts for one request.

    `next_response` may be called again after a stream has broken off. `close` must be called at the end.

    Attributes
    ----------
    may_have_run
        Whether an endpoint may have run the request.
    error_response
        The most recent error response of an endpoint; None if there was none, or if it is unknown whether a
        later attempt ran.
    """

    request: OutgoingRequest
    balancer: ServiceBalancer
    connections: EndpointConnectionPool
    balanced_request: BalancedRequest = field(init=False)
    may_have_run: bool = False
    error_response: ErrorResponse | None = None
    _response: EndpointResponse | None = None  # The response whose body is being read.

    def __post_init__(self) -> None:
        """Hand the request to the balancer."""
        remaining = self.request.deadline - self._now()
        self.balanced_request = self.balancer.start_request(
            self.request.route, max(remaining, 0.001), self.request.prompt_segments
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def next_response(self) -> EndpointResponse:
        """Return the head of the first response that may be relayed to the client.

        Raises
        ------
        RequestRejectedError
            The balancer makes no further attempt. `error_response` is an endpoint's own error response, if
            there was one.
        """
        while True:
            action = await self._next_action()
            if isinstance(action, i.Send):
                response = await self._attempt(action)
                if response is not None:
                    return response
            elif isinstance(action, i.Reject) and not self.may_have_run:
                retry_after = max(action.retry_after, MIN_RETRY_AFTER_SECONDS)
                raise RequestRejectedError(503, "no endpoint accepted the request", retry_after)
            else:
                raise RequestRejectedError(504 if self._now() >= self.request.deadline else 502, "failed")

    async def _next_action(self) -> i.Action:
        """Return the balancer's next action; wait for a backoff, but not beyond the deadline."""
        actions = self.balanced_request.actions
        if not actions.empty():
            return actions.get_nowait()
        try:
            async with asyncio.timeout_at(self.request.deadline):
                return await actions.get()
        except TimeoutError:
            return i.Fail(self.balanced_request.number)

    async def _attempt(self, action: i.Send) -> EndpointResponse | None:
        """Send to one endpoint; on failure, report it to the balancer and return None."""
        self.balanced_request.attempt_count += 1
        sent_at = self._now()
        connection: AcquiredConnection | None = None
        response: EndpointResponse | None = None
        attempt_deadline = min(self.request.deadline, sent_at + self._head_timeout(action))
        try:
            async with asyncio.timeout_at(attempt_deadline):
                connection = await self._connect(action.endpoint)
                data = self.request.encode(action.endpoint, self.request.deadline - self._now())
                message = await connection.send(data, self.request.request_id)
                if self.request.route.is_streaming:
                    self.balancer.record_head_latency(self._now() - sent_at)
                response = await self._check_response(
                    EndpointResponse(message, connection, action.endpoint, sent_at)
                )
        except AttemptFailedError as failure:
            self.record_failure(action.endpoint, sent_at, failure)
        except TimeoutError:
            self.record_failure(action.endpoint, sent_at, _timeout_failure(connection))
        finally:
            if response is None and connection is not None:
                # The attempt failed or the client disconnected; the abort also stops the endpoint.
                connection.abort()
        return response

    def _head_timeout(self, action: i.Send) -> float:
        """Return the time-out for the response head in seconds; infinite if only the deadline applies."""
        route = self.request.route
        if route.kind == "safe":
            return action.timeout
        is_last = self.balanced_request.attempt_count >= route.max_attempts
        if route.idempotency is not i.Idempotency.IDEMPOTENT or is_last:
            return inf
        return self.balancer.head_timeout_seconds(route)

    async def _connect(self, endpoint: str) -> AcquiredConnection:
        address = self.balancer.addresses.get(endpoint)
        if address is None:
            raise AttemptFailedError(
                ExecutionState.NOT_RUN, i.Outcome.CONNECT_FAILED, "endpoint is no longer in the endpoint list"
            )
        return await self.connections.acquire(endpoint, address, self.request.deadline - self._now())

    async def _check_response(self, response: EndpointResponse) -> EndpointResponse:
        """Return a response that may be relayed to the client. Raises AttemptFailedError for any other."""
        message, status = response.message, response.status
        load = reported_load(message)
        if load is not None:
            self.balancer.record_load(response.endpoint, load)
        if status == STATUS_MISDIRECTED or headers.NOT_EXECUTED in message.fields:
            await self.read_full_body(response)
            response.connection.release(message)
            raise AttemptFailedError(
                ExecutionState.NOT_RUN, i.Outcome.REJECTED, f"rejected with status {status}"
            )
        if headers.SIGNATURE not in message.fields:
            # An intermediary may have sent this response, so it is unknown whether the request ran.
            raise AttemptFailedError(
                ExecutionState.MAY_HAVE_RUN, i.Outcome.RESET, f"status {status} without a response signature"
            )
        if status >= 500:
            body = await self.read_full_body(response)
            response.connection.release(message)
            self.error_response = ErrorResponse(status, message.end_to_end_lines(), body)
            raise AttemptFailedError(ExecutionState.RAN, i.Outcome.ERROR, f"status {status}")
        self._response = response
        return response

    async def read_full_body(self, response: EndpointResponse) -> bytes:
        """Return the complete body of a response. Raises AttemptFailedError if it breaks off.

        The connection is not released.
        """
        chunks = [response.message.body]
        is_complete = not response.message.is_open
        while not is_complete:
            data, is_complete = await response.connection.read_body()
            chunks.append(data)
        return b"".join(chunks)

    def record_failure(self, endpoint: str, sent_at: float, failure: AttemptFailedError) -> None:
        """Report a failed attempt to the balancer, which then decides on the next action."""
        self._abort_response()
        if failure.execution is not ExecutionState.NOT_RUN:
            self.may_have_run = True
            if failure.execution is ExecutionState.MAY_HAVE_RUN:
                self.error_response = None  # An earlier attempt's error does not describe this one.
        latency = self._now() - sent_at
        self.balancer.finish_attempt(self.balanced_request, endpoint, failure.outcome, latency, None)

    def record_success(self, response: EndpointResponse) -> None:
        """Report a response that was read completely, and release its connection."""
        self._response = None
        response.connection.release(response.message)
        now = self._now()
        if self.request.prompt_segments:
            prefix_caches = self.balancer.balancer.prefix_caches
            prefix_caches.record_prefill(now, response.endpoint, self.request.prompt_segments)
        self._finish_attempt(response, i.Outcome.SERVED, reported_load(response.message))

    def close(self) -> None:
        """End the request, whatever its state."""
        response = self._abort_response()
        if response is not None:
            self._finish_attempt(response, i.Outcome.CANCELLED, None)
        self.balancer.finish_request(self.balanced_request)

    def _abort_response(self) -> EndpointResponse | None:
        """Abort the connection of the response that is being read, and return that response."""
        response, self._response = self._response, None
        if response is not None:
            response.connection.abort()
        return response

    def _finish_attempt(self, response: EndpointResponse, outcome: i.Outcome, load: float | None) -> None:
        latency = self._now() - response.sent_at
        self.balancer.finish_attempt(self.balanced_request, response.endpoint, outcome, latency, load)


def _timeout_failure(connection: AcquiredConnection | None) -> AttemptFailedError:
    """Return the failure of an attempt that timed out."""
    if connection is None:
        return AttemptFailedError(ExecutionState.NOT_RUN, i.Outcome.CONNECT_FAILED, "connect timed out")
    return AttemptFailedError(ExecutionState.MAY_HAVE_RUN, i.Outcome.TIMED_OUT, "response timed out")
