"""The controller's side: tells each subscriber the committed state and the endpoint list, once for each
change, and in between that it is alive and how long it has been without a quorum.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from wheatring.transport.connection import EnvelopeConnection
from wheatring.transport.messages_pb2 import (
    ControlState,
    Entry,
    Envelope,
    Member,
    Presence,
    Subscribe,
    Update,
)

SUBSCRIBER_HEARTBEAT_SECONDS = 0.3  # seconds between updates without news


@dataclass(slots=True)
class Subscriber:
    """What one subscriber has been told."""

    connection: EnvelopeConnection
    presence: Presence
    position: tuple[int, int]
    generation: int
    soft_version: int


@dataclass(slots=True)
class Published:
    """What this controller knows to be committed, ready to be sent."""

    position: tuple[int, int] = (0, 0)
    state: ControlState = field(default_factory=ControlState)
    controllers: tuple[Member, ...] = ()
    soft_version: int = 0
    endpoint_list: bytes = b""


class Subscribers:
    """All subscribers of one controller."""

    def __init__(self, silence: Callable[[], float]) -> None:
        """`silence` tells for how many seconds this controller has been without a quorum."""
        self._silence = silence
        self._subscribers: dict[EnvelopeConnection, Subscriber] = {}
        self.published = Published()
        self.stopping = False

    def __len__(self) -> int:
        return len(self._subscribers)

    def presences(self) -> list[Presence]:
        """How the subscribers are, as they last said."""
        return [subscriber.presence for subscriber in self._subscribers.values()]

    def add(self, connection: EnvelopeConnection, request: Subscribe) -> None:
        """A process subscribes, and is told at once what it lacks."""
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
        """A subscriber says how it is."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            subscriber.presence = presence

    def remove(self, connection: EnvelopeConnection) -> None:
        """A connection has ended."""
        self._subscribers.pop(connection, None)

    def publish_state(self, entry: Entry) -> bool:
        """A newer entry is committed. Returns whether it was news."""
        position = (entry.term, entry.index)
        if position <= self.published.position:
            return False
        self.published.position = position
        self.published.state = ControlState.FromString(entry.data)
        self.published.controllers = tuple(entry.voters)
        self._send_to_all()
        return True

    def publish_list(self, version: int, endpoint_list: bytes) -> None:
        """A newer endpoint list has come."""
        if version != self.published.soft_version and endpoint_list:
            self.published.soft_version = version
            self.published.endpoint_list = endpoint_list
            self._send_to_all()

    def heartbeat(self) -> None:
        """Tell everyone that this controller is alive."""
        self._send_to_all()

    def stop(self) -> None:
        """This controller is about to end: subscribers go elsewhere."""
        self.stopping = True
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
            staleness_ms=min(int(self._silence() * 1000), 1_000_000),
            stopping=self.stopping,
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
