"""The sidecar process: applies updates from the controllers, serves clients and reports its readiness."""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random

from wheatring.balancer.interface import EndpointEntry, EndpointState
from wheatring.common.http_parser import Message
from wheatring.tier.boot_settings.settings import Settings
from wheatring.tier.budgets.token_budgets import TokenBudgets
from wheatring.tier.event_log import log_event
from wheatring.tier.role_process import RoleProcess
from wheatring.tier.sidecar.client_connection import ClientConnection, ConnectionSettings, RequestHandler
from wheatring.tier.sidecar.connection_pool import EndpointConnectionPool
from wheatring.tier.sidecar.policy import DEFAULT_POLICY, SidecarPolicy
from wheatring.tier.sidecar.request_service import RequestService
from wheatring.tier.sidecar.route_table import Limits, RouteTable
from wheatring.tier.sidecar.service_balancer import ListedEndpoint, ServiceBalancer
from wheatring.tier.storage.quorum_client import QuorumClient
from wheatring.tier.subscription.client import Subscription
from wheatring.tier.transport.client import ClientTable
from wheatring.tier.transport.messages_pb2 import ROLE_SIDECAR, EndpointList, Presence
from wheatring.tier.turns.conversations import Conversations

PRESENCE_INTERVAL_SECONDS = 2.0
SWEEP_INTERVAL_SECONDS = 0.5
UNCONFIRMED_CONFIGURATION_DELAY_SECONDS = 3.0  # An unconfirmed configuration is served after this delay.
DRAIN_ACCEPT_SECONDS = 2.6  # New connections are still accepted this long after SIGTERM.
STOP_MARGIN_SECONDS = 0.7  # The process exits this long before SIGKILL, even with requests in flight.
STOP_POLL_SECONDS = 0.05
LISTEN_BACKLOG = 512


class SidecarProcess(RoleProcess):
    """Owns all state of one sidecar process."""

    def __init__(self, settings: Settings, random: Random, policy: SidecarPolicy = DEFAULT_POLICY) -> None:
        """Build the sidecar; `start` opens its listeners."""
        super().__init__(settings)
        self._policy = policy
        self._random = random
        self.subscription = Subscription.for_role(
            self, self._presence, PRESENCE_INTERVAL_SECONDS, self._on_change, random
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
        self._connections = EndpointConnectionPool()
        self.service = RequestService(self._connections, Conversations(store), TokenBudgets(store), random)
        self._connection_settings = ConnectionSettings(Limits())
        self._clients: set[ClientConnection] = set()
        self._list_version = 0
        self._started_at = 0.0
        self._is_draining = False
        self._servers: list[asyncio.Server] = []

    # Start and stop

    async def start(self) -> None:
        """Open the listeners and subscribe to the controllers. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        client_address, readiness_address = self.settings.listen["front"], self.settings.listen["ready"]
        for address, handler in (
            (readiness_address, self._answer_readiness),
            (client_address, self.service.handle_request),
        ):
            server = await loop.create_server(
                partial(self._accept, handler), address.host, address.port, backlog=LISTEN_BACKLOG
            )
            self._servers.append(server)
        for coroutine in (self.subscription.run(), self._sweep(), self._watch.run()):
            self._start_task(coroutine)

    def _accept(self, handler: RequestHandler) -> ClientConnection:
        client = ClientConnection(handler, lambda: self._connection_settings, self._clients.discard)
        self._clients.add(client)
        return client

    async def stop(self) -> None:
        """Become unready, answer the requests already read, and finish within the grace period."""
        loop = asyncio.get_running_loop()
        draining_since = loop.time()
        self._is_draining = True
        self._connection_settings.is_closing = True
        deadline = draining_since + self.settings.grace_seconds - STOP_MARGIN_SECONDS
        await asyncio.sleep(DRAIN_ACCEPT_SECONDS)
        for server in self._servers:
            server.close()
        while loop.time() < deadline:
            for client in [client for client in self._clients if not client.is_busy]:
                client.close()
            if not self._clients and not self.service.in_flight:
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        log_event("stopped", seconds=round(loop.time() - draining_since, 2), under_way=self.service.in_flight)

    # Updates from the controllers

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

    def _on_change(self) -> None:
        """Apply a newer configuration and a newer endpoint list."""
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
            self._apply_endpoint_list(EndpointList.FromString(view.endpoint_list))
        self._storage_clients.retain_only(
            {member.address for member in (*view.placement.current, *view.placement.next)}
        )

    def _may_apply(self) -> bool:
        """Whether the configuration may be applied.

        A sidecar that has restarted must not revert to an older configuration. Its first configuration must
        therefore come from a controller with a quorum, unless no such controller is found for some time.
        """
        waited_seconds = asyncio.get_running_loop().time() - self._started_at
        return (
            self.service.table is not None
            or self.subscription.view.is_fresh
            or waited_seconds > UNCONFIRMED_CONFIGURATION_DELAY_SECONDS
        )

    def _apply_endpoint_list(self, endpoint_list: EndpointList) -> None:
        table = self.service.table
        assert table is not None
        by_service: dict[str, list[ListedEndpoint]] = {name: [] for name in table.services}
        usable_ids: set[str] = set()
        for endpoint in endpoint_list.endpoints:
            if endpoint.draining or endpoint.service not in by_service:
                continue
            entry = EndpointEntry(endpoint.id, EndpointState.READY, zone=endpoint.zone)
            slots = endpoint.slots or table.services[endpoint.service].slots
            by_service[endpoint.service].append(ListedEndpoint(entry, endpoint.address, slots))
            usable_ids.add(endpoint.id)
        for name, entries in by_service.items():
            balancer = self.service.balancers.get(name)
            if balancer is None:
                seed = self._random.getrandbits(32)
                balancer = ServiceBalancer(self.settings.zone, seed, self._policy)
                self.service.balancers[name] = balancer
            balancer.set_endpoints(entries)
        self._connections.retain_only(usable_ids)
        self.service.is_configured.set()

    # Readiness

    @property
    def is_ready(self) -> bool:
        """Whether the sidecar is ready to serve clients."""
        return self.service.table is not None and self._list_version > 0 and not self._is_draining

    async def _answer_readiness(
        self, client: ClientConnection, message: Message, _received_at: float
    ) -> None:
        is_readiness_path = message.start_line[1].partition(b"?")[0] == b"/readiness"
        client.send_response(404 if not is_readiness_path else 200 if self.is_ready else 503)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self._connections.close_expired(asyncio.get_running_loop().time())
            if self.service.table is None:
                self._on_change()
