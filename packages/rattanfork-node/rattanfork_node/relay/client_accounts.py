"""Route path: authentication by API key, and quotas of client accounts."""

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
#: Largest age of a configuration's confirmation with which a key is accepted, as a
#: share of the revocation bound; the rest allows for clock error.
_CONFIRMATION_AGE_SHARE = 0.9
#: Maximum duration and number of requests with unknown keys that wait for a
#: confirmation that no newer configuration has the key.
_MAX_KEY_WAIT_S = 1.0
_MAX_WAITING_REQUESTS = 256
#: Largest age of a confirmation with which an unknown key is answered 401 without
#: a newer confirmation.
_RECENT_CONFIRMATION_S = 1.5
#: Retry-After of a node without a recent confirmation.
_UNCONFIRMED_RETRY_S = 0.5
#: Time without a refusal after which an account counts as within its quota again, and
#: bound on the over-quota accounts that are tracked for the log.
_QUOTA_QUIET_S = 5.0
_MAX_LOGGED_ACCOUNTS = 64


@dataclass(frozen=True, slots=True)
class Refusal:
    """Response to a request that is refused for its key or quota.

    Parameters
    ==========

    status : int
        HTTP status.
    reason : Reason
        Reason of the refusal.
    retry_after : float
        Value of Retry-After, in seconds; 0 if the caller should not retry.
    """

    status: int
    reason: Reason
    retry_after: float = 0.0


_UNAUTHENTICATED = Refusal(_UNAUTHENTICATED_STATUS, Reason.UNAUTHENTICATED)
_UNCONFIRMED = Refusal(_NOT_RUN_STATUS, Reason.UNCONFIRMED, _UNCONFIRMED_RETRY_S)

AcceptCallback = Callable[["Exchange", "Route"], None]
RefuseCallback = Callable[["Exchange", "Route", Refusal], None]


@dataclass(slots=True)
class _WaitingRequest:
    """A request whose key is not in the configuration in force."""

    exchange: Exchange
    route: Route
    arrived_at: float


