"""The epochs of keys that other guards are in."""

from collections import OrderedDict

from rattanfork_core.clock import Clock


class EpochCache:
    """Epochs heard on replies, while they are fresh.

    Explanation
    ===========

    A guard turns its epoch every few minutes.  Were that told to all members,
    17,000 guards would make 57 rumours a second, for ever.  Only nodes that
    issue keys need to know, so they hear it on replies or ask.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> book = EpochCache(clock)
    >>> book.update("w1", 3)
    >>> book.epoch("w1")
    3
    >>> clock.advance(60)
    >>> book.epoch("w1") is None
    True
    """

    #: Seconds; less than an epoch can last even at very high rates.
    FRESH = 10.0
    MOST = 4096

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def update(self, name: str, epoch: int) -> None:
        """Take in what a reply said."""
        self._heard[name] = (epoch, self._clock.now())
        if len(self._heard) > self.MOST:
            self._heard.popitem(last=False)

    def epoch(self, name: str) -> int | None:
        """Return a guard's epoch, or None if it was not heard lately."""
        heard = self._heard.get(name)
        if heard is None or self._clock.now() - heard[1] > self.FRESH:
            return None
        return heard[0]
