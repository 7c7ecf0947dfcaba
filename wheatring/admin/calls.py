"""The table of the operators' calls: method and path in, status and one line out. It knows no sockets."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol
from urllib.parse import unquote

ROOT = "control"
PLAN = 262_144  # bytes of a plan, where there is one to offer


class Desk(Protocol):
    """Carries out what is called. True: it is in force."""

    def ready(self) -> bool: ...

    def offline(self, node: str) -> bool:
        """False: nobody has that id."""

    def online(self, node: str) -> bool:
        """False: nobody has that id."""

    def out_of_service(self) -> bool: ...

    def in_service(self) -> bool: ...

    def wait(self) -> float:
        """Seconds after which it is worth to ask again for what is not in force yet; 0: not told."""

    def duties(self) -> str | None:
        """The fleet as this sidecar knows it, as JSON. None: it has none."""

    def release(self, duty: str) -> bool | None:
        """Give a duty back. False: it is not held here. None: there is no such duty."""

    def plan(self) -> str | None:
        """The fleet's plan as this sidecar knows it, as JSON. None: it has none."""

    def offer(self, body: bytes) -> tuple[int, str]:
        """Offer a plan to the fleet: the answer's status, and its line."""

    def floor(self, least: int) -> tuple[int, str]:
        """Raise or lower the least format that members have to read."""


class Said(NamedTuple):
    """What a call is answered."""

    status: int
    line: str
    allow: str = ""  # of a 405: the method that there is


def answer(desk: Desk, method: bytes, target: bytes, body: bytes = b"") -> Said:
    """Carry a call out. An unreadable path is one that there is not."""
    words = target.partition(b"?")[0].decode("latin-1").split("/")
    match words:
        case ["", root, "endpoints", node, "offline"] if root == ROOT:
            return _endpoint(method, desk.offline, node, "offline")
        case ["", root, "endpoints", node, "online"] if root == ROOT:
            return _endpoint(method, desk.online, node, "online")
        case ["", root, "duties"] if root == ROOT:
            return _duties(desk, method)
        case ["", root, "duties", duty, "release"] if root == ROOT:
            return _release(desk, method, duty)
        case ["", root, "plan"] if root == ROOT:
            return _plan(desk, method, body)
        case ["", root, "plan", "floor", least] if root == ROOT:
            return _floor(desk, method, least)
        case ["", root, word] if root == ROOT:
            return _whole(desk, method, word)
    return Said(404, "no such call")


def _whole(desk: Desk, method: bytes, word: str) -> Said:
    calls: dict[str, tuple[bytes, Callable[[], bool]]] = {
        "ready": (b"GET", desk.ready),
        "out-of-service": (b"POST", desk.out_of_service),
        "in-service": (b"POST", desk.in_service),
    }
    if word not in calls:
        return Said(404, "no such call")
    wanted, call = calls[word]
    if method != wanted:
        return Said(405, f"{word} takes {wanted.decode()}", wanted.decode())
    if call():
        return Said(200, word)
    wait = desk.wait()
    return Said(503, f"not {word} yet" + (f", ask again in {wait:.0f} s" if wait else ""))


def _duties(desk: Desk, method: bytes) -> Said:
    if method != b"GET":
        return Said(405, "duties takes GET", "GET")
    seen = desk.duties()
    return Said(200, seen) if seen is not None else Said(404, "no fleet")


def _plan(desk: Desk, method: bytes, body: bytes) -> Said:
    seen = desk.plan()
    if seen is None:
        return Said(404, "no plan")
    if method == b"POST":
        return Said(*desk.offer(body))
    return Said(200, seen) if method == b"GET" else Said(405, "plan takes GET and POST", "GET, POST")


def _floor(desk: Desk, method: bytes, least: str) -> Said:
    if desk.plan() is None:
        return Said(404, "no plan")
    if method != b"POST":
        return Said(405, "floor takes POST", "POST")
    if not least.isdecimal() or len(least) > 3:
        return Said(400, "a format is a whole number")
    return Said(*desk.floor(int(least)))


def _release(desk: Desk, method: bytes, quoted: str) -> Said:
    if method != b"POST":
        return Said(405, "release takes POST", "POST")
    done = desk.release(unquote(quoted))
    if done is None:
        return Said(404, "no such duty")
    return Said(200, "released") if done else Said(503, "not held here")


def _endpoint(method: bytes, call: Callable[[str], bool], quoted: str, word: str) -> Said:
    if method != b"POST":
        return Said(405, f"{word} takes POST", "POST")
    return Said(200, word) if call(unquote(quoted)) else Said(404, "no endpoint has this id")
