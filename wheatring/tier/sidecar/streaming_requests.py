"""Answers requests whose response is a series of events: turns of programs, and other streams."""

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

STORE_TIMEOUT_SECONDS = 1.2  # for turns and budgets to be read before a turn begins
STORE_TIMEOUT_FRACTION = 0.5  # of the time that a turn has, which they may take at most
MIN_STORE_TIMEOUT_SECONDS = 0.05
RECORD_TIMEOUT_SECONDS = 2.5  # for a turn to be recorded once its last event is there
MIN_RECORD_TIMEOUT_SECONDS = 0.2
STORE_RETRY_AFTER_SECONDS = 0.3  # stated where the storage members could not be reached


class ResponseStream:
    """One stream from endpoints to a client, resumed at another endpoint where the route allows it."""

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

    async def pass_on(self) -> bool:
        """Pass the stream on to its last event; return False where the response was no stream.

        Raises
        ------
        AttemptFailedError
            The stream broke off, and the route does not allow to resume it.
        RequestRejectedError
            No endpoint took the request, or none the rest of it.
        TimeoutError
            The stream was not complete in time.
        """
        while True:
            response = await self.forwarder.next_response()
            is_stream = response.status == 200
            try:
                async with asyncio.timeout_at(self.request.deadline):
                    if is_stream:
                        await self._copy_events(response)
                    else:
                        await self._copy_body(response)
                    break
            except AttemptFailedError as failed:
                self.forwarder.record_failure(response.endpoint, response.sent_at, failed)
                if not self.request.route.is_resumable:
                    raise
        self.forwarder.record_success(response)
        return is_stream

    async def _copy_body(self, response: EndpointResponse) -> None:
        """Pass on a response that is no stream. Raises AttemptFailedError where it breaks off."""
        if self.client.is_response_started:
            raise AttemptFailedError(
                ExecutionState.RAN, Outcome.ERROR, f"status {response.status} for the rest of a stream"
            )
        body = await self.forwarder.read_full_body(response)
        self.client.send_response(response.status, response.message.end_to_end_lines(), body)

    async def _copy_events(self, response: EndpointResponse) -> None:
        """Pass events on as they come. Raises AttemptFailedError where the stream breaks off."""
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
                ExecutionState.MAY_HAVE_RUN, Outcome.RESET, "the stream ended within an event"
            )

    def _write_events(self, events: Sequence[Event]) -> None:
        """Send events to the client, but those that it has from before the stream was resumed."""
        request = self.request
        passed = []
        last_id = int(request.last_event_id) if request.last_event_id.isdigit() else None
        for event in events:
            if event.event_id is not None:
                if last_id is not None and event.event_id <= last_id:
                    continue
                last_id = event.event_id
                request.last_event_id = b"%d" % event.event_id
            passed.append(event.raw)
            self.turn.delivered_events += 1
            self.turn.output.append(event.data + b"\n")
        self.client.write_body(b"".join(passed))

    def end_with_error(self, rejected: RequestRejectedError) -> None:
        """End a stream that will not be complete: cut it off, or pass on the endpoint's own error.

        Raises RequestRejectedError where nothing has been sent and no endpoint has stated an error.
        """
        error_response = self.forwarder.error_response
        if self.client.is_response_started:
            request_id = headers.decode_text(self.request.request_id)
            log_event("stream-cut", request=request_id, reason=rejected.reason)
            self.client.abort_response()
        elif error_response is not None:
            self.client.send_response(error_response.status, error_response.fields, error_response.body)
        else:
            raise rejected


class StreamingRequestHandler:
    """Reads the conversation, reserves the budget, passes the stream on and records the turn."""

    def __init__(
        self,
        open_forwarder: Callable[[OutgoingRequest, str], Forwarder],
        conversations: Conversations,
        budgets: TokenBudgets,
    ) -> None:
        """Prepare a handler; `open_forwarder` takes a request and its service."""
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
        """Read the conversation and reserve the budget at the same time. Raises RequestRejectedError."""
        remaining = request.deadline - asyncio.get_running_loop().time()
        share = max(remaining * STORE_TIMEOUT_FRACTION, MIN_STORE_TIMEOUT_SECONDS)
        timeout_seconds = min(STORE_TIMEOUT_SECONDS, share)
        results = await asyncio.gather(
            self._read_chain(request, turn, timeout_seconds),
            self._reserve(turn, timeout_seconds),
            return_exceptions=True,  # the reservation must have ended before the turn is settled
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
            raise RequestRejectedError(404, f"no such turn: {turn.previous_turn_id}") from None
        except QuorumNotReachedError as error:
            raise RequestRejectedError(503, str(error), STORE_RETRY_AFTER_SECONDS) from error

    async def _reserve(self, turn: TurnInProgress, timeout_seconds: float) -> None:
        if turn.budget is None or not turn.program:
            return
        turn.is_budget_reserved = True  # from now on, also if the exchange fails halfway
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
            if await stream.pass_on():
                if stream.request.route.is_retained:
                    await self._record(stream.request, stream.turn, chain)
                stream.client.finish_response()
        except TimeoutError:
            stream.end_with_error(RequestRejectedError(504, "the stream was not whole in time"))
        except QuorumNotReachedError as error:
            stream.end_with_error(RequestRejectedError(503, f"the turn could not be recorded: {error}"))
        except AttemptFailedError as failed:
            stream.end_with_error(RequestRejectedError(502, f"the stream broke off: {failed.reason}"))
        except RequestRejectedError as rejected:
            stream.end_with_error(rejected)
        finally:
            stream.forwarder.close()

    async def _record(self, request: OutgoingRequest, turn: TurnInProgress, chain: list[Turn]) -> None:
        """Have the turn on disk before the end of its response leaves. Raises QuorumNotReachedError.

        A client that has seen the end may name the turn as `Previous` at once.
        """
        record = Turn(
            id=turn.turn_id,
            ancestors=[*chain[-1].ancestors, chain[-1].id] if chain else [],
            input=request.message.body,
            output=b"".join(turn.output),
            program=turn.program,
            retention_ms=int(request.route.retention_seconds * 1000),
        )
        remaining = request.deadline - asyncio.get_running_loop().time()
        timeout_seconds = min(RECORD_TIMEOUT_SECONDS, max(remaining, MIN_RECORD_TIMEOUT_SECONDS))
        await self._conversations.record(record, timeout_seconds)
