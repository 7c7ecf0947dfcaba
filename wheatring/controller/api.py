"""The operator's API over HTTP. Any controller takes an order; the leader applies it."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator
from typing import Any

import uvicorn
from litestar import Litestar, MediaType, Request, Response, get, post

from wheatring.boot_settings.settings import Address
from wheatring.controller.commands import (
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
from wheatring.controller.exceptions import InvalidRequestError, NoLeaderError
from wheatring.controller.node import Controller
from wheatring.transport.client import Unreachable
from wheatring.transport.messages_pb2 import OperatorReply, OperatorRequest

BASE_HEADER = "Wheatring-Base-Revision"
MAX_BODY_BYTES = 16 * 1024 * 1024
RETIRE, START, DESCRIBE = "retire", "start", "describe"


def _error(reason: str) -> bytes:
    return json.dumps({"error": reason}).encode()


def _reply(outcome: Outcome) -> OperatorReply:
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


def _base_of(request: OperatorRequest) -> int:
    """The version that a change builds on. Raises InvalidRequestError."""
    if not request.base_revision.isdigit():
        raise InvalidRequestError(400, f"{BASE_HEADER} must be a whole number")
    return int(request.base_revision)


class OperatorApi:
    """Turns the operator's orders into commands, here or at the leader."""

    def __init__(self, controller: Controller) -> None:
        self._controller = controller
        controller.on_order = self.apply  # type: ignore[method-assign]

    async def take(self, request: OperatorRequest) -> OperatorReply:
        """An order has come from outside."""
        try:
            self._command(request)
        except InvalidRequestError as bad:
            return OperatorReply(status=bad.status, body=_error(bad.reason))
        controller = self._controller
        address = await controller.leader_address()
        if not address:
            return OperatorReply(status=503, body=_error("no leader with a quorum"))
        if address == controller.replica.me.address:
            return await self.apply(request)
        try:
            return await controller.forward(address, request)
        except Unreachable:
            return OperatorReply(status=503, body=_error("the leader does not answer"))

    async def apply(self, request: OperatorRequest) -> OperatorReply:
        """Apply an order as the leader."""
        try:
            command = self._command(request)
            return _reply(await self._controller.submit(command))
        except InvalidRequestError as bad:
            return OperatorReply(status=bad.status, body=_error(bad.reason))
        except NoLeaderError as error:
            return OperatorReply(status=503, body=_error(str(error)))

    def _command(self, request: OperatorRequest) -> Command:
        parts = request.path.strip("/").split("/")
        if parts == ["config", "replace"]:
            return ReplaceConfiguration(_base_of(request), request.body)
        if parts == ["config", "update"]:
            return UpdateConfiguration(_base_of(request), request.body)
        if parts == ["config", "describe"]:
            return DescribeConfiguration()
        if len(parts) == 3 and parts[0] == RETIRE and parts[2] == START:
            return StartRetirement(parts[1], self._controller.retirement_needs())
        if len(parts) == 3 and parts[0] == RETIRE and parts[2] == DESCRIBE:
            return DescribeRetirement(parts[1])
        raise InvalidRequestError(404, "no such order")


async def _order(request: Request[Any, Any, Any]) -> Response[bytes]:
    orders: OperatorApi = request.app.state.orders
    order = OperatorRequest(
        method=request.method,
        path=request.url.path,
        base_revision=request.headers.get(BASE_HEADER, "0"),
        body=await request.body() if request.method == "POST" else b"",
    )
    reply = await orders.take(order)
    return Response(reply.body, status_code=reply.status, media_type=MediaType.JSON)


@post("/config/replace")
async def replace_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Put a whole configuration in place."""
    return await _order(request)


@post("/config/update")
async def update_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Set and remove named items of the configuration."""
    return await _order(request)


@get("/config/describe")
async def describe_configuration(request: Request[Any, Any, Any]) -> Response[bytes]:
    """The newest configuration."""
    return await _order(request)


@post("/retire/{node:str}/start")
async def start_retirement(request: Request[Any, Any, Any], node: str) -> Response[bytes]:
    """Have a storage machine emptied."""
    return await _order(request)


@get("/retire/{node:str}/describe")
async def describe_retirement(request: Request[Any, Any, Any], node: str) -> Response[bytes]:
    """How far that is."""
    return await _order(request)


@get("/status")
async def status(request: Request[Any, Any, Any]) -> dict[str, object]:
    """This controller's own view, for people and tools."""
    controller: Controller = request.app.state.controller
    return controller.status()


class _Server(uvicorn.Server):
    """Leaves the signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """The process has handlers of its own."""
        yield


def make_server(controller: Controller, address: Address) -> uvicorn.Server:
    """The HTTP server of one controller, to be run inside the process's event loop."""
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
    app.state.orders = OperatorApi(controller)
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
        timeout_graceful_shutdown=2,
    )
    return _Server(config)
