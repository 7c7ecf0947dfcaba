"""The adapter between the bench's wire and the decision module. It translates and hosts; it decides nothing.

    python -m wheatring.balancer.simulator

reads batches of events on standard input and writes one reply to each on standard output. A batch that
cannot be read ends the process with one line on standard error and status 2.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TextIO, TypeVar

from wheatring.balancer import interface as i
from wheatring.balancer.balancer import Balancer

US = 1_000_000
T = TypeVar("T")

EFFECTS = {
    "pure": i.Idempotency.IDEMPOTENT,
    "token": i.Idempotency.KEYED,
    "side_effect": i.Idempotency.NOT_IDEMPOTENT,
}
OUTCOMES = {
    "GOOD": i.Outcome.SERVED,
    "BAD": i.Outcome.ERROR,
    "FULL": i.Outcome.REJECTED,
    "LATE": i.Outcome.TIMED_OUT,
    "NOCONN": i.Outcome.CONNECT_FAILED,
    "RST": i.Outcome.RESET,
    "CXL": i.Outcome.CANCELLED,
    "NOP": i.Outcome.NOT_SENT,
}
STATES = {
    "active": i.EndpointState.READY,
    "leaving": i.EndpointState.DRAINING,
    "left": i.EndpointState.GONE,
}
SCOPES = {
    "INCREMENTAL": i.ViewKind.DELTA,
    "FULL": i.ViewKind.FULL,
    "SAVED": i.ViewKind.CACHED,
    "FAILED": i.ViewKind.FAILED,
}
MUST_ASK = {"pushed": False, "on_request": True}
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queue",
    "busy": "utilization",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "error_rate",
}


class WireFormatError(ValueError):
    """A line that cannot be read, or settings that lack something needed."""


def _bool(text: str) -> bool:
    if text in ("1", "true"):
        return True
    if text in ("0", "false"):
        return False
    raise WireFormatError(f"not a bool: {text!r}")


def _list(text: str) -> tuple[str, ...]:
    return tuple(text.split(",")) if text else ()


def _fields(text: str) -> tuple[str, ...]:
    return tuple(REPORT_FIELDS[name] for name in _list(text) if name in REPORT_FIELDS)


def _seconds(text: str) -> float:
    return int(text) / US


class SettingPairs:
    """The path=value settings of one instance; unknown ones are left alone."""

    def __init__(self, pairs: Iterable[str]) -> None:
        self.values: dict[str, Any] = {}
        for pair in pairs:
            path, equals, value = pair.partition("=")
            if not equals:
                raise WireFormatError(f"a setting without '=': {pair!r}")
            self.values[path] = value

    def get(self, path: str, read: Callable[[str], T], default: T) -> T:
        return self.require(path, read) if path in self.values else default

    def require(self, path: str, read: Callable[[str], T]) -> T:
        if path not in self.values:
            raise WireFormatError(f"missing setting {path}")
        try:
            return read(self.as_text(self.values[path], read))
        except (ValueError, KeyError, OverflowError) as bad:
            raise WireFormatError(f"setting {path}: cannot read {describe_value(self.values[path])}") from bad

    def paths_below(self, path: str) -> list[str]:
        """The paths of all that stands there by names that are not known beforehand."""
        return [inner for inner in self.values if inner.startswith(f"{path}.")]

    def as_text(self, value: Any, read: Callable[[str], object]) -> str:
        """What is to be read."""
        return str(value)

    def count(self, path: str) -> int:
        return self.get(f"{path}.count", int, 0)


class JsonSettings(SettingPairs):
    """The same as JSON objects, whose values have types: none is taken for another. null: not there."""

    def __init__(self, given: object) -> None:
        self.values = {}
        left = [("", given)]
        while left:  # not by calls, which how deep it is nested could use up
            path, value = left.pop()
            inner: Iterable[tuple[object, object]] = ()
            if path:
                self.values[path] = value
            if isinstance(value, dict):
                inner = value.items()
            elif isinstance(value, list):
                self.values[f"{path}.count"] = len(value)
                inner = enumerate(value)
            left += [(f"{path}.{key}" if path else str(key), one) for key, one in inner if one is not None]

    def as_text(self, value: Any, read: Callable[[str], object]) -> str:
        form = FORMS.get(read, str)
        if form is list and isinstance(value, list) and all(isinstance(one, str) for one in value):
            value = ",".join(value)
        elif form is float and type(value) in (int, float) and abs(value) <= LARGEST:
            return str(value)
        elif form is int and type(value) in (int, float) and value == int(value) and abs(value) < 1 << 63:
            return str(int(value))
        elif form is bool and isinstance(value, bool):
            return str(value).lower()
        elif form is not str or not isinstance(value, str):
            raise ValueError
        value.encode()  # half of a pair of surrogates stands for nothing
        return str(value)

    def get(self, path: str, read: Callable[[str], T], default: T) -> T:
        if path not in self.values:
            self.paths_below(path.rpartition(".")[0])
        return super().get(path, read, default)

    def paths_below(self, path: str) -> list[str]:
        if not isinstance(self.values.get(path, {}), dict):
            raise WireFormatError(f"setting {path}: not an object: {describe_value(self.values[path])}")
        return super().paths_below(path)

    def count(self, path: str) -> int:
        if path in self.values and f"{path}.count" not in self.values:
            raise WireFormatError(f"setting {path}: not a list: {describe_value(self.values[path])}")
        return super().count(path)


LARGEST = 1e15  # of a number that is not a time: sums of it and its products stay finite
FORMS: dict[Callable[[str], object], type] = {
    int: int, _seconds: int, float: float, _bool: bool, _list: list, _fields: list,
}  # fmt: skip


def describe_value(value: object) -> str:
    """A value in little room, on one line."""
    if isinstance(value, dict | list):
        return "a list" if isinstance(value, list) else "an object"
    return repr(value)[:60]


def settings_from(has: SettingPairs) -> i.Settings:
    """The module's settings from the wire's; missing optional ones keep the interface's defaults."""
    classes = []
    for n in range(has.require("classes.count", int)):
        at = f"classes.{n}"
        classes.append(
            i.RequestClass(
                name=has.require(f"{at}.name", str),
                latency_target=has.require(f"{at}.slo", _seconds),
                deadline=has.require(f"{at}.deadline", _seconds),
                value=has.get(f"{at}.value", float, 1.0),
                late_value=has.get(f"{at}.late_worth", float, 0.0),
                latency_target_stretch=has.get(f"{at}.aim_stretch", float, 0.0),
                idempotency=has.get(f"{at}.effect", EFFECTS.__getitem__, i.Idempotency.NOT_IDEMPOTENT),
                repeat_scope=has.get(f"{at}.group", i.RepeatScope, i.RepeatScope.ALL),
                repeat_window=has.get(f"{at}.memory_span", _seconds, 0.0),
                is_streaming=has.get(f"{at}.stream", _bool, False),
            )
        )
    tenants = [
        i.Tenant(
            name=has.require(f"tenants.{n}.name", str),
            quota_per_second=has.get(f"tenants.{n}.allowance_per_s", float, float("inf")),
            share=has.get(f"tenants.{n}.share", float, 1.0),
        )
        for n in range(has.count("tenants"))
    ]
    limits = i.Limits(
        max_attempts=has.get("limits.max_attempts", int, 5),
        connect_timeout=has.get("limits.dial_timeout", _seconds, 1.0),
        idle_timeout=has.get("limits.keepalive", _seconds, float("inf")),
        streams_per_connection=has.get("limits.streams_per_conn", int, 1),
        max_retry_after=has.get("limits.max_retry_after", _seconds, 0.0),
        sends_retry_after=has.get("limits.retry_after", _bool, False),
        may_cancel=has.get("limits.may_cancel", _bool, False),
        may_hedge=has.get("limits.second_copies", _bool, False),
        may_check_health=has.get("limits.may_probe", _bool, False),
        may_message_peers=has.get("limits.peers", _bool, False),
        max_open_requests=has.get("limits.open_cap", float, float("inf")),
        cpu_per_second=has.get("limits.cpu_us_per_s", float, float("inf")) / US,
        cpu_per_request=has.get("limits.cpu_us_per_request", float, 0.0) / US,
    )
    contract = i.Contract(
        answer_grace=has.require("contract.grace_to_answer", _seconds),
        drain_grace=has.require("contract.stop_sending_within", _seconds),
        subscribe_within=has.get("contract.must_ask_in", _seconds, float("inf")),
        initial_capacity=has.require("contract.cold_from", float),
        warm_up=has.require("contract.cold", _seconds),
        overload_multiple=has.require("contract.fall_multiple", float),
        overload_time=has.require("contract.overload_for", _seconds),
    )
    goal = i.Goal(
        overall=has.get("goal.whole", float, 1.0),
        worst_window=has.get("goal.worst_window", float, 0.0),
        worst_class=has.get("goal.worst_class", float, 0.0),
        worst_tenant=has.get("goal.worst_tenant", float, 0.0),
    )
    return i.Settings(
        classes=tuple(classes),
        balancer_count=has.require("peers_total", int),
        balancer_index=has.require("slot_no", int),
        tier=has.get("tier", int, 0),
        tiers=has.get("tiers", _list, ("servers",)),
        zone=has.get("zone", str, ""),
        zones=has.get("zones", _list, ()),
        tenants=tuple(tenants),
        over_quota_value=has.get("over_share_worth", float, 1.0),
        value_per_work=has.get("worth_by", str, "request") == "work",
        must_subscribe=has.get("discovery", MUST_ASK.__getitem__, False),
        propagates_deadline=has.get("extra.passes_deadline", _bool, True),
        key_affinity=has.get("extra.warm_keys", _bool, False),
        has_ratings=has.get("weight_source", str, "none") != "none",
        report_fields=has.get("report.columns", _fields, ()),
        report_source=has.get("report.source", str, "none"),
        tick=has.get("step", _seconds, 0.001),
        clients_mark_retries=has.get("callers.marks_retry", _bool, False),
        limits=limits,
        contract=contract,
        goal=goal,
        prices={path.removeprefix("prices."): has.require(path, float) for path in has.paths_below("prices")},
    )


