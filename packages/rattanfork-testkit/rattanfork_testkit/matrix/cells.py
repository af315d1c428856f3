"""The cells: kinds of request by steps by faults, one, twice and in pairs."""

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

from rattanfork_testkit.matrix.attempt import send
from rattanfork_testkit.matrix.checks import check_world
from rattanfork_testkit.matrix.faults import Fault, Step, applies
from rattanfork_testkit.matrix.world import LONG, Parts, Request, World

KINDS = ("posting with a key", "posting without", "read")
#: Second faults that strike on top of the first, at another step.
_SECOND = (
    (Step.REPLY, Fault.LOST),
    (Step.CALL, Fault.LATE),
    (Step.RUN, Fault.GUARD_KILLED),
    (Step.QUEUE, Fault.GUARD_FROZEN),
    (Step.CALL, Fault.DRAIN),
)
#: As many times as there are guards: a total outage of the step.
_OUTAGE = 6


@dataclass(frozen=True, slots=True)
class Cell:
    """One combination."""

    kind: str
    faults: tuple[tuple[Step, Fault], ...]


def all_cells() -> Iterator[Cell]:
    """Yield every cell: each fault alone, twice, as an outage, and in pairs."""
    single = [(s, f) for s, f in product(Step, Fault) if applies(s, f)]
    for kind, (step, fault) in product(KINDS, single):
        yield Cell(kind, ((step, fault),))
        yield Cell(kind, ((step, fault),) * _OUTAGE)
        yield Cell(kind, ((step, fault), (step, fault)))
        for second in _SECOND:
            if second[0] is not step:
                yield Cell(kind, ((step, fault), second))


def run_cell(cell: Cell, parts: Parts | None = None) -> list[str]:
    """Play a cell; return the promises it broke."""
    plan: dict[str, list[str]] = {}
    for step, fault in cell.faults:
        plan.setdefault(step.name, []).append(fault.name)
    world = World(plan, parts or Parts())
    request = _request(world, cell.kind, "r1", "clerk")
    other = _request(world, cell.kind, "r2", "treasurer")
    send(world, request)
    world.at(0.002, lambda: send(world, other))
    # The caller tries again, at once and much later; with a key it is the
    # same request, without one the caller only repeats what is a read or was
    # proved not to have run.
    if request.keyed:
        world.at(0.7, lambda: send(world, request))
        world.at(3.0, lambda: send(world, request))
        world.at(LONG + 5, lambda: send(world, request))
    world.run()
    return check_world(world)


def _request(world: World, kind: str, request_id: str, caller: str) -> Request:
    keyed = kind == KINDS[0]
    request = Request(request_id, caller, keyed, idempotent=kind == KINDS[2])
    if keyed:
        request.key, request.ticket = world.new_ticket("g1")
    return request
