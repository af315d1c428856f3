"""Exhaustive test of all pairs of faults of a request's attempts."""

import asyncio
from dataclasses import dataclass
from itertools import product

import pytest
from rattanfork_core.request import FenceVerdict, Outcome, Reason

from rattanfork_node.relay.tests.fakes import (
    FakeLink,
    RelayHarness,
    on_loop,
    settled_retry_budget,
)


@dataclass(frozen=True)
class Fault:
    """End of one attempt: its result, or the loss of its link.

    ``may_run`` is whether an upstream may have run it.  Without an outcome the link
    is lost; without a verdict the gate does not answer the fence.
    """

    name: str
    may_run: bool
    outcome: Outcome | None = None
    reason: Reason = Reason.NONE
    status: int = 0
    retry_elsewhere: bool = True
    verdict: FenceVerdict | None = None

    def apply(self, harness: RelayHarness, link: FakeLink, index: int) -> None:
        """End an attempt with this fault."""
        if self.outcome is None:
            harness.pool.verdicts.append(self.verdict)
            link.lose(index)
            return
        link.reply(
            index,
            self.outcome,
            self.reason,
            self.status,
            retry_elsewhere=self.retry_elsewhere,
        )


NOT_RUN, UNKNOWN, ANSWERED = Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.ANSWERED
FAULTS = [
    Fault("shed by the gate", False, NOT_RUN, Reason.SHED),
    Fault("too late at the gate", False, NOT_RUN, Reason.TOO_LATE),
    Fault("upstream is leaving", False, NOT_RUN, Reason.LEAVING),
    Fault("gate restarted", False, NOT_RUN, Reason.STALE_INSTANCE),
    Fault("no connection to upstream", False, NOT_RUN, Reason.UPSTREAM_DOWN),
    Fault("refused by upstream", False, NOT_RUN, Reason.UPSTREAM_SHED),
    Fault("upstream connection lost", True, UNKNOWN, Reason.CONNECTION),
    Fault("upstream fails", True, ANSWERED, Reason.UPSTREAM_FAILED, 500),
    Fault("call of the upstream fails", True, ANSWERED, Reason.NONE, 500, False),
    Fault("link lost, fenced", False, verdict=FenceVerdict.NOT_RUN),
    Fault("link lost, handed over", True, verdict=FenceVerdict.HANDED_OVER),
    Fault("link lost, fence unknown", True, verdict=FenceVerdict.UNKNOWN),
    Fault("link lost, fence unanswered", True),
    Fault("answered", True, ANSWERED, Reason.NONE, 200),
]


#: Reasons of attempts that reached an upstream but did not run there.
AT_UPSTREAM = (Reason.UPSTREAM_SHED, Reason.STALE_INSTANCE)


class Gates:
    """The gates of the service: count arrivals and charge their retry budget."""

    def __init__(self, harness: RelayHarness) -> None:
        self.grants = settled_retry_budget(harness.clock)
        self.granted = 0

    def take(self, link: FakeLink, index: int) -> bool:
        """Return whether an attempt is admitted; deny it if not."""
        run = link.runs[index][0]
        if not run.may_have_arrived:
            self.grants.count_request()
            return True
        if self.grants.grant(run.rank):
            self.granted += 1
            return True
        link.reply(index, NOT_RUN, Reason.NO_REPEAT, retry_elsewhere=True)
        return False

    @property
    def allowed(self) -> float:
        return self.grants.allowed


def _next_attempt(harness: RelayHarness, seen: set) -> tuple[FakeLink, int] | None:
    for link, index in harness.runs:
        if (link.peer, index) not in seen:
            seen.add((link.peer, index))
            return link, index
    return None


async def _run_scenario(faults: tuple[Fault, ...], idempotent: bool) -> None:
    harness = RelayHarness(peers=3, idempotent=idempotent, most_upstreams=2)
    gates = Gates(harness)
    exchange = harness.send_request()
    seen: set = set()
    applied: list[Fault] = []
    for step in range(30):
        for _ in range(4):
            await asyncio.sleep(0)
        attempt = _next_attempt(harness, seen)
        if attempt is None:
            break
        if any(fault.may_run or fault.reason in AT_UPSTREAM for fault in applied):
            link, index = attempt
            assert link.runs[index][0].may_have_arrived, (
                "retry that is not marked as one"
            )
        if not gates.take(*attempt):
            continue
        fault = faults[min(step, len(faults) - 1)]
        applied.append(fault)
        fault.apply(harness, *attempt)
    assert exchange.answered, "no final answer"
    status = exchange.output[0]
    may_have_run = sum(fault.may_run for fault in applied)
    if not idempotent:
        assert may_have_run <= 1, "non-idempotent request may have run twice"
    assert may_have_run <= 2, "ran at more upstreams than the route allows"
    if status == 503:
        assert may_have_run == 0, "'not run' for a request that may have run"
    if status == 200:
        assert applied[-1].name == "answered"
    arrivals = sum(fault.may_run or fault.reason in AT_UPSTREAM for fault in applied)
    assert arrivals - 1 <= gates.granted <= gates.allowed, "retry without budget"
    assert len(applied) <= 2 + gates.granted, (
        "more attempts than the retry budget allows"
    )
    assert harness.gate.outstanding == 0


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    "faults",
    list(product(FAULTS, repeat=2)),
    ids=lambda p: ", ".join(f.name for f in p),
)
def test_every_pair_of_faults_keeps_the_guarantees(faults, idempotent):
    """The attempts of one request end in two faults, one after the other.

    There is one final response; a request that is not idempotent runs at most once;
    "not run" is reported only if it can't have run.
    """
    on_loop(_run_scenario)(faults, idempotent)
