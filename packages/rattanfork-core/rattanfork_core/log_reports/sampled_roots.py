"""Requests of the log sample with the slot time of their runs, in bounded memory."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from rattanfork_core.request import request_tiebreak
from rattanfork_core.trace.log_sampler import SAMPLE_RATE

#: Maximum roots plus entries of slot time held; each takes about 250 bytes.
_MAX_ENTRIES = 400_000
#: Makes the hash for thinning independent of the hash for sampling.
_THINNING_SUFFIX = "/thinning"


class RequestResult(StrEnum):
    """Result of a caller's request, best first."""

    #: Answered completely, with a 2xx status and within the latency objective.
    IN_TIME = "in-time"
    #: Answered completely with a 2xx status, after the latency objective.
    LATE = "late"
    #: Ended with any other status, or without a complete response.
    FAILED = "failed"
    #: Refused: the outcome is ``not-run``.
    REFUSED = "refused"
    #: No request line was found.
    UNKNOWN = "unknown"


_ORDER = {result: order for order, result in enumerate(RequestResult)}


@dataclass(slots=True)
class RootRecord:
    """What the lines say about one caller's request and the runs made for it.

    Parameters
    ==========

    result : RequestResult
        Result of the caller's request.
    account : str
        Client account; "" without one.
    runs : int
        Run lines, including runs that were refused.
    slot_ms : dict
        Slot time in milliseconds by service and start of the interval.
    """

    result: RequestResult = RequestResult.UNKNOWN
    account: str = ""
    runs: int = 0
    slot_ms: dict[tuple[str, float], float] = field(default_factory=dict)


class SampledRoots:
    """Holds the requests of the log sample until all lines are read.

    Explanation
    ===========

    The request line and the run lines of a request are in the logs of different
    nodes, so no request is complete before the last line.  If the entries exceed
    the maximum, half of the requests are dropped by another hash of the root ID,
    and so are their further lines: the rest is still a sample of whole requests.

    Parameters
    ==========

    max_entries : int
        Maximum roots plus entries of slot time.

    Examples
    ========

    >>> roots = SampledRoots()
    >>> roots.holds("r26.1")
    True
    >>> roots.add_run("r26.1", "claims", 7.0, 20.0)
    >>> roots.add_request("r26", RequestResult.LATE, "")
    >>> [record.slot_ms for record in roots]
    [{('claims', 7.0): 20.0}]
    """

    def __init__(self, max_entries: int = _MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._records: dict[str, RootRecord] = {}
        self._entries = 0
        self._kept = 1.0

    @property
    def fraction(self) -> float:
        """Fraction of all requests that the held ones are a sample of."""
        return SAMPLE_RATE * self._kept

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[RootRecord]:
        return iter(self._records.values())

    def holds(self, request_id: str) -> bool:
        """Return whether lines of a request in the log sample are held.

        Parameters
        ==========

        request_id : str
            ID of the request, or of a downstream call made for it.
        """
        return self._is_kept(request_id.partition(".")[0])

    def add_request(self, request_id: str, result: RequestResult, account: str) -> None:
        """Record the result of a caller's request that is held.

        If several requests have the same root ID, the best result counts.
        """
        record = self._record(request_id)
        record.account = record.account or account
        if _ORDER[result] < _ORDER[record.result]:
            record.result = result
        self._thin()

    def add_run(
        self, request_id: str, service: str, begins: float, slot_ms: float | None
    ) -> None:
        """Add a run of a request that is held.

        Parameters
        ==========

        request_id : str
            ID of the run's request, or of the downstream call.
        service : str
            The service that ran it.
        begins : float
            Start of the interval in which the run ended, in seconds.
        slot_ms : float or None
            Time for which the run held a slot, in milliseconds; None if it was never
            handed to the upstream, so that it held none.
        """
        record = self._record(request_id)
        record.runs += 1
        if slot_ms is None:
            return
        slots = record.slot_ms
        key = (service, begins)
        if key not in slots:
            self._entries += 1
        slots[key] = slots.get(key, 0.0) + slot_ms
        self._thin()

    def _record(self, request_id: str) -> RootRecord:
        root = request_id.partition(".")[0]
        record = self._records.get(root)
        if record is None:
            record = self._records[root] = RootRecord()
            self._entries += 1
        return record

    def _is_kept(self, root: str) -> bool:
        return self._kept == 1 or request_tiebreak(root + _THINNING_SUFFIX) < self._kept

    def _thin(self) -> None:
        while self._entries > self._max_entries and len(self._records) > 1:
            self._kept /= 2
            self._records = {r: c for r, c in self._records.items() if self._is_kept(r)}
            self._entries = sum(1 + len(c.slot_ms) for c in self._records.values())
