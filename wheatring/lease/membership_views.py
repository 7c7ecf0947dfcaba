"""One sidecar's part in the agreed view: watches and is watched, stands in a view, leads the next one.

In which view it stands is moved only by the register `view` (an entry that is chosen, whose body is there).
What it tells others of who is silent is evidence; who goes and comes is decided by the leader alone, out of
what the observers of the present view said, and is in force once a majority of the voters keeps it.

What must never hold: two sidecars that stand in views of one number with other members; one that goes back to
a lower number; one that counts on a view (`sure`) though no leader has stood by it for `SURE` seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import get_args

from wheatring.lease.component import Instant, Outgoing
from wheatring.lease.fleet import Fleet
from wheatring.lease.payloads import FetchRequest, digest
from wheatring.lease.register_learner import FETCH_RETRY_SECONDS
from wheatring.lease.register_messages import Entry
from wheatring.lease.replicated_register import LEADER_ROLE, ReplicatedRegister
from wheatring.members.cut_detector import CutDetector, chunks
from wheatring.members.edge_monitor import STALL_SECONDS, EdgeMonitor
from wheatring.members.indirect_checks import IndirectChecks
from wheatring.members.membership import Address
from wheatring.members.messages import (
    ALIVE,
    HealthCheck,
    HealthCheckResponse,
    IndirectCheckRequest,
    IndirectCheckResult,
    JoinDeferred,
    JoinRequest,
    LeaderStamp,
    MissedCheck,
    SilenceReport,
    SyncRequest,
    ViewMember,
    ViewMessage,
)
from wheatring.members.view import Rings, View, ViewChange, decode_change, decode_members, encode_change

LEADER_CHECK_SECONDS = 0.1  # seconds from one look of a leader at what was reported to the next
STAMP_INTERVAL_SECONDS = 1.0  # seconds from one stamp to the next
STAMP_VALID_SECONDS = 10.0  # seconds for which a stamp counts
JOIN_REQUEST_INTERVAL_SECONDS = 1.0  # seconds from one knock to the next
INDIRECT_CHECKERS = 8  # members that look once more at who may go
MAX_NAMES_PER_MESSAGE = 60  # names in one word
MAX_INDIRECT_TARGETS = 720  # looks at others than subjects that may be answered yet


class MembershipViews:
    """A piece, and beside it its `register`, another. `plan` is told by whoever knows the newest plan's
    number, for the stamps. `moved` counts the views that this sidecar has stood in.
    """

    message_types = get_args(ViewMessage)

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        self.fleet = fleet
        self.register = ReplicatedRegister(at, "view", fleet, self._on_chosen)
        self.register.audience = lambda: self.view.names
        self.monitor = EdgeMonitor(at.now, fleet.random)
        self.cut_detector = CutDetector()
        self.view = View()
        self.rings = Rings(())
        self.self_member = ViewMember(fleet.me, fleet.incarnation)
        self.changed_at = at.now  # when it came to stand in it
        self.change_count = 0
        self.plan_number = 0  # the number of the newest plan known chosen
        self.stamp = LeaderStamp(0, 0)
        self.stamp_time = -inf  # the latest instant at which the stamp surely was not older than its age
        self.next_stamp = self.next_join_request = self.next_leader_check = at.now
        self.join_deferral: JoinDeferred | None = None
        self.pending_change: tuple[Entry, ViewChange] | None = None  # chosen, and the whole view is fetched
        self.next_fetch_retry = inf  # when that is tried again
        # Why one that knocks is not let in now, by whoever knows what members have to be able to; "": it is.
        self.admission_objection: Callable[[Instant, ViewMember], str] = lambda at, placed: ""
        self.indirect_checks = IndirectChecks()
        self.indirect_targets: dict[int, str] = {}  # looks of errands: at whom
        self.last_heard_from: dict[
            str, float
        ] = {}  # who is heard and does not answer: when it was last heard
        self.check_sequence = 0

    # What it is asked

    @property
    def is_member(self) -> bool:
        """Whether this very process stands in the view that it knows."""
        return self.view.member(self.fleet.me.name) == self.self_member

    def stamp_age_seconds(self, now: float) -> float:
        """Seconds since a leader surely stood by the newest stamp known here."""
        return now - self.stamp_time

    def is_current(self, now: float) -> bool:
        """Whether it may still count on its view."""
        return (
            self.is_member
            and self.stamp_age_seconds(now) < STAMP_VALID_SECONDS
            and self.stamp.view <= self.view.number
        )

    def isolation(self, now: float) -> str:
        """ "mute", "deaf" or "": see `Watch.side`."""
        return self.monitor.isolation(now) if self.is_member else ""

    # Time

    @property
    def due(self) -> float:
        leads = self.next_leader_check if self.register.epoch is not None else inf
        knocks = inf if self.is_member else self.next_join_request
        return min(self.monitor.due, leads, knocks, self.indirect_checks.due, self.next_fetch_retry)

    def tick(self, at: Instant) -> list[Outgoing]:
        # By what is always due, and not by what a leader has to do: who comes to lead was not held up.
        if (late := at.now - self.monitor.due) > STALL_SECONDS and self.change_count:
            self.monitor.note_stall(late)
            self.cut_detector.clear_evidence()
        out = self._run_health_checks(at) + self._request_join(at)
        if at.now >= self.next_fetch_retry:
            self._retry_fetch()
        if self.register.epoch is not None and at.now >= self.next_leader_check:
            self.next_leader_check = at.now + LEADER_CHECK_SECONDS * (0.9 + 0.2 * self.fleet.random.random())
            out += self._lead(at)
        return out

    def _run_health_checks(self, at: Instant) -> list[Outgoing]:
        out: list[Outgoing] = []
        for name, seq, hurry in self.monitor.due_checks(at.now):
            out += self._health_check(name, seq, hurry)
        kicks, self.monitor.miss_notices = self.monitor.miss_notices, []
        for name in kicks:
            for other in self.rings.observers(name):
                out += self._to_member(other, MissedCheck(self.view.number, name))
        blames, self.monitor.new_suspects = self.monitor.new_suspects, []
        for name in blames:
            self.fleet.members.suspect(at.now, name)
        if self.monitor.should_check_observers(at.now):
            for name in self.rings.observers(self.fleet.me.name):
                out += self._check_indirectly(name)
        for name in self.indirect_checks.due_checks(at.now):
            out += self._check_indirectly(name)
        silent = self.monitor.due_report(at.now)
        if silent is not None:
            word = SilenceReport(self.view.number, silent[:MAX_NAMES_PER_MESSAGE])
            out += self.fleet.to_voters([(voter, word) for voter in self.fleet.voters.names])
        return out

    def _health_check(self, name: str, seq: int, hurry: bool = False) -> list[Outgoing]:
        row = self.fleet.members.table.records.get(name)
        return self._to_member(
            name, HealthCheck(seq, *self.fleet.members.piggyback(row), self.view.number, hurry)
        )

    def _to_member(self, name: str, word: ViewMessage) -> list[Outgoing]:
        if name == self.fleet.me.name:
            return []
        where = self.fleet.members.address(name)
        if where is None:
            placed = self.view.member(name)
            where = (placed.member.host, placed.member.port) if placed is not None else None
        return [(where, word)] if where is not None else []

    # Words

    def receive(self, at: Instant, sender: str, address: Address, word: ViewMessage) -> list[Outgoing]:
        now = at.now
        self.monitor.last_message = now
        out: list[Outgoing] = []
        match word:
            case HealthCheck():
                self.fleet.members.apply_piggyback(now, word)
                if word.check_early:
                    self.monitor.check_all_early(now, False)
                if sender in self.monitor.subjects:
                    self.last_heard_from[sender] = now
                along = self.fleet.members.piggyback(self.fleet.members.table.records.get(sender))
                here = HealthCheckResponse(
                    word.seq, *along, self.view.number, self.stamp, max(0.0, now - self.stamp_time)
                )
                out = [(address, here)]
                if self.fleet.members.table.records.get(sender) is None:
                    # The rumour of it has not come by here: it is asked itself, or voters that started anew
                    # together would know of nobody but each other.
                    out.append((address, SyncRequest(0, (self.fleet.members.own_update(),))))
                if word.view > self.register.chosen.number:
                    out.append((address, self.register.newest_query()))
            case HealthCheckResponse():
                out = self._on_health_response(at, sender, address, word)
            case MissedCheck():
                self.monitor.check_early(now, word.name)
            case SilenceReport():
                if sender in self.view.names:
                    self.cut_detector.add_report(now, sender, word.silent)
                    if any(name == sender for name, _ in word.silent):
                        out = self._lead(at)
            case JoinRequest():
                if word.member.member.name == sender:
                    self.cut_detector.add_join_request(now, word.member)
                    if self.view.member(sender) == word.member:  # it is in, and has not heard of it
                        out.append((address, self.register.chosen_announcement()))
            case JoinDeferred():
                self.join_deferral = word
                self.next_join_request = max(
                    self.next_join_request, now + min(word.retry_after_seconds, 10.0) + 0.05
                )
            case IndirectCheckRequest():
                self.indirect_checks.start(now, address, word.seq, word.names[:MAX_NAMES_PER_MESSAGE])
            case IndirectCheckResult():
                self.cut_detector.note_reached(now, word.names)
        return out

    def _on_health_response(
        self, at: Instant, sender: str, address: Address, word: HealthCheckResponse
    ) -> list[Outgoing]:
        now = at.now
        self.fleet.members.apply_piggyback(now, word)
        if word.seq in self.indirect_targets:
            return self._on_indirect_response(now, sender, word.seq)
        sent = self.monitor.receive_response(now, sender, word.seq)
        if sent is None:
            return []
        self.last_heard_from.pop(sender, None)
        self.fleet.members.note_answer(now, sender)
        # Counted from when it was asked: however long the answer was on its way, the stamp is no younger.
        born = sent - max(0.0, word.age_seconds)
        newer = word.stamp[:2] > self.stamp[:2]
        if newer or (word.stamp[:2] == self.stamp[:2] and born > self.stamp_time):
            self.stamp, self.stamp_time = word.stamp, born
        if max(word.view, word.stamp.view) > self.register.chosen.number:
            return [(address, self.register.newest_query())]
        return []

    # Second looks, for a leader

    def _check_indirectly(self, name: str) -> list[Outgoing]:
        """Look at one that need not be a subject."""
        self.monitor.sequence += 1
        self.indirect_targets[self.monitor.sequence] = name
        while len(self.indirect_targets) > MAX_INDIRECT_TARGETS:
            del self.indirect_targets[next(iter(self.indirect_targets))]
        return self._health_check(name, self.monitor.sequence)

    def _on_indirect_response(self, now: float, name: str, seq: int) -> list[Outgoing]:
        if self.indirect_targets.pop(seq) != name:
            return []
        self.monitor.last_answer = now
        return [
            (leader, IndirectCheckResult(self.view.number, number, (name,)))
            for leader, number in self.indirect_checks.note_reached(name)
        ]

    # Coming in, and leaving

    def _request_join(self, at: Instant) -> list[Outgoing]:
        if self.is_member or at.now < self.next_join_request:
            return []
        self.next_join_request = at.now + JOIN_REQUEST_INTERVAL_SECONDS * (
            0.9 + 0.2 * self.fleet.random.random()
        )
        word = JoinRequest(self.view.number, self.self_member)
        return self.fleet.to_voters([(voter, word) for voter in self.fleet.voters.names])

    def leave(self, at: Instant) -> list[Outgoing]:
        """Ask to be taken out at once."""
        word = SilenceReport(self.view.number, ((self.fleet.me.name, 0.0),))
        return self.fleet.to_voters([(voter, word) for voter in self.fleet.voters.names])

    # The leader

    def _lead(self, at: Instant) -> list[Outgoing]:
        if not self.register.is_settled or self.pending_change is not None:
            return []
        if self.register.chosen.number != self.view.number:
            return []
        epoch = self.fleet.roles[LEADER_ROLE].epoch_to_act(at.boot)
        if epoch is None or epoch != self.register.epoch:
            return []
        now, out = at.now, []
        if now >= self.next_stamp:
            self.next_stamp = now + STAMP_INTERVAL_SECONDS
            seq = self.stamp.sequence + 1 if self.stamp.epoch == epoch else 1
            self.stamp, self.stamp_time = LeaderStamp(epoch, seq, self.view.number, self.plan_number), now
        if not self.monitor.is_isolated(now):
            out += self._request_indirect_checks(now)
            went = self.cut_detector.members_to_remove(now, self.view, self.rings)
            came, wait = self.cut_detector.members_to_admit(now, self.view, self.rings)
            for placed, left, cost in wait:
                why = f"it went out again and again (cost {cost:.1f})"
                out.append(
                    ((placed.member.host, placed.member.port), JoinDeferred(self.view.number, left, why))
                )
            shut = {placed: why for placed in came if (why := self.admission_objection(at, placed))}
            for placed, why in shut.items():
                out.append(
                    (
                        (placed.member.host, placed.member.port),
                        JoinDeferred(self.view.number, JOIN_REQUEST_INTERVAL_SECONDS, why),
                    )
                )
            came = [placed for placed in came if placed not in shut]
            if went or came:
                out += self._put_change(at, came, went)
        return out

    def _request_indirect_checks(self, now: float) -> list[Outgoing]:
        new = self.cut_detector.members_to_check(now, self.view, self.rings)
        # Whoever leads is there: two that are deaf report all, it among them, and nobody may be left to look.
        self.cut_detector.note_reached(now, [self.fleet.me.name])
        if not new:
            return []
        others = self.view.names - {self.fleet.me.name}
        rest, doubted = (
            sorted(others - self.cut_detector.checked_since.keys()),
            sorted(others & self.cut_detector.checked_since.keys()),
        )
        chosen = self.fleet.random.sample(rest, min(INDIRECT_CHECKERS, len(rest)))
        # Where so many are in doubt, some of these look too: one more that is reached by nobody does no harm.
        chosen += self.fleet.random.sample(doubted, min(INDIRECT_CHECKERS - len(chosen), len(doubted)))
        out: list[Outgoing] = []
        for part in chunks(new, MAX_NAMES_PER_MESSAGE):
            self.check_sequence += 1
            word = IndirectCheckRequest(self.view.number, self.check_sequence, tuple(part))
            for name in chosen:
                out += self._to_member(name, word)
            own = (self.fleet.me.host, self.fleet.me.port)
            self.indirect_checks.start(now, own, self.check_sequence, tuple(part))
        return out

    def _put_change(self, at: Instant, came: list[ViewMember], went: list[str]) -> list[Outgoing]:
        after = self.view.with_changes(0, 0, came, went)
        change = ViewChange(digest(self.view.payload), digest(after.payload), tuple(came), tuple(went))
        # Whoever misses a change asks for the whole, and the voters are to have it before it is chosen.
        self.fleet.payloads.put(after.payload)
        return self.register.put(at, encode_change(change))

    # What is chosen

    def _on_chosen(self, at: Instant, entry: Entry, body: bytes) -> list[Outgoing]:
        change = decode_change(body)
        if change is None:
            return []
        own = self.view.payload
        if digest(own) == change.after:
            return self._install(at, replace(self.view, number=entry.number, epoch=entry.epoch), change)
        if digest(own) == change.before:
            after = self.view.with_changes(entry.number, entry.epoch, change.added, change.removed)
            if digest(after.payload) == change.after:
                return self._install(at, after, change)
        whole = self.fleet.payloads.get(change.after)
        if whole is not None and (members := decode_members(whole)) is not None:
            return self._install(at, View(entry.number, entry.epoch, members), change)
        self.pending_change, self.next_fetch_retry = (entry, change), inf
        self.fleet.fetch_requests.append(FetchRequest(self.register.payload_source, change.after))
        return []

    def receive_payload(self, at: Instant, digest: bytes, body: bytes | None) -> list[Outgoing]:
        if self.pending_change is None or self.pending_change[1].after != digest:
            return []
        entry, change = self.pending_change
        if body is not None and (members := decode_members(body)) is not None:
            return self._install(at, View(entry.number, entry.epoch, members), change)
        self.next_fetch_retry = at.now + FETCH_RETRY_SECONDS * (0.5 + self.fleet.random.random())
        return []

    def _retry_fetch(self) -> None:
        """The whole view was not there: somebody else of the fleet has it."""
        self.next_fetch_retry = inf
        if self.pending_change is None:
            return
        alive = [who for who in self.fleet.members.alive_members() if who.name != self.fleet.me.name]
        where = self.register.payload_source
        if alive:
            who = self.fleet.random.choice(alive)
            where = (who.host, who.port)
        self.fleet.fetch_requests.append(FetchRequest(where, self.pending_change[1].after))

    def _install(self, at: Instant, view: View, change: ViewChange) -> list[Outgoing]:
        """From here on it stands in that view."""
        self.pending_change, self.next_fetch_retry = None, inf
        was, self.view = self.view, view
        self.fleet.payloads.put(view.payload)
        self.fleet.payloads.pin("view/whole", change.after)
        if was.members != view.members:
            self.change_count += 1
            self.changed_at = at.now
            self.cut_detector.note_removed(at.now, change.removed)
            self.cut_detector.note_admitted(change.added)
            self.rings = Rings(view.names)
        self.monitor.set_subjects(at.now, self.rings.subjects(self.fleet.me.name) if self.is_member else [])
        self.fleet.members.is_probing = not (self.is_member and self.monitor.subjects)
        if self.is_member:
            self.join_deferral = None
        return self._announce_to_unknown(was, change) if self.register.epoch is not None else []

    def _announce_to_unknown(self, was: View, change: ViewChange) -> list[Outgoing]:
        """What is chosen is spread by opinion of who is there. A leader tells those of the view itself whom
        its opinion does not have: they came just now, or were taken for dead a moment ago. And those who
        went, who may still hear.
        """
        rows = self.fleet.members.table.records
        strangers = [
            placed.member
            for placed in self.view.members
            if placed.member.name != self.fleet.me.name
            and ((row := rows.get(placed.member.name)) is None or row.state != ALIVE)
        ]
        gone = [placed.member for placed in was.members if placed.member.name in change.removed]
        return [((who.host, who.port), self.register.chosen_announcement()) for who in strangers + gone]
