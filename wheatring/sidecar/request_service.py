"""Serves one request of a client: its route, its turn and budget where it has them, and the way to an
endpoint.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from wheatring.balancer.interface import Outcome
from wheatring.budgets.exceptions import BudgetExceededError
from wheatring.budgets.token_budgets import TokenBudgets
from wheatring.event_log import log_event
from wheatring.http1.parser import Message
from wheatring.sidecar import headers
from wheatring.sidecar.client_connection import ClientConnection
from wheatring.sidecar.endpoint_connection import EndpointConnectionPool
from wheatring.sidecar.event_stream import Event, EventParser
from wheatring.sidecar.exceptions import AttemptFailedError, ExecutionState, RequestRejectedError
from wheatring.sidecar.forwarder import EndpointResponse, Forwarder, OutgoingRequest
from wheatring.sidecar.prefix_placement import PromptSegment
from wheatring.sidecar.route_table import RouteTable
from wheatring.sidecar.service_balancer import ServiceBalancer
from wheatring.storage.exceptions import QuorumNotReachedError
from wheatring.transport.messages_pb2 import Turn
from wheatring.turns.conversations import Conversations, build_prompt_body
from wheatring.turns.exceptions import TurnNotFoundError

STORE_TIMEOUT_SECONDS = 1.2  # for turns and budgets to be read before a turn begins
STORE_TIMEOUT_FRACTION = 0.5  # of the time that a turn has, which they may take at most
RECORD_TIMEOUT_SECONDS = 2.5  # for a turn to be recorded once its last event is there
STORE_RETRY_AFTER_SECONDS = 0.3  # seconds, told where the storage members could not be asked
CONFIGURATION_RETRY_AFTER_SECONDS = 0.2
CONFIGURATION_TIMEOUT_SECONDS = 0.8  # that a request waits for the first configuration of a sidecar's life
STREAMING_THRESHOLD_BYTES = 256 * 1024  # of a plain response; from here on it is streamed


@dataclass(slots=True)
class TurnInProgress:
    """What a turn of a program brings along."""

    program: str
    budget: int | None
    max_tokens: int  # tokens that it may generate
    previous_turn_id: str
    is_budget_reserved: bool = False
    delivered_events: int = 0  # events passed to the client
    output: list[bytes] = field(default_factory=list)  # the data of each event, each with a line feed


def _prompt_parts(message: Message) -> tuple[PromptSegment, ...]:
    """The parts of a prompt, in order; what cannot be read ends the list."""
    value = message.fields.get(headers.PROMPT_PREFIX, b"")
    parts = []
    for item in value.split(b",") if value else ():
        ident, colon, tokens = item.strip().partition(b":")
        if not colon or not tokens.isdigit():
            break
        parts.append(PromptSegment(ident, int(tokens)))
    return tuple(parts)


def _turn_of(message: Message) -> TurnInProgress:
    usage = message.fields.get(headers.TOKEN_USAGE, b"").split(b",")
    most = headers.parse_non_negative_int(usage[1].strip()) if len(usage) > 1 else None
    return TurnInProgress(
        program=headers.decode_text(message.fields.get(headers.PROGRAM)),
        budget=headers.parse_non_negative_int(message.fields.get(headers.BUDGET)),
        max_tokens=most or 0,
        previous_turn_id=headers.decode_text(message.fields.get(headers.PREVIOUS)),
    )


class RequestService:
    """The part of a sidecar that answers requests."""

    def __init__(
        self,
        upstreams: EndpointConnectionPool,
        conversations: Conversations,
        budgets: TokenBudgets,
        random: Random,
    ) -> None:
        self._upstreams = upstreams
        self._conversations = conversations
        self._budgets = budgets
        self._random = random
        self.table: RouteTable | None = None
        self.balancers: dict[str, ServiceBalancer] = {}
        self.in_flight = 0
        self.is_configured = asyncio.Event()  # set once there are routes and endpoints

    async def handle_request(self, client: ClientConnection, message: Message, received_at: float) -> None:
        """Answer one request."""
        self.in_flight += 1
        try:
            await self._answer(client, message, received_at)
        except RequestRejectedError as rejected:
            self._reject(client, message, rejected)
        finally:
            self.in_flight -= 1

    def _reject(self, client: ClientConnection, message: Message, rejected: RequestRejectedError) -> None:
        fields = b"Wheatring-Request-Id: %s\r\n" % message.fields.get(headers.REQUEST_ID, b"")
        if rejected.retry_after_seconds > 0:
            fields += b"Retry-After: %.3f\r\n" % rejected.retry_after_seconds
        client.send_response(rejected.status, fields)
        if rejected.status not in (402, 404):
            request_id = headers.decode_text(message.fields.get(headers.REQUEST_ID))
            log_event("rejected", request=request_id, status=rejected.status, reason=rejected.reason)

    async def _answer(self, client: ClientConnection, message: Message, received_at: float) -> None:
        table = await self._known_table()
        path = headers.decode_text(message.first[1]).partition("?")[0]
        route = table.find(headers.decode_text(message.fields.get(b"host")), path)
        if route is None:
            raise RequestRejectedError(404, "no route")
        told = headers.parse_non_negative_int(message.fields.get(headers.DEADLINE))
        allowed = min(route.timeout_seconds, told / 1000) if told is not None else route.timeout_seconds
        request = OutgoingRequest(
            message=message,
            body=message.body,
            request_id=message.fields.get(headers.REQUEST_ID, b""),
            route=route,
            deadline=received_at + allowed,
            last_event_id=message.fields.get(headers.LAST_EVENT_ID, b""),
            prompt_segments=_prompt_parts(message),
        )
        service = table.choose_service(route, self._random)
        if route.is_streaming:
            stride = table.services[service].tokens_per_event if service in table.services else 0
            await self._stream(client, request, service, stride)
        else:
            await self._plain(client, request, service)

    async def _known_table(self) -> RouteTable:
        """The routes; a request that comes right after a start waits for them a little. Raises Rejected."""
        if self.table is None or not self.balancers:
            try:
                async with asyncio.timeout(CONFIGURATION_TIMEOUT_SECONDS):
                    await self.is_configured.wait()
            except TimeoutError:
                raise RequestRejectedError(
                    503, "no configuration yet", CONFIGURATION_RETRY_AFTER_SECONDS
                ) from None
        assert self.table is not None
        return self.table

    def _forwarding(self, request: OutgoingRequest, service: str) -> Forwarder:
        decisions = self.balancers.get(service)
        if decisions is None:
            raise RequestRejectedError(503, "no endpoint is known", CONFIGURATION_RETRY_AFTER_SECONDS)
        return Forwarder(request, decisions, self._upstreams)

    # Plain requests

    async def _plain(self, client: ClientConnection, request: OutgoingRequest, service: str) -> None:
        forwarding = self._forwarding(request, service)
        try:
            while True:
                answer = await forwarding.next_response()
                try:
                    async with asyncio.timeout_at(request.deadline):
                        if await self._pass_on(client, forwarding, answer):
                            return
                except AttemptFailedError as failed:
                    forwarding.record_failure(answer.endpoint, answer.sent_at, failed)
                except TimeoutError:
                    raise RequestRejectedError(504, "the answer was not whole in time") from None
        except RequestRejectedError:
            if forwarding.error_response is None:
                raise
            failure = forwarding.error_response
            client.send_response(failure.status, failure.fields, failure.body)
        finally:
            forwarding.close()

    async def _pass_on(
        self, client: ClientConnection, forwarding: Forwarder, answer: EndpointResponse
    ) -> bool:
        """Pass a plain answer on once it is whole, or in pieces where it is large.

        Raises AttemptFailedError where it has broken off before anything of it was passed on.
        """
        message = answer.message
        body = message.body
        whole = not message.open
        while not whole and len(body) < STREAMING_THRESHOLD_BYTES:
            data, whole = await answer.connection.read_body(message)
            body += data
        if whole:
            client.send_response(answer.status, message.end_to_end(), body)
            forwarding.record_success(answer)
            return True
        client.start_response(answer.status, message.end_to_end(), message.length)
        write = client.write_chunk if message.length is None else client.write_body
        write(body)
        try:
            while not whole:
                data, whole = await answer.connection.read_body(message)
                write(data)
                await client.drain()
        except (AttemptFailedError, TimeoutError) as error:
            log_event("answer-broken-off", error=repr(error))
            client.abort_response()
            return True
        if message.length is None:
            client.finish_chunked_response()
        forwarding.record_success(answer)
        return True

    # Turns and other streams

    async def _stream(
        self, client: ClientConnection, request: OutgoingRequest, service: str, stride: int
    ) -> None:
        turn = _turn_of(request.message)
        turn_id = headers.decode_text(request.request_id)
        try:
            chain = await self._prepare(request, turn, turn_id)
            await self._stream_events(client, request, service, turn, chain)
        finally:
            if turn.is_budget_reserved:
                self._budgets.settle(turn.program, turn_id, turn.delivered_events * stride)

    async def _prepare(self, request: OutgoingRequest, turn: TurnInProgress, turn_id: str) -> list[Turn]:
        """Read the conversation and reserve the budget, side by side. Raises Rejected."""
        now = asyncio.get_running_loop().time()
        seconds = min(STORE_TIMEOUT_SECONDS, max((request.deadline - now) * STORE_TIMEOUT_FRACTION, 0.05))
        results = await asyncio.gather(
            self._chain(request, turn, seconds),
            self._reserve(turn, turn_id, seconds),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        chain = results[0]
        assert isinstance(chain, list)
        if request.route.is_retained:
            request.body = build_prompt_body(chain, request.body)
        return chain

    async def _chain(self, request: OutgoingRequest, turn: TurnInProgress, seconds: float) -> list[Turn]:
        if not request.route.is_retained or not turn.previous_turn_id:
            return []
        try:
            return await self._conversations.read_chain(turn.previous_turn_id, seconds)
        except TurnNotFoundError:
            raise RequestRejectedError(404, f"no such turn: {turn.previous_turn_id}") from None
        except QuorumNotReachedError as error:
            raise RequestRejectedError(503, str(error), STORE_RETRY_AFTER_SECONDS) from error

    async def _reserve(self, turn: TurnInProgress, turn_id: str, seconds: float) -> None:
        if turn.budget is None or not turn.program:
            return
        turn.is_budget_reserved = True  # from now on something may stand against the budget
        try:
            await self._budgets.reserve(turn.program, turn_id, turn.max_tokens, turn.budget, seconds)
        except BudgetExceededError as spent:
            raise RequestRejectedError(402, str(spent)) from None
        except QuorumNotReachedError as error:
            raise RequestRejectedError(503, str(error), STORE_RETRY_AFTER_SECONDS) from error

    async def _stream_events(
        self,
        client: ClientConnection,
        request: OutgoingRequest,
        service: str,
        turn: TurnInProgress,
        chain: list[Turn],
    ) -> None:
        forwarding = self._forwarding(request, service)
        begun = False
        try:
            while True:
                answer = await forwarding.next_response()
                if not begun and answer.status != 200:
                    body = await forwarding.read_full_body(answer)
                    client.send_response(answer.status, answer.message.end_to_end(), body)
                    forwarding.record_success(answer)
                    return
                if not begun:
                    client.start_response(answer.status, answer.message.end_to_end())
                    begun = True
                try:
                    async with asyncio.timeout_at(request.deadline):
                        await self._copy_events(client, request, answer, turn)
                        break
                except AttemptFailedError as failed:
                    self._resume_or_raise(request, forwarding, answer, failed)
            forwarding.record_success(answer)
            if request.route.is_retained:
                await self._record(request, turn, chain)
            client.finish_chunked_response()
        except TimeoutError:
            self._cut(client, request, "the stream was not whole in time")
        except QuorumNotReachedError as error:
            self._cut(client, request, f"the turn could not be recorded: {error}")
        except AttemptFailedError as failed:
            self._cut(client, request, f"the stream broke off: {failed.reason}")
        except RequestRejectedError as rejected:
            if begun:
                self._cut(client, request, f"the stream broke off and was not resumed: {rejected.reason}")
            elif forwarding.error_response is not None:
                failure = forwarding.error_response
                client.send_response(failure.status, failure.fields, failure.body)
            else:
                raise
        finally:
            forwarding.close()

    def _resume_or_raise(
        self,
        request: OutgoingRequest,
        forwarding: Forwarder,
        answer: EndpointResponse,
        failed: AttemptFailedError,
    ) -> None:
        """A stream has broken off: go on elsewhere where the route allows it. Raises AttemptFailedError
        otherwise.
        """
        forwarding.record_failure(answer.endpoint, answer.sent_at, failed)
        if not request.route.is_resumable:
            raise failed

    async def _copy_events(
        self,
        client: ClientConnection,
        request: OutgoingRequest,
        answer: EndpointResponse,
        turn: TurnInProgress,
    ) -> None:
        """Pass events on as they come. Raises AttemptFailedError where the stream breaks off."""
        cutter = EventParser()
        message = answer.message
        data, whole = message.body, not message.open
        while True:
            events = cutter.feed(data) if data else []
            if events:
                self._pass_events(client, request, turn, events)
                await client.drain()
            if whole:
                break
            data, whole = await answer.connection.read_body(message)
        if cutter.remainder:
            raise AttemptFailedError(
                ExecutionState.MAY_HAVE_RUN, Outcome.RESET, "the stream ended within an event"
            )

    @staticmethod
    def _pass_events(
        client: ClientConnection, request: OutgoingRequest, turn: TurnInProgress, events: list[Event]
    ) -> None:
        passed = []
        last = int(request.last_event_id) if request.last_event_id.isdigit() else None
        for event in events:
            if event.event_id is not None:
                if last is not None and event.event_id <= last:
                    continue
                last = event.event_id
                request.last_event_id = b"%d" % event.event_id
            passed.append(event.raw)
            turn.delivered_events += 1
            turn.output.append(event.data + b"\n")
        client.write_chunk(b"".join(passed))

    async def _record(self, request: OutgoingRequest, turn: TurnInProgress, chain: list[Turn]) -> None:
        """Have the turn on disk before the end of its answer leaves. Raises QuorumNotReachedError."""
        ancestors = [*chain[-1].ancestors, chain[-1].id] if chain else []
        record = Turn(
            id=headers.decode_text(request.request_id),
            ancestors=ancestors,
            input=request.message.body,
            output=b"".join(turn.output),
            program=turn.program,
            retention_ms=int(request.route.retention_seconds * 1000),
        )
        left = request.deadline - asyncio.get_running_loop().time()
        await self._conversations.record(record, min(RECORD_TIMEOUT_SECONDS, max(left, 0.2)))

    @staticmethod
    def _cut(client: ClientConnection, request: OutgoingRequest, reason: str) -> None:
        log_event("stream-cut", request=headers.decode_text(request.request_id), reason=reason)
        client.abort_response()
