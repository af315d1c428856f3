"""Tokens that a node has leased from the issuers of accounts."""

from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.quota.bound import QuotaBound
from rattanfork_core.quota.quota import DecisionCallback, Quota, QuotaDecision

#: Seconds without a reply after which another request is sent, and places of the
#: issuers that are asked by turns before those that wait are refused: a lost datagram
#: is more common than a failed issuer.
_REPLY_TIMEOUT = 0.08
_TURNS = (0, 0, 1, 0, 1, 0)
#: Seconds after its request until which a reply lets in what has waited for it, though
#: its tokens may not be kept any more.
_LATEST_REPLY = 0.5
#: Longest time, in seconds, for which a node refuses by itself what an issuer has just
#: refused: each such request would cost two messages for the same answer.
_LONGEST_BLOCK = 0.2
#: Seconds of the usual demand that is asked for ahead.
_AHEAD = 0.25
#: Seconds over which the usual demand is averaged.
_DEMAND_TIME = 2.0
#: Most tokens in one request.
_MOST_TOKENS = 1000
#: Requests of one account that may wait for tokens.
_MOST_WAITING = 512
#: Seconds after which a caller comes back to a node that reaches no issuer.
_UNREACHABLE_RETRY = 0.5
#: Seconds over which returns to an exhausted account are spread, at least.
_RETURN_SPREAD = 1.0
#: Seconds without a request after which the state of an account is dropped.
_IDLE = 30.0


class TokenRequest(NamedTuple):
    """Asks an issuer for tokens.

    Parameters
    ==========

    number : int
        Identifies the request at its sender.
    account : str
        Name of the account.
    count : int
        Tokens wanted.
    """

    number: int
    account: str
    count: int


class _Asked(NamedTuple):
    account: str
    at: float


class _Lease:
    __slots__ = (
        "account",
        "asked",
        "blocked_until",
        "demand",
        "expires",
        "last_taken",
        "tokens",
        "tries",
        "waiting",
    )

    def __init__(self, account: ClientAccount) -> None:
        self.account = account
        self.tokens = 0
        self.expires = 0.0
        self.waiting: deque[DecisionCallback] = deque()
        #: Number of the request that is under way; 0 without one.
        self.asked = 0
        self.tries = 0
        self.blocked_until = 0.0
        #: Requests a second, lately.
        self.demand = 0.0
        self.last_taken = float("-inf")


