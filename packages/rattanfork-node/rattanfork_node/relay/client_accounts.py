"""Tells who sends a request, and holds client accounts to their quotas."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattanfork_core.client_accounts import AccountIndex, ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.quota import Quota, QuotaDecision
from rattanfork_core.request import Reason
from rattanfork_core.revision import ConfigurationLease

from rattanfork_node.telemetry import Counters, log_change

if TYPE_CHECKING:
    from rattanfork_core.routes import Route

    from rattanfork_node.config.holder import ConfigurationHolder
    from rattanfork_node.http1 import Exchange

_UNAUTHENTICATED_STATUS = 401
_QUOTA_STATUS = 429
_NOT_RUN_STATUS = 503
#: Part of the time in which a key must be out of use everywhere, up to which a proof
#: counts; the rest is for what a clock may be off.
_PROOF_PART = 0.9
#: Longest time, in seconds, for which a request with an unknown key waits for proof
#: that no newer configuration holds it, and requests that may wait so.
_KEY_PATIENCE = 1.0
_MOST_WAITING = 256
#: Age of the proof, in seconds, up to which a key is called unknown after that.
_RECENT = 1.5
#: Seconds after which a caller comes back to a node without a recent proof.
_UNCONFIRMED_RETRY = 0.5
#: Seconds without a refusal after which an account is within its quota again, and
#: accounts that are logged at a time.
_WITHIN_AFTER = 5.0
_MOST_LOGGED = 64


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not let in.

    Parameters
    ==========

    status : int
        Status of the answer.
    reason : Reason
        Why.
    retry_after : float
        Seconds after which the caller should come back; 0 for never.
    """

    status: int
    reason: Reason
    retry_after: float = 0.0


_UNAUTHENTICATED = Refusal(_UNAUTHENTICATED_STATUS, Reason.UNAUTHENTICATED)
_UNCONFIRMED = Refusal(_NOT_RUN_STATUS, Reason.UNCONFIRMED, _UNCONFIRMED_RETRY)

LetIn = Callable[["Exchange", "Route"], None]
Refuse = Callable[["Exchange", "Route", Refusal], None]


@dataclass(slots=True)
class _Waiting:
    """A request with a key that is not known here, or not yet."""

    exchange: Exchange
    route: Route
    arrived: float


