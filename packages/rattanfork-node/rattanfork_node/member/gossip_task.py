"""Transport of the gossip protocol: UDP messages and anti-entropy over streams."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.fair_shares import DemandReport
from rattanfork_core.gate_status import ReportsByService
from rattanfork_core.membership import (
    CachedVersions,
    CrashUpdate,
    DirectMessage,
    GateUpdate,
    GossipUpdate,
    Member,
    Membership,
    RetirementUpdate,
    Send,
    SyncSchedule,
    decode_gossip,
    encode_gossip,
)
from rattanfork_core.quota import WindowedMaximum

from rattanfork_node.peer import LinkLostError, PeerPool, SyncRequest
from rattanfork_node.telemetry import Counters, log_change

#: Most records of one anti-entropy reply; the next round transfers the rest.
MAX_SYNC_RECORDS = 1000
#: Seconds for which a version counts as the newest that no message reports any more.
#: Each node that holds it reports it on each of its datagrams.
_REPORT_VALID_S = 30.0
_MAX_LOGGED_CHARACTERS = 200


class GossipTask(asyncio.DatagramProtocol):
    """Exchanges gossip messages and synchronizes membership views.

    Explanation
    ===========

    Membership messages, gate reports, crash reports and direct requests between two
    nodes share one UDP socket.  Anti-entropy compares the digests of two views over
    a peer connection and transfers the records in which they differ.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of peer choices and jitter.
    membership : Membership
        Membership state machine, which performs no I/O.
    pool : PeerPool
        Connections to other nodes.
    key : bytes
        Secret shared by all nodes, which authenticates messages.
    seeds : list of pairs
        Addresses of peer ports through which to join.
    counters : Counters
        Event counters.
    """

    TICK_S = 0.1

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
        membership.on_refused = self._on_refused_claim
        self._background: set[asyncio.Task] = set()
        self._sent_bytes = 0
        self._configurations = WindowedMaximum(clock, _REPORT_VALID_S, 0)
        self._rules = WindowedMaximum(clock, _REPORT_VALID_S, 0)
        #: Members that reported them last.
        self.configuration_source: Member | None = None
        self.rules_source: Member | None = None
        #: Called with the versions held by the sender of each message.
        self.on_cached_versions: Callable[[CachedVersions], None] = _ignore
        #: Called with the sender and the age in ms of its store confirmation.
        self.on_confirmation_age: Callable[[Member, int], None] = _ignore_pair
        #: Handlers of requests and replies between two nodes, by message type.
        self.direct_handlers: dict[
            type, Callable[[DirectMessage, tuple[str, int]], None]
        ] = {}
        #: Called with gate reports from other nodes.
        self.on_gate_reports: Callable[[ReportsByService], None] = _ignore
        #: Called with crash reports from other nodes.
        self.on_crash_update: Callable[[CrashUpdate], None] = _ignore
        #: Called with retirements of upstreams from other nodes.
        self.on_retirement_update: Callable[[RetirementUpdate], None] = _ignore

    @property
    def newest_configuration(self) -> int:
        """Newest version of the configuration that messages have reported lately."""
        return self._configurations.value

    @property
    def newest_rules(self) -> int:
        """Newest order of the rules that messages have reported lately."""
        return self._rules.value

    @property
    def sent_bytes(self) -> int:
        """Total payload bytes of the UDP messages sent."""
        return self._sent_bytes

    async def start(self, host: str, port: int) -> None:
        """Bind the UDP socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )

    def add_seeds(self, seeds: list[tuple[str, int]]) -> None:
        """Add addresses through which to join."""
        self._schedule.add_seeds(seeds)

    def tick(self) -> None:
        """Send due gossip and start a due anti-entropy; call every :attr:`TICK_S`."""
        self._send_all(self._membership.tick())
        if self._schedule.due():
            address = self._schedule.begin(
                self._membership.me, self._membership.present()
            )
            task = asyncio.ensure_future(self._sync(address))
            self._background.add(task)
            task.add_done_callback(self._background.discard)

    def introduce(self) -> None:
        """Announce this node to the other members."""
        self._send_all(self._membership.announce_self())

    def push_cached_versions(self, names: Iterable[str]) -> None:
        """Send the versions that this node holds to the given members at once."""
        self._send_all(self._membership.ping_members(names))

    def leave(self) -> None:
        """Announce that this node accepts no new requests."""
        self._send_all(self._membership.leave())

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch a message by its type; count one that fails to decode."""
        try:
            message = decode_gossip(data, self._key)
        except ValueError:
            self._counters.events["gossip.refused"] += 1
            return
        if isinstance(message, GateUpdate):
            self.on_gate_reports(message.reports)
            return
        if isinstance(message, CrashUpdate):
            self.on_crash_update(message)
            return
        if isinstance(message, RetirementUpdate):
            self.on_retirement_update(message)
            return
        direct = self.direct_handlers.get(type(message))
        if direct is not None:
            direct(message, addr)
            return
        self._record_cached_versions(message.sender, message.versions)
        self._send_all(self._membership.on_message(message, addr))

    def send_to_random(self, update: GossipUpdate, count: int) -> None:
        """Send an update to a number of random members."""
        data = encode_gossip(update, self._key)
        for member in self._membership.random_members(count):
            self._send(data, member.address)

    def send_to_all(self, update: GossipUpdate) -> None:
        """Send an update to all present members."""
        data = encode_gossip(update, self._key)
        me = self._membership.me.name
        for member in self._membership.present():
            if member.name != me:
                self._send(data, member.address)

    def send(
        self, message: DirectMessage | DemandReport, address: tuple[str, int]
    ) -> None:
        """Send a request or reply to one node."""
        self._send(encode_gossip(message, self._key), address)

    def differing_records(self, request: SyncRequest) -> list[Member]:
        """Return records from the digest buckets in which two views differ."""
        buckets = self._membership.digest.differing(request.digest)
        return self._membership.records_in_buckets(buckets)[:MAX_SYNC_RECORDS]

    def close(self) -> None:
        """Close the socket and cancel the background tasks."""
        if self._transport is not None:
            self._transport.close()
        for task in self._background:
            task.cancel()

    def observe_configuration(self, version: int) -> None:
        """Record that some node holds a version of the configuration."""
        self._configurations.update(version)

    def _record_cached_versions(self, sender: Member, versions: CachedVersions) -> None:
        if (
            versions.configuration
            and versions.configuration >= self.newest_configuration
        ):
            self.configuration_source = sender
        if versions.rules and versions.rules >= self.newest_rules:
            self.rules_source = sender
        self._configurations.update(versions.configuration)
        self._rules.update(versions.rules)
        self.on_cached_versions(versions)
        self.on_confirmation_age(sender, versions.confirmation_age_ms)

    def _on_refused_claim(self, claim: Member) -> None:
        self._counters.events["gossip.claim-refused"] += 1
        count = self._counters.events["gossip.claim-refused"]
        # Nodes that believe a claim repeat it on each of their datagrams, so that only
        # counts 1, 10, 100 and so on are logged.
        if str(count).strip("0") == "1":
            log_change(
                "claim_refused",
                member=claim.name,
                incarnation=claim.incarnation,
                times=count,
            )

    def _send_all(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self._send(encode_gossip(send.message, self._key), send.address)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        self._sent_bytes += len(data)
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.sendto(data, address)
        except (ValueError, OSError) as error:
            # Raised for a host that is no address; other members get their datagrams.
            self._on_unusable_address(address, error)

    def _on_unusable_address(self, address: tuple[str, int], error: Exception) -> None:
        self._counters.events["gossip.unusable-address"] += 1
        count = self._counters.events["gossip.unusable-address"]
        if str(count).strip("0") == "1":
            log_change(
                "address_unusable",
                host=address[0][:_MAX_LOGGED_CHARACTERS],
                port=address[1],
                error=repr(error)[:_MAX_LOGGED_CHARACTERS],
                times=count,
            )

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


def _ignore(message: object) -> None:
    pass


def _ignore_pair(first: object, second: object) -> None:
    pass
