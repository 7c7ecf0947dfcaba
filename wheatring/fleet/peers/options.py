"""What one sidecar is configured to be in its fleet."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from wheatring.fleet.lease.singleton_role import RoleSettings
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.messages import Address, MemberInfo


class PlanOptions(NamedTuple):
    """What a sidecar that follows the fleet's plan needs besides.

    `formats` are the plan formats that it is restricted to; None: all that the program knows. `set_weights`
    is called with each route's weights by pool as they come into force, `log` with an event and its fields.
    `first_plan` is proposed by a voter where the fleet has no plan yet; b"": none.
    """

    formats: tuple[int, ...] | None
    set_weights: Callable[[str, Mapping[str, int]], None]
    log: Callable[[str, dict[str, Any]], None]
    first_plan: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetOptions:
    """One sidecar's place in its fleet, as the configuration states it.

    `listen` is the address of its sockets, `me` has the one that others reach it by. With `view` it takes
    part in agreed views; with `plan` it follows the fleet's plan too.
    """

    fleet: str
    me: MemberInfo
    listen: Address
    seeds: list[Address]
    voters: VoterSet
    roles: Sequence[RoleSettings]
    timing: LeaseTiming
    keys: Sequence[bytes]
    view: bool = False
    plan: PlanOptions | None = None
