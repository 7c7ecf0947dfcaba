"""Installs the membership views that the register `view` has chosen. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import NamedTuple

from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet
from wheatring.fleet.lease.payloads import FetchRequest, digest
from wheatring.fleet.lease.register_learner import FETCH_RETRY_SECONDS
from wheatring.fleet.lease.register_messages import Entry
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.view import Rings, View, ViewChange, decode_change, decode_members
from wheatring.fleet.members.view_messages import ViewMember

OnInstalled = Callable[[Instant, View, ViewChange], list[Outgoing]]  # gets the previous view and the change


class PendingChange(NamedTuple):
    """A chosen change whose complete view is being fetched."""

    entry: Entry
    change: ViewChange


class ViewInstaller:
    """Installs the view of each chosen change, and fetches the complete view if an earlier change was missed.

    `on_installed` is called after each installation. `change_count` counts the installed views whose members
    differed from the previous view's.
    """

    def __init__(self, at: Instant, fleet: Fleet, on_installed: OnInstalled) -> None:
        self.fleet = fleet
        self.on_installed = on_installed
        self.view = View()
        self.rings = Rings(())
        self.self_member = ViewMember(fleet.me, fleet.incarnation)
        self.changed_at = at.now  # when the view's members last changed
        self.change_count = 0
        self.pending_change: PendingChange | None = None
        self.next_fetch_retry = inf

    @property
    def is_member(self) -> bool:
        """Whether this process (name and incarnation) is a member of the installed view."""
        return self.view.member(self.fleet.me.name) == self.self_member

    def handle_chosen(self, at: Instant, entry: Entry, payload: bytes, source: Address) -> list[Outgoing]:
        """Install the view of a chosen change; `source` is the member to fetch a missing view from."""
        change = decode_change(payload)
        if change is None:
            return []
        current = digest(self.view.payload)
        if current == change.after:
            return self._install(at, replace(self.view, number=entry.number, epoch=entry.epoch), change)
        if current == change.before:
            after = self.view.with_changes(entry.number, entry.epoch, change.added, change.removed)
            if digest(after.payload) == change.after:
                return self._install(at, after, change)
        complete = self.fleet.payloads.get(change.after)
        if complete is not None and (members := decode_members(complete)) is not None:
            return self._install(at, View(entry.number, entry.epoch, members), change)
        self.pending_change, self.next_fetch_retry = PendingChange(entry, change), inf
        self.fleet.fetch_requests.append(FetchRequest(source, change.after))
        return []

    def receive_payload(self, at: Instant, digest: bytes, payload: bytes | None) -> list[Outgoing]:
        """Handle the result of a fetch: install the view if it is the pending one."""
        if self.pending_change is None or self.pending_change.change.after != digest:
            return []
        entry, change = self.pending_change
        if payload is not None and (members := decode_members(payload)) is not None:
            return self._install(at, View(entry.number, entry.epoch, members), change)
        self.next_fetch_retry = at.now + FETCH_RETRY_SECONDS * (0.5 + self.fleet.random.random())
        return []

    def retry_fetch(self, source: Address) -> None:
        """Fetch the complete view from a random member, because its source did not have it."""
        self.next_fetch_retry = inf
        if self.pending_change is None:
            return
        own = self.fleet.me.name
        alive = [member for member in self.fleet.members.alive_members() if member.name != own]
        address = source
        if alive:
            member = self.fleet.random.choice(alive)
            address = (member.host, member.port)
        self.fleet.fetch_requests.append(FetchRequest(address, self.pending_change.change.after))

    def _install(self, at: Instant, view: View, change: ViewChange) -> list[Outgoing]:
        """Replace the installed view."""
        self.pending_change, self.next_fetch_retry = None, inf
        previous, self.view = self.view, view
        self.fleet.payloads.put(view.payload)
        self.fleet.payloads.pin("view/whole", change.after)
        if previous.members != view.members:
            self.change_count += 1
            self.changed_at = at.now
            self.rings = Rings(view.names)
        return self.on_installed(at, previous, change)
