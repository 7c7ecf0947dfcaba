"""The configuration of one sidecar's fleet runtime."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from wheatring.fleet.lease.singleton_role import RoleSettings
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet
from wheatring.fleet.members.messages import Address, MemberInfo


class PlanOptions(NamedTuple):
    """Options of a sidecar that follows the fleet's plan.

    `formats` are the supported plan formats; None for all that the program knows. `set_weights` is called
    with a route and its weights by pool when they come into force, `log` with an event and its fields. A
    voter proposes `first_plan` if the fleet has no plan yet, unless it is empty.
    """

    formats: tuple[int, ...] | None
    set_weights: Callable[[str, Mapping[str, int]], None]
    log: Callable[[str, dict[str, Any]], None]
    first_plan: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetOptions:
    """One sidecar's configuration in its fleet.

    `listen` is the address that its sockets are bound to; `me` has the address that other sidecars send to.
    With `view` it takes part in agreed views; with `plan` it also follows the fleet's plan.
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
