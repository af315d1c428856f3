"""Issuer of quota tokens, which the nodes lease before they forward requests."""

from collections.abc import Callable
from typing import NamedTuple

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.objectives import WindowedCount
from rattanfork_core.quota.bound import QuotaBound
from rattanfork_core.quota.bucket import TokenBucket

#: Time until the membership views of all nodes agree on a new primary issuer, if its
#: predecessor has left or was replaced.
_HANDOVER_SECONDS = 0.5
#: The same if the predecessor has failed: it may be partitioned and still issue tokens.
_UNCERTAIN_HANDOVER_SECONDS = 2.5
#: Time for which a node that sent a request counts as served by this issuer.
_REQUESTER_TIMEOUT_SECONDS = 2.5
#: Time without a request after which the state of an account is dropped.
_IDLE_TIMEOUT_SECONDS = 30.0
#: Fraction of an account's rate that a new primary issues in its first window: what
#: its predecessor has issued in that window is not known.
_FIRST_WINDOW_FRACTION = 0.7
#: Fraction of the rate that a new primary issues during the handover, when another
#: node may still be issuing as well.
_HANDOVER_FRACTION = 0.6
#: Buckets of the sliding window of issued tokens.
_WINDOW_BUCKETS = 50
#: Bounds the memory for the state of accounts.
_MAX_ACCOUNTS = 100_000


class Grant(NamedTuple):
    """Reply of an issuer to a request for tokens.

    Parameters
    ==========

    tokens : int
        Number of tokens issued; less than requested if the limit is reached.
    wait : float
        Seconds until tokens are available again; 0 if all were issued.
    """

    tokens: int
    wait: float


class _AccountState:
    __slots__ = (
        "requesters",
        "bucket",
        "counted",
        "initial_level",
        "last_requested",
        "primary_since",
        "since",
    )

    def __init__(
        self, clock: Clock, window: float, level: float, primary_since: float | None
    ) -> None:
        self.bucket = TokenBucket(clock, level, primary_since)
        self.initial_level = level
        #: Tokens issued and refused in the sliding window, which is one bucket longer
        #: than the quota's window, as its newest bucket is incomplete.
        self.counted = WindowedCount(
            clock, window * (1 + 1 / _WINDOW_BUCKETS), _WINDOW_BUCKETS + 1
        )
        self.requesters: dict[str, float] = {}
        self.primary_since = primary_since
        self.last_requested = clock.now()
        #: Time since which no other node can have issued tokens of the account.
        self.since = self.last_requested if primary_since is None else primary_since


