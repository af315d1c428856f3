"""The membership protocol, in the manner of SWIM."""

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

#: Share of the probes that also go to one of the dead.
_DEAD_SHARE = 0.1
#: Coming and leaving are pushed to this many times as many as other news: who
#: hears late of the one keeps sending, and of the other can't be found.
_FAR_PUSHES = 4


@dataclass(slots=True)
class _Probe:
    target: str
    number: int
    sent: float
    helped: bool = False


class Membership:
    """One node's view of the members, and its part in the protocol.

    Explanation
    ===========

    Each period one member is probed; if it does not answer, a few others are
    asked to probe it; if they hear nothing either it is suspected, and dead
    after a while unless it refutes by raising its incarnation.  All news
    rides on probes and their answers, a bounded number each, so the cost of
    a node is constant.

    A node whose own probes fail often takes itself to be slow (Lifeguard's
    local health) and gives others more time, so that one frozen and woken
    process does not declare the rest dead.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Seeded source of choices.
    me : Member
        This node.
    settings : MembershipSettings
        Timing.

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
        self._changed_at: dict[str, float] = {}
        self._digest = BucketDigest([])
        self._rumours = UpdateQueue()
        self._living = RandomPool()
        self._dead = RandomPool()
        self._order: list[str] = []
        self._next_check = clock.now()
        self._probe: _Probe | None = None
        self._next_probe = clock.now()
        self._number = random.getrandbits(30)
        self._relays: dict[int, tuple[int, tuple[str, int]]] = {}
        self._health = 0
        self._version = 0
        self._has_news = False
        self._next_push = clock.now()
        #: What this node holds of the store.
        self.cached_versions: Callable[[], CachedVersions] = CachedVersions
        #: Told of each member that comes or changes its status, with the status
        #: before; None for one that was not known.
        self.on_status: Callable[[Member, MemberStatus | None], None] = _ignore
        self._put(me)

    @property
    def me(self) -> Member:
        """The node's own record."""
        return self._me

    @property
    def version(self) -> int:
        """Grows whenever the view changes."""
        return self._version

    @property
    def members(self) -> dict[str, Member]:
        """All records by name, the dead included."""
        return self._members

    @property
    def digest(self) -> BucketDigest:
        """Digest of the view."""
        return self._digest

    @property
    def pending_updates(self) -> int:
        """Rumours on their way."""
        return len(self._rumours)

    def present(self) -> list[Member]:
        """Return the members that are not dead."""
        return [m for m in self._members.values() if m.status != MemberStatus.DEAD]

    def update_me(self, **changes: object) -> None:
        """Change this node's own record and tell the others."""
        incarnation = self._me.incarnation + 1
        self._me = self._me.replace(incarnation=incarnation, **changes)
        self._accept(self._me)

    def leave(self) -> list[Send]:
        """Announce that this node takes no new work.

        The news is pushed at once to more than other news is.
        """
        self.update_me(status=MemberStatus.LEAVING)
        return self._push(_FAR_PUSHES * self._settings.push_fanout)

    def announce_self(self) -> list[Send]:
        """Tell the others at once that this node is here.

        The news is pushed to more than other news is.  A node that waits for
        its next tick may be killed before; with the store away nobody could
        find its successor then, as no other node had ever heard of it.
        """
        return self._push(_FAR_PUSHES * self._settings.push_fanout)

    def ping_members(self, names: Iterable[str]) -> list[Send]:
        """Tell some members at once what this node holds of the store."""
        known = (self._members.get(name) for name in names if name != self._me.name)
        return [
            self._ping(member)
            for member in known
            if member is not None and member.status != MemberStatus.DEAD
        ]

    def mark_dead(self, name: str) -> None:
        """Take a member for dead: another process answers at its address."""
        if name != self._me.name:
            self._declare(name, MemberStatus.DEAD)

    def schedule_push(self) -> None:
        """Push soon: there is news, such as another revision of the rules."""
        self._has_news = True

    def merge(self, members: Iterable[Member]) -> None:
        """Take in records, from rumours or from another's view."""
        for member in members:
            if member.name == self._me.name:
                self._refute(member)
                continue
            known = self._members.get(member.name)
            if known is None or member.overrides(known):
                self._accept(member)

    def records_in_buckets(self, buckets: Iterable[int]) -> list[Member]:
        """Return the records of some buckets of the digest."""
        wanted = set(buckets)
        return [m for m in self._members.values() if bucket_of(m.name) in wanted]

    def tick(self) -> list[Send]:
        """Carry the protocol on; call several times a period."""
        now = self._clock.now()
        sends: list[Send] = []
        probe = self._probe
        timeout = self._settings.ack_timeout * (1 + self._health)
        if probe is not None and not probe.helped and now - probe.sent >= timeout:
            probe.helped = True
            sends += self._ask_helpers(probe)
        if now >= self._next_probe:
            if probe is not None:
                self._probe_failed(probe)
            period = self._settings.period * (1 + 0.5 * self._health)
            self._next_probe = now + period * self._random.uniform(0.9, 1.1)
            sends += self._begin_probe(now)
        if self._has_news and now >= self._next_push:
            self._has_news = False
            self._next_push = now + self._settings.push_interval
            sends += self._push(self._settings.push_fanout)
        if now >= self._next_check:
            # Not each tick: while a region is cut off, thousands are suspect.
            self._next_check = now + self._settings.period
            self._end_suspicions(now)
        return sends

    def on_message(self, message: GossipMessage, source: tuple[str, int]) -> list[Send]:
        """Take in a datagram."""
        self.merge([message.sender])
        self.merge(message.updates)
        if isinstance(message, Ping):
            return self._on_ping(message)
        if isinstance(message, Ack):
            return self._on_ack(message)
        return self._on_ping_request(message)

    def _on_ping(self, ping: Ping) -> list[Send]:
        # A stranger to the target's boot is told who is here instead, so
        # that a replaced process is not taken for the old one.
        sender = self._members[ping.sender.name]
        if sender.status in (MemberStatus.DEAD, MemberStatus.SUSPECT):
            # The sender does not know that it is thought dead: tell it, so
            # that it refutes.
            self._rumours.add(sender, 2)
        ack = Ack(
            ping.number, self._me, self._me.name, self.cached_versions(), self._news()
        )
        return [Send(ping.sender.address, ack)]

    def _on_ack(self, ack: Ack) -> list[Send]:
        probe = self._probe
        if probe is not None and ack.number == probe.number:
            if ack.target == probe.target:
                self._probe = None
                self._health = max(0, self._health - 1)
            else:
                # Another process answers at that address: the one probed was
                # replaced and cannot come back.
                self._declare(probe.target, MemberStatus.DEAD)
                self._probe = None
        relay = self._relays.pop(ack.number, None)
        if relay is None:
            return []
        number, address = relay
        news = self._news()
        return [Send(address, Ack(number, self._me, ack.target, ack.versions, news))]

    def _on_ping_request(self, request: PingRequest) -> list[Send]:
        target = self._members.get(request.target)
        if target is None:
            return []
        ping = self._ping(target)
        if len(self._relays) > 100:
            self._relays.clear()
        self._relays[ping.message.number] = (request.number, request.sender.address)
        return [ping]

    def _begin_probe(self, now: float) -> list[Send]:
        sends: list[Send] = []
        target = self._next_target()
        if target is not None:
            send = self._ping(target)
            self._probe = _Probe(target.name, send.message.number, now)
            sends.append(send)
        if self._dead and (target is None or self._random.random() < _DEAD_SHARE):
            # After a split has healed, both sides hold the other for dead
            # and would never speak again.  A node that is left alone has
            # nobody else to probe: one restarted at its old address, with
            # the store away, could be found by nobody.
            [name] = self._dead.sample(self._random, 1)
            sends.append(self._ping(self._members[name]))
        return sends

    def _next_target(self) -> Member | None:
        for _ in range(len(self._order) + 2):
            if not self._order:
                me = self._me.name
                self._order = [m.name for m in self.present() if m.name != me]
                self._random.shuffle(self._order)
                if not self._order:
                    return None
            member = self._members.get(self._order.pop())
            if member is not None and member.status != MemberStatus.DEAD:
                return member
        return None

    def _ask_helpers(self, probe: _Probe) -> list[Send]:
        names = (self._me.name, probe.target)
        count = self._settings.indirect_probes
        drawn = self._living.sample(self._random, count + len(names))
        helpers = [self._members[n] for n in drawn if n not in names][:count]
        news = self._news()
        request = PingRequest(
            probe.number, self._me, probe.target, self.cached_versions(), news
        )
        return [Send(helper.address, request) for helper in helpers]

    def _probe_failed(self, probe: _Probe) -> None:
        self._probe = None
        self._health = min(8, self._health + 1)
        member = self._members.get(probe.target)
        if member is None:
            return
        if member.status == MemberStatus.ALIVE:
            self._declare(probe.target, MemberStatus.SUSPECT)
        elif member.status == MemberStatus.LEAVING:
            self._declare(probe.target, MemberStatus.DEAD)

    def _end_suspicions(self, now: float) -> None:
        periods = self._settings.suspicion_multiplier * log2(len(self._members) + 2)
        limit = periods * self._settings.period
        for name, since in list(self._changed_at.items()):
            member = self._members[name]
            if member.status == MemberStatus.SUSPECT and now - since > limit:
                self._declare(name, MemberStatus.DEAD)
            elif (
                member.status == MemberStatus.DEAD
                and now - since > self._settings.dead_retention
            ):
                self._forget(name)

    def _declare(self, name: str, status: MemberStatus) -> None:
        member = self._members.get(name)
        if member is not None and status > member.status:
            self._accept(member.replace(status=status))

    def _refute(self, rumour: Member) -> None:
        mine = self._me
        if rumour.incarnation < mine.incarnation or rumour == mine:
            return
        if rumour.overrides(mine) or rumour.incarnation > mine.incarnation:
            self._me = mine.replace(incarnation=rumour.incarnation + 1)
            self._accept(self._me)

    def _accept(self, member: Member) -> None:
        self._put(member)
        self._rumours.add(member, len(self._members))
        self._has_news = True

    def random_members(self, count: int) -> list[Member]:
        """Return up to so many other members that are not dead, drawn at random."""
        drawn = self._living.sample(self._random, count + 1)
        chosen = [name for name in drawn if name != self._me.name][:count]
        return [self._members[name] for name in chosen]

    def _push(self, count: int) -> list[Send]:
        return [self._ping(member) for member in self.random_members(count)]

    def _put(self, member: Member) -> None:
        known = self._members.get(member.name)
        if known is not None:
            self._digest.toggle(known)
        self._digest.toggle(member)
        self._members[member.name] = member
        dead = member.status == MemberStatus.DEAD
        (self._dead if dead else self._living).add(member.name)
        (self._living if dead else self._dead).discard(member.name)
        if member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            self._changed_at[member.name] = self._clock.now()
        else:
            self._changed_at.pop(member.name, None)
        self._version += 1
        if known is None or known.status != member.status:
            before = None if known is None else MemberStatus(known.status)
            self.on_status(member, before)

    def _forget(self, name: str) -> None:
        self._digest.toggle(self._members.pop(name))
        del self._changed_at[name]
        self._dead.discard(name)
        self._version += 1

    def _news(self) -> tuple[Member, ...]:
        return self._rumours.take(self._settings.updates_per_datagram)

    def _ping(self, target: Member) -> Send:
        self._number += 1
        news = self._news()
        ping = Ping(self._number, self._me, target.name, self.cached_versions(), news)
        return Send(target.address, ping)


def _ignore(member: Member, before: MemberStatus | None) -> None:
    pass
