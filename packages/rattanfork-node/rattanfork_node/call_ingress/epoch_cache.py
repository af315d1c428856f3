"""Call path: cache of the current key epochs of other call gates."""

from collections import OrderedDict

from rattanfork_core.clock import Clock


class EpochCache:
    """Caches the key epochs of call gates for ``MAX_AGE_S`` seconds.

    Explanation
    ===========

    A call gate starts a new key epoch every few minutes.  Gossiped to all
    members, the epochs of 17,000 gates would make 57 updates a second.  Only
    nodes that issue keys need them, so these cache the epochs that replies carry,
    and request others.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> cache = EpochCache(clock)
    >>> cache.update("w1", 3)
    >>> cache.epoch("w1")
    3
    >>> clock.advance(60)
    >>> cache.epoch("w1") is None
    True
    """

    #: Shorter than an epoch, even at very high request rates.
    MAX_AGE_S = 10.0
    MAX_ENTRIES = 4096

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._epochs: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def update(self, name: str, epoch: int) -> None:
        """Store the epoch that a gate reported."""
        self._epochs[name] = (epoch, self._clock.now())
        if len(self._epochs) > self.MAX_ENTRIES:
            self._epochs.popitem(last=False)

    def epoch(self, name: str) -> int | None:
        """Return the epoch of a gate, or None if no fresh one is known."""
        cached = self._epochs.get(name)
        if cached is None or self._clock.now() - cached[1] > self.MAX_AGE_S:
            return None
        return cached[0]
