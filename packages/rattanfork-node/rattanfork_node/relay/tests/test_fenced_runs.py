"""Tests of runs whose link is silent while their gate answers a fence."""

import pytest
from rattanfork_core.request import FenceVerdict, Outcome

from rattanfork_node.peer import LateReply, RunReply
from rattanfork_node.relay.tests.fakes import RelayHarness, on_loop
from rattanfork_node.relay.tests.test_relay import settle


async def fence_silent_run(verdict: FenceVerdict):
    """Return a request whose link became silent, and the future of its late reply."""
    harness = RelayHarness(peers=1, idempotent=False)
    harness.pool.verdicts = [verdict]
    exchange = harness.send_request()
    [(link, index)] = harness.runs
    link.is_silent = True
    link.lose(index)
    [late] = link.kept.values()
    await settle()
    return harness, exchange, late


@on_loop
async def test_reply_is_awaited_if_the_gate_has_handed_the_run_over():
    """Guards against 502 in place of a response that is on its way."""
    harness, exchange, late = await fence_silent_run(FenceVerdict.HANDED_OVER)
    assert exchange.output is None
    run, _ = harness.links[0].runs[0]
    fields = (run.number, int(Outcome.ANSWERED), 0, 200, b"", b"late", False)
    late.set_result(LateReply(RunReply(*fields, 5.0, 1, []), None))
    await settle()
    assert exchange.output == (200, b"", b"late")


@on_loop
async def test_run_that_was_handed_over_on_a_lost_link_is_answered_502():
    _, exchange, late = await fence_silent_run(FenceVerdict.HANDED_OVER)
    late.set_result(None)
    await settle()
    assert exchange.output[0] == 502


@on_loop
@pytest.mark.parametrize(
    ("verdict", "status"), [(FenceVerdict.NOT_RUN, 503), (FenceVerdict.UNKNOWN, 502)]
)
async def test_reply_is_not_awaited_if_the_gate_does_not_run_it(verdict, status):
    """Guards against callers that wait for a reply which can't come."""
    _, exchange, _ = await fence_silent_run(verdict)
    assert exchange.output[0] == status
