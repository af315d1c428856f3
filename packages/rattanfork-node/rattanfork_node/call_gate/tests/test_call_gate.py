"""Tests of a call gate whose upstream detaches while a request is queued.

The queued request is admitted when a slot becomes free, but there is no upstream
to send it to.  It must be reported as not run at once, and its slot released.
"""

import asyncio
from random import Random

import uvloop
from rattanfork_core.admission import AdmissionSettings
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.idempotency import TicketIssuer
from rattanfork_core.request import Importance, Outcome, Reason
from rattanfork_node.call_gate import CallGate, GateRequest, UpstreamResponse
from rattanfork_node.telemetry import Counters


class BlockingUpstream:
    """Responds once the test sets ``released``."""

    def __init__(self) -> None:
        self.released = asyncio.Event()
        self.run_count = 0

    async def run(self, method, path, headers, body):
        self.run_count += 1
        await self.released.wait()
        return UpstreamResponse(200, [], b"whole")


def request(key: str = "") -> GateRequest:
    deadline = MonotonicClock().now() + 60
    return GateRequest(
        "b", "get", "GET", "/get", [], b"", "r", "clerk", Importance.HIGH, 1.5,
        deadline, 0, key, True, lambda: True,
    )  # fmt: skip


def check_queued_request_is_not_run(make_key) -> None:
    async def run() -> None:
        issuer = TicketIssuer(b"key", Random(1))
        settings = AdmissionSettings(slots=1, warmup=0)
        gate = CallGate(
            MonotonicClock(), "w", "b", issuer, settings, Counters(), Random(1)
        )
        upstream = BlockingUpstream()
        gate.attach(upstream)
        first = asyncio.ensure_future(gate.run(request()))
        await asyncio.sleep(0)
        key = make_key(issuer, gate)
        second = asyncio.ensure_future(gate.run(request(key)))
        for _ in range(5):
            await asyncio.sleep(0)
        gate.attach(None)
        upstream.released.set()
        assert (await first).outcome is Outcome.ANSWERED
        result = await second
        assert (result.outcome, result.reason) == (Outcome.NOT_RUN, Reason.NO_INSTANCE)
        assert upstream.run_count == 1
        assert gate.outstanding == 0

    uvloop.run(run())


def test_queued_request_is_refused_when_upstream_detaches():
    check_queued_request_is_not_run(lambda issuer, gate: "")


def test_queued_request_with_key_is_refused_when_upstream_detaches():
    check_queued_request_is_not_run(
        lambda issuer, gate: issuer.issue("s", "w", "b", gate.key_registry.epoch)
    )
