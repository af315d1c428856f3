"""Every fault of an attempt, alone and followed by every other one."""

import asyncio
from dataclasses import dataclass
from itertools import product

import pytest
from rattanfork_core.account import RepeatGrants
from rattanfork_core.request import FenceVerdict, Outcome, Reason

from rattanfork_node.relay.tests.fakes import FakeLink, RelayHarness, on_loop


@dataclass(frozen=True)
class Fault:
    """What becomes of one attempt.

    ``may_run`` tells whether a worker may have begun to work on it.  Without
    an outcome the link is lost; without a verdict the guard does not answer.
    """

    name: str
    may_run: bool
    outcome: Outcome | None = None
    reason: Reason = Reason.NONE
    status: int = 0
    elsewhere: bool = True
    verdict: FenceVerdict | None = None

    def strike(self, world: RelayHarness, link: FakeLink, place: int) -> None:
        """Let it become of an attempt."""
        if self.outcome is None:
            world.pool.verdicts.append(self.verdict)
            link.lose(place)
            return
        link.reply(
            place,
            self.outcome,
            self.reason,
            self.status,
            retry_elsewhere=self.elsewhere,
        )


NOT_RUN, UNKNOWN, ANSWERED = Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.ANSWERED
FAULTS = [
    Fault("shed by the gate", False, NOT_RUN, Reason.SHED),
    Fault("too late at the gate", False, NOT_RUN, Reason.TOO_LATE),
    Fault("the worker is leaving", False, NOT_RUN, Reason.LEAVING),
    Fault("the gate was restarted", False, NOT_RUN, Reason.STALE_INSTANCE),
    Fault("no connection to the worker", False, NOT_RUN, Reason.UPSTREAM_DOWN),
    Fault("the worker refuses", False, NOT_RUN, Reason.UPSTREAM_SHED),
    Fault("cut off at the worker", True, UNKNOWN, Reason.CONNECTION),
    Fault("the worker fails", True, ANSWERED, Reason.UPSTREAM_FAILED, 500),
    Fault("a call of the worker fails", True, ANSWERED, Reason.NONE, 500, False),
    Fault("link lost, fenced", False, verdict=FenceVerdict.NOT_RUN),
    Fault("link lost, handed over", True, verdict=FenceVerdict.HANDED_OVER),
    Fault("link lost, forgotten", True, verdict=FenceVerdict.UNKNOWN),
    Fault("link lost, guard gone", True),
    Fault("answered", True, ANSWERED, Reason.NONE, 200),
]


#: Reasons that say that an attempt reached a worker, though it did not run there.
AT_WORKER = (Reason.UPSTREAM_SHED, Reason.STALE_INSTANCE)


class Gates:
    """Stands for the gates of the service: they count arrivals and grant repeats."""

    def __init__(self, world: RelayHarness) -> None:
        self.grants = RepeatGrants(world.clock, ratio=0.2, extra=48, window=10)
        self.granted = 0

    def take(self, link: FakeLink, place: int) -> bool:
        """Return whether an attempt may arrive; deny it if not."""
        run = link.runs[place][0]
        if not run.arrived:
            self.grants.count_request()
            return True
        if self.grants.grant(run.rank):
            self.granted += 1
            return True
        link.reply(place, NOT_RUN, Reason.NO_REPEAT, retry_elsewhere=True)
        return False

    @property
    def allowed(self) -> float:
        return self.grants._budget.allowed


def _next_attempt(world: RelayHarness, seen: set) -> tuple[FakeLink, int] | None:
    for link, place in world.runs:
        if (link.peer, place) not in seen:
            seen.add((link.peer, place))
            return link, place
    return None


async def _play(faults: tuple[Fault, ...], idempotent: bool) -> None:
    world = RelayHarness(peers=3, idempotent=idempotent, most_upstreams=2)
    exchange = world.ask()
    seen: set = set()
    struck: list[Fault] = []
    gates = Gates(world)
    for step in range(30):
        for _ in range(4):
            await asyncio.sleep(0)
        attempt = _next_attempt(world, seen)
        if attempt is None:
            break
        if any(fault.may_run or fault.reason in AT_WORKER for fault in struck):
            link, place = attempt
            assert link.runs[place][0].arrived, "a repeat that does not say so"
        if not gates.take(*attempt):
            continue
        fault = faults[min(step, len(faults) - 1)]
        struck.append(fault)
        fault.strike(world, *attempt)
    assert exchange.answered, "no final answer"
    status = exchange.output[0]
    may_have_run = sum(fault.may_run for fault in struck)
    if not idempotent:
        assert may_have_run <= 1, "may have run twice"
    assert may_have_run <= 2, "ran at more workers than the route allows"
    if status == 503:
        assert may_have_run == 0, "'not run' may be false"
    if status == 200:
        assert struck[-1].name == "answered"
    arrivals = sum(fault.may_run or fault.reason in AT_WORKER for fault in struck)
    assert arrivals - 1 <= gates.granted <= gates.allowed, "a repeat not paid for"
    assert len(struck) <= 2 + gates.granted, "sent too often"
    assert world.gate.outstanding == 0


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    "faults",
    list(product(FAULTS, repeat=2)),
    ids=lambda p: ", ".join(f.name for f in p),
)
def test_every_pair_of_faults_keeps_the_promises(faults, idempotent):
    """Two faults strike the attempts of one request one after the other.

    Whatever they are, there is one final answer; what must not be repeated
    may have run once at most; "not run" is said only of what can't have run.
    """
    on_loop(_play)(faults, idempotent)
