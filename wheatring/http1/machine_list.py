"""The machine list: discovery's client. A watch is a chain of calls, each begun as the last is answered."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any

from wheatring import log
from wheatring.balancer.interface import EndpointState, Outcome, View, ViewKind
from wheatring.core.clock import Clock, Timer
from wheatring.http1.list_calls import WAIT, WHOLE, Caller, HttpCaller
from wheatring.http1.list_lines import ListError, entry_from
from wheatring.lifecycle.asking import Asking
from wheatring.lifecycle.freshness import Freshness
from wheatring.lifecycle.told import ANSWER

SLACK = 1.5  # seconds past a wait (or from the call, for the whole list: WHOLE) until the call has failed
LAST_WORD = ANSWER  # for which a watch is still heard when another has taken its place
SPACING = 0.05  # seconds between calls of a watch at least, should discovery answer at once with no news

READY = EndpointState.READY  # looked up once: an enum takes its time


def drop(caller: Caller, code: str) -> None:
    """End it; nobody hears of that."""
    caller.done = None
    caller.stop(code)


class MachineList:
    """Tells the driver each change of the list, and the pool where each execute node is."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        addresses: dict[str, str],
        on_view: Callable[[View], None],
        freshness: Freshness,
        asking: Asking,
        pushed: bool = False,
    ) -> None:
        self.pushed = pushed  # the decisions are told, and never ask: that there is a watch is seen to here
        self.clock = clock
        self.freshness = freshness
        self.asking = asking
        self.addresses = addresses
        self.on_view = on_view
        self.version: int | None = None
        self.reactor = reactor
        self.address = address
        self.watcher = self.caller()
        self.watching = False
        self.turn: Timer | None = None  # when the first call of a watch is this sidecar's to make
        self.called = 0.0
        self.formers: list[Caller] = []  # left behind, in this order; what they have still to tell counts
        self.goes_on: Callable[[], bool] | None = None  # asked after each answer; None: always
        self.second: Caller | None = None  # asks on a connection of its own, until that is up
        self.looking: Timer | None = None
        self.look_at = 0.0

    def caller(self) -> Caller:
        return HttpCaller(self.reactor, self.clock, self.address)

    def plain(self, answer: Any) -> object:
        """An answer's plain values; ValueError or RecursionError where it can't be read."""
        return json.loads(answer)

    def known(self, held: object) -> None:
        """The list as last held, from the configuration."""
        self.take(held, ViewKind.CACHED)
        holds = bool(self.freshness.serving)
        if not holds:
            self.version = None  # there is nothing that changes could be told of
        self.asking.begin(self.clock.now(), holds)
        if self.pushed:
            self.subscribe()

    def subscribe(self) -> None:
        if not self.watching:
            self.watching = True
            now = self.clock.now()
            due = self.asking.due(now)
            if due > now:
                self.turn = self.clock.at(due, self.watch, self.watcher)
            else:
                self.watch(self.watcher)

    def unsubscribe(self) -> None:
        self.drop_formers("unsubscribed")
        if self.watching:
            self.call_off("unsubscribed")

    def call_off(self, code: str) -> None:
        self.watching = False
        if self.turn is not None and self.turn.active():
            self.turn.cancel()
        self.turn = None
        drop(self.watcher, code)
        self.drop_second(code)
        self.freshness.unwatched()
        self.asking.told.dropped()
        if self.looking is not None and self.looking.active():
            self.looking.cancel()
        self.looking = None

    def rest(self) -> None:
        """Another sidecar watches for all. What has been written by now on a watch that is out counts."""
        if self.watcher.done is not None and self.watcher.taken:
            self.replaced(self.watcher)
            self.watcher = self.caller()
        self.call_off("follows")

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere now. Its versions may be others there, so the whole list comes first; until
        it has come, what is held stands, and what the old one has still to tell counts: a call that is out
        there is left to its end, lest a word be lost that was written already.
        """
        if address == self.address:
            return
        out, waits = self.watcher.done is not None, self.version is not None
        if out and self.watcher.taken:
            self.leave_behind(self.watcher)
            self.watcher = self.caller()
        self.call_off("moved")
        self.address = address
        self.watcher = self.caller()
        self.version = None
        now = self.clock.now()
        self.asking.move(now, bool(self.freshness.serving), out, now - self.called, waits)
        self.subscribe()

    def fetch(self) -> None:
        caller, asked = self.caller(), self.address

        def done(answer: Any) -> None:
            caller.close("fetched")
            if asked == self.address:
                self.read(answer, whole=True)

        caller.call(None, self.clock.now() + WHOLE, done)

    def watch(self, watcher: Caller) -> None:
        if not self.watching or watcher is not self.watcher or watcher.done is not None:
            return  # it was called off, or begun anew, since this call was put off
        self.called = now = self.clock.now()
        if self.version is None:  # a call that ends soon, and when to make the next one is told elsewhere
            self.watcher.call(None, now + self.asking.patience(), self.watched)
            return
        self.watcher.call(self.version, now + WAIT + SLACK, self.watched)
        self.asking.told.laid(now, WAIT)
        self.freshness.watching(now)
        self.plan()

    def watched(self, answer: Any) -> None:
        """The end of a call. Whatever it sets off, another one follows."""
        try:
            self.settle(answer)
        except Exception as bug:
            log.line("list-broken", why=repr(bug))
            self.version = None  # what it told may have come to nobody
            self.lost("list-broken")
            self.subscribe()

    def settle(self, answer: Any) -> None:
        if self.read(answer, whole=self.version is None):
            self.asking.answered()
            self.asking.told.answered(self.clock.now())
            self.drop_second("given-up")
            self.drop_formers("answered")
            if self.goes_on is not None and not self.goes_on():
                self.rest()
                return
            self.clock.at(self.called + SPACING, self.watch, self.watcher)
        else:
            self.lost("watch-failed", None if answer is not None else self.watcher.part)
            if self.pushed or self.asking.holds:  # the decisions' own spread would come on top
                self.subscribe()

    def lost(self, code: str, part: float | None = None) -> None:
        """The call has failed, and there is no watch. `part`: since when there was one of its answer."""
        now = self.clock.now()
        since = None if part is None else now - part
        waits = self.version is not None
        self.asking.failed(now, now - self.called, since, self.watcher.taken, waits)
        self.call_off(code)

    def replaced(self, caller: Caller) -> None:
        """It is over but for a word that is under way."""
        if caller.done is not None:
            self.leave_behind(caller)
        self.clock.at(self.clock.now() + LAST_WORD, caller.stop, "replaced")

    def leave_behind(self, caller: Caller) -> None:
        """Another call takes this one's place, but may not be answered as soon."""
        caller.done = partial(self.last_word, caller, self.version is None)
        self.formers.append(caller)

    def last_word(self, caller: Caller, whole: bool, answer: Any) -> None:
        """What a call that was left behind had still to tell. Those left behind before it know less."""
        at = self.formers.index(caller)
        if answer is None:
            del self.formers[at]
            return
        for each in self.formers[:at]:
            drop(each, "answered")
        del self.formers[: at + 1]
        caller.close("left-behind")
        # The call that is out goes by the version that it was given, or is for the whole list.
        held, fits = self.version, False
        try:
            fits = self.read(answer, whole) and None not in (held, self.version)
        finally:
            if not fits:
                self.version = held

    def drop_formers(self, code: str) -> None:
        formers, self.formers = self.formers, []
        for former in formers:
            drop(former, code)

    # A list that may have grown old

    def seen(self, now: float, node: str, outcome: Outcome) -> None:
        """A claim has ended: what that says of the list."""
        if self.freshness.ended(now, node, outcome):
            self.plan()

    def plan(self) -> None:
        """See to it that somebody looks when an ask is due."""
        due = self.freshness.due(self.clock.now())
        if self.looking is not None and self.looking.active():
            if self.look_at <= due:
                return
            self.looking.cancel()
        self.look_at = due
        self.looking = self.clock.at(due, self.look) if due < inf else None

    def look(self) -> None:
        self.looking = None
        now = self.clock.now()
        if self.watching and self.freshness.due(now) <= now:
            self.ask(now)
        self.plan()

    def ask(self, now: float) -> None:
        """Lay the watch anew on a connection of its own. Its first answer holds all that the old one has kept
        back; while there is nothing, it waits as long as that, so that it costs discovery no turn.
        """
        nodes, empty = self.freshness.struck, not self.freshness.serving
        if self.freshness.suspect is not None:
            log.line("list-suspect", nodes=nodes, empty=int(empty))
        self.freshness.ask(now)
        self.drop_second("given-up")
        second = self.second = self.caller()
        version = None if empty else self.version
        second.on_up = partial(self.renewed, version)
        wait = WHOLE if version is None else WAIT + SLACK
        second.call(version, now + wait, partial(self.answered, second))

    def renewed(self, version: int | None) -> None:
        """The second has its connection: it is the watch from now on, and the old one, which may be one to
        nobody, is over.
        """
        assert self.second is not None
        old, self.watcher, self.second = self.watcher, self.second, None
        self.called = self.clock.now()
        self.replaced(old)
        self.version = version
        self.watcher.on_up = None
        self.asking.told.laid(self.called, WAIT)
        self.freshness.watching(self.called)

    def answered(self, caller: Caller, answer: Any) -> None:
        """The end of a call that began as a second one."""
        if caller is self.watcher:
            self.watched(answer)
        else:
            self.second = None  # it never came up; the old watch stands
            self.freshness.failed(self.clock.now())
            self.plan()

    def drop_second(self, code: str) -> None:
        second, self.second = self.second, None
        if second is not None:
            drop(second, code)

    def read(self, answer: Any, whole: bool = False) -> bool:
        """Pass on what a call brought; a call that failed or can't be read is one FAILED view. What answers a
        call for the whole list is one, whatever it says of itself.
        """
        try:
            if answer is None:
                raise ListError("the call failed")
            self.take(self.plain(answer), ViewKind.FULL if whole else None)
        except (ValueError, RecursionError) as bad:
            log.line("list-failed", why=str(bad))
            self.on_view(View(ViewKind.FAILED))
            return False
        return True

    def take(self, data: object, kind: ViewKind | None) -> None:
        items = data.get("instances") if isinstance(data, dict) else None
        version = data.get("generation") if isinstance(data, dict) else None
        if not isinstance(data, dict) or not isinstance(items, list) or type(version) is not int:
            raise ListError("not a list of instances with a generation")
        if kind is None:
            kind = ViewKind.FULL if data.get("reset", False) else ViewKind.DELTA
        entries = []
        found: dict[str, str] = {}
        for item in items:
            try:
                entry, address = entry_from(item, self.clock)
            except (ValueError, OverflowError) as bad:  # one bad line must not take the others along
                log.line("bad-entry", why=str(bad))
                continue
            entries.append(entry)
            found[entry.endpoint] = address
        whole = kind is not ViewKind.DELTA
        if whole:
            self.addresses.clear()
        for name, where in found.items():
            if where:
                self.addresses[name] = where
            else:
                self.addresses.pop(name, None)
        # Changes of a list older than the held one, as of a discovery that has begun anew, count as well, but
        # they don't say what the rest is: that is asked for next.
        older = kind is ViewKind.DELTA and self.version is not None and version < self.version
        self.version = None if older else version
        self.freshness.listed(self.clock.now(), {e.endpoint: e.state is READY for e in entries}, whole)
        self.on_view(View(kind, tuple(entries), version))
