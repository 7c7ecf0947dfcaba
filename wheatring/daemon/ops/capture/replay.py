"""Replays captured events in a balancer and reports each decision that differs."""

from __future__ import annotations

import json
import re
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from urllib.parse import unquote

from wheatring.balancer import interface as i
from wheatring.balancer.balancer import Balancer
from wheatring.balancer.settings_reader import JsonSettings, settings_from
from wheatring.daemon.ops.capture.record import REPORT_FIELDS, Recorder
from wheatring.daemon.ops.capture.ring import CUT_MARK, files_in

_IDLE = re.compile(r"(:[0-9]+)/[^/ ]*/")  # idle connections in the pool, which the balancer does not know


def _parse_token(text: str) -> str:
    return "" if text == "-" else unquote(text, errors="surrogatepass")


def _parse_number(text: str) -> float | None:
    return None if text == "-" else float(text)


def _parse_entry(text: str) -> i.EndpointEntry:
    name, state, zone, kind, cell, rating, started, *reinstated = text.split(",")
    return i.EndpointEntry(
        _parse_token(name), i.EndpointState(state), _parse_token(zone), _parse_token(kind), int(cell),
        float(rating), float(started), reinstated == ["owed"],
    )  # fmt: skip


def _parse_report(text: str) -> i.LoadReport | None:
    return None if text == "-" else i.LoadReport(*map(_parse_number, text.split(",", len(REPORT_FIELDS) - 1)))


def _parse_event(kind: str, parts: list[str]) -> i.Event:
    match kind, parts:
        case "r", [number, _, name, left, repeat]:
            return i.NewRequest(int(number), _parse_token(name), float(left), is_client_retry=repeat == "1")
        case "o", [number, attempt, outcome, node, latency, closed, report]:
            return i.AttemptEnded(
                int(number), int(attempt), i.Outcome(outcome), _parse_token(node), float(latency),
                closed == "1", _parse_report(report),
            )  # fmt: skip
        case "g", [number]:
            return i.RequestAbandoned(int(number))
        case "m", [number]:
            return i.Committed(int(number))
        case "t", [token]:
            return i.TimerDue(int(token))
        case "v", [view, version, *entries]:
            return i.View(i.ViewKind(view), tuple(map(_parse_entry, entries)), int(version))
    raise ValueError("not a line of a record")


def _read_lines(files: list[tuple[int, Path]]) -> Iterator[tuple[str, str]]:
    """Yield each line with its position; an `x` line stands for a missing file."""
    last = files[0][0] - 1
    for number, path in files:
        if number != last + 1:
            yield path.name, "x a file is missing before this one"
        last = number
        with path.open(encoding="ascii", errors="replace", newline="\n") as file:
            for count, line in enumerate(file, 1):
                if line.endswith(CUT_MARK) or not line.endswith("\n"):
                    line = "x cut\n"
                yield f"{path.name}:{count}", line.removesuffix("\n")


