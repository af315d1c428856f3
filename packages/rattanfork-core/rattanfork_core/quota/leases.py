"""Quota tokens that a node leases from the issuers of accounts."""

from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.quota.bound import QuotaBound
from rattanfork_core.quota.quota import DecisionCallback, Quota, QuotaDecision

#: Time without a reply after which a token request is sent again.
_REPLY_TIMEOUT_SECONDS = 0.08
#: Issuers that a token request is sent to in turn, by position in the account's order,
#: before the waiting requests are refused.  The first one dominates, as lost datagrams
#: are more common than failed issuers.
_ISSUER_TURNS = (0, 0, 1, 0, 1, 0)
#: Age of a token request up to which its reply still admits waiting requests, even if
#: its tokens have expired and may not be kept.
_MAX_REPLY_SECONDS = 0.5
#: Longest time for which a node refuses requests itself after an issuer has refused
#: one; a token request for each would cost two messages and get the same reply.
_MAX_BLOCK_SECONDS = 0.2
#: Tokens are requested in advance for the expected demand of this time.
_PREFETCH_SECONDS = 0.25
#: Time constant of the average demand.
_DEMAND_AVERAGE_SECONDS = 2.0
#: Most tokens in one token request.
_MAX_TOKENS_PER_REQUEST = 1000
#: Most requests of one account that wait for tokens.
_MAX_WAITING = 512
#: Shortest ``Retry-After`` if no issuer can be reached.
_UNREACHABLE_RETRY_SECONDS = 0.5
#: Largest jitter that is added to ``Retry-After``, so that refused callers do not all
#: retry at once.
_RETRY_JITTER_SECONDS = 1.0
#: Time without a request after which the state of an account is dropped.
_IDLE_TIMEOUT_SECONDS = 30.0


class TokenRequest(NamedTuple):
    """Request for tokens, from a node to an issuer.

    Parameters
    ==========

    number : int
        Identifies the token request at its sender.
    account : str
        Name of the account.
    count : int
        Number of tokens requested.
    """

    number: int
    account: str
    count: int


class _PendingRequest(NamedTuple):
    account: str
    at: float


