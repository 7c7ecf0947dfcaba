"""Records the balancer's inputs and decisions as lines. Replay generates its lines with the same code.

    h NAME seed=SEED                                     the process started
    s OFFSET SETTINGS                                    Unix time minus the balancer's time, and settings
    v MS NOW KIND VERSION ENTRY...                       an endpoint list from discovery
    r MS NOW NUMBER ID CLASS LEFT REPEAT                 a request, with the balancer's number for it
    o MS NOW NUMBER ATTEMPT OUTCOME NODE LATENCY CLOSED REPORT    an attempt ended
    g MS NOW NUMBER                                      a caller abandoned its request
    m MS NOW NUMBER                                      a request can't be retried any more
    t MS NOW TOKEN                                       a timer is due
    d MS ID CLASS LEFT-MS CANDIDATE... CHOSEN ACTION     a decision on a request
    a ACTION                                             any other action
    c ERROR                                              the balancer raised an error on the previous event
    x BYTES                                              a line was left out, as it exceeds a file's size

MS is Unix time for human readers, NOW the exact time of the balancer's clock. A CANDIDATE is
ID:BUSY/IDLE/REPORT. Words are quoted as in URLs; the empty word is `-`.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple
from urllib.parse import quote

from wheatring.balancer import interface as i
from wheatring.balancer.balancer import Balancer

REPORT_FIELDS = ("in_flight", "queue", "utilization", "latency", "rate", "error_rate")


def quote_token(text: str) -> str:
    """Return a text as one word of a line: quoted as in URLs; `-` if it is empty."""
    return "%2D" if text == "-" else quote(text, safe="", errors="surrogatepass") or "-"


def _format_number(value: float | None) -> str:
    return "-" if value is None else repr(value)


def _format_entry(entry: i.EndpointEntry) -> str:
    words = (
        quote_token(entry.endpoint),
        entry.state.value,
        quote_token(entry.zone),
        quote_token(entry.machine_type),
    )
    reinstated = ("owed",) if entry.is_reinstated else ()
    return ",".join(
        (*words, f"{entry.cell}", _format_number(entry.rating), _format_number(entry.started_at), *reinstated)
    )


def _format_report(report: i.LoadReport | None) -> str:
    return (
        "-" if report is None else ",".join(_format_number(getattr(report, name)) for name in REPORT_FIELDS)
    )


class _RecordedRequest(NamedTuple):
    request_id: str
    class_name: str
    deadline: float


class Recorder:
    """Wraps the balancer for its driver, and records all events and actions.

    `request_id` returns a request's id for its number, `idle_count` the number of idle connections to an
    endpoint.
    """

    def __init__(
        self,
        balancer: Balancer,
        offset: float,
        write: Callable[[str], None],
        request_id: Callable[[int], str],
        idle_count: Callable[[str], object],
    ) -> None:
        self.balancer = balancer
        self.offset = offset
        self.write = write
        self.request_id = request_id
        self.idle_count = idle_count
        self.requests: dict[int, _RecordedRequest] = {}  # by number, while the balancer tracks them

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Forward an event to the balancer, and record it and the resulting actions."""
        ms = round((now + self.offset) * 1000)
        self.write(self.format_event(f"{ms} {now!r}", event))
        if isinstance(event, i.NewRequest):
            deadline = now + event.time_remaining
            self.requests[event.request] = _RecordedRequest(
                self.request_id(event.request), event.class_name, deadline
            )
        number = getattr(event, "request", 0)
        try:
            actions = self.balancer.handle(now, event)
        except Exception as error:
            self.write(f"c {type(error).__name__}")
            raise
        for action in actions:
            action_request = getattr(action, "request", number)
            recorded = self.requests.get(action_request)
            if recorded is None:
                self.write(f"a {self.format_action(action)}")
            else:
                left_ms = max(0, round((recorded.deadline - now) * 1000))
                candidates, chosen = "", "-"
                if isinstance(action, i.Send):
                    candidates = "".join(map(self.format_candidate, action.candidates))
                    chosen = quote_token(action.endpoint)
                prefix = (
                    f"{ms} {quote_token(recorded.request_id)} {quote_token(recorded.class_name)} {left_ms}"
                )
                self.write(f"d {prefix}{candidates} {chosen} {self.format_action(action)}")
            if action_request not in self.balancer.requests:
                self.requests.pop(action_request, None)
        if number not in self.balancer.requests:
            self.requests.pop(number, None)
        return actions

    def format_candidate(self, candidate: i.Candidate) -> str:
        """Return a candidate as part of a decision's line."""
        report = _format_number(candidate.reported)
        return (
            f" {quote_token(candidate.endpoint)}:{candidate.in_flight}"
            f"/{self.idle_count(candidate.endpoint)}/{report}"
        )

    def format_event(self, when: str, event: i.Event) -> str:
        """Return the line of an event."""
        match event:
            case i.NewRequest(number, name, left):
                prefix = f"{number} {quote_token(self.request_id(number))} {quote_token(name)}"
                return f"r {when} {prefix} {left!r} {event.is_client_retry:d}"
            case i.AttemptEnded(number, attempt, outcome, node, latency, closed, report):
                prefix = f"{number} {attempt} {outcome.value} {quote_token(node)} {latency!r} {closed:d}"
                return f"o {when} {prefix} {_format_report(report)}"
            case i.RequestAbandoned(number):
                return f"g {when} {number}"
            case i.Committed(number):
                return f"m {when} {number}"
            case i.TimerDue(token):
                return f"t {when} {token}"
            case i.View(kind, entries, version):
                return " ".join((f"v {when} {kind.value} {version}", *map(_format_entry, entries)))
        return "x 0"  # probes and peer messages, which the sidecar does not use

    def format_action(self, action: i.Action) -> str:
        """Return an action as part of a line."""
        match action:
            case i.Send(_, _, timeout):
                return f"send {timeout!r}"
            case i.Reject(_, retry_after):
                return f"refuse {retry_after!r}"
            case i.Fail():
                return "fail"
            case i.SetTimer(token, delay):
                return f"timer {token} {delay!r}"
            case i.Subscribe(on):
                return f"Subscribe {on}"
        return " ".join(quote_token(str(part)) for part in (type(action).__name__, *_values(action)))


def _values(action: i.Action) -> list[object]:
    return [getattr(action, name) for name in action.__slots__]


def header(name: str, seed: int, offset: float, settings: Mapping[str, Any]) -> tuple[str, str]:
    """Return the two lines that begin the record of a process's start."""
    return f"h {quote_token(name)} seed={seed:016x}", f"s {offset!r} {json.dumps(settings)}"
