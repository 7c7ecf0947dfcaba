"""The operator's HTTP API. Any controller accepts a request; the leader applies it."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator
from typing import Any

import uvicorn
from litestar import Litestar, MediaType, Request, Response, get, post

from wheatring.tier.boot_settings.settings import Address
from wheatring.tier.controller.commands import (
    Accepted,
    Command,
    Conflict,
    DescribeConfiguration,
    DescribeRetirement,
    Indeterminate,
    Invalid,
    NotFound,
    Outcome,
    ReplaceConfiguration,
    StartRetirement,
    UpdateConfiguration,
)
from wheatring.tier.controller.controller import Controller
from wheatring.tier.controller.exceptions import InvalidRequestError, NoLeaderError
from wheatring.tier.transport.exceptions import PeerUnreachableError
from wheatring.tier.transport.messages_pb2 import OperatorReply, OperatorRequest

BASE_HEADER = "Wheatring-Base-Revision"
MAX_BODY_BYTES = 16 * 1024 * 1024
RETIRE, START, DESCRIBE = "retire", "start", "describe"


def _error(reason: str) -> bytes:
    return json.dumps({"error": reason}).encode()


def _reply_for(outcome: Outcome) -> OperatorReply:
    match outcome:
        case Accepted(body):
            return OperatorReply(status=200, body=body)
        case Conflict(reason, status):
            return OperatorReply(status=status, body=_error(reason))
        case Invalid(reason):
            return OperatorReply(status=400, body=_error(reason))
        case NotFound(reason):
            return OperatorReply(status=404, body=_error(reason))
        case Indeterminate(reason):
            return OperatorReply(status=503, body=_error(reason))


def _base_generation(request: OperatorRequest) -> int:
    """Return the generation that the change is based on. Raises InvalidRequestError."""
    if not request.base_revision.isdigit():
        raise InvalidRequestError(400, f"{BASE_HEADER} must be a whole number")
    return int(request.base_revision)


class OperatorApi:
    """Parses the operator's requests into commands, and applies or forwards them."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        controller.set_operator_handler(self.apply)

    async def handle(self, request: OperatorRequest) -> OperatorReply:
        """Apply an operator's request if this controller leads, otherwise forward it to the leader."""
        try:
            self._command(request)
        except InvalidRequestError as error:
            return OperatorReply(status=error.status, body=_error(error.reason))
        controller = self._controller
        address = await controller.leader_address()
        if not address:
            return OperatorReply(status=503, body=_error("no leader with a quorum"))
        if address == controller.replica.me.address:
            return await self.apply(request)
        try:
            return await controller.forward(address, request)
        except PeerUnreachableError:
            return OperatorReply(status=503, body=_error("the leader does not answer"))

    async def apply(self, request: OperatorRequest) -> OperatorReply:
        """Apply a request on the leader."""
        try:
            command = self._command(request)
            return _reply_for(await self._controller.submit(command))
        except InvalidRequestError as error:
            return OperatorReply(status=error.status, body=_error(error.reason))
        except NoLeaderError as error:
            return OperatorReply(status=503, body=_error(str(error)))

    def _command(self, request: OperatorRequest) -> Command:
        """Parse a request into a command. Raises InvalidRequestError."""
        segments = request.path.strip("/").split("/")
        if segments == ["config", "replace"]:
            return ReplaceConfiguration(_base_generation(request), request.body)
        if segments == ["config", "update"]:
            return UpdateConfiguration(_base_generation(request), request.body)
        if segments == ["config", "describe"]:
            return DescribeConfiguration()
        if len(segments) == 3 and segments[0] == RETIRE and segments[2] == START:
            return StartRetirement(segments[1], self._controller.min_storage_machines())
        if len(segments) == 3 and segments[0] == RETIRE and segments[2] == DESCRIBE:
            return DescribeRetirement(segments[1])
        raise InvalidRequestError(404, "no such order")


async def _handle_http_request(http_request: Request[Any, Any, Any]) -> Response[bytes]:
    operator_api: OperatorApi = http_request.app.state.operator_api
    request = OperatorRequest(
        method=http_request.method,
        path=http_request.url.path,
        base_revision=http_request.headers.get(BASE_HEADER, "0"),
        body=await http_request.body() if http_request.method == "POST" else b"",
    )
    reply = await operator_api.handle(request)
    return Response(reply.body, status_code=reply.status, media_type=MediaType.JSON)


@post("/config/replace")
async def replace_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Replace the whole configuration."""
    return await _handle_http_request(request)


@post("/config/update")
async def update_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Upsert and remove named items of the configuration."""
    return await _handle_http_request(request)


@get("/config/describe")
async def describe_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Return the current configuration."""
    return await _handle_http_request(request)


@post("/retire/{node:str}/start")
async def start_retirement(request: Request[Any, Any, Any], node: str) -> Response[bytes]:  # noqa: ARG001 - path parameter
    """Drain a storage machine."""
    return await _handle_http_request(request)


@get("/retire/{node:str}/describe")
async def describe_retirement(request: Request[Any, Any, Any], node: str) -> Response[bytes]:  # noqa: ARG001 - path parameter
    """Return the progress of a storage machine's retirement."""
    return await _handle_http_request(request)


@get("/status")
async def status(request: Request[Any, Any, Any]) -> dict[str, object]:
    """Return the status of the system as this controller sees it, for operators and tools."""
    controller: Controller = request.app.state.controller
    return controller.status()


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, since the process has its own."""
        yield


def make_server(controller: Controller, address: Address) -> uvicorn.Server:
    """Return the HTTP server of a controller, to be run on the event loop of the process."""
    handlers = [
        replace_configuration,
        update_configuration,
        describe_configuration,
        start_retirement,
        describe_retirement,
        status,
    ]
    app = Litestar(
        route_handlers=handlers,
        openapi_config=None,
        logging_config=None,
        request_max_body_size=MAX_BODY_BYTES,
    )
    app.state.operator_api = OperatorApi(controller)
    app.state.controller = controller
    config = uvicorn.Config(
        app,
        host=address.host,
        port=address.port,
        log_config=None,
        access_log=False,
        lifespan="off",
        http="h11",
        ws="none",
        loop="asyncio",
        timeout_graceful_shutdown=2,  # seconds
    )
    return _EmbeddedServer(config)
