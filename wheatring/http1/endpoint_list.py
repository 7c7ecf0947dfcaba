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
from wheatring.http1.discovery_client import (
    FULL_LIST_SECONDS,
    WATCH_WAIT_SECONDS,
    DiscoveryClient,
    HttpDiscoveryClient,
)
from wheatring.http1.endpoint_entries import InvalidEndpointList, parse_entry
from wheatring.lifecycle.asking import Asking
from wheatring.lifecycle.freshness import Freshness
from wheatring.lifecycle.told import ANSWER

CALL_SLACK_SECONDS = (
    1.5  # seconds past a wait (or from the call, for the whole list: WHOLE) until the call has failed
)
REPLACED_WATCH_SECONDS = ANSWER  # for which a watch is still heard when another has taken its place
CALL_SPACING_SECONDS = (
    0.05  # seconds between calls of a watch at least, should discovery answer at once with no news
)

READY = EndpointState.READY  # looked up once: an enum takes its time


def discard(caller: DiscoveryClient, code: str) -> None:
    """End it; nobody hears of that."""
    caller.on_answer = None
    caller.stop(code)


class EndpointList:
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
        is_pushed: bool = False,
    ) -> None:
        self.is_pushed = (
            is_pushed  # the decisions are told, and never ask: that there is a watch is seen to here
        )
        self.clock = clock
        self.freshness = freshness
        self.asking = asking
        self.addresses = addresses
        self.on_view = on_view
        self.version: int | None = None
        self.reactor = reactor
        self.address = address
        self.client = self.create_client()
        self.is_watching = False
        self.first_call_timer: Timer | None = None  # when the first call of a watch is this sidecar's to make
        self.called_at = 0.0
        self.superseded: list[
            DiscoveryClient
        ] = []  # left behind, in this order; what they have still to tell counts
        self.should_continue: Callable[[], bool] | None = None  # asked after each answer; None: always
        self.replacement: DiscoveryClient | None = None  # asks on a connection of its own, until that is up
        self.check_timer: Timer | None = None
        self.check_at = 0.0

    def create_client(self) -> DiscoveryClient:
        return HttpDiscoveryClient(self.reactor, self.clock, self.address)

    def decode(self, answer: Any) -> object:
        """An answer's plain values; ValueError or RecursionError where it can't be read."""
        return json.loads(answer)

    def load_cached(self, held: object) -> None:
        """The list as last held, from the configuration."""
        self.apply(held, ViewKind.CACHED)
        holds = bool(self.freshness.serving)
        if not holds:
            self.version = None  # there is nothing that changes could be told of
        self.asking.begin(self.clock.now(), holds)
        if self.is_pushed:
            self.subscribe()

    def subscribe(self) -> None:
        if not self.is_watching:
            self.is_watching = True
            now = self.clock.now()
            due = self.asking.due(now)
            if due > now:
                self.first_call_timer = self.clock.at(due, self.watch, self.client)
            else:
                self.watch(self.client)

    def unsubscribe(self) -> None:
        self.discard_superseded("unsubscribed")
        if self.is_watching:
            self.cancel_watch("unsubscribed")

    def cancel_watch(self, code: str) -> None:
        self.is_watching = False
        if self.first_call_timer is not None and self.first_call_timer.active():
            self.first_call_timer.cancel()
        self.first_call_timer = None
        discard(self.client, code)
        self.discard_replacement(code)
        self.freshness.unwatched()
        self.asking.told.dropped()
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        self.check_timer = None

    def pause(self) -> None:
        """Another sidecar watches for all. What has been written by now on a watch that is out counts."""
        if self.client.on_answer is not None and self.client.is_sent:
            self.retire(self.client)
            self.client = self.create_client()
        self.cancel_watch("follows")

    def change_discovery(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere now. Its versions may be others there, so the whole list comes first; until
        it has come, what is held stands, and what the old one has still to tell counts: a call that is out
        there is left to its end, lest a word be lost that was written already.
        """
        if address == self.address:
            return
        out, waits = self.client.on_answer is not None, self.version is not None
        if out and self.client.is_sent:
            self.supersede(self.client)
            self.client = self.create_client()
        self.cancel_watch("moved")
        self.address = address
        self.client = self.create_client()
        self.version = None
        now = self.clock.now()
        self.asking.move(now, bool(self.freshness.serving), out, now - self.called_at, waits)
        self.subscribe()

    def fetch(self) -> None:
        caller, asked = self.create_client(), self.address

        def done(answer: Any) -> None:
            caller.close("fetched")
            if asked == self.address:
                self.read_answer(answer, whole=True)

        caller.call(None, self.clock.now() + FULL_LIST_SECONDS, done)

    def watch(self, watcher: DiscoveryClient) -> None:
        if not self.is_watching or watcher is not self.client or watcher.on_answer is not None:
            return  # it was called off, or begun anew, since this call was put off
        self.called_at = now = self.clock.now()
        if self.version is None:  # a call that ends soon, and when to make the next one is told elsewhere
            self.client.call(None, now + self.asking.patience(), self.handle_watch_answer)
            return
        self.client.call(
            self.version, now + WATCH_WAIT_SECONDS + CALL_SLACK_SECONDS, self.handle_watch_answer
        )
        self.asking.told.laid(now, WATCH_WAIT_SECONDS)
        self.freshness.watching(now)
        self.schedule_check()

    def handle_watch_answer(self, answer: Any) -> None:
        """The end of a call. Whatever it sets off, another one follows."""
        try:
            self.continue_watch(answer)
        except Exception as bug:
            log.line("list-broken", why=repr(bug))
            self.version = None  # what it told may have come to nobody
            self.handle_watch_failure("list-broken")
            self.subscribe()

    def continue_watch(self, answer: Any) -> None:
        if self.read_answer(answer, whole=self.version is None):
            self.asking.answered()
            self.asking.told.answered(self.clock.now())
            self.discard_replacement("given-up")
            self.discard_superseded("answered")
            if self.should_continue is not None and not self.should_continue():
                self.pause()
                return
            self.clock.at(self.called_at + CALL_SPACING_SECONDS, self.watch, self.client)
        else:
            self.handle_watch_failure(
                "watch-failed", None if answer is not None else self.client.answer_began_at
            )
            if self.is_pushed or self.asking.holds:  # the decisions' own spread would come on top
                self.subscribe()

    def handle_watch_failure(self, code: str, part: float | None = None) -> None:
        """The call has failed, and there is no watch. `part`: since when there was one of its answer."""
        now = self.clock.now()
        since = None if part is None else now - part
        waits = self.version is not None
        self.asking.failed(now, now - self.called_at, since, self.client.is_sent, waits)
        self.cancel_watch(code)

    def retire(self, caller: DiscoveryClient) -> None:
        """It is over but for a word that is under way."""
        if caller.on_answer is not None:
            self.supersede(caller)
        self.clock.at(self.clock.now() + REPLACED_WATCH_SECONDS, caller.stop, "replaced")

    def supersede(self, caller: DiscoveryClient) -> None:
        """Another call takes this one's place, but may not be answered as soon."""
        caller.on_answer = partial(self.handle_superseded_answer, caller, self.version is None)
        self.superseded.append(caller)

    def handle_superseded_answer(self, caller: DiscoveryClient, whole: bool, answer: Any) -> None:
        """What a call that was left behind had still to tell. Those left behind before it know less."""
        at = self.superseded.index(caller)
        if answer is None:
            del self.superseded[at]
            return
        for each in self.superseded[:at]:
            discard(each, "answered")
        del self.superseded[: at + 1]
        caller.close("left-behind")
        # The call that is out goes by the version that it was given, or is for the whole list.
        held, fits = self.version, False
        try:
            fits = self.read_answer(answer, whole) and None not in (held, self.version)
        finally:
            if not fits:
                self.version = held

    def discard_superseded(self, code: str) -> None:
        formers, self.superseded = self.superseded, []
        for former in formers:
            discard(former, code)

    # A list that may have grown old

    def record_outcome(self, now: float, node: str, outcome: Outcome) -> None:
        """A claim has ended: what that says of the list."""
        if self.freshness.ended(now, node, outcome):
            self.schedule_check()

    def schedule_check(self) -> None:
        """See to it that somebody looks when an ask is due."""
        due = self.freshness.due(self.clock.now())
        if self.check_timer is not None and self.check_timer.active():
            if self.check_at <= due:
                return
            self.check_timer.cancel()
        self.check_at = due
        self.check_timer = self.clock.at(due, self.check_freshness) if due < inf else None

    def check_freshness(self) -> None:
        self.check_timer = None
        now = self.clock.now()
        if self.is_watching and self.freshness.due(now) <= now:
            self.start_replacement(now)
        self.schedule_check()

    def start_replacement(self, now: float) -> None:
        """Lay the watch anew on a connection of its own. Its first answer holds all that the old one has kept
        back; while there is nothing, it waits as long as that, so that it costs discovery no turn.
        """
        nodes, empty = self.freshness.struck, not self.freshness.serving
        if self.freshness.suspect is not None:
            log.line("list-suspect", nodes=nodes, empty=int(empty))
        self.freshness.ask(now)
        self.discard_replacement("given-up")
        second = self.replacement = self.create_client()
        version = None if empty else self.version
        second.on_connected = partial(self.adopt_replacement, version)
        wait = FULL_LIST_SECONDS if version is None else WATCH_WAIT_SECONDS + CALL_SLACK_SECONDS
        second.call(version, now + wait, partial(self.handle_replacement_answer, second))

    def adopt_replacement(self, version: int | None) -> None:
        """The second has its connection: it is the watch from now on, and the old one, which may be one to
        nobody, is over.
        """
        assert self.replacement is not None
        old, self.client, self.replacement = self.client, self.replacement, None
        self.called_at = self.clock.now()
        self.retire(old)
        self.version = version
        self.client.on_connected = None
        self.asking.told.laid(self.called_at, WATCH_WAIT_SECONDS)
        self.freshness.watching(self.called_at)

    def handle_replacement_answer(self, caller: DiscoveryClient, answer: Any) -> None:
        """The end of a call that began as a second one."""
        if caller is self.client:
            self.handle_watch_answer(answer)
        else:
            self.replacement = None  # it never came up; the old watch stands
            self.freshness.failed(self.clock.now())
            self.schedule_check()

    def discard_replacement(self, code: str) -> None:
        second, self.replacement = self.replacement, None
        if second is not None:
            discard(second, code)

    def read_answer(self, answer: Any, whole: bool = False) -> bool:
        """Pass on what a call brought; a call that failed or can't be read is one FAILED view. What answers a
        call for the whole list is one, whatever it says of itself.
        """
        try:
            if answer is None:
                raise InvalidEndpointList("the call failed")
            self.apply(self.decode(answer), ViewKind.FULL if whole else None)
        except (ValueError, RecursionError) as bad:
            log.line("list-failed", why=str(bad))
            self.on_view(View(ViewKind.FAILED))
            return False
        return True

    def apply(self, data: object, kind: ViewKind | None) -> None:
        items = data.get("instances") if isinstance(data, dict) else None
        version = data.get("generation") if isinstance(data, dict) else None
        if not isinstance(data, dict) or not isinstance(items, list) or type(version) is not int:
            raise InvalidEndpointList("not a list of instances with a generation")
        if kind is None:
            kind = ViewKind.FULL if data.get("reset", False) else ViewKind.DELTA
        entries = []
        found: dict[str, str] = {}
        for item in items:
            try:
                entry, address = parse_entry(item, self.clock)
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
