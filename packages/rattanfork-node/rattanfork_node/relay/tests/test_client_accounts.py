"""Tests of API key authentication and of the quotas of client accounts."""

import json

import pytest
from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.quota import QuotaDecision
from rattanfork_core.request import Outcome

from rattanfork_node.relay.tests.fakes import RelayHarness, on_loop

CLERKS = ClientAccount("clerks", priority=1, rate=10, burst=10)
AUDITORS = ClientAccount("auditors", priority=0)
ACCOUNTS = {CLERKS: ["key-of-clerks", "old-key"], AUDITORS: ["key-of-auditors"]}


def make_harness(**more) -> RelayHarness:
    return RelayHarness(peers=1, accounts=ACCOUNTS, **more)


def status_of(exchange) -> int | None:
    return exchange.output[0] if exchange.output else None


def run_of(harness: RelayHarness):
    [(run, _)] = harness.links[0].runs
    return run


@on_loop
async def test_known_key_is_accepted_as_its_account():
    harness = make_harness()
    harness.send_request(keys=[b"key-of-clerks"])
    assert run_of(harness).account == "clerks"


@on_loop
async def test_no_key_is_required_without_accounts():
    harness = RelayHarness(peers=1)
    harness.send_request()
    assert run_of(harness).account == ""


@on_loop
@pytest.mark.parametrize("keys", [(), (b"",), (b"key-of-clerks", b"key-of-clerks")])
async def test_request_without_exactly_one_known_key_gets_401(keys):
    harness = make_harness()
    exchange = harness.send_request(keys=keys)
    harness.accounts.tick()
    if len(keys) == 1:
        harness.clock.advance(0.1)
        harness.lease.confirm(harness.clock.now())
        harness.accounts.recheck_waiting()
    assert status_of(exchange) == 401
    assert harness.runs == []


@on_loop
async def test_call_of_a_predecessors_run_is_not_answered_401():
    """Guards against 401 for calls of runs that outlive the process that sent them.

    The node was started again; a run lasts no longer than the time-out of a route.
    """
    harness = make_harness(timeout=70.0)
    assert status_of(harness.send_request(request_id="run.1")) == 503
    assert status_of(harness.send_request(request_id="caller")) == 401
    harness.clock.advance(69.9)
    assert status_of(harness.send_request(request_id="run.2")) == 503
    harness.clock.advance(0.2)
    assert status_of(harness.send_request(request_id="run.3")) == 401
    assert harness.runs == []


@on_loop
async def test_call_of_a_predecessors_run_may_outlive_a_shorter_time_out():
    """Guards against 401 for calls of runs whose time-out was lowered meanwhile."""
    harness = make_harness(timeout=2.0)
    harness.clock.advance(59.9)
    assert status_of(harness.send_request(request_id="run.1")) == 503
    harness.clock.advance(0.2)
    assert status_of(harness.send_request(request_id="run.2")) == 401


@on_loop
async def test_call_of_a_run_that_the_gate_has_ended_is_not_answered_401():
    """Guards against 401 where an upstream goes on though its connection was lost."""
    harness = make_harness(timeout=2.0)
    harness.clock.advance(60.1)
    gate = harness.gate_harness
    gate.submit("run", deadline=harness.clock.now() + 1.0)
    gate.pool.connections[0].done(None)
    assert status_of(harness.send_request(request_id="run.1")) == 503
    harness.clock.advance(1.1)
    harness.relay.orphaned_calls.sweep()
    assert status_of(harness.send_request(request_id="run.1")) == 401


@on_loop
async def test_call_of_a_run_lost_before_accounts_were_added_is_not_answered_401():
    """Guards against 401 for calls of runs that began while no key was required."""
    harness = RelayHarness(peers=1, timeout=2.0)
    harness.clock.advance(60.1)
    gate = harness.gate_harness
    gate.submit("run", deadline=harness.clock.now() + 1.0)
    gate.pool.connections[0].done(None)
    harness.change_accounts(ACCOUNTS)
    assert status_of(harness.send_request(request_id="run.1")) == 503


@on_loop
async def test_call_with_an_empty_key_is_taken_for_one_without():
    """Guards against 401 for calls of lost runs that carry the header without a key."""
    harness = make_harness(timeout=2.0)
    exchange = harness.send_request(request_id="run.1", keys=[b""])
    harness.clock.advance(0.1)
    harness.lease.confirm(harness.clock.now())
    harness.accounts.recheck_waiting()
    assert status_of(exchange) == 503
    assert status_of(harness.send_request(request_id="r2", keys=[b""])) == 401


@on_loop
async def test_call_of_a_run_under_way_is_served_without_a_key():
    """Guards against calls that are denied for a key which they never carry."""
    harness = make_harness(timeout=2.0)
    harness.clock.advance(60.1)
    harness.gate_harness.submit("run", deadline=harness.clock.now() + 1.0)
    harness.send_request(request_id="run.1")
    assert run_of(harness).request_id == b"run.1"