class Replay:
    """Replays one sidecar's record.

    Attributes
    ----------
    recorder : Recorder or None
        The replayed balancer; None: nothing can be replayed until the next start.
    request_ids : dict of int to str
        The ids of requests by their numbers.
    expected_lines : deque of str
        Lines of the balancer's last actions, to be compared with the record's next lines.
    starts, compared, differences, skipped : int
        The numbers of starts replayed and of lines compared, different and not replayed.
    """

    def __init__(self, name: str, write_line: Callable[[str], None]) -> None:
        self.name = name
        self.write_line = write_line
        self.seed: int | None = None
        self.recorder: Recorder | None = None
        self.request_ids: dict[int, str] = {}
        self.expected_lines: deque[str] = deque()
        self.starts = self.compared = self.differences = self.skipped = 0

    def run(self, files: list[tuple[int, Path]]) -> bool:
        """Replay the files; return whether anything was replayed and nothing differed."""
        position = ""
        for position, line in _read_lines(files):
            try:
                self.process_line(position, line)
            except (ValueError, KeyError, IndexError, TypeError, OverflowError) as error:
                self.stop(position, f"can't be read: {error}")
        self.end(position)
        starts = f"{self.starts} start{'s' * (self.starts != 1)}"
        self.write_line(f"{self.name}: {self.compared} lines of {starts} compared, {self.differences} differ")
        return self.starts > 0 and not self.differences

    def process_line(self, position: str, line: str) -> None:
        """Process the next line of the record, at `position`."""
        kind, *parts = line.split(" ")
        if kind == "h":
            self.end(position)
            self.recorder = None
            self.seed = int(parts[1].removeprefix("seed="), 16)
        elif kind == "s" and self.seed is not None:
            offset, _, settings = line[2:].partition(" ")
            self.start(float(offset), json.loads(settings))
        elif self.recorder is None:
            self.skipped += 1
        elif kind in ("d", "a", "c"):
            self.compare(position, line)
        elif kind == "x":
            self.stop(position, "a line or file is missing here")
        else:
            self.expect_no_more(position)
            self.feed(kind, parts)

    def start(self, offset: float, settings: object) -> None:
        """Start a balancer with the recorded settings and seed."""
        assert self.seed is not None
        balancer = Balancer(settings_from(JsonSettings(settings)), self.seed)
        self.seed = None
        self.request_ids.clear()
        self.expected_lines.clear()
        self.recorder = Recorder(
            balancer, offset, self.expected_lines.append, self.request_ids.__getitem__, lambda _: "?"
        )
        self.starts += 1

    def feed(self, kind: str, parts: list[str]) -> None:
        """Pass an event to the balancer."""
        assert self.recorder is not None
        now, event = float(parts[1]), _parse_event(kind, parts[2:])
        if isinstance(event, i.NewRequest):
            self.request_ids[event.request] = _parse_token(parts[3])
        with suppress(Exception):  # a `c` line of the record reports the exception
            self.recorder.handle(now, event)
        self.expected_lines.popleft()  # the line of the event itself

    def compare(self, position: str, line: str) -> None:
        """Compare a recorded line with the line of the replayed action."""
        self.compared += 1
        replayed = self.expected_lines.popleft() if self.expected_lines else None
        if replayed is None or _IDLE.sub(r"\1/?/", replayed) != _IDLE.sub(r"\1/?/", line):
            self.report_difference(position, line, replayed)

    def expect_no_more(self, position: str) -> None:
        """Report the replayed actions on the last event that are not in the record."""
        while self.expected_lines:
            self.report_difference(f"before {position}", None, self.expected_lines.popleft())

    def end(self, position: str) -> None:
        """End a start. The last event of a killed sidecar may lack some of its actions in the record."""
        if self.expected_lines:
            self.write_line(
                f"{self.name}: {position}: the record of a start ends {len(self.expected_lines)} lines early"
            )
            self.expected_lines.clear()
        self.report_skipped()

    def report_difference(self, position: str, recorded: str | None, replayed: str | None) -> None:
        """Report a difference: the recorded and the replayed line, None for a missing one."""
        self.differences += 1
        self.write_line(f"{self.name}: {position} differs")
        self.write_line(f"  recorded {recorded or 'nothing'}")
        self.write_line(f"  replayed {replayed or 'nothing'}")

    def stop(self, position: str, reason: str) -> None:
        """Stop replaying up to the next start."""
        self.write_line(f"{self.name}: {position}: {reason}; lines can't be replayed up to the next start")
        self.recorder = self.seed = None
        self.expected_lines.clear()

    def report_skipped(self) -> None:
        """Report the lines since the last start that could not be replayed."""
        if self.skipped and not self.starts:
            self.write_line(
                f"{self.name}: the header has been overwritten: {self.skipped} lines can't be replayed"
            )
        elif self.skipped:
            self.write_line(f"{self.name}: {self.skipped} lines were skipped")
        self.skipped = 0


def replay(folder: Path, write_line: Callable[[str], None]) -> bool:
    """Replay all records in a folder; return whether all were replayed and nothing differed."""
    found = files_in(folder)
    if not found:
        write_line(f"there is no capture in {folder}")
    results = [Replay(name, write_line).run(files) for name, files in found.items()]
    return bool(results) and all(results)
