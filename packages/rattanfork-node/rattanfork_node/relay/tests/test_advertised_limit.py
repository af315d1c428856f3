"""Rate limits and leaving that an upstream advertises in its responses."""

import pytest
from rattanfork_core.advertised import UpstreamReport
from rattanfork_core.request import Outcome, Reason

from rattanfork_node.http1 import UpstreamResponse
from rattanfork_node.relay.tests.fakes import FakeUpstreamPool, GateHarness
from rattanfork_node.relay.upstream import Upstream

#: Requests that an upstream may get in any ``_WINDOW_S`` seconds: this factor times
#: what its limit allows, and ``_EXTRA_REQUESTS`` more.
_LIMIT_FACTOR = 1.5
_EXTRA_REQUESTS = 5
_WINDOW_S = 4.0
_STEP_S = 0.02


class LimitedUpstream:
    """Offers requests to a gate and answers those that it sends, on the fake clock."""

    def __init__(self, slots: int = 40) -> None:
        self.harness = GateHarness(slots)
        self.sent_at: list[float] = []
        self.refused = 0
        self._answered = 0
        self._steps = 0

    def play(self, seconds: float, per_step: int = 2, **headers: bytes) -> None:
        """Offer ``per_step`` requests each step; answer all after one step."""
        for _ in range(round(seconds / _STEP_S)):
            self.harness.clock.advance(_STEP_S)
            self._steps += 1
            self._answer_all(headers)
            if self._steps % 5 == 0:
                self.harness.gate.tick()
            for number in range(per_step):
                name = f"r{self._steps}-{number}"
                _, results = self.harness.submit(name, rank=self._rank(number))
                self.refused += any(r.outcome is Outcome.NOT_RUN for r in results)
            self._record_sent()

    def most_in_window(self, since: float) -> int:
        """Return the most requests sent in any window that begins after a time."""
        times = [at for at in self.sent_at if at >= since]
        return max(
            (sum(begin <= at < begin + _WINDOW_S for at in times) for begin in times),
            default=0,
        )

    def _rank(self, number: int) -> float:
        return (self._steps * 7 + number) % 50 / 10

    def _record_sent(self) -> None:
        new = len(self.harness.pool.connections) - len(self.sent_at)
        self.sent_at += [self.harness.clock.now()] * new

    def _answer_all(self, headers: dict[str, bytes]) -> None:
        sent = len(self.harness.pool.connections)
        for number in range(self._answered, sent):
            self.harness.answer(number, 200, **headers)
            self._record_sent()
        self._answered = sent


def _allowed(limit: float) -> float:
    return _LIMIT_FACTOR * limit * _WINDOW_S + _EXTRA_REQUESTS


def test_upstream_gets_no_more_requests_than_its_advertised_limit_allows():
    """Guards against a gate that forwards an advertised limit without keeping it."""
    upstream = LimitedUpstream()
    upstream.play(1.0)
    upstream.play(0.1, rattanfork_rate_limit=b"10")
    named_at = upstream.harness.clock.now()
    upstream.play(10.0, rattanfork_rate_limit=b"10")
    assert upstream.most_in_window(named_at) <= _allowed(10)


def test_response_of_previous_incarnation_sets_no_limit():
    """Guards against a limit that passes from one incarnation to the next."""
    harness = GateHarness(slots=4)
    harness.submit("r1")
    harness.gate.attach(Upstream("u2", "127.0.0.1", 1, 4), 9)
    harness.answer(0, 200, rattanfork_rate_limit=b"0", rattanfork_leaving=b"1")
    assert harness.gate.rate_limit is None
    assert harness.gate.accepting


def test_limit_of_previous_incarnation_ends_with_it():
    harness = GateHarness(slots=4)
    harness.submit("r1")
    harness.answer(0, 200, rattanfork_rate_limit=b"1")
    assert harness.gate.rate_limit == 1.0
    harness.gate.attach(Upstream("u2", "127.0.0.1", 1, 4), 9)
    harness.gate._pool = FakeUpstreamPool()
    assert harness.gate.rate_limit is None
    for number in range(3):
        harness.submit(f"later-{number}")
    assert len(harness.gate._pool.connections) == 3


def test_response_whose_head_arrived_earlier_does_not_end_the_limit():
    """Guards against responses that complete in another order than they began."""
    harness = GateHarness(slots=4)
    harness.submit("long")
    harness.submit("short")
    headers = {b"rattanfork-rate-limit": b"3"}
    harness.pool.connections[1].done(UpstreamResponse(200, b"", b"", headers, 200.0))
    harness.pool.connections[0].done(UpstreamResponse(200, b"", b"", {}, 199.0))
    assert harness.gate.rate_limit == 3.0


