"""Distribution of rate-limit tokens of client accounts between nodes."""

from collections.abc import Callable, Iterable
from math import ceil
from random import Random

from rattanfork_core.client_accounts import AccountIndex
from rattanfork_core.clock import Clock
from rattanfork_core.hashing import hash64
from rattanfork_core.membership import (
    Member,
    Membership,
    MemberStatus,
    QuotaReply,
    QuotaRequest,
    role_holders,
)
from rattanfork_core.quota import (
    QuotaBound,
    TokenIssuer,
    TokenLeases,
    TokenRequest,
    WindowedMaximum,
)

from rattanfork_node.member.gossip_task import GossipTask

#: Token issuers of each data centre; an account is assigned to one issuer at a time.
_ISSUERS_PER_DATA_CENTRE = 8
#: Time for which a suspected issuer may still be issuing tokens, as it does if it is
#: only partitioned off.
_DOUBT_PERIOD_S = 10.0
#: Window over which the largest fleet size is kept.
_FLEET_SIZE_WINDOW_S = 30.0
#: Ticks between two removals of unused state.
_SWEEP_TICKS = 10


class QuotaTask:
    """Requests tokens from their issuers, and issues those assigned to this node.

    Explanation
    ===========

    Rendezvous hashing of account and instance orders the issuers of an account.  A
    request is sent to the first, and to the next ones if it does not reply.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of jitter.
    membership : Membership
        Membership view of this node.
    gossip_task : GossipTask
        Sends and receives gossip messages.
    bound : QuotaBound
        Bound on the excess over limits.
    accounts : callable
        Returns the client accounts in force, or None.
    has_joined : callable
        Returns whether this node has read the membership from the store.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        membership: Membership,
        gossip_task: GossipTask,
        bound: QuotaBound,
        accounts: Callable[[], AccountIndex | None],
        has_joined: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._gossip_task = gossip_task
        self._accounts = accounts
        self._has_joined = has_joined
        self._membership_version = -1
        self._issuer_orders: dict[str, list[str]] = {}
        #: Newest record of each issuer, by instance; the set of issuers last
        #: changed at ``_settled_at``.
        self._issuers: dict[str, Member] = {}
        self._settled_at = clock.now()
        self._alive_count = 1
        self._fleet_size = WindowedMaximum(clock, _FLEET_SIZE_WINDOW_S, 1)
        #: Times at which instances were suspected that have not been replaced.
        self._failed_at: dict[str, float] = {}
        self._ticks = 0
        self.issuer = TokenIssuer(
            clock,
            bound,
            self._is_primary,
            self._in_doubt,
            self._count_alive,
            self._max_fleet_size,
            lambda: self._settled_at,
        )
        self.leases = TokenLeases(clock, random, bound, self._issuer_order, self._send)
        gossip_task.direct_handlers[QuotaRequest] = self.on_request
        gossip_task.direct_handlers[QuotaReply] = self.on_reply

    def on_request(self, request: QuotaRequest, address: tuple[str, int]) -> None:
        """Issue tokens to another node; do not reply if this node cannot."""
        reply = self._issue(request)
        if reply is not None:
            self._gossip_task.send(reply, address)

    def on_reply(self, reply: QuotaReply, address: tuple[str, int]) -> None:
        """Accept tokens issued by another node."""
        self.leases.on_reply(reply.number, reply.tokens, reply.wait / 1000)

    def on_status_change(self, member: Member, before: MemberStatus | None) -> None:
        """Record when a member becomes suspected, and when it recovers."""
        if member.status == MemberStatus.ALIVE:
            self._failed_at.pop(member.instance, None)
        elif member.status == MemberStatus.SUSPECT and not self._is_replaced(member):
            self._failed_at[member.instance] = self._clock.now()

    def tick(self) -> None:
        """Advance leases and expire old state; call ten times a second."""
        self._ticks += 1
        self._refresh_view()
        self.leases.tick()
        if self._ticks % _SWEEP_TICKS == 0:
            self.issuer.drop_idle_accounts()
            self._expire_failures()

    def _issue(self, request: QuotaRequest) -> QuotaReply | None:
        accounts = self._accounts()
        account = None if accounts is None else accounts.get(request.account)
        if account is None or not account.limited or not self._has_joined():
            return None
        grant = self.issuer.issue(account, request.count, request.sender)
        if grant is None:
            return None
        return QuotaReply(request.number, grant.tokens, ceil(grant.wait * 1000))

    def _send(self, issuer: str, request: TokenRequest) -> None:
        me = self._membership.me.name
        message = QuotaRequest(request.number, me, request.account, request.count)
        if issuer == me:
            reply = self._issue(message)
            if reply is not None:
                self.on_reply(reply, self._membership.me.address)
            return
        member = self._membership.members.get(issuer)
        if member is not None:
            self._gossip_task.send(message, member.address)

    def _issuer_order(self, account: str) -> list[str]:
        """Return the names of the issuers of an account, by priority."""
        self._refresh_view()
        order = self._issuer_orders.get(account)
        if order is None:
            instances = sorted(
                self._issuers, key=lambda i: _rendezvous_hash(account, i)
            )
            order = [self._issuers[instance].name for instance in instances]
            self._issuer_orders[account] = order
        return order

    def _is_primary(self, account: str) -> bool:
        order = self._issuer_order(account)
        return bool(order) and order[0] == self._membership.me.name

    def _in_doubt(self, account: str) -> bool:
        """Return whether an issuer of higher priority may still be issuing."""
        mine = _rendezvous_hash(account, self._membership.me.instance)
        oldest = self._clock.now() - _DOUBT_PERIOD_S
        return any(
            at > oldest and _rendezvous_hash(account, instance) < mine
            for instance, at in self._failed_at.items()
        )

    def _is_replaced(self, member: Member) -> bool:
        known = self._issuers.get(member.instance)
        return known is not None and known.boot > member.boot

    def _count_alive(self) -> int:
        self._refresh_view()
        return self._alive_count

    def _max_fleet_size(self) -> int:
        self._refresh_view()
        return self._fleet_size.value

    def _refresh_view(self) -> None:
        """Recompute derived state if the membership view has changed."""
        if self._membership_version == self._membership.version:
            return
        self._membership_version = self._membership.version
        self._issuer_orders.clear()
        newest = _newest_alive_records(self._membership.members.values())
        self._alive_count = len(newest)
        self._fleet_size.update(self._alive_count)
        issuers = _select_issuers(newest)
        changed = issuers.keys() != self._issuers.keys()
        self._issuers = issuers
        if changed:
            self._settled_at = self._clock.now()
            self.issuer.on_issuers_changed()

    def _expire_failures(self) -> None:
        oldest = self._clock.now() - _DOUBT_PERIOD_S
        failed = self._failed_at.items()
        self._failed_at = {name: at for name, at in failed if at > oldest}


def _newest_alive_records(members: Iterable[Member]) -> dict[str, Member]:
    """Return the record of the newest live node process of each instance.

    After a restart of all nodes, a view still holds records of former processes.
    """
    newest: dict[str, Member] = {}
    for member in members:
        if member.status == MemberStatus.ALIVE:
            known = newest.get(member.instance)
            if known is None or member.boot > known.boot:
                newest[member.instance] = member
    return newest


def _select_issuers(members: dict[str, Member]) -> dict[str, Member]:
    """Return the issuers, a bounded number of each data centre."""
    data_centres: dict[str, list[str]] = {}
    for instance, member in members.items():
        data_centres.setdefault(member.data_centre, []).append(instance)
    chosen = (
        role_holders(names, "quota", _ISSUERS_PER_DATA_CENTRE)
        for names in data_centres.values()
    )
    return {name: members[name] for names in chosen for name in names}


def _rendezvous_hash(account: str, instance: str) -> int:
    """Return the weight of an instance for an account; the lowest issues first."""
    return hash64(f"{account}|{instance}")
