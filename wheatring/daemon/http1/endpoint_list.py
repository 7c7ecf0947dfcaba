"""The endpoint list: the client of discovery that keeps one sidecar's list current.

A watch is a chain of calls, each made as the last is answered. When the list may be out of date, a
replacement watch is begun on a connection of its own. A call that another has taken the place of is
*superseded*: what discovery wrote on it before still counts, so it is read to its end, or for
`REPLACED_WATCH_SECONDS`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any

from wheatring.balancer.interface import Outcome, View, ViewKind
from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.daemon.http1.discovery_client import (
    FULL_LIST_SECONDS,
    WATCH_WAIT_SECONDS,
    DiscoveryClient,
    HttpDiscoveryClient,
)
from wheatring.daemon.http1.endpoint_entries import READY, StartTimes, parse_list
from wheatring.daemon.http1.exceptions import InvalidEndpointListError
from wheatring.daemon.http1.superseded_calls import SupersededCalls, discard
from wheatring.daemon.lifecycle.freshness import Freshness
from wheatring.daemon.lifecycle.list_request_schedule import ListRequestSchedule
from wheatring.daemon.lifecycle.notification_deadline import ANSWER_SECONDS

# A call has failed so long after the end of its wait; one for the whole list after FULL_LIST_SECONDS.
CALL_SLACK_SECONDS = 1.5
REPLACED_WATCH_SECONDS = ANSWER_SECONDS  # for which a watch is still read when another has taken its place
CALL_SPACING_SECONDS = 0.05  # between two calls of a watch at least, should discovery answer at once


class EndpointList:
    """One sidecar's endpoint list. It tells the driver each change, and the pool where each endpoint is.

    Attributes
    ----------
    addresses : dict[str, str]
        HOST:PORT by endpoint, shared with the connection pool.
    on_view : Callable[[View], None]
        Receives each change.
    is_pushed : bool
        The balancer is notified of changes and never asks for the list: the watch is kept up here.
    version : int | None
        Of the list; None: the next call is for the whole list.
    client : DiscoveryClient
        Makes the calls of the watch.
    superseded : SupersededCalls
        The calls whose place others have taken; what they still report counts.
    should_continue : Callable[[], bool] | None
        Asked after each answer whether the watch goes on; None: it always does.
    replacement : DiscoveryClient | None
        Begins a watch anew on a connection of its own, until that is up.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        addresses: dict[str, str],
        on_view: Callable[[View], None],
        freshness: Freshness,
        asking: ListRequestSchedule,
        is_pushed: bool = False,
    ) -> None:
        self.is_pushed = is_pushed
        self.clock = clock
        self.start_times = StartTimes(clock)
        self.freshness = freshness
        self.asking = asking
        self.addresses = addresses
        self.on_view = on_view
        self.version: int | None = None
        self.reactor = reactor
        self.address = address
        self.client = self.create_client()
        self.is_watching = False
        # Until the first call of a watch is this sidecar's to make.
        self.first_call_timer: Timer | None = None
        self.called_at = 0.0
        self.superseded = SupersededCalls(self.apply_superseded)
        self.should_continue: Callable[[], bool] | None = None
        self.replacement: DiscoveryClient | None = None
        self.check_timer: Timer | None = None
        self.check_at = 0.0

    def create_client(self) -> DiscoveryClient:
        """Return a new client of discovery at its present address."""
        return HttpDiscoveryClient(self.reactor, self.clock, self.address)

    def decode(self, answer: Any) -> object:
        """Return the values of an answer.

        Raises
        ------
        ValueError, RecursionError
            It can't be read.
        """
        return json.loads(answer)

    # The watch

    def load_cached(self, cached: object) -> None:
        """Take the list as last known, from the settings, and watch it if it is pushed."""
        self.apply(cached, ViewKind.CACHED)
        has_endpoints = bool(self.freshness.serving)
        if not has_endpoints:
            self.version = None  # there is nothing that a change could apply to
        self.asking.start(self.clock.now(), has_endpoints)
        if self.is_pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Watch the list, unless it is watched already; the first call waits for this sidecar's turn."""
        if not self.is_watching:
            self.is_watching = True
            now = self.clock.now()
            due = self.asking.next_call_at(now)
            if due > now:
                self.first_call_timer = self.clock.at(due, self.watch, self.client)
            else:
                self.watch(self.client)

    def unsubscribe(self) -> None:
        """Watch the list no more, and drop all calls."""
        self.superseded.discard_all("unsubscribed")
        if self.is_watching:
            self.cancel_watch("unsubscribed")

    def cancel_watch(self, code: str) -> None:
        """End the watch, and what waits for it."""
        self.is_watching = False
        if self.first_call_timer is not None and self.first_call_timer.active():
            self.first_call_timer.cancel()
        self.first_call_timer = None
        discard(self.client, code)
        self.discard_replacement(code)
        self.freshness.watch_stopped()
        self.asking.notification.call_dropped()
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        self.check_timer = None

    def pause(self) -> None:
        """Watch no more: another sidecar watches for all. What was written on the watch by now counts."""
        if self.client.on_answer is not None and self.client.is_sent:
            self.retire(self.client)
            self.client = self.create_client()
        self.cancel_watch("follows")

    def change_discovery(self, address: tuple[str, int]) -> None:
        """Go on at another address of discovery.

        Its versions may be others there, so the whole list comes first; until it has come, the present list
        stands. A call that is out at the old address is left to its end, lest a change be lost that was
        written already.
        """
        if address == self.address:
            return
        is_calling, can_wait = self.client.on_answer is not None, self.version is not None
        if is_calling and self.client.is_sent:
            self.supersede(self.client)
            self.client = self.create_client()
        self.cancel_watch("moved")
        self.address = address
        self.client = self.create_client()
        self.version = None
        now = self.clock.now()
        has_endpoints = bool(self.freshness.serving)
        self.asking.discovery_moved(now, has_endpoints, is_calling, now - self.called_at, can_wait)
        self.subscribe()

    def fetch(self) -> None:
        """Ask for the whole list once, on a connection of its own."""
        client, asked_at = self.create_client(), self.address

        def on_answer(answer: Any) -> None:
            """Read the answer, unless discovery has moved meanwhile."""
            client.close("fetched")
            if asked_at == self.address:
                self.read_answer(answer, is_full=True)

        client.call(None, self.clock.now() + FULL_LIST_SECONDS, on_answer)

    def watch(self, client: DiscoveryClient) -> None:
        """Make the next call of the watch, unless that has ended or begun anew since this was scheduled."""
        if not self.is_watching or client is not self.client or client.on_answer is not None:
            return
        self.called_at = now = self.clock.now()
        if self.version is None:  # this call ends soon, and the time of the next one is decided elsewhere
            self.client.call(None, now + self.asking.draw_timeout(), self.handle_watch_answer)
            return
        deadline = now + WATCH_WAIT_SECONDS + CALL_SLACK_SECONDS
        self.client.call(self.version, deadline, self.handle_watch_answer)
        self.asking.notification.call_accepted(now, WATCH_WAIT_SECONDS)
        self.freshness.watch_started(now)
        self.schedule_check()

    def handle_watch_answer(self, answer: Any) -> None:
        """Take the end of a call. Whatever that causes, another call follows."""
        try:
            self.continue_watch(answer)
        except Exception as error:
            log.line("list-broken", why=repr(error))
            self.version = None  # what it reported may not have reached anybody
            self.handle_watch_failure("list-broken")
            self.subscribe()

    def continue_watch(self, answer: Any) -> None:
        """Apply the answer to a call of the watch, and go on with the watch."""
        if self.read_answer(answer, is_full=self.version is None):
            self.asking.call_answered()
            self.asking.notification.call_answered(self.clock.now())
            self.discard_replacement("given-up")
            self.superseded.discard_all("answered")
            if self.should_continue is not None and not self.should_continue():
                self.pause()
                return
            self.clock.at(self.called_at + CALL_SPACING_SECONDS, self.watch, self.client)
        else:
            began_at = None if answer is not None else self.client.answer_began_at
            self.handle_watch_failure("watch-failed", began_at)
            if self.is_pushed or self.asking.has_list:  # the balancer's own spread would come on top
                self.subscribe()

    def handle_watch_failure(self, code: str, answer_began_at: float | None = None) -> None:
        """End the watch: its call has failed, whose answer began at an instant or (None) not at all."""
        now = self.clock.now()
        since_answer = None if answer_began_at is None else now - answer_began_at
        can_wait = self.version is not None
        self.asking.call_failed(now, now - self.called_at, since_answer, self.client.is_sent, can_wait)
        self.cancel_watch(code)

    # Calls whose place another has taken

    def retire(self, client: DiscoveryClient) -> None:
        """End a client, but for an answer that is under way."""
        if client.on_answer is not None:
            self.supersede(client)
        self.clock.at(self.clock.now() + REPLACED_WATCH_SECONDS, client.stop, "replaced")

    def supersede(self, client: DiscoveryClient) -> None:
        """Let another call take the place of a client's, which may yet be answered first."""
        self.superseded.add(client, is_full=self.version is None)

    def apply_superseded(self, answer: Any, is_full: bool) -> None:
        """Apply the answer to a superseded call.

        The call that is out goes by the version that it was given, or is for the whole list.
        """
        version, is_applicable = self.version, False
        try:
            is_applicable = self.read_answer(answer, is_full) and None not in (version, self.version)
        finally:
            if not is_applicable:
                self.version = version

    # A list that may be out of date

    def record_outcome(self, now: float, endpoint: str, outcome: Outcome) -> None:
        """Take the end of an attempt as evidence of how current the list is."""
        if self.freshness.attempt_ended(now, endpoint, outcome):
            self.schedule_check()

    def schedule_check(self) -> None:
        """Schedule a check for when the watch is due to be begun anew."""
        due = self.freshness.next_ask_at(self.clock.now())
        if self.check_timer is not None and self.check_timer.active():
            if self.check_at <= due:
                return
            self.check_timer.cancel()
        self.check_at = due
        self.check_timer = self.clock.at(due, self.check_freshness) if due < inf else None

    def check_freshness(self) -> None:
        """Begin the watch anew if that is due."""
        self.check_timer = None
        now = self.clock.now()
        if self.is_watching and self.freshness.next_ask_at(now) <= now:
            self.start_replacement(now)
        self.schedule_check()

    def start_replacement(self, now: float) -> None:
        """Begin the watch anew on a connection of its own.

        Its first answer has all that the present watch has missed. While there is nothing, it waits as long
        as that, so that it costs discovery no call.
        """
        nodes, is_empty = self.freshness.suspected_count, not self.freshness.serving
        if self.freshness.suspect_since is not None:
            log.line("list-suspect", nodes=nodes, empty=int(is_empty))
        self.freshness.ask_sent(now)
        self.discard_replacement("given-up")
        replacement = self.replacement = self.create_client()
        version = None if is_empty else self.version
        replacement.on_connected = partial(self.adopt_replacement, version)
        wait = FULL_LIST_SECONDS if version is None else WATCH_WAIT_SECONDS + CALL_SLACK_SECONDS
        replacement.call(version, now + wait, partial(self.handle_replacement_answer, replacement))

    def adopt_replacement(self, version: int | None) -> None:
        """Make the replacement the watch, as it is connected; the present one may lead nowhere."""
        assert self.replacement is not None
        former, self.client, self.replacement = self.client, self.replacement, None
        self.called_at = self.clock.now()
        self.retire(former)
        self.version = version
        self.client.on_connected = None
        self.asking.notification.call_accepted(self.called_at, WATCH_WAIT_SECONDS)
        self.freshness.watch_started(self.called_at)

    def handle_replacement_answer(self, client: DiscoveryClient, answer: Any) -> None:
        """Take the end of a call that began as a replacement."""
        if client is self.client:
            self.handle_watch_answer(answer)
        else:
            self.replacement = None  # it never connected; the present watch stands
            self.freshness.ask_failed(self.clock.now())
            self.schedule_check()

    def discard_replacement(self, code: str) -> None:
        """Abort the replacement, if there is one."""
        replacement, self.replacement = self.replacement, None
        if replacement is not None:
            discard(replacement, code)

    # What calls bring

    def read_answer(self, answer: Any, is_full: bool = False) -> bool:
        """Apply what a call brought, and return whether it could be.

        A call that failed or can't be read is one FAILED view. What answers a call for the whole list is one,
        whatever it states of itself.
        """
        try:
            if answer is None:
                raise InvalidEndpointListError("the call failed")
            self.apply(self.decode(answer), ViewKind.FULL if is_full else None)
        except (ValueError, RecursionError) as error:
            log.line("list-failed", why=str(error))
            self.on_view(View(ViewKind.FAILED))
            return False
        return True

    def apply(self, data: object, kind: ViewKind | None) -> None:
        """Apply a decoded list; without a kind it states its own.

        Raises
        ------
        InvalidEndpointListError
            It is none.
        """
        view, addresses = parse_list(data, kind, self.start_times)
        is_full = view.kind is not ViewKind.DELTA
        self._update_addresses(addresses, is_full)
        # Changes of an older list than the present one, as of a discovery that has started anew, count as
        # well. But they don't say what the rest is: that is asked for next.
        is_older = not is_full and self.version is not None and view.version < self.version
        self.version = None if is_older else view.version
        ready = {entry.endpoint: entry.state is READY for entry in view.entries}
        self.freshness.list_changed(self.clock.now(), ready, is_full)
        self.on_view(view)

    def _update_addresses(self, addresses: dict[str, str], is_full: bool) -> None:
        if is_full:
            self.addresses.clear()
        for endpoint, address in addresses.items():
            if address:
                self.addresses[endpoint] = address
            else:
                self.addresses.pop(endpoint, None)