@on_loop
async def test_call_without_a_configuration_is_answered_503():
    """Guards against 401 or 404 by a node that does not know keys and routes yet."""
    harness = make_harness()
    harness.holder._current = None
    for request_id in ("run.1", "caller"):
        assert status_of(harness.send_request(request_id=request_id)) == 503


@on_loop
async def test_log_tells_why_a_request_without_a_key_is_no_call():
    """Guards against refused calls of which the log shows no cause."""
    harness = make_harness(timeout=2.0)
    harness.clock.advance(60.1)
    harness.send_request(request_id="run.1")
    harness.send_request(request_id="caller", keys=[b"key-of-clerks", b"old-key"])
    lines = harness.log.lines
    assert lines[0]["reason"] == "unauthenticated"
    assert lines[0]["keyless"] == {
        "has_parent_id": True,
        "is_parent_lost": False,
        "lost_runs": 0,
        "process_age_s": 60.1,
        "longest_timeout_s": 2.0,
    }
    assert "keyless" not in lines[1]


@on_loop
async def test_anonymous_route_accepts_missing_and_unknown_keys():
    harness = make_harness(anonymous=True)
    harness.send_request(request_id="r1")
    harness.send_request(request_id="r2", keys=[b"wrong"])
    harness.send_request(request_id="r3", keys=[b"key-of-clerks"])
    runs = [run for run, _ in harness.links[0].runs]
    assert [run.account for run in runs] == ["", "", "clerks"]


@on_loop
async def test_unknown_key_waits_for_a_newer_configuration():
    """Guards against a 401 for a key that was added a moment ago."""
    harness = make_harness()
    exchange = harness.send_request(keys=[b"new-key"])
    assert status_of(exchange) is None
    assert harness.confirmations_requested
    harness.clock.advance(0.3)
    harness.change_accounts({**ACCOUNTS, ClientAccount("new"): ["new-key"]})
    assert run_of(harness).account == "new"


@on_loop
async def test_unknown_key_is_refused_after_a_newer_confirmation():
    harness = make_harness()
    harness.clock.advance(0.1)
    exchange = harness.send_request(keys=[b"wrong"])
    harness.clock.advance(0.3)
    harness.accounts.tick()
    assert status_of(exchange) is None
    harness.lease.confirm(harness.clock.now())
    harness.accounts.recheck_waiting()
    assert status_of(exchange) == 401


@on_loop
async def test_unknown_key_gets_503_without_a_recent_confirmation():
    """Guards against a 401 for a valid key at a node that can't reach its store."""
    harness = make_harness()
    harness.clock.advance(4.0)
    exchange = harness.send_request(keys=[b"new-key"])
    for _ in range(15):
        harness.clock.advance(0.1)
        harness.accounts.tick()
    status, block, _ = exchange.output
    assert status == 503
    assert b"Retry-After" in block


@on_loop
async def test_requests_waiting_with_unknown_keys_are_bounded():
    """Guards against memory and store calls that grow with unknown keys."""
    harness = make_harness()
    for number in range(1000):
        harness.send_request(request_id=f"r{number}", keys=[b"wrong"])
    assert harness.accounts.waiting == 256


@on_loop
@pytest.mark.parametrize(("age", "status"), [(4.4, None), (4.6, 503)])
async def test_key_is_accepted_only_with_a_recent_confirmation(age, status):
    """Guards against accepting a key that was revoked while partitioned."""
    harness = make_harness()
    harness.clock.advance(age)
    exchange = harness.send_request(keys=[b"key-of-clerks"])
    assert status_of(exchange) == status
    assert len(harness.runs) == (status is None)


@on_loop
async def test_key_is_accepted_without_confirmation_if_no_bound_is_set():
    harness = make_harness(revoke_within=None)
    harness.clock.advance(60.0)
    harness.send_request(keys=[b"key-of-clerks"])
    assert len(harness.runs) == 1


@on_loop
async def test_anonymous_route_is_served_without_a_recent_confirmation():
    harness = make_harness(anonymous=True)
    harness.clock.advance(60.0)
    harness.send_request()
    harness.send_request(request_id="r2", keys=[b"key-of-clerks"])
    assert [run.account for run, _ in harness.links[0].runs] == ["", ""]


@on_loop
async def test_revoked_key_is_refused():
    harness = make_harness()
    harness.change_accounts({CLERKS: ["key-of-clerks"]})
    exchange = harness.send_request(keys=[b"old-key"])
    harness.clock.advance(0.2)
    harness.lease.confirm(harness.clock.now())
    harness.accounts.recheck_waiting()
    assert status_of(exchange) == 401


