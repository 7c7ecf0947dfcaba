"""The endpoint list: keeps one sidecar's list of endpoints current by a watch on discovery.

A watch is a sequence of long-poll calls, each made when the previous one has been answered. When the list may
be stale, a replacement watch is started on a separate connection. A call that is replaced by another one is
*superseded*: discovery may already have sent a response to it, so its connection is read until the response
is complete, or for `REPLACED_WATCH_SECONDS`.
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

# A call fails this long after the end of its long-poll time; a call for the full list after
# FULL_LIST_SECONDS.
CALL_SLACK_SECONDS = 1.5
REPLACED_WATCH_SECONDS = ANSWER_SECONDS  # time for which a replaced watch is still read
CALL_SPACING_SECONDS = 0.05  # minimum time between two calls of a watch, if discovery responds immediately


class EndpointList:
    """One sidecar's endpoint list. Passes changes to the driver, and addresses to the connection pool.

    Attributes
    ----------
    addresses : dict[str, str]
        HOST:PORT by endpoint, shared with the connection pool.
    on_view : Callable[[View], None]
        Called with each change.
    is_pushed : bool
        The balancer is notified of changes and never requests the list, so the watch is maintained here.
    version : int | None
        Version of the list; None if the next call requests the full list.
    client : DiscoveryClient
        Makes the calls of the watch.
    superseded : SupersededCalls
        The superseded calls, whose responses are still applied.
    should_continue : Callable[[], bool] | None
        Returns after each response whether to continue the watch; None to continue always.
    replacement : DiscoveryClient | None
        Makes the first call of a replacement watch, until its connection is established.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: tuple[str, int],
        addresses: dict[str, str],
        on_view: Callable[[View], None],
        freshness: Freshness,
        request_schedule: ListRequestSchedule,
        is_pushed: bool = False,
    ) -> None:
        self.is_pushed = is_pushed
        self.clock = clock
        self.start_times = StartTimes(clock)
        self.freshness = freshness
        self.request_schedule = request_schedule
        self.addresses = addresses
        self.on_view = on_view
        self.version: int | None = None
        self.reactor = reactor
        self.address = address
        self.client = self.create_client()
        self.is_watching = False
        # Delays the first call of a watch until its scheduled time.
        self.first_call_timer: Timer | None = None
        self.called_at = 0.0
        self.superseded = SupersededCalls(self.apply_superseded)
        self.should_continue: Callable[[], bool] | None = None
        self.replacement: DiscoveryClient | None = None
        self.check_timer: Timer | None = None
        self.check_at = 0.0

    def create_client(self) -> DiscoveryClient:
        """Return a new client for discovery at its current address."""
        return HttpDiscoveryClient(self.reactor, self.clock, self.address)

    def decode(self, answer: Any) -> object:
        """Decode the body of a response.

        Raises
        ------
        ValueError, RecursionError
            The body is invalid.
        """
        return json.loads(answer)

    # The watch

    def load_cached(self, cached: object) -> None:
        """Apply the cached list from the settings, and start the watch if lists are pushed."""
        self.apply(cached, ViewKind.CACHED)
        has_endpoints = bool(self.freshness.serving)
        if not has_endpoints:
            self.version = None  # changes can't be applied to an empty list
        self.request_schedule.start(self.clock.now(), has_endpoints)
        if self.is_pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Start a watch unless one is active; the first call is made at its scheduled time."""
        if not self.is_watching:
            self.is_watching = True
            now = self.clock.now()
            due = self.request_schedule.next_call_at(now)
            if due > now:
                self.first_call_timer = self.clock.at(due, self.watch, self.client)
            else:
                self.watch(self.client)

    def unsubscribe(self) -> None:
        """Stop the watch, and abort all calls."""
        self.superseded.discard_all("unsubscribed")
        if self.is_watching:
            self.cancel_watch("unsubscribed")

    def cancel_watch(self, code: str) -> None:
        """Cancel the watch with its calls and timers."""
        self.is_watching = False
        if self.first_call_timer is not None and self.first_call_timer.active():
            self.first_call_timer.cancel()
        self.first_call_timer = None
        discard(self.client, code)
        self.discard_replacement(code)
        self.freshness.watch_stopped()
        self.request_schedule.notification.call_dropped()
        if self.check_timer is not None and self.check_timer.active():
            self.check_timer.cancel()
        self.check_timer = None

    def pause(self) -> None:
        """Stop the watch while another sidecar shares its list; the current call becomes superseded."""
        if self.client.on_answer is not None and self.client.is_sent:
            self.stop_after_read_time(self.client)
            self.client = self.create_client()
        self.cancel_watch("follows")

    def change_discovery(self, address: tuple[str, int]) -> None:
        """Continue with discovery at another address.

        Its versions may differ, so the full list is requested first; the current list is used until it
        arrives. A call in flight to the old address becomes superseded, so that a change already sent is not
        lost.
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
        self.request_schedule.discovery_moved(now, has_endpoints, is_calling, now - self.called_at, can_wait)
        self.subscribe()

    def fetch(self) -> None:
        """Request the full list once, on a separate connection."""
        client, requested_address = self.create_client(), self.address

        def on_answer(answer: Any) -> None:
            """Apply the response, unless the address of discovery has changed meanwhile."""
            client.close("fetched")
            if requested_address == self.address:
                self.read_answer(answer, is_full=True)

        client.call(None, self.clock.now() + FULL_LIST_SECONDS, on_answer)

    def watch(self, client: DiscoveryClient) -> None:
        """Make the next call of the watch, unless it was stopped or restarted since this was scheduled."""
        if not self.is_watching or client is not self.client or client.on_answer is not None:
            return
        self.called_at = now = self.clock.now()
        if self.version is None:  # ends soon; the time of the next call is determined by its result
            self.client.call(None, now + self.request_schedule.draw_timeout(), self.handle_watch_answer)
            return
        deadline = now + WATCH_WAIT_SECONDS + CALL_SLACK_SECONDS
        self.client.call(self.version, deadline, self.handle_watch_answer)
        self.request_schedule.notification.call_accepted(now, WATCH_WAIT_SECONDS)
        self.freshness.watch_started(now)
        self.schedule_check()

    def handle_watch_answer(self, answer: Any) -> None:
        """Handle the end of a call. Another call follows even after an internal error."""
        try:
            self.continue_watch(answer)
        except Exception as error:
            log.line("list-broken", why=repr(error))
            self.version = None  # the response may not have been applied
            self.handle_watch_failure("list-broken")
            self.subscribe()

    def continue_watch(self, answer: Any) -> None:
        """Apply the response to a call of the watch, and schedule the next call."""
        if self.read_answer(answer, is_full=self.version is None):
            self.request_schedule.call_answered()
            self.request_schedule.notification.call_answered(self.clock.now())
            self.discard_replacement("given-up")
            self.superseded.discard_all("answered")
            if self.should_continue is not None and not self.should_continue():
                self.pause()
                return
            self.clock.at(self.called_at + CALL_SPACING_SECONDS, self.watch, self.client)
        else:
            began_at = None if answer is not None else self.client.answer_began_at
            self.handle_watch_failure("watch-failed", began_at)
            # Not left to the balancer in these cases, as it would add a random delay of its own.
            if self.is_pushed or self.request_schedule.has_list:
                self.subscribe()

    def handle_watch_failure(self, code: str, answer_began_at: float | None = None) -> None:
        """Stop the watch after a failed call; `answer_began_at` is None if no response had begun."""
        now = self.clock.now()
        since_answer = None if answer_began_at is None else now - answer_began_at
        can_wait = self.version is not None
        self.request_schedule.call_failed(
            now, now - self.called_at, since_answer, self.client.is_sent, can_wait
        )
        self.cancel_watch(code)

    # Superseded calls

    def stop_after_read_time(self, client: DiscoveryClient) -> None:
        """Stop a client after `REPLACED_WATCH_SECONDS`; a response until then is still applied."""
        if client.on_answer is not None:
            self.supersede(client)
        self.clock.at(self.clock.now() + REPLACED_WATCH_SECONDS, client.stop, "replaced")

    def supersede(self, client: DiscoveryClient) -> None:
        """Mark the call of a client as superseded; it may still be answered first."""
        self.superseded.add(client, is_full=self.version is None)

    def apply_superseded(self, answer: Any, is_full: bool) -> None:
        """Apply the response to a superseded call.

        The version changes only if both the old and the new one are known: the call in flight was made with
        the old version, or requests the full list.
        """
        version, is_applicable = self.version, False
        try:
            is_applicable = self.read_answer(answer, is_full) and None not in (version, self.version)
        finally:
            if not is_applicable:
                self.version = version

    # Stale lists

    def record_outcome(self, now: float, endpoint: str, outcome: Outcome) -> None:
        """Record the outcome of an attempt as evidence of whether the list is stale."""
        if self.freshness.attempt_ended(now, endpoint, outcome):
            self.schedule_check()

    def schedule_check(self) -> None:
        """Schedule a check for the time at which the watch is due to be replaced."""
        due = self.freshness.next_ask_at(self.clock.now())
        if self.check_timer is not None and self.check_timer.active():
            if self.check_at <= due:
                return
            self.check_timer.cancel()
        self.check_at = due
        self.check_timer = self.clock.at(due, self.check_freshness) if due < inf else None

    def check_freshness(self) -> None:
        """Replace the watch if that is due."""
        self.check_timer = None
        now = self.clock.now()
        if self.is_watching and self.freshness.next_ask_at(now) <= now:
            self.start_replacement(now)
        self.schedule_check()

    def start_replacement(self, now: float) -> None:
        """Start a replacement watch on a separate connection.

        Its first response contains all changes that the current watch has missed. Without changes it is a
        long poll of the same length, so it causes no additional calls to discovery.
        """
        nodes, is_empty = self.freshness.suspected_count, not self.freshness.serving
        if self.freshness.suspect_since is not None:
            log.line("list-suspect", nodes=nodes, empty=int(is_empty))
        self.freshness.ask_sent(now)
        self.discard_replacement("given-up")
        replacement = self.replacement = self.create_client()
        version = None if is_empty else self.version
        replacement.on_connected = partial(self.promote_replacement, version)
        wait = FULL_LIST_SECONDS if version is None else WATCH_WAIT_SECONDS + CALL_SLACK_SECONDS
        replacement.call(version, now + wait, partial(self.handle_replacement_answer, replacement))

    def promote_replacement(self, version: int | None) -> None:
        """Make the replacement the current watch once it is connected; the old connection may be dead."""
        assert self.replacement is not None
        replaced, self.client, self.replacement = self.client, self.replacement, None
        self.called_at = self.clock.now()
        self.stop_after_read_time(replaced)
        self.version = version
        self.client.on_connected = None
        self.request_schedule.notification.call_accepted(self.called_at, WATCH_WAIT_SECONDS)
        self.freshness.watch_started(self.called_at)

    def handle_replacement_answer(self, client: DiscoveryClient, answer: Any) -> None:
        """Handle the end of the first call of a replacement watch."""
        if client is self.client:
            self.handle_watch_answer(answer)
        else:
            self.replacement = None  # it never connected; the current watch continues
            self.freshness.ask_failed(self.clock.now())
            self.schedule_check()

    def discard_replacement(self, code: str) -> None:
        """Abort the replacement if there is one."""
        replacement, self.replacement = self.replacement, None
        if replacement is not None:
            discard(replacement, code)

    # Responses

    def read_answer(self, answer: Any, is_full: bool = False) -> bool:
        """Apply the response to a call, and return whether it was valid.

        A failed call or an invalid response is reported as a FAILED view. The response to a call for the full
        list is applied as a full list, whatever kind it states.
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
        """Apply a decoded list. If `kind` is None, the list states its kind itself.

        Raises
        ------
        InvalidEndpointListError
            The data is not an endpoint list.
        """
        view, addresses = parse_list(data, kind, self.start_times)
        is_full = view.kind is not ViewKind.DELTA
        self._update_addresses(addresses, is_full)
        # Changes with an older version are applied as well; they occur after a restart of discovery. As the
        # rest of its list is unknown, the full list is requested next.
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