def report_from(text: str) -> i.LoadReport | None:
    if text == "-":
        return None
    report = i.LoadReport()
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireFormatError(f"a load report without ':': {pair!r}")
        amount = float(value)
        if name == "lat_ms":
            report.latency = amount / 1000
        elif name in REPORT_FIELDS:
            setattr(report, REPORT_FIELDS[name], amount)
    return report


def entry_from(part: Sequence[str]) -> i.EndpointEntry:
    word, endpoint, zone, kind, cell, state, rating, started = part
    if word != "ITEM":
        raise WireFormatError(f"ITEM expected, not {word}")
    return i.EndpointEntry(
        endpoint=endpoint,
        state=STATES[state],
        zone="" if zone == "-" else zone,
        machine_type="" if kind == "-" else kind,
        cell=0 if cell == "-" else int(cell),
        rating=1.0 if rating == "-" else float(rating),
        started_at=0.0 if started == "-" else int(started) / US,
    )


def new_request(part: Sequence[str]) -> i.Event:
    _, request, name, tenant, key, left, hint, bits = part
    flags = 0 if bits == "-" else int(bits)
    return i.NewRequest(
        int(request),
        name,
        int(left) / US,
        None if tenant in ("-", "0") else tenant,
        None if key == "-" else int(key),
        None if hint == "-" or not flags & 1 else int(hint) / US,
        bool(flags & 2),
        bool(flags & 4),
    )


