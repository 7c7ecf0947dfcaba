"""The figures by which a sidecar decides, one field for each mechanism, with its default.

A file may set other ones (`sidecar --policy FILE`, TOML, the names of the fields as keys), so that what a
mechanism is worth can be measured without a change of the program.
"""

from __future__ import annotations

import dataclasses
import math
from pathlib import Path
from typing import Any

from wheatring.tier.sidecar.exceptions import PolicyError


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarPolicy:
    """Placement of prompts, and time-outs of silent streams.

    The names of the fields are keys of policy files. Costs are parts of an endpoint's full batch.
    """

    tokens_per_load: float = 4000.0  # prompt tokens to be read that weigh as much as a full batch
    far_cost: float = 0.3  # for an endpoint in another zone
    least_in_zone: int = 2  # endpoints of each zone, below which prompts go to any zone
    least_zone_share: float = 0.8  # of the mean of all zones, likewise
    burden_cost: float = 0.2  # for each unit by which an endpoint is slower than usual
    failing_cost: float = 1.0  # for an endpoint that has failed since it last served; fades within seconds
    head_patience: float = 8.0  # mean deviations past the mean, after which a silent stream goes elsewhere
    prefix_seconds: float = 20.0  # for which a prompt segment is assumed to be cached where it was prefilled
    prompt_homes: bool = True  # conversations have a home that all sidecars of a zone know
    sub_agent_spread: int = 2  # endpoints over which the sub-agents of a conversation are spread


DEFAULT_POLICY = SidecarPolicy()


def read_policy(path: Path) -> SidecarPolicy:
    """Read a policy file. Raises PolicyError."""
    import tomllib  # needed by this option alone

    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise PolicyError(f"{path}: {error}") from error
    fields = {field.name: field.default for field in dataclasses.fields(SidecarPolicy)}
    for key, value in values.items():
        if key not in fields:
            raise PolicyError(f"{path}: {key}: no such key")
        if not _is_of_kind(value, fields[key]):
            raise PolicyError(f"{path}: {key}: must be like {fields[key]!r}, is {value!r:.40}")
    return SidecarPolicy(**values)


def _is_of_kind(value: Any, default: Any) -> bool:
    if isinstance(default, bool) or isinstance(value, bool):
        return isinstance(default, bool) and isinstance(value, bool)
    kinds = (int, float) if isinstance(default, float) else (int,)
    return isinstance(value, kinds) and math.isfinite(value) and value >= 0
