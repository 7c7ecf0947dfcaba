"""What the decision module sees and decides, as lines. Replay makes the same lines with the same code.

    h NAME seed=SEED                                     a start
    s OFFSET SETTINGS                                    Unix time less the module's clock, and its settings
    v MS NOW KIND VERSION ENTRY...                       a list of discovery's
    r MS NOW NUMBER ID CLASS LEFT REPEAT                 a request, its number as the module knows it
    o MS NOW NUMBER ATTEMPT OUTCOME NODE LATENCY CLOSED REPORT    an attempt has ended
    g MS NOW NUMBER                                      a caller has gone
    m MS NOW NUMBER                                      a request can't be sent again
    t MS NOW TOKEN                                       a timer is due
    d MS ID CLASS LEFT-MS CANDIDATE... CHOSEN ACTION     a decision on a request
    a ACTION                                             any other action
    c ERROR                                              the module broke on what came before
    x BYTES                                              a line was left out: no file could hold it

MS is Unix time for readers, NOW the exact instant of the module's clock. A CANDIDATE is ID:BUSY/IDLE/REPORT.
Words are quoted as in URLs; an empty one is `-`.
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
    """Return a text as one word of a line: quoted as in URLs; an empty one is `-`."""
    return "%2D" if text == "-" else quote(text, safe="", errors="surrogatepass") or "-"


def _number(value: float | None) -> str:
    return "-" if value is None else repr(value)


def _entry(entry: i.EndpointEntry) -> str:
    words = (
        quote_token(entry.endpoint),
        entry.state.value,
        quote_token(entry.zone),
        quote_token(entry.machine_type),
    )
    owed = ("owed",) if entry.is_reinstated else ()
    return ",".join((*words, f"{entry.cell}", _number(entry.rating), _number(entry.started_at), *owed))


def _report(report: i.LoadReport | None) -> str:
    return "-" if report is None else ",".join(_number(getattr(report, name)) for name in REPORT_FIELDS)


class _RecordedRequest(NamedTuple):
    ident: str
    class_name: str
    deadline: float


class Recorder:
    """Stands in for the balancer before its driver, and writes what passes.

    `ident` gives a request's id by its number, `idle` how many connections to an endpoint are idle.
    """

    def __init__(
        self,
        balancer: Balancer,
        offset: float,
        write: Callable[[str], None],
        ident: Callable[[int], str],
        idle: Callable[[str], object],
    ) -> None:
        self.balancer = balancer
        self.offset = offset
        self.write = write
        self.ident = ident
        self.idle = idle
        self.requests: dict[int, _RecordedRequest] = {}  # as long as the module knows them

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Pass an event on to the balancer, and write it and its actions."""
        ms = round((now + self.offset) * 1000)
        self.write(self.event(f"{ms} {now!r}", event))
        if isinstance(event, i.NewRequest):
            deadline = now + event.time_remaining
            self.requests[event.request] = _RecordedRequest(
                self.ident(event.request), event.class_name, deadline
            )
        number = getattr(event, "request", 0)
        try:
            actions = self.balancer.handle(now, event)
        except Exception as bug:
            self.write(f"c {type(bug).__name__}")
            raise
        for action in actions:
            of = getattr(action, "request", number)
            asked = self.requests.get(of)
            if asked is None:
                self.write(f"a {self.action(action)}")
            else:
                left = max(0, round((asked.deadline - now) * 1000))
                candidates, chosen = "", "-"
                if isinstance(action, i.Send):
                    candidates = "".join(map(self.candidate, action.candidates))
                    chosen = quote_token(action.endpoint)
                about = f"{ms} {quote_token(asked.ident)} {quote_token(asked.class_name)} {left}"
                self.write(f"d {about}{candidates} {chosen} {self.action(action)}")
            if of not in self.balancer.requests:
                self.requests.pop(of, None)
        if number not in self.balancer.requests:
            self.requests.pop(number, None)
        return actions

    def candidate(self, drawn: i.Candidate) -> str:
        """Return a candidate as a line tells it."""
        report = _number(drawn.reported)
        return f" {quote_token(drawn.endpoint)}:{drawn.in_flight}/{self.idle(drawn.endpoint)}/{report}"

    def event(self, when: str, event: i.Event) -> str:
        """Return the line of an event."""
        match event:
            case i.NewRequest(number, name, left):
                about = f"{number} {quote_token(self.ident(number))} {quote_token(name)}"
                return f"r {when} {about} {left!r} {event.is_client_retry:d}"
            case i.AttemptEnded(number, attempt, outcome, node, latency, closed, report):
                about = f"{number} {attempt} {outcome.value} {quote_token(node)} {latency!r} {closed:d}"
                return f"o {when} {about} {_report(report)}"
            case i.RequestAbandoned(number):
                return f"g {when} {number}"
            case i.Committed(number):
                return f"m {when} {number}"
            case i.TimerDue(token):
                return f"t {when} {token}"
            case i.View(kind, entries, version):
                return " ".join((f"v {when} {kind.value} {version}", *map(_entry, entries)))
        return "x 0"  # probes and peers, which the sidecar has none of

    def action(self, action: i.Action) -> str:
        """Return an action as a line tells it."""
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
    """Return the two lines that begin the record of a start."""
    return f"h {quote_token(name)} seed={seed:016x}", f"s {offset!r} {json.dumps(settings)}"