def completed(part: Sequence[str]) -> i.Event:
    _, request, latency, attempt, final, how, endpoint, usage = part
    outcome, report = OUTCOMES[how], report_from(usage)
    return i.AttemptEnded(
        int(request), int(attempt), outcome, endpoint, int(latency) / US, _bool(final), report
    )


def streaming(part: Sequence[str]) -> i.Event:
    _, request, _, _, _ = part
    return i.Committed(int(request))


def probed(part: Sequence[str]) -> i.Event:
    _, endpoint, how, latency, usage = part
    return i.HealthCheckEnded(endpoint, OUTCOMES[how], int(latency) / US, report_from(usage))


def abandoned(part: Sequence[str]) -> i.Event:
    _, request = part
    return i.RequestAbandoned(int(request))


def tick_due(part: Sequence[str]) -> i.Event:
    _, token = part
    return i.TimerDue(int(token))


def heard(part: Sequence[str]) -> i.Event:
    _, sender, raw = part
    return i.PeerMessage(int(sender), b"" if raw == "-" else bytes.fromhex(raw))


EVENTS: dict[str, Callable[[Sequence[str]], i.Event]] = {
    "NEW_REQUEST": new_request,
    "COMPLETED": completed,
    "STREAMING": streaming,
    "PROBED": probed,
    "ABANDONED": abandoned,
    "TICK_DUE": tick_due,
    "HEARD": heard,
}


def _us(seconds: float) -> int:
    return round(seconds * US)


