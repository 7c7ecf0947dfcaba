"""What may be done to the control state, as functions from one state to the next.

Each command is applied by the leader to the newest committed state. It returns an outcome, and changes the
state that it is given where it has succeeded; the caller has the change committed before it tells the
outcome.

The state does not grow with its history: of configurations that were replaced, and of retirements that are
over, only the newest few are known. A repeat of an order that is older than those is told neither that it was
accepted nor that it was refused.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.controller.exceptions import InvalidConfigurationError
from wheatring.transport.messages_pb2 import ControlState, Retirement

MAX_REMEMBERED_CONFIGURATIONS = 128  # configurations remembered, so that a repeat is acknowledged again
MAX_COMPLETED_RETIREMENTS = 32  # completed retirements remembered


@dataclass(frozen=True, slots=True)
class Accepted:
    """Accepted, now or before."""

    body: bytes = b"{}"


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another version is current, or too few machines would be left."""

    reason: str
    status: int = 412


@dataclass(frozen=True, slots=True)
class Invalid:
    """Can never be accepted."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotFound:
    """There is no such thing."""

    reason: str


@dataclass(frozen=True, slots=True)
class Indeterminate:
    """It cannot be told any more whether the order was accepted."""

    reason: str


Outcome = Accepted | Conflict | Invalid | NotFound | Indeterminate


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Put a whole configuration in the place of the one that it builds on."""

    base: int
    body: bytes

    @property
    def digest(self) -> bytes:
        """Tells a repeat of an order from another order."""
        return _digest(b"%d\n%s" % (self.base, self.body))

    def result(self, current: bytes) -> bytes:
        """The configuration afterwards."""
        return self.body

    def apply(self, state: ControlState) -> Outcome:
        """Check against the current version, which is the only one that may be replaced."""
        return _change_configuration(state, self)


@dataclass(frozen=True, slots=True)
class UpdateConfiguration:
    """Set and remove named items of the configuration that it builds on."""

    base: int
    body: bytes

    @property
    def digest(self) -> bytes:
        """Tells a repeat of an order from another order, a replacement with the same body included."""
        return _digest(b"update %d\n%s" % (self.base, self.body))

    def result(self, current: bytes) -> bytes:
        """The configuration afterwards. Raises InvalidConfigurationError."""
        from wheatring.controller.configuration_update import (
            merge,  # brings cattrs, see _change_configuration
        )

        return merge(current, self.body)

    def apply(self, state: ControlState) -> Outcome:
        """Check against the current version, which is the only one that may be changed."""
        return _change_configuration(state, self)


def _digest(order: bytes) -> bytes:
    return hashlib.blake2b(order, digest_size=16).digest()


def _change_configuration(
    state: ControlState, command: ReplaceConfiguration | UpdateConfiguration
) -> Outcome:
    """Acknowledge a repeat, and take a change of the current version that leads to a valid one."""
    digest = command.digest
    if any(taken.digest == digest for taken in state.taken):
        return Accepted()
    if command.base != state.generation:
        return _outcome_for_stale_base(state, command)
    # Imported when it is first needed: cattrs takes a tenth of a second, and no start waits for that.
    from wheatring.controller.configuration import parse

    try:
        body = command.result(state.configuration)
        configuration = parse(body)
    except InvalidConfigurationError as error:
        return Invalid(str(error))
    if configuration.generation <= state.generation:
        return Invalid(f"generation: must be above {state.generation}")
    state.generation = configuration.generation
    state.configuration = body
    state.taken.add(generation=configuration.generation, digest=digest)
    while len(state.taken) > MAX_REMEMBERED_CONFIGURATIONS:
        state.forgotten_generation = state.taken[0].generation
        del state.taken[0]
    return Accepted()


