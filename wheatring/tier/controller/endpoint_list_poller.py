"""Polls the platform's endpoint list while this controller leads, and passes it on to the others."""

from __future__ import annotations

import asyncio

from wheatring.tier.consensus.types import State
from wheatring.tier.controller.consensus_host import ConsensusHost
from wheatring.tier.discovery.exceptions import EndpointListUnavailableError
from wheatring.tier.discovery.platform_list import EndpointListReader
from wheatring.tier.event_log import log_event

POLL_FRACTION_OF_DRAIN = 0.42  # of the time in which sends to a draining endpoint have to end
MIN_POLL_SECONDS = 0.3
RETRY_SECONDS = 0.25  # after a failed read
LEADERSHIP_POLL_SECONDS = 0.05  # between checks whether this controller leads by now
MAX_CONSECUTIVE_FAILURES = 3  # after which another controller is to lead, which may reach the platform


class EndpointListPoller:
    """The only reader of the endpoint list in the system, since it reads on the leader alone."""

    def __init__(self, host: ConsensusHost, reader: EndpointListReader, drain_seconds: float) -> None:
        """Set the poller up.

        Parameters
        ----------
        host
            The replica that passes the list on, as its soft state.
        reader
            Reads the list.
        drain_seconds
            The time in which sends to a draining endpoint have to end; it bounds the age of the list.
        """
        self._host = host
        self._reader = reader
        self._poll_seconds = max(drain_seconds * POLL_FRACTION_OF_DRAIN, MIN_POLL_SECONDS)

    async def run(self) -> None:
        """Poll whenever this controller leads, for as long as the process runs."""
        host = self._host
        failures = 0
        while True:
            if not host.is_leader_with_quorum:
                failures = 0
                await asyncio.sleep(LEADERSHIP_POLL_SECONDS)
                continue
            try:
                endpoint_list = await self._reader.read()
                failures = 0
            except EndpointListUnavailableError as error:
                failures += 1
                log_event("list-unavailable", error=str(error), failures=failures)
                if failures >= MAX_CONSECUTIVE_FAILURES:
                    failures = 0
                    host.apply(host.replica.transfer())
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._publish(endpoint_list.SerializeToString())
            await asyncio.sleep(self._poll_seconds)

    def _publish(self, data: bytes) -> None:
        replica = self._host.replica
        is_changed = data != replica.soft_state or not replica.soft_version
        # The leadership may have been lost while the list was read.
        if is_changed and replica.state is State.LEADER:
            self._host.apply(replica.set_soft_state(self._host.now(), data))
