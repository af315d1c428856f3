"""Requests with keys: who is let in, who is refused, and what upstreams are told."""

import json

import pytest
from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.quota import QuotaDecision
from rattanfork_core.request import Outcome

from rattanfork_node.relay.tests.fakes import RelayHarness, on_loop

CLERKS = ClientAccount("clerks", priority=1, rate=10, burst=10)
AUDITORS = ClientAccount("auditors", priority=0)
ACCOUNTS = {CLERKS: ["key-of-clerks", "old-key"], AUDITORS: ["key-of-auditors"]}


def world(**more) -> RelayHarness:
    return RelayHarness(peers=1, accounts=ACCOUNTS, **more)


def status_of(exchange) -> int | None:
    return exchange.output[0] if exchange.output else None


def run_of(world: RelayHarness):
    [(run, _)] = world.links[0].runs
    return run


@on_loop
async def test_known_key_is_let_in_as_its_account():
    each = world()
    each.ask(keys=[b"key-of-clerks"])
    assert run_of(each).account == "clerks"


@on_loop
async def test_without_accounts_no_key_is_asked_for():
    each = RelayHarness(peers=1)
    each.ask()
    assert run_of(each).account == ""


@on_loop
@pytest.mark.parametrize("keys", [(), (b"",), (b"key-of-clerks", b"key-of-clerks")])
async def test_request_without_one_key_is_unauthenticated(keys):
    each = world()
    exchange = each.ask(keys=keys)
    each.accounts.tick()
    if len(keys) == 1:
        each.clock.advance(0.1)
        each.lease.confirm(each.clock.now())
        each.accounts.recheck_waiting()
    assert status_of(exchange) == 401
    assert each.runs == []


@on_loop
async def test_anonymous_route_needs_no_key_and_takes_any():
    each = world(anonymous=True)
    each.ask(request_id="r1")
    each.ask(request_id="r2", keys=[b"wrong"])
    each.ask(request_id="r3", keys=[b"key-of-clerks"])
    runs = [run for run, _ in each.links[0].runs]
    assert [run.account for run in runs] == ["", "", "clerks"]


@on_loop
async def test_unknown_key_waits_for_a_newer_configuration():
    """Guards against a final refusal of a key that was added a moment ago."""
    each = world()
    exchange = each.ask(keys=[b"new-key"])
    assert status_of(exchange) is None
    assert each.proofs_wanted
    each.clock.advance(0.3)
    each.change_accounts({**ACCOUNTS, ClientAccount("new"): ["new-key"]})
    assert run_of(each).account == "new"


@on_loop
async def test_unknown_key_is_refused_once_nothing_newer_is_proven():
    each = world()
    each.clock.advance(0.1)
    exchange = each.ask(keys=[b"wrong"])
    each.clock.advance(0.3)
    each.accounts.tick()
    assert status_of(exchange) is None
    each.lease.confirm(each.clock.now())
    each.accounts.recheck_waiting()
    assert status_of(exchange) == 401


@on_loop
async def test_unknown_key_is_not_judged_without_a_recent_proof():
    """Guards against 401 for a good key at a node that has lost its store."""
    each = world()
    each.clock.advance(4.0)
    exchange = each.ask(keys=[b"new-key"])
    for _ in range(15):
        each.clock.advance(0.1)
        each.accounts.tick()
    status, block, _ = exchange.output
    assert status == 503
    assert b"Retry-After" in block


@on_loop
async def test_flood_of_wrong_keys_is_bounded():
    """Guards against memory and store calls that grow with wrong keys."""
    each = world()
    for number in range(1000):
        each.ask(request_id=f"r{number}", keys=[b"wrong"])
    assert each.accounts.waiting == 256


@on_loop
@pytest.mark.parametrize(("age", "status"), [(4.4, None), (4.6, 503)])
async def test_key_counts_only_while_the_proof_is_recent(age, status):
    """Guards against a key that was taken away while the node was partitioned."""
    each = world()
    each.clock.advance(age)
    exchange = each.ask(keys=[b"key-of-clerks"])
    assert status_of(exchange) == status
    assert len(each.runs) == (status is None)


@on_loop
async def test_key_counts_without_proof_where_only_reachable_nodes_are_bound():
    each = world(revoke_within=None)
    each.clock.advance(60.0)
    each.ask(keys=[b"key-of-clerks"])
    assert len(each.runs) == 1


@on_loop
async def test_anonymous_route_goes_on_without_a_recent_proof():
    each = world(anonymous=True)
    each.clock.advance(60.0)
    each.ask()
    each.ask(request_id="r2", keys=[b"key-of-clerks"])
    assert [run.account for run, _ in each.links[0].runs] == ["", ""]


