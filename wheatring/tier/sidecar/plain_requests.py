"""Answers requests whose response is one body."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wheatring.tier.event_log import log_event
from wheatring.tier.sidecar.client_connection import ClientConnection
from wheatring.tier.sidecar.endpoint_response import EndpointResponse
from wheatring.tier.sidecar.exceptions import AttemptFailedError, RequestRejectedError
from wheatring.tier.sidecar.forwarder import Forwarder
from wheatring.tier.sidecar.outgoing_request import OutgoingRequest

STREAMING_THRESHOLD_BYTES = 256 * 1024  # of a body; a longer one is passed on before it is complete


class PlainRequestHandler:
    """Passes a response on once it is complete, so that a broken one can be had again elsewhere."""

    def __init__(self, open_forwarder: Callable[[OutgoingRequest, str], Forwarder]) -> None:
        """Prepare a handler; `open_forwarder` takes a request and its service."""
        self._open_forwarder = open_forwarder

    async def serve(self, client: ClientConnection, request: OutgoingRequest, service: str) -> None:
        """Answer one request. Raises RequestRejectedError."""
        forwarder = self._open_forwarder(request, service)
        try:
            await self._pass_on_first(client, forwarder)
        except RequestRejectedError:
            error = forwarder.error_response
            if error is None:
                raise
            client.send_error(error.status, error.fields, error.body)
        finally:
            forwarder.close()

    async def _pass_on_first(self, client: ClientConnection, forwarder: Forwarder) -> None:
        """Pass on the first response that is complete. Raises RequestRejectedError."""
        while True:
            response = await forwarder.next_response()
            try:
                async with asyncio.timeout_at(forwarder.request.deadline):
                    await self._pass_on(client, forwarder, response)
                    return
            except AttemptFailedError as failed:
                forwarder.record_failure(response.endpoint, response.sent_at, failed)
            except TimeoutError:
                if client.is_response_started:
                    self._break_off(client, "the answer was not whole in time")
                    return
                raise RequestRejectedError(504, "the answer was not whole in time") from None

    async def _pass_on(
        self, client: ClientConnection, forwarder: Forwarder, response: EndpointResponse
    ) -> None:
        """Pass a response on once it is complete, or in chunks where it is large.

        Raises AttemptFailedError where it has broken off before anything of it was passed on.
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
            await self._pass_on_chunks(client, forwarder, response, body)

    async def _pass_on_chunks(
        self, client: ClientConnection, forwarder: Forwarder, response: EndpointResponse, body: bytes
    ) -> None:
        """Pass a large response on as it comes; `body` is what has come so far."""
        message = response.message
        client.start_response(response.status, message.end_to_end_lines(), message.content_length)
        client.write_body(body)
        is_complete = False
        try:
            while not is_complete:
                data, is_complete = await response.connection.read_body()
                client.write_body(data)
                await client.drain()
        except AttemptFailedError as failed:
            self._break_off(client, repr(failed))
            return
        client.finish_response()
        forwarder.record_success(response)

    @staticmethod
    def _break_off(client: ClientConnection, reason: str) -> None:
        """Cut off a response whose head has left: nothing but the rest of its body may follow."""
        log_event("answer-broken-off", error=reason)
        client.abort_response()
