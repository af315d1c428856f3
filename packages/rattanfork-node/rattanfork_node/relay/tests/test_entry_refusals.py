"""Tests that a request refused before any attempt is never sent afterwards.

One case for each place of the entry node that answers 429 or 503.  After the refusal,
the cause of the refusal goes away, and nothing may be sent even then.
"""

from collections.abc import Callable
from dataclasses import dataclass

import pytest
from rattanfork_core.client_accounts import ClientAccount
from rattanfork_core.quota import QuotaDecision
from rattanfork_core.revision import RevisionState

from rattanfork_node.relay import DrainPolicy
from rattanfork_node.relay.tests.fakes import RelayHarness, on_loop

CLERKS = ClientAccount("clerks")
KEY = b"key-of-clerks"
REFUSE_ALL = "rules: [{name: all, then: {refuse: {retry_after: 1}}}]"


def _nothing(harness: RelayHarness) -> None:
    pass


@dataclass(frozen=True)
class Place:
    """A place that refuses: how to reach it, and how its cause goes away again."""

    name: str
    prepare: Callable[[RelayHarness], None]
    status: int = 503
    relieve: Callable[[RelayHarness], None] = _nothing
    accounts: bool = False


def _forget_configuration(harness: RelayHarness) -> None:
    harness.saved = harness.holder.current
    harness.holder._current = None


def _regain_configuration(harness: RelayHarness) -> None:
    harness.holder._current = harness.saved


def _forget_rules(harness: RelayHarness) -> None:
    harness.relay._rules = RevisionState()


def _regain_rules(harness: RelayHarness) -> None:
    harness.relay._rules.receive_from_store(None)


def _quarantine(harness: RelayHarness) -> None:
    fingerprint = harness.send_request(request_id="probe", **harness.key).fingerprint
    harness.links[0].runs.clear()
    for incarnation in range(9):
        harness.quarantine.report(incarnation, [fingerprint])


def _end_quarantine(harness: RelayHarness) -> None:
    harness.clock.advance(3600)


def _remove_instances(harness: RelayHarness) -> None:
    harness.relay._membership.mark_dead("p0@b")


def _drain(harness: RelayHarness) -> None:
    harness.relay.drain(DrainPolicy(harness.clock, harness.clock.now(), 0.0))


def _shed_early(harness: RelayHarness) -> None:
    harness.send_request(request_id="probe", **harness.key)
    harness.links[0].reply(0, 0, status=200, cut=0.0)
    harness.links[0].runs.clear()


def _expire_thresholds(harness: RelayHarness) -> None:
    harness.clock.advance(60)


def _exhaust_quota(harness: RelayHarness) -> None:
    harness.quota.decision, harness.quota.retry_after = QuotaDecision.EXHAUSTED, 0.5


def _lose_quota(harness: RelayHarness) -> None:
    harness.quota.decision, harness.quota.retry_after = QuotaDecision.UNREACHABLE, 0.5


def _grant_quota(harness: RelayHarness) -> None:
    harness.quota.decision = QuotaDecision.GRANTED


def _lose_confirmation(harness: RelayHarness) -> None:
    harness.clock.advance(60)


def _regain_confirmation(harness: RelayHarness) -> None:
    harness.lease.confirm(harness.clock.now())


PLACES = [
    Place("no configuration", _forget_configuration, 503, _regain_configuration),
    Place("no rules", _forget_rules, 503, _regain_rules),
    Place("quarantined", _quarantine, 503, _end_quarantine),
    Place("no instance", _remove_instances),
    Place("refused by rule", lambda h: h.accept_rules(REFUSE_ALL)),
    Place("draining", _drain),
    Place("shed early", _shed_early, 503, _expire_thresholds),
    Place("over quota", _exhaust_quota, 429, _grant_quota, accounts=True),
    Place("quota unknown", _lose_quota, 503, _grant_quota, accounts=True),
    Place("unconfirmed", _lose_confirmation, 503, _regain_confirmation, accounts=True),
]


@pytest.mark.parametrize("place", PLACES, ids=lambda place: place.name)
@on_loop
async def test_refused_request_is_never_sent(place):
    """Guards against a refused request that is sent when its obstacle is gone."""
    accounts = {CLERKS: [KEY.decode()]} if place.accounts else None
    harness = RelayHarness(peers=1, accounts=accounts, idempotent=False)
    harness.key = {"keys": [KEY]} if place.accounts else {}
    place.prepare(harness)
    exchange = harness.send_request(**harness.key)
    status, block, _ = exchange.output
    assert status == place.status
    assert b"Retry-After: " in block
    assert harness.log.lines[-1]["proof"] == "no-attempt"
    place.relieve(harness)
    harness.accounts.recheck_waiting()
    harness.accounts.tick()
    for decide in harness.quota.pending:
        decide(QuotaDecision.GRANTED, 0.0)
    assert harness.runs == []
    assert harness.gate.outstanding == 0
    assert exchange.output[0] == place.status


@on_loop
async def test_quota_granted_after_the_caller_disconnected_sends_nothing():
    harness = RelayHarness(peers=1, accounts={CLERKS: [KEY.decode()]}, idempotent=False)
    harness.quota.decision = None
    exchange = harness.send_request(keys=[KEY])
    exchange.answered = True
    [decide] = harness.quota.pending
    decide(QuotaDecision.GRANTED, 0.0)
    assert harness.runs == []
    assert harness.quota.refunded == ["clerks"]