class ClientAccounts:
    """Authenticates each caller's request and takes it from its account's quota.

    Explanation
    ===========

    A key is looked up once, at the node where the request enters; other nodes and
    upstreams receive the name of the account.  A key is accepted only while the
    configuration was recently confirmed to be the newest, so that a revoked key is
    rejected within the bound also at a partitioned node.  A request with an unknown
    key waits for a confirmation that is newer than the request before it is answered
    401, because callers don't retry after that status and the key may just have been
    added.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    configuration : ConfigurationHolder
        The configuration in force.
    lease : ConfigurationLease
        Age of the last confirmation that the configuration is the newest.
    quota : Quota
        Grants requests of accounts within their rates.
    counters : Counters
        Counters of the node.
    revoke_within : float or None
        Seconds within which every node must reject a revoked key; None if only
        nodes that reach the store are bound.
    request_confirmation : callable
        Schedules the fetch of a newer confirmation.
    """

    def __init__(
        self,
        clock: Clock,
        configuration: ConfigurationHolder,
        lease: ConfigurationLease,
        quota: Quota,
        counters: Counters,
        revoke_within: float | None,
        request_confirmation: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._configuration = configuration
        self._lease = lease
        self._quota = quota
        self._counters = counters
        self._max_confirmation_age = (
            None if revoke_within is None else _CONFIRMATION_AGE_SHARE * revoke_within
        )
        self._request_confirmation = request_confirmation
        self._waiting: list[_WaitingRequest] = []
        self._last_quota_refusal: dict[str, float] = {}
        #: Whether a request with this ID may be a call of a run that was lost.
        self.may_be_call: Callable[[bytes], bool] = _never
        #: Called with each accepted and each refused request.
        self.accept: AcceptCallback = _ignore
        self.refuse: RefuseCallback = _ignore

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a newer confirmation."""
        return len(self._waiting)

    def admit(self, exchange: Exchange, route: Route, index: AccountIndex) -> None:
        """Accept or refuse a caller's request, once, now or after a wait."""
        # An empty value is no key.
        keys = exchange.keys if any(exchange.keys) else ()
        account = index.find(keys[0]) if len(keys) == 1 else None
        if account is not None and self._is_confirmed():
            self._take_quota(exchange, route, account)
        elif route.anonymous:
            self.accept(exchange, route)
        elif account is not None or not keys and self.may_be_call(exchange.request_id):
            self.refuse(exchange, route, _UNCONFIRMED)
        elif len(keys) != 1 or len(self._waiting) >= _MAX_WAITING_REQUESTS:
            self._refuse_unknown(exchange, route, confirmed=len(keys) != 1)
        else:
            self._waiting.append(_WaitingRequest(exchange, route, self._lease.now()))
            self._request_confirmation()

    def refund_quota(self, exchange: Exchange) -> None:
        """Refund the quota of an accepted request that has not run and will not."""
        if exchange.granted_at is not None:
            self._quota.refund(exchange.account, exchange.granted_at)
            exchange.granted_at = None

    def recheck_waiting(self) -> None:
        """Decide on waiting requests, by the current configuration and time."""
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            if not request.exchange.answered and not self._try_resolve(request):
                self._waiting.append(request)
        if self._waiting:
            self._request_confirmation()

    def tick(self) -> None:
        """Handle timeouts; call ten times a second."""
        if self._waiting:
            self.recheck_waiting()
        now = self._clock.now()
        for name, at in list(self._last_quota_refusal.items()):
            if now - at > _QUOTA_QUIET_S:
                del self._last_quota_refusal[name]
                log_change("account_within_quota", account=name)

    def _is_confirmed(self) -> bool:
        return (
            self._max_confirmation_age is None
            or self._lease.age <= self._max_confirmation_age
        )

    def _try_resolve(self, waiting: _WaitingRequest) -> bool:
        """Accept or refuse a waiting request if possible; return whether it was."""
        exchange, route = waiting.exchange, waiting.route
        index = self._configuration.current.accounts
        account = None if index is None else index.find(exchange.keys[0])
        waited = self._lease.now() - waiting.arrived_at
        if account is not None or index is None:
            exchange.account_delay += waited
            if account is None:
                self.accept(exchange, route)
            elif self._is_confirmed():
                self._take_quota(exchange, route, account)
            else:
                self.refuse(exchange, route, _UNCONFIRMED)
        elif self._lease.age <= waited:
            self._refuse_unknown(exchange, route, confirmed=True)
        elif waited >= _MAX_KEY_WAIT_S:
            self._refuse_unknown(exchange, route, confirmed=False)
        else:
            return False
        return True

    def _refuse_unknown(
        self, exchange: Exchange, route: Route, confirmed: bool
    ) -> None:
        if confirmed or self._lease.age <= _RECENT_CONFIRMATION_S:
            self.refuse(exchange, route, _UNAUTHENTICATED)
        else:
            self.refuse(exchange, route, _UNCONFIRMED)

    def _take_quota(
        self, exchange: Exchange, route: Route, account: ClientAccount
    ) -> None:
        exchange.account = account
        requested_at = self._clock.now()

        def on_decision(decision: QuotaDecision, retry_after: float) -> None:
            now = self._clock.now()
            exchange.account_delay += now - requested_at
            if decision is QuotaDecision.GRANTED:
                exchange.granted_at = now
                if exchange.answered:
                    self.refund_quota(exchange)
                else:
                    self.accept(exchange, route)
            elif decision is QuotaDecision.EXHAUSTED:
                self._log_over_quota(account.name, now)
                refusal = Refusal(_QUOTA_STATUS, Reason.QUOTA, retry_after)
                self.refuse(exchange, route, refusal)
            else:
                refusal = Refusal(_NOT_RUN_STATUS, Reason.QUOTA_UNKNOWN, retry_after)
                self.refuse(exchange, route, refusal)

        self._quota.take(account, on_decision)

    def _log_over_quota(self, name: str, now: float) -> None:
        if (
            name not in self._last_quota_refusal
            and len(self._last_quota_refusal) < _MAX_LOGGED_ACCOUNTS
        ):
            log_change("account_over_quota", account=name)
            self._last_quota_refusal[name] = now
        elif name in self._last_quota_refusal:
            self._last_quota_refusal[name] = now


def _never(request_id: bytes) -> bool:
    return False


def _ignore(*request: object) -> None:
    pass
