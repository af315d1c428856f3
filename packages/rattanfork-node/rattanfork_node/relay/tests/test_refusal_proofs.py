"""Tests that 503 at the end of an attempt means that it has not run and never will."""

import asyncio
from dataclasses import replace

import pytest
from rattanfork_core.request import Outcome, Reason
from rattanfork_core.routes import WeightedService

from rattanfork_node.http1 import UpstreamResponse
from rattanfork_node.peer import Cancel
from rattanfork_node.relay.tests.fakes import (
    FakeConnection,
    FakeUpstreamPool,
    RelayHarness,
    on_loop,
)
from rattanfork_node.relay.tests.gate_peer import GatePeerHarness
from rattanfork_node.relay.upstream import Upstream

#: Longer than the timeout of the routes in these tests, in seconds.
AFTER_DEADLINE_S = 0.4


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


def assert_not_run(harness: RelayHarness, exchange, proof: str) -> None:
    """Check a response that guarantees that the request has not run."""
    status, block, _ = exchange.output
    assert status == 503
    assert b"Retry-After: " in block
    assert harness.counters.events[f"relay.not-run.{proof}"] == 1
    assert harness.log.lines[-1]["proof"] == proof


@on_loop
async def test_request_in_a_gates_queue_at_its_deadline_is_answered_503():
    """Guards against 504 for a request that no upstream has received.

    The gate must not pass it on either when its slot becomes free.
    """
    harness = GatePeerHarness()
    harness.occupy_slot()
    exchange = harness.send_request()
    await asyncio.sleep(AFTER_DEADLINE_S)
    assert_not_run(harness, exchange, "cancel")
    assert harness.log.lines[-1]["reason"] == "deadline"
    harness.peer.answer(0)
    assert len(harness.link.upstream_requests) == 1
    assert harness.peer.gate.outstanding == 0


@on_loop
async def test_request_whose_gate_connects_at_its_deadline_is_answered_503():
    """The gate's connection to the upstream opens after the cancel."""
    harness = GatePeerHarness()
    harness.peer.pool.hold_connects = True
    exchange = harness.send_request()
    await asyncio.sleep(AFTER_DEADLINE_S)
    assert_not_run(harness, exchange, "cancel")
    connection = FakeConnection()
    harness.peer.pool.pending[0](connection)
    assert connection.sent == b""


@on_loop
async def test_running_request_at_its_deadline_is_answered_504():
    """The gate does not reply to the cancel of a run, which continues."""
    harness = GatePeerHarness()
    exchange = harness.send_request()
    await asyncio.sleep(AFTER_DEADLINE_S)
    assert exchange.output[0] == 504
    assert harness.counters.events["relay.cancel-unanswered"] == 1
    assert harness.log.lines[-1]["proof"] == ""
    assert not harness.peer.pool.connections[0].aborted
    assert harness.link.forgotten == [1]


@on_loop
async def test_response_between_cancel_and_deadline_is_delivered():
    harness = GatePeerHarness()
    exchange = harness.send_request()
    while not any(isinstance(m, Cancel) for m in harness.link.sent):
        await asyncio.sleep(0.005)
    assert exchange.output is None
    harness.peer.answer(0)
    assert exchange.output[0] == 200


@on_loop
async def test_run_lost_between_cancel_and_deadline_is_unknown():
    """The upstream closes the connection of the run without a response."""
    harness = GatePeerHarness()
    exchange = harness.send_request()
    while not any(isinstance(m, Cancel) for m in harness.link.sent):
        await asyncio.sleep(0.005)
    harness.peer.pool.connections[0].done(None)
    assert exchange.output[0] == 502


@on_loop
async def test_peer_that_ignores_cancels_leaves_the_outcome_unknown():
    """A peer of an earlier version may not reply, whether or not it runs the request.

    Here its gate passes the request on after the deadline of the entry node.
    """
    harness = GatePeerHarness()
    harness.link.ignores_cancels = True
    harness.occupy_slot()
    exchange = harness.send_request()
    await asyncio.sleep(AFTER_DEADLINE_S)
    assert exchange.output[0] == 504
    harness.peer.answer(0)
    assert len(harness.link.upstream_requests) == 2


