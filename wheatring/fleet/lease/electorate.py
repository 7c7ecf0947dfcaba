"""The voters as one sidecar knows them: which member is which voter, and at which address. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from wheatring.fleet.lease.acceptor import Acceptor
from wheatring.fleet.lease.component import Outgoing
from wheatring.fleet.lease.voters import VoterSet, numbered_voter
from wheatring.fleet.members.membership import Membership
from wheatring.fleet.members.messages import LEFT, Address, MemberInfo


class Electorate:
    """Finds the members behind the names of voters, and the names behind members."""

    def __init__(self, members: Membership, acceptor: Acceptor) -> None:
        self.members = members
        self.acceptor = acceptor

    @property
    def voters(self) -> VoterSet:
        """The voters that this sidecar goes by."""
        return self.acceptor.voters

    def is_voter(self) -> bool:
        """Return whether this sidecar votes."""
        if self.members.gossip.has_left:
            return False
        return bool({*self.voters.names} & {*self.voter_names(self.members.me)})

    def voter_names(self, member: MemberInfo) -> tuple[str, str]:
        """Return the names that a member may have among the voters: its address, and its number."""
        return f"{member.host}:{member.port}", numbered_voter(member.number)

    def voter_names_of_sender(self, sender: str) -> tuple[str, ...]:
        """Return the names that a sender may have among the voters; (): it isn't known yet."""
        if sender == self.members.me.name:
            return self.voter_names(self.members.me)
        record = self.members.table.records.get(sender)
        return self.voter_names(record.member) if record is not None else ()

    def to_voters(self, requests: Sequence[tuple[str, Any]]) -> list[Outgoing]:
        """Return messages to voters with their addresses. Its own vote takes the same way as all."""
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
        # Whoever is suspected is asked too: one that hears nothing suspects all others, and is believed.
        records = [
            record
            for record in self.members.table.records.values()
            if record.state != LEFT
            and record.member.tier == self.members.me.tier
            and numbered_voter(record.member.number) == name
        ]
        return max(records, key=lambda record: record.incarnation).address if records else None
