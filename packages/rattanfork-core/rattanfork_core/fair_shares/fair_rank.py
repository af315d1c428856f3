"""Fair fraction of the rank of a request, decided at the entry node."""

from dataclasses import dataclass, field
from typing import NamedTuple

from rattanfork_core.clock import Clock
from rattanfork_core.fair_shares.curve import DemandCurve
from rattanfork_core.fair_shares.messages import MAX_LISTED_ACCOUNTS, PER_MILLE
from rattanfork_core.fair_shares.route_positions import RoutePositions
from rattanfork_core.fair_shares.totals_table import TotalsTable
from rattanfork_core.fair_shares.window import (
    MAX_ACCOUNTS,
    WINDOW_SECONDS,
    DemandWindow,
    account_hash,
)

#: Highest fraction of a rank; at 1 a request would have the next importance.
_MAX_FRACTION = 1.0 - 2.0**-20
#: Seconds for which a node without totals uses those of its own requests unchanged;
#: computing them takes up to a millisecond.
_OWN_TOTALS_SECONDS = 0.1
#: Ratio of this node's count to the known demand, and excess over it, from which the
#: count is used: the account's demand has just risen.  The higher of the two at all
#: times would make an account at one node appear more demanding, by random variation,
#: than one at all nodes.
_CLEARLY_MORE = 1.25
_CLEAR_EXCESS = 2
#: Seconds after the last fair rank of an importance from which it counts as inactive.
_ACTIVE_SECONDS = 2.0


class FairRank(NamedTuple):
    """Fraction of a request's rank, and what it was computed from.

    Parameters
    ==========

    fraction : float
        Fraction of the rank in [0, 1).
    demand : float
        Requests of the account within two seconds.
    admitted : float
        Share of the requests of this importance that the lowest threshold admits.
    curve : DemandCurve
        Curve of the demands of all accounts.
    from_fleet : bool
        Whether the demands are totals of all nodes, not of this node alone.
    """

    fraction: float
    demand: float
    admitted: float
    curve: DemandCurve
    from_fleet: bool

    @property
    def fair_rate(self) -> float:
        """Requests per second that each account gets at most."""
        return self.curve.level(self.admitted) / WINDOW_SECONDS

    @property
    def limited_accounts(self) -> int:
        """Number of accounts whose demand is above the fair share."""
        return self.curve.accounts_above(self.curve.level(self.admitted))

    def as_log_field(self) -> dict[str, object]:
        """Return the demand and the fair share in requests per second, for the log."""
        return {
            "demand": round(self.demand / WINDOW_SECONDS, 1),
            "share": round(self.fair_rate, 1),
            "by": "fleet" if self.from_fleet else "node",
        }


@dataclass(slots=True)
class _Importance:
    window: DemandWindow
    #: Requests by account since the last report.
    unreported: dict[int, int] = field(default_factory=dict)
    lowest_admitted: float = 1.0
    #: Curve and highest demands of this node's own requests, and when computed.
    own: tuple[DemandCurve, dict[int, int]] | None = None
    own_at: float = 0.0
    last: FairRank | None = None
    last_at: float = 0.0


class ImportanceCounts(NamedTuple):
    """Requests of one importance since the last report.

    Parameters
    ==========

    importance : int
        The importance.
    admitted : int
        Share that the lowest threshold admits, in thousandths.
    counts : dict
        Number of requests by the hash of the account.
    """

    importance: int
    admitted: int
    counts: dict[int, int]


