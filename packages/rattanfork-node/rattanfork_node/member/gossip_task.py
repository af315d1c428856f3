"""Carries the membership protocol over UDP and the peers' streams."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.gate_status import ReportsByService
from rattanfork_core.membership import (
    CachedVersions,
    CrashUpdate,
    DirectMessage,
    GateUpdate,
    GossipUpdate,
    Member,
    Membership,
    Send,
    SyncSchedule,
    decode_gossip,
    encode_gossip,
)

from rattanfork_node.peer import LinkLostError, PeerPool, SyncRequest
from rattanfork_node.telemetry import Counters, log_change

#: Records of one answer; the next comparison brings the rest.
MOST_RECORDS = 1000


class GossipTask(asyncio.DatagramProtocol):
    """Carries the membership protocol.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of choices and jitter.
    membership : Membership
        The decisions.
    pool : PeerPool
        Connections to other nodes.
    key : bytes
        The secret all nodes share.
    seeds : list of pairs
        Addresses of peer ports through which to join.
    counters : Counters
        What happened.
    """

    TICK = 0.1

    def __init__(
        self,
        clock: Clock,
        random: Random,
        membership: Membership,
        pool: PeerPool,
        key: bytes,
        seeds: list[tuple[str, int]],
        counters: Counters,
    ) -> None:
        self._clock = clock
        self._random = random
        self._membership = membership
        self._pool = pool
        self._key = key
        self._counters = counters
        self._transport: asyncio.DatagramTransport | None = None
        self._schedule = SyncSchedule(clock, random, seeds)
        self._background: set[asyncio.Task] = set()
        self._sent_bytes = 0
        #: The newest that any datagram told of.
        self.newest_configuration = 0
        self.newest_rules = 0
        #: Who told of them last; None while nobody has.
        self.configuration_source: Member | None = None
        self.rules_source: Member | None = None
        #: Told what the sender of each datagram holds.
        self.on_held_versions: Callable[[CachedVersions], None] = _ignore
        #: Told who sent it, and how many milliseconds ago it was confirmed there.
        self.on_confirmed: Callable[[Member, int], None] = _ignore_two
        #: Take requests and replies of other nodes, by their type.
        self.direct: dict[type, Callable[[DirectMessage, tuple[str, int]], None]] = {}
        #: Told of reports of gates that others pass on.
        self.on_reports: Callable[[ReportsByService], None] = _ignore
        #: Told of crashes of upstreams that others pass on.
        self.on_crashes: Callable[[CrashUpdate], None] = _ignore

    @property
    def sent_bytes(self) -> int:
        """Bytes of datagrams sent."""
        return self._sent_bytes

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def add_seeds(self, seeds: list[tuple[str, int]]) -> None:
        """Take further addresses through which to join."""
        self._schedule.add_seeds(seeds)

    def tick(self) -> None:
        """Carry the protocol on; call every :attr:`TICK`."""
        self._send_all(self._membership.tick())
        if self._schedule.due():
            address = self._schedule.begin(
                self._membership.me, self._membership.present()
            )
            task = asyncio.ensure_future(self._sync(address))
            self._background.add(task)
            task.add_done_callback(self._background.discard)

    def introduce(self) -> None:
        """Tell the others that this node is here."""
        self._send_all(self._membership.announce_self())

    def tell(self, names: Iterable[str]) -> None:
        """Tell some members at once what this node holds of the store."""
        self._send_all(self._membership.ping_members(names))

    def leave(self) -> None:
        """Tell the others that this node takes no new work."""
        self._send_all(self._membership.leave())

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a datagram."""
        try:
            message = decode_gossip(data, self._key)
        except ValueError:
            self._counters.events["gossip.refused"] += 1
            return
        if isinstance(message, GateUpdate):
            self.on_reports(message.reports)
            return
        if isinstance(message, CrashUpdate):
            self.on_crashes(message)
            return
        direct = self.direct.get(type(message))
        if direct is not None:
            direct(message, addr)
            return
        self._hear(message.sender, message.versions)
        self._send_all(self._membership.on_message(message, addr))

    def pass_on(self, news: GossipUpdate, count: int) -> None:
        """Send news to so many members drawn at random."""
        data = encode_gossip(news, self._key)
        for member in self._membership.random_members(count):
            self._send(data, member.address)

    def send(self, message: DirectMessage, address: tuple[str, int]) -> None:
        """Send a request to a node, or a reply."""
        self._send(encode_gossip(message, self._key), address)

    def differing_records(self, request: SyncRequest) -> list[Member]:
        """Return the records in which another's view differs from this one."""
        buckets = self._membership.digest.differing(request.digest)
        return self._membership.records_in_buckets(buckets)[:MOST_RECORDS]

    def close(self) -> None:
        """Stop."""
        if self._transport is not None:
            self._transport.close()
        for task in self._background:
            task.cancel()

    def note_configuration(self, version: int) -> None:
        """Take note that a node holds a version of the configuration."""
        self.newest_configuration = max(self.newest_configuration, version)

    def _hear(self, sender: Member, held: CachedVersions) -> None:
        if held.configuration and held.configuration >= self.newest_configuration:
            self.newest_configuration = held.configuration
            self.configuration_source = sender
        if held.rules and held.rules >= self.newest_rules:
            self.newest_rules = held.rules
            self.rules_source = sender
        self.on_held_versions(held)
        self.on_confirmed(sender, held.confirmation_age_ms)

    def _send_all(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self._send(encode_gossip(send.message, self._key), send.address)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        self._sent_bytes += len(data)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    async def _sync(self, address: tuple[str, int] | None) -> None:
        membership = self._membership
        alone = len(membership.members) < 2
        try:
            if address is not None:
                reply = await self._pool.sync(address, membership.digest.values)
                membership.merge(Member.from_fields(m) for m in reply.members)
        except (LinkLostError, ValueError):
            self._counters.events["sync.failed"] += 1
        finally:
            self._schedule.end(membership.me, membership.present())
        if alone and len(membership.members) > 1:
            log_change("joined", members=len(membership.members))


def _ignore(told: object) -> None:
    pass


def _ignore_two(first: object, second: object) -> None:
    pass
