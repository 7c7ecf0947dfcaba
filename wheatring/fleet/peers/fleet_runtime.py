"""Runs one sidecar's fleet components on the reactor, with sockets, timers and role workers."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from wheatring.common import log
from wheatring.daemon.core.clock import Clock, Timer
from wheatring.fleet.lease.component import Instant, Outgoing
from wheatring.fleet.lease.fleet import Fleet, FleetMessage
from wheatring.fleet.lease.messages import Heartbeat
from wheatring.fleet.lease.singleton_role import RoleChange
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.messages import Address
from wheatring.fleet.members.timing import SwimTiming
from wheatring.fleet.peers import fleet_status
from wheatring.fleet.peers.change_log import ChangeLog
from wheatring.fleet.peers.datagram_codec import MAX_DATAGRAM_BYTES, DatagramCodec
from wheatring.fleet.peers.datagram_socket import DatagramSocket
from wheatring.fleet.peers.list_sharing import ListSharing
from wheatring.fleet.peers.options import FleetOptions
from wheatring.fleet.peers.role_workers import RoleWorker
from wheatring.fleet.peers.status_values import OperatorAnswer

if TYPE_CHECKING:  # at run time, modules of agreed views are imported only if views are enabled
    from wheatring.daemon.config.project_file import ProjectFile
    from wheatring.fleet.peers.agreement import Agreement
    from wheatring.fleet.peers.body_transfer import BodyTransfers

PORT_RETRY_SECONDS = 0.1  # interval of attempts to bind the port, which a previous process may still use
MIN_TIMER_SECONDS = 0.001  # the minimum time between two ticks
NOT_JOINED = "not in the fleet yet"


def boot_clock() -> float:
    """Return the time of the monotonic clock that includes suspension of the machine, in seconds.

    Leases are measured with it, so that a sidecar detects after a suspension that its lease has expired.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class FleetRuntime:
    """One sidecar's membership, votes and roles, from start to shutdown.

    It passes messages and timer events to `lease.fleet.Fleet`, and executes the actions that this returns.
    `workers` are the workers of the roles, by role; `started_with` is the configuration file as read at the
    start.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        options: FleetOptions,
        random: Random,
        boot: Callable[[], float] = boot_clock,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.options = options
        self.random = random
        self.boot = boot
        self.me = options.me
        self.timing = options.timing
        self.start_ms = round(clock.unix() * 1000)
        self.transfers: BodyTransfers | None = None
        self.agreement: Agreement | None = None  # set once the port is bound
        self.make_agreement: Callable[[Instant, Fleet], Agreement] | None = None
        messages: Any = self._prepare_agreement() if options.view else FleetMessage
        self.codec = DatagramCodec(options.fleet, self.me.name, self.start_ms, options.keys, messages)
        self.socket = DatagramSocket(clock, self.codec, self.on_message)
        self.workers: Mapping[str, RoleWorker] = {}
        self.started_with: ProjectFile | None = None
        self.fleet: Fleet | None = None  # set once the port is bound
        self.port: Any = None
        self.timer: Timer | None = None
        self.is_closed = False
        self.has_logged_wait = False
        self.change_log = ChangeLog()

    def _prepare_agreement(self) -> Any:
        """Set up agreed views and, if configured, plans; return the union of known message types."""
        from wheatring.fleet.peers.agreement import VIEW_MESSAGES, Agreement, messages_with_plans
        from wheatring.fleet.peers.body_transfer import BodyRequest, BodyTransfers

        options = self.options
        self.make_agreement = partial(Agreement, plan=options.plan)
        codec = DatagramCodec(options.fleet, self.me.name, self.start_ms, options.keys, BodyRequest)
        self.transfers = BodyTransfers(self.reactor, self.clock, codec, self.body_of, self.on_body_fetched)
        return VIEW_MESSAGES if options.plan is None else messages_with_plans()

    def instant(self) -> Instant:
        """Read all clocks at once."""
        return Instant(self.clock.now(), self.boot(), round(self.clock.unix() * 1000))

    @property
    def name(self) -> str:
        """The name of this sidecar in the fleet."""
        return self.me.name

    # Start and end

    def start(self) -> None:
        """Bind the port, then join the fleet; retry while the port is in use.

        The process that has the port owns the sidecar's name and vote. Otherwise two processes could vote
        independently under the same name.
        """
        from twisted.internet.error import CannotListenError

        if self.is_closed:
            return
        try:
            self._bind()
        except CannotListenError as error:
            self._retry_bind(error)
            return
        bound = self.port.getHost()
        if not self.me.port:
            self.me = self.me._replace(port=bound.port)
        options, at = self.options, self.instant()
        self.fleet = Fleet(
            at, self.me, self.start_ms, options.seeds, options.voters, options.roles, options.timing,
            SwimTiming(), self.random,
        )  # fmt: skip
        if self.make_agreement is not None:
            self.agreement = self.make_agreement(at, self.fleet)
        log.line(
            "fleet-listening", host=bound.host, port=bound.port, votes=int(self.fleet.electorate.is_voter())
        )
        self.timer = None
        self.tick()

    def _bind(self) -> None:
        """Bind the UDP port, and the same TCP port if bodies are transferred."""
        from twisted.internet.error import CannotListenError

        host, number = self.options.listen
        self.port = self.reactor.listenUDP(
            number, self.socket, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1
        )
        if self.transfers is None:
            return
        bound = self.port.getHost()
        try:
            self.transfers.listen(bound.host, bound.port)
        except CannotListenError:  # another process uses the TCP port
            self.port.stopListening()
            self.port = None
            raise

    def _retry_bind(self, error: Exception) -> None:
        if not self.has_logged_wait:
            self.has_logged_wait = True
            log.line("fleet-waits", why=str(error))
        self.timer = self.clock.at(self.clock.now() + PORT_RETRY_SECONDS, self.start)

    def leave(self) -> None:
        """Release all roles, announce the departure, and release the port."""
        if self.is_closed:
            return
        if self.fleet is not None:
            if self.agreement is not None:
                self.dispatch(self.agreement.leave(self.instant()))
            self.dispatch(self.fleet.leave(self.instant()))
        self.close()

    def close(self) -> None:
        """Release the port and stop the workers, without notifying other sidecars."""
        self.is_closed = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        for worker in self.workers.values():
            worker.stop()
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        if self.transfers is not None:
            self.transfers.close()

    # Bodies

    def body_of(self, digest: bytes) -> bytes | None:
        """Return the body with a digest, for another sidecar; None if it is unknown."""
        return None if self.fleet is None else self.fleet.payloads.get(digest)

    def on_body_fetched(self, digest: bytes, body: bytes | None) -> None:
        """Pass a fetched body, or None for a failed fetch, to the fleet's components."""
        if self.fleet is not None and not self.is_closed:
            self.dispatch(self.fleet.receive_payload(self.instant(), digest, body))

    # Events, and the resulting actions

    def tick(self) -> None:
        """Run all actions that are due."""
        if self.fleet is not None and not self.is_closed:
            self.dispatch(self.fleet.tick(self.instant()))

    def on_message(self, sender: str, address: Address, message: Any) -> None:
        """Handle a message from another sidecar."""
        if self.fleet is not None and not self.is_closed:
            self.dispatch(self.fleet.receive(self.instant(), sender, address, message))

    def dispatch(self, outgoing: list[Outgoing]) -> None:
        """Send messages, execute the other requested actions, and set the timer for the next tick."""
        fleet = self.fleet
        assert fleet is not None
        self._send(fleet, outgoing)
        fetches, fleet.fetch_requests = fleet.fetch_requests, []
        for fetch in fetches:
            if self.transfers is not None:
                self.transfers.fetch(fetch)
        heartbeats, fleet.heartbeats = fleet.heartbeats, []
        for heartbeat in heartbeats:
            worker = self.workers.get(heartbeat.role)
            if isinstance(worker, ListSharing):
                worker.on_heartbeat(heartbeat)
        changes, fleet.role_manager.changes = fleet.role_manager.changes, []
        for change in changes:
            self._handle_role_change(change)
        self.change_log.log_members(fleet)
        if self.agreement is not None:
            self.change_log.log_view(self.agreement.views, self.clock.now())
        self._set_timer(fleet)

    def _send(self, fleet: Fleet, outgoing: list[Outgoing]) -> None:
        """Send messages; those to this sidecar itself are handled at once, without the socket."""
        own = (self.me.host, self.me.port)
        queue = deque(outgoing)
        while queue:
            address, message = queue.popleft()
            if address == own:
                queue += fleet.receive(self.instant(), self.me.name, own, message)
            else:
                self.socket.send(address, message)

    def _handle_role_change(self, change: RoleChange) -> None:
        if change.reason:
            log.line("duty-over", duty=change.role, epoch=change.epoch)
        else:
            log.line("duty-held", duty=change.role, epoch=change.epoch, by=self.me.name)
        worker = self.workers.get(change.role)
        if worker is not None:
            worker.on_epoch_changed(None if change.reason else change.epoch)

    def _set_timer(self, fleet: Fleet) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.is_closed:
            wait = max(MIN_TIMER_SECONDS, fleet.seconds_until_due(self.instant()))
            self.timer = self.clock.at(self.clock.now() + wait, self.tick)

    # Roles, for their workers

    def active_epoch(self, role: str) -> int | None:
        """Return the epoch to act in, to be read before each action; None if the role isn't held here."""
        if self.fleet is None or self.is_closed:
            return None
        return self.fleet.roles[role].epoch_to_act(self.boot())

    def record_activity(self, role: str) -> None:
        """Record that the role's work was done now."""
        if self.fleet is not None:
            self.fleet.roles[role].record_activity(self.boot())

    def on_newer_epoch(self, role: str, epoch: int) -> None:
        """Release a role, as a receiver has seen this higher epoch; the next lease's epoch is above it."""
        fleet = self.fleet
        if fleet is None or self.is_closed:
            return
        for proposer in fleet.roles[role].proposers:
            proposer.record_epoch(epoch)
        self.dispatch(fleet.role_manager.release(self.instant(), role, 0.0))

    def send_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Send a holder's heartbeat to all sidecars of the tier."""
        if self.fleet is not None and not self.is_closed:
            self.dispatch(self.fleet.broadcast(heartbeat))

    # Requests of operators and configuration changes

    def offer_plan(self, body: bytes) -> OperatorAnswer:
        """Propose a plan to the fleet."""
        if self.agreement is None or self.agreement.plan is None:
            return OperatorAnswer(503, {"what": NOT_JOINED})
        answer = self.agreement.plan.offer(self.instant(), body)
        self.dispatch([])  # reset the timer: the proposal is due now
        return answer

    def set_format_floor(self, min_format: int) -> OperatorAnswer:
        """Set the minimum plan format that members have to support."""
        if self.agreement is None or self.agreement.plan is None:
            return OperatorAnswer(503, {"what": NOT_JOINED})
        http_status, answer, outgoing = self.agreement.plan.set_format_floor(self.instant(), min_format)
        self.dispatch(outgoing)
        return OperatorAnswer(http_status, answer)

    @property
    def is_ready(self) -> bool:
        """Whether the weights to serve with are known: the fleet's, or the file's if the fleet has none."""
        if self.make_agreement is None or self.options.plan is None:
            return True
        plan = None if self.agreement is None else self.agreement.plan
        return plan is not None and plan.weight_schedule.is_ready

    def plan_status(self) -> dict[str, Any]:
        """Return the status of the fleet's plan for `GET /control/plan`."""
        if self.agreement is None or self.agreement.plan is None:
            return {"waits": NOT_JOINED}
        return self.agreement.plan.status(self.instant())

    def release_role(self, role: str) -> bool:
        """Release a role, and don't compete for it for a while; return False if it isn't held here."""
        if self.fleet is None or self.is_closed or self.active_epoch(role) is None:
            return False
        self.dispatch(self.fleet.role_manager.release(self.instant(), role))
        return True

    def set_wanted(self, role: str, is_wanted: bool) -> None:
        """Start or stop competing for a role that is held only on request."""
        if self.fleet is not None and not self.is_closed:
            self.dispatch(self.fleet.role_manager.request(self.instant(), role, is_wanted))

    def change_voters(self, voters: VoterSet) -> str:
        """Change the voter set; return the reason for a refusal, or "" on success."""
        if self.fleet is None or self.is_closed:
            return "it is not in the fleet yet"
        why, outgoing = self.fleet.change_voters(self.instant(), voters)
        self.dispatch(outgoing)
        return why

    def status(self) -> dict[str, Any]:
        """Return this sidecar's state of the fleet for `GET /control/duties`."""
        fleet, at = self.fleet, self.instant()
        if fleet is None:
            return {"name": self.me.name, "waits": "its port is taken"}
        sharing = {name: worker for name, worker in self.workers.items() if isinstance(worker, ListSharing)}
        return {
            "name": self.me.name,
            "voters": fleet.voters.names,
            "votes": fleet.electorate.is_voter(),
            "abstains_s": round(max(0.0, fleet.acceptor.abstains_until - at.boot), 2),
            "health": fleet.members.gossip.health.score,
            "view": None if self.agreement is None else self.agreement.status(at.now),
            "members": fleet_status.member_rows(fleet, at),
            "duties": fleet_status.role_rows(fleet, at),
            "lists": {name: worker.status() for name, worker in sharing.items()},
            "datagrams": fleet_status.datagram_counts(self.socket),
        }