@on_loop
async def test_paused_peer_leaves_the_outcome_unknown():
    """A peer that resumes after the deadline hands over the run that it reads then."""
    harness = GatePeerHarness()
    harness.link.paused = True
    exchange = harness.send_request()
    await asyncio.sleep(AFTER_DEADLINE_S)
    assert exchange.output[0] == 504
    harness.link.resume()
    assert len(harness.link.upstream_requests) == 1


@pytest.mark.parametrize("idempotent", [True, False])
@on_loop
async def test_request_whose_link_is_not_ready_at_its_deadline_is_answered_503(
    idempotent,
):
    """Guards against 504 for a request that was never written to a connection.

    The link opens after the deadline; nothing may be sent over it then.
    """
    harness = RelayHarness(peers=1, idempotent=idempotent, timeout=0.1)
    [link] = harness.links
    opened = asyncio.get_running_loop().create_future()
    harness.pool.links.clear()
    harness.pool.open = lambda address: opened
    exchange = harness.send_request()
    await asyncio.sleep(0.2)
    assert_not_run(harness, exchange, "unwritten")
    opened.set_result(link)
    await settle()
    assert link.runs == []


@on_loop
async def test_run_is_not_sent_over_a_link_lost_after_it_opened():
    """Guards against a request that waits until its deadline without being sent.

    The connection is lost before the task that waits for it continues, and a lost
    link drops a run without a reply.
    """
    harness = RelayHarness(peers=1, idempotent=False, most_upstreams=1)
    [link] = harness.links
    link.usable = False
    harness.pool.links.clear()

    async def open_link(address):
        return link

    harness.pool.open = open_link
    exchange = harness.send_request()
    await settle()
    assert link.runs == []
    assert_not_run(harness, exchange, "unwritten")


@on_loop
async def test_run_that_was_not_written_before_its_link_was_lost_is_not_fenced():
    """Guards against 502 for a request that never left this node."""
    harness = RelayHarness(peers=1, idempotent=False)
    [link] = harness.links
    exchange = harness.send_request()
    link.written = False
    link.lose(0)
    await settle()
    assert harness.pool.fenced == []
    assert_not_run(harness, exchange, "unwritten")


@on_loop
async def test_peer_that_dies_with_the_run_leaves_the_outcome_unknown():
    """No gate can say any more whether it had handed the request over."""
    harness = GatePeerHarness()
    exchange = harness.send_request()
    harness.fence_answered = False
    harness.link.break_off()
    await settle()
    assert exchange.output[0] == 502


@on_loop
async def test_fenced_request_is_answered_503_and_not_run_later():
    """The link is lost while the run is in the receive buffer of a paused peer."""
    harness = GatePeerHarness()
    harness.link.paused = True
    exchange = harness.send_request()
    harness.link.break_off()
    await settle()
    assert_not_run(harness, exchange, "fence")
    harness.link.resume()
    assert harness.link.upstream_requests == []


@on_loop
async def test_fenced_request_in_a_queue_is_not_run_later():
    harness = GatePeerHarness()
    harness.occupy_slot()
    exchange = harness.send_request()
    harness.link.break_off()
    await settle()
    assert_not_run(harness, exchange, "fence")
    harness.peer.answer(0)
    assert len(harness.link.upstream_requests) == 1


@on_loop
async def test_request_handed_over_before_its_link_is_lost_is_unknown():
    harness = GatePeerHarness()
    exchange = harness.send_request()
    harness.link.break_off()
    await settle()
    assert exchange.output[0] == 502


@on_loop
async def test_request_that_starts_too_late_in_a_queue_is_not_run():
    """The slot becomes free after the deadline, before the gate has noticed that."""
    harness = GatePeerHarness(timeout=1.0)
    harness.occupy_slot()
    exchange = harness.send_request()
    harness.advance(1.1)
    harness.peer.answer(0)
    assert_not_run(harness, exchange, "gate")
    assert harness.log.lines[-1]["reason"] == "too-late"
    assert len(harness.link.upstream_requests) == 1


