"""Puts the further deciders of one sidecar together: the same for the daemon and for the virtual fleet.

Imported only with `[fleet] view = true`. No I/O.
"""

from __future__ import annotations

from typing import Any

from wheatring.lease.fleet import AnyWord, DutyPlan, Fleet, Instant, Piece
from wheatring.lease.register import LEAD
from wheatring.lease.views import Views
from wheatring.lease.words import RegisterWord
from wheatring.members.words import AnyViewWord

LEADS = DutyPlan(LEAD, voters=True)
WORDS: Any = AnyWord | RegisterWord | AnyViewWord


class Agreed:
    """What one sidecar has of all that is agreed."""

    def __init__(self, at: Instant, fleet: Fleet) -> None:
        self.views = Views(at, fleet)
        fleet.pieces += self.pieces

    @property
    def pieces(self) -> list[Piece]:
        return [self.views, self.views.register]

    def leave(self, at: Instant) -> list[Any]:
        return self.views.leave(at)

    def seen(self, now: float) -> dict[str, Any]:
        """For `GET /control/duties`."""
        views = self.views
        age, wait = views.age(now), views.told_wait
        return {
            "number": views.view.number,
            "epoch": views.view.epoch,
            "members": len(views.view.members),
            "names": sorted(views.view.names),
            "inside": views.inside,
            "sure": views.sure(now),
            "age_s": None if age > 1e6 else round(age, 1),
            "for_s": round(now - views.since, 1),
            "moved": views.moved,
            "leads": views.register.ready,
            "side": views.side(now),
            "waits": None if wait is None or views.inside else [round(wait.left, 1), wait.why],
            "deaf": sorted(
                name
                for name, subject in views.watch.subjects.items()
                if subject.looks > 2 and now - views.sides.get(name, -1e9) < 3.0
            ),
        }
