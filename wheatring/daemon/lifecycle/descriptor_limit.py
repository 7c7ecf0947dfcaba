"""Divides the file descriptors of one sidecar between its processes while more than one runs.

Each process publishes a limit on the descriptors that it may use. An older process lowers its limit to half
of the total, or to its current use if that is more; once it is stopping, to its current use. The newest
process takes the remainder. A process publishes its limit under a lock, after reading those of the others,
so the limits never add up to more than the total.

Pure: no clock, socket or file.
"""

from __future__ import annotations

from collections.abc import Iterable


def descriptor_limit(
    total: int, in_use: int, is_newest: bool, is_stopping: bool, other_limits: Iterable[int]
) -> int:
    """Return the descriptor limit of this process, which currently uses `in_use` descriptors.

    `other_limits` are the published limits of the sidecar's other processes.
    """
    remaining = max(0, total - sum(other_limits))
    if is_newest:
        return remaining
    return min(max(remaining, in_use), in_use if is_stopping else max(in_use, total // 2))