@on_loop
async def test_exhausted_quota_gets_429_with_retry_after():
    harness = make_harness()
    harness.quota.decision, harness.quota.retry_after = QuotaDecision.EXHAUSTED, 0.75
    status, block, _ = harness.send_request(keys=[b"key-of-clerks"]).output
    assert status == 429
    assert b"Retry-After: 0.75\r\n" in block
    assert harness.runs == []


@on_loop
async def test_unreachable_quota_gets_503():
    harness = make_harness()
    harness.quota.decision, harness.quota.retry_after = QuotaDecision.UNREACHABLE, 0.5
    assert status_of(harness.send_request(keys=[b"key-of-clerks"])) == 503


@on_loop
async def test_time_waiting_for_quota_counts_against_the_deadline():
    """Guards against a request that takes longer than its route allows."""
    harness = make_harness()
    harness.quota.decision = None
    harness.send_request(keys=[b"key-of-clerks"], wait=0.8)
    harness.clock.advance(0.3)
    [on_decision] = harness.quota.pending
    on_decision(QuotaDecision.GRANTED, 0.0)
    assert run_of(harness).time_left_ms <= 500


@on_loop
async def test_quota_is_refunded_for_request_that_did_not_run():
    harness = make_harness()
    exchange = harness.send_request(keys=[b"key-of-clerks"])
    harness.links[0].reply(0, int(Outcome.NOT_RUN), 1)
    assert status_of(exchange) == 503
    assert harness.quota.refunded == ["clerks"]


@on_loop
async def test_quota_is_not_refunded_for_request_that_ran():
    harness = make_harness()
    exchange = harness.send_request(keys=[b"key-of-clerks"])
    harness.links[0].reply(0, int(Outcome.ANSWERED), status=200)
    assert status_of(exchange) == 200
    assert harness.quota.refunded == []


@on_loop
async def test_quota_is_refunded_if_the_caller_disconnected():
    harness = make_harness()
    harness.quota.decision = None
    exchange = harness.send_request(keys=[b"key-of-clerks"])
    exchange.answered = True
    [on_decision] = harness.quota.pending
    on_decision(QuotaDecision.GRANTED, 0.0)
    assert harness.runs == []
    assert harness.quota.refunded == ["clerks"]


@on_loop
async def test_account_priority_overrides_route_priority():
    harness = make_harness(priority=2)
    harness.send_request(request_id="r1", keys=[b"key-of-clerks"])
    harness.send_request(request_id="r2", keys=[b"key-of-auditors"])
    clerks, auditors = (run.rank for run, _ in harness.links[0].runs)
    assert 0 <= auditors < 1 <= clerks < 2


@on_loop
async def test_route_priority_orders_accounts_of_equal_priority():
    ranks = []
    for priority in (0, 2):
        harness = make_harness(priority=priority)
        harness.send_request(keys=[b"key-of-clerks"])
        ranks.append(run_of(harness).rank)
    assert ranks[0] < ranks[1]


@on_loop
async def test_importance_set_by_a_rule_overrides_the_account():
    harness = make_harness()
    harness.accept_rules("rules: [{name: a, then: {importance: background}}]")
    harness.send_request(keys=[b"key-of-auditors"])
    assert 4 <= run_of(harness).rank < 5


@on_loop
async def test_rule_may_match_the_account():
    harness = make_harness()
    harness.accept_rules(
        "rules: [{name: a, when: {caller: clerks}, then: {refuse: {retry_after: 3}}}]"
    )
    assert status_of(harness.send_request(keys=[b"key-of-clerks"])) == 503
    assert (
        status_of(harness.send_request(request_id="r2", keys=[b"key-of-auditors"]))
        is None
    )


@on_loop
async def test_fingerprint_depends_on_the_account_but_not_the_key():
    """One account must not block another, nor a second key evade the quarantine."""
    harness = make_harness()
    ids = iter("abcdef")
    first = harness.send_request(request_id=next(ids), keys=[b"key-of-clerks"])
    again = harness.send_request(request_id=next(ids), keys=[b"old-key"])
    other = harness.send_request(request_id=next(ids), keys=[b"key-of-auditors"])
    assert first.fingerprint == again.fingerprint != other.fingerprint


@on_loop
async def test_log_lines_contain_no_key():
    harness = make_harness()
    harness.send_request(request_id="r1", keys=[b"key-of-clerks"])
    harness.quota.decision = QuotaDecision.EXHAUSTED
    harness.send_request(request_id="r2", keys=[b"old-key"])
    harness.send_request(request_id="r3", keys=[b"a-wrong-key"])
    harness.clock.advance(0.1)
    harness.lease.confirm(harness.clock.now())
    harness.accounts.recheck_waiting()
    lines = json.dumps(harness.log.lines)
    assert len(harness.log.lines) >= 2
    for key in ("key-of-clerks", "old-key", "a-wrong-key"):
        assert key not in lines
