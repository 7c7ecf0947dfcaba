"""The graceful shutdown of one sidecar: answers pending requests as long as `ShutdownSchedule` allows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wheatring.common import log
from wheatring.daemon.lifecycle.shutdown_schedule import ShutdownSchedule

if TYPE_CHECKING:
    from wheatring.daemon.interface import SidecarParts

SHUTDOWN_POLL_SECONDS = 0.02


class GracefulShutdown:
    """Carries out the shutdown by `schedule`, from the stop signal to the end of the process."""

    def __init__(self, sidecar: SidecarParts) -> None:
        self.sidecar = sidecar
        admin = sidecar.admin_service
        settings = sidecar.platform.settings
        self.schedule = ShutdownSchedule(
            sidecar.clock.now(),
            settings.classes,
            settings.balancer_count,
            sidecar.exchange.latencies,
            len(sidecar.server.idle_connections()),
            has_successor=admin is not None and admin.has_successor,
        )

    def run(self) -> None:
        """Carry out the due steps, and repeat periodically until all connections are closed."""
        sidecar, schedule, server = self.sidecar, self.schedule, self.sidecar.server
        now = sidecar.clock.now()
        if server.listener is None:
            self._close_connections(now)
            if not schedule.should_continue(now, sidecar.exchange.open_snapshot(now)):
                self._cut_short(now)
                if not server.connections:
                    sidecar.finish()
                    return
        elif schedule.should_stop_accepting(now, server.last_connect_at, server.is_full):
            server.stop_listening()
        else:
            server.close_idle(schedule.max_idle(now), schedule.min_idle_seconds)
        sidecar.clock.at(now + SHUTDOWN_POLL_SECONDS, self.run)

    def _close_connections(self, now: float) -> None:
        """Close idle connections of callers, and all unanswered ones once none may stay idle."""
        schedule, server = self.schedule, self.sidecar.server
        if keep := schedule.max_idle(now):
            server.close_idle(keep, schedule.min_idle_seconds)
        else:
            is_final = now >= schedule.deadline
            server.close_unanswered(allow_uploads=schedule.has_successor and not is_final, is_final=is_final)

    def _cut_short(self, now: float) -> None:
        """Give up the requests that are still open."""
        exchange, schedule = self.sidecar.exchange, self.schedule
        if exchange.open_count:
            log.line("cut-short", open=exchange.open_count, after=now - schedule.started_at)
            self.sidecar.server.rejects_requests = True
            exchange.answer_all(schedule)
