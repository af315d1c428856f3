"""Sampling and rate limit of a node's request log."""

from collections import Counter

from rattanfork_core.clock import Clock
from rattanfork_core.request import request_tiebreak

#: Lines per second.  At about 350 bytes and 10 us per line to collect, encode and
#: write, this costs a node at most 35 kB per second and 0.1% of a core.
_LINES_PER_SECOND = 100.0
#: Maximum lines in a burst.
_BURST_LINES = 300.0
#: Fraction of the burst tokens below which successful requests are sampled, and
#: fraction below which they are omitted, to reserve the rest for failures.
_SAMPLE_BELOW = 0.5
_OMIT_BELOW = 0.25
#: Fraction of the successful requests in the sample.
SAMPLE_RATE = 1 / 16


#: Appended to the ID of a root request before it is hashed for the sample.
_SAMPLE_SALT = "/log"


def is_sampled(request_id: str) -> bool:
    """Return whether a request is in the sample of successful requests.

    All nodes sample the same roots: only the ID of the root request counts, which is
    the part before the first dot.  Whether a request is in the sample is independent of
    its position in the shedding order.

    Parameters
    ==========

    request_id : str
        ID of the request, or of a downstream call made for it.

    Examples
    ========

    >>> is_sampled("r3") == is_sampled("r3.0a1b2c3d")
    True
    >>> sum(is_sampled(f"r{number}") for number in range(16_000))
    989
    """
    root = request_id.partition(".")[0]
    # Shedding orders requests by the hash of the ID alone.  A sample by the same hash
    # would hold only requests that are shed last.
    return request_tiebreak(root + _SAMPLE_SALT) < SAMPLE_RATE


class LogSampler:
    """Decides which request log lines are written.

    Explanation
    ===========

    A token bucket limits the lines.  At low load every line is written.  At higher
    load successful requests are sampled by the ID of the root request, so all nodes
    log the same ones and their traces are complete.  At still higher load only
    failed, refused and late requests are logged, until the tokens are used up.
    Omitted lines are counted, so that a missing line is not mistaken for an event
    that did not happen.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    rate : float
        Lines per second.
    burst : float
        Maximum lines in a burst.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> sampler = LogSampler(ManualClock(), rate=1, burst=4)
    >>> [sampler.should_write(b"r1", plain=False) for _ in range(5)]
    [True, True, True, True, False]
    >>> sampler.take_omitted()
    {'trouble': 1}
    """

    def __init__(
        self, clock: Clock, rate: float = _LINES_PER_SECOND, burst: float = _BURST_LINES
    ) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._sample_below = _SAMPLE_BELOW * burst
        self._omit_below = _OMIT_BELOW * burst
        self._tokens = burst
        self._refilled_at = clock.now()
        self._omitted: Counter[str] = Counter()

    def should_write(self, request_id: bytes, plain: bool) -> bool:
        """Return whether to write a line; count it as omitted if not.

        Parameters
        ==========

        request_id : bytes
            ID of the request, or of a downstream call made for it.
        plain : bool
            Whether the request succeeded in time.
        """
        now = self._clock.now()
        tokens = self._tokens + (now - self._refilled_at) * self._rate
        if tokens > self._burst:
            tokens = self._burst
        self._refilled_at, self._tokens = now, tokens
        if tokens >= 1 and (
            not plain
            or tokens > self._sample_below
            or (tokens > self._omit_below and is_sampled(request_id.decode("latin-1")))
        ):
            self._tokens -= 1
            return True
        self._omitted["plain" if plain else "trouble"] += 1
        return False

    def take_omitted(self) -> dict[str, int]:
        """Return and reset the number of omitted lines, by kind.

        The kind is ``plain`` for requests that succeeded in time, else ``trouble``.
        """
        omitted, self._omitted = dict(self._omitted), Counter()
        return omitted