class FairShares:
    """Counts the requests of accounts and computes fair fractions of ranks.

    Explanation
    ===========

    The position of a request is its hash in [0, 1) times the demand of its account.  At
    any threshold on positions, an account gets the lower of its demand and the
    threshold: max-min fairness, without further information at the gates.  The fraction
    is the share of all requests that lie below the position, see :class:`DemandCurve`.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    totals : TotalsTable
        Totals of all nodes.  Without recent ones, the requests counted here are used.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> shares = FairShares(clock, TotalsTable(clock))
    >>> for _ in range(60):
    ...     rank = shares.rank(2, "eager", 0.5, threshold=2.4)
    >>> clock.advance(0.2)
    >>> for name in ("a", "b", "a", "b"):
    ...     rank = shares.rank(2, name, 0.5, threshold=2.4)
    >>> round(shares.rank(2, "eager", 0.5, 2.4).fraction, 2)
    0.51
    >>> round(rank.fraction, 2)
    0.02
    """

    def __init__(self, clock: Clock, totals: TotalsTable) -> None:
        self._clock = clock
        self._totals = totals
        self._importances: dict[int, _Importance] = {}
        self._positions = RoutePositions()

    @property
    def active_importances(self) -> list[int]:
        """Importances with a fair rank within the last two seconds."""
        if not self._importances:
            return []
        oldest = self._clock.now() - _ACTIVE_SECONDS
        return [i for i, state in self._importances.items() if state.last_at >= oldest]

    def rank(
        self,
        importance: int,
        account: str,
        tiebreak: float,
        threshold: float,
        route_importance: int | None = None,
    ) -> FairRank:
        """Count a request and return the fair fraction of its rank.

        Parameters
        ==========

        importance : int
            Integer part of the rank.
        account : str
            Name of the client account.
        tiebreak : float
            Hash of the request ID in [0, 1).
        threshold : float
            Lowest threshold of the route's call chain, below ``importance + 1``.
        route_importance : int or None
            Importance of the route, if it orders the requests of the account.
        """
        now = self._clock.now()
        state = self._importances.get(importance)
        if state is None:
            state = self._importances[importance] = _Importance(
                DemandWindow(self._clock)
            )
        key = account_hash(account)
        demand: float = state.window.add(key)
        unreported = state.unreported
        if key in unreported or len(unreported) < MAX_ACCOUNTS:
            unreported[key] = unreported.get(key, 0) + 1
        admitted = min(max(threshold - importance, 0.0), 1.0)
        state.lowest_admitted = min(state.lowest_admitted, admitted)
        if route_importance is not None:
            tiebreak = self._positions.position(key, route_importance, tiebreak)
        totals = self._totals.current(importance)
        if totals is not None:
            curve, demands = totals.curve, totals.demands
        else:
            curve, demands = self._own_totals(state, now)
        # An account that is not listed is below its fair share.
        known = max(demands.get(key, curve.rest), 1.0)
        if demand <= _CLEARLY_MORE * known + _CLEAR_EXCESS:
            demand = known
        fraction = min(curve.share(tiebreak * demand), _MAX_FRACTION)
        state.last_at = now
        state.last = FairRank(fraction, demand, admitted, curve, totals is not None)
        return state.last

    def take_counts(self) -> list[ImportanceCounts]:
        """Return the requests since the last call; called twice a second."""
        taken = []
        for importance, state in list(self._importances.items()):
            if state.unreported:
                admitted = int(state.lowest_admitted * PER_MILLE)
                taken.append(ImportanceCounts(importance, admitted, state.unreported))
                state.unreported = {}
                state.lowest_admitted = 1.0
            elif not state.window.total:
                del self._importances[importance]
        return taken

    def discard(self) -> None:
        """Drop all state; called when the configuration no longer has accounts."""
        self._importances.clear()
        self._positions = RoutePositions()

    def fleet_demand(self, importance: int) -> float:
        """Return the demand of all accounts in the received totals; 0 without any."""
        totals = self._totals.current(importance)
        return 0.0 if totals is None else totals.curve.total

    def last_rank(self, importance: int) -> FairRank | None:
        """Return the fair rank that was computed last for an importance."""
        state = self._importances.get(importance)
        return None if state is None else state.last

    def _own_totals(
        self, state: _Importance, now: float
    ) -> tuple[DemandCurve, dict[int, int]]:
        if state.own is None or now - state.own_at >= _OWN_TOTALS_SECONDS:
            window = state.window
            demands = dict(window.top(MAX_LISTED_ACCOUNTS))
            curve = DemandCurve(
                demands.values(),
                len(window) - len(demands),
                window.total - sum(demands.values()),
            )
            state.own = curve, demands
            state.own_at = now
        return state.own
