"""Issues the tokens of accounts to all nodes."""

from collections.abc import Callable
from typing import NamedTuple

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.clock import Clock
from rattanfork_core.objectives import WindowedCount
from rattanfork_core.quota.bound import QuotaBound
from rattanfork_core.quota.bucket import TokenBucket

#: Seconds in which the views of all nodes agree on who is first in order: where the
#: one before has left or was replaced, and where it may be partitioned.
_HANDOVER = 0.5
_DOUBTFUL_HANDOVER = 2.5
#: Seconds for which a node that has asked is counted as served by this issuer.
_ASKER_KEPT_FOR = 2.5
#: Seconds without a request after which the state of an account is dropped.
_IDLE = 30.0
#: Part of an account's rate that an issuer gives in the first window after it has
#: taken the account over: what the one before has issued in it is not known.
_COLD_PART = 0.7
#: Part of the rate that an issuer gives which may not be the only one.
_ASKED_PART = 0.6
#: Parts in which the window of issued tokens is kept.
_PARTS = 50
#: Accounts of which state is kept.
_MOST_ACCOUNTS = 100_000


class Grant(NamedTuple):
    """Tokens that were issued.

    Parameters
    ==========

    tokens : int
        How many; fewer than asked for if the limit is reached.
    wait : float
        Seconds until there are tokens again; 0 while there are some.
    """

    tokens: int
    wait: float


class _Account:
    __slots__ = ("askers", "bucket", "counted", "last_asked", "primary_since", "since")

    def __init__(
        self, clock: Clock, window: float, level: float, primary_since: float | None
    ) -> None:
        self.bucket = TokenBucket(clock, level, primary_since)
        #: Tokens issued and refused.  The part that has just begun comes on top of a
        #: whole window.
        self.counted = WindowedCount(clock, window * (1 + 1 / _PARTS), _PARTS + 1)
        self.askers: dict[str, float] = {}
        self.primary_since = primary_since
        self.last_asked = clock.now()
        #: Since when nobody else can have issued any.
        self.since = self.last_asked if primary_since is None else primary_since


class TokenIssuer:
    """Issues the tokens of the accounts that fall to this node.

    Explanation
    ===========

    Each node has a right to an equal part of each limit, and lends it to the issuer
    that it asks; so the sum of what all issuers issue stays within the limit whoever
    asks whom.  A node that has long been first in order for an account, in its own
    view, issues for all nodes that it sees.  One that has just become so counts the
    nodes that ask it, and any other has a few tokens only: enough for the requests of
    a small account until the views of all nodes agree on who has failed.

    The limit is on each window; a burst may come at any moment of it.  So a window of
    what was issued stands beside the bucket, which alone would refuse a steady load
    that no window shows to be too much.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    bound : QuotaBound
        By how much limits may be exceeded.
    is_primary : callable
        Whether this node is first in order for an account, by name.
    predecessor_uncertain : callable
        Whether a node before it in that order may still be issuing, unseen.
    visible_nodes : callable
        Returns how many nodes this node sees.
    fleet_size : callable
        Returns how many nodes it has lately seen at most.
    order_changed_at : callable
        Returns when the order of nodes changed last, for any account.

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
        self._in_doubt = predecessor_uncertain
        self._present = visible_nodes
        self._fleet = fleet_size
        self._settled_at = order_changed_at
        self._accounts: dict[str, _Account] = {}
        #: Smallest part of the fleet seen lately, and when.
        self._lowest_part = (1.0, clock.now())

    def __len__(self) -> int:
        return len(self._accounts)

    def issue(self, account: ClientAccount, count: int, asker: str) -> Grant | None:
        """Issue up to so many tokens of an account to a node.

        None if there are none and another issuer knows whether the limit is reached.
        """
        now = self._clock.now()
        state = self._state(account)
        state.last_asked = now
        state.askers[asker] = now
        rate = self._rate(account, state, now)
        state.bucket.refill(rate, self._bound.bucket_depth(account))
        issued, _ = state.counted.totals()
        most = self._bound.issue_limit(account) * self._part
        left = max(0, int(most - issued))
        tokens = state.bucket.take(min(count, left))
        state.counted.add(tokens, count - tokens)
        if state.primary_since is None:
            return Grant(tokens, 0.0) if tokens else None
        if tokens == count:
            return Grant(tokens, 0.0)
        return Grant(tokens, 1 / max(rate, account.rate / 10))

    def drop_idle_accounts(self) -> None:
        """Forget accounts that nobody asks for; call once a second or so."""
        now = self._clock.now()
        for name, state in list(self._accounts.items()):
            if now - state.last_asked > _IDLE:
                del self._accounts[name]
            else:
                self._drop_old_askers(state, now)
                self._note_place(name, state, now)

    def _state(self, account: ClientAccount) -> _Account:
        state = self._accounts.get(account.name)
        if state is None:
            if len(self._accounts) >= _MOST_ACCOUNTS:
                self._accounts.pop(next(iter(self._accounts)))
            level = self._bound.initial_level(account) * self._part
            primary = self._is_primary(account.name)
            since = self._settled_at() if primary else None
            state = _Account(self._clock, self._bound.window, level, since)
            self._accounts[account.name] = state
        return state

    @property
    def _part(self) -> float:
        """Part of the fleet that this node sees, and has seen for a window.

        When a partition has healed, what the other side has issued is not known.
        """
        now = self._clock.now()
        part = min(1.0, self._present() / max(1, self._fleet()))
        lowest, seen_at = self._lowest_part
        if part <= lowest or now - seen_at > self._bound.window:
            self._lowest_part = (part, now)
        return self._lowest_part[0]

    def _rate(self, account: ClientAccount, state: _Account, now: float) -> float:
        """Return the tokens a second that this node may issue."""
        name = account.name
        self._note_place(name, state, now)
        if state.primary_since is None:
            return 0.0
        handover = _DOUBTFUL_HANDOVER if self._in_doubt(name) else _HANDOVER
        if now - state.primary_since < handover:
            self._drop_old_askers(state, now)
            part = min(1.0, len(state.askers) / max(1, self._fleet()))
            return _ASKED_PART * account.rate * part
        part = self._part
        if now - state.since < self._bound.window:
            return _COLD_PART * account.rate * part
        return self._bound.sustained_rate(account) * part

    def _note_place(self, name: str, state: _Account, now: float) -> None:
        if not self._is_primary(name):
            state.primary_since = None
        elif state.primary_since is None:
            state.primary_since = now

    def _drop_old_askers(self, state: _Account, now: float) -> None:
        oldest = now - _ASKER_KEPT_FOR
        if state.askers and min(state.askers.values()) < oldest:
            state.askers = {n: at for n, at in state.askers.items() if at >= oldest}
