"""Faults (mutations) that are planted in the sidecar's code one at a time, to test that the lab detects them.

Each replaces one piece of the source of one function. If the source does not contain that piece exactly once,
planting raises `FaultMismatchError`, as a run without the fault would prove nothing.
"""

from __future__ import annotations

import ast
import importlib
import inspect
import textwrap
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple


class Fault(NamedTuple):
    """One replacement in the source of one function.

    Attributes
    ----------
    name
        The name of the fault in commands and reports.
    what
        The faulty behaviour.
    where
        The function, as MODULE:CLASS.FUNCTION or MODULE:FUNCTION.
    old, new
        The piece of source that is replaced, and its replacement.
    scenario
        A scenario in which the fault can be detected.
    grains
        The grains at which the fault can be detected.
    """

    name: str
    what: str
    where: str
    old: str
    new: str
    scenario: str
    grains: tuple[str, ...] = ("wire", "exchange")


WIRE_ONLY = ("wire",)  # for code that only the wire grain runs

FAULTS = (
    Fault(
        "written-when-over",
        "a connection established late sends its attempt although the request is over",
        "wheatring.daemon.http1.connection_pool:_NewConnection.connectionMade",
        "if self.first_attempt.may_be_sent and self.pool.exchange.check_in_time(self.first_attempt):",
        "if True:",
        "faults",
        WIRE_ONLY,
    ),
    Fault(
        "kept-unclean",
        "a connection with unread or unsent bytes is reused for the next attempt",
        "wheatring.daemon.http1.endpoint_connection:EndpointConnection.keep_or_close",
        "if not self.is_flushed or self.parser.has_partial_message:",
        "if False:",
        "faults",
        WIRE_ONLY,
    ),
    Fault(
        "drain-ignored",
        "a draining node still gets new requests",
        "wheatring.balancer.endpoint_pool:EndpointPool.update",
        "if entry.state is not EndpointState.READY:",
        "if entry.state is EndpointState.GONE:",
        "faults",
    ),
    Fault(
        "answer-lost",
        "a request is not notified that its attempt has timed out",
        "wheatring.daemon.core.exchange:Exchange._time_out",
        "self._stop_attempt(attempt, outcome)",
        "pass",
        "faults",
    ),
    Fault(
        "timer-kept",
        "the overdue timer of a request is not cancelled when the request is answered",
        "wheatring.daemon.core.exchange:Exchange._finish",
        "request.overdue_timer.cancel()",
        "pass",
        "faults",
    ),
    Fault(
        "unsafe-repeated",
        "a non-idempotent request that may have run is retried",
        "wheatring.balancer.active_request:ActiveRequest.repeatable_until",
        "if idempotency is IDEMPOTENT:",
        "if True:",
        "faults",
    ),
    Fault(
        "reset-never-ran",
        "a reset after the request's last byte is treated as proof that the attempt has not run",
        "wheatring.daemon.http1.endpoint_connection:EndpointConnection.fail_attempt",
        "Outcome.RESET if self.is_flushed else Outcome.CONNECT_FAILED",
        "Outcome.CONNECT_FAILED",
        "faults",
        WIRE_ONLY,
    ),
    Fault(
        "cold-as-warm",
        "a node gets its full share of requests without slow start",
        "wheatring.balancer.slow_start:SlowStart.capacity",
        "if started_at <= 0 or age >= contract.warm_up:",
        "if True:",
        "faults",
    ),
    Fault(
        "caller-kept",
        "the request of a caller that has disconnected is not ended",
        "wheatring.daemon.core.exchange:Exchange.withdraw",
        "self._finish(request)",
        "pass",
        "faults",
    ),
    Fault(
        "half-answer-served",
        "an answer shorter than its declared length is forwarded as complete",
        "wheatring.common.http_parser:MessageParser.end_of_input",
        "if self.state is not _UNTIL_CLOSE:",
        "if self.message is None:",
        "faults",
        WIRE_ONLY,
    ),
    Fault(
        "watch-not-renewed",
        "a watch that has failed is not started again",
        "wheatring.daemon.http1.endpoint_list:EndpointList.cancel_watch",
        "self.is_watching = False",
        'self.is_watching = code == "watch-failed"',
        "faults",
    ),
    Fault(
        "closed-with-jobs",
        "a stopping sidecar closes connections of callers that wait for answers",
        "wheatring.daemon.http1.server:Server.close_unanswered",
        "case CallerState.RESTING:",
        'case CallerState.BUSY:\n                connection.close("stopping")\n'
        "            case CallerState.RESTING:",
        "faults",
        WIRE_ONLY,
    ),
)


class FaultMismatchError(ValueError):
    """The fault can't be planted, as the source of the function has changed."""


@contextmanager
def planted(fault: Fault) -> Iterator[None]:
    """Plant a fault in the sidecar's code, in this process, until the end of the block.

    Raises
    ------
    FaultMismatchError
        If the function's source doesn't contain the piece to replace exactly once.
    """
    module_name, _, path = fault.where.partition(":")
    owner: Any = importlib.import_module(module_name)
    scope = vars(owner)
    *outer, name = path.split(".")
    for part in outer:
        owner = getattr(owner, part)
    before = vars(owner)[name]
    setattr(owner, name, _changed(fault, before, scope))
    try:
        yield
    finally:
        setattr(owner, name, before)


def _changed(fault: Fault, function: Any, scope: dict[str, Any]) -> Any:
    text = textwrap.dedent(inspect.getsource(function))
    if text.count(fault.old) != 1:
        raise FaultMismatchError(f"{fault.name}: {fault.where} does not contain {fault.old!r} exactly once")
    changed = text.replace(fault.old, fault.new)
    ast.parse(changed)
    namespace: dict[str, Any] = {}
    exec(compile(changed, f"<fault {fault.name}>", "exec"), scope, namespace)
    (result,) = namespace.values()
    if function.__closure__ is not None:  # it calls super(), which needs the cell with the class
        result = type(result)(
            _with_class(changed, fault), scope, result.__name__, result.__defaults__, function.__closure__
        )
    return result


def _with_class(text: str, fault: Fault) -> Any:
    """Return the function's code object compiled inside a class, with the cell that `super()` needs."""
    body = "class _C:\n" + textwrap.indent(text, "    ")
    module = compile(body, f"<fault {fault.name}>", "exec")
    inner = next(c for c in module.co_consts if inspect.iscode(c))
    return next(c for c in inner.co_consts if inspect.iscode(c))
