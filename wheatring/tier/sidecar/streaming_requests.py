"""Answers requests whose response is a stream of events: turns of agent programs, and other streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from wheatring.balancer.interface import Outcome
from wheatring.tier.budgets.exceptions import BudgetExceededError
from wheatring.tier.budgets.token_budgets import TokenBudgets
from wheatring.tier.event_log import log_event
from wheatring.tier.sidecar import headers
from wheatring.tier.sidecar.client_connection import ClientConnection
from wheatring.tier.sidecar.endpoint_response import EndpointResponse
from wheatring.tier.sidecar.event_stream import Event, EventParser
from wheatring.tier.sidecar.exceptions import AttemptFailedError, ExecutionState, RequestRejectedError
from wheatring.tier.sidecar.forwarder import Forwarder
from wheatring.tier.sidecar.outgoing_request import OutgoingRequest
from wheatring.tier.sidecar.turn_in_progress import TurnInProgress, parse_turn
from wheatring.tier.storage.exceptions import QuorumNotReachedError
from wheatring.tier.transport.messages_pb2 import Turn
from wheatring.tier.turns.conversations import Conversations, build_prompt_body
from wheatring.tier.turns.exceptions import TurnNotFoundError

STORE_TIMEOUT_SECONDS = 1.2  # Limits reading the conversation and reserving the budget.
STORE_TIMEOUT_FRACTION = 0.5  # The limit above is capped at this fraction of the remaining time.
MIN_STORE_TIMEOUT_SECONDS = 0.05
RECORD_TIMEOUT_SECONDS = 2.5  # Limits recording a turn after its last event.
MIN_RECORD_TIMEOUT_SECONDS = 0.2
STORE_RETRY_AFTER_SECONDS = 0.3  # Sent if the storage replicas could not be reached.


class ResponseStream:
    """Relays one stream to a client, and resumes it at another endpoint if the route allows it."""

    def __init__(
        self,
        client: ClientConnection,
        request: OutgoingRequest,
        turn: TurnInProgress,
        forwarder: Forwarder,
    ) -> None:
        self.client = client
        self.request = request
        self.turn = turn
        self.forwarder = forwarder

    async def relay(self) -> bool:
        """Relay the stream up to its last event; return False if the response was no stream.

        Raises
        ------
        AttemptFailedError
            The stream broke off, and the route does not allow it to be resumed.
        RequestRejectedError
            No endpoint accepted the request, or none could resume the stream.
        TimeoutError
            The stream was incomplete at the deadline.
        """
        while True:
            response = await self.forwarder.next_response()
            is_stream = response.status == 200
            try:
                async with asyncio.timeout_at(self.request.deadline):
                    if is_stream:
                        await self._relay_events(response)
                    else:
                        await self._relay_body(response)
                    break
            except AttemptFailedError as failure:
                self.forwarder.record_failure(response.endpoint, response.sent_at, failure)
                if not self.request.route.is_resumable:
                    raise
        self.forwarder.record_success(response)
        return is_stream

    async def _relay_body(self, response: EndpointResponse) -> None:
        """Relay a response that is no stream. Raises AttemptFailedError if it breaks off."""
        if self.client.is_response_started:
            raise AttemptFailedError(
                ExecutionState.RAN, Outcome.ERROR, f"status {response.status} when resuming a stream"
            )
        body = await self.forwarder.read_full_body(response)
        self.client.send_response(response.status, response.message.end_to_end_lines(), body)

    async def _relay_events(self, response: EndpointResponse) -> None:
        """Relay events as they arrive. Raises AttemptFailedError if the stream breaks off."""
        parser = EventParser()
        message = response.message
        if not self.client.is_response_started:
            self.client.start_response(response.status, message.end_to_end_lines())
        data, is_complete = message.body, not message.is_open
        while True:
            events = parser.feed(data) if data else []
            if events:
                self._write_events(events)
                await self.client.drain()
            if is_complete:
                break
            data, is_complete = await response.connection.read_body()
        if parser.remainder:
            raise AttemptFailedError(
                ExecutionState.MAY_HAVE_RUN, Outcome.RESET, "stream ended within an event"
            )

    def _write_events(self, events: Sequence[Event]) -> None:
        """Send events to the client, except those that it received before the stream was resumed."""
        request = self.request
        raw_events = []
        last_id = int(request.last_event_id) if request.last_event_id.isdigit() else None
        for event in events:
            if event.event_id is not None:
                if last_id is not None and event.event_id <= last_id:
                    continue
                last_id = event.event_id
                request.last_event_id = b"%d" % event.event_id
            raw_events.append(event.raw)
            self.turn.delivered_events += 1
            self.turn.output.append(event.data + b"\n")
        self.client.write_body(b"".join(raw_events))

    def end_with_error(self, rejection: RequestRejectedError) -> None:
        """End a stream that cannot be completed: abort it, or relay the endpoint's own error response.

        Raises RequestRejectedError if nothing has been sent and no endpoint returned an error response.
        """
        error_response = self.forwarder.error_response
        if self.client.is_response_started:
            request_id = headers.decode_text(self.request.request_id)
            log_event("stream-cut", request=request_id, reason=rejection.reason)
            self.client.abort_response()
        elif error_response is not None:
            self.client.send_response(error_response.status, error_response.fields, error_response.body)
        else:
            raise rejection


class StreamingRequestHandler:
    """Reads the conversation, reserves the budget, relays the stream and records the turn."""

    def __init__(
        self,
        open_forwarder: Callable[[OutgoingRequest, str], Forwarder],
        conversations: Conversations,
        budgets: TokenBudgets,
    ) -> None:
        """Initialize the handler; `open_forwarder` is called with a request and the name of its service."""
        self._open_forwarder = open_forwarder
        self._conversations = conversations
        self._budgets = budgets

    async def serve(
        self, client: ClientConnection, request: OutgoingRequest, service: str, tokens_per_event: int
    ) -> None:
        """Answer one request. Raises RequestRejectedError."""
        turn = parse_turn(request.message, request.request_id)
        try:
            chain = await self._prepare(request, turn)
            stream = ResponseStream(client, request, turn, self._open_forwarder(request, service))
            await self._answer(stream, chain)
        finally:
            if turn.is_budget_reserved:
                self._budgets.settle(turn.program, turn.turn_id, turn.delivered_events * tokens_per_event)

    async def _prepare(self, request: OutgoingRequest, turn: TurnInProgress) -> list[Turn]:
        """Read the conversation and reserve the budget concurrently. Raises RequestRejectedError."""
        remaining = request.deadline - asyncio.get_running_loop().time()
        available_seconds = max(remaining * STORE_TIMEOUT_FRACTION, MIN_STORE_TIMEOUT_SECONDS)
        timeout_seconds = min(STORE_TIMEOUT_SECONDS, available_seconds)
        results = await asyncio.gather(
            self._read_chain(request, turn, timeout_seconds),
            self._reserve_budget(turn, timeout_seconds),
            return_exceptions=True,  # The reservation must have ended before the turn is settled.
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        chain = results[0]
        assert isinstance(chain, list)
        if request.route.is_retained:
            request.body = build_prompt_body(chain, request.body)
        return chain

    async def _read_chain(
        self, request: OutgoingRequest, turn: TurnInProgress, timeout_seconds: float
    ) -> list[Turn]:
        if not request.route.is_retained or not turn.previous_turn_id:
            return []
        try:
            return await self._conversations.read_chain(turn.previous_turn_id, timeout_seconds)
        except TurnNotFoundError:
            raise RequestRejectedError(404, f"turn not found: {turn.previous_turn_id}") from None
        except QuorumNotReachedError as error:
            raise RequestRejectedError(503, str(error), STORE_RETRY_AFTER_SECONDS) from error

    async def _reserve_budget(self, turn: TurnInProgress, timeout_seconds: float) -> None:
        if turn.budget is None or not turn.program:
            return
        turn.is_budget_reserved = True  # A reservation that fails may still count.
        try:
            await self._budgets.reserve(
                turn.program, turn.turn_id, turn.max_tokens, turn.budget, timeout_seconds
            )
        except BudgetExceededError as error:
            raise RequestRejectedError(402, str(error)) from None
        except QuorumNotReachedError as error:
            raise RequestRejectedError(503, str(error), STORE_RETRY_AFTER_SECONDS) from error

    async def _answer(self, stream: ResponseStream, chain: list[Turn]) -> None:
        try:
            if await stream.relay():
                if stream.request.route.is_retained:
                    await self._record_turn(stream.request, stream.turn, chain)
                stream.client.finish_response()
        except TimeoutError:
            stream.end_with_error(RequestRejectedError(504, "stream incomplete at the deadline"))
        except QuorumNotReachedError as error:
            stream.end_with_error(RequestRejectedError(503, f"turn could not be recorded: {error}"))
        except AttemptFailedError as failure:
            stream.end_with_error(RequestRejectedError(502, f"stream broke off: {failure.reason}"))
        except RequestRejectedError as rejection:
            stream.end_with_error(rejection)
        finally:
            stream.forwarder.close()

    async def _record_turn(self, request: OutgoingRequest, turn: TurnInProgress, chain: list[Turn]) -> None:
        """Store the turn durably before the end of its response is sent. Raises QuorumNotReachedError.

        A client that has received the end may name the turn as `Previous` immediately.
        """
        record = Turn(
            id=turn.turn_id,
            ancestors=[*chain[-1].ancestors, chain[-1].id] if chain else [],
            input=request.message.body,
            output=b"".join(turn.output),
            program=turn.program,
            retention_ms=int(request.route.turn_lifetime_seconds * 1000),
        )
        remaining = request.deadline - asyncio.get_running_loop().time()
        timeout_seconds = min(RECORD_TIMEOUT_SECONDS, max(remaining, MIN_RECORD_TIMEOUT_SECONDS))
        await self._conversations.record(record, timeout_seconds)
