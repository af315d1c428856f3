"""Estimate of the log lines of sampled requests that nodes left out."""

from collections import Counter
from dataclasses import dataclass, field
from math import sqrt

from rattanfork_core.trace.log_sampler import SAMPLE_RATE

#: Standard deviations of the number of sampled lines added to the estimate, so that
#: it is exceeded in one of about 40 logs.
_DEVIATIONS = 2.0


@dataclass(slots=True)
class _InstanceLines:
    """Lines of one instance that were written and left out."""

    plain: int = 0
    plain_sampled: int = 0
    runs_by_service: Counter[str] = field(default_factory=Counter)
    run_ms: float = 0.0
    left_out: Counter[str] = field(default_factory=Counter)
    last_unread: int = 0


@dataclass(frozen=True, slots=True)
class MissingLines:
    """Lines that nodes left out, and the bound of those that the estimate lacks.

    Parameters
    ==========

    left_out : dict
        Lines left out by kind, up to the last ``counted`` line of each node.
    sampled : float
        Bound of the lines of sampled requests among them.
    unplaced : float
        Those of ``sampled`` at instances without a line of a successful run, whose
        service and run time are unknown.
    slot_seconds : dict
        Bound of the slot time of all runs without a line, in seconds by service.
    """

    left_out: dict[str, int]
    sampled: float
    unplaced: float
    slot_seconds: dict[str, float]


class MissingLineCounter:
    """Bounds the lines of sampled requests that nodes left out.

    Explanation
    ===========

    The sampler leaves out lines of successful requests (``plain``) in two ways:
    those outside the sample, which are not missed, and all of them while its budget
    is nearly used up.  ``lines_left_out`` gives their sum.  Of all plain lines of a
    node, written or not, the sample rate is expected in the sample; what was written
    of the sample is subtracted.  Lines of other requests (``trouble``) are left out
    whether or not they are in the sample; of lines that the log reader did not take
    (``unread``), all may be.

    Examples
    ========

    >>> counter = MissingLineCounter()
    >>> counter.add_plain("n1", sampled=True)
    >>> counter.add_run_time("n1", "claims", 50.0)
    >>> counter.add_left_out("n1", {"plain": 3, "trouble": 16})
    >>> missing = counter.bound(lines_per_root=1.0)
    >>> missing.left_out, missing.sampled
    ({'plain': 3, 'trouble': 16}, 3.25)
    """

    def __init__(self) -> None:
        self._instances: dict[str, _InstanceLines] = {}

    def add_plain(self, instance: str, sampled: bool) -> None:
        """Count a line that was subject to sampling.

        Parameters
        ==========

        instance : str
            The node's instance.
        sampled : bool
            Whether its root is in the sample.
        """
        lines = self._lines(instance)
        lines.plain += 1
        lines.plain_sampled += sampled

    def add_run_time(self, instance: str, service: str, run_ms: float) -> None:
        """Add the run time of a successful run in milliseconds."""
        lines = self._lines(instance)
        lines.runs_by_service[service] += 1
        lines.run_ms += run_ms

    def add_left_out(self, instance: str, left_out: dict[str, int]) -> None:
        """Add the field ``lines_left_out`` of a line.

        ``unread`` counts from the start of the process; the others count from the
        previous such line.
        """
        lines = self._lines(instance)
        for kind, count in left_out.items():
            if kind == "unread":
                previous, lines.last_unread = lines.last_unread, count
                count -= previous if count >= previous else 0
            lines.left_out[kind] += count

    def bound(self, lines_per_root: float) -> MissingLines:
        """Return the bound of the missing lines.

        Parameters
        ==========

        lines_per_root : float
            Mean number of lines of a sampled root.  Lines of one root are all in the
            sample or all outside it, so the number of sampled lines varies more.
        """
        left_out: Counter[str] = Counter()
        slot_seconds: Counter[str] = Counter()
        sampled = unplaced = 0.0
        for lines in self._instances.values():
            left_out.update(lines.left_out)
            missing = _sampled_missing(lines, lines_per_root)
            sampled += missing
            runs = lines.runs_by_service.total()
            if not runs:
                unplaced += missing
                continue
            mean_seconds = lines.run_ms / runs / 1000
            missing_runs = missing * min(1.0, runs / max(1, lines.plain))
            for service, count in lines.runs_by_service.items():
                seconds = missing_runs * count / runs * mean_seconds / SAMPLE_RATE
                slot_seconds[service] += seconds
        return MissingLines(
            dict(left_out), sampled, unplaced, dict(sorted(slot_seconds.items()))
        )

    def _lines(self, instance: str) -> _InstanceLines:
        lines = self._instances.get(instance)
        if lines is None:
            lines = self._instances[instance] = _InstanceLines()
        return lines


def _sampled_missing(lines: _InstanceLines, lines_per_root: float) -> float:
    """Return the bound of the sampled lines that an instance left out."""
    plain, trouble = lines.left_out["plain"], lines.left_out["trouble"]
    missing = 0.0
    if plain:
        expected = SAMPLE_RATE * (lines.plain + plain)
        high = expected + _deviation(expected, lines_per_root)
        missing += min(float(plain), max(0.0, high - lines.plain_sampled))
    expected = SAMPLE_RATE * trouble
    missing += min(float(trouble), expected + _deviation(expected, lines_per_root))
    return missing + lines.left_out["unread"]


def _deviation(expected: float, lines_per_root: float) -> float:
    return _DEVIATIONS * sqrt(expected * max(1.0, lines_per_root))
