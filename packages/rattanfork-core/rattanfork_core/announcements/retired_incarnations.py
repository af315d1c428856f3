"""Incarnations of upstreams that have left or have been succeeded."""

from collections import OrderedDict
from dataclasses import dataclass

from rattanfork_core.clock import Clock

#: Bound on the upstreams that are kept.  Announcements arrive seconds late at most, so
#: the oldest of them is needed no more.
_MAX_UPSTREAMS = 64
#: Seconds after a leaving in which an announcement of the same ID is of the incarnation
#: that leaves: it goes on serving for at least that long, before its ID is used again.
_SERVING_S = 2.0
#: Seconds by which an announcement may be late.
MAX_LATENESS_S = 10.0


@dataclass(slots=True)
class _Retired:
    #: Latest start of a retired incarnation, in Unix milliseconds; 0 if unknown.
    born: int
    #: When it was retired, or when this process learned of that.
    at: float
    #: Start that was announced while it was not known which incarnation has left.
    announced: int = 0


class RetiredIncarnations:
    """The retired incarnations of the upstreams of one node.

    Explanation
    ===========

    An upstream may use its ID again, with a later start.  Neither a probe nor a
    deregistration states a start, so an incarnation can be retired before its start is
    known.  An announcement with a start then is of the retired incarnation if it comes
    while that still serves, which makes the start known.  Later it may be a late one or
    one of a successor: it is rejected until it is too old to be late, or until two
    different starts have been announced, of which the later one is the successor's.
    Either makes a bound of the retired start known.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> retired = RetiredIncarnations(ManualClock())
    >>> retired.add("u1", 1000)
    True
    >>> retired.includes("u1"), retired.includes("u2")
    (True, False)
    >>> retired.rejects("u1", 1000), retired.rejects("u1", 2000)
    (True, False)
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_upstream: OrderedDict[str, _Retired] = OrderedDict()

    def add(self, upstream: str, born: int, serves: bool = True) -> bool:
        """Retire an incarnation; return whether that was not known yet.

        Parameters
        ==========

        upstream : str
            ID of the upstream.
        born : int
            Its start in Unix milliseconds; 0 if unknown.
        serves : bool
            Whether it has stated its leaving just now, so that it still serves.
        """
        known = self._by_upstream.get(upstream)
        if known is not None and born <= known.born:
            return False
        now = self._clock.now()
        self._by_upstream[upstream] = _Retired(
            born, now if serves else now - _SERVING_S
        )
        self._by_upstream.move_to_end(upstream)
        if len(self._by_upstream) > _MAX_UPSTREAMS:
            self._by_upstream.popitem(last=False)
        return True

    def remove(self, upstream: str) -> None:
        """Forget an ID that was retired by mistake."""
        self._by_upstream.pop(upstream, None)

    def includes(self, upstream: str) -> bool:
        """Return whether an incarnation of this ID has been retired."""
        return upstream in self._by_upstream

    def start_of(self, upstream: str) -> int:
        """Return the latest retired start of an ID; 0 if unknown."""
        retired = self._by_upstream.get(upstream)
        return 0 if retired is None else retired.born

    def rejects(self, upstream: str, born: int) -> bool:
        """Return whether an announcement is of a retired incarnation, or may be.

        Parameters
        ==========

        upstream : str
            ID of the upstream.
        born : int
            Start that the announcement states, in Unix milliseconds; 0 without one.
        """
        retired = self._by_upstream.get(upstream)
        if retired is None:
            return False
        if born <= retired.born:
            return True
        return not retired.born and self._may_be_late(retired, born)

    def _may_be_late(self, retired: _Retired, born: int) -> bool:
        age = self._clock.now() - retired.at
        if age < _SERVING_S:
            retired.born = born
            return True
        if retired.announced and born != retired.announced:
            retired.born = min(born, retired.announced)
            return born == retired.born
        retired.announced = born
        if age < MAX_LATENESS_S:
            return True
        # The retired one started before this one, whenever that was.
        retired.born = born - 1
        return False
