"""Tests of the final responses to requests in flight when their node stops."""

import asyncio

from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.quota import QuotaDecision

from rattanfork_node.relay.tests.fakes import RelayHarness, on_loop
from rattanfork_node.relay.tests.gate_peer import GatePeerHarness

#: Longer than a reply to a cancel is awaited, in seconds.
AFTER_CANCEL_S = 0.1


@on_loop
async def test_waiting_request_of_a_stopping_node_is_answered_503():
    """Guards against a closed connection for a request that no upstream has got."""
    harness = GatePeerHarness(timeout=30.0)
    harness.occupy_slot()
    exchange = harness.send_request()
    harness.relay.give_up([exchange])
    status, block, _ = exchange.output
    assert status == 503
    assert b"Retry-After: " in block
    assert harness.log.lines[-1]["reason"] == "leaving"
    assert harness.log.lines[-1]["proof"] == "cancel"
    harness.peer.answer(0)
    assert len(harness.link.upstream_requests) == 1


@on_loop
async def test_running_request_of_a_stopping_node_is_answered_502():
    harness = GatePeerHarness(timeout=30.0)
    exchange = harness.send_request()
    harness.relay.give_up([exchange])
    assert exchange.output is None
    await asyncio.sleep(AFTER_CANCEL_S)
    assert exchange.output[0] == 502
    assert harness.log.lines[-1]["reason"] == "leaving"


@on_loop
async def test_response_that_arrives_while_the_node_stops_is_delivered():
    harness = GatePeerHarness(timeout=30.0)
    exchange = harness.send_request()
    harness.relay.give_up([exchange])
    harness.peer.answer(0)
    assert exchange.output[0] == 200


@on_loop
async def test_request_to_a_silent_peer_is_answered_502():
    harness = GatePeerHarness(timeout=30.0)
    harness.link.paused = True
    exchange = harness.send_request()
    harness.relay.give_up([exchange])
    await asyncio.sleep(AFTER_CANCEL_S)
    assert exchange.output[0] == 502


@on_loop
async def test_request_that_waits_for_its_account_is_answered_503():
    """No attempt was made yet; a later decision on the quota must not start one."""
    account = ClientAccount("clerks")
    harness = RelayHarness(peers=1, accounts={account: ["key"]}, idempotent=False)
    harness.quota.decision = None
    exchange = harness.send_request(keys=[b"key"])
    answered = harness.send_request("/none/")
    harness.relay.give_up([exchange, answered])
    assert exchange.output[0] == 503
    assert answered.output[0] == 404
    assert [line["status"] for line in harness.log.lines] == [404, 503]
    [decide] = harness.quota.pending
    decide(QuotaDecision.GRANTED, 0.0)
    assert harness.runs == []
