"""Durations of leases, chosen so that no two members hold one role at the same time. All in seconds.

Every process measures a lease on its own clock, and no clock runs faster or slower than true time by more
than `max_clock_drift`. An acceptor keeps a grant for `lease_seconds` on its clock. The holder's own lease
runs from before it sent the request, and is shorter by as much as the two clocks may differ meanwhile: a
holder on a slow clock has stopped before an acceptor on a fast one grants the role to another.
"""

from __future__ import annotations

from typing import NamedTuple


class LeaseTiming(NamedTuple):
    """The two settings that all durations of a lease follow from."""

    lease_seconds: float = 3.0
    max_clock_drift: float = 0.01  # as a part of 1

    @property
    def owner_seconds(self) -> float:
        """How long a holder relies on its lease, from before it sent the round's first request."""
        return self.lease_seconds * (1 - self.max_clock_drift) / (1 + self.max_clock_drift)

    @property
    def abstain_seconds(self) -> float:
        """How long an acceptor that has started grants nothing.

        Whatever it has forgotten is over by then: a round, from the first request to the lease's end, lasts
        `owner_seconds` on the proposer's clock at most.
        """
        return self.lease_seconds

    @property
    def renew_seconds(self) -> float:
        """The time from the start of one round to the start of the renewal after it.

        A holder that is heard and hears nothing keeps the others waiting for this long and one lease.
        """
        return self.owner_seconds / 4

    @property
    def retransmit_seconds(self) -> float:
        """The time until an unanswered request is sent again, and between the ranks of candidates."""
        return self.lease_seconds / 30

    @property
    def round_timeout_seconds(self) -> float:
        """The time-out of one round of preparing or proposing."""
        return self.lease_seconds / 5
