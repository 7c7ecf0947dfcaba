"""The endpoint list as received from discovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Whether an endpoint accepts requests."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests; gets no new ones
    GONE = "gone"


class ViewKind(Enum):
    """Content of a view."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list; endpoints that are not in it are gone
    CACHED = "cached"  # the last complete list that this balancer had, possibly outdated
    FAILED = "failed"  # a call to discovery or the subscription failed; the current list is kept


@dataclass(slots=True)
class EndpointEntry:
    """One entry of the endpoint list.

    Attributes
    ----------
    cell : int
        Endpoints of one cell share their record of the keys of requests.
    rating : float
        Relative capacity, in deployments that rate their endpoints.
    started_at : float
        When it last started, on the balancer's clock; 0 or less if it has long been warm.
    is_reinstated : bool
        An operator has put it back into service, and expects it to be sent requests soon.
    """

    endpoint: str
    state: EndpointState = EndpointState.READY
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    rating: float = 1.0
    started_at: float = 0.0
    is_reinstated: bool = False


@dataclass(slots=True)
class View:
    """Event: discovery has sent the endpoint list, or changes to it."""

    kind: ViewKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0
