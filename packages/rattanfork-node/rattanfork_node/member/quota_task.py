"""Carries the tokens of client accounts between nodes."""

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

#: Nodes of each data centre that issue tokens; each account falls to one of them.
_ISSUERS = 8
#: Seconds for which a failed node may still be issuing, unseen by this one.
_DOUBTFUL_FOR = 10.0
#: Seconds over which the size of the fleet is remembered.
_FLEET_MEMORY = 30.0
#: Ticks between two sweeps of what nobody asks for.
_SWEEP_TICKS = 10


class QuotaTask:
    """Asks other nodes for tokens, and issues those that fall to this node.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of jitter.
    membership : Membership
        Who is there.
    member_task : GossipTask
        Sends and receives datagrams.
    bound : QuotaBound
        By how much limits may be exceeded.
    accounts : callable
        Returns the client accounts in force, or None.
    has_joined : callable
        Whether this node has seen who else is there.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        membership: Membership,
        member_task: GossipTask,
        bound: QuotaBound,
        accounts: Callable[[], AccountIndex | None],
        has_joined: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._member_task = member_task
        self._accounts = accounts
        self._has_joined = has_joined
        self._view = -1
        self._orders: dict[str, list[str]] = {}
        #: The newest incarnation of each instance that issues, and when others did.
        self._issuers: dict[str, Member] = {}
        self._settled_at = clock.now()
        self._alive = 1
        self._fleet = WindowedMaximum(clock, _FLEET_MEMORY, 1)
        #: When nodes failed that have not been replaced, by instance.
        self._doubtful: dict[str, float] = {}
        self._ticks = 0
        self.issuer = TokenIssuer(
            clock,
            bound,
            self._is_primary,
            self._in_doubt,
            self._count_alive,
            self._largest_fleet,
            lambda: self._settled_at,
        )
        self.leases = TokenLeases(clock, random, bound, self._order, self._send)
        member_task.direct[QuotaRequest] = self.on_request
        member_task.direct[QuotaReply] = self.on_reply

    def on_request(self, request: QuotaRequest, address: tuple[str, int]) -> None:
        """Issue tokens to another node; say nothing if that is not possible."""
        reply = self._issue(request)
        if reply is not None:
            self._member_task.send(reply, address)

    def on_reply(self, reply: QuotaReply, address: tuple[str, int]) -> None:
        """Take in tokens of another node."""
        self.leases.on_reply(reply.number, reply.tokens, reply.wait / 1000)

    def on_status_change(self, member: Member, before: MemberStatus | None) -> None:
        """Take note of who failed, and who is back."""
        if member.status == MemberStatus.ALIVE:
            self._doubtful.pop(member.instance, None)
        elif member.status == MemberStatus.SUSPECT and not self._is_replaced(member):
            self._doubtful[member.instance] = self._clock.now()

    def tick(self) -> None:
        """Carry on; call ten times a second."""
        self._ticks += 1
        self._look()
        self.leases.tick()
        if self._ticks % _SWEEP_TICKS == 0:
            self.issuer.drop_idle_accounts()
            self._forget_failed()

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
            self._member_task.send(message, member.address)

    def _order(self, account: str) -> list[str]:
        """Return the issuers of an account, in order."""
        self._look()
        order = self._orders.get(account)
        if order is None:
            instances = sorted(self._issuers, key=lambda i: _place(account, i))
            order = [self._issuers[instance].name for instance in instances]
            self._orders[account] = order
        return order

    def _is_primary(self, account: str) -> bool:
        order = self._order(account)
        return bool(order) and order[0] == self._membership.me.name

    def _in_doubt(self, account: str) -> bool:
        mine = _place(account, self._membership.me.instance)
        oldest = self._clock.now() - _DOUBTFUL_FOR
        return any(
            at > oldest and _place(account, instance) < mine
            for instance, at in self._doubtful.items()
        )

    def _is_replaced(self, member: Member) -> bool:
        known = self._issuers.get(member.instance)
        return known is not None and known.boot > member.boot

    def _count_alive(self) -> int:
        self._look()
        return self._alive

    def _largest_fleet(self) -> int:
        self._look()
        return self._fleet.value

    def _look(self) -> None:
        """Take note of another view of the members."""
        if self._view == self._membership.version:
            return
        self._view = self._membership.version
        self._orders.clear()
        newest = _newest_alive(self._membership.members.values())
        self._alive = len(newest)
        self._fleet.update(self._alive)
        issuers = _issuers(newest)
        if issuers.keys() != self._issuers.keys():
            self._settled_at = self._clock.now()
        self._issuers = issuers

    def _forget_failed(self) -> None:
        oldest = self._clock.now() - _DOUBTFUL_FOR
        failed = self._doubtful.items()
        self._doubtful = {name: at for name, at in failed if at > oldest}


def _newest_alive(members: Iterable[Member]) -> dict[str, Member]:
    """Return the members that are not suspected, one incarnation of each instance.

    After a restart of all, a view holds the records of processes that are gone.
    """
    newest: dict[str, Member] = {}
    for member in members:
        if member.status == MemberStatus.ALIVE:
            known = newest.get(member.instance)
            if known is None or member.boot > known.boot:
                newest[member.instance] = member
    return newest


def _issuers(members: dict[str, Member]) -> dict[str, Member]:
    """Return the members that issue tokens, some of each data centre."""
    centres: dict[str, list[str]] = {}
    for instance, member in members.items():
        centres.setdefault(member.data_centre, []).append(instance)
    chosen = (role_holders(names, "quota", _ISSUERS) for names in centres.values())
    return {name: members[name] for names in chosen for name in names}


def _place(account: str, instance: str) -> int:
    """Return the place of an instance among the issuers of an account."""
    return hash64(f"{account}|{instance}")
