"""Faults to plant in the sidecar's own code, one at a time, to see that the lab finds them.

Each replaces one piece of one function's text. Where the text no longer holds that piece exactly once,
planting fails and says so: a fault that is not there proves nothing.
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
    """`where` is MODULE:CLASS.FUNCTION, or MODULE:FUNCTION; `scenario` one that can show it, at `grains`."""

    name: str
    what: str
    where: str
    old: str
    new: str
    scenario: str
    grains: tuple[str, ...] = ("wire", "exchange")


ON_SOCKETS = ("wire",)  # of code that the other grain does without

FAULTS = (
    Fault(
        "written-when-over",
        "a connect that comes up late writes its claim though the job is over",
        "wheatring.http1.connection_pool:_NewConnection.connectionMade",
        "if self.first_attempt.may_be_sent and self.pool.exchange.check_in_time(self.first_attempt):",
        "if True:",
        "faults",
        ON_SOCKETS,
    ),
    Fault(
        "kept-unclean",
        "a connection with bytes left on it is kept for the next claim",
        "wheatring.http1.endpoint_connection:EndpointConnection.keep_or_close",
        "if not self.is_flushed or self.parser.has_partial_message:",
        "if False:",
        "faults",
        ON_SOCKETS,
    ),
    Fault(
        "drain-ignored",
        "a node that drains goes on getting new work",
        "wheatring.balancer.endpoint_pool:EndpointPool.update",
        "if entry.state is not EndpointState.READY:",
        "if entry.state is EndpointState.GONE:",
        "faults",
    ),
    Fault(
        "answer-lost",
        "a job whose claim is given up for time is not told of it",
        "wheatring.core.exchange:Exchange._time_out",
        "self._stop_attempt(attempt, outcome)",
        "pass",
        "faults",
    ),
    Fault(
        "timer-kept",
        "the guard against overdue jobs is not called off when a job is answered",
        "wheatring.core.exchange:Exchange._finish",
        "request.overdue_timer.cancel()",
        "pass",
        "faults",
    ),
    Fault(
        "unsafe-repeated",
        "what may have run is sent again though that does harm",
        "wheatring.balancer.active_request:ActiveRequest.repeatable_until",
        "if idempotency is IDEMPOTENT:",
        "if True:",
        "faults",
    ),
    Fault(
        "reset-never-ran",
        "a connection that breaks after the request's last byte counts as proof that nothing ran",
        "wheatring.http1.endpoint_connection:EndpointConnection.fail_attempt",
        "Outcome.RESET if self.is_flushed else Outcome.CONNECT_FAILED",
        "Outcome.CONNECT_FAILED",
        "faults",
        ON_SOCKETS,
    ),
    Fault(
        "cold-as-warm",
        "a cold node gets its even share at once",
        "wheatring.balancer.slow_start:SlowStart.capacity",
        "if started_at <= 0 or age >= contract.warm_up:",
        "if True:",
        "faults",
    ),
    Fault(
        "caller-kept",
        "the job of a caller that has left stays open",
        "wheatring.core.exchange:Exchange.withdraw",
        "self._finish(request)",
        "pass",
        "faults",
    ),
    Fault(
        "half-answer-served",
        "an answer that ends before its length is passed on as whole",
        "wheatring.http1.parser:MessageParser.end_of_input",
        "if self.state is not _UNTIL_CLOSE:",
        "if self.message is None:",
        "faults",
        ON_SOCKETS,
    ),
    Fault(
        "watch-not-renewed",
        "a watch that has failed is not begun again",
        "wheatring.http1.endpoint_list:EndpointList.read_answer",
        "self.on_view(View(ViewKind.FAILED))",
        "pass",
        "faults",
    ),
    Fault(
        "closed-with-jobs",
        "told to stop, it closes connections whose callers wait for answers",
        "wheatring.http1.server:Server.close_unanswered",
        "continue",
        'connection.close("stopping")',
        "faults",
        ON_SOCKETS,
    ),
)


class FaultMismatchError(ValueError):
    """The code has changed: the fault can't be planted as it stands."""


@contextmanager
def planted(fault: Fault) -> Iterator[None]:
    """The sidecar's code with this fault in it, in this process, until the end of the block."""
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
        raise FaultMismatchError(f"{fault.name}: {fault.where} no longer holds {fault.old!r} once")
    changed = text.replace(fault.old, fault.new)
    ast.parse(changed)
    made: dict[str, Any] = {}
    exec(compile(changed, f"<fault {fault.name}>", "exec"), scope, made)
    (result,) = made.values()
    if function.__closure__ is not None:  # it says super(): give it the class that it knew
        result = type(result)(
            _with_class(changed, fault), scope, result.__name__, result.__defaults__, function.__closure__
        )
    return result


def _with_class(text: str, fault: Fault) -> Any:
    """The code of the function as compiled inside a class, with the cell that `super()` needs."""
    body = "class _C:\n" + textwrap.indent(text, "    ")
    module = compile(body, f"<fault {fault.name}>", "exec")
    inner = next(c for c in module.co_consts if inspect.iscode(c))
    return next(c for c in inner.co_consts if inspect.iscode(c))
