"""Budgets of a routing node for memory and descriptors."""

from rattanfork_core.clock import Clock
from rattanfork_core.connections import (
    DescriptorLimit,
    RequestBudget,
    ResponseBudget,
)
from rattanfork_core.memory import MemoryPlan, MemoryRoom
from rattanfork_core.uploads import BodyBudget

from rattanfork_node.relay import BodyBound


class NodeBudgets:
    """Bounds, each over all that the node holds of one sort.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    memory_bytes : int or None
        Memory limit of the node, in bytes; None if it is not known.
    max_descriptors : int or None
        Limit on open descriptors; None if it is not known.
    """

    def __init__(
        self, clock: Clock, memory_bytes: int | None, max_descriptors: int | None
    ) -> None:
        plan = MemoryPlan.of(memory_bytes)
        common = MemoryRoom(plan.common)
        body_room = MemoryRoom(plan.bodies, common)
        #: Connections of clients and small requests.
        self.requests = RequestBudget(plan.requests)
        #: Large request bodies of this node's clients.
        self.bodies = BodyBudget(plan.medium_bodies, plan.large_bodies, body_room)
        #: Request bodies from peers, at the gate.
        self.gate_bodies = BodyBound(plan.medium_bodies, body_room)
        self.responses = ResponseBudget(plan.responses, clock=clock, room=common)
        self._descriptors = DescriptorLimit(max_descriptors)

    def max_clients(self, others: int) -> float:
        """Return the number of connections that clients may have.

        Parameters
        ==========

        others : int
            Connections to other nodes, the upstream and other callers.
        """
        by_descriptors = self._descriptors.max_clients(others)
        return min(by_descriptors, self.requests.max_connections)
