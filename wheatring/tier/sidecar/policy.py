"""Parameters of the sidecar's decisions, with their defaults.

`sidecar --policy FILE` overrides them by a TOML file whose keys are the names of the fields, so that the
effect of each mechanism can be measured without a change of the code.
"""

from __future__ import annotations

import dataclasses
import math
from pathlib import Path
from typing import Any

from wheatring.tier.sidecar.exceptions import PolicyError


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarPolicy:
    """Parameters of the placement of prompts and of the time-out for response heads of streams.

    The names of the fields are keys of policy files. Costs are fractions of an endpoint's full batch.

    Attributes
    ----------
    tokens_per_load
        The number of prompt tokens to prefill that costs as much as a full batch.
    far_cost
        The cost of an endpoint in another zone.
    least_in_zone, least_zone_share
        The minimum number of endpoints in every zone, absolute and as a fraction of the mean of all zones.
        Below either of them, prompts may go to any zone.
    burden_cost
        The cost of each unit by which an endpoint's load multiplier (`EndpointLoad.multiplier`) exceeds 1.
    failing_cost
        The cost of an endpoint that has failed since its last success; decays within seconds.
    head_patience
        A stream without a response head is retried at another endpoint once it exceeds the mean latency by
        this many mean deviations; 0 disables such retries.
    prefix_seconds
        How long a prefilled prompt segment is assumed to stay cached.
    prompt_homes
        Whether each conversation has a home endpoint, which is the same for all sidecars of a zone.
    sub_agent_spread
        The number of endpoints over which the sub-agents of a conversation are spread.
    """

    tokens_per_load: float = 4000.0
    far_cost: float = 0.3
    least_in_zone: int = 2
    least_zone_share: float = 0.8
    burden_cost: float = 0.2
    failing_cost: float = 1.0
    head_patience: float = 8.0
    prefix_seconds: float = 20.0
    prompt_homes: bool = True
    sub_agent_spread: int = 2


DEFAULT_POLICY = SidecarPolicy()


def read_policy(path: Path) -> SidecarPolicy:
    """Read a policy file. Raises PolicyError."""
    import tomllib  # imported here, since only this option needs it

    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise PolicyError(f"{path}: {error}") from error
    fields = {field.name: field.default for field in dataclasses.fields(SidecarPolicy)}
    for key, value in values.items():
        if key not in fields:
            raise PolicyError(f"{path}: {key}: unknown key")
        if not _has_type_of(value, fields[key]):
            raise PolicyError(f"{path}: {key}: expected a value like {fields[key]!r}, got {value!r:.40}")
    return SidecarPolicy(**values)


def _has_type_of(value: Any, default: Any) -> bool:
    if isinstance(default, bool) or isinstance(value, bool):
        return isinstance(default, bool) and isinstance(value, bool)
    types = (int, float) if isinstance(default, float) else (int,)
    return isinstance(value, types) and math.isfinite(value) and value >= 0
