"""The process of one sidecar: follows the control state, listens for clients, and says whether it is
ready.
"""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random

from wheatring.balancer.interface import EndpointEntry, EndpointState
from wheatring.boot_settings.settings import Settings
from wheatring.boot_settings.watch import SettingsWatch
from wheatring.budgets.token_budgets import TokenBudgets
from wheatring.event_log import log_event
from wheatring.http1.parser import Message
from wheatring.sidecar.client_connection import ClientConnection, ConnectionSettings, RequestHandler
from wheatring.sidecar.endpoint_connection import EndpointConnectionPool
from wheatring.sidecar.policy import DEFAULT_POLICY, SidecarPolicy
from wheatring.sidecar.request_service import RequestService
from wheatring.sidecar.route_table import Limits, RouteTable
from wheatring.sidecar.service_balancer import ServiceBalancer
from wheatring.storage.quorum_client import QuorumClient
from wheatring.subscription.client import Subscription
from wheatring.transport.client import ClientTable
from wheatring.transport.messages_pb2 import ROLE_SIDECAR, EndpointList, Presence
from wheatring.turns.conversations import Conversations

PRESENCE_INTERVAL_SECONDS = 2.0
SWEEP_INTERVAL_SECONDS = 0.5
UNCONFIRMED_CONFIGURATION_SECONDS = 3.0  # after which a configuration that no controller confirms is served
DRAIN_ACCEPT_SECONDS = 2.6  # from SIGTERM on, in which new connections are still taken
STOP_MARGIN_SECONDS = 0.7  # seconds before SIGKILL at which the process ends whatever is under way
LISTEN_BACKLOG = 512


class SidecarProcess:
    """The owner of all state of one sidecar process."""

    def __init__(self, settings: Settings, random: Random, policy: SidecarPolicy = DEFAULT_POLICY) -> None:
        self.settings = settings
        self._policy = policy
        self._random = random
        self._watch = SettingsWatch(settings)
        self.subscription = Subscription(
            seeds=lambda: [seed.host for seed in self._watch.settings.seeds],
            port=settings.controller_port,
            zone=settings.zone,
            presence=self._presence,
            presence_interval_seconds=PRESENCE_INTERVAL_SECONDS,
            on_change=self._changed,
            random=random,
        )
        losses = settings.tolerance.losses
        self._storage_clients = ClientTable(settings.storage_port)
        store = QuorumClient(
            self._storage_clients,
            losses,
            settings.zone,
            lambda: self.subscription.view.placement,
            self.subscription.adopt_placement,
        )
        self._upstreams = EndpointConnectionPool()
        self.service = RequestService(self._upstreams, Conversations(store), TokenBudgets(store), random)
        self._connection_settings = ConnectionSettings(Limits())
        self._clients: set[ClientConnection] = set()
        self._list_version = 0
        self._started_at = 0.0
        self._leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []

    # Start and stop

    async def start(self) -> None:
        """Listen and begin to follow the controllers. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        front, ready = self.settings.listen["front"], self.settings.listen["ready"]
        for address, handler in ((ready, self._answer_readiness), (front, self.service.handle_request)):
            server = await loop.create_server(
                partial(self._client, handler), address.host, address.port, backlog=LISTEN_BACKLOG
            )
            self._servers.append(server)
        jobs = (self.subscription.run(), self._sweep(), self._watch.run())
        self._tasks = [loop.create_task(job) for job in jobs]

    def _client(self, handler: RequestHandler) -> ClientConnection:
        client = ClientConnection(handler, lambda: self._connection_settings, self._clients.discard)
        self._clients.add(client)
        return client

    async def stop(self) -> None:
        """Stop to be ready, answer all that was read, and end within the grace time."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self._leaving = True
        self._connection_settings.is_closing = True
        ends = began + self.settings.grace_seconds - STOP_MARGIN_SECONDS
        await asyncio.sleep(DRAIN_ACCEPT_SECONDS)
        for server in self._servers:
            server.close()
        while loop.time() < ends:
            for client in [client for client in self._clients if not client.is_busy]:
                client.close()
            if not self._clients and not self.service.in_flight:
                break
            await asyncio.sleep(0.05)
        log_event("stopped", seconds=round(loop.time() - began, 2), under_way=self.service.in_flight)

    def reload(self) -> None:
        """The settings file may have changed."""
        self._watch.reload()

    # What the controllers tell

    def _presence(self) -> Presence:
        settings, view = self.settings, self.subscription.view
        return Presence(
            role=ROLE_SIDECAR,
            replica_id=settings.node,
            node=settings.node,
            address=settings.ip,
            zone=settings.zone,
            applied_term=view.position[0],
            applied_index=view.position[1],
        )

    def _changed(self) -> None:
        """Apply what is new of the control state and the endpoint list."""
        view = self.subscription.view
        if not view.configuration or not self._may_apply():
            return
        table = self.service.table
        if table is None or view.generation > table.generation:
            self.service.table = table = RouteTable(view.configuration)
            self._connection_settings.limits = table.limits
            self._list_version = 0
            log_event("configuration", generation=table.generation, routes=len(table.routes))
        if view.soft_version > self._list_version and view.endpoint_list:
            self._list_version = view.soft_version
            self._apply_list(EndpointList.FromString(view.endpoint_list))
        self._storage_clients.retain_only(
            {member.address for member in (*view.placement.current, *view.placement.next)}
        )

    def _may_apply(self) -> bool:
        """A first configuration has to come from a controller with a quorum, unless none appears for long."""
        waited = asyncio.get_running_loop().time() - self._started_at
        return (
            self.service.table is not None
            or self.subscription.view.is_fresh
            or waited > UNCONFIRMED_CONFIGURATION_SECONDS
        )

    def _apply_list(self, endpoint_list: EndpointList) -> None:
        table = self.service.table
        assert table is not None
        by_service: dict[str, list[tuple[EndpointEntry, str, int]]] = {name: [] for name in table.services}
        usable: set[str] = set()
        for endpoint in endpoint_list.endpoints:
            if endpoint.draining or endpoint.service not in by_service:
                continue
            entry = EndpointEntry(endpoint.id, EndpointState.READY, zone=endpoint.zone)
            slots = endpoint.slots or table.services[endpoint.service].slots
            by_service[endpoint.service].append((entry, endpoint.address, slots))
            usable.add(endpoint.id)
        for name, entries in by_service.items():
            decisions = self.service.balancers.get(name)
            if decisions is None:
                seed = self._random.getrandbits(32)
                decisions = ServiceBalancer(self.settings.zone, seed, self._policy)
                self.service.balancers[name] = decisions
            decisions.set_endpoints(entries)
        self._upstreams.retain_only(usable)
        self.service.is_configured.set()

    # Readiness

    @property
    def is_ready(self) -> bool:
        return self.service.table is not None and self._list_version > 0 and not self._leaving

    async def _answer_readiness(self, client: ClientConnection, message: Message, received_at: float) -> None:
        known = message.first[1].partition(b"?")[0] == b"/readiness"
        client.send_response(404 if not known else 200 if self.is_ready else 503)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._upstreams.close_expired(asyncio.get_running_loop().time())
            if self.service.table is None:
                self._changed()