def line_of(action: i.Action) -> str:
    """The wire's line for one action."""
    match action:
        case i.Send(request, endpoint, timeout):
            # 0 would mean "until the client quits": a time-out that has run out stays one
            return f"FORWARD {request} {endpoint} {max(1, _us(timeout))}"
        case i.SetTimer(token, delay):
            return f"SET_TIMER {token} {max(0, _us(delay))}"
        case i.Reject(request, retry_after):
            return f"DENY {request} {_us(retry_after)}"
        case i.Fail(request):
            return f"FAIL {request}"
        case i.Cancel(request, attempt):
            return f"ABANDON {request} {attempt}"
        case i.Subscribe(on):
            return f"TRACK {int(on)}"
        case i.FetchEndpointList():
            return "PULL"
        case i.CheckHealth(endpoint):
            return f"SAMPLE {endpoint}"
        case i.CloseIdle(endpoint):
            return f"SHUT_IDLE {endpoint}"
        case i.SendPeerMessage(peer, data):
            return f"NOTIFY {'all' if peer is None else peer} {data.hex() or '-'}"
        case i.Log(text):
            return f"SAY_LOG {' '.join(text.split())}"


class SimulatorHost:
    """Hosts the instances of one process and answers batches for them. They share nothing but this loop."""

    def __init__(self, lines: Iterable[str], out: TextIO) -> None:
        self.lines = enumerate(lines, 1)
        self.line = 0
        self.batch = "before the first batch"
        self.out = out
        self.balancers: dict[str, Balancer] = {}
        self.lists: dict[int, tuple[i.EndpointEntry, ...]] = {}

    def run(self) -> None:
        """Answer batches until the input ends; raise WireError on a line that cannot be read."""
        for line, text in self.lines:
            self.line = line
            parts = text.rstrip("\r\n").split(" ")
            if parts[0] != "BATCH":
                raise WireFormatError(f"BATCH expected, not {parts[0]!r}")
            _, clock, number = parts
            now = int(clock) / US
            int(number)
            self.batch = f"batch {number}"
            self.out.write("\n".join([*self.reply_to_batch(now), f"DONE {number}\n"]))
            self.out.flush()

    def next_parts(self) -> list[str]:
        for line, text in self.lines:
            self.line = line
            return text.rstrip("\r\n").split(" ")
        raise WireFormatError("the input ends inside a batch")

    def reply_to_batch(self, now: float) -> list[str]:
        reply: list[str] = []
        name = spoken_for = ""
        while True:
            parts = self.next_parts()
            word = parts[0]
            read = EVENTS.get(word)
            if word == "OVER_TO_YOU":
                (_,) = parts
                return reply
            if word == "DIRECTORY":
                _, page, size = parts
                self.lists[int(page)] = tuple(entry_from(self.next_parts()) for _ in range(int(size)))
                continue
            if word == "SWITCH_TO":
                _, name = parts
                continue
            if not name:
                raise WireFormatError(f"{word} before any SWITCH_TO")
            if word == "BEGIN":
                self.balancers[name] = Balancer(settings_from(SettingPairs(parts[2:])), int(parts[1]))
                continue
            if word == "STOP":
                (_,) = parts
                self.balancers.pop(name, None)
                continue
            if word == "VIEW":
                event: i.Event = self.view(parts)
            elif read is not None:
                event = read(parts)
            else:
                raise WireFormatError(f"unknown event {word!r}")
            if name not in self.balancers:
                raise WireFormatError(f"{word} for {name}, which has not begun")
            try:
                actions = self.balancers[name].handle(now, event)
            except Exception as bug:  # reported, as the wire asks: the day ends with this text
                actions = []
                reply += [f"ON_BEHALF {name}", f"CRASH {type(bug).__name__}: {' '.join(str(bug).split())}"]
                spoken_for = name
            if actions:
                if spoken_for != name:
                    reply.append(f"ON_BEHALF {name}")
                    spoken_for = name
                reply += map(line_of, actions)

    def view(self, parts: Sequence[str]) -> i.View:
        _, version, scope, page = parts
        kind = SCOPES[scope]
        entries = () if kind is i.ViewKind.FAILED else self.lists[int(page)]
        return i.View(kind, entries, int(version))


def main() -> int:
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    host = SimulatorHost(sys.stdin, sys.stdout)
    try:
        host.run()
    except (ValueError, KeyError) as bad:
        where = f"{host.batch}, line {host.line}"
        print(f"lapisway: {where}: {' '.join(str(bad).split()) or type(bad).__name__}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
