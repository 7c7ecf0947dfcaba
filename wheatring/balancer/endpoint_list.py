"""The endpoint list as discovery sends it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Whether an endpoint takes requests."""

    READY = "ready"
    DRAINING = "draining"  # finishing its work: send it nothing new
    GONE = "gone"


class ViewKind(Enum):
    """What a view holds."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list: an endpoint that is missing is gone
    CACHED = "cached"  # the complete list as this balancer last had it, possibly outdated
    FAILED = "failed"  # a call to discovery failed or the subscription broke; the old list stands


@dataclass(slots=True)
class EndpointEntry:
    """One line of discovery's list.

    Attributes
    ----------
    cell : int
        Endpoints of one cell share what they know of keys.
    rating : float
        Relative size, where the deployment rates its endpoints.
    started_at : float
        When it last started, on the balancer's clock; 0 or less: long ago.
    is_reinstated : bool
        Operators have put it back into service, and wait for calls to it.
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
    """An event: discovery has sent the endpoint list, or changes of it."""

    kind: ViewKind
    entries: tuple[EndpointEntry, ...] = ()
    version: int = 0
