"""Check of the bound on retries, from what clients sent and workers received."""

from collections.abc import Iterable

from rattanfork_core.budgets.tests.retry_arrivals import Arrivals

from rattanfork_soak.record import Record
from rattanfork_soak.violation import Violation
from rattanfork_soak.worker import SoakWorker

#: Bound on the arrivals beyond the first of each request, over all workers: this part
#: of the requests in a window, and a fixed number.  A higher one would exceed the
#: demand of the soak's few clients for retries.
RETRY_RATIO = 0.02
RETRY_WINDOW_S = 10.0
EXTRA_RETRIES = 8.0


def check_retries(
    workers: Iterable[SoakWorker], records: Iterable[Record]
) -> Violation | None:
    """Return the worst violation of the bound on retries, or None."""
    arrivals = Arrivals(RETRY_RATIO, EXTRA_RETRIES, RETRY_WINDOW_S)
    arrivals.requests = sorted(record.sent for record in records)
    received = sorted((at, name) for worker in workers for name, at in worker.received)
    seen: set[str] = set()
    for at, request_id in received:
        if request_id in seen:
            arrivals.repeats.append(at)
        seen.add(request_id)
    excess, at = max(
        ((arrivals.excess(at), at) for at in arrivals.repeats), default=(0, 0)
    )
    if excess <= 0:
        return None
    text = f"{excess:.0f} retries more than allowed in the {RETRY_WINDOW_S:g} s before"
    return Violation("retries", at, text)
