"""The membership view that one sidecar stands in, as the register `view` has it chosen. No I/O."""

from __future__ import annotations

from dataclasses import replace
from math import inf

from wheatring.lease.component import Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.payloads import FetchRequest, digest
from wheatring.lease.register_learner import FETCH_RETRY_SECONDS
from wheatring.lease.register_messages import Entry
from wheatring.lease.replicated_register import ReplicatedRegister
from wheatring.members.cut_detector import CutDetector
from wheatring.members.edge_monitor import EdgeMonitor
from wheatring.members.messages import ALIVE
from wheatring.members.view import Rings, View, ViewChange, decode_change, decode_members
from wheatring.members.view_messages import JoinDeferred, ViewMember


class ViewInstaller:
    """Installs each view whose change is chosen, and fetches the complete one where a change was missed.

    `change_count` counts the views with other members that this sidecar has stood in.
    """

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        self.fleet = fleet
        self.register = ReplicatedRegister(at, "view", fleet, self._on_chosen)
        self.register.leader.audience = lambda: self.view.names
        self.monitor = EdgeMonitor(at.now, fleet.random)
        self.cut_detector = CutDetector()
        self.view = View()
        self.rings = Rings(())
        self.self_member = ViewMember(fleet.me, fleet.incarnation)
        self.changed_at = at.now  # when its members last changed
        self.change_count = 0
        self.join_deferral: JoinDeferred | None = None
        self.pending_change: tuple[Entry, ViewChange] | None = (
            None  # chosen, and the complete view is fetched
        )
        self.next_fetch_retry = inf

    @property
    def is_member(self) -> bool:
        """Whether this very process is a member of the view that it knows."""
        return self.view.member(self.fleet.me.name) == self.self_member

    def _on_chosen(self, at: Instant, entry: Entry, payload: bytes) -> list[Outgoing]:
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
        self.pending_change, self.next_fetch_retry = (entry, change), inf
        self.fleet.fetch_requests.append(FetchRequest(self.register.learner.payload_source, change.after))
        return []

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        """Handle a fetched payload: install the view if it is the one that is awaited."""
        if self.pending_change is None or self.pending_change[1].after != digest:
            return []
        entry, change = self.pending_change
        if body is not None and (members := decode_members(body)) is not None:
            return self._install(at, View(entry.number, entry.epoch, members), change)
        self.next_fetch_retry = at.now + FETCH_RETRY_SECONDS * (0.5 + self.fleet.random.random())
        return []

    def _retry_fetch(self) -> None:
        """Fetch the complete view from some other member, as its source did not have it."""
        self.next_fetch_retry = inf
        if self.pending_change is None:
            return
        own = self.fleet.me.name
        alive = [member for member in self.fleet.members.alive_members() if member.name != own]
        address = self.register.learner.payload_source
        if alive:
            member = self.fleet.random.choice(alive)
            address = (member.host, member.port)
        self.fleet.fetch_requests.append(FetchRequest(address, self.pending_change[1].after))

    def _install(self, at: Instant, view: View, change: ViewChange) -> list[Outgoing]:
        """Stand in that view from here on."""
        self.pending_change, self.next_fetch_retry = None, inf
        previous, self.view = self.view, view
        self.fleet.payloads.put(view.payload)
        self.fleet.payloads.pin("view/whole", change.after)
        if previous.members != view.members:
            self.change_count += 1
            self.changed_at = at.now
            self.cut_detector.note_removed(at.now, change.removed)
            self.cut_detector.note_admitted(change.added)
            self.rings = Rings(view.names)
        self.monitor.set_subjects(at.now, self.rings.subjects(self.fleet.me.name) if self.is_member else [])
        self.fleet.members.is_probing = not (self.is_member and self.monitor.subjects)
        if self.is_member:
            self.join_deferral = None
        return self._announce_to_unknown(previous, change) if self.register.epoch is not None else []

    def _announce_to_unknown(self, previous: View, change: ViewChange) -> list[Outgoing]:
        """Announce the view, as a leader, to those whom a broadcast doesn't reach.

        A broadcast goes to the members that this one holds to be alive. Those of the view that it doesn't
        were admitted just now, or were taken for dead a moment ago; those removed may still hear.
        """
        records = self.fleet.members.table.records
        unknown = [
            placed.member
            for placed in self.view.members
            if placed.member.name != self.fleet.me.name
            and ((record := records.get(placed.member.name)) is None or record.state != ALIVE)
        ]
        removed = [placed.member for placed in previous.members if placed.member.name in change.removed]
        return [
            ((member.host, member.port), self.register.learner.chosen_announcement())
            for member in unknown + removed
        ]
