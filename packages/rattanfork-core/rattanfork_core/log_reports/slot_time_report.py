"""Results of the report on slot time."""

from dataclasses import dataclass

from rattanfork_core.log_reports.missing_lines import MissingLines
from rattanfork_core.log_reports.sampled_roots import RequestResult
from rattanfork_core.trace.log_sampler import SAMPLE_RATE


def useful_share(seconds: dict[str, float]) -> float | None:
    """Return the share of slot time of requests answered in time; None without any.

    Examples
    ========

    >>> useful_share({"in-time": 3.0, "late": 1.0})
    0.75
    >>> useful_share({}) is None
    True
    """
    total = sum(seconds.values())
    return seconds.get(RequestResult.IN_TIME.value, 0.0) / total if total else None


@dataclass(frozen=True, slots=True)
class SlotTime:
    """Slot time of a service in an interval, estimated for all requests.

    Parameters
    ==========

    begins : float
        Start of the interval, in seconds since 1970; a run counts where it ended.
    service : str
        The service.
    seconds : dict
        Slot time in seconds by result of the caller's request.
    """

    begins: float
    service: str
    seconds: dict[str, float]

    @property
    def useful_share(self) -> float | None:
        """Share of the slot time of requests answered completely and in time."""
        return useful_share(self.seconds)


@dataclass(frozen=True, slots=True)
class ServiceSlotTime:
    """Slot time and queued time of a service over all intervals.

    Parameters
    ==========

    service : str
        The service.
    seconds : dict
        Slot time in seconds by result of the caller's request.
    missing_seconds : float
        Bound of the slot time of runs whose lines were left out.
    queued_median_ms, queued_p95_ms : float or None
        Median and 95th percentile of the queued time of runs, refused ones included.
    """

    service: str
    seconds: dict[str, float]
    missing_seconds: float
    queued_median_ms: float | None
    queued_p95_ms: float | None

    @property
    def useful_share(self) -> float | None:
        """Share of the slot time of requests answered completely and in time."""
        return useful_share(self.seconds)

    @property
    def useful_bounds(self) -> tuple[float, float] | None:
        """Least and greatest useful share that missing lines allow.

        At the least no missing run was useful; at the greatest all of them were, and
        all runs of requests without a request line.
        """
        total = sum(self.seconds.values()) + self.missing_seconds
        if not total:
            return None
        useful = self.seconds[RequestResult.IN_TIME.value]
        unknown = self.seconds[RequestResult.UNKNOWN.value]
        return useful / total, (useful + unknown + self.missing_seconds) / total


@dataclass(frozen=True, slots=True)
class RouteCount:
    """Number of request lines of callers with the same route, result and reason.

    Parameters
    ==========

    route : str
        The route; ``-`` if none matched.
    result : RequestResult
        Result of the request.
    reason : str
        Reason as logged.
    lines : int
        Request lines.  Under load those in time are sampled, the others are not.
    sampled : int
        Those of requests in the sample of the log.
    """

    route: str
    result: RequestResult
    reason: str
    lines: int
    sampled: int


@dataclass(frozen=True, slots=True)
class BadRunCount:
    """Number of runs with the same outcome other than a successful response.

    Parameters
    ==========

    service : str
        The service.
    outcome, reason : str
        Outcome and reason as logged.
    status : int
        Status of the upstream's response; 0 without one.
    lines : int
        Run lines.
    """

    service: str
    outcome: str
    reason: str
    status: int
    lines: int


@dataclass(frozen=True, slots=True)
class SlotTimeReport:
    """Slot time by service, requests by route, and the size of the sample.

    Parameters
    ==========

    slots : list of SlotTime
        By interval and service.
    services : list of ServiceSlotTime
        By service, over all intervals.
    routes : list of RouteCount
        By route, result and reason.
    bad_runs : list of BadRunCount
        By service, outcome, reason and status.
    missing : MissingLines
        Lines that nodes left out.
    sampled_requests, sampled_runs : int
        Requests and run lines that the slot time is estimated from.
    sampled_fraction : float
        Fraction of all requests that the slot time is estimated from: the sample
        rate of the log, or less if there are too many requests to hold.
    lines, malformed : int
        Lines of the kinds used, and those of them with malformed fields.
    """

    slots: list[SlotTime]
    services: list[ServiceSlotTime]
    routes: list[RouteCount]
    bad_runs: list[BadRunCount]
    missing: MissingLines
    sampled_requests: int
    sampled_runs: int
    sampled_fraction: float
    lines: int
    malformed: int

    @property
    def lost_lines(self) -> tuple[int, int, float]:
        """Lines of lost requests, those in the sample, and the number expected there.

        Lines of lost requests are not sampled, so that far fewer in the sample than
        expected show that the sampled requests fared better than the others.
        """
        lost = [r for r in self.routes if r.result is not RequestResult.IN_TIME]
        lines = sum(count.lines for count in lost)
        return lines, sum(r.sampled for r in lost), lines * SAMPLE_RATE
