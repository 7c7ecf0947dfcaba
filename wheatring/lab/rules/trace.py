"""The trace: one line per event, byte for byte the same for the same plan and seed.

    0.1042 taken sidecar=lb-0 ident=9b1f03aa5c7e2d41 index=1 key=5c0f deadline=6.1042

A line begins with the time since the start of the day and the kind of the event, which is the name of
the method of `EventRecorder`. The values follow as `name=value`; times among them also count from the start.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import TextIO

from wheatring.lab.outcome import Outcome

MAX_PENDING_FIRST_ATTEMPTS = 20_000  # first tries whose lines are buffered in case they are selected later
MAX_PENDING_LINES = 2_000  # buffered lines per first try

# Maps a request's ident to the number of its client's first try, or None if that is unknown.
FirstRequestLookup = Callable[[str], int | None]


def text(value: object) -> str:
    """Return a value as one word, with underscores for white space."""
    return "_".join(str(value).split())


class Trace:
    """Hashes all lines, and writes them to a file if there is one.

    With `idents`, only lines of these requests are written; with `first_request_of` as well, those of all
    retries and calls that come from the same first try. Lines that belong to no request are then omitted.
    """

    def __init__(
        self,
        start: float,
        file: TextIO | None = None,
        idents: Iterable[str] = (),
        first_request_of: FirstRequestLookup | None = None,
    ) -> None:
        self.start = start
        self.file = file
        self.idents = frozenset(idents)
        self.first_request_of = first_request_of
        self.traced_first_requests: dict[int, None] = {}  # first tries of the requests in `idents`
        # Lines by first try, written if one of its requests turns out to be in `idents`.
        self.pending_lines: OrderedDict[int, list[str]] = OrderedDict()
        self.digest = blake2b(digest_size=16)

    def line(self, at: float, ident: str, what: str, first: int | None = None) -> None:
        """Trace an event.

        `what` holds its kind and values; `first` is the first try, for events that concern one.
        """
        line = f"{round(at - self.start, 9)!r} {what}\n"
        self.digest.update(line.encode())
        if self.file is None:
            return
        if not self.idents:
            self.file.write(line)
            return
        if first is None and ident and self.first_request_of is not None:
            first = self.first_request_of(ident)
        if ident in self.idents and first is not None and first not in self.traced_first_requests:
            self.traced_first_requests[first] = None
            self.file.writelines(self.pending_lines.pop(first, ()))
        if ident in self.idents or first in self.traced_first_requests:
            self.file.write(line)
        elif first is not None and self.first_request_of is not None:
            lines = self.pending_lines.get(first)
            if lines is None:
                if len(self.pending_lines) >= MAX_PENDING_FIRST_ATTEMPTS:
                    self.pending_lines.popitem(last=False)
                lines = self.pending_lines[first] = []
            if len(lines) < MAX_PENDING_LINES:
                lines.append(line)

    @property
    def hash(self) -> str:
        """The hash of all lines so far."""
        return self.digest.hexdigest()


def replay_line(outcome: Outcome) -> str:
    """Return the command that replays the run and traces the request of its first breach, if known."""
    ident = next((breach.ident for breach in outcome.breaches if breach.ident), "")
    line = f"wheatring lab run {outcome.scenario} --seed {outcome.seed} --grain {outcome.grain}"
    line += f" --trace {outcome.scenario}-{outcome.seed}.trace"
    return f"{line} --of {ident}" if ident else line
