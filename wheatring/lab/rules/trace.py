"""The trace: one line an event, the same to the byte for the same plan and seed.

    0.1042 taken sidecar=lb-0 ident=9b1f03aa5c7e2d41 index=1 key=5c0f deadline=6.1042

A line begins with the time since the start of the day and the kind of the event, which is the name of
the method of `EventRecorder`; `name=value` follow, instants as times since the start, too.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import TextIO

from wheatring.lab.outcome import Outcome

MAX_FAMILIES = 20_000  # first tries whose lines are held until one of them is asked for
MAX_LINES_PER_FAMILY = 2_000  # of one family that are held at most

Family = Callable[[str], int | None]  # from a request's ident to its first try, None where that is not known


def text(value: object) -> str:
    """Return a value as one word."""
    return "_".join(str(value).split())


class Trace:
    """Writes lines to a file, or only hashes them: all of them, whatever is written.

    With `of`, only lines are written of the requests that are named there; with `family` as well, those of
    all tries and calls that come from the same first try. Lines that belong to no request are left out then.
    """

    def __init__(
        self, start: float, file: TextIO | None = None, of: Iterable[str] = (), family: Family | None = None
    ) -> None:
        self.start = start
        self.file = file
        self.of = frozenset(of)
        self.family = family
        self.firsts: dict[int, None] = {}  # of the requests that are named in `of`
        self.held: OrderedDict[int, list[str]] = (
            OrderedDict()
        )  # lines of families that may turn out to be asked for
        self.digest = blake2b(digest_size=16)

    def line(self, at: float, ident: str, what: str, first: int | None = None) -> None:
        """Trace an event.

        `what` is its kind and values, `first` the first try where the line is of one.
        """
        line = f"{round(at - self.start, 9)!r} {what}\n"
        self.digest.update(line.encode())
        if self.file is None:
            return
        if not self.of:
            self.file.write(line)
            return
        if first is None and ident and self.family is not None:
            first = self.family(ident)
        if ident in self.of and first is not None and first not in self.firsts:
            self.firsts[first] = None
            self.file.writelines(self.held.pop(first, ()))
        if ident in self.of or first in self.firsts:
            self.file.write(line)
        elif first is not None and self.family is not None:
            lines = self.held.get(first)
            if lines is None:
                if len(self.held) >= MAX_FAMILIES:
                    self.held.popitem(last=False)
                lines = self.held[first] = []
            if len(lines) < MAX_LINES_PER_FAMILY:
                lines.append(line)

    @property
    def hash(self) -> str:
        """Of all lines so far."""
        return self.digest.hexdigest()


def replay_line(outcome: Outcome) -> str:
    """Return the command that replays the run and traces the request of its first breach, if known."""
    ident = next((breach.ident for breach in outcome.breaches if breach.ident), "")
    line = f"wheatring lab run {outcome.scenario} --seed {outcome.seed} --grain {outcome.grain}"
    line += f" --trace {outcome.scenario}-{outcome.seed}.trace"
    return f"{line} --of {ident}" if ident else line
