"""How two processes of one sidecar share its file descriptors while both live.

Each states a limit: how many descriptors it may come to use. The older ones go down to half, or to what they
use; once they stop, to what they use. The newest one takes what all others leave. A limit is stated under a
lock after the others' have been read, so at no time do all of them together come to more than there are.

Pure: numbers in, one number out.
"""

from __future__ import annotations

from collections.abc import Iterable


def descriptor_limit(
    total: int, in_use: int, is_newest: bool, is_stopping: bool, other_limits: Iterable[int]
) -> int:
    """Return how many descriptors this process, which uses `in_use` of them, may come to use.

    `other_limits` are those that the sidecar's other processes have stated.
    """
    remaining = max(0, total - sum(other_limits))
    if is_newest:
        return remaining
    return min(max(remaining, in_use), in_use if is_stopping else max(in_use, total // 2))
