"""Decides how long a stopping node waits for other nodes to read their replies."""

from math import inf

#: Seconds without progress after which other nodes are taken not to read any more.  One
#: that lost packets resumes after a retransmission, some 0.2 s later.
_NO_PROGRESS_S = 1.0


class UnsentWatch:
    """Tells whether unsent bytes of replies are still being read.

    Examples
    ========

    >>> watch = UnsentWatch()
    >>> watch.update(0.0, 500), watch.update(0.9, 400), watch.update(1.8, 400)
    (True, True, True)
    >>> watch.update(2.0, 400), watch.update(2.1, 0)
    (False, False)
    """

    def __init__(self) -> None:
        self._unsent = -1
        self._changed_at = -inf

    def restart(self) -> None:
        """Begin anew, as replies are still to come."""
        self._unsent = -1

    def update(self, now: float, unsent: int) -> bool:
        """Return whether to wait for unsent bytes.

        Parameters
        ==========

        now : float
            Present time in seconds.
        unsent : int
            Bytes of all replies that were not sent yet.
        """
        if unsent != self._unsent:
            self._unsent, self._changed_at = unsent, now
        return unsent > 0 and now - self._changed_at <= _NO_PROGRESS_S
