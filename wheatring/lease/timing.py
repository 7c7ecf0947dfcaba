"""How long what lasts, so that no two hold one duty at the same time. Instants and lengths are seconds.

Every process measures a term on its own clock, and no clock runs faster or slower than true time by more than
`rate`, as a part of 1. A voter keeps a grant for `term` on its clock. The holder's own term runs from before
it asked, and is shorter by as much as the two clocks may differ in it: a holder on a slow clock is out of
office before a voter on a fast one gives the duty away.
"""

from __future__ import annotations

from typing import NamedTuple


class LeaseTiming(NamedTuple):
    lease_seconds: float = 3.0
    max_clock_drift: float = 0.01

    @property
    def holder_seconds(self) -> float:
        """What a holder counts on, from before it asked or claimed."""
        return self.lease_seconds * (1 - self.max_clock_drift) / (1 + self.max_clock_drift)

    @property
    def abstain_seconds(self) -> float:
        """For how long a voter that starts grants nothing: whatever it has forgotten is over by then. A
        round, from the first word to the term's end, lasts `hold` on the claimant's clock at most.
        """
        return self.lease_seconds

    @property
    def renew_seconds(self) -> float:
        """From the last round's begin to the next. A holder that is heard and hears nothing keeps the others
        waiting for this long and a term.
        """
        return self.holder_seconds / 4

    @property
    def retransmit_seconds(self) -> float:
        """Until a word that was not answered is said again; and from one rank in the line to the next."""
        return self.lease_seconds / 30

    @property
    def round_timeout_seconds(self) -> float:
        """With one round of asking or claiming."""
        return self.lease_seconds / 5
