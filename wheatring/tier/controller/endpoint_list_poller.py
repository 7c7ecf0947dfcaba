"""Polls the platform's endpoint list while this controller leads, and replicates it to the others."""

from __future__ import annotations

import asyncio

from wheatring.tier.consensus.types import State
from wheatring.tier.controller.consensus_host import ConsensusHost
from wheatring.tier.discovery.exceptions import EndpointListUnavailableError
from wheatring.tier.discovery.platform_list import EndpointListReader
from wheatring.tier.event_log import log_event

# The poll interval is this fraction of the drain time, after which a draining endpoint gets no new requests.
POLL_FRACTION_OF_DRAIN = 0.42
MIN_POLL_SECONDS = 0.3
RETRY_SECONDS = 0.25
LEADERSHIP_POLL_SECONDS = 0.05
# After this many failed reads the leadership is transferred to another controller, which may be able to reach
# the platform.
MAX_CONSECUTIVE_FAILURES = 3


class EndpointListPoller:
    """Reads the endpoint list on the leader only, so that the platform gets requests from one controller."""

    def __init__(self, host: ConsensusHost, reader: EndpointListReader, drain_seconds: float) -> None:
        """Initialize the poller.

        Parameters
        ----------
        host
            Runs the replica, which replicates the list as its soft state.
        reader
            Reads the list.
        drain_seconds
            The time after which a draining endpoint must get no new requests. It limits the age of the list.
        """
        self._host = host
        self._reader = reader
        self._poll_seconds = max(drain_seconds * POLL_FRACTION_OF_DRAIN, MIN_POLL_SECONDS)

    async def run(self) -> None:
        """Poll while this controller leads, until cancelled."""
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
        # The leadership may have been lost during the read.
        if is_changed and replica.state is State.LEADER:
            self._host.apply(replica.set_soft_state(self._host.now(), data))
