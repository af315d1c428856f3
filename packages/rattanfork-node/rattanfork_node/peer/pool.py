"""Pool of outgoing connections to other nodes."""

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
    """Keeps one connection to each node that this node sends requests to.

    Parameters
    ==========

    make_link : callable
        Creates the protocol of a new connection.
    clock : Clock
        Source of the current time.
    silence : float
        Seconds without data from a peer after which its connection is closed.
    max_links : int
        Maximum number of connections; the one idle longest is closed first, those
        with unanswered requests last.
    """

    #: Seconds between pings of a connection without pending requests.
    IDLE_PING_INTERVAL_S = 5.0
    CONNECT_TIMEOUT_S = 1.0

    def __init__(
        self,
        make_link: Callable[[], PeerLink],
        clock: Clock,
        silence: float = 1.0,
        max_links: int = 512,
    ) -> None:
        self._make_link = make_link
        self._clock = clock
        self._silence = silence
        self._max_links = max_links
        self._links: dict[Address, PeerLink] = {}
        #: Connections whose peers are silent, kept for replies that may still come.
        self._silent: set[PeerLink] = set()
        self._connecting: dict[Address, asyncio.Task[PeerLink]] = {}
        self._silent_closed = 0

    @property
    def connected(self) -> int:
        """Number of open connections."""
        return len(self._links)

    @property
    def silent_closed(self) -> int:
        """Number of connections closed by the silence timeout or by the peer."""
        return self._silent_closed

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the peers have not read yet."""
        return sum(link.unsent_bytes for link in self._links.values())

    def ready_link(self, member: Member) -> PeerLink | None:
        """Return the open connection to a member, or None."""
        link = self._links.get((member.host, member.peer_port))
        if link is not None and link.usable and link.peer == member.name:
            return link
        return None

    async def open(self, address: Address) -> PeerLink:
        """Return the connection to an address, opening it if there is none.

        Raises
        ======

        LinkLostError
            If no connection is open within the timeout.
        """
        link = self._links.get(address)
        if link is not None and link.usable:
            return link
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.ensure_future(self._connect(address))
            self._connecting[address] = task
            task.add_done_callback(lambda done: self._on_connect_done(address, done))
        return await asyncio.shield(task)

    async def fence_calls(
        self, member: Member, connection_id: str, calls: list[int]
    ) -> list[FenceVerdict]:
        """Fence a lost connection at its gate, over another connection.

        Raises
        ======

        LinkLostError
            If the gate does not answer.
        """
        link = await self.open((member.host, member.peer_port))
        reply = await link.ask(Fence(link.next_number(), connection_id, calls))
        return [FenceVerdict(verdict) for verdict in reply.verdicts]

    async def fence_key(self, member: Member, key: str) -> FenceVerdict:
        """Fence an idempotency key at its call gate.

        Raises
        ======

        LinkLostError
            If the gate does not answer.
        """
        link = await self.open((member.host, member.peer_port))
        reply = await link.ask(FenceKey(link.next_number(), key))
        return FenceVerdict(reply.verdicts[0])

    async def ask_rules(self, address: Address, known: int) -> tuple[str, RulesReply]:
        """Return a node's data centre and its cached rules.

        The text is left out if the position of the rules is ``known``.
        """
        link = await self.open(address)
        reply = await link.ask(RulesRequest(link.next_number(), known))
        return link.peer_data_centre, reply

    async def ask_burn(self, address: Address) -> BurnReply:
        """Return a node's totals for the burn report."""
        link = await self.open(address)
        return await link.ask(BurnRequest(link.next_number()))

    async def ask_epoch(self, address: Address) -> int:
        """Return the key epoch of a call gate."""
        link = await self.open(address)
        reply = await link.ask(EpochRequest(link.next_number()))
        return reply.epoch

    async def sync(self, address: Address, digest: list[int]) -> SyncReply:
        """Return the member records in which a node's view differs."""
        link = await self.open(address)
        return await link.ask(SyncRequest(link.next_number(), digest))

    def heartbeat(self) -> None:
        """Ping or close connections as needed; call several times a second."""
        for address, link in list(self._links.items()):
            link.heartbeat(self._silence, self.IDLE_PING_INTERVAL_S)
            if not link.usable:
                self._silent_closed += 1
                self._links.pop(address, None)
                self._silent.add(link)
        for link in list(self._silent):
            link.heartbeat(self._silence, self.IDLE_PING_INTERVAL_S)
            if link.closed:
                self._silent.discard(link)

    def close(self) -> None:
        """Close all connections and cancel pending connects."""
        for link in [*self._links.values(), *self._silent]:
            link.close("this node is stopping")
        self._links.clear()
        self._silent.clear()
        for task in list(self._connecting.values()):
            task.cancel()

    def _choose_excess(self) -> Address:
        """Return the address of the connection whose close costs least."""

        def cost(address: Address) -> tuple[bool, float]:
            link = self._links[address]
            return link.has_pending, -link.idle_seconds

        return min(self._links, key=cost)

    def _on_connect_done(self, address: Address, task: asyncio.Task[PeerLink]) -> None:
        self._connecting.pop(address, None)
        if not task.cancelled():
            # If all waiters were cancelled, nobody retrieves the exception, and
            # asyncio would log it as unhandled.
            task.exception()

    async def _connect(self, address: Address) -> PeerLink:
        loop = asyncio.get_running_loop()
        host, port = address
        try:
            async with asyncio.timeout(self.CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(self._make_link, host, port)
                await link.wait_ready()
        except (TimeoutError, OSError, ValueError) as error:
            # The last one is raised for a host that is neither address nor name.
            raise LinkLostError(f"could not connect to {host}:{port}") from error
        if len(self._links) >= self._max_links:
            self._links.pop(self._choose_excess()).close(
                "closed to stay within the connection limit"
            )
        replaced = self._links.get(address)
        if replaced is not None:
            replaced.close("replaced by a new connection")
        self._links[address] = link
        return link
