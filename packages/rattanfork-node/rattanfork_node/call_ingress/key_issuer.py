"""Issues keys for postings."""

import asyncio

from rattanfork_core.idempotency import TicketIssuer
from rattanfork_core.membership import Member

from rattanfork_node.call_gate import CallGate
from rattanfork_node.call_ingress.epoch_cache import EpochCache
from rattanfork_node.member.directory import InstanceDirectory
from rattanfork_node.peer import LinkLostError, PeerPool

_TIMEOUT = 0.5


class KeyIssuer:
    """Issues keys, each bound to one incarnation of one guard.

    Parameters
    ==========

    mint : TicketIssuer
        Makes the keys.
    directory : InstanceDirectory
        Who serves what.
    pool : PeerPool
        Connections to other nodes.
    guard : CallGate
        This node's own guard.
    me : str
        This node's member name.
    epochs : EpochCache
        What was heard of other guards' epochs.
    """

    def __init__(
        self,
        mint: TicketIssuer,
        directory: InstanceDirectory,
        pool: PeerPool,
        guard: CallGate,
        me: str,
        epochs: EpochCache,
    ) -> None:
        self._mint = mint
        self._directory = directory
        self._pool = pool
        self._guard = guard
        self._me = me
        self._epochs = epochs

    async def issue_many(self, service: str, count: int) -> list[str]:
        """Return keys spread over the instances of a service."""
        picker = self._directory.picker(service)
        names = picker.pick_weighted(count) if picker is not None else []
        found = {name: self._directory.member(name) for name in set(names)}
        members = [member for member in found.values() if member is not None]
        epochs = await asyncio.gather(*(self._epoch(member) for member in members))
        known = {
            member.name: (member, epoch)
            for member, epoch in zip(members, epochs, strict=True)
            if epoch is not None
        }
        if not known:
            return []
        # What would have gone to one that does not answer goes to the rest.
        rest = list(known.values())
        chosen = (known.get(name, rest[i % len(rest)]) for i, name in enumerate(names))
        return [self._make(member, epoch) for member, epoch in chosen]

    async def issue(self, member: Member) -> str | None:
        """Return a key for one guard, or None if it does not answer."""
        epoch = await self._epoch(member)
        return None if epoch is None else self._make(member, epoch)

    async def _epoch(self, member: Member) -> int | None:
        if member.name == self._me:
            return self._guard.ledger.epoch
        epoch = self._epochs.epoch(member.name)
        if epoch is not None:
            return epoch
        try:
            async with asyncio.timeout(_TIMEOUT):
                address = (member.host, member.peer_port)
                epoch = await self._pool.ask_epoch(address)
        except (LinkLostError, TimeoutError):
            return None
        self._epochs.update(member.name, epoch)
        return epoch

    def _make(self, member: Member, epoch: int) -> str:
        return self._mint.issue(member.service, member.instance, member.boot, epoch)