@on_loop
async def test_key_that_was_taken_away_is_unknown():
    each = world()
    each.change_accounts({CLERKS: ["key-of-clerks"]})
    exchange = each.ask(keys=[b"old-key"])
    each.clock.advance(0.2)
    each.lease.confirm(each.clock.now())
    each.accounts.recheck_waiting()
    assert status_of(exchange) == 401


@on_loop
async def test_exhausted_quota_is_answered_429_with_when_to_come_back():
    each = world()
    each.quota.verdict, each.quota.retry_after = QuotaDecision.EXHAUSTED, 0.75
    status, block, _ = each.ask(keys=[b"key-of-clerks"]).output
    assert status == 429
    assert b"Retry-After: 0.75\r\n" in block
    assert each.runs == []


@on_loop
async def test_unreachable_quota_is_answered_as_not_run():
    each = world()
    each.quota.verdict, each.quota.retry_after = QuotaDecision.UNREACHABLE, 0.5
    assert status_of(each.ask(keys=[b"key-of-clerks"])) == 503


@on_loop
async def test_time_spent_waiting_for_the_quota_shortens_the_request():
    """Guards against a caller that waits longer than its route allows."""
    each = world()
    each.quota.verdict = None
    each.ask(keys=[b"key-of-clerks"], wait=0.8)
    each.clock.advance(0.3)
    [decided] = each.quota.pending
    decided(QuotaDecision.GRANTED, 0.0)
    assert run_of(each).time_left <= 500


@on_loop
async def test_quota_is_given_back_for_what_did_not_run():
    each = world()
    exchange = each.ask(keys=[b"key-of-clerks"])
    each.links[0].reply(0, int(Outcome.NOT_RUN), 1)
    assert status_of(exchange) == 503
    assert each.quota.returned == ["clerks"]


@on_loop
async def test_quota_is_not_given_back_for_what_ran():
    each = world()
    exchange = each.ask(keys=[b"key-of-clerks"])
    each.links[0].reply(0, int(Outcome.ANSWERED), status=200)
    assert status_of(exchange) == 200
    assert each.quota.returned == []


@on_loop
async def test_quota_is_given_back_by_a_caller_that_has_left():
    each = world()
    each.quota.verdict = None
    exchange = each.ask(keys=[b"key-of-clerks"])
    exchange.answered = True
    [decided] = each.quota.pending
    decided(QuotaDecision.GRANTED, 0.0)
    assert each.runs == []
    assert each.quota.returned == ["clerks"]


@on_loop
async def test_priority_of_the_account_goes_before_that_of_the_route():
    each = world(priority=2)
    each.ask(request_id="r1", keys=[b"key-of-clerks"])
    each.ask(request_id="r2", keys=[b"key-of-auditors"])
    clerks, auditors = (run.rank for run, _ in each.links[0].runs)
    assert 0 <= auditors < 1 <= clerks < 2


@on_loop
async def test_route_orders_requests_of_accounts_with_one_priority():
    ranks = []
    for priority in (0, 2):
        each = world(priority=priority)
        each.ask(keys=[b"key-of-clerks"])
        ranks.append(run_of(each).rank)
    assert ranks[0] < ranks[1]


@on_loop
async def test_rule_that_sets_the_importance_goes_before_the_account():
    each = world()
    each.accept_rules("rules: [{name: a, then: {importance: background}}]")
    each.ask(keys=[b"key-of-auditors"])
    assert 4 <= run_of(each).rank < 5


@on_loop
async def test_rule_may_ask_for_the_account():
    each = world()
    each.accept_rules(
        "rules: [{name: a, when: {caller: clerks}, then: {refuse: {retry_after: 3}}}]"
    )
    assert status_of(each.ask(keys=[b"key-of-clerks"])) == 503
    assert status_of(each.ask(request_id="r2", keys=[b"key-of-auditors"])) is None


@on_loop
async def test_quarantine_tells_accounts_apart_and_not_their_keys():
    """Guards against one account blocking another, and a new key freeing itself."""
    each = world()
    ids = iter("abcdef")
    first = each.ask(request_id=next(ids), keys=[b"key-of-clerks"])
    again = each.ask(request_id=next(ids), keys=[b"old-key"])
    other = each.ask(request_id=next(ids), keys=[b"key-of-auditors"])
    assert first.fingerprint == again.fingerprint != other.fingerprint


@on_loop
async def test_no_line_holds_a_key():
    each = world()
    each.ask(request_id="r1", keys=[b"key-of-clerks"])
    each.quota.verdict = QuotaDecision.EXHAUSTED
    each.ask(request_id="r2", keys=[b"old-key"])
    each.ask(request_id="r3", keys=[b"a-wrong-key"])
    each.clock.advance(0.1)
    each.lease.confirm(each.clock.now())
    each.accounts.recheck_waiting()
    lines = json.dumps(each.log.lines)
    assert len(each.log.lines) >= 2
    for key in ("key-of-clerks", "old-key", "a-wrong-key"):
        assert key not in lines
