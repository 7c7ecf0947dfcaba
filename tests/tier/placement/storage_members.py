"""Storage members for tests of the placement."""

from __future__ import annotations

from wheatring.tier.transport.messages_pb2 import StorageMember


def members(*numbers: int) -> list[StorageMember]:
    """Return members with the given numbers, spread over three zones."""
    return [
        StorageMember(replica_id=f"r{n}", node=f"s{n}", address=f"a{n}", zone=f"z{n % 3}") for n in numbers
    ]
