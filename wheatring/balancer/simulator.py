"""Adapter between the simulator and the balancer: hosts balancers and translates their messages.

    python -m wheatring.balancer.simulator

reads batches of events from standard input and writes a reply to each to standard output. On malformed input
the process exits with status 2, after one line on standard error.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence
from typing import TextIO

from wheatring.balancer.actions import Action
from wheatring.balancer.balancer import Balancer
from wheatring.balancer.endpoint_list import EndpointEntry, View, ViewKind
from wheatring.balancer.events import Event
from wheatring.balancer.exceptions import WireFormatError
from wheatring.balancer.settings_reader import MICROSECONDS_PER_SECOND, SettingPairs, settings_from
from wheatring.balancer.simulator_messages import EVENT_PARSERS, VIEW_KINDS, format_action, parse_endpoint


class Reply:
    """Lines of the reply to one batch. ON_BEHALF is written only when the instance changes."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._instance = ""

    def add_actions(self, instance: str, actions: Sequence[Action]) -> None:
        """Add the actions of one instance, if there are any."""
        if not actions:
            return
        if self._instance != instance:
            self.lines.append(f"ON_BEHALF {instance}")
            self._instance = instance
        self.lines += map(format_action, actions)

    def add_crash(self, instance: str, error: Exception) -> None:
        """Add the exception that an instance raised on an event."""
        text = " ".join(str(error).split())
        self.lines += [f"ON_BEHALF {instance}", f"CRASH {type(error).__name__}: {text}"]
        self._instance = instance


class SimulatorHost:
    """Hosts the balancer instances of one process, which share no state, and replies to batches of events.

    Attributes
    ----------
    line_number : int
        Number of the last line read, from 1.
    batch : str
        Description of the current batch, for error messages.
    balancers : dict of str to Balancer
        The running instances by name.
    endpoint_lists : dict of int to tuple of EndpointEntry
        The endpoint lists that views refer to, by number.
    """

    def __init__(self, lines: Iterable[str], out: TextIO) -> None:
        self.lines = enumerate(lines, 1)
        self.line_number = 0
        self.batch = "before the first batch"
        self.out = out
        self.balancers: dict[str, Balancer] = {}
        self.endpoint_lists: dict[int, tuple[EndpointEntry, ...]] = {}
        self._instance = ""  # instance that the current events are for
        self._now = 0.0

    def run(self) -> None:
        """Reply to batches until the input ends. Raises WireFormatError on a malformed line."""
        for line_number, text in self.lines:
            self.line_number = line_number
            fields = text.rstrip("\r\n").split(" ")
            if fields[0] != "BATCH":
                raise WireFormatError(f"BATCH expected, not {fields[0]!r}")
            _, clock, number = fields
            self._now = int(clock) / MICROSECONDS_PER_SECOND
            int(number)
            self.batch = f"batch {number}"
            self.out.write("\n".join([*self._reply_to_batch(), f"DONE {number}\n"]))
            self.out.flush()

    def _next_fields(self) -> list[str]:
        for line_number, text in self.lines:
            self.line_number = line_number
            return text.rstrip("\r\n").split(" ")
        raise WireFormatError("unexpected end of input inside a batch")

    def _reply_to_batch(self) -> list[str]:
        reply = Reply()
        self._instance = ""
        while True:
            fields = self._next_fields()
            keyword = fields[0]
            if keyword == "OVER_TO_YOU":
                (_,) = fields
                return reply.lines
            if keyword == "DIRECTORY":
                _, page, size = fields
                self.endpoint_lists[int(page)] = self._read_endpoints(int(size))
            elif keyword == "SWITCH_TO":
                _, self._instance = fields
            elif not self._instance:
                raise WireFormatError(f"{keyword} before any SWITCH_TO")
            elif keyword == "BEGIN":
                settings = settings_from(SettingPairs(fields[2:]))
                self.balancers[self._instance] = Balancer(settings, int(fields[1]))
            elif keyword == "STOP":
                (_,) = fields
                self.balancers.pop(self._instance, None)
            else:
                self._handle(fields, reply)

    def _read_endpoints(self, size: int) -> tuple[EndpointEntry, ...]:
        return tuple(parse_endpoint(self._next_fields()) for _ in range(size))

    def _handle(self, fields: Sequence[str], reply: Reply) -> None:
        """Pass an event to the current instance, and add its actions to the reply."""
        event = self._parse_event(fields)
        instance = self._instance
        if instance not in self.balancers:
            raise WireFormatError(f"{fields[0]} for {instance}, which is not running")
        try:
            actions = self.balancers[instance].handle(self._now, event)
        except Exception as error:  # the simulator expects a report of any exception
            reply.add_crash(instance, error)
        else:
            reply.add_actions(instance, actions)

    def _parse_event(self, fields: Sequence[str]) -> Event:
        keyword = fields[0]
        if keyword == "VIEW":
            return self._parse_view(fields)
        parse = EVENT_PARSERS.get(keyword)
        if parse is None:
            raise WireFormatError(f"unknown event {keyword!r}")
        return parse(fields)

    def _parse_view(self, fields: Sequence[str]) -> View:
        _, version, scope, page = fields
        kind = VIEW_KINDS[scope]
        entries = () if kind is ViewKind.FAILED else self.endpoint_lists[int(page)]
        return View(kind, entries, int(version))


def main() -> int:
    """Reply to the batches on standard input; return the exit status."""
    for stream in (sys.stdin, sys.stdout):
        stream.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    host = SimulatorHost(sys.stdin, sys.stdout)
    try:
        host.run()
    except (ValueError, KeyError) as error:
        where = f"{host.batch}, line {host.line_number}"
        text = " ".join(str(error).split()) or type(error).__name__
        print(f"lapisway: {where}: {text}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
