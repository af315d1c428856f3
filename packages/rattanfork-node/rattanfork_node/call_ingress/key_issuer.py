"""Call path: issues idempotency keys for requests that aren't idempotent."""

import asyncio

from rattanfork_core.idempotency import TicketIssuer
from rattanfork_core.membership import Member

from rattanfork_node.call_gate import CallGate
from rattanfork_node.call_ingress.epoch_cache import EpochCache
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.peer import LinkLostError, PeerPool

_EPOCH_REQUEST_TIMEOUT_S = 0.5


class KeyIssuer:
    """Issues idempotency keys, each bound to one incarnation of a call gate.

    Parameters
    ==========

    ticket_issuer : TicketIssuer
        Creates the keys.
    directory : InstanceDirectory
        Members by the service that they serve.
    pool : PeerPool
        Connections to other nodes.
    gate : CallGate
        This node's call gate.
    own_name : str
        This node's member name.
    epochs : EpochCache
        Known key epochs of other gates.
    """

    def __init__(
        self,
        ticket_issuer: TicketIssuer,
        directory: InstanceDirectory,
        pool: PeerPool,
        gate: CallGate,
        own_name: str,
        epochs: EpochCache,
    ) -> None:
        self._ticket_issuer = ticket_issuer
        self._directory = directory
        self._pool = pool
        self._gate = gate
        self._own_name = own_name
        self._epochs = epochs

    async def issue_many(self, service: str, count: int) -> list[str]:
        """Return keys distributed over the instances of a service."""
        picker = self._directory.picker(service)
        names = picker.pick_weighted(count) if picker is not None else []
        members_by_name = {name: self._directory.member(name) for name in set(names)}
        members = [member for member in members_by_name.values() if member is not None]
        epochs = await asyncio.gather(
            *(self._current_epoch(member) for member in members)
        )
        responding_by_name = {
            member.name: (member, epoch)
            for member, epoch in zip(members, epochs, strict=True)
            if epoch is not None
        }
        if not responding_by_name:
            return []
        # Keys for a gate that did not respond are issued for the others.
        responding = list(responding_by_name.values())
        chosen = (
            responding_by_name.get(name, responding[i % len(responding)])
            for i, name in enumerate(names)
        )
        return [self._issue_in_epoch(member, epoch) for member, epoch in chosen]

    async def issue(self, member: Member) -> str | None:
        """Return a key for a member's gate, or None if it does not respond."""
        epoch = await self._current_epoch(member)
        return None if epoch is None else self._issue_in_epoch(member, epoch)

    async def _current_epoch(self, member: Member) -> int | None:
        if member.name == self._own_name:
            return self._gate.key_registry.epoch
        epoch = self._epochs.epoch(member.name)
        if epoch is not None:
            return epoch
        try:
            async with asyncio.timeout(_EPOCH_REQUEST_TIMEOUT_S):
                address = (member.host, member.peer_port)
                epoch = await self._pool.ask_epoch(address)
        except (LinkLostError, TimeoutError):
            return None
        self._epochs.update(member.name, epoch)
        return epoch

    def _issue_in_epoch(self, member: Member, epoch: int) -> str:
        return self._ticket_issuer.issue(
            member.service, member.instance, member.boot, epoch
        )
