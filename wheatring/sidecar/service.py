"""Serves one request of a client: its route, its turn and budget where it has them, and the way to an
endpoint.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from wheatring.balancer.interface import Outcome
from wheatring.budgets.budgets import Budgets, BudgetSpent
from wheatring.event_log import log_event
from wheatring.http1.parser import Message
from wheatring.sidecar import headers
from wheatring.sidecar.client_connection import ClientConnection
from wheatring.sidecar.decisions import ServiceDecisions
from wheatring.sidecar.event_stream import Event, EventCutter
from wheatring.sidecar.forwarder import Answer, Forwarding, OutgoingRequest
from wheatring.sidecar.prompt_placement import PromptPart
from wheatring.sidecar.routes import RouteTable
from wheatring.sidecar.upstream import Upstreams
from wheatring.sidecar.verdict import AttemptFailed, Rejected, Verdict
from wheatring.storage.quorum import NotSure
from wheatring.transport.messages_pb2 import Turn
from wheatring.turns.conversations import Conversations, NoSuchTurn, body_of

STORE_SECONDS = 1.2  # for turns and budgets to be read before a turn begins
STORE_PART = 0.5  # of the time that a turn has, which they may take at most
RECORD_SECONDS = 2.5  # for a turn to be recorded once its last event is there
UNSURE_RETRY_AFTER = 0.3  # seconds, told where the storage members could not be asked
NO_CONFIGURATION_RETRY_AFTER = 0.2
START_WAIT_SECONDS = 0.8  # that a request waits for the first configuration of a sidecar's life
STREAM_ABOVE = 256 * 1024  # bytes of a plain answer, from which it is passed on before it is whole


@dataclass(slots=True)
class Turned:
    """What a turn of a program brings along."""

    program: str
    budget: int | None
    most: int  # tokens that it may generate
    previous: str
    reserved: bool = False
    handed_out: int = 0  # events passed to the client
    output: list[bytes] = field(default_factory=list)  # the data of each event, each with a line feed


def _prompt_parts(message: Message) -> tuple[PromptPart, ...]:
    """The parts of a prompt, in order; what cannot be read ends the list."""
    value = message.fields.get(headers.PROMPT_PREFIX, b"")
    parts = []
    for item in value.split(b",") if value else ():
        ident, colon, tokens = item.strip().partition(b":")
        if not colon or not tokens.isdigit():
            break
        parts.append(PromptPart(ident, int(tokens)))
    return tuple(parts)


def _turn_of(message: Message) -> Turned:
    usage = message.fields.get(headers.TOKEN_USAGE, b"").split(b",")
    most = headers.whole_number(usage[1].strip()) if len(usage) > 1 else None
    return Turned(
        program=headers.text(message.fields.get(headers.PROGRAM)),
        budget=headers.whole_number(message.fields.get(headers.BUDGET)),
        most=most or 0,
        previous=headers.text(message.fields.get(headers.PREVIOUS)),
    )


class RequestService:
    """The part of a sidecar that answers requests."""

    def __init__(
        self, upstreams: Upstreams, conversations: Conversations, budgets: Budgets, random: Random
    ) -> None:
        self._upstreams = upstreams
        self._conversations = conversations
        self._budgets = budgets
        self._random = random
        self.table: RouteTable | None = None
        self.decisions: dict[str, ServiceDecisions] = {}
        self.under_way = 0
        self.started = asyncio.Event()  # set once there are routes and endpoints

    async def handle(self, client: ClientConnection, message: Message, received_at: float) -> None:
        """Answer one request."""
        self.under_way += 1
        try:
            await self._answer(client, message, received_at)
        except Rejected as rejected:
            self._reject(client, message, rejected)
        finally:
            self.under_way -= 1

    def _reject(self, client: ClientConnection, message: Message, rejected: Rejected) -> None:
        fields = b"Wheatring-Request-Id: %s\r\n" % message.fields.get(headers.REQUEST_ID, b"")
        if rejected.retry_after > 0:
            fields += b"Retry-After: %.3f\r\n" % rejected.retry_after
        client.answer(rejected.status, fields)
        if rejected.status not in (402, 404):
            request_id = headers.text(message.fields.get(headers.REQUEST_ID))
            log_event("rejected", request=request_id, status=rejected.status, reason=rejected.reason)

    async def _answer(self, client: ClientConnection, message: Message, received_at: float) -> None:
        table = await self._known_table()
        path = headers.text(message.first[1]).partition("?")[0]
        route = table.find(headers.text(message.fields.get(b"host")), path)
        if route is None:
            raise Rejected(404, "no route")
        told = headers.whole_number(message.fields.get(headers.DEADLINE))
        allowed = min(route.timeout, told / 1000) if told is not None else route.timeout
        request = OutgoingRequest(
            message=message,
            body=message.body,
            request_id=message.fields.get(headers.REQUEST_ID, b""),
            route=route,
            deadline=received_at + allowed,
            last_event_id=message.fields.get(headers.LAST_EVENT_ID, b""),
            parts=_prompt_parts(message),
        )
        service = table.choose_service(route, self._random)
        if route.streaming:
            stride = table.services[service].stride if service in table.services else 0
            await self._stream(client, request, service, stride)
        else:
            await self._plain(client, request, service)

    async def _known_table(self) -> RouteTable:
        """The routes; a request that comes right after a start waits for them a little. Raises Rejected."""
        if self.table is None or not self.decisions:
            try:
                async with asyncio.timeout(START_WAIT_SECONDS):
                    await self.started.wait()
            except TimeoutError:
                raise Rejected(503, "no configuration yet", NO_CONFIGURATION_RETRY_AFTER) from None
        assert self.table is not None
        return self.table

    def _forwarding(self, request: OutgoingRequest, service: str) -> Forwarding:
        decisions = self.decisions.get(service)
        if decisions is None:
            raise Rejected(503, "no endpoint is known", NO_CONFIGURATION_RETRY_AFTER)
        return Forwarding(request, decisions, self._upstreams)

    # Plain requests

    async def _plain(self, client: ClientConnection, request: OutgoingRequest, service: str) -> None:
        forwarding = self._forwarding(request, service)
        try:
            while True:
                answer = await forwarding.next_answer()
                try:
                    async with asyncio.timeout_at(request.deadline):
                        if await self._pass_on(client, forwarding, answer):
                            return
                except AttemptFailed as failed:
                    forwarding.failed(answer.endpoint, answer.begun, failed)
                except TimeoutError:
                    raise Rejected(504, "the answer was not whole in time") from None
        except Rejected:
            if forwarding.failure is None:
                raise
            failure = forwarding.failure
            client.answer(failure.status, failure.fields, failure.body)
        finally:
            forwarding.close()

    async def _pass_on(self, client: ClientConnection, forwarding: Forwarding, answer: Answer) -> bool:
        """Pass a plain answer on once it is whole, or in pieces where it is large. Raises AttemptFailed where
        it has broken off before anything of it was passed on.
        """
        message = answer.message
        body = message.body
        whole = not message.open
        while not whole and len(body) < STREAM_ABOVE:
            data, whole = await answer.connection.more(message)
            body += data
        if whole:
            client.answer(answer.status, message.end_to_end(), body)
            forwarding.served(answer)
            return True
        client.begin_stream(answer.status, message.end_to_end(), message.length)
        write = client.write_chunk if message.length is None else client.write_raw
        write(body)
        try:
            while not whole:
                data, whole = await answer.connection.more(message)
                write(data)
                await client.drain()
        except (AttemptFailed, TimeoutError) as error:
            log_event("answer-broken-off", error=repr(error))
            client.break_off()
            return True
        if message.length is None:
            client.end_stream()
        forwarding.served(answer)
        return True

    # Turns and other streams

    async def _stream(
        self, client: ClientConnection, request: OutgoingRequest, service: str, stride: int
    ) -> None:
        turn = _turn_of(request.message)
        turn_id = headers.text(request.request_id)
        try:
            chain = await self._prepare(request, turn, turn_id)
            await self._stream_events(client, request, service, turn, chain)
        finally:
            if turn.reserved:
                self._budgets.settle(turn.program, turn_id, turn.handed_out * stride)

    async def _prepare(self, request: OutgoingRequest, turn: Turned, turn_id: str) -> list[Turn]:
        """Read the conversation and reserve the budget, side by side. Raises Rejected."""
        now = asyncio.get_running_loop().time()
        seconds = min(STORE_SECONDS, max((request.deadline - now) * STORE_PART, 0.05))
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
        if request.route.retained:
            request.body = body_of(chain, request.body)
        return chain

    async def _chain(self, request: OutgoingRequest, turn: Turned, seconds: float) -> list[Turn]:
        if not request.route.retained or not turn.previous:
            return []
        try:
            return await self._conversations.chain(turn.previous, seconds)
        except NoSuchTurn:
            raise Rejected(404, f"no such turn: {turn.previous}") from None
        except NotSure as error:
            raise Rejected(503, str(error), UNSURE_RETRY_AFTER) from error

    async def _reserve(self, turn: Turned, turn_id: str, seconds: float) -> None:
        if turn.budget is None or not turn.program:
            return
        turn.reserved = True  # from now on something may stand against the budget
        try:
            await self._budgets.reserve(turn.program, turn_id, turn.most, turn.budget, seconds)
        except BudgetSpent as spent:
            raise Rejected(402, str(spent)) from None
        except NotSure as error:
            raise Rejected(503, str(error), UNSURE_RETRY_AFTER) from error

    async def _stream_events(
        self,
        client: ClientConnection,
        request: OutgoingRequest,
        service: str,
        turn: Turned,
        chain: list[Turn],
    ) -> None:
        forwarding = self._forwarding(request, service)
        begun = False
        try:
            while True:
                answer = await forwarding.next_answer()
                if not begun and answer.status != 200:
                    body = await forwarding.read_whole(answer)
                    client.answer(answer.status, answer.message.end_to_end(), body)
                    forwarding.served(answer)
                    return
                if not begun:
                    client.begin_stream(answer.status, answer.message.end_to_end())
                    begun = True
                try:
                    async with asyncio.timeout_at(request.deadline):
                        await self._copy_events(client, request, answer, turn)
                        break
                except AttemptFailed as failed:
                    self._resume_or_raise(request, forwarding, answer, failed)
            forwarding.served(answer)
            if request.route.retained:
                await self._record(request, turn, chain)
            client.end_stream()
        except TimeoutError:
            self._cut(client, request, "the stream was not whole in time")
        except NotSure as error:
            self._cut(client, request, f"the turn could not be recorded: {error}")
        except AttemptFailed as failed:
            self._cut(client, request, f"the stream broke off: {failed.reason}")
        except Rejected as rejected:
            if begun:
                self._cut(client, request, f"the stream broke off and was not resumed: {rejected.reason}")
            elif forwarding.failure is not None:
                failure = forwarding.failure
                client.answer(failure.status, failure.fields, failure.body)
            else:
                raise
        finally:
            forwarding.close()

    def _resume_or_raise(
        self, request: OutgoingRequest, forwarding: Forwarding, answer: Answer, failed: AttemptFailed
    ) -> None:
        """A stream has broken off: go on elsewhere where the route allows it. Raises AttemptFailed
        otherwise.
        """
        forwarding.failed(answer.endpoint, answer.begun, failed)
        if not request.route.resumable:
            raise failed

    async def _copy_events(
        self, client: ClientConnection, request: OutgoingRequest, answer: Answer, turn: Turned
    ) -> None:
        """Pass events on as they come. Raises AttemptFailed where the stream breaks off."""
        cutter = EventCutter()
        message = answer.message
        data, whole = message.body, not message.open
        while True:
            events = cutter.feed(data) if data else []
            if events:
                self._pass_events(client, request, turn, events)
                await client.drain()
            if whole:
                break
            data, whole = await answer.connection.more(message)
        if cutter.rest:
            raise AttemptFailed(Verdict.MAY_HAVE_RUN, Outcome.RESET, "the stream ended within an event")

    @staticmethod
    def _pass_events(
        client: ClientConnection, request: OutgoingRequest, turn: Turned, events: list[Event]
    ) -> None:
        passed = []
        last = int(request.last_event_id) if request.last_event_id.isdigit() else None
        for event in events:
            if event.ident is not None:
                if last is not None and event.ident <= last:
                    continue
                last = event.ident
                request.last_event_id = b"%d" % event.ident
            passed.append(event.raw)
            turn.handed_out += 1
            turn.output.append(event.data + b"\n")
        client.write_chunk(b"".join(passed))

    async def _record(self, request: OutgoingRequest, turn: Turned, chain: list[Turn]) -> None:
        """Have the turn on disk before the end of its answer leaves. Raises NotSure."""
        ancestors = [*chain[-1].ancestors, chain[-1].id] if chain else []
        record = Turn(
            id=headers.text(request.request_id),
            ancestors=ancestors,
            input=request.message.body,
            output=b"".join(turn.output),
            program=turn.program,
            retention_ms=int(request.route.retention * 1000),
        )
        left = request.deadline - asyncio.get_running_loop().time()
        await self._conversations.record(record, min(RECORD_SECONDS, max(left, 0.2)))

    @staticmethod
    def _cut(client: ClientConnection, request: OutgoingRequest, reason: str) -> None:
        log_event("stream-cut", request=headers.text(request.request_id), reason=reason)
        client.break_off()