def test_response_without_the_header_ends_the_limit():
    harness = GateHarness(slots=4)
    harness.submit("r1")
    harness.answer(0, 200, rattanfork_rate_limit=b"3")
    harness.submit("r2")
    harness.answer(1, 200)
    assert harness.gate.rate_limit is None


@pytest.mark.parametrize("value", [b"many", b"-3", b"nan", b"1, 2", b"9" * 99])
def test_malformed_limit_changes_nothing(value):
    """Guards against a bad value that starts, changes or ends a limit."""
    harness = GateHarness(slots=4)
    harness.submit("r1")
    harness.answer(0, 200, rattanfork_rate_limit=value)
    assert harness.gate.rate_limit is None
    harness.submit("r2")
    harness.answer(1, 200, rattanfork_rate_limit=b"3")
    harness.clock.advance(1.0)
    harness.submit("r3")
    harness.answer(2, 200, rattanfork_rate_limit=value)
    assert harness.gate.rate_limit == 3.0


def test_refusal_of_upstream_with_a_limit_sets_it():
    harness = GateHarness(slots=4)
    harness.submit("r1")
    harness.answer(0, 503, rattanfork_not_run=b"1", rattanfork_rate_limit=b"3")
    assert harness.gate.rate_limit == 3.0


def test_421_of_another_incarnation_sets_no_limit():
    harness = GateHarness(slots=4)
    harness.submit("r1")
    harness.answer(0, 421, rattanfork_rate_limit=b"3", rattanfork_leaving=b"1")
    assert harness.gate.rate_limit is None
    assert not harness.gate.advertised.leaving


def test_request_over_the_limit_has_its_own_reason_and_may_run_elsewhere():
    harness = GateHarness(slots=4)
    harness.submit("r1")
    harness.answer(0, 200, rattanfork_rate_limit=b"1")
    results = [harness.submit(f"later-{n}")[1] for n in range(4)]
    refused = [r[0] for r in results if r]
    assert refused
    assert {r.reason for r in refused} == {Reason.UPSTREAM_LIMIT}
    assert all(r.outcome is Outcome.NOT_RUN and r.retry_elsewhere for r in refused)


def test_restarted_gate_keeps_the_limit_that_a_peer_reports():
    """Guards against a restarted gate that learns a limit only by exceeding it."""
    upstream = LimitedUpstream()
    gate = upstream.harness.gate
    gate.advertised.on_report(UpstreamReport("u1", 0, 10.0), "peer@b")
    begin = upstream.harness.clock.now()
    upstream.play(5.0, rattanfork_rate_limit=b"10")
    assert upstream.most_in_window(begin) <= _allowed(10)


def test_report_of_a_peer_does_not_override_the_upstream():
    """Guards against a limit that ended while the peer sent no requests."""
    harness = GateHarness(slots=4)
    harness.submit("r1")
    harness.answer(0, 200)
    harness.gate.advertised.on_report(UpstreamReport("u1", 0, 1.0), "peer@b")
    assert harness.gate.rate_limit is None


def test_report_about_another_incarnation_is_ignored():
    harness = GateHarness(slots=4)
    harness.gate.attach(Upstream("u1", "127.0.0.1", 1, 4, born=9), 9)
    for report in (
        UpstreamReport("u0", 0, 1.0, True),
        UpstreamReport("u1", 5, 1.0, True),
    ):
        harness.gate.advertised.on_report(report, "peer@b")
    assert harness.gate.rate_limit is None
    assert not harness.gate.advertised.leaving


def test_leaving_of_an_earlier_start_ends_with_the_announcement_of_the_next():
    """Guards against an upstream unused for ever after a restart with the same ID."""
    harness = GateHarness(slots=4)
    gate = harness.gate
    gate.advertised.on_report(UpstreamReport("u1", 5, -1.0, True), "peer@b")
    assert gate.advertised.leaving
    gate.attach(Upstream("u1", "127.0.0.1", 1, 4, born=9), 9)
    assert not gate.advertised.leaving


def test_gate_reports_what_the_upstream_advertises():
    harness = GateHarness(slots=4)
    assert harness.gate.advertised.report() is None
    harness.submit("r1")
    harness.answer(0, 200, rattanfork_rate_limit=b"3", rattanfork_leaving=b"1")
    assert harness.gate.advertised.report() == UpstreamReport("u1", 0, 3.0, True)
