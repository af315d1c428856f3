"""Connections to other nodes."""

import asyncio
from collections.abc import Callable

from rattanfork_core.clock import Clock
from rattanfork_core.membership import Member
from rattanfork_core.request import FenceVerdict

from rattanfork_node.peer.errors import LinkLostError
from rattanfork_node.peer.link import PeerLink
from rattanfork_node.peer.messages import (
    BurnReply,
    BurnRequest,
    EpochRequest,
    Fence,
    FenceKey,
    RulesReply,
    RulesRequest,
    SyncReply,
    SyncRequest,
)

Address = tuple[str, int]


class PeerPool:
    """Keeps one connection to each node that is called.

    Parameters
    ==========

    make_link : callable
        Makes the protocol of a new connection.
    clock : Clock
        Source of the current time.
    silence : float
        Seconds without an answer after which a connection is lost.
    most : int
        Most connections kept; the one unused longest goes first.
    """

    #: Seconds between heartbeats of a connection on which nothing is asked.
    IDLE = 5.0
    CONNECT_TIMEOUT = 1.0

    def __init__(
        self,
        make_link: Callable[[], PeerLink],
        clock: Clock,
        silence: float = 1.0,
        most: int = 512,
    ) -> None:
        self._make_link = make_link
        self._clock = clock
        self._silence = silence
        self._most = most
        self._links: dict[Address, PeerLink] = {}
        self._opening: dict[Address, asyncio.Task[PeerLink]] = {}
        self._silent = 0

    @property
    def connected(self) -> int:
        """Connections held."""
        return len(self._links)

    @property
    def silent_closed(self) -> int:
        """Connections dropped because they went silent."""
        return self._silent

    def ready_link(self, member: Member) -> PeerLink | None:
        """Return the connection to a member, if there is one to use now."""
        link = self._links.get((member.host, member.peer_port))
        if link is not None and link.usable and link.peer == member.name:
            return link
        return None

    async def open(self, address: Address) -> PeerLink:
        """Return a connection to an address, making it if need be.

        Raises
        ======

        LinkLostError
            If there is no connection within the time-out.
        """
        link = self._links.get(address)
        if link is not None and link.usable:
            return link
        task = self._opening.get(address)
        if task is None:
            task = asyncio.ensure_future(self._connect(address))
            self._opening[address] = task
            task.add_done_callback(lambda done: self._on_opened(address, done))
        return await asyncio.shield(task)

    async def fence_calls(
        self, member: Member, connection: str, calls: list[int]
    ) -> list[FenceVerdict]:
        """Ask a guard to fence a connection, over another one.

        Raises
        ======

        LinkLostError
            If the guard does not answer.
        """
        link = await self.open((member.host, member.peer_port))
        reply = await link.ask(Fence(link.next_number(), connection, calls))
        return [FenceVerdict(verdict) for verdict in reply.verdicts]

    async def fence_key(self, member: Member, key: str) -> FenceVerdict:
        """Ask a guard to fence a key.

        Raises
        ======

        LinkLostError
            If the guard does not answer.
        """
        link = await self.open((member.host, member.peer_port))
        reply = await link.ask(FenceKey(link.next_number(), key))
        return FenceVerdict(reply.verdicts[0])

    async def ask_rules(self, address: Address, known: int) -> tuple[str, RulesReply]:
        """Return a node's data centre and the rules it holds.

        The text is left out if the node holds revision ``known``.
        """
        link = await self.open(address)
        reply = await link.ask(RulesRequest(link.next_number(), known))
        return link.peer_data_centre, reply

    async def ask_burn(self, address: Address) -> BurnReply:
        """Return a node's totals for the burn report."""
        link = await self.open(address)
        return await link.ask(BurnRequest(link.next_number()))

    async def ask_epoch(self, address: Address) -> int:
        """Return a guard's epoch of keys."""
        link = await self.open(address)
        reply = await link.ask(EpochRequest(link.next_number()))
        return reply.epoch

    async def sync(self, address: Address, digest: list[int]) -> SyncReply:
        """Return the records in which a node's view differs."""
        link = await self.open(address)
        return await link.ask(SyncRequest(link.next_number(), digest))

    def heartbeat(self) -> None:
        """Look after all connections; call several times a second."""
        for address, link in list(self._links.items()):
            link.heartbeat(self._silence, self.IDLE)
            if link.closed:
                self._silent += 1
                self._links.pop(address, None)

    def close(self) -> None:
        """Drop all connections."""
        for link in list(self._links.values()):
            link.close("this node stops")
        self._links.clear()
        for task in list(self._opening.values()):
            task.cancel()

    def _on_opened(self, address: Address, task: asyncio.Task[PeerLink]) -> None:
        self._opening.pop(address, None)
        if not task.cancelled():
            # Whoever waited may have given up; a failure that nobody asks for
            # would be reported as a fault of this program.
            task.exception()

    async def _connect(self, address: Address) -> PeerLink:
        loop = asyncio.get_running_loop()
        host, port = address
        try:
            async with asyncio.timeout(self.CONNECT_TIMEOUT):
                _, link = await loop.create_connection(self._make_link, host, port)
                await link.wait_ready()
        except (TimeoutError, OSError) as error:
            raise LinkLostError(f"no connection to {host}:{port}") from error
        if len(self._links) >= self._most:
            oldest = max(self._links, key=lambda a: self._links[a].idle_seconds)
            self._links.pop(oldest).close("too many connections")
        old = self._links.get(address)
        if old is not None:
            old.close("replaced")
        self._links[address] = link
        return link
