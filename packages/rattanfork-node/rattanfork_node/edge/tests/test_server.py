"""Tests of the HTTP server of the call path."""

import asyncio
from random import Random
from socket import socket

import aiohttp
import pytest
from aiohttp.test_utils import make_mocked_request
from rattanfork_core.clock import ManualClock, MonotonicClock
from rattanfork_core.request import CallResult, Outcome, Reason
from rattanfork_core.settings import LimitSettings
from rattanfork_node.call_ingress import IncomingRequest
from rattanfork_node.edge.server import CallServer
from rattanfork_node.http1.tests.test_broken_own_responses import assert_never_whole
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


class LongIngress:
    """Answers each request with eight megabytes."""

    async def serve(self, incoming: IncomingRequest) -> CallResult:
        return CallResult(Outcome.ANSWERED, status=200, body=b"r" * (8 << 20))


async def _start(ingress: object, limits: LimitSettings) -> tuple[CallServer, int]:
    server = CallServer(
        MonotonicClock(), Random(1), ingress, limits, Counters(), IgnoredMetrics()
    )
    with socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        port = reserved.getsockname()[1]
    await server.start("127.0.0.1", port)
    return server, port


def test_bodies_of_all_callers_are_bounded_together():
    """Guards against many callers that each send most of a body and stall."""

    async def run() -> None:
        server, port = await _start(AnsweringIngress(), LimitSettings(body=16 << 20))
        head = (
            b"POST /claims/add HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n"
        )
        stalled = []
        for _ in range(6):
            stalled.append(await asyncio.open_connection("127.0.0.1", port))
            stalled[-1][1].write(head + b"b" * (15 << 20))
        async with asyncio.timeout(20):
            done, waiting = await asyncio.wait(
                [asyncio.ensure_future(r.readline()) for r, _ in stalled],
                return_when=asyncio.FIRST_COMPLETED,
            )
        assert next(iter(done)).result().split()[1] == b"503"
        assert server._body_bytes <= 65 << 20
        assert (await _ask(port, {}))[0] == 200
        for task in waiting:
            task.cancel()
        for _, writer in stalled:
            writer.close()
        await server.stop()

    asyncio.run(run())


def test_responses_that_callers_leave_unread_are_bounded_together():
    """Guards against callers of long responses that never read them."""

    async def run() -> None:
        server, port = await _start(LongIngress(), LimitSettings())
        readers = [
            await asyncio.open_connection("127.0.0.1", port, limit=1024)
            for _ in range(20)
        ]
        for _, writer in readers:
            writer.write(b"GET /claims/get HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(1.0)
        assert server._unread.held <= 64 << 20
        assert (await _ask(port, {}))[0] == 200
        for _, writer in readers:
            writer.close()
        await server.stop()

    asyncio.run(run())


class FixedIngress:
    """Answers each request with the same result."""

    def __init__(self, result: CallResult) -> None:
        self._result = result

    async def serve(self, incoming: IncomingRequest) -> CallResult:
        return self._result


@pytest.mark.parametrize(
    "result",
    [
        CallResult(Outcome.ANSWERED, status=200, body=b"whole"),
        CallResult(Outcome.ANSWERED, status=200),
        CallResult(Outcome.ANSWERED, status=204),
        CallResult(Outcome.ANSWERED, status=304),
        CallResult(Outcome.UNKNOWN, Reason.CONNECTION),
        CallResult(Outcome.NOT_RUN, Reason.SHED),
    ],
    ids=["body", "empty body", "no content", "not modified", "unknown", "not run"],
)
@pytest.mark.parametrize("request_line", ["GET 1.1", "HEAD 1.1", "GET 1.0"])
@pytest.mark.parametrize("draining", [False, True])
def test_response_of_a_node_that_ends_is_not_framed_as_whole(
    result, request_line, draining
):
    """Guards against a broken response that callers take for a whole one."""
    method, version = request_line.split()

    async def run() -> None:
        server, port = await _start(FixedIngress(result), LimitSettings())
        if draining:
            server.drain()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(
            f"{method} /claims/get HTTP/{version}\r\nHost: h\r\n"
            "Rattanfork-Context: c\r\nConnection: close\r\n\r\n".encode()
        )
        assert_never_whole(await reader.read(), method == "HEAD")
        writer.close()
        await server.stop()

    asyncio.run(run())
