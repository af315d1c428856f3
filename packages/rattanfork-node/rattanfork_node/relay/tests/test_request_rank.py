"""Ranks of callers' requests with fair shares of client accounts."""

import pytest
from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.request import Outcome, request_tiebreak

from rattanfork_node.relay.tests.fakes import RelayHarness, on_loop

EAGER = ClientAccount("eager")
MODEST = ClientAccount("modest")
CLERKS = ClientAccount("clerks", priority=1)
ACCOUNTS = {EAGER: ["eager"], MODEST: ["modest"], CLERKS: ["clerks"]}


def make_harness(threshold: float | None = None, **more) -> RelayHarness:
    """Return a relay whose only peer's gate has reported a threshold."""
    harness = RelayHarness(peers=1, accounts=ACCOUNTS, **more)
    if threshold is not None:
        harness.reports.update_own("t", threshold, impaired=False)
    return harness


def send(harness: RelayHarness, key: str, count: int = 1) -> list:
    return [
        harness.send_request(request_id=f"{key}-{i}", keys=[key.encode()])
        for i in range(count)
    ]


def ranks(harness: RelayHarness) -> list[float]:
    return [run.rank for run, _ in harness.links[0].runs]


@on_loop
@pytest.mark.parametrize("threshold", [None, 3.0, 4.2])
async def test_rank_is_the_hash_while_the_importance_is_not_shed(threshold):
    """Route importance is 2; a gate that sheds from rank 3 on sheds none of it."""
    harness = make_harness(threshold)
    exchanges = send(harness, "eager", 20)
    expected = [2 + request_tiebreak(f"eager-{i}") for i in range(20)]
    assert ranks(harness) == expected
    assert all(exchange.fair_share is None for exchange in exchanges)
    assert not harness.fair_shares.active_importances
    assert "fair-share.ranked" not in harness.counters.events


@on_loop
async def test_eager_account_is_shed_first_at_the_entry_node():
    harness = make_harness(2.6)
    eager = send(harness, "eager", 300)
    harness.clock.advance(0.2)
    harness.reports.update_own("t", 2.6, impaired=False)
    modest = send(harness, "modest", 30)
    refused = [e for e in eager if e.output is not None and e.output[0] == 503]
    assert len(refused) > 60
    assert all(exchange.output is None for exchange in modest)
    assert harness.counters.events["fair-share.ranked"] == 330
    fields = harness.log.lines[-1]
    assert (fields["account"], fields["reason"]) == ("eager", "shed-early")
    assert fields["fair_share"]["by"] == "node"
    assert fields["fair_share"]["demand"] > fields["fair_share"]["share"]


@on_loop
async def test_finished_request_logs_its_fair_share():
    harness = make_harness(2.99)
    send(harness, "modest")
    harness.links[0].reply(0, Outcome.ANSWERED, status=500)
    fields = harness.log.lines[-1]
    assert fields["account"] == "modest"
    assert fields["fair_share"] == {"demand": 0.5, "share": 0.5, "by": "node"}


@on_loop
async def test_request_without_account_keeps_its_hash():
    harness = make_harness(2.99, anonymous=True)
    harness.send_request(request_id="anonymous")
    assert ranks(harness) == [2 + request_tiebreak("anonymous")]


@on_loop
async def test_no_account_in_the_configuration_changes_nothing():
    harness = RelayHarness(peers=1)
    harness.reports.update_own("t", 2.99, impaired=False)
    harness.send_request(request_id="r1")
    assert ranks(harness) == [2 + request_tiebreak("r1")]
    assert not harness.fair_shares.active_importances


@on_loop
async def test_priority_of_the_account_determines_which_accounts_compete():
    """The integer rank is the account's importance, also with fair shares."""
    harness = make_harness(1.99)
    send(harness, "clerks", 50)
    assert all(1 <= rank < 1.99 for rank in ranks(harness))
    assert harness.fair_shares.active_importances == [1]


@on_loop
async def test_request_of_a_call_keeps_the_rank_of_its_run():
    """Guards against calls that compete again after their request was admitted."""
    harness = make_harness(2.6)
    harness.gate.parent_of = lambda request_id: None
    send(harness, "modest")
    counted = harness.counters.events["fair-share.ranked"]
    parent = type("Parent", (), {})()
    parent.rank, parent.succeeded_calls = 2.25, 0
    parent.deadline, parent.call_cancels = 200.0, {}
    parent.is_repeat, parent.request_id = False, b"p"
    harness.gate.parent_of = lambda request_id: parent
    harness.send_request(path="/i/x", request_id="p.1")
    assert ranks(harness)[-1] == 2.25
    assert harness.counters.events["fair-share.ranked"] == counted
