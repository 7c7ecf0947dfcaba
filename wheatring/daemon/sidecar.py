"""One sidecar: creates, starts and stops its parts."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

from wheatring.common import log
from wheatring.daemon.config import platform_file
from wheatring.daemon.configuration import list_pace, reload_all
from wheatring.daemon.operator_properties import OperatorProperties
from wheatring.daemon.shutdown import GracefulShutdown

if TYPE_CHECKING:  # modules of a feature are imported at run time only if it is enabled
    from wheatring.balancer.interface import View
    from wheatring.common.body import BodyMemory
    from wheatring.daemon.admin.server import AdminServer
    from wheatring.daemon.admin.service import AdminService
    from wheatring.daemon.config.project_file import ProjectFile
    from wheatring.daemon.ops.audit import Audit
    from wheatring.daemon.ops.capture.ring import CaptureRing
    from wheatring.daemon.ops.drills import Drills
    from wheatring.daemon.pools.pool_set import PoolSet
    from wheatring.fleet.peers.fleet_runtime import FleetRuntime
    from wheatring.fleet.peers.list_sharing import ListSharing

RESERVED_DESCRIPTORS = 24  # for the log, the reactor, listening sockets, the configuration, discovery calls
ADMIN_DESCRIPTORS = 32  # for operators' calls, their listening socket, and the files shared between processes
# Share of the connections that may go to endpoints: a third for requests in flight, the rest for idle ones.
ENDPOINT_CONNECTION_SHARE = 0.4
PLAN_WAIT_SECONDS = 6.0  # time-out for the fleet's plan, after which the sidecar serves without it
PLAN_POLL_SECONDS = 0.02


class Sidecar:
    """All parts of one sidecar, connected to a reactor.

    Parameters
    ----------
    reactor : Any
        Provides monotonic time, in seconds, and sockets.
    platform : platform_file.PlatformConfig
        The platform's settings, addresses and limits.
    operators : OperatorProperties
        The properties from the operators' file at the start.
    capture : bool
        Whether to record all decisions.
    unix : Callable[[], float]
        Returns Unix time, in seconds.
    configuration_path, configuration : str | None, ProjectFile | None
        The project's configuration file, if there is one, and its content.

    Raises
    ------
    ProjectFileError
        The project's configuration file, or a file that it refers to, can't be used.
    """

    def __init__(
        self,
        reactor: Any,
        platform: platform_file.PlatformConfig,
        operators: OperatorProperties,
        capture: bool = False,
        unix: Callable[[], float] = time.time,
        configuration_path: str | None = None,
        configuration: ProjectFile | None = None,
    ) -> None:
        from wheatring.daemon.core.clock import Clock

        self.reactor = reactor
        self.platform = platform
        self.configuration_path = configuration_path
        self.operators = OperatorProperties()  # the properties in effect
        self.first_operators = operators
        self.clock = Clock(reactor, unix)
        self.exit_status = 0
        self.cleanup = ExitStack()  # stops the optional parts, in reverse order
        self.admin_service: AdminService | None = None
        self.admin_server: AdminServer | None = None
        self.ring: CaptureRing | None = None
        self.audit: Audit | None = None
        self.drills: Drills | None = None
        self.fleet: FleetRuntime | None = None
        self.list_sharing: ListSharing | None = None
        self.pools: PoolSet | None = None
        body_memory, endpoint_connections = self._wire_core(configuration)
        on_view = self._add_features(configuration, endpoint_connections, body_memory, capture)
        self.endpoint_list = self.serving.list_from(platform.discovery, on_view)
        if capture:
            from wheatring.daemon.features import add_capture

            add_capture(self)
        if operators.audit.on:
            from wheatring.daemon.features import add_audit

            add_audit(self)
        if self.list_sharing is not None:
            self.list_sharing.start(self.endpoint_list)

    def _wire_core(self, configuration: ProjectFile | None) -> tuple[BodyMemory, int]:
        """Create the mandatory parts; return the body memory and the limit of endpoint connections."""
        from wheatring.common.body import body_memory_for
        from wheatring.daemon.core.exchange import Exchange
        from wheatring.daemon.http1.server import Server
        from wheatring.daemon.serving_pool import ServingPool

        platform, settings = self.platform, self.platform.settings
        has_admin = platform.control is not None
        self.exchange = Exchange(self.clock, settings.contract.answer_grace)
        body_memory = body_memory_for(platform.memory_mb, 2 if has_admin else 1)
        reserved = RESERVED_DESCRIPTORS + (ADMIN_DESCRIPTORS if has_admin else 0)
        self.connection_limit = platform.sockets - reserved
        endpoint_connections = int(self.connection_limit * ENDPOINT_CONNECTION_SHARE)
        pace = () if configuration is None else (list_pace(configuration),)
        self.serving = ServingPool(
            self.reactor, self.clock, self.exchange, settings, platform.seed, endpoint_connections,
            body_memory, *pace,
        )  # fmt: skip
        self.driver = self.serving.driver
        self.pool = self.serving.pool
        caller_connections = self.connection_limit - endpoint_connections
        self.server = Server(
            self.reactor, self.clock, self.exchange, settings.classes, caller_connections, body_memory
        )
        return body_memory, endpoint_connections

    def _add_features(
        self,
        configuration: ProjectFile | None,
        endpoint_connections: int,
        body_memory: BodyMemory,
        capture: bool,
    ) -> Callable[[View], None]:
        """Add the features through which the endpoint list passes; return its first receiver."""
        on_view: Callable[[View], None] = self.driver.feed
        if configuration is None and self.platform.control is None:
            return on_view
        from wheatring.daemon import features

        if configuration is not None and configuration.route:
            on_view = features.add_pools(self, configuration, endpoint_connections, body_memory, capture)
        if self.platform.control is not None:
            on_view = features.add_admin(self, on_view)
        if configuration is not None and configuration.fleet is not None:
            on_view = features.add_fleet(self, configuration, on_view)
        return on_view

    # Connections

    def connections_in_use(self) -> int:
        """Return the number of connections to callers and endpoints, including pending connects."""
        to_endpoints = len(self.pool.connections) + len(self.pool.pending_connects)
        if self.pools is not None:
            to_endpoints += self.pools.budget.in_use()
        return len(self.server.connections) + to_endpoints

    def set_connection_limit(self, connections: int) -> None:
        """Limit the connections of this process, as other processes of the sidecar use the rest."""
        self.pool.max_connections = int(connections * ENDPOINT_CONNECTION_SHARE)
        if self.pools is not None:
            self.pools.budget.total = self.pool.max_connections
        self.server.set_max_connections(connections - self.pool.max_connections)

    # Start

    def start(self) -> None:
        """Start all parts; callers' connections are accepted once the list and any plan weights are known."""
        if self.admin_service is not None:
            self._start_admin()
        self.endpoint_list.load_cached(self.platform.known)
        if self.pools is not None:
            self.pools.start_own_lists()
        if self.fleet is not None and not self.fleet.is_ready:
            self.fleet.start()
            self._open_with_plan(self.clock.now() + PLAN_WAIT_SECONDS)
        else:
            self._open()
            if self.fleet is not None:
                self.fleet.start()
        self.record("start", "platform")
        self.record("config", "platform")
        self.record("config", "operators")
        self.apply_operators(self.first_operators)

    def _start_admin(self) -> None:
        assert (
            self.admin_service is not None
            and self.admin_server is not None
            and self.platform.control is not None
        )
        self.admin_service.start()
        host, port = self.platform.control
        log.line("control-listening", host=host, port=self.admin_server.listen(host, port))

    def _open(self) -> None:
        if self.admin_service is not None:
            self.admin_service.serve()
        else:
            self.listen()

    def _open_with_plan(self, until: float) -> None:
        """Accept callers once the fleet's plan is known, or at monotonic `until` with the file's weights.

        A sidecar that starts during a window of the plan thus applies its weights to all requests.
        """
        assert self.fleet is not None
        now = self.clock.now()
        if self.fleet.is_ready or now >= until:
            self._open()
        elif not self.server.is_stopping:
            self.clock.at(now + PLAN_POLL_SECONDS, self._open_with_plan, until)

    def listen(self) -> None:
        """Start to accept callers' connections."""
        from twisted.internet.error import CannotListenError

        host, requested_port = self.platform.listen
        try:
            port = self.server.listen(host, requested_port, is_shared=self.admin_service is not None)
        except CannotListenError as error:
            if not self.reactor.running:
                raise
            # A new process waits for its share of the connections before it listens. If it then can't listen,
            # it exits, as it must not keep running beside the process that serves.
            print(f"wheatring: listen: {error}", file=sys.stderr)
            self.exit_status = 2
            self.reactor.stop()
            return
        log.line("listening", name=self.platform.name, host=host, port=port)

    # While it runs

    def record(self, event: str, actor: str) -> None:
        """Write an event to the audit log if it is enabled."""
        if self.audit is not None:
            self.audit.record(event, actor)

    def apply_operators(self, operators: OperatorProperties) -> None:
        """Apply the operators' properties that may change at run time."""
        if self.audit is not None:
            self.audit.record_key_changes(self.operators, operators)
        if self.drills is None and operators.drill != self.operators.drill:
            from wheatring.daemon.ops.drills import Drills

            limits = self.platform.settings.limits
            self.drills = Drills(self.exchange, self.clock, self.server.classes, limits, self.record)
            self.cleanup.callback(self.drills.stop)
        if self.drills is not None:
            self.drills.apply_settings(operators.drill)
        if operators.tokens.keys:
            from wheatring.daemon.ops.tokens import TokenGuard

            self.server.authorizer = TokenGuard(operators.tokens, self.clock)
        else:
            self.server.authorizer = None
        self.operators = operators

    def reload(self, environment: Mapping[str, str], operators_path: str | None) -> None:
        """Reload all files, and apply the settings that may change at run time."""
        reload_all(self, environment, operators_path)

    def stop(self) -> None:
        """Begin the graceful shutdown, which ends the process."""
        if not self.server.is_stopping:
            log.line("stopping", open=self.exchange.open_count)
            self.record("stop", "platform")
            self.server.is_stopping = True
            if self.fleet is not None:
                self.fleet.leave()
            self.shutdown = GracefulShutdown(self)
            self.shutdown.run()

    def finish(self) -> None:
        """Stop all parts and then the process."""
        self.endpoint_list.unsubscribe()
        self.pool.close()
        self.cleanup.close()
        log.line("stopped")
        self.clock.at(self.clock.now(), self.reactor.stop)  # after the closed connections have been logged
