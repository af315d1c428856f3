"""Choice of the members that an entry node reports its demand to."""

from collections.abc import Sequence

from rattanfork_core.clock import Clock

#: Seconds without totals after which the next candidates are tried: three reports were
#: not answered.
_SILENCE_SECONDS = 1.5
#: Seconds without a call after which earlier silence says nothing.
_IDLE_SECONDS = 1.2
#: Members reported to at a time, so that the failure of one loses nothing.
_TARGETS = 2


class CollectorChoice:
    """Chooses two collectors from candidates that all nodes order alike.

    Explanation
    ===========

    A node reports to the sender of the newest totals and to the first other candidate.
    Without totals, it tries the candidates in order, two at a time: a candidate may be
    dead, frozen, partitioned off, or run a build that knows no reports.

    Parameters
    ==========

    clock : Clock
        Source of the current time.

    Examples
    ========

    >>> from rattanfork_core.clock import ManualClock
    >>> clock = ManualClock()
    >>> choice = CollectorChoice(clock)
    >>> candidates = ["n4", "n2", "n7", "n1"]
    >>> choice.targets(candidates, sender=None)
    ['n4', 'n2']
    >>> for _ in range(4):
    ...     clock.advance(0.5)
    ...     targets = choice.targets(candidates, sender=None)
    >>> targets
    ['n7', 'n1']
    >>> choice.targets(candidates, sender="n7")
    ['n7', 'n4']
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = 0
        self._silent_since = 0.0
        self._called_at = float("-inf")

    def targets(self, candidates: Sequence[str], sender: str | None) -> list[str]:
        """Return the members to report to; called at each report.

        Parameters
        ==========

        candidates : sequence of str
            Members in the order that all nodes compute.
        sender : str or None
            Sender of the newest totals; None without recent ones.
        """
        now = self._clock.now()
        if sender is not None or now - self._called_at > _IDLE_SECONDS:
            self._offset, self._silent_since = 0, now
        elif now - self._silent_since >= _SILENCE_SECONDS and candidates:
            self._offset = (self._offset + _TARGETS) % len(candidates)
            self._silent_since = now
        self._called_at = now
        if sender is not None:
            others = [name for name in candidates[:_TARGETS] if name != sender]
            return [sender, *others[: _TARGETS - 1]]
        doubled = [*candidates, *candidates]
        chosen = doubled[self._offset : self._offset + _TARGETS]
        return list(dict.fromkeys(chosen))
