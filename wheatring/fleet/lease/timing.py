"""Lease durations that ensure that no two members hold one role at the same time. All are in seconds.

Every process measures a lease on its own clock; the protocol assumes that no clock drifts from true time by
more than `max_clock_drift`. An acceptor keeps a grant for `lease_seconds` on its clock. The holder measures
its lease from before it sent the request, and shortens it by the possible difference of the two clocks, so a
holder with a slow clock stops before an acceptor with a fast clock grants the role to another process.
"""

from __future__ import annotations

from typing import NamedTuple


class LeaseTiming(NamedTuple):
    """The two settings from which all durations of a lease are derived."""

    lease_seconds: float = 3.0
    max_clock_drift: float = 0.01  # relative to true time: 0.01 is 1 %

    @property
    def holder_seconds(self) -> float:
        """How long a holder may rely on its lease, from before it sent the round's first request."""
        return self.lease_seconds * (1 - self.max_clock_drift) / (1 + self.max_clock_drift)

    @property
    def abstain_seconds(self) -> float:
        """How long an acceptor grants nothing after it has started.

        By then everything that it promised or granted before the restart has expired: a round, from its
        first request to the end of the lease, lasts at most `holder_seconds` on the proposer's clock.
        """
        return self.lease_seconds

    @property
    def renew_seconds(self) -> float:
        """The time from the start of a round to the start of the next renewal.

        A holder whose requests arrive but that receives no responses blocks the other candidates for this
        time plus one lease.
        """
        return self.holder_seconds / 4

    @property
    def retransmit_seconds(self) -> float:
        """The retransmission interval, and the delay between candidates of successive ranks."""
        return self.lease_seconds / 30

    @property
    def round_timeout_seconds(self) -> float:
        """The time-out of one prepare or propose round."""
        return self.lease_seconds / 5
