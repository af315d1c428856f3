"""Tests of the HTTP server of the call path."""

import asyncio
from random import Random
from socket import socket

import aiohttp
import pytest
from aiohttp.test_utils import make_mocked_request
from rattanfork_core.clock import ManualClock, MonotonicClock
from rattanfork_core.request import CallResult, Outcome
from rattanfork_core.settings import LimitSettings
from rattanfork_node.call_ingress import IncomingRequest
from rattanfork_node.edge.server import CallServer
from rattanfork_node.telemetry import Counters


@pytest.mark.parametrize("count", ["%C2%B2", "0", "101", "9" * 5000, "1_0", ""])
def test_malformed_number_of_keys_is_a_bad_request(count):
    """Guards against a query that is answered as a failure of the node."""

    async def run() -> int:
        server = CallServer(
            ManualClock(), Random(1), None, LimitSettings(), Counters(), None
        )
        path = f"/rattanfork/keys?service=claims&count={count}"
        response = await server._handle(make_mocked_request("POST", path))
        return response.status

    assert asyncio.run(run()) == 400


class AnsweringIngress:
    """Answers each request without running it anywhere."""

    async def serve(self, incoming: IncomingRequest) -> CallResult:
        return CallResult(Outcome.ANSWERED, status=200, body=b"done")


class IgnoredMetrics:
    """Takes durations and drops them."""

    def record_duration(self, service: str, seconds: float) -> None:
        pass


async def _ask(port: int, headers: dict[str, str]) -> tuple[int, str]:
    """Send a request on a new connection; return its status and reason."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://127.0.0.1:{port}/claims/get", headers=headers) as response,
    ):
        return response.status, response.headers.get("Rattanfork-Reason", "")


def test_draining_node_serves_child_calls_on_new_connections():
    """Guards against a run that fails in a drain, as its calls find no listener."""

    async def run() -> None:
        server = CallServer(
            MonotonicClock(),
            Random(1),
            AnsweringIngress(),
            LimitSettings(),
            Counters(),
            IgnoredMetrics(),
        )
        with socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        await server.start("127.0.0.1", port)
        try:
            server.drain()
            assert await _ask(port, {"Rattanfork-Context": "c"}) == (200, "")
            assert await _ask(port, {}) == (503, "leaving")
        finally:
            await server.stop()

    asyncio.run(run())
