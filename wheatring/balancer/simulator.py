"""The adapter between the simulator and the decision module. It translates and hosts; it decides nothing.

    python -m wheatring.balancer.simulator

reads batches of events on standard input and writes one reply to each on standard output. A batch that
can't be read ends the process with one line on standard error and status 2.
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
    """The lines of a reply to one batch. Whose actions follow is said only where that changes."""

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
        """Add that an instance broke on an event."""
        text = " ".join(str(error).split())
        self.lines += [f"ON_BEHALF {instance}", f"CRASH {type(error).__name__}: {text}"]
        self._instance = instance


class SimulatorHost:
    """Hosts the instances of one process and answers batches for them. They share nothing but this loop.

    Attributes
    ----------
    line_number : int
        Of the last line that was read, from 1.
    batch : str
        The batch that it is in, for errors.
    balancers : dict of str to Balancer
        The instances that have begun, by their name.
    endpoint_lists : dict of int to tuple of EndpointEntry
        The lists that views refer to, by their number.
    """

    def __init__(self, lines: Iterable[str], out: TextIO) -> None:
        self.lines = enumerate(lines, 1)
        self.line_number = 0
        self.batch = "before the first batch"
        self.out = out
        self.balancers: dict[str, Balancer] = {}
        self.endpoint_lists: dict[int, tuple[EndpointEntry, ...]] = {}
        self._instance = ""  # whom the events of the present batch are for
        self._now = 0.0

    def run(self) -> None:
        """Answer batches until the input ends. Raises WireFormatError on a line that can't be read."""
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
        raise WireFormatError("the input ends inside a batch")

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
        """Pass an event on to the present instance, and add its actions to the reply."""
        event = self._parse_event(fields)
        instance = self._instance
        if instance not in self.balancers:
            raise WireFormatError(f"{fields[0]} for {instance}, which has not begun")
        try:
            actions = self.balancers[instance].handle(self._now, event)
        except Exception as error:  # whatever it is, the simulator wants it reported
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
    """Serve standard input; return the process's status."""
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