@on_loop
async def test_request_whose_upstream_connects_too_late_is_not_run():
    harness = GatePeerHarness(timeout=1.0)
    harness.peer.pool.hold_connects = True
    exchange = harness.send_request()
    harness.advance(1.1)
    connection = FakeConnection()
    harness.peer.pool.pending[0](connection)
    assert connection.sent == b""
    assert_not_run(harness, exchange, "gate")


@on_loop
async def test_request_refused_while_an_earlier_attempt_may_run_is_unknown():
    """An idempotent request may be retried without knowing whether it has run.

    A refusal of the second attempt proves nothing about the first one.
    """
    harness = RelayHarness(peers=2, most_upstreams=2)
    exchange = harness.send_request()
    [(first, index)] = harness.runs
    first.lose(index)
    second, index = next(r for r in harness.runs if r[0] is not first)
    second.reply(index, Outcome.NOT_RUN, Reason.SHED)
    assert exchange.output[0] == 502


@pytest.mark.parametrize("status", [408, 429, 503])
@on_loop
async def test_own_refusal_status_of_an_upstream_that_ran_is_not_passed_on(status):
    """Guards against a caller that repeats a request because of its status.

    An upstream answers 503 after a call of its run was refused.  The run has done
    part of its work, and the status would promise that nothing has run.  Its headers
    may vouch for the status that the upstream gave, so they are dropped with it.
    """
    harness = GatePeerHarness()
    exchange = harness.send_request()
    harness.peer.answer(0, status)
    assert exchange.output == (502, b"Rattanfork-Request-Id: r1\r\n", b"")
    [attempt] = harness.log.lines[-1]["tries"]
    assert attempt["status"] == status
    assert harness.counters.events["relay.refusal-status-replaced"] == 1


@pytest.mark.parametrize("status", [408, 429, 503])
@on_loop
async def test_own_refusal_status_for_an_idempotent_request_is_passed_on(status):
    harness = RelayHarness(peers=1)
    exchange = harness.send_request()
    harness.links[0].reply(0, Outcome.ANSWERED, Reason.NONE, status)
    assert exchange.output == (status, b"", b"body")


@on_loop
async def test_upstream_that_states_that_it_did_not_run_a_request_proves_it():
    harness = GatePeerHarness(most_upstreams=1)
    exchange = harness.send_request()
    pool = harness.peer.pool
    while exchange.output is None:
        headers = {b"rattanfork-not-run": b"1"}
        pool.connections[-1].done(UpstreamResponse(503, b"", b"", headers))
    assert_not_run(harness, exchange, "upstream")


@on_loop
async def test_misdirected_request_is_answered_503():
    """Another incarnation at the upstream's address answers 421."""
    harness = GatePeerHarness(most_upstreams=1)
    exchange = harness.send_request()
    harness.peer.answer(0, 421)
    assert_not_run(harness, exchange, "gate")


@on_loop
async def test_request_that_its_caller_no_longer_awaits_is_withdrawn_from_the_queue():
    harness = GatePeerHarness()
    harness.occupy_slot()
    exchange = harness.send_request()
    exchange.on_disconnect()
    assert harness.peer.gate.outstanding == 1
    harness.peer.answer(0)
    assert len(harness.link.upstream_requests) == 1


class LocalGateHarness(RelayHarness):
    """An entry node that forwards to its own gate, whose only slot is in use."""

    def __init__(self, **route) -> None:
        super().__init__(**{"idempotent": False, "timeout": 0.1, **route})
        self.route = replace(self.route, services=(WeightedService("s"),))
        self.version += 1
        self.holder.offer(b"-")
        self.gate.attach(Upstream("u2", "127.0.0.1", 1, 1), 9)
        self.own_pool = self.gate._pool = FakeUpstreamPool()
        self.gate_harness.submit("other")


@pytest.mark.parametrize("idempotent", [True, False])
@on_loop
async def test_own_gate_proves_at_the_deadline_that_a_request_has_not_run(idempotent):
    harness = LocalGateHarness(idempotent=idempotent)
    exchange = harness.send_request()
    assert harness.gate.waiting == 1
    await asyncio.sleep(0.2)
    assert_not_run(harness, exchange, "cancel")
    assert harness.gate.waiting == 0
    assert len(harness.own_pool.connections) == 1
