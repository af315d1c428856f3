"""Sums of the demand reports of entry nodes, and the totals to send."""

from collections import deque

from rattanfork_core.clock import Clock, ManualClock
from rattanfork_core.fair_shares.curve import DemandCurve
from rattanfork_core.fair_shares.messages import (
    MAX_LISTED_ACCOUNTS,
    PER_MILLE,
    DemandReport,
    DemandTotals,
)
from rattanfork_core.fair_shares.totals_table import TotalsTable
from rattanfork_core.fair_shares.window import DemandWindow
from rattanfork_core.hashing import hash64

#: Seconds after its last totals from which another collector counts as silent: two
#: messages were lost.
_SILENCE_SECONDS = 1.2
#: Ratio of totals from which one collector is clearly more complete than another.
_CLEARLY_MORE = 1.25
#: Ticks over which the lowest reported threshold is kept: 2 s.
_ADMITTED_TICKS = 4
#: Part of the fair share from which an account is listed: the threshold may fall before
#: the next totals.
_LISTED_PART = 0.8


#: Seconds between two totals, and between two reports of a node.
_TICK_SECONDS = 0.5


class _Importance:
    __slots__ = ("admitted", "lowest_admitted", "window")

    def __init__(self, clock: Clock) -> None:
        self.window = DemandWindow(clock)
        #: Lowest share admitted since the last tick, and at each of the ticks before.
        self.lowest_admitted = PER_MILLE
        self.admitted: deque[int] = deque(maxlen=_ADMITTED_TICKS)


class DemandCollector:
    """Sums the reports that this node receives while it is a collector.

    Explanation
    ===========

    Each entry node reports to two members.  Of the collectors that receive reports, the
    one with the clearly higher total sends, and among equals the first by hash; the
    others send nothing while they receive its totals.  No election is needed: two that
    both send for a moment send nearly the same totals.

    Parameters
    ==========

    own_name : str
        Member name of this node.
    totals : TotalsTable
        Totals received from other collectors.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> collector = DemandCollector("n1@b", TotalsTable(ManualClock()))
    >>> collector.add(DemandReport(2, 400, ((7, 60), (8, 10), (9, 10))))
    >>> [totals] = collector.take_totals()
    >>> totals.demands, totals.rest_count, totals.rest_total
    (((7, 60), (9, 10), (8, 10)), 0, 0)
    """

    def __init__(self, own_name: str, totals: TotalsTable) -> None:
        self._own_name = own_name
        self._totals = totals
        # Windows advance with the totals, so that each contains four reports of each
        # node.  By time they contained three or four, depending on when in the half
        # second a node reports, and an account at one node appeared to send a third
        # more than at another.
        self._tick_clock = ManualClock()
        self._importances: dict[int, _Importance] = {}
        self._sequence = 0
        self._sends = False

    @property
    def sends(self) -> bool:
        """Whether this node sent totals at the last call of ``take_totals``."""
        return self._sends

    @property
    def active(self) -> bool:
        """Whether reports were received lately."""
        return bool(self._importances)

    def add(self, report: DemandReport) -> None:
        """Add the requests in a report."""
        state = self._importances.get(report.importance)
        if state is None:
            state = self._importances[report.importance] = _Importance(self._tick_clock)
        state.lowest_admitted = min(state.lowest_admitted, report.admitted)
        for account, count in report.demands:
            state.window.add(account, count)

    def take_totals(self) -> list[DemandTotals]:
        """Return the totals to send now; called twice a second."""
        messages = []
        for importance, state in list(self._importances.items()):
            state.admitted.append(state.lowest_admitted)
            state.lowest_admitted = PER_MILLE
            if not state.window.total:
                del self._importances[importance]
            elif not self._yields(importance, state.window.total):
                messages.append(self._totals_of(importance, state))
        self._tick_clock.advance(_TICK_SECONDS)
        self._sends = bool(messages)
        return messages

    def _yields(self, importance: int, total: int) -> bool:
        """Return whether another collector sends totals that make ours redundant."""
        for other in self._totals.recent(importance, _SILENCE_SECONDS):
            sender = other.message.sender
            if sender == self._own_name:
                continue
            if other.curve.total > _CLEARLY_MORE * total:
                return True
            if other.curve.total * _CLEARLY_MORE >= total and _precedes(
                sender, self._own_name
            ):
                return True
        return False

    def _totals_of(self, importance: int, state: _Importance) -> DemandTotals:
        window = state.window
        top = window.top(MAX_LISTED_ACCOUNTS)
        total, count = window.total, len(window)
        top_total = sum(demand for _, demand in top)
        curve = DemandCurve(
            (demand for _, demand in top), count - len(top), total - top_total
        )
        fair_share = curve.level(min(state.admitted) / PER_MILLE)
        listed = tuple(pair for pair in top if pair[1] > _LISTED_PART * fair_share)
        self._sequence += 1
        return DemandTotals(
            self._own_name,
            self._sequence,
            importance,
            listed,
            count - len(listed),
            total - sum(demand for _, demand in listed),
        )


def _precedes(name: str, other: str) -> bool:
    return (hash64(name), name) < (hash64(other), other)
