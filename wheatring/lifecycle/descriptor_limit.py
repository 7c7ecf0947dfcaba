"""How two processes of one sidecar share its descriptors while both live.

Each states a ceiling: how many it may come to hold. The older ones go down to half, or to what they hold;
told to stop, to what they hold. The newest one takes what all others leave. A ceiling is stated under a lock
after the others' have been read, so at no time do all of them together come to more than there are.

Pure: it is told numbers and returns one.
"""

from __future__ import annotations

from collections.abc import Iterable


def descriptor_limit(places: int, held: int, newest: bool, stopping: bool, others: Iterable[int]) -> int:
    """This process's, who holds so many now; `others` are the ceilings that the other ones state."""
    left = max(0, places - sum(others))
    if newest:
        return left
    return min(max(left, held), held if stopping else max(held, places // 2))
