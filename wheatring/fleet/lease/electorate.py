"""Maps voter names to the members and addresses that one sidecar knows. Performs no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.lease.voters import VoterSet, numbered_voter
from wheatring.fleet.members.membership import Membership
from wheatring.fleet.members.messages import LEFT, Address, MemberInfo


class Electorate:
    """Finds the addresses of voters by their names, and the voter names of members."""

    def __init__(self, members: Membership, acceptor: Acceptor) -> None:
        self.members = members
        self.acceptor = acceptor

    @property
    def voters(self) -> VoterSet:
        """The voter set that this sidecar uses."""
        return self.acceptor.voters

    def is_voter(self) -> bool:
        """Return whether this sidecar votes."""
        if self.members.gossip.has_left:
            return False
        return bool({*self.voters.names} & {*self.voter_names(self.members.me)})

    def voter_names(self, member: MemberInfo) -> tuple[str, str]:
        """Return the names under which a member may be a voter: its address and its number."""
        return f"{member.host}:{member.port}", numbered_voter(member.number)

    def voter_names_of_sender(self, sender: str) -> tuple[str, ...]:
        """Return the names under which a sender may be a voter; empty if the sender is unknown."""
        if sender == self.members.me.name:
            return self.voter_names(self.members.me)
        record = self.members.table.records.get(sender)
        return self.voter_names(record.member) if record is not None else ()

    def to_voters(self, requests: Sequence[tuple[str, Any]]) -> list[Outgoing]:
        """Address messages to voters. This sidecar's own vote is requested by a message, too."""
        out: list[Outgoing] = []
        for name, message in requests:
            address = self._voter_address(name)
            if address is not None:
                out.append((address, message))
        return out

    def _voter_address(self, name: str) -> Address | None:
        if not name.startswith("#"):
            host, _, port = name.rpartition(":")
            return host, int(port)
        if name == numbered_voter(self.members.me.number):
            return self.members.me.host, self.members.me.port
        # Suspected members are included: a member that receives nothing suspects all others, and its gossip
        # spreads these suspicions.
        records = [
            record
            for record in self.members.table.records.values()
            if record.state != LEFT
            and record.member.tier == self.members.me.tier
            and numbered_voter(record.member.number) == name
        ]
        return max(records, key=lambda record: record.incarnation).address if records else None