class _Lease:
    __slots__ = (
        "account",
        "pending",
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
        #: Number of the pending token request; 0 without one.
        self.pending = 0
        #: Number of times that the pending token request was sent again.
        self.tries = 0
        self.blocked_until = 0.0
        #: Moving average of the requests per second.
        self.demand = 0.0
        self.last_taken = float("-inf")


class TokenLeases(Quota):
    """Quotas by tokens that this node leases from one issuer per account.

    Explanation
    ===========

    All nodes know the same few issuers of an account, in an order specific to the
    account.  Tokens are requested from the first one, and from the next if there is no
    reply.  A reply that was lost may mean tokens that are issued and never used; as
    tokens expire soon, this does not accumulate.  A node with many requests of an
    account requests tokens in advance, so that most requests do not have to wait.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    random : Random
        Source of the jitter of ``Retry-After``.
    bound : QuotaBound
        Limits of accounts, and by how much they may be exceeded.
    issuers : callable
        Returns the issuers of an account, by its name, in order.
    send : callable
        Sends a token request to an issuer.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> sent, decisions = [], []
    >>> leases = TokenLeases(
    ...     ManualClock(), Random(1), QuotaBound(), lambda name: ["n1", "n2"],
    ...     lambda issuer, request: sent.append((issuer, request)),
    ... )
    >>> account = ClientAccount("clerks", rate=10, burst=10)
    >>> leases.take(account, lambda decision, after: decisions.append(decision.value))
    >>> [(issuer, request)] = sent
    >>> issuer, request.count, decisions
    ('n1', 1, [])
    >>> leases.on_reply(request.number, tokens=1, wait=0.0)
    >>> decisions
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
        self._pending: dict[int, _PendingRequest] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._leases)

    def take(self, account: ClientAccount, decided: DecisionCallback) -> None:
        """Decide with a leased token, or when the reply to a token request arrives."""
        if not account.limited:
            decided(QuotaDecision.GRANTED, 0.0)
            return
        now = self._clock.now()
        lease = self._leases.get(account.name)
        if lease is None:
            lease = self._leases[account.name] = _Lease(account)
        lease.account = account
        self._update_demand(lease, now)
        if lease.tokens and now < lease.expires:
            lease.tokens -= 1
            decided(QuotaDecision.GRANTED, 0.0)
            if not lease.tokens and not lease.pending and self._prefetch_count(lease):
                self._send_request(lease, now)
        elif now < lease.blocked_until or len(lease.waiting) >= _MAX_WAITING:
            decided(
                QuotaDecision.EXHAUSTED, self._retry_after(lease.blocked_until - now)
            )
        else:
            lease.waiting.append(decided)
            if not lease.pending:
                self._send_request(lease, now)

    def refund(self, account: ClientAccount, granted_at: float) -> None:
        """Put a token back for other requests, unless it has expired."""
        lease = self._leases.get(account.name)
        if lease is not None and account.limited:
            expires = granted_at + self._bound.lease_time(account)
            self._add_tokens(lease, 1, expires, self._clock.now())

    def on_reply(self, number: int, tokens: int, wait: float) -> None:
        """Handle the reply of an issuer.

        Parameters
        ==========

        number : int
            Number of the token request.
        tokens : int
            Number of tokens issued.
        wait : float
            Seconds until more are available; 0 if all requested tokens were issued.
        """
        pending = self._pending.pop(number, None)
        lease = None if pending is None else self._leases.get(pending.account)
        if lease is None:
            return
        now = self._clock.now()
        if number == lease.pending:
            lease.pending = lease.tries = 0
        remaining = tokens if now - pending.at < _MAX_REPLY_SECONDS else 0
        while remaining and lease.waiting:
            remaining -= 1
            lease.waiting.popleft()(QuotaDecision.GRANTED, 0.0)
        self._add_tokens(
            lease,
            remaining,
            pending.at + self._bound.lease_time(lease.account),
            now,
        )
        if wait > 0:
            lease.blocked_until = now + min(wait, _MAX_BLOCK_SECONDS)
            self._refuse_waiting(lease, QuotaDecision.EXHAUSTED, wait)
        elif lease.waiting and not lease.pending:
            self._send_request(lease, now)

    def tick(self) -> None:
        """Repeat requests that time out; has to be called ten times a second."""
        now = self._clock.now()
        for name, lease in list(self._leases.items()):
            if lease.pending:
                pending = self._pending.get(lease.pending)
                if pending is None or now - pending.at >= _REPLY_TIMEOUT_SECONDS:
                    self._resend_request(lease, now)
            elif now - lease.last_taken > _IDLE_TIMEOUT_SECONDS:
                del self._leases[name]
        oldest = now - _IDLE_TIMEOUT_SECONDS
        for number in [
            n for n, pending in self._pending.items() if pending.at < oldest
        ]:
            del self._pending[number]

    def _send_request(self, lease: _Lease, now: float) -> None:
        issuers = self._issuers(lease.account.name)
        if not issuers:
            lease.pending = lease.tries = 0
            self._refuse_waiting(
                lease, QuotaDecision.UNREACHABLE, _UNREACHABLE_RETRY_SECONDS
            )
            return
        self._last_number += 1
        lease.pending = self._last_number
        count = min(
            _MAX_TOKENS_PER_REQUEST,
            max(1, len(lease.waiting) + self._prefetch_count(lease)),
        )
        self._pending[self._last_number] = _PendingRequest(lease.account.name, now)
        issuer = issuers[_ISSUER_TURNS[lease.tries] % len(issuers)]
        self._send(issuer, TokenRequest(self._last_number, lease.account.name, count))

    def _resend_request(self, lease: _Lease, now: float) -> None:
        lease.tries += 1
        if lease.tries < len(_ISSUER_TURNS) and lease.waiting:
            self._send_request(lease, now)
            return
        lease.pending = lease.tries = 0
        self._refuse_waiting(
            lease, QuotaDecision.UNREACHABLE, _UNREACHABLE_RETRY_SECONDS
        )

    def _add_tokens(
        self, lease: _Lease, tokens: int, expires: float, now: float
    ) -> None:
        if not tokens or now >= expires:
            return
        if now >= lease.expires:
            lease.tokens = 0
        lease.expires = min(lease.expires, expires) if lease.tokens else expires
        lease.tokens += tokens

    def _refuse_waiting(
        self, lease: _Lease, decision: QuotaDecision, wait: float
    ) -> None:
        waiting, lease.waiting = lease.waiting, deque()
        for decided in waiting:
            decided(decision, self._retry_after(wait))

    def _retry_after(self, wait: float) -> float:
        return max(0.0, wait) + self._random.uniform(0.2, 1.0) * _RETRY_JITTER_SECONDS

    def _prefetch_count(self, lease: _Lease) -> int:
        """Return the number of tokens to request in advance."""
        seconds = min(_PREFETCH_SECONDS, self._bound.lease_time(lease.account) / 2)
        return int(lease.demand * seconds)

    def _update_demand(self, lease: _Lease, now: float) -> None:
        elapsed = now - lease.last_taken
        lease.demand *= max(0.0, 1 - elapsed / _DEMAND_AVERAGE_SECONDS)
        lease.demand += 1 / _DEMAND_AVERAGE_SECONDS
        lease.last_taken = now
