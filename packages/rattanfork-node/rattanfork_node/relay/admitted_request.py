"""Route path: decisions on a request, and records of its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from rattanfork_core.request import Reason

if TYPE_CHECKING:
    from rattanfork_core.routes import Route
    from rattanfork_core.routing import InstancePicker

    from rattanfork_node.relay.job import Job


@dataclass(slots=True, eq=False)
class AdmittedRequest:
    """Routing and admission decisions on a request that is being forwarded.

    Parameters
    ==========

    route : Route
        Its route, after rules were applied.
    service : str
        The service that it is forwarded to.
    operation : str
        Route and service, the key under which admission thresholds are kept.
    rank : float
        Shedding order: higher ranks are shed first.
    began : float
        Time of its arrival, in seconds of the clock.
    deadline : float
        Time by which the response must be sent, in seconds of the clock.
    parent : Job or None
        The run at this node's upstream that made the request; None for a caller's
        own request.
    picker : InstancePicker
        Load balancer over the instances of the service.
    blocked : frozenset of str
        Instances that are expected to shed the request.
    ruled_out : frozenset of str
        Instances that a rule excludes.
    rule : str
        Name of the rule that was applied; "" if there are no rules.
    """

    route: Route
    service: str
    operation: str
    rank: float
    began: float
    deadline: float
    parent: Job | None
    picker: InstancePicker
    blocked: frozenset[str]
    ruled_out: frozenset[str]
    rule: str = ""


class AttemptRecord(NamedTuple):
    """An attempt that has ended, for the request log.

    Parameters
    ==========

    member : str
        Name of the member that it was sent to.
    reason : Reason
        Reason of its outcome.
    status : int
        HTTP status of the response; 0 without one.
    seconds : float
        Duration.
    """

    member: str
    reason: Reason
    status: int
    seconds: float
