"""SWIM membership protocol: failure detection and dissemination."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import log2
from random import Random

from rattanfork_core.clock import Clock
from rattanfork_core.membership.anti_entropy import BucketDigest, bucket_of
from rattanfork_core.membership.cached_versions import CachedVersions
from rattanfork_core.membership.member import Member, MemberStatus
from rattanfork_core.membership.messages import (
    Ack,
    GossipMessage,
    Ping,
    PingRequest,
    Send,
)
from rattanfork_core.membership.random_pool import RandomPool
from rattanfork_core.membership.settings import MembershipSettings
from rattanfork_core.membership.update_queue import UpdateQueue

#: Fraction of protocol periods in which a dead member is probed as well.
_DEAD_PROBE_FRACTION = 0.1
#: Factor of the push fan-out for joining and leaving: a node that learns late of a
#: leaving member still forwards requests to it, and a joining node that is killed
#: before others know its address cannot be found by them when it restarts.
_JOIN_LEAVE_FANOUT_FACTOR = 4
#: Largest incarnation that is accepted from others than the member itself, far below
#: the largest that a message carries, so that the member can raise its own above it.
MAX_CLAIMED_INCARNATION = 1 << 61
#: Largest step above the known incarnation that is accepted from others in any case.
_MAX_INCARNATION_STEP = 1 << 20


@dataclass(slots=True)
class _Probe:
    target: str
    number: int
    sent_at: float
    is_indirect: bool = False


class Membership:
    """Membership view of one node, and its part in the protocol.

    Explanation
    ===========

    In each protocol period one member is probed.  If it does not reply in time, a
    few others probe it indirectly.  If none of them gets an ack either, it is
    suspected, and declared dead after a time-out unless it refutes the suspicion
    by raising its incarnation.  Updates are piggybacked on probes and acks, a
    bounded number on each, so the cost of a node does not depend on the size of
    the fleet.

    A node whose own probes fail often assumes that it is slow itself (the local
    health of Lifeguard) and uses longer time-outs, so that a process that was
    suspended for a while does not declare all others dead.

    A member refutes a claim by a larger incarnation, which others must accept.  So a
    claim by others than the member itself is refused, by all nodes alike, if its
    incarnation is close to the largest that a message carries.

    This class does no I/O: methods return the datagrams to send.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of random choices.
    me : Member
        This node's own record.
    settings : MembershipSettings
        Time-outs and fan-outs.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> a = Member("a", "x", "s", "dc", "127.0.0.1", 1, 2, 8)
    >>> b = Member("b", "y", "s", "dc", "127.0.0.1", 3, 4, 8)
    >>> view = Membership(ManualClock(), Random(1), a)
    >>> view.merge([b])
    >>> {send.address for send in view.tick()}
    {('127.0.0.1', 4)}

    References
    ==========

    .. [1] Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
       Infection-style Process Group Membership Protocol", 2002.
    .. [2] Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for
       More Accurate Failure Detection", 2018.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        me: Member,
        settings: MembershipSettings = MembershipSettings(),  # noqa: B008
    ) -> None:
        self._clock = clock
        self._random = random
        self._me = me
        self._settings = settings
        self._members: dict[str, Member] = {}
        #: Times at which members became suspect or dead.
        self._changed_at: dict[str, float] = {}
        self._digest = BucketDigest([])
        self._updates = UpdateQueue()
        self._live = RandomPool()
        self._dead = RandomPool()
        self._probe_order: list[str] = []
        self._next_expiry = clock.now()
        self._probe: _Probe | None = None
        self._next_probe = clock.now()
        self._last_number = random.getrandbits(30)
        #: Original number and sender of relayed probes, by the number of the relay.
        self._relayed: dict[int, tuple[int, tuple[str, int]]] = {}
        #: Local health of Lifeguard: 0 is healthy, 8 the worst.
        self._local_health = 0
        self._version = 0
        self._push_pending = False
        self._next_push = clock.now()
        #: Returns the versions to send on datagrams.
        self.cached_versions: Callable[[], CachedVersions] = CachedVersions
        #: Called for each member that is new or changes its status, with its
        #: previous status; None for a new one.
        self.on_status: Callable[[Member, MemberStatus | None], None] = _ignore
        #: Called with each refused claim.
        self.on_refused: Callable[[Member], None] = _ignore_claim
        self._set_record(me)

    @property
    def me(self) -> Member:
        """Own record of this node."""
        return self._me

    @property
    def version(self) -> int:
        """Increases whenever the view changes."""
        return self._version

    @property
    def members(self) -> dict[str, Member]:
        """All records by name, those of dead members included."""
        return self._members

    @property
    def digest(self) -> BucketDigest:
        """Digest of the view."""
        return self._digest

    @property
    def pending_updates(self) -> int:
        """Number of updates that are still to be sent."""
        return len(self._updates)

    def present(self) -> list[Member]:
        """Return the members that are not dead."""
        return [m for m in self._members.values() if m.status != MemberStatus.DEAD]

    def update_me(self, **changes: object) -> None:
        """Change fields of this node's own record and disseminate it."""
        incarnation = self._me.incarnation + 1
        self._me = self._me.replace(incarnation=incarnation, **changes)
        self._apply(self._me)

    def leave(self) -> list[Send]:
        """Mark this node as leaving: it accepts no new requests.

        The update is pushed at once, and with a larger fan-out than others.
        """
        self.update_me(status=MemberStatus.LEAVING)
        return self._push(_JOIN_LEAVE_FANOUT_FACTOR * self._settings.push_fanout)

    def announce_self(self) -> list[Send]:
        """Push this node's record at once, with a larger fan-out than other updates.

        A node that waited for its next tick could be killed before any other node
        knows its address.  While the store is unavailable, no node could then find
        the process that is restarted at that address.
        """
        return self._push(_JOIN_LEAVE_FANOUT_FACTOR * self._settings.push_fanout)

    def ping_members(self, names: Iterable[str]) -> list[Send]:
        """Ping members at once, to send them the versions that this node has cached."""
        members = (self._members.get(name) for name in names if name != self._me.name)
        return [
            self._ping(member)
            for member in members
            if member is not None and member.status != MemberStatus.DEAD
        ]

    def mark_dead(self, name: str) -> None:
        """Declare a member dead, since another process has its address."""
        if name != self._me.name:
            self._declare(name, MemberStatus.DEAD)

    def schedule_push(self) -> None:
        """Make a push due, for example after newer rules were fetched."""
        self._push_pending = True

    def merge(self, members: Iterable[Member]) -> None:
        """Merge records that others than their members have sent or stored."""
        for member in members:
            if not self._is_plausible(member):
                self.on_refused(member)
            elif member.name == self._me.name:
                self._refute(member)
            else:
                self._apply_if_newer(member)

    def records_in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Return the records in the given buckets of the digest."""
        wanted = set(buckets)
        return [m for m in self._members.values() if bucket_of(m.name) in wanted]

    def tick(self) -> list[Send]:
        """Advance probes, pushes and time-outs; call several times in each period."""
        now = self._clock.now()
        sends: list[Send] = []
        probe = self._probe
        timeout = self._settings.ack_timeout * (1 + self._local_health)
        if (
            probe is not None
            and not probe.is_indirect
            and now - probe.sent_at >= timeout
        ):
            probe.is_indirect = True
            sends += self._request_indirect_probes(probe)
        if now >= self._next_probe:
            if probe is not None:
                self._on_probe_failed(probe)
            period = self._settings.period * (1 + 0.5 * self._local_health)
            self._next_probe = now + period * self._random.uniform(0.9, 1.1)
            sends += self._start_probe(now)
        if self._push_pending and now >= self._next_push:
            self._push_pending = False
            self._next_push = now + self._settings.push_interval
            sends += self._push(self._settings.push_fanout)
        if now >= self._next_expiry:
            # Not on each tick: while a data centre is partitioned off, thousands of
            # members are suspect.
            self._next_expiry = now + self._settings.period
            self._expire(now)
        return sends

    def on_message(self, message: GossipMessage, source: tuple[str, int]) -> list[Send]:
        """Process a datagram and return the datagrams to send in response."""
        if message.sender.name == self._me.name:
            self.merge([message.sender])
        else:
            self._apply_if_newer(message.sender)
        self.merge(message.updates)
        if isinstance(message, Ping):
            return self._on_ping(message)
        if isinstance(message, Ack):
            return self._on_ack(message)
        return self._on_ping_request(message)

    def _on_ping(self, ping: Ping) -> list[Send]:
        # The ack names this process, also if the ping was meant for an earlier one
        # at the same address, so that the sender notices the replacement.
        sender = self._members[ping.sender.name]
        if sender.status in (MemberStatus.DEAD, MemberStatus.SUSPECT):
            # The sender may not know that it is suspected or declared dead.  The
            # ack carries that update, so that the sender refutes it.
            self._updates.add(sender, 2)
        ack = Ack(
            ping.number,
            self._me,
            self._me.name,
            self.cached_versions(),
            self._next_updates(),
        )
        return [Send(ping.sender.address, ack)]

    def _on_ack(self, ack: Ack) -> list[Send]:
        probe = self._probe
        if probe is not None and ack.number == probe.number:
            if ack.target == probe.target:
                self._probe = None
                self._local_health = max(0, self._local_health - 1)
            else:
                # Another process has that address, so the probed one has ended.
                self._declare(probe.target, MemberStatus.DEAD)
                self._probe = None
        relayed = self._relayed.pop(ack.number, None)
        if relayed is None:
            return []
        number, address = relayed
        updates = self._next_updates()
        return [Send(address, Ack(number, self._me, ack.target, ack.versions, updates))]

    def _on_ping_request(self, request: PingRequest) -> list[Send]:
        target = self._members.get(request.target)
        if target is None:
            return []
        ping = self._ping(target)
        # Entries whose ack was lost are removed only here.
        if len(self._relayed) > 100:
            self._relayed.clear()
        self._relayed[ping.message.number] = (request.number, request.sender.address)
        return [ping]

    def _start_probe(self, now: float) -> list[Send]:
        sends: list[Send] = []
        target = self._next_probe_target()
        if target is not None:
            send = self._ping(target)
            self._probe = _Probe(target.name, send.message.number, now)
            sends.append(send)
        if self._dead and (
            target is None or self._random.random() < _DEAD_PROBE_FRACTION
        ):
            # After a partition has healed, the members of each side are dead to
            # the other and would never be probed again.  A node whose other
            # members are all dead probes one in each period: while the store is
            # unavailable, nothing else finds a node restarted at its old address.
            [name] = self._dead.sample(self._random, 1)
            sends.append(self._ping(self._members[name]))
        return sends

    def _next_probe_target(self) -> Member | None:
        for _ in range(len(self._probe_order) + 2):
            if not self._probe_order:
                me = self._me.name
                self._probe_order = [m.name for m in self.present() if m.name != me]
                self._random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.status != MemberStatus.DEAD:
                return member
        return None

    def _request_indirect_probes(self, probe: _Probe) -> list[Send]:
        excluded = (self._me.name, probe.target)
        count = self._settings.indirect_probes
        drawn = self._live.sample(self._random, count + len(excluded))
        relays = [self._members[n] for n in drawn if n not in excluded][:count]
        updates = self._next_updates()
        request = PingRequest(
            probe.number, self._me, probe.target, self.cached_versions(), updates
        )
        return [Send(relay.address, request) for relay in relays]

    def _on_probe_failed(self, probe: _Probe) -> None:
        self._probe = None
        self._local_health = min(8, self._local_health + 1)
        member = self._members.get(probe.target)
        if member is None:
            return
        if member.status == MemberStatus.ALIVE:
            self._declare(probe.target, MemberStatus.SUSPECT)
        elif member.status == MemberStatus.LEAVING:
            self._declare(probe.target, MemberStatus.DEAD)

    def _expire(self, now: float) -> None:
        periods = self._settings.suspicion_multiplier * log2(len(self._members) + 2)
        suspicion_timeout = periods * self._settings.period
        for name, since in list(self._changed_at.items()):
            member = self._members[name]
            if (
                member.status == MemberStatus.SUSPECT
                and now - since > suspicion_timeout
            ):
                self._declare(name, MemberStatus.DEAD)
            elif (
                member.status == MemberStatus.DEAD
                and now - since > self._settings.dead_retention
            ):
                self._forget(name)

    def _declare(self, name: str, status: MemberStatus) -> None:
        member = self._members.get(name)
        if member is not None and status > member.status:
            self._apply(member.replace(status=status))

    def _is_plausible(self, member: Member) -> bool:
        if member.incarnation <= MAX_CLAIMED_INCARNATION:
            return True
        known = self._members.get(member.name)
        if known is None:
            return False
        return member.incarnation <= known.incarnation + _MAX_INCARNATION_STEP

    def _apply_if_newer(self, member: Member) -> None:
        known = self._members.get(member.name)
        if known is None or member.overrides(known):
            self._apply(member)

    def _refute(self, update: Member) -> None:
        own = self._me
        if update.incarnation < own.incarnation or update == own:
            return
        if update.overrides(own) or update.incarnation > own.incarnation:
            self._me = own.replace(incarnation=update.incarnation + 1)
            self._apply(self._me)

    def _apply(self, member: Member) -> None:
        self._set_record(member)
        self._updates.add(member, len(self._members))
        self._push_pending = True

    def random_members(self, count: int) -> list[Member]:
        """Return up to ``count`` other members that are not dead, drawn at random."""
        drawn = self._live.sample(self._random, count + 1)
        chosen = [name for name in drawn if name != self._me.name][:count]
        return [self._members[name] for name in chosen]

    def _push(self, count: int) -> list[Send]:
        return [self._ping(member) for member in self.random_members(count)]

    def _set_record(self, member: Member) -> None:
        known = self._members.get(member.name)
        if known is not None:
            self._digest.toggle(known)
        self._digest.toggle(member)
        self._members[member.name] = member
        is_dead = member.status == MemberStatus.DEAD
        (self._dead if is_dead else self._live).add(member.name)
        (self._live if is_dead else self._dead).discard(member.name)
        if member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            self._changed_at[member.name] = self._clock.now()
        else:
            self._changed_at.pop(member.name, None)
        self._version += 1
        if known is None or known.status != member.status:
            previous = None if known is None else MemberStatus(known.status)
            self.on_status(member, previous)

    def _forget(self, name: str) -> None:
        self._digest.toggle(self._members.pop(name))
        del self._changed_at[name]
        self._dead.discard(name)
        self._version += 1

    def _next_updates(self) -> tuple[Member, ...]:
        return self._updates.take(self._settings.updates_per_datagram)

    def _ping(self, target: Member) -> Send:
        self._last_number += 1
        updates = self._next_updates()
        ping = Ping(
            self._last_number, self._me, target.name, self.cached_versions(), updates
        )
        return Send(target.address, ping)


def _ignore(member: Member, previous: MemberStatus | None) -> None:
    pass


def _ignore_claim(member: Member) -> None:
    pass
