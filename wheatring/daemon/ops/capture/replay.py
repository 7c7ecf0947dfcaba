"""Feeds a captured record to the module again and tells each decision that differs."""

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

_IDLE = re.compile(r"(:[0-9]+)/[^/ ]*/")  # what the pool held, of which the module knows nothing


def _token(text: str) -> str:
    return "" if text == "-" else unquote(text, errors="surrogatepass")


def _number(text: str) -> float | None:
    return None if text == "-" else float(text)


def _entry(text: str) -> i.EndpointEntry:
    name, state, zone, kind, cell, rating, started, *owed = text.split(",")
    return i.EndpointEntry(
        _token(name), i.EndpointState(state), _token(zone), _token(kind), int(cell), float(rating),
        float(started), owed == ["owed"],
    )  # fmt: skip


def _report(text: str) -> i.LoadReport | None:
    return None if text == "-" else i.LoadReport(*map(_number, text.split(",", len(REPORT_FIELDS) - 1)))


def _event(kind: str, parts: list[str]) -> i.Event:
    match kind, parts:
        case "r", [number, _, name, left, repeat]:
            return i.NewRequest(int(number), _token(name), float(left), is_client_retry=repeat == "1")
        case "o", [number, attempt, outcome, node, latency, closed, report]:
            return i.AttemptEnded(
                int(number), int(attempt), i.Outcome(outcome), _token(node), float(latency), closed == "1",
                _report(report),
            )  # fmt: skip
        case "g", [number]:
            return i.RequestAbandoned(int(number))
        case "m", [number]:
            return i.Committed(int(number))
        case "t", [token]:
            return i.TimerDue(int(token))
        case "v", [view, version, *entries]:
            return i.View(i.ViewKind(view), tuple(map(_entry, entries)), int(version))
    raise ValueError("not a line of a record")


def _lines(files: list[tuple[int, Path]]) -> Iterator[tuple[str, str]]:
    """Each line with its place; where a file lacks, an `x` line stands for it."""
    last = files[0][0] - 1
    for number, path in files:
        if number != last + 1:
            yield path.name, "x a file lacks before this one"
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
        The balancer as it was recorded; None: there is nothing to go on from until the next start.
    idents : dict of int to str
        The ids of requests, by their number.
    due : deque of str
        Lines that the balancer's last actions make, to be compared with those that follow.
    starts, compared, differences, skipped : int
        How many starts were replayed, and lines were compared, differed and could not be replayed.
    """

    def __init__(self, name: str, say: Callable[[str], None]) -> None:
        self.name = name
        self.say = say
        self.seed: int | None = None
        self.recorder: Recorder | None = None
        self.idents: dict[int, str] = {}
        self.due: deque[str] = deque()
        self.starts = self.compared = self.differences = self.skipped = 0

    def run(self, files: list[tuple[int, Path]]) -> bool:
        """Replay the files; return whether something could be replayed, and nothing differed."""
        place = ""
        for place, line in _lines(files):
            try:
                self.take(place, line)
            except (ValueError, KeyError, IndexError, TypeError, OverflowError) as bad:
                self.stop(place, f"can't be read: {bad}")
        self.end(place)
        starts = f"{self.starts} start{'s' * (self.starts != 1)}"
        self.say(f"{self.name}: {self.compared} lines of {starts} compared, {self.differences} differ")
        return self.starts > 0 and not self.differences

    def take(self, place: str, line: str) -> None:
        """Take in the next line, which stands at `place`."""
        kind, *parts = line.split(" ")
        if kind == "h":
            self.end(place)
            self.recorder = None
            self.seed = int(parts[1].removeprefix("seed="), 16)
        elif kind == "s" and self.seed is not None:
            offset, _, settings = line[2:].partition(" ")
            self.start(float(offset), json.loads(settings))
        elif self.recorder is None:
            self.skipped += 1
        elif kind in ("d", "a", "c"):
            self.compare(place, line)
        elif kind == "x":
            self.stop(place, "something was left out here")
        else:
            self.expect_no_more(place)
            self.feed(kind, parts)

    def start(self, offset: float, settings: object) -> None:
        """Begin a start with the settings that were recorded."""
        assert self.seed is not None
        balancer = Balancer(settings_from(JsonSettings(settings)), self.seed)
        self.seed = None
        self.idents.clear()
        self.due.clear()
        self.recorder = Recorder(balancer, offset, self.due.append, self.idents.__getitem__, lambda _: "?")
        self.starts += 1

    def feed(self, kind: str, parts: list[str]) -> None:
        """Hand an event to the balancer."""
        assert self.recorder is not None
        now, event = float(parts[1]), _event(kind, parts[2:])
        if isinstance(event, i.NewRequest):
            self.idents[event.request] = _token(parts[3])
        with suppress(Exception):  # a line of the record says that it broke
            self.recorder.handle(now, event)
        self.due.popleft()  # the event itself

    def compare(self, place: str, line: str) -> None:
        """Compare a recorded line with that of the replayed action."""
        self.compared += 1
        again = self.due.popleft() if self.due else None
        if again is None or _IDLE.sub(r"\1/?/", again) != _IDLE.sub(r"\1/?/", line):
            self.report_difference(place, line, again)

    def expect_no_more(self, place: str) -> None:
        """Report the actions on the last event that are not in the record."""
        while self.due:
            self.report_difference(f"before {place}", None, self.due.popleft())

    def end(self, place: str) -> None:
        """End a start. A sidecar that is killed may leave its last event without all that came of it."""
        if self.due:
            self.say(f"{self.name}: {place}: the record of a start ends {len(self.due)} lines early")
            self.due.clear()
        self.report_skipped()

    def report_difference(self, place: str, recorded: str | None, replayed: str | None) -> None:
        """Report a line that differs, as recorded and as replayed; None: there is none."""
        self.differences += 1
        self.say(f"{self.name}: {place} differs")
        self.say(f"  recorded {recorded or 'nothing'}")
        self.say(f"  replayed {replayed or 'nothing'}")

    def stop(self, place: str, why: str) -> None:
        """Stop replaying up to the next start."""
        self.say(f"{self.name}: {place}: {why}; what follows can't be replayed up to the next start")
        self.recorder = self.seed = None
        self.due.clear()

    def report_skipped(self) -> None:
        """Report the lines since the last start that could not be replayed."""
        if self.skipped and not self.starts:
            self.say(f"{self.name}: the header has been overwritten: {self.skipped} lines can't be replayed")
        elif self.skipped:
            self.say(f"{self.name}: {self.skipped} lines were passed over")
        self.skipped = 0


def replay(folder: Path, say: Callable[[str], None]) -> bool:
    """Replay all records in a folder; return whether all could be replayed and nothing differed."""
    found = files_in(folder)
    if not found:
        say(f"there is no capture in {folder}")
    good = [Replay(name, say).run(files) for name, files in found.items()]
    return bool(good) and all(good)