def _outcome_for_stale_base(
    state: ControlState, command: ReplaceConfiguration | UpdateConfiguration
) -> Conflict | Invalid | Indeterminate:
    """A change that builds on a version which is not current.

    What was taken builds on an earlier generation than its own, so a repeat of one that is forgotten has a
    base below the newest forgotten generation. What cannot be read was never taken.
    """
    if command.base >= state.forgotten_generation:
        return Conflict(f"version {state.generation} is current")
    from wheatring.controller.configuration import parse
    from wheatring.controller.configuration_update import read_update

    read = parse if isinstance(command, ReplaceConfiguration) else read_update
    try:
        read(command.body)
    except InvalidConfigurationError as error:
        return Invalid(str(error))
    return Indeterminate(f"version {command.base} was replaced too long ago to know by what")


@dataclass(frozen=True, slots=True)
class DescribeConfiguration:
    """Read the newest configuration."""

    def apply(self, state: ControlState) -> Outcome:
        """Nothing changes."""
        if not state.generation:
            return NotFound("no configuration has been taken yet")
        return Accepted(state.configuration)


@dataclass(frozen=True, slots=True)
class StartRetirement:
    """Empty a storage machine."""

    node: str
    needed: int  # members that have to be left

    def apply(self, state: ControlState) -> Outcome:
        """The members change later, once the others hold what this one does."""
        if _retirement_of(state, self.node) is not None:
            return Accepted()
        members = [m for m in state.placement.next or state.placement.current if not m.lost]
        leaving = [member for member in members if member.node == self.node]
        if not leaving:
            return NotFound(f"no storage machine {self.node}")
        retiring = {retirement.replica_id for retirement in state.retirements if not retirement.completed}
        left = [m for m in members if m.node != self.node and m.replica_id not in retiring]
        if len(left) < self.needed:
            return Conflict(
                f"{len(left)} storage machines would be left, {self.needed} are needed", status=409
            )
        state.retirements.add(node=self.node, replica_id=leaving[0].replica_id)
        _drop_oldest_retirements(state)
        return Accepted()


@dataclass(frozen=True, slots=True)
class DescribeRetirement:
    """Read how far a retirement is."""

    node: str

    def apply(self, state: ControlState) -> Outcome:
        """Nothing changes."""
        retirement = _retirement_of(state, self.node)
        if retirement is None:
            return NotFound(f"{self.node} is not being retired")
        return Accepted(b'{"state":"completed"}' if retirement.completed else b'{"state":"running"}')


def _drop_oldest_retirements(state: ControlState) -> None:
    """Keep those under way and the newest of the completed ones. An order to retire may be repeated for a few
    seconds only, so a repeat never meets one that is forgotten.
    """
    completed = [index for index, retirement in enumerate(state.retirements) if retirement.completed]
    for index in reversed(completed[: max(0, len(completed) - MAX_COMPLETED_RETIREMENTS)]):
        del state.retirements[index]


def _retirement_of(state: ControlState, node: str) -> Retirement | None:
    """The newest one of a node that has not come back with another disk since."""
    members = {
        member.replica_id
        for member in (*state.placement.current, *state.placement.next)
        if member.node == node
    }
    for retirement in reversed(state.retirements):
        if retirement.node == node:
            back = retirement.completed and bool(members - {retirement.replica_id})
            return None if back else retirement
    return None


Command = (
    ReplaceConfiguration | UpdateConfiguration | DescribeConfiguration | StartRetirement | DescribeRetirement
)


@dataclass(frozen=True, slots=True)
class BatchResult:
    """What came of commands that were applied one after the other to one state."""

    outcomes: tuple[Outcome, ...]
    new_state: bytes | None  # serialized; None where the commands change nothing


def apply_batch(data: bytes, commands: Sequence[Command]) -> BatchResult:
    """Apply commands to a serialized state, which stays as it is."""
    state = ControlState.FromString(data)
    outcomes = tuple(command.apply(state) for command in commands)
    same = ControlState.FromString(data) == state
    return BatchResult(outcomes, None if same else state.SerializeToString())
