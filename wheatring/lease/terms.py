"""How long what lasts, so that no two hold one duty at the same time. Instants and lengths are seconds.

Every process measures a term on its own clock, and no clock runs faster or slower than true time by more than
`rate`, as a part of 1. A voter keeps a grant for `term` on its clock. The holder's own term runs from before
it asked, and is shorter by as much as the two clocks may differ in it: a holder on a slow clock is out of
office before a voter on a fast one gives the duty away.
"""

from __future__ import annotations

from typing import NamedTuple


class Terms(NamedTuple):
    term: float = 3.0
    rate: float = 0.01

    @property
    def hold(self) -> float:
        """What a holder counts on, from before it asked or claimed."""
        return self.term * (1 - self.rate) / (1 + self.rate)

    @property
    def abstain(self) -> float:
        """For how long a voter that starts grants nothing: whatever it has forgotten is over by then. A
        round, from the first word to the term's end, lasts `hold` on the claimant's clock at most.
        """
        return self.term

    @property
    def renew(self) -> float:
        """From the last round's begin to the next. A holder that is heard and hears nothing keeps the others
        waiting for this long and a term.
        """
        return self.hold / 4

    @property
    def again(self) -> float:
        """Until a word that was not answered is said again; and from one rank in the line to the next."""
        return self.term / 30

    @property
    def patience(self) -> float:
        """With one round of asking or claiming."""
        return self.term / 5
