"""Answers the requests of clients: finds the route and the service, and delegates to their handler."""

from __future__ import annotations

import asyncio
from random import Random

from wheatring.common.http_parser import Message
from wheatring.tier.budgets.token_budgets import TokenBudgets
from wheatring.tier.event_log import log_event
from wheatring.tier.sidecar import headers
from wheatring.tier.sidecar.client_connection import ClientConnection
from wheatring.tier.sidecar.connection_pool import EndpointConnectionPool
from wheatring.tier.sidecar.exceptions import RequestRejectedError
from wheatring.tier.sidecar.forwarder import Forwarder
from wheatring.tier.sidecar.outgoing_request import OutgoingRequest, parse_prompt_segments
from wheatring.tier.sidecar.plain_requests import PlainRequestHandler
from wheatring.tier.sidecar.route_table import Route, RouteTable
from wheatring.tier.sidecar.service_balancer import ServiceBalancer
from wheatring.tier.sidecar.streaming_requests import StreamingRequestHandler
from wheatring.tier.turns.conversations import Conversations

CONFIGURATION_RETRY_AFTER_SECONDS = 0.2
CONFIGURATION_TIMEOUT_SECONDS = 0.8  # Requests wait this long for the first configuration after a start.
UNLOGGED_STATUSES = (402, 404)  # These rejections are caused by the client.


class RequestService:
    """Answers the requests of clients.

    Attributes
    ----------
    table
        The current route table; None before the first configuration.
    balancers
        The balancers by name of the service.
    in_flight
        The number of requests in flight.
    is_configured
        Set once the routes and the endpoints are known.
    """

    def __init__(
        self,
        connections: EndpointConnectionPool,
        conversations: Conversations,
        budgets: TokenBudgets,
        random: Random,
    ) -> None:
        self._connections = connections
        self._random = random
        self._plain = PlainRequestHandler(self._open_forwarder)
        self._streaming = StreamingRequestHandler(self._open_forwarder, conversations, budgets)
        self.table: RouteTable | None = None
        self.balancers: dict[str, ServiceBalancer] = {}
        self.in_flight = 0
        self.is_configured = asyncio.Event()

    async def handle_request(self, client: ClientConnection, message: Message, received_at: float) -> None:
        """Answer one request; `received_at` is when its last byte arrived, by the event loop's clock."""
        self.in_flight += 1
        try:
            await self._answer(client, message, received_at)
        except RequestRejectedError as rejection:
            self._reject(client, message, rejection)
        finally:
            self.in_flight -= 1

    def _reject(self, client: ClientConnection, message: Message, rejection: RequestRejectedError) -> None:
        fields = b"Wheatring-Request-Id: %s\r\n" % message.fields.get(headers.REQUEST_ID, b"")
        if rejection.retry_after_seconds > 0:
            fields += b"Retry-After: %.3f\r\n" % rejection.retry_after_seconds
        client.send_error(rejection.status, fields)
        if rejection.status not in UNLOGGED_STATUSES:
            request_id = headers.decode_text(message.fields.get(headers.REQUEST_ID))
            log_event("rejected", request=request_id, status=rejection.status, reason=rejection.reason)

    async def _answer(self, client: ClientConnection, message: Message, received_at: float) -> None:
        table = await self._wait_for_table()
        path = headers.decode_text(message.start_line[1]).partition("?")[0]
        route = table.find(headers.decode_text(message.fields.get(b"host")), path)
        if route is None:
            raise RequestRejectedError(404, "no matching route")
        request = OutgoingRequest(
            message=message,
            body=message.body,
            request_id=message.fields.get(headers.REQUEST_ID, b""),
            route=route,
            deadline=received_at + _timeout_seconds(message, route),
            last_event_id=message.fields.get(headers.LAST_EVENT_ID, b""),
            prompt_segments=parse_prompt_segments(message),
        )
        service = table.choose_service(route, self._random)
        if route.is_streaming:
            service_settings = table.services.get(service)
            tokens_per_event = service_settings.tokens_per_event if service_settings is not None else 0
            await self._streaming.serve(client, request, service, tokens_per_event)
        else:
            await self._plain.serve(client, request, service)

    async def _wait_for_table(self) -> RouteTable:
        """Return the route table; just after a start, wait for it. Raises RequestRejectedError."""
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

    def _open_forwarder(self, request: OutgoingRequest, service: str) -> Forwarder:
        balancer = self.balancers.get(service)
        if balancer is None:
            raise RequestRejectedError(
                503, "no endpoint list for the service", CONFIGURATION_RETRY_AFTER_SECONDS
            )
        return Forwarder(request, balancer, self._connections)


def _timeout_seconds(message: Message, route: Route) -> float:
    """Return the client's own time-out, capped at that of the route."""
    requested_ms = headers.parse_non_negative_int(message.fields.get(headers.DEADLINE))
    if requested_ms is None:
        return route.timeout_seconds
    return min(route.timeout_seconds, requested_ms / 1000)
