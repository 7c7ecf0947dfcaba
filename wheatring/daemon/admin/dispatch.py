"""Routes operators' calls from method and path to an operation and its reply. Uses no sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol
from urllib.parse import unquote

ROOT = "control"  # the first segment of all paths
MAX_PLAN_BYTES = 262_144  # limit of the request body if the sidecar accepts plans
MAX_FORMAT_DIGITS = 3


class Operations(Protocol):
    """Carries out the calls. An operation that returns True has taken effect."""

    def is_ready(self) -> bool:
        """Return whether callers' connections are accepted."""

    def take_offline(self, endpoint: str) -> bool:
        """Stop sending new requests to an endpoint. False: there is no such endpoint."""

    def bring_online(self, endpoint: str) -> bool:
        """Resume sending requests to an endpoint. False: there is no such endpoint."""

    def take_out_of_service(self) -> bool:
        """Drain this sidecar. False: it must wait until other sidecars are back in service."""

    def return_to_service(self) -> bool:
        """End the drain of this sidecar."""

    def retry_seconds(self) -> float:
        """Return the seconds after which to retry a call that has not taken effect yet; 0 if unknown."""

    def roles_status(self) -> str | None:
        """Return the fleet's state as known to this sidecar, as JSON. None: there is no fleet."""

    def release_role(self, role: str) -> bool | None:
        """Release the lease of a role. False: it is not held here. None: there is no such role."""

    def plan_status(self) -> str | None:
        """Return the fleet's plan as known to this sidecar, as JSON. None: there is no plan."""

    def offer_plan(self, body: bytes) -> tuple[int, str]:
        """Offer a plan to the fleet; return the reply's status and line."""

    def set_format_floor(self, minimum: int) -> tuple[int, str]:
        """Set the lowest plan format that members must support; return the reply's status and line."""


class Reply(NamedTuple):
    """The reply to a call: the HTTP status and a one-line body."""

    status: int
    line: str
    allow: str = ""  # the allowed methods, with status 405


def dispatch(operations: Operations, method: bytes, target: bytes, body: bytes = b"") -> Reply:
    """Carry out a call. A malformed path is answered like an unknown one."""
    segments = target.partition(b"?")[0].decode("latin-1").split("/")
    match segments:
        case ["", root, "endpoints", endpoint, "offline"] if root == ROOT:
            return _call_endpoint(method, operations.take_offline, endpoint, "offline")
        case ["", root, "endpoints", endpoint, "online"] if root == ROOT:
            return _call_endpoint(method, operations.bring_online, endpoint, "online")
        case ["", root, "duties"] if root == ROOT:
            return _show_roles(operations, method)
        case ["", root, "duties", role, "release"] if root == ROOT:
            return _release_role(operations, method, role)
        case ["", root, "plan"] if root == ROOT:
            return _call_plan(operations, method, body)
        case ["", root, "plan", "floor", minimum] if root == ROOT:
            return _set_format_floor(operations, method, minimum)
        case ["", root, name] if root == ROOT:
            return _call_sidecar(operations, method, name)
    return Reply(404, "no such call")


def _call_sidecar(operations: Operations, method: bytes, name: str) -> Reply:
    calls: dict[str, tuple[bytes, Callable[[], bool]]] = {
        "ready": (b"GET", operations.is_ready),
        "out-of-service": (b"POST", operations.take_out_of_service),
        "in-service": (b"POST", operations.return_to_service),
    }
    if name not in calls:
        return Reply(404, "no such call")
    expected, call = calls[name]
    if method != expected:
        return Reply(405, f"{name} takes {expected.decode()}", expected.decode())
    if call():
        return Reply(200, name)
    seconds = operations.retry_seconds()
    return Reply(503, f"not {name} yet" + (f", ask again in {seconds:.0f} s" if seconds else ""))


def _show_roles(operations: Operations, method: bytes) -> Reply:
    if method != b"GET":
        return Reply(405, "duties takes GET", "GET")
    status = operations.roles_status()
    return Reply(200, status) if status is not None else Reply(404, "no fleet")


def _call_plan(operations: Operations, method: bytes, body: bytes) -> Reply:
    status = operations.plan_status()
    if status is None:
        return Reply(404, "no plan")
    if method == b"POST":
        return Reply(*operations.offer_plan(body))
    return Reply(200, status) if method == b"GET" else Reply(405, "plan takes GET and POST", "GET, POST")


def _set_format_floor(operations: Operations, method: bytes, minimum: str) -> Reply:
    if operations.plan_status() is None:
        return Reply(404, "no plan")
    if method != b"POST":
        return Reply(405, "floor takes POST", "POST")
    if not minimum.isdecimal() or len(minimum) > MAX_FORMAT_DIGITS:
        return Reply(400, "a format is a whole number")
    return Reply(*operations.set_format_floor(int(minimum)))


def _release_role(operations: Operations, method: bytes, quoted: str) -> Reply:
    if method != b"POST":
        return Reply(405, "release takes POST", "POST")
    is_released = operations.release_role(unquote(quoted))
    if is_released is None:
        return Reply(404, "no such duty")
    return Reply(200, "released") if is_released else Reply(503, "not held here")


def _call_endpoint(method: bytes, call: Callable[[str], bool], quoted: str, name: str) -> Reply:
    if method != b"POST":
        return Reply(405, f"{name} takes POST", "POST")
    return Reply(200, name) if call(unquote(quoted)) else Reply(404, "no endpoint has this id")
