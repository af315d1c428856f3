"""A request that was let in, with what was decided for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from rattanfork_core.request import Reason

if TYPE_CHECKING:
    from rattanfork_core.routes import Route
    from rattanfork_core.routing import InstancePicker

    from rattanfork_node.relay.job import Job


@dataclass(slots=True, eq=False)
class Admitted:
    """A request that was let in, with what was decided for it.

    Parameters
    ==========

    route : Route
        Its route, as rules have changed it.
    service : str
        The service that it goes to.
    operation : str
        Route and service, the unit in which thresholds are kept.
    rank : float
        Its place in the order of shedding.
    began : float
        Time of its arrival, in seconds of the clock.
    deadline : float
        Time by which the answer must be out, in seconds of the clock.
    parent : Job or None
        The run that made the request, if an upstream did.
    picker : InstancePicker
        Chooses among the instances of the service.
    blocked : frozenset of str
        Instances that would shed the request.
    ruled_out : frozenset of str
        Instances that a rule forbids.
    rule : str
        Name of the rule that decided; "" if none did.
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


class Attempted(NamedTuple):
    """An attempt that has ended, for the log.

    Parameters
    ==========

    member : str
        Name of the member that it was sent to.
    reason : Reason
        Why it ended so.
    status : int
        Status of the answer; 0 without one.
    seconds : float
        How long it took.
    """

    member: str
    reason: Reason
    status: int
    seconds: float
