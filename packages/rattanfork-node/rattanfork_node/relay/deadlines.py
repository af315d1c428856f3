"""Route path: the time by which a request has to be answered."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanfork_core.routes import Route

    from rattanfork_node.http1 import Exchange
    from rattanfork_node.relay.job import Job

#: Time before the caller's deadline at which a request is given up, so that the
#: response still reaches the caller in time.
_RESPONSE_MARGIN_S = 0.015


def deadline_of(
    exchange: Exchange, route: Route, parent: Job | None, began: float
) -> float:
    """Return the time by which a response must be sent, in seconds of the clock.

    Parameters
    ==========

    exchange : Exchange
        The request, with the time for which its client waits.
    route : Route
        Its route, after rules were applied.
    parent : Job or None
        The run at this node's upstream that made the request.
    began : float
        Time of its arrival, in seconds of the clock.
    """
    seconds = route.timeout
    if exchange.client_timeout is not None:
        seconds = min(seconds, exchange.client_timeout)
    deadline = began + seconds - _RESPONSE_MARGIN_S
    return deadline if parent is None else min(deadline, parent.deadline)
