"""The controller's side of subscriptions: sends the committed state and the endpoint list to subscribers.

Each change is sent once. Heartbeats between changes show that the controller is alive, and how long it has
had no contact with a quorum.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from wheatring.tier.transport.connection import EnvelopeConnection
from wheatring.tier.transport.messages_pb2 import (
    ControlState,
    Entry,
    Envelope,
    Member,
    Presence,
    Subscribe,
    Update,
)

SUBSCRIBER_HEARTBEAT_SECONDS = 0.3


@dataclass(slots=True)
class Subscriber:
    """A subscriber, and the versions of the state that were sent to it."""

    connection: EnvelopeConnection
    presence: Presence
    position: tuple[int, int]
    generation: int
    soft_version: int


@dataclass(slots=True)
class PublishedState:
    """The newest committed state and endpoint list known to this controller."""

    position: tuple[int, int] = (0, 0)
    state: ControlState = field(default_factory=ControlState)
    controllers: tuple[Member, ...] = ()
    soft_version: int = 0
    endpoint_list: bytes = b""


class Subscribers:
    """All subscribers of one controller, by their connections."""

    def __init__(self, staleness: Callable[[], float]) -> None:
        """Initialize without subscribers.

        Parameters
        ----------
        staleness
            Returns the seconds for which this controller may have missed newer committed state.
        """
        self._staleness = staleness
        self._subscribers: dict[EnvelopeConnection, Subscriber] = {}
        self.published = PublishedState()
        self.is_stopping = False

    def presences(self) -> list[Presence]:
        """Return the newest presence of each subscriber."""
        return [subscriber.presence for subscriber in self._subscribers.values()]

    def add(self, connection: EnvelopeConnection, request: Subscribe) -> None:
        """Add a subscriber, and send it the state that it lacks."""
        subscriber = Subscriber(
            connection=connection,
            presence=request.presence,
            position=(request.term, request.index),
            generation=request.generation,
            soft_version=request.soft_version,
        )
        self._subscribers[connection] = subscriber
        self._send(subscriber)

    def update_presence(self, connection: EnvelopeConnection, presence: Presence) -> None:
        """Record a presence message of a subscriber."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            subscriber.presence = presence

    def remove(self, connection: EnvelopeConnection) -> None:
        """Remove the subscriber of a closed connection."""
        self._subscribers.pop(connection, None)

    def publish_state(self, entry: Entry) -> bool:
        """Send a committed entry to all subscribers if it is newer; return whether it is."""
        position = (entry.term, entry.index)
        if position <= self.published.position:
            return False
        self.published.position = position
        self.published.state = ControlState.FromString(entry.data)
        self.published.controllers = tuple(entry.voters)
        self._send_to_all()
        return True

    def publish_list(self, version: int, endpoint_list: bytes) -> None:
        """Send an endpoint list to all subscribers if its version differs."""
        if version != self.published.soft_version and endpoint_list:
            self.published.soft_version = version
            self.published.endpoint_list = endpoint_list
            self._send_to_all()

    def heartbeat(self) -> None:
        """Send a heartbeat to all subscribers."""
        self._send_to_all()

    def stop(self) -> None:
        """Announce that this controller is about to stop, so that subscribers switch to another one."""
        self.is_stopping = True
        self._send_to_all()

    def _send_to_all(self) -> None:
        for subscriber in list(self._subscribers.values()):
            self._send(subscriber)

    def _send(self, subscriber: Subscriber) -> None:
        published = self.published
        update = Update(
            term=published.position[0],
            index=published.position[1],
            soft_version=published.soft_version,
            staleness_ms=min(int(self._staleness() * 1000), 1_000_000),
            stopping=self.is_stopping,
        )
        if published.position > subscriber.position:
            state = published.state
            update.has_state = True
            update.generation = state.generation
            update.placement.CopyFrom(state.placement)
            update.controllers.extend(published.controllers)
            if state.generation > subscriber.generation:
                update.configuration = state.configuration
                subscriber.generation = state.generation
            subscriber.position = published.position
        if published.soft_version > subscriber.soft_version:
            update.endpoint_list = published.endpoint_list
            subscriber.soft_version = published.soft_version
        subscriber.connection.send(Envelope(update=update))
