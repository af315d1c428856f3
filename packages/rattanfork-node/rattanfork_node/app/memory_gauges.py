"""Gauges of the memory that a routing node takes."""

import resource
from collections.abc import Callable

_BYTES_PER_KIB = 1024


def memory_gauges(
    callers: Callable[[], int],
    peers: Callable[[], int],
    upstream: Callable[[], int],
    requests: Callable[[], int],
    responses: Callable[[], int],
) -> dict[str, int]:
    """Return the peak of the resident size, and the bytes that are not sent yet.

    Parameters
    ==========

    callers, peers, upstream : callable
        Return the bytes that wait to be sent to clients, other nodes and the upstream.
    requests, responses : callable
        Return the bytes of small requests and of responses that their budgets count.

    Examples
    ========

    >>> gauges = memory_gauges(*(lambda n=n: n for n in (1, 2, 3, 4, 5)))
    >>> gauges["unsent_bytes_peers"], gauges["peak_memory_bytes"] > 0
    (2, True)
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "peak_memory_bytes": usage.ru_maxrss * _BYTES_PER_KIB,
        "unsent_bytes_callers": callers(),
        "unsent_bytes_peers": peers(),
        "unsent_bytes_upstream": upstream(),
        "request_bytes_held": requests(),
        "response_bytes_held": responses(),
    }