class TokenLeases(Quota):
    """Leases tokens from one issuer for each account.

    Explanation
    ===========

    The issuers of an account are the same few nodes in the view of all, in an order
    of their own for each account.  The first is asked; a node that does not answer is
    passed over, as tokens that are issued twice are void soon.  A node that makes many
    requests of an account asks ahead, so that most of them wait for nothing.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Spreads the returns of refused callers.
    bound : QuotaBound
        By how much limits may be exceeded.
    issuers : callable
        Returns the issuers of an account, by name, in order.
    send : callable
        Sends a request to an issuer.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> sent, verdicts = [], []
    >>> leases = TokenLeases(
    ...     ManualClock(), Random(1), QuotaBound(), lambda name: ["n1", "n2"],
    ...     lambda issuer, request: sent.append((issuer, request)),
    ... )
    >>> account = ClientAccount("clerks", rate=10, burst=10)
    >>> leases.take(account, lambda verdict, after: verdicts.append(verdict.value))
    >>> [(issuer, request)] = sent
    >>> issuer, request.count, verdicts
    ('n1', 1, [])
    >>> leases.on_reply(request.number, tokens=1, wait=0.0)
    >>> verdicts
    ['granted']

    References
    ==========

    .. [1] Raghavan et al., "Cloud Control with Distributed Rate Limiting", 2007.
    """

    def __init__(
        self,
        clock: Clock,
        random: Random,
        bound: QuotaBound,
        issuers: Callable[[str], Sequence[str]],
        send: Callable[[str, TokenRequest], None],
    ) -> None:
        self._clock = clock
        self._random = random
        self._bound = bound
        self._issuers = issuers
        self._send = send
        self._leases: dict[str, _Lease] = {}
        self._asked: dict[int, _Asked] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._leases)

    def take(self, account: ClientAccount, decided: DecisionCallback) -> None:
        """Use a token, or ask for one."""
        if not account.limited:
            decided(QuotaDecision.GRANTED, 0.0)
            return
        now = self._clock.now()
        lease = self._leases.get(account.name)
        if lease is None:
            lease = self._leases[account.name] = _Lease(account)
        lease.account = account
        self._count(lease, now)
        if lease.tokens and now < lease.expires:
            lease.tokens -= 1
            decided(QuotaDecision.GRANTED, 0.0)
            if not lease.tokens and not lease.asked and self._ahead(lease):
                self._ask(lease, now)
        elif now < lease.blocked_until or len(lease.waiting) >= _MOST_WAITING:
            decided(
                QuotaDecision.EXHAUSTED, self._return_after(lease.blocked_until - now)
            )
        else:
            lease.waiting.append(decided)
            if not lease.asked:
                self._ask(lease, now)

    def refund(self, account: ClientAccount, granted_at: float) -> None:
        """Let another request use a token, if it is not void yet."""
        lease = self._leases.get(account.name)
        if lease is not None and account.limited:
            expires = granted_at + self._bound.lease_time(account)
            self._add(lease, 1, expires, self._clock.now())

    def on_reply(self, number: int, tokens: int, wait: float) -> None:
        """Take in what an issuer has granted.

        Parameters
        ==========

        number : int
            Number of the request.
        tokens : int
            Tokens that were issued.
        wait : float
            Seconds until there are more; 0 if all were issued that were asked for.
        """
        asked = self._asked.pop(number, None)
        lease = None if asked is None else self._leases.get(asked.account)
        if lease is None:
            return
        now = self._clock.now()
        if number == lease.asked:
            lease.asked = lease.tries = 0
        left = tokens if now - asked.at < _LATEST_REPLY else 0
        while left and lease.waiting:
            left -= 1
            lease.waiting.popleft()(QuotaDecision.GRANTED, 0.0)
        self._add(lease, left, asked.at + self._bound.lease_time(lease.account), now)
        if wait > 0:
            lease.blocked_until = now + min(wait, _LONGEST_BLOCK)
            self._refuse(lease, QuotaDecision.EXHAUSTED, wait)
        elif lease.waiting and not lease.asked:
            self._ask(lease, now)

    def tick(self) -> None:
        """Ask again where no reply came; call ten times a second."""
        now = self._clock.now()
        for name, lease in list(self._leases.items()):
            if lease.asked:
                asked = self._asked.get(lease.asked)
                if asked is None or now - asked.at >= _REPLY_TIMEOUT:
                    self._ask_again(lease, now)
            elif now - lease.last_taken > _IDLE:
                del self._leases[name]
        oldest = now - _IDLE
        for number in [n for n, asked in self._asked.items() if asked.at < oldest]:
            del self._asked[number]

    def _ask(self, lease: _Lease, now: float) -> None:
        issuers = self._issuers(lease.account.name)
        if not issuers:
            lease.asked = lease.tries = 0
            self._refuse(lease, QuotaDecision.UNREACHABLE, _UNREACHABLE_RETRY)
            return
        self._number += 1
        lease.asked = self._number
        count = min(_MOST_TOKENS, max(1, len(lease.waiting) + self._ahead(lease)))
        self._asked[self._number] = _Asked(lease.account.name, now)
        issuer = issuers[_TURNS[lease.tries] % len(issuers)]
        self._send(issuer, TokenRequest(self._number, lease.account.name, count))

    def _ask_again(self, lease: _Lease, now: float) -> None:
        lease.tries += 1
        if lease.tries < len(_TURNS) and lease.waiting:
            self._ask(lease, now)
            return
        lease.asked = lease.tries = 0
        self._refuse(lease, QuotaDecision.UNREACHABLE, _UNREACHABLE_RETRY)

    def _add(self, lease: _Lease, tokens: int, expires: float, now: float) -> None:
        if not tokens or now >= expires:
            return
        if now >= lease.expires:
            lease.tokens = 0
        lease.expires = min(lease.expires, expires) if lease.tokens else expires
        lease.tokens += tokens

    def _refuse(self, lease: _Lease, verdict: QuotaDecision, wait: float) -> None:
        waiting, lease.waiting = lease.waiting, deque()
        for decided in waiting:
            decided(verdict, self._return_after(wait))

    def _return_after(self, wait: float) -> float:
        return max(0.0, wait) + self._random.uniform(0.2, 1.0) * _RETURN_SPREAD

    def _ahead(self, lease: _Lease) -> int:
        """Return the tokens that will be wanted before the next reply."""
        seconds = min(_AHEAD, self._bound.lease_time(lease.account) / 2)
        return int(lease.demand * seconds)

    def _count(self, lease: _Lease, now: float) -> None:
        passed = now - lease.last_taken
        lease.demand *= max(0.0, 1 - passed / _DEMAND_TIME)
        lease.demand += 1 / _DEMAND_TIME
        lease.last_taken = now
