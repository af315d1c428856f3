"""Newest demand totals received from collectors."""

from dataclasses import dataclass

from rattanfork_core.clock import Clock
from rattanfork_core.fair_shares.curve import DemandCurve
from rattanfork_core.fair_shares.messages import DemandTotals

#: Seconds for which received totals are used.
_VALID_SECONDS = 2.0
#: Seconds for which the sequence of a sender is kept: an older datagram that arrives
#: late must not count as new.
_KEPT_SECONDS = 10.0
#: Senders stored for each importance.  Normally there is one; two while they change.
_MAX_SENDERS = 8
#: Times that a node of a large fleet forwards totals.
_MAX_FORWARDS = 3


@dataclass(slots=True)
class StoredTotals:
    """Totals of one sender, prepared for use.

    Parameters
    ==========

    message : DemandTotals
        The message as received.
    demands : dict
        Its listed demands by account.
    curve : DemandCurve
        Curve of all demands.
    received_at : float
        Time of receipt.
    forwards : int
        How often this node has forwarded it.
    """

    message: DemandTotals
    demands: dict[int, int]
    curve: DemandCurve
    received_at: float
    forwards: int = 0


class TotalsTable:
    """Newest totals by importance and sender; the most complete ones are used.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> table = TotalsTable(clock)
    >>> table.merge(DemandTotals("n1@b", 1, 2, ((7, 60),), 3, 30))
    True
    >>> table.current(2).demands, table.current(2).curve.total
    ({7: 60}, 90.0)
    >>> clock.advance(2.5)
    >>> table.current(2) is None
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stored: dict[int, dict[str, StoredTotals]] = {}
        self._current: dict[int, StoredTotals] = {}

    def __len__(self) -> int:
        return sum(len(senders) for senders in self._stored.values())

    def merge(self, totals: DemandTotals) -> bool:
        """Store totals; return whether they are newer than those of their sender."""
        now = self._clock.now()
        senders = self._stored.setdefault(totals.importance, {})
        for sender, known in list(senders.items()):
            if now - known.received_at > _KEPT_SECONDS:
                del senders[sender]
        known = senders.pop(totals.sender, None)
        if known is not None and known.message.sequence >= totals.sequence:
            senders[totals.sender] = known
            return False
        if len(senders) >= _MAX_SENDERS:
            del senders[next(iter(senders))]
        curve = DemandCurve(
            (demand for _, demand in totals.demands),
            totals.rest_count,
            totals.rest_total,
        )
        senders[totals.sender] = StoredTotals(totals, dict(totals.demands), curve, now)
        self._select(totals.importance, now)
        return True

    def current(self, importance: int) -> StoredTotals | None:
        """Return the totals to use for an importance; None without recent ones."""
        current = self._current.get(importance)
        if current is None:
            return None
        now = self._clock.now()
        if now - current.received_at <= _VALID_SECONDS:
            return current
        return self._select(importance, now)

    def recent(self, importance: int, seconds: float) -> list[StoredTotals]:
        """Return the totals of all senders received within some seconds."""
        oldest = self._clock.now() - seconds
        senders = self._stored.get(importance, {}).values()
        return [stored for stored in senders if stored.received_at >= oldest]

    def sender(self) -> str | None:
        """Return the sender of the totals received last, if they are recent."""
        oldest = self._clock.now() - _VALID_SECONDS
        recent = [t for t in self._current.values() if t.received_at >= oldest]
        if not recent:
            return None
        return max(recent, key=lambda t: t.received_at).message.sender

    def take_forwards(self) -> list[DemandTotals]:
        """Return the recent totals to forward now, each a bounded number of times."""
        messages = []
        for importance in list(self._current):
            current = self.current(importance)
            if current is not None and current.forwards < _MAX_FORWARDS:
                current.forwards += 1
                messages.append(current.message)
        return messages

    def _select(self, importance: int, now: float) -> StoredTotals | None:
        valid = [
            stored
            for stored in self._stored[importance].values()
            if now - stored.received_at <= _VALID_SECONDS and stored.curve.total
        ]
        if not valid:
            self._current.pop(importance, None)
            return None
        # Nodes that briefly use different collectors agree on the more complete totals.
        best = max(valid, key=lambda s: (s.curve.total, s.message.sender))
        self._current[importance] = best
        return best
