"""Sends one request to endpoints as the balancer decides, until it has a response."""

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
STATUS_MISDIRECTED = 421  # the address is another endpoint's now


@dataclass(slots=True)
class Forwarder:
    """One request on its way to an endpoint.

    `next_response` may be called again after a stream broke off. `close` has to be called at the end.

    Attributes
    ----------
    may_have_run
        Whether an endpoint may have run the request by now.
    error_response
        The last endpoint's own error, if it had one.
    """

    request: OutgoingRequest
    balancer: ServiceBalancer
    connections: EndpointConnectionPool
    balanced_request: BalancedRequest = field(init=False)
    may_have_run: bool = False
    error_response: ErrorResponse | None = None
    _response: EndpointResponse | None = None  # the one whose body is being read

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
        """Return the head of a response that is no error.

        Raises
        ------
        RequestRejectedError
            There will be none. `error_response` is then the endpoint's own error, if it had one.
        """
        while True:
            action = await self._next_action()
            if isinstance(action, i.Send):
                response = await self._attempt(action)
                if response is not None:
                    return response
            elif isinstance(action, i.Reject) and not self.may_have_run:
                retry_after = max(action.retry_after, MIN_RETRY_AFTER_SECONDS)
                raise RequestRejectedError(503, "no endpoint takes it", retry_after)
            else:
                raise RequestRejectedError(504 if self._now() >= self.request.deadline else 502, "failed")

    async def _next_action(self) -> i.Action:
        """Return what the balancer decides next; wait for a backoff, but not beyond the deadline."""
        actions = self.balanced_request.actions
        if not actions.empty():
            return actions.get_nowait()
        try:
            async with asyncio.timeout_at(self.request.deadline):
                return await actions.get()
        except TimeoutError:
            return i.Fail(self.balanced_request.number)

    async def _attempt(self, action: i.Send) -> EndpointResponse | None:
        """Send to one endpoint; return None where that has failed and the balancer knows it."""
        self.balanced_request.attempt_count += 1
        sent_at = self._now()
        connection: AcquiredConnection | None = None
        response: EndpointResponse | None = None
        give_up_at = min(self.request.deadline, sent_at + self._head_timeout(action))
        try:
            async with asyncio.timeout_at(give_up_at):
                connection = await self._connect(action.endpoint)
                data = self.request.encode(action.endpoint, self.request.deadline - self._now())
                message = await connection.send(data, self.request.request_id)
                if self.request.route.is_streaming:
                    self.balancer.record_head_latency(self._now() - sent_at)
                response = await self._classify(
                    EndpointResponse(message, connection, action.endpoint, sent_at)
                )
        except AttemptFailedError as failed:
            self.record_failure(action.endpoint, sent_at, failed)
        except TimeoutError:
            self.record_failure(action.endpoint, sent_at, _timed_out(connection))
        finally:
            if response is None and connection is not None:
                # The attempt has failed, or the client has gone: closing has the endpoint stop, too.
                connection.abort()
        return response

    def _head_timeout(self, action: i.Send) -> float:
        """Return how long an attempt may go without a response's head, where it may be repeated (seconds)."""
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
                ExecutionState.NOT_RUN, i.Outcome.CONNECT_FAILED, "not on the list any more"
            )
        return await self.connections.acquire(endpoint, address, self.request.deadline - self._now())

    async def _classify(self, response: EndpointResponse) -> EndpointResponse:
        """Return a response that is to be passed on. Raises AttemptFailedError for any other."""
        message, status = response.message, response.status
        load = reported_load(message)
        if load is not None:
            self.balancer.record_load(response.endpoint, load)
        if status == STATUS_MISDIRECTED or headers.NOT_EXECUTED in message.fields:
            await self.read_full_body(response)
            response.connection.release(message)
            raise AttemptFailedError(ExecutionState.NOT_RUN, i.Outcome.REJECTED, f"refused with {status}")
        if headers.SIGNATURE not in message.fields:
            # Something between the sidecar and the endpoint has answered: whether it ran is unknown.
            raise AttemptFailedError(
                ExecutionState.MAY_HAVE_RUN, i.Outcome.RESET, f"status {status} without a signature"
            )
        if status >= 500:
            body = await self.read_full_body(response)
            response.connection.release(message)
            self.error_response = ErrorResponse(status, message.end_to_end_lines(), body)
            raise AttemptFailedError(ExecutionState.RAN, i.Outcome.ERROR, f"status {status}")
        self._response = response
        return response

    async def read_full_body(self, response: EndpointResponse) -> bytes:
        """Return all of a response's body. Raises AttemptFailedError where it breaks off.

        The connection stays with the request.
        """
        chunks = [response.message.body]
        is_complete = not response.message.is_open
        while not is_complete:
            data, is_complete = await response.connection.read_body()
            chunks.append(data)
        return b"".join(chunks)

    def record_failure(self, endpoint: str, sent_at: float, failed: AttemptFailedError) -> None:
        """Report a failed attempt to the balancer, whose next action follows."""
        self._end_response()
        if failed.execution is not ExecutionState.NOT_RUN:
            self.may_have_run = True
            if failed.execution is ExecutionState.MAY_HAVE_RUN:
                self.error_response = None  # the error of an earlier attempt is not this one's
        latency = self._now() - sent_at
        self.balancer.finish_attempt(self.balanced_request, endpoint, failed.outcome, latency, None)

    def record_success(self, response: EndpointResponse) -> None:
        """Report a response that was read to its end."""
        self._response = None
        response.connection.release(response.message)
        now = self._now()
        if self.request.prompt_segments:
            caches = self.balancer.balancer.prefix_caches
            caches.record_prefill(now, response.endpoint, self.request.prompt_segments)
        self._finish_attempt(response, i.Outcome.SERVED, reported_load(response.message))

    def close(self) -> None:
        """End the request, in whatever state it is."""
        response = self._end_response()
        if response is not None:
            self._finish_attempt(response, i.Outcome.CANCELLED, None)
        self.balancer.finish_request(self.balanced_request)

    def _end_response(self) -> EndpointResponse | None:
        """End the connection of the response that is being read, and return that response."""
        response, self._response = self._response, None
        if response is not None:
            response.connection.abort()
        return response

    def _finish_attempt(self, response: EndpointResponse, outcome: i.Outcome, load: float | None) -> None:
        latency = self._now() - response.sent_at
        self.balancer.finish_attempt(self.balanced_request, response.endpoint, outcome, latency, load)


def _timed_out(connection: AcquiredConnection | None) -> AttemptFailedError:
    """Return the failure of an attempt without a response in time."""
    if connection is None:
        return AttemptFailedError(ExecutionState.NOT_RUN, i.Outcome.CONNECT_FAILED, "no answer in time")
    return AttemptFailedError(ExecutionState.MAY_HAVE_RUN, i.Outcome.TIMED_OUT, "no answer in time")
