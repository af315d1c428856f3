"""The guard when its upstream goes away under a request that waits."""

import asyncio
from random import Random

import uvloop
from rattanfork_core.admission import AdmissionSettings
from rattanfork_core.clock import MonotonicClock
from rattanfork_core.idempotency import TicketIssuer
from rattanfork_core.request import Importance, Outcome, Reason
from rattanfork_node.call_gate import CallGate, GateRequest, UpstreamAnswer
from rattanfork_node.telemetry import Counters


class Upstream:
    """Answers when it is told to."""

    def __init__(self) -> None:
        self.go = asyncio.Event()
        self.ran = 0

    async def run(self, method, path, headers, body):
        self.ran += 1
        await self.go.wait()
        return UpstreamAnswer(200, [], b"whole")


def request(key: str = "") -> GateRequest:
    deadline = MonotonicClock().now() + 60
    return GateRequest(
        "b", "get", "GET", "/get", [], b"", "r", "clerk", Importance.HIGH, 1.5,
        deadline, 0, key, True, lambda: True,
    )  # fmt: skip


def check(key_of) -> None:
    async def run() -> None:
        mint = TicketIssuer(b"key", Random(1))
        settings = AdmissionSettings(slots=1, warmup=0)
        guard = CallGate(
            MonotonicClock(), "w", "b", mint, settings, Counters(), Random(1)
        )
        upstream = Upstream()
        guard.attach(upstream)
        first = asyncio.ensure_future(guard.run(request()))
        await asyncio.sleep(0)
        key = key_of(mint, guard)
        second = asyncio.ensure_future(guard.run(request(key)))
        for _ in range(5):
            await asyncio.sleep(0)
        guard.attach(None)
        upstream.go.set()
        assert (await first).outcome is Outcome.ANSWERED
        result = await second
        assert (result.outcome, result.reason) == (Outcome.NOT_RUN, Reason.NO_INSTANCE)
        assert upstream.ran == 1
        assert guard.outstanding == 0

    uvloop.run(run())


# The upstream stopped announcing itself while a request waited for a slot.
# The request then starts with no upstream: its caller must be told "not run"
# at once, and the slot be given back.


def test_a_waiting_read_is_refused_when_the_upstream_is_gone():
    check(lambda mint, guard: "")


def test_a_waiting_key_is_closed_when_the_upstream_is_gone():
    check(lambda mint, guard: mint.issue("s", "w", "b", guard.ledger.epoch))