class ClientAccounts:
    """Finds the account of each caller's request and asks its quota.

    Explanation
    ===========

    A key is looked up once, at the node where the request enters; other nodes and
    upstreams get the name of the account.  A key counts only while there is recent
    proof that it has not been taken away.  A key that is not known is unknown only
    once a newer proof is there, as the caller won't try again after that answer.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    configuration : ConfigurationHolder
        The configuration in force.
    lease : ConfigurationLease
        How recent the proof is that it is the newest.
    quota : Quota
        Holds accounts to their limits.
    counters : Counters
        What happened.
    revoke_within : float or None
        Seconds in which a key that was taken away must be out of use at every node;
        None if that binds only nodes that reach the store.
    want_proof : callable
        Has a newer proof fetched soon.
    """

    def __init__(
        self,
        clock: Clock,
        configuration: ConfigurationHolder,
        lease: ConfigurationLease,
        quota: Quota,
        counters: Counters,
        revoke_within: float | None,
        want_proof: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._lease = lease
        self._quota = quota
        self._counters = counters
        self._oldest_proof = (
            None if revoke_within is None else _PROOF_PART * revoke_within
        )
        self._want_proof = want_proof
        self._waiting: list[_Waiting] = []
        self._limited: dict[str, float] = {}
        #: Take requests on, or refuse them.
        self.let_in: LetIn = _nobody_listens
        self.refuse: Refuse = _nobody_listens

    @property
    def waiting(self) -> int:
        """Requests that wait for a newer proof."""
        return len(self._waiting)

    def admit(self, exchange: Exchange, route: Route, index: AccountIndex) -> None:
        """Let a caller's request in, or refuse it; now or later, and once."""
        keys = exchange.keys
        account = index.find(keys[0]) if len(keys) == 1 else None
        if account is not None and self._is_proven():
            self._ask_quota(exchange, route, account)
        elif route.anonymous:
            self.let_in(exchange, route)
        elif account is not None:
            self.refuse(exchange, route, _UNCONFIRMED)
        elif len(keys) != 1 or len(self._waiting) >= _MOST_WAITING:
            self._refuse_unknown(exchange, route, proven=len(keys) != 1)
        else:
            self._waiting.append(_Waiting(exchange, route, self._lease.now()))
            self._want_proof()

    def release(self, exchange: Exchange) -> None:
        """Take note that a request that was let in has not run and never will."""
        if exchange.granted_at is not None:
            self._quota.refund(exchange.account, exchange.granted_at)
            exchange.granted_at = None

    def recheck_waiting(self) -> None:
        """Look again at the requests that wait: there is news, or time has passed."""
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            if not each.exchange.answered and not self._settle(each):
                self._waiting.append(each)
        if self._waiting:
            self._want_proof()

    def tick(self) -> None:
        """Carry on; call ten times a second."""
        if self._waiting:
            self.recheck_waiting()
        now = self._clock.now()
        for name, at in list(self._limited.items()):
            if now - at > _WITHIN_AFTER:
                del self._limited[name]
                log_change("account_within_quota", account=name)

    def _is_proven(self) -> bool:
        return self._oldest_proof is None or self._lease.age <= self._oldest_proof

    def _settle(self, waiting: _Waiting) -> bool:
        """Decide on a request that has waited, if that can be done now."""
        exchange, route = waiting.exchange, waiting.route
        index = self._configuration.current.accounts
        account = None if index is None else index.find(exchange.keys[0])
        waited = self._lease.now() - waiting.arrived
        if account is not None or index is None:
            exchange.waited += waited
            if account is None:
                self.let_in(exchange, route)
            elif self._is_proven():
                self._ask_quota(exchange, route, account)
            else:
                self.refuse(exchange, route, _UNCONFIRMED)
        elif self._lease.age <= waited:
            self._refuse_unknown(exchange, route, proven=True)
        elif waited >= _KEY_PATIENCE:
            self._refuse_unknown(exchange, route, proven=False)
        else:
            return False
        return True

    def _refuse_unknown(self, exchange: Exchange, route: Route, proven: bool) -> None:
        if proven or self._lease.age <= _RECENT:
            self.refuse(exchange, route, _UNAUTHENTICATED)
        else:
            self.refuse(exchange, route, _UNCONFIRMED)

    def _ask_quota(
        self, exchange: Exchange, route: Route, account: ClientAccount
    ) -> None:
        exchange.account = account
        asked_at = self._clock.now()

        def decided(verdict: QuotaDecision, retry_after: float) -> None:
            now = self._clock.now()
            exchange.waited += now - asked_at
            if verdict is QuotaDecision.GRANTED:
                exchange.granted_at = now
                if exchange.answered:
                    self.release(exchange)
                else:
                    self.let_in(exchange, route)
            elif verdict is QuotaDecision.EXHAUSTED:
                self._note_limited(account.name, now)
                refusal = Refusal(_QUOTA_STATUS, Reason.QUOTA, retry_after)
                self.refuse(exchange, route, refusal)
            else:
                refusal = Refusal(_NOT_RUN_STATUS, Reason.QUOTA_UNKNOWN, retry_after)
                self.refuse(exchange, route, refusal)

        self._quota.take(account, decided)

    def _note_limited(self, name: str, now: float) -> None:
        if name not in self._limited and len(self._limited) < _MOST_LOGGED:
            log_change("account_over_quota", account=name)
            self._limited[name] = now
        elif name in self._limited:
            self._limited[name] = now


def _nobody_listens(*request: object) -> None:
    pass