class TokenIssuer:
    """Issues tokens of client accounts to the nodes that request them.

    Explanation
    ===========

    Every node orders the issuers of an account by the same hash; the first is the
    primary.  Each node is entitled to an equal part of the limit, which counts at the
    issuer that it sends its token requests to.  So the tokens of all issuers together
    stay within the limit even while the membership views of the nodes differ:

    - A node that has been primary, in its own view, for longer than a handover takes
      issues for all nodes that it sees.
    - A node that has just become primary issues for the nodes that have sent it
      requests.
    - Any other node issues only a few initial tokens, enough for a small account until
      all nodes agree on the new primary.

    The limit holds for each window, in which a burst may come at any time.  A bucket
    that alone enforced it would refuse a steady load that exceeds the limit in no
    window.  Issued tokens are therefore also counted in a sliding window, and the
    bucket is refilled at a higher rate.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    bound : QuotaBound
        Limits of accounts, and by how much they may be exceeded.
    is_primary : callable
        Returns whether this node is the primary issuer of an account, by name.
    predecessor_uncertain : callable
        Returns whether a failed node that precedes this one in the account's order
        may be partitioned and still issue tokens.
    visible_nodes : callable
        Returns the number of nodes that are alive in this node's view.
    fleet_size : callable
        Returns the largest recent number of visible nodes.
    order_changed_at : callable
        Returns when the set of issuers last changed, in seconds of the clock.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> issuer = TokenIssuer(
    ...     clock,
    ...     QuotaBound(),
    ...     is_primary=lambda name: True,
    ...     predecessor_uncertain=lambda name: False,
    ...     visible_nodes=lambda: 10,
    ...     fleet_size=lambda: 10,
    ...     order_changed_at=lambda: 0.0,
    ... )
    >>> account = ClientAccount("clerks", rate=10, burst=10)
    >>> issuer.issue(account, 4, "n1")
    Grant(tokens=4, wait=0.0)
    """

    def __init__(
        self,
        clock: Clock,
        bound: QuotaBound,
        is_primary: Callable[[str], bool],
        predecessor_uncertain: Callable[[str], bool],
        visible_nodes: Callable[[], int],
        fleet_size: Callable[[], int],
        order_changed_at: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._bound = bound
        self._is_primary = is_primary
        self._predecessor_uncertain = predecessor_uncertain
        self._visible_nodes = visible_nodes
        self._fleet_size = fleet_size
        self._order_changed_at = order_changed_at
        self._accounts: dict[str, _AccountState] = {}
        #: Smallest fraction of the fleet visible during the last window, and its time.
        self._lowest_fraction = (1.0, clock.now())

    def __len__(self) -> int:
        return len(self._accounts)

    def issue(self, account: ClientAccount, count: int, requester: str) -> Grant | None:
        """Issue up to ``count`` tokens of an account to a node.

        Returns None if this node is not the primary and has no tokens: only the
        primary can tell whether the limit is reached.
        """
        now = self._clock.now()
        state = self._state(account)
        state.last_requested = now
        state.requesters[requester] = now
        rate = self._rate(account, state, now)
        state.bucket.refill(rate, self._bound.bucket_depth(account))
        issued, _ = state.counted.totals()
        max_issued = self._bound.issue_limit(account) * self._visible_fraction
        left = max(0, int(max_issued - issued))
        tokens = state.bucket.take(min(count, left))
        state.counted.add(tokens, count - tokens)
        if state.primary_since is None:
            return Grant(tokens, 0.0) if tokens else None
        if tokens == count:
            return Grant(tokens, 0.0)
        return Grant(tokens, 1 / max(rate, account.rate / 10))

    def on_issuers_changed(self) -> None:
        """Update which accounts this node is the primary of.

        Has to be called after each change of the set of issuers.  An account without
        requests meanwhile would otherwise keep the time at which this node became its
        primary before another one did.
        """
        now = self._clock.now()
        for name, state in self._accounts.items():
            self._update_primary(name, state, now)

    def drop_idle_accounts(self) -> None:
        """Drop the state of unused accounts; has to be called about once a second."""
        now = self._clock.now()
        for name, state in list(self._accounts.items()):
            if now - state.last_requested > _IDLE_TIMEOUT_SECONDS:
                del self._accounts[name]
            else:
                self._drop_old_requesters(state, now)
                self._update_primary(name, state, now)

    def _state(self, account: ClientAccount) -> _AccountState:
        state = self._accounts.get(account.name)
        if state is None:
            if len(self._accounts) >= _MAX_ACCOUNTS:
                self._accounts.pop(next(iter(self._accounts)))
            level = self._bound.initial_level(account) * self._visible_fraction
            primary = self._is_primary(account.name)
            since = self._order_changed_at() if primary else None
            state = _AccountState(self._clock, self._bound.window, level, since)
            self._accounts[account.name] = state
        return state

    @property
    def _visible_fraction(self) -> float:
        """Smallest fraction of the fleet that was visible during the last window.

        After a partition has healed, what the other side issued in the window is not
        known, so the fraction rises only after a window.
        """
        now = self._clock.now()
        fraction = min(1.0, self._visible_nodes() / max(1, self._fleet_size()))
        lowest, seen_at = self._lowest_fraction
        if fraction <= lowest or now - seen_at > self._bound.window:
            self._lowest_fraction = (fraction, now)
        return self._lowest_fraction[0]

    def _rate(self, account: ClientAccount, state: _AccountState, now: float) -> float:
        """Return the tokens per second that this node may issue."""
        name = account.name
        self._update_primary(name, state, now)
        if state.primary_since is None:
            return 0.0
        handover = (
            _UNCERTAIN_HANDOVER_SECONDS
            if self._predecessor_uncertain(name)
            else _HANDOVER_SECONDS
        )
        elapsed = now - state.primary_since
        if elapsed < handover:
            self._drop_old_requesters(state, now)
            fraction = min(1.0, len(state.requesters) / max(1, self._fleet_size()))
            rate = _HANDOVER_FRACTION * account.rate
            if elapsed < min(handover, self._bound.exhausted_time(account)):
                rate = min(rate, self._bound.succession_rate(account))
            return rate * fraction
        fraction = self._visible_fraction
        if now - state.since < self._bound.window:
            return _FIRST_WINDOW_FRACTION * account.rate * fraction
        return self._bound.sustained_rate(account) * fraction

    def _update_primary(self, name: str, state: _AccountState, now: float) -> None:
        if not self._is_primary(name):
            state.primary_since = None
        elif state.primary_since is None:
            state.primary_since = state.since = now
            # Another node has issued tokens meanwhile.
            state.bucket.restart(state.initial_level)

    def _drop_old_requesters(self, state: _AccountState, now: float) -> None:
        oldest = now - _REQUESTER_TIMEOUT_SECONDS
        if state.requesters and min(state.requesters.values()) < oldest:
            state.requesters = {
                n: at for n, at in state.requesters.items() if at >= oldest
            }
