"""The graceful shutdown of one sidecar: what has arrived is answered, as far as that is worth its time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wheatring.common import log
from wheatring.daemon.lifecycle.shutdown_schedule import ShutdownSchedule

if TYPE_CHECKING:
    from wheatring.daemon.interface import SidecarParts

SHUTDOWN_POLL_SECONDS = 0.02  # between two looks at what is still to be done before the process ends


class GracefulShutdown:
    """Runs from the stop signal to the end of the process. `leaving` decides, this carries out."""

    def __init__(self, sidecar: SidecarParts) -> None:
        self.sidecar = sidecar
        admin = sidecar.admin_service
        settings = sidecar.platform.settings
        self.leaving = ShutdownSchedule(
            sidecar.clock.now(),
            settings.classes,
            settings.balancer_count,
            sidecar.exchange.latencies,
            len(sidecar.server.idle_connections()),
            has_successor=admin is not None and admin.has_successor,
        )

    def run(self) -> None:
        """Do what is due by now, and again after a moment, until nothing is open."""
        sidecar, leaving, server = self.sidecar, self.leaving, self.sidecar.server
        now = sidecar.clock.now()
        if server.listener is None:
            self._close_connections(now)
            if not leaving.should_continue(now, sidecar.exchange.open_snapshot(now)):
                self._cut_short(now)
                if not server.connections:
                    sidecar.finish()
                    return
        elif leaving.should_stop_accepting(now, server.last_connect_at, server.is_full):
            server.stop_listening()
        else:
            server.close_idle(leaving.max_idle(now), leaving.min_idle_seconds)
        sidecar.clock.at(now + SHUTDOWN_POLL_SECONDS, self.run)

    def _close_connections(self, now: float) -> None:
        """Close callers' connections between requests, all of them once the time is up."""
        leaving, server = self.leaving, self.sidecar.server
        if keep := leaving.max_idle(now):
            server.close_idle(keep, leaving.min_idle_seconds)
        else:
            is_final = now >= leaving.deadline
            server.close_unanswered(allow_uploads=leaving.has_successor and not is_final, is_final=is_final)

    def _cut_short(self, now: float) -> None:
        """Give up the requests that are still open."""
        exchange, leaving = self.sidecar.exchange, self.leaving
        if exchange.open_count:
            log.line("cut-short", open=exchange.open_count, after=now - leaving.started_at)
            self.sidecar.server.rejects_requests = True
            exchange.answer_all(leaving)
