"""Cells of the matrix: kinds of request, each with one or more faults at steps."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

from rattanfork_testkit.matrix.attempt import send
from rattanfork_testkit.matrix.checks import find_violations
from rattanfork_testkit.matrix.faults import Fault, Step, applies
from rattanfork_testkit.matrix.simulation import (
    LONG_DELAY_S,
    Components,
    Request,
    Simulation,
)

REQUEST_KINDS = ("POST with key", "POST without key", "read")
#: Faults that are injected in addition to another one, at a different step.
_SECOND_FAULTS = (
    (Step.REPLY, Fault.LOST),
    (Step.CALL, Fault.DELAYED),
    (Step.RUN, Fault.SERVING_NODE_KILLED),
    (Step.QUEUE, Fault.SERVING_NODE_PAUSED),
    (Step.CALL, Fault.DRAIN),
)
#: Once for each serving node, so that the step fails at all of them.
_OUTAGE_REPEATS = 6


@dataclass(frozen=True, slots=True)
class Cell:
    """A kind of request and the faults that are injected, in order."""

    kind: str
    faults: tuple[tuple[Step, Fault], ...]


def all_cells() -> Iterator[Cell]:
    """Yield all cells: each fault once, twice, at every serving node, and in pairs."""
    single_faults = [(s, f) for s, f in product(Step, Fault) if applies(s, f)]
    for kind, (step, fault) in product(REQUEST_KINDS, single_faults):
        yield Cell(kind, ((step, fault),))
        yield Cell(kind, ((step, fault),) * _OUTAGE_REPEATS)
        yield Cell(kind, ((step, fault), (step, fault)))
        for second in _SECOND_FAULTS:
            if second[0] is not step:
                yield Cell(kind, ((step, fault), second))


def run_cell(cell: Cell, components: Components | None = None) -> list[str]:
    """Simulate a cell; return the violated guarantees."""
    plan: dict[str, list[str]] = {}
    for step, fault in cell.faults:
        plan.setdefault(step.name, []).append(fault.name)
    simulation = Simulation(plan, components or Components())
    request = _request(simulation, cell.kind, "r1", "clerk")
    other = _request(simulation, cell.kind, "r2", "treasurer")
    send(simulation, request)
    simulation.schedule(0.002, lambda: send(simulation, other))
    # A client with a key repeats the same request, soon and much later.  Without
    # a key it may only repeat reads and requests that provably did not run.
    if request.keyed:
        simulation.schedule(0.7, lambda: send(simulation, request))
        simulation.schedule(3.0, lambda: send(simulation, request))
        simulation.schedule(LONG_DELAY_S + 5, lambda: send(simulation, request))
    simulation.run()
    return find_violations(simulation)


def _request(
    simulation: Simulation, kind: str, request_id: str, caller: str
) -> Request:
    keyed = kind == REQUEST_KINDS[0]
    request = Request(request_id, caller, keyed, idempotent=kind == REQUEST_KINDS[2])
    if keyed:
        request.key, request.ticket = simulation.new_ticket("g1")
    return request
