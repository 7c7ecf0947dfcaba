"""Parses and formats the simulator's lines: one event or action each, in fields separated by spaces.

`-` stands for a missing value. Times are in whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from wheatring.balancer.actions import (
    Action,
    Cancel,
    CheckHealth,
    CloseIdle,
    Fail,
    FetchEndpointList,
    Log,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    Subscribe,
)
from wheatring.balancer.endpoint_list import EndpointEntry, EndpointState, ViewKind
from wheatring.balancer.events import (
    AttemptEnded,
    Committed,
    Event,
    HealthCheckEnded,
    NewRequest,
    PeerMessage,
    RequestAbandoned,
    TimerDue,
)
from wheatring.balancer.exceptions import WireFormatError
from wheatring.balancer.outcomes import LoadReport, Outcome
from wheatring.balancer.settings_reader import MICROSECONDS_PER_SECOND, REPORT_FIELDS, read_bool

OUTCOMES = {
    "GOOD": Outcome.SERVED,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.REJECTED,
    "LATE": Outcome.TIMED_OUT,
    "NOCONN": Outcome.CONNECT_FAILED,
    "RST": Outcome.RESET,
    "CXL": Outcome.CANCELLED,
    "NOP": Outcome.NOT_SENT,
}
ENDPOINT_STATES = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
VIEW_KINDS = {
    "INCREMENTAL": ViewKind.DELTA,
    "FULL": ViewKind.FULL,
    "SAVED": ViewKind.CACHED,
    "FAILED": ViewKind.FAILED,
}
HAS_WORK_HINT, IS_CLIENT_RETRY, IS_WRITE = 1, 2, 4  # bit flags of a new request


def _seconds(text: str) -> float:
    return int(text) / MICROSECONDS_PER_SECOND


def _microseconds(seconds: float) -> int:
    return round(seconds * MICROSECONDS_PER_SECOND)


def parse_load_report(text: str) -> LoadReport | None:
    """Parse an endpoint's load report from `name:value` pairs separated by commas."""
    if text == "-":
        return None
    report = LoadReport()
    for pair in text.split(","):
        name, separator, value = pair.partition(":")
        if not separator:
            raise WireFormatError(f"load report field without ':': {pair!r}")
        amount = float(value)
        if name == "lat_ms":
            report.latency = amount / 1000
        elif name in REPORT_FIELDS:
            setattr(report, REPORT_FIELDS[name], amount)
    return report


def parse_endpoint(fields: Sequence[str]) -> EndpointEntry:
    """Parse one line of an endpoint list."""
    keyword, endpoint, zone, machine_type, cell, state, rating, started = fields
    if keyword != "ITEM":
        raise WireFormatError(f"ITEM expected, not {keyword}")
    return EndpointEntry(
        endpoint=endpoint,
        state=ENDPOINT_STATES[state],
        zone="" if zone == "-" else zone,
        machine_type="" if machine_type == "-" else machine_type,
        cell=0 if cell == "-" else int(cell),
        rating=1.0 if rating == "-" else float(rating),
        started_at=0.0 if started == "-" else _seconds(started),
    )


def _parse_new_request(fields: Sequence[str]) -> Event:
    _, request, class_name, tenant, key, remaining, hint, flags_text = fields
    flags = 0 if flags_text == "-" else int(flags_text)
    return NewRequest(
        int(request),
        class_name,
        _seconds(remaining),
        None if tenant in ("-", "0") else tenant,
        None if key == "-" else int(key),
        None if hint == "-" or not flags & HAS_WORK_HINT else _seconds(hint),
        bool(flags & IS_CLIENT_RETRY),
        bool(flags & IS_WRITE),
    )


def _parse_attempt_ended(fields: Sequence[str]) -> Event:
    _, request, latency, attempt, is_over, outcome, endpoint, report = fields
    return AttemptEnded(
        request=int(request),
        attempt=int(attempt),
        outcome=OUTCOMES[outcome],
        endpoint=endpoint,
        latency=_seconds(latency),
        is_request_over=read_bool(is_over),
        report=parse_load_report(report),
    )


def _parse_committed(fields: Sequence[str]) -> Event:
    _, request, _, _, _ = fields
    return Committed(int(request))


def _parse_health_check_ended(fields: Sequence[str]) -> Event:
    _, endpoint, outcome, latency, report = fields
    return HealthCheckEnded(endpoint, OUTCOMES[outcome], _seconds(latency), parse_load_report(report))


def _parse_request_abandoned(fields: Sequence[str]) -> Event:
    _, request = fields
    return RequestAbandoned(int(request))


def _parse_timer_due(fields: Sequence[str]) -> Event:
    _, token = fields
    return TimerDue(int(token))


def _parse_peer_message(fields: Sequence[str]) -> Event:
    _, sender, data = fields
    return PeerMessage(int(sender), b"" if data == "-" else bytes.fromhex(data))


# Parsers of events by keyword. VIEW is not among them, as it refers to an endpoint list sent before.
EVENT_PARSERS: dict[str, Callable[[Sequence[str]], Event]] = {
    "NEW_REQUEST": _parse_new_request,
    "COMPLETED": _parse_attempt_ended,
    "STREAMING": _parse_committed,
    "PROBED": _parse_health_check_ended,
    "ABANDONED": _parse_request_abandoned,
    "TICK_DUE": _parse_timer_due,
    "HEARD": _parse_peer_message,
}


def format_action(action: Action) -> str:
    """Return the line for an action."""
    match action:
        case Send(request, endpoint, timeout):
            # 0 would mean no time-out, so a time-out that has already expired is sent as 1.
            return f"FORWARD {request} {endpoint} {max(1, _microseconds(timeout))}"
        case SetTimer(token, delay):
            return f"SET_TIMER {token} {max(0, _microseconds(delay))}"
        case Reject(request, retry_after):
            return f"DENY {request} {_microseconds(retry_after)}"
        case Fail(request):
            return f"FAIL {request}"
        case Cancel(request, attempt):
            return f"ABANDON {request} {attempt}"
        case Subscribe(on):
            return f"TRACK {int(on)}"
        case FetchEndpointList():
            return "PULL"
        case CheckHealth(endpoint):
            return f"SAMPLE {endpoint}"
        case CloseIdle(endpoint):
            return f"SHUT_IDLE {endpoint}"
        case SendPeerMessage(peer, data):
            return f"NOTIFY {'all' if peer is None else peer} {data.hex() or '-'}"
        case Log(text):
            return f"SAY_LOG {' '.join(text.split())}"
