"""Tests of attempts that a stopping node sends near the time of its give-up."""

import asyncio

import pytest
from rattanfork_core.request import Outcome, Reason

from rattanfork_node.relay import DrainPolicy
from rattanfork_node.relay.tests.fakes import FakeLink, RelayHarness, on_loop

#: Times in seconds from the start of the drain.
ENDS_AT = 5.0
CHECKS_FROM = 3.0
RESPONSE_TIME = 0.1
LATENCY_S = 0.3
CALL_ID = "run.0123456789abcdef"


class DrainingRelay(RelayHarness):
    """A relay that drains, with a run in progress at its own upstream."""

    def __init__(self, elapsed: float, peers: int = 1, **route) -> None:
        super().__init__(peers=peers, **{"timeout": 30.0, **route})
        for state in self.relay.directory.picker("t").subset:
            state.latency = LATENCY_S
        now = self.clock.now()
        self.gate_harness.submit("run", deadline=now + 60.0)
        self.relay.drain(
            DrainPolicy(
                self.clock, now + ENDS_AT, now, now + CHECKS_FROM, RESPONSE_TIME
            )
        )
        self.clock.advance(elapsed)

    def send_call(self, wait: float | None = None):
        """Send a call of the run."""
        return self.send_request("/i/x", request_id=CALL_ID, wait=wait)


@on_loop
@pytest.mark.parametrize("elapsed", [4.6, 4.9, 5.1])
@pytest.mark.parametrize("idempotent", [True, False])
async def test_call_that_cannot_be_expected_to_end_is_refused(elapsed, idempotent):
    """Guards against calls that run and are cut by the exit of their node."""
    harness = DrainingRelay(elapsed, idempotent=idempotent)
    status, block, _ = harness.send_call().output
    assert status == 503
    assert b"Retry-After: " in block
    assert harness.runs == []
    assert harness.log.lines[-1]["reason"] == "leaving"


@on_loop
@pytest.mark.parametrize("elapsed", [0.0, 2.9, 3.7, 4.4])
async def test_call_that_can_be_expected_to_end_is_sent(elapsed):
    """Guards against runs that fail for a call that had enough time."""
    harness = DrainingRelay(elapsed)
    assert harness.send_call().output is None
    assert len(harness.runs) == 1


@on_loop
async def test_call_with_a_deadline_before_the_give_up_is_sent():
    harness = DrainingRelay(4.7)
    assert harness.send_call(wait=0.2).output is None
    assert len(harness.runs) == 1


@on_loop
@pytest.mark.parametrize(
    ("elapsed", "time_left"), [(2.9, 30.0), (3.5, ENDS_AT - RESPONSE_TIME - 3.5)]
)
async def test_late_run_is_told_a_deadline_before_the_give_up(elapsed, time_left):
    """Guards against upstreams at work on what their caller's node must give up."""
    harness = DrainingRelay(elapsed)
    harness.send_call()
    [(link, index)] = harness.runs
    run, _ = link.runs[index]
    assert run.time_left_ms == pytest.approx(time_left * 1000, abs=20)


@on_loop
async def test_late_retry_is_not_sent():
    """Guards against a retry that is cut, of a call that has not run."""
    harness = DrainingRelay(3.7, peers=2, idempotent=False)
    call = harness.send_call()
    [(link, index)] = harness.runs
    harness.clock.advance(1.0)
    link.reply(index, Outcome.NOT_RUN, Reason.SHED, retry_elsewhere=True)
    assert call.output[0] == 503
    assert len(harness.runs) == 1


@on_loop
async def test_attempt_is_not_sent_over_a_link_that_opens_late():
    """Guards against a call that is sent late, as its link took long to open."""
    harness = DrainingRelay(3.7)
    [name] = harness.pool.links
    del harness.pool.links[name]
    link = FakeLink(name)

    async def open_late(address) -> FakeLink:
        harness.clock.advance(1.2)
        return link

    harness.pool.open = open_late
    call = harness.send_call()
    await asyncio.sleep(0)
    assert call.output[0] == 503
    assert link.runs == []
