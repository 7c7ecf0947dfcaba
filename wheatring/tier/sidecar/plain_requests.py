"""Answers requests whose response is not a stream of events."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheatring.tier.event_log import log_event
from wheatring.tier.sidecar.client_connection import ClientConnection
from wheatring.tier.sidecar.endpoint_response import EndpointResponse
from wheatring.tier.sidecar.exceptions import AttemptFailedError, RequestRejectedError
from wheatring.tier.sidecar.forwarder import Forwarder
from wheatring.tier.sidecar.outgoing_request import OutgoingRequest

STREAMING_THRESHOLD_BYTES = 256 * 1024  # A larger body is relayed before it is complete.


class PlainRequestHandler:
    """Relays a response once it is complete, so that a request whose response breaks off can be retried."""

    def __init__(self, open_forwarder: Callable[[OutgoingRequest, str], Forwarder]) -> None:
        """Initialize the handler; `open_forwarder` is called with a request and the name of its service."""
        self._open_forwarder = open_forwarder

    async def serve(self, client: ClientConnection, request: OutgoingRequest, service: str) -> None:
        """Answer one request. Raises RequestRejectedError."""
        forwarder = self._open_forwarder(request, service)
        try:
            await self._relay_first_complete(client, forwarder)
        except RequestRejectedError:
            error = forwarder.error_response
            if error is None:
                raise
            client.send_error(error.status, error.fields, error.body)
        finally:
            forwarder.close()

    async def _relay_first_complete(self, client: ClientConnection, forwarder: Forwarder) -> None:
        """Relay the first complete response. Raises RequestRejectedError."""
        while True:
            response = await forwarder.next_response()
            try:
                async with asyncio.timeout_at(forwarder.request.deadline):
                    await self._relay(client, forwarder, response)
                    return
            except AttemptFailedError as failure:
                forwarder.record_failure(response.endpoint, response.sent_at, failure)
            except TimeoutError:
                if client.is_response_started:
                    self._abort_response(client, "response incomplete at the deadline")
                    return
                raise RequestRejectedError(504, "response incomplete at the deadline") from None

    async def _relay(
        self, client: ClientConnection, forwarder: Forwarder, response: EndpointResponse
    ) -> None:
        """Relay a response once it is complete, or in chunks if it is large.

        Raises AttemptFailedError if it breaks off before any part of it was relayed.
        """
        message = response.message
        body = message.body
        is_complete = not message.is_open
        while not is_complete and len(body) < STREAMING_THRESHOLD_BYTES:
            data, is_complete = await response.connection.read_body()
            body += data
        if is_complete:
            client.send_response(response.status, message.end_to_end_lines(), body)
            forwarder.record_success(response)
        else:
            await self._relay_in_chunks(client, forwarder, response, body)

    async def _relay_in_chunks(
        self, client: ClientConnection, forwarder: Forwarder, response: EndpointResponse, body: bytes
    ) -> None:
        """Relay a large response as it arrives; `body` is the part received so far."""
        message = response.message
        client.start_response(response.status, message.end_to_end_lines(), message.content_length)
        client.write_body(body)
        is_complete = False
        try:
            while not is_complete:
                data, is_complete = await response.connection.read_body()
                client.write_body(data)
                await client.drain()
        except AttemptFailedError as failure:
            self._abort_response(client, repr(failure))
            return
        client.finish_response()
        forwarder.record_success(response)

    @staticmethod
    def _abort_response(client: ClientConnection, reason: str) -> None:
        """Abort a response whose head has been sent, since only the rest of its body may follow."""
        log_event("answer-broken-off", error=reason)
        client.abort_response()
