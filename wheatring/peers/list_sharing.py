"""The duty `list`: its holder watches the machine list for all, the others follow.

What the holder tells of nodes that drain or have gone is laid over the own list until that is as new. Nothing
that it tells makes a sidecar send to a node, as that is for its own list to name.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from wheatring import log
from wheatring.balancer.interface import EndpointState, View, ViewKind
from wheatring.core.clock import Clock, Timer
from wheatring.lease.words import Beat
from wheatring.lifecycle.byhand import ByHand
from wheatring.lifecycle.following import Following

BEAT = 1.0  # seconds between two words of the holder
LOOK = 0.25  # between two looks at whether to ask
MOST = 20  # nodes that are told of at once: of more, the others hear by their own lists
SINCE = 60.0  # seconds for which a node that has gone is told of


class EndpointList(Protocol):
    """What is steered of the machine list."""

    version: int | None
    watching: bool
    goes_on: Callable[[], bool] | None
    freshness: Any

    def subscribe(self) -> None: ...

    def rest(self) -> None: ...


class ListDutyHolder(Protocol):
    def act(self, duty: str) -> int | None: ...

    def acted(self, duty: str) -> None: ...

    def beat(self, beat: Beat) -> None: ...


class ListSharing:
    """Stands between the machine list, which calls `view`, and `on_view`."""

    def __init__(
        self, clock: Clock, part: ListDutyHolder, duty: str, copies: int, number: int,
        on_view: Callable[[View], None],
    ) -> None:  # fmt: skip
        self.clock = clock
        self.part = part
        self.duty = duty
        self.following = Following(copies, number)
        self.overlay = ByHand(on_view)
        self.machine_list: EndpointList | None = None
        self.gone: dict[str, float] = {}  # nodes that drain or have gone, by the own list, and since when
        self.held: frozenset[str] = frozenset()  # those that the holder tells of, laid over the own list
        self.epoch: int | None = None  # in office
        self.seq = 0
        self.heard = (0, 0)  # the newest word of a holder: epoch and number
        self.timer: Timer | None = None
        self.over = False

    def start(self, machine_list: EndpointList) -> None:
        self.machine_list = machine_list
        machine_list.goes_on = self.asks
        self.look()

    # The own list

    def on_list(self, view: View) -> None:
        now = self.clock.now()
        if view.kind is not ViewKind.FAILED:
            if view.kind is not ViewKind.DELTA:
                self.gone.clear()
            for entry in view.entries:
                if entry.state is EndpointState.READY:
                    self.gone.pop(entry.endpoint, None)
                else:
                    self.gone.setdefault(entry.endpoint, now)
        self.overlay.view(view)
        if view.kind is not ViewKind.FAILED and self.following.read(view.version):
            self.hold(frozenset())

    def asks(self) -> bool:
        """Whether this one is to watch for itself."""
        listed = self.machine_list
        assert listed is not None
        now = self.clock.now()
        listed.freshness.weigh(now)
        doubt = listed.freshness.suspect is not None
        return self.epoch is not None or self.following.asks(now, listed.version, doubt)

    def look(self) -> None:
        """See to it that it watches if it is to, and does not if not. What was written by now on a watch
        that is out still counts.
        """
        if self.over or self.machine_list is None:
            return
        self.timer = self.clock.at(self.clock.now() + LOOK, self.look)
        if self.asks():
            self.machine_list.subscribe()
        elif self.machine_list.watching and self.machine_list.version is not None:
            self.machine_list.rest()

    # In office

    def office(self, epoch: int | None) -> None:
        self.epoch = epoch
        if epoch is not None:
            self.seq = 0
            self.tell(epoch)

    def tell(self, epoch: int) -> None:
        """Each second, as long as this term lasts."""
        if self.over or epoch != self.epoch or self.part.act(self.duty) != epoch:
            return
        now = self.clock.now()
        self.clock.at(now + BEAT, self.tell, epoch)
        listed = self.machine_list
        # One that has no list, or whose watch has failed, has nothing to tell: then the others ask.
        if listed is None or listed.version is None or not listed.watching:
            return
        self.gone = {name: at for name, at in self.gone.items() if now - at < SINCE}
        names = sorted(self.gone, key=lambda name: (-self.gone[name], name))[:MOST]
        self.seq += 1
        self.part.acted(self.duty)
        self.part.beat(Beat(self.duty, epoch, self.seq, listed.version, tuple(names)))

    # Following

    def on_announcement(self, beat: Beat) -> None:
        """A word of the holder. An older one than was heard is none."""
        if self.over or self.machine_list is None or (beat.epoch, beat.seq) <= self.heard:
            return
        self.heard = (beat.epoch, beat.seq)
        own = self.machine_list.version
        self.following.beat(self.clock.now(), beat.age, beat.generation, own)
        newer = own is not None and beat.generation > own
        self.hold(frozenset(beat.gone if newer else ()))

    def hold(self, names: frozenset[str]) -> None:
        if names == self.held:
            return
        new = sorted(names - self.held)
        self.held = names
        if new:
            log.line("list-held-back", nodes=",".join(new), generation=self.following.generation)
        self.overlay.put(self.clock.now(), names)

    def status(self) -> dict[str, Any]:
        listed = self.machine_list
        return {
            "generation": listed.version if listed is not None else None,
            "watches": listed is not None and listed.watching,
            "told": self.following.generation,
            "held_back": sorted(self.held),
        }

    def stop(self) -> None:
        self.over = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
