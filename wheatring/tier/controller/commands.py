"""The operator's commands on the control state.

The leader applies each command to the newest committed state. A command modifies the state in place if it
succeeds, and returns an outcome; the caller commits the change before it delivers the outcome.

The state is bounded: only the newest accepted configurations and completed retirements are remembered, to
recognize retries. The outcome of a retried command that is older than those is indeterminate.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass

from wheatring.tier.controller.exceptions import InvalidConfigurationError
from wheatring.tier.transport.messages_pb2 import ControlState, Retirement

# The digests of this many accepted configurations are kept, so that a retry is recognized.
MAX_REMEMBERED_CONFIGURATIONS = 128
MAX_COMPLETED_RETIREMENTS = 32


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command was accepted, now or on an earlier attempt; `body` is the JSON body of the reply."""

    body: bytes = b"{}"


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another generation is current, or too few machines would remain; `status` is the HTTP status."""

    reason: str
    status: int = 412


@dataclass(frozen=True, slots=True)
class Invalid:
    """The command is invalid, and a retry cannot succeed."""

    reason: str


@dataclass(frozen=True, slots=True)
class NotFound:
    """The configuration, machine or retirement that the command names does not exist."""

    reason: str


@dataclass(frozen=True, slots=True)
class Indeterminate:
    """The command is too old to tell whether it was accepted."""

    reason: str


Outcome = Accepted | Conflict | Invalid | NotFound | Indeterminate


@dataclass(frozen=True, slots=True)
class ReplaceConfiguration:
    """Replace the whole configuration of generation `base`."""

    base: int
    body: bytes

    @property
    def digest(self) -> bytes:
        """The digest that identifies the command; a retry has the same one."""
        return _digest(b"%d\n%s" % (self.base, self.body))

    def result(self, current: bytes) -> bytes:  # noqa: ARG002 - same signature as UpdateConfiguration
        """Return the new configuration, which does not depend on the current one."""
        return self.body

    def apply(self, state: ControlState) -> Outcome:
        """Replace the configuration if `base` is the current generation."""
        return _change_configuration(state, self)


@dataclass(frozen=True, slots=True)
class UpdateConfiguration:
    """Upsert and remove named items of the configuration of generation `base`."""

    base: int
    body: bytes

    @property
    def digest(self) -> bytes:
        """The digest that identifies the command; a replacement with the same body has another one."""
        return _digest(b"update %d\n%s" % (self.base, self.body))

    def result(self, current: bytes) -> bytes:
        """Return the new configuration. Raises InvalidConfigurationError."""
        # Imported here because cattrs slows down the start; see _change_configuration.
        from wheatring.tier.controller.configuration_update import merge

        return merge(current, self.body)

    def apply(self, state: ControlState) -> Outcome:
        """Update the configuration if `base` is the current generation."""
        return _change_configuration(state, self)


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()


def _change_configuration(
    state: ControlState, command: ReplaceConfiguration | UpdateConfiguration
) -> Outcome:
    """Accept a retry, or a change of the current generation whose result is valid."""
    digest = command.digest
    if any(accepted.digest == digest for accepted in state.accepted):
        return Accepted()
    if command.base != state.generation:
        return _outcome_for_stale_base(state, command)
    # Imported on first use: importing cattrs takes 0.1 s, which would delay the start of the process.
    from wheatring.tier.controller.configuration import parse

    try:
        body = command.result(state.configuration)
        configuration = parse(body)
    except InvalidConfigurationError as error:
        return Invalid(str(error))
    if configuration.generation <= state.generation:
        return Invalid(f"generation: must be above {state.generation}")
    state.generation = configuration.generation
    state.configuration = body
    state.accepted.add(generation=configuration.generation, digest=digest)
    while len(state.accepted) > MAX_REMEMBERED_CONFIGURATIONS:
        state.forgotten_generation = state.accepted[0].generation
        del state.accepted[0]
    return Accepted()


def _outcome_for_stale_base(
    state: ControlState, command: ReplaceConfiguration | UpdateConfiguration
) -> Conflict | Invalid | Indeterminate:
    """Return the outcome of a change whose base generation is not current.

    The base of an accepted change is always below its own generation, so a retry that is no longer remembered
    has a base below the newest forgotten generation. A body that cannot be parsed was never accepted.
    """
    if command.base >= state.forgotten_generation:
        return Conflict(f"version {state.generation} is current")
    from wheatring.tier.controller.configuration import parse
    from wheatring.tier.controller.configuration_update import read_update

    parse_body = parse if isinstance(command, ReplaceConfiguration) else read_update
    try:
        parse_body(command.body)
    except InvalidConfigurationError as error:
        return Invalid(str(error))
    return Indeterminate(f"version {command.base} was replaced too long ago to know by what")


@dataclass(frozen=True, slots=True)
class DescribeConfiguration:
    """Read the current configuration."""

    def apply(self, state: ControlState) -> Outcome:
        """Return the configuration without changing the state."""
        if not state.generation:
            return NotFound("no configuration has been taken yet")
        return Accepted(state.configuration)


@dataclass(frozen=True, slots=True)
class StartRetirement:
    """Drain a storage machine: move its records and its vote to other machines."""

    node: str
    min_remaining: int  # storage machines that must remain

    def apply(self, state: ControlState) -> Outcome:
        """Record the retirement.

        The placement changes later, once the other members have copied the records of this one.
        """
        if _find_retirement(state, self.node) is not None:
            return Accepted()
        members = [m for m in state.placement.next or state.placement.current if not m.lost]
        members_on_node = [member for member in members if member.node == self.node]
        if not members_on_node:
            return NotFound(f"no storage machine {self.node}")
        retiring_ids = {retirement.replica_id for retirement in state.retirements if not retirement.completed}
        remaining = [m for m in members if m.node != self.node and m.replica_id not in retiring_ids]
        if len(remaining) < self.min_remaining:
            return Conflict(
                f"{len(remaining)} storage machines would be left, {self.min_remaining} are needed",
                status=409,
            )
        state.retirements.add(node=self.node, replica_id=members_on_node[0].replica_id)
        _remove_oldest_retirements(state)
        return Accepted()


@dataclass(frozen=True, slots=True)
class DescribeRetirement:
    """Read the state of a retirement."""

    node: str

    def apply(self, state: ControlState) -> Outcome:
        """Return the progress of the retirement without changing the control state."""
        retirement = _find_retirement(state, self.node)
        if retirement is None:
            return NotFound(f"{self.node} is not being retired")
        return Accepted(b'{"state":"completed"}' if retirement.completed else b'{"state":"running"}')


def _remove_oldest_retirements(state: ControlState) -> None:
    """Keep the retirements in progress and the newest completed ones.

    A retirement command is retried for a few seconds only, so its retirement is still recorded at each retry.
    """
    completed = [index for index, retirement in enumerate(state.retirements) if retirement.completed]
    for index in reversed(completed[: max(0, len(completed) - MAX_COMPLETED_RETIREMENTS)]):
        del state.retirements[index]


def _find_retirement(state: ControlState, node: str) -> Retirement | None:
    """Return the newest retirement of a node, or None if the node was added again with another disk since."""
    members = {
        member.replica_id
        for member in (*state.placement.current, *state.placement.next)
        if member.node == node
    }
    for retirement in reversed(state.retirements):
        if retirement.node == node:
            has_returned = retirement.completed and bool(members - {retirement.replica_id})
            return None if has_returned else retirement
    return None


Command = (
    ReplaceConfiguration | UpdateConfiguration | DescribeConfiguration | StartRetirement | DescribeRetirement
)


@dataclass(frozen=True, slots=True)
class BatchResult:
    """The result of commands that were applied in order to one state."""

    outcomes: tuple[Outcome, ...]
    new_state: bytes | None  # serialized; None if the commands change nothing


def apply_batch(data: bytes, commands: Sequence[Command]) -> BatchResult:
    """Apply commands to a copy of a serialized state."""
    state = ControlState.FromString(data)
    outcomes = tuple(command.apply(state) for command in commands)
    is_unchanged = ControlState.FromString(data) == state
    return BatchResult(outcomes, None if is_unchanged else state.SerializeToString())
